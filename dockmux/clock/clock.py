"""The disciplined clock of one daemon, after the Gossip Time Protocol (GTP).

docs/design.md lists what was kept of GTP and what was changed. Formula numbers refer to the GTP paper.
"""

import dataclasses
from datetime import UTC, datetime, timedelta

from dockmux.runtime.host import Host
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import UNBOUNDED, ZERO, us

# Hop count of a clock that is not synchronized; larger than any real one.
UNSYNCHRONIZED_HOPS = 1_000_000
# Rate at which a new source lowers the dispersion that it had when it became the source.
SOURCE_DISPERSION_DECAY_PPM = 50


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """One timestamp exchange between daemons A and B, and the clock state that B reported in its reply.

    Invariant: t1 (request sent) and t4 (reply received) are readings of A's disciplined time, t2 (request
    received) and t3 (reply sent) of B's.
    """

    t1: datetime
    t2: datetime
    t3: datetime
    t4: datetime
    dispersion: timedelta
    precision: timedelta
    correction: timedelta
    since_update: timedelta
    tolerance_ppm: int
    hops: int
    source_mark: int

    @property
    def delay(self) -> timedelta:
        """Delta: the round-trip time without B's processing time (formula 1)."""
        return self.t4 - self.t1 - (self.t3 - self.t2)

    @property
    def offset(self) -> timedelta:
        """Theta: the offset of B's clock from A's, positive if B is ahead (formula 2)."""
        return ((self.t2 - self.t1) + (self.t3 - self.t4)) / 2

    @property
    def total_dispersion(self) -> timedelta:
        """Lambda: A's dispersion if it adopts this sample (formula 3)."""
        return (
            self.dispersion
            + self.precision
            + abs(self.correction)
            + max_drift(interval=self.since_update, ppm=self.tolerance_ppm)
            + max(self.delay, ZERO) / 2
        )


