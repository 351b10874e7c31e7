"""Model checking of the control plane: schedules of calls and faults, drawn by hypothesis, on real control daemons."""

import sys
from pathlib import Path

_ADAPTER = str(Path(__file__).resolve().parent.parent.parent / "platform")
# As tests/conftest.py does; here for the commands, which run without pytest.
if _ADAPTER not in sys.path:
    sys.path.append(_ADAPTER)
