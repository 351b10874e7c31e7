"""The `gauge` command: varies one fleet size at a time, with several runs each, and reports how the costs grow."""

import argparse
import dataclasses
import json
import multiprocessing
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from dockmux.scale_model.fleet import Size, measure
from dockmux.scale_model.recovery import EVENTS, measure_recovery
from dockmux.scale_model.slopes import compute_slopes, recovery_table, slope_table


def parse_int_list(text: str) -> list[int]:
    """Parses a comma-separated list of integers."""
    return [int(part) for part in text.split(",")] if text else []


def main(argv: list[str] | None = None) -> int:
    """Runs the command and returns its exit code: 1 if any run failed, else 0."""
    parser = argparse.ArgumentParser(
        prog="gauge", description="Simulates fleets of given sizes on virtual time and reports control cost by role."
    )
    parser.add_argument(
        "--daemons", type=parse_int_list, default=[], help="numbers of data daemons to run, such as 12,50,100,200,410"
    )
    parser.add_argument(
        "--engines", type=parse_int_list, default=[], help="numbers of engines to run, with --at daemons"
    )
    parser.add_argument(
        "--tenants", type=parse_int_list, default=[], help="numbers of tenants with their own routes to run, likewise"
    )
    parser.add_argument(
        "--changes", type=parse_int_list, default=[], help="numbers of configuration changes a day to run, likewise"
    )
    parser.add_argument("--events", default="", help=f"recovery events to run with --at daemons: {', '.join(EVENTS)}")
    parser.add_argument("--at", type=int, default=50, help="data daemons while another size varies (default 50)")
    parser.add_argument("--base-engines", type=int, default=610, help="engines while another size varies (default 610)")
    parser.add_argument("--cores", type=int, default=5, help="control daemons (default 5)")
    parser.add_argument(
        "--runs", type=int, default=3, help="runs for each size, with consecutive seeds from --seed (default 3)"
    )
    parser.add_argument("--seed", type=int, default=1, help="first seed (default 1)")
    parser.add_argument(
        "--seconds", type=float, default=3, help="virtual seconds of a measurement or partition (default 3)"
    )
    parser.add_argument("--words", default="platform/platform_adapter.py", help="Python file of the platform adapter")
    parser.add_argument("--jobs", type=int, default=2, help="parallel processes (default 2)")
    parser.add_argument("--out", default="", help="also write the results to OUT.json and OUT.md")
    parsed = parser.parse_args(argv)
    base = Size(daemons=parsed.at, engines=parsed.base_engines, cores=parsed.cores)
    values_by_size = {
        "daemons": parsed.daemons, "engines": parsed.engines, "tenants": parsed.tenants,
        "changes_per_day": parsed.changes,
    }  # fmt: skip
    seeds = range(parsed.seed, parsed.seed + parsed.runs)
    runs: dict[str, list[dict]] = {stepped: [] for stepped, sizes in values_by_size.items() if sizes}
    events = parsed.events.split(",") if parsed.events else []
    if not (runs or events) or not set(events) <= set(EVENTS):
        parser.error("give sizes to vary, such as --daemons 12,50,100, or recovery events")
    context = multiprocessing.get_context("spawn")
    # One process per run: virtual time applies to the whole process, and a run leaves state behind in its process.
    with ProcessPoolExecutor(max_workers=parsed.jobs, max_tasks_per_child=1, mp_context=context) as pool:
        futures = [
            (stepped, pool.submit(
                measure, size=dataclasses.replace(base, **{stepped: size}), seed=seed, seconds=parsed.seconds,
                adapter_path=parsed.words,
            ))
            for stepped in runs
            for size in values_by_size[stepped]
            for seed in seeds
        ]  # fmt: skip
        recovery_futures = [
            ("events", pool.submit(
                measure_recovery, event=event, size=base, seed=seed, seconds=parsed.seconds, adapter_path=parsed.words
            ))
            for event in events
            for seed in seeds
        ]  # fmt: skip
        failed = 0
        recovery_runs = []
        for stepped, future in futures + recovery_futures:
            try:
                run = future.result()
            except Exception as error:
                failed += 1
                print(f"run for {stepped} failed: {type(error).__name__}: {error}", file=sys.stderr, flush=True)
                continue
            if stepped == "events":
                recovery_runs.append(run)
                print(json.dumps(run), file=sys.stderr, flush=True)
                continue
            runs[stepped].append(run)
            print(
                f"{stepped} {run['size'][stepped]}, seed {run['seed']}: {run['whole_run_s']:.0f} s of CPU time, "
                f"configuration active after {run['in_force_ms']:.0f} ms",
                file=sys.stderr, flush=True,
            )  # fmt: skip
    sections = []
    slopes_by_size = {
        stepped: compute_slopes(stepped=stepped, runs=step_runs) for stepped, step_runs in runs.items() if step_runs
    }
    for stepped, rows in slopes_by_size.items():
        sections.append(f"## {stepped}\n\n{slope_table(slopes=rows)}\n")
    for event in events:
        rows = [run for run in recovery_runs if run["event"] == event]
        sections.append(f"## {event}\n\n{recovery_table(rows=rows)}\n")
    print("\n".join(sections))
    if parsed.out:
        record = {
            "runs": runs,
            "recovered": recovery_runs,
            "slopes": {s: [dataclasses.asdict(row) for row in rows] for s, rows in slopes_by_size.items()},
        }
        Path(parsed.out + ".json").write_text(json.dumps(record, indent=1) + "\n")
        Path(parsed.out + ".md").write_text("\n".join(sections))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
