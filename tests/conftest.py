"""Puts the adapter's folder on the path: it is no package, since one of its name would hide the standard library's."""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
