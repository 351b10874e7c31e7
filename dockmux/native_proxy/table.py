"""The table of requests and the passes that are run over it. Passes never wait; stream tasks do."""

from datetime import timedelta
from typing import Any

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.gossip.usage_gossip import UsageGossip
from dockmux.native_proxy.assign import Offer, assign
from dockmux.native_proxy.budget import Budget, Sent
from dockmux.native_proxy.follower import Follower
from dockmux.native_proxy.legs import Broken, Legs, MemoryLapsed, NotSent, Rejected
from dockmux.native_proxy.pace import Assigned, Pace, Written
from dockmux.native_proxy.request_record import RequestRecord, Step
from dockmux.native_proxy.stages import Stages
from dockmux.native_proxy.tally import Concluded, Tally
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

CLAIM_LIMIT = timedelta(seconds=6)
ENDED_KEPT = timedelta(minutes=10)
ENDED_MOST = 5000
AGAIN = timedelta(milliseconds=40)
WAITING = (Step.CLAIM, Step.READ, Step.WRITE)
# So many ahead are not reckoned with: engines may be about to be free.
SMALL_QUEUE = 2
# With so many as urgent read and waiting to be written, nothing more is read.
WRITE_QUEUE = 3


def _order(record: RequestRecord) -> tuple[Any, ...]:
    """Most urgent first, then nearest horizon."""
    return (-record.values["urgency"], record.horizon, record.key)


