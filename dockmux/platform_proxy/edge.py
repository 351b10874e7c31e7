"""One edge machine's daemon where requests are handed through unchanged."""

import contextlib
from collections.abc import Iterable, Iterator
from datetime import timedelta

from dockmux.clock.gossip import Gossip
from dockmux.clock.peers import Peers
from dockmux.platform_proxy.budget import Budget
from dockmux.platform_proxy.connection_pool import ConnectionPool
from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.directory import Directory
from dockmux.platform_proxy.dispatcher import Dispatcher
from dockmux.platform_proxy.engine_client import EngineClient
from dockmux.platform_proxy.load_tracker import LoadTracker
from dockmux.platform_proxy.placement import Placement
from dockmux.platform_proxy.protocol_adapter import EngineEntry, ProtocolAdapter
from dockmux.platform_proxy.request_table import RequestTable
from dockmux.platform_proxy.shutdown import Shutdown
from dockmux.platform_proxy.tracker import Tracker
from dockmux.platform_proxy.verdicts import Verdicts
from dockmux.runtime import metrics
from dockmux.runtime.host import Host
from dockmux.runtime.http_transport import HttpExchange, serve
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import DirectoryAsk, DirectoryReply, NewsAsk, PeerCard, WorkSummary
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.rpc import RpcClient, RpcServer
from dockmux.runtime.served_connections import HeadLimits, ServedConnections
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ZERO, ms, to_ms

PASS = timedelta(milliseconds=50)
TELL = timedelta(milliseconds=200)
TELL_IDLE = timedelta(milliseconds=1000)
# So much more or less to be read anywhere is told at the next pass: within the ordinary wait the others would all
# choose the engine that was idle last.
TELL_AT_ONCE_MS = 60
TELL_TO = 12
DIRECTORY_LIMIT = timedelta(milliseconds=800)


def changes(*, before: dict[str, list[int]], now: dict[str, list[int]]) -> int:
    """By how many ms of reading two summaries differ, over all engines."""
    return sum(abs(now.get(e, [0])[0] - before.get(e, [0])[0]) for e in {*before, *now})


