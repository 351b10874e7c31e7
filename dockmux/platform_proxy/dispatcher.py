"""The course of requests: which engine is asked next, what its answer brings, and how a request ends."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Any

from dockmux.platform_proxy.admission import Admission
from dockmux.platform_proxy.budget import Budget
from dockmux.platform_proxy.directory import Directory
from dockmux.platform_proxy.engine_client import WIRE_ERRORS, EngineClient, EngineResponse
from dockmux.platform_proxy.engine_health import EngineHealth
from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.placement import Pairing, Placement
from dockmux.platform_proxy.protocol_adapter import EngineEntry, KvHandle, ProtocolAdapter
from dockmux.platform_proxy.relay import Relay, Step
from dockmux.platform_proxy.request_record import RequestRecord, note_left
from dockmux.platform_proxy.routes import RunRule
from dockmux.platform_proxy.send_state import Broken, TurnedAway, Unsent
from dockmux.runtime.host import Host
from dockmux.runtime.http_transport import HttpExchange
from dockmux.runtime.outcomes import OutcomeKind
from dockmux.runtime.time_units import ZERO

# Before an engine is tried again that could not be reached for this request: so long at first, then twice as long.
RETRY_PAUSE = timedelta(milliseconds=20)
RETRY_PAUSE_MOST = timedelta(milliseconds=320)
# Engines that are asked to read for one request, before its writer reads itself.
READS_MOST = 2
# When to come back where nothing was run; later where more than that lies at the engines.
RETRY = timedelta(milliseconds=250)
# Clients do not wait for longer than this part of the time that they have.
RETRY_PART_MOST = 1 / 3
# Readings count as being turned away for so long after one was.
TURNED_FOR = timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ending:
    """How a request ends. Invariant: `cut` says that the client has a part of an answer that cannot be completed; else
    ANSWERED means that it has a whole one, and any other kind is still to be told, and with it when to come back."""

    kind: OutcomeKind
    why: str = ""
    cut: bool = False
    retry: timedelta = RETRY


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """What is sent next: to which engines, going on from which memory, if any."""

    pairing: Pairing
    kv_handle: KvHandle | None


class Dispatcher:
    """Invariants: a request that may have run and may not be repeated is sent to no other engine; each send that is not
    a request's first is taken from the budget first; an engine is looked up in the newest list just before each send;
    `moving` names engines that change their phase, which get nothing new until the list shows it or the time is over;
    `signs` is when an engine last gave one, or was last asked for want of one; `to_forget` is memory that nobody will
    take."""

    def __init__(
        self, *, host: Host, protocol: ProtocolAdapter, directory: Directory, engine_client: EngineClient,
        load_tracker: LoadTracker, placement: Placement, engine_health: EngineHealth, budget: Budget, clock: Any,
        daemons: Callable[[], int],
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
        self.daemons = daemons
        self.admission = Admission()
        self.to_forget: list[KvHandle] = []
        self.turned_at = -TURNED_FOR
        self.signs: dict[str, timedelta] = {}
        self.moving: dict[str, tuple[str, timedelta]] = {}

    def run(self, *, exchange: HttpExchange, record: RequestRecord) -> Iterator[bytes | Ending]:
        """What goes to the client, as it arrives, and at last how the request ended."""
        resumable = record.route.run is RunRule.RESUMABLE and record.route.stream
        relay = Relay(
            exchange=exchange, protocol=self.protocol, resumable=resumable, last_event=record.metadata.last_event
        )
        while True:
            following = self._barred(record=record, bound=relay.bound) or self._next_send(record=record)
            if isinstance(following, Ending):
                yield dataclasses.replace(following, cut=relay.begun)
                return
            if following is None:
                continue
            if (yield from self._send(record=record, relay=relay, send=following)):
                yield Ending(kind=OutcomeKind.ANSWERED)
                return

    # Before a send.

    def _barred(self, *, record: RequestRecord, bound: bool) -> Ending | None:
        """Why the request goes to no engine any more, if so. `bound` says that the client has a part of an answer that
        no other engine can go on with."""
        if self._has_left(record=record):
            return Ending(kind=OutcomeKind.CLIENT_LEFT, why="its client has left")
        if record.ran and not record.route.repeatable:
            return Ending(kind=OutcomeKind.FAILED, why=record.why or "the engine broke off")
        if record.ran and bound:
            return Ending(kind=OutcomeKind.FAILED, why=record.why or "the engine broke off")
        if self._over(record=record):
            return Ending(kind=OutcomeKind.UNKNOWN if record.ran else OutcomeKind.BUSY, why="its time is over")
        if record.sends >= record.route.max_sends:
            kind = OutcomeKind.FAILED if record.ran else OutcomeKind.BUSY
            return Ending(kind=kind, why=record.why or "all its tries are used")
        return None

    def _next_send(self, *, record: RequestRecord) -> Send | Ending | None:
        """Chooses engines and has the prompt read; None when the choice has to be made anew."""
        pairing = self._pair(record=record)
        if pairing is None:
            return Ending(kind=OutcomeKind.NO_ENGINE, why="no engine can be used")
        if not record.ran and (busy := self._too_busy(record=record, pairing=pairing)) is not None:
            return busy
        if pairing.includes(engines=record.unreached):
            self._pause_before_retry(record=record)
            if self._over(record=record):
                return None
        kv_handle = None
        if pairing.prefill_engine is not None:
            taken = self._may_read(record=record)
            if taken is None:
                record.reads = READS_MOST
                return None
            kv_handle = self._read(record=record, pairing=pairing, taken=taken)
            if kv_handle is None or not self._usable(engine=pairing.decode_engine) or self._has_left(record=record):
                self._drop(kv_handle=kv_handle)
                return None
        if not self._take_extra(record=record, first=record.sends == 0):
            self._drop(kv_handle=kv_handle)
            return Ending(kind=OutcomeKind.BUSY, why="no extra send is left")
        return Send(pairing=pairing, kv_handle=kv_handle)

    def _too_busy(self, *, record: RequestRecord, pairing: Pairing) -> Ending | None:
        """The refusal of a request that would not come to its end in time."""
        now = self.host.elapsed()
        streams = self.load_tracker.streams(engine=pairing.decode_engine.engine)
        excess = self.admission.excess(record=record, pairing=pairing, streams=streams, now=now)
        if excess <= ZERO:
            return None
        retry = max(min(excess, (record.until - now) * RETRY_PART_MOST), RETRY)
        return Ending(kind=OutcomeKind.BUSY, why="it would not be answered in time", retry=retry)

    def _pause_before_retry(self, *, record: RequestRecord) -> None:
        """One that refuses connections does so at once, and would be tried thousands of times a second."""
        pause = min(RETRY_PAUSE * 2**record.pauses, RETRY_PAUSE_MOST)
        record.pauses = min(record.pauses + 1, 8)
        left = record.ends_at() - self.host.elapsed()
        self.host.sleep(wait=max(min(pause, left), ZERO))

    def _over(self, *, record: RequestRecord) -> bool:
        return self.host.elapsed() >= record.ends_at()

    def _has_left(self, *, record: RequestRecord) -> bool:
        if not record.left:
            note_left(host=self.host, records=[record])
        return record.left

    def _given_up(self, *, record: RequestRecord) -> bool:
        """Whether nobody waits for it any more: what breaks off then says nothing of the engine."""
        return record.left or self._over(record=record)

    def _take_extra(self, *, record: RequestRecord, first: bool) -> bool:
        if first:
            return True
        clock = self.clock
        bound = clock.bound()
        time = clock.issue_time() if clock.synchronized else None
        return self.budget.take(
            service=record.service, daemons=self.daemons(), now=self.host.elapsed(), time=time, bound=bound
        )  # fmt: skip

    def engines(self, *, service: str) -> list[EngineEntry]:
        """Those that may get new work."""
        now = self.host.elapsed()
        for engine, (phase, until) in list(self.moving.items()):
            row = self.directory.rows.get(engine)
            if now >= until or row is None or row.phase == phase:
                del self.moving[engine]
        return [
            row
            for row in self.directory.rows.values()
            if row.service == service and not row.leaving and row.engine not in self.moving
        ]

    def _usable(self, *, engine: EngineEntry) -> bool:
        row = self.directory.rows.get(engine.engine)
        return row is not None and not row.leaving and row.address == engine.address

    def _pair(self, *, record: RequestRecord) -> Pairing | None:
        engines = self.engines(service=record.service)
        well = [engine for engine in engines if not self.engine_health.is_failing(engine=engine.engine)]
        writers = [engine for engine in well if engine.phase != "prefill" and engine.engine not in record.avoid]
        if not writers:
            # Nothing better is known: those that were found failing are tried after all.
            well = engines
        if record.reads >= READS_MOST:
            well = [engine for engine in well if engine.phase != "prefill"]
        return self.placement.choose(service=record.service, metadata=record.metadata, engines=well, avoid=record.avoid)

    # Reading a prompt.

    def _may_read(self, *, record: RequestRecord) -> bool | None:
        """Whether an extra send was taken for a reading; None when it may not be sent. A first reading is none if it
        is taken up and one if it is turned away: while readings are turned away, each is taken until that is known."""
        if record.reads == 0 and self.host.elapsed() - self.turned_at > TURNED_FOR:
            return False
        return True if self._take_extra(record=record, first=False) else None

    def _read(self, *, record: RequestRecord, pairing: Pairing, taken: bool) -> KvHandle | None:
        engine = pairing.prefill_engine
        idle = self.load_tracker.backlog(engine=engine.engine) <= ZERO
        began = self.host.elapsed()
        with self.load_tracker.prefilling(engine=engine.engine, span=pairing.prefill_time):
            told = self.engine_client.read(record=record, engine=engine)
        if isinstance(told, TurnedAway):
            self.turned_at = self.host.elapsed()
            if not taken:
                self.budget.charge(service=record.service, now=self.turned_at)
        elif taken and (record.reads == 0 or isinstance(told, Unsent)):
            self.budget.refund(service=record.service)
        self.signs[engine.engine] = self.host.elapsed()
        if isinstance(told, KvHandle):
            record.reads += 1
            span = self.host.elapsed() - began
            tokens = self.placement.uncached_tokens(engine=engine, metadata=record.metadata, is_home=True)
            if idle:
                self.placement.note_prefill_rate(service=record.service, tokens=tokens, span=span)
            self._note_parts(record=record, engine=engine)
            self.engine_health.note_success(engine=engine.engine)
            return told
        if not isinstance(told, Unsent):
            record.reads += 1
        if isinstance(told, TurnedAway):
            record.reads = READS_MOST
        self._judge_engine(record=record, engine=engine, told=told)
        return None

    def _note_parts(self, *, record: RequestRecord, engine: EngineEntry) -> None:
        self.placement.note_prefill(
            service=record.service, engine=engine.engine, prefix_blocks=record.metadata.prefix_blocks
        )

    def _drop(self, *, kv_handle: KvHandle | None) -> None:
        if kv_handle is not None:
            self.to_forget.append(kv_handle)

    # A send and its answer.

    def _send(self, *, record: RequestRecord, relay: Relay, send: Send) -> Iterator[bytes]:
        """What of an engine's answer goes to the client; gives whether that brought the request to its end."""
        engine, span = send.pairing.decode_engine, send.pairing.local_prefill_time
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.load_tracker.streaming(engine=engine.engine))
            reading = contextlib.ExitStack()
            stack.enter_context(reading)
            if span > ZERO:
                reading.enter_context(self.load_tracker.prefilling(engine=engine.engine, span=span))
            told = stack.enter_context(
                self.engine_client.run(record=record, engine=engine, kv_handle=send.kv_handle, last=relay.last_event)
            )
            if not isinstance(told, EngineResponse):
                self._note_failed(record=record, engine=engine, told=told, kv_handle=send.kv_handle)
                return False
            record.note_send(state=told.state)
            if span > ZERO or send.kv_handle is not None:
                # Memory that was moved there is kept there as well.
                self._note_parts(record=record, engine=engine)
            if relay.take_head(told=told) is Step.LEAVE_OUT:
                why = f"resumption ended with {told.status}"
                self._note_broken(record=record, engine=engine, why=why, fault=told.is_engine_failure)
                return False
            return (yield from self._give(record=record, relay=relay, engine=engine, told=told, reading=reading))

    def _give(
        self,
        *,
        record: RequestRecord,
        relay: Relay,
        engine: EngineEntry,
        told: EngineResponse,
        reading: contextlib.ExitStack,
    ) -> Iterator[bytes]:
        """The pieces of an answer that the client gets; gives whether it came to its end. `reading` ends with its first
        piece."""
        first_at: timedelta | None = None
        try:
            for given in relay.pieces(told=told):
                reading.close()
                first_at = first_at or self.host.elapsed()
                record.since = self.signs[engine.engine] = self.host.elapsed()
                record.begun, record.bound = relay.begun, relay.bound
                if given:
                    yield given
        except WIRE_ERRORS as error:
            told.whole = False
            if self._over(record=record):
                self._note_stream(record=record, engine=engine, first_at=first_at, whole=False)
            why = record.why or f"{type(error).__name__}: {error}"
            self._note_broken(record=record, engine=engine, why=why, fault=True)
            return False
        if not told.is_engine_failure:
            self.engine_health.note_success(engine=engine.engine)
            self._note_stream(record=record, engine=engine, first_at=first_at, whole=True)
        return True

    def _note_stream(
        self, *, record: RequestRecord, engine: EngineEntry, first_at: timedelta | None, whole: bool
    ) -> None:  # fmt: skip
        if first_at is None or not record.route.stream or record.metadata.last_event is not None:
            return
        streams = self.load_tracker.streams(engine=engine.engine)
        span = self.host.elapsed() - first_at
        self.admission.note_stream(record=record, span=span, streams=streams, slots=engine.slots, whole=whole)

    def _note_broken(self, *, record: RequestRecord, engine: EngineEntry, why: str, fault: bool) -> None:
        """An answer brought the request to no end; `fault` says that this speaks against the engine."""
        record.why = why
        record.avoid.add(engine.engine)
        if fault and not self._given_up(record=record):
            self.engine_health.note_failure(engine=engine.engine, why=why)

    def _note_failed(
        self, *, record: RequestRecord, engine: EngineEntry, told: Unsent | TurnedAway | Broken,
        kv_handle: KvHandle | None,
    ) -> None:  # fmt: skip
        self._judge_engine(record=record, engine=engine, told=told)
        record.note_send(state=told.state)
        if not told.state.may_have_run:
            self._drop(kv_handle=kv_handle)

    def _judge_engine(self, *, record: RequestRecord, engine: EngineEntry, told: Unsent | TurnedAway | Broken) -> None:
        record.avoid.add(engine.engine)
        if isinstance(told, Unsent):
            record.unreached.add(engine.engine)
        record.why = told.why
        if isinstance(told, TurnedAway) and not told.other_engine:
            return
        if not self._given_up(record=record):
            self.engine_health.note_failure(engine=engine.engine, why=told.why)
