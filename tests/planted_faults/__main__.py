"""`python -m tests.planted_faults [NAME...]` plants each fault in turn, runs its directed scenario and drawn schedules,
and prints a Markdown table of what caught it.

The exit code is 1 if a fault that is not harmless was not caught, and 2 for an unknown fault name.
"""

import argparse
import concurrent.futures
import multiprocessing
import sys
import warnings

from tests.planted_faults.runs import Result, run_fault
from tests.planted_faults.table import FAULTS


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m tests.planted_faults", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="planted faults to run; default: all")
    parser.add_argument("--examples", type=int, default=100, help="schedules to draw for each fault; 0 for none")
    parser.add_argument("--members", type=int, default=3, choices=(3, 5), help="number of control machines")
    parser.add_argument("--seed", type=int, default=1, help="seed for drawing schedules")
    parser.add_argument("--jobs", type=int, default=1, help="number of parallel processes")
    parser.add_argument("--without", action="append", default=[], metavar="CHECK", help="name of a check to skip")
    return parser


def _row(result: Result) -> str:
    cells = [result.name, result.condition, result.directed, result.model, result.harmless]
    return "| " + " | ".join(cell.replace("|", "/") for cell in cells) + " |"


def main(argv: list[str] | None = None) -> int:
    args = _parser().parse_args(argv)
    names = args.names or [fault.name for fault in FAULTS]
    unknown_names = set(names) - {fault.name for fault in FAULTS}
    if unknown_names:
        print(f"no such fault: {', '.join(sorted(unknown_names))}", file=sys.stderr)
        return 2
    warnings.simplefilter("ignore")
    print("| fault | condition taken out | directed scenario | drawn schedules | why harmless |")
    print("|---|---|---|---|---|", flush=True)
    uncaught = 0
    # One process per fault, because finished simulations are never released.
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=args.jobs, mp_context=multiprocessing.get_context("spawn"), max_tasks_per_child=1
    ) as pool:
        tasks = [
            pool.submit(
                run_fault, name=name, examples=args.examples, members=args.members, search_seed=args.seed,
                without=tuple(args.without),
            )
            for name in names
        ]  # fmt: skip
        for task in tasks:
            result = task.result()
            print(_row(result), flush=True)
            uncaught += not (result.caught or result.harmless)
    print(f"\n{len(names)} faults, {uncaught} not caught.")
    return 1 if uncaught else 0


if __name__ == "__main__":
    sys.exit(main())
