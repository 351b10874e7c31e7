"""Generates messages.py and settings_type.py from dockmux/schema, and docs/events.md from the log events."""

import subprocess
import sys
from pathlib import Path

from dockmux.runtime import log_events

SCHEMA_FOLDER = Path(__file__).resolve().parent.parent / "schema"
TARGETS = {"messages.yaml": "messages.py", "settings.yaml": "settings_type.py"}
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
    for source, target in TARGETS.items():
        command = [sys.executable, "-m", "datamodel_code_generator", *FLAGS]
        command += ["--input", str(SCHEMA_FOLDER / source), "--output", str(Path(__file__).parent / target)]
        subprocess.run(command, check=True)
    (SCHEMA_FOLDER.parent.parent / "docs" / "events.md").write_text(log_events.page())
    return 0


if __name__ == "__main__":
    sys.exit(main())
