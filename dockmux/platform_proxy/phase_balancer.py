"""Moves engines between the prefill and decode phases; only the chain's head does so, while it holds its lease."""

import dataclasses
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from dockmux.platform_proxy.connection_pool import ConnectionPool
from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.engine_client import SMALL_ANSWER_BYTES
from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.protocol_adapter import EngineEntry, ProtocolAdapter
from dockmux.runtime.codec import CONTENT_ERRORS, check_number, ignoring_malformed
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_response import WIRE_ERRORS
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import DirectoryAsk, Moving, WorkSummary
from dockmux.runtime.time_units import ZERO, ms, to_ms

BALANCE_INTERVAL = timedelta(milliseconds=250)
# Edges are told of a phase change this long before the order, so that they send new requests to other engines.
ANNOUNCE_LEAD = timedelta(milliseconds=150)
ORDER_TIMEOUT = timedelta(milliseconds=500)
FETCH_TIMEOUT = timedelta(milliseconds=800)
# Minimum time between two phase changes of one service.
SERVICE_COOLDOWN = timedelta(seconds=1)
# An engine counts as changing for this long, unless the engine list shows its new phase earlier.
PHASE_CHANGE_TIMEOUT = timedelta(seconds=12)
LOAD_SMOOTHING = 0.3
# Prefill backlog per prefill engine above which another one is wanted, and below which one can be given to overloaded
# decode engines.
PREFILL_OVERLOAD_MS = 100.0
PREFILL_SPARE_MS = 400.0
# Share of decode slots in use that is acceptable with one decode engine fewer, and above which another one is wanted.
DECODE_SPARE_USE = 0.33
DECODE_OVERLOAD_USE = 0.45
MIN_ENGINES_PER_PHASE = 2
# Share of a service's engines that may change phase at the same time; at least one may.
MAX_CHANGING_RATIO = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceLoad:
    """A service's load: the prefill backlog over all its engines, in ms, and its open streams."""

    prefill_backlog_ms: float
    streams: float


def choose_phase(*, prefill_count: int, decode_count: int, slots: int, load: ServiceLoad) -> str | None:
    """The phase that should get one more engine, or None when none needs it or the other cannot spare one. The counts
    include engines that are changing to that phase; `slots` is the decode slots of one engine."""
    prefill_backlog_ms = load.prefill_backlog_ms / max(prefill_count, 1)
    decode_use = load.streams / (max(decode_count, 1) * max(slots, 1))
    if not decode_count and prefill_count:
        # No engine can answer; a decode engine can also prefill.
        return "decode"
    if decode_count < MIN_ENGINES_PER_PHASE and prefill_count > MIN_ENGINES_PER_PHASE:
        return "decode"
    if prefill_count < MIN_ENGINES_PER_PHASE and decode_count > MIN_ENGINES_PER_PHASE:
        return "prefill"
    if (
        decode_count > MIN_ENGINES_PER_PHASE
        and prefill_backlog_ms > PREFILL_OVERLOAD_MS
        and decode_use * decode_count / (decode_count - 1) < DECODE_SPARE_USE
    ):
        return "prefill"
    if (
        prefill_count > MIN_ENGINES_PER_PHASE
        and decode_use > DECODE_OVERLOAD_USE
        and prefill_backlog_ms < PREFILL_SPARE_MS
    ):
        return "decode"
    return None


