"""Control daemons alone, as many as wanted, in the simulator: operators' calls, losses and cuts."""

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
from tests.standins.fleet import lines
from tests.standins.operator import Operator, configuration, packed

SECOND = timedelta(seconds=1)


def text_of(*, version: int, **changes: Any) -> bytes:
    """A valid configuration under a number; `changes` make it another one under the same number."""
    return packed(fields=configuration(gen=version) | changes)


class Cores:
    """Invariants: `hosts` and `daemons` name what runs now under a name; the first names are the seeds."""

    def __init__(self, *, world: World, count: int, survive: int) -> None:
        self.world = world
        self.survive = survive
        self.hosts: dict[str, SimHost] = {}
        self.daemons: dict[str, Core] = {}
        self.lines: dict[str, dict[str, str]] = {}
        self.names = [f"core-{place}" for place in range(count)]
        world.machine(ip="10.99.0.1", site="outside", true_clock=True)
        self.outside = SimHost(world=world, name="outside", machine=world.machine(ip="10.99.0.1", site="outside"))
        for place, name in enumerate(self.names):
            self.add(name=name, ip=f"10.{place + 1}.0.1", bootstrap="true")
        self.operator = Operator(host=self.outside, controls=[f"{self.ip(name=name)}:8166" for name in self.names])

    def ip(self, *, name: str) -> str:
        return self.lines[name]["ip"]

    def add(self, *, name: str, ip: str, bootstrap: str = "false") -> None:
        place = len(self.lines) % 3
        changed = {"ip": ip, "listen.ctl": f"{ip}:8166", "survive.nodes": str(self.survive), "bootstrap": bootstrap}
        self.lines[name] = lines(name=name, zone=place, machine="core", **changed)

    def start(self, *, name: str) -> None:
        rows = self.lines[name]
        self.lines[name] = rows | {"bootstrap": "false"}
        self.daemons.pop(name, None)

        def run(host: SimHost) -> None:
            core = Core(host=host, settings=settings_file.settings(lines=rows))
            core.operator_api = OperatorApi(core=core, protocol=platform_adapter.PlatformAdapter()).handle_http
            with core.running():
                self.daemons[name] = core
                while not host.disk_unresponsive:
                    host.sleep(wait=ms(100))
                # As `dockmux.runtime.daemon` does it.
                host.kill()

        self.hosts[name] = self.world.start(name=name, ip=rows["ip"], site=rows["az"], run=run)

    def begin(self) -> None:
        for name in self.names:
            self.start(name=name)
        status = self.operator.put(text=text_of(version=1), base=0, limit=20 * SECOND)
        assert status == 200, status
        assert self.wait_until(what=self.whole, limit=10 * SECOND)

    def sleep(self, *, seconds: float) -> None:
        self.outside.sleep(wait=SECOND * seconds)

    def wait_until(self, *, what: Any, limit: timedelta) -> bool:
        end = self.world.now() + limit
        while self.world.now() < end:
            if what():
                return True
            self.outside.sleep(wait=ms(5))
        return False

    # What befalls machines.

    def kill(self, *, name: str) -> None:
        self.hosts[name].kill()

    def wipe(self, *, name: str) -> None:
        self.kill(name=name)
        self.hosts[name].machine.disk = Disk()

    def replace(self, *, name: str, fresh: str, ip: str) -> None:
        """The machine is gone for good; an empty one comes at another address."""
        self.kill(name=name)
        self.hosts[name].machine.isolated = True
        self.add(name=fresh, ip=ip)
        self.names[self.names.index(name)] = fresh
        self.start(name=fresh)

    def cut(self, *, name: str, others: list[str], both: bool = True) -> None:
        for other in others:
            self.world.cuts.add((self.ip(name=name), self.ip(name=other)))
            if both:
                self.world.cuts.add((self.ip(name=other), self.ip(name=name)))

    def heal(self) -> None:
        self.world.cuts.clear()

    # What is seen.

    def running(self) -> list[Core]:
        return [self.daemons[name] for name in self.names if self.hosts[name].alive and name in self.daemons]

    def chain(self) -> list[str]:
        """The names in the newest view that any running daemon knows, head first."""
        views = [core.agreement.view for core in self.running() if core.agreement.view is not None]
        newest = max(views, key=lambda view: view.number)
        names = {self.daemons[name].store.disk: name for name in self.names if name in self.daemons}
        return [names.get(disk, disk) for disk in newest.chain]

    def whole(self) -> bool:
        """Whether every running daemon is in the chain, level, and knows the same view."""
        cores = self.running()
        if len(cores) < sum(self.hosts[name].alive for name in self.names):
            return False
        numbers = {core.agreement.view.number for core in cores if core.agreement.view is not None}
        level = all(core.agreement.member() and core.store.level for core in cores)
        return level and len(numbers) == 1 and len(cores) == len(self.chain())

    def place(self, *, name: str) -> int:
        """The operator's number for a daemon."""
        return self.operator.controls.index(f"{self.ip(name=name)}:8166")

    def put(self, *, version: int, base: int, control: int = 0, **changes: Any) -> int:
        """One call to one daemon, without going on to another: its status, 0 for none."""
        headers = {"Content-Type": "application/json", "X-Base-Version": str(base)}
        body = text_of(version=version, **changes)
        return self.operator.call(
            method="POST", path="/dockmux/config/put", body=body, headers=headers, control=control
        )[0]  # fmt: skip

    def get(self, *, name: str) -> tuple[int, int]:
        """One read at one daemon: status and version."""
        status, body = self.operator.call(
            method="GET", path="/dockmux/config/get", body=None, headers={}, control=self.place(name=name)
        )
        return status, json.loads(body)["gen"] if status == 200 else 0

    def sound(self) -> None:
        failed = [text for _, _, log_event, text in self.world.logged if log_event is LogEvent.TASK_FAILED]
        assert not failed and not self.world.crashes, (failed, self.world.crashes)


@contextmanager
def cores(*, seed: int, count: int = 3, survive: int = 1) -> Iterator[Cores]:
    with World(seed=seed, link_us=700).open() as world:
        made = Cores(world=world, count=count, survive=survive)
        made.begin()
        yield made
