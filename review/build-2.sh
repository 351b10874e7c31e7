#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 6 to 10 use. They are plain Python of the standard library, so this
# only checks that they compile; it writes nothing into the repository.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common-2/*.py {6,7,8,9,10}/case.py <<'PY'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    if Path(name).is_file():
        compile(Path(name).read_text(), name, "exec")
        print(f"compiled {name}")
PY
