"""The first start: every core is blank, in any order, and there may be more of them than found the control plane."""

import pytest

from dockmux.simulator.world import World
from tests.control.cores import SECOND, Cores, text_of


def _first_start(*, made: Cores, late: dict[str, float]) -> int:
    """The cores start, some of them later by so many seconds; the status of the first order."""
    for name in made.names:
        if name not in late:
            made.start(name=name)
    for name, seconds in sorted(late.items(), key=lambda row: row[1]):
        made.sleep(seconds=seconds)
        made.start(name=name)
    return made.operator.put(text=text_of(version=1), base=0, limit=20 * SECOND)


@pytest.mark.parametrize(("count", "survive"), [(3, 1), (5, 1), (7, 1), (5, 2), (7, 2)])
@pytest.mark.parametrize("late", [{}, {"core-1": 1.5}, {"core-0": 0.8, "core-2": 0.8}, {"core-1": 0.25}])
def test_whatever_the_order_of_starts_one_control_plane_is_founded(count: int, survive: int, late: dict[str, float]):
    with World(seed=count * 10 + survive, link_us=700).open() as world:
        made = Cores(world=world, count=count, survive=survive)
        assert _first_start(made=made, late=late) == 200
        founded = {core.agreement.view.number: None for core in made.running() if core.agreement.view is not None}
        assert founded
        assert made.wait_until(what=lambda: all(core.agreement.view for core in made.running()), limit=5 * SECOND)
        assert len({tuple(core.agreement.view.voters) for core in made.running()}) == 1
        made.sound()


def test_a_core_that_is_killed_while_it_founds_goes_on_with_what_it_granted():
    with World(seed=91, link_us=700).open() as world:
        made = Cores(world=world, count=5, survive=2)
        for name in made.names:
            made.start(name=name)

        def granted() -> bool:
            return any(core.store.founding is not None for core in made.running())

        assert made.wait_until(what=granted, limit=5 * SECOND)
        for name in made.names[:2]:
            made.kill(name=name)
        made.sleep(seconds=1)
        for name in made.names[:2]:
            made.start(name=name)
        assert made.operator.put(text=text_of(version=1), base=0, limit=20 * SECOND) == 200
        made.sound()
