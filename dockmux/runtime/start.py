"""What a daemon waits for before it can start."""

import signal
from collections.abc import Callable
from typing import Any

from dockmux.runtime.daemon import EXIT_STOPPED, RETRY_INTERVAL, exit_process
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.settings import SettingsError

# An unusable settings file is logged at the first attempt and then once in so many.
ATTEMPTS_PER_LOG = 30


def wait_for_settings(*, read: Callable[[], Any]) -> Any:
    """What `read` returns, once it no longer raises SettingsError. SIGTERM and SIGINT end the process meanwhile."""
    host = Host(name="no name yet")
    stop_requests: list[int] = []

    def request_stop(number: int, _: object) -> None:
        stop_requests.append(number)

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    attempts = 0
    while not stop_requests:
        try:
            settings = read()
            # Until the main loop takes over, these signals end the process at once.
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            signal.signal(signal.SIGINT, signal.SIG_DFL)
            if not stop_requests:
                return settings
        except SettingsError as error:
            if attempts % ATTEMPTS_PER_LOG == 0:
                host.log(LogEvent.SETTINGS_UNUSABLE, error=error)
            attempts += 1
            host.sleep(wait=RETRY_INTERVAL)
    exit_process(code=EXIT_STOPPED)
