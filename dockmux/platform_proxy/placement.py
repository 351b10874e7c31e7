"""Which engine reads a request's prompt and which one streams its answer."""

import dataclasses
import hashlib
from collections import OrderedDict
from datetime import timedelta

from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.protocol_adapter import EngineEntry, PrefixBlock, RequestMetadata
from dockmux.runtime.host import Host
from dockmux.runtime.time_units import ZERO, ms

# A writing engine reads between the tokens of others: half as fast.
DIRECT_SLOWER = 2.0
# Each of the streams that run beside it is held up by it: what that is worth, as a part of the reading time.
DISTURBS = 0.15
# Handing over costs two calls, a move of memory, and what they cost besides.
HAND_OVER = timedelta(milliseconds=40)
OTHER_ZONE = timedelta(milliseconds=6)
# What reading a shared part again, though an engine keeps it, and moving memory are worth, per token.
READ_AGAIN = timedelta(microseconds=100)
MOVED = timedelta(microseconds=20)
# Every token of an answer comes later by so much for each stream that runs beside it.
PER_STREAM_TOKEN = timedelta(microseconds=100)
# The others choose by the same numbers, which are some time old: so many streams are drawn by chance.
DRAWN_STREAMS = 2.0
FIRST_TOKEN = timedelta(milliseconds=15)
# Being taken up costs a reading some time besides its tokens.
TAKE_UP = timedelta(milliseconds=12)
# Reading pace before any was seen, tokens a ms.
PACE_GUESS = 40.0
PACE_PART = 0.1
PACE_LEAST_TOKENS = 1000
PARTS_KEPT = 4000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pairing:
    """Who reads and who writes; without a reader, the writer reads the prompt itself. `expected` is when the first
    token comes, from now on; `wait` is the part of it for which others' prompts are read."""

    reader: EngineEntry | None
    reader_span: timedelta
    writer: EngineEntry
    writer_span: timedelta
    expected: timedelta
    wait: timedelta = ZERO

    def names(self, *, engines: set[str]) -> bool:
        """Whether any of these engines has a part in it."""
        return self.writer.engine in engines or (self.reader is not None and self.reader.engine in engines)


def shared_key(*, prefix_blocks: tuple[PrefixBlock, ...]) -> str:
    """What requests that share their prompt's beginning have in common; empty when nothing is shared."""
    return ">".join(block.name for block in prefix_blocks[:-1])


def order(*, key: str, engines: list[EngineEntry]) -> list[EngineEntry]:
    """Rendezvous hashing: every daemon sends a shared beginning to the same engines without a message; when an engine
    comes or goes only its own share moves."""

    def score(engine: EngineEntry) -> bytes:
        return hashlib.sha256(f"{key}|{engine.engine}".encode()).digest()

    return sorted(engines, key=score, reverse=True)


