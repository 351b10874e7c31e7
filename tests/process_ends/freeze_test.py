"""Processes that are frozen for longer than their time limits."""

import threading
import time

import pytest

from tests.process_ends.daemon_process import CONTROL_PORT, DaemonProcess, daemon, wait_until

# Each file call takes this long, so that a freeze meets one.
SLOW_FILES = """
import datetime, os, time
from dockmux.runtime import file_calls
file_calls.FILE_CALL_LIMIT = datetime.timedelta(seconds={limit})
fsync = os.fsync
def slow_fsync(descriptor):
    time.sleep({duration})
    fsync(descriptor)
os.fsync = slow_fsync
"""
FILE_CALL_LIMIT_S = 2.0
FREEZE_S = 3.0
# Longer than the silence after which a peer counts as gone.
EDGE_FREEZE_S = 7.0


def put_versions(*, process: DaemonProcess, first: int, seconds: float, accepted: list[int]) -> None:
    end, version = time.monotonic() + seconds, first
    while time.monotonic() < end and process.alive:
        if process.put(version=version, timeout_s=FREEZE_S + 5) == 200:
            accepted.append(version)
            version += 1


@pytest.mark.parametrize("freezes", (1, 3))
def test_a_core_that_is_frozen_during_a_file_call_runs_on(tmp_path, freezes):
    """Guards against a core that ends with 4 although its disk was sound: it was not running itself (FAULT)."""
    setup = SLOW_FILES.format(limit=FILE_CALL_LIMIT_S, duration=0.4)
    with daemon(role="core", folder=tmp_path, setup=setup) as process:
        process.first_put()
        accepted: list[int] = []
        seconds = freezes * (FREEZE_S + 1.5) + 2
        operator = threading.Thread(
            target=put_versions,
            kwargs={"process": process, "first": 2, "seconds": seconds, "accepted": accepted}, daemon=True,
        )  # fmt: skip
        operator.start()
        for _ in range(freezes):
            time.sleep(1.1)
            process.freeze(seconds=FREEZE_S)
        before = len(accepted)
        operator.join(timeout=seconds + FREEZE_S + 10)
        assert process.alive, (process.process.returncode, process.log_text)
        assert len(accepted) > before, "changes are accepted again"
        assert process.terminate() == 0


def test_a_frozen_edge_runs_on_and_tells_its_pause(tmp_path):
    """Guards against an edge that judges others by the time in which it did not run itself."""
    with daemon(role="core", folder=tmp_path) as core:
        core.first_put()
        seeds, ports = core.address(place=CONTROL_PORT), core.lines["port_range"]
        with daemon(role="edge", folder=tmp_path, seeds=seeds, port_range=ports) as edge:
            assert wait_until(condition=lambda: edge.metric(name="peers") == 1, limit_s=10)
            time.sleep(1)
            edge.freeze(seconds=EDGE_FREEZE_S)
            assert wait_until(condition=edge.answers, limit_s=2)
            assert edge.metric(name="peers") == 1
            assert EDGE_FREEZE_S - 1 < edge.metric(name="paused_seconds") < EDGE_FREEZE_S + 2
            assert "[1004]" not in edge.log_text and edge.terminate() == 0
