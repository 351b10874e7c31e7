"""Checks that target/deps holds the packages of deploy/requirements.txt for this processor and Python version. Exits
with 0 if so; otherwise removes the folder and exits with 1. With `--note`, records that the folder is current."""

import hashlib
import platform
import shutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FOLDER = ROOT / "target" / "deps"
STAMP = "built-for"


def build_stamp(*, requirements: bytes) -> str:
    """What compiled packages depend on, and the hash of the requirements."""
    return f"{platform.machine()} {sys.implementation.cache_tag} {hashlib.sha256(requirements).hexdigest()}\n"


def is_current(*, folder: Path, wanted: str) -> bool:
    """Whether the folder was built for the wanted stamp."""
    stamp = folder / STAMP
    return stamp.is_file() and stamp.read_text() == wanted


def main(arguments: list[str]) -> int:
    wanted = build_stamp(requirements=(ROOT / "deploy" / "requirements.txt").read_bytes())
    if arguments == ["--note"]:
        (FOLDER / STAMP).write_text(wanted)
        return 0
    if is_current(folder=FOLDER, wanted=wanted):
        return 0
    shutil.rmtree(FOLDER, ignore_errors=True)
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
