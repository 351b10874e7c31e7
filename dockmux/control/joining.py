"""Joining or rejoining the chain at its tail: a snapshot in parts, then the log entries after it."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.control.chain_replica import MAX_BATCH_ENTRIES, ChainReplica
from dockmux.control.replica_store import ReplicaStore
from dockmux.control.state import Snapshot, State
from dockmux.control.view_agreement import ViewAgreement
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import JoinAsk, JoinReply
from dockmux.runtime.rpc import RpcClient

JOIN_POLL_INTERVAL = timedelta(milliseconds=100)
JOIN_TIMEOUT = timedelta(seconds=1)
# Entries per catch-up reply.
MAX_CATCH_UP_ENTRIES = 2000
# A snapshot is dropped when no part of it has been requested for this long.
SNAPSHOT_TRANSFER_TIMEOUT = timedelta(seconds=10)


@dataclasses.dataclass(kw_only=True)
class SnapshotTransfer:
    """A snapshot that is being sent to a joining core."""

    snapshot: Snapshot
    last_requested_at: timedelta


class Joining:
    """Both sides of a join: the core that joins, and the members that send it a snapshot and the entries after it.

    Invariants:
    - a joining core starts from a snapshot of acknowledged state, whatever its disk holds;
    - it becomes a candidate for the chain only when at most `MAX_BATCH_ENTRIES` entries are missing;
    - `transfers` has the snapshots being sent, by the disk of the core that receives them.
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
        self.transfers: dict[str, SnapshotTransfer] = {}

    def run(self) -> None:
        """Joins the chain whenever this core has a view but is not in its chain."""
        while True:
            self.host.sleep(wait=JOIN_POLL_INTERVAL)
            agreement = self.agreement
            if agreement.view is None or agreement.disk_failed or agreement.leaving:
                continue
            if agreement.is_member():
                self.needs_snapshot = True
                continue
            try:
                if self.needs_snapshot:
                    self._fetch_from_members()
                if not self.needs_snapshot:
                    self._catch_up()
            except OSError:
                agreement.ask_for_view()

    def _fetch_from_members(self) -> None:
        """Loads a snapshot from any member, the tail first. Every member's applied state is acknowledged, so a joining
        core need not wait for the tail's lease under a new view."""
        for disk in reversed(self.agreement.view.chain):
            address = self.agreement.address(disk=disk)
            if address is None:
                continue
            try:
                state = self._fetch_snapshot(address=address)
            except OSError:
                continue
            if state is not None:
                self._install_snapshot(state=state)
                return
        self.agreement.ask_for_view()

    def _catch_up(self) -> None:
        """Fetches the missing entries from the tail, which adds this core as a candidate once few are missing."""
        address = self.agreement.address(disk=self.agreement.view.chain[-1])
        if address is None:
            self.agreement.ask_for_view()
            return
        request = JoinAsk(disk=self.agreement.own_disk, mark=self.chain.synced_index, fresh=False)
        reply = self.rpc_client.call(address=address, request=request, wait=JOIN_TIMEOUT)
        self.agreement.learn(view=reply.view)
        with self.chain.append_lock:
            if self.agreement.is_member():
                return
            if reply.granted:
                fresh = [entry for entry in reply.entries if entry.mark > self.chain.synced_index]
                if fresh:
                    self.chain.sync_entries(entries=fresh)
                    for entry in fresh:
                        self.chain.state.apply(mark=entry.mark, change=entry.change)
                    self.chain.note_known_configs()
                self.chain.tentative = self.chain.state.copy()
            elif self.chain.synced_index < reply.mark:
                # The tail no longer retains the entries in between.
                self.needs_snapshot = True

    def _install_snapshot(self, *, state: State) -> None:
        """Replaces the stored log and the state, in place, by a snapshot. Does nothing if this core is a
        member again."""
        with self.chain.append_lock:
            if self.agreement.is_member():
                return
            self.store.entries = []
            self.store.reset(state=state)
            self.chain.state.__dict__.update(state.__dict__)
            self.chain.tentative = self.chain.state.copy()
            self.chain.note_known_configs()
            self.needs_snapshot = self.agreement.behind_retained_log = False
            self.host.log(LogEvent.CORE_JOINED, mark=state.mark)

    def _fetch_snapshot(self, *, address: str) -> State | None:
        """A member's state, fetched part by part; None if the member has none to send or the snapshot
        changed meanwhile."""
        state = State(claim_retention=self.store.claim_retention)
        number, parts = 0, 1
        while number < parts:
            request = JoinAsk(disk=self.agreement.own_disk, mark=state.mark, fresh=True, part=number)
            reply = self.rpc_client.call(address=address, request=request, wait=JOIN_TIMEOUT)
            self.agreement.learn(view=reply.view)
            part = reply.snapshot
            if part is None or part["part"] != number or (number and part["mark"] != state.mark):
                return None
            state.restore(fields=part)
            number, parts = number + 1, part["parts"]
        return state

    def on_join(self, *, request: JoinAsk) -> JoinReply:
        """As a member: sends a snapshot part (`fresh`). As the tail: sends acknowledged entries after `request.mark`,
        or refuses if they are no longer retained."""
        agreement = self.agreement
        view = agreement.view
        if request.fresh:
            part = self._snapshot_part(request=request) if agreement.is_member() else None
            return JoinReply(granted=part is not None, mark=self.chain.state.mark, entries=[], snapshot=part, view=view)
        if not self.chain.acting_tail():
            return JoinReply(granted=False, mark=self.chain.state.mark, entries=[], view=view)
        if request.mark < self.store.base_index:
            return JoinReply(granted=False, mark=self.chain.state.mark, entries=[])
        missing = [
            entry for entry in self.chain.entries_after(mark=request.mark) if entry.mark <= self.chain.state.mark
        ]
        if len(missing) <= MAX_BATCH_ENTRIES:
            agreement.add_candidate(disk=request.disk)
        return JoinReply(granted=True, mark=self.chain.state.mark, entries=missing[:MAX_CATCH_UP_ENTRIES])

    def _snapshot_part(self, *, request: JoinAsk) -> dict[str, Any] | None:
        """The requested part of the snapshot that this core's transfer began with; several cores may join at once."""
        now = self.host.elapsed()
        self.transfers = {
            disk: kept
            for disk, kept in self.transfers.items()
            if now - kept.last_requested_at < SNAPSHOT_TRANSFER_TIMEOUT
        }
        if request.part == 0:
            self.transfers[request.disk] = SnapshotTransfer(snapshot=self.chain.state.snapshot(), last_requested_at=now)
        transfer = self.transfers.get(request.disk)
        if transfer is None or request.part >= len(transfer.snapshot):
            return None
        transfer.last_requested_at = now
        return transfer.snapshot.part(number=request.part)
