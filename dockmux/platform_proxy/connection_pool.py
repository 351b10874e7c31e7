"""Pool of HTTP connections to engines."""

import contextlib
from collections.abc import Iterator
from datetime import timedelta

import urllib3.exceptions

from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_client import HttpClientConnection

CONNECT_TIMEOUT = timedelta(milliseconds=600)
# The kernel drops data that the peer has not acknowledged for this long, so that a request cannot arrive much later.
UNACKED_TIMEOUT = timedelta(milliseconds=400)
# An engine closes an idle connection at the time that it states; the pool closes it this much earlier, so that no
# request is sent on a connection that is just being closed.
KEEP_ALIVE_MARGIN = timedelta(milliseconds=1500)
# Keep-alive time of engines that state none.
DEFAULT_KEEP_ALIVE = timedelta(seconds=4)


class ConnectError(OSError):
    """No connection to the engine; nothing of the request was sent. `refused` means that the machine is reachable and
    no engine listens on it."""

    def __init__(self, *, reason: str, refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class ConnectionPool:
    """Invariants: an idle connection has carried complete answers only, is not closed and has nothing to read; `in_use`
    counts the connections in use, by engine; a request that is sent again uses another connection."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.idle: dict[str, list[HttpClientConnection]] = {}
        self.in_use: dict[str, int] = {}
        self.opened = 0

    def __enter__(self) -> "ConnectionPool":
        return self

    def __exit__(self, *_: object) -> None:
        for connections in self.idle.values():
            for connection in connections:
                connection.close()
        self.idle.clear()

    def count(self, *, engine: str) -> int:
        """Number of connections to the engine, in use and idle."""
        return self.in_use.get(engine, 0) + len(self.idle.get(engine, ()))

    @contextlib.contextmanager
    def open(self, *, engine: str, address: str, request_id: str = "") -> Iterator[HttpClientConnection]:
        """A connection to the engine, for the request with this id; ConnectError if none can be made. It returns to the
        pool if its answer was noted as complete and may be kept alive."""
        connection = self._take_idle(engine=engine, request_id=request_id) or self._connect(
            engine=engine, address=address
        )
        connection.last_request_id = request_id
        self.in_use[engine] = self.in_use.get(engine, 0) + 1
        try:
            yield connection
        finally:
            self.in_use[engine] -= 1
            if not self.in_use[engine]:
                del self.in_use[engine]
            if connection.reusable and connection.keep_until > self.host.elapsed():
                self.idle.setdefault(engine, []).append(connection)
            else:
                connection.close()

    def note_complete(self, *, connection: HttpClientConnection, keep: timedelta | None, closing: bool) -> None:
        """Marks the answer as read to its end. `keep` is the engine's keep-alive time, None if not stated; `closing`
        means that the engine closes the connection."""
        connection.reusable = not closing and not connection.has_surplus
        connection.keep_until = self.host.elapsed() + (
            DEFAULT_KEEP_ALIVE if keep is None else max(keep - KEEP_ALIVE_MARGIN, keep / 3)
        )

    def _take_idle(self, *, engine: str, request_id: str) -> HttpClientConnection | None:
        idle = self.idle.get(engine, [])
        for index in reversed(range(len(idle))):
            if request_id and idle[index].last_request_id == request_id:
                # A late second answer to the request's previous send would be taken for the answer to this one.
                continue
            connection = idle.pop(index)
            if connection.keep_until > self.host.elapsed() and connection.is_connected:
                connection.reusable = False
                return connection
            connection.close()
        return None

    def _connect(self, *, engine: str, address: str) -> HttpClientConnection:
        connection = HttpClientConnection(
            host=self.host, address=address, wait=CONNECT_TIMEOUT, user_timeout=UNACKED_TIMEOUT
        )
        try:
            with time_limit(wait=CONNECT_TIMEOUT):
                connection.connect()
        except ConnectionRefusedError as error:
            connection.close()
            raise ConnectError(reason=f"{engine} refused: {error}", refused=True) from None
        except (OSError, urllib3.exceptions.HTTPError) as error:
            connection.close()
            raise ConnectError(reason=f"{engine} cannot be reached: {error}") from None
        self.opened += 1
        return connection

    def close_expired(self) -> None:
        """Closes idle connections whose keep-alive time is over."""
        for engine in list(self.idle):
            now = self.host.elapsed()
            idle = self.idle[engine]
            for connection in [c for c in idle if c.keep_until <= now]:
                idle.remove(connection)
                connection.close()
            if not idle:
                del self.idle[engine]

    def drop_engine(self, *, engine: str) -> None:
        """Closes the engine's idle connections."""
        for connection in self.idle.pop(engine, []):
            connection.close()
