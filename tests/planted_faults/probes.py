"""Directed scenarios that ask one daemon just what a fault would let through. Each gives the breaches that it saw."""

import dataclasses
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import eventlet

from dockmux.control.chain_replica import MAX_BATCH_ENTRIES, Write
from dockmux.control.core import Core
from dockmux.control.state import State
from dockmux.control.view_agreement import Founders, ViewAgreement
from dockmux.runtime.host import Host
from dockmux.runtime.messages import (
    AcceptAsk,
    Append,
    Appended,
    ConfirmAsk,
    ConfirmReply,
    Entry,
    FoundAsk,
    GrantAsk,
    JoinAsk,
    JoinReply,
    PromiseAsk,
    View,
)  # fmt: skip
from dockmux.runtime.record_log import parse
from dockmux.runtime.time_units import ZERO, ms
from dockmux.simulator.world import World
from tests.control_model.history import Change
from tests.control_model.operators import packed
from tests.control_model.play import LINK_US, Player, playing

SEED = 1
SECOND = timedelta(seconds=1)
RESTART_WAIT = ms(200)


def _core(*, player: Player, place: int) -> Core:
    core = player.machines.core(place=place)
    assert core is not None
    return core


def _chain_cores(*, player: Player) -> list[Core]:
    """The daemons in the order of the chain."""
    by_disk = {core.agreement.own_disk: core for _, _, core in player.machines.agreements()}
    return [by_disk[disk] for disk in _core(player=player, place=0).agreement.view.chain]


def _place(*, player: Player, core: Core) -> int:
    return player.machines.names.index(core.settings.name)


def _restart(*, player: Player, core: Core) -> Core:
    place = _place(player=player, core=core)
    player.machines.kill(place=place, unsynced_lost=True)
    player.machines.start(place=place)
    player.sleep(RESTART_WAIT)
    return _core(player=player, place=place)


def _next(*, view: View, chain: list[str] | None = None) -> View:
    return View(number=view.number + 1, chain=chain or view.chain, voters=view.voters)


def _without_vote(*, agreement: ViewAgreement) -> View:
    voters = [disk for disk in agreement.view.voters if disk != agreement.own_disk]
    return dataclasses.replace(agreement.view, voters=voters)


def _entries(*, after: int, count: int) -> list[Entry]:
    made = []
    for mark in range(after + 1, after + 1 + count):
        change = Change(version=mark, base=mark - 1, text=f"e{mark}")
        tree = {"text": packed(change=change).decode()}
        fields = {"kind": "config", "tree": tree, "version": mark, "based_on": mark - 1, "activateUs": mark}
        made.append(Entry(mark=mark, change=fields))
    return made


# Leases.


def grants() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        agreement = _core(player=player, place=2).agreement
        view = agreement.view
        head = view.chain[0]
        for number in (view.number - 1, view.number + 1):
            if agreement.on_grant(request=GrantAsk(number=number, disk=head)).granted:
                yield f"a lease for view {number} under {view.number}"
        if agreement.on_grant(request=GrantAsk(number=view.number, disk="stranger")).granted:
            yield "a lease for one outside the chain"
        agreement.store.view = _without_vote(agreement=agreement)
        if agreement.on_grant(request=GrantAsk(number=view.number, disk=head)).granted:
            yield "a lease from one that is no voter"
        agreement.store.view = view
        assert agreement.on_accept(request=AcceptAsk(ballot=9, proposer="z", view=_next(view=view))).granted
        if agreement.on_grant(request=GrantAsk(number=view.number, disk=head)).granted:
            yield "a lease after a newer view was accepted"


def late_grant() -> Iterator[str]:
    """Answers take long: a grant must count from before its ask."""
    with playing(members=3, seed=SEED) as player:
        ips = [player.machines.host(place=place).machine.ip for place in range(3)]
        player.world.extra_latency = {(a, b): ms(200) for a in ips for b in ips if a != b}
        player.sleep(SECOND)
        agreement = _core(player=player, place=0).agreement
        known: dict[str, timedelta] = {}
        for _ in range(400):
            now = agreement.host.elapsed()
            for voter, counted in dict(agreement.grants).items():
                fresh = known.get(voter) != counted
                if voter in known and voter != agreement.own_disk and fresh and now - counted < ms(390):
                    yield f"a grant counts from {now - counted} before its answer came"
                    return
                known[voter] = counted
            player.sleep(ms(5))


