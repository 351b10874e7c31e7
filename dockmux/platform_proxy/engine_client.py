"""HTTP calls to engines: prefill, run, KV cache release, health check and load report."""

import contextlib
import dataclasses
from collections.abc import Iterator
from datetime import timedelta
from typing import ClassVar

import urllib3

from dockmux.platform_proxy.connection_pool import ConnectError, ConnectionPool
from dockmux.platform_proxy.protocol_adapter import (
    EngineEntry,
    EngineReport,
    KvHandle,
    ProtocolAdapter,
    ResponseMetadata,
)
from dockmux.platform_proxy.request_record import RequestRecord
from dockmux.platform_proxy.send_state import Rejected, SendState, UnknownOutcome, Unsent
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_client import HttpClientConnection
from dockmux.runtime.http_response import WIRE_ERRORS, BadAnswer, BoundedResponse
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.receive_limits import MAX_ANSWER_BYTES, MAX_SHORT_ANSWER_BYTES, ReceiveLimitExceeded

# Time limit of a call that is no client's request: KV cache release, health check, load report.
CONTROL_CALL_TIMEOUT = timedelta(milliseconds=800)
# Answers whose content does not matter, or is a few fields: a KV cache handle, a health check, a refusal.
SMALL_ANSWER_BYTES = 65_536
# Size of an answer to a request that states how many tokens it may generate: a free part, and a part for each token.
FREE_ANSWER_BYTES = 256 << 10
ANSWER_BYTES_PER_TOKEN = 16_384
# Statuses that tell a client that its request was not run and will not be.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(kw_only=True)
class EngineResponse:
    """An engine's answer to the request that was sent; its body is read through `chunks`. Invariant: `complete` becomes
    true only when the body was read to its end as the engine announced it."""

    state: ClassVar[SendState] = SendState.RAN
    status: int
    headers: list[tuple[str, str]]
    metadata: ResponseMetadata
    response: BoundedResponse
    connection: HttpClientConnection
    tokens_out: int = 0
    complete: bool = False

    @property
    def is_self_delimiting(self) -> bool:
        """Whether the engine announced where the body ends. Otherwise the end of the connection would mark it, which
        looks the same when the engine crashes."""
        return self.response.is_self_delimiting

    @property
    def is_event_stream(self) -> bool:
        content_type = self.response.headers.get("content-type", "")
        return content_type.partition(";")[0].strip().lower() == "text/event-stream"

    @property
    def is_engine_failure(self) -> bool:
        """Whether the status means a failure of the engine and not of the request."""
        return self.status >= 500

    @property
    def limit_bytes(self) -> int:
        """How long the body may be: that of a failure is read whole before it is passed on."""
        if self.status >= 400:
            return MAX_SHORT_ANSWER_BYTES
        if not self.tokens_out:
            return MAX_ANSWER_BYTES
        return min(FREE_ANSWER_BYTES + self.tokens_out * ANSWER_BYTES_PER_TOKEN, MAX_ANSWER_BYTES)

    def chunks(self) -> Iterator[bytes]:
        """Yields the body as it arrives; raises one of WIRE_ERRORS when the answer breaks off or exceeds a limit."""
        yield from self.response.chunks(limit_bytes=self.limit_bytes)
        self.complete = True

    def read(self, *, limit_bytes: int) -> bytes:
        """The whole body, which is one unit; raises as `chunks` does."""
        self.response.chunk_is_unit = False
        body = self.response.read(limit_bytes=limit_bytes)
        self.complete = True
        return body


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlAnswer:
    """The whole answer to a call that is no client's request."""

    status: int
    body: bytes
    metadata: ResponseMetadata


class MalformedAnswer(Exception):
    """An engine answered a call that is no client's request with something that is no answer, or without end."""


