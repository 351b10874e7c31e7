"""Chooses the engine that prefills a request's prompt and the one that decodes its answer."""

import dataclasses
import hashlib
from collections import OrderedDict
from datetime import timedelta

from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.protocol_adapter import EngineEntry, PrefixBlock, RequestMetadata
from dockmux.runtime.host import Host
from dockmux.runtime.time_units import ZERO, ms

# A decode engine interleaves a prefill with the tokens of running streams, at half the speed.
DECODE_ENGINE_PREFILL_SLOWDOWN = 2.0
# A prefill on a decode engine delays each stream running there; the cost per stream, as a part of the prefill time.
STREAM_DELAY_RATIO = 0.15
# Fixed cost of separate prefill: a second call, the start of the KV cache transfer, and their overhead.
KV_TRANSFER_OVERHEAD = timedelta(milliseconds=40)
CROSS_ZONE_LATENCY = timedelta(milliseconds=6)
# Cost per token of recomputing a shared prefix that another engine has cached, and of moving KV cache.
RECOMPUTE_COST_PER_TOKEN = timedelta(microseconds=100)
KV_TRANSFER_COST_PER_TOKEN = timedelta(microseconds=20)
# Each stream in a decode batch delays every token of the other streams by this much.
TOKEN_DELAY_PER_STREAM = timedelta(microseconds=100)
# Up to this many streams are added at random, because the other daemons choose by the same, slightly outdated counts
# and would all pick the same engine.
MAX_RANDOM_STREAMS = 2.0
FIRST_TOKEN_TIME = timedelta(milliseconds=15)
# Time from sending a prefill to its start, besides the time for its tokens.
PREFILL_SETUP_TIME = timedelta(milliseconds=12)
# Prefill rate before the first measurement.
INITIAL_PREFILL_TOKENS_PER_MS = 40.0
PREFILL_RATE_SMOOTHING = 0.1
MIN_RATE_SAMPLE_TOKENS = 1000
MAX_CACHED_BLOCKS = 4000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pairing:
    """The engines for one request. Without a `prefill_engine`, the decode engine prefills the prompt itself, in
    `local_prefill_time`. `expected_ttft` is the expected time to the first token, from now; `queue_wait` is the part of
    it spent behind the prompts of other requests."""

    prefill_engine: EngineEntry | None
    prefill_time: timedelta
    decode_engine: EngineEntry
    local_prefill_time: timedelta
    expected_ttft: timedelta
    queue_wait: timedelta = ZERO

    def includes(self, *, engines: set[str]) -> bool:
        """Whether any of these engines is the prefill or the decode engine."""
        return self.decode_engine.engine in engines or (
            self.prefill_engine is not None and self.prefill_engine.engine in engines
        )


def shared_prefix_key(*, prefix_blocks: tuple[PrefixBlock, ...]) -> str:
    """The key that requests with the same shared prefix have in common; empty without a shared prefix."""
    return ">".join(block.name for block in prefix_blocks[:-1])


def rendezvous_order(*, key: str, engines: list[EngineEntry]) -> list[EngineEntry]:
    """Engines in rendezvous-hash order: every daemon maps a shared prefix to the same engines without coordination, and
    only the share of an engine that is added or removed is remapped. The first engine is the prefix's home."""

    def score(engine: EngineEntry) -> bytes:
        return hashlib.sha256(f"{key}|{engine.engine}".encode()).digest()

    return sorted(engines, key=score, reverse=True)


