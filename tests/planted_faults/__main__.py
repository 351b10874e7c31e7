"""`python -m tests.planted_faults [NAME...]` plants each fault in turn, runs its directed scenario and drawn schedules,
and prints a Markdown table of what caught it. The exit code is 1 when a fault that is not harmless was caught by
nothing."""

import argparse
import concurrent.futures
import multiprocessing
import sys
import warnings

from tests.planted_faults.runs import Result, run
from tests.planted_faults.table import FAULTS


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m tests.planted_faults", description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="of planted faults; all without one")
    parser.add_argument("--examples", type=int, default=100, help="schedules to draw for each fault; 0 for none")
    parser.add_argument("--members", type=int, default=3, choices=(3, 5), help="control machines")
    parser.add_argument("--seed", type=int, default=1, help="of the drawing")
    parser.add_argument("--jobs", type=int, default=1, help="processes at once")
    parser.add_argument("--without", action="append", default=[], metavar="CHECK", help="a check to leave out")
    return parser


def _row(result: Result) -> str:
    cells = [result.name, result.condition, result.directed, result.model, result.harmless]
    return "| " + " | ".join(cell.replace("|", "/") for cell in cells) + " |"


def main(argv: list[str] | None = None) -> int:
    parsed = _parser().parse_args(argv)
    names = parsed.names or [fault.name for fault in FAULTS]
    unknown = set(names) - {fault.name for fault in FAULTS}
    if unknown:
        print(f"no such fault: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    warnings.simplefilter("ignore")
    print("| fault | condition taken out | directed scenario | drawn schedules | why harmless |")
    print("|---|---|---|---|---|", flush=True)
    missed = 0
    # A process for each fault: ended worlds are kept for good.
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=parsed.jobs, mp_context=multiprocessing.get_context("spawn"), max_tasks_per_child=1
    ) as pool:
        tasks = [
            pool.submit(
                run, name=name, examples=parsed.examples, members=parsed.members, search_seed=parsed.seed,
                without=tuple(parsed.without),
            )
            for name in names
        ]  # fmt: skip
        for task in tasks:
            result = task.result()
            print(_row(result), flush=True)
            missed += not (result.caught or result.harmless)
    print(f"\n{len(names)} faults, {missed} not caught.")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
