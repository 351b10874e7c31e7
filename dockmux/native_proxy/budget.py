"""Sends to engines, counted per service, and whether one more extra send is within its share."""

import dataclasses
from collections import deque
from datetime import timedelta

from dockmux.runtime.event_journal import EventJournal, Projection

WINDOW = timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """A leg of a request was sent to an engine; extra when it, or that leg, had been sent before."""

    at: timedelta
    service: str
    extra: bool


class Budget(Projection):
    """Folded from the journal. Invariant: `first` and `extra` hold the send times of the last ten seconds,
    by service, oldest first."""

    def __init__(self) -> None:
        super().__init__()
        self.first: dict[str, deque[timedelta]] = {}
        self.extra: dict[str, deque[timedelta]] = {}

    def fold(self, *, event: object) -> None:
        if isinstance(event, Sent):
            kept = self.extra if event.extra else self.first
            kept.setdefault(event.service, deque()).append(event.at)

    def _count(self, *, kept: dict[str, deque[timedelta]], service: str, now: timedelta) -> int:
        times = kept.get(service, deque())
        while times and now - times[0] >= WINDOW:
            times.popleft()
        return len(times)

    def allows(self, *, journal: EventJournal, service: str, percent: int, now: timedelta) -> bool:
        """There is no least number per daemon: then the fleet's sum keeps to the share as well."""
        journal.fold(projection=self)
        first = self._count(kept=self.first, service=service, now=now)
        extra = self._count(kept=self.extra, service=service, now=now)
        return (extra + 1) * 100 <= first * percent


def test_extra_sends_keep_to_their_share_of_the_last_ten_seconds():
    budget = Budget()
    journal = EventJournal(projections=[budget])
    second = timedelta(seconds=1)

    def allowed(*, at: int) -> bool:
        return budget.allows(journal=journal, service="s", percent=10, now=at * second)

    for at in range(20):
        journal.append(event=Sent(at=at * second / 10, service="s", extra=False))
    journal.append(event=Sent(at=second, service="other", extra=False))
    assert allowed(at=2)
    journal.append(event=Sent(at=2 * second, service="s", extra=True))
    assert allowed(at=3)
    journal.append(event=Sent(at=3 * second, service="s", extra=True))
    assert not allowed(at=4)
    assert not allowed(at=11)  # the first sends of the first second have left the window
    assert not allowed(at=30)
