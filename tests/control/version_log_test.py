"""The log of accepted versions: look-ups across blocks, dropped blocks, and snapshots of it."""

from datetime import timedelta

import pytest

from dockmux.control import version_log
from dockmux.control.state import State
from dockmux.control.version_log import AcceptedVersion, VersionLog, digest_of


def _digest(*, number: int) -> bytes:
    return number.to_bytes(version_log.DIGEST_BYTES, "big")


def _filled(*, numbers: range) -> VersionLog:
    log = VersionLog()
    for number in numbers:
        log = log.append(number=number, digest=_digest(number=number))
    return log


@pytest.fixture
def small_blocks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(version_log, "BLOCK_RECORDS", 4)
    monkeypatch.setattr(version_log, "MAX_RECORDS", 12)


def test_every_version_is_found_by_its_number_and_by_what_it_builds_on(small_blocks: None):
    log = _filled(numbers=range(3, 30, 3))
    assert len(log) == 9 and log.last_number == 27
    for number in range(3, 30, 3):
        assert log.lookup(number=number) == AcceptedVersion(number=number, digest=_digest(number=number))
        assert log.lookup(number=number + 1) is None
        following = log.successor_of(number=number)
        assert (following.number if following else None) == (number + 3 if number < 27 else None)
    assert log.successor_of(number=0).number == 3
    assert log.successor_of(number=4) is None


def test_the_oldest_block_is_dropped_and_marked_as_forgotten(small_blocks: None):
    log = _filled(numbers=range(1, 21))
    assert log.forgotten_upto == 8 and len(log) == 12
    assert log.lookup(number=8) is None and log.lookup(number=9).number == 9
    assert log.successor_of(number=8).number == 9 and log.successor_of(number=7) is None


def test_appending_does_not_change_the_original_log(small_blocks: None):
    log = _filled(numbers=range(1, 6))
    longer = log.append(number=6, digest=_digest(number=6))
    other = log.append(number=7, digest=_digest(number=7))
    assert (len(log), len(longer), len(other)) == (5, 6, 6)
    assert longer.lookup(number=7) is None and other.lookup(number=6) is None


def test_a_number_that_does_not_increase_forgets_all_earlier_versions():
    log = _filled(numbers=range(1, 6)).append(number=5, digest=_digest(number=9))
    assert len(log) == 0 and log.forgotten_upto == 5
    assert log.append(number=6, digest=_digest(number=6)).lookup(number=6) is not None


def test_rows_restore_the_same_log(small_blocks: None):
    for count in (0, 3, 4, 5, 11, 20):
        log = _filled(numbers=range(1, count + 1))
        copy = VersionLog(forgotten_upto=log.forgotten_upto)
        for index in range(log.rows()):
            copy = copy.with_row(row=log.row(index=index))
        assert copy == log


def test_a_snapshot_without_versions_fills_the_log_from_its_configs():
    configs = [
        {"mark": number, "tree": {"n": number}, "activateUs": number, "version": number} for number in range(11, 31)
    ]
    head = {
        "mark": 30, "part": 0, "parts": 1, "news_mark": 30, "configs": configs, "engines": [], "engines_mark": 0,
        "moving": {}, "claims": [],
    }  # fmt: skip
    state = State(claim_retention=timedelta(hours=1))
    state.restore(fields=head)
    assert state.versions.lookup(number=11).digest == digest_of(tree={"n": 11})
    assert state.versions.forgotten_upto == 10 and state.versions.last_number == 30
