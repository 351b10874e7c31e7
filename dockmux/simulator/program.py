"""The console command `omen`: runs simulations of one seed or many and reports rule violations."""

import argparse
import multiprocessing
import sys
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta

from dockmux.simulator import load_measurement
from dockmux.simulator.clock_measurement import measure
from dockmux.simulator.day import RunResult, minimize_faults, run_named
from dockmux.simulator.faults import MAX_DURATION_S


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="omen", description="Runs simulated fleets with injected faults and checks the twelve rules."
    )
    parser.add_argument("fleet", nargs="+", help="fleet files, as fleets/katalogwerk.yaml")
    parser.add_argument("--seeds", default="1-8", help="seeds, as 7 or 1-100 (default 1-8)")
    parser.add_argument("--seconds", type=float, default=25, help="period in which faults start (default 25)")
    parser.add_argument("--count", type=int, default=6, help="number of faults per run (default 6)")
    parser.add_argument(
        "--kinds", default="", help=f"draw only these kinds, comma-separated: {', '.join(MAX_DURATION_S)}"
    )
    parser.add_argument("--only", default="", help="inject only the faults with these numbers, comma-separated")
    parser.add_argument("--events", action="store_true", help="print all log lines of the daemons (for one seed)")
    parser.add_argument("--shorten", action="store_true", help="search for a smaller set of faults that still fails")
    parser.add_argument("--clock", action="store_true", help="instead, measure clock synchronization on idle fleets")
    parser.add_argument("--load", type=float, default=0, help="instead, measure under this multiple of the normal load")
    parser.add_argument("--jobs", type=int, default=8, help="number of parallel processes (default 8)")
    parsed = parser.parse_args(argv)
    first, _, last = parsed.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if parsed.clock:
        return _measure_clocks(fleets=parsed.fleet, seeds=seeds, jobs=parsed.jobs)
    if parsed.load:
        return _measure_load(fleets=parsed.fleet, seeds=seeds, load_factor=parsed.load, jobs=parsed.jobs)
    options = {
        "duration": timedelta(seconds=parsed.seconds),
        "count": parsed.count,
        "kinds": parsed.kinds.split(",") if parsed.kinds else None,
        "only": [int(text) for text in parsed.only.split(",")] if parsed.only else None,
    }
    jobs = [(fleet, seed) for seed in seeds for fleet in parsed.fleet]
    failed = 0
    worst = (0, "")
    # One process per run: the virtual-time hub is global to a process, and objects of a run are never freed.
    with ProcessPoolExecutor(max_workers=parsed.jobs, max_tasks_per_child=1) as pool:
        futures = [pool.submit(run_named, fleet_file=fleet, seed=seed, **options) for fleet, seed in jobs]
        for (fleet, seed), future in zip(jobs, futures, strict=True):
            result = future.result()
            print_result(result=result)
            worst = max(worst, (result.recovery_ms, f"{fleet} seed {seed}"))
            if parsed.events:
                print("\n".join(result.log_lines))
            if result.violations:
                failed += 1
                only = [fault.number for fault in result.faults]
                if parsed.shorten:
                    only = pool.submit(minimize_faults, fleet_file=fleet, result=result, **options).result()
                    options["only"] = None
                flags = f"--seconds {parsed.seconds} --count {parsed.count}"
                flags += f" --kinds {parsed.kinds}" if parsed.kinds else ""
                numbers = ",".join(str(number) for number in only)
                print(f"  replay: omen {fleet} --seeds {seed} {flags} --only {numbers} --events")
                for fault in result.faults:
                    if fault.number in only:
                        print(f"    {fault}")
            sys.stdout.flush()
    print(f"{len(jobs)} days, {failed} failed, slowest recovery {worst[0]} ms ({worst[1]})")
    return 1 if failed else 0


def _measure_clocks(*, fleets: list[str], seeds: range, jobs: int) -> int:
    with ProcessPoolExecutor(max_workers=jobs, max_tasks_per_child=1) as pool:
        futures = [pool.submit(measure, fleet_file=fleet, seed=seed) for fleet in fleets for seed in seeds]
        measurements = [future.result() for future in futures]
    print("\n".join(measurement.line() for measurement in measurements))
    return 1 if any(measurement.violations for measurement in measurements) else 0


def _measure_load(*, fleets: list[str], seeds: range, load_factor: float, jobs: int) -> int:
    with ProcessPoolExecutor(max_workers=jobs, max_tasks_per_child=1) as pool:
        futures = [
            pool.submit(load_measurement.measure, fleet_file=fleet, seed=seed, load_factor=load_factor)
            for fleet in fleets
            for seed in seeds
        ]
        measurements = [future.result() for future in futures]
    for measurement in measurements:
        print("\n".join(measurement.lines()))
    return 1 if any(measurement.summary["wrong"] for measurement in measurements) else 0


def print_result(*, result: RunResult) -> None:
    state = "FAILED" if result.violations else "ok"
    print(
        f"{result.fleet} seed {result.seed}: {state}, sent {result.sent}, {result.outcomes}, "
        f"recovered in {result.recovery_ms} ms, extra sends "
        f"{result.extra_percent}% ({result.extra_percent_with_repeats}% with repeats), "
        f"faults {', '.join(fault.kind for fault in result.faults)}, at the end {result.final_fault}"
    )
    for name, violations in result.violations.items():
        print(f"  {name}: {len(violations)}")
        for text in violations[:4]:
            print(f"    {text}")


def test_both_deployments_keep_the_twelve_rules_on_fixed_seeds():
    """Full-size runs, each in its own process because a run never frees its memory."""
    jobs = [(fleet, seed) for seed in (5, 56) for fleet in ("fleets/katalogwerk.yaml", "fleets/brannock.yaml")]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=4, max_tasks_per_child=1, mp_context=context) as pool:
        futures = [pool.submit(run_named, fleet_file=fleet, seed=seed, count=8) for fleet, seed in jobs]
        results = [future.result() for future in futures]
    assert {(v.fleet, v.seed): v.violations for v in results if v.violations} == {}
    assert all(result.outcomes["answered"] > result.sent / 2 for result in results)


if __name__ == "__main__":
    sys.exit(main())
