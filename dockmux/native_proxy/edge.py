"""Daemon of an edge machine: serves clients over HTTP and relays their requests to engines."""

import contextlib
import json
import re
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Any

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.clock.peer_table import PeerTable
from dockmux.gossip.usage_gossip import UsageGossip
from dockmux.native_proxy.config_subscription import ConfigSubscription
from dockmux.native_proxy.request_record import RequestRecord, Step, refusal_as_unknown
from dockmux.native_proxy.request_table import RequestTable
from dockmux.native_proxy.stage_durations import BUCKET_BOUNDS
from dockmux.runtime import metrics, schemas
from dockmux.runtime.bounded_json import parse_json
from dockmux.runtime.config import Config
from dockmux.runtime.config_tree import resolve
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.host import Host
from dockmux.runtime.http_client import HttpClientConnection
from dockmux.runtime.http_response import WIRE_ERRORS
from dockmux.runtime.http_transport import HttpExchange, serve
from dockmux.runtime.listener import DatagramPort, ListeningPort
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import NewsAsk, PeerCard
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.rpc import RpcClient, RpcServer
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ms

IDENTITY_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
# How often a stream without new pieces checks whether its client is still connected.
CLIENT_CHECK_INTERVAL = timedelta(milliseconds=200)
CONFIG_SWITCH_TIMEOUT = timedelta(milliseconds=800)
ATTACH_TIMEOUT = timedelta(seconds=2)


class ClientDisconnected(OSError):
    """The client has closed the connection of its stream."""


