"""How a simulated fleet answers under steady load, normal or above it: by lane, and by the stages of a request."""

import dataclasses
from datetime import timedelta
from typing import Any

import eventlet

from dockmux.load_generator.open_loop import OpenLoopLoad
from dockmux.load_generator.report import quantiles, summarize
from dockmux.local_fleet.fleet_plan import load
from dockmux.simulator.fleet import fleet

SECOND = timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Strain:
    """One run. Invariant: `stages` are those of the requests that were answered, in ms."""

    fleet: str
    seed: int
    times: float
    perSecond: float
    warmPercent: int
    summary: dict[str, Any]
    stages: dict[str, dict[str, int]]

    def lines(self) -> list[str]:
        told = [
            f"{self.fleet} seed {self.seed} x{self.times:g}: answered {self.perSecond:.1f} a second, "
            f"{self.summary['outcomes']}, prefix hits {self.warmPercent}%, wrong {len(self.summary['wrong'])}"
        ]
        for lane, row in self.summary["lanes"].items():
            told.append(f"  {lane}: {row['outcomes']}, to first piece {row['firstMs']}, to end {row['endMs']}")
        told += [f"  {stage}: {spans}" for stage, spans in self.stages.items()]
        return told


def measure(*, fleet_file: str, seed: int, times: float, lasts: timedelta = 20 * SECOND) -> Strain:
    plan = load(path=fleet_file)
    with fleet(plan=plan, seed=seed) as made:
        made.begin()
        eventlet.sleep(2)
        open_loop = OpenLoopLoad(host=made.outside, plan=plan, seed=seed)
        open_loop.run(duration=lasts, since=timedelta(), rate=lambda _: plan.requests_per_second * times)
        rows = [row for engine in made.engines for row in engine.history if row["what"] == "prefilled"]
        spans: dict[str, list[timedelta]] = {}
        for edge in plan.edges:
            for stage, found in made.daemons[edge["name"]].table.stages().latest.items():
                spans.setdefault(stage, []).extend(found)
        answered = sum(1 for seen in open_loop.attempts if seen.kind == "answered")
        return Strain(
            fleet=plan.name,
            seed=seed,
            times=times,
            perSecond=answered / lasts.total_seconds(),
            warmPercent=100 * sum(row["warm"] for row in rows) // max(len(rows), 1),
            summary=summarize(attempts=open_loop.attempts),
            stages={stage: quantiles(durations=found) for stage, found in spans.items()},
        )
