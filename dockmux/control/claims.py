"""The claims of requests that run once: added by every one of them, dropped when their retention is over."""

from collections import deque
from datetime import timedelta
from typing import Any

# Claims are dropped by the slot: a retention has so many.
SLOTS = 1440
# So many slots' claims go into one part of a snapshot.
SLOTS_A_PART = 16
OVER_MOST = 2000


class Claims:
    """Who holds which request. Claims' times are no clock's: they count what the heads saw go by on their monotonic
    clocks from change to change, so that a claim is dropped only when the control plane has run for the retention
    since.

    Invariants: `kept` has each claim's time and holder, `slots` their keys by slot of that time, oldest first. A copy
    is laid `over` the claims that it was made from, which may go on meanwhile: it holds only what it was given itself,
    and what those below have taken in since is true of it as well, for they never run ahead of it.
    """

    def __init__(self, *, keep: timedelta, below: "Claims | None" = None) -> None:
        self.keep = keep
        self.below = below
        self.slotUs = max(keep // timedelta(microseconds=SLOTS), 1)
        self.kept: dict[str, tuple[int, str]] = {}
        self.slots: deque[tuple[int, list[str]]] = deque()
        self.newestUs = 0

    def over(self) -> "Claims":
        fresh = Claims(keep=self.keep, below=self.below or self)
        if self.below is not None:
            fresh.kept = dict(self.kept)
        fresh.newestUs = self.newestUs
        return fresh

    def _gone(self, *, slot: int, nowUs: int) -> bool:
        return (slot + 1) * self.slotUs <= nowUs - self.keep // timedelta(microseconds=1)

    def holder(self, *, key: str, nowUs: int) -> str | None:
        """Who holds a request at a time, if anyone."""
        found = self.kept.get(key)
        if found is None and self.below is not None:
            found = self.below.kept.get(key)
        if found is None or self._gone(slot=found[0] // self.slotUs, nowUs=nowUs):
            return None
        return found[1]

    def __len__(self) -> int:
        return len(self.kept) + (len(self.below.kept) if self.below is not None else 0)

    def add(self, *, atUs: int, key: str, holder: str) -> None:
        self.newestUs = max(self.newestUs, atUs)
        if self.below is not None:
            self.kept[key] = (atUs, holder)
            if len(self.kept) > OVER_MOST:
                self.kept = {k: claim for k, claim in self.kept.items() if self.below.kept.get(k) != claim}
            return
        while self.slots and self._gone(slot=self.slots[0][0], nowUs=atUs):
            for gone in self.slots.popleft()[1]:
                del self.kept[gone]
        if key in self.kept:
            return  # A part of a snapshot may tell of it before its entry does.
        self.kept[key] = (atUs, holder)
        slot = atUs // self.slotUs
        if not self.slots or self.slots[-1][0] != slot:
            self.slots.append((slot, []))
        self.slots[-1][1].append(key)

    def parts(self) -> list[list[list[str]]]:
        """The keys by slot, some slots a part; what comes later may be in it as well."""
        slots = [keys for _, keys in self.slots]
        return [slots[place : place + SLOTS_A_PART] for place in range(0, len(slots), SLOTS_A_PART)] or [[]]

    def rows(self, *, part: list[list[str]]) -> list[list[Any]]:
        """The claims of a part that are still kept."""
        keys = [key for keys in part for key in keys]
        found = [(key, self.kept.get(key)) for key in keys]
        return [[claim[0], key, claim[1]] for key, claim in found if claim is not None]


def test_claims_are_dropped_by_the_slot_and_a_copy_sees_both_its_own_and_those_below():
    claims = Claims(keep=timedelta(hours=1))
    hourUs, slotUs = 3_600_000_000, claims.slotUs
    claims.add(atUs=1, key="old", holder="x")
    claims.add(atUs=slotUs, key="edge", holder="y")
    over = claims.over()
    over.add(atUs=hourUs, key="own", holder="z")
    again = over.over()
    assert [c.holder(key="own", nowUs=hourUs) for c in (claims, over, again)] == [None, "z", "z"]
    claims.add(atUs=hourUs, key="own", holder="z")
    claims.add(atUs=hourUs + slotUs - 1, key="new", holder="z")
    assert sorted(claims.kept) == ["edge", "new", "old", "own"]  # the slot's end is not that old
    claims.add(atUs=hourUs + slotUs, key="newer", holder="z")
    assert sorted(claims.kept) == ["edge", "new", "newer", "own"]
    assert over.holder(key="edge", nowUs=hourUs + slotUs) == "y"
    assert over.holder(key="edge", nowUs=hourUs + 2 * slotUs) is None
    claims.add(atUs=hourUs + slotUs, key="newer", holder="another")
    assert claims.holder(key="newer", nowUs=hourUs + slotUs) == "z"


def test_what_lies_over_others_stays_small():
    claims = Claims(keep=timedelta(hours=1))
    over = claims.over()
    for n in range(3 * OVER_MOST):
        over.add(atUs=n, key=f"k{n}", holder="x")
        claims.add(atUs=n, key=f"k{n}", holder="x")
    assert len(over.kept) <= OVER_MOST and over.holder(key="k0", nowUs=1) == "x"
