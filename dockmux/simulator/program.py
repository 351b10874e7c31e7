"""The simulator's program: one day to look at, or many seeds."""

import argparse
import multiprocessing
import sys
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta

from dockmux.simulator import strain
from dockmux.simulator.day import Verdict, run_named, shorten
from dockmux.simulator.faults import KINDS
from dockmux.simulator.timing import measure


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="omen", description="Runs simulated fleets under the brief's failures and checks the twelve rules."
    )
    parser.add_argument("fleet", nargs="+", help="fleet files, as fleets/katalogwerk.yaml")
    parser.add_argument("--seeds", default="1-8", help="seeds, as 7 or 1-100 (default 1-8)")
    parser.add_argument("--seconds", type=float, default=25, help="how long faults begin (default 25)")
    parser.add_argument("--count", type=int, default=6, help="faults a day (default 6)")
    parser.add_argument("--kinds", default="", help=f"only these, with commas, of: {', '.join(KINDS)}")
    parser.add_argument("--only", default="", help="only the faults of these numbers, with commas")
    parser.add_argument("--events", action="store_true", help="print every logged event (one seed)")
    parser.add_argument("--shorten", action="store_true", help="look for fewer faults that still fail")
    parser.add_argument("--clock", action="store_true", help="measure the clock on idle fleets instead")
    parser.add_argument("--load", type=float, default=0, help="measure under this many times the normal load instead")
    parser.add_argument("--jobs", type=int, default=8, help="processes at a time (default 8)")
    parsed = parser.parse_args(argv)
    low, _, high = parsed.seeds.partition("-")
    seeds = range(int(low), int(high or low) + 1)
    if parsed.clock:
        return _clock(fleets=parsed.fleet, seeds=seeds, jobs=parsed.jobs)
    if parsed.load:
        return _load(fleets=parsed.fleet, seeds=seeds, times=parsed.load, jobs=parsed.jobs)
    changes = {
        "lasts": timedelta(seconds=parsed.seconds),
        "count": parsed.count,
        "kinds": parsed.kinds.split(",") if parsed.kinds else None,
        "only": [int(text) for text in parsed.only.split(",")] if parsed.only else None,
    }
    jobs = [(fleet, seed) for seed in seeds for fleet in parsed.fleet]
    failed = 0
    worst = (0, "")
    # A process a day: virtual time is a whole process's, and so is what a day leaves behind.
    with ProcessPoolExecutor(max_workers=parsed.jobs, max_tasks_per_child=1) as pool:
        futures = [pool.submit(run_named, fleet_file=fleet, seed=seed, **changes) for fleet, seed in jobs]
        for (fleet, seed), future in zip(jobs, futures, strict=True):
            verdict = future.result()
            show(verdict=verdict)
            worst = max(worst, (verdict.recoveredMs, f"{fleet} seed {seed}"))
            if parsed.events:
                print("\n".join(verdict.events))
            if verdict.wrong:
                failed += 1
                only = [fault.number for fault in verdict.faults]
                if parsed.shorten:
                    only = pool.submit(shorten, fleet_file=fleet, verdict=verdict, **changes).result()
                    changes["only"] = None
                flags = f"--seconds {parsed.seconds} --count {parsed.count}"
                flags += f" --kinds {parsed.kinds}" if parsed.kinds else ""
                numbers = ",".join(str(number) for number in only)
                print(f"  replay: omen {fleet} --seeds {seed} {flags} --only {numbers} --events")
                for fault in verdict.faults:
                    if fault.number in only:
                        print(f"    {fault}")
            sys.stdout.flush()
    print(f"{len(jobs)} days, {failed} failed, slowest recovery {worst[0]} ms ({worst[1]})")
    return 1 if failed else 0


def _clock(*, fleets: list[str], seeds: range, jobs: int) -> int:
    with ProcessPoolExecutor(max_workers=jobs, max_tasks_per_child=1) as pool:
        futures = [pool.submit(measure, fleet_file=fleet, seed=seed) for fleet in fleets for seed in seeds]
        found = [future.result() for future in futures]
    print("\n".join(timing.line() for timing in found))
    return 1 if any(timing.wrong for timing in found) else 0


def _load(*, fleets: list[str], seeds: range, times: float, jobs: int) -> int:
    with ProcessPoolExecutor(max_workers=jobs, max_tasks_per_child=1) as pool:
        futures = [
            pool.submit(strain.measure, fleet_file=fleet, seed=seed, times=times) for fleet in fleets for seed in seeds
        ]
        found = [future.result() for future in futures]
    for run in found:
        print("\n".join(run.lines()))
    return 1 if any(run.summary["wrong"] for run in found) else 0


def show(*, verdict: Verdict) -> None:
    state = "FAILED" if verdict.wrong else "ok"
    print(
        f"{verdict.fleet} seed {verdict.seed}: {state}, sent {verdict.sent}, {verdict.outcomes}, "
        f"recovered in {verdict.recoveredMs} ms, extra sends "
        f"{verdict.extraPercent}% ({verdict.againPercent}% with repeats), "
        f"faults {', '.join(fault.kind for fault in verdict.faults)}, at the end {verdict.final}"
    )
    for name, wrong in verdict.wrong.items():
        print(f"  {name}: {len(wrong)}")
        for text in wrong[:4]:
            print(f"    {text}")


def test_both_deployments_keep_the_twelve_rules_on_fixed_seeds():
    """Whole days at full size; a process each, for a day keeps its memory."""
    jobs = [(fleet, seed) for seed in (5, 56) for fleet in ("fleets/katalogwerk.yaml", "fleets/brannock.yaml")]
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(max_workers=4, max_tasks_per_child=1, mp_context=context) as pool:
        futures = [pool.submit(run_named, fleet_file=fleet, seed=seed, count=8) for fleet, seed in jobs]
        verdicts = [future.result() for future in futures]
    assert {(v.fleet, v.seed): v.wrong for v in verdicts if v.wrong} == {}
    assert all(verdict.outcomes["answered"] > verdict.sent / 2 for verdict in verdicts)


if __name__ == "__main__":
    sys.exit(main())
