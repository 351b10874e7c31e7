"""The command `surge`: runs the load generator against a fleet."""

import argparse
import json
import sys
from datetime import timedelta

from dockmux.load_generator.open_loop import OpenLoopLoad
from dockmux.load_generator.report import format_summary, summarize
from dockmux.local_fleet.fleet_plan import load
from dockmux.runtime.host import Host


def main(argv: list[str] | None = None) -> int:
    """Runs the load, prints the summary and returns 1 if any answer violated the protocol, else 0."""
    parser = argparse.ArgumentParser(
        prog="surge",
        description="Sends a deployment's mix of requests as open-loop load and checks every answer stream.",
    )
    parser.add_argument("fleet", help="fleet file, for example fleets/katalogwerk.yaml")
    parser.add_argument("--seconds", type=float, default=20, help="how long to send (default 20)")
    parser.add_argument(
        "--times", type=float, default=1, help="multiplier of the fleet's normal request rate (default 1)"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of arrival times and prompts (default 1)")
    parser.add_argument("--json", action="store_true", help="print the summary as JSON")
    parsed = parser.parse_args(argv)
    host = Host(name="surge")
    plan = load(path=parsed.fleet)
    # Random, because the fleet remembers the identities of earlier runs.
    identity_prefix = f"{host.random.getrandbits(32):08x}-"
    open_loop = OpenLoopLoad(host=host, plan=plan, seed=parsed.seed, identity_prefix=identity_prefix)
    open_loop.run(
        duration=timedelta(seconds=parsed.seconds),
        since=host.elapsed(),
        rate=lambda _: plan.requests_per_second * parsed.times,
    )
    summary = summarize(attempts=open_loop.attempts)
    print(json.dumps(summary) if parsed.json else "\n".join(format_summary(summary=summary)))
    return 1 if summary["wrong"] else 0


if __name__ == "__main__":
    sys.exit(main())
