"""Plays one run: starts machines, clients and operator, injects the plan's faults, and returns the history."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator

from tests.soak.clients import Clients
from tests.soak.config_operator import ConfigOperator
from tests.soak.endless import attack
from tests.soak.history import FaultKind, History
from tests.soak.machines import Machines, SetupError
from tests.soak.plan import Plan, Step

READY_TIMEOUT_S = 40.0
# Longer than `live_s`, so that no start at the beginning excuses a violation.
SETTLE_S = 3.5
CLIENTS_PER_EDGE = 16
# After the clients are told to stop: how long open requests, then the last change, may take.
OPEN_REQUESTS_TIMEOUT_S = 9.0
CHANGE_TIMEOUT_S = 5.0
READY_POLL_S = 1.0
SIGNALS = {FaultKind.HUP: signal.SIGHUP, FaultKind.TERM: signal.SIGTERM, FaultKind.KILL: signal.SIGKILL}


class FaultInjector:
    """Injects the faults of a plan and records each in the history."""

    def __init__(self, *, machines: Machines) -> None:
        self.machines = machines

    async def inject(self, *, step: Step) -> None:
        """Injects one fault and returns when it is over."""
        if step.kind is FaultKind.CLIENT_ENDLESS:
            await self._inject_endless_client(step=step)
        elif step.role == "engine":
            await self._inject_engine_fault(step=step)
        elif step.kind is FaultKind.LIST_ENDLESS:
            self.machines.list_endless = step.how
            self.machines.record_fault(kind=step.kind, target="list", for_s=step.for_s)
            await asyncio.sleep(step.for_s)
            self.machines.list_endless = ""
        elif step.role == "list":
            self.machines.list_down = True
            self.machines.record_fault(kind=step.kind, target="list", for_s=step.for_s)
            await asyncio.sleep(step.for_s)
            self.machines.list_down = False
        else:
            await self._inject_process_fault(step=step)

    def _machine_name(self, *, step: Step) -> str:
        """The machine that the step's number refers to now; replacements come after the remaining machines."""
        names = [name for name in self.machines.ips if name.startswith(step.role)]
        return names[step.place % len(names)]

    async def _inject_endless_client(self, *, step: Step) -> None:
        """The machine itself is not in trouble: what it does meanwhile is judged like at any other time."""
        machines, name = self.machines, self._machine_name(step=step)
        machines.record_fault(kind=step.kind, target="client", for_s=step.for_s)
        port = machines.control_port if step.role == "core" else machines.http_port
        target = "/dockmux/config/put" if step.role == "core" else "/once/a"
        await attack(address=f"{machines.ips[name]}:{port}", target=target, how=step.how, for_s=step.for_s)

    async def _inject_process_fault(self, *, step: Step) -> None:
        machines, name = self.machines, self._machine_name(step=step)
        if name not in machines.processes or machines.processes[name].poll() is not None:
            return
        if step.kind is FaultKind.REPLACE:
            await self._replace_machine(name=name)
            return
        if step.kind is FaultKind.STOP:
            machines.record_fault(kind=step.kind, target=name, for_s=step.for_s)
            machines.send_signal(name=name, number=signal.SIGSTOP)
            await asyncio.sleep(step.for_s)
            machines.send_signal(name=name, number=signal.SIGCONT)
            return
        if step.kind is FaultKind.DISK_REFUSES:
            machines.record_fault(kind=step.kind, target=name, for_s=step.for_s)
            machines.refuse_writes(name=name, refuses=True)
            await asyncio.sleep(step.for_s)
            machines.refuse_writes(name=name, refuses=False)
            return
        if step.kind is FaultKind.HUP:
            machines.write_settings(name=name)
        else:
            machines.expected_exits.add(name)
        fault = machines.record_fault(kind=step.kind, target=name)
        process = machines.processes[name]
        machines.send_signal(name=name, number=SIGNALS[step.kind])
        if step.kind is not FaultKind.TERM:
            return
        grace_s = machines.history.bounds.grace_s
        while process.poll() is None and machines.now() < fault.at + grace_s:
            await asyncio.sleep(0.02)
        fault.until = machines.now()
        if process.poll() is None:
            process.kill()

    async def _replace_machine(self, *, name: str) -> None:
        """Kills a machine for good and starts an empty one at another address; the seeds follow after `seed_lag_s`."""
        machines = self.machines
        role = name.partition("-")[0]
        machines.supervised.discard(name)
        fault = machines.record_fault(kind=FaultKind.REPLACE, target=name, for_s=machines.history.bounds.live_s)
        machines.send_signal(name=name, number=signal.SIGKILL)
        machines.processes[name].wait()
        machines.instances[name].ended_at = machines.now()
        del machines.ips[name]
        number = machines.next_ip[role]
        machines.next_ip[role] += 1
        replacement = f"{role}-{number}"
        machines.ips[replacement] = f"{machines.subnet}.{number}"
        machines.record_fault(kind=FaultKind.REPLACE, target=replacement, for_s=machines.history.bounds.live_s)
        machines.start_process(name=replacement)
        machines.supervised.add(replacement)
        await asyncio.sleep(machines.history.bounds.seed_lag_s)
        for other in list(machines.supervised):
            machines.write_settings(name=other)
            if role == "core":
                machines.record_fault(kind=FaultKind.HUP, target=other)
                machines.send_signal(name=other, number=signal.SIGHUP)
        fault.until = machines.now()

    async def _inject_engine_fault(self, *, step: Step) -> None:
        machines = self.machines
        place = step.place % len(machines.engines)
        engine = machines.engines[place]
        if engine.state != "ready" or engine.silent or engine.grey or engine.endless:
            return
        fault = machines.record_fault(kind=step.kind, target=engine.name, for_s=step.for_s)
        if step.kind is FaultKind.ENGINE_GREY:
            engine.grey = step.how
            await asyncio.sleep(step.for_s)
            engine.grey = ""
        elif step.kind is FaultKind.ENGINE_ENDLESS:
            engine.endless, engine.endless_until = step.how, machines.now() + step.for_s
            await asyncio.sleep(step.for_s)
            engine.endless = ""
        elif step.kind is FaultKind.ENGINE_SILENT:
            engine.silent = True
            await asyncio.sleep(step.for_s)
            engine.silent = False
        elif step.kind is FaultKind.LINK_SLOW:
            engine.link.delay_s = 0.15
            await asyncio.sleep(step.for_s)
            engine.link.delay_s = 0.0
        elif step.kind is FaultKind.LINK_CUT:
            engine.link.holds_requests = True
            await asyncio.sleep(step.for_s)
            engine.link.reset()
            engine.link.holds_requests = False
        elif step.kind is FaultKind.LINK_RESET:
            engine.link.reset()
        elif step.kind is FaultKind.ENGINE_LEAVES:
            engine.state = "draining"
            await asyncio.sleep(machines.history.bounds.drain_s + step.for_s)
            fault.until = machines.now()
            await self._restart_engine(place=place, down_s=1.0)
        else:
            engine.state = "crashed"
            await self._restart_engine(place=place, down_s=step.for_s)

    async def _restart_engine(self, *, place: int, down_s: float) -> None:
        self.machines.engines[place].shut_down()
        await asyncio.sleep(down_s)
        await self.machines.start_next_engine(place=place)