# Votes.


def promises() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        core = _core(player=player, place=2)
        agreement = core.agreement
        view = agreement.view
        following = view.number + 1

        def promise(number: int, ballot: int) -> Any:
            return agreement.on_promise(request=PromiseAsk(number=number, ballot=ballot, proposer="m"))

        for number in (view.number, following + 1):
            if promise(number, 1).granted:
                yield f"a promise for view {number} under {view.number}"
        agreement.store.view = _without_vote(agreement=agreement)
        if promise(following, 2).granted:
            yield "a promise from one that is no voter"
        agreement.store.view = view
        assert promise(following, 5).granted
        for ballot in (5, 4):
            if promise(following, ballot).granted:
                yield f"a promise for ballot {ballot} after one for 5"
        wanted = _next(view=view)
        assert agreement.on_accept(request=AcceptAsk(ballot=6, proposer="m", view=wanted)).granted
        if promise(following, 7).accepted != wanted:
            yield "a promise that does not tell what was accepted"
        store = _restart(player=player, core=core).store
        promised = (store.promised["number"], store.promised["ballot"])
        if store.view is None:
            yield "a view is forgotten by a restart"
        elif store.view.number == view.number and promised < (following, 7):
            yield f"after a restart only {promised} is promised"


def acceptances() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        core = _core(player=player, place=2)
        agreement = core.agreement
        view = agreement.view
        wanted = _next(view=view)

        def accept(accepted: View, ballot: int) -> bool:
            return agreement.on_accept(request=AcceptAsk(ballot=ballot, proposer="m", view=accepted)).granted

        for number in (view.number, view.number + 2):
            if accept(dataclasses.replace(wanted, number=number), 1):
                yield f"view {number} accepted under {view.number}"
        agreement.store.view = _without_vote(agreement=agreement)
        if accept(wanted, 2):
            yield "a view accepted by one that is no voter"
        agreement.store.view = view
        assert agreement.on_promise(request=PromiseAsk(number=wanted.number, ballot=5, proposer="m")).granted
        if accept(wanted, 4):
            yield "a view accepted under ballot 4 after a promise for 5"
        agreement.store.caught_up = False
        if accept(dataclasses.replace(wanted, chain=[agreement.own_disk]), 6):
            yield "a view accepted by its head, which lacks entries"
        agreement.store.caught_up = True
        assert accept(wanted, 7)
        store = _restart(player=player, core=core).store
        if store.view.number == view.number and (store.accepted or {}).get("number") != wanted.number:
            yield "an acceptance is forgotten by a restart"


def proposer_takes_up_what_was_accepted() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        first, second, third = (_core(player=player, place=place).agreement for place in range(3))
        view = first.view
        decided = _next(view=view, chain=[first.own_disk, second.own_disk])
        for agreement in (second, third):
            assert agreement.on_accept(request=AcceptAsk(ballot=3, proposer="m", view=decided)).granted
        first.ballot = 5
        first.propose(chain=[first.own_disk, third.own_disk], voters=view.voters)
        if first.view.number == decided.number and first.view != decided:
            yield "a view was proposed in place of one that a majority had accepted"


def proposer_needs_majorities() -> Iterator[str]:
    """A proposer is cut off while promises are asked for, when a majority has accepted another view; and once it has
    its promises."""
    with playing(members=3, seed=SEED) as player:
        first, second, third = (_core(player=player, place=place).agreement for place in range(3))
        decided = _next(view=first.view, chain=[first.own_disk, second.own_disk])
        for agreement in (second, third):
            assert agreement.on_accept(request=AcceptAsk(ballot=3, proposer="m", view=decided)).granted
        machine = player.machines.host(place=0).machine
        machine.isolated = True
        first.ballot = 5
        task = eventlet.spawn(first.propose, chain=[first.own_disk, third.own_disk], voters=first.view.voters)
        player.sleep(first.lease_duration - ms(5))
        machine.isolated = False
        task.wait()
        if first.view.number == decided.number and first.view != decided:
            yield "a view was decided without a majority of promises"
    with playing(members=3, seed=SEED) as player:
        first = _core(player=player, place=0).agreement
        number, machine, heed = first.view.number, player.machines.host(place=0).machine, first._process_replies

        def cutting(*, replies: list[Any]) -> None:
            machine.isolated = True
            heed(replies=replies)

        first._process_replies = cutting
        first.propose(chain=first.view.chain, voters=first.view.voters)
        if first.view.number != number:
            yield "a view was decided without a majority of acceptances"


