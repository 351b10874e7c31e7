"""Long runs of changes while members restart or return with an empty disk, and the size of their files."""

import random
from datetime import timedelta

import pytest

from dockmux.control import replica_store
from tests.control.core_cluster import SECOND, CoreCluster, config_text, core_cluster

# A member that returns must hold all acknowledged entries, and be in the chain, within this time.
CAUGHT_UP_WITHIN = 6 * SECOND


class _ChangeStream:
    """Puts changes one after the other; each is resent unchanged until it is accepted."""

    def __init__(self, *, cluster: CoreCluster) -> None:
        self.cluster = cluster
        self.version = 1
        self.refused: list[int] = []
        self.running = True

    def run(self) -> None:
        while self.running:
            text = config_text(version=self.version + 1, comment="x" * 20_000)
            status = self.cluster.operator.put(text=text, base=self.version, control=self.version, limit=20 * SECOND)
            if status == 200:
                self.version += 1
            else:
                self.refused.append(status)
            self.cluster.sleep(seconds=0.15)


def _time_until_all_caught_up(*, cluster: CoreCluster) -> timedelta:
    began = cluster.world.now()
    assert cluster.wait_until(condition=cluster.all_caught_up, limit=30 * SECOND)
    return cluster.world.now() - began


@pytest.mark.parametrize("seed", [71])
def test_members_that_return_during_a_stream_of_changes_catch_up(seed: int, monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(replica_store, "MIN_REWRITE_BYTES", 400_000)
    with core_cluster(seed=seed) as cluster:
        stream = _ChangeStream(cluster=cluster)
        cluster.outside.spawn(task=stream.run)
        rng = random.Random(seed)
        durations = []
        for how in ("restart", "wipe", "restart", "replace", "wipe", "restart") * 2:
            name = rng.choice(cluster.names)
            if how == "replace":
                fresh = f"core-{len(cluster.setting_lines)}"
                cluster.replace(
                    name=name,
                    fresh=fresh,
                    ip=f"10.{len(cluster.setting_lines) % 3 + 1}.0.{10 + len(cluster.setting_lines)}",
                )
                name = fresh
            else:
                cluster.kill(name=name) if how == "restart" else cluster.wipe(name=name)
                cluster.sleep(seconds=rng.uniform(0.2, 3))
                cluster.start(name=name)
            durations.append(_time_until_all_caught_up(cluster=cluster))
            cluster.sleep(seconds=4)
        cluster.sleep(seconds=2)
        stream.running = False
        cluster.sleep(seconds=3)
        assert stream.refused == [] and stream.version > 120
        for name in cluster.names:
            core = cluster.daemons[name]
            assert core.chain.state.versions.last_number == stream.version
            sizeBytes = len(core.host.machine.disk.files["chain"])
            assert sizeBytes < 2_500_000, sizeBytes
        assert max(durations) < CAUGHT_UP_WITHIN, durations
        cluster.assert_no_failures()


def test_a_join_survives_the_loss_of_the_snapshot_sender():
    """The tail is killed while a core that lost its disk fetches snapshot parts; the next tail starts over."""
    with core_cluster(seed=75, count=5, survive=2) as cluster:
        for version in range(2, 25):
            assert cluster.operator.put(text=config_text(version=version), base=version - 1) == 200
        wiped, tail = cluster.chain()[1], cluster.chain()[-1]
        cluster.wipe(name=wiped)
        cluster.start(name=wiped)
        transfers = cluster.daemons[tail].joining.transfers
        assert cluster.wait_until(condition=lambda: bool(cluster.daemons[tail].joining.transfers), limit=8 * SECOND), (
            transfers
        )
        cluster.kill(name=tail)
        assert _time_until_all_caught_up(cluster=cluster) < 8 * SECOND
        cluster.start(name=tail)
        assert _time_until_all_caught_up(cluster=cluster) < CAUGHT_UP_WITHIN
        assert cluster.get(name=wiped) == (200, 24)
        cluster.assert_no_failures()


def test_a_member_with_stale_state_never_becomes_head():
    """Guards against stale reads and lost changes after a rejoin. A member that missed many changes returns while the
    chain has two members: it must not become head or answer reads before it holds all of them."""
    with core_cluster(seed=76) as cluster:
        head, middle, tail = cluster.chain()
        cluster.kill(name=head)
        for version in range(2, 40):
            assert cluster.operator.put(text=config_text(version=version), base=version - 1, control=1) == 200
        cluster.start(name=head)
        while cluster.chain()[0] != middle or head not in cluster.chain():
            status, read = cluster.get(name=head)
            assert (status, read) == (200, 39) or status in (0, 503)
            cluster.sleep(seconds=0.02)
        cluster.kill(name=middle)
        assert cluster.operator.put(text=config_text(version=40), base=39, control=2, limit=12 * SECOND) == 200
        assert cluster.chain()[0] == tail
        cluster.assert_no_failures()
