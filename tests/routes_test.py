"""Routes, service weights, and the platform adapter's parsing."""

import json
from collections import Counter
from datetime import timedelta

import platform_adapter
import pytest

from dockmux.platform_proxy.routes import BadConfig, Route, RouteTable, RunRule
from tests.standins.operator import configuration, route


def _table(*, routes: list[dict]) -> RouteTable:
    return platform_adapter.PlatformAdapter().parse_config(text=json.dumps(configuration(routes=routes)))


def _routes() -> RouteTable:
    return _table(
        routes=[
            route(name="all", prefix="/", kind="idem"),
            route(name="a", prefix="/a/", kind="idem"),
            route(name="ab", prefix="/a/b/", kind="idem"),
            route(name="elsewhere", prefix="/a/b/c/", kind="idem", host="other.example"),
        ]
    )


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("desk.example", "/a/x", "a"),
        ("desk.example", "/a/", "a"),
        ("desk.example", "/a", "all"),
        ("desk.example", "/a/b/x", "ab"),
        ("desk.example", "/a/bc", "a"),
        ("desk.example", "/a/b/c/d", "ab"),
        ("desk.example", "/", "all"),
        ("desk.example", "/z", "all"),
        ("other.example", "/a/b/c/d", "elsewhere"),
        ("other.example", "/a/b/x", None),
        ("nowhere.example", "/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_is_found(host, path, name):
    found = _routes().find(host=host, path=path)
    assert (found.name if found else None) == name


def _weighted_route(*, weights: dict[str, int]) -> Route:
    mix = [{"svc": name, "wt": weight} for name, weight in weights.items()]
    return _table(routes=[route(name="r", prefix="/", kind="idem", mix=mix)]).routes[0]


def test_services_are_chosen_by_weight_and_identically_on_every_daemon():
    one, two = _weighted_route(weights={"desk": 90, "other": 10}), _weighted_route(weights={"desk": 90, "other": 10})
    names = [f"{place:x}" for place in range(4000)]
    counts = Counter(one.service(request_id=name) for name in names)
    assert 3500 < counts["desk"] < 3700 and counts["desk"] + counts["other"] == 4000
    assert [one.service(request_id=name) for name in names] == [two.service(request_id=name) for name in names]


def test_weight_0_gets_no_requests_and_a_repeated_service_gets_all():
    none = _weighted_route(weights={"desk": 0, "other": 1})
    assert {none.service(request_id=str(place)) for place in range(300)} == {"other"}
    mix = [{"svc": "desk", "wt": 90}, {"svc": "desk", "wt": 10}]
    both = _table(routes=[route(name="r", prefix="/", kind="idem", mix=mix)]).routes[0]
    assert {both.service(request_id=str(place)) for place in range(300)} == {"desk"}


def test_fractional_weights_are_applied_or_rejected():
    try:
        half = _weighted_route(weights={"desk": 0.5, "other": 0.5})
    except BadConfig:
        return
    counts = Counter(half.service(request_id=str(place)) for place in range(1000))
    assert 400 < counts["desk"] < 600, counts


def test_route_types_map_to_run_rules():
    rows = [
        route(name="idem", prefix="/1/", kind="idem"),
        route(name="mut", prefix="/2/", kind="mut"),
        route(name="stream", prefix="/3/", kind="sse"),
        route(name="resumed", prefix="/4/", kind="sse", resume=True),
        route(name="strange", prefix="/5/", kind="mut", resume=True),
    ]
    rules = {found.name: (found.run, found.repeatable) for found in _table(routes=rows).routes}
    assert rules == {
        "idem": (RunRule.REPEATABLE, True),
        "mut": (RunRule.ONCE, False),
        "stream": (RunRule.ONCE, False),
        "resumed": (RunRule.RESUMABLE, True),
        "strange": (RunRule.ONCE, False),
    }


def test_a_route_of_an_unknown_type_is_not_repeated():
    """Only `idem` requests and resumable streams may run more than once."""
    try:
        table = _table(routes=[route(name="r", prefix="/", kind="ws", resume=True)])
    except BadConfig:
        return
    assert table.routes[0].run is RunRule.ONCE


def test_unknown_fields_are_ignored_and_missing_limits_have_their_defaults():
    fields = configuration() | {"fresh": {"a": 1}}
    del fields["caps"]
    fields["rtab"][0]["fresh"] = 1
    table = platform_adapter.PlatformAdapter().parse_config(text=json.dumps(fields))
    assert table.limits.header_bytes == 16384 and table.limits.idle_timeout == timedelta(seconds=15)
    assert table.version == 1 and set(table.services) == {"desk", "other"}


def _entry():
    listed = {
        "insts": [
            {
                "svc": "desk",
                "addr": "10.0.0.9:8080",
                "az": "hill",
                "gen": "v1",
                "slots": 64,
                "st": "draining",
                "id": "i",
            }
        ],
        "next": "p-50",
    }
    return platform_adapter.PlatformAdapter().parse_list(body=json.dumps(listed).encode())


def test_a_page_of_the_engine_list_is_parsed():
    rows, page, malformed = _entry()
    assert malformed == 0
    assert page == "p-50" and rows[0].leaving and rows[0].engine == "i" and rows[0].zone == "hill"
    assert platform_adapter.PlatformAdapter().list_path(page=None) == "/engines"
    assert platform_adapter.PlatformAdapter().list_path(page=page) == "/engines?pg_tok=p-50"


def test_engine_headers_keep_client_headers_and_replace_hop_by_hop_headers():
    sent = [
        ("Host", "desk.example"),
        ("X-Request-Id", "a"),
        ("Cookie", "b=c"),
        ("Connection", "keep-alive"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "4"),
        ("X-Want-Instance", "i-forged"),
        ("X-Kv-From", "10.0.0.1:1/forged"),
        ("X-Stage", "prefill"),
        ("X-Deadline-Ms", "9000"),
        ("Last-Event-Id", "4"),
        ("Accept-Encoding", "gzip"),
    ]
    rows = platform_adapter.PlatformAdapter().engine_headers(
        headers=sent,
        engine=_entry()[0][0],
        left=timedelta(milliseconds=1234),
        urgency=12,
        prefill=False,
        kv_handle=None,
        last_event="7",
    )
    assert rows == [
        ("Host", "desk.example"),
        ("X-Request-Id", "a"),
        ("Cookie", "b=c"),
        ("X-Deadline-Ms", "1234"),
        ("X-Want-Instance", "i"),
        ("X-Urgency", "9"),
        ("Last-Event-Id", "7"),
    ]


def test_headers_named_by_connection_are_not_forwarded():
    sent = [("Host", "h"), ("Connection", "close, X-Hop"), ("X-Hop", "1"), ("X-Request-Id", "a")]
    rows = platform_adapter.PlatformAdapter().engine_headers(
        headers=sent, engine=_entry()[0][0], left=timedelta(seconds=1), urgency=1, prefill=False, kv_handle=None,
        last_event=None,
    )  # fmt: skip
    assert "X-Hop" not in dict(rows)


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "other"),
    [
        (503, {"X-Not-Run": "1"}, True, False),
        (503, {}, False, False),
        (429, {"X-Not-Run": "1"}, True, False),
        (421, {}, True, True),
        (400, {"X-Not-Run": "1"}, True, False),
        (500, {}, False, False),
        (200, {"X-Seal": "a"}, False, False),
    ],
)
def test_only_an_explicit_answer_guarantees_that_a_request_did_not_run(status, headers, not_run, other):
    response = platform_adapter.PlatformAdapter().parse_response(status=status, headers=list(headers.items()))
    assert (response.not_run, response.other_engine, response.sealed) == (not_run, other, "X-Seal" in headers)


