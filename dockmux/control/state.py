"""What the chain holds, folded from its entries."""

from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import Any

from pyrsistent import PMap, PVector, pmap, pvector

from dockmux.control.claims import Claims
from dockmux.control.version_log import VersionLog, digest_of
from dockmux.runtime.config import CONFIGS_KEPT, Config, config_from
from dockmux.runtime.time_units import EPOCH

# So many rows of the version log go into one part of a snapshot.
VERSION_ROWS_A_PART = 8


class State:
    """Invariants: `mark` is the last entry folded in; `configs` and `claims` are persistent, so a copy costs
    nothing; `moving` names the engines that are to change phase, which get no new work; `news_mark` is the last
    change that data daemons are told of; `versions` records every configuration that was taken, by the operator's
    number or, without one, by its mark. A copy's claims lie over those of the state that it was made from."""

    def __init__(self, *, keep: timedelta) -> None:
        self.keep = keep
        self.mark = 0
        self.news_mark = 0
        self.configs: PVector[Config] = pvector()
        self.engines: list[dict[str, Any]] = []
        self.engines_mark = 0
        self.moving: PMap[str, str] = pmap()
        self.claims = Claims(keep=keep)
        self.versions = VersionLog()

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
            digest = bytes.fromhex(change["digest"]) if "digest" in change else digest_of(tree=config.tree)
            self.versions = self.versions.append(number=config.number, digest=digest)
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
        return Snapshot(state=self)

    def restore(self, *, fields: dict[str, Any]) -> None:
        """Takes in the next part of a snapshot, from part 0 on."""
        if fields["part"] == 0:
            self._restore_head(fields=fields)
        for config in fields.get("configs", ()):
            self.configs = self.configs.append(config_from(fields=config))
        for atUs, key, holder in fields.get("claims", ()):
            self.claims.add(atUs=atUs, key=key, holder=holder)
        for row in fields.get("versions", ()):
            self.versions = self.versions.with_row(row=row)
        self.mark = fields["mark"]
        if fields["part"] == 0 and "configs" in fields:
            self._adopt_kept_versions()

    def _restore_head(self, *, fields: dict[str, Any]) -> None:
        self.news_mark = fields["news_mark"]
        self.configs = pvector()
        self.engines = fields["engines"]
        self.engines_mark = fields["engines_mark"]
        self.moving = pmap(fields["moving"])
        self.claims = Claims(keep=self.keep)
        self.versions = VersionLog(forgotten_upto=fields.get("forgotten_upto", 0))

    def _adopt_kept_versions(self) -> None:
        """A snapshot from before versions were recorded, with its configurations in part 0: only these are known."""
        if len(self.configs) == CONFIGS_KEPT:
            self.versions = VersionLog(forgotten_upto=self.configs[0].number - 1)
        for config in self.configs:
            self.versions = self.versions.append(number=config.number, digest=digest_of(tree=config.tree))


class Snapshot:
    """A state as it stood, in parts that each fit a message: its head, one configuration a part, the claims, the
    taken versions.

    Invariant: the parts hold every claim up to `mark`, and perhaps later ones, which their entries then tell of again.
    """

    def __init__(self, *, state: State) -> None:
        self.mark = state.mark
        self.configs = state.configs
        self.claims = state.claims
        self.versions = state.versions
        self.claim_keys = state.claims.parts()
        self.version_rows = range(0, state.versions.rows(), VERSION_ROWS_A_PART)
        self.head = {
            "news_mark": state.news_mark,
            "engines": state.engines,
            "engines_mark": state.engines_mark,
            "moving": dict(state.moving),
            "forgotten_upto": state.versions.forgotten_upto,
        }

    def __len__(self) -> int:
        """How many parts it has."""
        return 1 + len(self.configs) + len(self.claim_keys) + len(self.version_rows)

    def part(self, *, number: int) -> dict[str, Any]:
        return {"mark": self.mark, "part": number, "parts": len(self), **self._content(number=number)}

    def _content(self, *, number: int) -> dict[str, Any]:
        if number == 0:
            return self.head
        number -= 1
        if number < len(self.configs):
            return {"configs": [self.configs[number].fields()]}
        number -= len(self.configs)
        if number < len(self.claim_keys):
            return {"claims": self.claims.rows(part=self.claim_keys[number])}
        first = self.version_rows[number - len(self.claim_keys)]
        last = min(first + VERSION_ROWS_A_PART, self.versions.rows())
        return {"versions": [self.versions.row(place=place) for place in range(first, last)]}

    def all_parts(self) -> Iterator[dict[str, Any]]:
        for number in range(len(self)):
            yield self.part(number=number)
