"""Netstring framing, for streams and for single datagrams."""

import contextlib
from datetime import timedelta
from typing import Any

from dockmux.runtime.fair_reader import ReadTurn
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.receive_limits import READ_BYTES, Charge, process_held_bytes

MAX_FRAME_BYTES = 32 << 20
MAX_DATAGRAM_BYTES = 65_536
MAX_LENGTH_DIGITS = 10
# How long a frame may take from its first byte on.
FRAME_TIME_LIMIT = timedelta(seconds=10)


class FrameError(OSError):
    """The data is not a netstring, or the stream ended within a frame."""


def pack(*, data: bytes) -> bytes:
    """Encodes data as one netstring."""
    return b"%d:%s," % (len(data), data)


def unpack(*, datagram: bytes) -> bytes:
    """Decodes a datagram that holds exactly one netstring."""
    head, colon, rest = datagram.partition(b":")
    if (
        not colon
        or not head.isdigit()
        or len(head) > MAX_LENGTH_DIGITS
        or len(rest) != int(head) + 1
        or rest[-1:] != b","
    ):
        raise FrameError("datagram is not a single netstring")
    return rest[:-1]


class FrameStream:
    """A stream of frames. Invariants: `buffer` is the data received and not yet returned; memory is held for what has
    arrived and never for what was only announced; given a host, reading gives way to other tasks."""

    def __init__(self, *, sock: Any, host: Host | None = None) -> None:
        self.sock = sock
        self.turn = ReadTurn(host=host) if host is not None else None
        self.buffer = b""

    def __enter__(self) -> "FrameStream":
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()

    def send(self, *, data: bytes) -> None:
        self.sock.sendall(pack(data=data))

    def _receive_some(self) -> bytes:
        began_at = self.turn.give_way() if self.turn is not None else 0.0
        data = self.sock.recv(READ_BYTES)
        if self.turn is not None:
            self.turn.note_read(began_at=began_at)
        if not data:
            raise FrameError("end of stream")
        return data

    def receive(self) -> bytes:
        """Returns the next frame; raises FrameError at end of stream, TimeoutError if a frame that has begun does not
        come to its end, and HeldBytesExceeded."""
        if not self.buffer:
            self.buffer = self._receive_some()
        with contextlib.ExitStack() as stack:
            if self.turn is not None:
                stack.enter_context(time_limit(wait=FRAME_TIME_LIMIT))
            charge = stack.enter_context(process_held_bytes.charge())
            return self._receive_rest(charge=charge)

    def _receive_rest(self, *, charge: Charge) -> bytes:
        while b":" not in self.buffer:
            if len(self.buffer) > MAX_LENGTH_DIGITS:
                raise FrameError("frame has no length prefix")
            self.buffer += self._receive_some()
        head, _, rest = self.buffer.partition(b":")
        if not head.isdigit() or len(head) > MAX_LENGTH_DIGITS or int(head) > MAX_FRAME_BYTES:
            raise FrameError("invalid frame length")
        size = int(head)
        parts = [rest]
        received = len(rest)
        while received < size + 1:
            charge.set(size=received)
            parts.append(self._receive_some())
            received += len(parts[-1])
        body = b"".join(parts)
        if body[size : size + 1] != b",":
            raise FrameError("frame does not end with a comma")
        self.buffer = body[size + 1 :]
        return body[:size]


class _ChunkSocket:
    def __init__(self, *, chunks: list[bytes]) -> None:
        self.chunks = chunks

    def recv(self, _: int) -> bytes:
        return self.chunks.pop(0) if self.chunks else b""


def test_frames_are_complete_however_the_stream_is_split():
    sent = pack(data=b"one") + pack(data=b"") + pack(data=b"three,3:")
    for split in range(1, len(sent)):
        stream = FrameStream(sock=_ChunkSocket(chunks=[sent[:split], sent[split:]]))
        assert [stream.receive() for _ in range(3)] == [b"one", b"", b"three,3:"]


def test_invalid_frames_are_rejected():
    for bad in (b"x:ab,", b"3:ab", b"2:abc", b"99999999999999", b"2:ab;", b"9" * 9 + b":"):
        try:
            FrameStream(sock=_ChunkSocket(chunks=[bad])).receive()
        except FrameError:
            continue
        raise AssertionError(bad)
