"""What follows once an answer's head has come: first or resumed, success or failure, whole or cut (docs/sends.md)."""

import json
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from tests.standins.client import Seen
from tests.standins.engine import event, stream_body
from tests.standins.fleet import Fleet, fleet
from tests.standins.operator import configuration, packed

EVENTS = 12
TRIES = 3
STATUSES = (500, 504, 404, 301)
NONE, TEXT, BLANK_LINE = b"", b'{"error": "out of memory"}', b"the engine failed\n\n"
# Looks like the stream's next event.
LIKE_AN_EVENT = event(request_id="0", number=7)
BODIES = (NONE, TEXT, BLANK_LINE, LIKE_AN_EVENT)


@contextmanager
def fleet_of_three_tries() -> Iterator[Fleet]:
    """Three writing engines, requests that may be sent to all of them, and room in the budget for it."""
    with fleet(seed=41, phases="ddd", extra=1000) as made:
        fields = configuration(gen=2)
        for row in fields["rtab"]:
            row["tries"] = TRIES
        assert made.operator.put(text=packed(fields=fields), base=1) == 200, json.dumps(fields)
        made.sleep(seconds=2)
        yield made


def send(*, made: Fleet, sequence: list[str], path: str = "/notes/a", tokens_out: int = EVENTS) -> Seen:
    made.faults.sequence = list(sequence)
    seen = made.send(path=path, tokens_out=tokens_out, tokens_in=100)
    made.faults.sequence = []
    # Engines that were found failing are looked at again.
    made.sleep(seconds=1.5)
    return seen


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("chunked", (False, True))
def test_a_failure_met_while_a_stream_is_resumed_is_no_part_of_it(status, chunked):
    """Guards against a stream that ends as complete without its rest, or with a failure's body in it (ORDER)."""
    with fleet_of_three_tries() as made:
        made.faults.failure_status, made.faults.failure_chunked = status, chunked
        for body in BODIES:
            made.faults.failure_body = body
            resumed = send(made=made, sequence=["break off", "failure"])
            assert resumed.right, (body, resumed.status, resumed.whole, resumed.body)
            assert len(made.record.runs(request_id=resumed.request.request_id)) == TRIES
            given_up = send(made=made, sequence=["break off", "failure", "failure"])
            assert given_up.status == 200 and not given_up.whole, (body, given_up.body)
            own = stream_body(request_id=given_up.request.request_id, count=made.faults.after)
            assert given_up.body == own
            assert made.wrong(tries=[resumed, given_up]) == []
        made.sound()


@pytest.mark.parametrize("cut", (False, True))
def test_a_cut_failure_met_while_a_stream_is_resumed_is_no_part_of_it_either(cut):
    """Guards against a failure's beginning being joined to a stream (ORDER)."""
    with fleet_of_three_tries() as made:
        made.faults.failure_body, made.faults.failure_cut = LIKE_AN_EVENT * 4, cut
        seen = send(made=made, sequence=["break off", "failure"])
        assert seen.right and made.wrong(tries=[seen]) == []
        made.sound()


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("path", ("/notes/a", "/once/b", "/check/c", "/write/d"))
def test_a_first_failure_is_given_on_as_it_came(status, path):
    """Guards against another run's events under a failure's head, and a second run that nothing asks for (MIXED)."""
    with fleet_of_three_tries() as made:
        made.faults.failure_status = status
        for body in BODIES:
            for chunked in (False, True):
                made.faults.failure_body, made.faults.failure_chunked = body, chunked
                out = 0 if path.startswith(("/check/", "/write/")) else EVENTS
                seen = send(made=made, sequence=["failure"], path=path, tokens_out=out)
                (run,) = made.record.runs(request_id=seen.request.request_id)
                assert (seen.status, seen.body, seen.whole, seen.surplus) == (status, body, True, b"")
                assert seen.headers["x-seal"].startswith(run.engine + ".")
        made.sound()


def test_a_first_failure_that_is_cut_does_not_go_on_at_another_engine():
    """Guards against a failure's beginning and another run's rest in one answer (MIXED)."""
    with fleet_of_three_tries() as made:
        made.faults.failure_body, made.faults.failure_cut = BLANK_LINE * 4, True
        seen = send(made=made, sequence=["failure"])
        assert not seen.whole and len(made.record.runs(request_id=seen.request.request_id)) == 1
        made.sound()


def test_before_its_first_whole_event_a_stream_has_no_head_yet():
    """Guards against a stamp that is not that of the engine whose events follow it, and against a failure told by
    the server library: nothing had been given, so the outcome is the daemon's own (MIXED)."""
    with fleet_of_three_tries() as made:
        seen = send(made=made, sequence=["break off early"])
        last = made.record.runs(request_id=seen.request.request_id)[-1]
        assert seen.right and seen.headers["x-seal"].startswith(last.engine + ".")
        given_up = send(made=made, sequence=["break off early"] * TRIES)
        assert (given_up.status, given_up.whole) == (502, True), (given_up.status, given_up.body)
        made.sound()


def test_a_failure_makes_no_failing_engine_well():
    """Guards against work that goes back to an engine because it answered with one more failure."""
    with fleet_of_three_tries() as made:
        engine_health = made.daemons["edge-0"].engine_health
        seen = send(made=made, sequence=["failure"])
        (run,) = made.record.runs(request_id=seen.request.request_id)
        for engine in made.engines.values():
            engine.well = False
            engine_health.note_failure(engine=engine.engine, why="test")
        again = send(made=made, sequence=["failure"])
        assert again.status == 500
        assert all(engine_health.is_failing(engine=engine) for engine in made.engines)
        assert run.status == 500
