"""Responses as a client reads them: a complete head, an unambiguous end, and bounds for everything a server sends."""

import http.client
from collections.abc import Iterator
from typing import Any

import urllib3.exceptions
import urllib3.util.response
from urllib3 import HTTPHeaderDict

from dockmux.runtime.chunked_body import ChunkedDecoder
from dockmux.runtime.complete_line_reader import CompleteLineReader
from dockmux.runtime.host import Host
from dockmux.runtime.receive_limits import (
    MAX_ANSWER_BYTES,
    MAX_ANSWER_HEAD_BYTES,
    MAX_LINE_BYTES,
    MAX_SHORT_ANSWER_BYTES,
    READ_BYTES,
    BodyTooLarge,
    LineTooLong,
    process_held_bytes,
)

# What reading a response and its content can raise, whatever the server sends. Each ends the call and nothing else.
WIRE_ERRORS = (
    OSError, http.client.HTTPException, urllib3.exceptions.HTTPError, ValueError, LookupError, TypeError,
    AttributeError, ArithmeticError, RecursionError, MemoryError,
)  # fmt: skip


class BadAnswer(OSError):
    """The response is malformed, or has no unambiguous end. HTTP answers name this class in `why`."""


class StrictResponse(http.client.HTTPResponse):
    """A response with a complete head of bounded size and an unambiguous end of body; anything else is an error.
    Interim (1xx) responses are skipped. Invariant: `surplus` is true once the response has been read to its end and
    data beyond it had arrived by then."""

    def __init__(
        self, sock: Any, debuglevel: int = 0, method: str | None = None, url: str | None = None, *, host: Host
    ) -> None:  # fmt: skip
        super().__init__(sock, debuglevel=debuglevel, method=method, url=url)
        self.fp = CompleteLineReader(raw=self.fp.detach(), host=host)
        self.surplus = False

    def _close_conn(self) -> None:
        self.surplus = self.fp.holds_more()
        super()._close_conn()

    def begin(self) -> None:
        # The heads of interim responses count as well: a server could send them without end.
        self.fp.remaining_bytes = MAX_ANSWER_HEAD_BYTES
        super().begin()
        while 100 <= self.status < 200:
            if self.status == http.client.SWITCHING_PROTOCOLS:
                raise BadAnswer("another protocol, which nobody asked for")
            self.headers = self.msg = None
            super().begin()
        self.fp.remaining_bytes = None
        urllib3.util.response.assert_header_parsing(self.msg)
        self._check_framing()

    def _check_framing(self) -> None:
        coding = self.headers.get("transfer-encoding")
        if coding is not None and not self.chunked:
            raise BadAnswer(f"unknown transfer coding {coding!r}")
        lengths = {text.strip() for text in self.headers.get_all("content-length", [])}
        if len(lengths) > 1 or not all(text.isascii() and text.isdigit() for text in lengths):
            raise BadAnswer(f"no content length: {sorted(lengths)!r}"[:200])


class BoundedResponse:
    """A response whose body is read within limits.

    Invariants: memory is held for what has arrived and never for what was only announced; nothing is read ahead of the
    consumer but what one read returned; `ended` is true once the body was read to the end that the server announced.
    Past `ends_at`, a time of the host's monotonic clock in seconds, nothing more is read.
    While `chunk_is_unit`, the end of a chunk ends a unit of the reader; otherwise the consumer says when a unit ends.
    """

    def __init__(self, *, response: StrictResponse, host: Host) -> None:
        self.response = response
        self.host = host
        self.status = response.status
        self.headers = HTTPHeaderDict(response.msg.items())
        self.ended = False
        self.chunk_is_unit = True
        self.ends_at: float | None = None
        self.announced = None if self.chunked else response.length
        # One iterator for all readers of this body: each continues where the last one stopped.
        self._parts = self._chunked_parts() if self.chunked else self._plain_parts()
        self._received = 0
        if self.response.length == 0:
            self._end()

    @property
    def chunked(self) -> bool:
        return bool(self.response.chunked)

    @property
    def is_self_delimiting(self) -> bool:
        """Whether the server announced where the body ends; otherwise the end of the connection does."""
        return self.chunked or self.response.length is not None

    def chunks(self, *, limit_bytes: int = MAX_ANSWER_BYTES) -> Iterator[bytes]:
        """Yields the body as it arrives. Raises BodyTooLarge beyond the limit, and one of WIRE_ERRORS if the body is
        malformed or breaks off."""
        if self.ended:
            return
        if self.announced is not None and self.announced > limit_bytes:
            raise BodyTooLarge(f"a body of {self.announced} bytes is announced, allowed are {limit_bytes}")
        for data in self._parts:
            self._received += len(data)
            if self.ends_at is not None and self.host.monotonic_seconds() > self.ends_at:
                raise TimeoutError("the time for the body is over")
            if self._received > limit_bytes:
                raise BodyTooLarge(f"a body is longer than {limit_bytes} bytes")
            yield data

    def read(self, *, limit_bytes: int = MAX_SHORT_ANSWER_BYTES) -> bytes:
        """The whole body. Raises as `chunks` does, and HeldBytesExceeded."""
        pieces = []
        with process_held_bytes.charge() as charge:
            for data in self.chunks(limit_bytes=limit_bytes):
                charge.set(size=charge.size + len(data))
                pieces.append(data)
            return b"".join(pieces)

    def lines(self, *, limit_bytes: int = MAX_ANSWER_BYTES, line_bytes: int = MAX_LINE_BYTES) -> Iterator[bytes]:
        """Yields the body's lines as they become complete; the last one may lack its line end."""
        partial = bytearray()
        for data in self.chunks(limit_bytes=limit_bytes):
            scan_from = len(partial)
            partial += data
            begin = 0
            while (end := partial.find(b"\n", max(scan_from, begin)) + 1) > 0:
                yield bytes(partial[begin:end])
                begin = end
            del partial[:begin]
            if len(partial) > line_bytes:
                raise LineTooLong(f"a line is longer than {line_bytes} bytes")
        if partial:
            yield bytes(partial)

    def __iter__(self) -> Iterator[bytes]:
        return self.lines()

    def _chunked_parts(self) -> Iterator[bytes]:
        reader, decoder = self.response.fp, ChunkedDecoder()
        while not decoder.ended:
            if decoder.left:
                data = self._expect(reader.read1(min(decoder.left, READ_BYTES)))
                decoder.note_data(count=len(data))
            else:
                decoded = decoder.decode(received=self._expect(reader.peek(1)))
                reader.read(decoded.consumed)
                data = decoded.data
            if self.chunk_is_unit and decoder.between_chunks:
                reader.raw.end_unit()
            if data:
                yield data
        self._end()

    def _plain_parts(self) -> Iterator[bytes]:
        reader, left = self.response.fp, self.announced
        while left is None or left > 0:
            data = reader.read1(READ_BYTES if left is None else min(left, READ_BYTES))
            if left is None and not data:
                break
            self._expect(data)
            if left is not None:
                left -= len(data)
            yield data
        self._end()

    def _expect(self, data: bytes) -> bytes:
        if not data:
            raise ConnectionResetError("the connection ended before the body did")
        return data

    def _end(self) -> None:
        """Notes the end of the body; the connection may then be used again."""
        self.ended = True
        self.response.close()
