"""The connections of one HTTP server, and how they come to their ends when its daemon is told to stop."""

import contextlib
import dataclasses
import socket
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import eventlet
from eventlet import wsgi

from dockmux.runtime.complete_line_reader import CompleteLineReader, HeadTooLarge

CONNECTION_KEY = "dockmux.connection"
# The most that any configuration may allow for a request's head.
HEAD_BYTES_MOST = 1 << 20
# The library's own bounds are constants; `HeadLimits` are in force in their place.
wsgi.MAX_HEADER_LINE = wsgi.MAX_TOTAL_HEADER_SIZE = HEAD_BYTES_MOST


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeadLimits:
    """How large a request's head may be, how long it may take once begun, and how long a connection may be idle."""

    size_bytes: int = 16384
    span: timedelta = timedelta(seconds=10)
    idle: timedelta = timedelta(seconds=60)


class ServedConnections:
    """Invariants: `open` has each connection that is being served; while `closing`, every answer whose head is still to
    be written says that its connection closes, and no connection is kept behind its answer; `limits` hold for the next
    request of each connection."""

    def __init__(self, *, idle: timedelta = HeadLimits.idle) -> None:
        self.limits = HeadLimits(idle=idle)
        self.open: set[HttpConnection] = set()
        self.closing = False

    @property
    def busy(self) -> int:
        """How many have a request that was begun and is not answered."""
        return sum(not connection.is_idle for connection in self.open)

    def close_idle(self) -> None:
        """Closes those on which no request has begun; one that crosses this was not received."""
        for connection in [connection for connection in self.open if connection.is_idle]:
            connection.turn_away()

    @contextlib.contextmanager
    def serving(self, *, connection: "HttpConnection") -> Iterator[None]:
        self.open.add(connection)
        try:
            yield
        finally:
            self.open.discard(connection)


class HttpConnection(wsgi.HttpProtocol):
    """The serving side of one connection. Invariants: a head, a chunk's size or a trailer that the end of input cuts
    short is never taken for a whole one; `turned_away` connections give out no request any more;
    `close_connection` holds while this connection or all of the server's are to end behind the present answer."""

    def __init__(self, conn_state: list[Any], server: wsgi.Server, *, connections: ServedConnections) -> None:
        self.connections = connections
        self.turned_away = False
        self.closes = False
        super().__init__(conn_state, server)

    @property
    def close_connection(self) -> bool:
        return self.closes or self.connections.closing

    @close_connection.setter
    def close_connection(self, closes: bool) -> None:
        self.closes = bool(closes)

    @property
    def is_idle(self) -> bool:
        return self.conn_state[2] == wsgi.STATE_IDLE

    def turn_away(self) -> None:
        """Ends the connection, from another task; the task that waits for its next request finds its end."""
        self.turned_away = True
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)

    def setup(self) -> None:
        super().setup()
        self.rfile = CompleteLineReader(self.rfile.detach())

    def handle(self) -> None:
        with self.connections.serving(connection=self):
            super().handle()

    def _read_request_line(self) -> bytes | str:
        limits = self.connections.limits
        # What clients that ask for it are told in `Keep-Alive`.
        self.server.keepalive = limits.idle.total_seconds()
        self.connection.settimeout(limits.idle.total_seconds())
        try:
            line = self.rfile.readline(limits.size_bytes)
        except ConnectionError:
            return ""
        self.connection.settimeout(self.server.socket_timeout)
        if self.turned_away:
            return ""
        if not line.endswith(b"\n"):
            self._refuse_head(status="431 Request Header Fields Too Large")
            return ""
        self.rfile.left = limits.size_bytes - len(line)
        return line

    def parse_request(self) -> bool:
        limit = eventlet.Timeout(self.connections.limits.span.total_seconds(), False)
        with limit:
            return super().parse_request()
        self._refuse_head(status="408 Request Timeout")
        return False

    def handle_one_request(self) -> None:
        try:
            super().handle_one_request()
        except HeadTooLarge:
            self._refuse_head(status="431 Request Header Fields Too Large")
        except ConnectionError:
            # The head ended early: there is no request, and nobody to tell.
            self.close_connection = True

    def _refuse_head(self, *, status: str) -> None:
        self.close_connection = True
        self.wfile.write(f"HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode())

    def get_environ(self) -> dict[str, Any]:
        # The head is whole; the lines of a body in chunks do not count.
        self.rfile.left = None
        return {**super().get_environ(), CONNECTION_KEY: self}
