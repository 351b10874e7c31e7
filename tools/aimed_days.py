"""Generates reproducible days of faults for a deployment, targeted at the weak points of replicated control.

    python tools/aimed_days.py SITE.toml --seed 7 --count 10 --out FOLDER --aim cut

The same site file and options give byte-identical files. The output folder should lie outside the repository.
"""

import argparse
import sys
from pathlib import Path

from day_generator import aims, site_file, toml_writer
from day_generator.day import Kind

DEFAULT_DAY_LENGTH_S = 150.0
SITE_VARIANTS = ((3, 1), (5, 1), (5, 2), (7, 1), (7, 2))
"""Pairs of the number of control-plane machines and how many of them may fail at once."""


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("site", type=Path, help="the site file")
    parser.add_argument("--seed", type=int, required=True, help="the same seed gives the same files")
    parser.add_argument("--count", type=int, default=1, help="number of days for each aim")
    parser.add_argument("--first", type=int, default=0, help="index of the first day")
    parser.add_argument("--out", type=Path, required=True, help="output folder")
    parser.add_argument(
        "--aim", type=aims.Aim, choices=list(aims.Aim), help="generate days for this aim only (default: all aims)"
    )
    parser.add_argument("--seconds", type=float, default=DEFAULT_DAY_LENGTH_S, help="length of a day in seconds")
    parser.add_argument("--load", type=float, default=1.0, help="factor applied to the traffic rates of the site")
    parser.add_argument(
        "--kinds", type=Path, help="saved output of `fleetbench kinds SITE`; limits events to these kinds"
    )
    parser.add_argument(
        "--variants", action="store_true", help="also write site files with 3, 5 and 7 control-plane machines"
    )
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Writes the day files, and with --variants the site files, and prints their paths; returns the exit code 0."""
    options = parse_arguments(arguments)
    site = site_file.read_site(options.site)
    kinds = site_file.read_kinds(options.kinds) if options.kinds else frozenset(Kind)
    options.out.mkdir(parents=True, exist_ok=True)
    for aim in [options.aim] if options.aim else list(aims.Aim):
        for index in range(options.first, options.first + options.count):
            day = aims.generate_day(
                site=site,
                aim=aim,
                seed=options.seed,
                index=index,
                length_s=options.seconds,
                kinds=kinds,
                load=options.load,
            )
            path = options.out / f"{site.name}-{day.name}.toml"
            path.write_text(toml_writer.format_toml({"day": [day.to_table()]}, sections=("day",)))
            print(path)
    if options.variants:
        for core_machines, tolerated in SITE_VARIANTS:
            print(
                site_file.write_variant(site=site, core_machines=core_machines, tolerated=tolerated, folder=options.out)
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
