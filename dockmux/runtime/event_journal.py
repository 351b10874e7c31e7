"""An in-memory journal of the events in one process, with projections folded from it."""

from typing import Any


class Projection:
    """State folded from a journal. Invariant: the first `folded` events have been applied, in order."""

    def __init__(self) -> None:
        self.folded = 0

    def fold(self, *, event: Any) -> None:
        raise NotImplementedError


class EventJournal:
    """Invariant: `events[0]` is event number `dropped`; every projection has applied all dropped events."""

    def __init__(self, *, projections: list[Projection]) -> None:
        self.projections = projections
        self.events: list[Any] = []
        self.dropped = 0

    def append(self, *, event: Any) -> None:
        """Appends an event; at 1000 events all projections are brought up to date and the events dropped."""
        self.events.append(event)
        if len(self.events) >= 1000:
            for projection in self.projections:
                self.fold(projection=projection)
            self.dropped += len(self.events)
            self.events.clear()

    def fold(self, *, projection: Projection) -> None:
        """Brings a projection up to date."""
        while projection.folded < self.dropped + len(self.events):
            event = self.events[projection.folded - self.dropped]
            projection.folded += 1
            projection.fold(event=event)


class _Sum(Projection):
    def __init__(self) -> None:
        super().__init__()
        self.total = 0

    def fold(self, *, event: int) -> None:
        self.total += event


def test_a_projection_applies_every_event_once_across_drops():
    early, late = _Sum(), _Sum()
    journal = EventJournal(projections=[early, late])
    for number in range(2500):
        journal.append(event=number)
        if number % 7 == 0:
            journal.fold(projection=early)
    for projection in (early, late):
        journal.fold(projection=projection)
        assert projection.total == sum(range(2500))
    assert len(journal.events) == 500
