"""One edge machine's daemon: user agents' streams in, engines' streams out."""

import contextlib
import json
import re
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.clock.peer_table import PeerTable
from dockmux.gossip.usage_gossip import UsageGossip
from dockmux.native_proxy.follower import Follower
from dockmux.native_proxy.request_record import RequestRecord, Step, not_refused
from dockmux.native_proxy.stages import BUCKETS
from dockmux.native_proxy.table import Table
from dockmux.runtime import metrics, schemas
from dockmux.runtime.config import Config
from dockmux.runtime.config_tree import resolve
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.host import Host
from dockmux.runtime.http_transport import HttpClientConnection, HttpExchange, serve
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import NewsAsk, PeerCard
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.rpc import RpcClient, RpcServer
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ms

IDENTITY = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
# While a stream has nothing to give, so often it is looked whether its user agent is still there.
LOOK_AT_CLIENT = timedelta(milliseconds=200)
SWITCH_LIMIT = timedelta(milliseconds=800)
ATTACH_LIMIT = timedelta(seconds=2)


class UserAgentLeft(OSError):
    """Nobody reads the stream any more."""


class Edge:
    """Invariant: a request that is refused here has no record that could still be sent."""

    def __init__(self, *, host: Host, settings: Settings) -> None:
        self.host = host
        self.settings = settings
        self.incarnation = f"{host.random.getrandbits(64):016x}"
        card = PeerCard(
            name=settings.name, role="edge", site=settings.site, address=settings.address,
            http=settings.http, incarnation=self.incarnation, ageMs=0,
        )  # fmt: skip
        self.peers = PeerTable(host=host, settings=settings, card=card)
        self.holder = f"{settings.http} {self.incarnation}"
        self.draining = False

    @contextlib.contextmanager
    def running(self) -> Iterator["Edge"]:
        host, settings = self.host, self.settings
        with (
            host.open_datagram_socket(address=settings.address) as port,
            host.listen(address=settings.address) as listener,
            host.listen(address=settings.http) as web_listener,
            RpcClient(host=host) as rpc_client,
            EngineConnectionPool(host=host) as connection_pool,
            TaskGroup(host=host) as task_group,
        ):
            self.task_group = task_group
            self.gossip = GossipEndpoint(host=host, settings=settings, peers=self.peers, port=port)
            self.follower = Follower(host=host, settings=settings, gossip=self.gossip, rpc_client=rpc_client)
            self.usage_gossip = UsageGossip(
                host=host,
                settings=settings,
                gossip=self.gossip,
                task_group=task_group,
                connection_pool=connection_pool,
                engine_list=self.follower,
            )
            self.table = Table(
                host=host, settings=settings, gossip=self.gossip, follower=self.follower,
                usage_gossip=self.usage_gossip, connection_pool=connection_pool, rpc_client=rpc_client,
                task_group=task_group, holder=self.holder,
            )  # fmt: skip
            rpc_server = RpcServer(host=host, listener=listener, handlers={NewsAsk: self.follower.on_news})
            for task in (
                rpc_server.run, self.gossip.run_receiving, self.gossip.run_clock_exchanges, self.follower.run,
                self.usage_gossip.run, self.table.run,
            ):  # fmt: skip
                task_group.supervise(task=task)
            task_group.supervise(task=serve, host=host, listener=web_listener, handler=self.handle_http)
            host.log(LogEvent.STARTED, role="edge", name=settings.name, address=settings.address)
            yield self

    def drain(self) -> int:
        """Takes on nothing more; says how many requests are still open."""
        self.draining = True
        return self.table.open

    # HTTP.

    def handle_http(self, exchange: HttpExchange) -> Iterable[bytes]:
        if exchange.path.startswith("/lanes/"):
            if exchange.method != "POST":
                return exchange.respond(
                    outcome=Outcome(kind=OutcomeKind.BAD_METHOD, detail={"method": exchange.method})
                )
            return self._lane(exchange=exchange, lane=exchange.path[7:])
        if exchange.method == "GET" and exchange.path == "/clock":
            return exchange.reply(status=200, fields=self.gossip.report())
        if exchange.method == "GET" and exchange.path == "/metrics":
            values = {
                "open": self.table.open,
                "ready": self.follower.current() is not None,
                "permitted": self.follower.permitted(),
                "clock_bound_seconds": self.gossip.clock.bound().total_seconds(),
                "peers": len(self.peers.live_cards()),
                "tasks_failed": self.task_group.failed,
            }
            staged = self.table.stages()
            ends = [end.total_seconds() for end in BUCKETS]
            histograms = {
                stage: metrics.StageHistogram(
                    upper_bounds=ends, counts=counts, total=staged.total[stage].total_seconds()
                )
                for stage, counts in staged.counts.items()
            }
            return metrics.page(exchange=exchange, values=values, outcomes=self.table.outcomes(), histograms=histograms)
        if exchange.method == "GET" and exchange.path == "/status":
            return exchange.reply(status=200, fields=self.status())
        return exchange.respond(outcome=Outcome(kind=OutcomeKind.NOT_FOUND, detail={"path": exchange.path}))

    def _lane(self, *, exchange: HttpExchange, lane: str) -> Iterable[bytes]:
        body = self._body(exchange=exchange)
        if isinstance(body, Outcome):
            return exchange.respond(outcome=body)
        named = exchange.header(name="Idempotency-Key")
        identity = named or f"{self.host.random.getrandbits(128):032x}"
        attempt = exchange.header(name="Dockmux-Attempt")
        repeat = bool(named) and attempt != "1"
        first = exchange.header(name="Dockmux-Resume-From") or "0"
        wrong = []
        if not IDENTITY.match(identity):
            wrong.append({"path": "Idempotency-Key", "error": f"allowed: {IDENTITY.pattern}"})
        if not first.isdigit() or int(first) > 10_000:
            wrong.append({"path": "Dockmux-Resume-From", "error": "allowed: a whole number up to 10000"})
        if attempt and not attempt.isdigit():
            wrong.append({"path": "Dockmux-Attempt", "error": "allowed: a whole number, 1 for the first"})
        if wrong:
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.BAD_FIELD, detail={"errors": wrong}))
        config = Outcome(kind=OutcomeKind.DRAINING) if self.draining else self._config()
        if isinstance(config, Outcome):
            return exchange.respond(outcome=not_refused(outcome=config) if repeat else config)
        values = resolve(tree=config.tree, lane=lane, site=self.settings.site)
        if values is None:
            gone = Outcome(kind=OutcomeKind.UNKNOWN_LANE, detail={"lane": lane})
            known = any(lane in config.tree["lanes"] for config in self.follower.configs)
            return exchange.respond(outcome=not_refused(outcome=gone) if repeat and known else gone)
        if int(first) and values["run"] != "resumable":
            why = "this lane's streams are not resumable: begin anew"
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.CHANGED, detail={"why": why}))
        record = self._record(
            lane=lane, identity=identity, repeat=repeat, body=body, config=config, values=values, first=int(first),
            resumed=exchange.header(name="Dockmux-Resume-Of"),
        )  # fmt: skip
        if isinstance(record, Outcome):
            told = record if record.kind is OutcomeKind.BAD_IDENTITY or not repeat else not_refused(outcome=record)
            return exchange.respond(outcome=told)
        attached = bool(exchange.header(name="Dockmux-Attach"))
        return self._stream(exchange=exchange, record=record, first=int(first), attached=attached)

    def _body(self, *, exchange: HttpExchange) -> dict[str, Any] | Outcome:
        if exchange.content_type != "application/json":
            allowed = {"found": exchange.content_type, "allowed": "application/json"}
            return Outcome(kind=OutcomeKind.BAD_TYPE, detail=allowed)
        data = exchange.body(limit_bytes=self.settings.bodyLimitKb * 1024)
        if data is None:
            return Outcome(kind=OutcomeKind.TOO_LARGE, detail={"limitKb": self.settings.bodyLimitKb})
        try:
            body = json.loads(data)
        except ValueError as error:
            return Outcome(kind=OutcomeKind.BAD_JSON, detail={"why": str(error)})
        wrong = schemas.errors(name="request", value=body)
        return Outcome(kind=OutcomeKind.BAD_FIELD, detail={"errors": wrong}) if wrong else body

    def _config(self) -> Config | Outcome:
        """The configuration in use; waits out the short time between one and the next."""
        limit = self.host.elapsed() + SWITCH_LIMIT
        while True:
            config = self.follower.current()
            if config is not None:
                return config
            if not self.gossip.ready():
                return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "the clock is not synchronized"})
            if not self.follower.permitted():
                return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "no fresh news from the control plane"})
            if not self.follower.configs:
                return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "no configuration yet"})
            if self.host.elapsed() >= limit:
                return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "a configuration is being taken up"})
            self.host.sleep(wait=ms(10))

    def _record(
        self,
        *,
        lane: str,
        identity: str,
        repeat: bool,
        body: dict[str, Any],
        config: Config,
        values: dict[str, Any],
        first: int,
        resumed: str,
    ) -> RequestRecord | Outcome:
        """The request's record: the one that it has already, or a new one."""
        leftMs = min(values["horizonMs"], body.get("horizonMs", values["horizonMs"]))
        fresh = RequestRecord(
            lane=lane, identity=identity, repeat=repeat, body=body, arrived=self.host.elapsed(),
            horizon=self.gossip.clock.issue_time() + ms(leftMs), mark=config.mark, values=values, first_piece=first,
        )  # fmt: skip
        known = self.table.records.get(fresh.key)
        if known is not None:
            if known.body_digest != fresh.body_digest:
                return Outcome(kind=OutcomeKind.BAD_IDENTITY, detail={"why": "this identity came with another body"})
            usable = known.outcome is None or known.outcome.kind is OutcomeKind.ANSWERED or (known.once and known.sent)
            if usable and first >= known.first_piece and (not first or resumed == known.answer):
                return known
            if known.outcome is None:
                return Outcome(
                    kind=OutcomeKind.BUSY, detail={"why": "this identity is being answered from a later piece"}
                )
            fresh.claimed = known.claimed
            fresh.unsent_before = known.once and not known.sent
            fresh.repeat = repeat or known.sent
        if first and resumed != fresh.answer:
            why = "Dockmux-Resume-Of does not name the answer that would be given now: begin anew"
            return Outcome(kind=OutcomeKind.CHANGED, detail={"why": why})
        if self.table.open >= self.settings.record_limit:
            return Outcome(kind=OutcomeKind.BUSY, detail={"why": "too many requests are open here"})
        if not any(
            engine["service"] == values["service"] and self.usage_gossip.table.recent(engine=engine["engine"])
            for engine in self.follower.engines
        ):
            return Outcome(kind=OutcomeKind.NO_ENGINE, detail={"service": values["service"]})
        if fresh.once and not fresh.claimed:
            fresh.step = Step.CLAIM
        self.table.add(record=fresh)
        return fresh

    # Streams to user agents.

    def _stream(self, *, exchange: HttpExchange, record: RequestRecord, first: int, attached: bool) -> Iterator[bytes]:
        """Gives the pieces as they come, then the one line that says how it ended."""
        begun = False
        given = first
        record.readers += 1
        try:
            while True:
                while given - record.first_piece < len(record.pieces):
                    text, stampUs = record.pieces[given - record.first_piece]
                    if not begun:
                        begun = True
                        self._begin(exchange=exchange, record=record)
                    told = {"request": record.identity, "n": given, "text": text, "stampUs": stampUs}
                    yield json.dumps(told).encode() + b"\n"
                    given += 1
                if record.outcome is not None:
                    break
                record.news.wait(wait=LOOK_AT_CLIENT)
                if self.host.closed_by_peer(socks=[exchange.connection]):
                    raise UserAgentLeft("its user agent has closed the connection")
            if record.outcome.kind is OutcomeKind.CLAIMED:
                yield from self._attach(exchange=exchange, record=record, first=first, attached=attached)
            elif not begun and record.outcome.kind is not OutcomeKind.ANSWERED:
                yield from exchange.respond(outcome=record.outcome)
            else:
                if not begun:
                    self._begin(exchange=exchange, record=record)
                yield self._last_line(record=record, first=first, given=given)
        finally:
            record.readers -= 1

    def _begin(self, *, exchange: HttpExchange, record: RequestRecord) -> None:
        headers = [("Content-Type", "application/x-ndjson"), ("Dockmux-Request", record.identity)]
        headers.append(("Dockmux-Answer", record.answer))
        exchange.begin(status=200, headers=headers)

    def _last_line(self, *, record: RequestRecord, first: int, given: int) -> bytes:
        outcome = record.outcome
        told: dict[str, Any] = {"request": record.identity, "outcome": outcome.kind.value, "count": given}
        if outcome.kind is OutcomeKind.ANSWERED:
            told |= {"complete": True, "first": first, "digest": record.digest(first=first)}
        else:
            told |= {"complete": False, "retryMs": outcome.retry_ms, **outcome.detail}
        return json.dumps(told).encode() + b"\n"

    def _attach(self, *, exchange: HttpExchange, record: RequestRecord, first: int, attached: bool) -> Iterator[bytes]:
        """The request was claimed before: its run, or its outcome, is with the daemon that holds the claim."""
        holder = record.outcome.detail["holder"]
        self.table.records.pop(record.key, None)
        unknown = Outcome(kind=OutcomeKind.UNKNOWN, detail=TAKEN_BEFORE)
        address = holder.partition(" ")[0]
        if attached or holder == self.holder or address == self.settings.http:
            yield from exchange.respond(outcome=unknown)
            return
        begun = False
        try:
            with HttpClientConnection(host=self.host, address=address, wait=ATTACH_LIMIT) as stream:
                stream.connect()
                stream.timeout = max((record.horizon - self.gossip.clock.issue_time()).total_seconds(), 0.1)
                headers = {"Idempotency-Key": record.identity, "Dockmux-Attach": "1"}
                response = stream.call(method="POST", path=f"/lanes/{record.lane}", fields=record.body, headers=headers)
                if response.status != 200:
                    told = json.loads(response.read())
                    kind = OutcomeKind(told.pop("outcome"))
                    outcome = Outcome(kind=kind, detail=told) if kind in ATTACH_KINDS else unknown
                    yield from exchange.respond(outcome=outcome)
                    return
                for line in response:
                    if not begun:
                        self._begin(exchange=exchange, record=record)
                        begun = True
                    yield line if line.endswith(b"\n") else line + b"\n"
        except (OSError, urllib3.exceptions.HTTPError, ValueError, KeyError):
            if begun:
                raise  # The stream breaks off without its last line.
            yield from exchange.respond(outcome=unknown)

    def status(self) -> dict[str, Any]:
        config = self.follower.current()
        open_by_step: dict[str, int] = {}
        for record in self.table.records.values():
            if record.outcome is None:
                open_by_step[record.step.value] = open_by_step.get(record.step.value, 0) + 1
        return {
            "name": self.settings.name,
            "draining": self.draining,
            "ready": config is not None,
            "config": config.mark if config else None,
            "newest": self.follower.configs[-1].mark if self.follower.configs else 0,
            "permitted": self.follower.permitted(),
            "clock_ready": self.gossip.ready(),
            "open": self.table.open,
            "steps": open_by_step,
            "engines": [
                {
                    "engine": usage.engine, "phase": usage.phase, "running": usage.running,
                    "queued": usage.queued, "leaving": usage.leaving, "reachable": usage.reachable,
                    "ageMs": usage.ageMs,
                }
                for usage in self.usage_gossip.table.summary()
            ],
            "tasks_failed": self.task_group.failed,
        }  # fmt: skip


TAKEN_BEFORE = {"why": "it was taken on before; what became of it is not known"}
# What a holder may say of a claimed request that a repeat is given as its outcome; all else is not known.
ATTACH_KINDS = {OutcomeKind.FAILED, OutcomeKind.UNKNOWN, OutcomeKind.BAD_IDENTITY}
