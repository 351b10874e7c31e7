"""What happened inside one process: events appended in memory, views folded from them."""

from typing import Any


class Projection:
    """Something folded from a journal. Invariant: `folded` events have been taken in, in order."""

    def __init__(self) -> None:
        self.folded = 0

    def fold(self, *, event: Any) -> None:
        raise NotImplementedError


class EventJournal:
    """Invariant: `events[0]` is event number `dropped`; no view lacks a dropped event."""

    def __init__(self, *, views: list[Projection]) -> None:
        self.views = views
        self.events: list[Any] = []
        self.dropped = 0

    def append(self, *, event: Any) -> None:
        self.events.append(event)
        if len(self.events) >= 1000:
            for view in self.views:
                self.fold(view=view)
            self.dropped += len(self.events)
            self.events.clear()

    def fold(self, *, view: Projection) -> None:
        while view.folded < self.dropped + len(self.events):
            event = self.events[view.folded - self.dropped]
            view.folded += 1
            view.fold(event=event)


class _Sum(Projection):
    def __init__(self) -> None:
        super().__init__()
        self.total = 0

    def fold(self, *, event: int) -> None:
        self.total += event


def test_a_view_takes_in_every_event_once_across_a_trim():
    early, late = _Sum(), _Sum()
    journal = EventJournal(views=[early, late])
    for number in range(2500):
        journal.append(event=number)
        if number % 7 == 0:
            journal.fold(view=early)
    for view in (early, late):
        journal.fold(view=view)
        assert view.total == sum(range(2500))
    assert len(journal.events) == 500
