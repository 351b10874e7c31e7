"""Netstring framing, for streams and for single datagrams."""

from typing import Any

MAX_FRAME_BYTES = 64 * 1024 * 1024


class FrameError(OSError):
    """The data is not a netstring, or the stream ended within a frame."""


def pack(*, data: bytes) -> bytes:
    """Encodes data as one netstring."""
    return b"%d:%s," % (len(data), data)


def unpack(*, datagram: bytes) -> bytes:
    """Decodes a datagram that holds exactly one netstring."""
    head, colon, rest = datagram.partition(b":")
    if not colon or not head.isdigit() or len(rest) != int(head) + 1 or rest[-1:] != b",":
        raise FrameError("datagram is not a single netstring")
    return rest[:-1]


class FrameStream:
    """A stream of frames. Invariant: `buffer` is the data received and not yet returned."""

    def __init__(self, *, sock: Any) -> None:
        self.sock = sock
        self.buffer = b""

    def __enter__(self) -> "FrameStream":
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()

    def send(self, *, data: bytes) -> None:
        self.sock.sendall(pack(data=data))

    def _receive_more(self) -> None:
        chunk = self.sock.recv(65536)
        if not chunk:
            raise FrameError("end of stream")
        self.buffer += chunk

    def receive(self) -> bytes:
        """Returns the next frame; raises FrameError at end of stream."""
        while b":" not in self.buffer:
            if len(self.buffer) > 10:
                raise FrameError("frame has no length prefix")
            self._receive_more()
        head, _, rest = self.buffer.partition(b":")
        if not head.isdigit() or int(head) > MAX_FRAME_BYTES:
            raise FrameError("invalid frame length")
        size = int(head)
        parts = [rest]
        received = len(rest)
        while received < size + 1:
            chunk = self.sock.recv(65536)
            if not chunk:
                raise FrameError("end of stream within a frame")
            parts.append(chunk)
            received += len(chunk)
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
    for bad in (b"x:ab,", b"3:ab", b"2:abc", b"99999999999999", b"2:ab;"):
        try:
            FrameStream(sock=_ChunkSocket(chunks=[bad])).receive()
        except FrameError:
            continue
        raise AssertionError(bad)
