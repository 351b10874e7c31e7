"""An eventlet hub with virtual time: it advances its clock to the next timer instead of sleeping."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from eventlet.hubs.hub import BaseHub
from greenlet import getcurrent


class DeadlockError(Exception):
    """No timer is left: every task waits for an event that cannot occur."""


class VirtualHub(BaseHub):
    """Runs tasks under virtual time; `now_s` is the virtual time in seconds.

    Invariants: timers fire in the order of their due times, and those due at the same time in the order in which they
    were set. The owner of a timer or task is a simulated process (`SimHost`) or None: a timer belongs to the owner of
    the task that it resumes, or else to the owner of the task that set it. Timers of an ended process never fire; those
    of a frozen process fire, in order, when it thaws."""

    def __init__(self, clock: Callable[[], float] | None = None) -> None:
        self.now_s = 0.0
        super().__init__(clock=lambda: self.now_s)
        self.sequence = itertools.count()
        self.canceled = 0

    @staticmethod
    def is_available() -> bool:
        return True

    def add_timer(self, timer: Any) -> float:
        if not hasattr(timer, "owner"):
            resumed = getattr(timer.tpl[0], "__self__", None)
            current_owner = getattr(getcurrent(), "owner", None)
            timer.owner = getattr(resumed, "owner", current_owner)
            if timer.owner is not None and hasattr(resumed, "gr_frame") and not hasattr(resumed, "owner"):
                resumed.owner = timer.owner
                timer.owner.track_task(resumed)
        when = self.now_s + max(timer.seconds, 0)
        heapq.heappush(self.timers, (when, next(self.sequence), timer))
        return when

    def schedule_in(self, *, owner: Any, seconds: float, call: Callable[..., Any]) -> Any:
        """Sets a timer with the given owner, whichever task calls this."""
        timer = _timer(seconds=seconds, call=call)
        timer.owner = owner
        self.add_timer(timer)
        return timer

    def prepare_timers(self) -> None:
        return

    def timer_canceled(self, timer: Any) -> None:
        """Removes canceled timers from the heap once more than 20,000 of them make up over half of it."""
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
            owner = timer.owner
            if owner is not None and not owner.alive:
                continue
            if owner is not None and owner.frozen:
                owner.deferred_timers.append(timer)
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
            raise DeadlockError
        self.now_s = max(self.now_s, due)

    def thaw(self, *, owner: Any) -> None:
        """Resumes a frozen process: all timers that came due meanwhile are due now."""
        deferred, owner.deferred_timers = owner.deferred_timers, []
        for timer in deferred:
            heapq.heappush(self.timers, (self.now_s, next(self.sequence), timer))


def _timer(*, seconds: float, call: Callable[..., Any]) -> Any:
    from eventlet.hubs.timer import Timer

    return Timer(seconds, call)
