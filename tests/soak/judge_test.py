"""Each check of the soak's judge, shown to fail on a history that breaks its rule."""

import dataclasses

import pytest

from tests.soak.history import (
    Arrival,
    ClientRequest,
    ConfigChange,
    ConfigRead,
    Fault,
    FaultKind,
    History,
    PhaseOrder,
    ProcessInstance,
    RequestKind,
    ResourceSample,
)
from tests.soak.judge import judge
from tests.soak.process_checks import slope
from tests.standins.engine import plain_body, stream_body

REQUEST_ID = "00000001"
ENGINE = "i-00010001"
EDGE = "edge-0"


def request(*, kind: RequestKind = RequestKind.ONCE, **fields: object) -> ClientRequest:
    expected = (
        stream_body(request_id=REQUEST_ID, count=4) if kind.is_stream else plain_body(request_id=REQUEST_ID, body=b"x")
    )
    row = ClientRequest(
        request_id=REQUEST_ID, edge=EDGE, kind=kind, service="desk", target="/write/a", sent_body=b"x",
        expected=expected, max_attempts=2, sent_at=20.0, fully_sent_at=20.01, deadline_s=8.0, status=200,
        body=expected, complete=True,
        headers={"x-seal": f"{ENGINE}.{REQUEST_ID}", "x-request-id": REQUEST_ID}, ended_at=20.5,
    )  # fmt: skip
    return dataclasses.replace(row, **fields)


def arrival(**fields: object) -> Arrival:
    row = Arrival(
        at=20.1, engine=ENGINE, service="desk", request_id=REQUEST_ID, outcome="run", target="/write/a", body=b"x",
        status=200, ended_at=20.4,
    )  # fmt: skip
    return dataclasses.replace(row, **fields)


def history(
    *, requests: list[ClientRequest] | None = None, arrivals: list[Arrival] | None = None, **fields: object
) -> History:
    return History(
        requests=[request()] if requests is None else requests, arrivals=[arrival()] if arrivals is None else arrivals,
        ended_at=60.0, **fields,
    )  # fmt: skip


def fault(*, kind: FaultKind, target: str, at: float, for_s: float = 0.0) -> Fault:
    return Fault(kind=kind, target=target, at=at, until=at + for_s)


def change(*, version: int = 2, **fields: object) -> ConfigChange:
    row = ConfigChange(
        version=version,
        base_version=version - 1,
        valid=True,
        text=b"%d" % version,
        sent_at=10.0,
        answered_at=10.1,
        status=200,
    )
    return dataclasses.replace(row, **fields)


def broken_rules(*, example: History) -> set[str]:
    return {violation.rule for violation in judge(history=example)}


def cut_off_after_sigterm(**fields: object) -> History:
    """A request that an engine ran, cut off when the edge exited 7.3 s after its SIGTERM."""
    row = request(complete=False, body=b"", sent_at=24.0, fully_sent_at=24.01, ended_at=27.3, error="reset", **fields)
    sigterms = [fault(kind=FaultKind.TERM, target=EDGE, at=20.0, for_s=7.3)]
    return history(requests=[row], arrivals=[arrival(at=24.1, ended_at=28.0)], faults=sigterms)


def many_requests(*, count: int, **fields: object) -> tuple[list[ClientRequest], list[Arrival]]:
    """Repeatable requests that were answered 502, each with arrivals at two engines."""
    request_ids = [f"{number:08x}" for number in range(count)]
    body = {"status": 502, "headers": {}, "body": b""}
    requests = [
        request(request_id=request_id, kind=RequestKind.REPEATABLE, **{**body, **fields}) for request_id in request_ids
    ]
    arrivals = [arrival(request_id=request_id, engine=f"i-{index}") for request_id in request_ids for index in range(2)]
    return requests, arrivals


def test_correct_history_has_no_violations():
    assert (
        broken_rules(
            example=history(
                changes=[change()], config_reads=[ConfigRead(sent_at=30, version=2, text=b"2", is_final=True)]
            )
        )
        == set()
    )


@pytest.mark.parametrize(
    "example",
    [
        history(requests=[request(surplus=b"HTTP/1.1 200 OK")]),
        history(requests=[request(headers={"x-request-id": REQUEST_ID})]),
        history(requests=[request(body=b"another's")]),
        history(requests=[request(headers={"x-seal": f"i-9.{REQUEST_ID}", "x-request-id": REQUEST_ID})]),
        history(requests=[request(status=500)]),
        history(arrivals=[arrival(kv_cache_of="00000002")]),
    ],
)
def test_mixed(example):
    assert broken_rules(example=example) == {"MIXED"}


