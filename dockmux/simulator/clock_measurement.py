"""Measures clock synchronization on an idle simulated fleet: convergence, spread, bounds, exchange rate, and the loss
of the time source."""

import dataclasses
from datetime import timedelta

import eventlet

from dockmux.local_fleet.fleet_plan import load
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms, to_us
from dockmux.simulator.clock_probe import ClockProbe
from dockmux.simulator.fleet import SimFleet, fleet

SECOND = timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClockMeasurement:
    """The result of one run. Spread is the greatest difference between two daemons' clocks in a sample; the triples are
    minimum, median and maximum over the samples after the first 30 s."""

    fleet: str
    seed: int
    convergence_ms: int
    spread_us: tuple[int, int, int]
    bound_ms: tuple[int, int, int]
    rate_millihz: float
    replacement_ms: int
    spread_after_loss_us: int
    violations: int

    def line(self) -> str:
        """Returns the report for the terminal."""
        return (
            f"{self.fleet} seed {self.seed}: all synchronized {self.convergence_ms} ms after the first source; "
            f"spread us min/median/max {self.spread_us}; widest bound ms {self.bound_ms}; "
            f"mean rate {self.rate_millihz:.1f} mHz; source killed: next after {self.replacement_ms} ms, "
            f"spread in the minute after {self.spread_after_loss_us} us; breaches {self.violations}"
        )


def _min_median_max(*, spans: list[timedelta], unit: timedelta) -> tuple[int, int, int]:
    ordered = sorted(spans)
    return (ordered[0] // unit, ordered[len(ordered) // 2] // unit, ordered[-1] // unit)


def _source_changes(*, sim: SimFleet) -> list[timedelta]:
    return [at for at, _, log_event, _ in sim.world.logged if log_event is LogEvent.TIME_SOURCE_STARTED]


def measure(*, fleet_file: str, seed: int, duration: timedelta = 600 * SECOND) -> ClockMeasurement:
    """Runs an idle fleet for `duration`, then kills the time source and runs for another 60 s."""
    plan = load(path=fleet_file)
    with fleet(plan=plan, seed=seed) as sim:
        probe = ClockProbe(fleet=sim)
        eventlet.spawn(probe.run)
        sim.begin()
        eventlet.sleep(duration.total_seconds())
        total = len(plan.cores) + len(plan.edges)
        convergence = next(at for at, count in probe.synchronized if count == total) - _source_changes(sim=sim)[0]
        steady = [span for at, span in probe.spread if at > 30 * SECOND]
        bounds = probe.bounds[-len(steady) :]
        rates = [rate for at, rate in probe.rates if at > 30 * SECOND]
        head = next(d for d in sim.daemons.values() if hasattr(d, "agreement") and d.agreement.is_head())
        sim.hosts[head.settings.name].kill()
        killed_at = sim.world.now()
        eventlet.sleep(60)
        return ClockMeasurement(
            fleet=plan.name,
            seed=seed,
            convergence_ms=convergence // ms(1),
            spread_us=_min_median_max(spans=steady, unit=timedelta(microseconds=1)),
            bound_ms=_min_median_max(spans=bounds, unit=ms(1)),
            rate_millihz=sum(rates) / len(rates),
            replacement_ms=(next(at for at in _source_changes(sim=sim) if at > killed_at) - killed_at) // ms(1),
            spread_after_loss_us=to_us(max(span for at, span in probe.spread if at > killed_at)),
            violations=len(probe.violations),
        )


def test_the_clock_converges_stays_within_its_bounds_and_survives_the_loss_of_its_source():
    found = measure(fleet_file="fleets/mini.yaml", seed=1, duration=90 * SECOND)
    assert found.violations == 0
    assert found.convergence_ms < 3000 and found.replacement_ms < 6000
    assert max(found.spread_us[2], found.spread_after_loss_us) < 40_000
