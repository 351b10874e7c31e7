"""Chain replication: changes enter at the head, are synced by each member, and are answered from the tail."""

import dataclasses
from datetime import timedelta
from typing import Any

from eventlet.event import Event

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.control.replica_store import ReplicaStore
from dockmux.control.sessions import Sessions, Shared
from dockmux.control.state import State
from dockmux.control.version_check import judge_version
from dockmux.control.view_agreement import ViewAgreement
from dockmux.runtime.condition import Condition
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import (
    Append,
    Appended,
    ConfirmAsk,
    ConfirmReply,
    Entry,
    WriteAsk,
    WriteReply,
)  # fmt: skip
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.record_log import AppendOutcomeUnknown
from dockmux.runtime.rpc import RpcClient
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import ZERO, instant_us, ms, to_us, us

WRITE_LIMIT = timedelta(seconds=4)
PUSH_LIMIT = timedelta(seconds=2)
# The chain is gone through so often even when nothing changes, which brings new and restarted members level.
PULSE = timedelta(milliseconds=250)
STALL_LIMIT = timedelta(seconds=3)
BATCH_MOST = 256
# A mark that no member reaches.
NEVER_LEVEL = 1 << 62


@dataclasses.dataclass(kw_only=True)
class Write:
    """A change on its way. Invariants: `done` is sent exactly once, with an Outcome; once judged, `mark` is the last
    entry that its answer rests on, and `verdict` that answer if the change adds no entry of its own."""

    change: dict[str, Any]
    done: Event = dataclasses.field(default_factory=Event)
    mark: int = 0
    verdict: Outcome | None = None


