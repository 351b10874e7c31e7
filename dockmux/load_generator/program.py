"""The load generator's program."""

import argparse
import json
import sys
from datetime import timedelta

from dockmux.load_generator.open_loop import OpenLoopLoad
from dockmux.load_generator.report import lines, summarize
from dockmux.local_fleet.fleet_plan import load
from dockmux.runtime.host import Host


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="surge", description="Sends a deployment's mix of requests, open loop, and checks every stream."
    )
    parser.add_argument("fleet", help="the fleet file, as fleets/katalogwerk.yaml")
    parser.add_argument("--seconds", type=float, default=20, help="how long to send (default 20)")
    parser.add_argument("--times", type=float, default=1, help="factor on the fleet's normal rate (default 1)")
    parser.add_argument("--seed", type=int, default=1, help="seed of arrivals and texts (default 1)")
    parser.add_argument("--json", action="store_true", help="print the summary as JSON")
    parsed = parser.parse_args(argv)
    host = Host(name="surge")
    plan = load(path=parsed.fleet)
    # A repeat of a label would repeat identities, which are kept.
    label = f"{host.random.getrandbits(32):08x}-"
    open_loop = OpenLoopLoad(host=host, plan=plan, seed=parsed.seed, label=label)
    open_loop.run(
        lasts=timedelta(seconds=parsed.seconds),
        since=host.elapsed(),
        rate=lambda _: plan.perSecond * parsed.times,
    )
    summary = summarize(seen=open_loop.seen)
    print(json.dumps(summary) if parsed.json else "\n".join(lines(summary=summary)))
    return 1 if summary["wrong"] else 0


if __name__ == "__main__":
    sys.exit(main())
