"""Retry budget: limits extra sends to a percentage of the first sends of the same service."""

import dataclasses
from collections import deque
from datetime import timedelta

from dockmux.runtime.event_journal import EventJournal, Projection

BUDGET_WINDOW = timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallSent:
    """A call was sent to an engine, at a monotonic time; `extra` if the request's call of that phase had been sent."""

    at: timedelta
    service: str
    extra: bool


class RetryBudget(Projection):
    """Folded from the journal. Invariant: `first_sends` and `extra_sends` map services to the send times of the last
    ten seconds (BUDGET_WINDOW), oldest first."""

    def __init__(self) -> None:
        super().__init__()
        self.first_sends: dict[str, deque[timedelta]] = {}
        self.extra_sends: dict[str, deque[timedelta]] = {}

    def fold(self, *, event: object) -> None:
        if isinstance(event, CallSent):
            sends = self.extra_sends if event.extra else self.first_sends
            sends.setdefault(event.service, deque()).append(event.at)

    def _count_recent(self, *, sends: dict[str, deque[timedelta]], service: str, now: timedelta) -> int:
        times = sends.get(service, deque())
        while times and now - times[0] >= BUDGET_WINDOW:
            times.popleft()
        return len(times)

    def allows(self, *, journal: EventJournal, service: str, percent: int, now: timedelta) -> bool:
        """Whether one more extra send is within the percentage. There is no minimum per daemon, so that the fleet as a
        whole stays within the percentage too."""
        journal.fold(projection=self)
        first = self._count_recent(sends=self.first_sends, service=service, now=now)
        extra = self._count_recent(sends=self.extra_sends, service=service, now=now)
        return (extra + 1) * 100 <= first * percent


def test_extra_sends_stay_within_their_percentage_of_the_last_ten_seconds():
    budget = RetryBudget()
    journal = EventJournal(projections=[budget])
    second = timedelta(seconds=1)

    def allowed(*, at: int) -> bool:
        return budget.allows(journal=journal, service="s", percent=10, now=at * second)

    for at in range(20):
        journal.append(event=CallSent(at=at * second / 10, service="s", extra=False))
    journal.append(event=CallSent(at=second, service="other", extra=False))
    assert allowed(at=2)
    journal.append(event=CallSent(at=2 * second, service="s", extra=True))
    assert allowed(at=3)
    journal.append(event=CallSent(at=3 * second, service="s", extra=True))
    assert not allowed(at=4)
    assert not allowed(at=11)  # the first sends of the first second are outside the window
    assert not allowed(at=30)
