"""The edge daemon of a deployment where requests are passed through to the engines unchanged."""

import contextlib
from collections.abc import Iterable, Iterator
from datetime import timedelta

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.clock.peer_table import PeerTable
from dockmux.platform_proxy.budget import Budget
from dockmux.platform_proxy.config_tracker import ConfigTracker
from dockmux.platform_proxy.connection_pool import ConnectionPool
from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.directory import Directory
from dockmux.platform_proxy.dispatcher import Dispatcher
from dockmux.platform_proxy.engine_client import EngineClient, MalformedAnswer
from dockmux.platform_proxy.engine_health import EngineHealth
from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.placement import Placement
from dockmux.platform_proxy.protocol_adapter import EngineEntry, KvHandle, ProtocolAdapter
from dockmux.platform_proxy.request_table import RequestTable
from dockmux.platform_proxy.shutdown import Shutdown
from dockmux.runtime import metrics
from dockmux.runtime.codec import CONTENT_ERRORS, ignoring_malformed
from dockmux.runtime.host import Host
from dockmux.runtime.http_transport import HttpExchange, serve
from dockmux.runtime.listener import DatagramPort, ListeningPort
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.memory_reserve import process_memory_reserve
from dockmux.runtime.messages import DirectoryAsk, DirectoryReply, NewsAsk, PeerCard, WorkSummary
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.rpc import RpcClient, RpcServer
from dockmux.runtime.served_connections import HeadLimits, ServedConnections
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ZERO, ms, to_ms

MAINTENANCE_INTERVAL = timedelta(milliseconds=50)
REPORT_INTERVAL = timedelta(milliseconds=200)
IDLE_REPORT_INTERVAL = timedelta(milliseconds=1000)
# A change in prefill backlog of at least this much, summed over engines, is reported at the next maintenance run:
# until the ordinary report all other daemons would choose the engine last known to be idle.
URGENT_BACKLOG_CHANGE_MS = 60
# Number of edge daemons that receive each load summary, chosen at random; the chain's head receives it as well.
REPORT_FANOUT = 12
DIRECTORY_TIMEOUT = timedelta(milliseconds=800)


def backlog_change(*, previous: dict[str, list[int]], now: dict[str, list[int]]) -> int:
    """The difference between two load summaries in prefill backlog, in ms, summed over all engines."""
    return sum(abs(now.get(engine, [0])[0] - previous.get(engine, [0])[0]) for engine in {*previous, *now})


