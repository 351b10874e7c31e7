"""Writes days of a deployment, aimed at the weak points of replicated control, so that a hunt can be repeated.

    python tools/aimed_days.py SITE.toml --seed 7 --count 10 --out FOLDER --aim cut

The same site file and options give the same files, byte for byte. The folder should lie outside the repository.
"""

import argparse
import sys
from pathlib import Path

from hunting import aims, site_file, toml_writer
from hunting.day import Kind

DEFAULT_LENGTH_S = 150.0
VARIANTS = ((3, 1), (5, 1), (5, 2), (7, 1), (7, 2))
"""Counted machines, and how many of them may be lost at once."""


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("site", type=Path, help="the site file")
    parser.add_argument("--seed", type=int, required=True, help="the same seed gives the same files")
    parser.add_argument("--count", type=int, default=1, help="days to write for each aim")
    parser.add_argument("--first", type=int, default=0, help="index of the first day")
    parser.add_argument("--out", type=Path, required=True, help="folder to write to")
    parser.add_argument("--aim", type=aims.Aim, choices=list(aims.Aim), help="default: each aim in turn")
    parser.add_argument("--seconds", type=float, default=DEFAULT_LENGTH_S, help="length of a day")
    parser.add_argument("--load", type=float, default=1.0, help="share of the site's traffic")
    parser.add_argument("--kinds", type=Path, help="a saved output of `fleetbench kinds SITE`: only these are drawn")
    parser.add_argument("--variants", action="store_true", help="also write the site with 3, 5 and 7 counted machines")
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Writes the files and prints their paths."""
    options = parse_arguments(arguments)
    site = site_file.read(options.site)
    kinds = site_file.read_kinds(options.kinds) if options.kinds else frozenset(Kind)
    options.out.mkdir(parents=True, exist_ok=True)
    for aim in [options.aim] if options.aim else list(aims.Aim):
        for index in range(options.first, options.first + options.count):
            day = aims.draw_day(
                site=site,
                aim=aim,
                seed=options.seed,
                index=index,
                length_s=options.seconds,
                kinds=kinds,
                load=options.load,
            )
            path = options.out / f"{site.name}-{day.name}.toml"
            path.write_text(toml_writer.dumps({"day": [day.table()]}, sections=("day",)))
            print(path)
    if options.variants:
        for core_machines, tolerated in VARIANTS:
            print(
                site_file.write_variant(site=site, core_machines=core_machines, tolerated=tolerated, folder=options.out)
            )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
