"""Decodes the chunked transfer coding (RFC 9112, section 7.1) from data as it arrives."""

import dataclasses
import re
from enum import StrEnum

from dockmux.runtime.receive_limits import BodyTooLarge, LineTooLong

# A chunk's size with its extensions.
MAX_SIZE_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 16_384
# Framing around the data: sizes with extensions. Chunks of one byte have five bytes each.
FREE_FRAMING_BYTES = 65_536
MAX_FRAMING_RATIO = 16
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n]*)?\r?\n")
LINE_ENDS = (b"\r\n", b"\n")
# The usual size lines, so that a body of many small chunks costs little.
SMALL_SIZES = {
    spelling % size: size for size in range(1, 4097) for spelling in (b"%x\r\n", b"%X\r\n", b"%04x\r\n")
}  # fmt: skip


class ChunkingError(ValueError):
    """The data is not in the chunked coding."""


class Expects(StrEnum):
    """What comes next."""

    SIZE = "size"
    DATA = "data"
    DATA_END = "data end"
    TRAILER = "trailer"
    NOTHING = "nothing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decoded:
    """Decoded data, and how many bytes of the input it took; the rest belongs to what follows the body."""

    data: bytes
    consumed: int


class ChunkedDecoder:
    """Invariants: `left` is what has not yet come of the current chunk's data; `partial` is an incomplete line;
    `ended` is true once the last chunk and its trailer are complete. No told size makes it hold or ask for memory."""

    def __init__(self) -> None:
        self.expects = Expects.SIZE
        self.left = 0
        self.partial = b""
        self.trailer_bytes = 0
        self.framing_bytes = 0
        self.data_bytes = 0

    @property
    def ended(self) -> bool:
        return self.expects is Expects.NOTHING

    @property
    def between_chunks(self) -> bool:
        """Whether the next byte begins a chunk."""
        return self.expects is Expects.SIZE and not self.partial

    def note_data(self, *, count: int) -> None:
        """Notes that `count` bytes of the current chunk's data were received."""
        self.left -= count
        self.data_bytes += count
        if not self.left:
            self.expects = Expects.DATA_END

    def decode(self, *, received: bytes) -> Decoded:
        """Decodes what was received next. Raises ChunkingError, LineTooLong or BodyTooLarge."""
        pieces = []
        position, end = 0, len(received)
        while position < end and self.expects is not Expects.NOTHING:
            if self.expects is Expects.DATA:
                piece = received[position : position + self.left]
                pieces.append(piece)
                position += len(piece)
                self.note_data(count=len(piece))
                continue
            if self.expects is Expects.SIZE and not self.partial:
                position = self._take_whole_chunks(received=received, position=position, pieces=pieces)
                if position == end:
                    break
            line_end = received.find(b"\n", position) + 1
            line = self.partial + received[position : line_end or end]
            position = line_end or end
            if line_end:
                self.partial = b""
                self._take_line(line=line)
            else:
                self._keep_partial(line=line)
        return Decoded(data=b"".join(pieces), consumed=position)

    def _take_whole_chunks(self, *, received: bytes, position: int, pieces: list[bytes]) -> int:
        """Decodes chunks that have arrived whole and have a usual size; returns where the first other one begins."""
        data_bytes = framing_bytes = 0
        while line_end := received.find(b"\n", position) + 1:
            size = SMALL_SIZES.get(received[position:line_end])
            if size is None:
                break
            data_end = line_end + size
            if received[data_end : data_end + 2] != b"\r\n":
                break
            pieces.append(received[line_end:data_end])
            data_bytes += size
            framing_bytes += line_end - position + 2
            position = data_end + 2
        self.data_bytes += data_bytes
        self.framing_bytes += framing_bytes
        return position

    def _keep_partial(self, *, line: bytes) -> None:
        if self.expects is Expects.DATA_END and line != b"\r":
            raise ChunkingError("a chunk is longer than its size")
        if len(line) > MAX_SIZE_LINE_BYTES:
            raise LineTooLong(f"a line of the chunked coding is longer than {MAX_SIZE_LINE_BYTES} bytes")
        self.partial = line

    def _take_line(self, *, line: bytes) -> None:
        self.framing_bytes += len(line)
        if self.framing_bytes > FREE_FRAMING_BYTES + MAX_FRAMING_RATIO * self.data_bytes:
            raise BodyTooLarge(f"{self.framing_bytes} bytes of framing around {self.data_bytes} bytes of data")
        if self.expects is Expects.DATA_END:
            if line not in LINE_ENDS:
                raise ChunkingError("a chunk is longer than its size")
            self.expects = Expects.SIZE
        elif self.expects is Expects.SIZE:
            self._take_size(line=line)
        else:
            self._take_trailer(line=line)

    def _take_size(self, *, line: bytes) -> None:
        match = SIZE_LINE.fullmatch(line)
        if match is None or len(line) > MAX_SIZE_LINE_BYTES:
            raise ChunkingError(f"no chunk size: {line[:40]!r}")
        self.left = int(match.group(1), 16)
        self.expects = Expects.DATA if self.left else Expects.TRAILER

    def _take_trailer(self, *, line: bytes) -> None:
        if line in LINE_ENDS:
            self.expects = Expects.NOTHING
            return
        self.trailer_bytes += len(line)
        if self.trailer_bytes > MAX_TRAILER_BYTES:
            raise BodyTooLarge(f"a trailer is longer than {MAX_TRAILER_BYTES} bytes")
