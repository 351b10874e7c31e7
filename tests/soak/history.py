"""The history of one soak run, as recorded by its clients, engines, platform and operator: the judge's only input.

Times (`at`, `until`, `..._at`) are seconds since the run began; 0 stands for "not yet" or "never".
"""

import dataclasses
from enum import StrEnum


class RequestKind(StrEnum):
    """The type of a route: whether its requests may be repeated and whether its answers are streams.

    RESUMED is a stream that can be resumed after its last event, STREAM one that cannot. ONCE may run at most once.
    """

    RESUMED = "resumed"
    STREAM = "stream"
    REPEATABLE = "repeatable"
    ONCE = "once"

    @property
    def repeatable(self) -> bool:
        return self in (RequestKind.RESUMED, RequestKind.REPEATABLE)

    @property
    def is_stream(self) -> bool:
        return self in (RequestKind.RESUMED, RequestKind.STREAM)


@dataclasses.dataclass(kw_only=True)
class ClientRequest:
    """One request of a client; the resumption of a stream is a request of its own.

    Invariants: `fully_sent_at` is 0 until the last byte has been written to the connection; `status` is 0 if no head
    was received; `complete` says that the answer reached its announced end; `disconnected_at` is when the client chose
    to disconnect, 0 if it did not; `expected` is the correct body of a success. `max_attempts` is the route's `tries`;
    `surplus` holds bytes that followed the answer; `events` is the length of a stream, of which the first `last_event`
    were received by an earlier request.
    """

    request_id: str
    edge: str
    kind: RequestKind
    service: str
    target: str
    sent_body: bytes
    expected: bytes
    max_attempts: int
    sent_at: float
    deadline_s: float
    on_reused_connection: bool = False
    fully_sent_at: float = 0.0
    disconnected_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    ended_at: float = 0.0
    surplus: bytes = b""
    error: str = ""
    events: int = 0
    last_event: int = 0
    route_added_at: float = 0.0
    """When the version that added its route was acknowledged; 0 if the route was not added during the run."""


@dataclasses.dataclass(kw_only=True)
class Arrival:
    """One request that reached an engine.

    `outcome` is "queued" at first, then "run", "prefill" or the status of the engine's refusal as text. `status` is the
    status of the engine's answer, 0 until there is one. `aborted` says that a fault of the engine ended the answer.
    `kv_cache_of` is the request whose prefilled KV cache was used, empty if none was. `last_event` is the event after
    which a stream is resumed. `endless` says that the engine answered with bytes without end.
    """

    at: float
    engine: str
    service: str
    request_id: str
    outcome: str
    target: str
    body: bytes
    last_event: int = 0
    kv_cache_of: str = ""
    status: int = 0
    ended_at: float = 0.0
    aborted: bool = False
    endless: bool = False


class FaultKind(StrEnum):
    """The faults and planned operations of a run. Those before ENGINE_CRASH concern cores and edges.

    The values are those of the plan file and the report.
    """

    TERM = "SIGTERM"
    HUP = "SIGHUP"
    KILL = "SIGKILL"
    STOP = "SIGSTOP"
    REPLACE = "replaced"
    ENGINE_CRASH = "engine crashes"
    ENGINE_GREY = "engine grey"
    ENGINE_SILENT = "engine silent"
    ENGINE_LEAVES = "engine leaves"
    LINK_SLOW = "link slow"
    LINK_CUT = "link cut"
    LINK_RESET = "links reset"
    LIST_DOWN = "list down"
    ENGINE_ENDLESS = "engine without end"
    LIST_ENDLESS = "list without end"
    CLIENT_ENDLESS = "client without end"
    DISK_REFUSES = "disk refuses writes"


class Surrounding(StrEnum):
    """What a machine's processes are short of from their start, through the whole run."""

    LOG_FULL = "log full"
    LOG_UNREAD = "log not read"
    FEW_DESCRIPTORS = "few descriptors"
    LITTLE_MEMORY = "little memory"


# Planned operations: a request that is lost during one is not excused, as it is during a fault.
PLANNED_KINDS = (FaultKind.TERM, FaultKind.HUP)


@dataclasses.dataclass(kw_only=True)
class Fault:
    """A fault or planned operation at `target` (a process, an engine or "list") between two times."""

    kind: FaultKind
    target: str
    at: float
    until: float


@dataclasses.dataclass(kw_only=True)
class ConfigChange:
    """One configuration change of the operator. `status` is that of a definite answer, 0 if there was none."""

    version: int
    base_version: int
    valid: bool
    text: bytes
    sent_at: float
    answered_at: float = 0.0
    status: int = 0


@dataclasses.dataclass(kw_only=True)
class ConfigRead:
    """One read of the configuration that was answered 200; `is_final` marks the one at the end of the run."""

    sent_at: float
    version: int
    text: bytes
    is_final: bool = False


@dataclasses.dataclass(kw_only=True)
class PhaseOrder:
    """An order to change an engine's phase, as the engine received it; `sender` is an address."""

    at: float
    engine: str
    owner: str
    fence: int
    sender: str


@dataclasses.dataclass(kw_only=True)
class ResourceSample:
    """The resident memory (KB) and open descriptors of a process at one time."""

    at: float
    process: str
    rss_kb: int
    descriptors: int


@dataclasses.dataclass(kw_only=True)
class ProcessInstance:
    """One process from its start to its exit. `exited_unexpectedly` says that the run did not end it."""

    process: str
    started_at: float
    ready_at: float = 0.0
    ended_at: float = 0.0
    exit_code: int | None = None
    exited_unexpectedly: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """The bounds that a run is configured with and judged by, named as in the platform's settings.

    live_s: for a process to recover from a fault or start. ack_s: until a change is acknowledged. drain_s: until a
    leaving engine gets no new requests. grace_s: from SIGTERM to the kill. slack_s: an answer that ends later than this
    after the request was sent shows that the edge had read the request. apply_s: until an acknowledged change is in
    force. lease_s: between two senders of phase orders. seed_lag_s: until the seeds follow a replaced machine.
    list_lag_s: the delay of the engine list. In any retry_window_s, retry_ratio x requests + retry_extra extra arrivals
    are allowed. thaw_s is only configured, not judged.
    """

    live_s: float = 3.0
    ack_s: float = 4.0
    drain_s: float = 3.0
    grace_s: float = 8.0
    slack_s: float = 0.2
    apply_s: float = 2.0
    lease_s: float = 3.0
    thaw_s: float = 0.3
    seed_lag_s: float = 3.0
    list_lag_s: float = 0.8
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: int = 54


@dataclasses.dataclass(kw_only=True)
class History:
    """Everything recorded in a run. Invariant: each list is ordered by when its rows began. `not_ready_at_end` names
    the edges that were still not ready when all faults had been over for `live_s`."""

    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    requests: list[ClientRequest] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    faults: list[Fault] = dataclasses.field(default_factory=list)
    changes: list[ConfigChange] = dataclasses.field(default_factory=list)
    config_reads: list[ConfigRead] = dataclasses.field(default_factory=list)
    phase_orders: list[PhaseOrder] = dataclasses.field(default_factory=list)
    samples: list[ResourceSample] = dataclasses.field(default_factory=list)
    process_instances: list[ProcessInstance] = dataclasses.field(default_factory=list)
    log_errors: list[str] = dataclasses.field(default_factory=list)
    not_ready_at_end: list[str] = dataclasses.field(default_factory=list)
    ended_at: float = 0.0

    def arrivals_of(self, *, request_id: str) -> list[Arrival]:
        return [arrival for arrival in self.arrivals if arrival.request_id == request_id]
