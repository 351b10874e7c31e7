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


def stop(*, sim_fleet: Fleet, zone: int = 0) -> timedelta:
    """Drains the daemon as its program does at SIGTERM, and kills it after the drain time; returns when it was told to
    stop."""
    name = f"edge-{zone}"
    edge = sim_fleet.daemons[name]
    stopped_at = sim_fleet.world.now()
    limit = ms(edge.settings.drainMs)

    def drain() -> None:
        while edge.drain() and sim_fleet.world.now() - stopped_at < limit:
            sim_fleet.sleep(seconds=0.05)
        sim_fleet.kill(name=name)

    sim_fleet.outside.spawn(task=drain)
    return stopped_at


def send_on_one_connection(*, sim_fleet: Fleet, requests: list[Request], pause: timedelta) -> None:
    sim_fleet.outside.spawn(task=sim_fleet.client.send_many, edge=sim_fleet.edges[0], requests=requests, pause=pause)


def lost_requests(*, sim_fleet: Fleet, attempts: list[Attempt], stopped_at: timedelta) -> list[str]:
    """Requests without a complete answer that were sent later than `EXCUSED` after the stop, and that reached an engine
    or received part of an answer."""
    late = [attempt for attempt in attempts if attempt.sent_at > stopped_at + EXCUSED and not attempt.complete]
    return [
        f"{row.request.request_id}: sent {row.sent_at - stopped_at} after the stop, {row.status} {row.error}"
        for row in late
        if row.received or sim_fleet.record.arrivals_of(request_id=row.request.request_id)
    ]


def request(*, sim_fleet: Fleet, path: str, count: int, **fields: object) -> Request:
    return sim_fleet.request(path=path, tokens_out=count, tokens_in=100, **fields)


@pytest.mark.parametrize("path", ("/notes/a", "/once/b"))
def test_no_request_is_admitted_that_the_shutdown_would_cut_off(path):
    """Guards against requests on keep-alive connections admitted long after SIGTERM and then abandoned (LOST)."""
    with fleet(seed=51) as sim_fleet:
        pauses = [0.2, 1.0, 1.9, 2.4, 2.9, 3.0, 3.1, 3.3, 4.0, 4.7, 5.5, 6.3, 6.9, 7.1]
        for index, pause_s in enumerate([*pauses, *pauses]):
            first, second = (request(sim_fleet=sim_fleet, path=path, count=count) for count in (SHORT, FOUR_SECONDS))
            send_on_one_connection(sim_fleet=sim_fleet, requests=[first, second], pause=SECOND * pause_s + ms(index))
        sim_fleet.sleep(seconds=0.6)
        # These keep the daemon busy.
        for _ in range(3):
            send_on_one_connection(
                sim_fleet=sim_fleet, requests=[request(sim_fleet=sim_fleet, path=path, count=SIX_SECONDS)], pause=SECOND
            )
        sim_fleet.sleep(seconds=0.2)
        stopped_at = stop(sim_fleet=sim_fleet)
        sim_fleet.sleep(seconds=10)
        attempts = sim_fleet.client.attempts
        assert lost_requests(sim_fleet=sim_fleet, attempts=attempts, stopped_at=stopped_at) == []
        assert sim_fleet.violations(attempts=attempts) == []
        long = [attempt for attempt in attempts if attempt.request.tokens_out == SIX_SECONDS]
        assert len(long) == 3 and all(attempt.is_correct for attempt in long), "open requests are completed"
        early = [attempt for attempt in attempts if stopped_at < attempt.sent_at < stopped_at + 2 * SECOND]
        assert len(early) >= 3 and all(attempt.is_correct for attempt in early), (
            "requests are admitted while new connections may come"
        )
        sim_fleet.assert_no_failures()


