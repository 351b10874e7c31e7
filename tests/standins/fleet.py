"""Three control daemons, three data daemons and some engines, on the platform's settings lines."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import platform_adapter
import settings_file

from dockmux.control.core import Core
from dockmux.platform_proxy.edge import Edge
from dockmux.platform_proxy.operator_api import OperatorApi
from dockmux.platform_proxy.phase_balancer import PhaseBalancer
from dockmux.runtime.http_transport import fetch
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost, World
from tests.standins.client import Client, Request, Seen
from tests.standins.engine import Engine, Faults, Record
from tests.standins.engine_list import EngineList
from tests.standins.operator import Operator, configuration, packed

ZONES = ("hill", "lake", "wood")
LIST_ADDRESS = "10.200.0.9:8169"
SECOND = timedelta(seconds=1)
LONG = 16_000
RATIO, EXTRA = 0.2, 58


def lines(*, name: str, zone: int, machine: str, **changed: str) -> dict[str, str]:
    """A daemon's settings lines as the platform writes them."""
    ip = f"10.{zone + 1}.0.{1 if machine == 'core' else 2}"
    rows = {
        "nodename": name, "role": machine, "mclass": machine, "ip": ip, "az": ZONES[zone], "rgn": "coast",
        "port_range": "7720,7735", "seeds": ",".join(f"10.{n + 1}.0.1:8166" for n in range(3)), "bootstrap": "true",
        "survive.nodes": "1", "bounds.drain_ms": "3000", "bounds.live_ms": "3000", "bounds.grace_s": "8",
        "bounds.apply_ms": "2000", "bounds.retry_ratio": str(RATIO), "bounds.retry_win_s": "10",
        "bounds.retry_extra": str(EXTRA), "bounds.lease_ms": "3000", "bounds.thaw_ms": "300",
        "cloud.addr": LIST_ADDRESS, "cloud.rate_per_s": "47.0", "cloud.lag_ms": "800", "unknown.field": "x=y",
    }  # fmt: skip
    if machine == "core":
        rows |= {"listen.ctl": f"{ip}:8166", "datadir": "/data"}
    else:
        rows |= {"listen.http": f"{ip}:8161", "listen.readyz": f"{ip}:8167"}
    return rows | changed