class Edge:
    """Invariant: a refused request has no record that could still be sent."""

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
        """Runs the daemon's sockets and tasks for the length of the context."""
        host, settings = self.host, self.settings
        with (
            DatagramPort(host=host, address=settings.address) as port,
            ListeningPort(host=host, address=settings.address) as listener,
            ListeningPort(host=host, address=settings.http) as http_listener,
            RpcClient(host=host) as rpc_client,
            EngineConnectionPool(host=host) as connection_pool,
            TaskGroup(host=host) as task_group,
        ):
            self.task_group = task_group
            self.gossip = GossipEndpoint(host=host, settings=settings, peers=self.peers, port=port)
            self.config_subscription = ConfigSubscription(
                host=host, settings=settings, gossip=self.gossip, rpc_client=rpc_client
            )
            self.usage_gossip = UsageGossip(
                host=host,
                settings=settings,
                gossip=self.gossip,
                task_group=task_group,
                connection_pool=connection_pool,
                engine_list=self.config_subscription,
            )
            self.table = RequestTable(
                host=host, settings=settings, gossip=self.gossip, config_subscription=self.config_subscription,
                usage_gossip=self.usage_gossip, connection_pool=connection_pool, rpc_client=rpc_client,
                task_group=task_group, holder=self.holder,
            )  # fmt: skip
            rpc_server = RpcServer(
                host=host, listener=listener, handlers={NewsAsk: self.config_subscription.answer_news}
            )
            for task in (
                rpc_server.run, self.gossip.run_receiving, self.gossip.run_clock_exchanges,
                self.config_subscription.run, self.usage_gossip.run, self.table.run,
            ):  # fmt: skip
                task_group.supervise(task=task)
            task_group.supervise(task=serve, host=host, listener=http_listener, handler=self.handle_http)
            host.log(LogEvent.STARTED, role="edge", name=settings.name, address=settings.address)
            yield self

    def drain(self) -> int:
        """Stops admitting requests; returns the number of open ones."""
        self.draining = True
        return self.table.open

    # HTTP.

    def handle_http(self, exchange: HttpExchange) -> Iterable[bytes]:
        """Dispatches a request by path."""
        if exchange.path.startswith("/lanes/"):
            if exchange.method != "POST":
                return exchange.respond(
                    outcome=Outcome(kind=OutcomeKind.BAD_METHOD, detail={"method": exchange.method})
                )
            return self._handle_lane_request(exchange=exchange, lane=exchange.path[7:])
        if exchange.method == "GET" and exchange.path == "/clock":
            return exchange.reply(status=200, fields=self.gossip.report())
        if exchange.method == "GET" and exchange.path == "/metrics":
            values = {
                "open": self.table.open,
                "ready": self.config_subscription.current_config() is not None,
                "permitted": self.config_subscription.lease_valid(),
                "clock_bound_seconds": self.gossip.clock.bound().total_seconds(),
                "peers": len(self.peers.live_cards()),
                "tasks_failed": self.task_group.failed,
            }
            durations = self.table.stages()
            ends = [end.total_seconds() for end in BUCKET_BOUNDS]
            histograms = {
                stage: metrics.StageHistogram(
                    upper_bounds=ends, counts=counts, total=durations.total[stage].total_seconds()
                )
                for stage, counts in durations.counts.items()
            }
            return metrics.page(exchange=exchange, values=values, outcomes=self.table.outcomes(), histograms=histograms)
        if exchange.method == "GET" and exchange.path == "/status":
            return exchange.reply(status=200, fields=self.status())
        return exchange.respond(outcome=Outcome(kind=OutcomeKind.NOT_FOUND, detail={"path": exchange.path}))

    def _handle_lane_request(self, *, exchange: HttpExchange, lane: str) -> Iterable[bytes]:
        """Validates and admits a request to a lane, or answers with the outcome of its refusal."""
        body = self._parse_body(exchange=exchange)
        if isinstance(body, Outcome):
            return exchange.respond(outcome=body)
        given_identity = exchange.header(name="Idempotency-Key")
        identity = given_identity or f"{self.host.random.getrandbits(128):032x}"
        attempt = exchange.header(name="Dockmux-Attempt")
        may_be_repeat = bool(given_identity) and attempt != "1"
        first = exchange.header(name="Dockmux-Resume-From") or "0"
        errors = []
        if not IDENTITY_PATTERN.match(identity):
            errors.append({"path": "Idempotency-Key", "error": f"allowed: {IDENTITY_PATTERN.pattern}"})
        if not first.isdigit() or int(first) > 10_000:
            errors.append({"path": "Dockmux-Resume-From", "error": "allowed: a whole number up to 10000"})
        if attempt and not attempt.isdigit():
            errors.append({"path": "Dockmux-Attempt", "error": "allowed: a whole number, 1 for the first"})
        if errors:
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.BAD_FIELD, detail={"errors": errors}))
        config = Outcome(kind=OutcomeKind.DRAINING) if self.draining else self._wait_for_config()
        if isinstance(config, Outcome):
            return exchange.respond(outcome=refusal_as_unknown(outcome=config) if may_be_repeat else config)
        values = resolve(tree=config.tree, lane=lane, site=self.settings.site)
        if values is None:
            unknown_lane = Outcome(kind=OutcomeKind.UNKNOWN_LANE, detail={"lane": lane})
            known = any(lane in config.tree["lanes"] for config in self.config_subscription.configs)
            return exchange.respond(
                outcome=refusal_as_unknown(outcome=unknown_lane) if may_be_repeat and known else unknown_lane
            )
        if int(first) and values["run"] != "resumable":
            why = "this lane's streams are not resumable: begin anew"
            return exchange.respond(outcome=Outcome(kind=OutcomeKind.CHANGED, detail={"why": why}))
        record = self._find_or_create_record(
            lane=lane, identity=identity, may_be_repeat=may_be_repeat, body=body, config=config, values=values,
            first=int(first), resumed=exchange.header(name="Dockmux-Resume-Of"),
        )  # fmt: skip
        if isinstance(record, Outcome):
            outcome = (
                record
                if record.kind is OutcomeKind.BAD_IDENTITY or not may_be_repeat
                else refusal_as_unknown(outcome=record)
            )
            return exchange.respond(outcome=outcome)
        attached = bool(exchange.header(name="Dockmux-Attach"))
        return self._stream_answer(exchange=exchange, record=record, first=int(first), attached=attached)

    def _parse_body(self, *, exchange: HttpExchange) -> dict[str, Any] | Outcome:
        """The request's body, or the outcome for an invalid one."""
        if exchange.content_type != "application/json":
            allowed = {"found": exchange.content_type, "allowed": "application/json"}
            return Outcome(kind=OutcomeKind.BAD_TYPE, detail=allowed)
        data = exchange.body(limit_bytes=self.settings.bodyLimitKb * 1024)
        if data is None:
            return Outcome(kind=OutcomeKind.TOO_LARGE, detail={"limitKb": self.settings.bodyLimitKb})
        try:
            body = parse_json(data=data)
        except ValueError as error:
            return Outcome(kind=OutcomeKind.BAD_JSON, detail={"why": str(error)})
        errors = schemas.errors(name="request", value=body)
        return Outcome(kind=OutcomeKind.BAD_FIELD, detail={"errors": errors}) if errors else body

    def _wait_for_config(self) -> Config | Outcome:
        """The configuration in use; waits through the short switch from one to the next."""
        limit = self.host.elapsed() + CONFIG_SWITCH_TIMEOUT
        while True:
            config = self.config_subscription.current_config()
            if config is not None:
                return config
            if not self.gossip.ready():
                return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "the clock is not synchronized"})
            if not self.config_subscription.lease_valid():
                return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "no fresh news from the control plane"})
            if not self.config_subscription.configs:
                return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "no configuration yet"})
            if self.host.elapsed() >= limit:
                return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "a configuration is being taken up"})
            self.host.sleep(wait=ms(10))

    def _find_or_create_record(
        self,
        *,
        lane: str,
        identity: str,
        may_be_repeat: bool,
        body: dict[str, Any],
        config: Config,
        values: dict[str, Any],
        first: int,
        resumed: str,
    ) -> RequestRecord | Outcome:
        """The request's record, an existing or a new one; an outcome if it can't be admitted."""
        remaining_ms = min(values["horizonMs"], body.get("horizonMs", values["horizonMs"]))
        new = RequestRecord(
            lane=lane, identity=identity, may_be_repeat=may_be_repeat, body=body, arrived_at=self.host.elapsed(),
            deadline=self.gossip.clock.issue_time() + ms(remaining_ms), mark=config.mark, lane_settings=values,
            first_piece=first,
        )  # fmt: skip
        existing = self.table.records.get(new.key)
        if existing is not None:
            if existing.body_digest != new.body_digest:
                return Outcome(kind=OutcomeKind.BAD_IDENTITY, detail={"why": "this identity came with another body"})
            reusable = (
                existing.outcome is None
                or existing.outcome.kind is OutcomeKind.ANSWERED
                or (existing.runs_once and existing.sent)
            )
            if reusable and first >= existing.first_piece and (not first or resumed == existing.answer_id):
                return existing
            if existing.outcome is None:
                return Outcome(
                    kind=OutcomeKind.BUSY, detail={"why": "this identity is being answered from a later piece"}
                )
            new.claimed = existing.claimed
            new.known_unsent = existing.runs_once and not existing.sent
            new.may_be_repeat = may_be_repeat or existing.sent
        if first and resumed != new.answer_id:
            why = "Dockmux-Resume-Of does not name the answer that would be given now: begin anew"
            return Outcome(kind=OutcomeKind.CHANGED, detail={"why": why})
        if self.table.open >= self.settings.record_limit:
            return Outcome(kind=OutcomeKind.BUSY, detail={"why": "too many requests are open here"})
        if not any(
            engine["service"] == values["service"] and self.usage_gossip.table.recent(engine=engine["engine"])
            for engine in self.config_subscription.engines
        ):
            return Outcome(kind=OutcomeKind.NO_ENGINE, detail={"service": values["service"]})
        if new.runs_once and not new.claimed:
            new.step = Step.CLAIM_QUEUED
        self.table.add(record=new)
        return new

    # Streams to clients.

    def _stream_answer(
        self, *, exchange: HttpExchange, record: RequestRecord, first: int, attached: bool
    ) -> Iterator[bytes]:
        """Yields the pieces as they arrive, then one line with the outcome. Raises ClientDisconnected."""
        answer_started = False
        next_piece = first
        record.readers += 1
        try:
            while True:
                while next_piece - record.first_piece < len(record.pieces):
                    text, stamp_us = record.pieces[next_piece - record.first_piece]
                    if not answer_started:
                        answer_started = True
                        self._begin_answer(exchange=exchange, record=record)
                    reply = {"request": record.identity, "n": next_piece, "text": text, "stampUs": stamp_us}
                    yield json.dumps(reply).encode() + b"\n"
                    next_piece += 1
                if record.outcome is not None:
                    break
                record.changed.wait(wait=CLIENT_CHECK_INTERVAL)
                if self.host.closed_by_peer(socks=[exchange.connection]):
                    raise ClientDisconnected("the client has closed the connection")
            if record.outcome.kind is OutcomeKind.CLAIMED:
                yield from self._relay_from_holder(exchange=exchange, record=record, first=first, attached=attached)
            elif not answer_started and record.outcome.kind is not OutcomeKind.ANSWERED:
                yield from exchange.respond(outcome=record.outcome)
            else:
                if not answer_started:
                    self._begin_answer(exchange=exchange, record=record)
                yield self._last_line(record=record, first=first, next_piece=next_piece)
        finally:
            record.readers -= 1

    def _begin_answer(self, *, exchange: HttpExchange, record: RequestRecord) -> None:
        headers = [("Content-Type", "application/x-ndjson"), ("Dockmux-Request", record.identity)]
        headers.append(("Dockmux-Answer", record.answer_id))
        exchange.begin(status=200, headers=headers)

    def _last_line(self, *, record: RequestRecord, first: int, next_piece: int) -> bytes:
        outcome = record.outcome
        reply: dict[str, Any] = {"request": record.identity, "outcome": outcome.kind.value, "count": next_piece}
        if outcome.kind is OutcomeKind.ANSWERED:
            reply |= {"complete": True, "first": first, "digest": record.text_digest(first=first)}
        else:
            reply |= {"complete": False, "retryMs": outcome.retry_ms, **outcome.detail}
        return json.dumps(reply).encode() + b"\n"

    def _relay_from_holder(
        self, *, exchange: HttpExchange, record: RequestRecord, first: int, attached: bool
    ) -> Iterator[bytes]:
        """Relays the answer or the outcome from the daemon that holds the request's claim."""
        holder = record.outcome.detail["holder"]
        self.table.records.pop(record.key, None)
        unknown = Outcome(kind=OutcomeKind.UNKNOWN, detail=ALREADY_CLAIMED)
        address = holder.partition(" ")[0]
        if attached or holder == self.holder or address == self.settings.http:
            yield from exchange.respond(outcome=unknown)
            return
        answer_started = False
        try:
            with HttpClientConnection(host=self.host, address=address, wait=ATTACH_TIMEOUT) as connection:
                connection.connect()
                seconds_left = max((record.deadline - self.gossip.clock.issue_time()).total_seconds(), 0.1)
                connection.timeout = seconds_left
                headers = {"Idempotency-Key": record.identity, "Dockmux-Attach": "1"}
                response = connection.call(
                    method="POST", path=f"/lanes/{record.lane}", fields=record.body, headers=headers
                )
                response.ends_at = self.host.monotonic_seconds() + seconds_left
                if response.status != 200:
                    reply = parse_json(data=response.read())
                    kind = OutcomeKind(reply.pop("outcome"))
                    outcome = Outcome(kind=kind, detail=reply) if kind in ATTACH_KINDS else unknown
                    yield from exchange.respond(outcome=outcome)
                    return
                for line in response.lines():
                    if not answer_started:
                        self._begin_answer(exchange=exchange, record=record)
                        answer_started = True
                    yield line if line.endswith(b"\n") else line + b"\n"
        except WIRE_ERRORS:
            if answer_started:
                raise  # The stream ends without its last line.
            yield from exchange.respond(outcome=unknown)

    def status(self) -> dict[str, Any]:
        """Fields of the status page."""
        config = self.config_subscription.current_config()
        open_by_step: dict[str, int] = {}
        for record in self.table.records.values():
            if record.outcome is None:
                open_by_step[record.step.value] = open_by_step.get(record.step.value, 0) + 1
        return {
            "name": self.settings.name,
            "draining": self.draining,
            "ready": config is not None,
            "config": config.mark if config else None,
            "newest": self.config_subscription.configs[-1].mark if self.config_subscription.configs else 0,
            "permitted": self.config_subscription.lease_valid(),
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


ALREADY_CLAIMED = {"why": "it was taken on before; what became of it is not known"}
# Outcomes of a claim's holder that are passed on to a repeated request; any other becomes `unknown`.
ATTACH_KINDS = {OutcomeKind.FAILED, OutcomeKind.UNKNOWN, OutcomeKind.BAD_IDENTITY}
