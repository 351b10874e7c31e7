"""Requests that end early: every place at which a small request may be cut, on both planes."""

import pytest

from dockmux.runtime import codec
from dockmux.runtime.frames import pack
from dockmux.runtime.messages import DirectoryAsk, DirectoryReply
from dockmux.runtime.rpc import RpcServer
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost, World
from tests.standins.fleet import SECOND, Fleet, fleet
from tests.standins.operator import configuration, packed

ADDRESS = "10.0.0.1:7000"
CHUNK = 16
"""Chunk sizes are written with leading zeros: one that is cut after a zero would pass for the last chunk."""


def chunked(*, data: bytes, trailer: bytes = b"") -> bytes:
    pieces = [data[at : at + CHUNK] for at in range(0, len(data), CHUNK)]
    return b"".join(b"%06x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"000\r\n" + trailer + b"\r\n"


def request_bytes(*, made: Fleet, path: str, body: bytes, in_chunks: bool) -> tuple[str, bytes]:
    request = made.request(path=path, body=body, tokens_out=0, tokens_in=100)
    head, _, _ = request.wire().partition(b"\r\n\r\n")
    if in_chunks:
        head = head.replace(f"Content-Length: {len(body)}".encode(), b"Transfer-Encoding: chunked")
        return request.request_id, head + b"\r\n\r\n" + chunked(data=body, trailer=b"X-Sum: 7\r\n")
    return request.request_id, head + b"\r\n\r\n" + body


def send_cut(*, made: Fleet, address: str, data: bytes, half_closed: bool) -> bytes:
    """Sends the bytes and leaves: altogether, or only with its own direction, in which case it tells what came."""
    with made.outside.connect(address=address, wait=SECOND) as stream:
        stream.sendall(data)
        if half_closed:
            stream.shutdown(1)
            made.sleep(seconds=0.02)
            return stream.recv(65536) if stream.readable() else b""
        made.sleep(seconds=0.004)
    return b""


def send_whole(*, made: Fleet, address: str, data: bytes) -> bytes:
    """Sends the bytes, stays, and tells what came."""
    with made.outside.connect(address=address, wait=SECOND) as stream:
        stream.sendall(data)
        made.sleep(seconds=1)
        return stream.recv(65536) if stream.readable() else b""


@pytest.mark.parametrize("half_closed", (False, True))
@pytest.mark.parametrize("in_chunks", (False, True))
@pytest.mark.parametrize("path", ("/write/d", "/check/c"))
def test_no_request_that_was_cut_reaches_an_engine(path, in_chunks, half_closed):
    """Guards against a prompt that nobody sent, run as a whole request (UNASKED)."""
    with fleet(seed=61, phases="d") as made:
        body = b'{"prompt": "which track goes on to the hut"}'
        _, whole = request_bytes(made=made, path=path, body=body, in_chunks=in_chunks)
        ids = []
        for end in range(1, len(whole)):
            request_id, data = request_bytes(made=made, path=path, body=body, in_chunks=in_chunks)
            if end >= len(data):
                # Heads differ by a few bytes: this one would be whole.
                continue
            ids.append((end, request_id, data[:end]))
            told = send_cut(made=made, address=made.edges[0], data=data[:end], half_closed=half_closed)
            assert not told or told.startswith(b"HTTP/1.1 400 "), (data[:end], told)
        made.sleep(seconds=1)
        reached = [(end, data) for end, request_id, data in ids if made.record.of(request_id=request_id)]
        assert reached == [] and made.record.arrivals == [], (len(reached), reached[:1])
        request_id, data = request_bytes(made=made, path=path, body=body, in_chunks=in_chunks)
        told = send_whole(made=made, address=made.edges[0], data=data)
        (run,) = made.record.runs(request_id=request_id)
        assert run.body == body and told.startswith(b"HTTP/1.1 200 ")
        assert made.daemons["edge-0"].served.busy == 0
        made.sound()


@pytest.mark.parametrize("in_chunks", (False, True))
def test_no_change_that_was_cut_is_taken(in_chunks):
    """Guards against a configuration that nobody sent (CONFIG). The text behind its end is white space: a shorter
    body is a valid configuration as well."""
    with fleet(seed=62, phases="d") as made:
        text = packed(fields=configuration(gen=2)) + b" " * 60
        head = (
            b"POST /dockmux/config/put HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nX-Base-Version: 1\r\n"
        )
        framing = b"Transfer-Encoding: chunked" if in_chunks else b"Content-Length: %d" % len(text)
        data = head + framing + b"\r\n\r\n" + (chunked(data=text) if in_chunks else text)
        for control in range(3):
            for end in range(len(data) - 59, len(data)):
                send_cut(made=made, address=made.operator.controls[control], data=data[:end], half_closed=end % 2 == 0)
        made.sleep(seconds=1)
        assert b'"gen": 1' in made.operator.get()
        send_cut(made=made, address=made.operator.controls[0], data=data, half_closed=True)
        made.sleep(seconds=2)
        assert made.operator.get() == text
        made.sound()


def test_a_cut_message_between_daemons_is_not_read():
    """Guards against a message of another meaning than was sent."""
    asked = []

    def answer(*, request: DirectoryAsk) -> DirectoryReply:
        asked.append(request)
        return DirectoryReply(digest="", origin="", age_ms=0, engines=[])

    with World(seed=63, link_us=500).open() as world:
        hosts = [
            SimHost(world=world, name=ip, machine=world.machine(ip=ip, site="hill")) for ip in ("10.0.0.1", "10.0.0.2")
        ]
        with hosts[0].listen(address=ADDRESS) as listener:
            desk = RpcServer(host=hosts[0], listener=listener, handlers={DirectoryAsk: answer})
            hosts[0].spawn(task=desk.run)
            data = pack(data=codec.encode(message=DirectoryAsk(digest="a" * 16)))
            for end in range(1, len(data) + 1):
                assert asked == []
                with hosts[1].connect(address=ADDRESS, wait=SECOND) as stream:
                    stream.sendall(data[:end])
                    stream.shutdown(1)
                    hosts[1].sleep(wait=ms(20))
            assert len(asked) == 1


@pytest.mark.parametrize(
    "framing",
    (
        ["Content-Length: 4", "Content-Length: 9"],
        ["Content-Length: +4"],
        ["Content-Length: 0_4"],
        ["Transfer-Encoding: gzip, chunked"],
        ["Transfer-Encoding: identity"],
        ["Transfer-Encoding: chunked", "Content-Length: 4"],
    ),
)
def test_a_body_whose_end_can_be_read_in_two_ways_is_refused(framing):
    """Guards against a request smuggled inside another one (UNASKED)."""
    with fleet(seed=64, phases="d") as made:
        request = made.request(path="/write/d", body=b"abcd", tokens_out=0, tokens_in=100)
        head, _, _ = request.wire().partition(b"\r\nContent-Length")
        data = head + b"\r\n" + "\r\n".join(framing).encode() + b"\r\n\r\nabcd" + b"x" * 5
        told = send_cut(made=made, address=made.edges[0], data=data, half_closed=True)
        assert told.startswith(b"HTTP/1.1 400 ") or told.startswith(b"HTTP/1.0 400 "), told
        assert b"connection: close" in told.lower()
        made.sleep(seconds=1)
        assert made.record.arrivals == []
        made.sound()
