"""The state machine that the chain's log entries are applied to, and its snapshots."""

from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import Any

from pyrsistent import PMap, PVector, pmap, pvector

from dockmux.control.claims import Claims
from dockmux.control.version_log import VersionLog, digest_of
from dockmux.runtime.config import CONFIGS_KEPT, Config, config_from
from dockmux.runtime.time_units import EPOCH

# Rows of the version log per snapshot part.
VERSION_ROWS_PER_PART = 8


class State:
    """The replicated state: configurations, engine list, phase moves, claims.

    Invariants:
    - `mark` is the index of the last applied entry;
    - `configs` and `claims` are shared between copies, so a copy is cheap; a copy's claims are an overlay on those of
      the state that it was made from;
    - `moving` maps the engines that are about to change phase, which get no new requests, to the new phase;
    - `news_mark` is the index of the last change that data daemons are told of, `engines_mark` of the last engine list;
    - `versions` records every accepted configuration, by the operator's version or, without one, by its index;
    - `claim_retention` is how long a claim is kept.
    """

    def __init__(self, *, claim_retention: timedelta) -> None:
        self.claim_retention = claim_retention
        self.mark = 0
        self.news_mark = 0
        self.configs: PVector[Config] = pvector()
        self.engines: list[dict[str, Any]] = []
        self.engines_mark = 0
        self.moving: PMap[str, str] = pmap()
        self.claims = Claims(claim_retention=claim_retention)
        self.versions = VersionLog()

    def copy(self) -> "State":
        """A copy that can be changed independently."""
        fresh = State(claim_retention=self.claim_retention)
        fresh.__dict__.update(self.__dict__)
        fresh.claims = self.claims.overlay()
        return fresh

    @property
    def config(self) -> Config | None:
        return self.configs[-1] if self.configs else None

    def latest_time(self) -> datetime:
        """A lower bound for the time at which a new time source may start."""
        return self.configs[-1].activate if self.configs else EPOCH

    def apply(self, *, mark: int, change: dict[str, Any]) -> None:
        """Applies the log entry at index `mark`. ValueError if the kind of the change is unknown."""
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
            self.claims.add(at_us=change["atUs"], key=change["key"], holder=change["holder"])
        else:
            raise ValueError(f"unknown change {kind}")
        self.mark = mark

    def news(self, *, since: int, newest: bool = False) -> dict[str, Any]:
        """The changes after index `since`; a reader that is far behind gets all that is kept. With `newest`, only the
        last of the configurations."""
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
        """Applies the next part of a snapshot; the parts must come in order, from part 0."""
        if fields["part"] == 0:
            self._restore_head(fields=fields)
        for config in fields.get("configs", ()):
            self.configs = self.configs.append(config_from(fields=config))
        for at_us, key, holder in fields.get("claims", ()):
            self.claims.add(at_us=at_us, key=key, holder=holder)
        for row in fields.get("versions", ()):
            self.versions = self.versions.with_row(row=row)
        self.mark = fields["mark"]
        if fields["part"] == 0 and "configs" in fields:
            self._derive_versions_from_configs()

    def _restore_head(self, *, fields: dict[str, Any]) -> None:
        self.news_mark = fields["news_mark"]
        self.configs = pvector()
        self.engines = fields["engines"]
        self.engines_mark = fields["engines_mark"]
        self.moving = pmap(fields["moving"])
        self.claims = Claims(claim_retention=self.claim_retention)
        self.versions = VersionLog(forgotten_upto=fields.get("forgotten_upto", 0))

    def _derive_versions_from_configs(self) -> None:
        """Fills the version log from a snapshot that was written before versions were recorded, which has its
        configurations in part 0: only these versions are known."""
        if len(self.configs) == CONFIGS_KEPT:
            self.versions = VersionLog(forgotten_upto=self.configs[0].number - 1)
        for config in self.configs:
            self.versions = self.versions.append(number=config.number, digest=digest_of(tree=config.tree))


class Snapshot:
    """A point-in-time state in parts that each fit into a message: the header, one configuration per part, the claims,
    the version log.

    Invariant: the parts hold every claim up to index `mark`, and possibly later ones, which are applied again with
    their own entries.
    """

    def __init__(self, *, state: State) -> None:
        self.mark = state.mark
        self.configs = state.configs
        self.claims = state.claims
        self.versions = state.versions
        self.claim_keys = state.claims.parts()
        self.version_rows = range(0, state.versions.rows(), VERSION_ROWS_PER_PART)
        self.head = {
            "news_mark": state.news_mark,
            "engines": state.engines,
            "engines_mark": state.engines_mark,
            "moving": dict(state.moving),
            "forgotten_upto": state.versions.forgotten_upto,
        }

    def __len__(self) -> int:
        """The number of parts."""
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
        last = min(first + VERSION_ROWS_PER_PART, self.versions.rows())
        return {"versions": [self.versions.row(index=index) for index in range(first, last)]}

    def all_parts(self) -> Iterator[dict[str, Any]]:
        for number in range(len(self)):
            yield self.part(number=number)
