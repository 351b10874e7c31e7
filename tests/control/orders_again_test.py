"""Orders that are sent again after a lost answer, and refusals: what each rests on."""

from typing import Any

import pytest

from dockmux.control.chain_replica import ChainReplica
from dockmux.control.view_agreement import ViewAgreement
from dockmux.runtime.messages import View
from tests.control.cores import SECOND, Cores, cores, text_of


def _change_often(*, made: Cores, count: int) -> None:
    for version in range(2, count + 2):
        assert made.operator.put(text=text_of(version=version), base=version - 1, control=version) == 200


@pytest.mark.parametrize("restarted", [False, True])
def test_an_order_sent_again_is_never_refused_however_many_came_after_it(restarted: bool):
    with cores(seed=31) as made:
        _change_often(made=made, count=60)
        if restarted:
            for name in made.names:
                made.kill(name=name)
            for name in made.names:
                made.start(name=name)
            assert made.wait_until(what=made.whole, limit=12 * SECOND)
        for version in (2, 3, 30, 60):
            assert made.operator.put(text=text_of(version=version), base=version - 1, control=version) == 200
        # Another one under a number that was taken, and one that lost: refused, as ever.
        assert made.operator.put(text=text_of(version=30, caps={}), base=29) == 412
        assert made.operator.put(text=text_of(version=90), base=30) == 412
        assert made.get(name="core-1") == (200, 61)
        made.sound()


def _cut_tail_behind(*, made: Cores) -> tuple[str, str, str]:
    """From here on the tail gets nothing, so that nothing is acknowledged until a view leaves it out."""
    head, middle, tail = made.chain()
    made.cut(name=tail, others=[head, middle])
    return head, middle, tail


def test_no_refusal_rests_on_a_change_that_never_came_about():
    """A change reaches the head's disk alone and is lost with it; meanwhile another order on the same base comes."""
    with cores(seed=32) as made:
        head, middle, tail = made.chain()
        made.cut(name=head, others=[middle, tail])
        told: dict[str, int] = {}

        def put(*, name: str, version: int) -> None:
            told[name] = made.put(version=version, base=1, control=made.place(name=head))

        made.outside.spawn(task=put, name="lost", version=5)
        made.sleep(seconds=0.1)
        made.outside.spawn(task=put, name="other", version=2)
        # Long enough for the others to have a view without it: what it sent and they did not get is refused then.
        made.sleep(seconds=3)
        assert told["other"] not in (200, 400, 412), told
        made.wipe(name=head)
        made.heal()
        made.start(name=head)
        made.sleep(seconds=6)
        assert made.operator.put(text=text_of(version=2), base=1) == 200
        made.sound()


def test_refusals_and_resends_under_way_wait_for_what_they_rest_on():
    """Eight at once: one on each base wins, the same order at two doors is answered 200 at both, in time."""
    with cores(seed=33) as made:
        told: dict[tuple[int, int], tuple[int, Any]] = {}

        def put(*, version: int, control: int) -> None:
            began = made.world.now()
            status = made.put(version=version, base=1, control=control)
            told[version, control] = (status, made.world.now() - began)

        for version in (2, 3, 4, 5):
            for control in (0, 1):
                made.outside.spawn(task=put, version=version, control=control)
        made.sleep(seconds=2)
        statuses = {key: status for key, (status, _) in told.items()}
        winners = {version for (version, _), status in statuses.items() if status == 200}
        assert len(winners) == 1, statuses
        winner = winners.pop()
        assert statuses == {key: 200 if key[0] == winner else 412 for key in statuses}
        assert max(span for _, span in told.values()) < SECOND
        made.sound()


class _Told:
    """An order's answer, once it is there."""

    def __init__(self) -> None:
        self.status = 0


def _sent_again_before_the_others_hold_it(*, made: Cores, seconds: float) -> _Told:
    """The others were left out and came back as new members, which hold nothing yet, and cannot be reached. An order
    that had been taken is sent to the head again."""
    head, middle, tail = made.chain()
    assert made.put(version=2, base=1, control=made.place(name=head)) == 200
    agreement = made.daemons[head].agreement
    view = agreement.view
    made.cut(name=head, others=[middle, tail])
    joined = {disk: view.number + 2 for disk in view.chain[1:]}
    agreement.learn(view=View(number=view.number + 2, chain=view.chain, voters=view.voters, joined=joined))
    told = _Told()

    def put() -> None:
        fields = {"kind": "config", "tree": {"text": text_of(version=2).decode()}, "version": 2, "based_on": 1}
        outcome = made.daemons[head].chain.write(change=fields)
        told.status = outcome.http_mapping.status

    made.hosts[head].spawn(task=put)
    made.sleep(seconds=seconds)
    return told


def _pretend_leases(monkeypatch: pytest.MonkeyPatch) -> None:
    """The head's lease is not what is to keep it from answering here."""
    monkeypatch.setattr(ViewAgreement, "holds_lease", lambda self: True)


def test_an_order_sent_again_is_acknowledged_only_once_enough_members_hold_it(monkeypatch: pytest.MonkeyPatch):
    with cores(seed=34) as made:
        _pretend_leases(monkeypatch)
        assert _sent_again_before_the_others_hold_it(made=made, seconds=5).status == 504


def test_without_the_wait_it_would_be_acknowledged_with_one_copy(monkeypatch: pytest.MonkeyPatch):
    def answer_at_once(self: ChainReplica) -> None:
        done, self.waiting = self.waiting, []
        for write in done:
            write.done.send(write.verdict or self._accepted_outcome(write=write))

    monkeypatch.setattr(ChainReplica, "_answer_acknowledged", answer_at_once)
    with cores(seed=34) as made:
        _pretend_leases(monkeypatch)
        assert _sent_again_before_the_others_hold_it(made=made, seconds=5).status == 200
