"""Runs a planted fault against its directed scenario and against drawn schedules."""

import dataclasses
import signal
import warnings
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from tests.control_model.history import CHECKS
from tests.control_model.schedule_search import ScheduleSearch
from tests.planted_faults.fault import PlantedFault
from tests.planted_faults.scenarios import SCENARIOS
from tests.planted_faults.table import FAULTS

# A fault can make the simulated daemons loop without simulated time advancing.
TIME_LIMIT_S = 300
NOT_CAUGHT = "not caught"


class TimeLimitExceeded(BaseException):
    """A run exceeded TIME_LIMIT_S. A BaseException, so that no daemon task catches it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Results of one planted fault as short texts, in the order of the report's columns."""

    name: str
    condition: str
    directed: str
    model: str
    harmless: str

    @property
    def caught(self) -> bool:
        """Whether the directed scenario or a drawn schedule noticed the fault."""
        return any(text and not text.startswith((NOT_CAUGHT, "none")) for text in (self.directed, self.model))


@contextmanager
def _time_limit() -> Iterator[None]:
    def raise_time_limit(*_: Any) -> None:
        raise TimeLimitExceeded

    previous_handler = signal.signal(signal.SIGALRM, raise_time_limit)
    signal.alarm(TIME_LIMIT_S)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, previous_handler)


def run_directed(*, fault: PlantedFault) -> str:
    """Result of the fault's directed scenario: its first violation, "none" if it has no scenario, or not caught."""
    if not fault.directed:
        return "none"
    with fault.planted():
        violations = SCENARIOS[fault.directed]()
    return f"{fault.directed}: {violations[0]}" if violations else f"{NOT_CAUGHT} by {fault.directed}"


def run_drawn(*, fault: PlantedFault, examples: int, members: int, search_seed: int, without: tuple[str, ...]) -> str:
    """Result of drawn schedules: the check that failed first and in which run, or not caught."""
    if not examples:
        return "none"
    checks = [check for check in CHECKS if check.__name__ not in without]
    search = ScheduleSearch(members=members, examples=examples, search_seed=search_seed, shrink=False, checks=checks)
    try:
        with fault.planted(), _time_limit():
            failure = search.run()
    except TimeLimitExceeded:
        return f"{NOT_CAUGHT}: time limit reached after {search.runs} runs"
    if failure is None:
        return f"{NOT_CAUGHT} in {search.runs} runs"
    return f"{failure.violations[0].partition(':')[0]} in run {search.runs}"


def run_fault(*, name: str, examples: int, members: int, search_seed: int, without: tuple[str, ...]) -> Result:
    """Runs one fault by name; `without` names checks to skip, `examples` 0 skips drawn schedules."""
    warnings.simplefilter("ignore")
    fault = next(fault for fault in FAULTS if fault.name == name)
    return Result(
        name=name,
        condition=fault.condition,
        directed=run_directed(fault=fault),
        model=run_drawn(
            fault=fault, examples=examples, members=members, search_seed=search_seed, without=without
        ),
        harmless=fault.harmless,
    )  # fmt: skip
