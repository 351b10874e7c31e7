"""Copies of the engine list: which daemon fetches it, and what is taken over from others."""

from datetime import timedelta
from typing import Any

import pytest

from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.directory import Directory, digest_of
from dockmux.platform_proxy.protocol_adapter import EngineEntry
from dockmux.runtime.time_units import ms
from tests.standins.still import StillHost


def _row(*, name: str, leaving: bool = False) -> EngineEntry:
    return EngineEntry(
        engine=name, service="s", address=f"10.0.0.{name}:1", zone="hill", phase="decode", slots=4, leaving=leaving
    )


def _rows(*names: str, leaving: str = "") -> dict[str, EngineEntry]:
    return {name: _row(name=name, leaving=name == leaving) for name in names}


def _directory() -> Directory:
    return Directory(host=StillHost(), deployment=Deployment(drain=timedelta(seconds=3)), protocol=None)


def _merge_peer(
    *, directory: Directory, digest: str, age_ms: int, delta: dict[str, Any] | None, origin: str = "b:1"
) -> bool:
    requested_at = directory.host.elapsed() - ms(age_ms)
    return directory.merge_peer(digest=digest, origin=origin, requested_at=requested_at, delta=delta)


def test_daemons_refresh_in_order_of_rank_and_all_in_time():
    directory = _directory()
    directory.replace(rows=_rows("1"), requested_at=directory.host.elapsed(), origin="a:0")
    first_due = {}
    for _ in range(300):
        directory.host.pass_ms(10)
        for rank in range(9):
            if directory.due(rank=rank):
                first_due.setdefault(rank, directory.age)
    assert first_due[0] == timedelta(seconds=1)
    assert first_due[0] < first_due[1] < first_due[2]
    # Even if all daemons of lower rank fail, the list is refreshed well before the drain time is over.
    assert set(first_due) == set(range(9)) and max(first_due.values()) < ms(2500)


def test_a_daemon_without_a_list_fetches_at_once_and_backs_off_after_a_failure():
    directory = _directory()
    assert directory.due(rank=8)
    directory.backoff_until = directory.host.elapsed() + ms(300)
    assert not directory.due(rank=0)
    directory.host.pass_ms(300)
    assert directory.due(rank=0)


def test_an_older_copy_never_replaces_a_newer_one():
    directory = _directory()
    now = directory.host.elapsed()
    directory.replace(rows=_rows("1", "2", leaving="2"), requested_at=now, origin="a:1")
    directory.replace(rows=_rows("1", "2"), requested_at=now - ms(1), origin="a:2")
    directory.replace(rows=_rows("1", "2"), requested_at=now, origin="a:3")
    assert directory.rows["2"].leaving
    assert not _merge_peer(directory=directory, digest="another", age_ms=5, delta=None)
    directory.replace(rows=_rows("1"), requested_at=now + ms(1), origin="a:4")
    assert set(directory.rows) == {"1"}


def test_a_copy_with_the_same_digest_is_as_fresh_as_its_fetch():
    directory = _directory()
    directory.replace(rows=_rows("1"), requested_at=directory.host.elapsed(), origin="a:5")
    directory.host.pass_ms(900)
    assert not _merge_peer(directory=directory, digest=directory.digest, age_ms=100, delta=None)
    assert directory.age == ms(100)
    assert not _merge_peer(directory=directory, digest=directory.digest, age_ms=400, delta=None)
    assert directory.age == ms(100)


def test_a_repeated_report_of_the_same_fetch_is_not_newer():
    directory = _directory()
    directory.replace(rows=_rows("1"), requested_at=directory.host.elapsed(), origin="b:7")
    directory.host.pass_ms(900)
    assert not _merge_peer(directory=directory, digest=directory.digest, age_ms=880, delta=None, origin="b:7")
    assert directory.age == ms(900)
    assert not _merge_peer(directory=directory, digest=directory.digest, age_ms=880, delta=None, origin="c:1")
    assert directory.age == ms(880) and directory.origin == "c:1"


def test_a_change_is_applied_from_a_delta_or_needs_the_whole_list():
    local, remote = _directory(), _directory()
    for directory in (local, remote):
        directory.replace(rows=_rows("1", "2"), requested_at=directory.host.elapsed(), origin="a:6")
        directory.host.pass_ms(1000)
    remote.replace(rows=_rows("2", "3", leaving="2"), requested_at=remote.host.elapsed(), origin="a:7")
    assert remote.delta["from"] == local.digest and remote.delta["gone"] == ["1"]
    # Without a delta, or with a delta from another copy, the whole list must be fetched.
    assert _merge_peer(directory=local, digest=remote.digest, age_ms=10, delta=None)
    assert _merge_peer(directory=local, digest=remote.digest, age_ms=10, delta=remote.delta | {"from": "another"})
    assert set(local.rows) == {"1", "2"}
    # A delta whose result has another digest is not applied.
    assert _merge_peer(directory=local, digest="another", age_ms=10, delta=remote.delta)
    assert set(local.rows) == {"1", "2"}
    assert not _merge_peer(directory=local, digest=remote.digest, age_ms=10, delta=remote.delta)
    assert local.rows == remote.rows and local.digest == remote.digest and local.age == ms(10)


def test_a_daemon_without_a_list_is_not_a_source():
    directory = _directory()
    assert not _merge_peer(directory=directory, digest="", age_ms=0, delta=None)


@pytest.mark.parametrize("leaving", ("", "1", "2"))
def test_the_digest_depends_on_the_rows_but_not_on_their_order(leaving):
    rows = _rows("1", "2", leaving=leaving)
    assert digest_of(rows=rows) == digest_of(rows=dict(reversed(rows.items())))
    assert (digest_of(rows=rows) == digest_of(rows=_rows("1", "2"))) == (leaving == "")
