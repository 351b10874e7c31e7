"""Orders that move engines between the prefill and decode phases."""

from tests.standins.fleet import SECOND, Fleet, fleet

PATHS = ("/notes/a", "/check/c", "/once/b")


def _overload(*, made: Fleet, seconds: float, zones: tuple[int, ...] = (0, 1, 2)) -> list:
    """Sends only long prompts, more than one prefill engine can process in time."""
    for engine in made.engines.values():
        if hasattr(engine, "tokens_per_ms"):
            engine.tokens_per_ms = 20
    return made.load(paths=PATHS, per_second=8, seconds=seconds, tokens_in=14_000, parts="", zones=zones)


def test_overloaded_prefill_gets_one_more_engine_without_errors():
    with fleet(seed=51, phases="pddddd") as made:
        made.sleep(seconds=4)
        tries = _overload(made=made, seconds=6)
        accepted = [fields for _, _, fields in made.record.orders if fields["phase"] == "prefill"]
        assert accepted and made.wrong(tries=tries) == []
        assert [seen for seen in tries if not seen.right and not seen.refused] == []
        made.sound()


def test_orders_of_a_killed_head_and_its_successor_do_not_conflict():
    with fleet(seed=52, phases="pddddddd") as made:
        made.sleep(seconds=4)
        # Overloaded only briefly, so that engines remain that can be moved after the kill.
        tries = _overload(made=made, seconds=1.5)
        before = len(made.record.orders)
        made.kill(name=made.head())
        tries += _overload(made=made, seconds=10)
        assert before and len(made.record.orders) > before
        assert len({fields["owner"] for _, _, fields in made.record.orders}) == 2
        assert made.wrong(tries=tries) == []
        made.sound()


def test_no_orders_are_sent_under_light_load():
    with fleet(seed=53) as made:
        made.load(paths=PATHS, per_second=3, seconds=8, tokens_in=1000)
        assert made.record.orders == []
        assert made.world.now() > 8 * SECOND
