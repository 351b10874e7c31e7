"""A condition variable that wakes its waiters in the order of their arrival."""

from datetime import timedelta

from eventlet.semaphore import Semaphore


class Condition:
    """Invariant: `waiters` holds one unreleased semaphore for each waiting task; `notify_all` releases all of them."""

    def __init__(self) -> None:
        self.waiters: list[Semaphore] = []

    def notify_all(self) -> None:
        waiters, self.waiters = self.waiters, []
        for semaphore in waiters:
            semaphore.release()

    def wait(self, *, wait: timedelta) -> bool:
        """Waits up to `wait`; returns whether it was notified."""
        semaphore = Semaphore(0)
        self.waiters.append(semaphore)
        notified = bool(semaphore.acquire(timeout=max(wait.total_seconds(), 0)))
        if not notified and semaphore in self.waiters:
            self.waiters.remove(semaphore)
        return notified
