"""Which engines are left out because work on them failed, from this daemon's own requests and from other daemons."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms, to_ms

FIRST_WAIT = timedelta(milliseconds=800)
LONGEST_WAIT = timedelta(seconds=3)
FAILS_MOST = 8
KEPT = timedelta(seconds=20)
RENEWED = timedelta(seconds=3)


@dataclasses.dataclass(kw_only=True)
class Verdict:
    """Invariants: `seen_at` is the monotonic time of what was seen, never later than it truly was; `mine` says that
    this daemon saw it, which then looks whether the engine is well again once `until` has come."""

    well: bool
    seen_at: timedelta
    until: timedelta
    fails: int
    mine: bool


class Verdicts:
    """Invariant: of two sights of one engine the later counts, whoever had it."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.rows: dict[str, Verdict] = {}

    def failing(self, *, engine: str) -> bool:
        row = self.rows.get(engine)
        if row is None or row.well:
            return False
        # Whoever had the sight renews it while it lasts; a daemon that is gone does not.
        return row.mine or self.host.elapsed() < row.until + RENEWED

    def note_failure(self, *, engine: str, why: str) -> None:
        now = self.host.elapsed()
        row = self.rows.get(engine)
        if row is not None and not row.well and row.mine and now < row.until:
            # Requests that failed together are one sight; only one after the wait counts anew.
            row.seen_at = now
            return
        fails = 1 if row is None or row.well else min(row.fails + 1, FAILS_MOST)
        wait = min(FIRST_WAIT * 2 ** (fails - 1), LONGEST_WAIT)
        wait = wait * self.host.random.uniform(0.8, 1.2)
        if row is None or row.well:
            self.host.log(LogEvent.ENGINE_FAILING, engine=engine, wait_ms=to_ms(wait), why=why)
        self.rows[engine] = Verdict(well=False, seen_at=now, until=now + wait, fails=fails, mine=True)

    def note_success(self, *, engine: str) -> None:
        row = self.rows.get(engine)
        if row is None or row.well:
            return
        now = self.host.elapsed()
        self.host.log(LogEvent.ENGINE_RECOVERED, engine=engine)
        self.rows[engine] = Verdict(well=True, seen_at=now, until=now, fails=0, mine=True)

    def to_look_at(self) -> list[str]:
        """Engines that this daemon found failing and whose wait is over."""
        now = self.host.elapsed()
        return [engine for engine, row in self.rows.items() if row.mine and not row.well and now >= row.until]

    def told(self) -> dict[str, list[int]]:
        """By engine: well, age of the sight, time that is left, in ms."""
        now = self.host.elapsed()
        self.rows = {engine: row for engine, row in self.rows.items() if now - row.seen_at < KEPT}
        return {
            engine: [int(row.well), to_ms(now - row.seen_at), max(to_ms(row.until - now), 0)]
            for engine, row in self.rows.items()
            if row.mine
        }

    def hear(self, *, told: dict[str, Any]) -> None:
        now = self.host.elapsed()
        for engine, (well, age_ms, left_ms) in told.items():
            row = self.rows.get(engine)
            seen_at = now - ms(age_ms)
            if row is not None and row.seen_at >= seen_at:
                continue
            until = now + ms(left_ms)
            self.rows[engine] = Verdict(well=bool(well), seen_at=seen_at, until=until, fails=0, mine=False)

    def forget(self, *, engines: set[str]) -> None:
        self.rows = {engine: row for engine, row in self.rows.items() if engine in engines}
