"""What is known of each engine, from this daemon's own looks and from other daemons' summaries."""

import dataclasses
import hashlib
from datetime import timedelta

from dockmux.runtime.host import Host
from dockmux.runtime.messages import EngineUsage, UsageSummary
from dockmux.runtime.time_units import ms, to_ms

FRESH = timedelta(seconds=2)
WATCHERS = 2


def watchers(*, engine: str, daemons: list[str]) -> list[str]:
    """Rendezvous hashing: the daemons that look after an engine."""

    def score(daemon: str) -> bytes:
        return hashlib.sha256(f"{engine}|{daemon}".encode()).digest()

    return sorted(daemons, key=score, reverse=True)[:WATCHERS]


class UsageTable:
    """Invariants: `seen` is the monotonic time of the watcher's look, never later than it truly was; an
    entry is replaced only by one of a later look."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.entries: dict[str, EngineUsage] = {}
        self.seen: dict[str, timedelta] = {}

    def take(self, *, usage: EngineUsage) -> bool:
        seen = self.host.elapsed() - ms(usage.ageMs)
        if usage.engine in self.seen and seen <= self.seen[usage.engine]:
            return False
        self.entries[usage.engine] = usage
        self.seen[usage.engine] = seen
        return True

    def fresh(self, *, engine: str) -> EngineUsage | None:
        """What was seen of an engine a short while ago, if anything."""
        seen = self.seen.get(engine)
        if seen is None or self.host.elapsed() - seen > FRESH:
            return None
        return self.entries[engine]

    def summary(self) -> list[EngineUsage]:
        now = self.host.elapsed()
        return [
            dataclasses.replace(self.entries[engine], ageMs=to_ms(now - seen))
            for engine, seen in sorted(self.seen.items())
            if now - seen <= FRESH
        ]

    def fold(self, *, summary: UsageSummary) -> None:
        for usage in summary.engines:
            self.take(usage=usage)


def test_a_later_look_wins_whoever_tells_it_and_an_old_one_lapses():
    from dockmux.clock.clock import _Still

    host = _Still()
    table = UsageTable(host=host)
    base = EngineUsage(
        engine="e", incarnation="i", phase="prefill", running=1, queued=0, leaving=False, reachable=True,
        capacity=4, ageMs=100,
    )  # fmt: skip
    assert table.take(usage=base)
    assert not table.take(usage=dataclasses.replace(base, running=9, ageMs=101))
    assert table.take(usage=dataclasses.replace(base, running=2, ageMs=99))
    host.time += timedelta(seconds=1)
    assert [(u.running, u.ageMs) for u in table.summary()] == [(2, 1099)]
    host.time += timedelta(seconds=1)
    assert table.fresh(engine="e") is None and table.summary() == []


def test_watchers_move_only_where_a_daemon_left():
    daemons = [f"edge-{n}" for n in range(9)]
    engines = [f"e{n}" for n in range(40)]
    before = {e: watchers(engine=e, daemons=daemons) for e in engines}
    after = {e: watchers(engine=e, daemons=daemons[1:]) for e in engines}
    assert all(len(set(pair)) == 2 for pair in before.values())
    moved = [e for e in engines if before[e] != after[e]]
    assert moved == [e for e in engines if "edge-0" in before[e]]
