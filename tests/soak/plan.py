"""What befalls a run, drawn from its seed: series that overlap, inside what the pages let be lost at once."""

import dataclasses
import json
import random
from pathlib import Path

from tests.soak.engine import GREY_KINDS
from tests.soak.history import TroubleKind

# A machine counts as lost for so long after its return, so the next one of the core may go only then.
CORE_BACK_S = 5.0
QUIET_END_S = 3.0
STOP_MOST_S = 2.5
SERIES_GAP_S = 1.3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One trouble: when, what, whom (the number of an edge, a core or an engine), for how long, in which way."""

    at: float
    kind: TroubleKind
    role: str
    place: int
    for_s: float = 0.0
    how: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    seed: int
    seconds: float
    edges: int
    cores: int
    engines: int
    steps: tuple[Step, ...]

    def text(self) -> str:
        fields = dataclasses.asdict(self)
        return json.dumps(fields, indent=1)

    def without(self, *, place: int) -> "Plan":
        return dataclasses.replace(self, steps=self.steps[:place] + self.steps[place + 1 :])

    def lines(self) -> list[str]:
        return [
            f"  {s.at:6.2f} s {s.kind} {s.role}-{s.place}{f' for {s.for_s:.1f} s' if s.for_s else ''} {s.how}".rstrip()
            for s in self.steps
        ]


def load(*, path: Path) -> Plan:
    fields = json.loads(path.read_text())
    steps = tuple(Step(**{**row, "kind": TroubleKind(row["kind"])}) for row in fields.pop("steps"))
    return Plan(**fields, steps=steps)


def draw(*, seed: int, seconds: float, edges: int, cores: int, engines: int) -> Plan:
    source = random.Random(f"soak-{seed}")
    steps = [
        *_edges(source=source, seconds=seconds, count=edges),
        *_cores(source=source, seconds=seconds, count=cores),
        *_engines(source=source, seconds=seconds, count=engines),
    ]
    return Plan(
        seed=seed, seconds=seconds, edges=edges, cores=cores, engines=engines,
        steps=tuple(sorted(steps, key=lambda step: step.at)),
    )  # fmt: skip


def _edges(*, source: random.Random, seconds: float, count: int) -> list[Step]:
    """Series of signals to edges, one machine after the other, and single ones between them."""
    steps = []
    kinds = (TroubleKind.TERM, TroubleKind.TERM, TroubleKind.HUP, TroubleKind.KILL, TroubleKind.STOP)
    for _ in range(2 if seconds < 40 else 4):
        kind = source.choice(kinds)
        begin = source.uniform(1, max(seconds - QUIET_END_S - 8, 2))
        gap = source.choice((0.1, SERIES_GAP_S, 3.0))
        for place in source.sample(range(count), max(1, min(count, source.randrange(1, 5)))):
            for_s = source.uniform(0.3, STOP_MOST_S) if kind is TroubleKind.STOP else 0.0
            steps.append(Step(at=begin, kind=kind, role="edge", place=place, for_s=for_s))
            begin += gap
    if source.random() < 0.3:
        at, place = source.uniform(2, seconds * 0.6), source.randrange(count)
        steps.append(Step(at=at, kind=TroubleKind.REPLACE, role="edge", place=place))
    return steps


def _cores(*, source: random.Random, seconds: float, count: int) -> list[Step]:
    """One core machine after the other, the next one when the last has counted as back for long."""
    steps, at = [], source.uniform(1, 6)
    kinds = (TroubleKind.TERM, TroubleKind.KILL, TroubleKind.STOP, TroubleKind.HUP, TroubleKind.REPLACE)
    while at < seconds - QUIET_END_S - 3:
        kind = source.choice(kinds)
        for_s = source.uniform(0.5, 4.0) if kind is TroubleKind.STOP else 0.0
        steps.append(Step(at=at, kind=kind, role="core", place=source.randrange(count), for_s=for_s))
        at += for_s + CORE_BACK_S + source.uniform(1, 6)
    return steps


def _engines(*, source: random.Random, seconds: float, count: int) -> list[Step]:
    steps = []
    kinds = (
        TroubleKind.ENGINE_CRASH, TroubleKind.ENGINE_GREY, TroubleKind.ENGINE_GREY, TroubleKind.ENGINE_SILENT,
        TroubleKind.ENGINE_LEAVES, TroubleKind.LINK_SLOW, TroubleKind.LINK_CUT, TroubleKind.LINK_RESET,
    )  # fmt: skip
    for _ in range(max(3, round(seconds / 4))):
        kind = source.choice(kinds)
        how = source.choice(GREY_KINDS) if kind is TroubleKind.ENGINE_GREY else ""
        for_s = 0.0 if kind is TroubleKind.LINK_RESET else source.uniform(0.5, 3.5)
        at = source.uniform(1, seconds - QUIET_END_S)
        steps.append(Step(at=at, kind=kind, role="engine", place=source.randrange(count), for_s=for_s, how=how))
    for _ in range(max(2, round(seconds / 7))):
        steps += _crash_beside_grey(source=source, seconds=seconds, count=count)
    if source.random() < 0.4:
        at, for_s = source.uniform(2, seconds * 0.7), source.uniform(1, 4)
        steps.append(Step(at=at, kind=TroubleKind.LIST_DOWN, role="list", place=0, for_s=for_s))
    return steps


def _crash_beside_grey(*, source: random.Random, seconds: float, count: int) -> list[Step]:
    """One engine fails a part of its requests while another one ends: what was there is taken up at the first."""
    grey, crashing = source.sample(range(count), 2) if count > 1 else (0, 0)
    at = source.uniform(1, max(seconds - QUIET_END_S - 4, 2))
    how = source.choice(GREY_KINDS)
    return [
        Step(at=at, kind=TroubleKind.ENGINE_GREY, role="engine", place=grey, for_s=3.5, how=how),
        Step(at=at + 0.5, kind=TroubleKind.ENGINE_CRASH, role="engine", place=crashing, for_s=1.5),
    ]
