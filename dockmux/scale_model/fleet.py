"""One fleet of a given size: brought up, watched for a while, given a configuration, and read off."""

import dataclasses
import gc
import importlib.util
import statistics
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

from dockmux.control.core import Core
from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.edge import Edge
from dockmux.platform_proxy.load_tracker import PEER_LOAD_TTL
from dockmux.platform_proxy.operator_api import OperatorApi
from dockmux.platform_proxy.phase_balancer import PhaseBalancer
from dockmux.platform_proxy.protocol_adapter import EngineEntry, ProtocolAdapter
from dockmux.platform_proxy.routes import Limits, Route, RouteTable, RunRule, Service
from dockmux.runtime import settings
from dockmux.runtime.host import time_limit
from dockmux.runtime.http_transport import HttpClientConnection, HttpExchange, serve
from dockmux.runtime.time_units import ms
from dockmux.scale_model.hollow import HollowEdge, run_load
from dockmux.scale_model.meter import Meter, MeteredHost, MeteredWorld, deep_size
from dockmux.simulator.world import SimHost

PLATFORM = "10.9.0.1:9000"
READING_PART = 0.24
PAGE_ROWS = 200
STEP = timedelta(milliseconds=10)
JOIN_LIMIT = timedelta(seconds=40)
FORCE_LIMIT = timedelta(seconds=30)
OPERATOR_LIMIT = timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Size:
    """What is stepped. Invariant: `changes_per_day` are configurations taken while the fleet is watched, and none are
    when it is 0; `real` of the daemons are real ones without load, the others hollow."""

    daemons: int = 12
    engines: int = 610
    models: int = 35
    tenants: int = 0
    changes_per_day: int = 0
    cores: int = 5
    zones: int = 5
    real: int = 0


