"""What happened in a run, as those outside saw it: the ground truth that the checkers read."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.load_generator.agent import Seen


@dataclasses.dataclass(frozen=True, kw_only=True)
class Told:
    """A change an operator sent: when, and what was answered. Status 0: no answer came."""

    sent: timedelta
    ended: timedelta
    tree: dict[str, Any]
    status: int
    mark: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
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
class Truth:
    """Invariants: `rows` are in the order of their times; `sites` names each edge's site, `still` who
    stood still (by HTTP address) from when to when; nothing in here comes from a
    daemon."""

    seen: list[Seen]
    rows: list[Row]
    told: list[Told]
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

    def legs(self) -> list[Row]:
        return [row for row in self.rows if row.leg]


def rows_of(*, engines: list[Any]) -> list[Row]:
    """The engines' own records, brought together."""
    rows = []
    for engine in engines:
        for kept in engine.history:
            fields = dict(kept)
            at = timedelta(microseconds=fields.pop("atUs"))
            known = {key: fields.pop(key) for key in ("engine", "incarnation", "service", "what")}
            rows.append(Row(at=at, fields=fields, **known))
    return sorted(rows, key=lambda row: (row.at, row.engine))
