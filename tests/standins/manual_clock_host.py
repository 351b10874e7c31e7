"""Host whose clock is advanced by the test only, for units that need nothing else."""

import random
from datetime import timedelta
from typing import Any

from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms


class ManualClockHost(Host):
    """Invariant: `now` is the monotonic time; only `advance_ms` changes it."""

    def __init__(self, *, seed: int = 1) -> None:
        self.name = "still"
        self.random = random.Random(seed)
        self.folder = None
        self.now = timedelta(hours=1)
        self.logged: list[LogEvent] = []

    def elapsed(self) -> timedelta:
        return self.now

    def advance_ms(self, count: float) -> None:
        self.now += ms(count)

    def log(self, log_event: LogEvent, **fields: Any) -> None:
        log_event.text(**fields)
        self.logged.append(log_event)
