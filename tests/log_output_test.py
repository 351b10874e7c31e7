"""The bounds of what is logged, and what is printed."""

import logging

import pytest

from dockmux.runtime import log_output
from dockmux.runtime.log_output import BURST_LINES, LINES_PER_SECOND, LineBudget, LogOutput, PrintedLines


class ManualSeconds:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def test_each_event_has_a_budget_of_its_own():
    seconds = ManualSeconds()
    budget = LineBudget(seconds=seconds)
    assert sum(budget.take(number=1013) for _ in range(1000)) == BURST_LINES
    assert budget.take(number=1001)
    seconds.now += 3
    assert sum(budget.take(number=1013) for _ in range(1000)) == 3 * LINES_PER_SECOND


def test_a_full_queue_drops_lines_and_counts_them():
    output = LogOutput()
    handler = log_output._QueueHandler(output=output)
    record = logging.makeLogRecord({"msg": "x"})
    for _ in range(log_output.MAX_QUEUED_LINES + 7):
        handler.enqueue(record)
    assert output.dropped == 7


@pytest.mark.parametrize("parts", [["one\n", "two\n"], ["o", "ne\ntw", "o\n"], ["one\n\n  \ntwo\n"]])
def test_printed_text_is_logged_line_by_line(monkeypatch, parts):
    lines = []
    monkeypatch.setattr(log_output, "_log_printed_line", lambda *, line: lines.append(line))
    stream = PrintedLines()
    for part in parts:
        assert stream.write(part) == len(part)
    assert lines == ["one", "two"]


def test_a_line_without_end_is_bounded(monkeypatch):
    monkeypatch.setattr(log_output, "_log_printed_line", lambda *, line: None)
    stream = PrintedLines()
    for _ in range(100):
        stream.write("x" * 10_000)
    assert len(stream.unfinished) <= log_output.MAX_LINE_CHARACTERS


def test_logging_that_prints_does_not_log_without_end(monkeypatch):
    stream = PrintedLines()
    lines = []

    def log(*, line: str) -> None:
        lines.append(line)
        stream.write("printed while logging\n")

    monkeypatch.setattr(log_output, "_log_printed_line", log)
    stream.write("one\n")
    assert lines == ["one"]
