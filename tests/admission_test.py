"""Admission by the estimated time of a request's first event and of its end."""

from datetime import timedelta

from dockmux.platform_proxy.admission import ESTIMATE_MARGIN, Admission, DecodeRate
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
        key=1, metadata=metadata, route=route, service="s", method="POST", target="/", headers=(), body=b"",
        admitted_at=NOW, deadline=NOW + timeout,
    )  # fmt: skip


def pairing(*, expected: timedelta, wait: timedelta) -> Pairing:
    span = expected - wait
    return Pairing(
        prefill_engine=None, prefill_time=ZERO, decode_engine=WRITER, local_prefill_time=span, expected_ttft=expected,
        queue_wait=wait,
    )  # fmt: skip


def excess(
    *, admission: Admission, request: RequestRecord, expected: timedelta = SOON, wait: timedelta = SOON / 2,
    streams: int = 0,
) -> timedelta:  # fmt: skip
    plan = pairing(expected=expected, wait=wait)
    return admission.excess(record=request, pairing=plan, streams=streams, now=NOW)


def admission_with_rate(*, token_ms: float) -> Admission:
    admission = Admission()
    admission.rates["s"] = DecodeRate(token_ms=token_ms)
    return admission


def test_refuses_a_request_whose_first_event_would_be_late():
    request, admission = record(first_event_timeout=3 * SECOND), admission_with_rate(token_ms=0.0)
    for expected in (2.9 * SECOND, 3.1 * SECOND):
        # The margin applies to the queue only: a long prompt without a queue is judged by its own time.
        assert excess(admission=admission, request=request, expected=expected, wait=ZERO) == expected - 3 * SECOND
    wait = 3 * SECOND / ESTIMATE_MARGIN
    assert excess(admission=admission, request=request, expected=wait, wait=wait) == ZERO
    assert (
        excess(admission=admission, request=request, expected=wait + ms(10), wait=wait + ms(10))
        == ms(10) * ESTIMATE_MARGIN
    )


def test_refuses_a_request_whose_stream_would_miss_its_deadline():
    """Guards against an overload in which every stream is started and cut off at its deadline (RECOVER)."""
    admission = admission_with_rate(token_ms=0.1)
    assert excess(admission=admission, request=record(), streams=10) < ZERO
    assert excess(admission=admission, request=record(), streams=40) > ZERO
    assert excess(admission=admission, request=record(tokens_out=100), streams=40) < ZERO
    assert excess(admission=admission, request=record(tokens_out=0), streams=1000) < ZERO


def test_admits_a_slow_stream_while_few_streams_run():
    """Guards against refusing a stream that needs nearly all its time even alone: that would not help any other."""
    admission = admission_with_rate(token_ms=0.45)
    assert excess(admission=admission, request=record(), streams=0) < ZERO
    assert excess(admission=admission, request=record(), streams=SLOTS // 3) > ZERO


def test_a_retry_with_less_time_left_needs_a_shorter_queue():
    admission = admission_with_rate(token_ms=0.1)
    assert excess(admission=admission, request=record(timeout=8 * SECOND), streams=18) < ZERO
    assert excess(admission=admission, request=record(timeout=2 * SECOND), streams=18) > ZERO


def test_the_decode_rate_is_learned_from_streams_and_holds_for_other_loads():
    rate = DecodeRate()
    for _ in range(60):
        rate.observe(span=4 * SECOND, tokens=1000, streams=32, slots=SLOTS)
    assert abs(rate.estimate(tokens=1000, streams=32, slots=SLOTS) - 4 * SECOND) < ms(50)
    # 16 of the 48 slots stand for the fixed cost of a decode step.
    assert abs(rate.estimate(tokens=500, streams=8, slots=SLOTS) - SECOND) < ms(50)


def test_a_stream_cut_off_counts_only_if_it_took_longer_than_estimated():
    admission = admission_with_rate(token_ms=0.1)
    request, before = record(), 0.1
    admission.note_stream(record=request, span=ms(10), streams=4, slots=SLOTS, complete=False)
    assert admission.rate(service="s").token_ms == before
    admission.note_stream(record=request, span=7 * SECOND, streams=4, slots=SLOTS, complete=False)
    assert admission.rate(service="s").token_ms > before
