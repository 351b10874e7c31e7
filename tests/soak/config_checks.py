"""Checks of the configuration, its acknowledgements, and the orders to engines."""

from collections import defaultdict
from collections.abc import Iterator

from tests.soak.history import ClientRequest
from tests.soak.violations import HistoryIndex, Violation


def check_configuration(index: HistoryIndex) -> Iterator[Violation]:
    """CONFIG: only valid changes are acknowledged, one for each base version, and none is undone.

    What is read back was sent under that version, and is not older than any version acknowledged over `apply_s` before;
    after as long, an edge no longer answers 404 on a route that was added.
    """
    history, bounds = index.history, index.history.bounds
    acknowledged = [change for change in history.changes if change.status == 200]
    texts_by_base: dict[int, set[bytes]] = defaultdict(set)
    for change in acknowledged:
        if not change.valid:
            yield Violation(rule="CONFIG", detail=f"invalid version {change.version} was acknowledged")
        texts_by_base[change.base_version].add(change.text)
    for base, texts in texts_by_base.items():
        if len(texts) > 1:
            yield Violation(rule="CONFIG", detail=f"{len(texts)} changes on version {base} were acknowledged")
    sent_texts: dict[int, set[bytes]] = defaultdict(set)
    for change in history.changes:
        sent_texts[change.version].add(change.text)
    for read in history.config_reads:
        if read.text not in sent_texts[read.version]:
            yield Violation(rule="CONFIG", detail=f"version {read.version} differs from what was sent")
        acknowledged_before = [
            earlier.version for earlier in acknowledged if earlier.answered_at + bounds.apply_s < read.sent_at
        ]
        if acknowledged_before and read.version < max(acknowledged_before):
            yield Violation(
                rule="CONFIG", detail=f"read {read.version} after {max(acknowledged_before)} was acknowledged"
            )
    if acknowledged and not any(read.is_final for read in history.config_reads):
        yield Violation(rule="CONFIG", detail="no configuration could be read back at the end")
    for request in history.requests:
        added_earlier = request.route_added_at and request.sent_at > request.route_added_at + bounds.apply_s
        if not added_earlier or request.status != 404 or _may_be_removed(index=index, request=request):
            continue
        if index.is_undisturbed(process=request.edge, at=request.sent_at):
            yield Violation(rule="CONFIG", detail="404 on a route that was added", request_id=request.request_id)


def _may_be_removed(*, index: HistoryIndex, request: ClientRequest) -> bool:
    """Whether a valid change without the request's route was sent before the request ended, so that 404 is correct."""
    prefix = b'"/%s/"' % request.target.split("/")[1].encode()
    return any(
        change.valid and request.route_added_at < change.sent_at <= request.ended_at and prefix not in change.text
        for change in index.history.changes
    )


def check_resent_changes(index: HistoryIndex) -> Iterator[Violation]:
    """CONFIG: a change that was acknowledged is not refused when the operator sends it again."""
    acknowledged_at: dict[bytes, float] = {}
    for change in index.history.changes:
        if (
            400 <= change.status < 500
            and change.text in acknowledged_at
            and change.sent_at > acknowledged_at[change.text]
        ):
            yield Violation(rule="CONFIG", detail=f"version {change.version} was acknowledged, sent again and refused")
        if change.status == 200:
            acknowledged_at.setdefault(change.text, change.answered_at)


def check_acknowledgements(index: HistoryIndex) -> Iterator[Violation]:
    """ACKS: a valid change is acknowledged within `ack_s` while no core has had a fault or start for `live_s`."""
    bounds = index.history.bounds
    for change in index.history.changes:
        end = change.answered_at or index.history.ended_at
        fault_spans = [(fault.at, fault.until) for fault in index.history.faults if fault.target.startswith("core")]
        fault_spans += [
            (instance.started_at, instance.started_at)
            for instance in index.history.process_instances
            if instance.process.startswith("core")
        ]
        undisturbed = not any(at < end and until + bounds.live_s > change.sent_at for at, until in fault_spans)
        if change.valid and undisturbed and end - change.sent_at > bounds.ack_s and change.status in (0, 200):
            detail = f"version {change.version} without acknowledgement for {end - change.sent_at:.1f} s"
            yield Violation(rule="ACKS", detail=detail)


def check_single_sender(index: HistoryIndex) -> Iterator[Violation]:
    """ONE: phase orders to an engine come from one lease holder at a time.

    Two senders never use the same fence, and the sender does not change within `lease_s`.
    """
    bounds = index.history.bounds
    orders_by_engine = defaultdict(list)
    for order in index.history.phase_orders:
        orders_by_engine[order.engine].append(order)
    for engine, orders in orders_by_engine.items():
        for before, after in zip(orders, orders[1:], strict=False):
            if before.sender != after.sender and before.fence == after.fence:
                yield Violation(rule="ONE", detail=f"{engine}: two senders with fence {after.fence}")
            elif before.sender != after.sender and after.at - before.at < bounds.lease_s:
                yield Violation(rule="ONE", detail=f"{engine}: the sender changed within {after.at - before.at:.2f} s")
