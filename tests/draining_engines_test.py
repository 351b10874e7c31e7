"""Engines that the list shows as draining."""

from datetime import timedelta

import pytest

from dockmux.platform_proxy.directory import Directory
from tests.standins.engine import Arrival
from tests.standins.fleet import SECOND, Fleet, fleet

PATHS = ("/notes/a", "/check/c", "/once/b")
DRAINING = ("i-p0", "i-d3")


def _late_arrivals(*, sim_fleet: Fleet, kill: tuple[str, ...]) -> list[Arrival]:
    """Requests that reach a prefill and a decode engine more than `drain_ms` after the list showed them as draining.

    The daemons in `kill` are killed at that moment. The engines keep serving, so that only the daemons' knowledge of
    the list keeps requests away from them."""
    before = sim_fleet.send_load(paths=PATHS, per_second=12, seconds=2)
    assert {row.engine for row in sim_fleet.record.arrivals} >= set(DRAINING)
    asker = sim_fleet.list.calls[-1].by
    for engine in DRAINING:
        sim_fleet.list.rows[engine]["st"] = "draining"
    shown = sim_fleet.world.now()
    names = [sim_fleet.head() if name == "head" else f"edge-{int(asker.split('.')[1]) - 1}" for name in kill]
    for name in names:
        sim_fleet.kill(name=name)
    zones = tuple(zone for zone in range(3) if f"edge-{zone}" not in names)
    attempts = sim_fleet.send_load(paths=PATHS, per_second=9, seconds=5, zones=zones)
    assert (
        sim_fleet.violations(attempts=attempts) == []
        and [attempt for attempt in before + attempts if not attempt.is_correct] == []
    )
    sim_fleet.assert_no_failures()
    return [row for row in sim_fleet.record.arrivals if row.engine in DRAINING and row.at > shown + 3 * SECOND]


@pytest.mark.parametrize(
    ("seed", "kill"),
    [(21, ()), (21, ("asker",)), (22, ("asker", "head"))],
)
def test_a_draining_engine_gets_no_new_requests_after_the_drain_time(seed, kill):
    with fleet(seed=seed) as sim_fleet:
        assert _late_arrivals(sim_fleet=sim_fleet, kill=kill) == []


def test_without_list_requests_a_draining_engine_is_still_used(monkeypatch):
    due = Directory.due
    monkeypatch.setattr(
        Directory, "due", lambda self, *, rank: self.age > timedelta(seconds=30) and due(self, rank=rank)
    )
    with fleet(seed=21) as sim_fleet:
        assert _late_arrivals(sim_fleet=sim_fleet, kill=())


def test_while_the_list_fails_or_is_slow_the_known_engines_serve():
    with fleet(seed=23) as sim_fleet:
        sim_fleet.list.failing = True
        attempts = sim_fleet.send_load(paths=PATHS, per_second=4, seconds=5)
        sim_fleet.list.failing, sim_fleet.list.delay = False, timedelta(seconds=5)
        attempts += sim_fleet.send_load(paths=PATHS, per_second=4, seconds=5)
        assert sim_fleet.ready()
        sim_fleet.list.delay = timedelta()
        sim_fleet.list.rows["i-d4"]["st"] = "draining"
        sim_fleet.sleep(seconds=4)
        since = sim_fleet.world.now()
        attempts += sim_fleet.send_load(paths=PATHS, per_second=8, seconds=3)
        assert [row for row in sim_fleet.record.arrivals if row.engine == "i-d4" and row.at > since] == []
        assert [attempt for attempt in attempts if not attempt.is_correct] == [] and sim_fleet.violations(
            attempts=attempts
        ) == []
        sim_fleet.assert_no_failures()
