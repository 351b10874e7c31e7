"""Signals, as the platform sends them to a daemon."""

import contextlib
import os
import signal
from collections.abc import Iterator
from datetime import timedelta

import pytest

from dockmux.runtime import daemon
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.settings import BadSetting, check
from dockmux.runtime.settings_type import Settings


class Ended(Exception):
    """Stands for the end of the process."""


class Peers:
    def __init__(self) -> None:
        self.seeds = ["10.0.0.1:7000"]


class Daemon:
    """A daemon without anything in it. Invariant: `drained` says that it was told to stop."""

    def __init__(self) -> None:
        self.peers = Peers()
        self.drained = False

    def drain(self) -> int:
        self.drained = True
        return 0


class SignalHost:
    """A host on which each wait brings the next signal; after the last of them it is stopped."""

    def __init__(self, *, signals: list[int]) -> None:
        self.signals = signals
        self.logged: list[tuple[LogEvent, dict]] = []
        self.now = timedelta()
        self.disk_silent = False

    def elapsed(self) -> timedelta:
        return self.now

    def sleep(self, *, wait: timedelta) -> None:
        self.now += wait
        os.kill(os.getpid(), self.signals.pop(0) if self.signals else signal.SIGTERM)

    def log(self, log_event: LogEvent, **fields: object) -> None:
        self.logged.append((log_event, fields))


def settings(*, seeds: list[str]) -> Settings:
    return check(
        fields={"name": "a", "site": "s", "address": "10.0.0.9:7000", "http": "10.0.0.9:7001", "seeds": seeds}
    )  # fmt: skip


@pytest.fixture
def own_signals(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    def end(code: int) -> None:
        raise Ended(code)

    monkeypatch.setattr(os, "_exit", end)
    kept = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)}
    # What a process without a handler would do must not end the tests.
    signal.signal(signal.SIGHUP, lambda *_: pytest.fail("nobody heeds SIGHUP"))
    yield
    for number, handler in kept.items():
        signal.signal(number, handler)


def play(*, signals: list[int], again: object, changed: list[int] | None = None) -> tuple[SignalHost, Daemon]:
    host, made = SignalHost(signals=signals), Daemon()
    with pytest.raises(Ended):
        daemon.run(
            host=host, settings=settings(seeds=["10.0.0.1:7000"]), running=contextlib.nullcontext(made), again=again,
            changed=changed,
        )  # fmt: skip
    return host, made


def test_sighup_has_the_settings_read_again_and_ends_nothing(own_signals: None) -> None:
    host, made = play(
        signals=[signal.SIGHUP, signal.SIGHUP], again=lambda: settings(seeds=["10.0.0.2:7000", "10.0.0.3:7000"])
    )  # fmt: skip
    assert made.peers.seeds == ["10.0.0.2:7000", "10.0.0.3:7000"] and made.drained
    assert [log_event for log_event, _ in host.logged] == [
        LogEvent.SETTINGS_READ, LogEvent.SETTINGS_READ, LogEvent.STOPPING, LogEvent.STOPPED,
    ]  # fmt: skip


def test_a_sighup_from_before_is_heeded(own_signals: None) -> None:
    """Guards against seeds that stay as they were when a daemon began to start."""
    host, made = play(signals=[signal.SIGTERM], again=lambda: settings(seeds=["10.0.0.2:7000"]), changed=[1])
    assert made.peers.seeds == ["10.0.0.2:7000"] and host.logged[0][0] is LogEvent.SETTINGS_READ


def test_a_daemon_whose_disk_is_silent_ends_with_a_code_of_its_own(own_signals: None) -> None:
    """Guards against a core that lives on and can neither store nor vote (CONFIG)."""
    host, made = SignalHost(signals=[signal.SIGHUP]), Daemon()
    host.disk_silent = True
    with pytest.raises(Ended) as ended:
        daemon.run(host=host, settings=settings(seeds=["10.0.0.1:7000"]), running=contextlib.nullcontext(made))
    assert ended.value.args == (daemon.EXIT_DISK_SILENT,) and not made.drained
    assert [log_event for log_event, _ in host.logged] == [LogEvent.DISK_SILENT]


def test_a_changed_file_that_is_wrong_changes_nothing(own_signals: None) -> None:
    def wrong() -> Settings:
        raise BadSetting("seeds: found nothing, allowed: a list of one to three addresses")

    host, made = play(signals=[signal.SIGHUP], again=wrong)
    assert made.peers.seeds == ["10.0.0.1:7000"]
    assert host.logged[0][0] is LogEvent.SETTINGS_BAD
