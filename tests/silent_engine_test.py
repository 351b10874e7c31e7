"""An engine that pauses in the middle of its answer."""

from dockmux.runtime.time_units import ms
from tests.standins.fleet import fleet


def test_an_idempotent_answer_in_progress_is_not_cut_while_its_engine_pauses():
    """Guards against an answer that is aborted early because its engine is silent (LOST)."""
    with fleet(seed=71, phases="d") as made:
        made.faults.pause_in_plain = ms(1500)
        tries = []
        made.outside.spawn(task=lambda: tries.append(made.send(path="/check/c", tokens_out=0, tokens_in=100)))
        made.sleep(seconds=0.5)
        made.daemons["edge-0"].engine_health.note_failure(engine="i-d0", why="test")
        made.sleep(seconds=3)
        assert tries and tries[0].right, [(seen.status, seen.error) for seen in tries]
