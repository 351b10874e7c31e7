"""Address space that is set aside, so that a process without memory can still refuse work and recover."""

import contextlib
import mmap

# What the tasks of a daemon need to go on for a while without new requests. Never written to, so it is no resident
# memory.
RESERVE_BYTES = 16 << 20
# Smaller bodies are read without asking whether there is memory for them.
SMALL_BODY_BYTES = 64 << 10
# A body is held as the pieces that arrive, as a whole, and in the buffers of its way.
ROOM_FACTOR = 3


class MemoryReserve:
    """Invariants: `block` is the reserve while it is held; `is_used` says that memory has run out and that there is
    not enough yet to hold it again; `exhausted` counts how often memory ran out."""

    def __init__(self) -> None:
        self.block: mmap.mmap | None = None
        self.is_used = False
        self.exhausted = 0

    def hold(self) -> None:
        """Sets the reserve aside if there is memory for it."""
        if self.block is None:
            with contextlib.suppress(OSError, MemoryError):
                self.block = mmap.mmap(-1, RESERVE_BYTES)
                self.is_used = False

    def release(self) -> None:
        """Gives the reserve to the tasks that go on; to be called when memory has run out."""
        self.exhausted += 1
        block, self.block = self.block, None
        if block is not None:
            self.is_used = True
            block.close()

    def has_room(self, *, size: int) -> bool:
        """Whether a body of this size may be read now."""
        if size <= SMALL_BODY_BYTES:
            return True
        if self.is_used:
            return False
        try:
            mmap.mmap(-1, size * ROOM_FACTOR).close()
        except (OSError, MemoryError):
            return False
        return True


# The tasks of a process share its memory.
process_memory_reserve = MemoryReserve()
