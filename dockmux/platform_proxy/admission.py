"""Whether a request that is sent now can be expected to come to its end in time.

Work beyond what the engines can do is refused before it begins: all that is taken in slows the rest, and past a point
every request ends at its deadline and nothing is served.
"""

import dataclasses
from datetime import timedelta

from dockmux.platform_proxy.placement import Pairing
from dockmux.platform_proxy.request_record import RequestRecord
from dockmux.runtime.time_units import ZERO, ms

# What lies before a request may take so many times as long as is reckoned: what others send now is not known yet.
MARGIN = 2.0
# Before any stream was seen.
TOKEN_MS_GUESS = 0.05
# A batch of one takes as long as if so large a part of the slots were in use for each token.
FIXED_PART = 1 / 3
NEW_PART = 0.15


@dataclasses.dataclass(kw_only=True)
class StreamPace:
    """How fast the streams of one service come. Invariant: `token_ms` is the time of one token for each unit of
    load, smoothed; an engine's load is its streams and the fixed part of its slots."""

    token_ms: float = TOKEN_MS_GUESS

    def note(self, *, span: timedelta, tokens: int, streams: int, slots: int) -> None:
        """A stream of so many tokens took `span` from its first event on, beside so many."""
        seen_ms = span / ms(1) / (tokens * self._load(streams=streams, slots=slots))
        self.token_ms += NEW_PART * (seen_ms - self.token_ms)

    def span(self, *, tokens: int, streams: int, slots: int) -> timedelta:
        """How long a stream of so many tokens will take beside so many."""
        return ms(self.token_ms * tokens * self._load(streams=streams, slots=slots))

    def _load(self, *, streams: int, slots: int) -> float:
        return max(streams, 1) + slots * FIXED_PART


class Admission:
    """Invariant: `paces` has what was seen of each service's streams."""

    def __init__(self) -> None:
        self.paces: dict[str, StreamPace] = {}

    def pace(self, *, service: str) -> StreamPace:
        return self.paces.setdefault(service, StreamPace())

    def excess(self, *, record: RequestRecord, pairing: Pairing, streams: int, now: timedelta) -> timedelta:
        """By how much what lies at the engines is too much for this request; zero or less when it is to be sent.
        `streams` run at its writer."""
        first = pairing.expected_ttft + pairing.queue_wait * (MARGIN - 1)
        late = first - (record.ends_at() - now)
        slots = pairing.decode_engine.slots
        if streams < slots * FIXED_PART:
            # Its streams hardly slow each other down: refusing one would help nobody.
            return late
        pace = self.pace(service=record.service)
        stream = pace.span(tokens=record.metadata.tokens_out, streams=streams + 1, slots=slots)
        return max(late, first + stream * MARGIN - (record.until - now))

    def note_stream(self, *, record: RequestRecord, span: timedelta, streams: int, slots: int, whole: bool) -> None:
        """A stream came to its end, or was cut at the end of its time: it would have taken longer."""
        tokens = record.metadata.tokens_out
        if tokens <= 0 or span <= ZERO:
            return
        pace = self.pace(service=record.service)
        if whole or span > pace.span(tokens=tokens, streams=streams, slots=slots):
            pace.note(span=span, tokens=tokens, streams=streams, slots=slots)
