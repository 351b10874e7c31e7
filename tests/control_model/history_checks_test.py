"""Each history check must report a history that violates exactly the invariant it covers."""

import dataclasses

import pytest

from dockmux.runtime.time_units import ms
from tests.control_model import history as checks
from tests.control_model.history import (
    AcknowledgedEntry,
    ActingMember,
    Change,
    Check,
    History,
    MemberLog,
    ObservedView,
    Put,
    Read,
)

FIRST = Change(version=1, base=0, text="first")
SECOND = Change(version=2, base=1, text="second")
CONFLICTING = Change(version=2, base=1, text="rival")
THIRD = Change(version=3, base=2, text="third")


def _put(change: Change, *, sent: int, ended: int, status: int = 200) -> Put:
    return Put(change=change, control=0, sent_at=ms(sent), ended_at=ms(ended), status=status)


def _read(change: Change, *, sent: int, ended: int) -> Read:
    return Read(control=1, sent_at=ms(sent), ended_at=ms(ended), status=200, change=change)


def _acknowledged_entry(change: Change, *, at: int, disk: str = "a") -> AcknowledgedEntry:
    return AcknowledgedEntry(at=ms(at), disk=disk, mark=change.version, change=change)


def _log(disk: str, *, chain_position: int, entries: tuple[Change, ...]) -> MemberLog:
    return MemberLog(at=ms(500), disk=disk, number=1, chain_position=chain_position, base_mark=0, entries=entries)


def _valid_history() -> History:
    """Two acknowledged changes, both resent; a conflicting one is refused and a third gets no decision; two reads."""
    return History(
        puts=[
            _put(FIRST, sent=0, ended=10),
            _put(SECOND, sent=20, ended=100),
            _put(CONFLICTING, sent=20, ended=90, status=412),
            _put(FIRST, sent=30, ended=35),
            _put(SECOND, sent=200, ended=210),
            _put(THIRD, sent=300, ended=310, status=503),
        ],
        reads=[_read(FIRST, sent=15, ended=18), _read(SECOND, sent=110, ended=120)],
        views={
            ObservedView(disk="a", number=1, chain=("a", "b"), voters=("a", "b")),
            ObservedView(disk="b", number=1, chain=("a", "b"), voters=("a", "b")),
        },
        acting_members=[
            ActingMember(at=ms(40), disk="a", role="head", number=1),
            ActingMember(at=ms(40), disk="b", role="tail", number=1),
            ActingMember(at=ms(60), disk="b", role="head", number=2),
        ],
        logs=[_log("a", chain_position=0, entries=(FIRST, SECOND)), _log("b", chain_position=1, entries=(FIRST,))],
        acknowledged_entries=[
            _acknowledged_entry(FIRST, at=9),
            _acknowledged_entry(SECOND, at=85),
            _acknowledged_entry(SECOND, at=95, disk="b"),
        ],
        final=[FIRST, SECOND],
        recovered=True,
    )


def _two_chains_in_one_view(history: History) -> None:
    history.views.add(ObservedView(disk="c", number=1, chain=("a", "c"), voters=("a", "b")))


def _two_voter_sets_in_one_view(history: History) -> None:
    history.views.add(ObservedView(disk="c", number=1, chain=("a", "b"), voters=("a", "c")))


def _two_heads(history: History) -> None:
    history.acting_members.append(ActingMember(at=ms(40), disk="b", role="head", number=2))


def _two_tails(history: History) -> None:
    history.acting_members.append(ActingMember(at=ms(40), disk="c", role="tail", number=2))


def _successor_with_longer_log(history: History) -> None:
    history.logs[1] = _log("b", chain_position=1, entries=(FIRST, SECOND, THIRD))


def _different_log_entries(history: History) -> None:
    history.logs[1] = _log("b", chain_position=1, entries=(FIRST, CONFLICTING))


def _different_changes_at_one_mark(history: History) -> None:
    history.acknowledged_entries.append(_acknowledged_entry(CONFLICTING, at=200, disk="c"))


def _no_recovery(history: History) -> None:
    history.recovered = False


def _lost_change(history: History) -> None:
    history.final = [FIRST]


