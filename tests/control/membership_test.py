"""Membership changes: members that leave, rejoin, miss a view, or are lost right after a repair."""

from typing import Any

import pytest

from dockmux.control.view_agreement import ViewAgreement
from dockmux.runtime.messages import View
from tests.control.core_cluster import SECOND, CoreCluster, config_text, core_cluster


def _miss_next_view(*, cluster: CoreCluster, name: str) -> None:
    """This daemon does not adopt the next view, as if the announcement were lost; it learns the one after it."""
    agreement = cluster.daemons[name].agreement
    missed = agreement.view.number + 1
    learn = agreement.learn

    def learn_unless_missed(*, view: View | None) -> None:
        if view is None or view.number != missed:
            learn(view=view)

    agreement.learn = learn_unless_missed


def _lose_the_head_after_a_repair(*, cluster: CoreCluster) -> int:
    """The tail is removed and rejoins, and the second member misses the view in between. As soon as it learns the next
    view, the head is lost for good. Returns the status of the next change."""
    head, second, *_, tail = cluster.chain()
    number = cluster.daemons[head].agreement.view.number
    _miss_next_view(cluster=cluster, name=second)
    cluster.kill(name=tail)
    assert cluster.wait_until(condition=lambda: tail not in cluster.chain(), limit=6 * SECOND)
    cluster.start(name=tail)
    follower = cluster.daemons[second].agreement
    assert cluster.wait_until(condition=lambda: follower.view.number == number + 2, limit=6 * SECOND)
    cluster.kill(name=head)
    return cluster.operator.put(
        text=config_text(version=2), base=1, control=cluster.operator_index(name=second), limit=12 * SECOND
    )


@pytest.mark.parametrize("seed", range(41, 44))
def test_a_second_loss_right_after_a_repair_leaves_a_working_majority(seed: int):
    with core_cluster(seed=seed, count=5, survive=2) as cluster:
        assert _lose_the_head_after_a_repair(cluster=cluster) == 200
        cluster.assert_no_failures()


def test_without_the_join_history_the_second_loss_ends_service(monkeypatch: pytest.MonkeyPatch):
    def stays_level(self: ViewAgreement, *, view: View) -> bool:
        old = self.view
        known = old is not None and view.number == old.number + 1 and self.own_disk in old.chain
        return view.number == 1 or (self.store.caught_up and known)

    monkeypatch.setattr(ViewAgreement, "_stays_caught_up", stays_level)
    with core_cluster(seed=41, count=5, survive=2) as cluster:
        assert _lose_the_head_after_a_repair(cluster=cluster) == 0


def test_no_view_is_proposed_whose_head_lacks_entries():
    """Guards against a head that lacks acknowledged entries. In a plane of five, the chain is the head and a joiner
    that is not caught up yet, and the head is lost."""
    with core_cluster(seed=46, count=5, survive=2) as cluster:
        names = cluster.chain()
        disks = [cluster.daemons[name].store.disk for name in names]
        view = cluster.daemons[names[0]].agreement.view
        short = View(
            number=view.number + 1, chain=disks[:2], voters=view.voters, joined={disks[0]: 1, disks[1]: view.number + 1}
        )  # fmt: skip
        cluster.kill(name=names[0])
        for name in names[1:]:
            cluster.daemons[name].agreement.learn(view=short)
        cluster.sleep(seconds=8)
        # The only complete copy is on the lost member's disk: service stops until it is back.
        assert all(cluster.daemons[name].agreement.view.number == short.number for name in names[1:])
        cluster.start(name=names[0])
        assert cluster.operator.put(text=config_text(version=2), base=1, limit=20 * SECOND) == 200
        cluster.assert_no_failures()


# Planned stops.


def _drain(*, cluster: CoreCluster, name: str) -> int:
    """Asks a daemon to stop; returns how many things it still waits for."""
    return cluster.daemons[name].drain()


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_stopping_member_leaves_the_chain_by_a_new_view(place: int):
    with core_cluster(seed=50 + place) as cluster:
        leaving = cluster.chain()[place]
        began = cluster.world.now()
        assert cluster.wait_until(condition=lambda: _drain(cluster=cluster, name=leaving) == 0, limit=7 * SECOND)
        assert cluster.world.now() - began < 1.5 * SECOND
        assert leaving not in cluster.chain() and len(cluster.chain()) == 2
        cluster.kill(name=leaving)
        others = [name for name in cluster.names if name != leaving]
        began = cluster.world.now()
        assert (
            cluster.operator.put(text=config_text(version=2), base=1, control=cluster.operator_index(name=others[0]))
            == 200
        )
        assert cluster.world.now() - began < 3 * SECOND
        cluster.start(name=leaving)
        assert cluster.wait_until(condition=cluster.all_caught_up, limit=6 * SECOND)
        assert cluster.get(name=leaving) == (200, 2)
        cluster.assert_no_failures()


