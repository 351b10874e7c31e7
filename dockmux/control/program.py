"""Entry point of the control daemon."""

import argparse
import sys

from dockmux.control.core import Core
from dockmux.runtime.daemon import run
from dockmux.runtime.host import Host
from dockmux.runtime.process_setup import prepare_process
from dockmux.runtime.settings import read_or_exit


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="pact", description="Control daemon of dockmux, on a core machine.")
    settings = read_or_exit(parser=parser, argv=argv)
    if not settings.data_folder:
        print("pact: bad setting data_folder: found nothing, allowed: a folder", file=sys.stderr)
        return 2
    host = Host(name=settings.name, folder=settings.data_folder)
    prepare_process()
    run(host=host, settings=settings, start=Core(host=host, settings=settings).running)


if __name__ == "__main__":
    sys.exit(main())
