"""An eventlet hub whose time is virtual: it jumps to the next tick, and never sleeps."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from eventlet.hubs.hub import BaseHub
from greenlet import getcurrent


class Stuck(Exception):
    """Nothing is due any more: every task waits for something that will not come."""


class VirtualHub(BaseHub):
    """Invariants: timers fire in the order of their moments, and at one moment in the order in which they
    were set; a timer belongs to the place of the task that it wakes, or else of the task that set it; those
    of a dead place never fire, those of a frozen one when it thaws, in order."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self.moment = 0.0
        super().__init__(clock=lambda: self.moment)
        self.order = itertools.count()
        self.canceled = 0

    @staticmethod
    def is_available() -> bool:
        return True

    def add_timer(self, timer: Any) -> float:
        if not hasattr(timer, "place"):
            woken = getattr(timer.tpl[0], "__self__", None)
            here = getattr(getcurrent(), "place", None)
            timer.place = getattr(woken, "place", here)
            if timer.place is not None and hasattr(woken, "gr_frame") and not hasattr(woken, "place"):
                woken.place = timer.place
                timer.place.keep(woken)
        when = self.moment + max(timer.seconds, 0)
        heapq.heappush(self.timers, (when, next(self.order), timer))
        return when

    def schedule_in(self, *, place: Any, seconds: float, call: Callable[..., Any]) -> Any:
        """Sets a timer that belongs to a place, whoever sets it."""
        timer = _timer(seconds=seconds, call=call)
        timer.place = place
        self.add_timer(timer)
        return timer

    def prepare_timers(self) -> None:
        return

    def timer_canceled(self, timer: Any) -> None:
        self.canceled += 1
        if self.canceled > 20_000 and self.canceled > len(self.timers) / 2:
            self.timers = [item for item in self.timers if not item[2].called]
            heapq.heapify(self.timers)
            self.canceled = 0

    def fire_timers(self, when: float) -> None:
        while self.timers and self.timers[0][0] <= when:
            _, _, timer = heapq.heappop(self.timers)
            if timer.called:
                self.canceled -= 1
                continue
            place = timer.place
            if place is not None and not place.alive:
                continue
            if place is not None and place.frozen:
                place.parked.append(timer)
                continue
            timer()

    def sleep_until(self) -> float | None:
        while self.timers and self.timers[0][2].called:
            heapq.heappop(self.timers)
            self.canceled -= 1
        return self.timers[0][0] if self.timers else None

    def wait(self, seconds: float | None = None) -> None:
        due = self.sleep_until()
        if due is None:
            raise Stuck
        self.moment = max(self.moment, due)

    def thaw(self, *, place: Any) -> None:
        """Lets a frozen place go on: all that came due meanwhile is due now."""
        parked, place.parked = place.parked, []
        for timer in parked:
            heapq.heappush(self.timers, (self.moment, next(self.order), timer))


def _timer(*, seconds: float, call: Callable[..., Any]) -> Any:
    from eventlet.hubs.timer import Timer

    return Timer(seconds, call)