def test_request_headers_are_parsed():
    headers = [
        ("X-Request-Id", "a"), ("X-Model", "m"), ("X-Tokens", "1460,80"), ("X-Deadline-Ms", "8000"),
        ("X-Prompt-Prefix", "5c1e07a2:800, 91bd3f06:410,e4402b7d:250"), ("Last-Event-Id", "12"),
    ]  # fmt: skip
    request = platform_adapter.PlatformAdapter().parse_request(headers=headers)
    assert [(part.name, part.tokens) for part in request.prefix_blocks] == [
        ("5c1e07a2", 800), ("91bd3f06", 410), ("e4402b7d", 250),
    ]  # fmt: skip
    assert (request.tokens_in, request.tokens_out, request.last_event) == (1460, 80, "12")
    assert request.deadline == timedelta(seconds=8)
    bare = platform_adapter.PlatformAdapter().parse_request(
        headers=[("X-Request-Id", "a"), ("X-Tokens", "x"), ("X-Deadline-Ms", "soon")]
    )
    assert (bare.tokens_in, bare.prefix_blocks, bare.deadline) == (0, (), None)


def test_a_rendered_configuration_parses_to_the_same_table():
    table = platform_adapter.PlatformAdapter().parse_config(text=json.dumps(configuration()))
    assert (
        platform_adapter.PlatformAdapter().parse_config(
            text=platform_adapter.PlatformAdapter().render_config(table=table)
        )
        == table
    )
