"""Limits for what a peer may send, and the memory that received data may take up in a process, all together."""

import contextlib
from collections.abc import Iterator
from datetime import timedelta

# A line of a head, of a chunk's framing, of a trailer.
MAX_LINE_BYTES = 65_536
# All header lines of one answer, with those of interim answers before it.
MAX_ANSWER_HEAD_BYTES = 131_072
# An answer that is passed on as it arrives.
MAX_ANSWER_BYTES = 64 << 20
# An answer that is read whole before it is used: an engine's status, a KV cache handle, a control call.
MAX_SHORT_ANSWER_BYTES = 1 << 20
# An answer of one of dockmux's own programs, as read by its command line.
MAX_OWN_ANSWER_BYTES = 64 << 20
# All received data that a process holds for a while: request bodies, unfinished frames, events and answers.
MAX_HELD_BYTES = 48 << 20
# Data is read from a connection in pieces of at most this size.
READ_BYTES = 65_536
# A unit (a head, chunk, event, frame or body) may take this long, and longer by its size at the least rate.
UNIT_TIME_LIMIT = timedelta(seconds=2)
MIN_BYTES_PER_SECOND = 65_536


class ReceiveLimitExceeded(OSError):
    """A peer sent more than is allowed. HTTP answers name this class in `why`."""


class HeadTooLarge(ReceiveLimitExceeded):
    """The lines of a head exceed their limit."""


class LineTooLong(ReceiveLimitExceeded):
    """A line exceeds its limit."""


class BodyTooLarge(ReceiveLimitExceeded):
    """A body, or the framing around it, exceeds its limit."""


class HeldBytesExceeded(OSError):
    """The process holds as much received data as it may, whoever sent it."""


def unit_time_limit(*, received_bytes: int) -> timedelta:
    """How long a unit of which this much has been received may have taken."""
    return UNIT_TIME_LIMIT + timedelta(seconds=received_bytes / MIN_BYTES_PER_SECOND)


class HeldBytes:
    """Counts received data that is held in memory. Invariant: `total` is the sum over all open charges, and at most
    `limit_bytes`."""

    def __init__(self, *, limit_bytes: int = MAX_HELD_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.total = 0

    @contextlib.contextmanager
    def charge(self) -> Iterator["Charge"]:
        """A charge that is released at the end of the context."""
        charge = Charge(held=self)
        try:
            yield charge
        finally:
            charge.release()


class Charge:
    """The data that one reader holds. Invariant: `size` is counted in the total."""

    def __init__(self, *, held: HeldBytes) -> None:
        self.held = held
        self.size = 0

    def set(self, *, size: int) -> None:
        """Raises HeldBytesExceeded, and leaves the charge as it is, where the total would exceed its limit."""
        added = size - self.size
        if added > 0 and self.held.total + added > self.held.limit_bytes:
            raise HeldBytesExceeded(f"{self.held.total} bytes of received data are held already")
        self.held.total += added
        self.size = size

    def release(self) -> None:
        self.held.total -= self.size
        self.size = 0


# Connections of one process share its memory, so there is one count for each process.
process_held_bytes = HeldBytes()
