"""Command line program of the data daemon."""

import argparse
import sys

from dockmux.native_proxy.edge import Edge
from dockmux.runtime.daemon import run
from dockmux.runtime.host import Host
from dockmux.runtime.process_setup import prepare_process
from dockmux.runtime.settings import read_or_exit


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="verge", description="Data daemon of dockmux, on an edge machine.")
    settings = read_or_exit(parser=parser, argv=argv)
    host = Host(name=settings.name)
    prepare_process()
    run(host=host, settings=settings, start=Edge(host=host, settings=settings).running)


if __name__ == "__main__":
    sys.exit(main())