def load_protocol(*, path: str) -> ProtocolAdapter:
    """The platform's names and formats, from the file that its own programs use."""
    spec = importlib.util.spec_from_file_location("gauge_words", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.PlatformAdapter()


def configuration(*, size: Size, version: int) -> RouteTable:
    """A route for each model, and one for each tenant that has its own."""
    services = {f"m{n}": Service(name=f"m{n}", health_path="/health", max_connections=64) for n in range(size.models)}

    def route(*, name: str, host: str, prefix: str, service: str) -> Route:
        return Route(
            name=name, host=host, prefix=prefix, run=RunRule.RESUMABLE, stream=True,
            timeout=timedelta(seconds=60), ttft_target=ms(1500), urgency=5, max_sends=2,
            service_weights=((service, 1),), itl_target=ms(33),
        )  # fmt: skip

    routes = [route(name=f"r{n}", host="*", prefix=f"/v1/m{n}/", service=f"m{n}") for n in range(size.models)]
    routes += [
        route(name=f"t{n}", host=f"t{n}.example", prefix="/v1/", service=f"m{n % size.models}")
        for n in range(size.tenants)
    ]
    return RouteTable(version=version, routes=tuple(routes), services=services, limits=Limits())


class GaugeFleet:
    """Invariants: `cores` and `edges` hold the daemons by name, each beside its process in `hosts`; the platform, the
    operators and the load are processes of their own and no part of any role's figures but the operators'."""

    def __init__(self, *, world: MeteredWorld, size: Size, protocol: ProtocolAdapter) -> None:
        self.world = world
        self.size = size
        self.protocol = protocol
        self.hosts: dict[str, MeteredHost] = {}
        self.cores: dict[str, Core] = {}
        self.edges: dict[str, Edge] = {}
        self.hollow: list[HollowEdge] = []
        self.version = 0
        self.list_calls = 0
        self.operator = MeteredHost(world=world, name="operator", machine=world.machine(ip="10.9.0.2", site="outside"))
        self.seeds = [f"10.0.0.{n + 1}:7000" for n in range(min(size.cores, 3))]

    def _zone(self, *, place: int) -> str:
        return f"z{place % self.size.zones}"

    def _fields(self, *, name: str, ip: str, place: int) -> dict[str, Any]:
        """As the platform's settings file is read."""
        tolerated = (self.size.cores - 1) // 2
        return {
            "name": name, "site": self._zone(place=place), "address": f"{ip}:7000", "http": f"{ip}:8000",
            "seeds": self.seeds, "cores": 2 * tolerated + 1, "copies": tolerated + 1, "rumourMs": 1000,
            "bodyLimitKb": 8192,
        }  # fmt: skip

    def start_core(self, *, place: int) -> None:
        name, ip = f"core-{place}", f"10.0.0.{place + 1}"
        checked = settings.check(fields=self._fields(name=name, ip=ip, place=place) | {"data_folder": "data"})
        deployment = Deployment(tolerated_failures=(self.size.cores - 1) // 2)

        def run(host: SimHost) -> None:
            core = Core(host=host, settings=checked)
            core.operator_api = OperatorApi(core=core, protocol=self.protocol).handle_http
            core.duties.append(PhaseBalancer(core=core, deployment=deployment, protocol=self.protocol).run)
            with core.running():
                self.cores[name] = core
                host.sleep(wait=timedelta(days=1))

        self.hosts[name] = self.world.start(name=name, ip=ip, site=checked.site, run=run)

    def edge_name(self, *, place: int) -> str:
        return f"edge-{place:03d}"

    def forget_edge(self, *, place: int) -> None:
        """One that was ended, before it is begun anew."""
        edge = self.edges.pop(self.edge_name(place=place))
        if edge in self.hollow:
            self.hollow.remove(edge)

    def start_edge(self, *, place: int) -> None:
        name, ip = self.edge_name(place=place), f"10.1.{place // 200}.{place % 200 + 1}"
        checked = settings.check(fields=self._fields(name=name, ip=ip, place=place))
        tolerated = (self.size.cores - 1) // 2
        deployment = Deployment(
            http_address=checked.http, readyz_address=f"{ip}:8001", list_address=PLATFORM, tolerated_failures=tolerated,
            retry_ratio=0.1, retry_extra=20,
        )  # fmt: skip
        kind = Edge if place < self.size.real else HollowEdge

        def run(host: SimHost) -> None:
            edge = kind(host=host, settings=checked, deployment=deployment, protocol=self.protocol)
            with edge.running():
                self.edges[name] = edge
                if isinstance(edge, HollowEdge):
                    self.hollow.append(edge)
                host.sleep(wait=timedelta(days=1))

        self.hosts[name] = self.world.start(name=name, ip=ip, site=checked.site, run=run)

    def start_platform(self) -> None:
        """Answers with the list of engines, by pages."""
        readers = round(self.size.engines * READING_PART)
        rows = [
            EngineEntry(
                engine=f"e{n:04d}", service=f"m{n % self.size.models}", address=f"10.2.{n // 200}.{n % 200 + 1}:8000",
                zone=self._zone(place=n), phase="prefill" if n < readers else "decode", slots=16, leaving=False,
                release="1",
            )
            for n in range(self.size.engines)
        ]  # fmt: skip

        def handle_http(exchange: HttpExchange) -> Iterable[bytes]:
            page = int(exchange.environ.get("QUERY_STRING", "").partition("=")[2] or 0)
            following = str(page + PAGE_ROWS) if page + PAGE_ROWS < len(rows) else None
            told = self.protocol.render_list(rows=rows[page : page + PAGE_ROWS], next_page=following)
            self.list_calls += page == 0
            return exchange.reply(status=200, fields=told)

        def run(host: SimHost) -> None:
            with host.listen(address=PLATFORM) as listener:
                serve(host=host, listener=listener, handler=handle_http)

        self.world.start(name="platform", ip=PLATFORM.partition(":")[0], site="outside", run=run)
        self.world.start(
            name="load", ip="10.9.0.3", site="outside", run=lambda host: run_load(host=host, edges=self.hollow)
        )

    def wait_until(self, *, what: str, limit: timedelta) -> timedelta:
        """How long it took until the named thing held."""
        began = self.world.now()
        while not getattr(self, what)():
            if self.world.now() - began > limit:
                raise TimeoutError(f"{what}: not within {limit}; crashed: {self.world.crashes[:3]}")
            self.operator.sleep(wait=STEP)
        return self.world.now() - began

    # What is waited for.

    def has_head(self) -> bool:
        return any(core.agreement.is_head() and core.agreement.holds_lease() for core in self.cores.values()) and all(
            core.agreement.member() and core.gossip.ready() for core in self.cores.values()
        )

    def joined(self) -> bool:
        everyone = self.size.daemons + self.size.cores - 1
        if len(self.edges) < self.size.daemons:
            return False
        return all(
            edge.is_ready() and edge.gossip.clock.synchronized and len(edge.peers.cards) == everyone
            for edge in self.edges.values()
        )

    def in_force(self) -> bool:
        return all(
            edge.config_tracker.table and edge.config_tracker.table.version == self.version
            for edge in self.edges.values()
        )

    # Operators.

    def put(self) -> None:
        """The next configuration."""
        self.version += 1
        self.send(core="core-0")

    def send(self, *, core: str) -> None:
        """The newest configuration, through a control daemon's own door; OSError unless it is acknowledged."""
        text = self.protocol.render_config(table=configuration(size=self.size, version=self.version)).encode()
        headers = {"x-base-version": str(self.version - 1), "Content-Length": str(len(text))}
        with (
            time_limit(wait=OPERATOR_LIMIT),
            HttpClientConnection(
                host=self.operator, address=self.cores[core].settings.http, wait=OPERATOR_LIMIT
            ) as stream,
        ):
            stream.connect()
            stream.request("POST", self.protocol.put_path, body=text, headers=headers, preload_content=False)
            response = stream.getresponse()
            told = response.read()
        if response.status != 200:
            raise OSError(f"the configuration was answered {response.status} {told!r}")

    def up(self) -> timedelta:
        for place in range(self.size.cores):
            self.start_core(place=place)
        self.wait_until(what="has_head", limit=JOIN_LIMIT)
        self.put()
        self.start_platform()
        for place in range(self.size.daemons):
            self.start_edge(place=place)
            self.operator.sleep(wait=timedelta(seconds=2) / self.size.daemons)
        return self.wait_until(what="joined", limit=JOIN_LIMIT)

    # Reading off.

    def roles(self) -> dict[str, list[str]]:
        """Names of the processes in each role."""
        view = next(iter(self.cores.values())).agreement.view
        names = {core.agreement.me: name for name, core in self.cores.items()}
        chain = [names[disk] for disk in view.chain]
        edges = sorted(self.edges)
        asker = min(self.edges.values(), key=lambda edge: edge.settings.address).settings.name
        return {
            "head": chain[:1], "core": chain[1:-1], "tail": chain[-1:], "edge": [n for n in edges if n != asker],
            "list asker": [asker],
        }  # fmt: skip

    def reset(self) -> None:
        for host in self.hosts.values():
            host.meter.reset()
        self.operator.meter.reset()

    def state_bytes(self, *, name: str) -> dict[str, int]:
        if name in self.cores:
            core = self.cores[name]
            parts = {
                "peers": [core.peers.cards, core.peers.last_heard],
                "sessions": [core.chain.sessions.sessions],
                "configurations": [[c.tree for c in core.chain.state.configs], core.store.entries],
            }
        else:
            edge = self.edges[name]
            parts = {
                "peers": [edge.peers.cards, edge.peers.last_heard, edge.config_tracker.members],
                "engines": [edge.directory.rows],
                "work": [edge.load_tracker.peer_summaries, edge.load_tracker.peer_loads, edge.load_tracker.local_loads],
                "configurations": [edge.config_tracker.config, edge.config_tracker.table],
            }
        return {part: deep_size(roots=roots) for part, roots in parts.items()}

    def told_part(self) -> float:
        """Which part of the other daemons' work a daemon may use: what it was told no longer than a while ago."""
        parts = []
        for edge in self.edges.values():
            now = edge.host.elapsed()
            fresh = sum(
                now - summary.received_at < PEER_LOAD_TTL for summary in edge.load_tracker.peer_summaries.values()
            )
            parts.append(fresh / max(len(self.edges) - 1, 1))
        return statistics.mean(parts)


def figures(*, meters: list[Meter], span_s: float) -> dict[str, Any]:
    """Means of the processes of one role, a second."""
    many = len(meters) * span_s
    kinds = sorted({kind for meter in meters for kind in (*meter.sent, *meter.received)})
    return {
        "out_per_s": sum(meter.sent.total() for meter in meters) / many,
        "in_per_s": sum(meter.received.total() for meter in meters) / many,
        "out_bytes_per_s": sum(meter.sent_bytes.total() for meter in meters) / many,
        "in_bytes_per_s": sum(meter.received_bytes.total() for meter in meters) / many,
        "busy_percent": 100 * sum(meter.busy_s for meter in meters) / many,
        "kinds": {
            kind: {
                "out_per_s": sum(meter.sent[kind] for meter in meters) / many,
                "out_bytes_per_s": sum(meter.sent_bytes[kind] for meter in meters) / many,
                "in_per_s": sum(meter.received[kind] for meter in meters) / many,
                "in_bytes_per_s": sum(meter.received_bytes[kind] for meter in meters) / many,
            }
            for kind in kinds
        },
    }


@contextmanager
def fleet(*, size: Size, seed: int, words: str) -> Iterator[GaugeFleet]:
    with MeteredWorld(seed=seed, link_us=1500).open() as world:
        yield GaugeFleet(world=world, size=size, protocol=load_protocol(path=words))


@contextmanager
def uncollected() -> Iterator[None]:
    """Without cyclic garbage collection: one over a whole fleet would be charged to whichever daemon runs then."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def measure(*, size: Size, seed: int, seconds: float, words: str) -> dict[str, Any]:
    """One run: all figures by role."""
    began_s = time.process_time()
    with uncollected(), fleet(size=size, seed=seed, words=words) as made:
        join = made.up()
        made.operator.sleep(wait=ms(1500))
        join_list_calls = made.list_calls
        made.reset()
        end = made.world.now() + timedelta(seconds=seconds)
        taken = 0
        if size.changes_per_day:
            gap = timedelta(days=1) / size.changes_per_day
            while made.world.now() + gap <= end:
                made.put()
                taken += 1
                made.operator.sleep(wait=gap)
        made.operator.sleep(wait=max(end - made.world.now(), timedelta()))
        roles = made.roles()
        told: dict[str, Any] = {}
        for role, names in roles.items():
            told[role] = figures(meters=[made.hosts[name].meter for name in names], span_s=seconds)
            told[role]["state_bytes"] = made.state_bytes(name=names[0])
        fresh = made.told_part()
        in_sight = statistics.mean(len(core.agreement.cores()) for core in made.cores.values())
        made.reset()
        change_began = made.world.now()
        made.put()
        acknowledged = made.world.now() - change_began
        made.wait_until(what="in_force", limit=FORCE_LIMIT)
        in_force = made.world.now() - change_began
        change = {}
        for role, names in roles.items():
            change[role] = figures(meters=[made.hosts[name].meter for name in names], span_s=in_force.total_seconds())
            del change[role]["kinds"]
        operator = made.operator.meter
        return {
            "size": dataclasses.asdict(size),
            "seed": seed,
            "seconds": seconds,
            "join_ms": join / ms(1),
            "join_list_calls": join_list_calls,
            "cores_in_sight": in_sight,
            "changes_taken": taken,
            "roles": told,
            "told_part": fresh,
            "acknowledged_ms": acknowledged / ms(1),
            "in_force_ms": in_force / ms(1),
            "change": change,
            "operator_bytes": operator.sent_bytes.total() + operator.received_bytes.total(),
            "configuration_bytes": len(
                made.protocol.render_config(table=configuration(size=size, version=made.version))
            ),
            "crashes": made.world.crashes[:5],
            "whole_run_s": time.process_time() - began_s,
        }
