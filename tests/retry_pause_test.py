"""Retries with backoff while all engines refuse connections."""

import pytest

from dockmux.platform_proxy.connection_pool import ConnectionPool
from dockmux.platform_proxy.dispatcher import Dispatcher
from tests.standins.client import Attempt
from tests.standins.fleet import fleet

MAX_CONNECT_ATTEMPTS = 60


def _send_while_no_engine_runs(*, monkeypatch: pytest.MonkeyPatch, back_after: float | None) -> tuple[Attempt, int]:
    """Sends one request while no engine runs; the engines start again after `back_after` seconds, if at all.

    Returns the request's answer and the number of connection attempts."""
    connect_attempts = []
    connect = ConnectionPool._connect

    def counted(self: ConnectionPool, *, engine: str, address: str) -> object:
        connect_attempts.append(engine)
        return connect(self, engine=engine, address=address)

    with fleet(seed=17, phases="dd") as sim_fleet:
        for engine in ("i-d0", "i-d1"):
            sim_fleet.kill(name=engine)
        monkeypatch.setattr(ConnectionPool, "_connect", counted)
        request = sim_fleet.request(path="/notes/a", tokens_in=100)
        sim_fleet.client.start(edge=sim_fleet.edges[0], request=request)
        if back_after is not None:
            sim_fleet.sleep(seconds=back_after)
            for place, engine in enumerate(("i-d0", "i-d1")):
                sim_fleet.start_engine(engine=engine, phase="decode", zone=place, place=place + 1)
        sim_fleet.sleep(seconds=9)
        attempt = sim_fleet.client.attempts[-1]
        assert sim_fleet.violations(attempts=[attempt]) == []
        sim_fleet.assert_no_failures()
        return attempt, len(connect_attempts)


def test_a_request_that_reaches_no_engine_backs_off_between_attempts(monkeypatch: pytest.MonkeyPatch):
    attempt, connect_attempts = _send_while_no_engine_runs(monkeypatch=monkeypatch, back_after=None)
    assert attempt.refused
    assert 4 < connect_attempts < MAX_CONNECT_ATTEMPTS


def test_without_the_pause_connection_attempts_would_be_unbounded(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(Dispatcher, "_pause_before_retry", lambda self, *, record: None)
    _, connect_attempts = _send_while_no_engine_runs(monkeypatch=monkeypatch, back_after=None)
    assert connect_attempts > 100 * MAX_CONNECT_ATTEMPTS


def test_the_request_is_served_once_an_engine_is_back(monkeypatch: pytest.MonkeyPatch):
    attempt, _ = _send_while_no_engine_runs(monkeypatch=monkeypatch, back_after=0.5)
    assert attempt.is_correct
