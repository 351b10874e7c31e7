"""Whether target/deps holds what deploy/requirements.txt names, for this processor and this Python. With `--note` says
that it does; else ends with 0 if so, and otherwise removes the folder and ends with 1."""

import hashlib
import platform
import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "target" / "deps"
STAMP = "built-for"


def kind(*, requirements: bytes) -> str:
    """What compiled parts depend on, and what was asked for."""
    return f"{platform.machine()} {sys.implementation.cache_tag} {hashlib.sha256(requirements).hexdigest()}\n"


def is_current(*, folder: Path, wanted: str) -> bool:
    stamp = folder / STAMP
    return stamp.is_file() and stamp.read_text() == wanted


def main(words: list[str]) -> int:
    wanted = kind(requirements=(ROOT / "deploy" / "requirements.txt").read_bytes())
    if words == ["--note"]:
        (FOLDER / STAMP).write_text(wanted)
        return 0
    if is_current(folder=FOLDER, wanted=wanted):
        return 0
    shutil.rmtree(FOLDER, ignore_errors=True)
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