def max_drift(*, interval: timedelta, ppm: int) -> timedelta:
    """Upper limit of the drift between two clocks over an interval, rounded up to a microsecond."""
    return us(-(-(interval // us(1)) * ppm // 1_000_000)) if interval < UNBOUNDED else UNBOUNDED


class Clock:
    """Disciplined time: the host's monotonic time plus `epoch`, the disciplined time at monotonic zero.

    Invariants:
    - `now()` never runs backwards; the clock steps only before `issue_time()` has returned a synchronized
      reading, or forwards after a process freeze;
    - `dispersion` is epsilon, the error bound at `updated_at`; `bound()` adds the possible drift since then
      and the correction that has not been slewed yet;
    - `correction` is the signed part of the last adopted offset that is still to be slewed;
    - `hops` is 0 exactly while this daemon is the source;
    - `source_mark` is the view number of the lease under which the source of the current time served;
      `newest_source_mark` is the newest mark received, and samples with an older one are rejected.
    """

    def __init__(self, *, host: Host, settings: Settings) -> None:
        self.host = host
        self.precision = us(settings.precisionUs)
        self.tolerance_ppm = settings.tolerancePpm
        self.slew_ppm = settings.slewPpm
        self.epoch = host.wall() - host.elapsed()
        self.correction = ZERO
        self.slewed_at = host.elapsed()
        self.dispersion = UNBOUNDED
        self.updated_at = host.elapsed()
        self.hops = UNSYNCHRONIZED_HOPS
        self.source_mark = 0
        self.newest_source_mark = 0
        self.synchronized = False
        self.time_issued = False
        self.last_reading: datetime | None = None

    def _slew(self) -> timedelta:
        """Applies the part of the correction that is due by now; returns the monotonic time."""
        elapsed = self.host.elapsed()
        if self.correction:
            due = us((elapsed - self.slewed_at) // us(1) * self.slew_ppm // 1_000_000)
            part = min(due, abs(self.correction))
            part = part if self.correction > ZERO else -part
            self.epoch += part
            self.correction -= part
        self.slewed_at = elapsed
        return elapsed

    def now(self) -> datetime:
        """The disciplined time, never earlier than the last reading. Does not rule out a later step back;
        see `issue_time`."""
        instant = self._slew() + self.epoch
        if self.last_reading is not None and instant < self.last_reading:
            instant = self.last_reading
        self.last_reading = instant
        return instant

    def time_at(self, *, elapsed: timedelta) -> datetime:
        """Converts a monotonic time of the host to disciplined time, by the current offset."""
        self._slew()
        return elapsed + self.epoch

    def issue_time(self) -> datetime:
        """The time for a deadline or a timestamp. After the first such reading of a synchronized clock, the
        clock is slewed and never stepped back. Readings before the first synchronization don't count,
        because the daemon accepts no work until then."""
        self.time_issued = self.time_issued or self.synchronized
        return self.now()

    def since_update(self) -> timedelta:
        """T_NOW - T_LU, the time since the last update. Zero at the source, whose time is the reference."""
        return ZERO if self.hops == 0 else self.host.elapsed() - self.updated_at

    def current_dispersion(self) -> timedelta:
        """Epsilon. At the source it decays over time from the error bound that the source had when it took over."""
        if self.hops == 0:
            decay = max_drift(interval=self.host.elapsed() - self.updated_at, ppm=SOURCE_DISPERSION_DECAY_PPM)
            return max(self.dispersion - decay, ZERO)
        return self.dispersion

    def _accumulated_error(self) -> timedelta:
        """The error bound without the outstanding correction."""
        return (
            self.current_dispersion() + self.precision + max_drift(interval=self.since_update(), ppm=self.tolerance_ppm)
        )

    def bound(self) -> timedelta:
        """Maximum error of `now()` relative to the source; UNBOUNDED while not synchronized."""
        self._slew()
        if not self.synchronized:
            return UNBOUNDED
        return min(self._accumulated_error() + abs(self.correction), UNBOUNDED)

    def is_adoptable(self, *, sample: Sample) -> bool:
        """Whether the adoption rule (formula 4) accepts the sample."""
        self._slew()
        return sample.total_dispersion <= self._accumulated_error() and (not self.correction or self.hops > sample.hops)

    def process_sample(self, *, sample: Sample) -> bool:
        """Adopts the sample by a step or a slew, or rejects it; returns whether it was adopted."""
        if sample.source_mark < self.newest_source_mark or sample.dispersion >= UNBOUNDED:
            return False
        self.newest_source_mark = sample.source_mark
        if self.hops == 0 or sample.delay < ZERO or not self.is_adoptable(sample=sample):
            return False
        step = not self.synchronized and (not self.time_issued or sample.offset > ZERO)
        if step:
            self.epoch += sample.offset
            self.correction = ZERO
            if not self.time_issued:
                self.last_reading = None
        else:
            self.correction = sample.offset
        self.dispersion = sample.total_dispersion
        self.updated_at = self.host.elapsed()
        self.hops = sample.hops + 1
        self.source_mark = sample.source_mark
        self.synchronized = True
        return True

    def mark_unsynchronized(self) -> None:
        """Drops the synchronization after a process freeze, until the next sample is adopted."""
        self.synchronized = False
        self.dispersion = UNBOUNDED
        self.hops = UNSYNCHRONIZED_HOPS

    def become_source(self, *, mark: int, not_before: datetime) -> None:
        """Becomes the source under the lease of view `mark`.

        A synchronized clock keeps its time; its error bound at the takeover becomes the dispersion, which then
        decays. An unsynchronized one starts from the host's wall clock, but no earlier than `not_before`, the
        latest time that the control plane has on record.
        """
        if not self.synchronized:
            if not self.time_issued:
                self.epoch = self.host.wall() - self.host.elapsed()
                self.last_reading = None
            self.epoch += max(not_before - (self.epoch + self.host.elapsed()), ZERO)
            self.dispersion = ZERO
            self.correction = ZERO
        elif self.hops != 0:
            self.dispersion = self._accumulated_error() + abs(self.correction)
            self.correction = ZERO
        else:
            self.dispersion = self.current_dispersion()
        self.updated_at = self.host.elapsed()
        self.hops = 0
        self.source_mark = self.newest_source_mark = max(mark, self.newest_source_mark)
        self.synchronized = True

    def stop_being_source(self) -> None:
        """Ends the source role, because the daemon's lease has ended. Time and dispersion stay as they are."""
        if self.hops == 0:
            self.dispersion = self.current_dispersion()
            self.updated_at = self.host.elapsed()
            self.hops = 1


class _ManualHost(Host):
    """A host whose time advances only when a test sets it."""

    def __init__(self) -> None:
        self.name = "manual"
        self.time = timedelta(hours=1)

    def elapsed(self) -> timedelta:
        return self.time

    def wall(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=UTC) + self.time


def _clock(**changes: int) -> Clock:
    fields = {"name": "a", "site": "s", "address": "127.0.0.1:1", "http": "127.0.0.1:2", "seeds": []}
    return Clock(host=_ManualHost(), settings=Settings(**fields, **{"precisionUs": 10, "tolerancePpm": 100, **changes}))


def _sample(*, clock: Clock, offset_us: int = 0, delay_us: int = 2000, dispersion_us: int = 500, hops: int = 0,
            mark: int = 1, correction_us: int = 0, since_update_us: int = 0) -> Sample:  # fmt: skip
    t4 = clock.now()
    t1 = t4 - us(delay_us + 300)
    t2 = t1 + us(delay_us // 2 + offset_us)
    return Sample(
        t1=t1, t2=t2, t3=t2 + us(300), t4=t4, dispersion=us(dispersion_us), precision=us(10),
        correction=us(correction_us), since_update=us(since_update_us), tolerance_ppm=100, hops=hops, source_mark=mark,
    )  # fmt: skip


def test_delay_offset_and_dispersion_of_a_sample():
    base = datetime(2026, 1, 1)
    sample = Sample(
        t1=base, t2=base + us(7000), t3=base + us(7500), t4=base + us(4500), dispersion=us(900),
        precision=us(10), correction=us(-40), since_update=timedelta(seconds=20), tolerance_ppm=100,
        hops=1, source_mark=1,
    )  # fmt: skip
    assert sample.delay == us(4000)  # 4500 - 0 + 7000 - 7500
    assert sample.offset == us(5000)  # (7000 - 0 + 7500 - 4500) / 2
    assert sample.total_dispersion == us(900 + 10 + 40 + 2000 + 2000)


def test_the_first_sample_steps_the_clock_and_sets_bound_and_hops():
    clock = _clock()
    assert clock.bound() == UNBOUNDED and not clock.synchronized
    before = clock.now()
    assert clock.process_sample(sample=_sample(clock=clock, offset_us=-60_000_000, hops=2))
    assert clock.now() - before == us(-60_000_000) and clock.hops == 3 and clock.correction == ZERO
    assert clock.bound() == us(500 + 10 + 1000 + 10)
    clock.host.time += timedelta(seconds=30)
    assert clock.bound() == us(500 + 10 + 1000 + 10 + 3000)


def _synchronized_clock(**changes: int) -> Clock:
    clock = _clock(**changes)
    assert clock.process_sample(sample=_sample(clock=clock))
    clock.issue_time()
    return clock


def test_a_later_sample_is_slewed_and_time_never_runs_backwards():
    clock = _synchronized_clock()
    clock.host.time += timedelta(seconds=100)
    before = clock.now()
    assert clock.process_sample(sample=_sample(clock=clock, offset_us=-20_000))
    assert clock.now() == before and clock.correction == us(-20_000)
    assert clock.bound() == us(500 + 10 + 1000 + 10 + 20_000)
    clock.host.time += timedelta(seconds=1)
    assert clock.now() - before == timedelta(seconds=1) - us(5000)
    clock.host.time += timedelta(seconds=9)
    assert clock.now() - before == timedelta(seconds=10) - us(20_000) and clock.correction == ZERO


def test_each_branch_of_the_adoption_rule():
    clock = _synchronized_clock()
    assert not clock.is_adoptable(sample=_sample(clock=clock, dispersion_us=511))  # larger than the clock's own error
    clock.host.time += timedelta(seconds=100)
    assert clock.is_adoptable(sample=_sample(clock=clock, hops=7))  # no outstanding correction: hops are ignored
    assert clock.process_sample(sample=_sample(clock=clock, offset_us=15_000, hops=3))
    clock.host.time += timedelta(seconds=1)
    assert clock.bound() < UNBOUNDED and clock.correction == us(10_000) and clock.hops == 4
    # Outstanding correction, own hops not higher.
    assert not clock.is_adoptable(sample=_sample(clock=clock, dispersion_us=0, hops=4))
    assert not clock.is_adoptable(sample=_sample(clock=clock, dispersion_us=0, hops=5))
    # Outstanding correction, own hops higher.
    assert clock.is_adoptable(sample=_sample(clock=clock, dispersion_us=0, hops=3))
    limit = clock._accumulated_error() - _sample(clock=clock, dispersion_us=0).total_dispersion
    assert clock.is_adoptable(sample=_sample(clock=clock, dispersion_us=limit // us(1)))
    assert not clock.is_adoptable(sample=_sample(clock=clock, dispersion_us=limit // us(1) + 1))


def test_samples_of_a_superseded_source_are_rejected():
    clock = _synchronized_clock()
    clock.host.time += timedelta(seconds=1000)
    assert not clock.process_sample(sample=_sample(clock=clock, mark=0))
    assert clock.process_sample(sample=_sample(clock=clock, mark=2))
    clock.host.time += timedelta(seconds=1000)
    assert not clock.process_sample(sample=_sample(clock=clock, mark=1))


def test_a_synchronized_clock_that_becomes_source_keeps_its_time_and_its_dispersion_decays():
    clock = _synchronized_clock()
    clock.host.time += timedelta(seconds=10)
    before, bound = clock.now(), clock.bound()
    clock.become_source(mark=2, not_before=before + timedelta(hours=1))
    assert clock.now() == before and clock.hops == 0
    assert clock.current_dispersion() == bound
    clock.host.time += timedelta(seconds=10)
    assert clock.current_dispersion() == bound - us(500)
    assert not clock.process_sample(sample=_sample(clock=clock, mark=2, dispersion_us=0, offset_us=99))
    clock.stop_being_source()
    assert clock.hops == 1 and clock.bound() == bound - us(500) + us(10)


def test_an_unsynchronized_clock_that_becomes_source_starts_after_the_recorded_time():
    clock = _clock()
    recorded = clock.now() + timedelta(hours=2)
    clock.become_source(mark=1, not_before=recorded)
    assert clock.now() == recorded and clock.bound() == us(10)


def test_readings_before_the_first_synchronization_do_not_prevent_a_step_back():
    """Background passes read the time from process start on. If those readings counted as issued, a daemon would
    need hours to slew to a source whose clock started far behind."""
    clock = _clock()
    before = clock.issue_time()
    assert clock.process_sample(sample=_sample(clock=clock, offset_us=-60_000_000))
    assert clock.issue_time() - before == us(-60_000_000) and clock.correction == ZERO


def test_after_a_freeze_the_clock_is_unsynchronized_and_steps_only_forwards():
    for offset_us, remaining in ((40_000_000, ZERO), (-40_000_000, us(-40_000_000))):
        clock = _synchronized_clock()
        clock.mark_unsynchronized()
        assert clock.bound() == UNBOUNDED
        before = clock.now()
        assert clock.process_sample(sample=_sample(clock=clock, offset_us=offset_us))
        assert clock.correction == remaining and clock.now() >= before and clock.synchronized
