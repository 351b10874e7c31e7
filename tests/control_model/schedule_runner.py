"""Runs a schedule of calls and faults on a simulated control plane and records its history."""

import functools
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import eventlet

from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import Disk, World
from tests.control_model.history import Change, History
from tests.control_model.machines import Machines
from tests.control_model.operators import Operators, decode_change
from tests.control_model.state_sampler import StateSampler
from tests.control_model.steps import (
    CutDirection,
    CutStep,
    HealStep,
    KillAllStep,
    NetworkFaultStep,
    NoOpStep,
    Outage,
    OutageStep,
    PutStep,
    ReadStep,
    ResendStep,
    SlowDiskStep,
    Step,
    Target,
    TrafficStep,
    WallClockOffsetStep,
)

SECOND = timedelta(seconds=1)
# A machine still counts as unavailable for this long after its outage ends.
REJOIN_GRACE = 4 * SECOND
START_TIMEOUT = 20 * SECOND
RECOVERY_TIMEOUT = 40 * SECOND
STOP_POINT_TIMEOUT = 2 * SECOND
LINK_LATENCY_US = 700
FULL_DISK_FREE_BYTES = 150


class ScheduleRunner:
    """Applies schedule steps to a simulated control plane of `members` machines.

    Invariants: `unavailable` holds the indices of machines that are down or only just back; there are never more than
    `max_unavailable`, and none while all processes are killed at once (`all_killed`).
    """

    def __init__(self, *, world: World, members: int) -> None:
        self.world = world
        self.max_unavailable = members // 2
        self.history = History()
        self.machines = Machines(world=world, members=members)
        self.operators = Operators(machines=self.machines, history=self.history)
        self.state_sampler = StateSampler(machines=self.machines, history=self.history)
        self.unavailable: set[int] = set()
        self.all_killed = False

    def start(self) -> None:
        """Starts all daemons and the state sampler, then waits until a first change is accepted."""
        for index in range(len(self.machines.names)):
            self.machines.start(index=index)
        eventlet.spawn(self.state_sampler.run)
        self.put_until_accepted(limit=START_TIMEOUT)

    def sleep(self, wait: timedelta) -> None:
        self.machines.client_host.sleep(wait=wait)

    def put_until_accepted(self, *, limit: timedelta) -> bool:
        """Repeatedly reads and puts a change based on what was read; whether one was acknowledged within `limit`."""
        end = self.world.now() + limit
        control = 0
        while self.world.now() < end:
            self.operators.read_once(control=control)
            change = self.operators.change(base=self.operators.newest_acknowledged())
            if self.operators.put_once(change=change, control=control) == 200:
                return True
            control += 1
            self.sleep(ms(200))
        return False

    def run(self, *, schedule: list[Step]) -> None:
        """Applies all steps, then heals all faults and records the final state."""
        for step in schedule:
            self.apply(step=step)
            self.state_sampler.sample()
            self.sleep(step.wait)
        self.finish()

    def finish(self) -> None:
        """Heals all faults, waits for recovery and records the final state."""
        limit = self.world.now() + RECOVERY_TIMEOUT
        self.apply(step=HealStep(wait=timedelta()))
        while (self.unavailable or self.all_killed) and self.world.now() < limit:
            self.sleep(ms(100))
        change_accepted = self.put_until_accepted(limit=RECOVERY_TIMEOUT)
        all_members = self._wait_until_all_members(limit=RECOVERY_TIMEOUT)
        for control in range(len(self.machines.names)):
            self.operators.read_once(control=control)
        self.sleep(SECOND)
        self.state_sampler.sample()
        self.history.recovered = change_accepted and all_members
        self.history.final = self._final_changes()
        self._record_failures()

    def _wait_until_all_members(self, *, limit: timedelta) -> bool:
        end = self.world.now() + limit
        while self.world.now() < end:
            agreements = [agreement for _, agreement, _ in self.machines.running_daemons()]
            disks = {agreement.own_disk for agreement in agreements}
            views = [agreement.view for agreement in agreements if agreement.view is not None]
            if len(views) == len(self.machines.names) and all(set(view.chain) == disks for view in views):
                return True
            self.sleep(ms(100))
        return False

    def _final_changes(self) -> list[Change]:
        """Acknowledged changes of the daemon with the newest view and, among those, the highest acknowledged mark."""
        candidates = []
        for index, agreement, core in self.machines.running_daemons():
            number = agreement.view.number if agreement.view is not None else 0
            candidates.append((number, core.chain.state.mark, index))
        if not candidates:
            return []
        core = self.machines.core(index=max(candidates)[2])
        return [decode_change(config.tree["text"]) for config in core.chain.state.configs]

    def _record_failures(self) -> None:
        failed = [text for _, _, log_event, text in self.world.logged if log_event is LogEvent.TASK_FAILED]
        self.history.failures += [*failed, *self.world.crashes]

    # Steps.

    @functools.singledispatchmethod
    def _dispatch_step(self, step: Step) -> None:
        raise TypeError(step)

    def apply(self, *, step: Step) -> None:
        self._dispatch_step(step)

    @_dispatch_step.register
    def _(self, step: NoOpStep) -> None:
        return

    @_dispatch_step.register
    def _(self, step: PutStep) -> None:
        self.operators.put(step=step)

    @_dispatch_step.register
    def _(self, step: ReadStep) -> None:
        self.operators.read(step=step)

    @_dispatch_step.register
    def _(self, step: ResendStep) -> None:
        self.operators.resend(step=step)

    @_dispatch_step.register
    def _(self, step: TrafficStep) -> None:
        self.operators.traffic(step=step)

    @_dispatch_step.register
    def _(self, step: OutageStep) -> None:
        index = self.machine_index(step.target)
        if self._may_take_down(index=index):
            self.unavailable.add(index)
            eventlet.spawn(self._take_down, step=step, index=index)

    @_dispatch_step.register
    def _(self, step: CutStep) -> None:
        index = self.machine_index(step.target)
        if self._may_take_down(index=index):
            self.unavailable.add(index)
            eventlet.spawn(self._cut, step=step, index=index)

    @_dispatch_step.register
    def _(self, step: KillAllStep) -> None:
        if not self.unavailable and not self.all_killed:
            self.all_killed = True
            eventlet.spawn(self._kill_all, step=step)

    @_dispatch_step.register
    def _(self, step: WallClockOffsetStep) -> None:
        self.machines.host(index=self.machine_index(step.target)).machine.wall_offset += step.offset

    @_dispatch_step.register
    def _(self, step: SlowDiskStep) -> None:
        self.machines.host(index=self.machine_index(step.target)).machine.disk.delay = step.delay

    @_dispatch_step.register
    def _(self, step: NetworkFaultStep) -> None:
        self.world.loss_percent, self.world.duplicate_percent = step.loss_percent, step.duplicate_percent
        self.world.jitter = step.jitter
        ips = [self.machines.host(index=index).machine.ip for index in range(len(self.machines.names))]
        self.world.extra_latency = {(a, b): step.extra_delay for a in ips for b in ips if a != b}

    @_dispatch_step.register
    def _(self, step: HealStep) -> None:
        self.world.loss_percent = self.world.duplicate_percent = 0
        self.world.jitter = timedelta()
        self.world.extra_latency = {}
        for index in range(len(self.machines.names)):
            self.machines.host(index=index).machine.disk.delay = Disk().delay

    # Outages.

    def machine_index(self, target: Target) -> int:
        """The index of the targeted machine; a chain position is resolved in the newest known view."""
        if target.isdigit():
            return int(target)
        rows = [row for row in self.machines.running_daemons() if row[1].view is not None]
        if not rows:
            return 0
        view = max((agreement.view for _, agreement, _ in rows), key=lambda view: view.number)
        chain_position = {Target.HEAD: 0, Target.MIDDLE: len(view.chain) // 2, Target.TAIL: -1}[target]
        return next((row[0] for row in rows if row[1].own_disk == view.chain[chain_position]), 0)

    def _may_take_down(self, *, index: int) -> bool:
        return index not in self.unavailable and len(self.unavailable) < self.max_unavailable and not self.all_killed

    def _mark_available(self, *, index: int) -> None:
        self.sleep(REJOIN_GRACE)
        self.unavailable.discard(index)

    def _take_down(self, *, step: OutageStep, index: int) -> None:
        with self._outage(step=step, index=index):
            self.sleep(step.duration)
        self._mark_available(index=index)

    @contextmanager
    def _outage(self, *, step: OutageStep, index: int) -> Iterator[None]:
        host = self.machines.host(index=index)
        disk = host.machine.disk
        match step.outage:
            case Outage.KILLED | Outage.POWER_LOST | Outage.WIPED | Outage.REPLACED:
                self._kill(step=step, index=index)
                yield
                self.machines.start(index=index)
            case Outage.FROZEN:
                host.freeze()
                yield
                host.thaw()
            case Outage.ISOLATED:
                host.machine.isolated = True
                yield
                host.machine.isolated = False
            case Outage.DISK_STALLED:
                disk.stalled = True
                yield
                disk.stalled = False
            case Outage.DISK_FULL:
                disk.limit_bytes = sum(len(content) for content in disk.files.values()) + FULL_DISK_FREE_BYTES
                yield
                disk.limit_bytes = Disk().limit_bytes
            case Outage.DISK_FAILING:
                disk.syncs_fail = True
                yield
                if step.stop_at_call % 2:
                    self.machines.kill(index=index, unsynced_lost=False)
                disk.syncs_fail = False
                if step.stop_at_call % 2:
                    self.machines.start(index=index)
            case Outage.STOPPED_BETWEEN:
                self._stop_between_instructions(step=step, index=index)
                yield

    def _kill(self, *, step: OutageStep, index: int) -> None:
        self.state_sampler.sample()
        self.machines.kill(index=index, unsynced_lost=step.outage is Outage.POWER_LOST)
        if step.outage is Outage.WIPED:
            self.machines.wipe(index=index)
        if step.outage is Outage.REPLACED:
            self.machines.replace(index=index)

    def _stop_between_instructions(self, *, step: OutageStep, index: int) -> None:
        host = self.machines.host(index=index)
        stops_before = len(host.pauses)
        host.schedule_pause(steps=step.stop_at_call, duration=step.duration)
        end = self.world.now() + STOP_POINT_TIMEOUT
        while len(host.pauses) == stops_before and self.world.now() < end:
            self.sleep(ms(5))
        host.steps_to_pause = None

    def _cut(self, *, step: CutStep, index: int) -> None:
        ip = self.machines.host(index=index).machine.ip
        others = [other for other in range(len(self.machines.names)) if other != index]
        if step.peer is not None and self.machine_index(step.peer) != index:
            others = [self.machine_index(step.peer)]
        ips = [self.machines.host(index=other).machine.ip for other in others]
        pairs = set()
        if step.direction is not CutDirection.TO_IT:
            pairs |= {(ip, other) for other in ips}
        if step.direction is not CutDirection.FROM_IT:
            pairs |= {(other, ip) for other in ips}
        self.world.cuts |= pairs
        self.sleep(step.duration)
        self.world.cuts -= pairs
        self._mark_available(index=index)

    def _kill_all(self, *, step: KillAllStep) -> None:
        self.state_sampler.sample()
        for index in range(len(self.machines.names)):
            self.machines.kill(index=index, unsynced_lost=step.unsynced_lost)
        self.sleep(step.duration)
        for index in range(len(self.machines.names)):
            self.machines.start(index=index)
        self.sleep(REJOIN_GRACE)
        self.all_killed = False


@contextmanager
def started_control_plane(*, members: int, seed: int) -> Iterator[ScheduleRunner]:
    """A running control plane that has been given time to accept its first change."""
    with World(seed=seed, link_us=LINK_LATENCY_US).open() as world:
        runner = ScheduleRunner(world=world, members=members)
        runner.start()
        yield runner


def run_schedule(*, schedule: list[Step], members: int, seed: int) -> History:
    """Runs one schedule on a fresh control plane and returns its history."""
    with started_control_plane(members=members, seed=seed) as runner:
        runner.run(schedule=schedule)
        return runner.history