# Taking over a view.


def _acts_within_a_lease(*, player: Player, agreement: ViewAgreement, passed: timedelta = ZERO) -> bool:
    end = player.world.now() + agreement.lease_duration - passed - ms(10)
    while player.world.now() < end:
        if agreement.holds_lease():
            return True
        player.sleep(ms(10))
    return False


def takeover() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        core = _core(player=player, place=1)
        agreement = core.agreement
        agreement.learn(view=_next(view=agreement.view))
        if not agreement.store.caught_up:
            yield "a member that keeps its place is not level any more"
        core = _restart(player=player, core=core)
        if _acts_within_a_lease(player=player, agreement=core.agreement, passed=RESTART_WAIT):
            yield "acts right after a start, when it had just taken over a view"
    with playing(members=3, seed=SEED) as player:
        agreement = _core(player=player, place=1).agreement
        agreement.learn(view=_next(view=agreement.view))
        if _acts_within_a_lease(player=player, agreement=agreement):
            yield "acts under a new view before the leases under the old one ended"
    for what, level, joined_later, inside in (
        ("a member that was not level is so under the next view", False, 0, True),
        ("level after it had left and come back", True, 1, True),
        ("level outside the chain", True, 0, False),
    ):
        with playing(members=3, seed=SEED) as player:
            agreement = _core(player=player, place=1).agreement
            view = agreement.view
            agreement.store.caught_up = level
            others = [disk for disk in view.chain if disk != agreement.own_disk]
            chain = [*others, agreement.own_disk] if inside else others
            joined = {disk: view.number + joined_later * (disk == agreement.own_disk) for disk in chain}
            number = view.number + (2 if inside else 1)
            agreement.learn(view=View(number=number, chain=chain, voters=view.voters, joined=joined))
            if agreement.store.caught_up:
                yield what
    with playing(members=3, seed=SEED) as player:
        agreement = _core(player=player, place=1).agreement
        others = [disk for disk in agreement.view.chain if disk != agreement.own_disk]
        agreement.store.view = dataclasses.replace(agreement.view, chain=others)
        agreement.learn(view=_next(view=agreement.view, chain=[*others, agreement.own_disk]))
        if agreement.store.caught_up:
            yield "level as soon as it came into the chain"


# Founding.


def founding() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        agreement = _core(player=player, place=1).agreement
        if agreement.on_found(request=FoundAsk(view=agreement.store.founding)).granted:
            yield "founded by a disk that has a view"
    with _alone(started=1) as player:
        core = _core(player=player, place=0)
        agreement = core.agreement
        settings = agreement.settings
        agreement.settings = dataclasses.replace(settings, cores=1)
        if agreement._founders() is not None:
            yield "founds before it has heard every seed"
        agreement.settings = settings
        voters = sorted([agreement.own_disk, "x", "y"])
        other = sorted([agreement.own_disk, "x", "z"])
        known = Founders(disks=voters, seeds=frozenset(["x", "y"]), proposer="x")
        agreement._founders = lambda: known

        def found(named: list[str]) -> bool:
            return agreement.on_found(request=FoundAsk(view=View(number=1, chain=named, voters=named))).granted

        if found(other):
            yield "founded a set that lacks a seed"
        if found(sorted(["x", "y", "z"])):
            yield "founded a set that it is not in itself"
        agreement.settings = dataclasses.replace(settings, cores=4)
        if found(voters):
            yield "founded with fewer than are to"
        agreement.settings = settings
        agreement.store.may_found = False
        if found(voters):
            yield "founded without leave"
        agreement.store.may_found = True
        agreement.store.founding = None
        assert found(voters)
        known = Founders(disks=other, seeds=frozenset(["x"]), proposer="x")
        if found(other):
            yield "founded two sets"
        store = _restart(player=player, core=core).store
        if store.founding is None or store.founding.voters != voters:
            yield "a vote for a set is forgotten by a restart"


