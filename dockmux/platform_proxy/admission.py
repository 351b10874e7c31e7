"""Estimates whether a request that is sent now would finish before its deadline.

Load beyond the engines' capacity is refused at admission: every admitted request slows the others down, and beyond a
certain point all requests run into their deadlines and none is served.
"""

import dataclasses
from datetime import timedelta

from dockmux.platform_proxy.placement import Pairing
from dockmux.platform_proxy.request_record import RequestRecord
from dockmux.runtime.time_units import ZERO, ms

# Safety factor on the estimated wait and stream time: what other daemons are sending now is not known yet.
ESTIMATE_MARGIN = 2.0
# Milliseconds per token and unit of load before any stream was observed.
INITIAL_TOKEN_MS = 0.05
# The fixed cost of a decode step, as a share of an engine's slots: a batch of one takes as long as if that many slots
# were in use.
FIXED_LOAD_SHARE = 1 / 3
# Weight of a new observation in the moving average.
SMOOTHING_WEIGHT = 0.15


@dataclasses.dataclass(kw_only=True)
class DecodeRate:
    """Decode speed of one service. Invariant: `token_ms` is the time of one token per unit of load, as an exponential
    moving average; an engine's load is the number of its streams plus the fixed share of its slots."""

    token_ms: float = INITIAL_TOKEN_MS

    def observe(self, *, span: timedelta, tokens: int, streams: int, slots: int) -> None:
        """Adds a stream of `tokens` tokens that took `span` from its first event on, with `streams` streams running."""
        observed_ms = span / ms(1) / (tokens * self._load(streams=streams, slots=slots))
        self.token_ms += SMOOTHING_WEIGHT * (observed_ms - self.token_ms)

    def estimate(self, *, tokens: int, streams: int, slots: int) -> timedelta:
        """The expected time of a stream of `tokens` tokens with `streams` streams running."""
        return ms(self.token_ms * tokens * self._load(streams=streams, slots=slots))

    def _load(self, *, streams: int, slots: int) -> float:
        return max(streams, 1) + slots * FIXED_LOAD_SHARE


class Admission:
    """Invariant: `rates` holds the observed decode rate of each service."""

    def __init__(self) -> None:
        self.rates: dict[str, DecodeRate] = {}

    def rate(self, *, service: str) -> DecodeRate:
        return self.rates.setdefault(service, DecodeRate())

    def excess(self, *, record: RequestRecord, pairing: Pairing, streams: int, now: timedelta) -> timedelta:
        """By how much the request is expected to miss its time limits; zero or less admits it. `streams` is the number
        of streams that run on its decode engine."""
        first_event = pairing.expected_ttft + pairing.queue_wait * (ESTIMATE_MARGIN - 1)
        late = first_event - (record.expires_at() - now)
        slots = pairing.decode_engine.slots
        if streams < slots * FIXED_LOAD_SHARE:
            # So few streams hardly slow each other down; refusing this one would not help the others.
            return late
        rate = self.rate(service=record.service)
        stream = rate.estimate(tokens=record.metadata.tokens_out, streams=streams + 1, slots=slots)
        return max(late, first_event + stream * ESTIMATE_MARGIN - (record.deadline - now))

    def note_stream(
        self, *, record: RequestRecord, span: timedelta, streams: int, slots: int, complete: bool
    ) -> None:  # fmt: skip
        """Adds a finished stream, or one that its deadline cut off: that one counts only if it has already taken longer
        than estimated, since its full time is unknown."""
        tokens = record.metadata.tokens_out
        if tokens <= 0 or span <= ZERO:
            return
        rate = self.rate(service=record.service)
        if complete or span > rate.estimate(tokens=tokens, streams=streams, slots=slots):
            rate.observe(span=span, tokens=tokens, streams=streams, slots=slots)