class Edge:
    """Serves requests and shares load, engine health and budget draws with the other daemons. Invariant: it is ready
    while it has a configuration and an engine list and is not draining."""

    def __init__(self, *, host: Host, settings: Settings, deployment: Deployment, protocol: ProtocolAdapter) -> None:
        self.host = host
        self.settings = settings
        self.deployment = deployment
        self.protocol = protocol
        self.shutdown: Shutdown | None = None
        self.served = ServedConnections()
        card = PeerCard(
            name=settings.name, role="edge", site=settings.site, address=settings.address, http=settings.http,
            incarnation=f"{host.random.getrandbits(64):016x}", ageMs=0,
        )  # fmt: skip
        self.peers = PeerTable(host=host, settings=settings, card=card)

    @contextlib.contextmanager
    def running(self) -> Iterator["Edge"]:
        """Opens the daemon's sockets and runs its tasks while the context is open."""
        host, settings, deployment = self.host, self.settings, self.deployment
        with (
            DatagramPort(host=host, address=settings.address) as gossip_socket,
            ListeningPort(host=host, address=settings.address) as rpc_listener,
            ListeningPort(host=host, address=deployment.http_address) as http_listener,
            ListeningPort(host=host, address=deployment.readyz_address) as readiness_listener,
            RpcClient(host=host) as rpc_client,
            ConnectionPool(host=host) as connection_pool,
            TaskGroup(host=host) as task_group,
        ):
            self.task_group, self.rpc_client, self.connection_pool = task_group, rpc_client, connection_pool
            self.ports = (gossip_socket, rpc_listener, http_listener, readiness_listener)
            self.gossip = GossipEndpoint(host=host, settings=settings, peers=self.peers, port=gossip_socket)
            self.config_tracker = ConfigTracker(
                host=host, gossip=self.gossip, rpc_client=rpc_client, protocol=self.protocol
            )
            self.directory = Directory(host=host, deployment=deployment, protocol=self.protocol)
            self.engine_health = EngineHealth(host=host)
            self.load_tracker = LoadTracker(host=host)
            self.budget = Budget(deployment=deployment, started_at=host.elapsed())
            self.placement = Placement(host=host, zone=settings.site, load_tracker=self.load_tracker)
            self.engine_client = EngineClient(host=host, protocol=self.protocol, connection_pool=connection_pool)
            self.dispatcher = Dispatcher(
                host=host, protocol=self.protocol, directory=self.directory, engine_client=self.engine_client,
                load_tracker=self.load_tracker, placement=self.placement, engine_health=self.engine_health,
                budget=self.budget, clock=self.gossip.clock, daemon_count=self.daemons,
            )  # fmt: skip
            self.request_table = RequestTable(
                host=host, protocol=self.protocol, config_tracker=self.config_tracker, directory=self.directory,
                dispatcher=self.dispatcher, engine_health=self.engine_health, budget=self.budget,
            )  # fmt: skip
            self.gossip.collects_work_messages = True
            self.fetching = False
            self.probing: set[str] = set()
            rpc_server = RpcServer(
                host=host,
                listener=rpc_listener,
                handlers={NewsAsk: self.config_tracker.on_news, DirectoryAsk: self.on_directory},
            )
            for task in (
                rpc_server.run, self.gossip.run_receiving, self.gossip.run_clock_exchanges, self.config_tracker.run,
                self.run_maintenance, self.run_list_refresh,
            ):  # fmt: skip
                task_group.supervise(task=task)
            task_group.supervise(
                task=serve, host=host, listener=http_listener, handler=self.handle_http, connections=self.served
            )
            task_group.supervise(task=serve, host=host, listener=readiness_listener, handler=self.handle_readiness)
            host.log(LogEvent.STARTED, role="edge", name=settings.name, address=settings.address)
            yield self

    def drain(self) -> int:
        """Marks the daemon as not ready. Returns the number of busy connections, plus one while new requests may still
        arrive."""
        now = self.host.elapsed()
        if self.shutdown is None:
            self.shutdown = Shutdown(requested_at=now, ends_at=now + ms(self.settings.drainMs))
            self.request_table.begin_shutdown(shutdown=self.shutdown)
            self.served.closing = True
        if not self.shutdown.admits_all(now=now):
            self.served.close_idle()
        return self.served.busy + self.shutdown.awaits_deregistration(now=now)

    def is_ready(self) -> bool:
        """Whether the daemon has a configuration, engines, all its ports and memory, and is not draining."""
        has_state = self.config_tracker.table is not None and bool(self.directory.rows)
        lacks_something = bool(self.missing_ports()) or process_memory_reserve.is_used
        return self.shutdown is None and has_state and not lacks_something

    def missing_ports(self) -> list[str]:
        """The addresses of ports that are taken by others."""
        return [port.address for port in self.ports if not port.is_bound]

    # HTTP.

    def handle_http(self, exchange: HttpExchange) -> Iterable[bytes]:
        return self.request_table.handle_http(exchange)

    def handle_readiness(self, exchange: HttpExchange) -> Iterable[bytes]:
        if exchange.path == self.protocol.ready_path:
            if self.is_ready():
                return exchange.reply(status=200, fields={"ready": True})
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "see /status"}))
        if exchange.path == "/metrics":
            values = {
                "open": self.request_table.open,
                "ready": self.is_ready(),
                "clock_bound_seconds": self.gossip.clock.bound().total_seconds(),
                "peers": len(self.peers.live_cards()),
                "engines": len(self.directory.rows),
                "list_age_seconds": min(self.directory.age.total_seconds(), 1e6),
                "connections_made": self.connection_pool.opened,
                "tasks_failed": self.task_group.failed,
                "ports_missing": len(self.missing_ports()),
            }
            return metrics.page(exchange=exchange, values=values, outcomes=self.request_table.outcomes())
        if exchange.path == "/status":
            return exchange.reply(status=200, fields=self.status())
        return exchange.respond(outcome=Outcome(kind=OutcomeKind.NOT_FOUND, detail={"path": exchange.path}))

    def status(self) -> dict[str, object]:
        """The fields of the status page."""
        return {
            "name": self.settings.name,
            "ready": self.is_ready(),
            "ports_missing": self.missing_ports(),
            "memory_short": process_memory_reserve.is_used,
            "version": self.config_tracker.table.version if self.config_tracker.table else None,
            "engines": len(self.directory.rows),
            "failing": sorted(engine for engine in self.directory.rows if self.engine_health.is_failing(engine=engine)),
            "list_age_ms": min(to_ms(self.directory.age), 86_400_000),
            "peers": [card.name for card in self.peers.live_cards()],
            "clock": self.gossip.report(),
        }

    # Exchange with the other daemons, and periodic maintenance.

    def edges(self) -> list[PeerCard]:
        """The live edge daemons, this one excluded."""
        return [card for card in self.peers.live_cards() if card.role == "edge"]

    def daemons(self) -> int:
        """The number of live edge daemons, this one included."""
        return len(self.edges()) + 1

    def run_maintenance(self) -> None:
        """Periodically processes messages, cancels requests and reports to the other daemons; never returns."""
        sent_at, cleaned_at, last_summary = -IDLE_REPORT_INTERVAL, ZERO, {}
        while True:
            self.host.sleep(wait=MAINTENANCE_INTERVAL)
            self._receive_messages()
            self._apply_limits()
            self.request_table.cancel_expired()
            self.request_table.cancel_disconnected()
            self.request_table.cancel_stalled()
            self._probe_failing()
            self._free_kv()
            now = self.host.elapsed()
            summary = self.load_tracker.summary()
            changed = summary != last_summary or bool(self.engine_health.summary())
            wait = (
                MAINTENANCE_INTERVAL
                if backlog_change(previous=last_summary, now=summary) >= URGENT_BACKLOG_CHANGE_MS
                else REPORT_INTERVAL
                if changed
                else IDLE_REPORT_INTERVAL
            )
            if now - sent_at >= wait:
                self._send_summary(works=summary)
                sent_at, last_summary = now, summary
            if now - cleaned_at >= IDLE_REPORT_INTERVAL:
                cleaned_at = now
                self.request_table.close_lingering()
                self.connection_pool.close_expired()
                self.engine_health.forget(engines=set(self.directory.rows))
                names = {card.name for card in self.edges()}
                self.load_tracker.forget(live=names)
                self.budget.forget(live=names)

    def _apply_limits(self) -> None:
        """Applies the client limits of the current configuration."""
        if self.config_tracker.table is not None:
            limits = self.config_tracker.table.limits
            self.served.limits = HeadLimits(
                size_bytes=limits.header_bytes, read_timeout=limits.header_timeout, idle_timeout=limits.idle_timeout
            )

    def _receive_messages(self) -> None:
        self.gossip.usage_summaries.clear()
        moving_notices, self.gossip.moving_notices[:] = list(self.gossip.moving_notices), []
        for received_at, message in moving_notices:
            self.dispatcher.phase_changes[message.engine] = (message.phase, received_at + ms(message.left_ms))
        work_summaries, self.gossip.work_summaries[:] = list(self.gossip.work_summaries), []
        for received_at, summary in work_summaries:
            with ignoring_malformed(host=self.host):
                self._receive_summary(summary=summary, received_at=received_at)

    def _receive_summary(self, *, summary: WorkSummary, received_at: timedelta) -> None:
        name = summary.sender.name
        self.load_tracker.update_peer(daemon=name, works=summary.works)
        self.engine_health.update_from_peer(summary=summary.verdicts)
        self.budget.update_peer(daemon=name, draws=summary.spent)
        needs_full_list = self.directory.merge_peer(
            digest=summary.list_digest, origin=summary.list_origin,
            requested_at=received_at - ms(summary.list_age_ms), delta=summary.list_delta,
        )  # fmt: skip
        if needs_full_list and not self.fetching:
            self.fetching = True
            self.task_group.start(task=self._fetch_list, address=summary.sender.address, digest=summary.list_digest)
        if summary.mark > self.config_tracker.mark:
            self.task_group.start(task=self.config_tracker.poll_peer, address=summary.sender.address)

    def _send_summary(self, *, works: dict[str, list[int]], to_all: bool = False) -> None:
        directory = self.directory
        edges = self.edges()
        has_list = bool(directory.rows)
        delta = directory.delta if to_all and directory.delta and directory.delta["from"] else None
        summary = WorkSummary(
            sender=self.peers.own_card(), mark=self.config_tracker.mark, works=works,
            list_digest=directory.digest if has_list else "", list_age_ms=min(to_ms(directory.age), 86_400_000),
            list_origin=directory.origin, list_delta=delta, verdicts=self.engine_health.summary(),
            spent=self.budget.summary(), peers=[],
        )  # fmt: skip
        recipients = edges if to_all else self.host.random.sample(edges, min(REPORT_FANOUT, len(edges)))
        addresses = [card.address for card in recipients]
        if self.config_tracker.head:
            addresses.append(self.config_tracker.head)
        self.gossip.send_all(addresses=addresses, message=summary)

    # The engine list.

    def run_list_refresh(self) -> None:
        """Fetches the list from the platform when it is this daemon's turn, and sends it to all edges."""
        while True:
            self.host.sleep(wait=MAINTENANCE_INTERVAL * 2)
            addresses = sorted([card.address for card in self.edges()] + [self.settings.address])
            if self.directory.due(rank=addresses.index(self.settings.address)) and self.directory.refresh(
                daemons=len(addresses)
            ):
                self._send_summary(works=self.load_tracker.summary(), to_all=True)

    def _fetch_list(self, *, address: str, digest: str) -> None:
        try:
            requested_at = self.host.elapsed()
            reply = self.rpc_client.call(address=address, request=DirectoryAsk(digest=digest), wait=DIRECTORY_TIMEOUT)
            rows = {fields["engine"]: EngineEntry(**fields) for fields in reply.engines}
            if reply.digest:
                self.directory.replace(rows=rows, requested_at=requested_at - ms(reply.age_ms), origin=reply.origin)
        except (OSError, *CONTENT_ERRORS):
            return
        finally:
            self.fetching = False

    def on_directory(self, *, request: DirectoryAsk) -> DirectoryReply:
        """Answers a peer with the whole engine list."""
        directory = self.directory
        age_ms = min(to_ms(directory.age), 86_400_000)
        return DirectoryReply(
            digest=directory.digest, origin=directory.origin, age_ms=age_ms, engines=directory.to_fields()
        )

    # Probes of failing engines, and KV cache that no request will use.

    def _probe_failing(self) -> None:
        for engine in {*self.engine_health.due_for_probe(), *self.request_table.silent_engines()}:
            entry = self.directory.rows.get(engine)
            if entry is not None and engine not in self.probing:
                self.probing.add(engine)
                self.task_group.start(task=self._probe, engine=entry)

    def _probe(self, *, engine: EngineEntry) -> None:
        """Runs a health check and records its result."""
        try:
            service = self.config_tracker.table.services.get(engine.service) if self.config_tracker.table else None
            if service is not None and self.engine_client.is_healthy(engine=engine, path=service.health_path):
                self.engine_health.note_success(engine=engine.engine)
            else:
                self.engine_health.note_failure(engine=engine.engine, why="health check failed")
        finally:
            self.probing.discard(engine.engine)

    def _free_kv(self) -> None:
        unused_handles, self.dispatcher.unused_kv_handles[:] = list(self.dispatcher.unused_kv_handles), []
        for kv_handle in unused_handles:
            self.task_group.start(task=self._release_kv_handle, kv_handle=kv_handle)

    def _release_kv_handle(self, *, kv_handle: KvHandle) -> None:
        try:
            self.engine_client.release_kv_handle(kv_handle=kv_handle)
        except MalformedAnswer as error:
            self.engine_health.note_failure(engine=kv_handle.engine, why=str(error))
