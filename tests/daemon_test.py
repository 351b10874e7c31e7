"""How a daemon handles the signals that the platform sends."""

import contextlib
import os
import signal
from collections.abc import Iterator
from datetime import timedelta

import pytest

from dockmux.runtime import daemon
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.record_log import RecordLogDamaged
from dockmux.runtime.settings import SettingsError, check
from dockmux.runtime.settings_type import Settings


class Ended(BaseException):
    """Replaces the exit of the process, which nothing can catch."""


class Peers:
    def __init__(self) -> None:
        self.seeds = ["10.0.0.1:7000"]


class Daemon:
    """A daemon without functions. Invariant: `drained` says whether it was drained."""

    def __init__(self) -> None:
        self.peers = Peers()
        self.drained = False

    def drain(self) -> int:
        self.drained = True
        return 0


class SignalHost:
    """A host whose every sleep delivers the next signal; after the last one, SIGTERM."""

    def __init__(self, *, signals: list[int]) -> None:
        self.signals = signals
        self.logged: list[tuple[LogEvent, dict]] = []
        self.now = timedelta()
        self.disk_unresponsive = False
        self.disk_resumptions = 0

    def elapsed(self) -> timedelta:
        return self.now

    def sleep(self, *, wait: timedelta) -> None:
        self.now += wait
        os.kill(os.getpid(), self.signals.pop(0) if self.signals else signal.SIGTERM)

    def note_running(self, *, interval: timedelta) -> None:
        pass

    def resume_disk(self) -> bool:
        self.disk_unresponsive = False
        self.disk_resumptions += 1
        return True

    def log(self, log_event: LogEvent, **fields: object) -> None:
        self.logged.append((log_event, fields))


def settings(*, seeds: list[str]) -> Settings:
    return check(
        fields={"name": "a", "site": "s", "address": "10.0.0.9:7000", "http": "10.0.0.9:7001", "seeds": seeds}
    )  # fmt: skip


@pytest.fixture
def isolated_signals(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    def end(code: int) -> None:
        raise Ended(code)

    monkeypatch.setattr(os, "_exit", end)
    saved_handlers = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    # Without a handler a SIGHUP would end the test process.
    signal.signal(signal.SIGHUP, lambda *_: pytest.fail("SIGHUP is not handled"))
    yield
    for number, handler in saved_handlers.items():
        signal.signal(number, handler)


def run_daemon(
    *, signals: list[int], reload_settings: object, pending_hangups: list[int] | None = None
) -> tuple[SignalHost, Daemon]:
    host, stub = SignalHost(signals=signals), Daemon()
    with pytest.raises(Ended):
        daemon.run(
            host=host, settings=settings(seeds=["10.0.0.1:7000"]), start=lambda: contextlib.nullcontext(stub),
            reload_settings=reload_settings, pending_hangups=pending_hangups,
        )  # fmt: skip
    return host, stub


def test_sighup_reloads_the_settings_without_a_stop(isolated_signals: None) -> None:
    host, stub = run_daemon(
        signals=[signal.SIGHUP, signal.SIGHUP],
        reload_settings=lambda: settings(seeds=["10.0.0.2:7000", "10.0.0.3:7000"])
    )  # fmt: skip
    assert stub.peers.seeds == ["10.0.0.2:7000", "10.0.0.3:7000"] and stub.drained
    assert [log_event for log_event, _ in host.logged] == [
        LogEvent.SETTINGS_RELOADED, LogEvent.SETTINGS_RELOADED, LogEvent.STOPPING, LogEvent.STOPPED,
    ]  # fmt: skip


def test_a_sighup_received_before_the_run_reloads_the_settings(isolated_signals: None) -> None:
    """Guards against stale seeds after a SIGHUP during the start of a daemon."""
    host, stub = run_daemon(
        signals=[signal.SIGTERM], reload_settings=lambda: settings(seeds=["10.0.0.2:7000"]), pending_hangups=[1]
    )
    assert stub.peers.seeds == ["10.0.0.2:7000"] and host.logged[0][0] is LogEvent.SETTINGS_RELOADED


def test_a_daemon_with_an_unresponsive_disk_is_started_anew_in_its_process(isolated_signals: None) -> None:
    """Guards against a core that keeps running but can neither store nor vote (CONFIG), and against a process that ends
    by itself (FAULT): the first daemon is given up, and a second one starts once no file call is pending."""
    host, daemons = SignalHost(signals=[signal.SIGHUP, signal.SIGHUP, signal.SIGHUP]), [Daemon(), Daemon()]
    host.disk_unresponsive = True
    started: list[Daemon] = []

    def start() -> contextlib.AbstractContextManager[Daemon]:
        started.append(daemons[len(started)])
        return contextlib.nullcontext(started[-1])

    with pytest.raises(Ended) as ended:
        daemon.run(host=host, settings=settings(seeds=["10.0.0.1:7000"]), start=start)
    assert ended.value.args == (daemon.EXIT_STOPPED,) and host.disk_resumptions == 1
    assert started == daemons and not daemons[0].drained and daemons[1].drained
    assert host.logged[0][0] is LogEvent.DISK_UNRESPONSIVE


def test_a_daemon_that_waits_for_its_disk_ends_when_told_to(isolated_signals: None) -> None:
    """Guards against a core that cannot be stopped while a file call is pending."""
    host = SignalHost(signals=[signal.SIGHUP, signal.SIGHUP])
    host.disk_unresponsive = True
    host.resume_disk = lambda: False
    with pytest.raises(Ended) as ended:
        daemon.run(
            host=host, settings=settings(seeds=["10.0.0.1:7000"]), start=lambda: contextlib.nullcontext(Daemon())
        )
    assert ended.value.args == (daemon.EXIT_STOPPED,)
    assert [log_event for log_event, _ in host.logged] == [LogEvent.DISK_UNRESPONSIVE, LogEvent.STOPPED]


def test_damaged_state_ends_the_process_with_its_own_code(isolated_signals: None) -> None:
    """Guards against a core that goes on with damaged state, or starts again and again with it."""

    def start() -> contextlib.AbstractContextManager[Daemon]:
        raise RecordLogDamaged(0)

    with pytest.raises(Ended) as ended:
        daemon.run(host=SignalHost(signals=[]), settings=settings(seeds=["10.0.0.1:7000"]), start=start)
    assert ended.value.args == (daemon.EXIT_DATA_DAMAGED,)


def test_invalid_settings_are_not_applied(isolated_signals: None) -> None:
    def invalid() -> Settings:
        raise SettingsError("seeds: found nothing, allowed: a list of one to three addresses")

    host, stub = run_daemon(signals=[signal.SIGHUP], reload_settings=invalid)
    assert stub.peers.seeds == ["10.0.0.1:7000"]
    assert host.logged[0][0] is LogEvent.SETTINGS_REJECTED
