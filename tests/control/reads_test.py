"""Reads show every change that was acknowledged before they began, or are refused."""

from typing import Any

import pytest

from dockmux.control.chain_replica import ChainReplica
from tests.control.cores import SECOND, Cores, cores, text_of


def _read_behind_a_cut(*, made: Cores) -> list[tuple[int, int]]:
    """Five, of which the last two end up apart from the first three while the old tail's lease still stands: that two
    of them agreed on is kept from the others. Another version is acknowledged by the three; then the reads of the two,
    as long as any of them answers: the versions and when the newer one was acknowledged."""
    first, second, third, fourth, tail = made.chain()
    near, far = [first, second, third], [fourth, tail]
    number = made.daemons[first].agreement.view.number
    # The first and third no longer hear the last two; the second still does, and grants the tail its lease.
    for name in far:
        made.cut(name=name, others=[first, third])

    def accepted() -> bool:
        kept = made.daemons[second].store.accepted
        return bool(kept) and kept["number"] == number + 1

    assert made.wait_until(what=accepted, limit=6 * SECOND)
    for name in far:
        made.cut(name=name, others=[second])
    reads: list[tuple[int, int]] = []
    base = 1
    for _ in range(60):
        if made.put(version=base + 1, base=base, control=made.place(name=first)) == 200:
            base += 1
            reads += [(base, made.get(name=name)[1]) for name in far]
        made.sleep(seconds=0.02)
    assert base > 2 and made.chain()[0] == first
    assert near == made.chain()[:3]
    return reads


@pytest.mark.parametrize("seed", [61, 62])
def test_a_cut_off_member_hands_out_no_older_configuration(seed: int):
    with cores(seed=seed, count=5, survive=2) as made:
        reads = _read_behind_a_cut(made=made)
        assert [row for row in reads if row[1] not in (0, row[0])] == []
        made.sound()


def test_with_knowledge_of_a_lease_ago_it_would(monkeypatch: pytest.MonkeyPatch):
    def confirm(self: ChainReplica) -> bool:
        return self.staleness() < self.agreement.lease_duration

    monkeypatch.setattr(ChainReplica, "confirm_read", confirm)
    with cores(seed=61, count=5, survive=2) as made:
        reads = _read_behind_a_cut(made=made)
        assert [row for row in reads if row[1] not in (0, row[0])] != []


def _cut_off_for_twenty_seconds(*, made: Cores, place: int, both: bool) -> dict[str, Any]:
    """One member apart from the other two for twenty seconds, while operators go on at all of them."""
    names = made.chain()
    apart = names[place]
    others = [name for name in names if name != apart]
    made.cut(name=apart, others=others, both=both)
    acknowledged, wrong = 1, []
    end = made.world.now() + 20 * SECOND
    while made.world.now() < end:
        # Sent again as it was until one of them says that it was taken: nobody else changes anything.
        told = [
            made.put(version=acknowledged + 1, base=acknowledged, control=made.place(name=name))
            for name in (others[0], apart)
        ]
        if 400 in told or 412 in told:
            wrong.append(("put", acknowledged + 1, told))
        if 200 in told:
            acknowledged += 1
        status, read = made.get(name=apart)
        if status == 200 and read < acknowledged:
            wrong.append(("get", acknowledged, status, read))
        made.sleep(seconds=0.2)
    made.heal()
    return {"acknowledged": acknowledged, "wrong": wrong}


def _first_answer(*, made: Cores, name: str) -> int:
    """The version in the first read that is not refused, which comes within a lease of the view's beginning."""
    reads: list[int] = []

    def answered() -> bool:
        status, read = made.get(name=name)
        reads.append(read)
        return status == 200

    assert made.wait_until(what=answered, limit=2 * SECOND)
    return reads[-1]


@pytest.mark.parametrize("both", [True, False])
@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_member_cut_off_for_twenty_seconds_answers_nothing_old_and_refuses_nothing(place: int, both: bool):
    with cores(seed=63 + place) as made:
        told = _cut_off_for_twenty_seconds(made=made, place=place, both=both)
        assert told["wrong"] == []
        assert told["acknowledged"] > 10
        assert made.wait_until(what=made.whole, limit=12 * SECOND)
        for name in made.names:
            read = _first_answer(made=made, name=name)
            assert read >= told["acknowledged"]
        made.sound()


def test_reads_at_every_member_right_after_each_acknowledgement():
    with cores(seed=67) as made:
        for version in range(2, 40):
            assert made.operator.put(text=text_of(version=version), base=version - 1, control=version) == 200
            assert [made.get(name=name) for name in made.names] == [(200, version)] * 3
        made.sound()
