"""The time limit of a stream's first event, after which clients abandon it."""

from datetime import timedelta

import platform_adapter

from dockmux.platform_proxy.protocol_adapter import RequestMetadata
from dockmux.platform_proxy.request_record import RequestRecord
from dockmux.platform_proxy.routes import Route, RunRule


def route(**fields: object) -> Route:
    base = {
        "name": "r", "host": "h", "prefix": "/", "run": RunRule.ONCE, "stream": True, "timeout": timedelta(seconds=8),
        "ttft_target": timedelta(milliseconds=800), "urgency": 1,
        "max_sends": 1, "service_weights": (("s", 1),), "itl_target": timedelta(),
    }  # fmt: skip
    return Route(**base | fields)


def record(*, of: Route) -> RequestRecord:
    metadata = RequestMetadata(
        request_id="x", deadline=None, model="m", tokens_in=1, tokens_out=1, prefix_blocks=(), last_event=None
    )  # fmt: skip
    admitted_at = timedelta(seconds=100)
    return RequestRecord(
        key=1, metadata=metadata, route=of, service="s", method="POST", target="/", headers=(), body=b"",
        admitted_at=admitted_at, deadline=admitted_at + of.timeout,
    )  # fmt: skip


def test_the_first_event_limit_applies_before_the_answer_starts_and_the_deadline_after():
    waiting = record(of=route(first_event_timeout=timedelta(seconds=3)))
    assert waiting.expires_at() == timedelta(seconds=103)
    waiting.answer_started = True
    assert waiting.expires_at() == timedelta(seconds=108)
    assert record(of=route()).expires_at() == timedelta(seconds=108)


def test_the_adapter_derives_the_first_event_limit_from_the_latency_targets():
    row = {
        "name": "r", "host": "h", "pfx": "/a/", "type": "sse", "tmo_ms": 8000, "target_ms": 800, "prio": 0, "svc": "s",
        "tries": 2, "resume": True, "itl_target_ms": 300,
    }  # fmt: skip
    read = platform_adapter.PlatformAdapter()._route
    assert read(row=row).first_event_timeout == timedelta(milliseconds=3200)
    assert read(row=row | {"target_ms": 100}).first_event_timeout == timedelta(milliseconds=2400)
    assert read(row=row | {"target_ms": 100, "itl_target_ms": 10}).first_event_timeout == timedelta(seconds=2)
    assert read(row=row | {"type": "mut"}).first_event_timeout == timedelta(seconds=8)
