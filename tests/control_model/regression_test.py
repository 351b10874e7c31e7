"""Regression tests for faults that the model test found in the product, each as a short run; all are fixed."""

from datetime import timedelta

import eventlet

from dockmux.runtime.outcomes import OutcomeKind
from dockmux.runtime.time_units import ms
from tests.control_model.history import Change
from tests.control_model.operators import encode_change
from tests.control_model.schedule_runner import started_control_plane
from tests.control_model.steps import HealStep, NetworkFaultStep, Outage, OutageStep, Target
from tests.planted_faults.scenarios import SCENARIOS

SECOND = timedelta(seconds=1)


def test_changes_are_accepted_soon_after_network_faults() -> None:
    """A head that became the time source during network delays kept the large clock error bound they had caused. The
    bound then shrank by 50 ppm only, and the head refused every change ("the head's clock is not synchronized") for
    over half an hour."""
    with started_control_plane(members=3, seed=1) as runner:
        runner.apply(
            step=NetworkFaultStep(
                wait=ms(0), loss_percent=20, duplicate_percent=10, jitter=ms(400), extra_delay=ms(200)
            )
        )
        runner.sleep(3 * SECOND)
        for _ in range(3):
            runner.apply(
                step=OutageStep(
                    wait=ms(0), target=Target.HEAD, outage=Outage.KILLED, duration=3 * SECOND, stop_at_call=1
                )
            )
            runner.sleep(8 * SECOND)
        runner.apply(step=HealStep(wait=ms(0)))
        assert runner.put_until_accepted(limit=60 * SECOND)


def test_conflicting_change_is_refused_only_after_the_other_is_acknowledged() -> None:
    """The head validated changes against what it was about to write: of two changes on one base it refused the second
    for good before the first was on any disk, although the first could still be lost."""
    with started_control_plane(members=3, seed=1) as runner:
        chain = next(core.chain for _, agreement, core in runner.machines.running_daemons() if agreement.is_head())
        versions_at_refusal: list[int] = []

        def write(change: Change) -> None:
            tree = {"text": encode_change(change=change).decode()}
            fields = {"kind": "config", "tree": tree, "version": change.version, "based_on": change.base}
            if chain.write(change=fields).kind is OutcomeKind.MARK_OUTDATED:
                versions_at_refusal.append(chain.state.config.version)

        for text in ("one", "rival"):
            eventlet.spawn(write, Change(version=2, base=1, text=text))
        runner.sleep(5 * SECOND)
        assert versions_at_refusal in ([], [2])


def test_reads_do_not_go_back() -> None:
    """The head answered reads from what the tail had reported within the last lease: after a read from the tail had
    returned a change, a read from the head returned the change before it."""
    assert SCENARIOS["read_from_lagging_head"]() == []