def test_during_shutdown_every_answer_closes_its_connection():
    """Guards against clients that stay connected to a daemon which is about to exit (LOST)."""
    with fleet(seed=52) as sim_fleet:
        send_on_one_connection(
            sim_fleet=sim_fleet,
            requests=[request(sim_fleet=sim_fleet, path="/once/b", count=SIX_SECONDS)],
            pause=SECOND,
        )
        sim_fleet.sleep(seconds=0.3)
        stopped_at = stop(sim_fleet=sim_fleet)
        for wait in (0.5, 3.0, 1.5, 0.5):
            sim_fleet.sleep(seconds=wait)
            for path, fields in (("/once/b", {}), ("/nowhere/x", {}), ("/check/c", {"request_id": ""})):
                sim_fleet.client.send(
                    edge=sim_fleet.edges[0], request=request(sim_fleet=sim_fleet, path=path, count=SHORT, **fields)
                )
        attempts = [attempt for attempt in sim_fleet.client.attempts if attempt.sent_at > stopped_at]
        assert len(attempts) == 12 and all(attempt.complete for attempt in attempts)
        assert all(attempt.headers["connection"] == "close" for attempt in attempts)
        refused = [attempt for attempt in attempts if attempt.request.path == "/once/b" and attempt.status == 503]
        assert len(refused) == 3 and all("retry-after" in attempt.headers for attempt in refused)
        assert not any(sim_fleet.record.arrivals_of(request_id=attempt.request.request_id) for attempt in refused)
        sim_fleet.assert_no_failures()


def test_a_request_that_ends_before_the_process_is_still_admitted():
    """Guards against refusals that the shutdown does not require."""
    with fleet(seed=53) as sim_fleet:
        send_on_one_connection(
            sim_fleet=sim_fleet,
            requests=[request(sim_fleet=sim_fleet, path="/once/b", count=SIX_SECONDS)],
            pause=SECOND,
        )
        sim_fleet.sleep(seconds=0.3)
        stop(sim_fleet=sim_fleet)
        sim_fleet.sleep(seconds=4)
        attempt = sim_fleet.client.send(
            edge=sim_fleet.edges[0], request=request(sim_fleet=sim_fleet, path="/check/c", count=0, deadline=2 * SECOND)
        )
        assert attempt.is_correct
        sim_fleet.assert_no_failures()


def test_idle_connections_are_closed_before_the_process_ends():
    """Guards against requests that are sent just as the process ends (LOST)."""
    with fleet(seed=54) as sim_fleet:
        send_on_one_connection(
            sim_fleet=sim_fleet,
            requests=[request(sim_fleet=sim_fleet, path="/once/b", count=SIX_SECONDS)],
            pause=SECOND,
        )
        with sim_fleet.outside.connect(address=sim_fleet.edges[0], wait=SECOND) as idle:
            sim_fleet.sleep(seconds=0.3)
            stop(sim_fleet=sim_fleet)
            sim_fleet.sleep(seconds=2)
            assert not sim_fleet.outside.readable(sock=idle), (
                "closed before the platform has noticed that the daemon is not ready"
            )
            sim_fleet.sleep(seconds=1.5)
            assert sim_fleet.outside.readable(sock=idle) and idle.recv(10) == b""
        sim_fleet.assert_no_failures()


def test_requests_without_an_answer_get_a_final_one_before_the_process_ends():
    """Guards against closing a connection without an answer (LOST)."""
    with fleet(seed=55, phases="d") as sim_fleet:
        sim_fleet.hosts["i-d0"].freeze()
        for path in ("/once/b", "/write/d", "/check/c", "/notes/a"):
            send_on_one_connection(
                sim_fleet=sim_fleet, requests=[request(sim_fleet=sim_fleet, path=path, count=SHORT)], pause=SECOND
            )
        sim_fleet.sleep(seconds=0.3)
        stopped_at = stop(sim_fleet=sim_fleet)
        sim_fleet.sleep(seconds=9)
        statuses = {attempt.request.path: (attempt.status, attempt.complete) for attempt in sim_fleet.client.attempts}
        assert all(complete for _, complete in statuses.values()), statuses
        assert all(attempt.ended_at < stopped_at + GRACE_PERIOD for attempt in sim_fleet.client.attempts)
        assert sim_fleet.violations(attempts=sim_fleet.client.attempts) == []
