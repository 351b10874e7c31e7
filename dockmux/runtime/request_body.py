"""The body of a request as a server reads it, within limits of size, time and memory."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from eventlet import wsgi

from dockmux.runtime.chunked_body import ChunkedDecoder, ChunkingError
from dockmux.runtime.host import time_limit
from dockmux.runtime.receive_limits import (
    MIN_BYTES_PER_SECOND,
    READ_BYTES,
    BodyTooLarge,
    Charge,
    ReceiveLimitExceeded,
)

# How long a client may take for a body, and longer by its size at the least rate.
BODY_TIME_LIMIT = timedelta(seconds=15)
# What is read and dropped of a body that nobody wanted, so that the client, which sends first, reads the response.
MAX_DISCARDED_BYTES = 8 << 20
DISCARD_TIME_LIMIT = timedelta(seconds=3)


class RequestBody(wsgi.Input):
    """The body that belongs to one request. Invariants: nothing of the next request is consumed; memory is held for
    what has arrived and never for what was only announced; `ended` is true once the body was read to its end."""

    def __init__(self, *, given: wsgi.Input) -> None:
        self.__dict__.update(given.__dict__)
        self.ended = not self.chunked_input and not self.content_length
        self.received_bytes = 0

    def read_whole(self, *, limit_bytes: int, charge: Charge) -> bytes:
        """The whole body, counted in `charge`. Raises BodyTooLarge beyond the limit, HeldBytesExceeded, TimeoutError,
        another OSError if the body ends early, and ChunkingError."""
        if not self.chunked_input and self.content_length > limit_bytes:
            raise BodyTooLarge(f"a body of {self.content_length} bytes is announced, allowed are {limit_bytes}")
        pieces = []
        for data in self._timed_parts():
            if self.received_bytes > limit_bytes:
                raise BodyTooLarge(f"a body is longer than {limit_bytes} bytes")
            charge.set(size=charge.size + len(data))
            pieces.append(data)
        return b"".join(pieces)

    @property
    def can_be_skipped(self) -> bool:
        """Whether `discard` finds the body's end: not in the middle of a chunked one."""
        return not self.chunked_input or self.received_bytes == 0

    def discard(self, buffer_size: int = READ_BYTES) -> None:
        """Reads and drops the rest of the body. Raises ChunkReadError, upon which the server closes the connection."""
        begin = self.received_bytes
        try:
            with time_limit(wait=DISCARD_TIME_LIMIT):
                for _ in self._parts():
                    if self.received_bytes - begin > MAX_DISCARDED_BYTES:
                        raise BodyTooLarge("the rest of the body is too long to be skipped")
        except (TimeoutError, ReceiveLimitExceeded, ChunkingError) as error:
            raise wsgi.ChunkReadError(str(error)) from None

    def _timed_parts(self) -> Iterator[bytes]:
        """The parts of the body; TimeoutError if they come too slowly."""
        parts = self._parts()
        time = self.rfile.raw.host.monotonic_seconds
        began_at = time()
        while True:
            allowed = BODY_TIME_LIMIT + timedelta(seconds=self.received_bytes / MIN_BYTES_PER_SECOND)
            with time_limit(wait=allowed - timedelta(seconds=time() - began_at)):
                data = next(parts, None)
            if data is None:
                return
            yield data

    def _parts(self) -> Iterator[bytes]:
        if self.ended:
            return
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True
        for data in self._chunked_parts() if self.chunked_input else self._plain_parts():
            self.received_bytes += len(data)
            yield data
        self.ended = True

    def _plain_parts(self) -> Iterator[bytes]:
        while self.position < self.content_length:
            data = self._expect(self.rfile.read1(min(self.content_length - self.position, READ_BYTES)))
            self.position += len(data)
            yield data

    def _chunked_parts(self) -> Iterator[bytes]:
        decoder = ChunkedDecoder()
        while not decoder.ended:
            if decoder.left:
                data = self._expect(self.rfile.read1(min(decoder.left, READ_BYTES)))
                decoder.note_data(count=len(data))
            else:
                decoded = decoder.decode(received=self._expect(self.rfile.peek(1)))
                self.rfile.read(decoded.consumed)
                data = decoded.data
            if data:
                yield data

    def _expect(self, data: bytes) -> Any:
        if not data:
            raise ConnectionResetError("the connection ended before the body did")
        return data
