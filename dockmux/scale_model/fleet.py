"""Simulates one fleet of a given size: starts it, measures its control traffic, and times a configuration change."""

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
from dockmux.runtime.http_client import HttpClientConnection
from dockmux.runtime.http_transport import HttpExchange, serve
from dockmux.runtime.time_units import ms
from dockmux.scale_model.meter import Meter, MeteredHost, MeteredWorld, deep_size
from dockmux.scale_model.synthetic_load import SyntheticLoadEdge, run_synthetic_load
from dockmux.simulator.world import SimHost

PLATFORM_ADDRESS = "10.9.0.1:9000"
PREFILL_ENGINE_SHARE = 0.24
LIST_PAGE_ROWS = 200
POLL_INTERVAL = timedelta(milliseconds=10)
JOIN_TIMEOUT = timedelta(seconds=40)
ACTIVATION_TIMEOUT = timedelta(seconds=30)
OPERATOR_TIMEOUT = timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Size:
    """The size of a fleet; each field can be varied on its own.

    Invariants: `changes_per_day` is the rate of configuration changes during the measurement, with 0 for none; the
    first `real` of the `daemons` are unmodified data daemons without requests, the others `SyntheticLoadEdge`s.
    """

    daemons: int = 12
    engines: int = 610
    models: int = 35
    tenants: int = 0
    changes_per_day: int = 0
    cores: int = 5
    zones: int = 5
    real: int = 0


