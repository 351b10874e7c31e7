"""Agreement on the configuration of the replication chain, and the leases under which its members act.

A view names the chain (head first) and the voters. The first view is agreed on unanimously when the control plane is
founded; each later view number is one instance of single-decree Paxos among the voters of the view before it. Members
act under a view only while a majority of its voters has granted them a lease (`permitMs` in the settings).
"""

import dataclasses
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from eventlet.semaphore import Semaphore

from dockmux.clock.peer_table import PeerTable
from dockmux.control.replica_store import ReplicaStore
from dockmux.runtime import codec
from dockmux.runtime.condition import Condition
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import (
    AcceptAsk,
    FoundAsk,
    GrantAsk,
    PeerCard,
    PromiseAsk,
    View,
    ViewNews,
    VoteReply,
)  # fmt: skip
from dockmux.runtime.rpc import RpcClient
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ZERO, ms, to_ms

# A lease of the previous view is waited out 2 % longer, because the monotonic clocks of two hosts run at different
# rates.
CLOCK_DRIFT_FACTOR = 1.02


def _count_granted(replies: list[VoteReply]) -> int:
    return sum(reply.granted for reply in replies)


def _enough_caught_up(replies: list[VoteReply], *, view: View, copies: int) -> bool:
    """Whether the head of `view` and at least `copies` of its members have reported, with a promise, that they are
    caught up."""
    caught_up = {reply.disk for reply in replies if reply.granted and reply.level}
    return view.chain[0] in caught_up and len(caught_up.intersection(view.chain)) >= copies


@dataclasses.dataclass(frozen=True, kw_only=True)
class Founders:
    """The disks that found a control plane. Invariant: `proposer` is the disk of the first seed, if any seed
    is a core."""

    disks: list[str]
    seeds: frozenset[str]
    proposer: str


