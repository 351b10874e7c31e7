"""Which engine gets a leg: phase, usage, prefix affinity, site."""

import dataclasses
import hashlib
import random
from typing import Any

from dockmux.runtime.messages import EngineUsage

QUEUE_PER_SLOT = 0.2
AFFINITY_WORTH = 0.35
SITE_WORTH = 0.05
AFFINE_ENGINES = 2
DRAWN = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Offer:
    """An engine that may be assigned. Invariants: it serves the service, is in the phase, was seen a short while ago,
    and is not known to be leaving; `own` counts the legs that went there from here since it was looked at."""

    engine: dict[str, Any]
    usage: EngineUsage
    own: int

    @property
    def pressure(self) -> float:
        """Work per slot: what the engine told, and what went there from here since."""
        return (self.usage.running + self.usage.queued + self.own) / max(self.usage.capacity, 1)

    @property
    def full(self) -> bool:
        return self.pressure >= 1 + QUEUE_PER_SLOT


def affine(*, prefix_digest: str, engines: list[str]) -> list[str]:
    """The engines whose cache a shared prefix is steered to, most wanted first."""

    def score(engine: str) -> bytes:
        return hashlib.sha256(f"{prefix_digest}|{engine}".encode()).digest()

    return sorted(engines, key=score, reverse=True)[:AFFINE_ENGINES]


def assign(
    *, offers: list[Offer], prefix_digest: str | None, site: str, avoid: set[str], chance: random.Random
) -> Offer | None:
    """The less loaded of two engines drawn by chance, for all daemons see the same least loaded one until the next
    look; among those that a shared prefix is steered to besides. Prefix and own site are worth a little load."""
    open_offers = [offer for offer in offers if not offer.full]
    open_offers = [o for o in open_offers if o.engine["engine"] not in avoid] or open_offers
    if not open_offers:
        return None
    wanted: list[str] = []
    if prefix_digest is not None:
        wanted = affine(prefix_digest=prefix_digest, engines=sorted(o.engine["engine"] for o in offers))

    drawn = chance.sample(open_offers, min(DRAWN, len(open_offers)))
    drawn += [offer for offer in open_offers if offer.engine["engine"] in wanted and offer not in drawn]

    def cost(offer: Offer) -> tuple[float, str]:
        worth = offer.pressure
        if offer.engine["engine"] in wanted:
            worth -= AFFINITY_WORTH / (1 + wanted.index(offer.engine["engine"]))
        if offer.engine["site"] == site:
            worth -= SITE_WORTH
        return (worth, offer.engine["engine"])

    return min(drawn, key=cost)


def _offer(*, name: str, running: int, own: int = 0, site: str = "s") -> Offer:
    usage = EngineUsage(
        engine=name, incarnation="i", phase="prefill", running=running, queued=0, leaving=False, reachable=True,
        capacity=4, ageMs=0,
    )  # fmt: skip
    return Offer(engine={"engine": name, "site": site}, usage=usage, own=own)


def test_the_less_loaded_engine_is_taken_unless_the_prefix_or_site_speaks_for_another():
    offers = [_offer(name=f"e{n}", running=1) for n in range(2)]
    first, second = affine(prefix_digest="p", engines=["e0", "e1"])

    def chosen(*, digest: str | None = None, avoid: set[str] = frozenset()) -> str | None:
        offer = assign(offers=offers, prefix_digest=digest, site="s", avoid=avoid, chance=random.Random(1))
        return offer and offer.engine["engine"]

    assert chosen() == "e0" and chosen(digest="p") == first and chosen(digest="p", avoid={first}) == second
    offers = [_offer(name=f"e{n}", running=4 if f"e{n}" == first else 1) for n in range(2)]
    assert chosen(digest="p") == second
    offers = [_offer(name="e0", running=1, site="far"), _offer(name="e1", running=1)]
    assert chosen() == "e1"
    offers = [_offer(name="e0", running=0, own=6), _offer(name="e1", running=6)]
    assert chosen() is None


def test_of_many_alike_each_is_taken_now_and_then_and_a_loaded_one_never_before_a_free_one():
    chance = random.Random(1)
    offers = [_offer(name=f"e{n}", running=3 if n == 0 else 0) for n in range(5)]
    taken = [assign(offers=offers, prefix_digest=None, site="s", avoid=set(), chance=chance) for _ in range(200)]
    assert {offer.engine["engine"] for offer in taken} == {"e1", "e2", "e3", "e4"}
