"""A SIGHUP that comes while a daemon's program is still being loaded."""

import subprocess
import sys
from pathlib import Path

import pytest

PLATFORM = Path(__file__).resolve().parent.parent / "platform"
# The first of the program's other modules cannot be loaded: all that stands behind it has not been either.
PROGRAM = """
import os, signal, sys
sys.path.insert(0, {platform!r})
sys.modules["settings_file"] = None
try:
    import {program}
except ImportError:
    os.kill(os.getpid(), signal.SIGHUP)
    print("alive", sys.modules["hangup"].received)
"""


@pytest.mark.parametrize("program", ("edge", "core"))
def test_a_hangup_before_the_program_is_loaded_ends_nothing_and_is_noted(program):
    """Guards against a daemon that ends by itself since its settings changed while it started (PROCESS in the soak)."""
    told = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(platform=str(PLATFORM), program=program)], capture_output=True, text=True
    )
    assert told.returncode == 0 and told.stdout == "alive [1]\n", (told.returncode, told.stdout, told.stderr)
