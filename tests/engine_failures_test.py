"""Engines that crash or become unresponsive."""

import pytest

from dockmux.platform_proxy.engine_health import EngineHealth
from dockmux.runtime.time_units import ms
from tests.standins.fleet import SECOND, Fleet, fleet

PATHS = ("/notes/a", "/check/c")


def _set_unresponsive(*, sim_fleet: Fleet, engine: str, how: str, unresponsive: bool) -> None:
    """The machine of a frozen engine process still accepts connections and receives bytes; an isolated machine does
    nothing."""
    host = sim_fleet.hosts[engine]
    if how == "machine":
        host.machine.isolated = unresponsive
    elif unresponsive:
        host.freeze()
    else:
        host.thaw()


def _used(*, sim_fleet: Fleet, engine: str, since: object) -> int:
    return sum(row.engine == engine and row.at > since for row in sim_fleet.record.arrivals)


@pytest.mark.parametrize(("how", "engine"), [("machine", "i-p0"), ("machine", "i-d3"), ("process", "i-d3")])
def test_requests_avoid_an_unresponsive_engine_and_return_once_it_is_healthy(how, engine):
    with fleet(seed=31) as sim_fleet:
        attempts = sim_fleet.send_load(paths=PATHS, per_second=9, seconds=2)
        assert _used(sim_fleet=sim_fleet, engine=engine, since=0 * SECOND)
        onset = sim_fleet.world.now()
        _set_unresponsive(sim_fleet=sim_fleet, engine=engine, how=how, unresponsive=True)
        during = sim_fleet.send_load(paths=PATHS, per_second=5, seconds=7)
        known = [attempt for attempt in during if attempt.sent_at > onset + 3 * SECOND]
        slow = [
            attempt for attempt in known if not attempt.is_correct or attempt.ended_at - attempt.sent_at > 2 * SECOND
        ]
        assert len(slow) <= len(known) // 15, f"{len(slow)} of {len(known)} were not served within 2 s"
        assert sim_fleet.violations(attempts=attempts + during) == []
        _set_unresponsive(sim_fleet=sim_fleet, engine=engine, how=how, unresponsive=False)
        recovered = sim_fleet.world.now()
        # It may have become a prefill engine meanwhile, and the home of few of these prefixes.
        attempts = sim_fleet.send_load(paths=PATHS, per_second=4, seconds=16)
        assert _used(sim_fleet=sim_fleet, engine=engine, since=recovered + 8 * SECOND)
        assert [attempt for attempt in attempts if not attempt.is_correct] == []
        sim_fleet.assert_no_failures()


@pytest.mark.parametrize("engine", ("i-p0", "i-d3"))
def test_requests_of_a_crashed_engine_continue_elsewhere_and_its_replacement_is_used(engine):
    with fleet(seed=32) as sim_fleet:
        before = sim_fleet.send_load(paths=PATHS, per_second=9, seconds=2)
        crashed = sim_fleet.world.now()
        sim_fleet.outside.spawn(task=_crash, sim_fleet=sim_fleet, engine=engine)
        during = sim_fleet.send_load(paths=PATHS, per_second=9, seconds=4)
        assert [attempt for attempt in before + during if not attempt.is_correct] == []
        del sim_fleet.list.rows[engine]
        sim_fleet.start_engine(engine="i-fresh", phase="prefill" if engine == "i-p0" else "decode", zone=0, place=20)
        began = sim_fleet.world.now()
        after = sim_fleet.send_load(paths=PATHS, per_second=9, seconds=6)
        assert _used(sim_fleet=sim_fleet, engine="i-fresh", since=began)
        assert not _used(sim_fleet=sim_fleet, engine=engine, since=crashed + SECOND)
        assert [attempt for attempt in after if not attempt.is_correct] == []
        assert sim_fleet.violations(attempts=before + during + after) == []
        sim_fleet.assert_no_failures()


def test_an_unanswered_prefill_is_repeated_elsewhere_in_time():
    """A prefill does not run the request: it may be repeated on every route, and 8 s are enough for that."""
    with fleet(seed=37) as sim_fleet:
        sim_fleet.send_load(paths=PATHS, per_second=9, seconds=2)
        sim_fleet.hosts["i-p0"].freeze()
        attempts = sim_fleet.send_load(paths=(*PATHS, "/once/b"), per_second=9, seconds=4)
        failed = [attempt for attempt in attempts if not attempt.is_correct]
        assert sim_fleet.violations(attempts=attempts) == []
        assert failed == [], (
            f"{len(failed)} of {len(attempts)}: {[(attempt.status, attempt.error) for attempt in failed]}"
        )


