"""The calls to engines: to read a prompt, to run a request, to free memory, to ask after its health."""

import contextlib
import dataclasses
from collections.abc import Iterator
from datetime import timedelta
from typing import ClassVar

import urllib3
import urllib3.exceptions

from dockmux.platform_proxy.connections import Connections, NoConnection
from dockmux.platform_proxy.protocol_adapter import (
    EngineEntry,
    EngineReport,
    KvHandle,
    ProtocolAdapter,
    ResponseMetadata,
)
from dockmux.platform_proxy.request_record import RequestRecord
from dockmux.platform_proxy.send_state import Broken, SendState, TurnedAway, Unsent
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_transport import HttpClientConnection
from dockmux.runtime.log_events import LogEvent

SMALL_LIMIT = timedelta(milliseconds=800)
PIECE_BYTES = 65536
WIRE_ERRORS = (OSError, urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError)
# To a client these promise that its request was not run and never will be.
PROMISES = (408, 421, 429, 503)


@dataclasses.dataclass(kw_only=True)
class EngineResponse:
    """An engine's answer to this very request; its body is read through `pieces`. Invariant: `whole` becomes true
    only when the body was read to its end as the engine announced it."""

    state: ClassVar[SendState] = SendState.RAN
    status: int
    headers: list[tuple[str, str]]
    metadata: ResponseMetadata
    response: urllib3.BaseHTTPResponse
    stream: HttpClientConnection
    whole: bool = False

    @property
    def ends_clearly(self) -> bool:
        """Whether the engine said where the body ends; a connection's end may as well be that of the engine."""
        return self.response.chunked or self.response.length_remaining is not None

    @property
    def is_engine_failure(self) -> bool:
        """Whether the status says that the engine, and not the request, is at fault."""
        return self.status >= 500

    def pieces(self) -> Iterator[bytes]:
        """As they arrive; an error of the wire when the answer breaks off."""
        if self.response.chunked:
            yield from self.response.stream(PIECE_BYTES, decode_content=False)
        else:
            while data := self.response.read1(PIECE_BYTES, decode_content=False):
                yield data
        self.whole = True


