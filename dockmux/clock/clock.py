"""The disciplined clock of one daemon, after GTP (see docs/design.md for what was kept and changed)."""

import dataclasses
from datetime import UTC, datetime, timedelta

from dockmux.runtime.host import Host
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import UNBOUNDED, ZERO, us

HOPS_UNKNOWN = 1_000_000
SETTLE_PPM = 50


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """One timestamp exchange and what the answering daemon B said of itself.

    Invariant: t1 and t4 are A's readings, t2 and t3 B's, of the disciplined time.
    """

    t1: datetime
    t2: datetime
    t3: datetime
    t4: datetime
    dispersion: timedelta
    precision: timedelta
    correction: timedelta
    since_update: timedelta
    tolerancePpm: int
    hops: int
    source_mark: int

    @property
    def delay(self) -> timedelta:
        """Delta: the round trip without B's own handling (formula 1)."""
        return self.t4 - self.t1 - (self.t3 - self.t2)

    @property
    def offset(self) -> timedelta:
        """Theta: how far B is ahead of A (formula 2)."""
        return ((self.t2 - self.t1) + (self.t3 - self.t4)) / 2

    @property
    def spread(self) -> timedelta:
        """Lambda: the dispersion that A would take on with this sample (formula 3)."""
        return (
            self.dispersion
            + self.precision
            + abs(self.correction)
            + growth(span=self.since_update, ppm=self.tolerancePpm)
            + max(self.delay, ZERO) / 2
        )


