"""Chain replication of the configuration log: changes enter at the head, each member syncs them to disk before it
passes them on, and an entry is acknowledged once the tail holds it.

An entry's position in the log is its index; messages and stored records call it `mark`.
"""

import dataclasses
from datetime import timedelta
from typing import Any

from eventlet.event import Event

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.control.replica_store import ReplicaStore
from dockmux.control.sessions import Sessions, TailExchange
from dockmux.control.state import State
from dockmux.control.version_check import validate_version
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

WRITE_TIMEOUT = timedelta(seconds=4)
APPEND_TIMEOUT = timedelta(seconds=2)
# How often the head sends a round of appends when nothing changes; it brings new and restarted members up to date.
IDLE_APPEND_INTERVAL = timedelta(milliseconds=250)
DISK_STALL_TIMEOUT = timedelta(seconds=3)
MAX_BATCH_ENTRIES = 256
# Sent as `upto` by a member that is not caught up: no successor can reach it and count as caught up.
UNREACHABLE_INDEX = 1 << 62


@dataclasses.dataclass(kw_only=True)
class Write:
    """A change that waits for its outcome.

    Invariants: `done` is sent exactly once, with an Outcome; once the change has been validated, `index` is the last
    log entry that its outcome depends on, and `verdict` is that outcome if the change adds no entry of its own.
    """

    change: dict[str, Any]
    done: Event = dataclasses.field(default_factory=Event)
    index: int = 0
    verdict: Outcome | None = None


