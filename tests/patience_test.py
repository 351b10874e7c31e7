"""For whom nobody works any more: clients that give a stream up before its first event."""

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
    began = timedelta(seconds=100)
    return RequestRecord(
        key=1, metadata=metadata, route=of, service="s", method="POST", target="/", headers=(), body=b"", began=began,
        until=began + of.timeout,
    )  # fmt: skip


def test_before_a_first_event_the_clients_patience_ends_it_and_after_it_the_deadline():
    waiting = record(of=route(first_event_timeout=timedelta(seconds=3)))
    assert waiting.ends_at() == timedelta(seconds=103)
    waiting.begun = True
    assert waiting.ends_at() == timedelta(seconds=108)
    assert record(of=route()).ends_at() == timedelta(seconds=108)


def test_the_adapter_reads_the_patience_from_aim_and_pause():
    row = {
        "name": "r", "host": "h", "pfx": "/a/", "type": "sse", "tmo_ms": 8000, "target_ms": 800, "prio": 0, "svc": "s",
        "tries": 2, "resume": True, "itl_target_ms": 300,
    }  # fmt: skip
    read = platform_adapter.PlatformAdapter()._route
    assert read(row=row).first_event_timeout == timedelta(milliseconds=3200)
    assert read(row=row | {"target_ms": 100}).first_event_timeout == timedelta(milliseconds=2400)
    assert read(row=row | {"target_ms": 100, "itl_target_ms": 10}).first_event_timeout == timedelta(seconds=2)
    assert read(row=row | {"type": "mut"}).first_event_timeout == timedelta(seconds=8)
