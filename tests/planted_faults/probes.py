"""Directed scenarios that send single daemons the exact requests that a planted fault would wrongly accept.

Each public function is a generator of the violations observed; it yields nothing on the unmodified product.
"""

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
from tests.control_model.operators import encode_change
from tests.control_model.schedule_runner import LINK_LATENCY_US, ScheduleRunner, started_control_plane

SEED = 1
SECOND = timedelta(seconds=1)
RESTART_DELAY = ms(200)


def _core(*, runner: ScheduleRunner, index: int) -> Core:
    core = runner.machines.core(index=index)
    assert core is not None
    return core


def _chain_cores(*, runner: ScheduleRunner) -> list[Core]:
    """The daemons in chain order, from head to tail."""
    by_disk = {core.agreement.own_disk: core for _, _, core in runner.machines.running_daemons()}
    return [by_disk[disk] for disk in _core(runner=runner, index=0).agreement.view.chain]


def _machine_index(*, runner: ScheduleRunner, core: Core) -> int:
    return runner.machines.names.index(core.settings.name)


def _crash_and_restart(*, runner: ScheduleRunner, core: Core) -> Core:
    index = _machine_index(runner=runner, core=core)
    runner.machines.kill(index=index, unsynced_lost=True)
    runner.machines.start(index=index)
    runner.sleep(RESTART_DELAY)
    return _core(runner=runner, index=index)


def _next_view(*, view: View, chain: list[str] | None = None) -> View:
    return View(number=view.number + 1, chain=chain or view.chain, voters=view.voters)


def _without_vote(*, agreement: ViewAgreement) -> View:
    voters = [disk for disk in agreement.view.voters if disk != agreement.own_disk]
    return dataclasses.replace(agreement.view, voters=voters)


def _make_entries(*, after: int, count: int) -> list[Entry]:
    entries = []
    for mark in range(after + 1, after + 1 + count):
        change = Change(version=mark, base=mark - 1, text=f"e{mark}")
        tree = {"text": encode_change(change=change).decode()}
        fields = {"kind": "config", "tree": tree, "version": mark, "based_on": mark - 1, "activateUs": mark}
        entries.append(Entry(mark=mark, change=fields))
    return entries


# Leases.


def grants() -> Iterator[str]:
    """Lease requests that a voter must refuse."""
    with started_control_plane(members=3, seed=SEED) as runner:
        agreement = _core(runner=runner, index=2).agreement
        view = agreement.view
        head = view.chain[0]
        for number in (view.number - 1, view.number + 1):
            if agreement.on_grant(request=GrantAsk(number=number, disk=head)).granted:
                yield f"lease granted for view {number} under view {view.number}"
        if agreement.on_grant(request=GrantAsk(number=view.number, disk="stranger")).granted:
            yield "lease granted to a disk outside the chain"
        agreement.store.view = _without_vote(agreement=agreement)
        if agreement.on_grant(request=GrantAsk(number=view.number, disk=head)).granted:
            yield "lease granted by a non-voter"
        agreement.store.view = view
        assert agreement.on_accept(request=AcceptAsk(ballot=9, proposer="z", view=_next_view(view=view))).granted
        if agreement.on_grant(request=GrantAsk(number=view.number, disk=head)).granted:
            yield "lease granted after a newer view was accepted"


def late_grant() -> Iterator[str]:
    """With slow replies, a lease grant must count from before its request was sent."""
    with started_control_plane(members=3, seed=SEED) as runner:
        ips = [runner.machines.host(index=index).machine.ip for index in range(3)]
        runner.world.extra_latency = {(a, b): ms(200) for a in ips for b in ips if a != b}
        runner.sleep(SECOND)
        agreement = _core(runner=runner, index=0).agreement
        known: dict[str, timedelta] = {}
        for _ in range(400):
            now = agreement.host.elapsed()
            for voter, counted in dict(agreement.grants).items():
                changed = known.get(voter) != counted
                if voter in known and voter != agreement.own_disk and changed and now - counted < ms(390):
                    yield f"grant counts from only {now - counted} before its reply arrived"
                    return
                known[voter] = counted
            runner.sleep(ms(5))


