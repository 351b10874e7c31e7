"""File calls that hang: the member ends itself and is restarted, and no acknowledged change is lost."""

from datetime import timedelta

import pytest

from dockmux.runtime import file_calls
from dockmux.runtime.time_units import ms
from tests.control.core_cluster import SECOND, CoreCluster, core_cluster

RESTART_DELAY = ms(300)
PUT_DURATION = 40 * SECOND


def restart_ended_daemons(*, cluster: CoreCluster) -> None:
    """Acts as the platform: restarts a process shortly after it ended."""
    while True:
        for name in cluster.names:
            if not cluster.hosts[name].alive:
                cluster.outside.sleep(wait=RESTART_DELAY)
                cluster.start(name=name)
        cluster.outside.sleep(wait=ms(50))


def put_while_disks_hang(*, cluster: CoreCluster, hung: int, interval: timedelta) -> list[tuple[timedelta, int]]:
    """Puts changes one after the other while the file calls of some members hang. Returns, for each accepted change,
    the time since the start and its version."""
    cluster.outside.spawn(task=restart_ended_daemons, cluster=cluster)

    def hang_disks() -> None:
        for name in cluster.chain()[:hung]:
            cluster.hosts[name].folder.hangs = True
            cluster.outside.sleep(wait=interval)

    cluster.outside.spawn(task=hang_disks)
    began, accepted, version = cluster.world.now(), [], 1
    while cluster.world.now() - began < PUT_DURATION:
        if cluster.put(version=version + 1, base=version, control=version % 3) == 200:
            version += 1
            accepted.append((cluster.world.now() - began, version))
        cluster.sleep(seconds=0.25)
    return accepted


def versions_read(*, cluster: CoreCluster) -> set[int]:
    """The versions read at the members, once all are in the chain."""
    assert cluster.wait_until(condition=cluster.all_caught_up, limit=20 * SECOND)
    return {cluster.get(name=name)[1] for name in cluster.names}


@pytest.mark.parametrize(("hung", "interval"), [(1, SECOND), (2, timedelta()), (2, SECOND), (2, 5 * SECOND)])
def test_a_member_whose_file_calls_hang_is_restarted(hung, interval):
    """Guards against members that keep running but can neither store nor vote (CONFIG, Acks)."""
    with core_cluster(seed=81 + hung) as cluster:
        accepted = put_while_disks_hang(cluster=cluster, hung=hung, interval=interval)
        pauses = [later - earlier for (earlier, _), (later, _) in zip(accepted, accepted[1:], strict=False)]
        assert accepted and accepted[-1][0] > PUT_DURATION - 2 * SECOND, "changes are accepted again"
        # One member may be lost at any time; with two lost, changes stop until they are back.
        longest = 4 * SECOND if hung == 1 else file_calls.FILE_CALL_LIMIT + interval + 6 * SECOND
        assert max(pauses) < longest, max(pauses)
        assert versions_read(cluster=cluster) == {accepted[-1][1]}


def test_without_a_file_call_timeout_no_change_is_accepted(monkeypatch):
    monkeypatch.setattr(file_calls, "FILE_CALL_LIMIT", timedelta(hours=1))
    with core_cluster(seed=83) as cluster:
        accepted = put_while_disks_hang(cluster=cluster, hung=2, interval=timedelta())
        assert not accepted or accepted[-1][0] < 5 * SECOND


def test_no_file_call_starts_after_one_that_hung():
    """Guards against a hung write that completes late and overwrites a newer one."""
    with core_cluster(seed=84) as cluster:
        name = cluster.chain()[0]
        host = cluster.hosts[name]
        host.folder.hangs = True
        with pytest.raises(file_calls.DiskUnresponsive):
            host.folder.append(name="x", data=b"1", offset=0)
        host.folder.hangs = False
        with pytest.raises(file_calls.DiskUnresponsive):
            host.folder.append(name="x", data=b"2", offset=0)
        assert host.disk_unresponsive
