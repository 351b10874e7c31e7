"""Which way an engine is moved, from a service's pressure."""

import pytest

from dockmux.platform_proxy.phase_balancer import Pressure, choose_phase
from tests.standins.fleet import fleet


def chosen(*, readers: int, writers: int, to_read_ms: float, streams: float) -> str | None:
    pressure = Pressure(to_read_ms=to_read_ms, streams=streams)
    return choose_phase(readers=readers, writers=writers, slots=64, pressure=pressure)


def test_a_pressed_phase_gets_an_engine_that_the_other_can_spare():
    assert chosen(readers=3, writers=6, to_read_ms=400, streams=60) == "prefill"
    assert chosen(readers=3, writers=6, to_read_ms=200, streams=60) is None
    assert chosen(readers=3, writers=3, to_read_ms=1500, streams=90) is None
    assert chosen(readers=6, writers=3, to_read_ms=100, streams=100) == "decode"


def test_writers_that_were_lost_are_replaced_whatever_lies_to_be_read():
    """A day on which one of two writers was taken away under load never got it back: readers were pressed as well."""
    assert chosen(readers=7, writers=1, to_read_ms=5000, streams=90) == "decode"
    assert chosen(readers=7, writers=2, to_read_ms=2000, streams=120) == "decode"


def test_a_phase_keeps_its_last_two_engines():
    assert chosen(readers=2, writers=2, to_read_ms=9000, streams=1) is None
    assert chosen(readers=2, writers=3, to_read_ms=0, streams=190) is None
    assert chosen(readers=1, writers=3, to_read_ms=0, streams=10) == "prefill"


def test_no_move_calls_for_its_opposite():
    for readers in range(2, 9):
        for writers in range(2, 9):
            for to_read_ms in range(0, 3000, 50):
                for streams in range(0, 300, 10):
                    first = chosen(readers=readers, writers=writers, to_read_ms=to_read_ms, streams=streams)
                    if first is None:
                        continue
                    step = 1 if first == "prefill" else -1
                    again = chosen(
                        readers=readers + step, writers=writers - step, to_read_ms=to_read_ms, streams=streams
                    )  # fmt: skip
                    assert again in (first, None)


@pytest.mark.parametrize("readers", [1, 2, 3, 5])
def test_without_a_writer_a_reader_becomes_one_however_few_there_are(readers: int):
    assert chosen(readers=readers, writers=0, to_read_ms=0, streams=0) == "decode"
    assert chosen(readers=readers, writers=0, to_read_ms=5000, streams=0) == "decode"


def test_two_reading_engines_that_are_left_serve_again():
    """All writers are gone for good; the two that are left only read prompts, and nobody could answer."""
    with fleet(seed=18, phases="ppdd") as made:
        made.send(path="/notes/a")
        for engine in ("i-d2", "i-d3"):
            made.list.rows.pop(engine)
            made.kill(name=engine)
        made.sleep(seconds=12)
        tries = made.send_load(paths=("/notes/a", "/once/b"), per_second=4, seconds=5)
        assert sum(seen.is_correct for seen in tries) >= len(tries) - 1
        made.assert_no_failures()
