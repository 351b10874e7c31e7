"""Engines that all refuse connections: a request tries them again, and not without a pause."""

import pytest

from dockmux.platform_proxy.connection_pool import ConnectionPool
from dockmux.platform_proxy.dispatcher import Dispatcher
from tests.standins.client import Seen
from tests.standins.fleet import fleet

TRIES_MOST = 60


def _send_while_no_engine_listens(*, monkeypatch: pytest.MonkeyPatch, back_after: float | None) -> tuple[Seen, int]:
    """One request while every engine's process is gone; the engines come back after so many seconds, if at all. Its
    answer, and how often a connection was tried."""
    tried = []
    fresh = ConnectionPool._connect

    def counted(self: ConnectionPool, *, engine: str, address: str) -> object:
        tried.append(engine)
        return fresh(self, engine=engine, address=address)

    with fleet(seed=17, phases="dd") as made:
        for engine in ("i-d0", "i-d1"):
            made.kill(name=engine)
        monkeypatch.setattr(ConnectionPool, "_connect", counted)
        request = made.request(path="/notes/a", tokens_in=100)
        made.client.start(edge=made.edges[0], request=request)
        if back_after is not None:
            made.sleep(seconds=back_after)
            for place, engine in enumerate(("i-d0", "i-d1")):
                made.start_engine(engine=engine, phase="decode", zone=place, place=place + 1)
        made.sleep(seconds=9)
        seen = made.client.tries[-1]
        assert made.wrong(tries=[seen]) == []
        made.sound()
        return seen, len(tried)


def test_a_request_that_reaches_no_engine_pauses_between_its_tries(monkeypatch: pytest.MonkeyPatch):
    seen, tried = _send_while_no_engine_listens(monkeypatch=monkeypatch, back_after=None)
    assert seen.refused
    assert 4 < tried < TRIES_MOST


def test_without_the_pause_it_would_try_without_end(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(Dispatcher, "_pause_before_retry", lambda self, *, record: None)
    _, tried = _send_while_no_engine_listens(monkeypatch=monkeypatch, back_after=None)
    assert tried > 100 * TRIES_MOST


def test_it_is_served_once_an_engine_is_back(monkeypatch: pytest.MonkeyPatch):
    seen, _ = _send_while_no_engine_listens(monkeypatch=monkeypatch, back_after=0.5)
    assert seen.right
