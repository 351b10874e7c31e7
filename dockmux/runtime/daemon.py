"""The main loop shared by the daemons' programs: logging, signals, and a stop that drains open requests.

A daemon ends for two reasons: it was told to, or its stored state is damaged. Everything else is waited for.
"""

import contextlib
import os
import signal
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from datetime import timedelta
from typing import Any, NoReturn

from absl import flags, logging

from dockmux.runtime.file_calls import FILE_CALL_LIMIT, DiskUnresponsive
from dockmux.runtime.host import LEVELS, Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.log_output import process_log_output
from dockmux.runtime.memory_reserve import process_memory_reserve
from dockmux.runtime.record_log import RecordLogDamaged
from dockmux.runtime.settings import SettingsError
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_delay import process_task_delay
from dockmux.runtime.task_group import describe_error
from dockmux.runtime.time_units import to_ms

EXIT_STOPPED = 0
EXIT_DATA_DAMAGED = 3
POLL_INTERVAL = timedelta(milliseconds=50)
# Between two attempts to start, and to read settings.
RETRY_INTERVAL = timedelta(milliseconds=300)
DROPPED_LINES_REPORT_INTERVAL = timedelta(seconds=10)


def exit_process(*, code: int) -> NoReturn:
    """Ends the process without unwinding, which client streams that never end or a pending file call would block."""
    process_log_output.flush()
    os._exit(code)


def configure_logging(*, settings: Settings) -> None:
    """Sets the lowest level that is logged."""
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(LEVELS[settings.log_level.value])


class DaemonRunner:
    """Runs one daemon in this process. Invariants: `stop_requests` holds the times of SIGTERM and SIGINT, `hangups` the
    SIGHUPs that have not been acted upon; the daemon exists only while its context is open."""

    def __init__(
        self, *, host: Host, settings: Settings, reload_settings: Callable[[], Settings] | None, hangups: list[int]
    ) -> None:
        self.host = host
        self.settings = settings
        self.reload_settings = reload_settings
        self.stop_requests: list[timedelta] = []
        self.hangups = hangups
        self.reported_dropped = 0
        self.reported_at = host.elapsed()

    def install_signal_handlers(self) -> None:
        signal.signal(signal.SIGTERM, self._request_stop)
        signal.signal(signal.SIGINT, self._request_stop)
        signal.signal(signal.SIGHUP, self._note_hangup)

    def _request_stop(self, _number: int, _: object) -> None:
        self.stop_requests.append(self.host.elapsed())

    def _note_hangup(self, number: int, _: object) -> None:
        self.hangups.append(number)

    def run(self, *, start: Callable[[], AbstractContextManager[Any]]) -> NoReturn:
        """Starts the daemon, again and again if need be, and ends the process when it is told to, or with
        EXIT_DATA_DAMAGED."""
        while True:
            with self._releasing_memory():
                self._run_once(start=start)
            while not self._may_start_again():
                continue

    def _run_once(self, *, start: Callable[[], AbstractContextManager[Any]]) -> None:
        """Returns when the daemon has failed and is to be started anew."""
        try:
            with start() as daemon:
                self._serve(daemon=daemon)
        except RecordLogDamaged:
            exit_process(code=EXIT_DATA_DAMAGED)
        except DiskUnresponsive:
            self.host.log(LogEvent.DISK_UNRESPONSIVE, limitMs=to_ms(FILE_CALL_LIMIT))
        except Exception as error:
            self.host.log(LogEvent.START_FAILED, error=describe_error(error=error))

    @contextlib.contextmanager
    def _releasing_memory(self) -> Iterator[None]:
        """Being out of memory ends neither the main loop nor the process."""
        try:
            yield
        except MemoryError as error:
            process_memory_reserve.release()
            self.host.log(LogEvent.MEMORY_EXHAUSTED, error=error)

    def _may_start_again(self) -> bool:
        """Waits a little; whether a new daemon may then read the disk. Ends the process if it is told to stop."""
        with self._releasing_memory():
            self._sleep(wait=RETRY_INTERVAL)
            if self.stop_requests:
                self._exit_stopped(open_count=0)
            return self.host.resume_disk()
        return False

    def _serve(self, *, daemon: Any) -> NoReturn:
        while not self.stop_requests:
            self._sleep_checking_disk(wait=2 * POLL_INTERVAL)
            if self.hangups:
                self.hangups.clear()
                self._reload(daemon=daemon)
        limit = self.host.elapsed() + timedelta(milliseconds=self.settings.drainMs)
        open_count = daemon.drain()
        self.host.log(LogEvent.STOPPING, open=open_count)
        while open_count and self.host.elapsed() < limit:
            self._sleep_checking_disk(wait=POLL_INTERVAL)
            open_count = daemon.drain()
        self._exit_stopped(open_count=open_count)

    def _exit_stopped(self, *, open_count: int) -> NoReturn:
        after = self.host.elapsed() - self.stop_requests[0]
        self.host.log(LogEvent.STOPPED, afterMs=to_ms(after), open=open_count)
        exit_process(code=EXIT_STOPPED)

    def _reload(self, *, daemon: Any) -> None:
        """Applies the settings that may change while a daemon runs: the seeds. The others apply from the next start."""
        try:
            reloaded = self.reload_settings() if self.reload_settings is not None else self.settings
        except (SettingsError, MemoryError) as error:
            self.host.log(LogEvent.SETTINGS_REJECTED, error=error)
            return
        daemon.peers.seeds = list(reloaded.seeds)
        self.host.log(LogEvent.SETTINGS_RELOADED, seeds=",".join(reloaded.seeds))

    def _sleep_checking_disk(self, *, wait: timedelta) -> None:
        """Sleeps, then raises DiskUnresponsive if a file call has timed out: the daemon must not act on state that it
        can no longer store."""
        self._sleep(wait=wait)
        if self.host.disk_unresponsive:
            raise DiskUnresponsive("a file call has not returned")

    def _sleep(self, *, wait: timedelta) -> None:
        """Sleeps, reports lost log lines, and sets the memory reserve aside again."""
        with self._releasing_memory():
            process_task_delay.sleep(host=self.host, wait=wait)
            self.host.note_running(interval=wait)
            self._report_dropped_lines()
            process_memory_reserve.hold()

    def _report_dropped_lines(self) -> None:
        process_log_output.start_writing()
        now, dropped = self.host.elapsed(), process_log_output.dropped
        if dropped != self.reported_dropped and now - self.reported_at >= DROPPED_LINES_REPORT_INTERVAL:
            self.reported_dropped, self.reported_at = dropped, now
            self.host.log(LogEvent.LOG_LINES_DROPPED, count=dropped)


def run(
    *, host: Host, settings: Settings, start: Callable[[], AbstractContextManager[Any]],
    reload_settings: Callable[[], Settings] | None = None, pending_hangups: list[int] | None = None,
) -> NoReturn:  # fmt: skip
    """Runs the daemon whose context `start` opens until SIGTERM or SIGINT, drains it, and ends the process.

    SIGHUP calls `reload_settings`; `pending_hangups` holds the SIGHUPs received before this call.
    """
    configure_logging(settings=settings)
    process_memory_reserve.hold()
    hangups = [] if pending_hangups is None else pending_hangups
    runner = DaemonRunner(host=host, settings=settings, reload_settings=reload_settings, hangups=hangups)
    runner.install_signal_handlers()
    runner.run(start=start)
