"""A model of sends: drawn sequences of requests and of engines' misbehaviour, checked against the rules of sends.

`python -m tests.send_model_test --examples N --seed S` plays as many as wanted, in processes of a bounded size, and
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
from tests.sends_test import PATHS, breaches, tokens_out
from tests.standins.client import Seen
from tests.standins.engine import EARLY_FAULTS, WIRE_FAULTS
from tests.standins.fleet import Fleet, fleet

__all__ = ["conftest"]  # It puts the adapter's folder on the path, also without pytest.

FAULTS = (
    "", "break off", "break off early", "another's answer", "encoded", "no seal", "surplus",
    *WIRE_FAULTS, *EARLY_FAULTS,
)  # fmt: skip
EXAMPLES_IN_CI = 60
# Ended worlds stay in memory, so a long search goes through several processes.
EXAMPLES_PER_PROCESS = 400
QUIET_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Step:
    """Requests sent at once, the fault that the next `left` answers meet, and the pause after the step's end;
    `crash` ends an engine while they run."""

    path: str
    count: int
    fault: str
    left: int
    surplus_after_ms: int
    late_by_ms: int
    tokens_in: int
    wait: bool
    pause_ms: int
    crash: bool


STEPS = st.builds(
    Step,
    path=st.sampled_from(PATHS),
    count=st.integers(min_value=1, max_value=4),
    fault=st.sampled_from(FAULTS),
    left=st.integers(min_value=1, max_value=3),
    surplus_after_ms=st.sampled_from((0, 1, 2, 6, 40)),
    late_by_ms=st.sampled_from((300, 1_000, 3_000, 7_900, 9_000)),
    tokens_in=st.sampled_from((100, 1_460, 16_000)),
    wait=st.booleans(),
    pause_ms=st.sampled_from((0, 1, 20, 400, 1_200, 4_000)),
    crash=st.sampled_from((False, False, False, False, True)),
)
RUNS = st.tuples(
    st.sampled_from(("dd", "ddd", "pdd")),
    st.integers(min_value=0, max_value=999),
    st.lists(STEPS, min_size=1, max_size=6),
)


def play(*, made: Fleet, steps: list[Step]) -> list[str]:
    """The breaches of one run."""
    crashed: tuple[str, ...] = ()
    tries: list[Seen] = made.client.tries
    for step in steps:
        faults = made.faults
        faults.kind, faults.left = step.fault, step.left
        faults.surplus_after, faults.late_by = ms(step.surplus_after_ms), ms(step.late_by_ms)
        for _ in range(step.count):
            request = made.request(path=step.path, tokens_out=tokens_out(path=step.path), tokens_in=step.tokens_in)
            made.client.start(edge=made.edges[0], request=request)
        if step.crash and not crashed:
            made.sleep(seconds=0.03)
            crashed = (max(name for name in made.engines if name.startswith("i-d")),)
            made.kill(name=crashed[0])
        if step.wait:
            made.sleep(seconds=0.001)
            made.wait_until(what=lambda: not made.open(), limit=timedelta(seconds=12))
        made.sleep(seconds=step.pause_ms / 1000)
    made.faults.left = 0
    made.sleep(seconds=0.1)
    made.wait_until(what=lambda: not made.open(), limit=timedelta(seconds=12))
    made.sleep(seconds=QUIET_SECONDS)
    told = breaches(made=made, tries=tries, crashed=crashed)
    held = made.daemons["edge-0"].request_table.open
    return [*told, f"{held} requests held past their time"] if held else told


def check(run: tuple[str, int, list[Step]]) -> None:
    phases, seed, steps = run
    with fleet(seed=seed, phases=phases) as made:
        told = play(made=made, steps=steps)
        assert not told, f"engines {phases}, seed {seed}, steps {steps}: {told}"
        made.sound()
    gc.freeze()


def search(*, examples: int, seed: int | None, shortest: bool = True) -> None:
    """Plays runs; AssertionError with one that breaks a rule, the shortest that was found if that is wanted. Without
    a seed always the same runs."""
    phases = (Phase.generate, Phase.shrink) if shortest else (Phase.generate,)
    chosen = settings(
        max_examples=examples, derandomize=seed is None, database=None, deadline=None, print_blob=False,
        phases=phases, suppress_health_check=list(HealthCheck),
    )  # fmt: skip
    played = hypothesis.given(RUNS)(check)
    if seed is not None:
        played = hypothesis.seed(seed)(played)
    chosen(played)()


def test_no_sequence_of_misbehaviour_breaks_a_rule_of_sends():
    search(examples=EXAMPLES_IN_CI, seed=None)


def test_a_planted_fault_is_found_and_its_run_is_told(monkeypatch):
    """Requests that may have run are taken for ones that were turned away."""
    monkeypatch.setattr(UnknownOutcome, "state", SendState.REJECTED)
    with pytest.raises(AssertionError, match="ran 2 times|after it ran"):
        search(examples=30, seed=1, shortest=False)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--examples", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=0)
    given = parser.parse_args()
    left, seed = given.examples, given.seed
    if left <= EXAMPLES_PER_PROCESS:
        search(examples=left, seed=seed)
        print(f"seed {seed}: {left} examples, no breach")
        return
    while left > 0:
        part = min(left, EXAMPLES_PER_PROCESS)
        arguments = ["--examples", str(part), "--seed", str(seed)]
        ended = subprocess.run([sys.executable, "-m", "tests.send_model_test", *arguments], check=False)
        if ended.returncode:
            raise SystemExit(ended.returncode)
        left, seed = left - part, seed + 1


if __name__ == "__main__":
    main()
