"""Truncated requests, cut off at each byte position, to data daemons, to control daemons and between daemons."""

import pytest

from dockmux.runtime import codec
from dockmux.runtime.frames import pack
from dockmux.runtime.messages import DirectoryAsk, DirectoryReply
from dockmux.runtime.rpc import RpcServer
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost, World
from tests.standins.fleet import SECOND, Fleet, fleet
from tests.standins.operator import configuration, serialize

ADDRESS = "10.0.0.1:7000"
# Chunk sizes are written with leading zeros: one cut off after a zero would be taken for the last chunk.
CHUNK_BYTES = 16


def chunked(*, data: bytes, trailer: bytes = b"") -> bytes:
    pieces = [data[at : at + CHUNK_BYTES] for at in range(0, len(data), CHUNK_BYTES)]
    return b"".join(b"%06x\r\n%s\r\n" % (len(piece), piece) for piece in pieces) + b"000\r\n" + trailer + b"\r\n"


def request_bytes(*, sim_fleet: Fleet, path: str, body: bytes, in_chunks: bool) -> tuple[str, bytes]:
    request = sim_fleet.request(path=path, body=body, tokens_out=0, tokens_in=100)
    head, _, _ = request.to_bytes().partition(b"\r\n\r\n")
    if in_chunks:
        head = head.replace(f"Content-Length: {len(body)}".encode(), b"Transfer-Encoding: chunked")
        return request.request_id, head + b"\r\n\r\n" + chunked(data=body, trailer=b"X-Sum: 7\r\n")
    return request.request_id, head + b"\r\n\r\n" + body


def send_cut(*, sim_fleet: Fleet, address: str, data: bytes, half_closed: bool) -> bytes:
    """Sends the bytes and closes the connection, or, with `half_closed`, only its sending side; then returns the
    answer."""
    with sim_fleet.outside.connect(address=address, wait=SECOND) as stream:
        stream.sendall(data)
        if half_closed:
            stream.shutdown(1)
            sim_fleet.sleep(seconds=0.02)
            return stream.recv(65536) if stream.readable() else b""
        sim_fleet.sleep(seconds=0.004)
    return b""


def send_complete(*, sim_fleet: Fleet, address: str, data: bytes) -> bytes:
    """Sends the bytes, keeps the connection open and returns the answer."""
    with sim_fleet.outside.connect(address=address, wait=SECOND) as stream:
        stream.sendall(data)
        sim_fleet.sleep(seconds=1)
        return stream.recv(65536) if stream.readable() else b""


@pytest.mark.parametrize("half_closed", (False, True))
@pytest.mark.parametrize("in_chunks", (False, True))
@pytest.mark.parametrize("path", ("/write/d", "/check/c"))
def test_no_truncated_request_reaches_an_engine(path, in_chunks, half_closed):
    """Guards against running a truncated prompt as a complete request (UNASKED)."""
    with fleet(seed=61, phases="d") as sim_fleet:
        body = b'{"prompt": "which track goes on to the hut"}'
        _, full_request = request_bytes(sim_fleet=sim_fleet, path=path, body=body, in_chunks=in_chunks)
        ids = []
        for end in range(1, len(full_request)):
            request_id, data = request_bytes(sim_fleet=sim_fleet, path=path, body=body, in_chunks=in_chunks)
            if end >= len(data):
                # The heads differ by a few bytes in length: this request would be complete.
                continue
            ids.append((end, request_id, data[:end]))
            reply = send_cut(sim_fleet=sim_fleet, address=sim_fleet.edges[0], data=data[:end], half_closed=half_closed)
            assert not reply or reply.startswith(b"HTTP/1.1 400 "), (data[:end], reply)
        sim_fleet.sleep(seconds=1)
        reached = [(end, data) for end, request_id, data in ids if sim_fleet.record.arrivals_of(request_id=request_id)]
        assert reached == [] and sim_fleet.record.arrivals == [], (len(reached), reached[:1])
        request_id, data = request_bytes(sim_fleet=sim_fleet, path=path, body=body, in_chunks=in_chunks)
        reply = send_complete(sim_fleet=sim_fleet, address=sim_fleet.edges[0], data=data)
        (run,) = sim_fleet.record.runs(request_id=request_id)
        assert run.body == body and reply.startswith(b"HTTP/1.1 200 ")
        assert sim_fleet.daemons["edge-0"].served.busy == 0
        sim_fleet.assert_no_failures()


@pytest.mark.parametrize("in_chunks", (False, True))
def test_no_truncated_configuration_is_accepted(in_chunks):
    """Guards against a configuration that no operator sent (CONFIG). The text ends in white space, so that a truncated
    body is a valid configuration as well."""
    with fleet(seed=62, phases="d") as sim_fleet:
        text = serialize(fields=configuration(gen=2)) + b" " * 60
        head = (
            b"POST /dockmux/config/put HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nX-Base-Version: 1\r\n"
        )
        framing = b"Transfer-Encoding: chunked" if in_chunks else b"Content-Length: %d" % len(text)
        data = head + framing + b"\r\n\r\n" + (chunked(data=text) if in_chunks else text)
        for control in range(3):
            for end in range(len(data) - 59, len(data)):
                send_cut(
                    sim_fleet=sim_fleet,
                    address=sim_fleet.operator.addresses[control],
                    data=data[:end],
                    half_closed=end % 2 == 0,
                )
        sim_fleet.sleep(seconds=1)
        assert b'"gen": 1' in sim_fleet.operator.get()
        send_cut(sim_fleet=sim_fleet, address=sim_fleet.operator.addresses[0], data=data, half_closed=True)
        sim_fleet.sleep(seconds=2)
        assert sim_fleet.operator.get() == text
        sim_fleet.assert_no_failures()


def test_a_truncated_message_between_daemons_is_not_handled():
    """Guards against handling a message whose meaning differs from the one sent."""
    handled = []

    def answer(*, request: DirectoryAsk) -> DirectoryReply:
        handled.append(request)
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
                assert handled == []
                with hosts[1].connect(address=ADDRESS, wait=SECOND) as stream:
                    stream.sendall(data[:end])
                    stream.shutdown(1)
                    hosts[1].sleep(wait=ms(20))
            assert len(handled) == 1


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
def test_a_body_with_ambiguous_framing_is_refused(framing):
    """Guards against request smuggling (UNASKED)."""
    with fleet(seed=64, phases="d") as sim_fleet:
        request = sim_fleet.request(path="/write/d", body=b"abcd", tokens_out=0, tokens_in=100)
        head, _, _ = request.to_bytes().partition(b"\r\nContent-Length")
        data = head + b"\r\n" + "\r\n".join(framing).encode() + b"\r\n\r\nabcd" + b"x" * 5
        reply = send_cut(sim_fleet=sim_fleet, address=sim_fleet.edges[0], data=data, half_closed=True)
        assert reply.startswith(b"HTTP/1.1 400 ") or reply.startswith(b"HTTP/1.0 400 "), reply
        assert b"connection: close" in reply.lower()
        sim_fleet.sleep(seconds=1)
        assert sim_fleet.record.arrivals == []
        sim_fleet.assert_no_failures()
