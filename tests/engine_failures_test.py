"""Engines that crash or become unresponsive."""

import pytest

from dockmux.platform_proxy.engine_health import EngineHealth
from dockmux.runtime.time_units import ms
from tests.standins.fleet import SECOND, Fleet, fleet

PATHS = ("/notes/a", "/check/c")


def _set_unresponsive(*, made: Fleet, engine: str, how: str, unresponsive: bool) -> None:
    """The machine of a frozen engine process still accepts connections and receives bytes; an isolated machine does
    nothing."""
    host = made.hosts[engine]
    if how == "machine":
        host.machine.isolated = unresponsive
    elif unresponsive:
        host.freeze()
    else:
        host.thaw()


def _used(*, made: Fleet, engine: str, since: object) -> int:
    return sum(row.engine == engine and row.at > since for row in made.record.arrivals)


@pytest.mark.parametrize(("how", "engine"), [("machine", "i-p0"), ("machine", "i-d3"), ("process", "i-d3")])
def test_requests_avoid_an_unresponsive_engine_and_return_once_it_is_healthy(how, engine):
    with fleet(seed=31) as made:
        tries = made.load(paths=PATHS, per_second=9, seconds=2)
        assert _used(made=made, engine=engine, since=0 * SECOND)
        onset = made.world.now()
        _set_unresponsive(made=made, engine=engine, how=how, unresponsive=True)
        during = made.load(paths=PATHS, per_second=5, seconds=7)
        known = [seen for seen in during if seen.sent_at > onset + 3 * SECOND]
        slow = [seen for seen in known if not seen.right or seen.ended_at - seen.sent_at > 2 * SECOND]
        assert len(slow) <= len(known) // 15, f"{len(slow)} of {len(known)} were not served within 2 s"
        assert made.wrong(tries=tries + during) == []
        _set_unresponsive(made=made, engine=engine, how=how, unresponsive=False)
        recovered = made.world.now()
        # It may have become a prefill engine meanwhile, and the home of few of these prefixes.
        tries = made.load(paths=PATHS, per_second=4, seconds=16)
        assert _used(made=made, engine=engine, since=recovered + 8 * SECOND)
        assert [seen for seen in tries if not seen.right] == []
        made.sound()


@pytest.mark.parametrize("engine", ("i-p0", "i-d3"))
def test_requests_of_a_crashed_engine_continue_elsewhere_and_its_replacement_is_used(engine):
    with fleet(seed=32) as made:
        before = made.load(paths=PATHS, per_second=9, seconds=2)
        crashed = made.world.now()
        made.outside.spawn(task=_crash, made=made, engine=engine)
        during = made.load(paths=PATHS, per_second=9, seconds=4)
        assert [seen for seen in before + during if not seen.right] == []
        del made.list.rows[engine]
        made.start_engine(engine="i-fresh", phase="prefill" if engine == "i-p0" else "decode", zone=0, place=20)
        began = made.world.now()
        after = made.load(paths=PATHS, per_second=9, seconds=6)
        assert _used(made=made, engine="i-fresh", since=began)
        assert not _used(made=made, engine=engine, since=crashed + SECOND)
        assert [seen for seen in after if not seen.right] == []
        assert made.wrong(tries=before + during + after) == []
        made.sound()


def test_an_unanswered_prefill_is_repeated_elsewhere_in_time():
    """A prefill does not run the request: it may be repeated on every route, and 8 s are enough for that."""
    with fleet(seed=37) as made:
        made.load(paths=PATHS, per_second=9, seconds=2)
        made.hosts["i-p0"].freeze()
        tries = made.load(paths=(*PATHS, "/once/b"), per_second=9, seconds=4)
        held = [seen for seen in tries if not seen.right]
        assert made.wrong(tries=tries) == []
        assert held == [], f"{len(held)} of {len(tries)}: {[(seen.status, seen.error) for seen in held]}"


def _crash(*, made: Fleet, engine: str) -> None:
    """Kills the engine while it has open requests."""
    made.sleep(seconds=0.5)
    made.kill(name=engine)


@pytest.mark.parametrize("path", ("/once/b", "/write/d"))
def test_requests_at_a_crashed_engine_are_not_repeated_if_their_route_forbids_it(path):
    with fleet(seed=33, phases="d") as made:
        made.outside.spawn(task=_crash, made=made, engine="i-d0")
        tries = made.load(paths=(path,), per_second=30, seconds=1)
        assert made.wrong(tries=tries) == []
        assert any(not seen.right for seen in tries) and any(seen.right for seen in tries)
        made.sound()


def test_an_address_reused_by_another_service_gets_no_requests_of_the_former():
    """The list still shows the former engine for a while. A probe answered by another engine at its address does not
    make it healthy: answers name the instance."""
    with fleet(seed=34) as made:
        made.load(paths=PATHS, per_second=9, seconds=2)
        made.kill(name="i-d3")
        made.sleep(seconds=2)
        made.start_engine(engine="i-other", phase="decode", zone=0, place=4, service="other")
        since = made.world.now()
        tries = made.load(paths=PATHS, per_second=12, seconds=6)
        rows = [row for row in made.record.arrivals if row.engine == "i-other"]
        assert [row for row in rows if row.what in ("run", "read")] == []
        assert made.wrong(tries=tries) == []
        assert [seen for seen in tries if not seen.right and not seen.refused] == []
        made.sound()
        assert len([row for row in rows if row.at > since + 2 * SECOND]) <= 1


def test_when_health_is_ignored_requests_still_go_to_an_unresponsive_engine(monkeypatch):
    monkeypatch.setattr(EngineHealth, "is_failing", lambda self, *, engine: False)
    with fleet(seed=31) as made:
        _set_unresponsive(made=made, engine="i-p0", how="machine", unresponsive=True)
        tries = made.load(paths=PATHS, per_second=9, seconds=5)
        late = [seen for seen in tries if seen.sent_at > tries[0].sent_at + 3 * SECOND]
        assert any(not seen.right or seen.ended_at - seen.sent_at > ms(600) for seen in late)


def test_kv_cache_that_no_decode_engine_accepts_is_freed_at_once():
    with fleet(seed=35) as made:
        for engine in made.engines.values():
            engine.turning = engine.phase == "decode"
        made.load(paths=("/notes/a",), per_second=6, seconds=2, tokens_in=6000)
        made.sleep(seconds=0.5)
        read = [row for row in made.record.arrivals if row.what == "read"]
        assert read and made.record.memory == {} and len(made.record.freed) == len(read)
        made.sound()


def test_a_draining_daemon_is_not_ready_and_completes_its_open_requests():
    with fleet(seed=36) as made:
        edge = made.daemons["edge-0"]
        stopped = []

        def stop() -> None:
            made.sleep(seconds=1)
            edge.drain()
            stopped.append(made.world.now())

        made.outside.spawn(task=stop)
        tries = made.load(paths=("/notes/a", "/once/b"), per_second=10, seconds=3, zones=(0,), tokens_out=60)
        assert [seen for seen in tries if not seen.right] == []
        assert not made.is_ready(zone=0) and made.is_ready(zone=1)
        later = [seen for seen in tries if seen.sent_at > stopped[0]]
        assert later and all(seen.headers.get("connection") == "close" for seen in later)
        made.sleep(seconds=2)
        assert edge.drain() == 0
        made.sound()
