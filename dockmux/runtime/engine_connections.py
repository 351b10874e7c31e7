"""Streams to engines. Every new one asks who is there before anything else is sent on it."""

import contextlib
import json
from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_transport import HttpClientConnection
from dockmux.runtime.log_events import LogEvent

CONNECT_LIMIT = timedelta(milliseconds=800)
# A leg that is held up on its way must not arrive when its configuration is no longer the current one (rule 8):
# a quarter second is what the rule leaves, and time for one retransmission.
UNACKED_LIMIT = timedelta(milliseconds=250)
IDLE_MOST = 8
# What a stream has told of its engine's clock is used for so long; two clocks drift apart by 12 ms in it.
AGE_MOST = timedelta(minutes=1)


class NotThatEngine(OSError):
    """Something else answers at the engine's address."""


class EngineConnectionPool:
    """Invariants: a stream is idle only after a whole exchange on it; a stream given out has told the
    service, the engine, the incarnation and the engine's time that are in `identity`, asked for at `named_at`."""

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
        """A stream on which the engine has named itself; nothing of a request has been sent on it.

        OSError while it cannot be had. What is raised in the body passes through."""
        stream = self._idle(engine=engine) or self._fresh(engine=engine)
        whole = False
        try:
            yield stream
            whole = stream.whole
        finally:
            kept = self.idle.setdefault(engine["address"], [])
            if whole and len(kept) < IDLE_MOST:
                kept.append(stream)
            else:
                stream.close()

    def _idle(self, *, engine: dict[str, Any]) -> HttpClientConnection | None:
        kept = self.idle.get(engine["address"], [])
        while kept:
            stream = kept.pop()
            young = self.host.elapsed() - stream.named_at < AGE_MOST
            if young and stream.is_connected and self._is(engine=engine, identity=stream.identity):
                stream.whole = False
                return stream
            stream.close()
        return None

    def _fresh(self, *, engine: dict[str, Any]) -> HttpClientConnection:
        stream = HttpClientConnection(
            host=self.host, address=engine["address"], wait=CONNECT_LIMIT, unacked=UNACKED_LIMIT
        )
        done = False
        try:
            with time_limit(wait=CONNECT_LIMIT):
                stream.connect()
                stream.named_at = self.host.elapsed()
                response = stream.call(method="GET", path="/identity")
                identity = json.loads(response.read())
            if not self._is(engine=engine, identity=identity):
                self.host.log(
                    LogEvent.IDENTITY_REFUSED, address=engine["address"], engine=engine["engine"],
                    service=engine["service"], found=json.dumps(identity)[:200],
                )  # fmt: skip
                raise NotThatEngine("another service or engine answers there")
            stream.identity = identity
            done = True
            return stream
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise OSError(f"no identity: {error}") from None
        finally:
            if not done:
                stream.close()

    def _is(self, *, engine: dict[str, Any], identity: Any) -> bool:
        return (
            isinstance(identity, dict)
            and identity.get("service") == engine["service"]
            and identity.get("engine") == engine["engine"]
            and isinstance(identity.get("incarnation"), str)
            and isinstance(identity.get("nowUs"), int)
        )

    def status(self, *, engine: dict[str, Any]) -> dict[str, Any]:
        with self.open(engine=engine) as stream:
            try:
                response = stream.call(method="GET", path="/status")
                told = json.loads(response.read())
            except (urllib3.exceptions.HTTPError, ValueError) as error:
                raise OSError(str(error)) from None
            stream.whole = True
            return told
