"""Control daemons alone, on simulated machines: neither data daemons nor engines."""

from datetime import timedelta
from typing import Any

import platform_adapter
import settings_file

from dockmux.control.core import Core
from dockmux.platform_proxy.operator_api import OperatorApi
from dockmux.simulator.world import Disk, SimHost, World
from tests.standins.fleet import ZONES, settings_lines

SEEDS = 3


class Machines:
    """The control machines. Invariants: `hosts` names the process that runs now, or ran last, under a name; `cores`
    the daemon in it, once it runs; `addresses` where operators call each."""

    def __init__(self, *, world: World, members: int) -> None:
        self.world = world
        self.names = [f"core-{place}" for place in range(members)]
        self.hosts: dict[str, SimHost] = {}
        self.cores: dict[str, Core] = {}
        self.lines: dict[str, dict[str, str]] = {}
        self.replaced = 0
        world.machine(ip="10.99.0.1", site="outside", true_clock=True)
        self.outside = SimHost(world=world, name="outside", machine=world.machine(ip="10.99.0.1", site="outside"))
        for place, name in enumerate(self.names):
            ip = f"10.{place + 1}.0.1"
            self.lines[name] = settings_lines(name=name, zone=place % len(ZONES), machine="core") | {
                "ip": ip,
                "listen.ctl": f"{ip}:8166",
                "survive.nodes": str(members // 2),
            }

    def address(self, *, place: int) -> str:
        return self.lines[self.names[place]]["listen.ctl"]

    def host(self, *, place: int) -> SimHost:
        return self.hosts[self.names[place]]

    def core(self, *, place: int) -> Core | None:
        """The daemon that runs there; None when none does."""
        core = self.cores.get(self.names[place])
        if core is None or core.host is not self.host(place=place) or not core.host.alive:
            return None
        return core

    def start(self, *, place: int) -> None:
        """Every start but a daemon's first is told that it is not the first of the whole system."""
        name = self.names[place]
        seeds = ",".join(self.address(place=seed) for seed in range(SEEDS))
        rows = self.lines[name] | {"seeds": seeds}
        settings = settings_file.settings(lines=rows)
        self.lines[name] = rows | {"bootstrap": "false"}

        def run(host: SimHost) -> None:
            core = Core(host=host, settings=settings)
            core.operator_api = OperatorApi(core=core, protocol=platform_adapter.PlatformAdapter()).handle_http
            with core.running():
                self.cores[name] = core
                while True:
                    host.sleep(wait=timedelta(hours=1))

        self.hosts[name] = self.world.start(name=name, ip=rows["ip"], site=rows["az"], run=run)

    def kill(self, *, place: int, unsynced_lost: bool) -> None:
        """Ends the process; with `unsynced_lost` nothing of what it was writing is found again, as when power goes."""
        host = self.host(place=place)
        if unsynced_lost:
            host.pending_write = None
        host.kill()

    def wipe(self, *, place: int) -> None:
        """A disk that was emptied."""
        self.host(place=place).machine.disk = Disk()

    def move(self, *, place: int) -> None:
        """An empty machine takes over a name, at a new address."""
        name = self.names[place]
        self.replaced += 1
        ip = f"10.{place + 1}.9.{self.replaced}"
        self.lines[name] |= {"ip": ip, "listen.ctl": f"{ip}:8166"}

    def agreements(self) -> list[tuple[int, Any, Core]]:
        """Place, agreement and daemon of each that runs."""
        found = []
        for place in range(len(self.names)):
            core = self.core(place=place)
            if core is not None and hasattr(core, "chain"):
                found.append((place, core.agreement, core))
        return found
