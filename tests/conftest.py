"""Puts the adapter's folder on the path: it is no package, since one of its name would hide the standard library's."""

import gc
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests import known_red

sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))


@pytest.fixture(autouse=True)
def _leave_ended_worlds_alone() -> Iterator[None]:
    """The simulator keeps each ended world for good; nothing is to be found in them by looking again and again."""
    yield
    gc.freeze()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    known_red.mark(items=items)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Names the tests of KNOWN-RED.txt that this run passed over."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"KNOWN RED, {outcome}: {report.nodeid}")
