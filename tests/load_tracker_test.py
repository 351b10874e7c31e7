"""LoadTracker: the load of each engine as reported by the other daemons."""

from datetime import timedelta

from dockmux.platform_proxy.load_tracker import PEER_LOAD_TTL, LoadTracker
from dockmux.runtime.time_units import ZERO, ms
from tests.standins.still import StillHost


def test_a_daemons_new_summary_replaces_the_previous_one():
    host = StillHost()
    load_tracker = LoadTracker(host=host)
    load_tracker.update_peer(daemon="a", works={"i-1": [400, 2], "i-2": [100, 1]})
    load_tracker.update_peer(daemon="b", works={"i-1": [50, 3]})
    assert (load_tracker.backlog(engine="i-1"), load_tracker.streams(engine="i-1")) == (ms(450), 5)
    load_tracker.update_peer(daemon="a", works={"i-3": [30, 1]})
    assert (load_tracker.backlog(engine="i-1"), load_tracker.streams(engine="i-1")) == (ms(50), 3)
    assert (load_tracker.backlog(engine="i-2"), load_tracker.streams(engine="i-2")) == (ZERO, 0)
    assert load_tracker.streams(engine="i-3") == 1


def test_reported_load_decays_and_expires():
    host = StillHost()
    load_tracker = LoadTracker(host=host)
    load_tracker.update_peer(daemon="a", works={"i-1": [400, 2]})
    host.pass_ms(200)
    assert load_tracker.backlog(engine="i-1") == ms(300)
    host.pass_ms(PEER_LOAD_TTL / ms(1))
    assert (load_tracker.backlog(engine="i-1"), load_tracker.streams(engine="i-1")) == (ZERO, 0)


def test_summaries_of_daemons_that_are_gone_are_dropped():
    host = StillHost()
    load_tracker = LoadTracker(host=host)
    for daemon in ("a", "b"):
        load_tracker.update_peer(daemon=daemon, works={"i-1": [100, 1]})
    load_tracker.forget(live={"b"})
    assert load_tracker.streams(engine="i-1") == 1
    load_tracker.forget(live=set())
    assert load_tracker.streams(engine="i-1") == 0 and not load_tracker.peer_loads and not load_tracker.peer_summaries


def test_local_load_counts_until_it_ends():
    load_tracker = LoadTracker(host=StillHost())
    with load_tracker.prefilling(engine="i-1", span=ms(80)), load_tracker.streaming(engine="i-1"):
        assert (load_tracker.backlog(engine="i-1"), load_tracker.streams(engine="i-1")) == (ms(80), 1)
        assert load_tracker.summary() == {"i-1": [80, 1]}
    assert load_tracker.backlog(engine="i-1") == timedelta() and load_tracker.summary() == {}
