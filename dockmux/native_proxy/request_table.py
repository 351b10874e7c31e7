"""The table of requests and the periodic passes over it. A pass never blocks; a request's own task may."""

from datetime import timedelta
from typing import Any

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.gossip.usage_gossip import UsageGossip
from dockmux.native_proxy.budget import CallSent, RetryBudget
from dockmux.native_proxy.config_subscription import ConfigSubscription
from dockmux.native_proxy.engine_calls import CallFailed, CallRejected, EngineCalls, KvCacheExpired, NotSent
from dockmux.native_proxy.engine_selection import Candidate, select_engine
from dockmux.native_proxy.outcome_counts import OutcomeCounts, RequestEnded
from dockmux.native_proxy.request_record import RequestRecord, Step
from dockmux.native_proxy.service_rate import AnswerCompleted, FirstCallAssigned, ServiceRate
from dockmux.native_proxy.stage_durations import StageDurations
from dockmux.runtime.condition import Condition
from dockmux.runtime.config_tree import extra_percent, resolve
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.event_journal import EventJournal
from dockmux.runtime.host import Host
from dockmux.runtime.messages import WriteAsk, WriteReply
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.rpc import RpcClient
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ms

CLAIM_TIMEOUT = timedelta(seconds=6)
ENDED_RETENTION = timedelta(minutes=10)
MAX_ENDED_RECORDS = 5000
RETRY_DELAY = timedelta(milliseconds=40)
QUEUED_STEPS = (Step.CLAIM_QUEUED, Step.PREFILL_QUEUED, Step.DECODE_QUEUED)
# Fewer requests ahead than this add nothing to the estimated wait: engines may be about to become free.
MIN_COUNTED_QUEUE = 2
# No prefill is started while this many requests that are at least as urgent wait for decode.
MAX_DECODE_QUEUE = 3


def _scheduling_key(record: RequestRecord) -> tuple[Any, ...]:
    """Sort key: highest urgency first, then earliest deadline."""
    return (-record.lane_settings["urgency"], record.deadline, record.key)


