"""What both daemons' programs do alike: logging, signals, a drained stop."""

import logging as python_logging
import os
import signal
from collections.abc import Callable
from contextlib import AbstractContextManager
from datetime import timedelta
from typing import Any

from absl import flags, logging

from dockmux.runtime.file_calls import FILE_CALL_LIMIT, DiskSilent
from dockmux.runtime.host import LEVELS, Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.record_log import RecordLogDamaged
from dockmux.runtime.settings import BadSetting
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import to_ms

EXIT_CANNOT_RUN = 1
EXIT_DATA_DAMAGED = 3
EXIT_DISK_SILENT = 4
STEP = timedelta(milliseconds=50)
FORMAT = "%(asctime)s %(levelname)s %(message)s"


def _reload(*, host: Host, settings: Settings, daemon: Any, again: Callable[[], Settings] | None) -> None:
    """Takes over what may change while a daemon runs: its seeds. The rest holds from the next start on."""
    try:
        fresh = again() if again is not None else settings
    except BadSetting as error:
        host.log(LogEvent.SETTINGS_BAD, error=error)
        return
    daemon.peers.seeds = list(fresh.seeds)
    host.log(LogEvent.SETTINGS_READ, seeds=",".join(fresh.seeds))


def _wait(*, host: Host, wait: timedelta) -> None:
    """Waits, and ends the process at once if its disk has fallen silent: it must not act for a state that it can no
    longer store."""
    host.sleep(wait=wait)
    if host.disk_silent:
        _end_silent(host=host)


def _end_silent(*, host: Host) -> None:
    """Without unwinding: a file call that does not return would hold that up."""
    host.log(LogEvent.DISK_SILENT, limitMs=to_ms(FILE_CALL_LIMIT), code=EXIT_DISK_SILENT)
    logging.flush()
    os._exit(EXIT_DISK_SILENT)


def run(
    *, host: Host, settings: Settings, running: AbstractContextManager[Any],
    again: Callable[[], Settings] | None = None, changed: list[int] | None = None,
) -> int:  # fmt: skip
    """Runs a daemon until SIGTERM or SIGINT, lets it drain, and gives the exit code. SIGHUP has it read its settings
    `again`; `changed` has those signals that came before."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(python_logging.Formatter(FORMAT))
    logging.set_verbosity(LEVELS[settings.log_level.value])
    asked: list[timedelta] = []

    def note(_number: int, _: object) -> None:
        asked.append(host.elapsed())

    hangups = [] if changed is None else changed

    def note_change(number: int, _: object) -> None:
        hangups.append(number)

    signal.signal(signal.SIGTERM, note)
    signal.signal(signal.SIGINT, note)
    signal.signal(signal.SIGHUP, note_change)
    try:
        with running as daemon:
            while not asked:
                _wait(host=host, wait=2 * STEP)
                if hangups:
                    hangups.clear()
                    _reload(host=host, settings=settings, daemon=daemon, again=again)
            limit = host.elapsed() + timedelta(milliseconds=settings.drainMs)
            open_count = daemon.drain()
            host.log(LogEvent.STOPPING, open=open_count)
            while open_count and host.elapsed() < limit:
                _wait(host=host, wait=STEP)
                open_count = daemon.drain()
            host.log(LogEvent.STOPPED, afterMs=to_ms(host.elapsed() - asked[0]), open=open_count)
            logging.flush()
            # Streams of user agents that never end would hold up an orderly unwinding.
            os._exit(0)
    except RecordLogDamaged:
        return EXIT_DATA_DAMAGED
    except DiskSilent:
        _end_silent(host=host)
    except OSError as error:
        host.log(LogEvent.CANNOT_RUN, error=error)
    return EXIT_CANNOT_RUN
