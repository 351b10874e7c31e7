"""A short soak with fixed seeds, judged by what a busy machine cannot break by itself."""

import asyncio

import pytest

from tests.soak.judge import judge, trace
from tests.soak.plan import draw, load
from tests.soak.run import play

SECONDS = 20.0


@pytest.mark.parametrize("seed", (1, 2))
def test_a_fixed_seed_holds(seed):
    plan = draw(seed=seed, seconds=SECONDS, edges=3, cores=3, engines=5)
    history = asyncio.run(play(plan=plan))
    breaches = judge(history=history, timed=False)
    shown = [(each, trace(history=history, request_id=each.request_id)) for each in breaches[:3]]
    assert breaches == [], (shown, plan.lines())
    assert sum(row.whole and row.status == 200 for row in history.tries) > 20


def test_a_plan_is_the_same_for_the_same_seed_and_comes_back_from_its_file(tmp_path):
    plan = draw(seed=7, seconds=30.0, edges=3, cores=3, engines=5)
    assert plan == draw(seed=7, seconds=30.0, edges=3, cores=3, engines=5)
    assert plan != draw(seed=8, seconds=30.0, edges=3, cores=3, engines=5)
    file = tmp_path / "plan.json"
    file.write_text(plan.text())
    assert load(path=file) == plan
    assert len(plan.without(place=0).steps) == len(plan.steps) - 1
