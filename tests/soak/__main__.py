"""`python -m tests.soak --seeds A-B --seconds N`: plays seeds, prints what broke; exit 0 only when nothing did."""

import argparse
import asyncio
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from tests.soak.history import History
from tests.soak.judge import Breach, judge, trace
from tests.soak.machines import CannotRun
from tests.soak.plan import Plan, draw, load
from tests.soak.run import play

# What one of the project's processes takes, rounded up, and how many processes a run may have.
PROCESS_MB = 60
PROCESSES_MOST = 160
SHOWN_MOST = 5


def parse(*, words: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-1", help="A-B, or one seed")
    parser.add_argument("--seconds", type=float, default=25.0, help="how long clients and troubles last")
    parser.add_argument("--edges", type=int, default=3)
    parser.add_argument("--cores", type=int, default=3)
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--most", action="store_true", help="as many edges as the machine bears")
    parser.add_argument("--plan", type=Path, help="play a plan's file in place of drawn ones")
    parser.add_argument("--shrink", action="store_true", help="leave out what a failing plan does not need")
    parser.add_argument("--keep", type=Path, default=None, help="a folder for the plans of failing seeds")
    return parser.parse_args(words)


def edges_most(*, cores: int) -> int:
    total_mb = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") // 2**20
    count = min(PROCESSES_MOST, total_mb // 2 // PROCESS_MB) - cores
    print(f"--most: {count} edges and {cores} cores at {PROCESS_MB} MB, under half of {total_mb} MB", flush=True)
    return count


def plans(*, parsed: argparse.Namespace) -> list[Plan]:
    if parsed.plan is not None:
        return [load(path=parsed.plan)]
    first, _, last = parsed.seeds.partition("-")
    edges = edges_most(cores=parsed.cores) if parsed.most else parsed.edges
    return [
        draw(seed=seed, seconds=parsed.seconds, edges=edges, cores=parsed.cores, engines=parsed.engines)
        for seed in range(int(first), int(last or first) + 1)
    ]


def play_once(*, plan: Plan, timed: bool = True) -> tuple[list[Breach], History]:
    history = asyncio.run(play(plan=plan))
    return judge(history=history, timed=timed), history


def report(*, plan: Plan, breaches: list[Breach], history: History, took_s: float) -> None:
    served = sum(row.whole and 200 <= row.status < 300 for row in history.tries)
    taken = sum(change.status == 200 for change in history.changes)
    rules = ", ".join(f"{rule} {count}" for rule, count in Counter(each.rule for each in breaches).items())
    print(
        f"seed {plan.seed}: {rules or 'held'}; {len(history.tries)} tries, {served} served, {taken} changes taken, "
        f"{len(history.troubles)} troubles, {took_s:.0f} s",
        flush=True,
    )
    shown = {breach.rule: breach for breach in reversed(breaches)}
    for breach in [*shown.values(), *breaches[:SHOWN_MOST]]:
        print(f"  {breach.rule} {breach.request_id} {breach.what}")
        print("\n".join(trace(history=history, request_id=breach.request_id)), flush=True)


def shrink(*, plan: Plan, rules: set[str]) -> Plan:
    """Leaves out one step after the other as long as one of the same rules breaks."""
    place = 0
    while place < len(plan.steps):
        smaller = plan.without(place=place)
        breaches, _ = play_once(plan=smaller)
        if rules & {breach.rule for breach in breaches}:
            plan = smaller
            print(f"  without step {place}: still broken, {len(plan.steps)} steps are left", flush=True)
        else:
            place += 1
    return plan


def play_and_report(*, plan: Plan, parsed: argparse.Namespace) -> bool:
    """Whether the plan held."""
    began = time.monotonic()
    try:
        breaches, history = play_once(plan=plan)
    except CannotRun as error:
        print(f"seed {plan.seed}: could not run: {error}", flush=True)
        return False
    report(plan=plan, breaches=breaches, history=history, took_s=time.monotonic() - began)
    if not breaches:
        return True
    print("\n".join(plan.lines()), flush=True)
    if parsed.shrink:
        plan = shrink(plan=plan, rules={breach.rule for breach in breaches})
        print("\n".join(["least plan:", *plan.lines()]), flush=True)
    if parsed.keep is not None:
        parsed.keep.mkdir(parents=True, exist_ok=True)
        (parsed.keep / f"seed-{plan.seed}.json").write_text(plan.text())
    return False


def main(words: list[str]) -> int:
    def end(*_: object) -> None:
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, end)
    parsed = parse(words=words)
    held = [play_and_report(plan=plan, parsed=parsed) for plan in plans(parsed=parsed)]
    print(f"{sum(held)} passed, {len(held) - sum(held)} failed", flush=True)
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
