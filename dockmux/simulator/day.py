"""A simulation run ("day"): a fleet under load with a schedule of faults, a period without faults, a final fault, and
then the checkers of the rules."""

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
from dockmux.simulator.clock_probe import ClockProbe
from dockmux.simulator.faults import FINAL_FAULT_KINDS, Fault, FaultInjector, draw_schedule, model_variants
from dockmux.simulator.fleet import SimFleet, fleet
from dockmux.simulator.ground_truth import ConfigChange, GroundTruth, collect_engine_events

SECOND = timedelta(seconds=1)
# Load without faults before the first fault and after the last one.
WARM_UP = 3 * SECOND
RECOVERY_PERIOD = 20 * SECOND
# How long reading the stored configurations is retried at the end.
READ_TIMEOUT = 15 * SECOND


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunResult:
    """The outcome of one run.

    Invariants: `violations` has the findings of each checker that found any; `outcomes` counts attempts by outcome kind
    and `sent` is their number; the extra percents are the worst share of extra sends over 10 s, without and with those
    that repeats by user agents caused."""

    fleet: str
    seed: int
    faults: list[Fault]
    violations: dict[str, list[str]]
    outcomes: dict[str, int]
    sent: int
    recovery_ms: int
    final_fault: str
    extra_percent: float
    extra_percent_with_repeats: float
    log_lines: list[str]


def run(
    *,
    plan: FleetPlan,
    seed: int,
    duration: timedelta = 25 * SECOND,
    count: int = 6,
    kinds: list[str] | None = None,
    only: list[int] | None = None,
) -> RunResult:
    """Runs the simulation of a seed. Faults start within `duration`; `kinds` restricts the kinds drawn, and `only`
    injects just the faults of these numbers from the same schedule."""
    faults = draw_schedule(seed=seed, duration=duration, count=count, kinds=kinds)
    if only is not None:
        faults = [fault for fault in faults if fault.number in only]
    with fleet(plan=plan, seed=seed) as sim:
        sim.begin()
        first_change = ConfigChange(
            sent=timedelta(), ended=sim.world.now(), tree=plan.tree, status=200, mark=_current_mark(sim=sim)
        )
        injector = FaultInjector(fleet=sim, seed=seed)
        injector.config_changes.append(first_change)
        open_loop = OpenLoopLoad(
            host=sim.outside, plan=plan, seed=seed, max_retries=2, trees=model_variants(tree=plan.tree)
        )
        started_at = sim.world.now()
        probe = ClockProbe(fleet=sim)
        eventlet.spawn(probe.run)
        load_task = eventlet.spawn(
            open_loop.run,
            duration=WARM_UP + duration + RECOVERY_PERIOD,
            since=timedelta(),
            rate=injector.arrival_rate,
            mix_bias_source=injector,
        )
        tasks = []
        for fault in faults:
            eventlet.sleep(max((started_at + WARM_UP + fault.at - sim.world.now()).total_seconds(), 0))
            tasks.append(eventlet.spawn(injector.run, fault=fault))
        for task in tasks:
            task.wait()
        repaired_at = max(injector.repaired_at, started_at + WARM_UP)
        load_task.wait()
        load_ended_at = sim.world.now()
        rng = random.Random(f"final-{seed}")
        final_fault = rng.choice(FINAL_FAULT_KINDS)
        injector.run_final(kind=final_fault, rng=rng)
        if final_fault != "none":
            open_loop.resend_last(run_mode="once", max_count=12, since=timedelta())
        kept_configs = _kept_configs(sim=sim)
        truth = GroundTruth(
            attempts=open_loop.attempts,
            engine_events=collect_engine_events(engines=sim.engines),
            config_changes=injector.config_changes,
            leave_notices=injector.leave_notices,
            site_by_edge={edge["name"]: edge["site"] for edge in plan.edges},
            requests_per_second=plan.requests_per_second,
            repaired_at=repaired_at,
            ended_at=min(load_ended_at, started_at + WARM_UP + duration + RECOVERY_PERIOD),
            kept_configs=kept_configs,
            frozen_edges=injector.frozen_edges,
        )
        extra_shares = [
            max(
                (
                    checks.max_extra_share(sends=sends)
                    for sends in checks.sends_by_service(truth=truth, repeats=repeats).values()
                ),
                default=0,
            )
            for repeats in (False, True)
        ]
        violations = checks.run_checks(truth=truth)
        if probe.violations:
            violations["clocks_keep_their_bounds"] = probe.violations
        failed = [
            f"{at} {name} {text}" for at, name, log_event, text in sim.world.logged if log_event is LogEvent.TASK_FAILED
        ]
        if failed or sim.world.crashes:
            violations["no_task_fails"] = [*failed, *sim.world.crashes]
        outcomes: dict[str, int] = {}
        for attempt in open_loop.attempts:
            outcomes[attempt.kind] = outcomes.get(attempt.kind, 0) + 1
        log_lines = [f"{at} {name} [{log_event.number}] {text}" for at, name, log_event, text in sim.world.logged]
    return RunResult(
        fleet=plan.name,
        seed=seed,
        faults=faults,
        violations=violations,
        outcomes=dict(sorted(outcomes.items())),
        sent=len(open_loop.attempts),
        recovery_ms=checks.recovery_time(truth=truth) // ms(1),
        final_fault=final_fault,
        extra_percent=round(extra_shares[0] * 100, 1),
        extra_percent_with_repeats=round(extra_shares[1] * 100, 1),
        log_lines=log_lines,
    )