class Placement:
    """Invariants: `kept` says which parts this daemon had an engine read and may still be there, oldest first; `pace`
    is what was seen of reading, in tokens a ms, by service."""

    def __init__(self, *, host: Host, zone: str, load_tracker: LoadTracker) -> None:
        self.host = host
        self.zone = zone
        self.load_tracker = load_tracker
        self.kept: OrderedDict[tuple[str, str], None] = OrderedDict()
        self.pace: dict[str, float] = {}

    def note_read(self, *, service: str, engine: str, prefix_blocks: tuple[PrefixBlock, ...]) -> None:
        for block in prefix_blocks:
            self.kept[(engine, block.name)] = None
            self.kept.move_to_end((engine, block.name))
        while len(self.kept) > PARTS_KEPT:
            self.kept.popitem(last=False)

    def note_pace(self, *, service: str, tokens: int, span: timedelta) -> None:
        """A prompt was read while nothing else was known to lie there."""
        took_ms = (span - TAKE_UP) / ms(1)
        if tokens < PACE_LEAST_TOKENS or took_ms <= 0:
            return
        seen = min(max(tokens / took_ms, 1.0), 1000.0)
        before = self.pace.get(service, PACE_GUESS)
        self.pace[service] = before + PACE_PART * (seen - before)

    def unread(self, *, engine: EngineEntry, metadata: RequestMetadata, home: bool) -> int:
        """Tokens that would have to be read there; at its home a shared beginning is taken to be kept."""
        known = 0
        for place, block in enumerate(metadata.prefix_blocks):
            shared = place < len(metadata.prefix_blocks) - 1
            if not ((home and shared) or (engine.engine, block.name) in self.kept):
                break
            known += block.tokens
        return max(metadata.tokens_in - known, 1)

    def span(self, *, service: str, tokens: int) -> timedelta:
        return TAKE_UP + ms(tokens / self.pace.get(service, PACE_GUESS))

    def choose(
        self, *, service: str, metadata: RequestMetadata, engines: list[EngineEntry], avoid: set[str]
    ) -> Pairing | None:
        """The pairing whose first token is expected first, counting what it costs others."""
        usable = [engine for engine in engines if engine.engine not in avoid] or engines
        writers = [engine for engine in usable if engine.phase != "prefill"]
        if not writers:
            writers = [engine for engine in engines if engine.phase != "prefill"]
        if not writers:
            return None
        readers = [engine for engine in usable if engine.phase == "prefill"]
        best = self._direct(service=service, metadata=metadata, writers=writers, alone=not readers)
        if readers and metadata.tokens_in > 1:
            apart = self._apart(service=service, metadata=metadata, readers=readers, writers=writers)
            if apart[0] < best[0]:
                best = apart
        return best[1]

    def _away(self, *, engine: EngineEntry, zone: str) -> timedelta:
        return ZERO if engine.zone == zone else OTHER_ZONE

    def _reading(
        self, *, service: str, metadata: RequestMetadata, engines: list[EngineEntry], slower: float, homes: bool
    ) -> tuple[timedelta, timedelta, EngineEntry]:  # fmt: skip
        """The engine that would have read the prompt first: when, how long it would read, which. Shared beginnings
        have their `homes` at engines of one phase only: else they would be read once more for the other."""
        key = shared_key(prefix_blocks=metadata.prefix_blocks) if homes else ""
        ranked = order(key=key, engines=engines) if key else engines
        own = metadata.prefix_blocks[-1].tokens if metadata.prefix_blocks else metadata.tokens_in
        rows = []
        for place, engine in enumerate(ranked):
            tokens = self.unread(engine=engine, metadata=metadata, home=bool(key) and place == 0)
            span = self.span(service=service, tokens=tokens) * slower
            ready = self.load_tracker.backlog(engine=engine.engine) + span + self._away(engine=engine, zone=self.zone)
            # The next in the order is where the others turn as well, so it is likely to keep the parts by now.
            again = READ_AGAIN * max(tokens - own, 0) * (0.5 if key and place == 1 else 1)
            rows.append((ready + again, engine.engine, ready, span, engine))
        _, _, ready, span, engine = min(rows, key=lambda row: row[:2])
        return ready, span, engine

    def _direct(
        self, *, service: str, metadata: RequestMetadata, writers: list[EngineEntry], alone: bool
    ) -> tuple[timedelta, Pairing]:
        ready, span, engine = self._reading(
            service=service, metadata=metadata, engines=writers, slower=DIRECT_SLOWER, homes=alone
        )
        expected = ready + FIRST_TOKEN
        pairing = Pairing(
            reader=None, reader_span=ZERO, writer=engine, writer_span=span, expected=expected,
            wait=self.load_tracker.backlog(engine=engine.engine),
        )  # fmt: skip
        streams = self.load_tracker.streams(engine=engine.engine)
        least = min(self.load_tracker.streams(engine=writer.engine) for writer in writers)
        crowded = PER_STREAM_TOKEN * metadata.tokens_out * (streams - least)
        return expected + span * DISTURBS * streams + crowded, pairing

    def _apart(
        self, *, service: str, metadata: RequestMetadata, readers: list[EngineEntry], writers: list[EngineEntry]
    ) -> tuple[timedelta, Pairing]:  # fmt: skip
        ready, span, reader = self._reading(service=service, metadata=metadata, engines=readers, slower=1.0, homes=True)
        writer = self.writer(metadata=metadata, writers=writers, near=reader.zone)
        expected = ready + HAND_OVER + FIRST_TOKEN
        pairing = Pairing(
            reader=reader, reader_span=span, writer=writer, writer_span=ZERO, expected=expected,
            wait=self.load_tracker.backlog(engine=reader.engine),
        )  # fmt: skip
        return expected + MOVED * metadata.tokens_in, pairing

    def writer(self, *, metadata: RequestMetadata, writers: list[EngineEntry], near: str) -> EngineEntry:
        """For a prompt that was read: few streams, little to read, near the memory and the client."""

        def cost(engine: EngineEntry) -> timedelta:
            streams = self.load_tracker.streams(engine=engine.engine) + self.host.random.uniform(0, DRAWN_STREAMS)
            worth = PER_STREAM_TOKEN * max(metadata.tokens_out, 1) * streams
            worth += self.load_tracker.backlog(engine=engine.engine)
            return worth + self._away(engine=engine, zone=near) + self._away(engine=engine, zone=self.zone) / 2

        return min(writers, key=cost)
