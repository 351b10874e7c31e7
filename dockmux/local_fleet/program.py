"""The command `stage`: runs a fleet of real processes, or fault drills on one."""

import argparse
import signal
import sys
from datetime import timedelta

from dockmux.local_fleet.drill import KINDS, drill
from dockmux.local_fleet.fleet import Fleet
from dockmux.local_fleet.fleet_plan import FleetPlan, load
from dockmux.runtime.host import Host


def main(argv: list[str] | None = None) -> int:
    """Runs the subcommand; returns 1 if the fleet did not come up or a drill failed, else 0."""
    parser = argparse.ArgumentParser(
        prog="stage", description="Runs a whole fleet of real processes on this machine's loopback addresses."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    up_parser = commands.add_parser("up", help="start the fleet and keep it running until interrupted")
    up_parser.add_argument("fleet", help="fleet file, for example fleets/katalogwerk.yaml")
    up_parser.add_argument("--folder", default="", help="folder for settings, data and logs (default runs/<fleet>)")
    up_parser.add_argument("--apply", action="store_true", help="also apply the fleet file's configuration")
    up_parser.add_argument("--seconds", type=float, default=0, help="stop after this time (default: when interrupted)")
    drill_parser = commands.add_parser(
        "drill", help="inject faults into real processes under load and check the results"
    )
    drill_parser.add_argument("fleet", help="fleet file, for example fleets/katalogwerk.yaml")
    drill_parser.add_argument("kinds", nargs="*", default=KINDS, help=f"of: {', '.join(KINDS)} (default: all)")
    drill_parser.add_argument("--folder", default="", help="folder for settings, data and logs")
    parsed = parser.parse_args(argv)
    host = Host(name="stage")
    plan = load(path=parsed.fleet)
    if parsed.command == "drill":
        return _run_drills(host=host, plan=plan, folder=parsed.folder or f"runs/drill-{plan.name}", kinds=parsed.kinds)
    folder = parsed.folder or f"runs/{plan.name}"
    received_signals: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: received_signals.append(number))
    signal.signal(signal.SIGINT, lambda number, _: received_signals.append(number))
    started_at = host.elapsed()
    with Fleet(host=host, plan=plan, folder=folder) as fleet:
        fleet.start_all()
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
        end = started_at + timedelta(seconds=parsed.seconds) if parsed.seconds else None
        while not received_signals and (end is None or host.elapsed() < end):
            host.sleep(wait=timedelta(milliseconds=100))
    return 0


def _run_drills(*, host: Host, plan: FleetPlan, folder: str, kinds: list[str]) -> int:
    failed = 0
    for kind in kinds:
        result = drill(host=host, plan=plan, folder=folder, kind=kind)
        state = "FAILED" if result.violations else "ok"
        print(f"{plan.name} {kind}: {state}, {result.summary['outcomes']}, recovered in {result.recovery_ms} ms")
        if result.config_statuses:
            print(f"  operators were told {sorted(result.config_statuses)}")
        for name, violations in result.violations.items():
            print(f"  {name}: {len(violations)}: {violations[:3]}")
        sys.stdout.flush()
        failed += bool(result.violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
