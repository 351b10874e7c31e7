"""What a check of the soak finds, and the lookups in a history that several checks share."""

import dataclasses
from collections import defaultdict

from tests.soak.history import PLANNED_KINDS, Arrival, ClientRequest, Fault, FaultKind, History

# Where single cases are no proof, a check reports only more cases than this.
MAX_TOLERATED_CASES = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Violation:
    """A breach of a rule. `rule` is its name in the report; `request_id` is empty where no single request shows it."""

    rule: str
    detail: str
    request_id: str = ""


@dataclasses.dataclass(kw_only=True)
class HistoryIndex:
    """A history with the lookups that several checks share.

    Invariant: `arrivals_by_id` and `requests_by_id` hold every arrival and every request of the history under its id.
    """

    history: History
    arrivals_by_id: dict[str, list[Arrival]] = dataclasses.field(default_factory=lambda: defaultdict(list))
    requests_by_id: dict[str, ClientRequest] = dataclasses.field(default_factory=dict)

    def __post_init__(self) -> None:
        for arrival in self.history.arrivals:
            self.arrivals_by_id[arrival.request_id].append(arrival)
        self.requests_by_id = {request.request_id: request for request in self.history.requests}

    def runs_of(self, *, request_id: str) -> list[Arrival]:
        """The arrivals of a request that engines ran; prefills and refused arrivals are not among them."""
        return [arrival for arrival in self.arrivals_by_id.get(request_id, []) if arrival.outcome == "run"]

    def unplanned_faults(self, *, targets: set[str], begin: float, end: float) -> list[Fault]:
        """Faults at any of the targets that overlap the span; planned operations (SIGTERM, SIGHUP) don't count."""
        return [
            fault
            for fault in self.history.faults
            if fault.kind not in PLANNED_KINDS and fault.target in targets and fault.at <= end and fault.until >= begin
        ]

    def is_undisturbed(self, *, process: str, at: float) -> bool:
        """Whether the process, the cores and the engine list have no fault and had none for `live_s` before.

        Planned operations count as faults here.
        """
        live_s = self.history.bounds.live_s
        return not any(
            fault.at <= at and fault.until + live_s >= at
            for fault in self.history.faults
            if fault.target == process or fault.target.startswith("core") or fault.kind is FaultKind.LIST_DOWN
        )
