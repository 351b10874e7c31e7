"""How long the tasks of this process wait for the processor, which they share by giving way to each other."""

from datetime import timedelta

from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ZERO, to_ms

LOGGED_DELAY = timedelta(milliseconds=500)
LOG_INTERVAL = timedelta(seconds=10)


class TaskDelay:
    """Measures by how much sleeps end late. Invariant: `longest` is the longest delay of this process so far."""

    def __init__(self) -> None:
        self.longest = ZERO
        self.logged_at: timedelta | None = None

    def sleep(self, *, host: Host, wait: timedelta) -> None:
        """Sleeps, and notes by how much the sleep took longer than `wait`."""
        started_at = host.elapsed()
        host.sleep(wait=wait)
        now = host.elapsed()
        delay = now - started_at - wait
        self.longest = max(self.longest, delay)
        is_logged_again = self.logged_at is None or now - self.logged_at >= LOG_INTERVAL
        if delay >= LOGGED_DELAY and is_logged_again:
            self.logged_at = now
            host.log(LogEvent.TASKS_DELAYED, delay_ms=to_ms(delay))


# Tasks of one process share one processor, so there is one measurement for each process.
process_task_delay = TaskDelay()
