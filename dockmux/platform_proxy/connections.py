"""Connections to engines: kept for reuse, bounded together with the other daemons'."""

import contextlib
from collections.abc import Iterator
from datetime import timedelta

import urllib3.exceptions

from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_transport import HttpClientConnection

CONNECT_LIMIT = timedelta(milliseconds=600)
# What was sent and is not received for so long is dropped by this machine: it must not arrive much later.
UNACKED_LIMIT = timedelta(milliseconds=400)
# An engine closes an idle connection at the time that it states; ours goes earlier, so that none is in use then.
KEEP_MARGIN = timedelta(milliseconds=1500)
KEEP_UNSTATED = timedelta(seconds=4)


class NoConnection(OSError):
    """Nothing of a request has left. `refused` says that the machine is there and no engine listens."""

    def __init__(self, *, why: str, refused: bool = False) -> None:
        super().__init__(why)
        self.refused = refused


class Connections:
    """Invariants: an idle connection had whole answers only, has not been closed and has nothing to read;
    `count` counts those in use and idle, by engine. A request that is sent again goes over another connection."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.idle: dict[str, list[HttpClientConnection]] = {}
        self.busy: dict[str, int] = {}
        self.made = 0

    def __enter__(self) -> "Connections":
        return self

    def __exit__(self, *_: object) -> None:
        for streams in self.idle.values():
            for stream in streams:
                stream.close()
        self.idle.clear()

    def count(self, *, engine: str) -> int:
        return self.busy.get(engine, 0) + len(self.idle.get(engine, ()))

    @contextlib.contextmanager
    def open(self, *, engine: str, address: str, request_id: str = "") -> Iterator[HttpClientConnection]:
        """A connection, for the request that is named; NoConnection while none can be had. It is kept when its user
        says that its answer was `whole` and until when it may be kept."""
        stream = self._idle(engine=engine, request_id=request_id) or self._fresh(engine=engine, address=address)
        stream.last_request_id = request_id
        self.busy[engine] = self.busy.get(engine, 0) + 1
        try:
            yield stream
        finally:
            self.busy[engine] -= 1
            if not self.busy[engine]:
                del self.busy[engine]
            if stream.reusable and stream.keep_until > self.host.elapsed():
                self.idle.setdefault(engine, []).append(stream)
            else:
                stream.close()

    def note_whole(self, *, stream: HttpClientConnection, keep: timedelta | None, closing: bool) -> None:
        """The answer was read to its end."""
        stream.reusable = not closing and not stream.has_surplus
        stream.keep_until = self.host.elapsed() + (KEEP_UNSTATED if keep is None else max(keep - KEEP_MARGIN, keep / 3))

    def _idle(self, *, engine: str, request_id: str) -> HttpClientConnection | None:
        kept = self.idle.get(engine, [])
        for place in reversed(range(len(kept))):
            if request_id and kept[place].last_request_id == request_id:
                # A late second answer to the request's last send would pass for the answer to this one.
                continue
            stream = kept.pop(place)
            if stream.keep_until > self.host.elapsed() and stream.is_connected:
                stream.reusable = False
                return stream
            stream.close()
        return None

    def _fresh(self, *, engine: str, address: str) -> HttpClientConnection:
        stream = HttpClientConnection(host=self.host, address=address, wait=CONNECT_LIMIT, user_timeout=UNACKED_LIMIT)
        try:
            with time_limit(wait=CONNECT_LIMIT):
                stream.connect()
        except ConnectionRefusedError as error:
            stream.close()
            raise NoConnection(why=f"{engine} refused: {error}", refused=True) from None
        except (OSError, urllib3.exceptions.HTTPError) as error:
            stream.close()
            raise NoConnection(why=f"{engine} cannot be reached: {error}") from None
        self.made += 1
        return stream

    def sweep(self) -> None:
        """Closes what has been idle for long enough or was closed by the engine."""
        for engine in list(self.idle):
            now = self.host.elapsed()
            kept = self.idle[engine]
            for stream in [s for s in kept if s.keep_until <= now]:
                kept.remove(stream)
                stream.close()
            if not kept:
                del self.idle[engine]

    def forget(self, *, engine: str) -> None:
        for stream in self.idle.pop(engine, []):
            stream.close()
