"""A whole fleet in one process, under virtual time: the very same daemons, on simulated machines."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.control.core import Core
from dockmux.engine_emulator.engine import Engine, Speed
from dockmux.local_fleet.fleet_plan import FleetPlan
from dockmux.native_proxy.edge import Edge
from dockmux.runtime import settings
from dockmux.runtime.http_transport import fetch
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost, World

ASK_LIMIT = timedelta(seconds=8)


class SimFleet:
    """Invariants: `hosts` names the process that runs now under a name; `daemons` and `engines` hold every one
    that ever ran, for the checkers; ground truth comes from the engines and user agents, never from daemons."""

    def __init__(self, *, world: World, plan: FleetPlan) -> None:
        self.world = world
        self.plan = plan
        self.hosts: dict[str, SimHost] = {}
        self.daemons: dict[str, Any] = {}
        self.engines: list[Engine] = []
        self.current_engines: dict[str, Engine] = {}
        # The recorders' clocks are true: those of the user agents' and operators' machine, and of the engines.
        world.machine(ip="127.0.99.1", site="outside", true_clock=True)
        self.outside = SimHost(world=world, name="outside", machine=world.machine(ip="127.0.99.1", site="outside"))
        self.seeds: list[str] = []
        self.listed = [dict(row) for row in plan.engine_list()["engines"]]

    def start_core(self, *, daemon: dict[str, Any]) -> None:
        self._start_daemon(daemon=daemon, kind=Core, data_folder="data")

    def start_edge(self, *, daemon: dict[str, Any]) -> None:
        self._start_daemon(daemon=daemon, kind=Edge, data_folder="")

    def _start_daemon(self, *, daemon: dict[str, Any], kind: Any, data_folder: str) -> None:
        fields = self.plan.daemon_settings(daemon=daemon, data_folder=data_folder)
        fields |= {"seeds": self.seeds} if self.seeds else {}
        checked = settings.check(fields=fields)

        def run(host: SimHost) -> None:
            running = kind(host=host, settings=checked)
            with running.running():
                self.daemons[daemon["name"]] = running
                while True:
                    host.sleep(wait=timedelta(hours=1))

        ip = daemon["address"].partition(":")[0]
        self.hosts[daemon["name"]] = self.world.start(name=daemon["name"], ip=ip, site=daemon["site"], run=run)

    def start_engine(self, *, engine: dict[str, Any]) -> None:
        def run(host: SimHost) -> None:
            made = Engine(
                host=host,
                name=engine["engine"],
                service=engine["service"],
                address=engine["address"],
                phase=engine["phase"],
                speed=Speed(**self.plan.speed),
            )
            self.engines.append(made)
            self.current_engines[engine["engine"]] = made
            with made.running():
                while True:
                    host.sleep(wait=timedelta(hours=1))

        ip = engine["address"].partition(":")[0]
        self.world.machine(ip=ip, site=engine["site"], true_clock=True)
        self.hosts[engine["engine"]] = self.world.start(name=engine["engine"], ip=ip, site=engine["site"], run=run)

    def up(self) -> None:
        for engine in self.plan.engines:
            self.start_engine(engine=engine)
        for core in self.plan.cores:
            self.start_core(daemon=core)
        for edge in self.plan.edges:
            self.start_edge(daemon=edge)

    # The platform's and the operators' side.

    def ask(
        self, *, address: str, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        """Status and JSON; status 0 when no answer came."""
        try:
            status, told, _ = fetch(
                host=self.outside,
                address=address,
                method=method,
                path=path,
                wait=ASK_LIMIT,
                fields=fields,
                headers=headers,
            )
            return status, told
        except (OSError, urllib3.exceptions.HTTPError):
            return 0, None

    def ask_any(
        self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        found: tuple[int, Any] = (0, None)
        for core in self.plan.cores:
            answer = self.ask(address=core["http"], method=method, path=path, fields=fields, headers=headers)
            if answer[0]:
                found = answer
            if 0 < answer[0] < 500:
                break
        return found

    def put_engines(self) -> bool:
        return self.ask_any(method="PUT", path="/engines", fields={"engines": self.listed})[0] == 200

    def put_config(self, *, tree: dict[str, Any] | None = None) -> tuple[int, Any]:
        status, told = self.ask_any(method="GET", path="/config")
        if status != 200:
            return status, told
        headers = {"If-Match": f'"{told["mark"]}"'}
        return self.ask_any(method="PUT", path="/config", fields=tree or self.plan.tree, headers=headers)

    def wait_until(self, *, what: Callable[[], bool], limit: timedelta) -> bool:
        end = self.world.now() + limit
        while self.world.now() < end:
            if what():
                return True
            self.outside.sleep(wait=ms(100))
        return False

    def serving(self) -> bool:
        """Whether every running edge would take work; asked of the daemons, for setting up only."""
        for edge in self.plan.edges:
            daemon = self.daemons.get(edge["name"])
            if daemon is None or not hasattr(daemon, "table") or daemon.follower.current() is None:
                return False
            if len(daemon.usage_gossip.table.summary()) < len(self.plan.engines):
                return False
        return True

    def begin(self) -> None:
        """Brings the fleet up to where it serves."""
        self.up()
        assert self.wait_until(what=self.put_engines, limit=timedelta(seconds=20)), "no engine list"
        status, told = self.put_config()
        assert status == 200, told
        assert self.wait_until(what=self.serving, limit=timedelta(seconds=20)), "not serving"


@contextmanager
def fleet(*, plan: FleetPlan, seed: int) -> Iterator[SimFleet]:
    with World(seed=seed, linkUs=plan.link_us).open() as world:
        yield SimFleet(world=world, plan=plan)


def exchange(*, seed: int) -> list[str]:
    """One small fleet, one request: every logged line and every received line, with its true time."""
    from dockmux.load_generator.client import Attempt, send
    from dockmux.load_generator.open_loop import OpenLoopLoad
    from dockmux.local_fleet.fleet_plan import load

    with fleet(plan=load(path="fleets/mini.yaml"), seed=seed) as made:
        made.begin()
        open_loop = OpenLoopLoad(host=made.outside, plan=made.plan, seed=seed)
        ask = open_loop.next_request(mix_entry=made.plan.mix[1])
        seen = Attempt(lane=ask.lane, identity=ask.identity, edge=ask.edge, intended=made.world.now())
        send(host=made.outside, request=ask, attempt=seen, since=timedelta())
        lines = [f"{at} {name} [{log_event.number}] {text}" for at, name, log_event, text in made.world.logged]
        lines += [str(row) for engine in made.engines for row in engine.history]
        assert not made.world.crashes and not [n for _, _, n, _ in made.world.logged if n is LogEvent.TASK_FAILED]
    return [*lines, str(seen)]


def test_the_same_seed_gives_the_same_transcript_twice_and_another_seed_another():
    first = exchange(seed=5)
    assert first == exchange(seed=5)
    assert first != exchange(seed=6)
    assert "kind='answered'" in first[-1] and "violations=[]" in first[-1]
