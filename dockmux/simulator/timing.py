"""How well the clock keeps, on an idle simulated fleet: convergence, spread, bounds, rate, and loss of the source."""

import dataclasses
from datetime import timedelta

import eventlet

from dockmux.local_fleet.fleet_plan import load
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms, to_us
from dockmux.simulator.fleet import SimFleet, fleet
from dockmux.simulator.probe import Probe

SECOND = timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """One run. Invariant: spreads are the greatest distance between two daemons at a look."""

    fleet: str
    seed: int
    convergedMs: int
    spreadUs: tuple[int, int, int]
    boundMs: tuple[int, int, int]
    rateMilliHz: float
    replacedMs: int
    spreadAfterUs: int
    wrong: int

    def line(self) -> str:
        return (
            f"{self.fleet} seed {self.seed}: all synchronized {self.convergedMs} ms after the first source; spread us "
            f"min/median/max {self.spreadUs}; widest bound ms {self.boundMs}; mean rate {self.rateMilliHz:.1f} mHz; "
            f"source killed: next after {self.replacedMs} ms, spread in the minute after {self.spreadAfterUs} us; "
            f"breaches {self.wrong}"
        )


def _three(*, spans: list[timedelta], unit: timedelta) -> tuple[int, int, int]:
    ordered = sorted(spans)
    return (ordered[0] // unit, ordered[len(ordered) // 2] // unit, ordered[-1] // unit)


def _sources(*, made: SimFleet) -> list[timedelta]:
    return [at for at, _, log_event, _ in made.world.logged if log_event is LogEvent.TIME_SOURCE_STARTED]


def measure(*, fleet_file: str, seed: int, lasts: timedelta = 600 * SECOND) -> Timing:
    plan = load(path=fleet_file)
    with fleet(plan=plan, seed=seed) as made:
        probe = Probe(fleet=made)
        eventlet.spawn(probe.run)
        made.begin()
        eventlet.sleep(lasts.total_seconds())
        total = len(plan.cores) + len(plan.edges)
        converged = next(at for at, count in probe.synchronized if count == total) - _sources(made=made)[0]
        steady = [span for at, span in probe.spread if at > 30 * SECOND]
        bounds = probe.bounds[-len(steady) :]
        rates = [rate for at, rate in probe.rates if at > 30 * SECOND]
        head = next(d for d in made.daemons.values() if hasattr(d, "agreement") and d.agreement.is_head())
        made.hosts[head.settings.name].kill()
        killed = made.world.now()
        eventlet.sleep(60)
        return Timing(
            fleet=plan.name,
            seed=seed,
            convergedMs=converged // ms(1),
            spreadUs=_three(spans=steady, unit=timedelta(microseconds=1)),
            boundMs=_three(spans=bounds, unit=ms(1)),
            rateMilliHz=sum(rates) / len(rates),
            replacedMs=(next(at for at in _sources(made=made) if at > killed) - killed) // ms(1),
            spreadAfterUs=to_us(max(span for at, span in probe.spread if at > killed)),
            wrong=len(probe.wrong),
        )


def test_the_clock_converges_keeps_its_bounds_and_outlives_its_source():
    found = measure(fleet_file="fleets/mini.yaml", seed=1, lasts=90 * SECOND)
    assert found.wrong == 0
    assert found.convergedMs < 3000 and found.replacedMs < 6000
    assert max(found.spreadUs[2], found.spreadAfterUs) < 40_000