# Votes.


def promises() -> Iterator[str]:
    """Promise requests that a voter must refuse, the acceptance it must report, and the votes it must keep."""
    with started_control_plane(members=3, seed=SEED) as runner:
        core = _core(runner=runner, index=2)
        agreement = core.agreement
        view = agreement.view
        following = view.number + 1

        def promise(number: int, ballot: int) -> Any:
            return agreement.on_promise(request=PromiseAsk(number=number, ballot=ballot, proposer="m"))

        for number in (view.number, following + 1):
            if promise(number, 1).granted:
                yield f"promised view {number} under view {view.number}"
        agreement.store.view = _without_vote(agreement=agreement)
        if promise(following, 2).granted:
            yield "promise given by a non-voter"
        agreement.store.view = view
        assert promise(following, 5).granted
        for ballot in (5, 4):
            if promise(following, ballot).granted:
                yield f"promised ballot {ballot} after ballot 5"
        wanted = _next_view(view=view)
        assert agreement.on_accept(request=AcceptAsk(ballot=6, proposer="m", view=wanted)).granted
        if promise(following, 7).accepted != wanted:
            yield "promise does not report the accepted view"
        store = _crash_and_restart(runner=runner, core=core).store
        promised = (store.promised["number"], store.promised["ballot"])
        if store.view is None:
            yield "view lost by a restart"
        elif store.view.number == view.number and promised < (following, 7):
            yield f"after a restart only {promised} is promised"


def acceptances() -> Iterator[str]:
    """Accept requests that a voter must refuse, and the acceptance it must keep."""
    with started_control_plane(members=3, seed=SEED) as runner:
        core = _core(runner=runner, index=2)
        agreement = core.agreement
        view = agreement.view
        wanted = _next_view(view=view)

        def accept(accepted: View, ballot: int) -> bool:
            return agreement.on_accept(request=AcceptAsk(ballot=ballot, proposer="m", view=accepted)).granted

        for number in (view.number, view.number + 2):
            if accept(dataclasses.replace(wanted, number=number), 1):
                yield f"accepted view {number} under view {view.number}"
        agreement.store.view = _without_vote(agreement=agreement)
        if accept(wanted, 2):
            yield "view accepted by a non-voter"
        agreement.store.view = view
        assert agreement.on_promise(request=PromiseAsk(number=wanted.number, ballot=5, proposer="m")).granted
        if accept(wanted, 4):
            yield "view accepted with ballot 4 after a promise for ballot 5"
        agreement.store.caught_up = False
        if accept(dataclasses.replace(wanted, chain=[agreement.own_disk]), 6):
            yield "view accepted by a head that lacks entries"
        agreement.store.caught_up = True
        assert accept(wanted, 7)
        store = _crash_and_restart(runner=runner, core=core).store
        if store.view.number == view.number and (store.accepted or {}).get("number") != wanted.number:
            yield "acceptance lost by a restart"


def proposer_takes_up_what_was_accepted() -> Iterator[str]:
    """A proposer must propose the view that a majority has accepted before, not its own."""
    with started_control_plane(members=3, seed=SEED) as runner:
        first, second, third = (_core(runner=runner, index=index).agreement for index in range(3))
        view = first.view
        decided = _next_view(view=view, chain=[first.own_disk, second.own_disk])
        for agreement in (second, third):
            assert agreement.on_accept(request=AcceptAsk(ballot=3, proposer="m", view=decided)).granted
        first.ballot = 5
        first.propose(chain=[first.own_disk, third.own_disk], voters=view.voters)
        if first.view.number == decided.number and first.view != decided:
            yield "proposed another view in place of the one that a majority had accepted"


