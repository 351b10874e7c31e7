"""State of one client request while it is open."""

import dataclasses
from collections.abc import Collection
from datetime import timedelta
from typing import Any

from dockmux.platform_proxy.protocol_adapter import RequestMetadata
from dockmux.platform_proxy.routes import Route
from dockmux.platform_proxy.send_state import SendState
from dockmux.runtime.host import Host
from dockmux.runtime.http_client import HttpClientConnection


@dataclasses.dataclass(kw_only=True)
class RequestRecord:
    """Invariants (times are monotonic):
    - `deadline` is when the client's deadline or the route's time-out ends the request; before `answer_started`, which
      means that the client has the beginning of an answer, the request also ends with the route's patience and at
      `answer_by`, the time limit of a daemon that shuts down;
    - `sends` counts the engines to which it was sent to be run, `prefills` those that only ran its prefill;
    - once `may_have_run`, it is not refused any more;
    - engines in `avoid` failed it and are not tried again while others are left; those in `unreachable` could not be
      connected to; `retry_pauses` counts the pauses before such engines were tried again;
    - while it waits for an engine, `engine` names it, `connection` is the connection to it, `last_activity_at` is when,
      in the running time of the process, it last sent something, and `in_prefill` means that only the prefill runs
      there, which may be repeated whatever
      the route's rule;
    - `committed` means that no other engine can continue what the client has received;
    - `client_socket` is the client's connection, None where there is none; `disconnected` means that the client has
      closed it;
    - `reason` describes the last failure."""

    key: int
    metadata: RequestMetadata
    route: Route
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    admitted_at: timedelta
    deadline: timedelta
    sends: int = 0
    prefills: int = 0
    may_have_run: bool = False
    avoid: set[str] = dataclasses.field(default_factory=set)
    unreachable: set[str] = dataclasses.field(default_factory=set)
    retry_pauses: int = 0
    engine: str = ""
    last_activity_at: timedelta = timedelta()
    connection: HttpClientConnection | None = None
    in_prefill: bool = False
    answer_started: bool = False
    committed: bool = False
    answer_by: timedelta = timedelta.max
    client_socket: Any = None
    disconnected: bool = False
    reason: str = ""

    def begin_wait(self, *, engine: str, connection: HttpClientConnection, now: timedelta, prefill: bool) -> None:
        self.engine, self.connection, self.last_activity_at, self.in_prefill = engine, connection, now, prefill

    def note_send(self, *, state: SendState) -> None:
        """Counts a send to be run, once it has ended in a state or its answer has begun."""
        self.sends += state.counts_as_try
        self.may_have_run = self.may_have_run or state.may_have_run

    def expires_at(self) -> timedelta:
        """When nobody waits for it any more, monotonic."""
        return (
            self.deadline
            if self.answer_started
            else min(self.deadline, self.admitted_at + self.route.first_event_timeout, self.answer_by)
        )

    def end_wait(self) -> None:
        self.engine, self.connection = "", None


def mark_disconnected(*, host: Host, records: Collection[RequestRecord]) -> list[RequestRecord]:
    """Marks the requests whose clients have closed their connections since the last call, and returns them."""
    by_socket = {
        record.client_socket: record
        for record in records
        if record.client_socket is not None and not record.disconnected
    }
    closed = [by_socket[sock] for sock in host.closed_by_peer(socks=by_socket)] if by_socket else []
    for record in closed:
        record.disconnected = True
    return closed
