"""Tasks of a daemon without memory."""

import contextlib
from datetime import timedelta

import pytest

from dockmux.runtime import daemon
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.task_group import TaskGroup
from tests.daemon_test import Daemon, Ended, SignalHost, isolated_signals, settings

__all__ = ["isolated_signals"]


class TaskThatFailsToEnd:
    def __init__(self, *, failures: int) -> None:
        self.failures = failures
        self.ended = False

    def kill(self) -> None:
        if self.failures:
            self.failures -= 1
            raise MemoryError
        self.ended = True


def test_a_group_ends_all_tasks_though_ending_one_fails():
    """Guards against tasks of a former daemon that go on beside the one that was started anew."""
    tasks = [TaskThatFailsToEnd(failures=count) for count in (0, 3, 0)]
    with TaskGroup(host=Host(name="a")) as task_group:
        task_group.tasks.extend(tasks)
    assert all(task.ended for task in tasks)


def test_a_daemon_without_memory_starts_anew_only_when_its_disk_may_be_read(isolated_signals, monkeypatch):
    """Guards against a daemon that reads its disk while a call of the former one may still write: there was not even
    memory to tell why the former one failed."""

    def describe_without_memory(*, error: BaseException) -> str:
        raise MemoryError

    monkeypatch.setattr(daemon, "describe_error", describe_without_memory)
    host = SignalHost(signals=[1, 1, 1, 1, 1, 1])
    pending = [False, False, True]
    host.resume_disk = lambda: pending.pop(0)
    started: list[timedelta] = []

    def start() -> contextlib.AbstractContextManager[Daemon]:
        started.append(host.elapsed())
        if len(started) == 1:
            raise OSError("the disk cannot be used")
        return contextlib.nullcontext(Daemon())

    with pytest.raises(Ended):
        daemon.run(host=host, settings=settings(seeds=["10.0.0.1:7000"]), start=start)
    assert pending == [] and started[1] - started[0] >= 3 * daemon.RETRY_INTERVAL
    assert host.logged[0][0] is LogEvent.MEMORY_EXHAUSTED
