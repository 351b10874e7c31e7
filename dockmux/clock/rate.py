"""How often a daemon exchanges timestamps (GTP, formula 5)."""

from collections import deque
from datetime import timedelta

from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import ms

ONE_CYCLE = timedelta(seconds=1)


class Rate:
    """The linear rate between a least and a greatest.

    Invariants: `offsets` holds the last N absolute offsets, newest last; `used` counts the samples
    used since the rate was last set and stays below m.
    """

    def __init__(self, *, settings: Settings) -> None:
        self.leastMilliHz = settings.gossipMinMilliHz
        self.greatestMilliHz = settings.gossipMaxMilliHz
        self.every = settings.rate_every
        self.mean = settings.rate_mean
        self.offsets: deque[timedelta] = deque(maxlen=settings.rate_span)
        self.used = 0
        self.milliHz = float(settings.gossipMaxMilliHz)

    def note(self, *, offset: timedelta, used: bool) -> None:
        self.offsets.append(abs(offset))
        self.used += used
        if self.used >= self.every:
            self.used = 0
            self.milliHz = self._linear()

    def _linear(self) -> float:
        low, high = min(self.offsets), max(self.offsets)
        if high == low:
            return float(self.leastMilliHz)
        return (self.greatestMilliHz - self.leastMilliHz) * ((self._mean() - low) / (high - low)) + self.leastMilliHz

    def _mean(self) -> timedelta:
        """Weighted: the newest of the last M counts M times, the oldest once."""
        last = list(self.offsets)[-self.mean :]
        weights = range(1, len(last) + 1)
        return sum((w * o for w, o in zip(weights, last, strict=True)), timedelta()) / sum(weights)

    @property
    def wait(self) -> timedelta:
        return ONE_CYCLE * (1000 / self.milliHz)


def _rate(**changes: int) -> Rate:
    fields = {"name": "a", "site": "s", "address": "127.0.0.1:1", "http": "127.0.0.1:2", "seeds": []}
    return Rate(settings=Settings(**fields, **changes))


def test_the_rate_by_worked_numbers():
    rate = _rate()
    assert rate.wait == timedelta(seconds=25)
    rate.note(offset=ms(-8), used=True)
    assert rate.milliHz == 10  # one offset: no span
    rate.note(offset=ms(2), used=True)
    assert rate.milliHz == 10  # newest is the least
    rate.note(offset=ms(4), used=True)
    assert rate.milliHz == 30 * (2 / 6) + 10
    rate.note(offset=ms(16), used=True)
    assert rate.milliHz == 40 and rate.wait == timedelta(seconds=25)
    for _ in range(8):
        rate.note(offset=ms(5), used=True)
    assert rate.milliHz == 10 and rate.wait == timedelta(seconds=100)


def test_only_every_mth_used_sample_sets_the_rate_over_a_weighted_mean():
    rate = _rate(rate_every=2, rate_mean=2, rate_span=4)
    for offset, used in ((0, False), (9, True), (3, False)):
        rate.note(offset=ms(offset), used=used)
    assert rate.milliHz == 40
    rate.note(offset=ms(6), used=True)
    assert rate.milliHz == 30 * (5 / 9) + 10  # (1 * 3 + 2 * 6) / 3 = 5 of 0..9
