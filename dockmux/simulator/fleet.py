"""A complete fleet in one process under virtual time: the production daemons on simulated machines."""

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
from dockmux.runtime.http_client import fetch
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost, World

REQUEST_TIMEOUT = timedelta(seconds=8)


class SimFleet:
    """A simulated fleet.

    Invariants: `hosts` maps a daemon's or engine's name to its latest process, `daemons` to its latest daemon object;
    `engines` holds every engine that ever ran, for the checkers, and `current_engines` the latest by name; `outside` is
    the host of user agents and operators; `seeds`, if not empty, replaces the seed addresses of daemons started from
    then on; `engine_rows` is the engine list as the platform sends it. Ground truth comes from engines and user
    agents, never from daemons."""

    def __init__(self, *, world: World, plan: FleetPlan) -> None:
        self.world = world
        self.plan = plan
        self.hosts: dict[str, SimHost] = {}
        self.daemons: dict[str, Any] = {}
        self.engines: list[Engine] = []
        self.current_engines: dict[str, Engine] = {}
        # Ground truth is recorded on this machine and on the engines' machines, so their clocks are exact.
        world.machine(ip="127.0.99.1", site="outside", true_clock=True)
        self.outside = SimHost(world=world, name="outside", machine=world.machine(ip="127.0.99.1", site="outside"))
        self.seeds: list[str] = []
        self.engine_rows = [dict(row) for row in plan.engine_list()["engines"]]

    def start_core(self, *, daemon: dict[str, Any]) -> None:
        self._start_daemon(daemon=daemon, daemon_class=Core, data_folder="data")

    def start_edge(self, *, daemon: dict[str, Any]) -> None:
        self._start_daemon(daemon=daemon, daemon_class=Edge, data_folder="")

    def _start_daemon(self, *, daemon: dict[str, Any], daemon_class: Any, data_folder: str) -> None:
        fields = self.plan.daemon_settings(daemon=daemon, data_folder=data_folder)
        fields |= {"seeds": self.seeds} if self.seeds else {}
        daemon_settings = settings.check(fields=fields)

        def run(host: SimHost) -> None:
            running = daemon_class(host=host, settings=daemon_settings)
            with running.running():
                self.daemons[daemon["name"]] = running
                while True:
                    host.sleep(wait=timedelta(hours=1))

        ip = daemon["address"].partition(":")[0]
        self.hosts[daemon["name"]] = self.world.start(name=daemon["name"], ip=ip, site=daemon["site"], run=run)

    def start_engine(self, *, engine: dict[str, Any]) -> None:
        def run(host: SimHost) -> None:
            emulator = Engine(
                host=host,
                name=engine["engine"],
                service=engine["service"],
                address=engine["address"],
                phase=engine["phase"],
                speed=Speed(**self.plan.speed),
            )
            self.engines.append(emulator)
            self.current_engines[engine["engine"]] = emulator
            with emulator.running():
                while True:
                    host.sleep(wait=timedelta(hours=1))

        ip = engine["address"].partition(":")[0]
        self.world.machine(ip=ip, site=engine["site"], true_clock=True)
        self.hosts[engine["engine"]] = self.world.start(name=engine["engine"], ip=ip, site=engine["site"], run=run)

    def start_all(self) -> None:
        """Starts the processes of all engines, cores and edges."""
        for engine in self.plan.engines:
            self.start_engine(engine=engine)
        for core in self.plan.cores:
            self.start_core(daemon=core)
        for edge in self.plan.edges:
            self.start_edge(daemon=edge)

    # Requests of the platform and of operators.

    def request(
        self, *, address: str, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        """Returns the HTTP status and the decoded JSON body; (0, None) when no answer came."""
        try:
            status, body, _ = fetch(
                host=self.outside,
                address=address,
                method=method,
                path=path,
                wait=REQUEST_TIMEOUT,
                fields=fields,
                headers=headers,
            )
            return status, body
        except (OSError, urllib3.exceptions.HTTPError):
            return 0, None

    def request_any_core(
        self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        """Tries the cores in order until one answers with a status below 500; returns that answer, or else the last
        one received."""
        answer: tuple[int, Any] = (0, None)
        for core in self.plan.cores:
            latest = self.request(address=core["http"], method=method, path=path, fields=fields, headers=headers)
            if latest[0]:
                answer = latest
            if 0 < latest[0] < 500:
                break
        return answer

    def put_engines(self) -> bool:
        """Sends the engine list; returns whether it was accepted."""
        return self.request_any_core(method="PUT", path="/engines", fields={"engines": self.engine_rows})[0] == 200

    def put_config(self, *, tree: dict[str, Any] | None = None) -> tuple[int, Any]:
        """Replaces the current configuration by `tree`, by default the plan's; returns status and body."""
        status, body = self.request_any_core(method="GET", path="/config")
        if status != 200:
            return status, body
        headers = {"If-Match": f'"{body["mark"]}"'}
        return self.request_any_core(method="PUT", path="/config", fields=tree or self.plan.tree, headers=headers)

    def wait_until(self, *, what: Callable[[], bool], limit: timedelta) -> bool:
        """Polls `what` every 100 ms of virtual time; returns whether it became true within `limit`."""
        end = self.world.now() + limit
        while self.world.now() < end:
            if what():
                return True
            self.outside.sleep(wait=ms(100))
        return False

    def serving(self) -> bool:
        """Whether every edge is ready to route requests. Reads the state of the daemons, so only setup may use it."""
        for edge in self.plan.edges:
            daemon = self.daemons.get(edge["name"])
            if daemon is None or not hasattr(daemon, "table") or daemon.config_subscription.current_config() is None:
                return False
            if len(daemon.usage_gossip.table.summary()) < len(self.plan.engines):
                return False
        return True

    def begin(self) -> None:
        """Starts all processes, sends the engine list and the configuration, and waits until the fleet serves."""
        self.start_all()
        assert self.wait_until(what=self.put_engines, limit=timedelta(seconds=20)), "no core accepted the engine list"
        status, body = self.put_config()
        assert status == 200, body
        assert self.wait_until(what=self.serving, limit=timedelta(seconds=20)), "the edges did not become ready"


@contextmanager
def fleet(*, plan: FleetPlan, seed: int) -> Iterator[SimFleet]:
    """Creates a simulated world with a fleet in it; no process is started yet."""
    with World(seed=seed, link_us=plan.link_us).open() as world:
        yield SimFleet(world=world, plan=plan)


def transcript(*, seed: int) -> list[str]:
    """Sends one request to a small fleet; returns all log lines with their true time, the engines' records and the
    outcome."""
    from dockmux.load_generator.client import Attempt, send
    from dockmux.load_generator.open_loop import OpenLoopLoad
    from dockmux.local_fleet.fleet_plan import load

    with fleet(plan=load(path="fleets/mini.yaml"), seed=seed) as sim:
        sim.begin()
        open_loop = OpenLoopLoad(host=sim.outside, plan=sim.plan, seed=seed)
        request = open_loop.next_request(mix_entry=sim.plan.mix[1])
        attempt = Attempt(lane=request.lane, identity=request.identity, edge=request.edge, intended=sim.world.now())
        send(host=sim.outside, request=request, attempt=attempt, since=timedelta())
        lines = [f"{at} {name} [{log_event.number}] {text}" for at, name, log_event, text in sim.world.logged]
        lines += [str(row) for engine in sim.engines for row in engine.history]
        assert not sim.world.crashes and not [n for _, _, n, _ in sim.world.logged if n is LogEvent.TASK_FAILED]
    return [*lines, str(attempt)]


def test_the_same_seed_gives_the_same_transcript_and_another_seed_a_different_one():
    first = transcript(seed=5)
    assert first == transcript(seed=5)
    assert first != transcript(seed=6)
    assert "kind='answered'" in first[-1] and "violations=[]" in first[-1]
