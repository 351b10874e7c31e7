"""Looks at every running daemon, every few milliseconds of true time, without their noticing."""

from typing import Any

from dockmux.control.core import Core
from dockmux.control.view_agreement import ViewAgreement
from dockmux.runtime.messages import View
from dockmux.runtime.time_units import ms
from tests.control_model.history import SAMPLE_WAIT, Acting, Change, History, Learned, MemberLog, SeenView
from tests.control_model.machines import Machines
from tests.control_model.operators import unpacked

LOGS_WAIT = ms(200)


def _changed(*, fields: dict[str, Any]) -> Change:
    return unpacked(fields["tree"]["text"])


class Observer:
    """Invariant: `marks` says up to which mark the daemon that runs under a name was looked at."""

    def __init__(self, *, machines: Machines, history: History) -> None:
        self.machines = machines
        self.history = history
        self.marks: dict[int, int] = {}
        self.views: dict[str, View] = {}
        self.logs_at = -LOGS_WAIT

    def run(self) -> None:
        while True:
            self.look()
            self.machines.outside.sleep(wait=SAMPLE_WAIT)

    def look(self) -> None:
        now = self.machines.world.now()
        with_logs = now - self.logs_at >= LOGS_WAIT
        if with_logs:
            self.logs_at = now
        for _, agreement, core in self.machines.agreements():
            view = agreement.view
            self._look_at_state(core=core)
            if view is None:
                continue
            if self.views.get(agreement.own_disk) is not view:
                self.views[agreement.own_disk] = view
                self._note_view(disk=agreement.own_disk, view=view)
            self._look_at_lease(agreement=agreement)
            if with_logs:
                self._look_at_log(agreement=agreement)

    def _note_view(self, *, disk: str, view: View) -> None:
        seen = SeenView(disk=disk, number=view.number, chain=tuple(view.chain), voters=tuple(view.voters))
        self.history.views.add(seen)

    def _look_at_lease(self, *, agreement: ViewAgreement) -> None:
        view = agreement.view
        if agreement.own_disk not in view.chain:
            return
        if not _holds_lease(agreement=agreement):
            return
        for role, disk in (("head", view.chain[0]), ("tail", view.chain[-1])):
            if disk == agreement.own_disk and agreement.store.caught_up:
                acting = Acting(at=self.machines.world.now(), disk=disk, role=role, number=view.number)
                self.history.acting.append(acting)

    def _look_at_log(self, *, agreement: ViewAgreement) -> None:
        view, store = agreement.view, agreement.store
        if agreement.own_disk not in view.chain:
            return
        entries = tuple(_changed(fields=entry.change) for entry in store.entries)
        log = MemberLog(
            at=self.machines.world.now(), disk=agreement.own_disk, number=view.number,
            place=view.chain.index(agreement.own_disk), base_mark=store.base_index, entries=entries,
        )  # fmt: skip
        self.history.logs.append(log)

    def _look_at_state(self, *, core: Core) -> None:
        state = core.chain.state
        known = self.marks.get(id(core), 0)
        if state.mark == known:
            return
        self.marks[id(core)] = state.mark
        for config in state.configs:
            if config.mark > known:
                learned = Learned(
                    at=self.machines.world.now(), disk=core.agreement.own_disk, mark=config.mark,
                    change=unpacked(config.tree["text"]),
                )  # fmt: skip
                self.history.learned.append(learned)


def _holds_lease(*, agreement: ViewAgreement) -> bool:
    """Whether it takes itself to hold a lease. Its machine, which may be about to stop at a read of the time, does not
    count this one."""
    host = agreement.host
    steps_to_pause, host.steps_to_pause = host.steps_to_pause, None
    held = agreement.holds_lease()
    host.steps_to_pause = steps_to_pause
    return held
