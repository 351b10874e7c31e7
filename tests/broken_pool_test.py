"""A real core process whose thread pool for file calls breaks, as after a reset of the pool's own connection."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import pytest

from tests.control.core_cluster import config_text
from tests.process_ends.daemon_process import free_ports

ROOT = Path(__file__).resolve().parent.parent
START_LIMIT_S = 20
# Time limit of a file call in this process; it is short because no disk stalls here.
FILE_CALL_LIMIT_S = 2
PROGRAM = """
import sys
sys.path[:0] = [{root!r}, {platform!r}]
import datetime, signal
import eventlet
from eventlet import tpool
from dockmux.runtime import file_calls
file_calls.FILE_CALL_LIMIT = datetime.timedelta(seconds={limit})
import core
if {breaks}:
    def break_pool():
        while not tpool._setup_already:
            eventlet.sleep(0.05)
        eventlet.sleep({after})
        tpool._rsock.shutdown(2)
    eventlet.spawn(break_pool)
sys.exit(core.main())
"""


def put(*, address: str, version: int) -> int:
    request = urllib.request.Request(
        f"http://{address}/dockmux/config/put", data=config_text(version=version), method="POST",
        headers={"Content-Type": "application/json", "X-Base-Version": str(version - 1)},
    )  # fmt: skip
    try:
        with urllib.request.urlopen(request, timeout=1) as response:
            return response.status
    except (OSError, ValueError):
        return 0


@contextlib.contextmanager
def single_core(*, folder: Path, breaks: bool):
    ip = "127.0.0.1"
    peer, control = free_ports(ip=ip, count=2)
    setting_lines = {
        "nodename": "core-a", "role": "core", "mclass": "core", "ip": ip, "az": "a", "rgn": "r",
        "port_range": f"{peer},{peer + 15}", "seeds": f"{ip}:{control}", "bootstrap": "true", "survive.nodes": "0",
        "listen.ctl": f"{ip}:{control}", "datadir": str(folder / "data"), "cloud.addr": f"{ip}:9",
    }  # fmt: skip
    settings = folder / "settings.conf"
    settings.write_text("".join(f"{name}={value}\n" for name, value in setting_lines.items()))
    program = PROGRAM.format(
        root=str(ROOT), platform=str(ROOT / "platform"), limit=FILE_CALL_LIMIT_S, breaks=breaks, after=2.0
    )
    with open(folder / "log", "wb") as log:
        process = subprocess.Popen(
            [sys.executable, "-c", program], env={**os.environ, "DOCKMUX_CONFIG": str(settings)}, stdout=log, stderr=log
        )
    try:
        yield process, f"{ip}:{control}"
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


@pytest.mark.parametrize("breaks", (True, False))
def test_a_core_whose_file_calls_never_return_starts_anew_and_stores_again(tmp_path, breaks):
    """Guards against a core process that keeps running but cannot store anything (CONFIG, Acks), and against one that
    ends by itself for it (FAULT)."""
    with single_core(folder=tmp_path, breaks=breaks) as (process, address):
        end, version = time.monotonic() + START_LIMIT_S, 1
        while time.monotonic() < end and process.poll() is None and version < 12:
            if put(address=address, version=version) == 200:
                version += 1
            time.sleep(0.5)
        log = (tmp_path / "log").read_text()
        assert process.poll() is None and version == 12, json.dumps({"version": version, "log": log})
        assert ("[3012]" in log) is breaks, log
