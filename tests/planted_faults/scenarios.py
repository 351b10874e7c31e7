"""Directed scenarios: schedules of calls and faults made for one condition each, and the probes, by name."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from unittest import mock

import eventlet

from dockmux.control import chain_replica
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.time_units import ms
from tests.control_model.history import Change, breaches
from tests.control_model.operators import packed, unpacked
from tests.control_model.play import Player, playing
from tests.planted_faults import probes

SECOND = timedelta(seconds=1)
BIG_BYTES, SPARE_BYTES = 100_000, 10_000


def _places(*, player: Player) -> list[int]:
    """The machines in the order of the newest view's chain."""
    rows = [row for row in player.machines.agreements() if row[1].view is not None]
    view = max((agreement.view for _, agreement, _ in rows), key=lambda view: view.number)
    by_disk = {agreement.own_disk: place for place, agreement, _ in rows}
    return [by_disk[disk] for disk in view.chain]


def _cut(*, player: Player, here: list[int], there: list[int]) -> None:
    ips = [player.machines.host(place=place).machine.ip for place in range(len(player.machines.names))]
    player.world.cuts |= {pair for a in here for b in there for pair in ((ips[a], ips[b]), (ips[b], ips[a]))}


def _put(*, player: Player, base: int, control: int, version: int = 0) -> int:
    change = player.operators.change(base=base)
    if version:
        change = Change(version=version, base=base, text=change.text)
    return player.operators.put_once(change=change, control=control)


def _put_soon(*, player: Player, base: int, control: int) -> None:
    eventlet.spawn(_put, player=player, base=base, control=control)


def _ended(*, player: Player) -> list[str]:
    player.end()
    return breaches(history=player.history)


def _newest(*, player: Player) -> int:
    return player.operators.newest_acknowledged()


def _write(*, player: Player, place: int, change: Change, limit: timedelta) -> Outcome | None:
    """Straight to a daemon, and for longer than an operator waits; None when it did not end in time."""
    core = player.machines.core(place=place)
    fields = {
        "kind": "config", "tree": {"text": packed(change=change).decode()}, "version": change.version,
        "based_on": change.base,
    }  # fmt: skip
    ended: list[Outcome] = []
    eventlet.spawn(lambda: ended.append(core.chain.write(change=fields)))
    end = player.world.now() + limit
    while not ended and player.world.now() < end:
        player.sleep(ms(20))
    return ended[0] if ended else None


def head_cut_off() -> Iterator[str]:
    """The head is cut off from the others for long; operators call both sides."""
    with playing(members=3, seed=1) as player:
        head, middle, tail = _places(player=player)
        _cut(player=player, here=[head], there=[middle, tail])
        for _ in range(20):
            newest = _newest(player=player)
            for place in (head, middle, tail):
                _put_soon(player=player, base=newest, control=place)
                eventlet.spawn(player.operators.read_once, control=place)
            player.sleep(ms(300))
        player.world.cuts.clear()
        player.sleep(3 * SECOND)
        yield from _ended(player=player)


def read_from_cut_off() -> Iterator[str]:
    """The tail and the member before it are cut off from three others; all are read from."""
    with playing(members=5, seed=1) as player:
        *most, before, tail = _places(player=player)
        _cut(player=player, here=[before, tail], there=most)
        player.sleep(3 * SECOND)
        for _ in range(10):
            _put(player=player, base=_newest(player=player), control=most[0])
            for place in (tail, before, most[0]):
                player.operators.read_once(control=place)
            player.sleep(ms(300))
        player.world.cuts.clear()
        player.sleep(3 * SECOND)
        yield from _ended(player=player)


def versions() -> Iterator[str]:
    """Changes on an old base, of an old number, and sent again."""
    with playing(members=3, seed=1) as player:
        _put(player=player, base=1, control=0)
        first = player.history.puts[-1]
        _put(player=player, base=1, control=1)
        _put(player=player, base=1, control=1, version=5)
        _put(player=player, base=2, control=1, version=2)
        player.operators.put_once(change=first.change, control=2)
        _put(player=player, base=2, control=2)
        player.operators.put_once(change=first.change, control=2)
        yield from _ended(player=player)


def raced() -> Iterator[str]:
    """Two changes on one base reach the head at once, and the rest of the chain is cut off: neither may be answered,
    nor refused, before the other is acknowledged."""
    with playing(members=3, seed=1) as player:
        head, middle, tail = _places(player=player)
        _cut(player=player, here=[middle], there=[tail])
        chain = player.machines.core(place=head).chain
        current: list[tuple[OutcomeKind, int]] = []

        def write(change: Change) -> None:
            tree = {"text": packed(change=change).decode()}
            fields = {"kind": "config", "tree": tree, "version": change.version, "based_on": change.base}
            kind = chain.write(change=fields).kind
            current.append((kind, chain.state.config.version if chain.state.config else 0))

        for text in ("one", "rival", "one"):
            eventlet.spawn(write, Change(version=2, base=1, text=text))
        player.sleep(6 * SECOND)
        for kind, version in current:
            if kind in (OutcomeKind.ANSWERED, OutcomeKind.MARK_OUTDATED) and version < 2:
                yield f"{kind.value} while version {version} is the acknowledged one"


