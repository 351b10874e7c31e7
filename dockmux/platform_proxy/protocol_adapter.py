"""The interface between the proxy and a deployment's protocol: header names, formats and paths. Implementations only
translate and make no decisions."""

import dataclasses
from collections.abc import Iterable
from datetime import timedelta
from typing import Any, NamedTuple, Protocol

from dockmux.platform_proxy.routes import RouteTable
from dockmux.runtime.bounded_json import to_count
from dockmux.runtime.codec import check_number

Headers = Iterable[tuple[str, str]]
# Longest name, address or release of an engine.
MAX_ENTRY_TEXT = 256


@dataclasses.dataclass(frozen=True, kw_only=True)
class PrefixBlock:
    """A block of a prompt; `name` identifies its KV cache for reuse."""

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestMetadata:
    """What a client's request headers state. `prefix_blocks` are in prompt order; the last one belongs to this request
    alone, the others may be shared."""

    request_id: str
    deadline: timedelta | None
    model: str
    tokens_in: int
    tokens_out: int
    prefix_blocks: tuple[PrefixBlock, ...]
    last_event: str | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class KvHandle:
    """The KV cache of a prefilled prompt, held by an engine under a handle; `tokens` is the prompt's length."""

    engine: str
    address: str
    handle: str
    tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineEntry:
    """A row of the engine list. Fields and their order are part of the digest and of messages between daemons.
    Invariants: the texts are texts of at most MAX_ENTRY_TEXT characters, and the address ends with a port; ValueError
    or TypeError otherwise."""

    engine: str
    service: str
    address: str
    zone: str
    phase: str
    slots: int
    leaving: bool
    release: str = ""

    def __post_init__(self) -> None:
        for text in (self.engine, self.service, self.address, self.zone, self.phase, self.release):
            if not isinstance(text, str) or len(text) > MAX_ENTRY_TEXT or not text.isprintable():
                raise ValueError("a row of the engine list has a field that is no short text")
        # These two are written into requests.
        if not (self.engine.isascii() and self.address.isascii()):
            raise ValueError("an engine's name and address are of ASCII characters")
        if to_count(text=self.address.rpartition(":")[2]) is None:
            raise ValueError(f"an engine's address has no port: {self.address!r}")
        check_number(self.slots)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """What the status and headers of an engine's answer state. `not_run` guarantees that the request was not run;
    `other_engine` says that another engine answered at the address; `engine` is the name that a health answer gives."""

    request_id: str
    sealed: bool
    not_run: bool
    other_engine: bool
    engine: str
    encoded: bool
    closing: bool
    keep_alive: timedelta | None


class ListPage(NamedTuple):
    """A page of the engine list. `next_page` is None on the last one; `malformed` is the number of rows left out."""

    rows: list[EngineEntry]
    next_page: str | None
    malformed: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineReport:
    """An engine's report of its work, a few hundred ms old."""

    phase: str
    busy: bool
    seq: int
    queued: int
    active: int
    kv_used: int
    kv_capacity: int


class ProtocolAdapter(Protocol):
    """Translates between the proxy's types and one protocol; methods have no side effects."""

    ready_path: str
    put_path: str
    get_path: str
    report_path: str
    order_path: str

    def parse_config(self, *, text: str) -> RouteTable:
        """Parses a configuration that was acknowledged, by whichever release: where a number is unusable its default is
        taken. Raises BadConfig if it cannot be read."""

    def check_config(self, *, text: str) -> RouteTable:
        """Parses a configuration as sent by an operator; raises BadConfig if it is invalid."""

    def base_version(self, *, headers: Headers) -> int | None:
        """The version that an operator's change is based on; None if missing or malformed."""

    def parse_request(self, *, headers: Headers) -> RequestMetadata:
        """Parses a client's request headers; missing or malformed values get their defaults."""

    def engine_headers(
        self, *, headers: Headers, engine: EngineEntry, left: timedelta, urgency: int, prefill: bool,
        kv_handle: KvHandle | None, last_event: str | None,
    ) -> list[tuple[str, str]]:  # fmt: skip
        """The headers of a request to an engine: the client's, without hop-by-hop headers, and the proxy's own. `left`
        is the remaining time."""

    def answer_headers(self, *, headers: Headers) -> list[tuple[str, str]]:
        """The headers of an engine's answer that are forwarded to the client."""

    def parse_response(self, *, status: int, headers: Headers) -> ResponseMetadata:
        """Parses the status and headers of an engine's answer."""

    def parse_kv_handle(self, *, body: bytes, engine: EngineEntry) -> KvHandle:
        """Parses the answer to a prefill; raises ValueError, KeyError or TypeError if it is malformed."""

    def kv_handle_path(self, *, kv_handle: KvHandle) -> str:
        """The path for releasing the handle's KV cache."""

    def list_path(self, *, page: str | None) -> str:
        """The path of a page of the engine list; None is the first page."""

    def parse_list(self, *, body: bytes) -> ListPage:
        """Parses a page of the engine list; a row that cannot be used is left out and counted."""

    def render_config(self, *, table: RouteTable) -> str:
        """The inverse of parse_config: the text that an operator would send."""

    def render_list(self, *, rows: list[EngineEntry], next_page: str | None) -> dict[str, Any]:
        """A page of the engine list that parse_list can parse."""

    def parse_report(self, *, body: bytes) -> EngineReport:
        """Parses an engine's report."""

    def phase_order(self, *, phase: str, owner: str, fence: int) -> bytes:
        """The body of an order to change an engine's phase."""

    def order_headers(self, *, engine: EngineEntry) -> dict[str, str]:
        """The headers of an order to an engine."""
