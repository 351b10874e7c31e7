"""Many drawn schedules, and the shortest one that breaks a check."""

import dataclasses
import gc
from collections.abc import Iterable

from hypothesis import HealthCheck, Phase, given, seed, settings

from tests.control_model.history import CHECKS, Check, breaches
from tests.control_model.play import play
from tests.control_model.steps import NoStep, Step, schedules

WORLD_SEED = 1


class Broken(AssertionError):
    """A schedule broke a check."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A schedule that broke a check, as short as hypothesis could make it."""

    schedule: list[Step]
    breaches: list[str]


@dataclasses.dataclass(kw_only=True)
class Search:
    """One search. Invariants: `played` counts runs, those that shorten a failure as well; `last` is the last failure,
    which is the shortest once the search is over."""

    members: int
    examples: int
    search_seed: int
    shrink: bool = True
    checks: Iterable[Check] = CHECKS
    played: int = 0
    last: Failure | None = None

    def _try(self, *, schedule: list[Step]) -> None:
        self.played += 1
        found = breaches(history=play(schedule=schedule, members=self.members, seed=WORLD_SEED), checks=self.checks)
        # Ended worlds are kept for good; nothing is to be found in them by looking again and again.
        gc.freeze()
        if found:
            needed = [step for step in schedule if not isinstance(step, NoStep)]
            self.last = Failure(schedule=needed, breaches=found)
            # One kind of failure for hypothesis, whichever check: the shortest of all is wanted.
            raise Broken

    def run(self) -> Failure | None:
        phases = (Phase.generate, Phase.shrink) if self.shrink else (Phase.generate,)

        @seed(self.search_seed)
        @settings(
            max_examples=self.examples, database=None, deadline=None, phases=phases,
            suppress_health_check=list(HealthCheck), report_multiple_bugs=False,
        )  # fmt: skip
        @given(schedule=schedules(members=self.members))
        def drawn(schedule: list[Step]) -> None:
            self._try(schedule=schedule)

        try:
            drawn()
        except Broken:
            return self.last
        return None
