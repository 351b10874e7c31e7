"""The gauge's command: steps sizes one at a time, some runs each, and writes the slopes."""

import argparse
import dataclasses
import json
import multiprocessing
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from dockmux.scale_model.fleet import Size, measure
from dockmux.scale_model.recovery import EVENTS, recover
from dockmux.scale_model.slopes import listing, slopes, table


def numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(",")] if text else []


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="gauge", description="Plays fleets of given sizes on virtual time and tells what control costs by role."
    )
    parser.add_argument("--daemons", type=numbers, default=[], help="data daemons, stepped: 12,50,100,200,410")
    parser.add_argument("--engines", type=numbers, default=[], help="engines, stepped at --at daemons")
    parser.add_argument("--tenants", type=numbers, default=[], help="tenants with routes of their own, stepped so")
    parser.add_argument("--changes", type=numbers, default=[], help="configurations a day, stepped so")
    parser.add_argument("--events", default="", help=f"recovery at --at daemons, of: {', '.join(EVENTS)}")
    parser.add_argument("--at", type=int, default=50, help="daemons while another size is stepped (default 50)")
    parser.add_argument("--base-engines", type=int, default=610, help="engines while they are not stepped")
    parser.add_argument("--cores", type=int, default=5, help="control daemons (default 5)")
    parser.add_argument("--runs", type=int, default=3, help="runs a size, with seeds from --seed on (default 3)")
    parser.add_argument("--seed", type=int, default=1, help="the first seed (default 1)")
    parser.add_argument("--seconds", type=float, default=3, help="virtual seconds that a fleet is watched (default 3)")
    parser.add_argument(
        "--words", default="platform/platform_adapter.py", help="the file of the platform's names and formats"
    )
    parser.add_argument("--jobs", type=int, default=2, help="processes at a time (default 2)")
    parser.add_argument("--out", default="", help="writes FILE.json and FILE.md besides printing the tables")
    parsed = parser.parse_args(argv)
    base = Size(daemons=parsed.at, engines=parsed.base_engines, cores=parsed.cores)
    steps = {
        "daemons": parsed.daemons, "engines": parsed.engines, "tenants": parsed.tenants,
        "changes_per_day": parsed.changes,
    }  # fmt: skip
    seeds = range(parsed.seed, parsed.seed + parsed.runs)
    made: dict[str, list[dict]] = {stepped: [] for stepped, sizes in steps.items() if sizes}
    events = parsed.events.split(",") if parsed.events else []
    if not (made or events) or not set(events) <= set(EVENTS):
        parser.error("name sizes to step, as --daemons 12,50,100, or events")
    context = multiprocessing.get_context("spawn")
    # A process a run: virtual time is a whole process's, and so is what a run leaves behind.
    with ProcessPoolExecutor(max_workers=parsed.jobs, max_tasks_per_child=1, mp_context=context) as pool:
        futures = [
            (stepped, pool.submit(
                measure, size=dataclasses.replace(base, **{stepped: size}), seed=seed, seconds=parsed.seconds,
                words=parsed.words,
            ))
            for stepped in made
            for size in steps[stepped]
            for seed in seeds
        ]  # fmt: skip
        recoveries = [
            ("events", pool.submit(
                recover, event=event, size=base, seed=seed, seconds=parsed.seconds, words=parsed.words
            ))
            for event in events
            for seed in seeds
        ]  # fmt: skip
        failed = 0
        recovered = []
        for stepped, future in futures + recoveries:
            try:
                run = future.result()
            except Exception as error:
                failed += 1
                print(f"a run of {stepped} failed: {type(error).__name__}: {error}", file=sys.stderr, flush=True)
                continue
            if stepped == "events":
                recovered.append(run)
                print(json.dumps(run), file=sys.stderr, flush=True)
                continue
            made[stepped].append(run)
            print(
                f"{stepped} {run['size'][stepped]}, seed {run['seed']}: {run['whole_run_s']:.0f} s, "
                f"in force {run['in_force_ms']:.0f} ms",
                file=sys.stderr, flush=True,
            )  # fmt: skip
    pages = []
    found = {stepped: slopes(stepped=stepped, runs=runs) for stepped, runs in made.items() if runs}
    for stepped, rows in found.items():
        pages.append(f"## {stepped}\n\n{table(found=rows)}\n")
    for event in events:
        rows = [run for run in recovered if run["event"] == event]
        pages.append(f"## {event}\n\n{listing(rows=rows)}\n")
    print("\n".join(pages))
    if parsed.out:
        told = {
            "runs": made,
            "recovered": recovered,
            "slopes": {s: [dataclasses.asdict(row) for row in rows] for s, rows in found.items()},
        }
        Path(parsed.out + ".json").write_text(json.dumps(told, indent=1) + "\n")
        Path(parsed.out + ".md").write_text("\n".join(pages))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
