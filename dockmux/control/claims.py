"""Claims of requests that run once: each such request adds one, and it is dropped after the retention time."""

from collections import deque
from datetime import timedelta
from typing import Any

# Claims expire in batches, by time slot; the retention is divided into this many slots.
RETENTION_SLOTS = 1440
# Slots per snapshot part.
SLOTS_PER_PART = 16
MAX_OVERLAY_CLAIMS = 2000


class Claims:
    """Which daemon holds which request.

    The times of claims are not from a clock: the heads count the time that passes between changes on their monotonic
    clocks, so that a claim expires only after the control plane has been running for the retention since.

    Invariants:
    - `claims_by_key` has each claim's time (microseconds) and holder, `slots` their keys by the slot of that time,
      oldest first;
    - a copy is an overlay on its `base`, which may change meanwhile. It holds only the claims added to itself. Claims
      added to the base since are valid in the overlay too, because the base never runs ahead of it.
    """

    def __init__(self, *, claim_retention: timedelta, base: "Claims | None" = None) -> None:
        self.claim_retention = claim_retention
        self.base = base
        self.slot_us = max(claim_retention // timedelta(microseconds=RETENTION_SLOTS), 1)
        self.claims_by_key: dict[str, tuple[int, str]] = {}
        self.slots: deque[tuple[int, list[str]]] = deque()
        self.newest_us = 0

    def overlay(self) -> "Claims":
        """A copy for changes that may not be kept."""
        fresh = Claims(claim_retention=self.claim_retention, base=self.base or self)
        if self.base is not None:
            fresh.claims_by_key = dict(self.claims_by_key)
        fresh.newest_us = self.newest_us
        return fresh

    def _expired(self, *, slot: int, now_us: int) -> bool:
        return (slot + 1) * self.slot_us <= now_us - self.claim_retention // timedelta(microseconds=1)

    def holder(self, *, key: str, now_us: int) -> str | None:
        """The holder of a request at a time, None if there is none or its claim has expired."""
        found = self.claims_by_key.get(key)
        if found is None and self.base is not None:
            found = self.base.claims_by_key.get(key)
        if found is None or self._expired(slot=found[0] // self.slot_us, now_us=now_us):
            return None
        return found[1]

    def __len__(self) -> int:
        return len(self.claims_by_key) + (len(self.base.claims_by_key) if self.base is not None else 0)

    def add(self, *, at_us: int, key: str, holder: str) -> None:
        """Adds a claim and drops those that have expired by its time. An existing claim on the key is kept."""
        self.newest_us = max(self.newest_us, at_us)
        if self.base is not None:
            self.claims_by_key[key] = (at_us, holder)
            if len(self.claims_by_key) > MAX_OVERLAY_CLAIMS:
                self.claims_by_key = {
                    k: claim for k, claim in self.claims_by_key.items() if self.base.claims_by_key.get(k) != claim
                }
            return
        while self.slots and self._expired(slot=self.slots[0][0], now_us=at_us):
            for gone in self.slots.popleft()[1]:
                del self.claims_by_key[gone]
        if key in self.claims_by_key:
            return  # A snapshot part may contain a claim before its entry is applied.
        self.claims_by_key[key] = (at_us, holder)
        slot = at_us // self.slot_us
        if not self.slots or self.slots[-1][0] != slot:
            self.slots.append((slot, []))
        self.slots[-1][1].append(key)

    def parts(self) -> list[list[list[str]]]:
        """The keys by slot, grouped into snapshot parts; claims added later may show up in the last part."""
        slots = [keys for _, keys in self.slots]
        return [slots[place : place + SLOTS_PER_PART] for place in range(0, len(slots), SLOTS_PER_PART)] or [[]]

    def rows(self, *, part: list[list[str]]) -> list[list[Any]]:
        """The claims of a part that have not been dropped, as [time, key, holder]."""
        keys = [key for keys in part for key in keys]
        found = [(key, self.claims_by_key.get(key)) for key in keys]
        return [[claim[0], key, claim[1]] for key, claim in found if claim is not None]


def test_claims_expire_by_slot_and_an_overlay_sees_its_own_and_the_base():
    claims = Claims(claim_retention=timedelta(hours=1))
    hour_us, slot_us = 3_600_000_000, claims.slot_us
    claims.add(at_us=1, key="old", holder="x")
    claims.add(at_us=slot_us, key="edge", holder="y")
    overlay = claims.overlay()
    overlay.add(at_us=hour_us, key="own", holder="z")
    again = overlay.overlay()
    assert [c.holder(key="own", now_us=hour_us) for c in (claims, overlay, again)] == [None, "z", "z"]
    claims.add(at_us=hour_us, key="own", holder="z")
    claims.add(at_us=hour_us + slot_us - 1, key="new", holder="z")
    assert sorted(claims.claims_by_key) == ["edge", "new", "old", "own"]  # the slot has not fully expired
    claims.add(at_us=hour_us + slot_us, key="newer", holder="z")
    assert sorted(claims.claims_by_key) == ["edge", "new", "newer", "own"]
    assert overlay.holder(key="edge", now_us=hour_us + slot_us) == "y"
    assert overlay.holder(key="edge", now_us=hour_us + 2 * slot_us) is None
    claims.add(at_us=hour_us + slot_us, key="newer", holder="another")
    assert claims.holder(key="newer", now_us=hour_us + slot_us) == "z"


def test_an_overlay_stays_small():
    claims = Claims(claim_retention=timedelta(hours=1))
    overlay = claims.overlay()
    for n in range(3 * MAX_OVERLAY_CLAIMS):
        overlay.add(at_us=n, key=f"k{n}", holder="x")
        claims.add(at_us=n, key=f"k{n}", holder="x")
    assert len(overlay.claims_by_key) <= MAX_OVERLAY_CLAIMS and overlay.holder(key="k0", now_us=1) == "x"
