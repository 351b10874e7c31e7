"""`python -m tests.soak --seeds A-B --seconds N`: plays seeds, prints violations; exit 0 only if there are none."""

import argparse
import asyncio
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from tests.soak.history import History
from tests.soak.judge import describe_request, judge
from tests.soak.machines import SetupError
from tests.soak.plan import Plan, draw_plan, load_plan
from tests.soak.run import run_plan
from tests.soak.violations import Violation

# The memory of one daemon, rounded up, and how many daemons a run may have; they decide what --most starts.
PROCESS_MB = 60
MAX_PROCESSES = 160
MAX_SHOWN_VIOLATIONS = 5


def parse_arguments(*, arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-1", help="A-B, or one seed")
    parser.add_argument("--seconds", type=float, default=25.0, help="how long clients send and faults are injected")
    parser.add_argument("--edges", type=int, default=3)
    parser.add_argument("--cores", type=int, default=3)
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--most", action="store_true", help="as many edges as the host can run")
    parser.add_argument("--plan", type=Path, help="play the plan in this file instead of drawing plans")
    parser.add_argument("--shrink", action="store_true", help="reduce a failing plan to the steps that it needs")
    parser.add_argument("--keep", type=Path, default=None, help="folder to write the plans of failing seeds to")
    return parser.parse_args(arguments)


def max_edges(*, cores: int) -> int:
    """How many edges fit beside the cores: half of the host's memory, and MAX_PROCESSES in all."""
    total_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") // 2**20
    count = min(MAX_PROCESSES, total_mb // 2 // PROCESS_MB) - cores
    print(f"--most: {count} edges and {cores} cores at {PROCESS_MB} MB, under half of {total_mb} MB", flush=True)
    return count


def requested_plans(*, parsed: argparse.Namespace) -> list[Plan]:
    """The plan of the given file, or one plan for each seed."""
    if parsed.plan is not None:
        return [load_plan(path=parsed.plan)]
    first, _, last = parsed.seeds.partition("-")
    edges = max_edges(cores=parsed.cores) if parsed.most else parsed.edges
    return [
        draw_plan(seed=seed, seconds=parsed.seconds, edges=edges, cores=parsed.cores, engines=parsed.engines)
        for seed in range(int(first), int(last or first) + 1)
    ]


def run_and_judge(*, plan: Plan, timed: bool = True) -> tuple[list[Violation], History]:
    history = asyncio.run(run_plan(plan=plan))
    return judge(history=history, timed=timed), history


def report(*, plan: Plan, violations: list[Violation], history: History, took_s: float) -> None:
    served = sum(request.complete and 200 <= request.status < 300 for request in history.requests)
    acknowledged = sum(change.status == 200 for change in history.changes)
    rules = ", ".join(f"{rule} {count}" for rule, count in Counter(each.rule for each in violations).items())
    print(
        f"seed {plan.seed}: {rules or 'no violations'}; {len(history.requests)} requests, {served} served, "
        f"{acknowledged} changes acknowledged, {len(history.faults)} faults, {took_s:.0f} s",
        flush=True,
    )
    shown = {violation.rule: violation for violation in reversed(violations)}
    for violation in [*shown.values(), *violations[:MAX_SHOWN_VIOLATIONS]]:
        print(f"  {violation.rule} {violation.request_id} {violation.detail}")
        print("\n".join(describe_request(history=history, request_id=violation.request_id)), flush=True)


def shrink(*, plan: Plan, rules: set[str]) -> Plan:
    """Removes one step after the other, as long as one of the same rules is still broken."""
    index = 0
    while index < len(plan.steps):
        candidate = plan.without(index=index)
        violations, _ = run_and_judge(plan=candidate)
        if rules & {violation.rule for violation in violations}:
            plan = candidate
            print(f"  without step {index}: still fails, {len(plan.steps)} steps are left", flush=True)
        else:
            index += 1
    return plan


def run_and_report(*, plan: Plan, parsed: argparse.Namespace) -> bool:
    """Plays and judges one plan, and prints the report; whether it ran without violations."""
    started_at = time.monotonic()
    try:
        violations, history = run_and_judge(plan=plan)
    except SetupError as error:
        print(f"seed {plan.seed}: could not run: {error}", flush=True)
        return False
    report(plan=plan, violations=violations, history=history, took_s=time.monotonic() - started_at)
    if not violations:
        return True
    print("\n".join(plan.describe_steps()), flush=True)
    if parsed.shrink:
        plan = shrink(plan=plan, rules={violation.rule for violation in violations})
        print("\n".join(["smallest failing plan:", *plan.describe_steps()]), flush=True)
    if parsed.keep is not None:
        parsed.keep.mkdir(parents=True, exist_ok=True)
        (parsed.keep / f"seed-{plan.seed}.json").write_text(plan.to_json())
    return False


def main(arguments: list[str]) -> int:
    def end(*_: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    parsed = parse_arguments(arguments=arguments)
    passed = [run_and_report(plan=plan, parsed=parsed) for plan in requested_plans(parsed=parsed)]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed", flush=True)
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