def founding_in_part() -> Iterator[str]:
    """One of three is cut off once all know of each other: the others found nothing."""
    with _alone(started=3) as player:
        agreements = [_core(player=player, place=place).agreement for place in range(3)]
        for agreement in agreements:
            agreement.store.may_found = False
        while not all(agreement._founders() for agreement in agreements):
            player.sleep(ms(10))
        founders = agreements[0]._founders().disks
        away = next(place for place in range(3) if agreements[place].own_disk == founders[-1])
        player.machines.host(place=away).machine.isolated = True
        for agreement in agreements:
            agreement.store.may_found = True
        player.sleep(4 * SECOND)
        if any(agreement.view is not None for agreement in agreements):
            yield "founded without all founders"


@contextmanager
def _alone(*, started: int) -> Iterator[Player]:
    """Some daemons of a plane, with nothing put yet."""
    with World(seed=SEED, link_us=LINK_US).open() as world:
        player = Player(world=world, members=3)
        for place in range(started):
            player.machines.start(place=place)
        player.sleep(ms(100))
        yield player


# The chain.


def appends() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        core = _chain_cores(player=player)[-1]
        agreement, chain, store = core.agreement, core.chain, core.store
        view = agreement.view
        held = chain.synced_index

        def append(mark: int, entries: list[Entry], *, number: int = view.number, upto: int = 0) -> Any:
            return chain.on_append(request=Append(number=number, mark=mark, upto=upto, entries=entries))

        append(held, _entries(after=held, count=1), number=view.number - 1)
        if chain.synced_index != held:
            yield "entries taken under an older view"
        held = chain.synced_index
        agreement.store.view = dataclasses.replace(view, chain=view.chain[:-1])
        append(held, _entries(after=held, count=1))
        agreement.store.view = view
        if chain.synced_index != held:
            yield "entries taken outside the chain"
        held = chain.synced_index
        if append(held + 2, _entries(after=held + 2, count=1)).state != "behind":
            yield "entries after a gap are not asked for anew"
        append(held, _entries(after=held + 1, count=1))
        if chain.synced_index != held:
            yield "entries taken after a gap"
            return
        agreement.behind_retained_log = False
        if append(held - 1, _entries(after=held - 1, count=2)).state != "acked" or len(store.entries) != held + 1:
            yield f"{len(store.entries)} entries held up to {held + 1}"
            return
        held = chain.synced_index
        written = parse(data=core.host.machine.disk.files["chain"])[0]
        if written[-1].get("mark") != held:
            yield "an entry was acknowledged before it was synced"
        store.caught_up = False
        append(held, [], upto=held + 5)
        if store.caught_up:
            yield "level before it holds what its predecessor does"
        store.caught_up = True
        core.host.machine.disk.syncs_fail = True
        if append(held, _entries(after=held, count=1)).state == "acked" or chain.synced_index != held:
            yield "an entry counts although its sync failed"


def tail_without_lease() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        core = _chain_cores(player=player)[-1]
        held = core.chain.synced_index
        core.agreement.grants.clear()
        request = Append(number=core.agreement.view.number, mark=held, upto=held, entries=[])
        if core.chain.on_append(request=request).state == "acked":
            yield "acknowledged by a tail without a lease"
        request = ConfirmAsk(number=core.agreement.view.number, sessions=[])
        if core.chain.on_confirm(request=request).granted:
            yield "confirmed by a tail without a lease"


def tail_not_level() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        core = _chain_cores(player=player)[-1]
        held = core.chain.synced_index
        core.store.caught_up = False
        request = Append(number=core.agreement.view.number, mark=held, upto=held + 5, entries=[])
        if core.chain.on_append(request=request).state == "acked":
            yield "acknowledged by a tail that is not level"


