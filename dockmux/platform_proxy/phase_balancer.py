"""Moves engines between reading and writing; one daemon at a time, under the head's permit."""

import dataclasses
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from dockmux.platform_proxy.connections import Connections
from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.engine_client import WIRE_ERRORS
from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.protocol_adapter import EngineEntry, ProtocolAdapter
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import DirectoryAsk, Moving
from dockmux.runtime.time_units import ZERO, ms, to_ms

TICK = timedelta(milliseconds=250)
# The daemons hear of a move so long before its order, so that what they send after has another engine.
AHEAD = timedelta(milliseconds=150)
ORDER_LIMIT = timedelta(milliseconds=500)
FETCH_LIMIT = timedelta(milliseconds=800)
# A service is left alone for so long after one of its engines was ordered to move.
SETTLE = timedelta(seconds=1)
# So long is an engine counted as changing, unless the list shows its new phase before.
CHANGING = timedelta(seconds=12)
SMOOTH_PART = 0.3
# What lies to be read at each reader, in ms, from which one more is wanted, and up to which one can be spared to
# writers that are pressed themselves.
READ_PRESSED_MS = 100.0
READ_SPARES_MS = 400.0
# The part of a writer's slots that may run after it has one writer less, and from which one more is wanted.
WRITE_AFTER = 0.33
WRITE_PRESSED = 0.45
LEAST = 2
# The part of a service's engines that may change at a time, at least one.
CHANGING_PART = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pressure:
    """One service's work: what lies at all readers to be read, in ms, and the streams at all writers."""

    to_read_ms: float
    streams: float


def choose_phase(*, readers: int, writers: int, slots: int, pressure: Pressure) -> str | None:
    """The phase that wants one more engine, if any, and the other can spare it."""
    to_read_ms = pressure.to_read_ms / max(readers, 1)
    running = pressure.streams / (max(writers, 1) * max(slots, 1))
    if not writers and readers:
        # Nobody can answer; one that writes also reads.
        return "decode"
    if writers < LEAST and readers > LEAST:
        return "decode"
    if readers < LEAST and writers > LEAST:
        return "prefill"
    if writers > LEAST and to_read_ms > READ_PRESSED_MS and running * writers / (writers - 1) < WRITE_AFTER:
        return "prefill"
    if readers > LEAST and running > WRITE_PRESSED and to_read_ms < READ_SPARES_MS:
        return "decode"
    return None