def test_a_stopping_member_stays_while_too_few_copies_would_remain():
    with core_cluster(seed=55) as cluster:
        head, middle, tail = cluster.chain()
        cluster.kill(name=tail)
        assert cluster.wait_until(condition=lambda: len(cluster.chain()) == 2, limit=6 * SECOND)
        for _ in range(40):
            assert _drain(cluster=cluster, name=middle) > 0
            cluster.sleep(seconds=0.1)
        assert cluster.put(version=2, base=1, control=cluster.operator_index(name=head)) == 200
        # Once another member has joined, it may stop.
        cluster.start(name=tail)
        assert cluster.wait_until(condition=lambda: _drain(cluster=cluster, name=middle) == 0, limit=8 * SECOND)
        assert middle not in cluster.chain() and len(cluster.chain()) == 2
        cluster.assert_no_failures()


def test_members_that_all_stop_do_not_wait():
    with core_cluster(seed=56) as cluster:
        names = cluster.chain()
        began = cluster.world.now()

        def all_may_stop() -> bool:
            return sum(_drain(cluster=cluster, name=name) for name in names) == 0

        assert cluster.wait_until(condition=all_may_stop, limit=7 * SECOND)
        assert cluster.world.now() - began < 2 * SECOND


def test_members_that_join_at_once_get_their_snapshots_concurrently():
    with core_cluster(seed=57, count=5, survive=2) as cluster:
        for version in range(2, 40):
            assert cluster.operator.put(text=config_text(version=version), base=version - 1) == 200
        wiped = cluster.chain()[3:]
        for name in wiped:
            cluster.wipe(name=name)
        for name in wiped:
            cluster.start(name=name)
        began = cluster.world.now()
        assert cluster.wait_until(condition=cluster.all_caught_up, limit=12 * SECOND)
        assert cluster.world.now() - began < 8 * SECOND
        cluster.assert_no_failures()


def _disk_identity(*, cluster: CoreCluster, name: str) -> Any:
    agreement = cluster.daemons[name].agreement
    return agreement.own_disk


def test_a_replaced_member_never_counts_under_two_identities():
    """Guards against counting votes or copies that were lost with a disk. A machine that lost its disk gets a new
    identity, and the previous one's votes, place and copy are not its own."""
    with core_cluster(seed=58) as cluster:
        head, middle, tail = cluster.chain()
        former = _disk_identity(cluster=cluster, name=tail)
        cluster.wipe(name=tail)
        cluster.start(name=tail)
        assert cluster.wait_until(condition=cluster.all_caught_up, limit=12 * SECOND)
        view = cluster.daemons[head].agreement.view
        present = _disk_identity(cluster=cluster, name=tail)
        assert former != present and former not in [*view.chain, *view.voters]
        assert sorted(view.voters) == sorted(view.chain) and len(view.voters) == 3
        cluster.assert_no_failures()


@pytest.mark.parametrize("how", ["wiped", "replaced"])
@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_second_loss_after_the_sync_time_leaves_a_majority(how: str, place: int):
    """A machine is lost for good, an empty one replaces it a second later, and `sync_s` after its start a second
    machine is lost for good. The remaining two must agree on a view and continue."""
    with core_cluster(seed=80 + place) as cluster:
        names = cluster.chain()
        lost, second = names[place], names[(place + 1) % 3]
        if how == "wiped":
            cluster.wipe(name=lost)
            cluster.sleep(seconds=1)
            cluster.start(name=lost)
            back = lost
        else:
            cluster.kill(name=lost)
            cluster.sleep(seconds=1)
            back = "core-9"
            cluster.replace(name=lost, fresh=back, ip="10.1.0.9")
            cluster.operator.addresses[cluster.operator.addresses.index(f"{cluster.ip(name=lost)}:8166")] = (
                "10.1.0.9:8166"
            )
        cluster.sleep(seconds=4)
        cluster.wipe(name=second)
        assert (
            cluster.operator.put(
                text=config_text(version=2), base=1, control=cluster.operator_index(name=back), limit=8 * SECOND
            )
            == 200
        )
        left = next(name for name in names if name not in (lost, second))
        assert sorted(cluster.chain()) == sorted([left, back])
        cluster.assert_no_failures()
