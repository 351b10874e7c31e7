"""Checks of what clients received: whose answer it is, whether it is whole, and what happens to it around a stop."""

from collections.abc import Iterator

from tests.soak.history import ClientRequest, Fault, FaultKind
from tests.soak.violations import MAX_TOLERATED_CASES, HistoryIndex, Violation

# Statuses by which a proxy states that the request has not been run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# NEWS-22: a request that was sent no later than this after a SIGTERM may be cut off if its engine was still working on
# it in the last sixth of the grace time.
EXCUSED_AFTER_SIGTERM_S = 3.0


def check_answer_origin(index: HistoryIndex) -> Iterator[Violation]:
    """MIXED: every answer belongs to its request, comes from an engine that ran it, and carries nothing else.

    An answer with a seal names the engine that gave it. A KV cache is used only for the request it was prefilled for.
    """
    for request in index.history.requests:
        if request.surplus:
            yield Violation(
                rule="MIXED", detail=f"{request.surplus[:40]!r} follows its answer", request_id=request.request_id
            )
        if not request.status:
            continue
        runs = index.runs_of(request_id=request.request_id)
        engine = request.headers.get("x-seal", "").partition(".")[0]
        if request.headers.get("x-seal") and engine not in {run.engine for run in runs}:
            yield Violation(
                rule="MIXED", detail=f"sealed by engine {engine}, which did not run it", request_id=request.request_id
            )
        if 200 <= request.status < 300:
            if not engine or request.headers.get("x-request-id") != request.request_id:
                yield Violation(
                    rule="MIXED",
                    detail="a success without a seal or with another request id",
                    request_id=request.request_id,
                )
            if not request.kind.is_stream and request.complete and request.body != request.expected:
                yield Violation(
                    rule="MIXED", detail="the body differs from the engine's", request_id=request.request_id
                )
        elif engine and request.status not in {run.status for run in runs}:
            yield Violation(
                rule="MIXED", detail=f"a sealed {request.status} that no engine sent", request_id=request.request_id
            )
    for arrival in index.history.arrivals:
        if arrival.kv_cache_of not in ("", arrival.request_id):
            yield Violation(
                rule="MIXED",
                detail=f"run with the KV cache of request {arrival.kv_cache_of}",
                request_id=arrival.request_id,
            )


def check_stream_order(index: HistoryIndex) -> Iterator[Violation]:
    """ORDER: a stream is a prefix of the expected events, and all of them if it ends as complete."""
    for request in index.history.requests:
        if not request.kind.is_stream or not 200 <= request.status < 300:
            continue
        if request.complete and request.body != request.expected:
            detail = f"ends as complete after {len(request.body)} of {len(request.expected)} bytes"
            yield Violation(rule="ORDER", detail=detail, request_id=request.request_id)
        elif any(run.endless for run in index.runs_of(request_id=request.request_id)):
            # What such an engine sent is passed on, and the answer is cut: it must not look complete (above).
            continue
        elif not request.expected.startswith(request.body):
            yield Violation(
                rule="ORDER",
                detail="an event is missing, repeated or from another stream",
                request_id=request.request_id,
            )


def check_arrivals_were_sent(index: HistoryIndex) -> Iterator[Violation]:
    """UNASKED: engines run and prefill only what a client has fully sent, with the same target and body."""
    for arrival in index.history.arrivals:
        if arrival.outcome not in ("run", "prefill"):
            continue
        request = index.requests_by_id.get(arrival.request_id)
        if request is None:
            yield Violation(
                rule="UNASKED",
                detail=f"{arrival.engine} runs a request that no client sent",
                request_id=arrival.request_id,
            )
        elif (arrival.target, arrival.body) != (request.target, request.sent_body):
            detail = f"{arrival.engine} runs {len(arrival.body)} of {len(request.sent_body)} bytes, {arrival.target}"
            yield Violation(rule="UNASKED", detail=detail, request_id=arrival.request_id)
        elif not request.fully_sent_at:
            yield Violation(rule="UNASKED", detail="run before it was fully sent", request_id=arrival.request_id)


def check_single_run(index: HistoryIndex) -> Iterator[Violation]:
    """TWICE: a request that may not be repeated runs at most once."""
    for request in index.history.requests:
        runs = index.runs_of(request_id=request.request_id)
        if not request.kind.repeatable and len(runs) > 1:
            yield Violation(rule="TWICE", detail=f"run {len(runs)} times", request_id=request.request_id)


