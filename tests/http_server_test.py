"""What the HTTP server outlasts, and the limits that clients have: those of the configuration in force."""

import errno
from datetime import timedelta

import eventlet
import pytest

from dockmux.runtime.host import Host
from dockmux.runtime.http_transport import fetch, serve
from tests.standins.fleet import SECOND, fleet
from tests.standins.operator import configuration, serialize


class ShortListener:
    """A listener whose process has no descriptor left, for the first few connections."""

    def __init__(self, *, listener: object, failures: int) -> None:
        self.listener = listener
        self.failures = failures

    def accept(self) -> object:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return self.listener.accept()

    def __getattr__(self, name: str) -> object:
        return getattr(self.listener, name)


def test_a_server_that_was_out_of_descriptors_serves_again():
    """Guards against a daemon that listens no more and lives on (nobody is served, and nobody replaces it)."""
    host = Host(name="short")
    with host.listen(address="127.0.0.1:0") as listener:
        address = "{}:{}".format(*listener.getsockname())
        short = ShortListener(listener=listener, failures=3)
        task = eventlet.spawn(
            serve, host=host, listener=short, handler=lambda exchange: exchange.reply(status=200, fields={})
        )
        status, _, _ = fetch(host=host, address=address, method="GET", path="/", wait=timedelta(seconds=5))
        task.kill()
    assert status == 200 and short.failures == 0


def head_of(*, made: object, size: int, line: bool) -> bytes:
    """A request whose head has about so many bytes, in its first line or in one field."""
    request = made.request(path="/check/c", tokens_out=0, tokens_in=100)
    data = request.to_bytes()
    if line:
        return data.replace(b"/check/c ", b"/check/c?q=" + b"x" * size + b" ", 1)
    return data.replace(b"X-Model: m\r\n", b"X-Model: m\r\nX-Long: " + b"x" * size + b"\r\n", 1)


def first_line(*, made: object, data: bytes) -> bytes:
    with made.outside.connect(address=made.edges[0], wait=SECOND) as stream:
        stream.sendall(data)
        made.sleep(seconds=1)
        return stream.recv(65536).partition(b"\r\n")[0] if stream.readable() else b""


@pytest.mark.parametrize("line", (True, False))
def test_heads_up_to_the_configurations_limit_are_served(line):
    """Guards against 400 and 414 for proper requests (DENIED)."""
    with fleet(seed=72, phases="d") as made:
        for size in (9_000, 15_000):
            assert b" 200 " in first_line(made=made, data=head_of(made=made, size=size, line=line))
        assert b" 431 " in first_line(made=made, data=head_of(made=made, size=17_000, line=line))
        fields = configuration(gen=2)
        fields["caps"]["hdr_bytes"] = 32_768
        assert made.operator.put(text=serialize(fields=fields), base=1) == 200
        made.sleep(seconds=2)
        assert b" 200 " in first_line(made=made, data=head_of(made=made, size=30_000, line=line))


def test_idle_and_slow_clients_have_the_configurations_time():
    """Guards against connections that are closed while clients may still use them (LOST)."""
    with fleet(seed=73, phases="d") as made:
        fields = configuration(gen=2)
        fields["caps"] |= {"hdr_ms": 1000, "idle_ms": 4000}
        assert made.operator.put(text=serialize(fields=fields), base=1) == 200
        made.sleep(seconds=2)
        data = made.request(path="/check/c", tokens_out=0).to_bytes()
        with (
            made.outside.connect(address=made.edges[0], wait=SECOND) as idle,
            made.outside.connect(address=made.edges[0], wait=SECOND) as slow,
        ):
            slow.sendall(data[:60])
            made.sleep(seconds=3.2)
            assert not idle.readable() and slow.readable()
            made.sleep(seconds=1.5)
            assert idle.readable()
        asked = data.replace(b"X-Model: m", b"Connection: keep-alive\r\nX-Model: m", 1)
        with made.outside.connect(address=made.edges[0], wait=SECOND) as stream:
            stream.sendall(asked)
            made.sleep(seconds=1)
            assert b"\r\nKeep-Alive: timeout=4\r\n" in stream.recv(65536)
