"""Configurations that are resent after a lost answer, and refusals: the entries that each answer depends on."""

from typing import Any

import pytest

from dockmux.control.chain_replica import ChainReplica
from dockmux.control.view_agreement import ViewAgreement
from dockmux.runtime.messages import View
from tests.control.core_cluster import SECOND, CoreCluster, config_text, core_cluster


def _put_versions(*, cluster: CoreCluster, count: int) -> None:
    for version in range(2, count + 2):
        assert cluster.operator.put(text=config_text(version=version), base=version - 1, control=version) == 200


@pytest.mark.parametrize("restarted", [False, True])
def test_a_resent_config_is_accepted_however_many_followed_it(restarted: bool):
    with core_cluster(seed=31) as cluster:
        _put_versions(cluster=cluster, count=60)
        if restarted:
            for name in cluster.names:
                cluster.kill(name=name)
            for name in cluster.names:
                cluster.start(name=name)
            assert cluster.wait_until(condition=cluster.all_caught_up, limit=12 * SECOND)
        for version in (2, 3, 30, 60):
            assert cluster.operator.put(text=config_text(version=version), base=version - 1, control=version) == 200
        # Another configuration under an accepted number, and one with an outdated base, are refused.
        assert cluster.operator.put(text=config_text(version=30, caps={}), base=29) == 412
        assert cluster.operator.put(text=config_text(version=90), base=30) == 412
        assert cluster.get(name="core-1") == (200, 61)
        cluster.assert_no_failures()


def _partition_tail(*, cluster: CoreCluster) -> tuple[str, str, str]:
    """Partitions the tail, so that nothing is acknowledged until a view removes it."""
    head, middle, tail = cluster.chain()
    cluster.partition(name=tail, others=[head, middle])
    return head, middle, tail


def test_no_refusal_depends_on_a_change_that_was_lost():
    """A change reaches only the head's disk and is lost with it; meanwhile another change on the same base arrives."""
    with core_cluster(seed=32) as cluster:
        head, middle, tail = cluster.chain()
        cluster.partition(name=head, others=[middle, tail])
        answers: dict[str, int] = {}

        def put(*, name: str, version: int) -> None:
            answers[name] = cluster.put(version=version, base=1, control=cluster.operator_index(name=head))

        cluster.outside.spawn(task=put, name="lost", version=5)
        cluster.sleep(seconds=0.1)
        cluster.outside.spawn(task=put, name="other", version=2)
        # Long enough for the others to agree on a view without the head, so that the entries that it sent are refused.
        cluster.sleep(seconds=3)
        assert answers["other"] not in (200, 400, 412), answers
        cluster.wipe(name=head)
        cluster.heal()
        cluster.start(name=head)
        cluster.sleep(seconds=6)
        assert cluster.operator.put(text=config_text(version=2), base=1) == 200
        cluster.assert_no_failures()


def test_concurrent_refusals_and_resends_wait_for_the_change_they_depend_on():
    """Four versions on the same base, each sent to two members at once: one version wins and is answered 200 by both
    members, the others 412, all within a second."""
    with core_cluster(seed=33) as cluster:
        answers: dict[tuple[int, int], tuple[int, Any]] = {}

        def put(*, version: int, control: int) -> None:
            began = cluster.world.now()
            status = cluster.put(version=version, base=1, control=control)
            answers[version, control] = (status, cluster.world.now() - began)

        for version in (2, 3, 4, 5):
            for control in (0, 1):
                cluster.outside.spawn(task=put, version=version, control=control)
        cluster.sleep(seconds=2)
        statuses = {key: status for key, (status, _) in answers.items()}
        winners = {version for (version, _), status in statuses.items() if status == 200}
        assert len(winners) == 1, statuses
        winner = winners.pop()
        assert statuses == {key: 200 if key[0] == winner else 412 for key in statuses}
        assert max(span for _, span in answers.values()) < SECOND
        cluster.assert_no_failures()


class _WriteStatus:
    """The HTTP status of a write; 0 until it is answered."""

    def __init__(self) -> None:
        self.status = 0


def _resend_while_only_the_head_holds_it(*, cluster: CoreCluster, seconds: float) -> _WriteStatus:
    """The other members were removed and rejoined, hold no entries yet, and cannot be reached. A configuration that the
    head already accepted is sent to it again. Returns the status of the resend."""
    head, middle, tail = cluster.chain()
    assert cluster.put(version=2, base=1, control=cluster.operator_index(name=head)) == 200
    agreement = cluster.daemons[head].agreement
    view = agreement.view
    cluster.partition(name=head, others=[middle, tail])
    joined = {disk: view.number + 2 for disk in view.chain[1:]}
    agreement.learn(view=View(number=view.number + 2, chain=view.chain, voters=view.voters, joined=joined))
    result = _WriteStatus()

    def put() -> None:
        fields = {"kind": "config", "tree": {"text": config_text(version=2).decode()}, "version": 2, "based_on": 1}
        outcome = cluster.daemons[head].chain.write(change=fields)
        result.status = outcome.http_mapping.status

    cluster.hosts[head].spawn(task=put)
    cluster.sleep(seconds=seconds)
    return result


def _assume_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the head believe that it holds a lease, so that only the missing copies can keep it from answering."""
    monkeypatch.setattr(ViewAgreement, "holds_lease", lambda self: True)


def test_a_resent_config_is_acknowledged_only_once_enough_members_hold_it(monkeypatch: pytest.MonkeyPatch):
    with core_cluster(seed=34) as cluster:
        _assume_lease(monkeypatch)
        assert _resend_while_only_the_head_holds_it(cluster=cluster, seconds=5).status == 504


def test_without_the_wait_a_resend_is_acknowledged_with_one_copy(monkeypatch: pytest.MonkeyPatch):
    def answer_immediately(self: ChainReplica) -> None:
        done, self.waiting = self.waiting, []
        for write in done:
            write.done.send(write.verdict or self._accepted_outcome(write=write))

    monkeypatch.setattr(ChainReplica, "_answer_acknowledged", answer_immediately)
    with core_cluster(seed=34) as cluster:
        _assume_lease(monkeypatch)
        assert _resend_while_only_the_head_holds_it(cluster=cluster, seconds=5).status == 200
