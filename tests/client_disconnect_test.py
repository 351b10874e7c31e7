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


def disconnect(*, sim_fleet: Fleet, request: Request, after: timedelta, departure: Departure) -> None:
    with sim_fleet.outside.connect(address=sim_fleet.edges[0], wait=SECOND) as stream:
        stream.sendall(request.to_bytes())
        sim_fleet.outside.sleep(wait=after)
        departure.disconnected_at = sim_fleet.world.now()


def disconnect_many(*, sim_fleet: Fleet, paths: tuple[str, ...], count: int, after: timedelta) -> list[Departure]:
    """Starts `count` clients, 20 ms apart, each of which disconnects `after` it has sent its request."""
    departures = []
    for index in range(count):
        path = paths[index % len(paths)]
        request = sim_fleet.request(path=path, tokens_out=0 if path in UNARY_PATHS else 40)
        departure = Departure(request_id=request.request_id)
        departures.append(departure)
        sim_fleet.outside.spawn(task=disconnect, sim_fleet=sim_fleet, request=request, after=after, departure=departure)
        sim_fleet.sleep(seconds=0.02)
    return departures


def slow_down(*, sim_fleet: Fleet) -> None:
    """Lowers the prefill rate: longer prompts take about two seconds, shorter ones a sixth of a second."""
    for engine in sim_fleet.engines.values():
        engine.tokens_per_ms = 8.0


def late_arrivals(*, sim_fleet: Fleet, departures: list[Departure]) -> list[Arrival]:
    """Requests that reached an engine later than allowed after their clients had disconnected."""
    return [
        row
        for departure in departures
        for row in sim_fleet.record.arrivals_of(request_id=departure.request_id)
        if row.at > departure.disconnected_at + DISCONNECT_LIMIT
    ]


def in_progress(*, sim_fleet: Fleet, departures: list[Departure]) -> list[Arrival]:
    """Requests that engines are processing now."""
    return [
        row
        for departure in departures
        for row in sim_fleet.record.arrivals_of(request_id=departure.request_id)
        if not (row.rejected or row.ended or row.sender_disconnected)
    ]


@pytest.mark.parametrize("slots", (64, 1))
def test_a_request_is_not_sent_after_its_client_has_disconnected(slots):
    """Guards against requests that are sent to an engine after their clients have disconnected (GONE)."""
    with fleet(seed=81, slots=slots) as sim_fleet:
        slow_down(sim_fleet=sim_fleet)
        departures = disconnect_many(sim_fleet=sim_fleet, paths=PATHS, count=40, after=ms(300))
        sim_fleet.sleep(seconds=8)
        late = late_arrivals(sim_fleet=sim_fleet, departures=departures)
        assert sim_fleet.record.arrivals and late == [], f"{len(late)} were sent after their clients had disconnected"
        sim_fleet.assert_no_failures()


@pytest.mark.parametrize("slots", (64, 1))
def test_engines_drop_prefills_and_queued_requests_of_disconnected_clients(slots):
    """Guards against engines that work for clients which disconnected before their answers began (GONE)."""
    with fleet(seed=82, slots=slots) as sim_fleet:
        slow_down(sim_fleet=sim_fleet)
        departures = disconnect_many(sim_fleet=sim_fleet, paths=PATHS, count=24, after=ms(300))
        sim_fleet.sleep(seconds=(ms(300) + DISCONNECT_LIMIT) / SECOND)
        unfinished = in_progress(sim_fleet=sim_fleet, departures=departures)
        assert unfinished == [], f"engines are processing {len(unfinished)} requests whose clients have disconnected"
        sim_fleet.assert_no_failures()


@pytest.mark.parametrize("path", UNARY_PATHS)
def test_a_stalled_answer_is_dropped_once_its_client_has_disconnected(path):
    """Guards against engines that work for clients which disconnected in the middle of an answer (GONE)."""
    with fleet(seed=83, phases="d") as sim_fleet:
        sim_fleet.faults.pause_in_plain = 4 * SECOND
        departures = disconnect_many(sim_fleet=sim_fleet, paths=(path,), count=5, after=ms(600))
        sim_fleet.sleep(seconds=(ms(600) + DISCONNECT_LIMIT) / SECOND)
        unfinished = in_progress(sim_fleet=sim_fleet, departures=departures)
        assert len(sim_fleet.record.arrivals) == 5 and unfinished == []
        sim_fleet.assert_no_failures()


