"""What the chain holds, folded from its entries."""

from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import Any

from pyrsistent import PMap, PVector, pmap, pvector

from dockmux.accord.config import CONFIGS_KEPT, Config, config_from
from dockmux.accord.span import EPOCH
from dockmux.control.claims import Claims


class State:
    """Invariants: `mark` is the last entry folded in; `configs` and `claims` are persistent, so a copy costs
    nothing; `moving` names the engines that are to change phase, which get no new work; `news_mark` is the last
    change that data daemons are told of. A copy's claims lie over those of the state that it was made from."""

    def __init__(self, *, keep: timedelta) -> None:
        self.keep = keep
        self.mark = 0
        self.news_mark = 0
        self.configs: PVector[Config] = pvector()
        self.engines: list[dict[str, Any]] = []
        self.engines_mark = 0
        self.moving: PMap[str, str] = pmap()
        self.claims = Claims(keep=keep)

    def copy(self) -> "State":
        fresh = State(keep=self.keep)
        fresh.__dict__.update(self.__dict__)
        fresh.claims = self.claims.over()
        return fresh

    @property
    def config(self) -> Config | None:
        return self.configs[-1] if self.configs else None

    def latest_time(self) -> datetime:
        """No later source of time may begin before this."""
        return self.configs[-1].activate if self.configs else EPOCH

    def fold(self, *, mark: int, change: dict[str, Any]) -> None:
        kind = change["kind"]
        if kind == "config":
            config = config_from(fields={"mark": mark, **change})
            self.configs = self.configs.append(config)[-CONFIGS_KEPT:]
            self.news_mark = mark
        elif kind == "engines":
            self.engines, self.engines_mark = change["engines"], mark
            self.news_mark = mark
        elif kind == "move":
            self.moving = self.moving.set(change["engine"], change["phase"])
            self.news_mark = mark
        elif kind == "moved":
            self.moving = self.moving.discard(change["engine"])
            self.news_mark = mark
        elif kind == "claim":
            self.claims.add(atUs=change["atUs"], key=change["key"], holder=change["holder"])
        else:
            raise ValueError(f"unknown change {kind}")
        self.mark = mark

    def news(self, *, since: int, newest: bool = False) -> dict[str, Any]:
        """The changes after a mark; for one that is far behind, all that is kept: a snapshot. With `newest`, of the
        configurations only the last."""
        configs = self.configs[-1:] if newest else self.configs
        fields: dict[str, Any] = {"configs": [c.fields() for c in configs if c.mark > since]}
        fields["moving"] = dict(self.moving)
        if self.engines_mark > since:
            fields["engines"] = self.engines
            fields["engines_mark"] = self.engines_mark
        return fields

    def snapshot(self) -> "Snapshot":
        return Snapshot(rest=self._rest(), claims=self.claims)

    def _rest(self) -> dict[str, Any]:
        return {
            "mark": self.mark,
            "news_mark": self.news_mark,
            "configs": [c.fields() for c in self.configs],
            "engines": self.engines,
            "engines_mark": self.engines_mark,
            "moving": dict(self.moving),
        }

    def restore(self, *, fields: dict[str, Any]) -> None:
        """Takes in the next part of a snapshot, from part 0 on."""
        if fields["part"] == 0:
            self._restore_rest(fields=fields)
        for atUs, key, holder in fields["claims"]:
            self.claims.add(atUs=atUs, key=key, holder=holder)
        self.mark = fields["mark"]

    def _restore_rest(self, *, fields: dict[str, Any]) -> None:
        self.news_mark = fields["news_mark"]
        self.configs = pvector(config_from(fields=c) for c in fields["configs"])
        self.engines = fields["engines"]
        self.engines_mark = fields["engines_mark"]
        self.moving = pmap(fields["moving"])
        self.claims = Claims(keep=self.keep)


class Snapshot:
    """A state as it stood, in parts, for its claims may be many. Invariant: the parts hold every claim up to `mark`,
    and perhaps later ones, which their entries then tell of again."""

    def __init__(self, *, rest: dict[str, Any], claims: Claims) -> None:
        self.mark = rest["mark"]
        self.rest = rest
        self.claims = claims
        self.keys = claims.parts()

    def part(self, *, number: int) -> dict[str, Any]:
        rows = self.claims.rows(part=self.keys[number])
        fields = {"mark": self.mark, "part": number, "parts": len(self.keys), "claims": rows}
        return fields | self.rest if number == 0 else fields

    def all_parts(self) -> Iterator[dict[str, Any]]:
        for number in range(len(self.keys)):
            yield self.part(number=number)


def test_a_snapshot_in_parts_restores_the_state():
    state = State(keep=timedelta(hours=1))
    state.fold(mark=1, change={"kind": "config", "tree": {"a": 1}, "activateUs": 5})
    state.fold(mark=2, change={"kind": "engines", "engines": [{"engine": "e"}]})
    for mark in range(3, 103):
        change = {"kind": "claim", "key": f"k{mark}", "holder": "x", "atUs": mark * state.claims.slotUs}
        state.fold(mark=mark, change=change)
    state.fold(mark=103, change={"kind": "move", "engine": "e", "phase": "x"})
    state.fold(mark=104, change={"kind": "move", "engine": "f", "phase": "x"})
    state.fold(mark=105, change={"kind": "moved", "engine": "f"})
    parts = state.snapshot()
    assert len(parts.keys) == 7
    other = State(keep=timedelta(hours=1))
    for part in parts.all_parts():
        other.restore(fields=part)
    assert vars(other.claims) == vars(state.claims)
    left, right = ({**vars(s), "claims": None} for s in (other, state))
    assert left == right
    assert state.news(since=1) == {"configs": [], "engines": [{"engine": "e"}], "engines_mark": 2, "moving": {"e": "x"}}
