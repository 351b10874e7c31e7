"""`python -m tests.control_model --examples N --seed S --members 3` runs drawn schedules and prints the shortest one
that violates a check; the exit code is 1 if there is one, else 0."""

import argparse
import sys
import warnings

from tests.control_model.history import CHECKS
from tests.control_model.schedule_search import ScheduleSearch


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m tests.control_model", description=__doc__)
    parser.add_argument("--examples", type=int, default=200, help="number of schedules to draw")
    parser.add_argument("--seed", type=int, default=1, help="seed for drawing schedules; the simulation has its own")
    parser.add_argument("--members", type=int, default=3, choices=(3, 5), help="number of control machines")
    parser.add_argument("--without", action="append", default=[], metavar="CHECK", help="name of a check to skip")
    parser.add_argument("--no-shrink", action="store_true", help="print the first failure as drawn")
    return parser


def main(argv: list[str] | None = None) -> int:
    args = _parser().parse_args(argv)
    warnings.simplefilter("ignore")
    checks = [check for check in CHECKS if check.__name__ not in args.without]
    search = ScheduleSearch(
        members=args.members, examples=args.examples, search_seed=args.seed, shrink=not args.no_shrink,
        checks=checks,
    )  # fmt: skip
    failure = search.run()
    print(f"seed {args.seed}, {args.members} members: {search.runs} runs", "-" if failure else "nothing broken")
    if failure is None:
        return 0
    for step in failure.schedule:
        print(f"  {step}")
    for text in failure.violations:
        print(f"broken: {text}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