def test_a_client_that_disconnects_while_no_engine_is_reachable_is_not_served_later():
    """Guards against requests that still wait for an engine after their clients have disconnected (GONE)."""
    with fleet(seed=84, phases="dd") as sim_fleet:
        for engine in ("i-d0", "i-d1"):
            sim_fleet.kill(name=engine)
        departures = disconnect_many(sim_fleet=sim_fleet, paths=("/notes/a",), count=5, after=ms(400))
        sim_fleet.sleep(seconds=1)
        for place, engine in enumerate(("i-d0", "i-d1")):
            sim_fleet.start_engine(engine=engine, phase="decode", zone=place, place=place + 1)
        sim_fleet.sleep(seconds=4)
        assert late_arrivals(sim_fleet=sim_fleet, departures=departures) == []
        sim_fleet.assert_no_failures()


def test_cancelled_requests_do_not_mark_engines_as_failing():
    """Guards against healthy engines that are excluded because clients have disconnected (RECOVER)."""
    with fleet(seed=85) as sim_fleet:
        slow_down(sim_fleet=sim_fleet)
        disconnect_many(sim_fleet=sim_fleet, paths=PATHS, count=40, after=ms(300))
        sim_fleet.sleep(seconds=2)
        failing = [
            name
            for name, edge in sim_fleet.daemons.items()
            if hasattr(edge, "engine_health") and edge.engine_health.rows
        ]
        assert failing == []
        sim_fleet.assert_no_failures()


def test_the_kv_cache_of_a_disconnected_client_is_freed():
    """Guards against KV caches that stay allocated for prompts that nobody waits for."""
    with fleet(seed=86) as sim_fleet:
        departures = disconnect_many(sim_fleet=sim_fleet, paths=("/notes/a",), count=30, after=ms(60))
        sim_fleet.sleep(seconds=2)
        names = {departure.request_id for departure in departures}
        allocated = [handle for handle, (request_id, _) in sim_fleet.record.kv_caches.items() if request_id in names]
        assert allocated == []
        sim_fleet.assert_no_failures()


def test_a_client_that_pipelines_its_next_request_is_still_connected():
    """Guards against dropping an answer because more data followed its request."""
    with fleet(seed=87, phases="d") as sim_fleet:
        slow_down(sim_fleet=sim_fleet)
        first, second = (sim_fleet.request(path="/check/c", tokens_out=0) for _ in range(2))
        with sim_fleet.outside.connect(address=sim_fleet.edges[0], wait=SECOND) as stream:
            stream.sendall(first.to_bytes() + second.to_bytes())
            data = b""
            sim_fleet.outside.spawn(task=stream.settimeout, seconds=9.0)
            while data.count(b"HTTP/1.1 200") < 2:
                piece = stream.recv(65536)
                assert piece, data
                data += piece
        assert first.expected_body() in data and second.expected_body() in data
        sim_fleet.assert_no_failures()


@pytest.mark.parametrize("path", PATHS)
def test_a_client_that_closes_its_sending_side_counts_as_disconnected(path):
    """A half-closed connection cannot be told from a closed one, so both count as disconnected."""
    with fleet(seed=88, phases="d") as sim_fleet:
        slow_down(sim_fleet=sim_fleet)
        request = sim_fleet.request(path=path, tokens_out=0 if path in UNARY_PATHS else 40)
        with sim_fleet.outside.connect(address=sim_fleet.edges[0], wait=SECOND) as stream:
            stream.sendall(request.to_bytes())
            sim_fleet.sleep(seconds=0.1)
            stream.shutdown(1)
            sim_fleet.sleep(seconds=DISCONNECT_LIMIT / SECOND)
            assert stream.recv(65536).startswith(b"HTTP/1.1 504 ")
        (row,) = sim_fleet.record.arrivals_of(request_id=request.request_id)
        assert row.sender_disconnected
        sim_fleet.assert_no_failures()
