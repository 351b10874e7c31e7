"""The rate at which a daemon exchanges timestamps (Gossip Time Protocol, GTP, formula 5)."""

from collections import deque
from datetime import timedelta

from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import ms

ONE_SECOND = timedelta(seconds=1)


class ExchangeRate:
    """An exchange rate between a minimum and a maximum, linear in the weighted mean of recent offsets.

    Invariants: `offsets` holds the last N absolute offsets (`rate_span`), newest last; `samples_adopted` counts the
    samples adopted since the rate was last set and stays below m (`rate_every`). M (`rate_mean`) is the number of
    offsets in the weighted mean.
    """

    def __init__(self, *, settings: Settings) -> None:
        self.min_millihz = settings.gossipMinMilliHz
        self.max_millihz = settings.gossipMaxMilliHz
        self.samples_per_update = settings.rate_every
        self.mean_window = settings.rate_mean
        self.offsets: deque[timedelta] = deque(maxlen=settings.rate_span)
        self.samples_adopted = 0
        self.millihz = float(settings.gossipMaxMilliHz)

    def record(self, *, offset: timedelta, adopted: bool) -> None:
        """Adds a sample's offset, adopted or not; every m adopted samples set the rate anew."""
        self.offsets.append(abs(offset))
        self.samples_adopted += adopted
        if self.samples_adopted >= self.samples_per_update:
            self.samples_adopted = 0
            self.millihz = self._linear_rate()

    def _linear_rate(self) -> float:
        """The rate in mHz; the minimum while all offsets are equal."""
        low, high = min(self.offsets), max(self.offsets)
        if high == low:
            return float(self.min_millihz)
        return (self.max_millihz - self.min_millihz) * (
            (self._weighted_mean_offset() - low) / (high - low)
        ) + self.min_millihz

    def _weighted_mean_offset(self) -> timedelta:
        """The mean of the last M offsets, weighted linearly from 1 (oldest) to M (newest)."""
        last = list(self.offsets)[-self.mean_window :]
        weights = range(1, len(last) + 1)
        return sum((w * o for w, o in zip(weights, last, strict=True)), timedelta()) / sum(weights)

    @property
    def interval(self) -> timedelta:
        """The time between two exchanges at the current rate."""
        return ONE_SECOND * (1000 / self.millihz)


def _rate(**changes: int) -> ExchangeRate:
    fields = {"name": "a", "site": "s", "address": "127.0.0.1:1", "http": "127.0.0.1:2", "seeds": []}
    return ExchangeRate(settings=Settings(**fields, **changes))


def test_the_rate_follows_the_newest_offset_linearly():
    rate = _rate()
    assert rate.interval == timedelta(seconds=25)
    rate.record(offset=ms(-8), adopted=True)
    assert rate.millihz == 10  # a single offset: minimum equals maximum
    rate.record(offset=ms(2), adopted=True)
    assert rate.millihz == 10  # the newest offset is the smallest
    rate.record(offset=ms(4), adopted=True)
    assert rate.millihz == 30 * (2 / 6) + 10
    rate.record(offset=ms(16), adopted=True)
    assert rate.millihz == 40 and rate.interval == timedelta(seconds=25)
    for _ in range(8):
        rate.record(offset=ms(5), adopted=True)
    assert rate.millihz == 10 and rate.interval == timedelta(seconds=100)


def test_every_mth_adopted_sample_sets_the_rate_from_a_weighted_mean():
    rate = _rate(rate_every=2, rate_mean=2, rate_span=4)
    for offset, adopted in ((0, False), (9, True), (3, False)):
        rate.record(offset=ms(offset), adopted=adopted)
    assert rate.millihz == 40
    rate.record(offset=ms(6), adopted=True)
    assert rate.millihz == 30 * (5 / 9) + 10  # (1 * 3 + 2 * 6) / 3 = 5 of 0..9
