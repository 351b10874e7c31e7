"""A SIGHUP that arrives while a daemon's program is still being imported."""

import subprocess
import sys
from pathlib import Path

import pytest

PLATFORM = Path(__file__).resolve().parent.parent / "platform"
# The import of the program's first other module fails, so that none of the modules after it is imported.
PROGRAM = """
import os, signal, sys
sys.path.insert(0, {platform!r})
sys.modules["settings_file"] = None
try:
    import {program}
except ImportError:
    os.kill(os.getpid(), signal.SIGHUP)
    os.write(1, f"alive {{sys.modules['hangup'].received}}\\n".encode())
"""


@pytest.mark.parametrize("program", ("edge", "core"))
def test_a_hangup_during_import_does_not_end_the_daemon_and_is_noted(program):
    """Guards against a daemon that exits because its settings changed while it started (PROCESS in the soak)."""
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(platform=str(PLATFORM), program=program)], capture_output=True, text=True
    )
    assert result.returncode == 0 and result.stdout == "alive [1]\n", (result.returncode, result.stdout, result.stderr)
