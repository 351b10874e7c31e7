"""File calls that never return: the member ends itself, is started anew, and nothing acknowledged is lost."""

from datetime import timedelta

import pytest

from dockmux.runtime import file_calls
from dockmux.runtime.time_units import ms
from tests.control.cores import SECOND, Cores, cores

RESTART = ms(300)
CHANGES_FOR = 40 * SECOND


def start_again(*, made: Cores) -> None:
    """The platform: a process that has ended is started again a little later."""
    while True:
        for name in made.names:
            if not made.hosts[name].alive:
                made.outside.sleep(wait=RESTART)
                made.start(name=name)
        made.outside.sleep(wait=ms(50))


def changes_taken(*, made: Cores, silent: int, apart: timedelta) -> list[tuple[timedelta, int]]:
    """Puts changes one after the other while the file calls of some members stop returning; when each was taken."""
    made.outside.spawn(task=start_again, made=made)

    def fall_silent() -> None:
        for name in made.chain()[:silent]:
            made.hosts[name].folder.hangs = True
            made.outside.sleep(wait=apart)

    made.outside.spawn(task=fall_silent)
    began, taken, version = made.world.now(), [], 1
    while made.world.now() - began < CHANGES_FOR:
        if made.put(version=version + 1, base=version, control=version % 3) == 200:
            version += 1
            taken.append((made.world.now() - began, version))
        made.sleep(seconds=0.25)
    return taken


def newest(*, made: Cores) -> set[int]:
    """The version that a read gives at each member, once all are in the chain."""
    assert made.wait_until(what=made.whole, limit=20 * SECOND)
    return {made.get(name=name)[1] for name in made.names}


@pytest.mark.parametrize(("silent", "apart"), [(1, SECOND), (2, timedelta()), (2, SECOND), (2, 5 * SECOND)])
def test_a_member_whose_file_calls_never_return_is_started_anew(silent, apart):
    """Guards against members that live on and can neither store nor vote (CONFIG, Acks)."""
    with cores(seed=81 + silent) as made:
        taken = changes_taken(made=made, silent=silent, apart=apart)
        pauses = [later - sooner for (sooner, _), (later, _) in zip(taken, taken[1:], strict=False)]
        assert taken and taken[-1][0] > CHANGES_FOR - 2 * SECOND, "changes are taken again"
        # One may be lost at any time; where two are, service rests until they are back.
        longest = 4 * SECOND if silent == 1 else file_calls.FILE_CALL_LIMIT + apart + 6 * SECOND
        assert max(pauses) < longest, max(pauses)
        assert newest(made=made) == {taken[-1][1]}


def test_where_file_calls_have_no_bound_nothing_is_taken_any_more(monkeypatch):
    monkeypatch.setattr(file_calls, "FILE_CALL_LIMIT", timedelta(hours=1))
    with cores(seed=83) as made:
        taken = changes_taken(made=made, silent=2, apart=timedelta())
        assert not taken or taken[-1][0] < 5 * SECOND


def test_after_a_call_that_did_not_return_no_other_is_begun():
    """Guards against a late write over a later one."""
    with cores(seed=84) as made:
        name = made.chain()[0]
        host = made.hosts[name]
        host.folder.hangs = True
        with pytest.raises(file_calls.DiskUnresponsive):
            host.folder.append(name="x", data=b"1", offset=0)
        host.folder.hangs = False
        with pytest.raises(file_calls.DiskUnresponsive):
            host.folder.append(name="x", data=b"2", offset=0)
        assert host.disk_unresponsive
