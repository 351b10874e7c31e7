"""Control planes of three and of five members, each under schedules of calls and faults that hypothesis draws."""

import pytest
from hypothesis import HealthCheck, Phase, given, settings

from tests.control_model.history import breaches
from tests.control_model.play import play
from tests.control_model.steps import Step, schedules

EXAMPLES = {3: 30, 5: 15}


@pytest.mark.parametrize("members", sorted(EXAMPLES))
def test_a_control_plane_keeps_its_promises_under_drawn_schedules(members: int) -> None:
    @settings(
        max_examples=EXAMPLES[members], derandomize=True, database=None, deadline=None,
        phases=(Phase.generate,), suppress_health_check=list(HealthCheck),
    )  # fmt: skip
    @given(schedule=schedules(members=members))
    def drawn(schedule: list[Step]) -> None:
        assert breaches(history=play(schedule=schedule, members=members, seed=members)) == []

    drawn()
