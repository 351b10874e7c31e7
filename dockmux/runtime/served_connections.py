"""The open connections of an HTTP server, and how they are closed when the daemon stops."""

import contextlib
import dataclasses
import socket
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from eventlet import wsgi

from dockmux.runtime.complete_line_reader import CompleteLineReader
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.memory_reserve import process_memory_reserve
from dockmux.runtime.receive_limits import HeadTooLarge
from dockmux.runtime.request_body import RequestBody
from dockmux.runtime.running_time import RunningTimeLimit

CONNECTION_KEY = "dockmux.connection"
# Upper bound for the head size that any configuration may allow.
MAX_HEAD_BYTES = 1 << 20
# Of what a client sent, in a log line.
MAX_LOGGED_CHARACTERS = 200
# The library's own limits are module constants; raised here, so that the configurable `HeadLimits` apply instead.
wsgi.MAX_HEADER_LINE = wsgi.MAX_TOTAL_HEADER_SIZE = MAX_HEAD_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeadLimits:
    """Limits for request heads: the size, the time to receive one, and the time that a connection may be idle."""

    size_bytes: int = 16384
    read_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)


class ServedConnections:
    """The open connections of one server.

    Invariants: `open` contains every connection being served. While `closing` is set, every response whose head is
    not yet written announces `Connection: close`, and every connection closes after its response. `limits` apply from
    the next request of each connection.
    """

    def __init__(self, *, idle: timedelta = HeadLimits.idle_timeout) -> None:
        self.limits = HeadLimits(idle_timeout=idle)
        self.open: set[HttpConnection] = set()
        self.closing = False

    @property
    def busy(self) -> int:
        """The number of connections with a request that has started and has not been answered."""
        return sum(not connection.is_idle for connection in self.open)

    def close_idle(self) -> None:
        """Closes the connections on which no request has started. A request sent at the same moment counts as not
        received."""
        for connection in [connection for connection in self.open if connection.is_idle]:
            connection.shut_down()

    @contextlib.contextmanager
    def serving(self, *, connection: "HttpConnection") -> Iterator[None]:
        self.open.add(connection)
        try:
            yield
        finally:
            self.open.discard(connection)


class HttpConnection(wsgi.HttpProtocol):
    """The server side of one connection.

    Invariants: a head, chunk size or trailer truncated by end of input is never taken for a complete one. Once
    `is_shut_down`, no further request is read. `close_connection` is true while this connection, or every connection
    of the server, is to close after the current response.
    """

    def __init__(
        self, conn_state: list[Any], server: wsgi.Server, *, connections: ServedConnections, host: Host
    ) -> None:  # fmt: skip
        self.connections = connections
        self.host = host
        self.is_shut_down = False
        self.close_requested = False
        try:
            super().__init__(conn_state, server)
        except MemoryError as error:
            # The connection ends here, and is closed by the library.
            process_memory_reserve.release()
            host.log(LogEvent.MEMORY_EXHAUSTED, error=error)

    @property
    def close_connection(self) -> bool:
        return self.close_requested or self.connections.closing

    @close_connection.setter
    def close_connection(self, close_requested: bool) -> None:
        self.close_requested = bool(close_requested)

    @property
    def is_idle(self) -> bool:
        return self.conn_state[2] == wsgi.STATE_IDLE

    def shut_down(self) -> None:
        """Shuts the connection down, from another task; the task waiting for the next request sees end of stream."""
        self.is_shut_down = True
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)

    def setup(self) -> None:
        super().setup()
        self.rfile = CompleteLineReader(raw=self.rfile.detach(), host=self.host)

    def handle(self) -> None:
        with self.connections.serving(connection=self):
            super().handle()

    def _read_request_line(self) -> bytes | str:
        limits = self.connections.limits
        # The timeout announced in `Keep-Alive` to clients that request it.
        self.server.keepalive = limits.idle_timeout.total_seconds()
        self.connection.settimeout(limits.idle_timeout.total_seconds())
        reader = self.rfile.raw
        # Requests that are already in the buffer need no read, and so would not give way by themselves.
        reader.turn.give_way()
        reader.end_unit()
        reader.time_limited = True
        try:
            line = self.rfile.readline(limits.size_bytes)
        except (ConnectionError, TimeoutError):
            return ""
        finally:
            reader.time_limited = False
        self.connection.settimeout(self.server.socket_timeout)
        if self.is_shut_down:
            return ""
        if not line.endswith(b"\n"):
            self._refuse_head(status="431 Request Header Fields Too Large")
            return ""
        self.rfile.remaining_bytes = limits.size_bytes - len(line)
        return line

    def parse_request(self) -> bool:
        limit = RunningTimeLimit(self.connections.limits.read_timeout.total_seconds(), False)
        with limit:
            return super().parse_request()
        self._refuse_head(status="408 Request Timeout")
        return False

    def log_message(self, template: str, *values: Any) -> None:
        """Called by the library about requests that it refuses; it would print what the client sent."""
        error = (template % values)[:MAX_LOGGED_CHARACTERS]
        self.host.log(LogEvent.REQUEST_MALFORMED, peer=self.client_address, error=error)

    def handle_one_request(self) -> None:
        try:
            super().handle_one_request()
        except HeadTooLarge:
            self._refuse_head(status="431 Request Header Fields Too Large")
        except ConnectionError:
            # The connection ended within the head: there is no request and no client to respond to.
            self.close_connection = True

    def _refuse_head(self, *, status: str) -> None:
        self.close_connection = True
        self.wfile.write(f"HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode())

    def get_environ(self) -> dict[str, Any]:
        # The head is complete; the lines of a chunked body do not count towards its limit.
        self.rfile.remaining_bytes = None
        environ = super().get_environ()
        body = RequestBody(given=environ["wsgi.input"])
        return {**environ, "wsgi.input": body, "eventlet.input": body, CONNECTION_KEY: self}
