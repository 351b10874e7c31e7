"""Clients that disconnect while their requests are open."""

import dataclasses
from datetime import timedelta

import pytest

from dockmux.runtime.time_units import ms
from tests.standins.client import Request
from tests.standins.engine import Arrival
from tests.standins.fleet import SECOND, Fleet, fleet

# Required limit: this long after its client has disconnected, a request is neither sent to an engine nor processed.
DISCONNECT_LIMIT = timedelta(milliseconds=500)
PATHS = ("/notes/a", "/once/b", "/check/c", "/write/d")
UNARY_PATHS = ("/check/c", "/write/d")


@dataclasses.dataclass(kw_only=True)
class Departure:
    """One client that disconnects before its answer is complete."""

    request_id: str
    disconnected_at: timedelta = timedelta()


def disconnect(*, made: Fleet, request: Request, after: timedelta, departure: Departure) -> None:
    with made.outside.connect(address=made.edges[0], wait=SECOND) as stream:
        stream.sendall(request.to_bytes())
        made.outside.sleep(wait=after)
        departure.disconnected_at = made.world.now()


def disconnect_many(*, made: Fleet, paths: tuple[str, ...], count: int, after: timedelta) -> list[Departure]:
    """Starts `count` clients, 20 ms apart, each of which disconnects `after` it has sent its request."""
    departures = []
    for index in range(count):
        path = paths[index % len(paths)]
        request = made.request(path=path, tokens_out=0 if path in UNARY_PATHS else 40)
        departure = Departure(request_id=request.request_id)
        departures.append(departure)
        made.outside.spawn(task=disconnect, made=made, request=request, after=after, departure=departure)
        made.sleep(seconds=0.02)
    return departures


def slow_down(*, made: Fleet) -> None:
    """Lowers the prefill rate: longer prompts take about two seconds, shorter ones a sixth of a second."""
    for engine in made.engines.values():
        engine.tokens_per_ms = 8.0


def late_arrivals(*, made: Fleet, departures: list[Departure]) -> list[Arrival]:
    """Requests that reached an engine later than allowed after their clients had disconnected."""
    return [
        row
        for departure in departures
        for row in made.record.arrivals_of(request_id=departure.request_id)
        if row.at > departure.disconnected_at + DISCONNECT_LIMIT
    ]


def in_progress(*, made: Fleet, departures: list[Departure]) -> list[Arrival]:
    """Requests that engines are processing now."""
    return [
        row
        for departure in departures
        for row in made.record.arrivals_of(request_id=departure.request_id)
        if not (row.rejected or row.ended or row.sender_disconnected)
    ]


@pytest.mark.parametrize("slots", (64, 1))
def test_a_request_is_not_sent_after_its_client_has_disconnected(slots):
    """Guards against requests that are sent to an engine after their clients have disconnected (GONE)."""
    with fleet(seed=81, slots=slots) as made:
        slow_down(made=made)
        departures = disconnect_many(made=made, paths=PATHS, count=40, after=ms(300))
        made.sleep(seconds=8)
        late = late_arrivals(made=made, departures=departures)
        assert made.record.arrivals and late == [], f"{len(late)} were sent after their clients had disconnected"
        made.assert_no_failures()


@pytest.mark.parametrize("slots", (64, 1))
def test_engines_drop_prefills_and_queued_requests_of_disconnected_clients(slots):
    """Guards against engines that work for clients which disconnected before their answers began (GONE)."""
    with fleet(seed=82, slots=slots) as made:
        slow_down(made=made)
        departures = disconnect_many(made=made, paths=PATHS, count=24, after=ms(300))
        made.sleep(seconds=(ms(300) + DISCONNECT_LIMIT) / SECOND)
        still = in_progress(made=made, departures=departures)
        assert still == [], f"engines are processing {len(still)} requests whose clients have disconnected"
        made.assert_no_failures()


