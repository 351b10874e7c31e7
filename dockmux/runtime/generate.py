"""Makes messages.py and settings_type.py from dockmux/schema, and docs/events.md from the log catalogue."""

import subprocess
import sys
from pathlib import Path

from dockmux.runtime import log_events

SCHEMA = Path(__file__).resolve().parent.parent / "schema"
MADE = {"messages.yaml": "messages.py", "settings.yaml": "settings_type.py"}
FLAGS = [
    "--input-file-type", "jsonschema",
    "--output-model-type", "dataclasses.dataclass",
    "--target-python-version", "3.11",
    "--use-standard-collections",
    "--use-union-operator",
    "--use-schema-description",
    "--strict-nullable",
    "--keyword-only",
    "--frozen-dataclasses",
    "--disable-timestamp",
    "--disable-future-imports",
    "--no-formatters",
]  # fmt: skip


def main() -> int:
    for source, target in MADE.items():
        command = [sys.executable, "-m", "datamodel_code_generator", *FLAGS]
        command += ["--input", str(SCHEMA / source), "--output", str(Path(__file__).parent / target)]
        subprocess.run(command, check=True)
    (SCHEMA.parent.parent / "docs" / "events.md").write_text(log_events.page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
