"""Time limit for calls to the data folder.

Without it a file call that never returns would leave a daemon running that can no longer store anything.
"""

import contextlib
from collections.abc import Iterator
from datetime import timedelta

import eventlet

from dockmux.runtime.running_time import RunningTimeLimit

# Longer than typical disk stalls, yet short enough that a core is replaced and has caught up before another one fails.
FILE_CALL_LIMIT = timedelta(seconds=10)


class DiskUnresponsive(OSError):
    """A file call did not return within the limit: its result is unknown, and no further call is made."""


class FileCall:
    """One file call. Invariant: once `returned` is set, the call does nothing more to the disk."""

    def __init__(self) -> None:
        self.returned = False


class FileCalls:
    """Limits the duration of file calls, counted while the process runs.

    Invariants: while `timed_out` is set, no further file call starts; `pending` holds every call that may still reach
    the disk, also those whose tasks have ended. Only a daemon that reads the actual content after all have returned may
    write again.
    """

    def __init__(self) -> None:
        self.timed_out = False
        self.pending: list[FileCall] = []

    def resume(self) -> bool:
        """Allows file calls again, for a caller that then reads what is stored. False while a call is pending."""
        self.pending = [call for call in self.pending if not call.returned]
        if self.pending:
            return False
        self.timed_out = False
        return True

    @contextlib.contextmanager
    def bounded(self) -> Iterator[FileCall]:
        """Raises DiskUnresponsive if the enclosed call, or an earlier one, does not return within FILE_CALL_LIMIT."""
        if self.timed_out:
            raise DiskUnresponsive("an earlier file call has not returned")
        self.pending = [call for call in self.pending if not call.returned]
        call = FileCall()
        self.pending.append(call)
        limit = RunningTimeLimit(FILE_CALL_LIMIT.total_seconds())
        try:
            yield call
            call.returned = True
        except eventlet.Timeout as timeout:
            if timeout is not limit:
                raise
            self.timed_out = True
            raise DiskUnresponsive(
                f"a file call has not returned within {FILE_CALL_LIMIT.total_seconds():g} s"
            ) from None
        finally:
            limit.cancel()