def proposer_needs_majorities() -> Iterator[str]:
    """A proposer is isolated while it asks for promises, when a majority has accepted another view; and in a second
    run after it has received its promises."""
    with started_control_plane(members=3, seed=SEED) as runner:
        first, second, third = (_core(runner=runner, index=index).agreement for index in range(3))
        decided = _next_view(view=first.view, chain=[first.own_disk, second.own_disk])
        for agreement in (second, third):
            assert agreement.on_accept(request=AcceptAsk(ballot=3, proposer="m", view=decided)).granted
        machine = runner.machines.host(index=0).machine
        machine.isolated = True
        first.ballot = 5
        task = eventlet.spawn(first.propose, chain=[first.own_disk, third.own_disk], voters=first.view.voters)
        runner.sleep(first.lease_duration - ms(5))
        machine.isolated = False
        task.wait()
        if first.view.number == decided.number and first.view != decided:
            yield "view decided without a majority of promises"
    with started_control_plane(members=3, seed=SEED) as runner:
        first = _core(runner=runner, index=0).agreement
        number, machine, process_replies = (
            first.view.number,
            runner.machines.host(index=0).machine,
            first._process_replies,
        )

        def isolate_then_process(*, replies: list[Any]) -> None:
            machine.isolated = True
            process_replies(replies=replies)

        first._process_replies = isolate_then_process
        first.propose(chain=first.view.chain, voters=first.view.voters)
        if first.view.number != number:
            yield "view decided without a majority of acceptances"


# Adopting a view.


def _acts_within_lease_duration(*, runner: ScheduleRunner, agreement: ViewAgreement, elapsed: timedelta = ZERO) -> bool:
    end = runner.world.now() + agreement.lease_duration - elapsed - ms(10)
    while runner.world.now() < end:
        if agreement.holds_lease():
            return True
        runner.sleep(ms(10))
    return False


def takeover() -> Iterator[str]:
    """When a daemon may act, and whether it is caught up, after it adopted a view."""
    with started_control_plane(members=3, seed=SEED) as runner:
        core = _core(runner=runner, index=1)
        agreement = core.agreement
        agreement.learn(view=_next_view(view=agreement.view))
        if not agreement.store.caught_up:
            yield "member that keeps its place is no longer caught up"
        core = _crash_and_restart(runner=runner, core=core)
        if _acts_within_lease_duration(runner=runner, agreement=core.agreement, elapsed=RESTART_DELAY):
            yield "acts right after a restart that followed the adoption of a view"
    with started_control_plane(members=3, seed=SEED) as runner:
        agreement = _core(runner=runner, index=1).agreement
        agreement.learn(view=_next_view(view=agreement.view))
        if _acts_within_lease_duration(runner=runner, agreement=agreement):
            yield "acts under a new view before the leases of the old one have expired"
    for violation, caught_up_before, joined_later, in_chain in (
        ("member that was not caught up is so under the next view", False, 0, True),
        ("caught up after leaving and rejoining the chain", True, 1, True),
        ("caught up outside the chain", True, 0, False),
    ):
        with started_control_plane(members=3, seed=SEED) as runner:
            agreement = _core(runner=runner, index=1).agreement
            view = agreement.view
            agreement.store.caught_up = caught_up_before
            others = [disk for disk in view.chain if disk != agreement.own_disk]
            chain = [*others, agreement.own_disk] if in_chain else others
            joined = {disk: view.number + joined_later * (disk == agreement.own_disk) for disk in chain}
            number = view.number + (2 if in_chain else 1)
            agreement.learn(view=View(number=number, chain=chain, voters=view.voters, joined=joined))
            if agreement.store.caught_up:
                yield violation
    with started_control_plane(members=3, seed=SEED) as runner:
        agreement = _core(runner=runner, index=1).agreement
        others = [disk for disk in agreement.view.chain if disk != agreement.own_disk]
        agreement.store.view = dataclasses.replace(agreement.view, chain=others)
        agreement.learn(view=_next_view(view=agreement.view, chain=[*others, agreement.own_disk]))
        if agreement.store.caught_up:
            yield "caught up as soon as it joined the chain"


# Founding.


