"""Orders engines between prefill and decode; one daemon at a time, under the head's permit."""

import dataclasses
import json
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.control.view_agreement import ViewAgreement
from dockmux.gossip.usage_table import USAGE_TTL
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.outcomes import OutcomeKind
from dockmux.runtime.time_units import ZERO, to_us

TICK = timedelta(milliseconds=500)
# How long after the former permit's end nobody commands an engine (rule 11).
HUSH = timedelta(seconds=3)
# A service is left alone for so long after one of its engines was moved.
SETTLE = timedelta(seconds=8)
ORDER_LIMIT = timedelta(milliseconds=600)
PRESSED = 1.0
IDLE = 0.8
# How much of a new look at an engine's work goes into the smoothed one.
NEW_PART = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """An engine to be ordered into another phase."""

    engine: dict[str, Any]
    phase: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Work:
    """What is known of an engine that could be moved: its phase, its slots, its smoothed work."""

    phase: str
    slots: int
    busy: float


def choose(*, engines: list[dict[str, Any]], works: dict[str, Work]) -> Move | None:
    """The one move, if any, that one service's engines call for: to a phase that has more work than slots, or no
    engine, from one that would have slots to spare with one engine less."""
    by_phase: dict[str, list[dict[str, Any]]] = {"prefill": [], "decode": []}
    for engine in engines:
        work = works.get(engine["engine"])
        if work is not None and work.phase in by_phase:
            by_phase[work.phase].append(engine)
    for phase, other in (("prefill", "decode"), ("decode", "prefill")):
        givers = [(works[engine["engine"]], engine) for engine in by_phase[other]]
        if len(givers) < 2:
            continue
        slots = sum(works[engine["engine"]].slots for engine in by_phase[phase])
        busy = sum(works[engine["engine"]].busy for engine in by_phase[phase])
        if slots and busy / slots <= PRESSED:
            continue
        least = min(givers, key=lambda giver: (giver[0].busy, giver[1]["engine"]))
        left = sum(work.slots for work, _ in givers) - least[0].slots
        if sum(work.busy for work, _ in givers) / max(left, 1) >= IDLE:
            continue
        return Move(engine=least[1], phase=phase)
    return None


class EngineScheduler:
    """Moves engines. Invariants: an order leaves only while the head's permit holds, and after the hush; it carries
    the permit's mark and, on the engine's own clock, the permit's end. Before it, the chain has held the move for a
    permission's length, so that no daemon sends that engine work of its old phase; the move is taken back only when
    every look that saw the old phase is too old to be used."""

    def __init__(
        self, *, host: Host, agreement: ViewAgreement, connection_pool: EngineConnectionPool, chain: Any, table: Any
    ) -> None:
        self.host = host
        self.agreement = agreement
        self.connection_pool = connection_pool
        self.chain = chain
        self.table = table
        self.moved: dict[str, timedelta] = {}
        self.busy: dict[str, float] = {}

    def run(self) -> None:
        while True:
            self.host.sleep(wait=TICK)
            works = self._look()
            if self._in_charge():
                self._conduct(works=works)

    def _in_charge(self) -> bool:
        agreement = self.agreement
        hushed = self.host.elapsed() < agreement.acts_from + HUSH
        return agreement.is_head() and agreement.holds_lease() and not hushed and not agreement.leaving

    def _look(self) -> dict[str, Work]:
        works = {}
        for usage in self.table.summary():
            now = usage.running + usage.queued
            before = self.busy.get(usage.engine, float(now))
            self.busy[usage.engine] = before + NEW_PART * (now - before)
            if usage.reachable and not usage.leaving:
                works[usage.engine] = Work(phase=usage.phase, slots=usage.capacity, busy=self.busy[usage.engine])
        return works

    def _conduct(self, *, works: dict[str, Work]) -> None:
        state = self.chain.state
        for name in sorted(state.moving):
            # Left by a scheduler that did not come to the end of its move.
            self.chain.write(change={"kind": "moved", "engine": name})
        engines = [engine for engine in state.engines if not engine.get("leaving")]
        for service in sorted({engine["service"] for engine in engines}):
            if self.host.elapsed() - self.moved.get(service, -SETTLE) < SETTLE:
                continue
            move = choose(engines=[e for e in engines if e["service"] == service], works=works)
            if move is not None:
                self._carry_out(move=move)
                self.moved[service] = self.host.elapsed()

    def _carry_out(self, *, move: Move) -> None:
        name = move.engine["engine"]
        told = self.chain.write(change={"kind": "move", "engine": name, "phase": move.phase})
        if told.kind is not OutcomeKind.ANSWERED:
            return
        self.host.sleep(wait=self.agreement.lease + TICK / 5)
        if self._in_charge():
            self._order(move=move)
        self.host.sleep(wait=USAGE_TTL + TICK / 5)
        self.busy[name] = 0.0
        self.chain.write(change={"kind": "moved", "engine": name})

    def _order(self, *, move: Move) -> None:
        try:
            with time_limit(wait=ORDER_LIMIT), self.connection_pool.open(engine=move.engine) as stream:
                asked = self.host.elapsed()
                status = json.loads(stream.call(method="GET", path="/status").read())
                mark = self.agreement.view.number
                left = self.agreement.lease_until() - asked
                if not self._in_charge() or left <= ZERO:
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
        except (OSError, urllib3.exceptions.HTTPError, ValueError, KeyError):
            return
        if response.status == 200:
            self.host.log(LogEvent.PHASE_ORDERED, engine=move.engine["engine"], phase=move.phase, mark=mark)


def test_an_engine_is_moved_only_from_a_phase_with_slots_to_spare_to_a_pressed_or_empty_one():
    engines = [{"engine": name} for name in "abc"]

    def moved(**busy: tuple[str, float]) -> tuple[str, str] | None:
        works = {name: Work(phase=phase, slots=4, busy=work) for name, (phase, work) in busy.items()}
        move = choose(engines=engines, works=works)
        return move and (move.engine["engine"], move.phase)

    assert moved(a=("prefill", 5), b=("decode", 1.5), c=("decode", 1)) == ("c", "prefill")
    assert moved(a=("prefill", 4), b=("decode", 1), c=("decode", 1)) is None  # not pressed
    assert moved(a=("prefill", 5), b=("decode", 2), c=("decode", 2)) is None  # one engine less would be short
    assert moved(a=("prefill", 5), b=("decode", 0)) is None  # the last of its phase stays
    assert moved(b=("decode", 1), c=("decode", 0)) == ("c", "prefill")  # nobody reads
    assert moved(a=("prefill", 0), b=("prefill", 1), c=("decode", 6)) == ("a", "decode")
