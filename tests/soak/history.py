"""What clients, engines, the platform and the operator saw in one soak run: all that its judge may use."""

import dataclasses
from enum import StrEnum


class Kind(StrEnum):
    """What a route lets happen to a request."""

    RESUMED = "resumed"
    STREAM = "stream"
    REPEATABLE = "repeatable"
    ONCE = "once"

    @property
    def repeatable(self) -> bool:
        return self in (Kind.RESUMED, Kind.REPEATABLE)

    @property
    def is_stream(self) -> bool:
        return self in (Kind.RESUMED, Kind.STREAM)


@dataclasses.dataclass(kw_only=True)
class Try:
    """One request of a client. Invariants: times are seconds since the run began; `sent_whole_at` is 0 while its last
    byte was not handed over; `status` is 0 without a head; `whole` says that the answer came to its announced end;
    `left_at` is when the client left of its own will, 0 if it stayed; `expected` is the right body of a success."""

    request_id: str
    edge: str
    kind: Kind
    service: str
    target: str
    sent_body: bytes
    expected: bytes
    tries: int
    sent_at: float
    deadline_s: float
    kept: bool = False
    sent_whole_at: float = 0.0
    left_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    ended_at: float = 0.0
    surplus: bytes = b""
    error: str = ""
    events: int = 0
    last_event: int = 0
    late_route_at: float = 0.0
    """When the version that added its route was acknowledged, where the route was added during the run."""


@dataclasses.dataclass(kw_only=True)
class Arrival:
    """One request at an engine. `what` is "run", "read" or the reason for which it was turned away; `status` is the
    engine's own answer, 0 while it gave none; `broke` says that trouble of the engine ended the answer."""

    at: float
    engine: str
    service: str
    request_id: str
    what: str
    target: str
    body: bytes
    last_event: int = 0
    memory_of: str = ""
    status: int = 0
    ended_at: float = 0.0
    broke: bool = False


class TroubleKind(StrEnum):
    """Troubles of a run; those before ENGINE_CRASH befall processes of the system, PLANNED are none."""

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


PLANNED = (TroubleKind.TERM, TroubleKind.HUP)


@dataclasses.dataclass(kw_only=True)
class Trouble:
    """What befell whom, from when until when."""

    kind: TroubleKind
    target: str
    at: float
    until: float


@dataclasses.dataclass(kw_only=True)
class Change:
    """One order of an operator. `status` is its clear answer's, 0 without one."""

    version: int
    base: int
    valid: bool
    text: bytes
    sent_at: float
    answered_at: float = 0.0
    status: int = 0


@dataclasses.dataclass(kw_only=True)
class Read:
    """One read of the configuration that was answered 200."""

    sent_at: float
    version: int
    text: bytes
    last: bool = False


@dataclasses.dataclass(kw_only=True)
class Order:
    """An order to change an engine's phase, as the engine got it; `sender` is an address."""

    at: float
    engine: str
    owner: str
    fence: int
    sender: str


@dataclasses.dataclass(kw_only=True)
class Sample:
    """What a process used at a moment."""

    at: float
    process: str
    rss_kb: int
    descriptors: int


@dataclasses.dataclass(kw_only=True)
class Life:
    """One life of a process. `ended_alone` says that nobody ended it."""

    process: str
    began: float
    ready_at: float = 0.0
    ended_at: float = 0.0
    code: int | None = None
    ended_alone: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
    """The figures of the pages that a run is judged by, in seconds but for the budget's."""

    live: float = 3.0
    ack: float = 4.0
    drain: float = 3.0
    grace: float = 8.0
    slack: float = 0.2
    apply: float = 2.0
    lease: float = 3.0
    thaw: float = 0.3
    seed_lag: float = 3.0
    list_lag: float = 0.8
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_extra: int = 54


@dataclasses.dataclass(kw_only=True)
class History:
    """Invariant: each list is in the order of what began first."""

    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    tries: list[Try] = dataclasses.field(default_factory=list)
    arrivals: list[Arrival] = dataclasses.field(default_factory=list)
    troubles: list[Trouble] = dataclasses.field(default_factory=list)
    changes: list[Change] = dataclasses.field(default_factory=list)
    reads: list[Read] = dataclasses.field(default_factory=list)
    orders: list[Order] = dataclasses.field(default_factory=list)
    samples: list[Sample] = dataclasses.field(default_factory=list)
    lives: list[Life] = dataclasses.field(default_factory=list)
    log_faults: list[str] = dataclasses.field(default_factory=list)
    ended_at: float = 0.0

    def of(self, *, request_id: str) -> list[Arrival]:
        return [row for row in self.arrivals if row.request_id == request_id]