def founding() -> Iterator[str]:
    """Founding requests that a disk must refuse."""
    with started_control_plane(members=3, seed=SEED) as runner:
        agreement = _core(runner=runner, index=1).agreement
        if agreement.on_found(request=FoundAsk(view=agreement.store.founding)).granted:
            yield "founding vote by a disk that has a view"
    with _without_first_change(started=1) as runner:
        core = _core(runner=runner, index=0)
        agreement = core.agreement
        settings = agreement.settings
        agreement.settings = dataclasses.replace(settings, cores=1)
        if agreement._founders() is not None:
            yield "founders chosen before every seed was heard from"
        agreement.settings = settings
        voters = sorted([agreement.own_disk, "x", "y"])
        other = sorted([agreement.own_disk, "x", "z"])
        known = Founders(disks=voters, seeds=frozenset(["x", "y"]), proposer="x")
        agreement._founders = lambda: known

        def found(named: list[str]) -> bool:
            return agreement.on_found(request=FoundAsk(view=View(number=1, chain=named, voters=named))).granted

        if found(other):
            yield "founding vote for a set that lacks a seed"
        if found(sorted(["x", "y", "z"])):
            yield "founding vote for a set without the voting disk"
        agreement.settings = dataclasses.replace(settings, cores=4)
        if found(voters):
            yield "founding vote for too few founders"
        agreement.settings = settings
        agreement.store.may_found = False
        if found(voters):
            yield "founding vote without permission to found"
        agreement.store.may_found = True
        agreement.store.founding = None
        assert found(voters)
        known = Founders(disks=other, seeds=frozenset(["x"]), proposer="x")
        if found(other):
            yield "founding votes for two sets"
        store = _crash_and_restart(runner=runner, core=core).store
        if store.founding is None or store.founding.voters != voters:
            yield "founding vote lost by a restart"


def founding_in_part() -> Iterator[str]:
    """One of three founders is isolated once all know each other: the other two must not found a control plane."""
    with _without_first_change(started=3) as runner:
        agreements = [_core(runner=runner, index=index).agreement for index in range(3)]
        for agreement in agreements:
            agreement.store.may_found = False
        while not all(agreement._founders() for agreement in agreements):
            runner.sleep(ms(10))
        founders = agreements[0]._founders().disks
        isolated_index = next(index for index in range(3) if agreements[index].own_disk == founders[-1])
        runner.machines.host(index=isolated_index).machine.isolated = True
        for agreement in agreements:
            agreement.store.may_found = True
        runner.sleep(4 * SECOND)
        if any(agreement.view is not None for agreement in agreements):
            yield "founded without all founders"


@contextmanager
def _without_first_change(*, started: int) -> Iterator[ScheduleRunner]:
    """The first `started` daemons of a control plane of three, with no change put yet."""
    with World(seed=SEED, link_us=LINK_LATENCY_US).open() as world:
        runner = ScheduleRunner(world=world, members=3)
        for index in range(started):
            runner.machines.start(index=index)
        runner.sleep(ms(100))
        yield runner


# Chain replication.


