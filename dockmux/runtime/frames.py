"""Netstrings over a stream."""

from typing import Any

FRAME_LIMIT = 64 * 1024 * 1024


class FrameError(OSError):
    """The stream ended inside a frame or holds something else than netstrings."""


def pack(*, data: bytes) -> bytes:
    return b"%d:%s," % (len(data), data)


def unpack(*, datagram: bytes) -> bytes:
    head, colon, rest = datagram.partition(b":")
    if not colon or not head.isdigit() or len(rest) != int(head) + 1 or rest[-1:] != b",":
        raise FrameError("not one netstring")
    return rest[:-1]


class FrameStream:
    """One stream of frames. Invariant: `held` is what was received and not yet given out."""

    def __init__(self, *, sock: Any) -> None:
        self.sock = sock
        self.held = b""

    def __enter__(self) -> "FrameStream":
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()

    def send(self, *, data: bytes) -> None:
        self.sock.sendall(pack(data=data))

    def _more(self) -> None:
        got = self.sock.recv(65536)
        if not got:
            raise FrameError("stream ended")
        self.held += got

    def receive(self) -> bytes:
        while b":" not in self.held:
            if len(self.held) > 10:
                raise FrameError("no length")
            self._more()
        head, _, rest = self.held.partition(b":")
        if not head.isdigit() or int(head) > FRAME_LIMIT:
            raise FrameError("bad length")
        sizeBytes = int(head)
        parts = [rest]
        have = len(rest)
        while have < sizeBytes + 1:
            got = self.sock.recv(65536)
            if not got:
                raise FrameError("stream ended inside a frame")
            parts.append(got)
            have += len(got)
        body = b"".join(parts)
        if body[sizeBytes : sizeBytes + 1] != b",":
            raise FrameError("no end mark")
        self.held = body[sizeBytes + 1 :]
        return body[:sizeBytes]


class _Pieces:
    def __init__(self, *, pieces: list[bytes]) -> None:
        self.pieces = pieces

    def recv(self, _: int) -> bytes:
        return self.pieces.pop(0) if self.pieces else b""


def test_frames_come_whole_however_they_were_cut():
    sent = pack(data=b"one") + pack(data=b"") + pack(data=b"three,3:")
    for cut in range(1, len(sent)):
        stream = FrameStream(sock=_Pieces(pieces=[sent[:cut], sent[cut:]]))
        assert [stream.receive() for _ in range(3)] == [b"one", b"", b"three,3:"]


def test_what_is_no_frame_is_refused():
    for bad in (b"x:ab,", b"3:ab", b"2:abc", b"99999999999999", b"2:ab;"):
        try:
            FrameStream(sock=_Pieces(pieces=[bad])).receive()
        except FrameError:
            continue
        raise AssertionError(bad)
