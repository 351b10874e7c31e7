"""A bound on calls to the data folder: one that never returns must not leave a daemon that can store nothing."""

import contextlib
from collections.abc import Iterator
from datetime import timedelta

import eventlet

# Longer than disks stall, and short enough that a core is whole again before another one goes.
FILE_CALL_LIMIT = timedelta(seconds=10)


class DiskSilent(OSError):
    """A file call has not returned within its bound: what became of it is not known, and no other is made."""


class FileCalls:
    """Invariant: once `lost`, no call of this process is begun any more; what is under way may yet reach the disk, so
    only another process, which reads what is there, may write again."""

    def __init__(self) -> None:
        self.lost = False

    @contextlib.contextmanager
    def bounded(self) -> Iterator[None]:
        """Bounds the call inside it; DiskSilent when it does not return in time."""
        if self.lost:
            raise DiskSilent("an earlier file call has not returned")
        limit = eventlet.Timeout(FILE_CALL_LIMIT.total_seconds())
        try:
            yield
        except eventlet.Timeout as timeout:
            if timeout is not limit:
                raise
            self.lost = True
            raise DiskSilent(f"a file call has not returned within {FILE_CALL_LIMIT.total_seconds():g} s") from None
        finally:
            limit.cancel()
