"""The command `guise`: runs one emulated engine."""

import argparse
import sys

from dockmux.engine_emulator.engine import Engine, Speed
from dockmux.runtime.daemon import run
from dockmux.runtime.host import Host
from dockmux.runtime.process_setup import prepare_process
from dockmux.runtime.settings import check


def main(argv: list[str] | None = None) -> int:
    """Runs the engine until it is told to stop; returns the exit code."""
    parser = argparse.ArgumentParser(prog="guise", description="Emulates one engine.")
    parser.add_argument("--name", required=True, help="the engine's name")
    parser.add_argument("--service", required=True, help="the service it belongs to")
    parser.add_argument("--address", required=True, help="IP and port to listen on")
    parser.add_argument("--phase", choices=["prefill", "decode"], default="prefill", help="the phase it starts in")
    parser.add_argument("--record", default="", help="file to which events are appended, one JSON object per line")
    for field, value in Speed.__dataclass_fields__.items():
        flag = "--" + field.replace("_", "-")
        parser.add_argument(flag, dest=field, type=int, default=value.default, help=f"default {value.default}")
    parsed = parser.parse_args(argv)
    fields = {"name": parsed.name, "site": "engines", "address": parsed.address, "http": parsed.address}
    settings = check(fields={**fields, "seeds": [parsed.address]})
    host = Host(name=parsed.name)
    speed = Speed(**{field: getattr(parsed, field) for field in Speed.__dataclass_fields__})
    engine = Engine(
        host=host, name=parsed.name, service=parsed.service, address=parsed.address, phase=parsed.phase,
        speed=speed, record_path=parsed.record,
    )  # fmt: skip
    prepare_process()
    run(host=host, settings=settings, start=engine.running)


if __name__ == "__main__":
    sys.exit(main())
