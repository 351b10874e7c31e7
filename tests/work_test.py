"""What lies at each engine, as the other daemons told it."""

from datetime import timedelta

from dockmux.platform_proxy.load_tracker import TOLD_FOR, LoadTracker
from dockmux.runtime.time_units import ZERO, ms
from tests.standins.manual_clock_host import ManualClockHost


def test_each_daemons_last_word_replaces_the_one_before():
    host = ManualClockHost()
    load_tracker = LoadTracker(host=host)
    load_tracker.hear(daemon="a", works={"i-1": [400, 2], "i-2": [100, 1]})
    load_tracker.hear(daemon="b", works={"i-1": [50, 3]})
    assert (load_tracker.backlog(engine="i-1"), load_tracker.streams(engine="i-1")) == (ms(450), 5)
    load_tracker.hear(daemon="a", works={"i-3": [30, 1]})
    assert (load_tracker.backlog(engine="i-1"), load_tracker.streams(engine="i-1")) == (ms(50), 3)
    assert (load_tracker.backlog(engine="i-2"), load_tracker.streams(engine="i-2")) == (ZERO, 0)
    assert load_tracker.streams(engine="i-3") == 1


def test_a_word_fades_and_lapses():
    host = ManualClockHost()
    load_tracker = LoadTracker(host=host)
    load_tracker.hear(daemon="a", works={"i-1": [400, 2]})
    host.advance_ms(200)
    assert load_tracker.backlog(engine="i-1") == ms(300)
    host.advance_ms(TOLD_FOR / ms(1))
    assert (load_tracker.backlog(engine="i-1"), load_tracker.streams(engine="i-1")) == (ZERO, 0)


def test_daemons_that_are_gone_are_forgotten():
    host = ManualClockHost()
    load_tracker = LoadTracker(host=host)
    for daemon in ("a", "b"):
        load_tracker.hear(daemon=daemon, works={"i-1": [100, 1]})
    load_tracker.forget(live={"b"})
    assert load_tracker.streams(engine="i-1") == 1
    load_tracker.forget(live=set())
    assert load_tracker.streams(engine="i-1") == 0 and not load_tracker.told and not load_tracker.summaries


def test_own_work_counts_as_long_as_it_lasts():
    load_tracker = LoadTracker(host=ManualClockHost())
    with load_tracker.reading(engine="i-1", span=ms(80)), load_tracker.streaming(engine="i-1"):
        assert (load_tracker.backlog(engine="i-1"), load_tracker.streams(engine="i-1")) == (ms(80), 1)
        assert load_tracker.summary() == {"i-1": [80, 1]}
    assert load_tracker.backlog(engine="i-1") == timedelta() and load_tracker.summary() == {}
