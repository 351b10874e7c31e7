"""Wakes whoever waits, in the order in which they came."""

from datetime import timedelta

from eventlet.semaphore import Semaphore


class Condition:
    """Invariant: `waiting` holds one closed gate for each task that waits now; a ring opens all of them."""

    def __init__(self) -> None:
        self.waiting: list[Semaphore] = []

    def notify_all(self) -> None:
        waiting, self.waiting = self.waiting, []
        for gate in waiting:
            gate.release()

    def wait(self, *, wait: timedelta) -> bool:
        """Whether it rang within the time."""
        gate = Semaphore(0)
        self.waiting.append(gate)
        rang = bool(gate.acquire(timeout=max(wait.total_seconds(), 0)))
        if not rang and gate in self.waiting:
            self.waiting.remove(gate)
        return rang
