"""The fleet runner's program."""

import argparse
import signal
import sys
from datetime import timedelta

from dockmux.local_fleet.drill import KINDS, drill
from dockmux.local_fleet.fleet import Fleet
from dockmux.local_fleet.fleet_plan import FleetPlan, load
from dockmux.runtime.host import Host


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="stage", description="Runs a whole fleet of real processes on this machine's loopback addresses."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    up = commands.add_parser("up", help="start the fleet and keep it until interrupted")
    up.add_argument("fleet", help="the fleet file, as fleets/katalogwerk.yaml")
    up.add_argument("--folder", default="", help="folder for settings, data and logs (default runs/<fleet>)")
    up.add_argument("--apply", action="store_true", help="also apply the fleet file's configuration")
    up.add_argument("--seconds", type=float, default=0, help="stop after so long (default: when interrupted)")
    drilled = commands.add_parser("drill", help="one fault on real processes under load, then the checkers")
    drilled.add_argument("fleet", help="the fleet file, as fleets/katalogwerk.yaml")
    drilled.add_argument("kinds", nargs="*", default=KINDS, help=f"of: {', '.join(KINDS)} (default: all)")
    drilled.add_argument("--folder", default="", help="folder for settings, data and logs")
    parsed = parser.parse_args(argv)
    host = Host(name="stage")
    plan = load(path=parsed.fleet)
    if parsed.command == "drill":
        return _drill(host=host, plan=plan, folder=parsed.folder or f"runs/drill-{plan.name}", kinds=parsed.kinds)
    folder = parsed.folder or f"runs/{plan.name}"
    asked: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: asked.append(number))
    signal.signal(signal.SIGINT, lambda number, _: asked.append(number))
    began = host.elapsed()
    with Fleet(host=host, plan=plan, folder=folder) as fleet:
        fleet.up()
        if not fleet.wait_for(what="engines"):
            print(f"the core did not come up; see {folder}/core-0.log", file=sys.stderr)
            return 1
        cores = ",".join(core["http"] for core in plan.cores)
        print(f"{plan.name}: {len(plan.cores)} cores, {len(plan.edges)} edges, {len(plan.engines)} engines")
        print(f"logs, settings and the configuration to apply are in {folder}")
        if parsed.apply:
            status, _ = fleet.put_config()
            if status != 200 or not fleet.wait_for(what="serving"):
                print(f"the configuration was not taken up (HTTP {status})", file=sys.stderr)
                return 1
            print("serving")
        else:
            print(f"next: DOCKMUX_CORES={cores} edict apply {folder}/tree.json")
        sys.stdout.flush()
        end = began + timedelta(seconds=parsed.seconds) if parsed.seconds else None
        while not asked and (end is None or host.elapsed() < end):
            host.sleep(wait=timedelta(milliseconds=100))
    return 0


def _drill(*, host: Host, plan: FleetPlan, folder: str, kinds: list[str]) -> int:
    failed = 0
    for kind in kinds:
        found = drill(host=host, plan=plan, folder=folder, kind=kind)
        state = "FAILED" if found.wrong else "ok"
        print(f"{plan.name} {kind}: {state}, {found.summary['outcomes']}, recovered in {found.recoveredMs} ms")
        if found.told:
            print(f"  operators were told {sorted(found.told)}")
        for name, wrong in found.wrong.items():
            print(f"  {name}: {len(wrong)}: {wrong[:3]}")
        sys.stdout.flush()
        failed += bool(found.wrong)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
