"""Searches drawn schedules for one that violates a check, and shrinks it."""

import dataclasses
import gc
from collections.abc import Iterable

from hypothesis import HealthCheck, Phase, given, seed, settings

from tests.control_model.history import CHECKS, Check, find_violations
from tests.control_model.schedule_runner import run_schedule
from tests.control_model.steps import NoOpStep, Step, schedules

WORLD_SEED = 1


class CheckFailed(AssertionError):
    """A schedule violated a check."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A schedule that violated a check, without its no-op steps, and the violations."""

    schedule: list[Step]
    violations: list[str]


@dataclasses.dataclass(kw_only=True)
class ScheduleSearch:
    """One search over `examples` drawn schedules.

    Invariants: `runs` counts executed schedules, including those of shrinking; `last_failure` is the most recent
    failure, which is the shortest one once the search has ended.
    """

    members: int
    examples: int
    search_seed: int
    shrink: bool = True
    checks: Iterable[Check] = CHECKS
    runs: int = 0
    last_failure: Failure | None = None

    def _run_one(self, *, schedule: list[Step]) -> None:
        self.runs += 1
        violations = find_violations(
            history=run_schedule(schedule=schedule, members=self.members, seed=WORLD_SEED), checks=self.checks
        )
        # Finished simulations are never released, so the garbage collector need not scan them again.
        gc.freeze()
        if violations:
            effective_steps = [step for step in schedule if not isinstance(step, NoOpStep)]
            self.last_failure = Failure(schedule=effective_steps, violations=violations)
            # One exception type for all checks, so that hypothesis shrinks to the shortest failure overall.
            raise CheckFailed

    def run(self) -> Failure | None:
        """Runs the search and returns the shortest failure found, or None; the first one if `shrink` is off."""
        phases = (Phase.generate, Phase.shrink) if self.shrink else (Phase.generate,)

        @seed(self.search_seed)
        @settings(
            max_examples=self.examples, database=None, deadline=None, phases=phases,
            suppress_health_check=list(HealthCheck), report_multiple_bugs=False,
        )  # fmt: skip
        @given(schedule=schedules(members=self.members))
        def run_drawn_schedule(schedule: list[Step]) -> None:
            self._run_one(schedule=schedule)

        try:
            run_drawn_schedule()
        except CheckFailed:
            return self.last_failure
        return None
