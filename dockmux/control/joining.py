"""Coming into the chain, or back in, at its tail: snapshots in parts, then the entries that are still lacking."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.control.chain_replica import BATCH_MOST, ChainReplica
from dockmux.control.replica_store import ReplicaStore
from dockmux.control.state import Snapshot, State
from dockmux.control.view_agreement import ViewAgreement
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import JoinAsk, JoinReply
from dockmux.runtime.rpc import RpcClient

JOIN_PAUSE = timedelta(milliseconds=100)
JOIN_LIMIT = timedelta(seconds=1)
# So many entries are handed over at a time.
JOIN_CHUNK = 2000
# A snapshot that nobody has asked for a part of for so long is dropped.
HANDOVER_LIMIT = timedelta(seconds=10)


@dataclasses.dataclass(kw_only=True)
class Handover:
    """A snapshot on its way to a core that comes in."""

    snapshot: Snapshot
    asked_at: timedelta


class Joining:
    """Both sides of a hand-over: the core that comes in, and the tail that brings it up.

    Invariants: whoever comes in begins with a snapshot of acknowledged state, whatever its disk held; it becomes a
    candidate for the chain only when few entries are lacking; `handed` holds the snapshots on their way, by disk.
    """

    def __init__(
        self, *, host: Host, store: ReplicaStore, agreement: ViewAgreement, chain: ChainReplica, rpc_client: RpcClient
    ) -> None:
        self.host = host
        self.store = store
        self.agreement = agreement
        self.chain = chain
        self.rpc_client = rpc_client
        self.needs_snapshot = True
        self.handed: dict[str, Handover] = {}

    def run(self) -> None:
        while True:
            self.host.sleep(wait=JOIN_PAUSE)
            agreement = self.agreement
            if agreement.view is None or agreement.ailing or agreement.leaving:
                continue
            if agreement.member():
                self.needs_snapshot = True
                continue
            try:
                if self.needs_snapshot:
                    self._take_snapshot()
                if not self.needs_snapshot:
                    self._catch_up()
            except OSError:
                agreement.ask_for_view()

    def _take_snapshot(self) -> None:
        """From any member, the last first: whatever one has folded is acknowledged. So a core that comes in need not
        wait for the tail's lease under a view that has just begun."""
        for disk in reversed(self.agreement.view.chain):
            address = self.agreement.address(disk=disk)
            if address is None:
                continue
            try:
                state = self._fetch_snapshot(address=address)
            except OSError:
                continue
            if state is not None:
                self._become(state=state)
                return
        self.agreement.ask_for_view()

    def _catch_up(self) -> None:
        """Asks the tail for what is still lacking, which makes this core a candidate once that is little."""
        address = self.agreement.address(disk=self.agreement.view.chain[-1])
        if address is None:
            self.agreement.ask_for_view()
            return
        request = JoinAsk(disk=self.agreement.me, mark=self.chain.synced, fresh=False)
        reply = self.rpc_client.call(address=address, request=request, wait=JOIN_LIMIT)
        self.agreement.learn(view=reply.view)
        with self.chain.extending:
            if self.agreement.member():
                return
            if reply.granted:
                fresh = [entry for entry in reply.entries if entry.mark > self.chain.synced]
                if fresh:
                    self.chain.sync(entries=fresh)
                    for entry in fresh:
                        self.chain.state.fold(mark=entry.mark, change=entry.change)
                    self.chain.note_learned()
                self.chain.planned = self.chain.state.copy()
            elif self.chain.synced < reply.mark:
                # The tail no longer has what is between.
                self.needs_snapshot = True

    def _become(self, *, state: State) -> None:
        with self.chain.extending:
            if self.agreement.member():
                return
            self.store.entries = []
            self.store.reset(state=state)
            self.chain.state.__dict__.update(state.__dict__)
            self.chain.planned = self.chain.state.copy()
            self.chain.note_learned()
            self.needs_snapshot = self.agreement.outrun = False
            self.host.log(LogEvent.CORE_JOINED, mark=state.mark)

    def _fetch_snapshot(self, *, address: str) -> State | None:
        """The tail's state, part by part."""
        state = State(keep=self.store.keep)
        number, parts = 0, 1
        while number < parts:
            request = JoinAsk(disk=self.agreement.me, mark=state.mark, fresh=True, part=number)
            reply = self.rpc_client.call(address=address, request=request, wait=JOIN_LIMIT)
            self.agreement.learn(view=reply.view)
            told = reply.snapshot
            if told is None or told["part"] != number or (number and told["mark"] != state.mark):
                return None
            state.restore(fields=told)
            number, parts = number + 1, told["parts"]
        return state

    def on_join(self, *, request: JoinAsk) -> JoinReply:
        agreement = self.agreement
        view = agreement.view
        if request.fresh:
            part = self._snapshot_part(request=request) if agreement.member() else None
            return JoinReply(granted=part is not None, mark=self.chain.state.mark, entries=[], snapshot=part, view=view)
        if not self.chain.acting_tail():
            return JoinReply(granted=False, mark=self.chain.state.mark, entries=[], view=view)
        if request.mark < self.store.base_mark:
            return JoinReply(granted=False, mark=self.chain.state.mark, entries=[])
        missing = [entry for entry in self.chain.after(mark=request.mark) if entry.mark <= self.chain.state.mark]
        if len(missing) <= BATCH_MOST:
            agreement.note_candidate(disk=request.disk)
        return JoinReply(granted=True, mark=self.chain.state.mark, entries=missing[:JOIN_CHUNK])

    def _snapshot_part(self, *, request: JoinAsk) -> dict[str, Any] | None:
        """The part asked for, of the snapshot that this core began with; several may come in at once."""
        now = self.host.elapsed()
        self.handed = {d: h for d, h in self.handed.items() if now - h.asked_at < HANDOVER_LIMIT}
        if request.part == 0:
            self.handed[request.disk] = Handover(snapshot=self.chain.state.snapshot(), asked_at=now)
        handover = self.handed.get(request.disk)
        if handover is None or request.part >= len(handover.snapshot):
            return None
        handover.asked_at = now
        return handover.snapshot.part(number=request.part)