def appends() -> Iterator[str]:
    """Append requests to a tail that it must refuse or apply only in part, and what it must sync before it replies."""
    with started_control_plane(members=3, seed=SEED) as runner:
        core = _chain_cores(runner=runner)[-1]
        agreement, chain, store = core.agreement, core.chain, core.store
        view = agreement.view
        synced = chain.synced_index

        def append(mark: int, entries: list[Entry], *, number: int = view.number, upto: int = 0) -> Any:
            return chain.on_append(request=Append(number=number, mark=mark, upto=upto, entries=entries))

        append(synced, _make_entries(after=synced, count=1), number=view.number - 1)
        if chain.synced_index != synced:
            yield "entries appended under an older view"
        synced = chain.synced_index
        agreement.store.view = dataclasses.replace(view, chain=view.chain[:-1])
        append(synced, _make_entries(after=synced, count=1))
        agreement.store.view = view
        if chain.synced_index != synced:
            yield "entries appended by a daemon outside the chain"
        synced = chain.synced_index
        if append(synced + 2, _make_entries(after=synced + 2, count=1)).state != "behind":
            yield "missing entries before a gap are not requested again"
        append(synced, _make_entries(after=synced + 1, count=1))
        if chain.synced_index != synced:
            yield "entries appended after a gap"
            return
        agreement.behind_retained_log = False
        if (
            append(synced - 1, _make_entries(after=synced - 1, count=2)).state != "acked"
            or len(store.entries) != synced + 1
        ):
            yield f"{len(store.entries)} entries in the log up to mark {synced + 1}"
            return
        synced = chain.synced_index
        written = parse(data=core.host.machine.disk.files["chain"])[0]
        if written[-1].get("mark") != synced:
            yield "entry acknowledged before it was synced"
        store.caught_up = False
        append(synced, [], upto=synced + 5)
        if store.caught_up:
            yield "caught up before it has all entries of its predecessor"
        store.caught_up = True
        core.host.machine.disk.syncs_fail = True
        if append(synced, _make_entries(after=synced, count=1)).state == "acked" or chain.synced_index != synced:
            yield "entry counts although its sync failed"


def tail_without_lease() -> Iterator[str]:
    """A tail whose lease has ended must not acknowledge or confirm."""
    with started_control_plane(members=3, seed=SEED) as runner:
        core = _chain_cores(runner=runner)[-1]
        synced = core.chain.synced_index
        core.agreement.grants.clear()
        request = Append(number=core.agreement.view.number, mark=synced, upto=synced, entries=[])
        if core.chain.on_append(request=request).state == "acked":
            yield "acknowledged by a tail without a lease"
        request = ConfirmAsk(number=core.agreement.view.number, sessions=[])
        if core.chain.on_confirm(request=request).granted:
            yield "confirmed by a tail without a lease"


def tail_not_level() -> Iterator[str]:
    """A tail that is not caught up must not acknowledge."""
    with started_control_plane(members=3, seed=SEED) as runner:
        core = _chain_cores(runner=runner)[-1]
        synced = core.chain.synced_index
        core.store.caught_up = False
        request = Append(number=core.agreement.view.number, mark=synced, upto=synced + 5, entries=[])
        if core.chain.on_append(request=request).state == "acked":
            yield "acknowledged by a tail that is not caught up"


def joins() -> Iterator[str]:
    """Join requests that a daemon must refuse, and the entries it must not hand over."""
    with started_control_plane(members=3, seed=SEED) as runner:
        _, middle, tail = _chain_cores(runner=runner)
        view = middle.agreement.view
        middle.store.view = dataclasses.replace(view, chain=[tail.agreement.own_disk])
        if middle.joining.on_join(request=JoinAsk(disk="j", mark=0, fresh=True)).granted:
            yield "snapshot served by a daemon outside the chain"
        middle.store.view = view
        if middle.joining.on_join(request=JoinAsk(disk="j", mark=0, fresh=False)).granted:
            yield "entries served by a daemon that is not the tail"
        synced, number = tail.chain.synced_index, tail.agreement.view.number
        large_batch = _make_entries(after=synced, count=MAX_BATCH_ENTRIES + 50)
        tail.chain.on_append(request=Append(number=number, mark=synced, upto=large_batch[-1].mark, entries=large_batch))
        tail.joining.on_join(request=JoinAsk(disk="slow", mark=synced, fresh=False))
        if "slow" in tail.agreement.join_candidates:
            yield "joiner that is far behind is a join candidate"
        known = tail.chain.synced_index
        tail.store.append(entries=_make_entries(after=known, count=1))
        entries = tail.joining.on_join(request=JoinAsk(disk="j", mark=known - 1, fresh=False)).entries
        if entries[-1].mark != known:
            yield "unacknowledged entry served to a joiner"
        tail.store.reset(state=tail.chain.state)
        if tail.joining.on_join(request=JoinAsk(disk="j", mark=0, fresh=False)).granted:
            yield "entries served to a joiner that is behind the retained log"