class Edge:
    """Invariant: it is ready while it has a configuration and a list of engines and has not been told to stop."""

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
        self.peers = Peers(host=host, settings=settings, card=card)

    @contextlib.contextmanager
    def running(self) -> Iterator["Edge"]:
        host, settings, deployment = self.host, self.settings, self.deployment
        with (
            host.datagrams(address=settings.address) as port,
            host.listen(address=settings.address) as listener,
            host.listen(address=deployment.front) as front,
            host.listen(address=deployment.ready) as ready,
            RpcClient(host=host) as rpc_client,
            ConnectionPool(host=host) as connection_pool,
            TaskGroup(host=host) as task_group,
        ):
            self.task_group, self.rpc_client, self.connection_pool = task_group, rpc_client, connection_pool
            self.gossip = Gossip(host=host, settings=settings, peers=self.peers, port=port)
            self.tracker = Tracker(host=host, gossip=self.gossip, rpc_client=rpc_client, protocol=self.protocol)
            self.directory = Directory(host=host, deployment=deployment, protocol=self.protocol)
            self.verdicts = Verdicts(host=host)
            self.load_tracker = LoadTracker(host=host)
            self.budget = Budget(deployment=deployment, born=host.elapsed())
            self.placement = Placement(host=host, zone=settings.site, load_tracker=self.load_tracker)
            self.engine_client = EngineClient(host=host, protocol=self.protocol, connection_pool=connection_pool)
            self.dispatcher = Dispatcher(
                host=host, protocol=self.protocol, directory=self.directory, engine_client=self.engine_client,
                load_tracker=self.load_tracker, placement=self.placement, verdicts=self.verdicts, budget=self.budget,
                clock=self.gossip.clock, daemon_count=self.daemons,
            )  # fmt: skip
            self.request_table = RequestTable(
                host=host, protocol=self.protocol, tracker=self.tracker, directory=self.directory,
                dispatcher=self.dispatcher, verdicts=self.verdicts, budget=self.budget,
            )  # fmt: skip
            self.gossip.keeps_works = True
            self.fetching = False
            self.looking: set[str] = set()
            rpc_server = RpcServer(
                host=host,
                listener=listener,
                answers={NewsAsk: self.tracker.on_news, DirectoryAsk: self.on_directory},
            )
            for task in (
                rpc_server.run, self.gossip.run_receiving, self.gossip.run_asking, self.tracker.run, self.run_passes,
                self.run_list,
            ):  # fmt: skip
                task_group.supervise(task=task)
            task_group.supervise(
                task=serve, host=host, listener=front, handler=self.handle_http, connections=self.served
            )
            task_group.supervise(task=serve, host=host, listener=ready, handler=self.handle_readiness)
            host.log(LogEvent.STARTED, role="edge", name=settings.name, address=settings.address)
            yield self

    def drain(self) -> int:
        """Not ready from now on; says how many requests are open, and one more while new ones may still come."""
        now = self.host.elapsed()
        if self.shutdown is None:
            self.shutdown = Shutdown(requested_at=now, ends_at=now + ms(self.settings.drainMs))
            self.request_table.begin_shutdown(shutdown=self.shutdown)
            self.served.closing = True
        if not self.shutdown.admits_all(now=now):
            self.served.close_idle()
        return self.served.busy + self.shutdown.awaits_deregistration(now=now)

    def is_ready(self) -> bool:
        return self.shutdown is None and self.tracker.table is not None and bool(self.directory.rows)

    # HTTP.

    def handle_http(self, exchange: HttpExchange) -> Iterable[bytes]:
        return self.request_table.handle_http(exchange)

    def handle_readiness(self, exchange: HttpExchange) -> Iterable[bytes]:
        if exchange.path == self.protocol.ready_path:
            if self.is_ready():
                return exchange.reply(status=200, fields={"ready": True})
            return exchange.conclude(outcome=Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "see /status"}))
        if exchange.path == "/metrics":
            values = {
                "open": self.request_table.open,
                "ready": self.is_ready(),
                "clock_bound_seconds": self.gossip.clock.bound().total_seconds(),
                "peers": len(self.peers.standing()),
                "engines": len(self.directory.rows),
                "list_age_seconds": min(self.directory.age.total_seconds(), 1e6),
                "connections_made": self.connection_pool.opened,
                "tasks_failed": self.task_group.failed,
            }
            return metrics.page(exchange=exchange, values=values, outcomes=self.request_table.outcomes())
        if exchange.path == "/status":
            return exchange.reply(status=200, fields=self.status())
        return exchange.conclude(outcome=Outcome(kind=OutcomeKind.NOT_FOUND, detail={"path": exchange.path}))

    def status(self) -> dict[str, object]:
        return {
            "name": self.settings.name,
            "ready": self.is_ready(),
            "version": self.tracker.table.version if self.tracker.table else None,
            "engines": len(self.directory.rows),
            "failing": sorted(e for e in self.directory.rows if self.verdicts.failing(engine=e)),
            "list_age_ms": min(to_ms(self.directory.age), 86_400_000),
            "peers": [card.name for card in self.peers.standing()],
            "clock": self.gossip.report(),
        }

    # Together with the other daemons.

    def edges(self) -> list[PeerCard]:
        return [card for card in self.peers.standing() if card.role == "edge"]

    def daemons(self) -> int:
        """How many share what the fleet shares."""
        return len(self.edges()) + 1

    def run_passes(self) -> None:
        told_at, swept_at, last = -TELL_IDLE, ZERO, {}
        while True:
            self.host.sleep(wait=PASS)
            self._hear()
            self._take_limits()
            self.request_table.cancel_expired()
            self.request_table.cancel_disconnected()
            self.request_table.cancel_stalled()
            self._look_at_failing()
            self._forget_memory()
            now = self.host.elapsed()
            summary = self.load_tracker.summary()
            changed = summary != last or bool(self.verdicts.told())
            wait = PASS if changes(before=last, now=summary) >= TELL_AT_ONCE_MS else TELL if changed else TELL_IDLE
            if now - told_at >= wait:
                self._tell(works=summary)
                told_at, last = now, summary
            if now - swept_at >= TELL_IDLE:
                swept_at = now
                self.connection_pool.close_expired()
                self.verdicts.forget(engines=set(self.directory.rows))
                names = {card.name for card in self.edges()}
                self.load_tracker.forget(live=names)
                self.budget.forget(live=names)

    def _take_limits(self) -> None:
        """Clients have the times and sizes of the configuration in force."""
        if self.tracker.table is not None:
            limits = self.tracker.table.limits
            self.served.limits = HeadLimits(size_bytes=limits.header_bytes, span=limits.header, idle=limits.idle)

    def _hear(self) -> None:
        self.gossip.summaries.clear()
        moving, self.gossip.moving[:] = list(self.gossip.moving), []
        for arrived, message in moving:
            self.dispatcher.phase_changes[message.engine] = (message.phase, arrived + ms(message.left_ms))
        heard, self.gossip.works[:] = list(self.gossip.works), []
        for arrived, summary in heard:
            name = summary.sender.name
            self.load_tracker.hear(daemon=name, works=summary.works)
            self.verdicts.hear(told=summary.verdicts)
            self.budget.hear(daemon=name, told=summary.spent)
            wanting = self.directory.hear(
                digest=summary.list_digest, origin=summary.list_origin,
                asked_at=arrived - ms(summary.list_age_ms), delta=summary.list_delta,
            )  # fmt: skip
            if wanting and not self.fetching:
                self.fetching = True
                self.task_group.start(task=self._fetch_list, address=summary.sender.address, digest=summary.list_digest)
            if summary.mark > self.tracker.mark:
                self.task_group.start(task=self.tracker.ask_peer, address=summary.sender.address)

    def _tell(self, *, works: dict[str, list[int]], everyone: bool = False) -> None:
        directory = self.directory
        edges = self.edges()
        known = bool(directory.rows)
        delta = directory.delta if everyone and directory.delta and directory.delta["from"] else None
        summary = WorkSummary(
            sender=self.peers.me(), mark=self.tracker.mark, works=works,
            list_digest=directory.digest if known else "", list_age_ms=min(to_ms(directory.age), 86_400_000),
            list_origin=directory.origin, list_delta=delta, verdicts=self.verdicts.told(),
            spent=self.budget.told(), peers=[],
        )  # fmt: skip
        chosen = edges if everyone else self.host.random.sample(edges, min(TELL_TO, len(edges)))
        addresses = [card.address for card in chosen]
        if self.tracker.head:
            addresses.append(self.tracker.head)
        self.gossip.send_all(addresses=addresses, message=summary)

    # The list of engines.

    def run_list(self) -> None:
        """Asks the platform when it is this daemon's turn, and tells everyone."""
        while True:
            self.host.sleep(wait=PASS * 2)
            names = sorted([card.address for card in self.edges()] + [self.settings.address])
            if self.directory.due(place=names.index(self.settings.address)) and self.directory.refresh():
                self._tell(works=self.load_tracker.summary(), everyone=True)

    def _fetch_list(self, *, address: str, digest: str) -> None:
        try:
            asked = self.host.elapsed()
            reply = self.rpc_client.call(address=address, request=DirectoryAsk(digest=digest), wait=DIRECTORY_LIMIT)
            rows = {fields["engine"]: EngineEntry(**fields) for fields in reply.engines}
            if reply.digest:
                self.directory.take(rows=rows, asked_at=asked - ms(reply.age_ms), origin=reply.origin)
        except OSError:
            return
        finally:
            self.fetching = False

    def on_directory(self, *, request: DirectoryAsk) -> DirectoryReply:
        directory = self.directory
        age_ms = min(to_ms(directory.age), 86_400_000)
        return DirectoryReply(
            digest=directory.digest, origin=directory.origin, age_ms=age_ms, engines=directory.fields()
        )

    # Engines that were found failing, and memory that nobody takes.

    def _look_at_failing(self) -> None:
        for engine in {*self.verdicts.to_look_at(), *self.request_table.silent_engines()}:
            row = self.directory.rows.get(engine)
            if row is not None and engine not in self.looking:
                self.looking.add(engine)
                self.task_group.start(task=self._look_at, engine=row)

    def _look_at(self, *, engine: EngineEntry) -> None:
        try:
            service = self.tracker.table.services.get(engine.service) if self.tracker.table else None
            if service is not None and self.engine_client.is_healthy(engine=engine, path=service.health_path):
                self.verdicts.note_success(engine=engine.engine)
            else:
                self.verdicts.note_failure(engine=engine.engine, why="its health answer is not good")
        finally:
            self.looking.discard(engine.engine)

    def _forget_memory(self) -> None:
        dropped, self.dispatcher.unused_kv_handles[:] = list(self.dispatcher.unused_kv_handles), []
        for kv_handle in dropped:
            self.task_group.start(task=self.engine_client.release_kv_handle, kv_handle=kv_handle)
