"""The work that lies at each engine: this daemon's own exactly, the others' as they last told."""

import contextlib
import dataclasses
from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Any

from dockmux.runtime.host import Host
from dockmux.runtime.time_units import ZERO, ms, to_ms

TOLD_FOR = timedelta(seconds=3)


@dataclasses.dataclass(kw_only=True)
class Load:
    """One engine's open work from here. Invariant: `to_read` is the sum of the times that its open readings were
    reckoned to take when they were sent: one that takes longer than that still lies there until it has come."""

    streams: int = 0
    reading: int = 0
    to_read: timedelta = ZERO


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportedLoad:
    """One engine's open work from another daemon, as it told at a time."""

    at: timedelta
    to_read: timedelta
    streams: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerSummary:
    """When another daemon told last, and at which engines it has work."""

    at: timedelta
    engines: tuple[str, ...]


class LoadTracker:
    """Invariants: `summaries` has the last summary of each other daemon, and `told` what these say, by engine and
    daemon: most daemons have work at few engines. They are used for a short while."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.own: dict[str, Load] = {}
        self.told: dict[str, dict[str, ReportedLoad]] = defaultdict(dict)
        self.summaries: dict[str, PeerSummary] = {}

    @contextlib.contextmanager
    def reading(self, *, engine: str, span: timedelta) -> Iterator[None]:
        """A prompt is being read there, for about so long once it is its turn."""
        load = self.own.setdefault(engine, Load())
        load.to_read += span
        load.reading += 1
        try:
            yield
        finally:
            load.reading -= 1
            load.to_read -= span
            self._tidy(engine=engine)

    @contextlib.contextmanager
    def streaming(self, *, engine: str) -> Iterator[None]:
        load = self.own.setdefault(engine, Load())
        load.streams += 1
        try:
            yield
        finally:
            load.streams -= 1
            self._tidy(engine=engine)

    def _tidy(self, *, engine: str) -> None:
        load = self.own.get(engine)
        if load is not None and not load.reading and not load.streams:
            del self.own[engine]

    def backlog(self, *, engine: str) -> timedelta:
        """How long what is to be read there will take, as far as is known."""
        now = self.host.elapsed()
        load = self.own.get(engine)
        total = load.to_read if load is not None else ZERO
        for row in self._fresh(engine=engine, now=now):
            # Part of it was read since; how much is not known before the next word.
            left = row.to_read - (now - row.at) / 2
            if left > ZERO:
                total += left
        return total

    def streams(self, *, engine: str) -> int:
        load = self.own.get(engine)
        count = load.streams if load is not None else 0
        return count + sum(row.streams for row in self._fresh(engine=engine, now=self.host.elapsed()))

    def _fresh(self, *, engine: str, now: timedelta) -> Iterable[ReportedLoad]:
        rows = self.told.get(engine)
        return [row for row in rows.values() if now - row.at < TOLD_FOR] if rows else ()

    def summary(self) -> dict[str, list[int]]:
        return {engine: [to_ms(load.to_read), load.streams] for engine, load in self.own.items()}

    def hear(self, *, daemon: str, works: dict[str, Any]) -> None:
        """Another daemon's summary, the ms to be read and the streams by engine; it replaces the one before."""
        now = self.host.elapsed()
        self._drop(daemon=daemon)
        self.summaries[daemon] = PeerSummary(at=now, engines=tuple(works))
        for engine, (to_read_ms, streams) in works.items():
            self.told[engine][daemon] = ReportedLoad(at=now, to_read=ms(to_read_ms), streams=streams)

    def forget(self, *, live: set[str]) -> None:
        for daemon in [daemon for daemon in self.summaries if daemon not in live]:
            self._drop(daemon=daemon)

    def _drop(self, *, daemon: str) -> None:
        before = self.summaries.pop(daemon, None)
        for engine in before.engines if before is not None else ():
            rows = self.told[engine]
            del rows[daemon]
            if not rows:
                del self.told[engine]
