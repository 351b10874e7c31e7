"""Runs a planted fault: its directed scenario, then drawn schedules."""

import dataclasses
import signal
import warnings
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from tests.control_model.history import CHECKS
from tests.control_model.search import Search
from tests.planted_faults.fault import PlantedFault
from tests.planted_faults.scenarios import SCENARIOS
from tests.planted_faults.table import FAULTS

# A fault may keep the simulated daemons busy at one moment for ever.
TIME_LIMIT_S = 300
NOT_CAUGHT = "not caught"


class OutOfTime(BaseException):
    """A run took too long. No Exception, so that no daemon's task catches it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """What a planted fault's runs told, each in a few words."""

    name: str
    condition: str
    directed: str
    model: str
    harmless: str

    @property
    def caught(self) -> bool:
        return any(told and not told.startswith((NOT_CAUGHT, "none")) for told in (self.directed, self.model))


@contextmanager
def _limited() -> Iterator[None]:
    def stop(*_: Any) -> None:
        raise OutOfTime

    before = signal.signal(signal.SIGALRM, stop)
    signal.alarm(TIME_LIMIT_S)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, before)


def directed(*, fault: PlantedFault) -> str:
    """What the fault's own scenario tells."""
    if not fault.directed:
        return "none"
    with fault.planted():
        found = SCENARIOS[fault.directed]()
    return f"{fault.directed}: {found[0]}" if found else f"{NOT_CAUGHT} by {fault.directed}"


def drawn(*, fault: PlantedFault, examples: int, members: int, search_seed: int, without: tuple[str, ...]) -> str:
    """What drawn schedules tell."""
    if not examples:
        return "none"
    checks = [check for check in CHECKS if check.__name__ not in without]
    search = Search(members=members, examples=examples, search_seed=search_seed, shrink=False, checks=checks)
    try:
        with fault.planted(), _limited():
            failure = search.run()
    except OutOfTime:
        return f"{NOT_CAUGHT}: time was up after {search.played} runs"
    if failure is None:
        return f"{NOT_CAUGHT} in {search.played} runs"
    return f"{failure.breaches[0].partition(':')[0]} in run {search.played}"


def run(*, name: str, examples: int, members: int, search_seed: int, without: tuple[str, ...]) -> Result:
    warnings.simplefilter("ignore")
    fault = next(fault for fault in FAULTS if fault.name == name)
    return Result(
        name=name,
        condition=fault.condition,
        directed=directed(fault=fault),
        model=drawn(
            fault=fault, examples=examples, members=members, search_seed=search_seed, without=without
        ),
        harmless=fault.harmless,
    )  # fmt: skip
