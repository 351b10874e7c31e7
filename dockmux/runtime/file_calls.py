"""Time limit for calls to the data folder.

Without it a file call that never returns would leave a daemon running that can no longer store anything.
"""

import contextlib
from collections.abc import Iterator
from datetime import timedelta

import eventlet

# Longer than typical disk stalls, yet short enough that a core is replaced and has caught up before another one fails.
FILE_CALL_LIMIT = timedelta(seconds=10)


class DiskUnresponsive(OSError):
    """A file call did not return within the limit: its result is unknown, and no further call is made."""


class FileCalls:
    """Limits the duration of file calls.

    Invariant: once `timed_out` is set, this process starts no further file call. The pending call may still reach the
    disk, so only a new process, which reads the actual content first, may write again.
    """

    def __init__(self) -> None:
        self.timed_out = False

    @contextlib.contextmanager
    def bounded(self) -> Iterator[None]:
        """Raises DiskUnresponsive if the enclosed call, or an earlier one, does not return within FILE_CALL_LIMIT."""
        if self.timed_out:
            raise DiskUnresponsive("an earlier file call has not returned")
        limit = eventlet.Timeout(FILE_CALL_LIMIT.total_seconds())
        try:
            yield
        except eventlet.Timeout as timeout:
            if timeout is not limit:
                raise
            self.timed_out = True
            raise DiskUnresponsive(
                f"a file call has not returned within {FILE_CALL_LIMIT.total_seconds():g} s"
            ) from None
        finally:
            limit.cancel()
