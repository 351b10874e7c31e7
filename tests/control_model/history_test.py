"""Each check of a history is shown failing, on a history that breaks just what it looks at."""

import dataclasses

import pytest

from dockmux.runtime.time_units import ms
from tests.control_model import history as checks
from tests.control_model.history import Acting, Change, Check, History, Learned, MemberLog, Put, Read, SeenView

FIRST = Change(version=1, base=0, text="first")
SECOND = Change(version=2, base=1, text="second")
RIVAL = Change(version=2, base=1, text="rival")
THIRD = Change(version=3, base=2, text="third")


def _put(change: Change, *, sent: int, ended: int, status: int = 200) -> Put:
    return Put(change=change, control=0, sent_at=ms(sent), ended_at=ms(ended), status=status)


def _read(change: Change, *, sent: int, ended: int) -> Read:
    return Read(control=1, sent_at=ms(sent), ended_at=ms(ended), status=200, change=change)


def _learned(change: Change, *, at: int, disk: str = "a") -> Learned:
    return Learned(at=ms(at), disk=disk, mark=change.version, change=change)


def _log(disk: str, *, place: int, entries: tuple[Change, ...]) -> MemberLog:
    return MemberLog(at=ms(500), disk=disk, number=1, place=place, base_mark=0, entries=entries)


def _good() -> History:
    """Two changes, the first of them sent again; rivals and a late one are refused; reads between."""
    return History(
        puts=[
            _put(FIRST, sent=0, ended=10),
            _put(SECOND, sent=20, ended=100),
            _put(RIVAL, sent=20, ended=90, status=412),
            _put(FIRST, sent=30, ended=35),
            _put(SECOND, sent=200, ended=210),
            _put(THIRD, sent=300, ended=310, status=503),
        ],
        reads=[_read(FIRST, sent=15, ended=18), _read(SECOND, sent=110, ended=120)],
        views={
            SeenView(disk="a", number=1, chain=("a", "b"), voters=("a", "b")),
            SeenView(disk="b", number=1, chain=("a", "b"), voters=("a", "b")),
        },
        acting=[
            Acting(at=ms(40), disk="a", role="head", number=1),
            Acting(at=ms(40), disk="b", role="tail", number=1),
            Acting(at=ms(60), disk="b", role="head", number=2),
        ],
        logs=[_log("a", place=0, entries=(FIRST, SECOND)), _log("b", place=1, entries=(FIRST,))],
        learned=[_learned(FIRST, at=9), _learned(SECOND, at=85), _learned(SECOND, at=95, disk="b")],
        final=[FIRST, SECOND],
        recovered=True,
    )


def _two_views(history: History) -> None:
    history.views.add(SeenView(disk="c", number=1, chain=("a", "c"), voters=("a", "b")))


def _two_voter_sets(history: History) -> None:
    history.views.add(SeenView(disk="c", number=1, chain=("a", "b"), voters=("a", "c")))


def _two_heads(history: History) -> None:
    history.acting.append(Acting(at=ms(40), disk="b", role="head", number=2))


def _two_tails(history: History) -> None:
    history.acting.append(Acting(at=ms(40), disk="c", role="tail", number=2))


def _a_longer_successor(history: History) -> None:
    history.logs[1] = _log("b", place=1, entries=(FIRST, SECOND, THIRD))


def _another_entry(history: History) -> None:
    history.logs[1] = _log("b", place=1, entries=(FIRST, RIVAL))


def _another_change_at_a_mark(history: History) -> None:
    history.learned.append(_learned(RIVAL, at=200, disk="c"))


def _no_recovery(history: History) -> None:
    history.recovered = False


def _lost(history: History) -> None:
    history.final = [FIRST]


def _lost_and_replaced(history: History) -> None:
    history.final = [FIRST, RIVAL]


def _all_lost(history: History) -> None:
    history.final = []
    history.recovered = False


def _shown_and_lost(history: History) -> None:
    history.reads.append(_read(THIRD, sent=400, ended=410))


def _two_winners(history: History) -> None:
    history.puts[2].status = 200


def _no_path(history: History) -> None:
    history.puts.append(_put(Change(version=3, base=1, text="aside"), sent=400, ended=410))
    history.puts[2].change = SECOND


def _a_gap_in_the_log(history: History) -> None:
    history.final = [FIRST, SECOND, Change(version=5, base=3, text="fifth")]


def _refused_again(history: History) -> None:
    history.puts[4].status = 412


def _judged_invalid_again(history: History) -> None:
    history.puts[4].status = 422


def _refused_after_newer(history: History) -> None:
    history.puts[3].status = 412


def _refused_for_nothing(history: History) -> None:
    history.puts.append(_put(THIRD, sent=400, ended=410, status=412))


def _refused_for_what_came_later(history: History) -> None:
    history.puts[2].ended_at = ms(25)


def _an_old_read(history: History) -> None:
    history.reads.append(_read(FIRST, sent=400, ended=410))
    history.reads = history.reads[2:]


def _a_read_that_goes_back(history: History) -> None:
    history.puts[1].ended_at = ms(400)
    history.puts[4].ended_at = ms(400)
    history.reads.append(_read(FIRST, sent=130, ended=140))


def _a_failed_task(history: History) -> None:
    history.failures.append("run_head: ValueError")


PLANTED = (
    (checks.one_view_per_number, _two_views),
    (checks.one_view_per_number, _two_voter_sets),
    (checks.one_acting_at_a_time, _two_heads),
    (checks.one_acting_at_a_time, _two_tails),
    (checks.logs_are_prefixes, _a_longer_successor),
    (checks.logs_are_prefixes, _another_entry),
    (checks.one_change_per_mark, _another_change_at_a_mark),
    (checks.recovered, _no_recovery),
    (checks.acknowledged_survive, _lost),
    (checks.acknowledged_survive, _lost_and_replaced),
    (checks.acknowledged_survive, _shown_and_lost),
    (checks.acknowledged_survive, _all_lost),
    (checks.acknowledged_build_on_each_other, _two_winners),
    (checks.acknowledged_build_on_each_other, _no_path),
    (checks.acknowledged_build_on_each_other, _a_gap_in_the_log),
    (checks.not_refused_when_sent_again, _refused_again),
    (checks.not_refused_when_sent_again, _judged_invalid_again),
    (checks.not_refused_when_sent_again_after_newer, _refused_after_newer),
    (checks.refusals_are_right, _refused_for_nothing),
    (checks.refusals_are_right, _refused_for_what_came_later),
    (checks.reads_follow_puts, _an_old_read),
    (checks.reads_do_not_go_back, _a_read_that_goes_back),
    (checks.nothing_failed, _a_failed_task),
)


def test_a_good_history_breaks_nothing() -> None:
    assert checks.breaches(history=_good()) == []


@pytest.mark.parametrize(("check", "plant"), PLANTED, ids=[f"{c.__name__}-{p.__name__}" for c, p in PLANTED])
def test_a_check_finds_what_it_looks_for(check: Check, plant) -> None:
    history = _good()
    plant(history)
    assert check(history)


def test_every_check_is_shown_failing() -> None:
    assert {check for check, _ in PLANTED} == set(checks.CHECKS)


def test_a_refusal_while_an_answer_is_outstanding_may_be_right() -> None:
    """Its base was acknowledged only after it was sent."""
    history = _good()
    history.puts.append(dataclasses.replace(history.puts[2], change=THIRD, sent_at=ms(30), ended_at=ms(40)))
    assert checks.refusals_are_right(history) == []
