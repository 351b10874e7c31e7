"""Engines that are listed as leaving."""

from datetime import timedelta

import pytest

from dockmux.platform_proxy.directory import Directory
from tests.standins.engine import Arrival
from tests.standins.fleet import SECOND, Fleet, fleet

PATHS = ("/notes/a", "/check/c", "/once/b")
LEAVING = ("i-p0", "i-d3")


def _late(*, made: Fleet, kill: tuple[str, ...]) -> list[Arrival]:
    """A reading and a writing engine leave, and daemons are killed at that moment; what reaches those engines more
    than `drain_ms` after the list showed it. They go on serving, so that nothing but knowledge keeps work away."""
    before = made.load(paths=PATHS, per_second=12, seconds=2)
    assert {row.engine for row in made.record.arrivals} >= set(LEAVING)
    asker = made.list.calls[-1].by
    for engine in LEAVING:
        made.list.rows[engine]["st"] = "draining"
    shown = made.world.now()
    names = [made.head() if name == "head" else f"edge-{int(asker.split('.')[1]) - 1}" for name in kill]
    for name in names:
        made.kill(name=name)
    zones = tuple(zone for zone in range(3) if f"edge-{zone}" not in names)
    tries = made.load(paths=PATHS, per_second=9, seconds=5, zones=zones)
    assert made.wrong(tries=tries) == [] and [seen for seen in before + tries if not seen.right] == []
    made.sound()
    return [row for row in made.record.arrivals if row.engine in LEAVING and row.at > shown + 3 * SECOND]


@pytest.mark.parametrize(
    ("seed", "kill"),
    [(21, ()), (21, ("asker",)), (22, ("asker", "head"))],
)
def test_a_leaving_engine_gets_nothing_new_after_the_drain_time(seed, kill):
    with fleet(seed=seed) as made:
        assert _late(made=made, kill=kill) == []


def test_where_nobody_asks_the_list_the_leaving_engine_is_still_used(monkeypatch):
    due = Directory.due
    monkeypatch.setattr(
        Directory, "due", lambda self, *, rank: self.age > timedelta(seconds=30) and due(self, rank=rank)
    )
    with fleet(seed=21) as made:
        assert _late(made=made, kill=())


def test_while_the_list_is_dead_or_slow_the_known_engines_serve():
    with fleet(seed=23) as made:
        made.list.failing = True
        tries = made.load(paths=PATHS, per_second=4, seconds=5)
        made.list.failing, made.list.delay = False, timedelta(seconds=5)
        tries += made.load(paths=PATHS, per_second=4, seconds=5)
        assert made.ready()
        made.list.delay = timedelta()
        made.list.rows["i-d4"]["st"] = "draining"
        made.sleep(seconds=4)
        since = made.world.now()
        tries += made.load(paths=PATHS, per_second=8, seconds=3)
        assert [row for row in made.record.arrivals if row.engine == "i-d4" and row.at > since] == []
        assert [seen for seen in tries if not seen.right] == [] and made.wrong(tries=tries) == []
        made.sound()