class Placement:
    """Scores pairings of engines by their expected time to first token and their cost to other requests.

    Invariants: `cached_blocks` holds the (engine, block) pairs that this daemon had prefilled and that may still be
    cached, oldest first; `prefill_rates` is the smoothed prefill rate by service, in tokens per ms."""

    def __init__(self, *, host: Host, zone: str, load_tracker: LoadTracker) -> None:
        self.host = host
        self.zone = zone
        self.load_tracker = load_tracker
        self.cached_blocks: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.prefill_rates: dict[str, float] = {}

    def note_prefill(self, *, service: str, engine: str, prefix_blocks: tuple[PrefixBlock, ...]) -> None:
        """Records that the engine has the KV cache of these blocks."""
        for block in prefix_blocks:
            self.cached_blocks[(engine, block.name)] = None
            self.cached_blocks.move_to_end((engine, block.name))
        while len(self.cached_blocks) > MAX_CACHED_BLOCKS:
            self.cached_blocks.popitem(last=False)

    def note_prefill_rate(self, *, service: str, tokens: int, span: timedelta) -> None:
        """Updates the prefill rate from a prompt that was prefilled on an engine with no other known prefill."""
        prefill_ms = (span - PREFILL_SETUP_TIME) / ms(1)
        if tokens < MIN_RATE_SAMPLE_TOKENS or prefill_ms <= 0:
            return
        sample = min(max(tokens / prefill_ms, 1.0), 1000.0)
        previous = self.prefill_rates.get(service, INITIAL_PREFILL_TOKENS_PER_MS)
        self.prefill_rates[service] = previous + PREFILL_RATE_SMOOTHING * (sample - previous)

    def uncached_tokens(self, *, engine: EngineEntry, metadata: RequestMetadata, is_home: bool) -> int:
        """Prompt tokens that the engine would have to prefill; a shared prefix is assumed cached at its home engine."""
        cached_tokens = 0
        for position, block in enumerate(metadata.prefix_blocks):
            shared = position < len(metadata.prefix_blocks) - 1
            if not ((is_home and shared) or (engine.engine, block.name) in self.cached_blocks):
                break
            cached_tokens += block.tokens
        return max(metadata.tokens_in - cached_tokens, 1)

    def prefill_time(self, *, service: str, tokens: int) -> timedelta:
        """Expected duration of a prefill, without queueing."""
        return PREFILL_SETUP_TIME + ms(tokens / self.prefill_rates.get(service, INITIAL_PREFILL_TOKENS_PER_MS))

    def choose(
        self, *, service: str, metadata: RequestMetadata, engines: list[EngineEntry], avoid: set[str]
    ) -> Pairing | None:
        """The pairing with the lowest time to first token plus cost to other requests; None without a decode engine.
        Engines in `avoid` are used only when no others are left."""
        usable = [engine for engine in engines if engine.engine not in avoid] or engines
        decode_engines = [engine for engine in usable if engine.phase != "prefill"]
        if not decode_engines:
            decode_engines = [engine for engine in engines if engine.phase != "prefill"]
        if not decode_engines:
            return None
        prefill_engines = [engine for engine in usable if engine.phase == "prefill"]
        best = self._colocated(
            service=service, metadata=metadata, decode_engines=decode_engines, use_affinity=not prefill_engines
        )
        if prefill_engines and metadata.tokens_in > 1:
            disaggregated = self._disaggregated(
                service=service, metadata=metadata, prefill_engines=prefill_engines, decode_engines=decode_engines
            )
            if disaggregated[0] < best[0]:
                best = disaggregated
        return best[1]

    def _zone_latency(self, *, engine: EngineEntry, zone: str) -> timedelta:
        return ZERO if engine.zone == zone else CROSS_ZONE_LATENCY

    def _fastest_prefill(
        self, *, service: str, metadata: RequestMetadata, engines: list[EngineEntry], slowdown: float,
        use_affinity: bool,
    ) -> tuple[timedelta, timedelta, EngineEntry]:  # fmt: skip
        """The time until the prompt is prefilled, the prefill's duration, and the engine that finishes first. With
        `use_affinity`, shared prefixes are mapped to home engines; this is done for one phase only, because otherwise
        each prefix would be prefilled once more for the other phase."""
        key = shared_prefix_key(prefix_blocks=metadata.prefix_blocks) if use_affinity else ""
        ranked = rendezvous_order(key=key, engines=engines) if key else engines
        own_tokens = metadata.prefix_blocks[-1].tokens if metadata.prefix_blocks else metadata.tokens_in
        candidates = []
        for rank, engine in enumerate(ranked):
            tokens = self.uncached_tokens(engine=engine, metadata=metadata, is_home=bool(key) and rank == 0)
            span = self.prefill_time(service=service, tokens=tokens) * slowdown
            ready_in = (
                self.load_tracker.backlog(engine=engine.engine)
                + span
                + self._zone_latency(engine=engine, zone=self.zone)
            )
            # The second engine in the order is the common fallback, so it has probably cached the prefix already.
            recompute_cost = RECOMPUTE_COST_PER_TOKEN * max(tokens - own_tokens, 0) * (0.5 if key and rank == 1 else 1)
            candidates.append((ready_in + recompute_cost, engine.engine, ready_in, span, engine))
        _, _, ready_in, span, engine = min(candidates, key=lambda candidate: candidate[:2])
        return ready_in, span, engine

    def _colocated(
        self, *, service: str, metadata: RequestMetadata, decode_engines: list[EngineEntry], use_affinity: bool
    ) -> tuple[timedelta, Pairing]:
        ready_in, span, engine = self._fastest_prefill(
            service=service,
            metadata=metadata,
            engines=decode_engines,
            slowdown=DECODE_ENGINE_PREFILL_SLOWDOWN,
            use_affinity=use_affinity,
        )
        expected_ttft = ready_in + FIRST_TOKEN_TIME
        pairing = Pairing(
            prefill_engine=None, prefill_time=ZERO, decode_engine=engine, local_prefill_time=span,
            expected_ttft=expected_ttft, queue_wait=self.load_tracker.backlog(engine=engine.engine),
        )  # fmt: skip
        streams = self.load_tracker.streams(engine=engine.engine)
        fewest_streams = min(self.load_tracker.streams(engine=decode_engine.engine) for decode_engine in decode_engines)
        crowding_delay = TOKEN_DELAY_PER_STREAM * metadata.tokens_out * (streams - fewest_streams)
        return expected_ttft + span * STREAM_DELAY_RATIO * streams + crowding_delay, pairing

    def _disaggregated(
        self, *, service: str, metadata: RequestMetadata, prefill_engines: list[EngineEntry],
        decode_engines: list[EngineEntry],
    ) -> tuple[timedelta, Pairing]:  # fmt: skip
        ready_in, span, prefill_engine = self._fastest_prefill(
            service=service, metadata=metadata, engines=prefill_engines, slowdown=1.0, use_affinity=True
        )
        decode_engine = self.choose_decode_engine(
            metadata=metadata, decode_engines=decode_engines, near_zone=prefill_engine.zone
        )
        expected_ttft = ready_in + KV_TRANSFER_OVERHEAD + FIRST_TOKEN_TIME
        pairing = Pairing(
            prefill_engine=prefill_engine, prefill_time=span, decode_engine=decode_engine,
            local_prefill_time=ZERO, expected_ttft=expected_ttft,
            queue_wait=self.load_tracker.backlog(engine=prefill_engine.engine),
        )  # fmt: skip
        return expected_ttft + KV_TRANSFER_COST_PER_TOKEN * metadata.tokens_in, pairing

    def choose_decode_engine(
        self, *, metadata: RequestMetadata, decode_engines: list[EngineEntry], near_zone: str
    ) -> EngineEntry:
        """The decode engine for a prefilled prompt: few streams, little prefill backlog, close to the prefill engine's
        KV cache and to this daemon."""

        def cost(engine: EngineEntry) -> timedelta:
            streams = self.load_tracker.streams(engine=engine.engine) + self.host.random.uniform(0, MAX_RANDOM_STREAMS)
            delay = TOKEN_DELAY_PER_STREAM * max(metadata.tokens_out, 1) * streams
            delay += self.load_tracker.backlog(engine=engine.engine)
            return (
                delay
                + self._zone_latency(engine=engine, zone=near_zone)
                + self._zone_latency(engine=engine, zone=self.zone) / 2
            )

        return min(decode_engines, key=cost)
