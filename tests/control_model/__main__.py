"""`python -m tests.control_model --examples N --seed S --members 3` runs many schedules and prints the shortest that
breaks a check; the exit code is 1 then."""

import argparse
import sys
import warnings

from tests.control_model.history import CHECKS
from tests.control_model.search import Search


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m tests.control_model", description=__doc__)
    parser.add_argument("--examples", type=int, default=200, help="schedules to draw")
    parser.add_argument("--seed", type=int, default=1, help="of the drawing; the simulated machines have their own")
    parser.add_argument("--members", type=int, default=3, choices=(3, 5), help="control machines")
    parser.add_argument("--without", action="append", default=[], metavar="CHECK", help="a check to leave out")
    parser.add_argument("--no-shrink", action="store_true", help="print the first failure as it was drawn")
    return parser


def main(argv: list[str] | None = None) -> int:
    parsed = _parser().parse_args(argv)
    warnings.simplefilter("ignore")
    checks = [check for check in CHECKS if check.__name__ not in parsed.without]
    search = Search(
        members=parsed.members, examples=parsed.examples, search_seed=parsed.seed, shrink=not parsed.no_shrink,
        checks=checks,
    )  # fmt: skip
    failure = search.run()
    print(f"seed {parsed.seed}, {parsed.members} members: {search.played} runs", "-" if failure else "nothing broken")
    if failure is None:
        return 0
    for step in failure.schedule:
        print(f"  {step}")
    for text in failure.breaches:
        print(f"broken: {text}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
