"""Linearizable reads: a read returns every change that was acknowledged before it began, or is refused."""

from typing import Any

import pytest

from dockmux.control.chain_replica import ChainReplica
from tests.control.core_cluster import SECOND, CoreCluster, config_text, core_cluster


def _read_across_a_partition(*, cluster: CoreCluster) -> list[tuple[int, int]]:
    """Partitions the last two of five members from the first three while the old tail still holds its lease, and keeps
    them from learning the new view. The three then acknowledge further versions. Returns, for each read at the two,
    the version that was acknowledged before it and the version that it returned (0 if refused)."""
    first, second, third, fourth, tail = cluster.chain()
    near, far = [first, second, third], [fourth, tail]
    number = cluster.daemons[first].agreement.view.number
    # The first and third no longer hear from the last two; the second still does, and grants the tail its lease.
    for name in far:
        cluster.partition(name=name, others=[first, third])

    def accepted() -> bool:
        kept = cluster.daemons[second].store.accepted
        return bool(kept) and kept["number"] == number + 1

    assert cluster.wait_until(condition=accepted, limit=6 * SECOND)
    for name in far:
        cluster.partition(name=name, others=[second])
    reads: list[tuple[int, int]] = []
    base = 1
    for _ in range(60):
        if cluster.put(version=base + 1, base=base, control=cluster.operator_index(name=first)) == 200:
            base += 1
            reads += [(base, cluster.get(name=name)[1]) for name in far]
        cluster.sleep(seconds=0.02)
    assert base > 2 and cluster.chain()[0] == first
    assert near == cluster.chain()[:3]
    return reads


@pytest.mark.parametrize("seed", [61, 62])
def test_a_partitioned_member_returns_no_stale_configuration(seed: int):
    with core_cluster(seed=seed, count=5, survive=2) as cluster:
        reads = _read_across_a_partition(cluster=cluster)
        assert [row for row in reads if row[1] not in (0, row[0])] == []
        cluster.assert_no_failures()


def test_without_read_confirmation_it_returns_a_stale_configuration(monkeypatch: pytest.MonkeyPatch):
    def confirm(self: ChainReplica) -> bool:
        return self.staleness() < self.agreement.lease_duration

    monkeypatch.setattr(ChainReplica, "confirm_read", confirm)
    with core_cluster(seed=61, count=5, survive=2) as cluster:
        reads = _read_across_a_partition(cluster=cluster)
        assert [row for row in reads if row[1] not in (0, row[0])] != []


def _partition_for_twenty_seconds(*, cluster: CoreCluster, place: int, both: bool) -> dict[str, Any]:
    """Isolates one member from the other two for twenty seconds while operators put and get at all of them. Returns the
    last acknowledged version, and every answer that was wrong: a refused resend or a stale read."""
    names = cluster.chain()
    isolated = names[place]
    others = [name for name in names if name != isolated]
    cluster.partition(name=isolated, others=others, both=both)
    acknowledged, wrong = 1, []
    end = cluster.world.now() + 20 * SECOND
    while cluster.world.now() < end:
        # Resent unchanged until one member accepts it; there is no other writer.
        statuses = [
            cluster.put(version=acknowledged + 1, base=acknowledged, control=cluster.operator_index(name=name))
            for name in (others[0], isolated)
        ]
        if 400 in statuses or 412 in statuses:
            wrong.append(("put", acknowledged + 1, statuses))
        if 200 in statuses:
            acknowledged += 1
        status, read = cluster.get(name=isolated)
        if status == 200 and read < acknowledged:
            wrong.append(("get", acknowledged, status, read))
        cluster.sleep(seconds=0.2)
    cluster.heal()
    return {"acknowledged": acknowledged, "wrong": wrong}


def _first_successful_read(*, cluster: CoreCluster, name: str) -> int:
    """The version in the first read that is not refused; it must come within a lease after the view began."""
    reads: list[int] = []

    def answered() -> bool:
        status, read = cluster.get(name=name)
        reads.append(read)
        return status == 200

    assert cluster.wait_until(condition=answered, limit=2 * SECOND)
    return reads[-1]


@pytest.mark.parametrize("both", [True, False])
@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_member_partitioned_for_twenty_seconds_returns_nothing_stale(place: int, both: bool):
    with core_cluster(seed=63 + place) as cluster:
        result = _partition_for_twenty_seconds(cluster=cluster, place=place, both=both)
        assert result["wrong"] == []
        assert result["acknowledged"] > 10
        assert cluster.wait_until(condition=cluster.all_caught_up, limit=12 * SECOND)
        for name in cluster.names:
            read = _first_successful_read(cluster=cluster, name=name)
            assert read >= result["acknowledged"]
        cluster.assert_no_failures()


def test_every_member_reads_each_version_right_after_its_acknowledgement():
    with core_cluster(seed=67) as cluster:
        for version in range(2, 40):
            assert cluster.operator.put(text=config_text(version=version), base=version - 1, control=version) == 200
            assert [cluster.get(name=name) for name in cluster.names] == [(200, version)] * 3
        cluster.assert_no_failures()
