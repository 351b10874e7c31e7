"""Whether a request is taken in, by what is reckoned of its first event and of its end."""

from datetime import timedelta

from dockmux.platform_proxy.admission import MARGIN, Admission, StreamPace
from dockmux.platform_proxy.placement import Pairing
from dockmux.platform_proxy.protocol_adapter import EngineEntry, RequestMetadata
from dockmux.platform_proxy.request_record import RequestRecord
from dockmux.platform_proxy.routes import Route, RunRule
from dockmux.runtime.time_units import ZERO, ms

NOW = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
SOON = ms(100)
SLOTS = 48
WRITER = EngineEntry(engine="i-1", service="s", address="a:1", zone="z", phase="decode", slots=SLOTS, leaving=False)


def record(
    *, tokens_out: int = 1000, timeout: timedelta = 8 * SECOND, first_event_timeout: timedelta = 3 * SECOND
) -> RequestRecord:
    route = Route(
        name="r", host="h", prefix="/", run=RunRule.ONCE, stream=True, timeout=timeout, ttft_target=SECOND, urgency=1,
        max_sends=1, service_weights=(("s", 1),), itl_target=ZERO, first_event_timeout=first_event_timeout,
    )  # fmt: skip
    metadata = RequestMetadata(
        request_id="x", deadline=None, model="m", tokens_in=1, tokens_out=tokens_out, prefix_blocks=(), last_event=None
    )  # fmt: skip
    return RequestRecord(
        key=1, metadata=metadata, route=route, service="s", method="POST", target="/", headers=(), body=b"", began=NOW,
        until=NOW + timeout,
    )  # fmt: skip


def pairing(*, expected: timedelta, wait: timedelta) -> Pairing:
    span = expected - wait
    return Pairing(
        prefill_engine=None, prefill_time=ZERO, decode_engine=WRITER, local_prefill_time=span, expected_ttft=expected,
        queue_wait=wait,
    )  # fmt: skip


def excess(
    *, made: Admission, asked: RequestRecord, expected: timedelta = SOON, wait: timedelta = SOON / 2, streams: int = 0
) -> timedelta:  # fmt: skip
    paired = pairing(expected=expected, wait=wait)
    return made.excess(record=asked, pairing=paired, streams=streams, now=NOW)


def learned(*, token_ms: float) -> Admission:
    made = Admission()
    made.paces["s"] = StreamPace(token_ms=token_ms)
    return made


def test_one_whose_first_event_would_come_late_is_too_much():
    asked, made = record(first_event_timeout=3 * SECOND), learned(token_ms=0.0)
    for expected in (2.9 * SECOND, 3.1 * SECOND):
        # A long prompt alone is not refused for a queue that it does not meet.
        assert excess(made=made, asked=asked, expected=expected, wait=ZERO) == expected - 3 * SECOND
    wait = 3 * SECOND / MARGIN
    assert excess(made=made, asked=asked, expected=wait, wait=wait) == ZERO
    assert excess(made=made, asked=asked, expected=wait + ms(10), wait=wait + ms(10)) == ms(10) * MARGIN


def test_one_whose_stream_would_not_end_in_time_is_too_much():
    """Guards against streams that are all begun and all cut at their deadlines (RECOVER)."""
    made = learned(token_ms=0.1)
    assert excess(made=made, asked=record(), streams=10) < ZERO
    assert excess(made=made, asked=record(), streams=40) > ZERO
    assert excess(made=made, asked=record(tokens_out=100), streams=40) < ZERO
    assert excess(made=made, asked=record(tokens_out=0), streams=1000) < ZERO


def test_a_stream_that_takes_nearly_all_its_time_alone_is_not_refused():
    """Guards against refusals that help nobody."""
    made = learned(token_ms=0.45)
    assert excess(made=made, asked=record(), streams=0) < ZERO
    assert excess(made=made, asked=record(), streams=SLOTS // 3) > ZERO


def test_who_comes_back_with_less_time_needs_a_shorter_queue():
    made = learned(token_ms=0.1)
    assert excess(made=made, asked=record(timeout=8 * SECOND), streams=18) < ZERO
    assert excess(made=made, asked=record(timeout=2 * SECOND), streams=18) > ZERO


def test_the_pace_is_learned_from_streams_and_holds_for_other_loads():
    pace = StreamPace()
    for _ in range(60):
        pace.note(span=4 * SECOND, tokens=1000, streams=32, slots=SLOTS)
    assert abs(pace.span(tokens=1000, streams=32, slots=SLOTS) - 4 * SECOND) < ms(50)
    # 16 of 48 slots stand for what a token takes in any batch.
    assert abs(pace.span(tokens=500, streams=8, slots=SLOTS) - SECOND) < ms(50)


def test_a_stream_that_was_cut_counts_only_where_it_took_longer_than_was_reckoned():
    made = learned(token_ms=0.1)
    asked, before = record(), 0.1
    made.note_stream(record=asked, span=ms(10), streams=4, slots=SLOTS, whole=False)
    assert made.pace(service="s").token_ms == before
    made.note_stream(record=asked, span=7 * SECOND, streams=4, slots=SLOTS, whole=False)
    assert made.pace(service="s").token_ms > before
