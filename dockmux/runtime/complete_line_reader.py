"""Reading lines of HTTP from a connection that may end at any byte."""

import io
from typing import Any


def _nothing_more(_buffer: Any) -> int:
    """In place of a raw reader's `readinto`: its end."""
    return 0


class HeadTooLarge(Exception):
    """The lines of a request's head are longer than is allowed."""


class CompleteLineReader(io.BufferedReader):
    """The reading side of a connection. Invariants: a line is given out only with its end: of one that the
    connection's end cuts short it is not known what it was to say; while `left` is a number, lines together have no
    more bytes than that."""

    left: int | None = None

    def readline(self, size: int | None = -1) -> bytes:
        if self.left is not None:
            size = self.left + 1 if size is None or size < 0 else min(size, self.left + 1)
        line = super().readline(size)
        if self.left is not None:
            self.left -= len(line)
            if self.left < 0:
                raise HeadTooLarge
        limited = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not limited:
            raise ConnectionResetError("the connection ended before its next line did")
        return line

    def holds_more(self) -> bool:
        """Whether something was received and not read; nothing more is received from here on."""
        self.raw.readinto = _nothing_more
        return bool(self.peek(1))
