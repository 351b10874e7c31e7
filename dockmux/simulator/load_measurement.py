"""Measures outcomes and latency of a simulated fleet under constant load, by lane and by request stage."""

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
class LoadMeasurement:
    """The result of one run at `load_factor` times the normal load. Invariant: `stages` has the latency quantiles of
    each stage in ms, over answered requests only."""

    fleet: str
    seed: int
    load_factor: float
    answered_per_s: float
    prefix_hit_percent: int
    summary: dict[str, Any]
    stages: dict[str, dict[str, int]]

    def lines(self) -> list[str]:
        """Returns the report for the terminal."""
        lines = [
            f"{self.fleet} seed {self.seed} x{self.load_factor:g}: answered {self.answered_per_s:.1f} a second, "
            f"{self.summary['outcomes']}, prefix hits {self.prefix_hit_percent}%, wrong {len(self.summary['wrong'])}"
        ]
        for lane, row in self.summary["lanes"].items():
            lines.append(f"  {lane}: {row['outcomes']}, to first piece {row['firstMs']}, to end {row['endMs']}")
        lines += [f"  {stage}: {spans}" for stage, spans in self.stages.items()]
        return lines


def measure(*, fleet_file: str, seed: int, load_factor: float, duration: timedelta = 20 * SECOND) -> LoadMeasurement:
    """Runs a fleet under load for `duration` after 2 s of warm-up."""
    plan = load(path=fleet_file)
    with fleet(plan=plan, seed=seed) as sim:
        sim.begin()
        eventlet.sleep(2)
        open_loop = OpenLoopLoad(host=sim.outside, plan=plan, seed=seed)
        open_loop.run(duration=duration, since=timedelta(), rate=lambda _: plan.requests_per_second * load_factor)
        prefill_events = [event for engine in sim.engines for event in engine.history if event["what"] == "prefilled"]
        spans: dict[str, list[timedelta]] = {}
        for edge in plan.edges:
            for stage, stage_spans in sim.daemons[edge["name"]].table.stages().recent.items():
                spans.setdefault(stage, []).extend(stage_spans)
        answered = sum(1 for attempt in open_loop.attempts if attempt.kind == "answered")
        return LoadMeasurement(
            fleet=plan.name,
            seed=seed,
            load_factor=load_factor,
            answered_per_s=answered / duration.total_seconds(),
            prefix_hit_percent=100 * sum(event["warm"] for event in prefill_events) // max(len(prefill_events), 1),
            summary=summarize(attempts=open_loop.attempts),
            stages={stage: quantiles(durations=stage_spans) for stage, stage_spans in spans.items()},
        )