class PhaseBalancer:
    """Invariants: an order leaves only while this daemon's permit as the head holds for longer than the order can be
    on its way, and not before a whole lease has passed since any former holder's permit ended; its fence is the number
    of the view that the permit was granted under, which no other head ever has; only a part of a service's engines
    changes at a time, and they are counted as what they become."""

    def __init__(self, *, core: Any, deployment: Deployment, protocol: ProtocolAdapter) -> None:
        self.core = core
        self.host: Host = core.host
        self.deployment = deployment
        self.protocol = protocol
        self.load_tracker = LoadTracker(host=self.host)
        self.rows: dict[str, EngineEntry] = {}
        self.digest = ""
        self.pressure: dict[str, Pressure] = {}
        self.moved_at: dict[str, timedelta] = {}
        self.changing: dict[str, tuple[str, timedelta]] = {}
        self.failing: dict[str, timedelta] = {}

    def in_charge(self) -> bool:
        agreement = self.core.agreement
        now = self.host.elapsed()
        return (
            agreement.is_head()
            and not agreement.leaving
            and agreement.holds_lease()
            and now >= agreement.may_act_from + self.deployment.lease
            and agreement.lease_expiry() - now > ORDER_LIMIT
        )

    def run(self) -> None:
        self.core.gossip.keeps_works = True
        with Connections(host=self.host) as connections:
            while True:
                self.host.sleep(wait=TICK)
                self._hear()
                self._smooth()
                if self.in_charge():
                    self._balance(connections=connections)

    def _hear(self) -> None:
        works = self.core.gossip.works
        heard, works[:] = list(works), []
        for _, summary in heard:
            self.load_tracker.hear(daemon=summary.sender.name, works=summary.works)
            for engine, (well, _, left_ms) in summary.verdicts.items():
                self.failing[engine] = self.host.elapsed() + (ZERO if well else ms(left_ms) + ms(1000))
            if summary.list_digest and summary.list_digest != self.digest and self.core.agreement.is_head():
                self._fetch(address=summary.sender.address, digest=summary.list_digest)

    def _fetch(self, *, address: str, digest: str) -> None:
        try:
            reply = self.core.rpc_client.call(address=address, request=DirectoryAsk(digest=digest), wait=FETCH_LIMIT)
            self.rows = {fields["engine"]: EngineEntry(**fields) for fields in reply.engines}
            self.digest = reply.digest
        except OSError:
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
            and self.failing.get(row.engine, ZERO) <= now
        ]

    def _smooth(self) -> None:
        for service in {row.service for row in self.rows.values()}:
            rows = [row for row in self.rows.values() if row.service == service]
            to_read = sum((self.load_tracker.backlog(engine=r.engine) for r in rows), ZERO) / ms(1)
            streams = float(sum(self.load_tracker.streams(engine=r.engine) for r in rows))
            before = self.pressure.get(service, Pressure(to_read_ms=0.0, streams=0.0))
            self.pressure[service] = Pressure(
                to_read_ms=before.to_read_ms + SMOOTH_PART * (to_read - before.to_read_ms),
                streams=before.streams + SMOOTH_PART * (streams - before.streams),
            )

    def _balance(self, *, connections: Connections) -> None:
        for service in sorted(self.pressure):
            now = self.host.elapsed()
            if now - self.moved_at.get(service, -SETTLE) < SETTLE:
                continue
            rows = self.usable(service=service)
            becoming = [phase for e, (phase, _) in self.changing.items() if self.rows[e].service == service]
            if len(becoming) >= max(CHANGING_PART * (len(rows) + len(becoming)), 1):
                continue
            readers = [row for row in rows if row.phase == "prefill"]
            writers = [row for row in rows if row.phase == "decode"]
            phase = choose_phase(
                readers=len(readers) + becoming.count("prefill"),
                writers=len(writers) + becoming.count("decode"),
                slots=max((row.slots for row in rows), default=0),
                pressure=self.pressure[service],
            )
            if phase is None:
                continue
            givers = writers if phase == "prefill" else readers
            if len(givers) < (LEAST if writers else 1):
                continue
            engine = min(givers, key=self._weight)
            self.moved_at[service] = now
            self._move(engine=engine, phase=phase, connections=connections)

    def _weight(self, engine: EngineEntry) -> tuple[timedelta, int, str]:
        name = engine.engine
        return self.load_tracker.backlog(engine=name), self.load_tracker.streams(engine=name), name

    def _move(self, *, engine: EngineEntry, phase: str, connections: Connections) -> None:
        self._tell(engine=engine, phase=phase, left=CHANGING)
        self.host.sleep(wait=AHEAD)
        if not self.in_charge():
            return
        fence = self.core.agreement.view.number
        body = self.protocol.phase_order(phase=phase, owner=self.host.name, fence=fence)
        status = 0
        try:
            with (
                time_limit(wait=ORDER_LIMIT),
                connections.open(engine=engine.engine, address=engine.address) as stream,
            ):
                if not self.in_charge():
                    return
                stream.request(
                    "POST", self.protocol.order_path, body=body, headers=self.protocol.order_headers(engine=engine),
                    preload_content=False,
                )  # fmt: skip
                response = stream.getresponse()
                response.read()
                status = response.status
                connections.note_whole(stream=stream, keep=None, closing=True)
        except WIRE_ERRORS as error:
            self.host.log(LogEvent.ORDER_FAILED, engine=engine.engine, phase=phase, why=error)
        if status in (200, 202):
            self.changing[engine.engine] = (phase, self.host.elapsed() + CHANGING)
            self.host.log(LogEvent.ORDERED, engine=engine.engine, phase=phase, mark=fence)
        elif status:
            self.host.log(LogEvent.ORDER_FAILED, engine=engine.engine, phase=phase, why=f"answered {status}")
            self._tell(engine=engine, phase=engine.phase, left=ZERO)

    def _tell(self, *, engine: EngineEntry, phase: str, left: timedelta) -> None:
        """Datagrams may be lost: told twice."""
        message = Moving(sender=self.core.peers.me(), engine=engine.engine, phase=phase, left_ms=to_ms(left))
        send: Callable[..., None] = self.core.gossip.send
        for _ in range(2):
            for card in {c.address: c for c in self.core.peers.live() + self.core.chain.sessions.active()}.values():
                if card.role == "edge":
                    send(address=card.address, message=message)
