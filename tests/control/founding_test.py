"""First start of a control plane: all cores have empty disks and start in any order, possibly more than found it."""

import pytest

from dockmux.simulator.world import World
from tests.control.core_cluster import SECOND, CoreCluster, config_text


def _first_start(*, cluster: CoreCluster, late: dict[str, float]) -> int:
    """Starts the cores, those in `late` after so many seconds; returns the status of the first configuration."""
    for name in cluster.names:
        if name not in late:
            cluster.start(name=name)
    for name, seconds in sorted(late.items(), key=lambda row: row[1]):
        cluster.sleep(seconds=seconds)
        cluster.start(name=name)
    return cluster.operator.put(text=config_text(version=1), base=0, limit=20 * SECOND)


@pytest.mark.parametrize(("count", "survive"), [(3, 1), (5, 1), (7, 1), (5, 2), (7, 2)])
@pytest.mark.parametrize("late", [{}, {"core-1": 1.5}, {"core-0": 0.8, "core-2": 0.8}, {"core-1": 0.25}])
def test_one_control_plane_is_founded_in_any_start_order(count: int, survive: int, late: dict[str, float]):
    with World(seed=count * 10 + survive, link_us=700).open() as world:
        cluster = CoreCluster(world=world, count=count, survive=survive)
        assert _first_start(cluster=cluster, late=late) == 200
        founded = {core.agreement.view.number: None for core in cluster.running() if core.agreement.view is not None}
        assert founded
        assert cluster.wait_until(
            condition=lambda: all(core.agreement.view for core in cluster.running()), limit=5 * SECOND
        )
        assert len({tuple(core.agreement.view.voters) for core in cluster.running()}) == 1
        cluster.assert_no_failures()


def test_a_core_killed_during_founding_keeps_its_vote():
    with World(seed=91, link_us=700).open() as world:
        cluster = CoreCluster(world=world, count=5, survive=2)
        for name in cluster.names:
            cluster.start(name=name)

        def granted() -> bool:
            return any(core.store.founding is not None for core in cluster.running())

        assert cluster.wait_until(condition=granted, limit=5 * SECOND)
        for name in cluster.names[:2]:
            cluster.kill(name=name)
        cluster.sleep(seconds=1)
        for name in cluster.names[:2]:
            cluster.start(name=name)
        assert cluster.operator.put(text=config_text(version=1), base=0, limit=20 * SECOND) == 200
        cluster.assert_no_failures()
