"""The operator's routes and services in the product's own terms, and which route a request takes."""

import dataclasses
import hashlib
from datetime import timedelta
from enum import StrEnum


class BadConfig(ValueError):
    """A configuration that cannot be used; the text says what is wrong and where."""


class RunRule(StrEnum):
    """What may be sent more than once: any request, none, or a stream from the last event that was received."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    RESUMABLE = "resumable"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """A group of alike engines. `connections` is what one engine accepts from all daemons together."""

    name: str
    health_path: str
    connections: int
    slots: int = 0
    memory_tokens: int = 0
    handle_hold: timedelta = timedelta(seconds=5)
    switch: timedelta = timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Invariants: prefix begins and ends with a slash; the weights of `shares` sum to more than 0; `hold` is positive;
    urgency 0 goes first. After `patience` without a first event clients are gone."""

    name: str
    host: str
    prefix: str
    run: RunRule
    stream: bool
    hold: timedelta
    aim: timedelta
    urgency: int
    tries: int
    shares: tuple[tuple[str, int], ...]
    pause: timedelta
    patience: timedelta = timedelta(days=1)

    def service(self, *, request_id: str) -> str:
        """The service of one request, by weight; the same for the same request wherever it is asked."""
        total = sum(weight for _, weight in self.shares)
        place = int.from_bytes(hashlib.sha256(request_id.encode()).digest()[:8]) % total
        for name, weight in self.shares:
            place -= weight
            if place < 0:
                return name
        raise AssertionError(self.shares)

    @property
    def repeatable(self) -> bool:
        return self.run is not RunRule.ONCE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """What a client may send, and how long it may take or stay idle."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header: timedelta = timedelta(seconds=3)
    idle: timedelta = timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteTable:
    """One version of the configuration; BadConfig where it cannot be one. Invariants: every share names a service; no
    two routes share host and prefix; of two versions the later has the higher number."""

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
            for service, weight in route.shares:
                if not isinstance(service, str) or service not in self.services:
                    raise BadConfig(f"route {route.name} names an unknown service")
                if not isinstance(weight, int) or isinstance(weight, bool) or weight < 0:
                    raise BadConfig(f"route {route.name}: a weight is a whole number from 0")
            if sum(weight for _, weight in route.shares) <= 0:
                raise BadConfig(f"route {route.name}: the weights sum to 0")
            if route.hold <= timedelta():
                raise BadConfig(f"route {route.name}: the time-out is 0")
        if len({(route.host, route.prefix) for route in self.routes}) != len(self.routes):
            raise BadConfig("two routes share host and prefix")

    def find(self, *, host: str, path: str) -> Route | None:
        """Among the host's routes the one with the longest prefix that begins the path."""
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