class Table:
    """Invariants:
    - `records` holds every request that has not ended, by key, and those that ended a short while ago;
    - `own` has, by engine, when each leg that is under way from here was begun;
    - a record is changed by the passes, or by the one stream task that its step names.
    """

    def __init__(
        self, *, host: Host, settings: Settings, gossip: GossipEndpoint, follower: Follower, usage_gossip: UsageGossip,
        connection_pool: EngineConnectionPool, rpc_client: RpcClient, task_group: TaskGroup, holder: str,
    ) -> None:  # fmt: skip
        self.host = host
        self.settings = settings
        self.gossip = gossip
        self.follower = follower
        self.usage_gossip = usage_gossip
        self.rpc_client = rpc_client
        self.task_group = task_group
        self.holder = holder
        self.budget = Budget()
        self.pace = Pace()
        self.tally = Tally()
        self.staged = Stages()
        self.journal = EventJournal(projections=[self.budget, self.pace, self.tally, self.staged])
        self.records: dict[str, RequestRecord] = {}
        self.open = 0
        self.own: dict[str, list[timedelta]] = {}
        self.stir = Condition()
        self.legs = Legs(
            host=host, clock=gossip.clock, connection_pool=connection_pool, may_send=self.may_send, follower=follower,
            name=settings.name,
        )  # fmt: skip

    def add(self, *, record: RequestRecord) -> None:
        self.records[record.key] = record
        self.open += 1
        self.stir.notify_all()

    def end(self, *, record: RequestRecord, kind: OutcomeKind, retryMs: int = 1000, **detail: Any) -> None:
        if record.outcome is None:
            record.end(outcome=Outcome(kind=kind, detail=detail, retry_ms=retryMs), at=self.host.elapsed())
            self.open -= 1
            self.journal.append(event=Concluded(kind=record.outcome.kind))

    def outcomes(self) -> dict[str, int]:
        self.journal.fold(projection=self.tally)
        return dict(self.tally.counts)

    def stages(self) -> Stages:
        self.journal.fold(projection=self.staged)
        return self.staged

    # Passes.

    def run(self) -> None:
        while True:
            self.stir.wait(wait=ms(20))
            self.expire()
            self.shed()
            self.claim()
            self.assign()
            self.forget()

    def _open_records(self) -> list[RequestRecord]:
        return [record for record in self.records.values() if record.outcome is None]

    def expire(self) -> None:
        """Stop at now + bound: whoever is past its horizon has its final outcome at once."""
        now = self.gossip.clock.issue_time() + self.gossip.clock.bound()
        for record in self._open_records():
            if now >= record.horizon:
                kind = OutcomeKind.UNKNOWN if record.sent else OutcomeKind.LATE
                self.end(record=record, kind=kind, why="horizon passed")
                if record.task is not None:
                    record.task.kill()
            elif record.readers == 0 and not record.once and record.task is not None:
                # Nobody is left to read it.
                self.end(record=record, kind=OutcomeKind.FAILED, why="the user agent has gone")
                record.task.kill()

    def shed(self) -> None:
        """Who will not be answered in time is given up now, not at its horizon: in the order in which engines are
        assigned, each is reckoned to wait for those before it."""
        now = self.gossip.clock.issue_time() + self.gossip.clock.bound()
        perSecond = self.pace.perSecond(journal=self.journal, now=self.host.elapsed())
        waiting = sorted((r for r in self._open_records() if r.step in WAITING), key=_order)
        for place, record in enumerate(waiting):
            reading = record.step is not Step.WRITE
            ahead = place if reading and place >= SMALL_QUEUE else 0
            wait = timedelta(seconds=ahead / perSecond) + self.pace.left(lane=record.lane, reading=reading)
            if now + wait <= record.horizon or record.readers == 0:
                continue
            retryMs = int(min(max(wait.total_seconds(), 1), 30) * 1000 * self.host.random.uniform(1, 1.5))
            kind = OutcomeKind.FAILED if record.sent else OutcomeKind.BUSY
            self.end(record=record, kind=kind, retryMs=retryMs, why="it would not be answered in time")

    def claim(self) -> None:
        for record in self._open_records():
            if record.step is Step.CLAIM:
                record.step = Step.CLAIMING
                self.task_group.start(task=self._claim, record=record)

    def assign(self) -> None:
        """Most urgent first, then nearest horizon."""
        waiting = [r for r in self._open_records() if r.step in (Step.READ, Step.WRITE)]
        if not waiting or self.follower.current() is None:
            return
        now = self.host.elapsed()
        waiting.sort(key=_order)
        to_write = [r.values["urgency"] for r in waiting if r.step is Step.WRITE]
        offers: dict[tuple[str, str], list[Offer]] = {}
        for record in waiting:
            if now < record.wait_until:
                continue
            if record.step is Step.READ and sum(u >= record.values["urgency"] for u in to_write) >= WRITE_QUEUE:
                continue  # What is read now would only wait to be written.
            phase = "prefill" if record.step is Step.READ else "decode"
            place = (record.values["service"], phase)
            if place not in offers:
                offers[place] = self._offers(service=place[0], phase=phase)
            chosen = assign(
                offers=offers[place],
                prefix_digest=record.prefix_digest if phase == "prefill" and record.body.get("prefix") else None,
                site=self.settings.site,
                avoid=record.tried,
                chance=self.host.random,
            )
            if chosen is None:
                continue
            name = chosen.engine["engine"]
            self.own.setdefault(name, []).append(now)
            offers[place] = self._offers(service=place[0], phase=phase)
            if record.step is Step.READ and not record.sent:
                self.journal.append(event=Assigned(at=now))
            record.step = Step.READING if record.step is Step.READ else Step.WRITING
            record.reached["wait_read" if phase == "prefill" else "wait_write"] = now
            record.task = self.task_group.start(task=self._leg, record=record, engine=chosen.engine, begun=now)

    def _offers(self, *, service: str, phase: str) -> list[Offer]:
        offers = []
        for engine in self.follower.engines:
            usage = self.usage_gossip.table.recent(engine=engine["engine"])
            begun = self.own.get(engine["engine"], [])
            if (
                engine["service"] == service
                and usage is not None
                and usage.reachable
                and usage.phase == phase
                and not usage.leaving
                and not engine.get("leaving")
                and engine["engine"] not in self.follower.moving
                and len(begun) < self.settings.engine_streams
            ):
                looked = self.usage_gossip.table.observed_at[engine["engine"]]
                own = sum(at > looked for at in begun)
                offers.append(Offer(engine=engine, usage=usage, own=own))
        return offers

    def forget(self) -> None:
        """Ended records are kept a while for repeats, and no longer."""
        limit = self.host.elapsed() - ENDED_KEPT
        ended = [r for r in self.records.values() if r.outcome is not None and r.readers == 0]
        surplus = len(ended) - ENDED_MOST
        for place, record in enumerate(ended):
            if record.ended_at < limit or place < surplus:
                del self.records[record.key]

    # Stream tasks.

    def _claim(self, *, record: RequestRecord) -> None:
        change = {"kind": "claim", "key": record.key, "holder": self.holder}
        cores = sorted(card.address for card in self.gossip.peers.live_cards() if card.role == "core")
        kind, detail = OutcomeKind.NOT_READY, {"why": "no core can be reached"}
        if cores:
            try:
                reply = self.rpc_client.call(
                    address=self.host.random.choice(cores),
                    request=WriteAsk(change=change, relayed=False),
                    wait=CLAIM_LIMIT,
                )
                if isinstance(reply, WriteReply):
                    kind, detail = OutcomeKind(reply.kind), reply.detail
            except OSError:
                # Perhaps claimed, but nothing has been sent and, from here, nothing will be.
                kind, detail = OutcomeKind.NOT_READY, {"why": "the claim was not answered"}
        if record.outcome is not None:
            return
        held_here = kind is OutcomeKind.CLAIMED and detail["holder"] == self.holder and record.unsent_before
        if kind is OutcomeKind.ANSWERED or held_here:
            record.claimed = True
            record.reached["claim"] = self.host.elapsed()
            record.step = Step.READ
            self.stir.notify_all()
        elif kind is OutcomeKind.CLAIMED:
            self.end(record=record, kind=OutcomeKind.CLAIMED, **detail)
        else:
            why = {"why": detail.get("why", kind.value)}
            self.end(record=record, kind=OutcomeKind.BUSY if kind is OutcomeKind.BUSY else OutcomeKind.NOT_READY, **why)

    def may_send(self, *, record: RequestRecord, engine: dict[str, Any], leg: str) -> bool:
        """The last look before a leg's first byte: permission, mark, lane, engine, horizon, budget."""
        config = self.follower.current()
        if config is None or record.outcome is not None:
            return False
        clock = self.gossip.clock
        if clock.issue_time() + clock.bound() >= record.horizon:
            return False
        values = resolve(tree=config.tree, lane=record.lane, site=self.settings.site)
        if values is None:
            self.end(record=record, kind=OutcomeKind.UNKNOWN_LANE, lane=record.lane)
            return False
        if config.mark != record.mark:
            self._take_up(record=record, mark=config.mark, values=values)
            if record.outcome is not None or (record.once and not record.claimed):
                return False
        listed = any(
            e["engine"] == engine["engine"] and e["address"] == engine["address"] and not e.get("leaving")
            for e in self.follower.engines
        )
        usage = self.usage_gossip.table.recent(engine=engine["engine"])
        listed = listed and engine["engine"] not in self.follower.moving
        if not listed or engine["service"] != record.values["service"] or usage is None or usage.leaving:
            return False
        if leg == "write" and record.memory is None:
            return False
        extra = record.sends[leg] > 0
        if extra and record.once:
            self.end(record=record, kind=OutcomeKind.FAILED, why="a leg run once would have to be sent again")
            return False
        service, now = record.values["service"], self.host.elapsed()
        if extra and not self.budget.allows(
            journal=self.journal,
            service=service,
            percent=extra_percent(tree=config.tree, service=service),
            now=now,
        ):
            self.end(record=record, kind=OutcomeKind.FAILED, why="no extra send is left")
            return False
        record.sends[leg] += 1
        record.sent = True
        self.journal.append(event=Sent(at=now, service=service, extra=extra))
        return True

    def _take_up(self, *, record: RequestRecord, mark: int, values: dict[str, Any]) -> None:
        """The request goes on under another configuration, where it can."""
        changed = {key for key in ("service", "model", "adapter") if values[key] != record.values[key]}
        if changed - {"service"} and (record.pieces or record.first_piece):
            self.end(record=record, kind=OutcomeKind.CHANGED, why="the lane's model or adapter was changed: begin anew")
            return
        if values["run"] == "once" and not record.once and record.sent:
            self.end(record=record, kind=OutcomeKind.FAILED, why="the lane is now run once, and it was sent already")
            return
        if changed:
            record.memory = None  # It was read for what the lane no longer is.
        record.mark, record.values = mark, values

    def _leg(self, *, record: RequestRecord, engine: dict[str, Any], begun: timedelta) -> None:
        reading = record.step is Step.READING
        name = engine["engine"]
        try:
            if reading:
                self.legs.read(record=record, engine=engine)
                record.reached["read"] = self.host.elapsed()
                record.step = Step.WRITE
            else:
                self.legs.write(record=record, engine=engine)
                record.reached["write"] = self.host.elapsed()
                self.journal.append(event=Written(lane=record.lane, spans=record.spans()))
                self.end(record=record, kind=OutcomeKind.ANSWERED)
        except NotSent:
            record.tried.add(name)
            step = Step.READ if reading or record.memory is None else Step.WRITE
            self._again(record=record, step=Step.CLAIM if record.once and not record.claimed else step)
        except Rejected as error:
            why = f"the engine would not: {error}"
            self._recover(record=record, engine=name, reading=reading, kind=OutcomeKind.FAILED, why=why)
        except MemoryLapsed:
            why = "the prompt's memory lapsed"
            self._recover(record=record, engine=name, reading=True, kind=OutcomeKind.FAILED, why=why)
        except Broken as error:
            kind = OutcomeKind.UNKNOWN if record.once else OutcomeKind.FAILED
            self._recover(record=record, engine=name, reading=reading, kind=kind, why=str(error))
        finally:
            self.own[name].remove(begun)
            record.task = None
            self.stir.notify_all()

    def _again(self, *, record: RequestRecord, step: Step) -> None:
        if record.outcome is None:
            record.step = step
            record.wait_until = self.host.elapsed() + AGAIN / 2 + AGAIN * self.host.random.random()

    def _recover(self, *, record: RequestRecord, engine: str, reading: bool, kind: OutcomeKind, why: str) -> None:
        """Another send where the lane allows it and the reader has not been given a part that another run
        would not continue."""
        record.tried.add(engine)
        record.trouble = why
        whole_again = record.values["run"] == "resumable" or not record.pieces
        if record.once or not whole_again:
            self.end(record=record, kind=kind, why=why)
            return
        if reading:
            record.memory = None
        self._again(record=record, step=Step.READ if record.memory is None else Step.WRITE)
