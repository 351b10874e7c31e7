"""A short soak with fixed seeds, judged without the checks that a busy host alone can fail."""

import asyncio

import pytest

from tests.soak.history import FaultKind, Surrounding
from tests.soak.judge import describe_request, judge
from tests.soak.plan import draw_plan, load_plan
from tests.soak.run import run_plan

SECONDS = 20.0


@pytest.mark.parametrize("seed", (1, 2))
def test_fixed_seed_has_no_violations(seed):
    plan = draw_plan(seed=seed, seconds=SECONDS, edges=3, cores=3, engines=5)
    history = asyncio.run(run_plan(plan=plan))
    violations = judge(history=history, timed=False)
    details = [(each, describe_request(history=history, request_id=each.request_id)) for each in violations[:3]]
    assert violations == [], (details, plan.describe_steps())
    assert sum(row.complete and row.status == 200 for row in history.requests) > 20


def test_plan_is_deterministic_and_survives_its_file(tmp_path):
    plan = draw_plan(seed=7, seconds=30.0, edges=3, cores=3, engines=5)
    assert plan == draw_plan(seed=7, seconds=30.0, edges=3, cores=3, engines=5)
    assert plan != draw_plan(seed=8, seconds=30.0, edges=3, cores=3, engines=5)
    file = tmp_path / "plan.json"
    file.write_text(plan.to_json())
    assert load_plan(path=file) == plan
    assert len(plan.without(index=0).steps) == len(plan.steps) - 1


def test_plans_hold_long_freezes_disk_and_log_trouble_and_short_limits():
    """Guards against a soak that never meets what ended daemons: every kind is drawn within twenty seeds."""
    plans = [draw_plan(seed=seed, seconds=25.0, edges=3, cores=3, engines=5) for seed in range(1, 21)]
    assert {what for plan in plans for what in plan.surroundings.values()} == set(Surrounding)
    steps = [step for plan in plans for step in plan.steps]
    freezes = [step for step in steps if step.kind is FaultKind.STOP]
    assert {step.role for step in freezes if step.for_s > 10} == {"edge", "core"}
    assert any(step.for_s < 0.5 for step in freezes)
    assert any(step.kind is FaultKind.DISK_REFUSES for step in steps)