class ChainReplica:
    """One member of the replication chain.

    Invariants:
    - `entries` in the store have no gap; each member's entries are a prefix of its predecessor's;
    - `state` stays the same object; entries are applied to it up to the last one known to be acknowledged by a tail
      that held a lease;
    - `tentative` has all synced entries applied; only the head uses it, to validate the next change. The claims' time
      was `claims_time_us` (microseconds) at `tentative_since` on this host's monotonic clock;
    - `tail_view` is the number of the view under which this member, as the tail, has applied all entries that it
      holds: every member holds them, and the previous tail may have acknowledged them;
    - `acknowledged` is a view number and the last index that a caught-up tail has reported to hold under that view; a
      change is answered or refused only when all entries that the answer depends on are acknowledged under the current
      view by at least `copies` members;
    - `successor_acked` is a view number and the last index that the successor has acknowledged under that view;
    - `open_writes` counts the operators' changes that wait here for their outcomes;
    - `config_known_since` has, by index, the monotonic time since which a configuration is known here to be
      acknowledged;
    - `fresh_as_of` is a monotonic time at which `state` included everything that the tail had acknowledged;
    - `disk_busy_since` is set while a write to the disk is under way.
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
        self.state = store.initial_state
        self.tentative_since, self.claims_time_us = ZERO, 0
        self.tentative = self._build_tentative()
        self.tentative_view = 0
        self.tail_view = 0
        self.successor_acked = (0, 0)
        self.acknowledged = (0, 0)
        self.open_writes = 0
        self.append_lock = agreement.append_lock
        self.pending: list[Write] = []
        self.waiting: list[Write] = []
        self.write_queued = Condition()
        self.news_changed = Condition()
        self.fresh_as_of = ZERO
        self.config_known_since: dict[int, timedelta] = {}
        self.last_append_at = host.elapsed()
        self.disk_busy_since: timedelta | None = None
        self.sessions = Sessions(host=host, silence=ms(settings.peerSilenceMs))
        self.note_known_configs()

    def _build_tentative(self) -> State:
        """A state with all synced entries applied. The claims' time continues from the newest claim in it."""
        tentative = self.state.copy()
        for entry in self.entries_after(mark=tentative.mark):
            tentative.apply(mark=entry.mark, change=entry.change)
        self.tentative_since, self.claims_time_us = self.host.elapsed(), tentative.claims.newest_us
        return tentative

    @property
    def synced_index(self) -> int:
        """The index of the last entry synced to this disk."""
        return self.store.entries[-1].mark if self.store.entries else self.store.base_index

    # Writes.

    def write(self, *, change: dict[str, Any], relayed: bool = False) -> Outcome:
        """Passes a change to the head and waits at most `WRITE_TIMEOUT` for the tail's acknowledgement. With
        `relayed`, it comes from another member and is not forwarded again."""
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
            return self._forward_to_head(head=view.chain[0], change=change, relayed=relayed)
        if not self.agreement.holds_lease():
            return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": "the head holds no permit"})
        if not self._clock_suffices(change=change):
            return Outcome(kind=OutcomeKind.NOT_READY, detail={"why": "the head's clock is not synchronized"})
        if len(view.chain) < self.settings.copies:
            why = f"{len(view.chain)} copies only: {self.settings.copies} must hold a change"
            return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": why})
        write = Write(change=change)
        self.pending.append(write)
        self.write_queued.notify_all()
        try:
            with time_limit(wait=WRITE_TIMEOUT):
                return write.done.wait()
        except TimeoutError:
            if write in self.pending:
                self.pending.remove(write)
                return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": "not taken up in time"})
            return Outcome(kind=OutcomeKind.UNKNOWN, detail={"why": "not acknowledged in time"})

    def _clock_suffices(self, *, change: dict[str, Any]) -> bool:
        """Whether this head's clock is good enough for the change. A configuration with an operator's version is in
        force wherever it is known; all other changes depend on a time that daemons compare."""
        return self.gossip.clock.synchronized if "version" in change else self.gossip.ready()

    def _forward_to_head(self, *, head: str, change: dict[str, Any], relayed: bool) -> Outcome:
        """Forwards a change to the head. The outcome is unknown unless the head answers or refuses the connection."""
        address = self.agreement.address(disk=head)
        if relayed or address is None:
            return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": "the head cannot be reached"})
        request = WriteAsk(change=change, relayed=True)
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=WRITE_TIMEOUT + APPEND_TIMEOUT)
        except ConnectionRefusedError:
            return Outcome(kind=OutcomeKind.NO_MAJORITY, detail={"why": "the head cannot be reached"})
        except OSError:
            return Outcome(kind=OutcomeKind.UNKNOWN, detail={"why": "the head did not answer"})
        return Outcome(kind=OutcomeKind(reply.kind), detail=reply.detail)

    def on_write(self, *, request: WriteAsk) -> WriteReply:
        outcome = self.write(change=request.change, relayed=request.relayed)
        return WriteReply(kind=outcome.kind.value, mark=outcome.detail.get("mark", 0), detail=outcome.detail)

    def run_head(self) -> None:
        """As the head: appends pending changes and replicates them along the chain."""
        while True:
            self._fail_orphaned_writes()
            if not self.agreement.is_head() or not self.agreement.holds_lease():
                self.host.sleep(wait=ms(50))
                continue
            if self.tentative_view != self.agreement.view.number:
                self.tentative = self._build_tentative()
                self.tentative_view = self.agreement.view.number
            if (
                not self.pending
                and self._successor_up_to_date()
                and self.host.elapsed() - self.last_append_at < IDLE_APPEND_INTERVAL
            ):
                self.write_queued.wait(wait=ms(50))
                continue
            try:
                self._append_pending()
                self._push_to_successor()
            except OSError:
                self.host.sleep(wait=ms(50))

    def _successor_up_to_date(self) -> bool:
        if self.state.mark < self.synced_index:
            return False
        return self._successor() is None or self.successor_acked == (self.agreement.view.number, self.synced_index)

    def _fail_orphaned_writes(self) -> None:
        """Answers all waiting changes with an unknown outcome once another member is the head: the new head may have
        kept or lost them."""
        if self.waiting and not self.agreement.is_head():
            for write in self.waiting:
                write.done.send(Outcome(kind=OutcomeKind.UNKNOWN, detail={"why": "the head was replaced"}))
            self.waiting.clear()

    def _append_pending(self) -> None:
        """Validates a batch of pending changes and appends the accepted ones to the log as one sync."""
        with self.append_lock:
            if not (self.agreement.is_head() and self.agreement.holds_lease()):
                return
            batch, self.pending = self.pending[:MAX_BATCH_ENTRIES], self.pending[MAX_BATCH_ENTRIES:]
            accepted: list[Write] = []
            without_entry: list[Write] = []
            tentative = self.tentative.copy()
            entries: list[Entry] = []
            for write in batch:
                write.verdict = self._validate(write=write, tentative=tentative)
                if write.verdict is not None:
                    write.index = tentative.mark
                    without_entry.append(write)
                    continue
                write.index = tentative.mark + 1
                tentative.apply(mark=write.index, change=write.change)
                entries.append(Entry(mark=write.index, change=write.change))
                accepted.append(write)
            try:
                if entries:
                    self.sync_entries(entries=entries)
            except OSError as error:
                for write in without_entry:
                    why = {"why": "what it was judged by could not be stored"}
                    write.done.send(Outcome(kind=OutcomeKind.NO_MAJORITY, detail=why))
                kind = OutcomeKind.UNKNOWN if isinstance(error, AppendOutcomeUnknown) else OutcomeKind.DISK_FULL
                for write in accepted:
                    write.done.send(Outcome(kind=kind, detail={"why": str(error)}))
                raise
            self.tentative = tentative
            self.waiting.extend([*accepted, *without_entry])
            self._answer_acknowledged()

    def sync_entries(self, *, entries: list[Entry]) -> None:
        """Appends entries to the log on disk. A failure marks the disk as failed and is passed on as OSError."""
        self.disk_busy_since = self.host.running_elapsed()
        try:
            self.store.append(entries=entries)
            self.agreement.disk_failed = False
        except OSError as error:
            self.agreement.note_disk_failure(error=error)
            raise
        finally:
            self.disk_busy_since = None

    def _validate(self, *, write: Write, tentative: State) -> Outcome | None:
        """The outcome of a change that adds no entry, None if it is accepted. Fills in the fields that the head
        decides: `digest` and `activateUs` of a configuration, `atUs` of a claim."""
        change = write.change
        now_us = instant_us(self.gossip.clock.issue_time())
        if change["kind"] == "config":
            verdict = validate_version(change=change, tentative=tentative)
            if verdict is not None:
                return verdict
            last_activate_us = instant_us(tentative.config.activate) if tentative.config else 0
            change["activateUs"] = max(now_us + self.settings.activateMs * 1000, last_activate_us + 1)
        elif change["kind"] == "engines":
            if change.get("based_on") not in (None, tentative.engines_mark):
                return Outcome(kind=OutcomeKind.MARK_OUTDATED, detail={"mark": tentative.engines_mark})
        elif change["kind"] == "claim":
            elapsed = self.host.elapsed() - self.tentative_since
            change["atUs"] = self.claims_time_us + to_us(elapsed)
            holder = tentative.claims.holder(key=change["key"], now_us=change["atUs"])
            if holder is not None:
                return Outcome(kind=OutcomeKind.CLAIMED, detail={"holder": holder})
            if len(tentative.claims) >= self.settings.claim_limit:
                return Outcome(kind=OutcomeKind.BUSY, detail={"why": "claims are full"}, retry_ms=60_000)
        return None

    # Replication.

    def _successor(self) -> str | None:
        chain = self.agreement.view.chain
        position = chain.index(self.agreement.own_disk) + 1
        return chain[position] if position < len(chain) else None

    def _push_to_successor(self) -> None:
        """Sends the entries that the successor lacks and applies those that it acknowledges. Does nothing if a newer
        view has removed this member from the chain."""
        if not self.agreement.is_member():
            return
        number = self.agreement.view.number
        successor = self._successor()
        if successor is None:
            if self.acting_tail():
                self._acknowledge(mark=self.synced_index)
            self.last_append_at = self.host.elapsed()
            self.host.sleep(wait=ms(50))
            return
        address = self.agreement.address(disk=successor)
        if address is None:
            self.host.sleep(wait=ms(50))
            return
        mark = self.state.mark
        for _ in range(1000):
            entries = self.entries_after(mark=mark)[:MAX_BATCH_ENTRIES]
            # Only a caught-up member can tell its successor that it is caught up too.
            upto = self.synced_index if self.store.caught_up else UNREACHABLE_INDEX
            request = Append(number=number, mark=mark, upto=upto, entries=entries)
            reply = self.rpc_client.call(address=address, request=request, wait=APPEND_TIMEOUT)
            if self.agreement.view.number != number:
                return
            if reply.state == "behind":
                mark = reply.mark
                continue
            if reply.state == "acked":
                self.last_append_at = self.host.elapsed()
                self.successor_acked = (number, reply.mark)
                self._acknowledge(mark=reply.mark)
            else:
                self.agreement.learn(view=reply.view)
                self.host.sleep(wait=ms(50))
            return

    def entries_after(self, *, mark: int) -> list[Entry]:
        """The retained entries with an index above `mark`."""
        base = self.store.base_index
        return self.store.entries[max(mark - base, 0) :]

    def on_append(self, *, request: Append) -> Appended:
        """Stores entries from the predecessor and replicates them further. The reply's state is `acked` with the last
        acknowledged index, `behind` if entries before the request's are missing, `disk` if the sync failed, and
        `refused` otherwise."""
        agreement = self.agreement
        with self.append_lock:
            if agreement.view is None or agreement.view.number != request.number or not agreement.is_member():
                return Appended(state="refused", mark=self.synced_index, view=agreement.view)
            if request.mark > self.synced_index:
                return Appended(state="behind", mark=self.synced_index)
            new_entries = [entry for entry in request.entries if entry.mark > self.synced_index]
            if new_entries and new_entries[0].mark != self.synced_index + 1:
                # The predecessor no longer retains the entries in between: leave the chain and rejoin from a snapshot.
                agreement.behind_retained_log = True
                return Appended(state="refused", mark=self.synced_index)
            if new_entries:
                try:
                    self.sync_entries(entries=new_entries)
                except OSError:
                    return Appended(state="disk", mark=self.synced_index)
                for entry in new_entries:
                    self.tentative.apply(mark=entry.mark, change=entry.change)
            upto = self.synced_index
            if not self.store.caught_up and upto >= request.upto:
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
            self._push_to_successor()
        except OSError:
            return Appended(state="refused", mark=upto)
        if self.successor_acked[0] != request.number:
            return Appended(state="refused", mark=upto)
        return Appended(state="acked", mark=self.successor_acked[1])

    def _acknowledge(self, *, mark: int) -> None:
        """Applies the entries that a tail has acknowledged, up to `mark`, and answers the waiting writes."""
        previous_news_mark = self.state.news_mark
        for entry in self.entries_after(mark=self.state.mark):
            if entry.mark > mark:
                break
            self.state.apply(mark=entry.mark, change=entry.change)
        self.note_known_configs()
        if self.state.news_mark != previous_news_mark:
            self.news_changed.notify_all()
        number = self.agreement.view.number
        previous_mark = self.acknowledged[1] if self.acknowledged[0] == number else 0
        self.acknowledged = (number, max(mark, previous_mark))
        self._answer_acknowledged()

    def _answer_acknowledged(self) -> None:
        """Answers the changes whose outcome depends only on entries that are acknowledged under the current view."""
        view = self.agreement.view
        number, mark = self.acknowledged
        if number != view.number:
            return
        decided = [write for write in self.waiting if write.index <= mark]
        self.waiting = [write for write in self.waiting if write.index > mark]
        for write in decided:
            if len(view.chain) < self.settings.copies:
                detail = {"why": f"{len(view.chain)} copies only: {self.settings.copies} must hold a change"}
                write.done.send(Outcome(kind=OutcomeKind.UNKNOWN, detail=detail))
            else:
                write.done.send(write.verdict or self._accepted_outcome(write=write))

    def _accepted_outcome(self, *, write: Write) -> Outcome:
        detail = {"mark": write.index}
        if "activateUs" in write.change:
            detail["activateUs"] = write.change["activateUs"]
        return Outcome(kind=OutcomeKind.ANSWERED, detail=detail)

    def note_known_configs(self) -> None:
        """Records when each configuration became known; keeps the last 50."""
        for config in self.state.configs:
            self.config_known_since.setdefault(config.mark, self.host.elapsed())
        while len(self.config_known_since) > 50:
            del self.config_known_since[min(self.config_known_since)]

    def run_maintenance(self) -> None:
        """Compacts a log file that has grown long, detects a stalled disk, and retries a failed one."""
        while True:
            self.host.sleep(wait=ms(500))
            busy_since = self.disk_busy_since
            if busy_since is not None and self.host.running_elapsed() - busy_since > DISK_STALL_TIMEOUT:
                self.agreement.disk_failed = True
            elif self.agreement.disk_failed:
                # Members of the chain retry as well: if every disk has failed, no view can remove any of them.
                with self.append_lock:
                    try:
                        self.store.vote(disk=self.store.disk)
                        self.agreement.disk_failed = False
                    except OSError:
                        continue
            with self.append_lock:
                try:
                    self.store.compact(state=self.state)
                except OSError as error:
                    self.host.log(LogEvent.DISK_FAILED, error=error)

    # Reads: what the tail has acknowledged, and how stale this member's knowledge of it is.

    def acting_tail(self) -> bool:
        """Whether this member may answer as the tail: it is the tail, holds a lease and is caught up. The first time
        under a view, applies all entries that it holds."""
        agreement = self.agreement
        if not agreement.is_tail() or not agreement.holds_lease() or not self.store.caught_up:
            return False
        if self.tail_view != agreement.view.number:
            self._acknowledge(mark=self.synced_index)
            self.tail_view = agreement.view.number
        return True

    def staleness(self) -> timedelta:
        """How old this member's knowledge of the acknowledged state is; zero at the tail."""
        if self.acting_tail():
            return ZERO
        return self.host.elapsed() - self.fresh_as_of

    def run_confirmation(self) -> None:
        """Asks the tail eight times per lease duration, which bounds the staleness of `state`."""
        while True:
            self.host.sleep(wait=self.agreement.lease_duration / 8)
            if self.agreement.is_member() and not self.agreement.is_tail():
                self._confirm_with_tail()

    def confirm_read(self) -> bool:
        """Whether `state` includes everything that was acknowledged before this call. The tail must confirm it, under
        its lease, after the call began. Works on any member: one round trip to the tail, none at the tail itself."""
        if self.acting_tail():
            return True
        if not self.agreement.is_member() or self.agreement.is_tail():
            return False
        started_at = self.host.elapsed()
        self._confirm_with_tail()
        return self.fresh_as_of >= started_at

    def _confirm_with_tail(self) -> None:
        """Asks the tail up to which index entries are acknowledged. The request and the reply also carry sessions."""
        agreement = self.agreement
        tail = agreement.view.chain[-1]
        address = agreement.address(disk=tail)
        if address is None:
            return
        if self.sessions.exchange.tail != tail:
            self.sessions.exchange = TailExchange(tail=tail, sent_upto=ZERO, received_until_us=0)
        sent_at = self.host.elapsed()
        request = ConfirmAsk(
            number=agreement.view.number,
            sessions=self.sessions.active(since=self.sessions.exchange.sent_upto, at=self.sessions.renewed_at),
            sinceUs=self.sessions.exchange.received_until_us,
        )
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=agreement.lease_duration / 2)
        except OSError:
            # The tail may have restarted, and lost the sessions that it was sent.
            self.sessions.exchange = TailExchange(tail=tail, sent_upto=ZERO, received_until_us=0)
            return
        self.sessions.exchange = TailExchange(tail=tail, sent_upto=sent_at, received_until_us=reply.untilUs)
        agreement.learn(view=reply.view)
        if reply.granted and agreement.view.number == request.number and reply.mark <= self.synced_index:
            self._acknowledge(mark=reply.mark)
            self.fresh_as_of = max(self.fresh_as_of, sent_at)
        self.sessions.merge(cards=reply.sessions)

    def on_confirm(self, *, request: ConfirmAsk) -> ConfirmReply:
        """As the tail: confirms the acknowledged index, and exchanges sessions with the requester."""
        agreement = self.agreement
        self.sessions.merge(cards=request.sessions)
        view = agreement.view
        granted = view is not None and view.number == request.number and self.acting_tail()
        now = self.host.elapsed()
        # `sinceUs` is meaningless if it dates from before this host's monotonic clock restarted.
        since = us(request.sinceUs) if us(request.sinceUs) <= now else ZERO
        return ConfirmReply(
            granted=granted,
            mark=self.state.mark,
            view=view if view is not None and view.number > request.number else None,
            sessions=self.sessions.active(since=since, at=self.sessions.reached_at),
            untilUs=to_us(now),
        )
