"""One client's try, as a record in the table."""

import dataclasses
from collections.abc import Collection
from datetime import timedelta
from typing import Any

from dockmux.platform_proxy.protocol_adapter import RequestMetadata
from dockmux.platform_proxy.routes import Route
from dockmux.platform_proxy.send_state import SendState
from dockmux.runtime.host import Host
from dockmux.runtime.http_transport import HttpClientConnection


@dataclasses.dataclass(kw_only=True)
class RequestRecord:
    """Invariants: `until` is the monotonic time at which the client's deadline or the route's time-out ends it;
    `sends` counts the engines that it was sent to to be run, `reads` those that only read for it; `ran` says that it
    may have run: from then on it is not refused. While it waits for an engine, `engine` names it, `since` is when
    that last gave a sign, `wire` is the connection, and `reading` says that only its prompt is read there, which
    may be asked for again whatever the route's rule. `begun` says that the
    client has a first event: before it, it waits no longer than the route's patience, nor past `answer_by`, by when a
    daemon that stops has to have answered; `bound` says that no other engine can go on with what the client has.
    `client` is the socket of its client, where there is one; once `left`, that has closed its connection."""

    key: int
    metadata: RequestMetadata
    route: Route
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    began: timedelta
    until: timedelta
    sends: int = 0
    reads: int = 0
    ran: bool = False
    avoid: set[str] = dataclasses.field(default_factory=set)
    unreached: set[str] = dataclasses.field(default_factory=set)
    pauses: int = 0
    engine: str = ""
    since: timedelta = timedelta()
    wire: HttpClientConnection | None = None
    reading: bool = False
    begun: bool = False
    bound: bool = False
    answer_by: timedelta = timedelta.max
    client: Any = None
    left: bool = False
    why: str = ""

    def wait_for(self, *, engine: str, wire: HttpClientConnection, now: timedelta, reading: bool) -> None:
        self.engine, self.wire, self.since, self.reading = engine, wire, now, reading

    def note_send(self, *, state: SendState) -> None:
        """A send to be run has ended in a state, or its answer has begun."""
        self.sends += state.counts
        self.ran = self.ran or state.may_have_run

    def ends_at(self) -> timedelta:
        """When nobody waits for it any more."""
        return (
            self.until if self.begun else min(self.until, self.began + self.route.first_event_timeout, self.answer_by)
        )

    def wait_over(self) -> None:
        self.engine, self.wire = "", None


def note_left(*, host: Host, records: Collection[RequestRecord]) -> list[RequestRecord]:
    """Marks the requests whose clients have closed their connections since the last look, and gives these."""
    by_client = {record.client: record for record in records if record.client is not None and not record.left}
    left = [by_client[sock] for sock in host.closed_by_peer(socks=by_client)] if by_client else []
    for record in left:
        record.left = True
    return left