def check_refusals(index: HistoryIndex) -> Iterator[Violation]:
    """REFUSED: a request that may not be repeated gets one of NOT_RUN_STATUSES only if no engine ran it."""
    for request in index.history.requests:
        if (
            not request.kind.repeatable
            and request.status in NOT_RUN_STATUSES
            and index.runs_of(request_id=request.request_id)
        ):
            yield Violation(
                rule="REFUSED",
                detail=f"status {request.status} for a request that an engine ran",
                request_id=request.request_id,
            )


def check_lost_at_shutdown(index: HistoryIndex) -> Iterator[Violation]:
    """LOST: an edge that gets SIGTERM still completes the requests it has read.

    Judged are the requests that ended incomplete between the SIGTERM and 1 s after the grace time; `_loss_reason` lists
    the cases that are excused.
    """
    bounds = index.history.bounds
    sigterms = [
        fault for fault in index.history.faults if fault.kind is FaultKind.TERM and fault.target.startswith("edge")
    ]
    # A second SIGTERM during a shutdown does not restart the grace time; the first one counts.
    first_sigterms = [
        fault
        for fault in sigterms
        if not any(other.target == fault.target and other.at < fault.at <= other.until for other in sigterms)
    ]
    for request in index.history.requests:
        if request.complete or request.disconnected_at or not request.fully_sent_at or not request.ended_at:
            continue
        for sigterm in first_sigterms:
            if sigterm.target != request.edge or not sigterm.at <= request.ended_at <= sigterm.at + bounds.grace_s + 1:
                continue
            reason = _loss_reason(index=index, request=request, sigterm=sigterm)
            if reason:
                yield Violation(rule="LOST", detail=reason, request_id=request.request_id)


def check_unanswered_reused_connections(index: HistoryIndex) -> Iterator[Violation]:
    """LOST at any time: requests on reused connections that engines without faults ran and that got no answer.

    Only requests that ended before their deadline at an undisturbed edge count.
    """
    unanswered = []
    for request in index.history.requests:
        runs = index.runs_of(request_id=request.request_id)
        if (
            not request.on_reused_connection
            or not runs
            or request.status
            or request.disconnected_at
            or not request.ended_at
        ):
            continue
        faults = index.unplanned_faults(
            targets={run.engine for run in runs}, begin=request.sent_at, end=request.ended_at
        )
        before_deadline = request.ended_at < request.sent_at + request.deadline_s
        if before_deadline and not faults and index.is_undisturbed(process=request.edge, at=request.ended_at):
            unanswered.append(request)
    if len(unanswered) > MAX_TOLERATED_CASES:
        detail = f"{len(unanswered)} reused connections closed without an answer"
        yield Violation(rule="LOST", detail=detail, request_id=unanswered[0].request_id)


def _loss_reason(*, index: HistoryIndex, request: ClientRequest, sigterm: Fault) -> str:
    """Why an incomplete request counts as lost at this SIGTERM, or "" where it is excused.

    Excused are requests that the edge may not have read, faults other than planned operations at the edge, the list or
    the engines that ran the request, answers that the engine itself aborted, requests that reached their deadline, and
    requests that NEWS-22 allows to be cut off: sent at most EXCUSED_AFTER_SIGTERM_S after the SIGTERM, with an engine
    still working on them in the last sixth of the grace time.
    """
    bounds = index.history.bounds
    runs = index.runs_of(request_id=request.request_id)
    answered_after_slack = request.ended_at > request.fully_sent_at + bounds.slack_s and request.status
    if not runs and not answered_after_slack:
        # Nothing shows that the edge read it: it may have been sent while the edge closed the connection.
        return ""
    targets = {request.edge, "list", *(run.engine for run in runs)}
    if index.unplanned_faults(targets=targets, begin=request.sent_at - bounds.live_s, end=request.ended_at):
        return ""
    if any(run.aborted for run in runs) or request.ended_at >= request.sent_at + request.deadline_s:
        return ""
    last_sixth_begins_at = sigterm.at + bounds.grace_s * 5 / 6
    working_at_end = any(not run.ended_at or run.ended_at >= last_sixth_begins_at for run in runs)
    if request.sent_at <= sigterm.at + EXCUSED_AFTER_SIGTERM_S and working_at_end:
        return ""
    return (
        f"sent {request.sent_at - sigterm.at:.2f} s after SIGTERM, "
        f"ended {request.ended_at - sigterm.at:.2f} s after it without a complete answer"
    )
