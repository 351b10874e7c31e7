"""Property-based test of sends: random sequences of requests and engine faults, checked against the rules of sends.

`python -m tests.send_model_test --examples N --seed S` runs N examples, a limited number in each process, and
prints the shortest run that breaks a rule.
"""

import argparse
import dataclasses
import gc
import subprocess
import sys
from datetime import timedelta

import hypothesis
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st

from dockmux.platform_proxy.send_state import SendState, UnknownOutcome
from dockmux.runtime.time_units import ms
from tests import conftest
from tests.sends_test import PATHS, tokens_out, violations
from tests.standins.client import Attempt
from tests.standins.engine import EARLY_FAULTS, WIRE_FAULTS
from tests.standins.fleet import Fleet, fleet

__all__ = ["conftest"]  # Puts the adapter's folder on the import path when this module is run without pytest.

FAULTS = (
    "", "break off", "break off early", "another's answer", "encoded", "no seal", "surplus",
    *WIRE_FAULTS, *EARLY_FAULTS,
)  # fmt: skip
CI_EXAMPLES = 60
# Simulations that have ended stay in memory, so a long search is split over several processes.
EXAMPLES_PER_PROCESS = 400
QUIET_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """`count` requests sent at the same time, the fault of the next `remaining` answers, and the pause after the step;
    `wait` waits for the requests to end, `crash` kills an engine while they run."""

    path: str
    count: int
    fault: str
    remaining: int
    surplus_after_ms: int
    late_by_ms: int
    tokens_in: int
    wait: bool
    pause_ms: int
    crash: bool


STEP_STRATEGY = st.builds(
    Step,
    path=st.sampled_from(PATHS),
    count=st.integers(min_value=1, max_value=4),
    fault=st.sampled_from(FAULTS),
    remaining=st.integers(min_value=1, max_value=3),
    surplus_after_ms=st.sampled_from((0, 1, 2, 6, 40)),
    late_by_ms=st.sampled_from((300, 1_000, 3_000, 7_900, 9_000)),
    tokens_in=st.sampled_from((100, 1_460, 16_000)),
    wait=st.booleans(),
    pause_ms=st.sampled_from((0, 1, 20, 400, 1_200, 4_000)),
    crash=st.sampled_from((False, False, False, False, True)),
)
RUN_STRATEGY = st.tuples(
    st.sampled_from(("dd", "ddd", "pdd")),
    st.integers(min_value=0, max_value=999),
    st.lists(STEP_STRATEGY, min_size=1, max_size=6),
)


def run_steps(*, sim_fleet: Fleet, steps: list[Step]) -> list[str]:
    """Executes one run and returns its violations."""
    crashed: tuple[str, ...] = ()
    attempts: list[Attempt] = sim_fleet.client.attempts
    for step in steps:
        faults = sim_fleet.faults
        faults.kind, faults.remaining = step.fault, step.remaining
        faults.surplus_after, faults.late_by = ms(step.surplus_after_ms), ms(step.late_by_ms)
        for _ in range(step.count):
            request = sim_fleet.request(path=step.path, tokens_out=tokens_out(path=step.path), tokens_in=step.tokens_in)
            sim_fleet.client.start(edge=sim_fleet.edges[0], request=request)
        if step.crash and not crashed:
            sim_fleet.sleep(seconds=0.03)
            crashed = (max(name for name in sim_fleet.engines if name.startswith("i-d")),)
            sim_fleet.kill(name=crashed[0])
        if step.wait:
            sim_fleet.sleep(seconds=0.001)
            sim_fleet.wait_until(what=lambda: not sim_fleet.open(), limit=timedelta(seconds=12))
        sim_fleet.sleep(seconds=step.pause_ms / 1000)
    sim_fleet.faults.remaining = 0
    sim_fleet.sleep(seconds=0.1)
    sim_fleet.wait_until(what=lambda: not sim_fleet.open(), limit=timedelta(seconds=12))
    sim_fleet.sleep(seconds=QUIET_SECONDS)
    found = violations(sim_fleet=sim_fleet, attempts=attempts, crashed=crashed)
    still_open = sim_fleet.daemons["edge-0"].request_table.open
    return [*found, f"{still_open} requests still open after their deadlines"] if still_open else found


def check(run: tuple[str, int, list[Step]]) -> None:
    phases, seed, steps = run
    with fleet(seed=seed, phases=phases) as sim_fleet:
        found = run_steps(sim_fleet=sim_fleet, steps=steps)
        assert not found, f"engines {phases}, seed {seed}, steps {steps}: {found}"
        sim_fleet.assert_no_failures()
    gc.freeze()


def search(*, examples: int, seed: int | None, shortest: bool = True) -> None:
    """Executes runs; AssertionError with one that breaks a rule, the shortest one found if `shortest`. Without a seed
    the runs are always the same."""
    phases = (Phase.generate, Phase.shrink) if shortest else (Phase.generate,)
    chosen = settings(
        max_examples=examples, derandomize=seed is None, database=None, deadline=None, print_blob=False,
        phases=phases, suppress_health_check=list(HealthCheck),
    )  # fmt: skip
    property_test = hypothesis.given(RUN_STRATEGY)(check)
    if seed is not None:
        property_test = hypothesis.seed(seed)(property_test)
    chosen(property_test)()


def test_no_sequence_of_faults_breaks_a_rule_of_sends():
    search(examples=CI_EXAMPLES, seed=None)


def test_a_planted_fault_is_found_and_its_run_reported(monkeypatch):
    """The planted fault treats requests that may have run as rejected ones."""
    monkeypatch.setattr(UnknownOutcome, "state", SendState.REJECTED)
    with pytest.raises(AssertionError, match="ran 2 times|after it ran"):
        search(examples=30, seed=1, shortest=False)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=0)
    given = parser.parse_args()
    remaining, seed = given.examples, given.seed
    if remaining <= EXAMPLES_PER_PROCESS:
        search(examples=remaining, seed=seed)
        print(f"seed {seed}: {remaining} examples, no violation")
        return
    while remaining > 0:
        part = min(remaining, EXAMPLES_PER_PROCESS)
        arguments = ["--examples", str(part), "--seed", str(seed)]
        ended = subprocess.run([sys.executable, "-m", "tests.send_model_test", *arguments], check=False)
        if ended.returncode:
            raise SystemExit(ended.returncode)
        remaining, seed = remaining - part, seed + 1


if __name__ == "__main__":
    main()
