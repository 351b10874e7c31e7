"""Routes and services of a configuration, independent of the deployment's format; finds the route of a request."""

import dataclasses
import hashlib
from datetime import timedelta
from enum import StrEnum


class BadConfig(ValueError):
    """An invalid configuration; the text says what is wrong and where."""


class RunRule(StrEnum):
    """Whether a request may be sent more than once: always, never, or by resuming its stream after the last event
    received."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A group of identical engines. `max_connections` is what one engine accepts from all daemons together, `slots` and
    `kv_tokens` are its decode slots and its KV cache capacity; KV cache is held for `kv_hold_time` after a prefill."""

    name: str
    health_path: str
    max_connections: int
    slots: int = 0
    kv_tokens: int = 0
    kv_hold_time: timedelta = timedelta(seconds=5)
    phase_change_time: timedelta = timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """One route of the configuration, chosen by host and path prefix.

    Invariants: `prefix` begins and ends with a slash; the weights in `service_weights` sum to more than 0; `timeout` is
    positive; urgency 0 goes first. Clients are assumed gone after `first_event_timeout` without a first event.
    `ttft_target` and `itl_target` are the targets for the time to the first token and between tokens."""

    name: str
    host: str
    prefix: str
    run: RunRule
    stream: bool
    timeout: timedelta
    ttft_target: timedelta
    urgency: int
    max_sends: int
    service_weights: tuple[tuple[str, int], ...]
    itl_target: timedelta
    first_event_timeout: timedelta = timedelta(days=1)

    def service(self, *, request_id: str) -> str:
        """The service of one request, by weight; every daemon chooses the same one for the same request id."""
        total = sum(weight for _, weight in self.service_weights)
        place = int.from_bytes(hashlib.sha256(request_id.encode()).digest()[:8]) % total
        for name, weight in self.service_weights:
            place -= weight
            if place < 0:
                return name
        raise AssertionError(self.service_weights)

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again after it may have run."""
        return self.run is not RunRule.ONCE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits for clients: sizes of header and body, time for sending the header, and idle time of a connection."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteTable:
    """One version of the configuration; raises BadConfig if it is invalid. Invariants: every weight belongs to a known
    service; no two routes share host and prefix; a later version has a higher number."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits

    def __post_init__(self) -> None:
        self._check()
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host, []).append(route)
        for rows in hosts.values():
            rows.sort(key=lambda route: len(route.prefix), reverse=True)
        object.__setattr__(self, "_hosts", hosts)

    def _check(self) -> None:
        if not isinstance(self.version, int) or isinstance(self.version, bool) or self.version < 1:
            raise BadConfig("the version is no whole number above 0")
        for route in self.routes:
            if not all(isinstance(text, str) for text in (route.name, route.host, route.prefix)):
                raise BadConfig(f"route {route.name}: name, host and prefix are texts")
            if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
                raise BadConfig(f"route {route.name}: a prefix begins and ends with a slash")
            for service, weight in route.service_weights:
                if not isinstance(service, str) or service not in self.services:
                    raise BadConfig(f"route {route.name} names an unknown service")
                if not isinstance(weight, int) or isinstance(weight, bool) or weight < 0:
                    raise BadConfig(f"route {route.name}: a weight is a whole number from 0")
            if sum(weight for _, weight in route.service_weights) <= 0:
                raise BadConfig(f"route {route.name}: the weights sum to 0")
            if route.timeout <= timedelta():
                raise BadConfig(f"route {route.name}: the time-out is 0")
        if len({(route.host, route.prefix) for route in self.routes}) != len(self.routes):
            raise BadConfig("two routes share host and prefix")

    def find(self, *, host: str, path: str) -> Route | None:
        """The host's route with the longest prefix of the path, or None."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
