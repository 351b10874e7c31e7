"""Members that leave, come back, miss a view, or are lost right after a repair."""

from typing import Any

import pytest

from dockmux.control.view_agreement import ViewAgreement
from dockmux.runtime.messages import View
from tests.control.cores import SECOND, Cores, cores, text_of


def _miss_next_view(*, made: Cores, name: str) -> None:
    """This daemon does not take over the next view, as when its news are lost; it learns the one after it."""
    agreement = made.daemons[name].agreement
    missed = agreement.view.number + 1
    learn = agreement.learn

    def learn_others(*, view: View | None) -> None:
        if view is None or view.number != missed:
            learn(view=view)

    agreement.learn = learn_others


def _lose_the_head_after_a_repair(*, made: Cores) -> int:
    """The tail is left out and comes back, the second member misses the view between; the moment that it learns the
    next one, the head is lost for good. The status of the next order."""
    head, second, *_, tail = made.chain()
    number = made.daemons[head].agreement.view.number
    _miss_next_view(made=made, name=second)
    made.kill(name=tail)
    assert made.wait_until(what=lambda: tail not in made.chain(), limit=6 * SECOND)
    made.start(name=tail)
    follower = made.daemons[second].agreement
    assert made.wait_until(what=lambda: follower.view.number == number + 2, limit=6 * SECOND)
    made.kill(name=head)
    return made.operator.put(text=text_of(version=2), base=1, control=made.place(name=second), limit=12 * SECOND)


@pytest.mark.parametrize("seed", range(41, 44))
def test_a_second_loss_right_after_a_repair_leaves_a_majority_that_goes_on(seed: int):
    with cores(seed=seed, count=5, survive=2) as made:
        assert _lose_the_head_after_a_repair(made=made) == 200
        made.sound()


def test_without_the_memory_of_who_stayed_the_second_loss_would_end_it(monkeypatch: pytest.MonkeyPatch):
    def stays_level(self: ViewAgreement, *, view: View) -> bool:
        old = self.view
        known = old is not None and view.number == old.number + 1 and self.own_disk in old.chain
        return view.number == 1 or (self.store.caught_up and known)

    monkeypatch.setattr(ViewAgreement, "_stays_caught_up", stays_level)
    with cores(seed=41, count=5, survive=2) as made:
        assert _lose_the_head_after_a_repair(made=made) == 0


def test_no_view_is_proposed_whose_head_does_not_hold_everything():
    """Five, of which only the head and a joiner that is not level yet are in the chain, and the head goes."""
    with cores(seed=46, count=5, survive=2) as made:
        names = made.chain()
        disks = [made.daemons[name].store.disk for name in names]
        view = made.daemons[names[0]].agreement.view
        short = View(
            number=view.number + 1, chain=disks[:2], voters=view.voters, joined={disks[0]: 1, disks[1]: view.number + 1}
        )  # fmt: skip
        made.kill(name=names[0])
        for name in names[1:]:
            made.daemons[name].agreement.learn(view=short)
        made.sleep(seconds=8)
        # The only full copy is on the lost member's disk: nobody goes on without it, and once it is back all is well.
        assert all(made.daemons[name].agreement.view.number == short.number for name in names[1:])
        made.start(name=names[0])
        assert made.operator.put(text=text_of(version=2), base=1, limit=20 * SECOND) == 200
        made.sound()


# Planned leaves.


def _drain(*, made: Cores, name: str) -> int:
    """What a daemon that was told to stop still waits for."""
    return made.daemons[name].drain()


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_member_that_is_told_to_stop_leaves_by_agreement_before_it_goes(place: int):
    with cores(seed=50 + place) as made:
        leaving = made.chain()[place]
        began = made.world.now()
        assert made.wait_until(what=lambda: _drain(made=made, name=leaving) == 0, limit=7 * SECOND)
        assert made.world.now() - began < 1.5 * SECOND
        assert leaving not in made.chain() and len(made.chain()) == 2
        made.kill(name=leaving)
        others = [name for name in made.names if name != leaving]
        began = made.world.now()
        assert made.operator.put(text=text_of(version=2), base=1, control=made.place(name=others[0])) == 200
        assert made.world.now() - began < 3 * SECOND
        made.start(name=leaving)
        assert made.wait_until(what=made.whole, limit=6 * SECOND)
        assert made.get(name=leaving) == (200, 2)
        made.sound()


