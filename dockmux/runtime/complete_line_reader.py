"""Reads lines of HTTP from a connection that may end at any byte, or never."""

import io
from typing import Any

from dockmux.runtime.fair_reader import FairReader
from dockmux.runtime.host import Host
from dockmux.runtime.receive_limits import MAX_LINE_BYTES, HeadTooLarge, LineTooLong


def _read_end_of_stream(_buffer: Any) -> int:
    """Replaces a raw reader's `readinto` and reports end of stream."""
    return 0


class CompleteLineReader(io.BufferedReader):
    """The reading side of a connection. Invariants: a line is returned only with its line end, since the meaning of a
    truncated line is unknown; while `remaining_bytes` is a number, it limits the total size of the lines still read;
    no line is longer than MAX_LINE_BYTES unless the caller asks for more."""

    remaining_bytes: int | None = None

    def __init__(self, *, raw: Any, host: Host) -> None:
        super().__init__(FairReader(raw=raw, host=host))

    def readline(self, size: int | None = -1) -> bytes:
        """Raises HeadTooLarge beyond `remaining_bytes`, LineTooLong for a line beyond a limit that the caller did not
        set, and ConnectionResetError for a truncated line."""
        size_given = size is not None and size >= 0
        size = size if size_given else MAX_LINE_BYTES
        if self.remaining_bytes is not None:
            size = min(size, self.remaining_bytes + 1)
        line = super().readline(size)
        if self.remaining_bytes is not None:
            self.remaining_bytes -= len(line)
            if self.remaining_bytes < 0:
                raise HeadTooLarge("the head is over its limit")
        if line.endswith(b"\n"):
            return line
        if len(line) < size:
            raise ConnectionResetError("the connection ended before its next line did")
        if not size_given:
            raise LineTooLong(f"a line is longer than {MAX_LINE_BYTES} bytes")
        return line

    def holds_more(self) -> bool:
        """Whether received data is still unread. The connection is not read any further after this call."""
        self.raw.readinto = _read_end_of_stream
        return bool(self.peek(1))
