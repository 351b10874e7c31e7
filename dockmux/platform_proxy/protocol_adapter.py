"""The seam to what a deployment speaks: names, formats and calls. Nothing behind it decides anything."""

import dataclasses
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, Protocol

from dockmux.platform_proxy.routes import RouteTable

Headers = Iterable[tuple[str, str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrefixBlock:
    """A part of a prompt, by which kept memory is found again."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """What a client's request says of itself. `parts` are in order and the last is the request's own."""

    request_id: str
    deadline: timedelta | None
    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[PrefixBlock, ...]
    last_event: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class KvHandle:
    """A prompt that an engine has read and holds: where, under which handle, until when (monotonic)."""

    engine: str
    address: str
    handle: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineEntry:
    """A row of the list of engines."""

    engine: str
    service: str
    address: str
    zone: str
    phase: str
    slots: int
    leaving: bool
    release: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """What the head of an engine's answer says. `not_run` promises that the request was not run; `engine` is the name
    that a health answer gives."""

    request_id: str
    sealed: bool
    not_run: bool
    other_engine: bool
    engine: str
    encoded: bool
    closing: bool
    keep: timedelta | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineReport:
    """What an engine says of its work, some hundred ms old."""

    phase: str
    busy: bool
    seq: int
    queued: int
    active: int
    memory_used: int
    memory_total: int


class ProtocolAdapter(Protocol):
    """Implemented once for each way of speaking. Every method only translates."""

    ready_path: str
    put_path: str
    get_path: str
    report_path: str
    order_path: str

    def table(self, *, text: str) -> RouteTable:
        """A configuration as sent; BadConfig when it cannot be used."""

    def based_on(self, *, headers: Headers) -> int | None:
        """The version on which an operator's change builds."""

    def ask(self, *, headers: Headers) -> RequestMetadata: ...

    def engine_headers(
        self, *, headers: Headers, engine: EngineEntry, left: timedelta, urgency: int, reading: bool,
        memory: KvHandle | None, last_event: str | None,
    ) -> list[tuple[str, str]]: ...  # fmt: skip

    def answer_headers(self, *, headers: Headers) -> list[tuple[str, str]]: ...

    def told(self, *, status: int, headers: Headers) -> ResponseMetadata: ...

    def memory(self, *, body: bytes, engine: EngineEntry) -> KvHandle: ...

    def forget_path(self, *, memory: KvHandle) -> str: ...

    def list_path(self, *, page: str | None) -> str: ...

    def listed(self, *, body: bytes) -> tuple[list[EngineEntry], str | None]: ...

    def text(self, *, table: RouteTable) -> str:
        """The same configuration as `table` reads, as an operator sends it."""

    def list_fields(self, *, rows: list[EngineEntry], following: str | None) -> dict[str, Any]:
        """A page of the list, as `listed` reads it."""

    def report(self, *, body: bytes) -> EngineReport: ...

    def phase_order(self, *, phase: str, owner: str, fence: int) -> bytes: ...

    def order_headers(self, *, engine: EngineEntry) -> dict[str, str]: ...
