"""Looks at every daemon's clock while a simulated day runs: the one thing that only virtual time can check."""

from datetime import datetime, timedelta
from typing import Any

import eventlet

from dockmux.simulator.fleet import SimFleet
from dockmux.simulator.world import BEGIN

TICK = timedelta(milliseconds=200)


class Probe:
    """Invariants: `wrong` names every moment at which two synchronized daemons were further apart than their bounds
    say, or one's time ran backwards; `spread` is the greatest distance seen at each look, `bounds` the widest bound,
    and `off` the greatest distance from true time."""

    def __init__(self, *, fleet: SimFleet) -> None:
        self.fleet = fleet
        self.wrong: list[str] = []
        self.latest: dict[int, datetime] = {}
        self.spread: list[tuple[timedelta, timedelta]] = []
        self.bounds: list[timedelta] = []
        self.off: list[timedelta] = []
        self.synchronized: list[tuple[timedelta, int]] = []
        self.rates: list[tuple[timedelta, float]] = []

    def run(self) -> None:
        while True:
            self.look()
            eventlet.sleep(TICK.total_seconds())

    def _clocks(self) -> list[tuple[str, Any, Any]]:
        found = []
        for name, daemon in sorted(self.fleet.daemons.items()):
            gossip = getattr(daemon, "gossip", None)
            if self.fleet.hosts[name].alive and gossip is not None:
                found.append((name, daemon, gossip))
        return found

    def look(self) -> None:
        at = self.fleet.world.now()
        read = []
        rates = []
        for name, daemon, gossip in self._clocks():
            now = gossip.clock.now()
            before = self.latest.get(id(daemon))
            if before is not None and now < before:
                self.wrong.append(f"{at} {name}: time ran back by {before - now}")
            if gossip.clock.synchronized:
                self.latest[id(daemon)] = now
                read.append((name, now, gossip.clock.bound()))
                rates.append(gossip.exchange_rate.millihz)
        self.synchronized.append((at, len(read)))
        for place, (name, now, bound) in enumerate(read):
            for other, its_now, its_bound in read[place + 1 :]:
                if abs(now - its_now) > bound + its_bound:
                    told = f"{abs(now - its_now)} apart, bounds {bound} and {its_bound}"
                    self.wrong.append(f"{at} {name} and {other}: {told}")
        if len(read) > 1:
            times = [now for _, now, _ in read]
            self.spread.append((at, max(times) - min(times)))
            self.bounds.append(max(bound for _, _, bound in read))
            self.off.append(max(abs(now - BEGIN - at) for now in times))
            self.rates.append((at, sum(rates) / len(rates)))


def test_a_clock_outside_its_bound_and_one_that_runs_back_are_found():
    from dockmux.local_fleet.fleet_plan import load
    from dockmux.simulator.fleet import fleet

    with fleet(plan=load(path="fleets/mini.yaml"), seed=2) as made:
        probe = Probe(fleet=made)
        made.begin()
        probe.look()
        assert probe.wrong == [] and probe.synchronized[-1][1] == 5
        clock = made.daemons["edge-0"].gossip.clock
        clock.epoch -= timedelta(seconds=1)
        clock.last_reading = None
        probe.look()
        assert sum("apart" in text for text in probe.wrong) == 4
        assert sum("edge-0: time ran back" in text for text in probe.wrong) == 1
