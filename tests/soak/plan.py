"""The plan of a run: faults drawn from its seed, in overlapping series.

No more machines are lost at once than the platform's rules allow. The order of the random draws must not change, so
that a seed keeps giving the same plan.
"""

import dataclasses
import json
import random
from pathlib import Path

from tests.endless_bytes.forms import AnswerForm, Pace, RequestForm
from tests.soak.endless import describe_answer, describe_request_form
from tests.soak.engine import GREY_KINDS
from tests.soak.history import FaultKind, Surrounding

# A core that has returned counts as lost for this long, so the next one may fail only after it.
CORE_RECOVERY_S = 5.0
# Time at the end of a run in which faults are not meant to begin.
FINAL_QUIET_S = 3.0
MAX_STOP_S = 2.5
SERIES_GAP_S = 1.3
# Freezes shorter and longer than the time limits of a daemon: 0.5, 0.8, 2, 3, 5 and 10 s.
FREEZE_LENGTHS_S = (0.4, 0.7, 1.2, 2.3, 3.5, 5.6, 10.7)
MAX_DISK_TROUBLE_S = 6.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """One fault, or planned operation, of a plan.

    `at` is in seconds since the clients began, `place` the number of the edge, core or engine, `for_s` the duration,
    `how` the kind of a grey failure, or the form of bytes without end. The field names are those of the plan file.
    """

    at: float
    kind: FaultKind
    role: str
    place: int
    for_s: float = 0.0
    how: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """A run's size and faults. The field names are those of the plan file. Invariants: `steps` are ordered by `at`;
    `surroundings` holds what a machine is short of, by its name."""

    seed: int
    seconds: float
    edges: int
    cores: int
    engines: int
    steps: tuple[Step, ...]
    surroundings: dict[str, Surrounding] = dataclasses.field(default_factory=dict)

    def to_json(self) -> str:
        """The text of a plan file, which `load_plan` reads."""
        fields = dataclasses.asdict(self)
        return json.dumps(fields, indent=1)

    def without(self, *, index: int) -> "Plan":
        return dataclasses.replace(self, steps=self.steps[:index] + self.steps[index + 1 :])

    def describe_steps(self) -> list[str]:
        surroundings = [f"  {name}: {surrounding}" for name, surrounding in self.surroundings.items()]
        return surroundings + [
            (
                f"  {step.at:6.2f} s {step.kind} {step.role}-{step.place}"
                f"{f' for {step.for_s:.1f} s' if step.for_s else ''} {step.how}"
            ).rstrip()
            for step in self.steps
        ]


def load_plan(*, path: Path) -> Plan:
    """Reads a plan file that was written with `Plan.to_json`."""
    fields = json.loads(path.read_text())
    steps = tuple(Step(**{**row, "kind": FaultKind(row["kind"])}) for row in fields.pop("steps"))
    surroundings = {name: Surrounding(value) for name, value in fields.pop("surroundings", {}).items()}
    return Plan(**fields, steps=steps, surroundings=surroundings)


def draw_plan(*, seed: int, seconds: float, edges: int, cores: int, engines: int) -> Plan:
    """The plan of a seed; the same arguments always give the same plan."""
    rng = random.Random(f"soak-{seed}")
    steps = [
        *_edge_steps(rng=rng, seconds=seconds, count=edges),
        *_core_steps(rng=rng, seconds=seconds, count=cores),
        *_engine_steps(rng=rng, seconds=seconds, count=engines),
        *_endless_steps(seed=seed, seconds=seconds, edges=edges, cores=cores, engines=engines),
    ]
    rng = random.Random(f"soak-surroundings-{seed}")
    steps += _freeze_steps(rng=rng, seconds=seconds, edges=edges)
    steps = _with_long_core_fault(rng=rng, steps=steps, seconds=seconds, cores=cores)
    return Plan(
        seed=seed, seconds=seconds, edges=edges, cores=cores, engines=engines,
        steps=tuple(sorted(steps, key=lambda step: step.at)),
        surroundings=_draw_surroundings(rng=rng, edges=edges, cores=cores),
    )  # fmt: skip