def _lost_change_replaced(history: History) -> None:
    history.final = [FIRST, CONFLICTING]


def _all_changes_lost(history: History) -> None:
    history.final = []
    history.recovered = False


def _read_change_lost(history: History) -> None:
    history.reads.append(_read(THIRD, sent=400, ended=410))


def _two_changes_on_one_base(history: History) -> None:
    history.puts[2].status = 200


def _acknowledged_change_skips_predecessor(history: History) -> None:
    history.puts.append(_put(Change(version=3, base=1, text="aside"), sent=400, ended=410))
    history.puts[2].change = SECOND


def _gap_in_final_log(history: History) -> None:
    history.final = [FIRST, SECOND, Change(version=5, base=3, text="fifth")]


def _resend_outdated(history: History) -> None:
    history.puts[4].status = 412


def _resend_invalid(history: History) -> None:
    history.puts[4].status = 422


def _resend_after_newer_outdated(history: History) -> None:
    history.puts[3].status = 412


def _outdated_without_newer_change(history: History) -> None:
    history.puts.append(_put(THIRD, sent=400, ended=410, status=412))


def _outdated_before_newer_acknowledged(history: History) -> None:
    history.puts[2].ended_at = ms(25)


def _read_older_than_put(history: History) -> None:
    history.reads.append(_read(FIRST, sent=400, ended=410))
    history.reads = history.reads[2:]


def _read_older_than_earlier_read(history: History) -> None:
    history.puts[1].ended_at = ms(400)
    history.puts[4].ended_at = ms(400)
    history.reads.append(_read(FIRST, sent=130, ended=140))


def _failed_task(history: History) -> None:
    history.failures.append("run_head: ValueError")


VIOLATION_CASES = (
    (checks.one_view_per_number, _two_chains_in_one_view),
    (checks.one_view_per_number, _two_voter_sets_in_one_view),
    (checks.one_acting_at_a_time, _two_heads),
    (checks.one_acting_at_a_time, _two_tails),
    (checks.logs_are_prefixes, _successor_with_longer_log),
    (checks.logs_are_prefixes, _different_log_entries),
    (checks.one_change_per_mark, _different_changes_at_one_mark),
    (checks.recovered, _no_recovery),
    (checks.acknowledged_survive, _lost_change),
    (checks.acknowledged_survive, _lost_change_replaced),
    (checks.acknowledged_survive, _read_change_lost),
    (checks.acknowledged_survive, _all_changes_lost),
    (checks.acknowledged_build_on_each_other, _two_changes_on_one_base),
    (checks.acknowledged_build_on_each_other, _acknowledged_change_skips_predecessor),
    (checks.acknowledged_build_on_each_other, _gap_in_final_log),
    (checks.not_refused_when_sent_again, _resend_outdated),
    (checks.not_refused_when_sent_again, _resend_invalid),
    (checks.not_refused_when_sent_again_after_newer, _resend_after_newer_outdated),
    (checks.refusals_are_right, _outdated_without_newer_change),
    (checks.refusals_are_right, _outdated_before_newer_acknowledged),
    (checks.reads_follow_puts, _read_older_than_put),
    (checks.reads_do_not_go_back, _read_older_than_earlier_read),
    (checks.nothing_failed, _failed_task),
)


def test_valid_history_passes_all_checks() -> None:
    assert checks.find_violations(history=_valid_history()) == []


@pytest.mark.parametrize(
    ("check", "inject_violation"), VIOLATION_CASES, ids=[f"{c.__name__}-{p.__name__}" for c, p in VIOLATION_CASES]
)
def test_check_detects_injected_violation(check: Check, inject_violation) -> None:
    history = _valid_history()
    inject_violation(history)
    assert check(history)


def test_every_check_has_a_violation_case() -> None:
    assert {check for check, _ in VIOLATION_CASES} == set(checks.CHECKS)


def test_outdated_refusal_is_allowed_while_base_is_unacknowledged() -> None:
    """The put was sent before its base was acknowledged, so the base may not have been current yet."""
    history = _valid_history()
    history.puts.append(dataclasses.replace(history.puts[2], change=THIRD, sent_at=ms(30), ended_at=ms(40)))
    assert checks.refusals_are_right(history) == []
