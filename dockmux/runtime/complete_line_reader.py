"""Reads lines of HTTP from a connection that may end at any byte."""

import io
from typing import Any


def _read_end_of_stream(_buffer: Any) -> int:
    """Replaces a raw reader's `readinto` and reports end of stream."""
    return 0


class HeadTooLarge(Exception):
    """The lines of a request's head exceed the size limit."""


class CompleteLineReader(io.BufferedReader):
    """The reading side of a connection. Invariants: a line is returned only with its line end, since the meaning of a
    truncated line is unknown; while `remaining_bytes` is a number, it limits the total size of the lines still read."""

    remaining_bytes: int | None = None

    def readline(self, size: int | None = -1) -> bytes:
        """Raises HeadTooLarge beyond `remaining_bytes`, and ConnectionResetError for a truncated line."""
        if self.remaining_bytes is not None:
            size = self.remaining_bytes + 1 if size is None or size < 0 else min(size, self.remaining_bytes + 1)
        line = super().readline(size)
        if self.remaining_bytes is not None:
            self.remaining_bytes -= len(line)
            if self.remaining_bytes < 0:
                raise HeadTooLarge
        limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not limited:
            raise ConnectionResetError("the connection ended before its next line did")
        return line

    def holds_more(self) -> bool:
        """Whether received data is still unread. The connection is not read any further after this call."""
        self.raw.readinto = _read_end_of_stream
        return bool(self.peek(1))
