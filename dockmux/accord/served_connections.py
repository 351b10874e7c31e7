"""The connections of one HTTP server, and how they come to their ends when its daemon is told to stop."""

import contextlib
import socket
from collections.abc import Iterator
from typing import Any

from eventlet import wsgi

from dockmux.accord.whole_lines import WholeLines

CONNECTION_KEY = "dockmux.connection"


class ServedConnections:
    """Invariants: `open` has each connection that is being served; while `closing`, every answer whose head is still to
    be written says that its connection closes, and no connection is kept behind its answer."""

    def __init__(self) -> None:
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
        self.rfile = WholeLines(self.rfile.detach())

    def handle(self) -> None:
        with self.connections.serving(connection=self):
            super().handle()

    def _read_request_line(self) -> bytes | str:
        try:
            line = super()._read_request_line()
        except ConnectionError:
            return ""
        return "" if self.turned_away else line

    def handle_one_request(self) -> None:
        try:
            super().handle_one_request()
        except ConnectionError:
            # The head ended early: there is no request, and nobody to tell.
            self.close_connection = True

    def get_environ(self) -> dict[str, Any]:
        return {**super().get_environ(), CONNECTION_KEY: self}
