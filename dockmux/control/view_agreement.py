"""The agreed view: founding, one agreement per view number, and the permits that a majority grants."""

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

DRIFT_MARGIN = 1.02


def _granted(replies: list[VoteReply]) -> int:
    return sum(reply.granted for reply in replies)


def _enough_level(replies: list[VoteReply], *, view: View, copies: int) -> bool:
    """Whether the view's head, and so many of its members in all, have said that they are level."""
    level = {reply.disk for reply in replies if reply.granted and reply.level}
    return view.chain[0] in level and len(level.intersection(view.chain)) >= copies


@dataclasses.dataclass(frozen=True, kw_only=True)
class Founders:
    """The disks that found a control plane. Invariant: `proposer` is the first seed's, if any seed is a core."""

    disks: list[str]
    seeds: frozenset[str]
    proposer: str


class ViewAgreement:
    """One core's part in agreeing on the view.

    Invariants:
    - a voter of view n that has accepted a view n+1 grants no permit under n any more;
    - a permit counts from before it was asked for, on this host's monotonic clock, and needs a majority
      of the view's voters;
    - nobody acts under a view before every permit under the one before it must have ended (`acts_from`);
    - a core votes only under a view that names its disk as a voter;
    - `ailing` says that the last write to this disk failed or stalls, `outrun` that the entries which this member
      lacks are no longer kept one by one; either has it left out of the chain;
    - nobody that is not level becomes a view's head: it refuses to accept such a view, and nobody proposes a view
      whose head has not said, with its promise, that it is level;
    - a member that is `leaving` neither acts as holder of the order lease nor comes back in; it leaves the chain by a
      view that enough level members remain in;
    - `extending` is held while entries are added to the chain, and no view is taken over meanwhile.
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
        self.lease = ms(settings.permitMs)
        self.suspect = ms(settings.suspectMs)
        self.grants: dict[str, timedelta] = {}
        self.heard: dict[str, timedelta] = {}
        self.asking: set[str] = set()
        self.adopted_at = host.elapsed()
        self.acts_from = host.elapsed() + self.lease * DRIFT_MARGIN
        self.voting = Semaphore(1)
        self.extending = Semaphore(1)
        self.ballot = 0
        self.ailing = False
        self.outrun = False
        self.leaving = False
        self.leaving_peers: set[str] = set()
        self.candidates: dict[str, timedelta] = {}
        self.candidate_came = Condition()
        self.refused_until: dict[str, timedelta] = {}

    @property
    def view(self) -> View | None:
        return self.store.view

    @property
    def me(self) -> str:
        return self.store.disk

    def member(self) -> bool:
        return self.view is not None and self.me in self.view.chain

    def is_head(self) -> bool:
        return self.member() and self.view.chain[0] == self.me

    def is_tail(self) -> bool:
        return self.member() and self.view.chain[-1] == self.me

    def cores(self) -> list[PeerCard]:
        return [card for card in self.peers.live_cards() if card.role == "core"]

    def address(self, *, disk: str) -> str | None:
        for card in self.cores():
            if card.disk == disk:
                return card.address
        return None

    # Permits.

    def lease_until(self) -> timedelta:
        """When this member's permit ends; zero without one."""
        if not self.member():
            return ZERO
        asked = sorted((self.grants.get(voter, ZERO) for voter in self.view.voters), reverse=True)
        needed = len(self.view.voters) // 2
        return asked[needed] + self.lease if asked[needed] else ZERO

    def holds_lease(self) -> bool:
        now = self.host.elapsed()
        return self.acts_from <= now < self.lease_until()

    def run_grants(self) -> None:
        """Every member asks every voter anew, four times a permit."""
        while True:
            if self.member() and not self.ailing:
                for voter in self.view.voters:
                    if voter not in self.asking:
                        self.asking.add(voter)
                        self.task_group.start(task=self._ask_grant, voter=voter, number=self.view.number)
            elif self.view is not None and self.me in self.view.voters:
                for voter in self.view.voters:
                    if voter not in self.asking:
                        self.asking.add(voter)
                        self.task_group.start(task=self._ask_grant, voter=voter, number=0)
            self.host.sleep(wait=self.lease / 4)

    def _ask_grant(self, *, voter: str, number: int) -> None:
        try:
            sent = self.host.elapsed()
            request = GrantAsk(number=number, disk=self.me, leaving=self.leaving)
            if voter == self.me:
                reply = self.on_grant(request=request)
            else:
                address = self.address(disk=voter)
                if address is None:
                    return
                reply = self.rpc_client.call(address=address, request=request, wait=self.lease / 2)
            if reply.disk != voter:
                return
            self.heard[voter] = self.host.elapsed()
            if reply.granted and self.view.number == number:
                self.grants[voter] = max(sent, self.grants.get(voter, ZERO))
            self.learn(view=reply.view)
        except OSError:
            return
        finally:
            self.asking.discard(voter)

    def on_grant(self, *, request: GrantAsk) -> VoteReply:
        self.heard[request.disk] = self.host.elapsed()
        if request.leaving:
            self.leaving_peers.add(request.disk)
        else:
            self.leaving_peers.discard(request.disk)
        view = self.view
        granted = (
            view is not None
            and view.number == request.number
            and self.me in view.voters
            and request.disk in view.chain
            and not (self.store.accepted and self.store.accepted["number"] > view.number)
        )
        behind = view is not None and view.number > request.number
        return VoteReply(granted=granted, disk=self.me, view=view if behind else None)

    # Taking over a view that was decided.

    def learn(self, *, view: View | None) -> None:
        if view is None or (self.view is not None and view.number <= self.view.number):
            return
        with self.extending, self.voting:
            if self.view is not None and view.number <= self.view.number:
                return
            level = self._stays_level(view=view)
            try:
                self.store.vote(view=view, level=level)
            except OSError as error:
                # It was decided, whether or not this disk can note it; a restart learns it anew.
                self.store.view, self.store.level = view, level
                self.note_disk_failure(error=error)
            self.grants.clear()
            self.candidates.clear()
            self.adopted_at = self.host.elapsed()
            self.acts_from = self.adopted_at + self.lease * DRIFT_MARGIN
        self.host.log(
            LogEvent.VIEW_ADOPTED, number=view.number, chain=",".join(view.chain), voters=",".join(view.voters)
        )

    def _stays_level(self, *, view: View) -> bool:
        """Whoever was level and has kept its place since stays so, also where views between were missed; whoever is
        new in the chain must first be brought up by its predecessor, for it was taken in while entries were still
        being acknowledged without it."""
        if self.me not in view.chain:
            return False
        if view.number == 1:
            return True
        old = self.view
        if old is None or self.me not in old.chain or not self.store.level:
            return False
        return view.joined.get(self.me, view.number - 1) <= old.number

    def _is_level(self) -> bool:
        """Whether this member holds every entry that was acknowledged."""
        return self.member() and self.store.level

    def _would_lack(self, *, view: View) -> bool:
        """Whether this member would be head of a view without holding all that was acknowledged."""
        return view.chain[0] == self.me and not self.store.level

    def note_disk_failure(self, *, error: OSError) -> None:
        """This member is to leave the chain until its disk works again."""
        if not self.ailing:
            self.host.log(LogEvent.DISK_FAILED, error=error)
        self.ailing = True

    def _sync_vote(self, **fields: Any) -> bool:
        try:
            self.store.vote(**fields)
        except OSError as error:
            self.note_disk_failure(error=error)
            return False
        return True

    def on_view_news(self, *, request: ViewNews) -> VoteReply:
        self.learn(view=request.view)
        return VoteReply(granted=True, disk=self.me, view=self.view)

    def _spread(self, *, view: View) -> None:
        for card in self.cores():
            self.task_group.start(task=self._tell, address=card.address, view=view)

    def _tell(self, *, address: str, view: View) -> None:
        try:
            reply = self.rpc_client.call(address=address, request=ViewNews(view=view), wait=self.lease)
            self.learn(view=reply.view)
        except OSError:
            return

    # Voting. Promises and acceptances are synced before they are told.

    def on_promise(self, *, request: PromiseAsk) -> VoteReply:
        with self.voting:
            if self.view is None or self.me not in self.view.voters or self.view.number != request.number - 1:
                return VoteReply(granted=False, disk=self.me, view=self.view)
            promised = self._promised(number=request.number)
            if (request.ballot, request.proposer) <= promised:
                return VoteReply(granted=False, disk=self.me, ballot=promised[0])
            if not self._sync_vote(promised=codec.to_fields(message=request)):
                return VoteReply(granted=False, disk=self.me)
            accepted = self.store.accepted
            if accepted is None or accepted["number"] != request.number:
                return VoteReply(granted=True, disk=self.me, level=self._is_level())
            return VoteReply(
                granted=True,
                disk=self.me,
                level=self._is_level(),
                accepted_ballot=accepted["ballot"],
                accepted_proposer=accepted["proposer"],
                accepted=codec.from_fields(message_type=View, fields=accepted["view"]),
            )

    def _promised(self, *, number: int) -> tuple[int, str]:
        promised = self.store.promised
        if promised["number"] != number:
            return (0, "")
        return (promised["ballot"], promised["proposer"])

    def on_accept(self, *, request: AcceptAsk) -> VoteReply:
        number = request.view.number
        with self.voting:
            if self.view is None or self.me not in self.view.voters or self.view.number != number - 1:
                return VoteReply(granted=False, disk=self.me, view=self.view)
            if self._would_lack(view=request.view):
                return VoteReply(granted=False, disk=self.me)
            if (request.ballot, request.proposer) < self._promised(number=number):
                return VoteReply(granted=False, disk=self.me, ballot=self._promised(number=number)[0])
            synced = self._sync_vote(
                promised={"number": number, "ballot": request.ballot, "proposer": request.proposer},
                accepted={
                    "number": number,
                    "ballot": request.ballot,
                    "proposer": request.proposer,
                    "view": codec.to_fields(message=request.view),
                },
            )
            return VoteReply(granted=synced, disk=self.me)

    def _ask_voters(
        self, *, request: Any, voters: list[str], answer: Any, enough: Callable[[list[VoteReply]], bool]
    ) -> list[VoteReply]:  # fmt: skip
        """Asks all voters at once; gives the replies that had come when they were enough, or when time was up."""
        replies: list[VoteReply] = []
        came = Condition()
        for voter in voters:
            self.task_group.start(
                task=self._ask_voter, request=request, voter=voter, answer=answer, replies=replies, came=came
            )
        end = self.host.elapsed() + self.lease
        while len(replies) < len(voters) and not enough(replies):
            if not came.wait(wait=end - self.host.elapsed()):
                break
        return list(replies)

    def _ask_voter(self, *, request: Any, voter: str, answer: Any, replies: list[VoteReply], came: Condition) -> None:
        try:
            if voter == self.me:
                replies.append(answer(request=request))
                return
            address = self.address(disk=voter)
            if address is not None:
                reply = self.rpc_client.call(address=address, request=request, wait=self.lease)
                if reply.disk == voter:
                    replies.append(reply)
        except OSError:
            return
        finally:
            came.notify_all()

    def propose(self, *, chain: list[str], voters: list[str], copies: int = 1) -> bool:
        """Tries to have the next view agreed on; what was accepted before goes first. Its head, and so many members in
        all, must be known to be level: a level member stays so until the view is taken over."""
        old = self.view
        wanted = View(number=old.number + 1, chain=chain, voters=voters, joined=self._joined(chain=chain))
        self.host.log(LogEvent.VIEW_PROPOSED, number=wanted.number, chain=",".join(chain), voters=",".join(voters))
        self.ballot += 1
        majority = len(old.voters) // 2 + 1
        request = PromiseAsk(number=wanted.number, ballot=self.ballot, proposer=self.me)

        def promised(replies: list[VoteReply]) -> bool:
            told_before = any(reply.accepted is not None for reply in replies)
            return _granted(replies) >= majority and (
                told_before or _enough_level(replies, view=wanted, copies=copies)
            )  # fmt: skip

        promises = self._ask_voters(request=request, voters=old.voters, answer=self.on_promise, enough=promised)
        self._heed(replies=promises)
        if _granted(promises) < majority or self.view is not old:
            return False
        earlier = [reply for reply in promises if reply.granted and reply.accepted is not None]
        if not earlier and not _enough_level(promises, view=wanted, copies=copies):
            return False
        if earlier:
            wanted = max(earlier, key=lambda reply: (reply.accepted_ballot, reply.accepted_proposer)).accepted
        accept = AcceptAsk(ballot=self.ballot, proposer=self.me, view=wanted)

        def accepted(replies: list[VoteReply]) -> bool:
            return _granted(replies) >= majority

        accepts = self._ask_voters(request=accept, voters=old.voters, answer=self.on_accept, enough=accepted)
        self._heed(replies=accepts)
        if _granted(accepts) < majority:
            return False
        self._spread(view=wanted)
        self.learn(view=wanted)
        return True

    def _joined(self, *, chain: list[str]) -> dict[str, int]:
        """Since which view each member of the next chain has been in it without a break."""
        view = self.view
        next_number = view.number + 1
        return {
            disk: view.joined.get(disk, view.number) if disk in view.chain else next_number for disk in chain
        }  # fmt: skip

    def _heed(self, *, replies: list[VoteReply]) -> None:
        for reply in replies:
            self.ballot = max(self.ballot, reply.ballot)
            self.learn(view=reply.view)

    # Founding: all cores that are to begin, each blank, each naming the same set.

    def run_found(self) -> None:
        while self.view is None:
            self.host.sleep(wait=ms(300) + ms(self.host.random.randrange(200)))
            founders = self._founders()
            if self.store.founding is not None:
                self._found(view=self.store.founding)
            elif self.store.may_found and founders and founders.proposer == self.me:
                self._found(view=View(number=1, chain=founders.disks, voters=founders.disks))
            elif not self.store.may_found or not founders or founders.proposer != self.me:
                self.ask_for_view()

    def _founders(self) -> Founders | None:
        """As many as are to found it, seeds first; None while too few, or not every seed, have been heard. All cores
        have the same seeds, so all agree on the one that proposes, whoever else they have heard of by then."""
        heard = {card.address: card for card in self.peers.live_cards()}
        if any(seed not in heard and seed != self.settings.address for seed in self.settings.seeds):
            return None
        disks = {card.address: card.disk for card in heard.values() if card.role == "core" and card.disk}
        disks[self.settings.address] = self.me
        seeds = sorted(disk for address, disk in disks.items() if address in self.settings.seeds)
        others = sorted(disk for address, disk in disks.items() if address not in self.settings.seeds)
        chosen = [*seeds, *others][: self.settings.cores]
        if len(chosen) < self.settings.cores:
            return None
        return Founders(disks=sorted(chosen), seeds=frozenset(seeds), proposer=chosen[0])

    def _found(self, *, view: View) -> None:
        request = FoundAsk(view=view)

        def unanimous(replies: list[VoteReply]) -> bool:
            return _granted(replies) == len(view.voters)

        replies = self._ask_voters(request=request, voters=view.voters, answer=self.on_found, enough=unanimous)
        self._heed(replies=replies)
        if unanimous(replies) and self.view is None:
            self.host.log(LogEvent.CONTROL_PLANE_FOUNDED, voters=",".join(view.voters))
            self.learn(view=view)
            self._spread(view=view)

    def on_found(self, *, request: FoundAsk) -> VoteReply:
        with self.voting:
            if self.view is not None:
                return VoteReply(granted=False, disk=self.me, view=self.view)
            if self.store.founding is not None:
                return VoteReply(granted=self.store.founding == request.view, disk=self.me)
            if not self.store.may_found:
                return VoteReply(granted=False, disk=self.me)
            if not self._may_be_founded_by(disks=request.view.voters):
                return VoteReply(granted=False, disk=self.me)
            return VoteReply(granted=self._sync_vote(founding=request.view), disk=self.me)

    def _may_be_founded_by(self, *, disks: list[str]) -> bool:
        """Whether the one that proposes could have chosen these: it may have heard of other cores than this one has,
        but of the same seeds."""
        founders = self._founders()
        if founders is None or self.me not in disks or len(disks) != self.settings.cores:
            return False
        return founders.disks == disks or (bool(founders.seeds) and founders.seeds <= set(disks))

    def ask_for_view(self) -> None:
        """Asks every core for a newer view: news of one are told once, and may be lost."""
        for card in self.cores():
            self.task_group.start(task=self._ask_core_for_view, address=card.address)

    def _ask_core_for_view(self, *, address: str) -> None:
        try:
            request = GrantAsk(number=self.view.number if self.view else 0, disk=self.me)
            reply = self.rpc_client.call(address=address, request=request, wait=self.lease)
            self.learn(view=reply.view)
        except OSError:
            return

    # Mending: leave out who is silent, take in who has caught up.

    def silent(self, *, disk: str) -> timedelta:
        since = max(self.heard.get(disk, ZERO), self.adopted_at)
        return ZERO if disk == self.me else self.host.elapsed() - since

    def run_mending(self) -> None:
        while True:
            self.candidate_came.wait(wait=ms(200) + ms(self.host.random.randrange(200)))
            view = self.view
            if view is None or self.me not in view.voters:
                continue
            silent = {disk: self.silent(disk=disk) for disk in {*view.chain, *view.voters}}
            live = [disk for disk in view.voters if silent[disk] <= self.suspect]
            if self.me not in live or len(live) <= len(view.voters) // 2:
                continue
            # The first live voter proposes; the others only when it has let time pass.
            patience = self.suspect + self.lease * live.index(self.me)
            dead = [disk for disk in view.chain if silent[disk] > patience]
            if (self.ailing or self.outrun) and self.me in view.chain:
                dead.append(self.me)
            planned_leave = self._may_leave(remaining=[disk for disk in view.chain if disk not in dead])
            if planned_leave:
                dead.append(self.me)
            chain = [disk for disk in view.chain if disk not in dead]
            joiner = self._joiner(view=view)
            if joiner is not None:
                chain.append(joiner)
            stalled = self.store.accepted and self.store.accepted["number"] > view.number
            if not chain or not (dead or joiner or stalled):
                continue
            if stalled and not (dead or joiner) and self.host.elapsed() - self.adopted_at < patience:
                continue
            for disk in dead:
                self.host.log(LogEvent.CORE_SUSPECTED, disk=disk, silentMs=to_ms(silent[disk]))
            voters = self._voters(view=view, joiner=joiner, silent=silent)
            if chain[0] == self.me and not self.store.level:
                continue
            copies = self.settings.copies if planned_leave else 1
            if voters is not None and not self.propose(chain=chain, voters=voters, copies=copies):
                self.host.sleep(wait=ms(self.host.random.randrange(50, 400)))

    def _may_leave(self, *, remaining: list[str]) -> bool:
        """Whether this member is to leave as planned, and enough would remain without it."""
        return self.leaving and self.me in remaining and len(remaining) > self.settings.copies

    def must_stay(self) -> bool:
        """Whether a member that was told to stop still has to wait for a view without it; not where no other member
        stays, for then every disk stops as it is."""
        if not self.member():
            return False
        return any(disk != self.me and disk not in self.leaving_peers for disk in self.view.chain)

    def _joiner(self, *, view: View) -> str | None:
        now = self.host.elapsed()
        for disk in sorted(self.candidates):
            if now - self.candidates[disk] < self.suspect and disk not in view.chain:
                return disk
        return None

    def _voters(self, *, view: View, joiner: str | None, silent: dict[str, timedelta]) -> list[str] | None:
        """The voters stay, but one who takes a seat in the chain takes the seat of the most silent."""
        if joiner is None or joiner in view.voters:
            return view.voters
        if len(view.voters) < self.settings.cores:
            return [*view.voters, joiner]
        worst = max(view.voters, key=lambda disk: (disk not in view.chain, silent[disk]))
        if worst in view.chain or silent[worst] <= self.suspect:
            return None
        return [joiner if disk == worst else disk for disk in view.voters]

    def note_candidate(self, *, disk: str) -> None:
        if disk not in self.candidates:
            self.candidate_came.notify_all()
        self.candidates[disk] = self.host.elapsed()
