"""Orders engines between prefill and decode; one daemon at a time, under the head's permit."""

import dataclasses
import json
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.accord.catalogue import Note
from dockmux.accord.host import Host, within
from dockmux.accord.span import ZERO, to_us
from dockmux.accord.types import EngineUsage
from dockmux.pact.council import Council
from dockmux.verge.links import Links

TICK = timedelta(milliseconds=500)
# How long after the former permit's end nobody commands an engine (rule 11).
HUSH = timedelta(seconds=3)
# A service is left alone for so long after one of its engines was moved.
SETTLE = timedelta(seconds=6)
ORDER_LIMIT = timedelta(milliseconds=600)
PRESSED = 1.0
IDLE = 0.6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Move:
    """An engine to be ordered into another phase."""

    engine: dict[str, Any]
    phase: str


def pressure(*, usages: list[EngineUsage]) -> float:
    """Work per slot over all engines of a phase; without an engine it has no limit."""
    capacity = sum(usage.capacity for usage in usages)
    return sum(usage.running + usage.queued for usage in usages) / capacity if capacity else float("inf")


def choose(*, engines: list[dict[str, Any]], usages: dict[str, EngineUsage]) -> Move | None:
    """The one move, if any, that one service's engines call for."""
    by_phase: dict[str, list[dict[str, Any]]] = {"prefill": [], "decode": []}
    for engine in engines:
        usage = usages.get(engine["engine"])
        if usage is not None and usage.reachable and not usage.leaving and usage.phase in by_phase:
            by_phase[usage.phase].append(engine)
    pressures = {
        phase: pressure(usages=[usages[engine["engine"]] for engine in listed]) for phase, listed in by_phase.items()
    }
    for phase, other in (("prefill", "decode"), ("decode", "prefill")):
        if len(by_phase[other]) < 2 or pressures[phase] <= PRESSED or pressures[other] >= IDLE:
            continue
        least = min(by_phase[other], key=lambda engine: (usages[engine["engine"]].running, engine["engine"]))
        return Move(engine=least, phase=phase)
    return None


class Conductor:
    """Invariants: an order leaves only while the head's permit holds, and after the hush; it carries the
    permit's mark and, on the engine's own clock, the permit's end."""

    def __init__(self, *, host: Host, council: Council, links: Links, state: Any, table: Any) -> None:
        self.host = host
        self.council = council
        self.links = links
        self.state = state
        self.table = table
        self.moved: dict[str, timedelta] = {}

    def run(self) -> None:
        while True:
            self.host.sleep(wait=TICK)
            if self._in_charge():
                self._conduct()

    def _in_charge(self) -> bool:
        council = self.council
        hushed = self.host.elapsed() < council.acts_from + HUSH
        return council.is_head() and council.under_permit() and not hushed

    def _conduct(self) -> None:
        engines = [engine for engine in self.state.engines if not engine.get("leaving")]
        usages = {usage.engine: usage for usage in self.table.summary()}
        for service in sorted({engine["service"] for engine in engines}):
            if self.host.elapsed() - self.moved.get(service, -SETTLE) < SETTLE:
                continue
            move = choose(engines=[e for e in engines if e["service"] == service], usages=usages)
            if move is not None and self._in_charge():
                self.moved[service] = self.host.elapsed()
                self._order(move=move)

    def _order(self, *, move: Move) -> None:
        try:
            with within(wait=ORDER_LIMIT), self.links.open(engine=move.engine) as stream:
                asked = self.host.elapsed()
                status = json.loads(stream.ask(method="GET", path="/status").read())
                mark = self.council.view.number
                left = self.council.permitted_until() - asked
                if not self._in_charge() or left <= ZERO:
                    stream.whole = True
                    return
                fields = {
                    "phase": move.phase,
                    "mark": mark,
                    "by": self.host.name,
                    "untilUs": status["nowUs"] + to_us(left),
                }
                response = stream.ask(method="POST", path="/order", fields=fields)
                response.read()
                stream.whole = True
        except (OSError, urllib3.exceptions.HTTPError, ValueError, KeyError):
            return
        if response.status == 200:
            self.host.log(Note.ORDERED, engine=move.engine["engine"], phase=move.phase, mark=mark)


def _usage(*, engine: str, phase: str, running: int, queued: int = 0) -> EngineUsage:
    return EngineUsage(
        engine=engine,
        incarnation="i",
        phase=phase,
        running=running,
        queued=queued,
        leaving=False,
        reachable=True,
        capacity=4,
        ageMs=0,
    )


def test_an_engine_is_moved_only_from_an_idle_phase_that_keeps_one_to_a_pressed_or_empty_one():
    engines = [{"engine": name} for name in ("a", "b", "c")]

    def moved(*usages: EngineUsage) -> tuple[str, str] | None:
        move = choose(engines=engines, usages={usage.engine: usage for usage in usages})
        return move and (move.engine["engine"], move.phase)

    busy = _usage(engine="a", phase="prefill", running=4, queued=2)
    assert moved(
        busy, _usage(engine="b", phase="decode", running=1), _usage(engine="c", phase="decode", running=0)
    ) == (
        "c",
        "prefill",
    )
    assert moved(busy, _usage(engine="b", phase="decode", running=1)) is None
    assert moved(busy, *(_usage(engine=e, phase="decode", running=3) for e in "bc")) is None
    assert moved(*(_usage(engine=e, phase="decode", running=0) for e in "bc")) == ("b", "prefill")
    assert moved(*(_usage(engine=e, phase="decode", running=3) for e in "bc")) is None
