"""One simulated day, small: a fleet under load, a schedule of faults, then quiet, then the checkers."""

import dataclasses
import random
from datetime import timedelta
from typing import Any

import eventlet

from dockmux.load_generator.open_loop import OpenLoopLoad
from dockmux.local_fleet.fleet_plan import FleetPlan, load
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms
from dockmux.simulator import checks
from dockmux.simulator.faults import FINAL_KINDS, Doer, Fault, draw, twins
from dockmux.simulator.fleet import SimFleet, fleet
from dockmux.simulator.ground_truth import ConfigChange, GroundTruth, rows_of
from dockmux.simulator.probe import Probe

SECOND = timedelta(seconds=1)
LEAD_IN = 3 * SECOND
QUIET = 20 * SECOND
READ_LIMIT = 15 * SECOND


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """What one day came to."""

    fleet: str
    seed: int
    faults: list[Fault]
    wrong: dict[str, list[str]]
    outcomes: dict[str, int]
    sent: int
    recoveredMs: int
    final: str
    extraPercent: float
    againPercent: float
    events: list[str]


def run(
    *,
    plan: FleetPlan,
    seed: int,
    lasts: timedelta = 25 * SECOND,
    count: int = 6,
    kinds: list[str] | None = None,
    only: list[int] | None = None,
) -> Verdict:
    """Runs the day of a seed; `only` keeps the faults of these numbers and leaves out the rest."""
    faults = draw(seed=seed, lasts=lasts, count=count, kinds=kinds)
    if only is not None:
        faults = [fault for fault in faults if fault.number in only]
    with fleet(plan=plan, seed=seed) as made:
        made.begin()
        told = ConfigChange(sent=timedelta(), ended=made.world.now(), tree=plan.tree, status=200, mark=_mark(made=made))
        doer = Doer(fleet=made, seed=seed)
        doer.told.append(told)
        open_loop = OpenLoopLoad(host=made.outside, plan=plan, seed=seed, max_retries=2, trees=twins(tree=plan.tree))
        began = made.world.now()
        probe = Probe(fleet=made)
        eventlet.spawn(probe.run)
        load_task = eventlet.spawn(
            open_loop.run, duration=LEAD_IN + lasts + QUIET, since=timedelta(), rate=doer.wanted, mix_bias_source=doer
        )
        tasks = []
        for fault in faults:
            eventlet.sleep(max((began + LEAD_IN + fault.at - made.world.now()).total_seconds(), 0))
            tasks.append(eventlet.spawn(doer.run, fault=fault))
        for task in tasks:
            task.wait()
        healed = max(doer.mended, began + LEAD_IN)
        load_task.wait()
        lasted = made.world.now()
        chance = random.Random(f"final-{seed}")
        final = chance.choice(FINAL_KINDS)
        doer.final(kind=final, chance=chance)
        if final != "none":
            open_loop.resend_last(run_mode="once", max_count=12, since=timedelta())
        kept = _kept(made=made)
        truth = GroundTruth(
            seen=open_loop.attempts,
            rows=rows_of(engines=made.engines),
            told=doer.told,
            leaving=doer.leaving,
            sites={edge["name"]: edge["site"] for edge in plan.edges},
            perSecond=plan.requests_per_second,
            healed=healed,
            lasted=min(lasted, began + LEAD_IN + lasts + QUIET),
            kept=kept,
            still=doer.still,
        )
        shares = [
            max(
                (checks.worst_share(rows=rows) for rows in checks.sends(truth=truth, repeats=repeats).values()),
                default=0,
            )
            for repeats in (False, True)
        ]
        wrong = checks.check(truth=truth)
        if probe.wrong:
            wrong["clocks_keep_their_bounds"] = probe.wrong
        failed = [
            f"{at} {name} {text}"
            for at, name, log_event, text in made.world.logged
            if log_event is LogEvent.TASK_FAILED
        ]
        if failed or made.world.crashes:
            wrong["no_task_fails"] = [*failed, *made.world.crashes]
        outcomes: dict[str, int] = {}
        for seen in open_loop.attempts:
            outcomes[seen.kind] = outcomes.get(seen.kind, 0) + 1
        events = [f"{at} {name} [{log_event.number}] {text}" for at, name, log_event, text in made.world.logged]
    return Verdict(
        fleet=plan.name,
        seed=seed,
        faults=faults,
        wrong=wrong,
        outcomes=dict(sorted(outcomes.items())),
        sent=len(open_loop.attempts),
        recoveredMs=checks.recovery(truth=truth) // ms(1),
        final=final,
        extraPercent=round(shares[0] * 100, 1),
        againPercent=round(shares[1] * 100, 1),
        events=events,
    )


def _mark(*, made: SimFleet) -> int:
    return made.ask_any(method="GET", path="/config")[1]["mark"]


def _kept(*, made: SimFleet) -> list[dict[str, Any]] | None:
    """The configurations that the control plane holds at the end."""
    end = made.world.now() + READ_LIMIT
    while made.world.now() < end:
        status, told = made.ask_any(method="GET", path="/history")
        if status == 200:
            rows = [made.ask_any(method="GET", path=f"/config/{row['mark']}") for row in told["configs"]]
            if all(status == 200 for status, _ in rows):
                return [{"mark": row["mark"], "tree": row["tree"]} for _, row in rows]
        eventlet.sleep(0.5)
    return None


def run_named(*, fleet_file: str, seed: int, **changes: Any) -> Verdict:
    return run(plan=load(path=fleet_file), seed=seed, **changes)


def shorten(*, fleet_file: str, verdict: Verdict, **changes: Any) -> list[int]:
    """The numbers of fewer faults that still make one of the same checkers fail."""
    kept = [fault.number for fault in verdict.faults]
    for number in list(kept):
        fewer = [other for other in kept if other != number]
        again = run_named(fleet_file=fleet_file, seed=verdict.seed, only=fewer, **changes)
        if set(again.wrong) & set(verdict.wrong):
            kept = fewer
    return kept


def test_a_core_with_a_full_disk_still_takes_over_views():
    verdict = run(plan=load(path="fleets/mini.yaml"), seed=3, lasts=4 * SECOND, count=2, kinds=["disk_full"])
    assert verdict.wrong == {}


def test_a_fleet_that_was_cut_in_two_for_longer_than_peers_are_remembered_grows_together():
    kinds = ["cores_cut_off"]
    verdict = run(plan=load(path="fleets/mini.yaml"), seed=1, lasts=6 * SECOND, count=2, kinds=kinds, only=[0])
    assert verdict.wrong == {}


def test_a_leg_held_up_on_its_way_does_not_reach_the_engine_after_a_change():
    """The engine goes dark with legs on their way; a configuration comes into use before it can be reached again."""
    verdict = run(plan=load(path="fleets/mini.yaml"), seed=56, count=8, only=[0, 4, 6, 7])
    assert verdict.wrong == {}


def test_a_core_that_comes_back_in_knows_since_when_it_knows_a_configuration():
    kinds = ["core_killed", "configurations_burst", "core_split"]
    verdict = run(plan=load(path="fleets/mini.yaml"), seed=1, lasts=8 * SECOND, count=5, kinds=kinds)
    assert verdict.wrong == {}


def test_a_member_taken_in_while_writes_go_on_is_brought_level_before_it_answers():
    kinds = ["core_killed", "configurations_burst", "core_split"]
    verdict = run(plan=load(path="fleets/mini.yaml"), seed=10, lasts=8 * SECOND, count=5, kinds=kinds)
    assert verdict.wrong == {}