def test_order():
    complete = stream_body(request_id=REQUEST_ID, count=4)
    cut = request(kind=RequestKind.RESUMED, body=complete[:-50])
    assert broken_rules(example=history(requests=[cut])) == {"ORDER"}
    doubled = request(kind=RequestKind.RESUMED, body=complete[:40] + complete, complete=False)
    assert broken_rules(example=history(requests=[doubled])) == {"ORDER"}
    assert broken_rules(example=history(requests=[dataclasses.replace(cut, complete=False)])) == set()


def test_unasked():
    assert broken_rules(example=history(requests=[])) == {"UNASKED"}
    assert broken_rules(example=history(arrivals=[arrival(body=b"")])) == {"UNASKED"}
    assert broken_rules(example=history(arrivals=[arrival(target="/other")])) == {"UNASKED"}
    assert broken_rules(example=history(requests=[request(fully_sent_at=0.0)])) == {"UNASKED"}


def test_twice():
    assert broken_rules(example=history(arrivals=[arrival(), arrival(at=20.2)])) == {"TWICE"}


def test_refused():
    refused = request(status=503, headers={}, body=b"")
    assert broken_rules(example=history(requests=[refused])) == {"REFUSED"}
    assert broken_rules(example=history(requests=[dataclasses.replace(refused, kind=RequestKind.REPEATABLE)])) == set()


def test_lost():
    assert broken_rules(example=cut_off_after_sigterm()) == {"LOST"}
    excused = cut_off_after_sigterm()
    excused.requests[0].sent_at = 22.9
    assert broken_rules(example=excused) == set()
    for kind, target in ((FaultKind.KILL, EDGE), (FaultKind.ENGINE_CRASH, ENGINE)):
        disturbed = cut_off_after_sigterm()
        disturbed.faults.append(fault(kind=kind, target=target, at=25.0))
        assert broken_rules(example=disturbed) == set()


def test_second_sigterm_does_not_restart_the_grace_time():
    """Guards against judging a request by a later SIGTERM, as in seed 38.

    It was sent 1.1 s after the first SIGTERM and cut off at the end of the grace time, 1.1 s after the second.
    """
    example = cut_off_after_sigterm()
    example.requests[0].sent_at = 21.1
    assert broken_rules(example=example) == set()
    example.faults.append(fault(kind=FaultKind.TERM, target=EDGE, at=26.2, for_s=1.1))
    assert broken_rules(example=example) == set()
    example.requests[0].sent_at = 24.0
    assert broken_rules(example=example) == {"LOST"}


def test_drain():
    leaves = [fault(kind=FaultKind.ENGINE_LEAVES, target=ENGINE, at=10.0)]
    late = history(requests=[request(sent_at=20.0)], faults=leaves)
    assert broken_rules(example=late) == {"DRAIN"}
    late.faults.append(fault(kind=FaultKind.KILL, target="core-1", at=19.0))
    assert broken_rules(example=late) == set()


def test_gone():
    requests, arrivals = many_requests(count=5, disconnected_at=19.0, complete=False, status=0)
    assert "GONE" in broken_rules(example=history(requests=requests, arrivals=arrivals))


def test_gone_when_engines_keep_working():
    requests, arrivals = many_requests(count=8, disconnected_at=20.5, complete=False, events=100)
    for cut, index in zip(requests, range(0, 16, 2), strict=True):
        cut.kind, cut.expected, cut.body, cut.status = RequestKind.STREAM, b"", b"", 0
        arrivals[index].ended_at = 22.0
    first_arrivals = arrivals[::2]
    assert broken_rules(example=history(requests=requests, arrivals=first_arrivals)) == {"GONE"}
    for run in first_arrivals:
        run.ended_at = 20.8
    assert broken_rules(example=history(requests=requests, arrivals=first_arrivals)) == set()


def test_lost_on_reused_connections():
    requests, arrivals = many_requests(count=5, on_reused_connection=True, complete=False, status=0)
    assert broken_rules(example=history(requests=requests, arrivals=arrivals[::2])) == {"LOST"}
    assert broken_rules(example=history(requests=requests[:3], arrivals=arrivals[:6:2])) == set()


