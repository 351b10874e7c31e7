"""What the chain holds, folded from its entries."""

import dataclasses
from datetime import datetime, timedelta
from typing import Any

from pyrsistent import PMap, PVector, pmap, pvector

from dockmux.accord.span import EPOCH, from_instant_us, instant_us

CONFIGS_KEPT = 20
# Claims are dropped by the slot: a retention has so many.
SLOTS = 1440
# So many slots' claims go into one part of a snapshot.
SLOTS_A_PART = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Config:
    """One accepted configuration. Invariant: of two, the one with the higher mark has the later activate."""

    mark: int
    tree: dict[str, Any]
    activate: datetime

    def fields(self) -> dict[str, Any]:
        return {"mark": self.mark, "tree": self.tree, "activateUs": instant_us(self.activate)}


def config_from(*, fields: dict[str, Any]) -> Config:
    return Config(mark=fields["mark"], tree=fields["tree"], activate=from_instant_us(fields["activateUs"]))


class State:
    """Invariants: `mark` is the last entry folded in; `configs` and `claims` are persistent, so a copy costs
    nothing; `moving` names the engines that are to change phase, which get no new work; `news_mark` is the last
    change that data daemons are told of. Claims' times are no clock's: they count what the heads saw go by on their
    monotonic clocks from change to change, so that a claim is dropped only when the control plane has run for the
    retention since. `claim_slots` holds the claims' keys by slot of that time, oldest first."""

    def __init__(self, *, keep: timedelta) -> None:
        self.keep = keep
        self.mark = 0
        self.news_mark = 0
        self.configs: PVector[Config] = pvector()
        self.engines: list[dict[str, Any]] = []
        self.engines_mark = 0
        self.moving: PMap[str, str] = pmap()
        self.claims: PMap[str, tuple[int, str]] = pmap()
        self.claim_slots: PVector[tuple[int, PVector[str]]] = pvector()
        self.claimedUs = 0

    def copy(self) -> "State":
        fresh = State(keep=self.keep)
        fresh.__dict__.update(self.__dict__)
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
            config = Config(mark=mark, tree=change["tree"], activate=from_instant_us(change["activateUs"]))
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
            self._drop_old(nowUs=change["atUs"])
            self._take_claim(atUs=change["atUs"], key=change["key"], holder=change["holder"])
        else:
            raise ValueError(f"unknown change {kind}")
        self.mark = mark

    @property
    def _slotUs(self) -> int:
        return max(self.keep // timedelta(microseconds=SLOTS), 1)

    def _take_claim(self, *, atUs: int, key: str, holder: str) -> None:
        slot = atUs // self._slotUs
        self.claims = self.claims.set(key, (atUs, holder))
        self.claimedUs = max(self.claimedUs, atUs)
        if self.claim_slots and self.claim_slots[-1][0] == slot:
            self.claim_slots = self.claim_slots.set(-1, (slot, self.claim_slots[-1][1].append(key)))
        else:
            self.claim_slots = self.claim_slots.append((slot, pvector([key])))

    def _drop_old(self, *, nowUs: int) -> None:
        """Drops each slot whose end is older than the retention."""
        limit = nowUs - self.keep // timedelta(microseconds=1)
        dropped = 0
        while dropped < len(self.claim_slots) and (self.claim_slots[dropped][0] + 1) * self._slotUs <= limit:
            kept = self.claims.evolver()
            for key in self.claim_slots[dropped][1]:
                kept.remove(key)
            self.claims = kept.persistent()
            dropped += 1
        if dropped:
            self.claim_slots = self.claim_slots[dropped:]

    def news(self, *, since: int) -> dict[str, Any]:
        """The changes after a mark; for one that is far behind, all that is kept: a snapshot."""
        fields: dict[str, Any] = {"configs": [c.fields() for c in self.configs if c.mark > since]}
        fields["moving"] = dict(self.moving)
        if self.engines_mark > since:
            fields["engines"] = self.engines
            fields["engines_mark"] = self.engines_mark
        return fields

    @property
    def part_count(self) -> int:
        return max(-(-len(self.claim_slots) // SLOTS_A_PART), 1)

    def part(self, *, number: int) -> dict[str, Any]:
        """A part of the snapshot; the claims, which may be many, are spread over the parts."""
        slots = self.claim_slots[number * SLOTS_A_PART : (number + 1) * SLOTS_A_PART]
        claims = [[self.claims[key][0], key, self.claims[key][1]] for _, keys in slots for key in keys]
        return {"mark": self.mark, "part": number, "parts": self.part_count, "claims": claims} | (
            self._rest() if number == 0 else {}
        )

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
            self._take_claim(atUs=atUs, key=key, holder=holder)
        self.mark = fields["mark"]

    def _restore_rest(self, *, fields: dict[str, Any]) -> None:
        self.news_mark = fields["news_mark"]
        self.configs = pvector(config_from(fields=c) for c in fields["configs"])
        self.engines = fields["engines"]
        self.engines_mark = fields["engines_mark"]
        self.moving = pmap(fields["moving"])
        self.claims, self.claim_slots, self.claimedUs = pmap(), pvector(), 0


def test_a_snapshot_restores_the_state_and_old_claims_are_dropped():
    state = State(keep=timedelta(hours=1))
    hourUs = 3_600_000_000
    slotUs = hourUs // SLOTS
    state.fold(mark=1, change={"kind": "config", "tree": {"a": 1}, "activateUs": 5})
    state.fold(mark=2, change={"kind": "claim", "key": "old", "holder": "x", "atUs": 1})
    state.fold(mark=3, change={"kind": "engines", "engines": [{"engine": "e"}]})
    state.fold(mark=4, change={"kind": "claim", "key": "edge", "holder": "y", "atUs": slotUs})
    state.fold(mark=5, change={"kind": "claim", "key": "new", "holder": "z", "atUs": hourUs + 2})
    assert sorted(state.claims) == ["edge", "new", "old"]  # the slot's end is not that old
    state.fold(mark=5, change={"kind": "claim", "key": "newer", "holder": "z", "atUs": hourUs + slotUs})
    assert sorted(state.claims) == ["edge", "new", "newer"]
    state.fold(mark=6, change={"kind": "move", "engine": "e", "phase": "x"})
    state.fold(mark=7, change={"kind": "move", "engine": "f", "phase": "x"})
    state.fold(mark=8, change={"kind": "moved", "engine": "f"})
    other = State(keep=timedelta(hours=1))
    for number in range(state.part_count):
        other.restore(fields=state.part(number=number))
    assert other.__dict__ == state.__dict__
    assert state.news(since=1) == {"configs": [], "engines": [{"engine": "e"}], "engines_mark": 3, "moving": {"e": "x"}}
