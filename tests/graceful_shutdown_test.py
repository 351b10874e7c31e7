"""Graceful shutdown of a data daemon whose clients keep using their connections."""

from datetime import timedelta

import pytest

from dockmux.runtime.time_units import ms
from tests.standins.client import Attempt, Request
from tests.standins.fleet import SECOND, Fleet, fleet

GRACE_PERIOD = 8 * SECOND
# Requests sent within this time after SIGTERM may be cut off if an engine still works on them near the end of the grace
# period.
EXCUSED = 3 * SECOND
# Events of a stream, at 8 ms each.
SHORT, FOUR_SECONDS, SIX_SECONDS = 4, 500, 750


def stop(*, made: Fleet, zone: int = 0) -> timedelta:
    """Drains the daemon as its program does at SIGTERM, and kills it after the drain time; returns when it was told to
    stop."""
    name = f"edge-{zone}"
    edge = made.daemons[name]
    stopped_at = made.world.now()
    limit = ms(edge.settings.drainMs)

    def drain() -> None:
        while edge.drain() and made.world.now() - stopped_at < limit:
            made.sleep(seconds=0.05)
        made.kill(name=name)

    made.outside.spawn(task=drain)
    return stopped_at


def send_on_one_connection(*, made: Fleet, requests: list[Request], pause: timedelta) -> None:
    made.outside.spawn(task=made.client.send_many, edge=made.edges[0], requests=requests, pause=pause)


def lost_requests(*, made: Fleet, attempts: list[Attempt], stopped_at: timedelta) -> list[str]:
    """Requests without a complete answer that were sent later than `EXCUSED` after the stop, and that reached an engine
    or received part of an answer."""
    late = [attempt for attempt in attempts if attempt.sent_at > stopped_at + EXCUSED and not attempt.complete]
    return [
        f"{row.request.request_id}: sent {row.sent_at - stopped_at} after the stop, {row.status} {row.error}"
        for row in late
        if row.received or made.record.arrivals_of(request_id=row.request.request_id)
    ]


def request(*, made: Fleet, path: str, count: int, **fields: object) -> Request:
    return made.request(path=path, tokens_out=count, tokens_in=100, **fields)


@pytest.mark.parametrize("path", ("/notes/a", "/once/b"))
def test_no_request_is_admitted_that_the_shutdown_would_cut_off(path):
    """Guards against requests on kept connections that are admitted long after SIGTERM and then abandoned (LOST)."""
    with fleet(seed=51) as made:
        pauses = [0.2, 1.0, 1.9, 2.4, 2.9, 3.0, 3.1, 3.3, 4.0, 4.7, 5.5, 6.3, 6.9, 7.1]
        for index, pause_s in enumerate([*pauses, *pauses]):
            first, second = (request(made=made, path=path, count=count) for count in (SHORT, FOUR_SECONDS))
            send_on_one_connection(made=made, requests=[first, second], pause=SECOND * pause_s + ms(index))
        made.sleep(seconds=0.6)
        # These keep the daemon busy.
        for _ in range(3):
            send_on_one_connection(made=made, requests=[request(made=made, path=path, count=SIX_SECONDS)], pause=SECOND)
        made.sleep(seconds=0.2)
        stopped_at = stop(made=made)
        made.sleep(seconds=10)
        attempts = made.client.attempts
        assert lost_requests(made=made, attempts=attempts, stopped_at=stopped_at) == []
        assert made.violations(attempts=attempts) == []
        long = [attempt for attempt in attempts if attempt.request.tokens_out == SIX_SECONDS]
        assert len(long) == 3 and all(attempt.is_correct for attempt in long), "open requests are completed"
        early = [attempt for attempt in attempts if stopped_at < attempt.sent_at < stopped_at + 2 * SECOND]
        assert len(early) >= 3 and all(attempt.is_correct for attempt in early), (
            "requests are admitted while new connections may come"
        )
        made.assert_no_failures()


def test_during_shutdown_every_answer_closes_its_connection():
    """Guards against clients that stay connected to a daemon which is about to exit (LOST)."""
    with fleet(seed=52) as made:
        send_on_one_connection(
            made=made, requests=[request(made=made, path="/once/b", count=SIX_SECONDS)], pause=SECOND
        )
        made.sleep(seconds=0.3)
        stopped_at = stop(made=made)
        for wait in (0.5, 3.0, 1.5, 0.5):
            made.sleep(seconds=wait)
            for path, fields in (("/once/b", {}), ("/nowhere/x", {}), ("/check/c", {"request_id": ""})):
                made.client.send(edge=made.edges[0], request=request(made=made, path=path, count=SHORT, **fields))
        attempts = [attempt for attempt in made.client.attempts if attempt.sent_at > stopped_at]
        assert len(attempts) == 12 and all(attempt.complete for attempt in attempts)
        assert all(attempt.headers["connection"] == "close" for attempt in attempts)
        refused = [attempt for attempt in attempts if attempt.request.path == "/once/b" and attempt.status == 503]
        assert len(refused) == 3 and all("retry-after" in attempt.headers for attempt in refused)
        assert not any(made.record.arrivals_of(request_id=attempt.request.request_id) for attempt in refused)
        made.assert_no_failures()


def test_a_request_that_ends_before_the_process_is_still_admitted():
    """Guards against refusals that the shutdown does not require."""
    with fleet(seed=53) as made:
        send_on_one_connection(
            made=made, requests=[request(made=made, path="/once/b", count=SIX_SECONDS)], pause=SECOND
        )
        made.sleep(seconds=0.3)
        stop(made=made)
        made.sleep(seconds=4)
        attempt = made.client.send(
            edge=made.edges[0], request=request(made=made, path="/check/c", count=0, deadline=2 * SECOND)
        )
        assert attempt.is_correct
        made.assert_no_failures()


def test_idle_connections_are_closed_before_the_process_ends():
    """Guards against requests that are sent just as the process ends (LOST)."""
    with fleet(seed=54) as made:
        send_on_one_connection(
            made=made, requests=[request(made=made, path="/once/b", count=SIX_SECONDS)], pause=SECOND
        )
        with made.outside.connect(address=made.edges[0], wait=SECOND) as idle:
            made.sleep(seconds=0.3)
            stop(made=made)
            made.sleep(seconds=2)
            assert not made.outside.readable(sock=idle), (
                "closed before the platform has noticed that the daemon is not ready"
            )
            made.sleep(seconds=1.5)
            assert made.outside.readable(sock=idle) and idle.recv(10) == b""
        made.assert_no_failures()


def test_requests_without_an_answer_get_a_final_one_before_the_process_ends():
    """Guards against closing a connection without an answer (LOST)."""
    with fleet(seed=55, phases="d") as made:
        made.hosts["i-d0"].freeze()
        for path in ("/once/b", "/write/d", "/check/c", "/notes/a"):
            send_on_one_connection(made=made, requests=[request(made=made, path=path, count=SHORT)], pause=SECOND)
        made.sleep(seconds=0.3)
        stopped_at = stop(made=made)
        made.sleep(seconds=9)
        statuses = {attempt.request.path: (attempt.status, attempt.complete) for attempt in made.client.attempts}
        assert all(whole for _, whole in statuses.values()), statuses
        assert all(attempt.ended_at < stopped_at + GRACE_PERIOD for attempt in made.client.attempts)
        assert made.violations(attempts=made.client.attempts) == []