class ViewAgreement:
    """One core as proposer, acceptor and learner of views, and as holder and grantor of leases.

    Disks are named by their identity (`ReplicaStore.disk`); times are on this host's monotonic clock.

    Invariants:
    - a voter of view n that has accepted a view n+1 grants no lease under view n any more;
    - a lease is counted from before its request was sent, and needs grants from a majority of the view's voters;
    - no member acts under a view before every lease of the previous view must have expired (`may_act_from`);
    - a core votes only under a view that names its disk as a voter;
    - `disk_failed` is set while the last write to this disk failed or is stalled, `behind_retained_log` when the
      predecessor no longer retains the entries that this member lacks; either gets this member removed from the chain;
    - a member that is not caught up never becomes the head: it refuses to accept such a view, and no view is proposed
      unless its head has reported with its promise that it is caught up;
    - a member that is `leaving` sends no orders to engines and does not rejoin; it is removed by a view in which enough
      caught-up members remain;
    - `append_lock` is held while entries are appended, so that no view is adopted meanwhile;
    - `grants` has, for each voter, when the request was sent that it last granted under the current view.
    """

    def __init__(
        self,
        *,
        host: Host,
        settings: Settings,
        store: ReplicaStore,
        peers: PeerTable,
        rpc_client: RpcClient,
        task_group: TaskGroup,
    ) -> None:
        self.host = host
        self.settings = settings
        self.store = store
        self.peers = peers
        self.rpc_client = rpc_client
        self.task_group = task_group
        self.lease_duration = ms(settings.permitMs)
        self.suspect_timeout = ms(settings.suspectMs)
        self.grants: dict[str, timedelta] = {}
        self.last_heard: dict[str, timedelta] = {}
        self.grants_in_flight: set[str] = set()
        self.view_adopted_at = host.elapsed()
        self.silence_counts_from = host.running_elapsed()
        self.may_act_from = host.elapsed() + self.lease_duration * CLOCK_DRIFT_FACTOR
        self.vote_lock = Semaphore(1)
        self.append_lock = Semaphore(1)
        self.ballot = 0
        self.disk_failed = False
        self.behind_retained_log = False
        self.leaving = False
        self.leaving_peers: set[str] = set()
        self.join_candidates: dict[str, timedelta] = {}
        self.candidate_added = Condition()
        self.refused_until: dict[str, timedelta] = {}

    @property
    def view(self) -> View | None:
        return self.store.view

    @property
    def own_disk(self) -> str:
        return self.store.disk

    def is_member(self) -> bool:
        return self.view is not None and self.own_disk in self.view.chain

    def is_head(self) -> bool:
        return self.is_member() and self.view.chain[0] == self.own_disk

    def is_tail(self) -> bool:
        return self.is_member() and self.view.chain[-1] == self.own_disk

    def core_cards(self) -> list[PeerCard]:
        return [card for card in self.peers.live_cards() if card.role == "core"]

    def address(self, *, disk: str) -> str | None:
        """The daemon address of a disk, None if no core with it is known."""
        for card in self.core_cards():
            if card.disk == disk:
                return card.address
        return None

    # Leases.

    def lease_expiry(self) -> timedelta:
        """When this member's lease expires, on the monotonic clock; zero if it holds none."""
        if not self.is_member():
            return ZERO
        request_times = sorted((self.grants.get(voter, ZERO) for voter in self.view.voters), reverse=True)
        majority_index = len(self.view.voters) // 2
        return request_times[majority_index] + self.lease_duration if request_times[majority_index] else ZERO

    def holds_lease(self) -> bool:
        """Whether this member may act under its view now."""
        now = self.host.elapsed()
        return self.may_act_from <= now < self.lease_expiry()

    def run_lease_renewal(self) -> None:
        """Renews the lease: asks every voter four times per lease duration. A voter that is not in
        the chain, or whose disk failed, asks with view number 0: it gets no lease but learns of newer views and of
        which voters are reachable."""
        while True:
            if self.is_member() and not self.disk_failed:
                for voter in self.view.voters:
                    if voter not in self.grants_in_flight:
                        self.grants_in_flight.add(voter)
                        self.task_group.start(task=self._request_grant, voter=voter, number=self.view.number)
            elif self.view is not None and self.own_disk in self.view.voters:
                for voter in self.view.voters:
                    if voter not in self.grants_in_flight:
                        self.grants_in_flight.add(voter)
                        self.task_group.start(task=self._request_grant, voter=voter, number=0)
            self.host.sleep(wait=self.lease_duration / 4)

    def _request_grant(self, *, voter: str, number: int) -> None:
        try:
            sent_at = self.host.elapsed()
            request = GrantAsk(number=number, disk=self.own_disk, leaving=self.leaving)
            if voter == self.own_disk:
                reply = self.on_grant(request=request)
            else:
                address = self.address(disk=voter)
                if address is None:
                    return
                reply = self.rpc_client.call(address=address, request=request, wait=self.lease_duration / 2)
            if reply.disk != voter:
                return
            self.last_heard[voter] = self.host.running_elapsed()
            if reply.granted and self.view.number == number:
                self.grants[voter] = max(sent_at, self.grants.get(voter, ZERO))
            self.learn(view=reply.view)
        except OSError:
            return
        finally:
            self.grants_in_flight.discard(voter)

    def on_grant(self, *, request: GrantAsk) -> VoteReply:
        """Grants a lease under this voter's own view, or answers with a newer view to a requester that is behind."""
        self.last_heard[request.disk] = self.host.running_elapsed()
        if request.leaving:
            self.leaving_peers.add(request.disk)
        else:
            self.leaving_peers.discard(request.disk)
        view = self.view
        granted = (
            view is not None
            and view.number == request.number
            and self.own_disk in view.voters
            and request.disk in view.chain
            and not (self.store.accepted and self.store.accepted["number"] > view.number)
        )
        behind = view is not None and view.number > request.number
        return VoteReply(granted=granted, disk=self.own_disk, view=view if behind else None)

    # Adopting a decided view.

    def learn(self, *, view: View | None) -> None:
        """Adopts a decided view if it is newer than the current one, and waits out the leases of the previous one."""
        if view is None or (self.view is not None and view.number <= self.view.number):
            return
        with self.append_lock, self.vote_lock:
            if self.view is not None and view.number <= self.view.number:
                return
            caught_up = self._stays_caught_up(view=view)
            try:
                self.store.vote(view=view, level=caught_up)
            except OSError as error:
                # The view is decided whether or not this disk can store it; after a restart it is learned again.
                self.store.view, self.store.caught_up = view, caught_up
                self.note_disk_failure(error=error)
            self.grants.clear()
            self.join_candidates.clear()
            self.view_adopted_at = self.host.elapsed()
            self.silence_counts_from = self.host.running_elapsed()
            self.may_act_from = self.view_adopted_at + self.lease_duration * CLOCK_DRIFT_FACTOR
        self.host.log(
            LogEvent.VIEW_ADOPTED, number=view.number, chain=",".join(view.chain), voters=",".join(view.voters)
        )

    def _stays_caught_up(self, *, view: View) -> bool:
        """Whether this member is still caught up under `view`. It is if it was caught up before and has been in the
        chain without a break since, even if it missed views in between. A member that just joined must first receive
        the missing entries from its predecessor, because entries were acknowledged without it until it joined."""
        if self.own_disk not in view.chain:
            return False
        if view.number == 1:
            return True
        previous = self.view
        if previous is None or self.own_disk not in previous.chain or not self.store.caught_up:
            return False
        return view.joined.get(self.own_disk, view.number - 1) <= previous.number

    def _is_caught_up(self) -> bool:
        """Whether this member is in the chain and holds every acknowledged entry."""
        return self.is_member() and self.store.caught_up

    def _would_head_incomplete(self, *, view: View) -> bool:
        """Whether `view` would make this member the head although it lacks acknowledged entries."""
        return view.chain[0] == self.own_disk and not self.store.caught_up

    def note_disk_failure(self, *, error: OSError) -> None:
        """Marks the disk as failed, which removes this member from the chain until a write succeeds again."""
        if not self.disk_failed:
            self.host.log(LogEvent.DISK_FAILED, error=error)
        self.disk_failed = True

    def _sync_vote(self, **fields: Any) -> bool:
        try:
            self.store.vote(**fields)
        except OSError as error:
            self.note_disk_failure(error=error)
            return False
        return True

    def on_view_news(self, *, request: ViewNews) -> VoteReply:
        self.learn(view=request.view)
        return VoteReply(granted=True, disk=self.own_disk, view=self.view)

    def _broadcast_view(self, *, view: View) -> None:
        for card in self.core_cards():
            self.task_group.start(task=self._send_view, address=card.address, view=view)

    def _send_view(self, *, address: str, view: View) -> None:
        try:
            reply = self.rpc_client.call(address=address, request=ViewNews(view=view), wait=self.lease_duration)
            self.learn(view=reply.view)
        except OSError:
            return

    # Voting. A promise or an acceptance is synced to disk before it is answered.

    def on_promise(self, *, request: PromiseAsk) -> VoteReply:
        """Promises a ballot for the next view number, and reports the view accepted before, if any. A refusal carries
        the higher ballot or the newer view that caused it."""
        with self.vote_lock:
            if self.view is None or self.own_disk not in self.view.voters or self.view.number != request.number - 1:
                return VoteReply(granted=False, disk=self.own_disk, view=self.view)
            promised = self._promised_ballot(number=request.number)
            if (request.ballot, request.proposer) <= promised:
                return VoteReply(granted=False, disk=self.own_disk, ballot=promised[0])
            if not self._sync_vote(promised=codec.to_fields(message=request)):
                return VoteReply(granted=False, disk=self.own_disk)
            accepted = self.store.accepted
            if accepted is None or accepted["number"] != request.number:
                return VoteReply(granted=True, disk=self.own_disk, level=self._is_caught_up())
            return VoteReply(
                granted=True,
                disk=self.own_disk,
                level=self._is_caught_up(),
                accepted_ballot=accepted["ballot"],
                accepted_proposer=accepted["proposer"],
                accepted=codec.from_fields(message_type=View, fields=accepted["view"]),
            )

    def _promised_ballot(self, *, number: int) -> tuple[int, str]:
        promised = self.store.promised
        if promised["number"] != number:
            return (0, "")
        return (promised["ballot"], promised["proposer"])

    def on_accept(self, *, request: AcceptAsk) -> VoteReply:
        """Accepts a view unless a higher ballot was promised or the view would make this lagging member the head."""
        number = request.view.number
        with self.vote_lock:
            if self.view is None or self.own_disk not in self.view.voters or self.view.number != number - 1:
                return VoteReply(granted=False, disk=self.own_disk, view=self.view)
            if self._would_head_incomplete(view=request.view):
                return VoteReply(granted=False, disk=self.own_disk)
            if (request.ballot, request.proposer) < self._promised_ballot(number=number):
                return VoteReply(granted=False, disk=self.own_disk, ballot=self._promised_ballot(number=number)[0])
            synced = self._sync_vote(
                promised={"number": number, "ballot": request.ballot, "proposer": request.proposer},
                accepted={
                    "number": number,
                    "ballot": request.ballot,
                    "proposer": request.proposer,
                    "view": codec.to_fields(message=request.view),
                },
            )
            return VoteReply(granted=synced, disk=self.own_disk)

    def _request_votes(
        self, *, request: Any, voters: list[str], local_handler: Any, is_enough: Callable[[list[VoteReply]], bool]
    ) -> list[VoteReply]:  # fmt: skip
        """Asks all voters in parallel. Returns the replies received when `is_enough` accepts them, when all voters have
        replied, or after one lease duration, whichever comes first."""
        replies: list[VoteReply] = []
        reply_arrived = Condition()
        for voter in voters:
            self.task_group.start(
                task=self._request_vote,
                request=request,
                voter=voter,
                local_handler=local_handler,
                replies=replies,
                reply_arrived=reply_arrived,
            )
        end = self.host.elapsed() + self.lease_duration
        while len(replies) < len(voters) and not is_enough(replies):
            if not reply_arrived.wait(wait=end - self.host.elapsed()):
                break
        return list(replies)

    def _request_vote(
        self, *, request: Any, voter: str, local_handler: Any, replies: list[VoteReply], reply_arrived: Condition
    ) -> None:
        try:
            if voter == self.own_disk:
                replies.append(local_handler(request=request))
                return
            address = self.address(disk=voter)
            if address is not None:
                reply = self.rpc_client.call(address=address, request=request, wait=self.lease_duration)
                if reply.disk == voter:
                    replies.append(reply)
        except OSError:
            return
        finally:
            reply_arrived.notify_all()

    def propose(self, *, chain: list[str], voters: list[str], copies: int = 1) -> bool:
        """Runs one ballot for the next view; returns whether a view was decided. A view that a voter accepted in an
        earlier ballot takes precedence over the one given. Otherwise the head, and at least `copies` members of the
        new chain, must have reported with their promises that they are caught up: a caught-up member stays so until
        the view is adopted."""
        current = self.view
        proposed = View(number=current.number + 1, chain=chain, voters=voters, joined=self._joined_since(chain=chain))
        self.host.log(LogEvent.VIEW_PROPOSED, number=proposed.number, chain=",".join(chain), voters=",".join(voters))
        self.ballot += 1
        majority = len(current.voters) // 2 + 1
        request = PromiseAsk(number=proposed.number, ballot=self.ballot, proposer=self.own_disk)

        def enough_promises(replies: list[VoteReply]) -> bool:
            previously_accepted = any(reply.accepted is not None for reply in replies)
            return _count_granted(replies) >= majority and (
                previously_accepted or _enough_caught_up(replies, view=proposed, copies=copies)
            )  # fmt: skip

        promises = self._request_votes(
            request=request, voters=current.voters, local_handler=self.on_promise, is_enough=enough_promises
        )
        self._process_replies(replies=promises)
        if _count_granted(promises) < majority or self.view is not current:
            return False
        accepted_earlier = [reply for reply in promises if reply.granted and reply.accepted is not None]
        if not accepted_earlier and not _enough_caught_up(promises, view=proposed, copies=copies):
            return False
        if accepted_earlier:
            proposed = max(
                accepted_earlier, key=lambda reply: (reply.accepted_ballot, reply.accepted_proposer)
            ).accepted
        accept = AcceptAsk(ballot=self.ballot, proposer=self.own_disk, view=proposed)

        def enough_accepts(replies: list[VoteReply]) -> bool:
            return _count_granted(replies) >= majority

        accepts = self._request_votes(
            request=accept, voters=current.voters, local_handler=self.on_accept, is_enough=enough_accepts
        )
        self._process_replies(replies=accepts)
        if _count_granted(accepts) < majority:
            return False
        self._broadcast_view(view=proposed)
        self.learn(view=proposed)
        return True

    def _joined_since(self, *, chain: list[str]) -> dict[str, int]:
        """For each disk of the next chain, the view number since which it has been in the chain without a break."""
        view = self.view
        next_number = view.number + 1
        return {
            disk: view.joined.get(disk, view.number) if disk in view.chain else next_number for disk in chain
        }  # fmt: skip

    def _process_replies(self, *, replies: list[VoteReply]) -> None:
        """Takes over higher ballots and newer views from replies."""
        for reply in replies:
            self.ballot = max(self.ballot, reply.ballot)
            self.learn(view=reply.view)

    # Founding (cluster bootstrap): requires all founding cores, each with an empty disk, to agree on the same set.

    def run_founding(self) -> None:
        """Proposes or awaits the first view until this core has one."""
        while self.view is None:
            self.host.sleep(wait=ms(300) + ms(self.host.random.randrange(200)))
            founders = self._founders()
            if self.store.founding is not None:
                self._propose_founding(view=self.store.founding)
            elif self.store.may_found and founders and founders.proposer == self.own_disk:
                self._propose_founding(view=View(number=1, chain=founders.disks, voters=founders.disks))
            elif not self.store.may_found or not founders or founders.proposer != self.own_disk:
                self.ask_for_view()

    def _founders(self) -> Founders | None:
        """The first `settings.cores` disks, seeds first; None until enough cores and every seed have been heard from.
        All cores are configured with the same seeds, so they agree on the proposer whichever other cores they know."""
        cards_by_address = {card.address: card for card in self.peers.live_cards()}
        if any(seed not in cards_by_address and seed != self.settings.address for seed in self.settings.seeds):
            return None
        disks = {card.address: card.disk for card in cards_by_address.values() if card.role == "core" and card.disk}
        disks[self.settings.address] = self.own_disk
        seeds = sorted(disk for address, disk in disks.items() if address in self.settings.seeds)
        others = sorted(disk for address, disk in disks.items() if address not in self.settings.seeds)
        chosen = [*seeds, *others][: self.settings.cores]
        if len(chosen) < self.settings.cores:
            return None
        return Founders(disks=sorted(chosen), seeds=frozenset(seeds), proposer=chosen[0])

    def _propose_founding(self, *, view: View) -> None:
        request = FoundAsk(view=view)

        def unanimous(replies: list[VoteReply]) -> bool:
            return _count_granted(replies) == len(view.voters)

        replies = self._request_votes(
            request=request, voters=view.voters, local_handler=self.on_found, is_enough=unanimous
        )
        self._process_replies(replies=replies)
        if unanimous(replies) and self.view is None:
            self.host.log(LogEvent.CONTROL_PLANE_FOUNDED, voters=",".join(view.voters))
            self.learn(view=view)
            self._broadcast_view(view=view)

    def on_found(self, *, request: FoundAsk) -> VoteReply:
        """Votes for a first view. A disk votes for one set only, and only if it was empty and is allowed to found."""
        with self.vote_lock:
            if self.view is not None:
                return VoteReply(granted=False, disk=self.own_disk, view=self.view)
            if self.store.founding is not None:
                return VoteReply(granted=self.store.founding == request.view, disk=self.own_disk)
            if not self.store.may_found:
                return VoteReply(granted=False, disk=self.own_disk)
            if not self._agrees_with_founders(disks=request.view.voters):
                return VoteReply(granted=False, disk=self.own_disk)
            return VoteReply(granted=self._sync_vote(founding=request.view), disk=self.own_disk)

    def _agrees_with_founders(self, *, disks: list[str]) -> bool:
        """Whether the proposer could have chosen these disks: it may know other cores than this one does, but the same
        seeds."""
        founders = self._founders()
        if founders is None or self.own_disk not in disks or len(disks) != self.settings.cores:
            return False
        return founders.disks == disks or (bool(founders.seeds) and founders.seeds <= set(disks))

    def ask_for_view(self) -> None:
        """Asks every core for a newer view: a decided view is announced only once, and the message may be lost."""
        for card in self.core_cards():
            self.task_group.start(task=self._ask_core_for_view, address=card.address)

    def _ask_core_for_view(self, *, address: str) -> None:
        try:
            request = GrantAsk(number=self.view.number if self.view else 0, disk=self.own_disk)
            reply = self.rpc_client.call(address=address, request=request, wait=self.lease_duration)
            self.learn(view=reply.view)
        except OSError:
            return

    # Repair: remove members that are silent, add candidates that have caught up.

    def silence_of(self, *, disk: str) -> timedelta:
        """How long nothing has been heard from a disk while this process ran, counted from the adoption of the view at
        the earliest."""
        since = max(self.last_heard.get(disk, ZERO), self.silence_counts_from)
        return ZERO if disk == self.own_disk else self.host.running_elapsed() - since

    def run_repair(self) -> None:
        """Proposes a new view when members are silent, failed or leaving, when a candidate can join, or when an
        earlier proposal was left undecided."""
        while True:
            self.candidate_added.wait(wait=ms(200) + ms(self.host.random.randrange(200)))
            view = self.view
            if view is None or self.own_disk not in view.voters:
                continue
            silence = {disk: self.silence_of(disk=disk) for disk in {*view.chain, *view.voters}}
            live = [disk for disk in view.voters if silence[disk] <= self.suspect_timeout]
            if self.own_disk not in live or len(live) <= len(view.voters) // 2:
                continue
            # The first live voter proposes; each later one waits a lease duration longer, so that ballots rarely
            # collide.
            removal_timeout = self.suspect_timeout + self.lease_duration * live.index(self.own_disk)
            removed = [disk for disk in view.chain if silence[disk] > removal_timeout]
            if (self.disk_failed or self.behind_retained_log) and self.own_disk in view.chain:
                removed.append(self.own_disk)
            planned_leave = self._may_leave(remaining=[disk for disk in view.chain if disk not in removed])
            if planned_leave:
                removed.append(self.own_disk)
            chain = [disk for disk in view.chain if disk not in removed]
            joiner = self._next_joiner(view=view)
            if joiner is not None:
                chain.append(joiner)
            undecided = self.store.accepted and self.store.accepted["number"] > view.number
            if not chain or not (removed or joiner or undecided):
                continue
            if undecided and not (removed or joiner) and self.host.elapsed() - self.view_adopted_at < removal_timeout:
                continue
            for disk in removed:
                self.host.log(LogEvent.CORE_SUSPECTED, disk=disk, silentMs=to_ms(silence[disk]))
            voters = self._next_voters(view=view, joiner=joiner, silent=silence)
            if chain[0] == self.own_disk and not self.store.caught_up:
                continue
            copies = self.settings.copies if planned_leave else 1
            if voters is not None and not self.propose(chain=chain, voters=voters, copies=copies):
                self.host.sleep(wait=ms(self.host.random.randrange(50, 400)))

    def _may_leave(self, *, remaining: list[str]) -> bool:
        """Whether this member is stopping and would leave at least `settings.copies` members in the chain."""
        return self.leaving and self.own_disk in remaining and len(remaining) > self.settings.copies

    def must_delay_stop(self) -> bool:
        """Whether a stopping member must still wait for a view without it. It need not when every other member is
        stopping too: then all disks stop with the chain unchanged."""
        if not self.is_member():
            return False
        return any(disk != self.own_disk and disk not in self.leaving_peers for disk in self.view.chain)

    def _next_joiner(self, *, view: View) -> str | None:
        now = self.host.elapsed()
        for disk in sorted(self.join_candidates):
            if now - self.join_candidates[disk] < self.suspect_timeout and disk not in view.chain:
                return disk
        return None

    def _next_voters(self, *, view: View, joiner: str | None, silent: dict[str, timedelta]) -> list[str] | None:
        """The voters of the next view: unchanged, except that a joiner fills a vacancy or replaces the voter outside
        the chain that has been silent longest. None if no such voter is suspected: the joiner must wait."""
        if joiner is None or joiner in view.voters:
            return view.voters
        if len(view.voters) < self.settings.cores:
            return [*view.voters, joiner]
        most_silent = max(view.voters, key=lambda disk: (disk not in view.chain, silent[disk]))
        if most_silent in view.chain or silent[most_silent] <= self.suspect_timeout:
            return None
        return [joiner if disk == most_silent else disk for disk in view.voters]

    def add_candidate(self, *, disk: str) -> None:
        if disk not in self.join_candidates:
            self.candidate_added.notify_all()
        self.join_candidates[disk] = self.host.elapsed()
