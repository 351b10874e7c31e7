"""Processes a request from admission to completion: selects engines, sends, relays the answer and retries."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any

from dockmux.platform_proxy.admission import Admission
from dockmux.platform_proxy.budget import Budget
from dockmux.platform_proxy.directory import Directory
from dockmux.platform_proxy.engine_client import EngineClient, EngineResponse
from dockmux.platform_proxy.engine_health import EngineHealth
from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.placement import Pairing, Placement
from dockmux.platform_proxy.protocol_adapter import EngineEntry, KvHandle, ProtocolAdapter
from dockmux.platform_proxy.relay import HeadAction, Relay
from dockmux.platform_proxy.request_record import RequestRecord, mark_disconnected
from dockmux.platform_proxy.routes import RunRule
from dockmux.platform_proxy.send_state import Rejected, UnknownOutcome, Unsent
from dockmux.runtime.host import Host
from dockmux.runtime.http_response import WIRE_ERRORS
from dockmux.runtime.http_transport import HttpExchange
from dockmux.runtime.outcomes import OutcomeKind
from dockmux.runtime.receive_limits import HeldBytesExceeded
from dockmux.runtime.time_units import ZERO

# Delay before a request tries an engine again that it could not reach; it doubles with each retry up to the maximum.
MIN_RETRY_DELAY = timedelta(milliseconds=20)
MAX_RETRY_DELAY = timedelta(milliseconds=320)
# Prefills on separate engines for one request; after that its decode engine prefills as well.
MAX_PREFILLS = 2
# Retry-After of a refused request; longer where the engines' backlog exceeds it.
DEFAULT_RETRY_AFTER = timedelta(milliseconds=250)
# Share of a client's remaining time that Retry-After may take up: clients do not wait longer.
MAX_RETRY_AFTER_SHARE = 1 / 3
# For this long after a prefill was rejected, first prefills are expected to be rejected as well.
PREFILL_REJECTION_WINDOW = timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Completion:
    """How a request ended. Invariant: `truncated` means that the client has part of an answer that cannot be completed;
    otherwise ANSWERED means that the client has a complete answer, and any other kind has still to be sent to it,
    together with `retry_after`."""

    kind: OutcomeKind
    reason: str = ""
    truncated: bool = False
    retry_after: timedelta = DEFAULT_RETRY_AFTER


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendPlan:
    """The next send: its engines, and the KV cache handle from a separate prefill, if there was one."""

    pairing: Pairing
    kv_handle: KvHandle | None


class Dispatcher:
    """Invariants:
    - a request that may have run and may not be repeated is sent to no other engine;
    - every send after a request's first is taken from the retry budget beforehand;
    - an engine is looked up in the current engine list immediately before each send;
    - `phase_changes` maps engines that change their phase to (new phase, expiry); they get no new work until the engine
      list shows the new phase or the entry expires;
    - `last_activity` maps an engine to when it last answered, or was last scheduled for a health check for lack of
      answers;
    - `unused_kv_handles` are KV cache handles that no request will use, to be released."""

    def __init__(
        self, *, host: Host, protocol: ProtocolAdapter, directory: Directory, engine_client: EngineClient,
        load_tracker: LoadTracker, placement: Placement, engine_health: EngineHealth, budget: Budget, clock: Any,
        daemon_count: Callable[[], int],
    ) -> None:  # fmt: skip
        self.host = host
        self.protocol = protocol
        self.directory = directory
        self.engine_client = engine_client
        self.load_tracker = load_tracker
        self.placement = placement
        self.engine_health = engine_health
        self.budget = budget
        self.clock = clock
        self.daemon_count = daemon_count
        self.admission = Admission()
        self.unused_kv_handles: list[KvHandle] = []
        self.prefill_rejected_at = -PREFILL_REJECTION_WINDOW
        self.last_activity: dict[str, timedelta] = {}
        self.phase_changes: dict[str, tuple[str, timedelta]] = {}

    def run(self, *, exchange: HttpExchange, record: RequestRecord) -> Iterator[bytes | Completion]:
        """Yields the client's bytes as they arrive, and last of all the request's completion."""
        resumable = record.route.run is RunRule.RESUMABLE and record.route.stream
        relay = Relay(
            exchange=exchange, protocol=self.protocol, resumable=resumable, last_event=record.metadata.last_event,
            tokens_out=record.metadata.tokens_out,
        )  # fmt: skip
        while True:
            next_step = self._completion_before_send(record=record, committed=relay.committed) or self._plan_send(
                record=record
            )
            if isinstance(next_step, Completion):
                yield dataclasses.replace(next_step, truncated=relay.started)
                return
            if next_step is None:
                continue
            if (yield from self._send(record=record, relay=relay, plan=next_step)):
                yield Completion(kind=OutcomeKind.ANSWERED)
                return

    # Planning a send.

    def _completion_before_send(self, *, record: RequestRecord, committed: bool) -> Completion | None:
        """The request's completion if it may be sent to no further engine, else None. `committed` means that the client
        has part of an answer that no other engine can continue."""
        if self._client_disconnected(record=record):
            return Completion(kind=OutcomeKind.CLIENT_LEFT, reason="its client has left")
        if record.may_have_run and not record.route.repeatable:
            return Completion(kind=OutcomeKind.FAILED, reason=record.reason or "the engine broke off")
        if record.may_have_run and committed:
            return Completion(kind=OutcomeKind.FAILED, reason=record.reason or "the engine broke off")
        if self._expired(record=record):
            return Completion(
                kind=OutcomeKind.UNKNOWN if record.may_have_run else OutcomeKind.BUSY, reason="its time is over"
            )
        if record.sends >= record.route.max_sends:
            kind = OutcomeKind.FAILED if record.may_have_run else OutcomeKind.BUSY
            return Completion(kind=kind, reason=record.reason or "all its tries are used")
        return None

    def _plan_send(self, *, record: RequestRecord) -> SendPlan | Completion | None:
        """Selects engines and runs a separate prefill if planned; None when the selection has to be repeated."""
        pairing = self._select_engines(record=record)
        if pairing is None:
            return Completion(kind=OutcomeKind.NO_ENGINE, reason="no engine can be used")
        if not record.may_have_run and (refusal := self._overloaded(record=record, pairing=pairing)) is not None:
            return refusal
        if pairing.includes(engines=record.unreachable):
            self._pause_before_retry(record=record)
            if self._expired(record=record):
                return None
        kv_handle = None
        if pairing.prefill_engine is not None:
            budget_taken = self._may_prefill(record=record)
            if budget_taken is None:
                record.prefills = MAX_PREFILLS
                return None
            kv_handle = self._prefill(record=record, pairing=pairing, budget_taken=budget_taken)
            if (
                kv_handle is None
                or not self._is_available(engine=pairing.decode_engine)
                or self._client_disconnected(record=record)
            ):
                self._discard(kv_handle=kv_handle)
                return None
        if not self._take_retry(record=record, first=record.sends == 0):
            self._discard(kv_handle=kv_handle)
            return Completion(kind=OutcomeKind.BUSY, reason="no extra send is left")
        return SendPlan(pairing=pairing, kv_handle=kv_handle)

    def _overloaded(self, *, record: RequestRecord, pairing: Pairing) -> Completion | None:
        """The refusal of a request that is not expected to finish before its deadline, else None."""
        now = self.host.elapsed()
        streams = self.load_tracker.streams(engine=pairing.decode_engine.engine)
        excess = self.admission.excess(record=record, pairing=pairing, streams=streams, now=now)
        if excess <= ZERO:
            return None
        retry_after = max(min(excess, (record.deadline - now) * MAX_RETRY_AFTER_SHARE), DEFAULT_RETRY_AFTER)
        return Completion(kind=OutcomeKind.BUSY, reason="it would not be answered in time", retry_after=retry_after)

    def _pause_before_retry(self, *, record: RequestRecord) -> None:
        """Waits with exponential backoff. An engine that refuses connections does so immediately; without the pause it
        would be tried thousands of times a second."""
        pause = min(MIN_RETRY_DELAY * 2**record.retry_pauses, MAX_RETRY_DELAY)
        record.retry_pauses = min(record.retry_pauses + 1, 8)
        time_left = record.expires_at() - self.host.elapsed()
        self.host.sleep(wait=max(min(pause, time_left), ZERO))

    def _expired(self, *, record: RequestRecord) -> bool:
        return self.host.elapsed() >= record.expires_at()

    def _client_disconnected(self, *, record: RequestRecord) -> bool:
        if not record.disconnected:
            mark_disconnected(host=self.host, records=[record])
        return record.disconnected

    def _is_abandoned(self, *, record: RequestRecord) -> bool:
        """Whether the client has disconnected or the request has expired: an answer that then breaks off, perhaps
        because this daemon cancelled the call, does not count as a failure of the engine."""
        return record.disconnected or self._expired(record=record)

    def _take_retry(self, *, record: RequestRecord, first: bool) -> bool:
        """Takes one extra send from the retry budget; a first send is free."""
        if first:
            return True
        clock = self.clock
        bound = clock.bound()
        time = clock.issue_time() if clock.synchronized else None
        return self.budget.take(
            service=record.service, daemons=self.daemon_count(), now=self.host.elapsed(), time=time, bound=bound
        )  # fmt: skip

    def available_engines(self, *, service: str) -> list[EngineEntry]:
        """The service's engines that may get new work: neither draining nor changing their phase."""
        now = self.host.elapsed()
        for engine, (phase, expires_at) in list(self.phase_changes.items()):
            entry = self.directory.rows.get(engine)
            if now >= expires_at or entry is None or entry.phase == phase:
                del self.phase_changes[engine]
        return [
            entry
            for entry in self.directory.rows.values()
            if entry.service == service and not entry.leaving and entry.engine not in self.phase_changes
        ]

    def _is_available(self, *, engine: EngineEntry) -> bool:
        entry = self.directory.rows.get(engine.engine)
        return entry is not None and not entry.leaving and entry.address == engine.address

    def _select_engines(self, *, record: RequestRecord) -> Pairing | None:
        engines = self.available_engines(service=record.service)
        candidates = [engine for engine in engines if not self.engine_health.is_failing(engine=engine.engine)]
        decode_engines = [
            engine for engine in candidates if engine.phase != "prefill" and engine.engine not in record.avoid
        ]
        if not decode_engines:
            # No healthy decode engine is left: engines marked as failing are tried as well.
            candidates = engines
        if record.prefills >= MAX_PREFILLS:
            candidates = [engine for engine in candidates if engine.phase != "prefill"]
        return self.placement.choose(
            service=record.service, metadata=record.metadata, engines=candidates, avoid=record.avoid
        )

    # Separate prefill.

    def _may_prefill(self, *, record: RequestRecord) -> bool | None:
        """Whether an extra send was taken from the retry budget for a prefill; None when the prefill may not be sent.

        A request's first prefill counts as an extra send only if the engine rejects it. While prefills are being
        rejected, the extra send is taken beforehand and given back if the prefill is accepted."""
        if record.prefills == 0 and self.host.elapsed() - self.prefill_rejected_at > PREFILL_REJECTION_WINDOW:
            return False
        return True if self._take_retry(record=record, first=False) else None

    def _prefill(self, *, record: RequestRecord, pairing: Pairing, budget_taken: bool) -> KvHandle | None:
        """Runs the prompt's prefill on its engine; the KV cache handle, or None when that failed."""
        engine = pairing.prefill_engine
        idle = self.load_tracker.backlog(engine=engine.engine) <= ZERO
        started_at = self.host.elapsed()
        with self.load_tracker.prefilling(engine=engine.engine, span=pairing.prefill_time):
            result = self.engine_client.prefill(record=record, engine=engine)
        if isinstance(result, Rejected):
            self.prefill_rejected_at = self.host.elapsed()
            if not budget_taken:
                self.budget.charge(service=record.service, now=self.prefill_rejected_at)
        elif budget_taken and (record.prefills == 0 or isinstance(result, Unsent)):
            self.budget.refund(service=record.service)
        self.last_activity[engine.engine] = self.host.running_elapsed()
        if isinstance(result, KvHandle):
            record.prefills += 1
            span = self.host.elapsed() - started_at
            tokens = self.placement.uncached_tokens(engine=engine, metadata=record.metadata, is_home=True)
            if idle:
                self.placement.note_prefill_rate(service=record.service, tokens=tokens, span=span)
            self._note_cached_prefix(record=record, engine=engine)
            self.engine_health.note_success(engine=engine.engine)
            return result
        if not isinstance(result, Unsent):
            record.prefills += 1
        if isinstance(result, Rejected):
            record.prefills = MAX_PREFILLS
        self._note_engine_failure(record=record, engine=engine, result=result)
        return None

    def _note_cached_prefix(self, *, record: RequestRecord, engine: EngineEntry) -> None:
        self.placement.note_prefill(
            service=record.service, engine=engine.engine, prefix_blocks=record.metadata.prefix_blocks
        )

    def _discard(self, *, kv_handle: KvHandle | None) -> None:
        """Queues the handle for release on its engine."""
        if kv_handle is not None:
            self.unused_kv_handles.append(kv_handle)

    # Sending, and relaying the answer.

    def _send(self, *, record: RequestRecord, relay: Relay, plan: SendPlan) -> Iterator[bytes]:
        """Sends the request and yields the client's bytes; returns whether the request is finished."""
        engine, span = plan.pairing.decode_engine, plan.pairing.local_prefill_time
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.load_tracker.streaming(engine=engine.engine))
            prefill_load = contextlib.ExitStack()
            stack.enter_context(prefill_load)
            if span > ZERO:
                prefill_load.enter_context(self.load_tracker.prefilling(engine=engine.engine, span=span))
            result = stack.enter_context(
                self.engine_client.run(
                    record=record, engine=engine, kv_handle=plan.kv_handle, last_event=relay.last_event
                )
            )
            if not isinstance(result, EngineResponse):
                self._note_failed_send(record=record, engine=engine, result=result, kv_handle=plan.kv_handle)
                return False
            record.note_send(state=result.state)
            if span > ZERO or plan.kv_handle is not None:
                # KV cache transferred from a prefill engine stays cached on the decode engine as well.
                self._note_cached_prefix(record=record, engine=engine)
            if relay.accept_head(response=result) is HeadAction.DISCARD:
                reason = f"the engine answered the resumption with status {result.status}"
                self._note_failed_answer(
                    record=record, engine=engine, reason=reason, engine_at_fault=result.is_engine_failure
                )
                return False
            return (
                yield from self._relay_answer(
                    record=record, relay=relay, engine=engine, response=result, prefill_load=prefill_load
                )
            )

    def _relay_answer(
        self,
        *,
        record: RequestRecord,
        relay: Relay,
        engine: EngineEntry,
        response: EngineResponse,
        prefill_load: contextlib.ExitStack,
    ) -> Iterator[bytes]:
        """Yields the client's part of an engine's answer; returns whether the answer was complete. `prefill_load` is
        closed at the answer's first chunk."""
        first_at: timedelta | None = None
        try:
            for data in relay.chunks(response=response):
                prefill_load.close()
                first_at = first_at or self.host.elapsed()
                record.answer_started, record.committed = relay.started, relay.committed
                if data:
                    # Bytes that complete nothing are no sign of life.
                    record.last_activity_at = self.last_activity[engine.engine] = self.host.running_elapsed()
                    yield data
        except WIRE_ERRORS as error:
            response.complete = False
            if self._expired(record=record):
                self._note_stream(record=record, engine=engine, first_at=first_at, complete=False)
            reason = record.reason or f"{type(error).__name__}: {error}"
            at_fault = not isinstance(error, HeldBytesExceeded)
            self._note_failed_answer(record=record, engine=engine, reason=reason, engine_at_fault=at_fault)
            record.committed = relay.committed
            return False
        if not response.is_engine_failure:
            self.engine_health.note_success(engine=engine.engine)
            self._note_stream(record=record, engine=engine, first_at=first_at, complete=True)
        return True

    def _note_stream(
        self, *, record: RequestRecord, engine: EngineEntry, first_at: timedelta | None, complete: bool
    ) -> None:  # fmt: skip
        """Updates the admission estimate with the stream's duration; resumed streams are left out."""
        if first_at is None or not record.route.stream or record.metadata.last_event is not None:
            return
        streams = self.load_tracker.streams(engine=engine.engine)
        span = self.host.elapsed() - first_at
        self.admission.note_stream(record=record, span=span, streams=streams, slots=engine.slots, complete=complete)

    def _note_failed_answer(
        self, *, record: RequestRecord, engine: EngineEntry, reason: str, engine_at_fault: bool
    ) -> None:
        """An answer did not finish the request; `engine_at_fault` counts it as a failure of the engine."""
        record.reason = reason
        record.avoid.add(engine.engine)
        if engine_at_fault and not self._is_abandoned(record=record):
            self.engine_health.note_failure(engine=engine.engine, why=reason)

    def _note_failed_send(
        self, *, record: RequestRecord, engine: EngineEntry, result: Unsent | Rejected | UnknownOutcome,
        kv_handle: KvHandle | None,
    ) -> None:  # fmt: skip
        """A send to be run got no answer; a KV cache handle that it cannot have used is discarded."""
        self._note_engine_failure(record=record, engine=engine, result=result)
        record.note_send(state=result.state)
        if not result.state.may_have_run:
            self._discard(kv_handle=kv_handle)

    def _note_engine_failure(
        self, *, record: RequestRecord, engine: EngineEntry, result: Unsent | Rejected | UnknownOutcome
    ) -> None:
        """Excludes the engine from the request's next sends, and counts the failure unless the request itself was
        rejected or its client no longer waits for it."""
        record.avoid.add(engine.engine)
        if isinstance(result, Unsent):
            record.unreachable.add(engine.engine)
        record.reason = result.reason
        if isinstance(result, Rejected) and not (result.other_engine or result.is_malformed):
            return
        if not self._is_abandoned(record=record):
            self.engine_health.note_failure(engine=engine.engine, why=result.reason)