def _freeze_steps(*, rng: random.Random, seconds: float, edges: int) -> list[Step]:
    """Freezes of edges, of which some overlap."""
    return [
        Step(
            at=rng.uniform(1, max(seconds - FINAL_QUIET_S - 4, 2)), kind=FaultKind.STOP, role="edge",
            place=rng.randrange(edges), for_s=rng.choice(FREEZE_LENGTHS_S),
        )
        for _ in range(rng.randrange(1, 4))
    ]  # fmt: skip


def _with_long_core_fault(*, rng: random.Random, steps: list[Step], seconds: float, cores: int) -> list[Step]:
    """In half of the plans one core is frozen for long, or its disk refuses writes, in place of the later faults of
    cores: no second core may be lost meanwhile."""
    if rng.random() < 0.5:
        return steps
    at = rng.uniform(3, max(seconds * 0.5, 4))
    earlier = [step for step in steps if step.role != "core" or step.at + step.for_s + CORE_RECOVERY_S < at]
    if rng.random() < 0.5:
        kind, for_s = FaultKind.STOP, rng.choice(FREEZE_LENGTHS_S)
    else:
        kind, for_s = FaultKind.DISK_REFUSES, rng.uniform(0.5, MAX_DISK_TROUBLE_S)
    return [*earlier, Step(at=at, kind=kind, role="core", place=rng.randrange(cores), for_s=for_s)]


def _draw_surroundings(*, rng: random.Random, edges: int, cores: int) -> dict[str, Surrounding]:
    """What some of the machines are short of: a log for any number, memory or descriptors for one edge in three."""
    names = [f"edge-{place}" for place in range(edges)] + [f"core-{place}" for place in range(cores)]
    drawn = {}
    for name in names:
        if rng.random() < 0.3:
            drawn[name] = rng.choice((Surrounding.LOG_FULL, Surrounding.LOG_UNREAD))
        elif name.startswith("edge") and rng.random() < 0.3:
            drawn[name] = rng.choice((Surrounding.FEW_DESCRIPTORS, Surrounding.LITTLE_MEMORY))
    return drawn


def _edge_steps(*, rng: random.Random, seconds: float, count: int) -> list[Step]:
    """Series of signals to edges, one machine after the other, and sometimes the replacement of one edge."""
    steps = []
    kinds = (FaultKind.TERM, FaultKind.TERM, FaultKind.HUP, FaultKind.KILL, FaultKind.STOP)
    for _ in range(2 if seconds < 40 else 4):
        kind = rng.choice(kinds)
        begin = rng.uniform(1, max(seconds - FINAL_QUIET_S - 8, 2))
        gap = rng.choice((0.1, SERIES_GAP_S, 3.0))
        for place in rng.sample(range(count), max(1, min(count, rng.randrange(1, 5)))):
            for_s = rng.uniform(0.3, MAX_STOP_S) if kind is FaultKind.STOP else 0.0
            steps.append(Step(at=begin, kind=kind, role="edge", place=place, for_s=for_s))
            begin += gap
    if rng.random() < 0.3:
        at, place = rng.uniform(2, seconds * 0.6), rng.randrange(count)
        steps.append(Step(at=at, kind=FaultKind.REPLACE, role="edge", place=place))
    return steps


def _core_steps(*, rng: random.Random, seconds: float, count: int) -> list[Step]:
    """Faults of one core after the other; the next one begins only when the last core counts as recovered."""
    steps, at = [], rng.uniform(1, 6)
    kinds = (FaultKind.TERM, FaultKind.KILL, FaultKind.STOP, FaultKind.HUP, FaultKind.REPLACE)
    while at < seconds - FINAL_QUIET_S - 3:
        kind = rng.choice(kinds)
        for_s = rng.uniform(0.5, 4.0) if kind is FaultKind.STOP else 0.0
        steps.append(Step(at=at, kind=kind, role="core", place=rng.randrange(count), for_s=for_s))
        at += for_s + CORE_RECOVERY_S + rng.uniform(1, 6)
    return steps