def joins() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        _, middle, tail = _chain_cores(player=player)
        view = middle.agreement.view
        middle.store.view = dataclasses.replace(view, chain=[tail.agreement.own_disk])
        if middle.joining.on_join(request=JoinAsk(disk="j", mark=0, fresh=True)).granted:
            yield "a snapshot handed out by one outside the chain"
        middle.store.view = view
        if middle.joining.on_join(request=JoinAsk(disk="j", mark=0, fresh=False)).granted:
            yield "entries handed out by one that is not the tail"
        held, number = tail.chain.synced_index, tail.agreement.view.number
        many = _entries(after=held, count=MAX_BATCH_ENTRIES + 50)
        tail.chain.on_append(request=Append(number=number, mark=held, upto=many[-1].mark, entries=many))
        tail.joining.on_join(request=JoinAsk(disk="slow", mark=held, fresh=False))
        if "slow" in tail.agreement.join_candidates:
            yield "one that is far behind is a candidate"
        known = tail.chain.synced_index
        tail.store.append(entries=_entries(after=known, count=1))
        handed = tail.joining.on_join(request=JoinAsk(disk="j", mark=known - 1, fresh=False)).entries
        if handed[-1].mark != known:
            yield "an entry handed out that is not acknowledged"
        tail.store.reset(state=tail.chain.state)
        if tail.joining.on_join(request=JoinAsk(disk="j", mark=0, fresh=False)).granted:
            yield "entries handed out behind what is kept"


def late_hand_over() -> Iterator[str]:
    """A hand-over ends when its receiver is a member again."""
    with playing(members=3, seed=SEED) as player:
        _, middle, tail = _chain_cores(player=player)
        held = middle.chain.synced_index
        middle.joining._install_snapshot(state=State(claim_retention=middle.store.claim_retention))
        if middle.chain.synced_index != held:
            yield "a member was put back to a snapshot"
        one = _entries(after=tail.chain.synced_index, count=1)
        tail.chain.on_append(
            request=Append(number=tail.agreement.view.number, mark=held, upto=one[-1].mark, entries=one)
        )
        middle.joining.needs_snapshot = False
        middle.joining._catch_up()
        if middle.chain.synced_index != held:
            yield "a member took entries of a hand-over"


class _TwoMarks:
    """Hands out a snapshot whose parts are of two marks."""

    def __init__(self, *, rest: dict[str, Any]) -> None:
        self.rest = rest

    def call(self, *, address: str, request: JoinAsk, wait: timedelta) -> JoinReply:
        told = {**self.rest, "part": request.part, "parts": 2, "mark": 5 + request.part, "claims": []}
        return JoinReply(granted=True, mark=told["mark"], entries=[], snapshot=told)


def snapshot_parts() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        core = _core(player=player, place=0)
        joining = core.joining
        joining.rpc_client = _TwoMarks(rest=core.chain.state.snapshot().part(number=0))
        if joining._fetch_snapshot(address="") is not None:
            yield "a snapshot of parts of two marks"


# Answers.


class _Answers:
    """Answers asks as it was told to, one after the other, each after a while."""

    def __init__(self, *, host: Host, replies: list[tuple[timedelta, Any]]) -> None:
        self.host = host
        self.replies = list(replies)
        self.asked: list[Any] = []

    def call(self, *, address: str, request: Any, wait: timedelta) -> Any:
        self.asked.append(request)
        after, reply = self.replies.pop(0) if self.replies else (SECOND, None)
        self.host.sleep(wait=after)
        if reply is None:
            raise OSError("no answer")
        return reply


def _confirmed(*, core: Core, ahead: int = 0) -> ConfirmReply:
    return ConfirmReply(granted=True, mark=core.chain.synced_index + ahead, view=None, sessions=[], untilUs=0)


