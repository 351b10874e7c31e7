"""A group of tasks that ends together, used as a context manager."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import eventlet
from greenlet import GreenletExit

from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.memory_reserve import process_memory_reserve

RESTART_DELAY = timedelta(milliseconds=200)
MAX_KILL_ATTEMPTS = 100


class TaskGroup:
    """Invariants: every task in `tasks` was spawned here and is killed when the group exits; `failed` is the number of
    task failures."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.tasks: list[Any] = []
        self.failed = 0

    def __enter__(self) -> "TaskGroup":
        return self

    def __exit__(self, *_: object) -> None:
        for task in self.tasks:
            _kill(task=task)
        self.tasks.clear()

    def supervise(self, *, task: Callable[..., Any], **keywords: Any) -> None:
        """Runs a task that is meant to run forever, and restarts it after a failure."""
        self.tasks.append(self.host.spawn(task=self._supervise, work=task, keywords=keywords))

    def start(self, *, task: Callable[..., Any], **keywords: Any) -> Any:
        """Runs a task once; a failure is logged and counted. Returns the spawned greenlet."""
        self.tasks = [t for t in self.tasks if not t.dead]
        spawned = self.host.spawn(task=self._run_once, work=task, keywords=keywords)
        self.tasks.append(spawned)
        return spawned

    def _run_once(self, *, work: Callable[..., Any], keywords: dict[str, Any]) -> None:
        try:
            work(**keywords)
        except GreenletExit:
            raise
        except MemoryError as error:
            self.failed += 1
            process_memory_reserve.release()
            self.host.log(LogEvent.MEMORY_EXHAUSTED, error=describe_error(error=error))
        except (Exception, eventlet.Timeout) as error:
            self.failed += 1
            self.host.log(LogEvent.TASK_FAILED, task=work.__qualname__, error=describe_error(error=error))

    def _supervise(self, *, work: Callable[..., Any], keywords: dict[str, Any]) -> None:
        while True:
            self._run_once(work=work, keywords=keywords)
            try:
                self.host.sleep(wait=RESTART_DELAY)
            except MemoryError:
                process_memory_reserve.release()


def _kill(*, task: Any) -> None:
    """Ends a task, also without memory: a daemon that starts anew must be alone in its process."""
    for _ in range(MAX_KILL_ATTEMPTS):
        try:
            task.kill()
            return
        except MemoryError:
            process_memory_reserve.release()


def describe_error(*, error: BaseException) -> str:
    """The error with the last 6 positions of its traceback, on one line."""
    positions = []
    trace = error.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        positions.append(f"{code.co_filename.rpartition('/')[2]}:{trace.tb_lineno}")
        trace = trace.tb_next
    return f"{type(error).__name__}: {error} ({' < '.join(reversed(positions[-6:]))})"