def late_hand_over() -> Iterator[str]:
    """A transfer to a joiner must stop taking effect once the joiner is a member again."""
    with started_control_plane(members=3, seed=SEED) as runner:
        _, middle, tail = _chain_cores(runner=runner)
        synced = middle.chain.synced_index
        middle.joining._install_snapshot(state=State(claim_retention=middle.store.claim_retention))
        if middle.chain.synced_index != synced:
            yield "member reset to a snapshot"
        one_entry = _make_entries(after=tail.chain.synced_index, count=1)
        tail.chain.on_append(
            request=Append(number=tail.agreement.view.number, mark=synced, upto=one_entry[-1].mark, entries=one_entry)
        )
        middle.joining.needs_snapshot = False
        middle.joining._catch_up()
        if middle.chain.synced_index != synced:
            yield "member appended entries from a join transfer"


class _MixedMarkSnapshotClient:
    """RPC client stub that returns a snapshot of two parts with different marks."""

    def __init__(self, *, fields: dict[str, Any]) -> None:
        self.fields = fields

    def call(self, *, address: str, request: JoinAsk, wait: timedelta) -> JoinReply:
        part = {**self.fields, "part": request.part, "parts": 2, "mark": 5 + request.part, "claims": []}
        return JoinReply(granted=True, mark=part["mark"], entries=[], snapshot=part)


def snapshot_parts() -> Iterator[str]:
    """A joiner must reject a snapshot whose parts have different marks."""
    with started_control_plane(members=3, seed=SEED) as runner:
        core = _core(runner=runner, index=0)
        joining = core.joining
        joining.rpc_client = _MixedMarkSnapshotClient(fields=core.chain.state.snapshot().part(number=0))
        if joining._fetch_snapshot(address="") is not None:
            yield "snapshot accepted whose parts have different marks"


# Late replies.


class _ScriptedRpcClient:
    """RPC client stub that returns `replies` in order, each after its delay.

    A reply of None, and every call after the last reply (with a delay of one second), raises OSError.
    """

    def __init__(self, *, host: Host, replies: list[tuple[timedelta, Any]]) -> None:
        self.host = host
        self.replies = list(replies)
        self.requests: list[Any] = []

    def call(self, *, address: str, request: Any, wait: timedelta) -> Any:
        self.requests.append(request)
        after, reply = self.replies.pop(0) if self.replies else (SECOND, None)
        self.host.sleep(wait=after)
        if reply is None:
            raise OSError("no answer")
        return reply


def _confirm_reply(*, core: Core, ahead: int = 0) -> ConfirmReply:
    return ConfirmReply(granted=True, mark=core.chain.synced_index + ahead, view=None, sessions=[], untilUs=0)


def late_confirmation() -> Iterator[str]:
    """A confirmation requested before a read began arrives while the read's own request gets no reply; in a second run
    the confirmation covers more entries than the reading daemon has."""
    with started_control_plane(members=3, seed=SEED) as runner:
        core = _chain_cores(runner=runner)[0]
        replies = [(ms(300), _confirm_reply(core=core)), (ms(400), None)]
        core.chain.rpc_client = _ScriptedRpcClient(host=core.host, replies=replies)
        eventlet.spawn(core.chain._confirm_with_tail)
        runner.sleep(ms(100))
        # Requests that the daemon's own task sends meanwhile get no reply either.
        if core.chain.confirm_read():
            yield "read confirmed by a request sent before the read began"
    with started_control_plane(members=3, seed=SEED) as runner:
        core = _chain_cores(runner=runner)[0]
        core.chain.rpc_client = _ScriptedRpcClient(host=core.host, replies=[(ZERO, _confirm_reply(core=core, ahead=5))])
        if core.chain.confirm_read():
            yield "read confirmed for more entries than the daemon has"


