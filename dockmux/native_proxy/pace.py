"""How fast requests get through here, folded from the journal: what giving up early is judged by."""

import dataclasses
from collections import deque
from datetime import timedelta

from dockmux.runtime.event_journal import EventJournal, Projection
from dockmux.runtime.time_units import ms

WINDOW = timedelta(seconds=3)
# While little has been seen, a daemon takes itself to manage this many a second.
LEAST_PER_SECOND = 4.0
NEW_PART = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assigned:
    """A request was given its first engine."""

    at: timedelta


@dataclasses.dataclass(frozen=True, kw_only=True)
class Written:
    """An answer came to its end: how long each stage of it took, one after the other: claim, wait_read, read,
    wait_write, hand_over (until the writing engine has the memory and begins), write."""

    lane: str
    spans: dict[str, timedelta]

    @property
    def read(self) -> timedelta:
        return self.spans["read"]

    @property
    def write(self) -> timedelta:
        return self.spans["hand_over"] + self.spans["write"]


class Pace(Projection):
    """Invariants: `assigned` holds the times of the last three seconds, oldest first; `legs` holds, by lane, the
    smoothed length of a reading and of a writing leg."""

    def __init__(self) -> None:
        super().__init__()
        self.assigned: deque[timedelta] = deque()
        self.legs: dict[str, tuple[timedelta, timedelta]] = {}

    def fold(self, *, event: object) -> None:
        if isinstance(event, Assigned):
            self.assigned.append(event.at)
        elif isinstance(event, Written):
            read, write = self.legs.get(event.lane, (event.read, event.write))
            self.legs[event.lane] = (
                read + (event.read - read) * NEW_PART,
                write + (event.write - write) * NEW_PART,
            )

    def perSecond(self, *, journal: EventJournal, now: timedelta) -> float:
        journal.fold(projection=self)
        while self.assigned and now - self.assigned[0] >= WINDOW:
            self.assigned.popleft()
        return max(len(self.assigned) / WINDOW.total_seconds(), LEAST_PER_SECOND)

    def left(self, *, lane: str, reading: bool) -> timedelta:
        """How long a request of the lane takes from here, once engines are free."""
        read, write = self.legs.get(lane, (timedelta(), timedelta()))
        return read + write if reading else write


def test_pace_is_that_of_the_last_three_seconds_and_legs_are_smoothed():
    pace = Pace()
    journal = EventJournal(projections=[pace])
    for at in range(30):
        journal.append(event=Assigned(at=ms(100 * at)))
    assert pace.perSecond(journal=journal, now=ms(2950)) == 10
    assert pace.perSecond(journal=journal, now=ms(9000)) == LEAST_PER_SECOND
    for read in (100, 200):
        spans = {"read": ms(read), "hand_over": ms(50), "write": ms(150)}
        journal.append(event=Written(lane="a", spans=spans))
    journal.fold(projection=pace)
    assert pace.left(lane="a", reading=True) == ms(310) and pace.left(lane="a", reading=False) == ms(200)
    assert pace.left(lane="b", reading=True) == timedelta()
