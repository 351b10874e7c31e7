"""A simulated control plane without data daemons: operators' calls, machine failures and network partitions."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import platform_adapter
import settings_file

from dockmux.control.core import Core
from dockmux.platform_proxy.operator_api import OperatorApi
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import Disk, SimHost, World
from tests.standins.fleet import settings_lines
from tests.standins.operator import Operator, configuration, serialize

SECOND = timedelta(seconds=1)


def config_text(*, version: int, **changes: Any) -> bytes:
    """A valid configuration with a version; `changes` make it a different one with the same version."""
    return serialize(fields=configuration(gen=version) | changes)


class CoreCluster:
    """The control daemons by name.

    Invariants: `hosts` and `daemons` have what currently runs under each name; the first names are the seeds.
    """

    def __init__(self, *, world: World, count: int, survive: int) -> None:
        self.world = world
        self.survive = survive
        self.hosts: dict[str, SimHost] = {}
        self.daemons: dict[str, Core] = {}
        self.setting_lines: dict[str, dict[str, str]] = {}
        self.names = [f"core-{place}" for place in range(count)]
        world.machine(ip="10.99.0.1", site="outside", true_clock=True)
        self.outside = SimHost(world=world, name="outside", machine=world.machine(ip="10.99.0.1", site="outside"))
        for place, name in enumerate(self.names):
            self.add(name=name, ip=f"10.{place + 1}.0.1", bootstrap="true")
        self.operator = Operator(host=self.outside, addresses=[f"{self.ip(name=name)}:8166" for name in self.names])

    def ip(self, *, name: str) -> str:
        return self.setting_lines[name]["ip"]

    def add(self, *, name: str, ip: str, bootstrap: str = "false") -> None:
        place = len(self.setting_lines) % 3
        changed = {"ip": ip, "listen.ctl": f"{ip}:8166", "survive.nodes": str(self.survive), "bootstrap": bootstrap}
        self.setting_lines[name] = settings_lines(name=name, zone=place, machine="core", **changed)

    def start(self, *, name: str) -> None:
        rows = self.setting_lines[name]
        self.setting_lines[name] = rows | {"bootstrap": "false"}
        self.daemons.pop(name, None)

        def run(host: SimHost) -> None:
            core = Core(host=host, settings=settings_file.settings(lines=rows))
            core.operator_api = OperatorApi(core=core, protocol=platform_adapter.PlatformAdapter()).handle_http
            with core.running():
                self.daemons[name] = core
                while not host.disk_unresponsive:
                    host.sleep(wait=ms(100))
                # Ends the process as `dockmux.runtime.daemon` does.
                host.kill()

        self.hosts[name] = self.world.start(name=name, ip=rows["ip"], site=rows["az"], run=run)

    def start_all(self) -> None:
        for name in self.names:
            self.start(name=name)
        status = self.operator.put(text=config_text(version=1), base=0, limit=20 * SECOND)
        assert status == 200, status
        assert self.wait_until(condition=self.all_caught_up, limit=10 * SECOND)

    def sleep(self, *, seconds: float) -> None:
        self.outside.sleep(wait=SECOND * seconds)

    def wait_until(self, *, condition: Any, limit: timedelta) -> bool:
        end = self.world.now() + limit
        while self.world.now() < end:
            if condition():
                return True
            self.outside.sleep(wait=ms(5))
        return False

    # Failures.

    def kill(self, *, name: str) -> None:
        self.hosts[name].kill()

    def wipe(self, *, name: str) -> None:
        self.kill(name=name)
        self.hosts[name].machine.disk = Disk()

    def replace(self, *, name: str, fresh: str, ip: str) -> None:
        """Loses the machine for good; an empty one starts at another address."""
        self.kill(name=name)
        self.hosts[name].machine.isolated = True
        self.add(name=fresh, ip=ip)
        self.names[self.names.index(name)] = fresh
        self.start(name=fresh)

    def partition(self, *, name: str, others: list[str], both: bool = True) -> None:
        for other in others:
            self.world.cuts.add((self.ip(name=name), self.ip(name=other)))
            if both:
                self.world.cuts.add((self.ip(name=other), self.ip(name=name)))

    def heal(self) -> None:
        self.world.cuts.clear()

    # Observations.

    def running(self) -> list[Core]:
        return [self.daemons[name] for name in self.names if self.hosts[name].alive and name in self.daemons]

    def chain(self) -> list[str]:
        """The names in the newest view that a running daemon knows, head first."""
        views = [core.agreement.view for core in self.running() if core.agreement.view is not None]
        newest = max(views, key=lambda view: view.number)
        names = {self.daemons[name].store.disk: name for name in self.names if name in self.daemons}
        return [names.get(disk, disk) for disk in newest.chain]

    def all_caught_up(self) -> bool:
        """Whether every running daemon is in the chain, caught up, and has the same view."""
        cores = self.running()
        if len(cores) < sum(self.hosts[name].alive for name in self.names):
            return False
        numbers = {core.agreement.view.number for core in cores if core.agreement.view is not None}
        caught_up = all(core.agreement.is_member() and core.store.caught_up for core in cores)
        return caught_up and len(numbers) == 1 and len(cores) == len(self.chain())

    def operator_index(self, *, name: str) -> int:
        """The index of a daemon in the operator's list of control daemons."""
        return self.operator.addresses.index(f"{self.ip(name=name)}:8166")

    def put(self, *, version: int, base: int, control: int = 0, **changes: Any) -> int:
        """Puts a configuration at one daemon, without failover; returns the status, 0 for no answer."""
        headers = {"Content-Type": "application/json", "X-Base-Version": str(base)}
        body = config_text(version=version, **changes)
        return self.operator.call(
            method="POST", path="/dockmux/config/put", body=body, headers=headers, control=control
        )[0]  # fmt: skip

    def get(self, *, name: str) -> tuple[int, int]:
        """Reads at one daemon; returns the status and the version, 0 unless the status is 200."""
        status, body = self.operator.call(
            method="GET", path="/dockmux/config/get", body=None, headers={}, control=self.operator_index(name=name)
        )
        return status, json.loads(body)["gen"] if status == 200 else 0

    def assert_no_failures(self) -> None:
        failed = [text for _, _, log_event, text in self.world.logged if log_event is LogEvent.TASK_FAILED]
        assert not failed and not self.world.crashes, (failed, self.world.crashes)


@contextmanager
def core_cluster(*, seed: int, count: int = 3, survive: int = 1) -> Iterator[CoreCluster]:
    with World(seed=seed, link_us=700).open() as world:
        cluster = CoreCluster(world=world, count=count, survive=survive)
        cluster.start_all()
        yield cluster
