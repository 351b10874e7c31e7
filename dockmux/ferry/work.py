"""The work that lies at each engine: this daemon's own exactly, the others' as they last told."""

import contextlib
import dataclasses
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from dockmux.accord.host import Host
from dockmux.accord.span import ZERO, ms, to_ms

TOLD_FOR = timedelta(seconds=3)


@dataclasses.dataclass(kw_only=True)
class Load:
    """One engine's open work from here. Invariant: `to_read` is the sum of the times that its open readings were
    reckoned to take when they were sent: one that takes longer than that still lies there until it has come."""

    streams: int = 0
    reading: int = 0
    to_read: timedelta = ZERO


class Work:
    """Invariant: `told` holds each other daemon's last word and when it was heard; it is used for a short while."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.own: dict[str, Load] = {}
        self.told: dict[str, tuple[timedelta, dict[str, list[int]]]] = {}

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
        for at, rows in self.told.values():
            if engine in rows and now - at < TOLD_FOR:
                # Part of it was read since; how much is not known before the next word.
                total += max(ms(rows[engine][0]) - (now - at) / 2, ZERO)
        return total

    def streams(self, *, engine: str) -> int:
        now = self.host.elapsed()
        load = self.own.get(engine)
        count = load.streams if load is not None else 0
        return count + sum(rows[engine][1] for at, rows in self.told.values() if engine in rows and now - at < TOLD_FOR)

    def summary(self) -> dict[str, list[int]]:
        return {engine: [to_ms(load.to_read), load.streams] for engine, load in self.own.items()}

    def hear(self, *, daemon: str, works: dict[str, Any]) -> None:
        self.told[daemon] = (self.host.elapsed(), works)

    def forget(self, *, live: set[str]) -> None:
        self.told = {daemon: row for daemon, row in self.told.items() if daemon in live}