class ChainReplica:
    """One member's part of the chain.

    Invariants:
    - `entries` in the store have no gap; each member's are a prefix of its predecessor's;
    - `state` stays the same object and is folded up to the last entry known to be acknowledged by a tail under permit;
    - `planned` is folded up to the last synced entry, and only the head uses it, to judge the next change; at
      `planned_at` on its own monotonic clock the claims' time stood at `planned_fromUs`;
    - `tail_view` is the view under which this member, as its tail, has folded all that it holds: each such
      entry is held by every member, and the tail before may have acknowledged it;
    - `acknowledged` is the view and the last mark of which a level tail has said under it that it holds it; a change
      is answered, and a refusal given, only when all that it rests on is acknowledged under the present view by as
      many members as `copies` asks for;
    - `followed` is the view and the mark up to which the successor has acknowledged under it;
    - `open_writes` counts the operators' changes that wait here for their answers;
    - `learned` says since when a configuration is known here to be acknowledged;
    - `known_at` is a monotonic time at which all that the tail had acknowledged was in `state`;
    """

    def __init__(
        self,
        *,
        host: Host,
        settings: Settings,
        store: ReplicaStore,
        agreement: ViewAgreement,
        gossip: GossipEndpoint,
        rpc_client: RpcClient,
    ) -> None:
        self.host = host
        self.settings = settings
        self.store = store
        self.agreement = agreement
        self.gossip = gossip
        self.rpc_client = rpc_client
        self.state = store.opened
        self.planned_at, self.planned_fromUs = ZERO, 0
        self.planned = self._plan()
        self.planned_view = 0
        self.tail_view = 0
        self.followed = (0, 0)
        self.acknowledged = (0, 0)
        self.open_writes = 0
        self.extending = agreement.extending
        self.pending: list[Write] = []
        self.waiting: list[Write] = []
        self.stir = Condition()
        self.news = Condition()
        self.known_at = ZERO
        self.learned: dict[int, timedelta] = {}
        self.pushed_at = host.elapsed()
        self.disk_busy_since: timedelta | None = None
        self.sessions = Sessions(host=host, silence=ms(settings.peerSilenceMs))
        self.note_learned()

    def _plan(self) -> State:
        """All that is synced; from here the retention's time goes on."""
        planned = self.state.copy()
        for entry in self.after(mark=planned.mark):
            planned.fold(mark=entry.mark, change=entry.change)
        self.planned_at, self.planned_fromUs = self.host.elapsed(), planned.claims.newestUs
        return planned

    @property
    def synced(self) -> int:
        return self.store.entries[-1].mark if self.store.entries else self.store.base_mark

    # Writing.

    def write(self, *, change: dict[str, Any], relayed: bool = False) -> Outcome:
        """Carries a change to the head and waits for the tail's acknowledgement, but not for ever."""
        self.open_writes += 1
        try:
            return self._write(change=change, relayed=relayed)
        finally:
            self.open_writes -= 1

    def _write(self, *, change: dict[str, Any], relayed: bool) -> Outcome:
        view = self.agreement.view
        if view is None:
            return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": "no view yet"})
        if not self.agreement.is_head():
            return self._relay(head=view.chain[0], change=change, relayed=relayed)
        if not self.agreement.holds_lease():
            return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": "the head holds no permit"})
        if not self._clock_serves(change=change):
            return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "the head's clock is not synchronized"})
        if len(view.chain) < self.settings.copies:
            why = f"{len(view.chain)} copies only: {self.settings.copies} must hold a change"
            return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": why})
        write = Write(change=change)
        self.pending.append(write)
        self.stir.notify_all()
        try:
            with time_limit(wait=WRITE_LIMIT):
                return write.done.wait()
        except TimeoutError:
            if write in self.pending:
                self.pending.remove(write)
                return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": "not taken up in time"})
            return Outcome(kind=OutcomeKind.UNKNOWN, detail={"why": "not acknowledged in time"})

    def _clock_serves(self, *, change: dict[str, Any]) -> bool:
        """Whether this head's time is good enough to take the change. A configuration that operators number is in
        force wherever it is known; the other changes rest on a time that daemons compare."""
        return self.gossip.clock.synchronized if "version" in change else self.gossip.ready()

    def _relay(self, *, head: str, change: dict[str, Any], relayed: bool) -> Outcome:
        address = self.agreement.address(disk=head)
        if relayed or address is None:
            return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": "the head cannot be reached"})
        request = WriteAsk(change=change, relayed=True)
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=WRITE_LIMIT + PUSH_LIMIT)
        except ConnectionRefusedError:
            return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": "the head cannot be reached"})
        except OSError:
            return Outcome(kind=OutcomeKind.UNKNOWN, detail={"why": "the head did not answer"})
        return Outcome(kind=OutcomeKind(reply.kind), detail=reply.detail)

    def on_write(self, *, request: WriteAsk) -> WriteReply:
        outcome = self.write(change=request.change, relayed=request.relayed)
        return WriteReply(kind=outcome.kind.value, mark=outcome.detail.get("mark", 0), detail=outcome.detail)

    def run_head(self) -> None:
        """Takes up pending changes, adds them, and has the rest of the chain follow."""
        while True:
            self._settle_lost()
            if not self.agreement.is_head() or not self.agreement.holds_lease():
                self.host.sleep(wait=ms(50))
                continue
            if self.planned_view != self.agreement.view.number:
                self.planned = self._plan()
                self.planned_view = self.agreement.view.number
            if not self.pending and self._all_followed() and self.host.elapsed() - self.pushed_at < PULSE:
                self.stir.wait(wait=ms(50))
                continue
            try:
                self._extend()
                self._push()
            except OSError:
                self.host.sleep(wait=ms(50))

    def _all_followed(self) -> bool:
        if self.state.mark < self.synced:
            return False
        return self._successor() is None or self.followed == (self.agreement.view.number, self.synced)

    def _settle_lost(self) -> None:
        """A head that was replaced does not know what became of its changes."""
        if self.waiting and not self.agreement.is_head():
            for write in self.waiting:
                write.done.send(Outcome(kind=OutcomeKind.UNKNOWN, detail={"why": "the head was replaced"}))
            self.waiting.clear()

    def _extend(self) -> None:
        with self.extending:
            if not (self.agreement.is_head() and self.agreement.holds_lease()):
                return
            taken, self.pending = self.pending[:BATCH_MOST], self.pending[BATCH_MOST:]
            accepted: list[Write] = []
            answered: list[Write] = []
            planned = self.planned.copy()
            entries: list[Entry] = []
            for write in taken:
                write.verdict = self._judge(write=write, planned=planned)
                if write.verdict is not None:
                    write.mark = planned.mark
                    answered.append(write)
                    continue
                write.mark = planned.mark + 1
                planned.fold(mark=write.mark, change=write.change)
                entries.append(Entry(mark=write.mark, change=write.change))
                accepted.append(write)
            try:
                if entries:
                    self.sync(entries=entries)
            except OSError as error:
                for write in answered:
                    why = {"why": "what it was judged by could not be stored"}
                    write.done.send(Outcome(kind=OutcomeKind.NO_MAJORITY, detail=why))
                kind = OutcomeKind.UNKNOWN if isinstance(error, AppendOutcomeUnknown) else OutcomeKind.DISK_FULL
                for write in accepted:
                    write.done.send(Outcome(kind=kind, detail={"why": str(error)}))
                raise
            self.planned = planned
            self.waiting.extend([*accepted, *answered])
            self._answer_acknowledged()

    def sync(self, *, entries: list[Entry]) -> None:
        self.disk_busy_since = self.host.elapsed()
        try:
            self.store.append(entries=entries)
            self.agreement.ailing = False
        except OSError as error:
            self.agreement.note_disk_failure(error=error)
            raise
        finally:
            self.disk_busy_since = None

    def _judge(self, *, write: Write, planned: State) -> Outcome | None:
        """Why a change is refused; None when it is taken. Fills in what only the head can know."""
        change = write.change
        nowUs = instant_us(self.gossip.clock.issue_time())
        if change["kind"] == "config":
            refused = judge_version(change=change, planned=planned)
            if refused is not None:
                return refused
            last = instant_us(planned.config.activate) if planned.config else 0
            change["activateUs"] = max(nowUs + self.settings.activateMs * 1000, last + 1)
        elif change["kind"] == "engines":
            if change.get("based_on") not in (None, planned.engines_mark):
                return Outcome(kind=OutcomeKind.MARK_OUTDATED, detail={"mark": planned.engines_mark})
        elif change["kind"] == "claim":
            passed = self.host.elapsed() - self.planned_at
            change["atUs"] = self.planned_fromUs + to_us(passed)
            held = planned.claims.holder(key=change["key"], nowUs=change["atUs"])
            if held is not None:
                return Outcome(kind=OutcomeKind.CLAIMED, detail={"holder": held})
            if len(planned.claims) >= self.settings.claim_limit:
                return Outcome(kind=OutcomeKind.BUSY, detail={"why": "claims are full"}, retry_ms=60_000)
        return None

    # Passing on.

    def _successor(self) -> str | None:
        chain = self.agreement.view.chain
        place = chain.index(self.agreement.me) + 1
        return chain[place] if place < len(chain) else None

    def _push(self) -> None:
        """One round with the successor; on return what it acknowledged is in the state. Nothing is passed on by one
        that a view has left out meanwhile."""
        if not self.agreement.member():
            return
        number = self.agreement.view.number
        successor = self._successor()
        if successor is None:
            if self.acting_tail():
                self._acknowledge(mark=self.synced)
            self.pushed_at = self.host.elapsed()
            self.host.sleep(wait=ms(50))
            return
        address = self.agreement.address(disk=successor)
        if address is None:
            self.host.sleep(wait=ms(50))
            return
        mark = self.state.mark
        for _ in range(1000):
            entries = self.after(mark=mark)[:BATCH_MOST]
            # Only a level member can bring its successor up.
            upto = self.synced if self.store.level else NEVER_LEVEL
            request = Append(number=number, mark=mark, upto=upto, entries=entries)
            reply = self.rpc_client.call(address=address, request=request, wait=PUSH_LIMIT)
            if self.agreement.view.number != number:
                return
            if reply.state == "behind":
                mark = reply.mark
                continue
            if reply.state == "acked":
                self.pushed_at = self.host.elapsed()
                self.followed = (number, reply.mark)
                self._acknowledge(mark=reply.mark)
            else:
                self.agreement.learn(view=reply.view)
                self.host.sleep(wait=ms(50))
            return

    def after(self, *, mark: int) -> list[Entry]:
        base = self.store.base_mark
        return self.store.entries[max(mark - base, 0) :]

    def on_append(self, *, request: Append) -> Appended:
        agreement = self.agreement
        with self.extending:
            if agreement.view is None or agreement.view.number != request.number or not agreement.member():
                return Appended(state="refused", mark=self.synced, view=agreement.view)
            if request.mark > self.synced:
                return Appended(state="behind", mark=self.synced)
            fresh = [entry for entry in request.entries if entry.mark > self.synced]
            if fresh and fresh[0].mark != self.synced + 1:
                # The predecessor no longer has what is between: out, and back in by a snapshot.
                agreement.outrun = True
                return Appended(state="refused", mark=self.synced)
            if fresh:
                try:
                    self.sync(entries=fresh)
                except OSError:
                    return Appended(state="disk", mark=self.synced)
                for entry in fresh:
                    self.planned.fold(mark=entry.mark, change=entry.change)
            upto = self.synced
            if not self.store.level and upto >= request.upto:
                try:
                    self.store.vote(level=True)
                except OSError as error:
                    agreement.note_disk_failure(error=error)
                    return Appended(state="disk", mark=upto)
        if agreement.is_tail():
            if not self.acting_tail():
                return Appended(state="refused", mark=upto)
            self._acknowledge(mark=upto)
            return Appended(state="acked", mark=upto)
        try:
            self._push()
        except OSError:
            return Appended(state="refused", mark=upto)
        if self.followed[0] != request.number:
            return Appended(state="refused", mark=upto)
        return Appended(state="acked", mark=self.followed[1])

    def _acknowledge(self, *, mark: int) -> None:
        """Folds what a tail has acknowledged and tells the waiting writers."""
        newest = self.state.news_mark
        for entry in self.after(mark=self.state.mark):
            if entry.mark > mark:
                break
            self.state.fold(mark=entry.mark, change=entry.change)
        self.note_learned()
        if self.state.news_mark != newest:
            self.news.notify_all()
        number = self.agreement.view.number
        before = self.acknowledged[1] if self.acknowledged[0] == number else 0
        self.acknowledged = (number, max(mark, before))
        self._answer_acknowledged()

    def _answer_acknowledged(self) -> None:
        """Answers the changes whose answers rest on nothing that is not acknowledged under the present view."""
        view = self.agreement.view
        number, mark = self.acknowledged
        if number != view.number:
            return
        done = [write for write in self.waiting if write.mark <= mark]
        self.waiting = [write for write in self.waiting if write.mark > mark]
        for write in done:
            if len(view.chain) < self.settings.copies:
                why = {"why": f"{len(view.chain)} copies only: {self.settings.copies} must hold a change"}
                write.done.send(Outcome(kind=OutcomeKind.UNKNOWN, detail=why))
            else:
                write.done.send(write.verdict or self._taken(write=write))

    def _taken(self, *, write: Write) -> Outcome:
        detail = {"mark": write.mark}
        if "activateUs" in write.change:
            detail["activateUs"] = write.change["activateUs"]
        return Outcome(kind=OutcomeKind.ANSWERED, detail=detail)

    def note_learned(self) -> None:
        for config in self.state.configs:
            self.learned.setdefault(config.mark, self.host.elapsed())
        while len(self.learned) > 50:
            del self.learned[min(self.learned)]

    def run_upkeep(self) -> None:
        """Rewrites a long file, notices a stalled disk, and tries a failed one again."""
        while True:
            self.host.sleep(wait=ms(500))
            busy = self.disk_busy_since
            if busy is not None and self.host.elapsed() - busy > STALL_LIMIT:
                self.agreement.ailing = True
            elif self.agreement.ailing:
                # A member tries as well: when every disk has failed, no view can leave one out.
                with self.extending:
                    try:
                        self.store.vote(disk=self.store.disk)
                        self.agreement.ailing = False
                    except OSError:
                        continue
            with self.extending:
                try:
                    self.store.shorten(state=self.state)
                except OSError as error:
                    self.host.log(LogEvent.DISK_FAILED, error=error)

    # What the tail knows, and how old our knowledge of it is.

    def acting_tail(self) -> bool:
        """Whether this member may answer as the tail."""
        agreement = self.agreement
        if not agreement.is_tail() or not agreement.holds_lease() or not self.store.level:
            return False
        if self.tail_view != agreement.view.number:
            self._acknowledge(mark=self.synced)
            self.tail_view = agreement.view.number
        return True

    def age(self) -> timedelta:
        if self.acting_tail():
            return ZERO
        return self.host.elapsed() - self.known_at

    def run_confirming(self) -> None:
        while True:
            self.host.sleep(wait=self.agreement.lease / 8)
            if self.agreement.member() and not self.agreement.is_tail():
                self._confirm_once()

    def confirm(self) -> bool:
        """Whether all that was acknowledged before this call is in the state now: the tail says so under its lease,
        after the call began. Any member may ask; it takes one exchange with the tail, or none at the tail."""
        if self.acting_tail():
            return True
        if not self.agreement.member() or self.agreement.is_tail():
            return False
        began = self.host.elapsed()
        self._confirm_once()
        return self.known_at >= began

    def _confirm_once(self) -> None:
        """Asks the tail what is acknowledged; control daemons tell each other of sessions with it."""
        agreement = self.agreement
        tail = agreement.view.chain[-1]
        address = agreement.address(disk=tail)
        if address is None:
            return
        if self.sessions.shared.tail != tail:
            self.sessions.shared = Shared(tail=tail, upto=ZERO, untilUs=0)
        sent = self.host.elapsed()
        request = ConfirmAsk(
            number=agreement.view.number,
            sessions=self.sessions.standing(since=self.sessions.shared.upto, at=self.sessions.renewed_at),
            sinceUs=self.sessions.shared.untilUs,
        )
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=agreement.lease / 2)
        except OSError:
            # It may have been begun anew: then it holds nothing of what it was told.
            self.sessions.shared = Shared(tail=tail, upto=ZERO, untilUs=0)
            return
        self.sessions.shared = Shared(tail=tail, upto=sent, untilUs=reply.untilUs)
        agreement.learn(view=reply.view)
        if reply.granted and agreement.view.number == request.number and reply.mark <= self.synced:
            self._acknowledge(mark=reply.mark)
            self.known_at = max(self.known_at, sent)
        self.sessions.hear(cards=reply.sessions)

    def on_confirm(self, *, request: ConfirmAsk) -> ConfirmReply:
        agreement = self.agreement
        self.sessions.hear(cards=request.sessions)
        view = agreement.view
        granted = view is not None and view.number == request.number and self.acting_tail()
        now = self.host.elapsed()
        # A mark from before this machine's monotonic time began again says nothing.
        since = us(request.sinceUs) if us(request.sinceUs) <= now else ZERO
        return ConfirmReply(
            granted=granted,
            mark=self.state.mark,
            view=view if view is not None and view.number > request.number else None,
            sessions=self.sessions.standing(since=since, at=self.sessions.reached_at),
            untilUs=to_us(now),
        )