class RequestTable:
    """Invariants:
    - `records` maps keys to all open requests and to those that ended recently; `open` counts the open ones;
    - `in_flight` maps engines to the start times (monotonic) of this daemon's calls in progress there;
    - a record is changed by the passes, or by its own task in the steps that have one.
    """

    def __init__(
        self, *, host: Host, settings: Settings, gossip: GossipEndpoint, config_subscription: ConfigSubscription,
        usage_gossip: UsageGossip, connection_pool: EngineConnectionPool,
        rpc_client: RpcClient, task_group: TaskGroup, holder: str,
    ) -> None:  # fmt: skip
        self.host = host
        self.settings = settings
        self.gossip = gossip
        self.config_subscription = config_subscription
        self.usage_gossip = usage_gossip
        self.rpc_client = rpc_client
        self.task_group = task_group
        self.holder = holder
        self.budget = RetryBudget()
        self.service_rate = ServiceRate()
        self.outcome_counts = OutcomeCounts()
        self.stage_durations = StageDurations()
        self.journal = EventJournal(
            projections=[self.budget, self.service_rate, self.outcome_counts, self.stage_durations]
        )
        self.records: dict[str, RequestRecord] = {}
        self.open = 0
        self.in_flight: dict[str, list[timedelta]] = {}
        self.wakeup = Condition()
        self.engine_calls = EngineCalls(
            host=host, clock=gossip.clock, connection_pool=connection_pool, authorize_send=self.authorize_send,
            config_subscription=config_subscription, name=settings.name,
        )  # fmt: skip

    def add(self, *, record: RequestRecord) -> None:
        """Adds an open request."""
        self.records[record.key] = record
        self.open += 1
        self.wakeup.notify_all()

    def end(self, *, record: RequestRecord, kind: OutcomeKind, retry_ms: int = 1000, **detail: Any) -> None:
        """Ends an open request with an outcome; does nothing for an ended one."""
        if record.outcome is None:
            record.end(outcome=Outcome(kind=kind, detail=detail, retry_ms=retry_ms), at=self.host.elapsed())
            self.open -= 1
            self.journal.append(event=RequestEnded(kind=record.outcome.kind))

    def outcomes(self) -> dict[str, int]:
        """Number of ended requests by outcome value."""
        self.journal.fold(projection=self.outcome_counts)
        return dict(self.outcome_counts.counts)

    def stages(self) -> StageDurations:
        """Durations of the stages of answered requests, up to date."""
        self.journal.fold(projection=self.stage_durations)
        return self.stage_durations

    # Passes.

    def run(self) -> None:
        """Runs the passes when woken, and at least every 20 ms."""
        while True:
            self.wakeup.wait(wait=ms(20))
            self.expire()
            self.shed()
            self.start_claims()
            self.assign_engines()
            self.evict_ended()

    def _open_records(self) -> list[RequestRecord]:
        return [record for record in self.records.values() if record.outcome is None]

    def expire(self) -> None:
        """Ends requests whose deadline may have passed, by the latest time that the clock's error bound allows, and
        those that no client reads any more, except on lanes that run requests once."""
        now = self.gossip.clock.issue_time() + self.gossip.clock.bound()
        for record in self._open_records():
            if now >= record.deadline:
                kind = OutcomeKind.UNKNOWN if record.sent else OutcomeKind.LATE
                self.end(record=record, kind=kind, why="horizon passed")
                if record.task is not None:
                    record.task.kill()
            elif record.readers == 0 and not record.runs_once and record.task is not None:
                self.end(record=record, kind=OutcomeKind.FAILED, why="the user agent has gone")
                record.task.kill()

    def shed(self) -> None:
        """Load shedding: ends queued requests that would miss their deadlines, without waiting for these. The wait is
        estimated from the requests ahead in scheduling order."""
        now = self.gossip.clock.issue_time() + self.gossip.clock.bound()
        per_second = self.service_rate.per_second(journal=self.journal, now=self.host.elapsed())
        waiting = sorted((r for r in self._open_records() if r.step in QUEUED_STEPS), key=_scheduling_key)
        for position, record in enumerate(waiting):
            needs_prefill = record.step is not Step.DECODE_QUEUED
            ahead = position if needs_prefill and position >= MIN_COUNTED_QUEUE else 0
            wait = timedelta(seconds=ahead / per_second) + self.service_rate.remaining_time(
                lane=record.lane, needs_prefill=needs_prefill
            )
            if now + wait <= record.deadline or record.readers == 0:
                continue
            retry_ms = int(min(max(wait.total_seconds(), 1), 30) * 1000 * self.host.random.uniform(1, 1.5))
            kind = OutcomeKind.FAILED if record.sent else OutcomeKind.BUSY
            self.end(record=record, kind=kind, retry_ms=retry_ms, why="it would not be answered in time")

    def start_claims(self) -> None:
        """Starts the claim of each request on a lane that runs requests once."""
        for record in self._open_records():
            if record.step is Step.CLAIM_QUEUED:
                record.step = Step.CLAIMING
                self.task_group.start(task=self._claim, record=record)

    def assign_engines(self) -> None:
        """Starts calls for queued requests, highest urgency first, then earliest deadline."""
        waiting = [r for r in self._open_records() if r.step in (Step.PREFILL_QUEUED, Step.DECODE_QUEUED)]
        if not waiting or self.config_subscription.current_config() is None:
            return
        now = self.host.elapsed()
        waiting.sort(key=_scheduling_key)
        decode_urgencies = [r.lane_settings["urgency"] for r in waiting if r.step is Step.DECODE_QUEUED]
        candidates: dict[tuple[str, str], list[Candidate]] = {}
        for record in waiting:
            if now < record.retry_at:
                continue
            if (
                record.step is Step.PREFILL_QUEUED
                and sum(u >= record.lane_settings["urgency"] for u in decode_urgencies) >= MAX_DECODE_QUEUE
            ):
                continue  # After its prefill it would only wait for decode.
            phase = "prefill" if record.step is Step.PREFILL_QUEUED else "decode"
            pool = (record.lane_settings["service"], phase)
            if pool not in candidates:
                candidates[pool] = self._candidates(service=pool[0], phase=phase)
            chosen = select_engine(
                candidates=candidates[pool],
                prefix_digest=record.prefix_digest if phase == "prefill" and record.body.get("prefix") else None,
                site=self.settings.site,
                avoid=record.tried_engines,
                rng=self.host.random,
            )
            if chosen is None:
                continue
            name = chosen.engine["engine"]
            self.in_flight.setdefault(name, []).append(now)
            candidates[pool] = self._candidates(service=pool[0], phase=phase)
            if record.step is Step.PREFILL_QUEUED and not record.sent:
                self.journal.append(event=FirstCallAssigned(at=now))
            record.step = Step.PREFILLING if record.step is Step.PREFILL_QUEUED else Step.DECODING
            record.stage_ends["wait_read" if phase == "prefill" else "wait_write"] = now
            record.task = self.task_group.start(
                task=self._run_call, record=record, engine=chosen.engine, started_at=now
            )

    def _candidates(self, *, service: str, phase: str) -> list[Candidate]:
        """Engines of a service that take calls of a phase and are below this daemon's limit of concurrent calls."""
        candidates = []
        for engine in self.config_subscription.engines:
            usage = self.usage_gossip.table.recent(engine=engine["engine"])
            started_at = self.in_flight.get(engine["engine"], [])
            if (
                engine["service"] == service
                and usage is not None
                and usage.reachable
                and usage.phase == phase
                and not usage.leaving
                and not engine.get("leaving")
                and engine["engine"] not in self.config_subscription.changing_phase
                and len(started_at) < self.settings.engine_streams
            ):
                observed_at = self.usage_gossip.table.observed_at[engine["engine"]]
                sent_since = sum(at > observed_at for at in started_at)
                candidates.append(Candidate(engine=engine, usage=usage, sent_since=sent_since))
        return candidates

    def evict_ended(self) -> None:
        """Removes ended records, which are kept for a while to answer repeated requests."""
        limit = self.host.elapsed() - ENDED_RETENTION
        ended = [r for r in self.records.values() if r.outcome is not None and r.readers == 0]
        surplus = len(ended) - MAX_ENDED_RECORDS
        for position, record in enumerate(ended):
            if record.ended_at < limit or position < surplus:
                del self.records[record.key]

    # Tasks of single requests.

    def _claim(self, *, record: RequestRecord) -> None:
        """Asks a core to store this daemon's claim on the request, so that no other daemon sends it."""
        change = {"kind": "claim", "key": record.key, "holder": self.holder}
        cores = sorted(card.address for card in self.gossip.peers.live_cards() if card.role == "core")
        kind, detail = OutcomeKind.NOT_READY, {"why": "no core can be reached"}
        if cores:
            try:
                reply = self.rpc_client.call(
                    address=self.host.random.choice(cores),
                    request=WriteAsk(change=change, relayed=False),
                    wait=CLAIM_TIMEOUT,
                )
                if isinstance(reply, WriteReply):
                    kind, detail = OutcomeKind(reply.kind), reply.detail
            except OSError:
                # The claim may have been stored, but this daemon has sent nothing and won't send anything.
                kind, detail = OutcomeKind.NOT_READY, {"why": "the claim was not answered"}
        if record.outcome is not None:
            return
        held_by_this_daemon = kind is OutcomeKind.CLAIMED and detail["holder"] == self.holder and record.known_unsent
        if kind is OutcomeKind.ANSWERED or held_by_this_daemon:
            record.claimed = True
            record.stage_ends["claim"] = self.host.elapsed()
            record.step = Step.PREFILL_QUEUED
            self.wakeup.notify_all()
        elif kind is OutcomeKind.CLAIMED:
            self.end(record=record, kind=OutcomeKind.CLAIMED, **detail)
        else:
            why = {"why": detail.get("why", kind.value)}
            self.end(record=record, kind=OutcomeKind.BUSY if kind is OutcomeKind.BUSY else OutcomeKind.NOT_READY, **why)

    def authorize_send(self, *, record: RequestRecord, engine: dict[str, Any], phase: str) -> bool:
        """The last check before a call's first byte: lease, configuration mark, lane, engine, deadline, retry budget.
        True counts the call as sent; a request that can't go on at all is ended."""
        config = self.config_subscription.current_config()
        if config is None or record.outcome is not None:
            return False
        clock = self.gossip.clock
        if clock.issue_time() + clock.bound() >= record.deadline:
            return False
        values = resolve(tree=config.tree, lane=record.lane, site=self.settings.site)
        if values is None:
            self.end(record=record, kind=OutcomeKind.UNKNOWN_LANE, lane=record.lane)
            return False
        if config.mark != record.mark:
            self._adopt_config(record=record, mark=config.mark, values=values)
            if record.outcome is not None or (record.runs_once and not record.claimed):
                return False
        listed = any(
            e["engine"] == engine["engine"] and e["address"] == engine["address"] and not e.get("leaving")
            for e in self.config_subscription.engines
        )
        usage = self.usage_gossip.table.recent(engine=engine["engine"])
        listed = listed and engine["engine"] not in self.config_subscription.changing_phase
        if not listed or engine["service"] != record.lane_settings["service"] or usage is None or usage.leaving:
            return False
        if phase == "decode" and record.kv_handle is None:
            return False
        extra = record.sends[phase] > 0
        if extra and record.runs_once:
            self.end(
                record=record,
                kind=OutcomeKind.FAILED,
                why="a leg run once would have to be sent again",
            )
            return False
        service, now = record.lane_settings["service"], self.host.elapsed()
        if extra and not self.budget.allows(
            journal=self.journal,
            service=service,
            percent=extra_percent(tree=config.tree, service=service),
            now=now,
        ):
            self.end(record=record, kind=OutcomeKind.FAILED, why="no extra send is left")
            return False
        record.sends[phase] += 1
        record.sent = True
        self.journal.append(event=CallSent(at=now, service=service, extra=extra))
        return True

    def _adopt_config(self, *, record: RequestRecord, mark: int, values: dict[str, Any]) -> None:
        """Moves an open request to another configuration, or ends it where its answer could differ or run twice."""
        changed = {key for key in ("service", "model", "adapter") if values[key] != record.lane_settings[key]}
        if changed - {"service"} and (record.pieces or record.first_piece):
            self.end(
                record=record,
                kind=OutcomeKind.CHANGED,
                why="the lane's model or adapter was changed: begin anew",
            )
            return
        if values["run"] == "once" and not record.runs_once and record.sent:
            self.end(
                record=record,
                kind=OutcomeKind.FAILED,
                why="the lane is now run once, and it was sent already",
            )
            return
        if changed:
            record.kv_handle = None  # It was computed for another service, model or adapter.
        record.mark, record.lane_settings = mark, values

    def _run_call(self, *, record: RequestRecord, engine: dict[str, Any], started_at: timedelta) -> None:
        """Runs a prefill or decode call and takes the request to its next step."""
        prefill = record.step is Step.PREFILLING
        name = engine["engine"]
        try:
            if prefill:
                self.engine_calls.prefill(record=record, engine=engine)
                record.stage_ends["read"] = self.host.elapsed()
                record.step = Step.DECODE_QUEUED
            else:
                self.engine_calls.decode(record=record, engine=engine)
                record.stage_ends["write"] = self.host.elapsed()
                self.journal.append(event=AnswerCompleted(lane=record.lane, spans=record.stage_spans()))
                self.end(record=record, kind=OutcomeKind.ANSWERED)
        except NotSent:
            record.tried_engines.add(name)
            step = Step.PREFILL_QUEUED if prefill or record.kv_handle is None else Step.DECODE_QUEUED
            self._requeue(record=record, step=Step.CLAIM_QUEUED if record.runs_once and not record.claimed else step)
        except CallRejected as error:
            why = f"the engine would not: {error}"
            self._retry_or_fail(record=record, engine=name, prefill=prefill, kind=OutcomeKind.FAILED, why=why)
        except KvCacheExpired:
            why = "the prompt's memory lapsed"
            self._retry_or_fail(record=record, engine=name, prefill=True, kind=OutcomeKind.FAILED, why=why)
        except CallFailed as error:
            kind = OutcomeKind.UNKNOWN if record.runs_once else OutcomeKind.FAILED
            self._retry_or_fail(record=record, engine=name, prefill=prefill, kind=kind, why=str(error))
        finally:
            self.in_flight[name].remove(started_at)
            record.task = None
            self.wakeup.notify_all()

    def _requeue(self, *, record: RequestRecord, step: Step) -> None:
        """Queues the request again after a delay of 0.5 to 1.5 times RETRY_DELAY."""
        if record.outcome is None:
            record.step = step
            record.retry_at = self.host.elapsed() + RETRY_DELAY / 2 + RETRY_DELAY * self.host.random.random()

    def _retry_or_fail(self, *, record: RequestRecord, engine: str, prefill: bool, kind: OutcomeKind, why: str) -> None:
        """Queues another send where the lane allows it; not after a client has received pieces, unless the lane is
        resumable, because another run wouldn't continue them."""
        record.tried_engines.add(engine)
        record.last_error = why
        may_run_again = record.lane_settings["run"] == "resumable" or not record.pieces
        if record.runs_once or not may_run_again:
            self.end(record=record, kind=kind, why=why)
            return
        if prefill:
            record.kv_handle = None
        self._requeue(record=record, step=Step.PREFILL_QUEUED if record.kv_handle is None else Step.DECODE_QUEUED)