def growth(*, span: timedelta, ppm: int) -> timedelta:
    """How far two clocks may have drifted apart over a span, rounded up."""
    return us(-(-(span // us(1)) * ppm // 1_000_000)) if span < UNBOUNDED else UNBOUNDED


class Clock:
    """Disciplined time: the host's monotonic time plus an offset.

    Invariants:
    - `now()` never runs backwards; it steps only before its first reading was handed out for use, or
      forwards after a freeze;
    - `dispersion` is epsilon: what was known of the error at `updated`; `bound()` adds what may have
      come since, and the part of the correction that is still outstanding;
    - `hops` is 0 exactly while this daemon is the source;
    - `source_mark` is the mark of the source's permit that the time in use came from, `newest_mark` the
      newest heard of; a sample with an older mark than that is not used.
    """

    def __init__(self, *, host: Host, settings: Settings) -> None:
        self.host = host
        self.precision = us(settings.precisionUs)
        self.tolerancePpm = settings.tolerancePpm
        self.slewPpm = settings.slewPpm
        self.base = host.wall() - host.elapsed()
        self.correction = ZERO
        self.corrected = host.elapsed()
        self.dispersion = UNBOUNDED
        self.updated = host.elapsed()
        self.hops = HOPS_UNKNOWN
        self.source_mark = 0
        self.newest_mark = 0
        self.synchronized = False
        self.handed_out = False
        self.latest: datetime | None = None

    def _work_off(self) -> timedelta:
        """Moves the due part of the correction into the offset; gives the monotonic time."""
        elapsed = self.host.elapsed()
        if self.correction:
            due = us((elapsed - self.corrected) // us(1) * self.slewPpm // 1_000_000)
            part = min(due, abs(self.correction))
            part = part if self.correction > ZERO else -part
            self.base += part
            self.correction -= part
        self.corrected = elapsed
        return elapsed

    def now(self) -> datetime:
        instant = self._work_off() + self.base
        if self.latest is not None and instant < self.latest:
            instant = self.latest
        self.latest = instant
        return instant

    def at(self, *, elapsed: timedelta) -> datetime:
        """A moment of the host's monotonic time, on the disciplined time as it is now."""
        self._work_off()
        return elapsed + self.base

    def use(self) -> datetime:
        """The time, for a deadline or a stamp; from now on it is slewed, never stepped back. Before the first
        synchronization nothing rests on it: no work is taken on."""
        self.handed_out = self.handed_out or self.synchronized
        return self.now()

    def since_update(self) -> timedelta:
        """T_NOW - T_LU. At the source the time is good by definition, so nothing has grown."""
        return ZERO if self.hops == 0 else self.host.elapsed() - self.updated

    def own_dispersion(self) -> timedelta:
        """Epsilon, falling at the source: what a takeover brought in is settled over time."""
        if self.hops == 0:
            settled = growth(span=self.host.elapsed() - self.updated, ppm=SETTLE_PPM)
            return max(self.dispersion - settled, ZERO)
        return self.dispersion

    def _error(self) -> timedelta:
        return self.own_dispersion() + self.precision + growth(span=self.since_update(), ppm=self.tolerancePpm)

    def bound(self) -> timedelta:
        """How far `now()` may be from the fleet's one time."""
        self._work_off()
        if not self.synchronized:
            return UNBOUNDED
        return min(self._error() + abs(self.correction), UNBOUNDED)

    def better(self, *, sample: Sample) -> bool:
        """The adoption rule (formula 4)."""
        self._work_off()
        return sample.spread <= self._error() and (not self.correction or self.hops > sample.hops)

    def consider(self, *, sample: Sample) -> bool:
        """Uses the sample or leaves it; says which."""
        if sample.source_mark < self.newest_mark or sample.dispersion >= UNBOUNDED:
            return False
        self.newest_mark = sample.source_mark
        if self.hops == 0 or sample.delay < ZERO or not self.better(sample=sample):
            return False
        step = not self.synchronized and (not self.handed_out or sample.offset > ZERO)
        if step:
            self.base += sample.offset
            self.correction = ZERO
            if not self.handed_out:
                self.latest = None
        else:
            self.correction = sample.offset
        self.dispersion = sample.spread
        self.updated = self.host.elapsed()
        self.hops = sample.hops + 1
        self.source_mark = sample.source_mark
        self.synchronized = True
        return True

    def distrust(self) -> None:
        """After a freeze: not synchronized until the next sample is adopted."""
        self.synchronized = False
        self.dispersion = UNBOUNDED
        self.hops = HOPS_UNKNOWN

    def lead(self, *, mark: int, not_before: datetime) -> None:
        """Becomes the source under the permit `mark`. A disciplined clock keeps its time, and its bound
        at the takeover as what is still to be settled; a blank one begins with its host's wall clock,
        but after every time that the control plane has on record."""
        if not self.synchronized:
            if not self.handed_out:
                self.base = self.host.wall() - self.host.elapsed()
                self.latest = None
            self.base += max(not_before - (self.base + self.host.elapsed()), ZERO)
            self.dispersion = ZERO
            self.correction = ZERO
        elif self.hops != 0:
            self.dispersion = self._error() + abs(self.correction)
            self.correction = ZERO
        else:
            self.dispersion = self.own_dispersion()
        self.updated = self.host.elapsed()
        self.hops = 0
        self.source_mark = self.newest_mark = max(mark, self.newest_mark)
        self.synchronized = True

    def follow(self) -> None:
        """The permit has ended: an ordinary clock again, as good as it was."""
        if self.hops == 0:
            self.dispersion = self.own_dispersion()
            self.updated = self.host.elapsed()
            self.hops = 1


class _Still(Host):
    """A host whose time stands until moved."""

    def __init__(self) -> None:
        self.name = "still"
        self.time = timedelta(hours=1)

    def elapsed(self) -> timedelta:
        return self.time

    def wall(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.time


def _clock(**changes: int) -> Clock:
    fields = {"name": "a", "site": "s", "address": "127.0.0.1:1", "http": "127.0.0.1:2", "seeds": []}
    return Clock(host=_Still(), settings=Settings(**fields, **{"precisionUs": 10, "tolerancePpm": 100, **changes}))


def _sample(*, clock: Clock, aheadUs: int = 0, delayUs: int = 2000, dispersionUs: int = 500, hops: int = 0,
            mark: int = 1, correctionUs: int = 0, sinceUs: int = 0) -> Sample:  # fmt: skip
    t4 = clock.now()
    t1 = t4 - us(delayUs + 300)
    t2 = t1 + us(delayUs // 2 + aheadUs)
    return Sample(
        t1=t1, t2=t2, t3=t2 + us(300), t4=t4, dispersion=us(dispersionUs), precision=us(10),
        correction=us(correctionUs), since_update=us(sinceUs), tolerancePpm=100, hops=hops, source_mark=mark,
    )  # fmt: skip


def test_delay_offset_and_spread_by_worked_numbers():
    base = datetime(2026, 1, 1)
    sample = Sample(
        t1=base, t2=base + us(7000), t3=base + us(7500), t4=base + us(4500), dispersion=us(900),
        precision=us(10), correction=us(-40), since_update=timedelta(seconds=20), tolerancePpm=100,
        hops=1, source_mark=1,
    )  # fmt: skip
    assert sample.delay == us(4000)  # 4500 - 0 + 7000 - 7500
    assert sample.offset == us(5000)  # (7000 - 0 + 7500 - 4500) / 2
    assert sample.spread == us(900 + 10 + 40 + 2000 + 2000)


def test_a_first_sample_is_stepped_to_and_sets_bound_and_hops():
    clock = _clock()
    assert clock.bound() == UNBOUNDED and not clock.synchronized
    before = clock.now()
    assert clock.consider(sample=_sample(clock=clock, aheadUs=-60_000_000, hops=2))
    assert clock.now() - before == us(-60_000_000) and clock.hops == 3 and clock.correction == ZERO
    assert clock.bound() == us(500 + 10 + 1000 + 10)
    clock.host.time += timedelta(seconds=30)
    assert clock.bound() == us(500 + 10 + 1000 + 10 + 3000)


def _settled(**changes: int) -> Clock:
    clock = _clock(**changes)
    assert clock.consider(sample=_sample(clock=clock))
    clock.use()
    return clock


def test_a_later_sample_is_slewed_and_time_never_runs_back():
    clock = _settled()
    clock.host.time += timedelta(seconds=100)
    before = clock.now()
    assert clock.consider(sample=_sample(clock=clock, aheadUs=-20_000))
    assert clock.now() == before and clock.correction == us(-20_000)
    assert clock.bound() == us(500 + 10 + 1000 + 10 + 20_000)
    clock.host.time += timedelta(seconds=1)
    assert clock.now() - before == timedelta(seconds=1) - us(5000)
    clock.host.time += timedelta(seconds=9)
    assert clock.now() - before == timedelta(seconds=10) - us(20_000) and clock.correction == ZERO


def test_the_adoption_rule_in_each_branch():
    clock = _settled()
    assert not clock.better(sample=_sample(clock=clock, dispersionUs=511))  # wider than what is known
    clock.host.time += timedelta(seconds=100)
    assert clock.better(sample=_sample(clock=clock, hops=7))  # nothing outstanding: hops do not count
    assert clock.consider(sample=_sample(clock=clock, aheadUs=15_000, hops=3))
    clock.host.time += timedelta(seconds=1)
    assert clock.bound() < UNBOUNDED and clock.correction == us(10_000) and clock.hops == 4
    assert not clock.better(sample=_sample(clock=clock, dispersionUs=0, hops=4))  # outstanding, H not higher
    assert not clock.better(sample=_sample(clock=clock, dispersionUs=0, hops=5))
    assert clock.better(sample=_sample(clock=clock, dispersionUs=0, hops=3))  # outstanding, H higher
    limit = clock._error() - _sample(clock=clock, dispersionUs=0).spread
    assert clock.better(sample=_sample(clock=clock, dispersionUs=limit // us(1)))
    assert not clock.better(sample=_sample(clock=clock, dispersionUs=limit // us(1) + 1))


def test_a_superseded_source_is_not_used():
    clock = _settled()
    clock.host.time += timedelta(seconds=1000)
    assert not clock.consider(sample=_sample(clock=clock, mark=0))
    assert clock.consider(sample=_sample(clock=clock, mark=2))
    clock.host.time += timedelta(seconds=1000)
    assert not clock.consider(sample=_sample(clock=clock, mark=1))


def test_a_new_source_keeps_its_time_and_settles_its_bound():
    clock = _settled()
    clock.host.time += timedelta(seconds=10)
    before, bound = clock.now(), clock.bound()
    clock.lead(mark=2, not_before=before + timedelta(hours=1))
    assert clock.now() == before and clock.hops == 0
    assert clock.own_dispersion() == bound
    clock.host.time += timedelta(seconds=10)
    assert clock.own_dispersion() == bound - us(500)
    assert not clock.consider(sample=_sample(clock=clock, mark=2, dispersionUs=0, aheadUs=99))
    clock.follow()
    assert clock.hops == 1 and clock.bound() == bound - us(500) + us(10)


def test_a_blank_source_begins_after_what_is_on_record():
    clock = _clock()
    recorded = clock.now() + timedelta(hours=2)
    clock.lead(mark=1, not_before=recorded)
    assert clock.now() == recorded and clock.bound() == us(10)


def test_a_daemon_that_was_never_synchronized_steps_back_too():
    """Its passes read the time from their start on; were that counted, a source that began with a clock far behind
    would have to be slewed to, for hours."""
    clock = _clock()
    before = clock.use()
    assert clock.consider(sample=_sample(clock=clock, aheadUs=-60_000_000))
    assert clock.use() - before == us(-60_000_000) and clock.correction == ZERO


def test_after_a_freeze_nothing_is_trusted_and_only_a_step_forward_is_taken():
    for aheadUs, corrected in ((40_000_000, ZERO), (-40_000_000, us(-40_000_000))):
        clock = _settled()
        clock.distrust()
        assert clock.bound() == UNBOUNDED
        before = clock.now()
        assert clock.consider(sample=_sample(clock=clock, aheadUs=aheadUs))
        assert clock.correction == corrected and clock.now() >= before and clock.synchronized
