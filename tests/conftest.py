"""Shared pytest configuration.

Adds platform/ to the import path: it is no package, since a package of that name would hide the standard library's.
"""

import gc
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests import known_red

sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))


@pytest.fixture(autouse=True)
def _freeze_finished_worlds() -> Iterator[None]:
    """Excludes the simulated worlds of finished tests from garbage collection: the simulator keeps them for good, and
    scanning them again and again frees nothing."""
    yield
    gc.freeze()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red.mark(items=items)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Lists the tests of KNOWN-RED.txt whose results did not count in this run."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"KNOWN RED, {outcome}: {report.nodeid}")
