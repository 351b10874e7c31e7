"""An engine that pauses in the middle of its answer."""

from dockmux.runtime.time_units import ms
from tests.standins.fleet import fleet


def test_an_idempotent_answer_in_progress_is_not_cut_while_its_engine_pauses():
    """Guards against an answer that is aborted early because its engine is silent (LOST)."""
    with fleet(seed=71, phases="d") as sim_fleet:
        sim_fleet.faults.pause_in_plain = ms(1500)
        attempts = []
        sim_fleet.outside.spawn(
            task=lambda: attempts.append(sim_fleet.send(path="/check/c", tokens_out=0, tokens_in=100))
        )
        sim_fleet.sleep(seconds=0.5)
        sim_fleet.daemons["edge-0"].engine_health.note_failure(engine="i-d0", why="test")
        sim_fleet.sleep(seconds=3)
        assert attempts and attempts[0].is_correct, [(attempt.status, attempt.error) for attempt in attempts]
