"""Engine health: which engines are excluded after failures, and for how long."""

from dockmux.platform_proxy.engine_health import MAX_PROBE_DELAY, OBSERVATION_TTL, PEER_RENEWAL_TIME, EngineHealth
from dockmux.runtime.log_events import LogEvent
from tests.standins.still import StillHost


def test_a_failed_engine_is_excluded_until_it_is_observed_healthy():
    host = StillHost()
    engine_health = EngineHealth(host=host)
    assert not engine_health.is_failing(engine="e") and engine_health.due_for_probe() == []
    engine_health.note_failure(engine="e", why="reset")
    assert engine_health.is_failing(engine="e") and engine_health.due_for_probe() == []
    host.pass_ms(1000)
    assert engine_health.is_failing(engine="e") and engine_health.due_for_probe() == ["e"]
    engine_health.note_success(engine="e")
    assert not engine_health.is_failing(engine="e") and engine_health.due_for_probe() == []
    assert host.logged == [LogEvent.ENGINE_FAILING, LogEvent.ENGINE_RECOVERED]


def test_the_probe_delay_grows_up_to_a_maximum():
    host = StillHost()
    engine_health = EngineHealth(host=host)
    delays = []
    for _ in range(8):
        engine_health.note_failure(engine="e", why="silent")
        delays.append(engine_health.rows["e"].failing_until - host.elapsed())
        host.now = engine_health.rows["e"].failing_until
    assert delays[0] < delays[1] < delays[2] and max(delays) <= MAX_PROBE_DELAY * 1.2


def test_many_failures_in_a_row_cause_no_error():
    """All requests at an engine fail together with it."""
    engine_health = EngineHealth(host=StillHost())
    for _ in range(2000):
        engine_health.note_failure(engine="e", why="reset")
    assert engine_health.is_failing(engine="e")


def test_simultaneous_failures_count_once_for_the_probe_delay():
    """Fifty requests that fail with their engine are one failure of the engine."""
    host = StillHost()
    engine_health = EngineHealth(host=host)
    for _ in range(10):
        engine_health.note_failure(engine="e", why="reset")
    assert engine_health.rows["e"].failing_until - host.elapsed() < MAX_PROBE_DELAY * 0.5


def test_daemons_share_observations_and_the_later_one_counts():
    local_host, remote_host = StillHost(seed=1), StillHost(seed=2)
    local, remote = EngineHealth(host=local_host), EngineHealth(host=remote_host)
    local.note_failure(engine="e", why="reset")
    remote.update_from_peer(summary=local.summary())
    assert remote.is_failing(engine="e") and remote.due_for_probe() == [] and remote.summary() == {}
    remote_host.pass_ms(500)
    old_summary = local.summary()
    local_host.pass_ms(500)
    local.note_success(engine="e")
    remote.update_from_peer(summary=local.summary())
    assert not remote.is_failing(engine="e")
    # A delayed message does not restore the older observation.
    remote_host.pass_ms(50)
    local_host.pass_ms(50)
    remote.update_from_peer(summary={"e": [old_summary["e"][0], old_summary["e"][1] + 550, 0]})
    assert not remote.is_failing(engine="e")


def test_an_observation_of_a_daemon_that_is_gone_expires():
    host = StillHost()
    engine_health = EngineHealth(host=host)
    engine_health.update_from_peer(summary={"e": [0, 10, 500]})
    assert engine_health.is_failing(engine="e")
    host.now += PEER_RENEWAL_TIME
    assert engine_health.is_failing(engine="e")
    host.pass_ms(501)
    assert not engine_health.is_failing(engine="e")


def test_observations_expire_and_those_of_removed_engines_are_dropped():
    host = StillHost()
    engine_health = EngineHealth(host=host)
    engine_health.note_failure(engine="e", why="reset")
    engine_health.note_success(engine="e")
    host.now += OBSERVATION_TTL
    assert engine_health.summary() == {} and engine_health.rows == {}
    engine_health.note_failure(engine="gone", why="reset")
    engine_health.forget(engines={"other"})
    assert engine_health.rows == {}