class EngineClient:
    """Invariants: every call names the engine that it is meant for; an answer, or its statement that the request was
    not run, is accepted only if it names the request that was sent; an answer is relayed only if it has no content
    encoding, carries the engine's seal if it is a success, and has no status that tells the client that the request
    was not run where the engine did not state so."""

    def __init__(self, *, host: Host, protocol: ProtocolAdapter, connection_pool: ConnectionPool) -> None:
        self.host = host
        self.protocol = protocol
        self.connection_pool = connection_pool

    def prefill(self, *, record: RequestRecord, engine: EngineEntry) -> KvHandle | Unsent | Rejected | UnknownOutcome:
        """Runs the prompt's prefill; the engine keeps the KV cache under the returned handle."""
        with self._exchange(record=record, engine=engine, prefill=True, kv_handle=None, last_event=None) as result:
            if not isinstance(result, EngineResponse):
                return result
            try:
                body = result.read(limit_bytes=SMALL_ANSWER_BYTES)
                if result.status != 200:
                    return UnknownOutcome(reason=f"reading ended with {result.status}")
                return self.protocol.parse_kv_handle(body=body, engine=engine)
            except WIRE_ERRORS as error:
                return UnknownOutcome(reason=f"{type(error).__name__}: {error}")

    @contextlib.contextmanager
    def run(
        self, *, record: RequestRecord, engine: EngineEntry, kv_handle: KvHandle | None, last_event: str | None
    ) -> Iterator[EngineResponse | Unsent | Rejected | UnknownOutcome]:  # fmt: skip
        """Sends the request to be run and yields its answer once the head has arrived; the body is read inside the
        `with` block. `kv_handle` is the KV cache to start from, `last_event` the event after which a stream is resumed.
        """
        with self._exchange(
            record=record, engine=engine, prefill=False, kv_handle=kv_handle, last_event=last_event
        ) as result:
            yield result

    @contextlib.contextmanager
    def _exchange(
        self, *, record: RequestRecord, engine: EngineEntry, prefill: bool, kv_handle: KvHandle | None,
        last_event: str | None,
    ) -> Iterator[EngineResponse | Unsent | Rejected | UnknownOutcome]:  # fmt: skip
        with contextlib.ExitStack() as stack:
            try:
                connection_context = self.connection_pool.open(
                    engine=engine.engine, address=engine.address, request_id=record.metadata.request_id
                )  # fmt: skip
                connection = stack.enter_context(connection_context)
            except ConnectError as error:
                yield Unsent(reason=str(error), refused=error.refused)
                return
            try:
                result = self._send_request(
                    record=record, engine=engine, connection=connection, prefill=prefill, kv_handle=kv_handle,
                    last_event=last_event,
                )  # fmt: skip
                yield result
                if isinstance(result, EngineResponse) and result.complete:
                    self.connection_pool.note_complete(
                        connection=connection, keep=result.metadata.keep_alive, closing=result.metadata.closing
                    )
            finally:
                record.end_wait()

    def _send_request(
        self, *, record: RequestRecord, engine: EngineEntry, connection: HttpClientConnection, prefill: bool,
        kv_handle: KvHandle | None, last_event: str | None,
    ) -> EngineResponse | Rejected | UnknownOutcome:  # fmt: skip
        now = self.host.elapsed()
        headers = urllib3.HTTPHeaderDict()
        for name, value in self.protocol.engine_headers(
            headers=record.headers, engine=engine, left=record.deadline - now, urgency=record.route.urgency,
            prefill=prefill, kv_handle=kv_handle, last_event=last_event,
        ):  # fmt: skip
            headers.add(name, value)
        record.begin_wait(engine=engine.engine, connection=connection, now=self.host.running_elapsed(), prefill=prefill)
        try:
            body = record.body if record.body or record.method in ("POST", "PUT", "PATCH") else None
            connection.request(record.method, record.target, body=body, headers=headers, preload_content=False)
            response = connection.getresponse()
            response_headers = list(response.headers.iteritems())
            metadata = self.protocol.parse_response(status=response.status, headers=response_headers)
        except WIRE_ERRORS as error:
            return UnknownOutcome(reason=f"{type(error).__name__}: {error}")
        record.last_activity_at = self.host.running_elapsed()
        if not prefill:
            connection.end_unit()
        answer = EngineResponse(
            status=response.status,
            headers=response_headers,
            metadata=metadata,
            response=response,
            connection=connection,
            tokens_out=record.metadata.tokens_out,
        )
        defect = self._find_defect(record=record, answer=answer, prefill=prefill)
        if metadata.not_run and not defect:
            return self._finish_refusal(answer=answer)
        if defect:
            self.host.log(
                LogEvent.RESPONSE_INVALID, engine=engine.engine, request=record.metadata.request_id, why=defect
            )
            return UnknownOutcome(reason=defect)
        return answer

    def _finish_refusal(self, *, answer: EngineResponse) -> Rejected:
        """Reads the rest of an engine's statement that it did not run the request."""
        metadata = answer.metadata
        is_malformed = False
        try:
            with time_limit(wait=CONTROL_CALL_TIMEOUT):
                answer.read(limit_bytes=SMALL_ANSWER_BYTES)
            self.connection_pool.note_complete(
                connection=answer.connection, keep=metadata.keep_alive, closing=metadata.closing
            )
        except WIRE_ERRORS:
            is_malformed = True
        return Rejected(
            reason=f"turned away with {answer.status}", other_engine=metadata.other_engine, is_malformed=is_malformed
        )

    def _find_defect(self, *, record: RequestRecord, answer: EngineResponse, prefill: bool) -> str:
        """Why the answer, or its statement that the request was not run, cannot be accepted for this request; empty if
        it can."""
        if answer.metadata.request_id != record.metadata.request_id:
            return f"it names request {answer.metadata.request_id!r}"
        if answer.metadata.not_run:
            return ""
        if answer.status in NOT_RUN_STATUSES:
            return f"it has status {answer.status} and does not say that the request was not run"
        if not answer.is_self_delimiting:
            return "it does not say where its body ends"
        if answer.metadata.encoded:
            return "it is encoded"
        if 200 <= answer.status < 300 and not answer.metadata.sealed and not prefill:
            return "it bears no seal"
        return ""

    def release_kv_handle(self, *, kv_handle: KvHandle) -> None:
        """Frees a KV cache on its engine that no request will use. Raises MalformedAnswer; any other failure is
        ignored."""
        self._control_call(
            engine=kv_handle.engine,
            address=kv_handle.address,
            method="DELETE",
            path=self.protocol.kv_handle_path(kv_handle=kv_handle),
            limit_bytes=SMALL_ANSWER_BYTES,
        )

    def is_healthy(self, *, engine: EngineEntry, path: str) -> bool:
        """Whether the engine answers its health check with 200 and under its own name."""
        try:
            answer = self._control_call(
                engine=engine.engine, address=engine.address, method="GET", path=path, limit_bytes=SMALL_ANSWER_BYTES
            )
        except MalformedAnswer:
            return False
        return answer is not None and answer.status == 200 and answer.metadata.engine == engine.engine

    def fetch_report(self, *, engine: EngineEntry) -> EngineReport | None:
        """The engine's load report; None if it cannot be fetched or parsed."""
        try:
            answer = self._control_call(
                engine=engine.engine, address=engine.address, method="GET", path=self.protocol.report_path,
                limit_bytes=MAX_SHORT_ANSWER_BYTES,
            )  # fmt: skip
            return self.protocol.parse_report(body=answer.body) if answer is not None and answer.status == 200 else None
        except (MalformedAnswer, *WIRE_ERRORS):
            return None

    def _control_call(
        self, *, engine: str, address: str, method: str, path: str, limit_bytes: int
    ) -> ControlAnswer | None:
        """One short call without a body; None if the engine cannot be reached, is silent or breaks off. Raises
        MalformedAnswer."""
        try:
            with (
                time_limit(wait=CONTROL_CALL_TIMEOUT),
                self.connection_pool.open(engine=engine, address=address) as connection,
            ):
                connection.request(method, path, preload_content=False)
                response = connection.getresponse()
                data = response.read(limit_bytes=limit_bytes)
                metadata = self.protocol.parse_response(
                    status=response.status, headers=list(response.headers.iteritems())
                )
                self.connection_pool.note_complete(
                    connection=connection, keep=metadata.keep_alive, closing=metadata.closing
                )
                return ControlAnswer(status=response.status, body=data, metadata=metadata)
        except (BadAnswer, ReceiveLimitExceeded, ValueError) as error:
            raise MalformedAnswer(f"{method} {path}: {type(error).__name__}: {error}") from None
        except WIRE_ERRORS:
            return None
