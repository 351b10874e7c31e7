"""Directed scenarios: schedules of calls and faults that exercise one safety condition each.

`SCENARIOS` maps the name of each scenario, including the probes, to a function that returns the violations observed; it
returns none on the unmodified product.
"""

from collections.abc import Callable, Iterator
from datetime import timedelta
from unittest import mock

import eventlet

from dockmux.control import chain_replica
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.time_units import ms
from tests.control_model.history import Change, find_violations
from tests.control_model.operators import decode_change, encode_change
from tests.control_model.schedule_runner import ScheduleRunner, started_control_plane
from tests.planted_faults import probes

SECOND = timedelta(seconds=1)
LARGE_ENTRY_BYTES, FREE_DISK_BYTES = 100_000, 10_000


def _chain_order(*, runner: ScheduleRunner) -> list[int]:
    """The machine indices in the order of the newest view's chain."""
    rows = [row for row in runner.machines.running_daemons() if row[1].view is not None]
    view = max((agreement.view for _, agreement, _ in rows), key=lambda view: view.number)
    by_disk = {agreement.own_disk: index for index, agreement, _ in rows}
    return [by_disk[disk] for disk in view.chain]


def _cut(*, runner: ScheduleRunner, from_indices: list[int], to_indices: list[int]) -> None:
    ips = [runner.machines.host(index=index).machine.ip for index in range(len(runner.machines.names))]
    runner.world.cuts |= {
        pair for a in from_indices for b in to_indices for pair in ((ips[a], ips[b]), (ips[b], ips[a]))
    }


def _put(*, runner: ScheduleRunner, base: int, control: int, version: int = 0) -> int:
    change = runner.operators.change(base=base)
    if version:
        change = Change(version=version, base=base, text=change.text)
    return runner.operators.put_once(change=change, control=control)


def _spawn_put(*, runner: ScheduleRunner, base: int, control: int) -> None:
    eventlet.spawn(_put, runner=runner, base=base, control=control)


def _final_violations(*, runner: ScheduleRunner) -> list[str]:
    runner.finish()
    return find_violations(history=runner.history)


def _newest_acknowledged(*, runner: ScheduleRunner) -> int:
    return runner.operators.newest_acknowledged()


def _write_to_daemon(*, runner: ScheduleRunner, index: int, change: Change, limit: timedelta) -> Outcome | None:
    """Writes a change directly through a daemon, with a longer timeout than an operator's.

    Returns the outcome, or None if there was none within `limit`.
    """
    core = runner.machines.core(index=index)
    fields = {
        "kind": "config", "tree": {"text": encode_change(change=change).decode()}, "version": change.version,
        "based_on": change.base,
    }  # fmt: skip
    outcomes: list[Outcome] = []
    eventlet.spawn(lambda: outcomes.append(core.chain.write(change=fields)))
    end = runner.world.now() + limit
    while not outcomes and runner.world.now() < end:
        runner.sleep(ms(20))
    return outcomes[0] if outcomes else None


def head_cut_off() -> Iterator[str]:
    """The head is partitioned from the others for several seconds; operators call both sides."""
    with started_control_plane(members=3, seed=1) as runner:
        head, middle, tail = _chain_order(runner=runner)
        _cut(runner=runner, from_indices=[head], to_indices=[middle, tail])
        for _ in range(20):
            newest = _newest_acknowledged(runner=runner)
            for index in (head, middle, tail):
                _spawn_put(runner=runner, base=newest, control=index)
                eventlet.spawn(runner.operators.read_once, control=index)
            runner.sleep(ms(300))
        runner.world.cuts.clear()
        runner.sleep(3 * SECOND)
        yield from _final_violations(runner=runner)


def read_from_cut_off() -> Iterator[str]:
    """The tail and its predecessor are partitioned from the three other members; operators read from both sides."""
    with started_control_plane(members=5, seed=1) as runner:
        *majority, before, tail = _chain_order(runner=runner)
        _cut(runner=runner, from_indices=[before, tail], to_indices=majority)
        runner.sleep(3 * SECOND)
        for _ in range(10):
            _put(runner=runner, base=_newest_acknowledged(runner=runner), control=majority[0])
            for index in (tail, before, majority[0]):
                runner.operators.read_once(control=index)
            runner.sleep(ms(300))
        runner.world.cuts.clear()
        runner.sleep(3 * SECOND)
        yield from _final_violations(runner=runner)


