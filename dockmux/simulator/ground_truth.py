"""What happened in a run, as those outside saw it: the ground truth that the checkers read."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.load_generator.client import Attempt


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigChange:
    """A change an operator sent: when, and what was answered. Status 0: no answer came."""

    sent: timedelta
    ended: timedelta
    tree: dict[str, Any]
    status: int
    mark: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineEvent:
    """Something that an engine did, at true time."""

    at: timedelta
    engine: str
    incarnation: str
    service: str
    what: str
    fields: dict[str, Any]

    @property
    def leg(self) -> bool:
        """A leg of a request reached the engine and was taken on."""
        return self.what in ("prefill", "decode")


@dataclasses.dataclass(kw_only=True)
class GroundTruth:
    """Invariants: `rows` are in the order of their times; `sites` names each edge's site, `still` who
    stood still (by HTTP address) from when to when; nothing in here comes from a
    daemon."""

    seen: list[Attempt]
    rows: list[EngineEvent]
    told: list[ConfigChange]
    leaving: list[tuple[timedelta, str]]
    sites: dict[str, str]
    perSecond: float
    healed: timedelta
    lasted: timedelta
    kept: list[dict[str, Any]] | None = None
    still: list[tuple[str, timedelta, timedelta]] = dataclasses.field(default_factory=list)

    def trees(self) -> dict[int, dict[str, Any]]:
        """Every configuration whose mark is known."""
        known = {row["mark"]: row["tree"] for row in self.kept or []}
        return known | {told.mark: told.tree for told in self.told if told.status == 200}

    def legs(self) -> list[EngineEvent]:
        return [row for row in self.rows if row.leg]


def rows_of(*, engines: list[Any]) -> list[EngineEvent]:
    """The engines' own records, brought together."""
    rows = []
    for engine in engines:
        for kept in engine.history:
            fields = dict(kept)
            at = timedelta(microseconds=fields.pop("atUs"))
            known = {key: fields.pop(key) for key in ("engine", "incarnation", "service", "what")}
            rows.append(EngineEvent(at=at, fields=fields, **known))
    return sorted(rows, key=lambda row: (row.at, row.engine))
