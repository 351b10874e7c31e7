"""Rate and duration of this daemon's calls, folded from the journal. Load shedding estimates waits from them."""

import dataclasses
from collections import deque
from datetime import timedelta

from dockmux.runtime.event_journal import EventJournal, Projection
from dockmux.runtime.time_units import ms

RATE_WINDOW = timedelta(seconds=3)
# Assumed rate of assignments while fewer have been observed.
MIN_PER_SECOND = 4.0
SMOOTHING_FACTOR = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstCallAssigned:
    """A request was assigned its first engine, at a monotonic time."""

    at: timedelta


@dataclasses.dataclass(frozen=True, kw_only=True)
class AnswerCompleted:
    """An answer was completed. `spans` are the durations of its consecutive stages: claim, wait_read, read (prefill),
    wait_write, hand_over (until the decode engine has the KV cache and starts), write (decode)."""

    lane: str
    spans: dict[str, timedelta]

    @property
    def prefill_time(self) -> timedelta:
        """Duration of the prefill call."""
        return self.spans["read"]

    @property
    def decode_time(self) -> timedelta:
        """Duration of the decode call, with the transfer of the KV cache."""
        return self.spans["hand_over"] + self.spans["write"]


class ServiceRate(Projection):
    """Invariants: `assigned_at` holds the times of assignments in the last three seconds (RATE_WINDOW), oldest first;
    `call_durations` maps lanes to the exponentially smoothed durations of prefill and decode calls."""

    def __init__(self) -> None:
        super().__init__()
        self.assigned_at: deque[timedelta] = deque()
        self.call_durations: dict[str, tuple[timedelta, timedelta]] = {}

    def fold(self, *, event: object) -> None:
        if isinstance(event, FirstCallAssigned):
            self.assigned_at.append(event.at)
        elif isinstance(event, AnswerCompleted):
            prefill, decode = self.call_durations.get(event.lane, (event.prefill_time, event.decode_time))
            self.call_durations[event.lane] = (
                prefill + (event.prefill_time - prefill) * SMOOTHING_FACTOR,
                decode + (event.decode_time - decode) * SMOOTHING_FACTOR,
            )

    def per_second(self, *, journal: EventJournal, now: timedelta) -> float:
        """Assignments per second, at least MIN_PER_SECOND."""
        journal.fold(projection=self)
        while self.assigned_at and now - self.assigned_at[0] >= RATE_WINDOW:
            self.assigned_at.popleft()
        return max(len(self.assigned_at) / RATE_WINDOW.total_seconds(), MIN_PER_SECOND)

    def remaining_time(self, *, lane: str, needs_prefill: bool) -> timedelta:
        """Expected time to complete a request of the lane once an engine is free; zero while none was completed."""
        prefill, decode = self.call_durations.get(lane, (timedelta(), timedelta()))
        return prefill + decode if needs_prefill else decode


def test_rate_covers_the_last_three_seconds_and_call_durations_are_smoothed():
    rate = ServiceRate()
    journal = EventJournal(projections=[rate])
    for at in range(30):
        journal.append(event=FirstCallAssigned(at=ms(100 * at)))
    assert rate.per_second(journal=journal, now=ms(2950)) == 10
    assert rate.per_second(journal=journal, now=ms(9000)) == MIN_PER_SECOND
    for prefill_ms in (100, 200):
        spans = {"read": ms(prefill_ms), "hand_over": ms(50), "write": ms(150)}
        journal.append(event=AnswerCompleted(lane="a", spans=spans))
    journal.fold(projection=rate)
    assert rate.remaining_time(lane="a", needs_prefill=True) == ms(310) and rate.remaining_time(
        lane="a", needs_prefill=False
    ) == ms(200)
    assert rate.remaining_time(lane="b", needs_prefill=True) == timedelta()