def _engine_steps(*, rng: random.Random, seconds: float, count: int) -> list[Step]:
    """Faults of engines and their links, and sometimes an outage of the engine list."""
    steps = []
    kinds = (
        FaultKind.ENGINE_CRASH, FaultKind.ENGINE_GREY, FaultKind.ENGINE_GREY, FaultKind.ENGINE_SILENT,
        FaultKind.ENGINE_LEAVES, FaultKind.LINK_SLOW, FaultKind.LINK_CUT, FaultKind.LINK_RESET,
    )  # fmt: skip
    for _ in range(max(3, round(seconds / 4))):
        kind = rng.choice(kinds)
        how = rng.choice(GREY_KINDS) if kind is FaultKind.ENGINE_GREY else ""
        for_s = 0.0 if kind is FaultKind.LINK_RESET else rng.uniform(0.5, 3.5)
        at = rng.uniform(1, seconds - FINAL_QUIET_S)
        steps.append(Step(at=at, kind=kind, role="engine", place=rng.randrange(count), for_s=for_s, how=how))
    for _ in range(max(2, round(seconds / 7))):
        steps += _crash_during_grey_failure(rng=rng, seconds=seconds, count=count)
    if rng.random() < 0.4:
        at, for_s = rng.uniform(2, seconds * 0.7), rng.uniform(1, 4)
        steps.append(Step(at=at, kind=FaultKind.LIST_DOWN, role="list", place=0, for_s=for_s))
    return steps


def _endless_steps(*, seed: int, seconds: float, edges: int, cores: int, engines: int) -> list[Step]:
    """Engines, clients, operators and sometimes the engine list that send bytes without end. Drawn from a generator of
    their own, so that the other steps of a seed stay as they were."""
    rng = random.Random(f"soak-endless-{seed}")
    steps = []
    for _ in range(max(2, round(seconds / 8))):
        how = describe_answer(
            form=rng.choice(list(AnswerForm)), status=rng.choice((200, 500)), pace=_draw_pace(rng=rng)
        )
        place, at, for_s = rng.randrange(engines), rng.uniform(1, seconds - FINAL_QUIET_S - 2), rng.uniform(1, 4)
        kind = FaultKind.ENGINE_ENDLESS
        steps.append(Step(at=at, kind=kind, role="engine", place=place, for_s=for_s, how=how))
    for _ in range(max(2, round(seconds / 8))):
        role, count = rng.choice((("edge", edges), ("core", cores)))
        form = rng.choice([form for form in RequestForm if form is not RequestForm.PIPELINED])
        how = describe_request_form(form=form, pace=_draw_pace(rng=rng))
        at, for_s = rng.uniform(1, seconds - FINAL_QUIET_S - 2), rng.uniform(1, 4)
        kind = FaultKind.CLIENT_ENDLESS
        steps.append(Step(at=at, kind=kind, role=role, place=rng.randrange(count), for_s=for_s, how=how))
    if rng.random() < 0.3:
        how = describe_answer(form=rng.choice(list(AnswerForm)), status=200, pace=Pace.FAST)
        at, for_s = rng.uniform(1, seconds * 0.7), rng.uniform(0.5, 3)
        steps.append(Step(at=at, kind=FaultKind.LIST_ENDLESS, role="list", place=0, for_s=for_s, how=how))
    return steps


def _draw_pace(*, rng: random.Random) -> Pace:
    return rng.choices(list(Pace), weights=(4, 1, 1))[0]


def _crash_during_grey_failure(*, rng: random.Random, seconds: float, count: int) -> list[Step]:
    """One engine fails part of its requests while another one crashes, whose requests it may receive."""
    grey, crashing = rng.sample(range(count), 2) if count > 1 else (0, 0)
    at = rng.uniform(1, max(seconds - FINAL_QUIET_S - 4, 2))
    how = rng.choice(GREY_KINDS)
    return [
        Step(at=at, kind=FaultKind.ENGINE_GREY, role="engine", place=grey, for_s=3.5, how=how),
        Step(at=at + 0.5, kind=FaultKind.ENGINE_CRASH, role="engine", place=crashing, for_s=1.5),
    ]
