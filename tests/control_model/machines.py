"""Control daemons on simulated machines, without data daemons or engines."""

from datetime import timedelta
from typing import Any

import platform_adapter
import settings_file

from dockmux.control.core import Core
from dockmux.platform_proxy.operator_api import OperatorApi
from dockmux.simulator.world import Disk, SimHost, World
from tests.standins.fleet import ZONES, settings_lines

SEED_COUNT = 3


class Machines:
    """The control machines, addressed by index.

    Invariants, for each machine name: `hosts` holds the process that is running or ran last; `cores` the daemon in
    it once that is running; `settings_by_name` its settings lines, with the address that operators call under
    `listen.ctl`. `client_host` is the host outside the control plane from which operators call.
    """

    def __init__(self, *, world: World, members: int) -> None:
        self.world = world
        self.names = [f"core-{index}" for index in range(members)]
        self.hosts: dict[str, SimHost] = {}
        self.cores: dict[str, Core] = {}
        self.settings_by_name: dict[str, dict[str, str]] = {}
        self.replacements = 0
        world.machine(ip="10.99.0.1", site="outside", true_clock=True)
        self.client_host = SimHost(world=world, name="outside", machine=world.machine(ip="10.99.0.1", site="outside"))
        for index, name in enumerate(self.names):
            ip = f"10.{index + 1}.0.1"
            self.settings_by_name[name] = settings_lines(name=name, zone=index % len(ZONES), machine="core") | {
                "ip": ip,
                "listen.ctl": f"{ip}:8166",
                "survive.nodes": str(members // 2),
            }

    def address(self, *, index: int) -> str:
        """IP and port where operators call a daemon."""
        return self.settings_by_name[self.names[index]]["listen.ctl"]

    def host(self, *, index: int) -> SimHost:
        """The process that is running or ran last on a machine."""
        return self.hosts[self.names[index]]

    def core(self, *, index: int) -> Core | None:
        """The running daemon on a machine, or None."""
        core = self.cores.get(self.names[index])
        if core is None or core.host is not self.host(index=index) or not core.host.alive:
            return None
        return core

    def start(self, *, index: int) -> None:
        """Starts a daemon; every start but its first has `bootstrap` false: the system has been started before."""
        name = self.names[index]
        seeds = ",".join(self.address(index=seed) for seed in range(SEED_COUNT))
        lines = self.settings_by_name[name] | {"seeds": seeds}
        settings = settings_file.settings(lines=lines)
        self.settings_by_name[name] = lines | {"bootstrap": "false"}

        def run(host: SimHost) -> None:
            core = Core(host=host, settings=settings)
            core.operator_api = OperatorApi(core=core, protocol=platform_adapter.PlatformAdapter()).handle_http
            with core.running():
                self.cores[name] = core
                while True:
                    host.sleep(wait=timedelta(hours=1))

        self.hosts[name] = self.world.start(name=name, ip=lines["ip"], site=lines["az"], run=run)

    def kill(self, *, index: int, unsynced_lost: bool) -> None:
        """Kills the process; with `unsynced_lost`, the write in progress is lost, as on a power failure."""
        host = self.host(index=index)
        if unsynced_lost:
            host.pending_write = None
        host.kill()

    def wipe(self, *, index: int) -> None:
        """Replaces the disk by an empty one."""
        self.host(index=index).machine.disk = Disk()

    def replace(self, *, index: int) -> None:
        """Moves a machine name to an empty machine with a new address, from the next start."""
        name = self.names[index]
        self.replacements += 1
        ip = f"10.{index + 1}.9.{self.replacements}"
        self.settings_by_name[name] |= {"ip": ip, "listen.ctl": f"{ip}:8166"}

    def running_daemons(self) -> list[tuple[int, Any, Core]]:
        """Machine index, view agreement and daemon of every running daemon."""
        daemons = []
        for index in range(len(self.names)):
            core = self.core(index=index)
            if core is not None and hasattr(core, "chain"):
                daemons.append((index, core.agreement, core))
        return daemons
