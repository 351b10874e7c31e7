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
    """What a client's request says of itself. `prefix_blocks` are in order and the last is the request's own."""

    request_id: str
    deadline: timedelta | None
    model: str
    tokens_in: int
    tokens_out: int
    prefix_blocks: tuple[PrefixBlock, ...]
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

    def parse_config(self, *, text: str) -> RouteTable:
        """A configuration as sent; BadConfig when it cannot be used."""

    def base_version(self, *, headers: Headers) -> int | None:
        """The version on which an operator's change builds."""

    def parse_request(self, *, headers: Headers) -> RequestMetadata: ...

    def engine_headers(
        self, *, headers: Headers, engine: EngineEntry, left: timedelta, urgency: int, reading: bool,
        kv_handle: KvHandle | None, last_event: str | None,
    ) -> list[tuple[str, str]]: ...  # fmt: skip

    def answer_headers(self, *, headers: Headers) -> list[tuple[str, str]]: ...

    def parse_response(self, *, status: int, headers: Headers) -> ResponseMetadata: ...

    def parse_kv_handle(self, *, body: bytes, engine: EngineEntry) -> KvHandle: ...

    def kv_handle_path(self, *, kv_handle: KvHandle) -> str: ...

    def list_path(self, *, page: str | None) -> str: ...

    def parse_list(self, *, body: bytes) -> tuple[list[EngineEntry], str | None]: ...

    def render_config(self, *, table: RouteTable) -> str:
        """The same configuration as `table` reads, as an operator sends it."""

    def render_list(self, *, rows: list[EngineEntry], following: str | None) -> dict[str, Any]:
        """A page of the list, as `listed` reads it."""

    def parse_report(self, *, body: bytes) -> EngineReport: ...

    def phase_order(self, *, phase: str, owner: str, fence: int) -> bytes: ...

    def order_headers(self, *, engine: EngineEntry) -> dict[str, str]: ...
