"""The open work at each engine: exact for this daemon, as last reported for the others."""

import contextlib
import dataclasses
from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Any

from dockmux.runtime.codec import check_number
from dockmux.runtime.host import Host
from dockmux.runtime.time_units import ZERO, ms, to_ms

PEER_LOAD_TTL = timedelta(seconds=3)


@dataclasses.dataclass(kw_only=True)
class Load:
    """This daemon's open work at one engine. Invariant: `prefill_backlog` is the sum of the durations estimated for the
    open prefills when they were sent; a prefill that takes longer counts in full until its end."""

    streams: int = 0
    prefills: int = 0
    prefill_backlog: timedelta = ZERO


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReportedLoad:
    """Another daemon's open work at one engine, as reported at `received_at` (monotonic)."""

    received_at: timedelta
    prefill_backlog: timedelta
    streams: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class PeerSummary:
    """When another daemon reported last, and the engines at which it has work."""

    received_at: timedelta
    engines: tuple[str, ...]


class LoadTracker:
    """Sums up the load of each engine. Invariants: `peer_summaries` holds the last summary of each other daemon, and
    `peer_loads` their contents by engine and daemon, because most daemons have work at few engines. They expire after
    PEER_LOAD_TTL."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.local_loads: dict[str, Load] = {}
        self.peer_loads: dict[str, dict[str, ReportedLoad]] = defaultdict(dict)
        self.peer_summaries: dict[str, PeerSummary] = {}

    @contextlib.contextmanager
    def prefilling(self, *, engine: str, span: timedelta) -> Iterator[None]:
        """Counts a prefill at the engine while the context is open; `span` is its estimated time without queueing."""
        load = self.local_loads.setdefault(engine, Load())
        load.prefill_backlog += span
        load.prefills += 1
        try:
            yield
        finally:
            load.prefills -= 1
            load.prefill_backlog -= span
            self._remove_if_idle(engine=engine)

    @contextlib.contextmanager
    def streaming(self, *, engine: str) -> Iterator[None]:
        """Counts a stream at the engine while the context is open."""
        load = self.local_loads.setdefault(engine, Load())
        load.streams += 1
        try:
            yield
        finally:
            load.streams -= 1
            self._remove_if_idle(engine=engine)

    def _remove_if_idle(self, *, engine: str) -> None:
        load = self.local_loads.get(engine)
        if load is not None and not load.prefills and not load.streams:
            del self.local_loads[engine]

    def backlog(self, *, engine: str) -> timedelta:
        """The estimated time for all known prefills at the engine."""
        now = self.host.elapsed()
        load = self.local_loads.get(engine)
        total = load.prefill_backlog if load is not None else ZERO
        for row in self._fresh_loads(engine=engine, now=now):
            # Part of it has been prefilled since; how much is not known until the next report.
            remaining = row.prefill_backlog - (now - row.received_at) / 2
            if remaining > ZERO:
                total += remaining
        return total

    def streams(self, *, engine: str) -> int:
        """The number of known streams at the engine."""
        load = self.local_loads.get(engine)
        count = load.streams if load is not None else 0
        return count + sum(row.streams for row in self._fresh_loads(engine=engine, now=self.host.elapsed()))

    def _fresh_loads(self, *, engine: str, now: timedelta) -> Iterable[ReportedLoad]:
        rows = self.peer_loads.get(engine)
        return [row for row in rows.values() if now - row.received_at < PEER_LOAD_TTL] if rows else ()

    def summary(self) -> dict[str, list[int]]:
        """This daemon's prefill backlog in ms and streams, by engine."""
        return {engine: [to_ms(load.prefill_backlog), load.streams] for engine, load in self.local_loads.items()}

    def update_peer(self, *, daemon: str, works: dict[str, Any]) -> None:
        """Replaces another daemon's summary, which has the prefill backlog in ms and the streams by engine."""
        now = self.host.elapsed()
        loads = {
            engine: ReportedLoad(
                received_at=now, prefill_backlog=ms(check_number(backlog_ms)), streams=int(check_number(streams))
            )
            for engine, (backlog_ms, streams) in works.items()
        }
        self._drop(daemon=daemon)
        self.peer_summaries[daemon] = PeerSummary(received_at=now, engines=tuple(loads))
        for engine, load in loads.items():
            self.peer_loads[engine][daemon] = load

    def forget(self, *, live: set[str]) -> None:
        """Drops the summaries of daemons that are not live."""
        for daemon in [daemon for daemon in self.peer_summaries if daemon not in live]:
            self._drop(daemon=daemon)

    def _drop(self, *, daemon: str) -> None:
        previous = self.peer_summaries.pop(daemon, None)
        for engine in previous.engines if previous is not None else ():
            rows = self.peer_loads[engine]
            del rows[daemon]
            if not rows:
                del self.peer_loads[engine]