class EngineClient:
    """Invariants: every call names the engine that it is meant for; an answer, or its promise that the request
    was not run, counts only when it names the request that was asked; it is given on only when it is not encoded, bears
    the engine's seal if it is a success, and has no status that would promise what the engine did not."""

    def __init__(self, *, host: Host, protocol: ProtocolAdapter, connections: Connections) -> None:
        self.host = host
        self.protocol = protocol
        self.connections = connections

    def read(self, *, record: RequestRecord, engine: EngineEntry) -> KvHandle | Unsent | TurnedAway | Broken:
        """Has the prompt read and kept."""
        with self._exchange(record=record, engine=engine, reading=True, kv_handle=None, last=None) as told:
            if not isinstance(told, EngineResponse):
                return told
            try:
                body = b"".join(told.pieces())
                if told.status != 200:
                    return Broken(why=f"reading ended with {told.status}")
                return self.protocol.parse_kv_handle(body=body, engine=engine)
            except WIRE_ERRORS as error:
                return Broken(why=f"{type(error).__name__}: {error}")

    @contextlib.contextmanager
    def run(
        self, *, record: RequestRecord, engine: EngineEntry, kv_handle: KvHandle | None, last: str | None
    ) -> Iterator[EngineResponse | Unsent | TurnedAway | Broken]:  # fmt: skip
        """Sends the request to be run. Once its answer's head is here, the body is read inside the block."""
        with self._exchange(record=record, engine=engine, reading=False, kv_handle=kv_handle, last=last) as told:
            yield told

    @contextlib.contextmanager
    def _exchange(
        self, *, record: RequestRecord, engine: EngineEntry, reading: bool, kv_handle: KvHandle | None, last: str | None
    ) -> Iterator[EngineResponse | Unsent | TurnedAway | Broken]:  # fmt: skip
        with contextlib.ExitStack() as stack:
            try:
                opened = self.connections.open(
                    engine=engine.engine, address=engine.address, request_id=record.metadata.request_id
                )  # fmt: skip
                stream = stack.enter_context(opened)
            except NoConnection as error:
                yield Unsent(why=str(error), refused=error.refused)
                return
            try:
                told = self._ask(
                    record=record, engine=engine, stream=stream, reading=reading, kv_handle=kv_handle, last=last
                )  # fmt: skip
                yield told
                if isinstance(told, EngineResponse) and told.whole:
                    self.connections.note_whole(
                        stream=stream, keep=told.metadata.keep_alive, closing=told.metadata.closing
                    )
            finally:
                record.wait_over()

    def _ask(
        self, *, record: RequestRecord, engine: EngineEntry, stream: HttpClientConnection, reading: bool,
        kv_handle: KvHandle | None, last: str | None,
    ) -> EngineResponse | TurnedAway | Broken:  # fmt: skip
        now = self.host.elapsed()
        headers = urllib3.HTTPHeaderDict()
        for name, value in self.protocol.engine_headers(
            headers=record.headers, engine=engine, left=record.until - now, urgency=record.route.urgency,
            prefill=reading, kv_handle=kv_handle, last_event=last,
        ):  # fmt: skip
            headers.add(name, value)
        record.wait_for(engine=engine.engine, wire=stream, now=now, reading=reading)
        try:
            body = record.body if record.body or record.method in ("POST", "PUT", "PATCH") else None
            stream.request(record.method, record.target, body=body, headers=headers, preload_content=False)
            response = stream.getresponse()
        except WIRE_ERRORS as error:
            return Broken(why=f"{type(error).__name__}: {error}")
        record.since = self.host.elapsed()
        rows = list(response.headers.iteritems())
        told = self.protocol.parse_response(status=response.status, headers=rows)
        answer = EngineResponse(status=response.status, headers=rows, metadata=told, response=response, stream=stream)
        spoiled = self._spoiled(record=record, answer=answer, reading=reading)
        if told.not_run and not spoiled:
            with contextlib.suppress(*WIRE_ERRORS):
                for _ in answer.pieces():
                    continue
                self.connections.note_whole(stream=stream, keep=told.keep_alive, closing=told.closing)
            return TurnedAway(why=f"turned away with {response.status}", other_engine=told.other_engine)
        if spoiled:
            self.host.log(
                LogEvent.RESPONSE_INVALID, engine=engine.engine, request=record.metadata.request_id, why=spoiled
            )
            return Broken(why=spoiled)
        return answer

    def _spoiled(self, *, record: RequestRecord, answer: EngineResponse, reading: bool) -> str:
        """Why the answer cannot be taken as this request's, its promise not to have run it included."""
        if answer.metadata.request_id != record.metadata.request_id:
            return f"it names request {answer.metadata.request_id!r}"
        if answer.metadata.not_run:
            return ""
        if answer.status in PROMISES:
            return f"it has status {answer.status} and does not say that the request was not run"
        if not answer.ends_clearly:
            return "it does not say where its body ends"
        if answer.metadata.encoded:
            return "it is encoded"
        if 200 <= answer.status < 300 and not answer.metadata.sealed and not reading:
            return "it bears no seal"
        return ""

    def forget(self, *, kv_handle: KvHandle) -> None:
        """Frees memory that nobody will take."""
        self._small(
            engine=kv_handle.engine,
            address=kv_handle.address,
            method="DELETE",
            path=self.protocol.kv_handle_path(kv_handle=kv_handle),
        )

    def well(self, *, engine: EngineEntry, path: str) -> bool:
        """Whether the engine says that it is well."""
        told = self._small(engine=engine.engine, address=engine.address, method="GET", path=path)
        return told is not None and told[0] == 200 and told[2].engine == engine.engine

    def report(self, *, engine: EngineEntry) -> EngineReport | None:
        told = self._small(
            engine=engine.engine, address=engine.address, method="GET", path=self.protocol.report_path
        )  # fmt: skip
        try:
            return self.protocol.parse_report(body=told[1]) if told is not None and told[0] == 200 else None
        except WIRE_ERRORS:
            return None

    def _small(
        self, *, engine: str, address: str, method: str, path: str
    ) -> tuple[int, bytes, ResponseMetadata] | None:
        try:
            with time_limit(wait=SMALL_LIMIT), self.connections.open(engine=engine, address=address) as stream:
                stream.request(method, path, preload_content=False)
                response = stream.getresponse()
                data = response.read()
                told = self.protocol.parse_response(status=response.status, headers=list(response.headers.iteritems()))
                self.connections.note_whole(stream=stream, keep=told.keep_alive, closing=told.closing)
                return response.status, data, told
        except WIRE_ERRORS:
            return None
