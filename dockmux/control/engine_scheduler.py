"""Moves engines between the prefill and the decode phase. Only the head commands engines, under its lease."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.control.view_agreement import ViewAgreement
from dockmux.gossip.usage_table import USAGE_TTL
from dockmux.runtime.bounded_json import parse_json
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_response import WIRE_ERRORS
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.outcomes import OutcomeKind
from dockmux.runtime.time_units import ZERO, to_us

SCHEDULING_INTERVAL = timedelta(milliseconds=500)
# How long after the previous lease's end no engine is commanded: two daemons must not command the same engine at once
# or take turns within about 3 s.
LEASE_GRACE = timedelta(seconds=3)
# Minimum time between two moves within a service.
SERVICE_COOLDOWN = timedelta(seconds=8)
ORDER_TIMEOUT = timedelta(milliseconds=600)
# Requests per slot of a phase: above the first it needs another engine; below the second, counted without the engine
# that would leave, it can give one away.
OVERLOAD_RATIO = 1.0
SPARE_RATIO = 0.8
# Weight of a new sample in the exponentially smoothed load.
SMOOTHING_FACTOR = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class PhaseMove:
    """An engine to be moved into another phase."""

    engine: dict[str, Any]
    phase: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """The load of an engine that could be moved: its phase, its slots, and `busy`, its smoothed count of running and
    queued requests."""

    phase: str
    slots: int
    busy: float


def choose_move(*, engines: list[dict[str, Any]], loads: dict[str, EngineLoad]) -> PhaseMove | None:
    """The move, if any, that the load of one service's engines calls for: to a phase that has more requests than slots,
    or no engine, from a phase that would still have spare slots with one engine less."""
    by_phase: dict[str, list[dict[str, Any]]] = {"prefill": [], "decode": []}
    for engine in engines:
        load = loads.get(engine["engine"])
        if load is not None and load.phase in by_phase:
            by_phase[load.phase].append(engine)
    for phase, other in (("prefill", "decode"), ("decode", "prefill")):
        donors = [(loads[engine["engine"]], engine) for engine in by_phase[other]]
        if len(donors) < 2:
            continue
        slots = sum(loads[engine["engine"]].slots for engine in by_phase[phase])
        busy = sum(loads[engine["engine"]].busy for engine in by_phase[phase])
        if slots and busy / slots <= OVERLOAD_RATIO:
            continue
        least = min(donors, key=lambda donor: (donor[0].busy, donor[1]["engine"]))
        left = sum(load.slots for load, _ in donors) - least[0].slots
        if sum(load.busy for load, _ in donors) / max(left, 1) >= SPARE_RATIO:
            continue
        return PhaseMove(engine=least[1], phase=phase)
    return None


class EngineScheduler:
    """Decides on phase moves and carries them out, one at a time.

    Invariants:
    - an order is sent only while the head holds its lease, and only after the lease grace;
    - it carries the view number as fencing token (`mark`) and, on the engine's own clock, the lease's expiry
      (`untilUs`);
    - the chain has recorded the move for one lease duration before the order is sent, so that no daemon sends that
      engine requests of its old phase;
    - the move is removed from the chain only when every usage report that saw the old phase is too old to be used;
    - `last_moved_at` is by service, `smoothed_load` by engine.
    """

    def __init__(
        self, *, host: Host, agreement: ViewAgreement, connection_pool: EngineConnectionPool, chain: Any, table: Any
    ) -> None:
        self.host = host
        self.agreement = agreement
        self.connection_pool = connection_pool
        self.chain = chain
        self.table = table
        self.last_moved_at: dict[str, timedelta] = {}
        self.smoothed_load: dict[str, float] = {}

    def run(self) -> None:
        while True:
            self.host.sleep(wait=SCHEDULING_INTERVAL)
            loads = self._sample_loads()
            if self._may_command():
                self._schedule(loads=loads)

    def _may_command(self) -> bool:
        """Whether this daemon may send orders now: a head that holds its lease, after the lease grace, not leaving."""
        agreement = self.agreement
        in_grace = self.host.elapsed() < agreement.may_act_from + LEASE_GRACE
        return agreement.is_head() and agreement.holds_lease() and not in_grace and not agreement.leaving

    def _sample_loads(self) -> dict[str, EngineLoad]:
        loads = {}
        for usage in self.table.summary():
            now = usage.running + usage.queued
            before = self.smoothed_load.get(usage.engine, float(now))
            self.smoothed_load[usage.engine] = before + SMOOTHING_FACTOR * (now - before)
            if usage.reachable and not usage.leaving:
                loads[usage.engine] = EngineLoad(
                    phase=usage.phase, slots=usage.capacity, busy=self.smoothed_load[usage.engine]
                )
        return loads

    def _schedule(self, *, loads: dict[str, EngineLoad]) -> None:
        state = self.chain.state
        for name in sorted(state.moving):
            # Left over from a scheduler that was interrupted during a move.
            self.chain.write(change={"kind": "moved", "engine": name})
        engines = [engine for engine in state.engines if not engine.get("leaving")]
        for service in sorted({engine["service"] for engine in engines}):
            if self.host.elapsed() - self.last_moved_at.get(service, -SERVICE_COOLDOWN) < SERVICE_COOLDOWN:
                continue
            move = choose_move(engines=[e for e in engines if e["service"] == service], loads=loads)
            if move is not None:
                self._execute_move(move=move)
                self.last_moved_at[service] = self.host.elapsed()

    def _execute_move(self, *, move: PhaseMove) -> None:
        """Records the move on the chain, waits until all daemons honour it, sends the order, and clears the record."""
        name = move.engine["engine"]
        outcome = self.chain.write(change={"kind": "move", "engine": name, "phase": move.phase})
        if outcome.kind is not OutcomeKind.ANSWERED:
            return
        self.host.sleep(wait=self.agreement.lease_duration + SCHEDULING_INTERVAL / 5)
        if self._may_command():
            self._send_order(move=move)
        self.host.sleep(wait=USAGE_TTL + SCHEDULING_INTERVAL / 5)
        self.smoothed_load[name] = 0.0
        self.chain.write(change={"kind": "moved", "engine": name})

    def _send_order(self, *, move: PhaseMove) -> None:
        """Sends the order to the engine. A failure is ignored: the next round decides anew."""
        try:
            with time_limit(wait=ORDER_TIMEOUT), self.connection_pool.open(engine=move.engine) as stream:
                asked = self.host.elapsed()
                status = parse_json(data=stream.call(method="GET", path="/status").read())
                mark = self.agreement.view.number
                left = self.agreement.lease_expiry() - asked
                if not self._may_command() or left <= ZERO:
                    stream.reusable = True
                    return
                fields = {
                    "phase": move.phase,
                    "mark": mark,
                    "by": self.host.name,
                    "untilUs": status["nowUs"] + to_us(left),
                }
                response = stream.call(method="POST", path="/order", fields=fields)
                response.read()
                stream.reusable = True
        except WIRE_ERRORS:
            return
        if response.status == 200:
            self.host.log(LogEvent.PHASE_ORDERED, engine=move.engine["engine"], phase=move.phase, mark=mark)


def test_an_engine_moves_only_from_a_phase_with_spare_slots_to_an_overloaded_or_empty_one():
    engines = [{"engine": name} for name in "abc"]

    def moved(**busy: tuple[str, float]) -> tuple[str, str] | None:
        loads = {name: EngineLoad(phase=phase, slots=4, busy=load) for name, (phase, load) in busy.items()}
        move = choose_move(engines=engines, loads=loads)
        return move and (move.engine["engine"], move.phase)

    assert moved(a=("prefill", 5), b=("decode", 1.5), c=("decode", 1)) == ("c", "prefill")
    assert moved(a=("prefill", 4), b=("decode", 1), c=("decode", 1)) is None  # not overloaded
    assert moved(a=("prefill", 5), b=("decode", 2), c=("decode", 2)) is None  # one engine less would be short
    assert moved(a=("prefill", 5), b=("decode", 0)) is None  # the last of its phase stays
    assert moved(b=("decode", 1), c=("decode", 0)) == ("c", "prefill")  # no engine prefills
    assert moved(a=("prefill", 0), b=("prefill", 1), c=("decode", 6)) == ("a", "decode")
