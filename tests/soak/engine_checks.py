"""Checks of what reaches the engines: after they leave, after clients leave, too often, or for another service."""

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.history import FaultKind
from tests.soak.violations import MAX_TOLERATED_CASES, HistoryIndex, Violation

# Time allowed for a client's disconnect to reach the engine.
DISCONNECT_PROPAGATION_S = 0.5
# The pause between two events of a stream in the simulated engines (engine.py).
EVENT_PAUSE_S = 0.03


def check_drained_engines(index: HistoryIndex) -> Iterator[Violation]:
    """DRAIN: an engine that the list shows as leaving gets no newer requests after `list_lag_s` and `drain_s`.

    Arrivals that the engine refused with 421 don't count, nor do those from an edge that was not undisturbed.
    """
    bounds = index.history.bounds
    leaving_since = {fault.target: fault.at for fault in index.history.faults if fault.kind is FaultKind.ENGINE_LEAVES}
    for arrival in index.history.arrivals:
        listed_leaving_at = leaving_since.get(arrival.engine, -1.0)
        request = index.requests_by_id.get(arrival.request_id)
        if (
            listed_leaving_at < 0
            or request is None
            or arrival.at <= listed_leaving_at + bounds.list_lag_s + bounds.drain_s
            or arrival.outcome == "421"
        ):
            continue
        if index.is_undisturbed(process=request.edge, at=arrival.at) and request.sent_at > listed_leaving_at:
            detail = f"{arrival.engine} got it {arrival.at - listed_leaving_at:.2f} s after the list showed it leaving"
            yield Violation(rule="DRAIN", detail=detail, request_id=arrival.request_id)


def check_arrivals_after_disconnect(index: HistoryIndex) -> Iterator[Violation]:
    """GONE: a request is not sent to an engine after its client has disconnected."""
    late = [
        arrival
        for arrival in index.history.arrivals
        if (request := index.requests_by_id.get(arrival.request_id)) is not None
        and request.disconnected_at
        and arrival.at > request.disconnected_at + DISCONNECT_PROPAGATION_S
        and index.is_undisturbed(process=request.edge, at=arrival.at)
    ]
    if len(late) > MAX_TOLERATED_CASES:
        detail = f"{len(late)} requests reached an engine over {DISCONNECT_PROPAGATION_S} s after a client disconnect"
        yield Violation(rule="GONE", detail=detail, request_id=late[0].request_id)


def check_work_after_disconnect(index: HistoryIndex) -> Iterator[Violation]:
    """GONE: an engine stops working on a stream whose client has disconnected.

    Counted are runs that would have lasted for at least twice DISCONNECT_PROPAGATION_S after the disconnect; up to a
    quarter of them may go on.
    """
    unfinished, at_work = 0, []
    for request in index.history.requests:
        if (
            not request.disconnected_at
            or not request.kind.is_stream
            or not index.is_undisturbed(process=request.edge, at=request.disconnected_at + 1)
        ):
            continue
        for run in index.runs_of(request_id=request.request_id):
            would_end = run.at + (request.events - run.last_event) * EVENT_PAUSE_S
            if run.at > request.disconnected_at or would_end < request.disconnected_at + 2 * DISCONNECT_PROPAGATION_S:
                continue
            unfinished += 1
            if not run.ended_at or run.ended_at > request.disconnected_at + DISCONNECT_PROPAGATION_S:
                at_work.append(request.request_id)
    if len(at_work) > max(MAX_TOLERATED_CASES, unfinished / 4):
        detail = (
            f"runs that went on {DISCONNECT_PROPAGATION_S} s after a client disconnect: {len(at_work)} of {unfinished}"
        )
        yield Violation(rule="GONE", detail=detail, request_id=at_work[0])


def check_retry_budget(index: HistoryIndex) -> Iterator[Violation]:
    """BUDGET: the extra arrivals at a service stay within the retry budget, and a request within its attempts.

    In each window of `retry_window_s` the extra arrivals may be `retry_ratio` of the requests plus `retry_extra`. The
    requests are those of the same window, of the window before it, or of a span from half a window before it until 5 s
    before its end, whichever are most. The first prefill and the first other arrival of a request are not extra. A
    request may reach as many engines as it has attempts, without those that crashed.
    """
    bounds = index.history.bounds
    extra_times: dict[str, list[float]] = defaultdict(list)
    sent_times: dict[str, list[float]] = defaultdict(list)
    for request in index.history.requests:
        sent_times[request.service].append(request.sent_at)
    for request_id, arrivals in index.arrivals_by_id.items():
        request = index.requests_by_id.get(request_id)
        service = arrivals[0].service if request is None else request.service
        prefills = [arrival for arrival in arrivals if arrival.outcome == "prefill"]
        others = [arrival for arrival in arrivals if arrival.outcome != "prefill"]
        extra_times[service] += [arrival.at for arrival in [*prefills[1:], *others[1:]]]
    for service, times in extra_times.items():
        times.sort()
        for end in times:
            begin = end - bounds.retry_window_s
            count = sum(begin < at <= end for at in times)
            spans = (
                (begin, end),
                (begin - bounds.retry_window_s, begin),
                (begin - bounds.retry_window_s / 2, end - 5.0),
            )
            request_count = max(sum(first < at <= last for at in sent_times[service]) for first, last in spans)
            if count > bounds.retry_ratio * request_count + bounds.retry_extra:
                yield Violation(rule="BUDGET", detail=f"{service}: {count} extra arrivals for {request_count} requests")
                break
    over_limit = []
    crashed_engines = {fault.target for fault in index.history.faults if fault.kind is FaultKind.ENGINE_CRASH}
    for request in index.history.requests:
        engines = {run.engine for run in index.runs_of(request_id=request.request_id)} - crashed_engines
        if len(engines) > request.max_attempts:
            over_limit.append(request.request_id)
    if len(over_limit) > MAX_TOLERATED_CASES:
        yield Violation(
            rule="BUDGET",
            detail=f"{len(over_limit)} requests ran on more engines than `tries` allows",
            request_id=over_limit[0],
        )


def check_service(index: HistoryIndex) -> Iterator[Violation]:
    """ROUTE: a request reaches only engines of the service that its route names."""
    for arrival in index.history.arrivals:
        request = index.requests_by_id.get(arrival.request_id)
        if request is not None and arrival.outcome in ("run", "prefill") and arrival.service != request.service:
            detail = f"{arrival.service} runs a request for {request.service}"
            yield Violation(rule="ROUTE", detail=detail, request_id=arrival.request_id)
