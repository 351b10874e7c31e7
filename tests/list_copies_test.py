"""Copies of the list of engines: who asks, and what is taken from others."""

from datetime import timedelta
from typing import Any

import pytest

from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.directory import Directory, digest_of
from dockmux.platform_proxy.protocol_adapter import EngineEntry
from dockmux.runtime.time_units import ms
from tests.standins.manual_clock_host import ManualClockHost


def _row(*, name: str, leaving: bool = False) -> EngineEntry:
    return EngineEntry(
        engine=name, service="s", address=f"10.0.0.{name}:1", zone="hill", phase="decode", slots=4, leaving=leaving
    )


def _rows(*names: str, leaving: str = "") -> dict[str, EngineEntry]:
    return {name: _row(name=name, leaving=name == leaving) for name in names}


def _directory() -> Directory:
    return Directory(host=ManualClockHost(), deployment=Deployment(drain=timedelta(seconds=3)), protocol=None)


def _hear(*, directory: Directory, digest: str, age_ms: int, delta: dict[str, Any] | None, origin: str = "b:1") -> bool:
    asked_at = directory.host.elapsed() - ms(age_ms)
    return directory.hear(digest=digest, origin=origin, asked_at=asked_at, delta=delta)


def test_daemons_ask_in_their_order_and_all_in_time():
    directory = _directory()
    directory.take(rows=_rows("1"), asked_at=directory.host.elapsed(), origin="a:0")
    first_due = {}
    for _ in range(300):
        directory.host.advance_ms(10)
        for place in range(9):
            if directory.due(place=place):
                first_due.setdefault(place, directory.age)
    assert first_due[0] == timedelta(seconds=1)
    assert first_due[0] < first_due[1] < first_due[2]
    # Whatever became of those before, a copy is asked for well before the drain time is over.
    assert set(first_due) == set(range(9)) and max(first_due.values()) < ms(2500)


def test_one_that_knows_nothing_asks_at_once_and_one_that_failed_waits():
    directory = _directory()
    assert directory.due(place=8)
    directory.backoff_until = directory.host.elapsed() + ms(300)
    assert not directory.due(place=0)
    directory.host.advance_ms(300)
    assert directory.due(place=0)


def test_an_older_copy_never_replaces_a_newer_one():
    directory = _directory()
    now = directory.host.elapsed()
    directory.take(rows=_rows("1", "2", leaving="2"), asked_at=now, origin="a:1")
    directory.take(rows=_rows("1", "2"), asked_at=now - ms(1), origin="a:2")
    directory.take(rows=_rows("1", "2"), asked_at=now, origin="a:3")
    assert directory.rows["2"].leaving
    assert not _hear(directory=directory, digest="another", age_ms=5, delta=None)
    directory.take(rows=_rows("1"), asked_at=now + ms(1), origin="a:4")
    assert set(directory.rows) == {"1"}


def test_the_same_copy_heard_of_later_is_as_fresh_as_its_asking():
    directory = _directory()
    directory.take(rows=_rows("1"), asked_at=directory.host.elapsed(), origin="a:5")
    directory.host.advance_ms(900)
    assert not _hear(directory=directory, digest=directory.digest, age_ms=100, delta=None)
    assert directory.age == ms(100)
    assert not _hear(directory=directory, digest=directory.digest, age_ms=400, delta=None)
    assert directory.age == ms(100)


def test_the_same_asking_told_again_is_no_newer():
    directory = _directory()
    directory.take(rows=_rows("1"), asked_at=directory.host.elapsed(), origin="b:7")
    directory.host.advance_ms(900)
    assert not _hear(directory=directory, digest=directory.digest, age_ms=880, delta=None, origin="b:7")
    assert directory.age == ms(900)
    assert not _hear(directory=directory, digest=directory.digest, age_ms=880, delta=None, origin="c:1")
    assert directory.age == ms(880) and directory.origin == "c:1"


def test_a_change_is_taken_from_a_delta_and_otherwise_asked_for():
    here, there = _directory(), _directory()
    for directory in (here, there):
        directory.take(rows=_rows("1", "2"), asked_at=directory.host.elapsed(), origin="a:6")
        directory.host.advance_ms(1000)
    there.take(rows=_rows("2", "3", leaving="2"), asked_at=there.host.elapsed(), origin="a:7")
    assert there.delta["from"] == here.digest and there.delta["gone"] == ["1"]
    # Without the delta, and with one from another copy, the whole must be asked for.
    assert _hear(directory=here, digest=there.digest, age_ms=10, delta=None)
    assert _hear(directory=here, digest=there.digest, age_ms=10, delta=there.delta | {"from": "another"})
    assert set(here.rows) == {"1", "2"}
    # One that does not give what it says is not taken.
    assert _hear(directory=here, digest="another", age_ms=10, delta=there.delta)
    assert set(here.rows) == {"1", "2"}
    assert not _hear(directory=here, digest=there.digest, age_ms=10, delta=there.delta)
    assert here.rows == there.rows and here.digest == there.digest and here.age == ms(10)


def test_a_daemon_without_a_list_is_no_source():
    directory = _directory()
    assert not _hear(directory=directory, digest="", age_ms=0, delta=None)


@pytest.mark.parametrize("leaving", ("", "1", "2"))
def test_the_digest_tells_copies_apart_and_not_their_order(leaving):
    rows = _rows("1", "2", leaving=leaving)
    assert digest_of(rows=rows) == digest_of(rows=dict(reversed(rows.items())))
    assert (digest_of(rows=rows) == digest_of(rows=_rows("1", "2"))) == (leaving == "")
