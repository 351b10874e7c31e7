"""Connections to engines. Each new connection verifies the engine's identity before anything else is sent on it."""

import contextlib
import json
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from dockmux.runtime.bounded_json import parse_json
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_client import HttpClientConnection
from dockmux.runtime.http_response import WIRE_ERRORS
from dockmux.runtime.log_events import LogEvent

CONNECT_LIMIT = timedelta(milliseconds=800)
# A request to an engine that is delayed on the network must not arrive after its configuration has been superseded:
# from 250 ms after an engine has seen a newer configuration, nothing may fall back to an older one. 250 ms is also
# enough for one retransmission.
USER_TIMEOUT = timedelta(milliseconds=250)
MAX_IDLE_PER_ENGINE = 8
# How long the clock reading in an identity stays usable; two clocks drift apart by 12 ms in this time.
MAX_IDENTITY_AGE = timedelta(minutes=1)


class EngineIdentityMismatch(OSError):
    """Another engine or service answers at the engine's address."""


class EngineConnectionPool:
    """Pooled connections to engines, by address.

    Invariants: a connection is idle only after a complete exchange on it. A connection returned by the pool has
    reported the service, engine, incarnation and engine time in its `identity`, requested at `identified_at`.
    """

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.idle: dict[str, list[HttpClientConnection]] = {}

    def __enter__(self) -> "EngineConnectionPool":
        return self

    def __exit__(self, *_: object) -> None:
        for streams in self.idle.values():
            for stream in streams:
                stream.close()
        self.idle.clear()

    @contextlib.contextmanager
    def open(self, *, engine: dict[str, Any]) -> Iterator[HttpClientConnection]:
        """A connection whose engine has been identified, with nothing of a request sent on it yet.

        Raises OSError if no such connection can be established. Exceptions of the enclosed block pass through."""
        stream = self._take_idle(engine=engine) or self._connect(engine=engine)
        reusable = False
        try:
            yield stream
            reusable = stream.reusable
        finally:
            idle = self.idle.setdefault(engine["address"], [])
            if reusable and len(idle) < MAX_IDLE_PER_ENGINE:
                idle.append(stream)
            else:
                stream.close()

    def _take_idle(self, *, engine: dict[str, Any]) -> HttpClientConnection | None:
        idle = self.idle.get(engine["address"], [])
        while idle:
            stream = idle.pop()
            recent = self.host.elapsed() - stream.identified_at < MAX_IDENTITY_AGE
            if recent and stream.is_connected and self._matches(engine=engine, identity=stream.identity):
                stream.reusable = False
                return stream
            stream.close()
        return None

    def _connect(self, *, engine: dict[str, Any]) -> HttpClientConnection:
        stream = HttpClientConnection(
            host=self.host, address=engine["address"], wait=CONNECT_LIMIT, user_timeout=USER_TIMEOUT
        )
        identified = False
        try:
            with time_limit(wait=CONNECT_LIMIT):
                stream.connect()
                stream.identified_at = self.host.elapsed()
                response = stream.call(method="GET", path="/identity")
                identity = parse_json(data=response.read())
            if not self._matches(engine=engine, identity=identity):
                self.host.log(
                    LogEvent.ENGINE_IDENTITY_MISMATCH, address=engine["address"], engine=engine["engine"],
                    service=engine["service"], found=json.dumps(identity)[:200],
                )  # fmt: skip
                raise EngineIdentityMismatch("another service or engine answers at this address")
            stream.identity = identity
            identified = True
            return stream
        except WIRE_ERRORS as error:
            if isinstance(error, OSError):
                raise
            raise OSError(f"cannot identify the engine: {error}") from None
        finally:
            if not identified:
                stream.close()

    def _matches(self, *, engine: dict[str, Any], identity: Any) -> bool:
        return (
            isinstance(identity, dict)
            and identity.get("service") == engine["service"]
            and identity.get("engine") == engine["engine"]
            and isinstance(identity.get("incarnation"), str)
            and isinstance(identity.get("nowUs"), int)
        )

    def status(self, *, engine: dict[str, Any]) -> dict[str, Any]:
        """The engine's /status page; raises OSError."""
        with self.open(engine=engine) as stream:
            try:
                response = stream.call(method="GET", path="/status")
                status = parse_json(data=response.read())
            except WIRE_ERRORS as error:
                raise OSError(f"{type(error).__name__}: {error}") from None
            stream.reusable = True
            return status
