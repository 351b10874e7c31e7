"""What both daemons' programs do alike: logging, signals, a drained stop."""

import logging as python_logging
import os
import signal
from collections.abc import Callable
from contextlib import AbstractContextManager
from datetime import timedelta
from typing import Any

from absl import flags, logging

from dockmux.accord.catalogue import Note
from dockmux.accord.host import LEVELS, Host
from dockmux.accord.record_log import RecordLogDamaged
from dockmux.accord.settings import BadSetting
from dockmux.accord.settings_type import Settings

FORMAT = "%(asctime)s %(levelname)s %(message)s"


def _reload(*, host: Host, settings: Settings, daemon: Any, again: Callable[[], Settings] | None) -> None:
    """Takes over what may change while a daemon runs: its seeds. The rest holds from the next start on."""
    try:
        fresh = again() if again is not None else settings
    except BadSetting as error:
        host.log(Note.SETTINGS_BAD, error=error)
        return
    daemon.peers.seeds = list(fresh.seeds)
    host.log(Note.SETTINGS_READ, seeds=",".join(fresh.seeds))


def run(
    *, host: Host, settings: Settings, running: AbstractContextManager[Any],
    again: Callable[[], Settings] | None = None,
) -> int:  # fmt: skip
    """Runs a daemon until SIGTERM or SIGINT, lets it drain, and gives the exit code. SIGHUP has it read its settings
    `again`."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(python_logging.Formatter(FORMAT))
    logging.set_verbosity(LEVELS[settings.log_level.value])
    asked: list[int] = []

    def note(number: int, _: object) -> None:
        asked.append(number)

    changed: list[int] = []

    def note_change(number: int, _: object) -> None:
        changed.append(number)

    signal.signal(signal.SIGTERM, note)
    signal.signal(signal.SIGINT, note)
    signal.signal(signal.SIGHUP, note_change)
    try:
        with running as daemon:
            while not asked:
                host.sleep(wait=timedelta(milliseconds=100))
                if changed:
                    changed.clear()
                    _reload(host=host, settings=settings, daemon=daemon, again=again)
            limit = host.elapsed() + timedelta(milliseconds=settings.drainMs)
            open_count = daemon.drain()
            host.log(Note.STOPPING, open=open_count)
            while daemon.drain() and host.elapsed() < limit:
                host.sleep(wait=timedelta(milliseconds=50))
            host.log(Note.STOPPED)
            logging.flush()
            # Streams of user agents that never end would hold up an orderly unwinding.
            os._exit(0)
    except RecordLogDamaged:
        return 3
    except OSError as error:
        host.log(Note.CANNOT_RUN, error=error)
        return 1