@pytest.mark.parametrize("path", UNARY_PATHS)
def test_a_stalled_answer_is_dropped_once_its_client_has_disconnected(path):
    """Guards against engines that work for clients which disconnected in the middle of an answer (GONE)."""
    with fleet(seed=83, phases="d") as made:
        made.faults.pause_in_plain = 4 * SECOND
        departures = disconnect_many(made=made, paths=(path,), count=5, after=ms(600))
        made.sleep(seconds=(ms(600) + DISCONNECT_LIMIT) / SECOND)
        still = in_progress(made=made, departures=departures)
        assert len(made.record.arrivals) == 5 and still == []
        made.assert_no_failures()


def test_a_client_that_disconnects_while_no_engine_is_reachable_is_not_served_later():
    """Guards against requests that still wait for an engine after their clients have disconnected (GONE)."""
    with fleet(seed=84, phases="dd") as made:
        for engine in ("i-d0", "i-d1"):
            made.kill(name=engine)
        departures = disconnect_many(made=made, paths=("/notes/a",), count=5, after=ms(400))
        made.sleep(seconds=1)
        for place, engine in enumerate(("i-d0", "i-d1")):
            made.start_engine(engine=engine, phase="decode", zone=place, place=place + 1)
        made.sleep(seconds=4)
        assert late_arrivals(made=made, departures=departures) == []
        made.assert_no_failures()


def test_cancelled_requests_do_not_mark_engines_as_failing():
    """Guards against healthy engines that are excluded because clients have disconnected (RECOVER)."""
    with fleet(seed=85) as made:
        slow_down(made=made)
        disconnect_many(made=made, paths=PATHS, count=40, after=ms(300))
        made.sleep(seconds=2)
        failing = [
            name for name, edge in made.daemons.items() if hasattr(edge, "engine_health") and edge.engine_health.rows
        ]
        assert failing == []
        made.assert_no_failures()


def test_the_kv_cache_of_a_disconnected_client_is_freed():
    """Guards against KV caches that stay allocated for prompts that nobody waits for."""
    with fleet(seed=86) as made:
        departures = disconnect_many(made=made, paths=("/notes/a",), count=30, after=ms(60))
        made.sleep(seconds=2)
        names = {departure.request_id for departure in departures}
        held = [handle for handle, (request_id, _) in made.record.kv_caches.items() if request_id in names]
        assert held == []
        made.assert_no_failures()


def test_a_client_that_pipelines_its_next_request_is_still_connected():
    """Guards against dropping an answer because more data followed its request."""
    with fleet(seed=87, phases="d") as made:
        slow_down(made=made)
        first, second = (made.request(path="/check/c", tokens_out=0) for _ in range(2))
        with made.outside.connect(address=made.edges[0], wait=SECOND) as stream:
            stream.sendall(first.to_bytes() + second.to_bytes())
            data = b""
            made.outside.spawn(task=stream.settimeout, seconds=9.0)
            while data.count(b"HTTP/1.1 200") < 2:
                piece = stream.recv(65536)
                assert piece, data
                data += piece
        assert first.expected_body() in data and second.expected_body() in data
        made.assert_no_failures()


@pytest.mark.parametrize("path", PATHS)
def test_a_client_that_closes_its_sending_side_counts_as_disconnected(path):
    """A half-closed connection cannot be told from a closed one, so both count as disconnected."""
    with fleet(seed=88, phases="d") as made:
        slow_down(made=made)
        request = made.request(path=path, tokens_out=0 if path in UNARY_PATHS else 40)
        with made.outside.connect(address=made.edges[0], wait=SECOND) as stream:
            stream.sendall(request.to_bytes())
            made.sleep(seconds=0.1)
            stream.shutdown(1)
            made.sleep(seconds=DISCONNECT_LIMIT / SECOND)
            assert stream.recv(65536).startswith(b"HTTP/1.1 504 ")
        (row,) = made.record.arrivals_of(request_id=request.request_id)
        assert row.sender_disconnected
        made.assert_no_failures()
