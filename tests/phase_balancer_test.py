"""Which phase an engine is moved to, given a service's load."""

import pytest

from dockmux.platform_proxy.phase_balancer import ServiceLoad, choose_phase
from tests.standins.fleet import fleet


def chosen_phase(*, prefill_count: int, decode_count: int, prefill_backlog_ms: float, streams: float) -> str | None:
    load = ServiceLoad(prefill_backlog_ms=prefill_backlog_ms, streams=streams)
    return choose_phase(prefill_count=prefill_count, decode_count=decode_count, slots=64, load=load)


def test_an_overloaded_phase_gets_an_engine_that_the_other_can_spare():
    assert chosen_phase(prefill_count=3, decode_count=6, prefill_backlog_ms=400, streams=60) == "prefill"
    assert chosen_phase(prefill_count=3, decode_count=6, prefill_backlog_ms=200, streams=60) is None
    assert chosen_phase(prefill_count=3, decode_count=3, prefill_backlog_ms=1500, streams=90) is None
    assert chosen_phase(prefill_count=6, decode_count=3, prefill_backlog_ms=100, streams=100) == "decode"


def test_lost_decode_engines_are_replaced_whatever_the_prefill_backlog():
    """Guards against a service that loses one of two decode engines under load and never gets another one, because its
    prefill engines are overloaded as well."""
    assert chosen_phase(prefill_count=7, decode_count=1, prefill_backlog_ms=5000, streams=90) == "decode"
    assert chosen_phase(prefill_count=7, decode_count=2, prefill_backlog_ms=2000, streams=120) == "decode"


def test_a_phase_keeps_its_last_two_engines():
    assert chosen_phase(prefill_count=2, decode_count=2, prefill_backlog_ms=9000, streams=1) is None
    assert chosen_phase(prefill_count=2, decode_count=3, prefill_backlog_ms=0, streams=190) is None
    assert chosen_phase(prefill_count=1, decode_count=3, prefill_backlog_ms=0, streams=10) == "prefill"


def test_a_move_never_triggers_the_opposite_move():
    for prefill_count in range(2, 9):
        for decode_count in range(2, 9):
            for prefill_backlog_ms in range(0, 3000, 50):
                for streams in range(0, 300, 10):
                    first_move = chosen_phase(
                        prefill_count=prefill_count,
                        decode_count=decode_count,
                        prefill_backlog_ms=prefill_backlog_ms,
                        streams=streams,
                    )
                    if first_move is None:
                        continue
                    change = 1 if first_move == "prefill" else -1
                    second_move = chosen_phase(
                        prefill_count=prefill_count + change, decode_count=decode_count - change,
                        prefill_backlog_ms=prefill_backlog_ms, streams=streams
                    )  # fmt: skip
                    assert second_move in (first_move, None)


@pytest.mark.parametrize("prefill_count", [1, 2, 3, 5])
def test_without_a_decode_engine_a_prefill_engine_becomes_one_however_few_there_are(prefill_count: int):
    assert chosen_phase(prefill_count=prefill_count, decode_count=0, prefill_backlog_ms=0, streams=0) == "decode"
    assert chosen_phase(prefill_count=prefill_count, decode_count=0, prefill_backlog_ms=5000, streams=0) == "decode"


def test_two_remaining_prefill_engines_serve_again():
    """All decode engines are gone for good; the two remaining ones are prefill engines, so no engine could answer."""
    with fleet(seed=18, phases="ppdd") as sim_fleet:
        sim_fleet.send(path="/notes/a")
        for engine in ("i-d2", "i-d3"):
            sim_fleet.list.rows.pop(engine)
            sim_fleet.kill(name=engine)
        sim_fleet.sleep(seconds=12)
        attempts = sim_fleet.send_load(paths=("/notes/a", "/once/b"), per_second=4, seconds=5)
        assert sum(attempt.is_correct for attempt in attempts) >= len(attempts) - 1
        sim_fleet.assert_no_failures()