def test_a_member_without_which_too_few_copies_remain_stays_as_long_as_it_may():
    with cores(seed=55) as made:
        head, middle, tail = made.chain()
        made.kill(name=tail)
        assert made.wait_until(what=lambda: len(made.chain()) == 2, limit=6 * SECOND)
        for _ in range(40):
            assert _drain(made=made, name=middle) > 0
            made.sleep(seconds=0.1)
        assert made.put(version=2, base=1, control=made.place(name=head)) == 200
        # Once another has come in, it may go.
        made.start(name=tail)
        assert made.wait_until(what=lambda: _drain(made=made, name=middle) == 0, limit=8 * SECOND)
        assert middle not in made.chain() and len(made.chain()) == 2
        made.sound()


def test_where_all_are_told_to_stop_nobody_waits():
    with cores(seed=56) as made:
        names = made.chain()
        began = made.world.now()

        def all_may_go() -> bool:
            return sum(_drain(made=made, name=name) for name in names) == 0

        assert made.wait_until(what=all_may_go, limit=7 * SECOND)
        assert made.world.now() - began < 2 * SECOND


def test_members_that_come_in_at_once_get_their_snapshots_side_by_side():
    with cores(seed=57, count=5, survive=2) as made:
        for version in range(2, 40):
            assert made.operator.put(text=text_of(version=version), base=version - 1) == 200
        wiped = made.chain()[3:]
        for name in wiped:
            made.wipe(name=name)
        for name in wiped:
            made.start(name=name)
        began = made.world.now()
        assert made.wait_until(what=made.whole, limit=12 * SECOND)
        assert made.world.now() - began < 8 * SECOND
        made.sound()


def _replaced(*, made: Cores, name: str) -> Any:
    fresh = made.daemons[name].agreement
    return fresh.own_disk


def test_a_replaced_member_never_counts_under_two_identities():
    """A machine that lost its disk has another identity: the former one's votes, seat and copy are not its own."""
    with cores(seed=58) as made:
        head, middle, tail = made.chain()
        former = _replaced(made=made, name=tail)
        made.wipe(name=tail)
        made.start(name=tail)
        assert made.wait_until(what=made.whole, limit=12 * SECOND)
        view = made.daemons[head].agreement.view
        present = _replaced(made=made, name=tail)
        assert former != present and former not in [*view.chain, *view.voters]
        assert sorted(view.voters) == sorted(view.chain) and len(view.voters) == 3
        made.sound()


@pytest.mark.parametrize("how", ["wiped", "replaced"])
@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_second_loss_at_the_moment_it_is_allowed_finds_a_majority(how: str, place: int):
    """A machine is lost for good, an empty one comes a second later, and `sync_s` after its start another one is lost
    for good: the two that are left agree and go on."""
    with cores(seed=80 + place) as made:
        names = made.chain()
        lost, second = names[place], names[(place + 1) % 3]
        if how == "wiped":
            made.wipe(name=lost)
            made.sleep(seconds=1)
            made.start(name=lost)
            back = lost
        else:
            made.kill(name=lost)
            made.sleep(seconds=1)
            back = "core-9"
            made.replace(name=lost, fresh=back, ip="10.1.0.9")
            made.operator.controls[made.operator.controls.index(f"{made.ip(name=lost)}:8166")] = "10.1.0.9:8166"
        made.sleep(seconds=4)
        made.wipe(name=second)
        assert (
            made.operator.put(text=text_of(version=2), base=1, control=made.place(name=back), limit=8 * SECOND) == 200
        )
        left = next(name for name in names if name not in (lost, second))
        assert sorted(made.chain()) == sorted([left, back])
        made.sound()
