"""Faults of the product that the model found, each as the shortest run that shows it."""

from datetime import timedelta

import eventlet

from dockmux.accord.kinds import Kind
from dockmux.accord.span import ms
from tests.control_model.history import Change
from tests.control_model.operators import packed
from tests.control_model.play import playing
from tests.control_model.steps import HealStep, Loss, LossStep, Place, WeatherStep

SECOND = timedelta(seconds=1)


def test_changes_are_taken_again_soon_after_bad_weather() -> None:
    """A head that became the source of time during delays keeps the bound on its clock that they gave it, which then
    shrinks by 50 ppm only: it refuses every change, as "the head's clock is not synchronized", for some 20 minutes."""
    with playing(members=3, seed=1) as player:
        player.do(step=WeatherStep(wait=ms(0), lossPercent=20, doubledPercent=10, jitter=ms(400), slow=ms(200)))
        player.sleep(3 * SECOND)
        for _ in range(3):
            player.do(step=LossStep(wait=ms(0), place=Place.HEAD, loss=Loss.KILLED, lasts=3 * SECOND, at=1))
            player.sleep(8 * SECOND)
        player.do(step=HealStep(wait=ms(0)))
        assert player.put_until_taken(limit=60 * SECOND)


def test_a_rival_is_refused_only_once_the_winner_is_acknowledged() -> None:
    """The head judges by what it is about to write: of two changes on one base it refuses the second for good before
    the first is on any disk, and the first may yet be lost."""
    with playing(members=3, seed=1) as player:
        chain = next(core.chain for _, agreement, core in player.machines.agreements() if agreement.is_head())
        current: list[int] = []

        def write(change: Change) -> None:
            tree = {"text": packed(change=change).decode()}
            fields = {"kind": "config", "tree": tree, "version": change.version, "based_on": change.base}
            if chain.write(change=fields).kind is Kind.MARK_OUTDATED:
                current.append(chain.state.config.version)

        for text in ("one", "rival"):
            eventlet.spawn(write, Change(version=2, base=1, text=text))
        player.sleep(5 * SECOND)
        assert current in ([], [2])
