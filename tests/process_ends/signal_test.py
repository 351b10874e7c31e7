"""Signals in series, and those that nobody sends on purpose."""

import random
import signal
import time

import pytest

from dockmux.runtime.process_setup import IGNORED_SIGNALS
from tests.process_ends.daemon_process import DaemonProcess, daemon, wait_until

SERIES = 300


@pytest.mark.parametrize("role", ("edge", "core"))
def test_stray_signals_and_hangups_in_series_end_nothing(tmp_path, role):
    """Guards against a daemon that a stray signal ends (FAULT)."""
    with daemon(role=role, folder=tmp_path) as process:
        rng = random.Random(1)
        for _ in range(SERIES):
            process.process.send_signal(rng.choice((*IGNORED_SIGNALS, signal.SIGHUP)))
            time.sleep(0.003)
        assert wait_until(condition=process.answers, limit_s=3)
        assert process.alive
        assert process.terminate() == 0


@pytest.mark.parametrize("role", ("edge", "core"))
@pytest.mark.parametrize("after_s", (0.15, 0.3, 0.5, 0.8))
def test_signals_at_the_moments_of_a_start_end_nothing_but_sigterm_does(tmp_path, role, after_s):
    """Guards against a daemon that a signal ends while it starts, and one that SIGTERM does not end then."""
    process = DaemonProcess(role=role, folder=tmp_path)
    process.write_settings()
    try:
        process.start()
        time.sleep(after_s)
        for number in (*IGNORED_SIGNALS, signal.SIGHUP) if after_s >= 0.3 else ():
            process.process.send_signal(number)
        assert process.terminate() in (0, -signal.SIGTERM)
    finally:
        process.stop()
