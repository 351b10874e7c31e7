"""Which way an engine is moved, from a service's pressure."""

import pytest

from dockmux.platform_proxy.phase_balancer import ServiceLoad, choose_phase
from tests.standins.fleet import fleet


def chosen(*, prefill_count: int, decode_count: int, prefill_backlog_ms: float, streams: float) -> str | None:
    load = ServiceLoad(prefill_backlog_ms=prefill_backlog_ms, streams=streams)
    return choose_phase(prefill_count=prefill_count, decode_count=decode_count, slots=64, load=load)


def test_a_pressed_phase_gets_an_engine_that_the_other_can_spare():
    assert chosen(prefill_count=3, decode_count=6, prefill_backlog_ms=400, streams=60) == "prefill"
    assert chosen(prefill_count=3, decode_count=6, prefill_backlog_ms=200, streams=60) is None
    assert chosen(prefill_count=3, decode_count=3, prefill_backlog_ms=1500, streams=90) is None
    assert chosen(prefill_count=6, decode_count=3, prefill_backlog_ms=100, streams=100) == "decode"


def test_writers_that_were_lost_are_replaced_whatever_lies_to_be_read():
    """A day on which one of two writers was taken away under load never got it back: readers were pressed as well."""
    assert chosen(prefill_count=7, decode_count=1, prefill_backlog_ms=5000, streams=90) == "decode"
    assert chosen(prefill_count=7, decode_count=2, prefill_backlog_ms=2000, streams=120) == "decode"


def test_a_phase_keeps_its_last_two_engines():
    assert chosen(prefill_count=2, decode_count=2, prefill_backlog_ms=9000, streams=1) is None
    assert chosen(prefill_count=2, decode_count=3, prefill_backlog_ms=0, streams=190) is None
    assert chosen(prefill_count=1, decode_count=3, prefill_backlog_ms=0, streams=10) == "prefill"


def test_no_move_calls_for_its_opposite():
    for prefill_count in range(2, 9):
        for decode_count in range(2, 9):
            for prefill_backlog_ms in range(0, 3000, 50):
                for streams in range(0, 300, 10):
                    first = chosen(
                        prefill_count=prefill_count,
                        decode_count=decode_count,
                        prefill_backlog_ms=prefill_backlog_ms,
                        streams=streams,
                    )
                    if first is None:
                        continue
                    step = 1 if first == "prefill" else -1
                    again = chosen(
                        prefill_count=prefill_count + step, decode_count=decode_count - step,
                        prefill_backlog_ms=prefill_backlog_ms, streams=streams
                    )  # fmt: skip
                    assert again in (first, None)


@pytest.mark.parametrize("prefill_count", [1, 2, 3, 5])
def test_without_a_writer_a_reader_becomes_one_however_few_there_are(prefill_count: int):
    assert chosen(prefill_count=prefill_count, decode_count=0, prefill_backlog_ms=0, streams=0) == "decode"
    assert chosen(prefill_count=prefill_count, decode_count=0, prefill_backlog_ms=5000, streams=0) == "decode"


def test_two_reading_engines_that_are_left_serve_again():
    """All writers are gone for good; the two that are left only read prompts, and nobody could answer."""
    with fleet(seed=18, phases="ppdd") as made:
        made.send(path="/notes/a")
        for engine in ("i-d2", "i-d3"):
            made.list.rows.pop(engine)
            made.kill(name=engine)
        made.sleep(seconds=12)
        tries = made.load(paths=("/notes/a", "/once/b"), per_second=4, seconds=5)
        assert sum(seen.right for seen in tries) >= len(tries) - 1
        made.sound()