def load_protocol_adapter(*, path: str) -> ProtocolAdapter:
    """Loads the platform adapter from the Python file at `path`, the one that the platform's daemons use."""
    spec = importlib.util.spec_from_file_location("scale_model_platform_adapter", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.PlatformAdapter()


def build_route_table(*, size: Size, version: int) -> RouteTable:
    """Returns a configuration with one route for each model and one for each tenant."""
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


class SimulatedFleet:
    """A simulated fleet with a platform that serves the engine list and an operator that changes the configuration.

    Invariants: `cores` and `edges` hold the running daemons by name, and `hosts` the process of each; the platform, the
    operator and the synthetic load run in separate processes, which count towards no role; only the operator's
    traffic is reported, separately.
    """

    def __init__(self, *, world: MeteredWorld, size: Size, protocol: ProtocolAdapter) -> None:
        self.world = world
        self.size = size
        self.protocol = protocol
        self.hosts: dict[str, MeteredHost] = {}
        self.cores: dict[str, Core] = {}
        self.edges: dict[str, Edge] = {}
        self.synthetic_load_edges: list[SyntheticLoadEdge] = []
        self.version = 0
        self.list_calls = 0
        self.operator_host = MeteredHost(
            world=world, name="operator", machine=world.machine(ip="10.9.0.2", site="outside")
        )
        self.seeds = [f"10.0.0.{n + 1}:7000" for n in range(min(size.cores, 3))]

    def _zone(self, *, index: int) -> str:
        return f"z{index % self.size.zones}"

    def _settings_fields(self, *, name: str, ip: str, index: int) -> dict[str, Any]:
        """Returns the settings of one daemon, under the keys of the settings file."""
        tolerated_failures = (self.size.cores - 1) // 2
        return {
            "name": name, "site": self._zone(index=index), "address": f"{ip}:7000", "http": f"{ip}:8000",
            "seeds": self.seeds, "cores": 2 * tolerated_failures + 1, "copies": tolerated_failures + 1,
            "rumourMs": 1000, "bodyLimitKb": 8192,
        }  # fmt: skip

    def start_core(self, *, index: int) -> None:
        """Starts the control daemon with this index."""
        name, ip = f"core-{index}", f"10.0.0.{index + 1}"
        daemon_settings = settings.check(
            fields=self._settings_fields(name=name, ip=ip, index=index) | {"data_folder": "data"}
        )
        deployment = Deployment(tolerated_failures=(self.size.cores - 1) // 2)

        def run(host: SimHost) -> None:
            core = Core(host=host, settings=daemon_settings)
            core.operator_api = OperatorApi(core=core, protocol=self.protocol).handle_http
            core.extra_tasks.append(PhaseBalancer(core=core, deployment=deployment, protocol=self.protocol).run)
            with core.running():
                self.cores[name] = core
                host.sleep(wait=timedelta(days=1))

        self.hosts[name] = self.world.start(name=name, ip=ip, site=daemon_settings.site, run=run)

    def edge_name(self, *, index: int) -> str:
        return f"edge-{index:03d}"

    def remove_edge(self, *, index: int) -> None:
        """Removes a killed data daemon, so that it can be started again."""
        edge = self.edges.pop(self.edge_name(index=index))
        if edge in self.synthetic_load_edges:
            self.synthetic_load_edges.remove(edge)

    def start_edge(self, *, index: int) -> None:
        """Starts the data daemon with this index."""
        name, ip = self.edge_name(index=index), f"10.1.{index // 200}.{index % 200 + 1}"
        daemon_settings = settings.check(fields=self._settings_fields(name=name, ip=ip, index=index))
        tolerated_failures = (self.size.cores - 1) // 2
        deployment = Deployment(
            http_address=daemon_settings.http, readyz_address=f"{ip}:8001", list_address=PLATFORM_ADDRESS,
            tolerated_failures=tolerated_failures, retry_ratio=0.1, retry_extra=20,
        )  # fmt: skip
        edge_class = Edge if index < self.size.real else SyntheticLoadEdge

        def run(host: SimHost) -> None:
            edge = edge_class(host=host, settings=daemon_settings, deployment=deployment, protocol=self.protocol)
            with edge.running():
                self.edges[name] = edge
                if isinstance(edge, SyntheticLoadEdge):
                    self.synthetic_load_edges.append(edge)
                host.sleep(wait=timedelta(days=1))

        self.hosts[name] = self.world.start(name=name, ip=ip, site=daemon_settings.site, run=run)

    def start_platform(self) -> None:
        """Starts the platform, which serves the engine list in pages, and the process that runs the synthetic load."""
        prefill_engines = round(self.size.engines * PREFILL_ENGINE_SHARE)
        rows = [
            EngineEntry(
                engine=f"e{n:04d}", service=f"m{n % self.size.models}", address=f"10.2.{n // 200}.{n % 200 + 1}:8000",
                zone=self._zone(index=n), phase="prefill" if n < prefill_engines else "decode", slots=16, leaving=False,
                release="1",
            )
            for n in range(self.size.engines)
        ]  # fmt: skip

        def handle_http(exchange: HttpExchange) -> Iterable[bytes]:
            first_row = int(exchange.environ.get("QUERY_STRING", "").partition("=")[2] or 0)
            next_first_row = str(first_row + LIST_PAGE_ROWS) if first_row + LIST_PAGE_ROWS < len(rows) else None
            response_body = self.protocol.render_list(
                rows=rows[first_row : first_row + LIST_PAGE_ROWS], next_page=next_first_row
            )
            self.list_calls += first_row == 0
            return exchange.reply(status=200, fields=response_body)

        def run(host: SimHost) -> None:
            with host.listen(address=PLATFORM_ADDRESS) as listener:
                serve(host=host, listener=listener, handler=handle_http)

        self.world.start(name="platform", ip=PLATFORM_ADDRESS.partition(":")[0], site="outside", run=run)
        self.world.start(
            name="load",
            ip="10.9.0.3",
            site="outside",
            run=lambda host: run_synthetic_load(host=host, edges=self.synthetic_load_edges),
        )

    def wait_until(self, *, condition: str, timeout: timedelta) -> timedelta:
        """Waits until the method named `condition` returns true; TimeoutError after `timeout`.

        Returns the virtual time that this took.
        """
        start_time = self.world.now()
        while not getattr(self, condition)():
            if self.world.now() - start_time > timeout:
                raise TimeoutError(
                    f"{condition} was not reached within {timeout}; crashed processes: {self.world.crashes[:3]}"
                )
            self.operator_host.sleep(wait=POLL_INTERVAL)
        return self.world.now() - start_time

    # Conditions for `wait_until`.

    def control_plane_ready(self) -> bool:
        """Whether a head holds its lease and every control daemon is a member with a working gossip endpoint."""
        return any(core.agreement.is_head() and core.agreement.holds_lease() for core in self.cores.values()) and all(
            core.agreement.is_member() and core.gossip.ready() for core in self.cores.values()
        )

    def all_joined(self) -> bool:
        """Whether every data daemon is ready, has a synchronized clock and knows every other daemon."""
        other_daemons = self.size.daemons + self.size.cores - 1
        if len(self.edges) < self.size.daemons:
            return False
        return all(
            edge.is_ready() and edge.gossip.clock.synchronized and len(edge.peers.cards) == other_daemons
            for edge in self.edges.values()
        )

    def config_active_everywhere(self) -> bool:
        """Whether every data daemon uses the newest configuration."""
        return all(
            edge.config_tracker.table and edge.config_tracker.table.version == self.version
            for edge in self.edges.values()
        )

    # Operator requests.

    def put_next_config(self) -> None:
        """Submits the next configuration version through core-0."""
        self.version += 1
        self.post_config(core="core-0")

    def post_config(self, *, core: str) -> None:
        """Submits the newest configuration to the HTTP address of one control daemon; OSError unless acknowledged."""
        request_body = self.protocol.render_config(
            table=build_route_table(size=self.size, version=self.version)
        ).encode()
        headers = {"x-base-version": str(self.version - 1), "Content-Length": str(len(request_body))}
        with (
            time_limit(wait=OPERATOR_TIMEOUT),
            HttpClientConnection(
                host=self.operator_host, address=self.cores[core].settings.http, wait=OPERATOR_TIMEOUT
            ) as connection,
        ):
            connection.connect()
            connection.request(
                "POST", self.protocol.put_path, body=request_body, headers=headers, preload_content=False
            )
            response = connection.getresponse()
            response_body = response.read()
        if response.status != 200:
            raise OSError(f"configuration request failed with HTTP status {response.status}: {response_body!r}")

    def start(self) -> timedelta:
        """Starts all daemons and returns the time from the last start until all have joined the fleet."""
        for index in range(self.size.cores):
            self.start_core(index=index)
        self.wait_until(condition="control_plane_ready", timeout=JOIN_TIMEOUT)
        self.put_next_config()
        self.start_platform()
        for index in range(self.size.daemons):
            self.start_edge(index=index)
            self.operator_host.sleep(wait=timedelta(seconds=2) / self.size.daemons)
        return self.wait_until(condition="all_joined", timeout=JOIN_TIMEOUT)

    # Measurement.

    def roles(self) -> dict[str, list[str]]:
        """Returns the names of the processes in each role.

        The list asker is the data daemon with the lowest address, which is the first to refresh the engine list.
        """
        view = next(iter(self.cores.values())).agreement.view
        names = {core.agreement.own_disk: name for name, core in self.cores.items()}
        chain = [names[disk] for disk in view.chain]
        edges = sorted(self.edges)
        list_asker = min(self.edges.values(), key=lambda edge: edge.settings.address).settings.name
        return {
            "head": chain[:1], "core": chain[1:-1], "tail": chain[-1:], "edge": [n for n in edges if n != list_asker],
            "list asker": [list_asker],
        }  # fmt: skip

    def reset_meters(self) -> None:
        """Resets the meters of the daemons and the operator."""
        for host in self.hosts.values():
            host.meter.reset()
        self.operator_host.meter.reset()

    def state_bytes(self, *, name: str) -> dict[str, int]:
        """Returns the memory in bytes of each part of a daemon's state that grows with the fleet."""
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

    def fresh_load_share(self) -> float:
        """Returns the mean share of the other daemons whose load summary is younger than PEER_LOAD_TTL."""
        shares = []
        for edge in self.edges.values():
            now = edge.host.elapsed()
            fresh_summaries = sum(
                now - summary.received_at < PEER_LOAD_TTL for summary in edge.load_tracker.peer_summaries.values()
            )
            shares.append(fresh_summaries / max(len(self.edges) - 1, 1))
        return statistics.mean(shares)


def mean_rates(*, meters: list[Meter], span_s: float) -> dict[str, Any]:
    """Returns the rates per process and second, averaged over the processes of one role."""
    process_seconds = len(meters) * span_s
    kinds = sorted({kind for meter in meters for kind in (*meter.sent, *meter.received)})
    return {
        "out_per_s": sum(meter.sent.total() for meter in meters) / process_seconds,
        "in_per_s": sum(meter.received.total() for meter in meters) / process_seconds,
        "out_bytes_per_s": sum(meter.sent_bytes.total() for meter in meters) / process_seconds,
        "in_bytes_per_s": sum(meter.received_bytes.total() for meter in meters) / process_seconds,
        "busy_percent": 100 * sum(meter.busy_s for meter in meters) / process_seconds,
        "kinds": {
            kind: {
                "out_per_s": sum(meter.sent[kind] for meter in meters) / process_seconds,
                "out_bytes_per_s": sum(meter.sent_bytes[kind] for meter in meters) / process_seconds,
                "in_per_s": sum(meter.received[kind] for meter in meters) / process_seconds,
                "in_bytes_per_s": sum(meter.received_bytes[kind] for meter in meters) / process_seconds,
            }
            for kind in kinds
        },
    }


@contextmanager
def simulated_fleet(*, size: Size, seed: int, adapter_path: str) -> Iterator[SimulatedFleet]:
    """Provides a fleet in a virtual-time world of its own, with no daemon started yet."""
    with MeteredWorld(seed=seed, link_us=1500).open() as world:
        yield SimulatedFleet(world=world, size=size, protocol=load_protocol_adapter(path=adapter_path))


@contextmanager
def gc_disabled() -> Iterator[None]:
    """Disables cyclic garbage collection.

    A collection covers the whole fleet, but its processor time would be counted for the daemon that happens to run.
    """
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def measure(*, size: Size, seed: int, seconds: float, adapter_path: str) -> dict[str, Any]:
    """Runs one fleet and returns the record of the run: rates and state sizes by role, and the cost of one change.

    `seconds` is the length of the measurement in virtual time.
    """
    cpu_start_s = time.process_time()
    with gc_disabled(), simulated_fleet(size=size, seed=seed, adapter_path=adapter_path) as fleet:
        join_time = fleet.start()
        fleet.operator_host.sleep(wait=ms(1500))
        join_list_calls = fleet.list_calls
        fleet.reset_meters()
        end = fleet.world.now() + timedelta(seconds=seconds)
        changes_submitted = 0
        if size.changes_per_day:
            change_interval = timedelta(days=1) / size.changes_per_day
            while fleet.world.now() + change_interval <= end:
                fleet.put_next_config()
                changes_submitted += 1
                fleet.operator_host.sleep(wait=change_interval)
        fleet.operator_host.sleep(wait=max(end - fleet.world.now(), timedelta()))
        roles = fleet.roles()
        role_rates: dict[str, Any] = {}
        for role, names in roles.items():
            role_rates[role] = mean_rates(meters=[fleet.hosts[name].meter for name in names], span_s=seconds)
            role_rates[role]["state_bytes"] = fleet.state_bytes(name=names[0])
        mean_fresh_share = fleet.fresh_load_share()
        mean_cores_in_sight = statistics.mean(len(core.agreement.core_cards()) for core in fleet.cores.values())
        fleet.reset_meters()
        change_start = fleet.world.now()
        fleet.put_next_config()
        time_to_acknowledge = fleet.world.now() - change_start
        fleet.wait_until(condition="config_active_everywhere", timeout=ACTIVATION_TIMEOUT)
        time_to_activate = fleet.world.now() - change_start
        change_rates = {}
        for role, names in roles.items():
            change_rates[role] = mean_rates(
                meters=[fleet.hosts[name].meter for name in names], span_s=time_to_activate.total_seconds()
            )
            del change_rates[role]["kinds"]
        operator_meter = fleet.operator_host.meter
        return {
            "size": dataclasses.asdict(size),
            "seed": seed,
            "seconds": seconds,
            "join_ms": join_time / ms(1),
            "join_list_calls": join_list_calls,
            "cores_in_sight": mean_cores_in_sight,
            "changes_taken": changes_submitted,
            "roles": role_rates,
            "told_part": mean_fresh_share,
            "acknowledged_ms": time_to_acknowledge / ms(1),
            "in_force_ms": time_to_activate / ms(1),
            "change": change_rates,
            "operator_bytes": operator_meter.sent_bytes.total() + operator_meter.received_bytes.total(),
            "configuration_bytes": len(
                fleet.protocol.render_config(table=build_route_table(size=size, version=fleet.version))
            ),
            "crashes": fleet.world.crashes[:5],
            "whole_run_s": time.process_time() - cpu_start_s,
        }