def _crash(*, sim_fleet: Fleet, engine: str) -> None:
    """Kills the engine while it has open requests."""
    sim_fleet.sleep(seconds=0.5)
    sim_fleet.kill(name=engine)


@pytest.mark.parametrize("path", ("/once/b", "/write/d"))
def test_requests_at_a_crashed_engine_are_not_repeated_if_their_route_forbids_it(path):
    with fleet(seed=33, phases="d") as sim_fleet:
        sim_fleet.outside.spawn(task=_crash, sim_fleet=sim_fleet, engine="i-d0")
        attempts = sim_fleet.send_load(paths=(path,), per_second=30, seconds=1)
        assert sim_fleet.violations(attempts=attempts) == []
        assert any(not attempt.is_correct for attempt in attempts) and any(attempt.is_correct for attempt in attempts)
        sim_fleet.assert_no_failures()


def test_an_address_reused_by_another_service_gets_no_requests_of_the_former():
    """The list still shows the former engine for a while. A probe answered by another engine at its address does not
    make it healthy: answers name the instance."""
    with fleet(seed=34) as sim_fleet:
        sim_fleet.send_load(paths=PATHS, per_second=9, seconds=2)
        sim_fleet.kill(name="i-d3")
        sim_fleet.sleep(seconds=2)
        sim_fleet.start_engine(engine="i-other", phase="decode", zone=0, place=4, service="other")
        since = sim_fleet.world.now()
        attempts = sim_fleet.send_load(paths=PATHS, per_second=12, seconds=6)
        rows = [row for row in sim_fleet.record.arrivals if row.engine == "i-other"]
        assert [row for row in rows if row.what in ("run", "read")] == []
        assert sim_fleet.violations(attempts=attempts) == []
        assert [attempt for attempt in attempts if not attempt.is_correct and not attempt.refused] == []
        sim_fleet.assert_no_failures()
        assert len([row for row in rows if row.at > since + 2 * SECOND]) <= 1


def test_when_health_is_ignored_requests_still_go_to_an_unresponsive_engine(monkeypatch):
    monkeypatch.setattr(EngineHealth, "is_failing", lambda self, *, engine: False)
    with fleet(seed=31) as sim_fleet:
        _set_unresponsive(sim_fleet=sim_fleet, engine="i-p0", how="machine", unresponsive=True)
        attempts = sim_fleet.send_load(paths=PATHS, per_second=9, seconds=5)
        late = [attempt for attempt in attempts if attempt.sent_at > attempts[0].sent_at + 3 * SECOND]
        assert any(not attempt.is_correct or attempt.ended_at - attempt.sent_at > ms(600) for attempt in late)


def test_kv_cache_that_no_decode_engine_accepts_is_freed_at_once():
    with fleet(seed=35) as sim_fleet:
        for engine in sim_fleet.engines.values():
            engine.rejecting = engine.phase == "decode"
        sim_fleet.send_load(paths=("/notes/a",), per_second=6, seconds=2, tokens_in=6000)
        sim_fleet.sleep(seconds=0.5)
        read = [row for row in sim_fleet.record.arrivals if row.what == "read"]
        assert read and sim_fleet.record.kv_caches == {} and len(sim_fleet.record.freed) == len(read)
        sim_fleet.assert_no_failures()


def test_a_draining_daemon_is_not_ready_and_completes_its_open_requests():
    with fleet(seed=36) as sim_fleet:
        edge = sim_fleet.daemons["edge-0"]
        stopped = []

        def stop() -> None:
            sim_fleet.sleep(seconds=1)
            edge.drain()
            stopped.append(sim_fleet.world.now())

        sim_fleet.outside.spawn(task=stop)
        attempts = sim_fleet.send_load(
            paths=("/notes/a", "/once/b"), per_second=10, seconds=3, zones=(0,), tokens_out=60
        )
        assert [attempt for attempt in attempts if not attempt.is_correct] == []
        assert not sim_fleet.is_ready(zone=0) and sim_fleet.is_ready(zone=1)
        later = [attempt for attempt in attempts if attempt.sent_at > stopped[0]]
        assert later and all(attempt.headers.get("connection") == "close" for attempt in later)
        sim_fleet.sleep(seconds=2)
        assert edge.drain() == 0
        sim_fleet.assert_no_failures()