class PhaseBalancer:
    """Follows the load of each service and orders phase changes.

    Invariants: an order is sent only while this daemon's lease as the head lasts longer than the order can be in
    transit, and not before a whole lease has passed since any former head's lease ended; its fence is the number of the
    view that the lease was granted under, which no other head ever has; only some of a service's engines change at the
    same time, and they are counted in their target phase."""

    def __init__(self, *, core: Any, deployment: Deployment, protocol: ProtocolAdapter) -> None:
        self.core = core
        self.host: Host = core.host
        self.deployment = deployment
        self.protocol = protocol
        self.load_tracker = LoadTracker(host=self.host)
        self.rows: dict[str, EngineEntry] = {}
        self.digest = ""
        self.loads: dict[str, ServiceLoad] = {}
        self.ordered_at: dict[str, timedelta] = {}
        self.changing: dict[str, tuple[str, timedelta]] = {}
        self.failing_until: dict[str, timedelta] = {}

    def may_issue_orders(self) -> bool:
        """Whether this daemon is the head and its lease outlasts an order sent now."""
        agreement = self.core.agreement
        now = self.host.elapsed()
        return (
            agreement.is_head()
            and not agreement.leaving
            and agreement.holds_lease()
            and now >= agreement.may_act_from + self.deployment.lease
            and agreement.lease_expiry() - now > ORDER_TIMEOUT
        )

    def run(self) -> None:
        """Follows the load and orders phase changes, without end."""
        self.core.gossip.collects_work_messages = True
        with ConnectionPool(host=self.host) as connection_pool:
            while True:
                self.host.sleep(wait=BALANCE_INTERVAL)
                self._receive_summaries()
                self._update_loads()
                if self.may_issue_orders():
                    self._balance(connection_pool=connection_pool)

    def _receive_summaries(self) -> None:
        works = self.core.gossip.work_summaries
        received, works[:] = list(works), []
        for _, summary in received:
            with ignoring_malformed(host=self.host):
                self._receive_summary(summary=summary)
            if summary.list_digest and summary.list_digest != self.digest and self.core.agreement.is_head():
                self._fetch_list(address=summary.sender.address, digest=summary.list_digest)

    def _receive_summary(self, *, summary: WorkSummary) -> None:
        self.load_tracker.update_peer(daemon=summary.sender.name, works=summary.works)
        for engine, (healthy, _, left_ms) in summary.verdicts.items():
            failing = ZERO if healthy else ms(check_number(left_ms)) + ms(1000)
            self.failing_until[engine] = self.host.elapsed() + failing

    def _fetch_list(self, *, address: str, digest: str) -> None:
        try:
            reply = self.core.rpc_client.call(address=address, request=DirectoryAsk(digest=digest), wait=FETCH_TIMEOUT)
            self.rows = {fields["engine"]: EngineEntry(**fields) for fields in reply.engines}
            self.digest = reply.digest
        except (OSError, *CONTENT_ERRORS):
            return

    def usable(self, *, service: str) -> list[EngineEntry]:
        """The service's engines that are not leaving, failing or changing."""
        now = self.host.elapsed()
        for engine, (phase, until) in list(self.changing.items()):
            row = self.rows.get(engine)
            if now >= until or row is None or row.phase == phase:
                del self.changing[engine]
        return [
            row
            for row in self.rows.values()
            if row.service == service
            and not row.leaving
            and row.engine not in self.changing
            and self.failing_until.get(row.engine, ZERO) <= now
        ]

    def _update_loads(self) -> None:
        for service in {row.service for row in self.rows.values()}:
            rows = [row for row in self.rows.values() if row.service == service]
            backlog_ms = sum((self.load_tracker.backlog(engine=r.engine) for r in rows), ZERO) / ms(1)
            streams = float(sum(self.load_tracker.streams(engine=r.engine) for r in rows))
            previous = self.loads.get(service, ServiceLoad(prefill_backlog_ms=0.0, streams=0.0))
            self.loads[service] = ServiceLoad(
                prefill_backlog_ms=previous.prefill_backlog_ms
                + LOAD_SMOOTHING * (backlog_ms - previous.prefill_backlog_ms),
                streams=previous.streams + LOAD_SMOOTHING * (streams - previous.streams),
            )

    def _balance(self, *, connection_pool: ConnectionPool) -> None:
        for service in sorted(self.loads):
            now = self.host.elapsed()
            if now - self.ordered_at.get(service, -SERVICE_COOLDOWN) < SERVICE_COOLDOWN:
                continue
            rows = self.usable(service=service)
            target_phases = [phase for e, (phase, _) in self.changing.items() if self.rows[e].service == service]
            if len(target_phases) >= max(MAX_CHANGING_RATIO * (len(rows) + len(target_phases)), 1):
                continue
            prefill_engines = [row for row in rows if row.phase == "prefill"]
            decode_engines = [row for row in rows if row.phase == "decode"]
            phase = choose_phase(
                prefill_count=len(prefill_engines) + target_phases.count("prefill"),
                decode_count=len(decode_engines) + target_phases.count("decode"),
                slots=max((row.slots for row in rows), default=0),
                load=self.loads[service],
            )
            if phase is None:
                continue
            donors = decode_engines if phase == "prefill" else prefill_engines
            if len(donors) < (MIN_ENGINES_PER_PHASE if decode_engines else 1):
                continue
            engine = min(donors, key=self._load_key)
            self.ordered_at[service] = now
            self._change_phase(engine=engine, phase=phase, connection_pool=connection_pool)

    def _load_key(self, engine: EngineEntry) -> tuple[timedelta, int, str]:
        name = engine.engine
        return self.load_tracker.backlog(engine=name), self.load_tracker.streams(engine=name), name

    def _change_phase(self, *, engine: EngineEntry, phase: str, connection_pool: ConnectionPool) -> None:
        self._announce(engine=engine, phase=phase, remaining=PHASE_CHANGE_TIMEOUT)
        self.host.sleep(wait=ANNOUNCE_LEAD)
        if not self.may_issue_orders():
            return
        fence = self.core.agreement.view.number
        body = self.protocol.phase_order(phase=phase, owner=self.host.name, fence=fence)
        status = 0
        try:
            with (
                time_limit(wait=ORDER_TIMEOUT),
                connection_pool.open(engine=engine.engine, address=engine.address) as stream,
            ):
                if not self.may_issue_orders():
                    return
                stream.request(
                    "POST", self.protocol.order_path, body=body, headers=self.protocol.order_headers(engine=engine),
                    preload_content=False,
                )  # fmt: skip
                response = stream.getresponse()
                response.read(limit_bytes=SMALL_ANSWER_BYTES)
                status = response.status
                connection_pool.note_complete(connection=stream, keep=None, closing=True)
        except WIRE_ERRORS as error:
            self.host.log(LogEvent.PHASE_ORDER_FAILED, engine=engine.engine, phase=phase, why=error)
        if status in (200, 202):
            self.changing[engine.engine] = (phase, self.host.elapsed() + PHASE_CHANGE_TIMEOUT)
            self.host.log(LogEvent.PHASE_ORDERED, engine=engine.engine, phase=phase, mark=fence)
        elif status:
            self.host.log(LogEvent.PHASE_ORDER_FAILED, engine=engine.engine, phase=phase, why=f"answered {status}")
            self._announce(engine=engine, phase=engine.phase, remaining=ZERO)

    def _announce(self, *, engine: EngineEntry, phase: str, remaining: timedelta) -> None:
        """Tells all edges of the phase change for the `remaining` time; sent twice, since datagrams may be lost."""
        message = Moving(sender=self.core.peers.own_card(), engine=engine.engine, phase=phase, left_ms=to_ms(remaining))
        send: Callable[..., None] = self.core.gossip.send
        for _ in range(2):
            for card in {
                c.address: c for c in self.core.peers.live_cards_with_age() + self.core.chain.sessions.active()
            }.values():
                if card.role == "edge":
                    send(address=card.address, message=message)