def _current_mark(*, sim: SimFleet) -> int:
    return sim.request_any_core(method="GET", path="/config")[1]["mark"]


def _kept_configs(*, sim: SimFleet) -> list[dict[str, Any]] | None:
    """Returns mark and tree of each configuration that the control plane stores; None if it did not answer in time."""
    end = sim.world.now() + READ_TIMEOUT
    while sim.world.now() < end:
        status, body = sim.request_any_core(method="GET", path="/history")
        if status == 200:
            rows = [sim.request_any_core(method="GET", path=f"/config/{row['mark']}") for row in body["configs"]]
            if all(status == 200 for status, _ in rows):
                return [{"mark": row["mark"], "tree": row["tree"]} for _, row in rows]
        eventlet.sleep(0.5)
    return None


def run_named(*, fleet_file: str, seed: int, **options: Any) -> RunResult:
    return run(plan=load(path=fleet_file), seed=seed, **options)


def minimize_faults(*, fleet_file: str, result: RunResult, **options: Any) -> list[int]:
    """Returns the numbers of a smaller set of faults with which one of the same checkers still fails."""
    remaining = [fault.number for fault in result.faults]
    for number in list(remaining):
        reduced = [other for other in remaining if other != number]
        rerun = run_named(fleet_file=fleet_file, seed=result.seed, only=reduced, **options)
        if set(rerun.violations) & set(result.violations):
            remaining = reduced
    return remaining


def test_a_core_with_a_full_disk_still_adopts_views():
    result = run(plan=load(path="fleets/mini.yaml"), seed=3, duration=4 * SECOND, count=2, kinds=["disk_full"])
    assert result.violations == {}


def test_a_fleet_partitioned_for_longer_than_peers_are_remembered_reconnects():
    kinds = ["cores_cut_off"]
    result = run(plan=load(path="fleets/mini.yaml"), seed=1, duration=6 * SECOND, count=2, kinds=kinds, only=[0])
    assert result.violations == {}


def test_a_leg_delayed_in_the_network_does_not_reach_the_engine_after_a_configuration_change():
    """An engine becomes unreachable while calls to it are in flight, and a configuration takes effect before it is
    reachable again."""
    result = run(plan=load(path="fleets/mini.yaml"), seed=56, count=8, only=[0, 4, 6, 7])
    assert result.violations == {}


def test_a_core_that_rejoins_knows_since_when_it_has_a_configuration():
    kinds = ["core_killed", "configurations_burst", "core_split"]
    result = run(plan=load(path="fleets/mini.yaml"), seed=1, duration=8 * SECOND, count=5, kinds=kinds)
    assert result.violations == {}


def test_a_member_that_joins_during_writes_catches_up_before_it_answers():
    kinds = ["core_killed", "configurations_burst", "core_split"]
    result = run(plan=load(path="fleets/mini.yaml"), seed=10, duration=8 * SECOND, count=5, kinds=kinds)
    assert result.violations == {}
