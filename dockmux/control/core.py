"""The control daemon of a core machine: view agreement, chain replica, the head's tasks, and the HTTP interface."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from typing import Any

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.clock.peer_table import PeerTable, members_digest
from dockmux.control.chain_replica import ChainReplica
from dockmux.control.engine_scheduler import EngineScheduler
from dockmux.control.joining import Joining
from dockmux.control.replica_store import ReplicaStore
from dockmux.control.view_agreement import ViewAgreement
from dockmux.gossip.usage_gossip import UsageGossip
from dockmux.runtime import metrics, schemas
from dockmux.runtime.bounded_json import MAX_LARGE_VALUES, parse_json
from dockmux.runtime.config_tree import explain, validate
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.host import Host
from dockmux.runtime.http_transport import HttpExchange, serve
from dockmux.runtime.listener import DatagramPort, ListeningPort
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import (
    AcceptAsk,
    Append,
    ConfirmAsk,
    FoundAsk,
    GrantAsk,
    JoinAsk,
    NewsAsk,
    NewsReply,
    PeerCard,
    PromiseAsk,
    ViewNews,
    WriteAsk,
)  # fmt: skip
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.rpc import RpcClient, RpcServer
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import instant_us, ms, to_ms

TIME_SOURCE_WAIT = timedelta(seconds=3)
MAX_NEWS_HOLD = timedelta(seconds=1)
DIGEST_CACHE_TTL = timedelta(milliseconds=100)


class Core:
    """A control daemon.

    Invariants: this daemon is the fleet's time source exactly while it is the head and holds its lease; `digest` is the
    digest of the member list as of `digest_at`.
    """

    def __init__(self, *, host: Host, settings: Settings) -> None:
        self.host = host
        self.settings = settings
        incarnation = f"{host.random.getrandbits(64):016x}"
        card = PeerCard(
            name=settings.name, role="core", site=settings.site, address=settings.address,
            http=settings.http, incarnation=incarnation, ageMs=0,
        )  # fmt: skip
        self.peers = PeerTable(host=host, settings=settings, card=card)
        self.digest, self.digest_at = "", -DIGEST_CACHE_TTL
        # Additional tasks of this daemon; each checks the lease itself.
        self.extra_tasks: list[Callable[[], None]] = []
        # Handles operators' requests; replaced where operators use an interface other than this product's own.
        self.operator_api: Callable[[HttpExchange], Iterable[bytes]] = self.handle_http

    @contextlib.contextmanager
    def running(self) -> Iterator["Core"]:
        host, settings = self.host, self.settings
        claim_retention = timedelta(hours=settings.claimKeepHours)
        self.store = ReplicaStore(
            host=host, folder=host.folder, claim_retention=claim_retention, may_found=settings.may_found
        )
        self.store.open()
        self.peers.card = dataclasses.replace(self.peers.card, disk=self.store.disk)
        with (
            DatagramPort(host=host, address=settings.address) as port,
            ListeningPort(host=host, address=settings.address) as listener,
            ListeningPort(host=host, address=settings.http) as web_listener,
            RpcClient(host=host) as rpc_client,
            EngineConnectionPool(host=host) as connection_pool,
            TaskGroup(host=host) as task_group,
        ):
            self.task_group, self.rpc_client = task_group, rpc_client
            self.ports = (port, listener, web_listener)
            self.gossip = GossipEndpoint(host=host, settings=settings, peers=self.peers, port=port)
            self.agreement = ViewAgreement(
                host=host,
                settings=settings,
                store=self.store,
                peers=self.peers,
                rpc_client=rpc_client,
                task_group=task_group,
            )
            self.chain = ChainReplica(
                host=host, settings=settings, store=self.store, agreement=self.agreement,
                gossip=self.gossip, rpc_client=rpc_client,
            )  # fmt: skip
            agreement, chain = self.agreement, self.chain
            joining = self.joining = Joining(
                host=host, store=self.store, agreement=agreement, chain=chain, rpc_client=rpc_client
            )
            self.usage_gossip = UsageGossip(
                host=host, settings=settings, gossip=self.gossip, task_group=task_group, engine_list=chain.state
            )
            scheduler = EngineScheduler(
                host=host,
                agreement=agreement,
                connection_pool=connection_pool,
                chain=chain,
                table=self.usage_gossip.table,
            )
            rpc_server = RpcServer(
                host=host,
                listener=listener,
                handlers={
                    FoundAsk: agreement.on_found,
                    PromiseAsk: agreement.on_promise,
                    AcceptAsk: agreement.on_accept,
                    GrantAsk: agreement.on_grant,
                    ViewNews: agreement.on_view_news,
                    Append: chain.on_append,
                    ConfirmAsk: chain.on_confirm,
                    JoinAsk: joining.on_join,
                    WriteAsk: chain.on_write,
                    NewsAsk: self.on_news,
                },
            )
            for task in (
                rpc_server.run, self.gossip.run_receiving, self.gossip.run_clock_exchanges, agreement.run_lease_renewal,
                agreement.run_repair, chain.run_head, chain.run_confirmation, joining.run, chain.run_maintenance,
                self.usage_gossip.run, self.run_time_source, scheduler.run,
            ):  # fmt: skip
                task_group.supervise(task=task)
            for extra_task in self.extra_tasks:
                task_group.supervise(task=extra_task)
            task_group.start(task=agreement.run_founding)
            task_group.supervise(task=serve, host=host, listener=web_listener, handler=self.operator_api)
            host.log(LogEvent.STARTED, role="core", name=settings.name, address=settings.address)
            yield self

    def drain(self) -> int:
        """Starts leaving the chain. Returns how many things the stop still has to wait for, 0 when it may stop."""
        if not self.agreement.leaving:
            self.agreement.leaving = True
            self.host.log(LogEvent.CORE_LEAVING, mark=self.chain.synced_index)
        return self.agreement.must_delay_stop() + self.chain.open_writes

    # Tasks of the head, under its lease.

    def run_time_source(self) -> None:
        """Makes this daemon the time source while it is the head, and ends that when it no longer is. A daemon whose
        clock is not synchronized first waits up to `TIME_SOURCE_WAIT` for the time of another."""
        waiting_since: timedelta | None = None
        while True:
            self.host.sleep(wait=ms(100))
            clock = self.gossip.clock
            if not (self.agreement.is_head() and self.agreement.holds_lease()):
                waiting_since = None
                if clock.hops == 0:
                    clock.stop_being_source()
                    self.host.log(LogEvent.TIME_SOURCE_STOPPED)
                continue
            mark = self.agreement.view.number
            if clock.hops == 0 and clock.source_mark == mark:
                continue
            waiting_since = self.host.elapsed() if waiting_since is None else waiting_since
            waited = self.host.elapsed() - waiting_since
            if not clock.synchronized and waited < TIME_SOURCE_WAIT and not self.gossip.all_peers_unsynchronized():
                continue  # Another daemon may still have the time; two sources under one mark would disagree.
            clock.become_source(mark=mark, not_before=self.chain.tentative.latest_time())
            self.host.log(LogEvent.TIME_SOURCE_STARTED, mark=mark)

    # Updates for data daemons.

    def _members(self) -> list[PeerCard]:
        cores = [card for card in self.peers.live_cards_with_age() if card.role == "core"]
        return [*self.chain.sessions.active(), *cores, self.peers.own_card()]

    def _members_digest(self) -> str:
        """Cached for `DIGEST_CACHE_TTL`, because every member asks for it."""
        now = self.host.elapsed()
        if now - self.digest_at >= DIGEST_CACHE_TTL:
            self.digest, self.digest_at = members_digest(cards=self._members()), now
        return self.digest

    def on_news(self, *, request: NewsAsk) -> NewsReply:
        """Renews the session of a data daemon and answers with the changes after its mark; holds the request for up to
        `MAX_NEWS_HOLD` while there are none (long poll)."""
        self.chain.sessions.renew(card=request.sender)
        if self.chain.state.news_mark <= request.mark:
            self.chain.news_changed.wait(wait=min(ms(request.holdMs), MAX_NEWS_HOLD))
        return self._news(request=request)

    def _news(self, *, request: NewsAsk) -> NewsReply:
        state, since = self.chain.state, request.mark
        digest = self._members_digest() if request.members else ""
        members = []
        if digest != request.members:
            members = self._members()
            digest = members_digest(cards=members)
        age = self.chain.staleness()
        config = state.config
        held = self.host.elapsed() - self.chain.config_known_since[config.mark] if config else ms(0)
        return NewsReply(
            granted=age < self.agreement.lease_duration,
            mark=state.news_mark,
            ageMs=min(to_ms(age), 86_400_000),
            heldMs=held // ms(1),
            news=state.news(since=since, newest=request.newest) if state.news_mark > since else None,
            members=members,
            members_digest=digest,
            head=self._head_address() if request.members else "",
        )

    def _head_address(self) -> str:
        view = self.agreement.view
        if view is None:
            return ""
        return self.settings.address if self.agreement.is_head() else self.agreement.address(disk=view.chain[0]) or ""

    # HTTP for operators and the platform.

    def handle_http(self, exchange: HttpExchange) -> list[bytes]:
        method, path = exchange.method, exchange.path
        if path == "/config" and method == "PUT":
            return exchange.respond(outcome=self._put_config(exchange=exchange))
        if path == "/engines" and method == "PUT":
            return exchange.respond(outcome=self._put_engines(exchange=exchange))
        if path == "/metrics" and method == "GET":
            return metrics.page(exchange=exchange, values=self._values(), outcomes={})
        if path not in ("/config", "/engines", "/status", "/clock", "/history") and not path.startswith(
            ("/config/", "/explain/")
        ):
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.NOT_FOUND, detail={"path": path}))
        if method != "GET":
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.BAD_METHOD, detail={"method": method}))
        if path == "/clock":
            return exchange.reply(status=200, fields=self.gossip.report())
        if path == "/status":
            return exchange.reply(status=200, fields=self.status())
        if not self.chain.confirm_read():
            why = {"why": "the tail did not confirm under its permit"}
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.NO_MAJORITY, detail=why))
        return self._read(exchange=exchange)

    def _read(self, *, exchange: HttpExchange) -> list[bytes]:
        state, path = self.chain.state, exchange.path
        if path == "/engines":
            return exchange.reply(status=200, fields={"mark": state.engines_mark, "engines": state.engines})
        if path == "/history":
            rows = [
                {"mark": c.mark, "activate": c.activate.isoformat(), "lanes": len(c.tree["lanes"])}
                for c in state.configs
            ]
            return exchange.reply(status=200, fields={"configs": rows})
        if path == "/config" and state.config is None:
            return exchange.reply(status=200, fields={"mark": 0, "tree": None, "activate": None})
        if path.startswith("/explain/"):
            site = exchange.environ.get("QUERY_STRING", "").removeprefix("site=")
            explained = explain(tree=state.config.tree, lane=path[9:], site=site) if state.config else None
            if explained is None:
                return exchange.respond(outcome=Outcome(kind=OutcomeKind.UNKNOWN_LANE, detail={"lane": path[9:]}))
            return exchange.reply(status=200, fields={"mark": state.config.mark, "lane": path[9:], "values": explained})
        wanted = path[8:] or str(state.config.mark)
        for config in state.configs:
            if str(config.mark) == wanted:
                fields = {"mark": config.mark, "tree": config.tree, "activate": config.activate.isoformat()}
                return exchange.reply(status=200, fields=fields, headers=[("ETag", f'"{config.mark}"')])
        return exchange.respond(outcome=Outcome(kind=OutcomeKind.NOT_FOUND, detail={"mark": wanted}))

    def _body(self, *, exchange: HttpExchange) -> Any:
        if exchange.content_type != "application/json":
            return Outcome(
                kind=OutcomeKind.BAD_TYPE, detail={"found": exchange.content_type, "allowed": "application/json"}
            )
        data = exchange.body(limit_bytes=self.settings.bodyLimitKb * 1024)
        if data is None:
            return Outcome(kind=OutcomeKind.TOO_LARGE, detail={"limitKb": self.settings.bodyLimitKb})
        try:
            return parse_json(data=data, max_values=MAX_LARGE_VALUES)
        except ValueError as error:
            return Outcome(kind=OutcomeKind.BAD_JSON, detail={"why": str(error)})

    def _based_on(self, *, exchange: HttpExchange) -> int | None:
        text = exchange.header(name="If-Match").strip().strip('"')
        return int(text) if text.isdigit() else None

    def _put_config(self, *, exchange: HttpExchange) -> Outcome:
        tree = self._body(exchange=exchange)
        if isinstance(tree, Outcome):
            return tree
        if not exchange.header(name="If-Match"):
            return Outcome(
                kind=OutcomeKind.MARK_MISSING, detail={"why": "send If-Match with the mark you started from"}
            )
        errors = validate(tree=tree)
        if errors:
            return Outcome(kind=OutcomeKind.INVALID, detail={"errors": errors})
        based_on = self._based_on(exchange=exchange)
        return self.chain.write(change={"kind": "config", "tree": tree, "based_on": based_on})

    def _put_engines(self, *, exchange: HttpExchange) -> Outcome:
        listed = self._body(exchange=exchange)
        if isinstance(listed, Outcome):
            return listed
        errors = schemas.errors(name="engines", value=listed)
        if not errors:
            names = [engine["engine"] for engine in listed["engines"]]
            errors = [
                {"path": f"$.engines[{place}].engine", "error": f"{name!r} is listed twice"}
                for place, name in enumerate(names)
                if name in names[:place]
            ]
        if errors:
            return Outcome(kind=OutcomeKind.INVALID, detail={"errors": errors})
        change = {"kind": "engines", "engines": listed["engines"]}
        if exchange.header(name="If-Match"):
            change["based_on"] = self._based_on(exchange=exchange)
        return self.chain.write(change=change)

    def _values(self) -> dict[str, float]:
        status = self.status()
        counts = {
            "chain": len(status["chain"]), "members": len(status["members"]),
            "ports_missing": len(status["ports_missing"]),
        }  # fmt: skip
        copied = ("permit", "ailing", "mark", "synced", "config", "engines", "claims", "tasks_failed")
        bound = {"clock_bound_seconds": self.gossip.clock.bound().total_seconds()}
        return {"view": status["view"] or 0, **{key: status[key] for key in copied}, **counts, **bound}

    def status(self) -> dict[str, Any]:
        agreement, chain = self.agreement, self.chain
        view = agreement.view
        names = {card.disk: card.name for card in agreement.core_cards()} | {agreement.own_disk: self.settings.name}
        config = chain.state.config
        return {
            "name": self.settings.name,
            "disk": agreement.own_disk,
            "view": view.number if view else None,
            "chain": [names.get(disk, disk) for disk in view.chain] if view else [],
            "voters": [names.get(disk, disk) for disk in view.voters] if view else [],
            "permit": agreement.holds_lease(),
            "ailing": agreement.disk_failed,
            "leaving": agreement.leaving,
            "mark": chain.state.mark,
            "synced": chain.synced_index,
            "ageMs": min(to_ms(chain.staleness()), 86_400_000),
            "config": config.mark if config else 0,
            "versions": len(chain.state.versions),
            "config_active": bool(config and config.activate <= self.gossip.clock.now()),
            "engines": len(chain.state.engines),
            "claims": len(chain.state.claims),
            "members": [
                {
                    "name": card.name,
                    "role": card.role,
                    "site": card.site,
                    "http": card.http,
                    "ageMs": card.ageMs,
                }
                for card in chain.sessions.active()
            ],
            "tasks_failed": self.task_group.failed,
            "ports_missing": [bound.address for bound in self.ports if not bound.is_bound],
            "timeUs": instant_us(self.gossip.clock.now()),
        }
