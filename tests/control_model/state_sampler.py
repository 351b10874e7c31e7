"""Samples the state of every running daemon every SAMPLE_INTERVAL of true time, without side effects on it."""

from typing import Any

from dockmux.control.core import Core
from dockmux.control.view_agreement import ViewAgreement
from dockmux.runtime.messages import View
from dockmux.runtime.time_units import ms
from tests.control_model.history import (
    SAMPLE_INTERVAL,
    AcknowledgedEntry,
    ActingMember,
    Change,
    History,
    MemberLog,
    ObservedView,
)
from tests.control_model.machines import Machines
from tests.control_model.operators import decode_change

LOG_SAMPLE_INTERVAL = ms(200)


def _change(*, fields: dict[str, Any]) -> Change:
    return decode_change(fields["tree"]["text"])


class StateSampler:
    """Records views, leases, logs and acknowledged entries in the history.

    Invariants: `sampled_marks` maps the id() of each daemon to the log mark up to which its acknowledged entries were
    recorded; `views` maps each disk to the last view recorded for it.
    """

    def __init__(self, *, machines: Machines, history: History) -> None:
        self.machines = machines
        self.history = history
        self.sampled_marks: dict[int, int] = {}
        self.views: dict[str, View] = {}
        self.last_log_sample = -LOG_SAMPLE_INTERVAL

    def run(self) -> None:
        """Samples every SAMPLE_INTERVAL, without end."""
        while True:
            self.sample()
            self.machines.client_host.sleep(wait=SAMPLE_INTERVAL)

    def sample(self) -> None:
        """Takes one sample; logs are included at most once per LOG_SAMPLE_INTERVAL."""
        now = self.machines.world.now()
        sample_logs = now - self.last_log_sample >= LOG_SAMPLE_INTERVAL
        if sample_logs:
            self.last_log_sample = now
        for _, agreement, core in self.machines.running_daemons():
            view = agreement.view
            self._sample_acknowledged(core=core)
            if view is None:
                continue
            if self.views.get(agreement.own_disk) is not view:
                self.views[agreement.own_disk] = view
                self._record_view(disk=agreement.own_disk, view=view)
            self._sample_lease(agreement=agreement)
            if sample_logs:
                self._sample_log(agreement=agreement)

    def _record_view(self, *, disk: str, view: View) -> None:
        observed = ObservedView(disk=disk, number=view.number, chain=tuple(view.chain), voters=tuple(view.voters))
        self.history.views.add(observed)

    def _sample_lease(self, *, agreement: ViewAgreement) -> None:
        view = agreement.view
        if agreement.own_disk not in view.chain:
            return
        if not _holds_lease(agreement=agreement):
            return
        for role, disk in (("head", view.chain[0]), ("tail", view.chain[-1])):
            if disk == agreement.own_disk and agreement.store.caught_up:
                member = ActingMember(at=self.machines.world.now(), disk=disk, role=role, number=view.number)
                self.history.acting_members.append(member)

    def _sample_log(self, *, agreement: ViewAgreement) -> None:
        view, store = agreement.view, agreement.store
        if agreement.own_disk not in view.chain:
            return
        entries = tuple(_change(fields=entry.change) for entry in store.entries)
        log = MemberLog(
            at=self.machines.world.now(), disk=agreement.own_disk, number=view.number,
            chain_position=view.chain.index(agreement.own_disk), base_mark=store.base_index, entries=entries,
        )  # fmt: skip
        self.history.logs.append(log)

    def _sample_acknowledged(self, *, core: Core) -> None:
        state = core.chain.state
        sampled_mark = self.sampled_marks.get(id(core), 0)
        if state.mark == sampled_mark:
            return
        self.sampled_marks[id(core)] = state.mark
        for config in state.configs:
            if config.mark > sampled_mark:
                entry = AcknowledgedEntry(
                    at=self.machines.world.now(), disk=core.agreement.own_disk, mark=config.mark,
                    change=decode_change(config.tree["text"]),
                )  # fmt: skip
                self.history.acknowledged_entries.append(entry)


def _holds_lease(*, agreement: ViewAgreement) -> bool:
    """Whether the daemon believes that it holds a lease. Its host may be set to stop at a given clock read; the read
    made here does not count towards that."""
    host = agreement.host
    steps_to_pause, host.steps_to_pause = host.steps_to_pause, None
    lease_held = agreement.holds_lease()
    host.steps_to_pause = steps_to_pause
    return lease_held
