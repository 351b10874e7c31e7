"""Time in which this process did not run does not count against others."""

import eventlet
import pytest

from dockmux.runtime import running_time
from dockmux.runtime.running_time import RunningTime, RunningTimeLimit
from dockmux.runtime.time_units import ms

INTERVAL = ms(100)


class ManualSeconds:
    def __init__(self) -> None:
        self.now = 50.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def seconds() -> ManualSeconds:
    return ManualSeconds()


def observed(*, seconds: ManualSeconds, gaps_s: list[float]) -> RunningTime:
    measured = RunningTime(seconds=seconds)
    measured.observe(interval=INTERVAL)
    for gap_s in gaps_s:
        seconds.now += gap_s
        measured.observe(interval=INTERVAL)
    return measured


def test_short_gaps_are_no_pauses_and_long_ones_are(seconds):
    assert observed(seconds=seconds, gaps_s=[0.1, 0.3, 0.5]).paused_s == 0
    assert observed(seconds=seconds, gaps_s=[0.1, 3.1, 0.1]).paused_s == pytest.approx(3.0)


def test_a_pause_counts_before_it_is_observed(seconds):
    measured = observed(seconds=seconds, gaps_s=[0.1])
    seconds.now += 7.1
    assert measured.paused_until_now() == pytest.approx(7.0)


def test_without_observations_there_are_no_pauses(seconds):
    measured = RunningTime(seconds=seconds)
    seconds.now += 100
    assert measured.paused_until_now() == 0


def test_a_limit_that_is_due_after_a_pause_leaves_the_rest_of_its_time(monkeypatch, seconds):
    """Guards against a result that is there, and not looked at because its limit was due first."""
    measured = observed(seconds=seconds, gaps_s=[0.1])
    monkeypatch.setattr(running_time, "process_running_time", measured)
    with RunningTimeLimit(0.2):
        seconds.now += 30
        # The limit's timer is due in this sleep, and finds that the process has not run for its time.
        eventlet.sleep(0.25)
        measured.observe(interval=INTERVAL)


def test_a_limit_without_pauses_ends_its_block(monkeypatch, seconds):
    monkeypatch.setattr(running_time, "process_running_time", RunningTime(seconds=seconds))
    with pytest.raises(TimeoutError), RunningTimeLimit(0.01, TimeoutError()):
        eventlet.sleep(5)