def test_budget():
    requests, arrivals = many_requests(count=120)
    assert broken_rules(example=history(requests=requests, arrivals=arrivals)) == {"BUDGET"}
    requests, arrivals = many_requests(count=5, max_attempts=1)
    assert broken_rules(example=history(requests=requests, arrivals=arrivals)) == {"BUDGET"}


def test_route():
    assert broken_rules(example=history(arrivals=[arrival(service="other")])) == {"ROUTE"}


def test_config():
    last = ConfigRead(sent_at=50.0, version=2, text=b"2", is_final=True)
    assert broken_rules(example=history(changes=[change()])) == {"CONFIG"}
    assert broken_rules(example=history(changes=[change(valid=False)], config_reads=[last])) == {"CONFIG"}
    two = [change(), change(text=b"2b")]
    assert broken_rules(example=history(changes=two, config_reads=[last])) == {"CONFIG"}
    older = [change(), change(version=3, sent_at=11.0, answered_at=11.1)]
    assert broken_rules(example=history(changes=older, config_reads=[last])) == {"CONFIG"}
    other = ConfigRead(sent_at=50.0, version=2, text=b"not sent", is_final=True)
    assert broken_rules(example=history(changes=[change()], config_reads=[other])) == {"CONFIG"}
    again = [change(), change(sent_at=12.0, status=412)]
    assert broken_rules(example=history(changes=again, config_reads=[last])) == {"CONFIG"}
    added = request(status=404, headers={}, body=b"", route_added_at=10.0)
    assert broken_rules(example=history(requests=[added], arrivals=[])) == {"CONFIG"}
    # As in seed 40: 404 is correct when a newer change, already sent, no longer has the route.
    dropped = [change(version=3, sent_at=20.1, answered_at=20.2, text=b'{"pfx": "/other/"}')]
    read = ConfigRead(sent_at=50.0, version=3, text=dropped[0].text, is_final=True)
    assert broken_rules(example=history(requests=[added], arrivals=[], changes=dropped, config_reads=[read])) == set()
    dropped[0].text = b'{"pfx": "/write/"}'
    read.text = dropped[0].text
    assert broken_rules(example=history(requests=[added], arrivals=[], changes=dropped, config_reads=[read])) == {
        "CONFIG"
    }


def test_acks():
    silent = history(changes=[change(status=0, answered_at=0.0)])
    assert broken_rules(example=silent) == {"ACKS"}
    silent.faults.append(fault(kind=FaultKind.KILL, target="core-0", at=9.0))
    assert broken_rules(example=silent) == set()


@pytest.mark.parametrize(("fence", "at"), [(4, 30.0), (5, 21.0)])
def test_one(fence, at):
    first = PhaseOrder(at=20.0, engine=ENGINE, owner="a", fence=4, sender="a")
    second = PhaseOrder(at=at, engine=ENGINE, owner="b", fence=fence, sender="b")
    assert broken_rules(example=history(phase_orders=[first, second])) == {"ONE"}


def test_processes():
    assert broken_rules(
        example=history(
            process_instances=[ProcessInstance(process=EDGE, started_at=0.0, exit_code=4, exited_unexpectedly=True)]
        )
    ) == {"PROCESS"}
    assert broken_rules(example=history(not_ready_at_end=[EDGE])) == {"READY"}
    assert broken_rules(example=history(log_errors=["edge-0.log: Traceback"])) == {"LOG"}
    samples = [ResourceSample(at=at, process=EDGE, rss_kb=50_000 + 1000 * at, descriptors=20) for at in range(40)]
    assert broken_rules(example=history(samples=samples)) == {"GROWTH"}
    samples = [ResourceSample(at=at, process=EDGE, rss_kb=50_000, descriptors=20 + 10 * at) for at in range(40)]
    assert broken_rules(example=history(samples=samples)) == {"GROWTH"}


def test_starts():
    slow = history(process_instances=[ProcessInstance(process=EDGE, started_at=10.0, ready_at=14.5)])
    assert broken_rules(example=slow) == {"START"}
    slow.faults.append(fault(kind=FaultKind.KILL, target="core-0", at=11.0))
    assert broken_rules(example=slow) == set()


def test_slope_of_a_line():
    assert slope(times=[1.0, 2.0, 3.0], values=[5.0, 7.0, 9.0]) == pytest.approx(2.0)