def answers_of_a_former_view() -> Iterator[str]:
    """Changes waiting at a head for an acknowledgement under an earlier view, and at a member that is not the head."""
    with started_control_plane(members=3, seed=SEED) as runner:
        head, middle, _ = _chain_cores(runner=runner)
        write = Write(change={}, index=50)
        head.chain.waiting = [write]
        head.chain.acknowledged = (head.agreement.view.number - 1, 99)
        head.chain._answer_acknowledged()
        if write.done.ready():
            yield "change answered by an acknowledgement under an earlier view"
        lost = Write(change={}, index=50)
        middle.chain.waiting = [lost]
        runner.sleep(ms(300))
        if not lost.done.ready():
            yield "change still waiting at a member that is no longer the head"


def acknowledged_under_another_view() -> Iterator[str]:
    """A successor's reply under one view arrives, or is still remembered, under another view."""
    with started_control_plane(members=3, seed=SEED) as runner:
        head, middle, _ = _chain_cores(runner=runner)
        number = head.agreement.view.number
        reply = Appended(state="acked", mark=head.chain.synced_index)
        head.chain.rpc_client = _ScriptedRpcClient(host=head.host, replies=[(ms(50), reply)])
        eventlet.spawn(head.chain._push_to_successor)
        runner.sleep(ms(20))
        head.agreement.store.view = dataclasses.replace(head.agreement.view, number=number + 1)
        head.chain.acknowledged = (number + 1, 0)
        runner.sleep(ms(100))
        if head.chain.acknowledged != (number + 1, 0) or head.chain.successor_acked[0] == number + 1:
            yield "acknowledgement under an earlier view counted under the current one"
        middle.chain.rpc_client = _ScriptedRpcClient(
            host=middle.host, replies=[(ms(1), Appended(state="refused", mark=0))]
        )
        middle.chain.successor_acked = (number - 1, middle.chain.synced_index)
        request = Append(number=number, mark=middle.chain.synced_index, upto=middle.chain.synced_index, entries=[])
        if middle.chain.on_append(request=request).state == "acked":
            yield "member forwarded an acknowledgement of its successor under an earlier view"


def level_by_one_that_is_not() -> Iterator[str]:
    """A member that is not caught up must not let its successor count as caught up."""
    with started_control_plane(members=3, seed=SEED) as runner:
        middle = _chain_cores(runner=runner)[1]
        middle.store.caught_up = False
        rpc_client = middle.chain.rpc_client = _ScriptedRpcClient(host=middle.host, replies=[])
        try:
            middle.chain._push_to_successor()
        except OSError:
            pass
        appends_sent = [request for request in rpc_client.requests if isinstance(request, Append)]
        if appends_sent[0].upto <= middle.chain.synced_index:
            yield "member that is not caught up lets its successor count as caught up"


def takeover_while_extending() -> Iterator[str]:
    """A view must not be adopted while entries are being appended."""
    with started_control_plane(members=3, seed=SEED) as runner:
        agreement = _core(runner=runner, index=1).agreement
        number = agreement.view.number
        with agreement.append_lock:
            eventlet.spawn(agreement.learn, view=_next_view(view=agreement.view))
            runner.sleep(ms(100))
            if agreement.view.number != number:
                yield "view adopted while entries were being appended"


# Voters.


def voter_replacement() -> Iterator[str]:
    """Which voter a joiner may replace."""
    with started_control_plane(members=3, seed=SEED) as runner:
        agreement = _core(runner=runner, index=0).agreement
        first, second, third = agreement.view.voters
        short_chain_view = dataclasses.replace(agreement.view, chain=[first, second])
        silence = {first: ZERO, second: ZERO, third: 10 * SECOND}

        def voters(view: View, joiner: str | None, silent: dict[str, timedelta]) -> list[str] | None:
            return agreement._next_voters(view=view, joiner=joiner, silent=silent)

        if voters(short_chain_view, "j", {**silence, third: SECOND}) is not None:
            yield "voter replaced although it was recently heard from"
        if voters(agreement.view, "j", silence) is not None:
            yield "voter in the chain replaced"
        if voters(short_chain_view, "j", silence) != [first, second, "j"]:
            yield "not exactly the silent voter was replaced"
        if voters(short_chain_view, None, silence) != agreement.view.voters:
            yield "voters changed without a joiner"
