"""Randomized model test of the control plane.

Hypothesis draws schedules of operator calls and faults; the real control daemons run them on simulated machines, and
the recorded history is checked against invariants.
"""

import sys
from pathlib import Path

_ADAPTER = str(Path(__file__).resolve().parent.parent.parent / "platform")
# Same as in tests/conftest.py, for the `python -m` commands, which run without pytest.
if _ADAPTER not in sys.path:
    sys.path.append(_ADAPTER)
