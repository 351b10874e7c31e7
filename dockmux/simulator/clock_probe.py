"""Samples the clocks of all daemons during a simulation run and checks them against true time, which only a run
under virtual time knows."""

from datetime import datetime, timedelta
from typing import Any

import eventlet

from dockmux.simulator.fleet import SimFleet
from dockmux.simulator.world import WALL_CLOCK_START

SAMPLE_INTERVAL = timedelta(milliseconds=200)


class ClockProbe:
    """Samples the clocks of a fleet every SAMPLE_INTERVAL.

    Invariants: `violations` has a text for each sample in which the clocks of two synchronized daemons differ by more
    than the sum of their bounds, or a daemon's time ran backwards; `last_readings` is keyed by the id of the daemon.
    Per sample with at least two synchronized daemons, `spread` has the greatest difference between two of them,
    `bounds` the widest bound, `true_errors` the greatest difference from true time and `rates` the mean exchange rate
    in mHz; `synchronized` has the number of synchronized daemons for every sample."""

    def __init__(self, *, fleet: SimFleet) -> None:
        self.fleet = fleet
        self.violations: list[str] = []
        self.last_readings: dict[int, datetime] = {}
        self.spread: list[tuple[timedelta, timedelta]] = []
        self.bounds: list[timedelta] = []
        self.true_errors: list[timedelta] = []
        self.synchronized: list[tuple[timedelta, int]] = []
        self.rates: list[tuple[timedelta, float]] = []

    def run(self) -> None:
        while True:
            self.sample()
            eventlet.sleep(SAMPLE_INTERVAL.total_seconds())

    def _clocks(self) -> list[tuple[str, Any, Any]]:
        found = []
        for name, daemon in sorted(self.fleet.daemons.items()):
            gossip = getattr(daemon, "gossip", None)
            if self.fleet.hosts[name].alive and gossip is not None:
                found.append((name, daemon, gossip))
        return found

    def sample(self) -> None:
        """Reads and checks all clocks once."""
        at = self.fleet.world.now()
        readings = []
        rates = []
        for name, daemon, gossip in self._clocks():
            now = gossip.clock.now()
            before = self.last_readings.get(id(daemon))
            if before is not None and now < before:
                self.violations.append(f"{at} {name}: time ran back by {before - now}")
            if gossip.clock.synchronized:
                self.last_readings[id(daemon)] = now
                readings.append((name, now, gossip.clock.bound()))
                rates.append(gossip.exchange_rate.millihz)
        self.synchronized.append((at, len(readings)))
        for index, (name, now, bound) in enumerate(readings):
            for other, other_now, other_bound in readings[index + 1 :]:
                if abs(now - other_now) > bound + other_bound:
                    detail = f"{abs(now - other_now)} apart, bounds {bound} and {other_bound}"
                    self.violations.append(f"{at} {name} and {other}: {detail}")
        if len(readings) > 1:
            times = [now for _, now, _ in readings]
            self.spread.append((at, max(times) - min(times)))
            self.bounds.append(max(bound for _, _, bound in readings))
            self.true_errors.append(max(abs(now - WALL_CLOCK_START - at) for now in times))
            self.rates.append((at, sum(rates) / len(rates)))


def test_a_clock_outside_its_bound_and_one_that_runs_backwards_are_found():
    from dockmux.local_fleet.fleet_plan import load
    from dockmux.simulator.fleet import fleet

    with fleet(plan=load(path="fleets/mini.yaml"), seed=2) as sim:
        probe = ClockProbe(fleet=sim)
        sim.begin()
        probe.sample()
        assert probe.violations == [] and probe.synchronized[-1][1] == 5
        clock = sim.daemons["edge-0"].gossip.clock
        clock.epoch -= timedelta(seconds=1)
        clock.last_reading = None
        probe.sample()
        assert sum("apart" in text for text in probe.violations) == 4
        assert sum("edge-0: time ran back" in text for text in probe.violations) == 1
