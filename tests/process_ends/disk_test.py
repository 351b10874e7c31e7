"""Disks that refuse writes or hang, and state that is damaged or of an earlier start."""

import resource
import time

import pytest

from dockmux.runtime.daemon import EXIT_DATA_DAMAGED
from tests.process_ends.daemon_process import CONTROL_PORT, DaemonProcess, daemon, wait_until

UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
START_LIMIT_S = 10.0
FILE_CALL_LIMIT_S = 1.0
HANG_S = 3.0
# While the file exists, each sync waits.
HANGING_FILES = """
import datetime, os, time
from dockmux.runtime import file_calls
file_calls.FILE_CALL_LIMIT = datetime.timedelta(seconds={limit})
fsync = os.fsync
def hanging_fsync(descriptor):
    while os.path.exists({marker!r}):
        time.sleep(0.05)
    fsync(descriptor)
os.fsync = hanging_fsync
"""
FULL_FROM_THE_START = """
import resource
resource.setrlimit(resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))
"""


def refuse_writes(*, process: DaemonProcess, refuses: bool) -> None:
    """Every write to a file fails, the log's included."""
    limit = 0 if refuses else resource.RLIM_INFINITY
    resource.prlimit(process.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))


def puts(*, process: DaemonProcess, version: int) -> bool:
    return wait_until(condition=lambda: process.put(version=version) == 200, limit_s=START_LIMIT_S)


def test_a_core_whose_disk_refuses_writes_runs_on_and_stores_again(tmp_path):
    """Guards against a core that ends because its disk is full (FAULT), and one that stores nothing afterwards."""
    with daemon(role="core", folder=tmp_path) as process:
        process.first_put()
        refuse_writes(process=process, refuses=True)
        statuses = {process.put(version=2) for _ in range(6)}
        assert 200 not in statuses and process.alive
        assert process.answers()
        refuse_writes(process=process, refuses=False)
        assert puts(process=process, version=2), process.log_text
        assert process.terminate() == 0


@pytest.mark.parametrize("is_first_start", (True, False))
def test_a_core_whose_disk_refuses_writes_at_a_start_waits(tmp_path, is_first_start):
    """Guards against a core that ends with 1 because its disk is full when it starts (FAULT)."""
    if not is_first_start:
        with daemon(role="core", folder=tmp_path) as process:
            process.first_put()
            assert process.terminate() == 0
    process = DaemonProcess(role="core", folder=tmp_path, setup=FULL_FROM_THE_START)
    process.write_settings()
    try:
        process.start()
        assert not wait_until(condition=lambda: not process.alive, limit_s=2.0), process.process.returncode
        refuse_writes(process=process, refuses=False)
        assert wait_until(condition=process.answers, limit_s=START_LIMIT_S), process.log_text
        assert puts(process=process, version=1 if is_first_start else 2), process.log_text
        assert process.terminate() == 0
    finally:
        process.stop()


def test_a_core_whose_file_call_hangs_starts_anew_in_its_process(tmp_path):
    """Guards against a core that ends with 4, or never stores again, because its disk hung for a while (FAULT)."""
    marker = tmp_path / "hangs"
    setup = HANGING_FILES.format(limit=FILE_CALL_LIMIT_S, marker=str(marker))
    with daemon(role="core", folder=tmp_path, setup=setup) as process:
        process.first_put()
        marker.touch()
        assert process.put(version=2) != 200
        assert wait_until(condition=lambda: "[3012]" in process.log_text, limit_s=START_LIMIT_S), process.log_text
        time.sleep(HANG_S)
        assert process.alive
        marker.unlink()
        assert wait_until(condition=process.answers, limit_s=START_LIMIT_S), process.log_text
        # The hung change may be found on the disk or not: sent again as it was, it is taken once.
        assert puts(process=process, version=2) and puts(process=process, version=3), process.log_text
        assert process.terminate() == 0


def test_a_core_whose_file_call_hangs_ends_at_sigterm(tmp_path):
    """Guards against a core that cannot be stopped while its disk hangs."""
    marker = tmp_path / "hangs"
    setup = HANGING_FILES.format(limit=FILE_CALL_LIMIT_S, marker=str(marker))
    with daemon(role="core", folder=tmp_path, setup=setup) as process:
        process.first_put()
        marker.touch()
        process.put(version=2)
        assert process.terminate(limit_s=10) == 0
        marker.unlink()


def test_a_core_with_damaged_state_ends_with_its_own_code(tmp_path):
    """The one reason besides SIGTERM: acknowledged changes cannot be read any more."""
    with daemon(role="core", folder=tmp_path) as process:
        process.first_put()
        assert process.terminate() == 0
    chain = tmp_path / "data" / "chain"
    data = bytearray(chain.read_bytes())
    data[30] ^= 1
    chain.write_bytes(bytes(data))
    process = DaemonProcess(role="core", folder=tmp_path)
    process.write_settings()
    try:
        process.start()
        assert process.process.wait(timeout=START_LIMIT_S) == EXIT_DATA_DAMAGED
        assert "[3006]" in process.log_text
        assert process.call(place=CONTROL_PORT, path="/status")[0] == 0
    finally:
        process.stop()
