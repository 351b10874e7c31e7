"""The ground truth of a run: what user agents, operators and engines observed.

The checkers read it. All times are offsets from the start of the run.
"""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.load_generator.client import Attempt


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigChange:
    """A configuration change sent by an operator and its answer.

    `status` is the HTTP status, or 0 if no answer came; `mark` is the mark of an accepted change, else 0.
    """

    sent: timedelta
    ended: timedelta
    tree: dict[str, Any]
    status: int
    mark: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineEvent:
    """One row of an engine's record.

    Invariants: `at` is true time; `fields` holds the keys of the row that have no attribute of their own.
    """

    at: timedelta
    engine: str
    incarnation: str
    service: str
    what: str
    fields: dict[str, Any]

    @property
    def is_engine_call(self) -> bool:
        """Whether the row is a prefill or decode call that the engine accepted."""
        return self.what in ("prefill", "decode")


@dataclasses.dataclass(kw_only=True)
class GroundTruth:
    """Everything that a run is judged by.

    Invariants:
    - `engine_events` are in the order of their times.
    - `leave_notices` holds (time, incarnation) of each engine that was known to be leaving from that time on.
    - `site_by_edge` maps the name of each edge to its site.
    - `requests_per_second` is the normal rate of requests; 0 switches off the check of the recovery time.
    - `repaired_at` is when the last fault was repaired; `ended_at` is when the judged part of the run ended.
    - `kept_configs` holds the configurations (mark, tree) that the control plane held at the end, None if they could
      not be read.
    - `frozen_edges` holds (HTTP address, begin, end) of each time that an edge's process was suspended.
    - Nothing comes from what a daemon says of itself, except `kept_configs`.
    """

    attempts: list[Attempt]
    engine_events: list[EngineEvent]
    config_changes: list[ConfigChange]
    leave_notices: list[tuple[timedelta, str]]
    site_by_edge: dict[str, str]
    requests_per_second: float
    repaired_at: timedelta
    ended_at: timedelta
    kept_configs: list[dict[str, Any]] | None = None
    frozen_edges: list[tuple[str, timedelta, timedelta]] = dataclasses.field(default_factory=list)

    def trees_by_mark(self) -> dict[int, dict[str, Any]]:
        """Returns every configuration whose mark is known: those kept and those acknowledged with status 200."""
        known = {config["mark"]: config["tree"] for config in self.kept_configs or []}
        return known | {change.mark: change.tree for change in self.config_changes if change.status == 200}

    def engine_calls(self) -> list[EngineEvent]:
        """Returns the accepted prefill and decode calls, in the order of their times."""
        return [event for event in self.engine_events if event.is_engine_call]


def collect_engine_events(*, engines: list[Any]) -> list[EngineEvent]:
    """Merges the records of the emulated engines, sorted by time and engine."""
    events = []
    for engine in engines:
        for record in engine.history:
            fields = dict(record)
            at = timedelta(microseconds=fields.pop("atUs"))
            known = {key: fields.pop(key) for key in ("engine", "incarnation", "service", "what")}
            events.append(EngineEvent(at=at, fields=fields, **known))
    return sorted(events, key=lambda event: (event.at, event.engine))
