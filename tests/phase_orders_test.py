"""Orders that move engines between the prefill and decode phases."""

from tests.standins.fleet import SECOND, Fleet, fleet

PATHS = ("/notes/a", "/check/c", "/once/b")


def _overload(*, sim_fleet: Fleet, seconds: float, zones: tuple[int, ...] = (0, 1, 2)) -> list:
    """Sends only long prompts, more than one prefill engine can process in time."""
    for engine in sim_fleet.engines.values():
        if hasattr(engine, "tokens_per_ms"):
            engine.tokens_per_ms = 20
    return sim_fleet.send_load(
        paths=PATHS, per_second=8, seconds=seconds, tokens_in=14_000, prefix_blocks="", zones=zones
    )


def test_overloaded_prefill_gets_one_more_engine_without_errors():
    with fleet(seed=51, phases="pddddd") as sim_fleet:
        sim_fleet.sleep(seconds=4)
        attempts = _overload(sim_fleet=sim_fleet, seconds=6)
        accepted = [fields for _, _, fields in sim_fleet.record.orders if fields["phase"] == "prefill"]
        assert accepted and sim_fleet.violations(attempts=attempts) == []
        assert [attempt for attempt in attempts if not attempt.is_correct and not attempt.refused] == []
        sim_fleet.assert_no_failures()


def test_orders_of_a_killed_head_and_its_successor_do_not_conflict():
    with fleet(seed=52, phases="pddddddd") as sim_fleet:
        sim_fleet.sleep(seconds=4)
        # Overloaded only briefly, so that engines remain that can be moved after the kill.
        attempts = _overload(sim_fleet=sim_fleet, seconds=1.5)
        before = len(sim_fleet.record.orders)
        sim_fleet.kill(name=sim_fleet.head())
        attempts += _overload(sim_fleet=sim_fleet, seconds=10)
        assert before and len(sim_fleet.record.orders) > before
        assert len({fields["owner"] for _, _, fields in sim_fleet.record.orders}) == 2
        assert sim_fleet.violations(attempts=attempts) == []
        sim_fleet.assert_no_failures()


def test_no_orders_are_sent_under_light_load():
    with fleet(seed=53) as sim_fleet:
        sim_fleet.send_load(paths=PATHS, per_second=3, seconds=8, tokens_in=1000)
        assert sim_fleet.record.orders == []
        assert sim_fleet.world.now() > 8 * SECOND