class Fleet:
    """Invariants: `hosts` names the process that runs now under a name; `daemons` the daemon in it; what happened is
    taken from the stand-ins' records, never from the daemons."""

    def __init__(self, *, world: World, extra: int) -> None:
        self.world = world
        self.extra = extra
        self.record = Record()
        self.faults = Faults()
        self.hosts: dict[str, SimHost] = {}
        self.daemons: dict[str, Any] = {}
        self.engines: dict[str, Engine] = {}
        self.lines: dict[str, dict[str, str]] = {}
        world.machine(ip="10.99.0.1", site="outside", true_clock=True)
        self.outside = SimHost(world=world, name="outside", machine=world.machine(ip="10.99.0.1", site="outside"))
        self.client = Client(host=self.outside)
        self.operator = Operator(host=self.outside, controls=[f"10.{n + 1}.0.1:8166" for n in range(3)])
        self.edges = [f"10.{n + 1}.0.2:8161" for n in range(3)]
        self.sent = 0

    # Processes.

    def _start(self, *, name: str, ip: str, zone: str, make: Callable[[SimHost], Any]) -> None:
        def run(host: SimHost) -> None:
            made = make(host)
            with made.running():
                if isinstance(made, Engine):
                    self.engines[name] = made
                else:
                    self.daemons[name] = made
                while True:
                    host.sleep(wait=timedelta(hours=1))

        self.hosts[name] = self.world.start(name=name, ip=ip, site=zone, run=run)

    def start_daemon(self, *, name: str) -> None:
        """Every start but a daemon's first is told that it is not the first of the whole system."""
        rows = self.lines[name]
        settings = settings_file.settings(lines=rows)
        deployment = settings_file.deployment(lines=rows)
        self.lines[name] = rows | {"bootstrap": "false"}

        def make(host: SimHost) -> Any:
            if rows["mclass"] == "core":
                core = Core(host=host, settings=settings)
                protocol = platform_adapter.PlatformAdapter()
                core.operator_api = OperatorApi(core=core, protocol=protocol).handle_http
                core.duties.append(PhaseBalancer(core=core, deployment=deployment, protocol=protocol).run)
                return core
            return Edge(
                host=host, settings=settings, deployment=deployment, protocol=platform_adapter.PlatformAdapter()
            )

        self._start(name=name, ip=rows["ip"], zone=rows["az"], make=make)

    def start_engine(
        self, *, engine: str, phase: str, zone: int, place: int, slots: int = 64, service: str = "desk"
    ) -> None:
        ip = f"10.{zone + 1}.64.{place}"
        address = f"{ip}:8080"
        self.world.machine(ip=ip, site=ZONES[zone], true_clock=True)
        self.list.add(engine=engine, service=service, address=address, zone=ZONES[zone], phase=phase, slots=slots)

        def make(host: SimHost) -> Engine:
            return Engine(
                host=host, record=self.record, faults=self.faults, engine=engine, service=service, address=address,
                phase=phase, slots=slots, row=self.list.rows[engine],
            )  # fmt: skip

        self._start(name=engine, ip=ip, zone=ZONES[zone], make=make)

    def kill(self, *, name: str) -> None:
        self.hosts[name].kill()

    # Bringing up.

    def begin(self, *, phases: str, slots: int = 64) -> None:
        """`phases` has a letter for each engine: p reads prompts, d writes answers."""
        ip = LIST_ADDRESS.partition(":")[0]
        self.world.machine(ip=ip, site="outside", true_clock=True)
        self.list = EngineList(host=self.outside, address=LIST_ADDRESS)
        self._start(name="list", ip=ip, zone="outside", make=self._make_list)
        for place, letter in enumerate(phases):
            phase = "prefill" if letter == "p" else "decode"
            self.start_engine(engine=f"i-{letter}{place}", phase=phase, zone=place % 3, place=place + 1, slots=slots)
        for zone in range(3):
            for machine in ("core", "edge"):
                name = f"{machine}-{zone}"
                extra = {"bounds.retry_extra": str(self.extra)}
                self.lines[name] = lines(name=name, zone=zone, machine=machine, **extra)
        for name in self.lines:
            self.start_daemon(name=name)
        status = self.operator.put(text=packed(fields=configuration()), base=0, limit=20 * SECOND)
        assert status == 200, status
        assert self.wait_until(what=self.ready, limit=20 * SECOND), "not ready"
        self.sleep(seconds=2)

    def _make_list(self, host: SimHost) -> EngineList:
        self.list.host = host
        return self.list

    def ready(self) -> bool:
        return all(self.is_ready(zone=zone) for zone in range(3))

    def is_ready(self, *, zone: int) -> bool:
        """As the platform asks."""
        try:
            address = f"10.{zone + 1}.0.2:8167"
            told = fetch(host=self.outside, address=address, method="GET", path="/dockmux/readyz", wait=SECOND)
            return told[0] == 200
        except (OSError, ValueError):
            return False

    def wait_until(self, *, what: Callable[[], bool], limit: timedelta) -> bool:
        end = self.world.now() + limit
        while self.world.now() < end:
            if what():
                return True
            self.outside.sleep(wait=ms(100))
        return False

    def sleep(self, *, seconds: float) -> None:
        self.outside.sleep(wait=SECOND * seconds)

    # Load.

    def request(self, *, path: str, **fields: Any) -> Request:
        self.sent += 1
        name = f"{self.sent:08x}"
        # Every other prompt is so long that it is worth being read apart.
        own = LONG if self.sent % 2 else 660
        parts = f"shared{self.sent % 5}:800,own{name}:{own}"
        return Request(**{"request_id": name, "path": path, "parts": parts, "tokens_in": 800 + own, **fields})

    def send(self, *, path: str, zone: int = 0, **fields: Any) -> Seen:
        return self.client.send(edge=self.edges[zone], request=self.request(path=path, **fields))

    def load(
        self, *, paths: tuple[str, ...], per_second: float, seconds: float, zones: tuple[int, ...] = (0, 1, 2),
        **fields: Any,
    ) -> list[Seen]:  # fmt: skip
        """Requests at an even pace, spread over paths and daemons; returns when all are answered or given up."""
        first = len(self.client.tries)
        count = round(per_second * seconds)
        for place in range(count):
            request = self.request(
                path=paths[place % len(paths)],
                **{"tokens_out": 0 if paths[place % len(paths)].startswith(("/check/", "/write/")) else 12, **fields},
            )
            self.client.start(edge=self.edges[zones[place % len(zones)]], request=request)
            self.sleep(seconds=1 / per_second)
        self.sleep(seconds=1)
        self.wait_until(what=lambda: not self.open(), limit=10 * SECOND)
        return self.client.tries[first:]

    def open(self) -> list[Seen]:
        return [seen for seen in self.client.tries if not seen.whole and not seen.error and not self._over(seen=seen)]

    def _over(self, *, seen: Seen) -> bool:
        return self.world.now() - seen.sent_at > seen.request.deadline + ms(600)

    # Judging.

    def wrong(self, *, tries: list[Seen]) -> list[str]:
        """Each breach of what holds whatever happens: nothing false reaches a client, what may not be repeated runs
        once at most, a refusal is kept, every run is of a request that was sent and goes on from its own memory."""
        told = []
        for seen in tries:
            name = seen.request.request_id
            rows = self.record.of(request_id=name)
            runs = [row for row in rows if row.what == "run"]
            if not seen.right and not seen.harmless:
                told.append(f"{name}: a false answer {seen.status} {seen.body[:80]!r} {seen.surplus[:80]!r}")
            if seen.request.path.startswith(("/once/", "/write/")):
                if len(runs) > 1:
                    told.append(f"{name}: ran {len(runs)} times")
                if seen.refused and runs:
                    told.append(f"{name}: refused with {seen.status} after it ran")
            for row in rows:
                if (row.target, row.body) != (seen.request.path, seen.request.body):
                    told.append(f"{name}: changed on its way to {row.engine}")
                if row.memory_of not in ("", name):
                    told.append(f"{name}: goes on from the memory of {row.memory_of}")
        sent = {seen.request.request_id for seen in self.client.tries}
        told += [f"{row.request_id}: nobody sent it" for row in self.record.arrivals if row.request_id not in sent]
        return told

    def turns(self) -> list[str]:
        """Each breach of what holds for orders to one engine: a fence has one owner, none is lower than one before,
        and owners do not take turns within the lease."""
        told = []
        for engine in {name for _, name, _ in self.record.orders}:
            rows = [(at, fields["owner"], fields["fence"]) for at, name, fields in self.record.orders if name == engine]
            for (before, owner, fence), (at, other, later) in zip(rows, rows[1:], strict=False):
                if later < fence or (owner != other and (later == fence or at - before < 3 * SECOND)):
                    told.append(f"{engine}: {owner} with {fence} at {before}, {other} with {later} at {at}")
        return told

    def sound(self) -> None:
        """No task of a daemon failed, and orders kept their turns."""
        assert self.turns() == []
        failed = [text for _, _, log_event, text in self.world.logged if log_event is LogEvent.TASK_FAILED]
        assert not failed and not self.world.crashes, (failed, self.world.crashes)

    def head(self) -> str:
        return next(name for name in ("core-0", "core-1", "core-2") if self.daemons[name].agreement.is_head())


@contextmanager
def fleet(*, seed: int, phases: str = "pdpddd", slots: int = 64, extra: int = EXTRA) -> Iterator[Fleet]:
    with World(seed=seed, link_us=700).open() as world:
        made = Fleet(world=world, extra=extra)
        made.begin(phases=phases, slots=slots)
        yield made
