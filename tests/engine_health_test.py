"""Which engines are left out, and for how long."""

from dockmux.platform_proxy.engine_health import MAX_PROBE_DELAY, OBSERVATION_TTL, PEER_RENEWAL_TIME, EngineHealth
from dockmux.runtime.log_events import LogEvent
from tests.standins.still import StillHost


def test_a_failure_leaves_an_engine_out_until_it_was_seen_well():
    host = StillHost()
    engine_health = EngineHealth(host=host)
    assert not engine_health.is_failing(engine="e") and engine_health.due_for_probe() == []
    engine_health.note_failure(engine="e", why="reset")
    assert engine_health.is_failing(engine="e") and engine_health.due_for_probe() == []
    host.pass_ms(1000)
    assert engine_health.is_failing(engine="e") and engine_health.due_for_probe() == ["e"]
    engine_health.note_success(engine="e")
    assert not engine_health.is_failing(engine="e") and engine_health.due_for_probe() == []
    assert host.logged == [LogEvent.ENGINE_FAILING, LogEvent.ENGINE_WELL]


def test_looks_come_at_growing_intervals_up_to_a_bound():
    host = StillHost()
    engine_health = EngineHealth(host=host)
    delays = []
    for _ in range(8):
        engine_health.note_failure(engine="e", why="silent")
        delays.append(engine_health.rows["e"].failing_until - host.elapsed())
        host.now = engine_health.rows["e"].failing_until
    assert delays[0] < delays[1] < delays[2] and max(delays) <= MAX_PROBE_DELAY * 1.2


def test_any_number_of_failures_in_a_row_is_borne():
    """A whole crowd of requests at one engine fails with it."""
    engine_health = EngineHealth(host=StillHost())
    for _ in range(2000):
        engine_health.note_failure(engine="e", why="reset")
    assert engine_health.is_failing(engine="e")


def test_failures_of_one_moment_count_once_for_the_wait():
    """Fifty requests that were at an engine when it broke off say no more than one of them."""
    host = StillHost()
    engine_health = EngineHealth(host=host)
    for _ in range(10):
        engine_health.note_failure(engine="e", why="reset")
    assert engine_health.rows["e"].failing_until - host.elapsed() < MAX_PROBE_DELAY * 0.5


def test_daemons_tell_each_other_and_the_later_sight_counts():
    one, two = StillHost(seed=1), StillHost(seed=2)
    here, there = EngineHealth(host=one), EngineHealth(host=two)
    here.note_failure(engine="e", why="reset")
    there.update_from_peer(summary=here.summary())
    assert there.is_failing(engine="e") and there.due_for_probe() == [] and there.summary() == {}
    two.pass_ms(500)
    old = here.summary()
    one.pass_ms(500)
    here.note_success(engine="e")
    there.update_from_peer(summary=here.summary())
    assert not there.is_failing(engine="e")
    # A word that was under way for long does not bring the older sight back.
    two.pass_ms(50)
    one.pass_ms(50)
    there.update_from_peer(summary={"e": [old["e"][0], old["e"][1] + 550, 0]})
    assert not there.is_failing(engine="e")


def test_a_sight_of_a_daemon_that_is_gone_lapses():
    host = StillHost()
    engine_health = EngineHealth(host=host)
    engine_health.update_from_peer(summary={"e": [0, 10, 500]})
    assert engine_health.is_failing(engine="e")
    host.now += PEER_RENEWAL_TIME
    assert engine_health.is_failing(engine="e")
    host.pass_ms(501)
    assert not engine_health.is_failing(engine="e")


def test_what_is_told_is_forgotten_in_time_but_not_while_the_engine_fails_here():
    host = StillHost()
    engine_health = EngineHealth(host=host)
    engine_health.note_failure(engine="e", why="reset")
    engine_health.note_success(engine="e")
    host.now += OBSERVATION_TTL
    assert engine_health.summary() == {} and engine_health.rows == {}
    engine_health.note_failure(engine="gone", why="reset")
    engine_health.forget(engines={"other"})
    assert engine_health.rows == {}
