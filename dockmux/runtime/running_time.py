"""How long this process did not run, because it was suspended or one task kept the processor.

A time limit on another's doing counts only time in which this process ran: what was due meanwhile may be waiting to be
read.
"""

import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import eventlet
from eventlet.hubs import get_hub
from greenlet import getcurrent

# Gaps between two observations that are longer than this count as a pause.
MIN_PAUSE_S = 0.5


class RunningTime:
    """Invariant: `paused_s` is the sum of all pauses, up to the last observation. Without observations, as in the
    simulator and in commands, there are no pauses."""

    def __init__(self, *, seconds: Callable[[], float] = time.monotonic) -> None:
        self.seconds = seconds
        self.paused_s = 0.0
        self.observed_at: float | None = None
        self.interval_s = 0.0

    def observe(self, *, interval: timedelta) -> None:
        """Notes that the process runs now. To be called about once in each `interval`."""
        self.paused_s = self.paused_until_now()
        self.interval_s = interval.total_seconds()
        self.observed_at = self.seconds()

    def paused_until_now(self) -> float:
        """All pauses, in seconds, with one that is not yet observed."""
        if self.observed_at is None:
            return 0.0
        pause_s = self.seconds() - self.observed_at - self.interval_s
        return self.paused_s + (pause_s if pause_s > MIN_PAUSE_S else 0.0)


# Tasks of one process are paused together.
process_running_time = RunningTime()


class RunningTimeLimit(eventlet.Timeout):
    """A timeout that counts only time in which this process runs; otherwise used as `eventlet.Timeout`."""

    def start(self) -> "RunningTimeLimit":
        self.began_at = process_running_time.seconds()
        self.paused_before_s = process_running_time.paused_until_now()
        self.greenlet = getcurrent()
        self._schedule(seconds=self.seconds)
        return self

    def _schedule(self, *, seconds: float) -> None:
        self.timer = get_hub().schedule_call_global(seconds, self._expire)

    def _expire(self) -> None:
        paused_s = process_running_time.paused_until_now() - self.paused_before_s
        ran_s = process_running_time.seconds() - self.began_at - paused_s
        if paused_s > 0 and ran_s < self.seconds:
            self._schedule(seconds=self.seconds - ran_s)
            return
        reason: Any = self if self.exception is None or isinstance(self.exception, bool) else self.exception
        self.greenlet.throw(reason)