def versions() -> Iterator[str]:
    """Changes on an outdated base, with an outdated version, and resent."""
    with started_control_plane(members=3, seed=1) as runner:
        _put(runner=runner, base=1, control=0)
        first = runner.history.puts[-1]
        _put(runner=runner, base=1, control=1)
        _put(runner=runner, base=1, control=1, version=5)
        _put(runner=runner, base=2, control=1, version=2)
        runner.operators.put_once(change=first.change, control=2)
        _put(runner=runner, base=2, control=2)
        runner.operators.put_once(change=first.change, control=2)
        yield from _final_violations(runner=runner)


def raced() -> Iterator[str]:
    """Two changes on one base reach the head at once while the tail is cut off: neither may be answered, nor refused
    because of the other, before one of them is acknowledged."""
    with started_control_plane(members=3, seed=1) as runner:
        head, middle, tail = _chain_order(runner=runner)
        _cut(runner=runner, from_indices=[middle], to_indices=[tail])
        chain = runner.machines.core(index=head).chain
        results: list[tuple[OutcomeKind, int]] = []

        def write(change: Change) -> None:
            tree = {"text": encode_change(change=change).decode()}
            fields = {"kind": "config", "tree": tree, "version": change.version, "based_on": change.base}
            kind = chain.write(change=fields).kind
            results.append((kind, chain.state.config.version if chain.state.config else 0))

        for text in ("one", "rival", "one"):
            eventlet.spawn(write, Change(version=2, base=1, text=text))
        runner.sleep(6 * SECOND)
        for kind, version in results:
            if kind in (OutcomeKind.ANSWERED, OutcomeKind.MARK_OUTDATED) and version < 2:
                yield f"{kind.value} while the acknowledged version is {version}"


def all_killed_after_acknowledgement() -> Iterator[str]:
    """All processes are killed right after an acknowledgement; all disks are kept."""
    with started_control_plane(members=3, seed=1) as runner:
        _put(runner=runner, base=1, control=0)
        for index in range(3):
            runner.machines.kill(index=index, unsynced_lost=True)
        for index in range(3):
            runner.machines.start(index=index)
        runner.sleep(4 * SECOND)
        yield from _final_violations(runner=runner)


def old_head_returns() -> Iterator[str]:
    """A head is cut off with an entry that only it has, another entry is written at that mark, and the old head
    returns; twice for the same machine. The first run only cuts it off, the second also kills and restarts it."""
    for restart in (False, True):
        with started_control_plane(members=3, seed=1) as runner:
            old_head = _chain_order(runner=runner)[0]
            for _ in range(2):
                _make_head(runner=runner, index=old_head)
                _create_divergent_entry(runner=runner, index=old_head, restart=restart)
            violations = _final_violations(runner=runner)
            if violations:
                yield from violations
                return


def _make_head(*, runner: ScheduleRunner, index: int) -> None:
    """Restarts each head in turn until the given machine is the head."""
    for _ in range(4):
        head = _chain_order(runner=runner)[0]
        if head == index:
            return
        runner.machines.kill(index=head, unsynced_lost=False)
        runner.sleep(3 * SECOND)
        runner.machines.start(index=head)
        runner.sleep(5 * SECOND)


def _create_divergent_entry(*, runner: ScheduleRunner, index: int, restart: bool) -> None:
    """Cuts the head off with an unreplicated entry, lets the others write a different one, and reconnects it."""
    others = [other for other in range(3) if other != index]
    newest = _newest_acknowledged(runner=runner)
    _cut(runner=runner, from_indices=[index], to_indices=others)
    for _ in range(3):
        _spawn_put(runner=runner, base=newest, control=index)
    runner.sleep(ms(50))
    if restart:
        runner.machines.kill(index=index, unsynced_lost=False)
    runner.sleep(4 * SECOND)
    for control in (*others, *others):
        _put(runner=runner, base=newest, control=control)
    runner.world.cuts.clear()
    if restart:
        runner.machines.start(index=index)
    runner.sleep(5 * SECOND)


