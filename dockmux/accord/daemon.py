"""What both daemons' programs do alike: logging, signals, a drained stop."""

import logging as python_logging
import os
import signal
from contextlib import AbstractContextManager
from datetime import timedelta
from typing import Any

from absl import flags, logging

from dockmux.accord.catalogue import Note
from dockmux.accord.host import LEVELS, Host
from dockmux.accord.ledger import LedgerDamaged
from dockmux.accord.settings_type import Settings

FORMAT = "%(asctime)s %(levelname)s %(message)s"


def run(*, host: Host, settings: Settings, running: AbstractContextManager[Any]) -> int:
    """Runs a daemon until SIGTERM or SIGINT, lets it drain, and gives the exit code."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(python_logging.Formatter(FORMAT))
    logging.set_verbosity(LEVELS[settings.log_level.value])
    asked: list[int] = []

    def note(number: int, _: object) -> None:
        asked.append(number)

    signal.signal(signal.SIGTERM, note)
    signal.signal(signal.SIGINT, note)
    try:
        with running as daemon:
            while not asked:
                host.sleep(wait=timedelta(milliseconds=100))
            limit = host.elapsed() + timedelta(milliseconds=settings.drainMs)
            open_count = daemon.drain()
            host.log(Note.STOPPING, open=open_count)
            while daemon.drain() and host.elapsed() < limit:
                host.sleep(wait=timedelta(milliseconds=50))
            host.log(Note.STOPPED)
            logging.flush()
            # Streams of user agents that never end would hold up an orderly unwinding.
            os._exit(0)
    except LedgerDamaged:
        return 3
    except OSError as error:
        host.log(Note.CANNOT_RUN, error=error)
        return 1