@contextlib.asynccontextmanager
async def running_machines(*, machines: Machines) -> AsyncIterator[tuple[Clients, ConfigOperator]]:
    """The fleet with the first configuration acknowledged and every edge ready; stops all processes at the end.

    Raises SetupError if that takes too long.
    """
    ip, _, port = machines.list_address.rpartition(":")
    server = await asyncio.start_server(machines.serve_list, ip, int(port))
    tasks: list[asyncio.Task[None]] = []
    try:
        for engine in machines.engines:
            await engine.start()
        for name in list(machines.ips):
            machines.start_process(name=name, is_first=True)
        tasks += [asyncio.create_task(loop()) for loop in (machines.supervise, machines.watch_readiness)]
        clients = Clients(machines=machines)
        operator = ConfigOperator(machines=machines, clients=clients)
        if not await operator.put_first():
            raise SetupError("the first configuration was not acknowledged")
        end = machines.now() + READY_TIMEOUT_S
        while len(machines.ready_edges) < len(machines.edges):
            if machines.now() > end:
                raise SetupError("not every edge became ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(SETTLE_S)
        yield clients, operator
    finally:
        for task in tasks:
            task.cancel()
        server.close()
        machines.stop()


async def run_plan(*, plan: Plan) -> History:
    """Plays a plan on a new fleet and returns what was recorded; raises SetupError if the run was not valid."""
    machines = Machines(plan=plan)
    try:
        async with running_machines(machines=machines) as (clients, operator):
            await _run_under_faults(machines=machines, plan=plan, clients=clients, operator=operator)
        machines.history.ended_at = machines.now()
        machines.collect_log_errors()
        return machines.history
    finally:
        machines.stop()
        machines.remove_folder()


async def _run_under_faults(*, machines: Machines, plan: Plan, clients: Clients, operator: ConfigOperator) -> None:
    started_at = machines.now()
    injector = FaultInjector(machines=machines)
    client_tasks = [asyncio.create_task(clients.run_client()) for _ in range(CLIENTS_PER_EDGE * min(plan.edges, 8))]
    other_tasks = [asyncio.create_task(operator.run()), asyncio.create_task(machines.sample_resources())]
    steps = []
    for step in plan.steps:
        await asyncio.sleep(max(started_at + step.at - machines.now(), 0))
        steps.append(asyncio.create_task(injector.inject(step=step)))
    await asyncio.sleep(max(started_at + plan.seconds - machines.now(), 0))
    clients.stopping = operator.stopping = True
    await asyncio.gather(*steps)
    await asyncio.wait([*client_tasks, other_tasks[0]], timeout=OPEN_REQUESTS_TIMEOUT_S)
    await asyncio.wait([other_tasks[0]], timeout=CHANGE_TIMEOUT_S)
    end = machines.now() + 2 * machines.history.bounds.live_s + machines.history.bounds.ack_s
    while not await operator.read(is_final=True) and machines.now() < end:
        await asyncio.sleep(0.3)
    await _note_edges_that_are_not_ready(machines=machines)
    for task in [*client_tasks, *other_tasks]:
        task.cancel()
    results = await asyncio.gather(*client_tasks, *other_tasks, return_exceptions=True)
    errors = [repr(each) for each in results if isinstance(each, Exception)]
    if errors:
        raise SetupError(f"a client, the operator or the sampler failed: {errors[0]}")


async def _note_edges_that_are_not_ready(*, machines: Machines) -> None:
    """All faults are over: every edge must be ready within `live_s`, and within a poll of it."""
    names = [name for name in machines.edges if name in machines.supervised]
    end = machines.now() + machines.history.bounds.live_s + READY_POLL_S
    while names and machines.now() < end:
        names = [name for name in names if not await machines.is_ready(name=name)]
        await asyncio.sleep(0.2)
    machines.history.not_ready_at_end = names
