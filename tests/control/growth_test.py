"""Hundreds of changes, members that restart or come back empty meanwhile, and what their disks hold."""

import random
from datetime import timedelta

import pytest

from dockmux.control import replica_store
from tests.control.cores import SECOND, Cores, cores, text_of

# A member that is back must hold all that is acknowledged, and be in the chain, within this time.
CAUGHT_UP_WITHIN = 6 * SECOND


class _Storm:
    """Changes one after the other, each sent again as it was until it is taken."""

    def __init__(self, *, made: Cores) -> None:
        self.made = made
        self.version = 1
        self.refused: list[int] = []
        self.running = True

    def run(self) -> None:
        while self.running:
            text = text_of(version=self.version + 1, comment="x" * 20_000)
            status = self.made.operator.put(text=text, base=self.version, control=self.version, limit=20 * SECOND)
            if status == 200:
                self.version += 1
            else:
                self.refused.append(status)
            self.made.sleep(seconds=0.15)


def _time_until_whole(*, made: Cores) -> timedelta:
    began = made.world.now()
    assert made.wait_until(what=made.whole, limit=30 * SECOND)
    return made.world.now() - began


@pytest.mark.parametrize("seed", [71])
def test_members_that_come_back_in_a_storm_of_changes_catch_up(seed: int, monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(replica_store, "MIN_REWRITE_BYTES", 400_000)
    with cores(seed=seed) as made:
        storm = _Storm(made=made)
        made.outside.spawn(task=storm.run)
        chance = random.Random(seed)
        spans = []
        for how in ("restart", "wipe", "restart", "replace", "wipe", "restart") * 2:
            name = chance.choice(made.names)
            if how == "replace":
                fresh = f"core-{len(made.lines)}"
                made.replace(name=name, fresh=fresh, ip=f"10.{len(made.lines) % 3 + 1}.0.{10 + len(made.lines)}")
                name = fresh
            else:
                made.kill(name=name) if how == "restart" else made.wipe(name=name)
                made.sleep(seconds=chance.uniform(0.2, 3))
                made.start(name=name)
            spans.append(_time_until_whole(made=made))
            made.sleep(seconds=4)
        made.sleep(seconds=2)
        storm.running = False
        made.sleep(seconds=3)
        assert storm.refused == [] and storm.version > 120
        for name in made.names:
            core = made.daemons[name]
            assert core.chain.state.versions.last_number == storm.version
            sizeBytes = len(core.host.machine.disk.files["chain"])
            assert sizeBytes < 2_500_000, sizeBytes
        assert max(spans) < CAUGHT_UP_WITHIN, spans
        made.sound()


def test_a_snapshot_in_hand_over_survives_the_loss_of_its_sender():
    """The tail goes while a core that lost its disk fetches its parts; the next tail begins anew."""
    with cores(seed=75, count=5, survive=2) as made:
        for version in range(2, 25):
            assert made.operator.put(text=text_of(version=version), base=version - 1) == 200
        wiped, tail = made.chain()[1], made.chain()[-1]
        made.wipe(name=wiped)
        made.start(name=wiped)
        handing = made.daemons[tail].joining.transfers
        assert made.wait_until(what=lambda: bool(made.daemons[tail].joining.transfers), limit=8 * SECOND), handing
        made.kill(name=tail)
        assert _time_until_whole(made=made) < 8 * SECOND
        made.start(name=tail)
        assert _time_until_whole(made=made) < CAUGHT_UP_WITHIN
        assert made.get(name=wiped) == (200, 24)
        made.sound()


def test_a_member_with_old_state_never_leads():
    """A member that was away for many changes comes back as the others go down to two: it is not head, and answers
    nothing, before it holds them all."""
    with cores(seed=76) as made:
        head, middle, tail = made.chain()
        made.kill(name=head)
        for version in range(2, 40):
            assert made.operator.put(text=text_of(version=version), base=version - 1, control=1) == 200
        made.start(name=head)
        while made.chain()[0] != middle or head not in made.chain():
            status, read = made.get(name=head)
            assert (status, read) == (200, 39) or status in (0, 503)
            made.sleep(seconds=0.02)
        made.kill(name=middle)
        assert made.operator.put(text=text_of(version=40), base=39, control=2, limit=12 * SECOND) == 200
        assert made.chain()[0] == tail
        made.sound()