def old_head_returns_and_starts_anew() -> Iterator[str]:
    """Like `old_head_returns`, but the old head restarts once it has learned that it was removed from the chain."""
    with started_control_plane(members=3, seed=1) as runner:
        old_head, *others = _chain_order(runner=runner)
        _cut(runner=runner, from_indices=[old_head], to_indices=others)
        for _ in range(2):
            _spawn_put(runner=runner, base=1, control=old_head)
        runner.sleep(5 * SECOND)
        for control in (*others, *others):
            _put(runner=runner, base=1, control=control)
        runner.world.cuts.clear()
        core = runner.machines.core(index=old_head)
        while core.agreement.is_member():
            runner.sleep(ms(1))
        runner.machines.kill(index=old_head, unsynced_lost=False)
        runner.machines.start(index=old_head)
        runner.sleep(5 * SECOND)
        yield from _final_violations(runner=runner)


def read_from_lagging_head() -> Iterator[str]:
    """The head is cut off right after the tail has acknowledged a change, before the head learns of it."""
    with started_control_plane(members=3, seed=1) as runner:
        head, middle, tail = _chain_order(runner=runner)
        chain = runner.machines.core(index=tail).chain
        known = chain.state.mark
        _spawn_put(runner=runner, base=1, control=head)
        for _ in range(20_000):
            if chain.state.mark > known:
                break
            runner.sleep(ms(0.05))
        _cut(runner=runner, from_indices=[head], to_indices=[middle, tail])
        for index in (tail, head):
            runner.operators.read_once(control=index)
        runner.world.cuts.clear()
        yield from _final_violations(runner=runner)


def _limit_free_space(*, runner: ScheduleRunner, indices: list[int]) -> None:
    """Leaves these disks enough space for votes but not for a large entry."""
    for index in indices:
        disk = runner.machines.host(index=index).machine.disk
        disk.limit_bytes = sum(len(content) for content in disk.files.values()) + FREE_DISK_BYTES


def _large_change(*, base: int) -> Change:
    return Change(version=base + 1, base=base, text="x" * LARGE_ENTRY_BYTES)


def chain_shrinks_under_a_write() -> Iterator[str]:
    """All disks but the head's are too full for an entry; the chain shrinks to the head, the only one that has it."""
    # The two other members leave one after the other, and the head waits for a lease each time.
    longer_timeout = mock.patch.object(chain_replica, "WRITE_TIMEOUT", 10 * SECOND)
    with longer_timeout, started_control_plane(members=3, seed=1) as runner:
        head, *others = _chain_order(runner=runner)
        _limit_free_space(runner=runner, indices=others)
        outcome = _write_to_daemon(runner=runner, index=head, change=_large_change(base=1), limit=10 * SECOND)
        if outcome is not None and outcome.kind is OutcomeKind.ANSWERED:
            yield "acknowledged with one copy"


def short_chain() -> Iterator[str]:
    """Three of five disks are too full for an entry; the chain shrinks to two members; a change needs three copies."""
    with started_control_plane(members=5, seed=1) as runner:
        head, second, *others = _chain_order(runner=runner)
        _limit_free_space(runner=runner, indices=others)
        eventlet.spawn(_write_to_daemon, runner=runner, index=head, change=_large_change(base=1), limit=8 * SECOND)
        core = runner.machines.core(index=head)
        for _ in range(400):
            runner.sleep(ms(20))
            if len(core.agreement.view.chain) == 2 and core.agreement.holds_lease():
                newest = decode_change(core.chain.tentative.config.tree["text"]).version
                status = _put(runner=runner, base=newest, control=head)
                if status == 200 and len(core.agreement.view.chain) == 2:
                    yield "acknowledged with two of the three required copies"
                return


def _as_list(probe: Callable[[], Iterator[str]]) -> Callable[[], list[str]]:
    def run() -> list[str]:
        return list(probe())

    return run


SCENARIOS: dict[str, Callable[[], list[str]]] = {
    scenario.__name__: _as_list(scenario)
    for scenario in (
        probes.grants, probes.late_grant, probes.promises, probes.acceptances,
        probes.proposer_takes_up_what_was_accepted, probes.proposer_needs_majorities, probes.takeover,
        probes.founding, probes.founding_in_part, probes.appends, probes.tail_without_lease, probes.tail_not_level,
        probes.joins, probes.late_hand_over, probes.snapshot_parts, probes.voter_replacement,
        probes.late_confirmation, probes.answers_of_a_former_view,
        probes.acknowledged_under_another_view,
        probes.level_by_one_that_is_not, probes.takeover_while_extending, head_cut_off,
        read_from_cut_off, versions, raced, all_killed_after_acknowledgement,
        old_head_returns, old_head_returns_and_starts_anew, read_from_lagging_head,
        chain_shrinks_under_a_write, short_chain,
    )
}  # fmt: skip
