"""The one path of a daemon's log lines to standard error: a bounded queue, and a thread that writes.

A log that is full, closed or not read costs log lines and nothing else: no call here blocks or raises. What libraries
print is logged on the same path.
"""

import atexit
import contextlib
import io
import logging
import logging.handlers
import os
import queue
import sys
import threading
import time
from collections.abc import Callable, Iterator

STDERR_DESCRIPTOR = 2
MAX_QUEUED_LINES = 2000
MAX_LINE_CHARACTERS = 2000
LINE_FORMAT = "%(asctime)s %(levelname)s %(message)s"
# Lines of one event: so many at once, and so many a second after that.
BURST_LINES = 100
LINES_PER_SECOND = 10.0
FLUSH_POLL_S = 0.005
# How long the end of a process waits for its last lines.
EXIT_FLUSH_LIMIT_S = 0.5


class LineBudget:
    """Limits the lines of each event number, whoever causes them, so that no peer decides how much is logged.

    Invariant: `tokens` holds, for each number, how many lines it may log now and when that was reckoned.
    """

    def __init__(self, *, seconds: Callable[[], float] = time.monotonic) -> None:
        self.seconds = seconds
        self.tokens: dict[int, tuple[float, float]] = {}

    def take(self, *, number: int) -> bool:
        """Whether one more line of this event may be logged now."""
        now = self.seconds()
        left, reckoned_at = self.tokens.get(number, (float(BURST_LINES), now))
        left = min(left + (now - reckoned_at) * LINES_PER_SECOND, float(BURST_LINES))
        if left < 1:
            self.tokens[number] = (left, now)
            return False
        self.tokens[number] = (left - 1, now)
        return True


class _QueueHandler(logging.handlers.QueueHandler):
    """Puts lines into the queue; counts those for which there is no room."""

    def __init__(self, *, output: "LogOutput") -> None:
        super().__init__(output.queue)
        self.output = output

    def enqueue(self, record: logging.LogRecord) -> None:
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.output.dropped += 1

    def handleError(self, record: logging.LogRecord) -> None:
        self.output.dropped += 1


class _DescriptorHandler(logging.Handler):
    """Writes lines to standard error's descriptor, in the writing thread."""

    def __init__(self, *, output: "LogOutput") -> None:
        super().__init__()
        self.output = output

    def emit(self, record: logging.LogRecord) -> None:
        try:
            text = record.getMessage().replace("\n", "\\n")[:MAX_LINE_CHARACTERS]
            data = (text + "\n").encode("utf-8", "backslashreplace")
            while data:
                data = data[os.write(STDERR_DESCRIPTOR, data) :]
        except (OSError, MemoryError):
            self.output.dropped += 1

    def handleError(self, record: logging.LogRecord) -> None:
        self.output.dropped += 1


class LogOutput:
    """Invariant: `dropped` is the number of lines that were not written, for whatever reason."""

    def __init__(self) -> None:
        self.queue: queue.Queue[logging.LogRecord] = queue.Queue(maxsize=MAX_QUEUED_LINES)
        self.budget = LineBudget()
        self.dropped = 0
        self.listener: logging.handlers.QueueListener | None = None

    def install(self) -> None:
        """Makes this the only path: of all loggers, of standard output and of standard error."""
        _open_standard_descriptors()
        handler = _QueueHandler(output=self)
        handler.setFormatter(logging.Formatter(LINE_FORMAT))
        logging.raiseExceptions = False
        logging.getLogger().handlers[:] = [handler]
        sys.stdout = sys.stderr = PrintedLines()
        # The traceback of a program that cannot be imported comes last.
        atexit.register(self.flush, limit_s=EXIT_FLUSH_LIMIT_S)
        self.start_writing()

    def start_writing(self) -> None:
        """Starts the writing thread unless it runs; without memory for it lines wait, and are dropped at last."""
        if self.listener is not None:
            return
        listener = logging.handlers.QueueListener(self.queue, _DescriptorHandler(output=self))
        with contextlib.suppress(RuntimeError, MemoryError):
            listener.start()
            self.listener = listener

    def admits(self, *, number: int) -> bool:
        """Whether a line of this event may be logged; counts it as dropped if not."""
        if self.budget.take(number=number):
            return True
        self.dropped += 1
        return False

    @contextlib.contextmanager
    def counting_failures(self) -> Iterator[None]:
        """Counts a line as dropped if the enclosed logging call is out of memory."""
        try:
            yield
        except MemoryError:
            self.dropped += 1

    def flush(self, *, limit_s: float = EXIT_FLUSH_LIMIT_S) -> None:
        """Waits until all lines are written, for at most `limit_s`. Blocks the process: for its end only."""
        end = time.monotonic() + limit_s
        while self.queue.unfinished_tasks and time.monotonic() < end:
            time.sleep(FLUSH_POLL_S)


def _open_standard_descriptors() -> None:
    """Opens the null device where a standard stream is closed: the next socket would take its number, and log lines
    would be written into a connection."""
    for descriptor in range(STDERR_DESCRIPTOR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            with contextlib.suppress(OSError):
                os.open(os.devnull, os.O_RDWR)


class PrintedLines(io.TextIOBase):
    """Replaces standard output and standard error: what is printed, by libraries as a rule, is logged line by line."""

    def __init__(self) -> None:
        super().__init__()
        self.unfinished = ""
        self.logging_thread: int | None = None

    def writable(self) -> bool:
        return True

    def write(self, text: str) -> int:
        *lines, rest = (self.unfinished + text).split("\n")
        self.unfinished = rest[:MAX_LINE_CHARACTERS]
        for line in lines:
            if line.strip():
                self._log(line=line[:MAX_LINE_CHARACTERS])
        return len(text)

    def _log(self, *, line: str) -> None:
        # Logging that prints, in the same thread, would log without end.
        if self.logging_thread == threading.get_ident():
            return
        self.logging_thread = threading.get_ident()
        try:
            _log_printed_line(line=line)
        finally:
            self.logging_thread = None


def _log_printed_line(*, line: str) -> None:
    # Not imported above: log events are not needed before something is printed.
    from dockmux.runtime.log_events import LogEvent

    log_event = LogEvent.LIBRARY_OUTPUT
    if process_log_output.admits(number=log_event.number):
        logging.getLogger().warning("[%d] %s", log_event.number, log_event.text(line=line))


# A process has one standard error.
process_log_output = LogOutput()
