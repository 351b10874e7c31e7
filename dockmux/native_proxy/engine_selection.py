"""Selection of the engine for a call, by load, prefix affinity and site."""

import dataclasses
import hashlib
import random
from typing import Any

from dockmux.runtime.messages import EngineUsage

# Calls queued per slot from which an engine is full.
MAX_QUEUED_PER_SLOT = 0.2
# Load per slot that prefix affinity and the own site outweigh.
AFFINITY_BONUS = 0.35
SITE_BONUS = 0.05
AFFINITY_ENGINES = 2
SAMPLED_ENGINES = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """An engine that may be selected. Invariants: it serves the service, is in the phase, has a recent usage report and
    isn't known to be leaving; `sent_since` counts the calls that this daemon sent to it since that report."""

    engine: dict[str, Any]
    usage: EngineUsage
    sent_since: int

    @property
    def load_per_slot(self) -> float:
        """Calls per slot: reported ones and those that this daemon has sent since."""
        return (self.usage.running + self.usage.queued + self.sent_since) / max(self.usage.capacity, 1)

    @property
    def full(self) -> bool:
        """Whether the engine gets no further calls for now."""
        return self.load_per_slot >= 1 + MAX_QUEUED_PER_SLOT


def affinity_engines(*, prefix_digest: str, engines: list[str]) -> list[str]:
    """The engines preferred for a shared prefix, by rendezvous hashing, most preferred first."""

    def weight(engine: str) -> bytes:
        return hashlib.sha256(f"{prefix_digest}|{engine}".encode()).digest()

    return sorted(engines, key=weight, reverse=True)[:AFFINITY_ENGINES]


def select_engine(
    *, candidates: list[Candidate], prefix_digest: str | None, site: str, avoid: set[str], rng: random.Random
) -> Candidate | None:
    """The least loaded of two randomly sampled engines and the free ones with affinity to the prefix. Sampling spreads
    the load: all daemons would see the same least loaded engine until the next usage report. Affinity and the own site
    count like a slightly lower load. Engines in `avoid` are used only if no others are free; None if all are full."""
    free = [candidate for candidate in candidates if not candidate.full]
    free = [c for c in free if c.engine["engine"] not in avoid] or free
    if not free:
        return None
    preferred: list[str] = []
    if prefix_digest is not None:
        preferred = affinity_engines(
            prefix_digest=prefix_digest, engines=sorted(c.engine["engine"] for c in candidates)
        )

    sampled = rng.sample(free, min(SAMPLED_ENGINES, len(free)))
    sampled += [candidate for candidate in free if candidate.engine["engine"] in preferred and candidate not in sampled]

    def cost(candidate: Candidate) -> tuple[float, str]:
        score = candidate.load_per_slot
        if candidate.engine["engine"] in preferred:
            score -= AFFINITY_BONUS / (1 + preferred.index(candidate.engine["engine"]))
        if candidate.engine["site"] == site:
            score -= SITE_BONUS
        return (score, candidate.engine["engine"])

    return min(sampled, key=cost)


def _candidate(*, name: str, running: int, sent_since: int = 0, site: str = "s") -> Candidate:
    usage = EngineUsage(
        engine=name, incarnation="i", phase="prefill", running=running, queued=0, leaving=False, reachable=True,
        capacity=4, ageMs=0,
    )  # fmt: skip
    return Candidate(engine={"engine": name, "site": site}, usage=usage, sent_since=sent_since)


def test_the_less_loaded_engine_is_selected_unless_prefix_or_site_favours_another():
    candidates = [_candidate(name=f"e{n}", running=1) for n in range(2)]
    first, second = affinity_engines(prefix_digest="p", engines=["e0", "e1"])

    def chosen(*, digest: str | None = None, avoid: set[str] = frozenset()) -> str | None:
        candidate = select_engine(
            candidates=candidates, prefix_digest=digest, site="s", avoid=avoid, rng=random.Random(1)
        )
        return candidate and candidate.engine["engine"]

    assert chosen() == "e0" and chosen(digest="p") == first and chosen(digest="p", avoid={first}) == second
    candidates = [_candidate(name=f"e{n}", running=4 if f"e{n}" == first else 1) for n in range(2)]
    assert chosen(digest="p") == second
    candidates = [_candidate(name="e0", running=1, site="far"), _candidate(name="e1", running=1)]
    assert chosen() == "e1"
    candidates = [_candidate(name="e0", running=0, sent_since=6), _candidate(name="e1", running=6)]
    assert chosen() is None


def test_equally_loaded_engines_share_the_calls_and_a_loaded_one_gets_none():
    rng = random.Random(1)
    candidates = [_candidate(name=f"e{n}", running=3 if n == 0 else 0) for n in range(5)]
    taken = [
        select_engine(candidates=candidates, prefix_digest=None, site="s", avoid=set(), rng=rng) for _ in range(200)
    ]
    assert {candidate.engine["engine"] for candidate in taken} == {"e1", "e2", "e3", "e4"}
