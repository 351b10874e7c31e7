"""Splitting a stream into complete server-sent events."""

import pytest

from dockmux.platform_proxy.events import Events
from tests.standins.engine import event, stream_body


def test_the_same_events_result_however_the_stream_is_split():
    data = stream_body(request_id="a", count=5)
    for size in range(1, len(data)):
        events = Events(last=None)
        chunks = [events.feed(data=data[place : place + size]) for place in range(0, len(data), size)]
        assert b"".join(chunks) == data and events.last == "5" and events.held == b""
        for chunk in chunks:
            assert chunk == b"" or chunk.endswith(b"\n\n")


def test_only_complete_events_are_returned():
    events = Events(last=None)
    assert events.feed(data=event(request_id="a", number=1) + b"id: 2\nda") == event(request_id="a", number=1)
    assert events.last == "1" and events.held == b"id: 2\nda"


def test_an_event_whose_id_does_not_increase_is_dropped():
    events = Events(last="3")
    assert events.feed(data=stream_body(request_id="a", count=5)) == stream_body(request_id="a", count=5, after=3)
    assert events.feed(data=event(request_id="a", number=5)) == b""
    assert events.last == "5"


@pytest.mark.parametrize("last", ("9", "99"))
def test_ids_are_compared_as_numbers(last):
    events = Events(last=last)
    fresh = event(request_id="a", number=int(last) + 1)
    assert events.feed(data=fresh) == fresh


@pytest.mark.parametrize(
    "data",
    [
        b"id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n",
        b"id:1\ndata: x\n\nid:2\ndata: y\n\n",
        b"x-weight-versions: 3\nid: 1\ndata: x\n\ndata: y\nid: 2\n\n",
        b": a comment\n\nid: 1\ndata: x\n\nid: 2\n\n",
    ],
)
def test_equivalent_event_syntax(data):
    for size in (1, 2, 7, 100):
        events = Events(last=None)
        out = b"".join(events.feed(data=data[place : place + size]) for place in range(0, len(data), size))
        assert out == data and events.last == "2"