def late_confirmation() -> Iterator[str]:
    """A confirmation that was asked for before a read began comes while the read's own gets no answer; another tells
    of more than is held here."""
    with playing(members=3, seed=SEED) as player:
        core = _chain_cores(player=player)[0]
        replies = [(ms(300), _confirmed(core=core)), (ms(400), None)]
        core.chain.rpc_client = _Answers(host=core.host, replies=replies)
        eventlet.spawn(core.chain._confirm_with_tail)
        player.sleep(ms(100))
        # What its own task asks meanwhile gets no answer either.
        if core.chain.confirm_read():
            yield "a read confirmed by what was asked for before it began"
    with playing(members=3, seed=SEED) as player:
        core = _chain_cores(player=player)[0]
        core.chain.rpc_client = _Answers(host=core.host, replies=[(ZERO, _confirmed(core=core, ahead=5))])
        if core.chain.confirm_read():
            yield "a read confirmed for more than is held"


def answers_of_a_former_view() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        head, middle, _ = _chain_cores(player=player)
        write = Write(change={}, index=50)
        head.chain.waiting = [write]
        head.chain.acknowledged = (head.agreement.view.number - 1, 99)
        head.chain._answer_acknowledged()
        if write.done.ready():
            yield "a change answered by an acknowledgement under a former view"
        lost = Write(change={}, index=50)
        middle.chain.waiting = [lost]
        player.sleep(ms(300))
        if not lost.done.ready():
            yield "a change that waits at one that is not the head any more"


def acknowledged_under_another_view() -> Iterator[str]:
    """What a successor said under one view comes when another stands."""
    with playing(members=3, seed=SEED) as player:
        head, middle, _ = _chain_cores(player=player)
        number = head.agreement.view.number
        reply = Appended(state="acked", mark=head.chain.synced_index)
        head.chain.rpc_client = _Answers(host=head.host, replies=[(ms(50), reply)])
        eventlet.spawn(head.chain._push_to_successor)
        player.sleep(ms(20))
        head.agreement.store.view = dataclasses.replace(head.agreement.view, number=number + 1)
        head.chain.acknowledged = (number + 1, 0)
        player.sleep(ms(100))
        if head.chain.acknowledged != (number + 1, 0) or head.chain.successor_acked[0] == number + 1:
            yield "an acknowledgement under a former view counted under the present one"
        middle.chain.rpc_client = _Answers(host=middle.host, replies=[(ms(1), Appended(state="refused", mark=0))])
        middle.chain.successor_acked = (number - 1, middle.chain.synced_index)
        request = Append(number=number, mark=middle.chain.synced_index, upto=middle.chain.synced_index, entries=[])
        if middle.chain.on_append(request=request).state == "acked":
            yield "a member passed on what its successor acknowledged under a former view"


def level_by_one_that_is_not() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        middle = _chain_cores(player=player)[1]
        middle.store.caught_up = False
        answers = middle.chain.rpc_client = _Answers(host=middle.host, replies=[])
        try:
            middle.chain._push_to_successor()
        except OSError:
            pass
        asks = [request for request in answers.asked if isinstance(request, Append)]
        if asks[0].upto <= middle.chain.synced_index:
            yield "a member that is not level would bring its successor up"


def takeover_while_extending() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        agreement = _core(player=player, place=1).agreement
        number = agreement.view.number
        with agreement.append_lock:
            eventlet.spawn(agreement.learn, view=_next(view=agreement.view))
            player.sleep(ms(100))
            if agreement.view.number != number:
                yield "a view was taken over while entries were added"


# Voters.


def voter_replacement() -> Iterator[str]:
    with playing(members=3, seed=SEED) as player:
        agreement = _core(player=player, place=0).agreement
        first, second, third = agreement.view.voters
        short = dataclasses.replace(agreement.view, chain=[first, second])
        quiet = {first: ZERO, second: ZERO, third: 10 * SECOND}

        def voters(view: View, joiner: str | None, silent: dict[str, timedelta]) -> list[str] | None:
            return agreement._next_voters(view=view, joiner=joiner, silent=silent)

        if voters(short, "j", {**quiet, third: SECOND}) is not None:
            yield "a voter was replaced that was heard of"
        if voters(agreement.view, "j", quiet) is not None:
            yield "a voter in the chain was replaced"
        if voters(short, "j", quiet) != [first, second, "j"]:
            yield "not just the silent voter was replaced"
        if voters(short, None, quiet) != agreement.view.voters:
            yield "voters were changed without a joiner"