def all_killed_after_acknowledgement() -> Iterator[str]:
    """All processes end right after an acknowledgement, and all disks are kept."""
    with playing(members=3, seed=1) as player:
        _put(player=player, base=1, control=0)
        for place in range(3):
            player.machines.kill(place=place, unsynced_lost=True)
        for place in range(3):
            player.machines.start(place=place)
        player.sleep(4 * SECOND)
        yield from _ended(player=player)


def old_head_returns() -> Iterator[str]:
    """A head is cut off with an entry that only it has; another entry takes that place; it comes back. Twice for the
    same machine, once cut off and once ended and started anew."""
    for ended in (False, True):
        with playing(members=3, seed=1) as player:
            mine = _places(player=player)[0]
            for _ in range(2):
                _lead_again(player=player, place=mine)
                _leave_an_entry(player=player, place=mine, ended=ended)
            found = _ended(player=player)
            if found:
                yield from found
                return


def _lead_again(*, player: Player, place: int) -> None:
    """Ends whoever heads the chain before a machine, one after the other."""
    for _ in range(4):
        head = _places(player=player)[0]
        if head == place:
            return
        player.machines.kill(place=head, unsynced_lost=False)
        player.sleep(3 * SECOND)
        player.machines.start(place=head)
        player.sleep(5 * SECOND)


def _leave_an_entry(*, player: Player, place: int, ended: bool) -> None:
    others = [other for other in range(3) if other != place]
    newest = _newest(player=player)
    _cut(player=player, here=[place], there=others)
    for _ in range(3):
        _put_soon(player=player, base=newest, control=place)
    player.sleep(ms(50))
    if ended:
        player.machines.kill(place=place, unsynced_lost=False)
    player.sleep(4 * SECOND)
    for control in (*others, *others):
        _put(player=player, base=newest, control=control)
    player.world.cuts.clear()
    if ended:
        player.machines.start(place=place)
    player.sleep(5 * SECOND)


def old_head_returns_and_starts_anew() -> Iterator[str]:
    """As above; and as soon as the old head has noted that it was left out, it ends and starts anew."""
    with playing(members=3, seed=1) as player:
        mine, *others = _places(player=player)
        _cut(player=player, here=[mine], there=others)
        for _ in range(2):
            _put_soon(player=player, base=1, control=mine)
        player.sleep(5 * SECOND)
        for control in (*others, *others):
            _put(player=player, base=1, control=control)
        player.world.cuts.clear()
        core = player.machines.core(place=mine)
        while core.agreement.is_member():
            player.sleep(ms(1))
        player.machines.kill(place=mine, unsynced_lost=False)
        player.machines.start(place=mine)
        player.sleep(5 * SECOND)
        yield from _ended(player=player)


def read_from_lagging_head() -> Iterator[str]:
    """The head is cut off just when the tail has acknowledged a change, before the head hears of it."""
    with playing(members=3, seed=1) as player:
        head, middle, tail = _places(player=player)
        chain = player.machines.core(place=tail).chain
        known = chain.state.mark
        _put_soon(player=player, base=1, control=head)
        for _ in range(20_000):
            if chain.state.mark > known:
                break
            player.sleep(ms(0.05))
        _cut(player=player, here=[head], there=[middle, tail])
        for place in (tail, head):
            player.operators.read_once(control=place)
        player.world.cuts.clear()
        yield from _ended(player=player)


def _fill(*, player: Player, places: list[int]) -> None:
    """Room is left on these disks for votes, and not for a big entry."""
    for place in places:
        disk = player.machines.host(place=place).machine.disk
        disk.limit_bytes = sum(len(kept) for kept in disk.files.values()) + SPARE_BYTES


def _big(*, base: int) -> Change:
    return Change(version=base + 1, base=base, text="x" * BIG_BYTES)


def chain_shrinks_under_a_write() -> Iterator[str]:
    """The disks of all but the head refuse an entry; the chain shrinks to the head, which alone has it."""
    # Both leave one after the other, and a head waits for a lease each time.
    patient = mock.patch.object(chain_replica, "WRITE_TIMEOUT", 10 * SECOND)
    with patient, playing(members=3, seed=1) as player:
        head, *others = _places(player=player)
        _fill(player=player, places=others)
        outcome = _write(player=player, place=head, change=_big(base=1), limit=10 * SECOND)
        if outcome is not None and outcome.kind is OutcomeKind.ANSWERED:
            yield "acknowledged with one copy"


def short_chain() -> Iterator[str]:
    """The disks of three in five refuse an entry; the chain has two members then, where three must hold a change."""
    with playing(members=5, seed=1) as player:
        head, second, *others = _places(player=player)
        _fill(player=player, places=others)
        eventlet.spawn(_write, player=player, place=head, change=_big(base=1), limit=8 * SECOND)
        core = player.machines.core(place=head)
        for _ in range(400):
            player.sleep(ms(20))
            if len(core.agreement.view.chain) == 2 and core.agreement.holds_lease():
                newest = unpacked(core.chain.tentative.config.tree["text"]).version
                status = _put(player=player, base=newest, control=head)
                if status == 200 and len(core.agreement.view.chain) == 2:
                    yield "acknowledged with two copies of three"
                return


def _given(probe: Callable[[], Iterator[str]]) -> Callable[[], list[str]]:
    def run() -> list[str]:
        return list(probe())

    return run


SCENARIOS: dict[str, Callable[[], list[str]]] = {
    scenario.__name__: _given(scenario)
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
