"""Faults that the model found in the product, each as a short run that showed it. All were mended since."""

from datetime import timedelta

import eventlet

from dockmux.runtime.outcomes import OutcomeKind
from dockmux.runtime.time_units import ms
from tests.control_model.history import Change
from tests.control_model.operators import packed
from tests.control_model.play import playing
from tests.control_model.steps import HealStep, Loss, LossStep, Place, WeatherStep
from tests.planted_faults.scenarios import SCENARIOS

SECOND = timedelta(seconds=1)


def test_changes_are_taken_again_soon_after_bad_weather() -> None:
    """A head that became the source of time during delays kept the bound on its clock that they gave it, which then
    shrank by 50 ppm only: it refused every change, as "the head's clock is not synchronized", for over half an hour."""
    with playing(members=3, seed=1) as player:
        player.do(step=WeatherStep(wait=ms(0), lossPercent=20, doubledPercent=10, jitter=ms(400), slow=ms(200)))
        player.sleep(3 * SECOND)
        for _ in range(3):
            player.do(step=LossStep(wait=ms(0), place=Place.HEAD, loss=Loss.KILLED, lasts=3 * SECOND, at=1))
            player.sleep(8 * SECOND)
        player.do(step=HealStep(wait=ms(0)))
        assert player.put_until_taken(limit=60 * SECOND)


def test_a_rival_is_refused_only_once_the_winner_is_acknowledged() -> None:
    """The head judged by what it was about to write: of two changes on one base it refused the second for good before
    the first was on any disk, and the first might yet have been lost."""
    with playing(members=3, seed=1) as player:
        chain = next(core.chain for _, agreement, core in player.machines.agreements() if agreement.is_head())
        current: list[int] = []

        def write(change: Change) -> None:
            tree = {"text": packed(change=change).decode()}
            fields = {"kind": "config", "tree": tree, "version": change.version, "based_on": change.base}
            if chain.write(change=fields).kind is OutcomeKind.MARK_OUTDATED:
                current.append(chain.state.config.version)

        for text in ("one", "rival"):
            eventlet.spawn(write, Change(version=2, base=1, text=text))
        player.sleep(5 * SECOND)
        assert current in ([], [2])


def test_a_read_does_not_go_back_behind_another() -> None:
    """The head answered reads by what it had heard of the tail within a lease: after a read from the tail had shown a
    change, one from the head showed the change before it."""
    assert SCENARIOS["read_from_lagging_head"]() == []
