"""Fault injection: draws a schedule of faults from a seed and applies them to a simulated fleet.

Fault kinds are arguments of the console command `omen`; the kind `x` is implemented by `FaultInjector._x`."""

import copy
import dataclasses
import random
from datetime import timedelta
from typing import Any

import eventlet

from dockmux.runtime.time_units import ms
from dockmux.simulator.fleet import SimFleet
from dockmux.simulator.ground_truth import ConfigChange

SECOND = timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault of a schedule; `at` counts from the end of the warm-up. Invariant: `number` seeds the random choices of
    this fault (its targets among them), so that leaving out other faults does not change it."""

    at: timedelta
    duration: timedelta
    kind: str
    number: int

    def __str__(self) -> str:
        return f"{self.at.total_seconds():7.2f}s {self.kind} for {self.duration.total_seconds():.2f}s (#{self.number})"


# Fault kinds with the maximum duration of each, in seconds; a drawn duration is 0.3 s to this much plus 0.3 s.
MAX_DURATION_S = {
    "crowd": 4,
    "swing_to_prompts": 5,
    "swing_to_answers": 5,
    "engine_crash": 4,
    "engine_dark": 4,
    "engines_rolled": 8,
    "address_reused": 8,
    "edge_killed": 4,
    "many_edges_killed": 4,
    "all_killed": 3,
    "edge_frozen": 6,
    "core_frozen": 6,
    "engine_frozen": 4,
    "core_killed": 5,
    "core_replaced": 5,
    "disk_lost_after_ack": 4,
    "disk_slow": 5,
    "disk_full": 5,
    "disk_stalled": 5,
    "wall_jumped": 1,
    "core_split": 6,
    "core_cut_one_way": 6,
    "cores_cut_off": 5,
    "machine_isolated": 5,
    "links_slow": 5,
    "memory_lapsed": 1,
    "operators_race": 1,
    "configurations_burst": 3,
    "seeds_swapped": 3,
    "packets_lost": 5,
    "packets_doubled": 5,
    "delays_one_way": 5,
    "daemon_cut_one_way": 5,
    "two_cores_killed": 4,
    "cores_apart": 4,
    "disks_all_full": 4,
    "disks_all_stalled": 4,
    "syncs_failed": 4,
    "crowd_and_lapse": 4,
    "all_restarted_after_jump": 2,
    "lane_moved": 4,
    "stopped_between": 4,
}
# Faults injected after the load has ended: after them only the stored state and repeats of `once` requests count.
FINAL_FAULT_KINDS = ("none", "all_killed", "disk_lost_and_all_killed")


# Faults of core machines: their run ends only once all cores are in the view again, while the repair time is taken
# earlier, when the machines are back.
CORE_FAULT_KINDS = {
    "core_frozen", "core_killed", "core_replaced", "disk_lost_after_ack", "disk_full", "disk_stalled", "core_split",
    "core_cut_one_way", "two_cores_killed", "cores_apart", "disks_all_full", "disks_all_stalled", "syncs_failed",
}  # fmt: skip


def draw_schedule(*, seed: int, duration: timedelta, count: int, kinds: list[str] | None = None) -> list[Fault]:
    """Draws `count` faults, which start at random times within `duration` and may overlap; ordered by start time."""
    rng = random.Random(f"faults-{seed}")
    names = kinds or sorted(MAX_DURATION_S)
    schedule = []
    for number in range(count):
        kind = rng.choice(names)
        at = ms(rng.randrange(int(duration / ms(1))))
        max_s = MAX_DURATION_S[kind]
        schedule.append(Fault(at=at, duration=ms(rng.randrange(300, max_s * 1000 + 300)), kind=kind, number=number))
    return sorted(schedule, key=lambda fault: fault.at)


def model_variants(*, tree: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns configuration trees with each combination of model and adapter that `draw_tree` can give a lane, other
    than the one in `tree`."""
    variants = []
    for next_model, trial in ((False, True), (True, False), (True, True)):
        variant = copy.deepcopy(tree)
        for values in variant["lanes"].values():
            if next_model:
                values["model"] = tree["defaults"]["model"] + "-next"
            if trial:
                values["adapter"] = "trial"
        variants.append(variant)
    return variants


class FaultInjector:
    """Applies faults to a fleet.

    Invariants: each fault undoes its own effects when its duration is over; at most one fault of core machines is
    active at a time (`core_fault_active`), because the fleet tolerates the loss of one core machine. `config_changes`
    records each configuration sent and its outcome, `leave_notices` the time and incarnation of each engine told to
    leave, `frozen_edges` the HTTP address and the period of each frozen edge, `repaired_at` the time of the latest
    repair; `rate_factor` scales the arrival rate, and the load generator reads `mix_bias`."""

    def __init__(self, *, fleet: SimFleet, seed: int) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.seed = seed
        self.config_changes: list[ConfigChange] = []
        self.leave_notices: list[tuple[timedelta, str]] = []
        self.rate_factor = 1.0
        self.mix_bias = ""
        self.core_fault_active = False
        self.replacements = 0
        self.foreign_engines: list[Any] = []
        self.frozen_edges: list[tuple[str, timedelta, timedelta]] = []
        self.repaired_at = timedelta()

    def run(self, *, fault: Fault) -> None:
        """Applies a fault; returns when it is over."""
        rng = random.Random(f"{self.seed}-{fault.number}-{fault.kind}")
        getattr(self, "_" + fault.kind)(rng=rng, duration=fault.duration)
        if fault.kind not in CORE_FAULT_KINDS:
            self._note_repair()

    def arrival_rate(self, _: timedelta) -> float:
        """Returns the current arrival rate in requests per second."""
        return self.fleet.plan.requests_per_second * self.rate_factor

    def _note_repair(self) -> None:
        """Records that the machines are back; the recovery time counts from the last call."""
        self.repaired_at = self.world.now()

    def _sleep(self, span: timedelta) -> None:
        eventlet.sleep(span.total_seconds())

    # Load.

    def _crowd(self, *, rng: random.Random, duration: timedelta) -> None:
        self.rate_factor = rng.uniform(2, 4)
        self._sleep(duration)
        self.rate_factor = 1.0

    def _swing_to_prompts(self, *, rng: random.Random, duration: timedelta) -> None:
        self._swing(to="prompts", duration=duration)

    def _swing_to_answers(self, *, rng: random.Random, duration: timedelta) -> None:
        self._swing(to="answers", duration=duration)

    def _swing(self, *, to: str, duration: timedelta) -> None:
        self.mix_bias = to
        self._sleep(duration)
        self.mix_bias = ""

    # Engines.

    def _draw_engine(self, *, rng: random.Random) -> dict[str, Any]:
        return rng.choice(self.fleet.plan.engines)

    def _restart_engine(self, *, engine: dict[str, Any]) -> None:
        ip, _, port = engine["address"].partition(":")
        if not self.fleet.hosts[engine["engine"]].alive and (ip, int(port)) not in self.world.listeners:
            self.fleet.start_engine(engine=engine)

    def _engine_crash(self, *, rng: random.Random, duration: timedelta) -> None:
        engine = self._draw_engine(rng=rng)
        self.fleet.hosts[engine["engine"]].kill()
        self._sleep(duration)
        self._restart_engine(engine=engine)

    def _engine_dark(self, *, rng: random.Random, duration: timedelta) -> None:
        self._isolate(host=self.fleet.hosts[self._draw_engine(rng=rng)["engine"]], duration=duration)

    def _engine_frozen(self, *, rng: random.Random, duration: timedelta) -> None:
        self._freeze(host=self.fleet.hosts[self._draw_engine(rng=rng)["engine"]], duration=duration)

    def _leave(self, *, engine: dict[str, Any]) -> None:
        emulator = self.fleet.current_engines[engine["engine"]]
        if emulator.host.alive:
            emulator.leaving = True
            emulator.record_event(what="leaving")
            self.leave_notices.append((self.world.now(), emulator.incarnation))

    def _engines_rolled(self, *, rng: random.Random, duration: timedelta) -> None:
        """Replaces engines one by one: each is told to leave, killed a while later and started again."""
        for engine in rng.sample(self.fleet.plan.engines, min(3, len(self.fleet.plan.engines))):
            self._leave(engine=engine)
            self._sleep(duration / 6)
            self.fleet.hosts[engine["engine"]].kill()
            self._sleep(duration / 6)
            self._restart_engine(engine=engine)

    def _address_reused(self, *, rng: random.Random, duration: timedelta) -> None:
        """Kills an engine; an engine of another service takes over its address before the engine list is updated."""
        engine = self._draw_engine(rng=rng)
        if not self.fleet.hosts[engine["engine"]].alive:
            return
        self.fleet.hosts[engine["engine"]].kill()
        other = {**engine, "engine": f"other-{len(self.foreign_engines)}", "service": "other"}
        self.fleet.start_engine(engine=other)
        self.foreign_engines.append(other)
        self._sleep(duration)
        self.fleet.hosts[other["engine"]].kill()
        self._sleep(ms(100))
        self._restart_engine(engine=engine)

    def _links_slow(self, *, rng: random.Random, duration: timedelta) -> None:
        ips = [engine["address"].partition(":")[0] for engine in self.fleet.plan.engines]
        delays = {(a, b): ms(rng.randrange(50, 400)) for a in ips for b in ips if a != b}
        self.world.extra_latency.update(delays)
        self._sleep(duration)
        for pair in delays:
            self.world.extra_latency.pop(pair, None)

    def _memory_lapsed(self, *, rng: random.Random, duration: timedelta) -> None:
        for name in sorted(self.fleet.current_engines):
            emulator = self.fleet.current_engines[name]
            if emulator.host.alive:
                emulator.expire_kv_cache()

    # Processes and machines.

    def _restart(self, *, names: list[str], duration: timedelta) -> None:
        """Kills the daemons of these names and starts them again after `duration`."""
        for name in names:
            self.fleet.hosts[name].kill()
        self._sleep(duration)
        for daemon in [*self.fleet.plan.cores, *self.fleet.plan.edges]:
            if daemon["name"] in names and not self.fleet.hosts[daemon["name"]].alive:
                start = self.fleet.start_core if daemon in self.fleet.plan.cores else self.fleet.start_edge
                start(daemon=daemon)

    def _edge_names(self) -> list[str]:
        return [edge["name"] for edge in self.fleet.plan.edges]

    def _core_names(self) -> list[str]:
        return [core["name"] for core in self.fleet.plan.cores]

    def _edge_killed(self, *, rng: random.Random, duration: timedelta) -> None:
        self._restart(names=[rng.choice(self._edge_names())], duration=duration)

    def _many_edges_killed(self, *, rng: random.Random, duration: timedelta) -> None:
        edges = self._edge_names()
        self._restart(names=rng.sample(edges, len(edges) * 2 // 3), duration=duration)

    def _all_killed(self, *, rng: random.Random, duration: timedelta) -> None:
        self._restart(names=[*self._core_names(), *self._edge_names()], duration=duration)

    def _freeze(self, *, host: Any, duration: timedelta) -> None:
        if not host.frozen and host.alive:
            self._note_frozen_edge(host=host, duration=duration)
            host.freeze()
            self._sleep(duration)
            host.thaw()

    def _note_frozen_edge(self, *, host: Any, duration: timedelta) -> None:
        now = self.world.now()
        for edge in self.fleet.plan.edges:
            if edge["name"] == host.name:
                self.frozen_edges.append((edge["http"], now, now + duration))

    def _edge_frozen(self, *, rng: random.Random, duration: timedelta) -> None:
        self._freeze(host=self.fleet.hosts[rng.choice(self._edge_names())], duration=duration)

    def _core_frozen(self, *, rng: random.Random, duration: timedelta) -> None:
        name = rng.choice(self._core_names())
        if self._begin_core_fault():
            self._freeze(host=self.fleet.hosts[name], duration=duration)
            self._end_core_fault()

    def _begin_core_fault(self) -> bool:
        if self.core_fault_active:
            return False
        self.core_fault_active = True
        return True

    def _end_core_fault(self) -> None:
        """Allows the next core fault once all cores are in the view again, or after 21 s."""
        self._note_repair()
        self._sleep(SECOND)
        for _ in range(200):
            if self._all_cores_in_view():
                break
            self._sleep(ms(100))
        self.core_fault_active = False

    def _all_cores_in_view(self) -> bool:
        daemons = [self.fleet.daemons.get(name) for name in self._core_names()]
        if not all(self.fleet.hosts[name].alive for name in self._core_names()):
            return False
        agreements = [getattr(daemon, "agreement", None) for daemon in daemons]
        disks = sorted(agreement.own_disk for agreement in agreements if agreement is not None)
        return len(disks) == len(daemons) and all(
            agreement.view is not None and sorted(agreement.view.chain) == disks for agreement in agreements
        )

    def _core_killed(self, *, rng: random.Random, duration: timedelta) -> None:
        name = rng.choice(self._core_names())
        if self._begin_core_fault():
            self._restart(names=[name], duration=duration)
            self._end_core_fault()

    def _core_replaced(self, *, rng: random.Random, duration: timedelta) -> None:
        """Removes a core machine for good; one with an empty disk replaces it under its name at a new address."""
        index = rng.randrange(len(self.fleet.plan.cores))
        if not self._begin_core_fault():
            return
        core = self.fleet.plan.cores[index]
        self.fleet.hosts[core["name"]].kill()
        self._sleep(duration)
        self.replacements += 1
        ip = core["address"].partition(":")[0].rsplit(".", 1)[0] + f".{200 + self.replacements}"
        moved = {**core, "address": f"{ip}:7100", "http": f"{ip}:7200"}
        self.fleet.plan.cores[index] = moved
        self.fleet.start_core(daemon=moved)
        self._end_core_fault()

    def _disk_lost_after_ack(self, *, rng: random.Random, duration: timedelta) -> None:
        """Sends a configuration change; right after its outcome a core machine loses its disk."""
        name = rng.choice(self._core_names())
        if not self._begin_core_fault():
            return
        self._put(rng=rng)
        self.fleet.hosts[name].kill()
        self.fleet.hosts[name].machine.disk.files.clear()
        self._restart(names=[name], duration=duration)
        self._end_core_fault()

    def _seeds_swapped(self, *, rng: random.Random, duration: timedelta) -> None:
        """Replaces the seed addresses by those of other daemons, for daemons that start from now on."""
        others = rng.sample(self.fleet.plan.edges, min(3, len(self.fleet.plan.edges)))
        self.fleet.seeds = [edge["address"] for edge in others]
        self._restart(names=[rng.choice(self._edge_names())], duration=duration)

    # Disks.

    def _disk_slow(self, *, rng: random.Random, duration: timedelta) -> None:
        disk = self.fleet.hosts[rng.choice(self._core_names())].machine.disk
        before, disk.delay = disk.delay, ms(rng.randrange(100, 800))
        self._sleep(duration)
        disk.delay = ms(2) if before > ms(50) else before

    def _disk_full(self, *, rng: random.Random, duration: timedelta) -> None:
        name = rng.choice(self._core_names())
        if not self._begin_core_fault():
            return
        disk = self.fleet.hosts[name].machine.disk
        disk.limit_bytes = sum(len(content) for content in disk.files.values()) + rng.randrange(300)
        self._sleep(duration)
        disk.limit_bytes = 1 << 40
        self._end_core_fault()

    def _disk_stalled(self, *, rng: random.Random, duration: timedelta) -> None:
        name = rng.choice(self._core_names())
        if not self._begin_core_fault():
            return
        disk = self.fleet.hosts[name].machine.disk
        disk.stalled = True
        self._sleep(duration)
        disk.stalled = False
        self._end_core_fault()

    def _core_disks(self) -> list[Any]:
        return [self.fleet.hosts[name].machine.disk for name in self._core_names()]

    def _disks_all_full(self, *, rng: random.Random, duration: timedelta) -> None:
        if self._begin_core_fault():
            for disk in self._core_disks():
                disk.limit_bytes = sum(len(content) for content in disk.files.values()) + rng.randrange(300)
            self._sleep(duration)
            for disk in self._core_disks():
                disk.limit_bytes = 1 << 40
            self._end_core_fault()

    def _disks_all_stalled(self, *, rng: random.Random, duration: timedelta) -> None:
        if self._begin_core_fault():
            for disk in self._core_disks():
                disk.stalled = True
            self._sleep(duration)
            for disk in self._core_disks():
                disk.stalled = False
            self._end_core_fault()

    def _syncs_failed(self, *, rng: random.Random, duration: timedelta) -> None:
        """Lets fsync fail on a core's disk, although data may have been written; at the end the core is restarted."""
        name = rng.choice(self._core_names())
        if not self._begin_core_fault():
            return
        disk = self.fleet.hosts[name].machine.disk
        disk.syncs_fail = True
        for _ in range(3):
            self._put(rng=rng)
            self._sleep(duration / 3)
        self.fleet.hosts[name].kill()
        disk.syncs_fail = False
        self._restart(names=[name], duration=duration / 4)
        self._end_core_fault()

    # Clocks and network.

    def _all_restarted_after_jump(self, *, rng: random.Random, duration: timedelta) -> None:
        """Shifts the wall clocks of the core machines by days and restarts all daemons."""
        for name in self._core_names():
            self.fleet.hosts[name].machine.wall_offset += timedelta(days=rng.choice((-3, 2, 4)))
        self._all_killed(rng=rng, duration=duration)

    def _packets_doubled(self, *, rng: random.Random, duration: timedelta) -> None:
        self.world.duplicate_percent, self.world.jitter = rng.uniform(10, 60), ms(rng.randrange(10, 300))
        self._sleep(duration)
        self.world.duplicate_percent, self.world.jitter = 0.0, timedelta()

    def _delays_one_way(self, *, rng: random.Random, duration: timedelta) -> None:
        """Makes the latency between daemons asymmetric, which clock synchronization cannot detect."""
        ips = self._ips(daemons=[*self.fleet.plan.cores, *self.fleet.plan.edges])
        delays = {(a, b): ms(rng.randrange(20, 150)) for a in ips for b in ips if a < b}
        self.world.extra_latency.update(delays)
        self._sleep(duration)
        for pair in delays:
            self.world.extra_latency.pop(pair, None)

    def _daemon_cut_one_way(self, *, rng: random.Random, duration: timedelta) -> None:
        ips = self._ips(daemons=[*self.fleet.plan.cores, *self.fleet.plan.edges])
        edge = rng.choice(self._ips(daemons=self.fleet.plan.edges))
        outgoing = rng.random() < 0.5
        self._cut(pairs={(edge, ip) if outgoing else (ip, edge) for ip in ips if ip != edge}, duration=duration)

    def _cores_apart(self, *, rng: random.Random, duration: timedelta) -> None:
        ips = self._ips(daemons=self.fleet.plan.cores)
        if self._begin_core_fault():
            self._cut(pairs={(a, b) for a in ips for b in ips if a != b}, duration=duration)
            self._end_core_fault()

    def _two_cores_killed(self, *, rng: random.Random, duration: timedelta) -> None:
        if self._begin_core_fault():
            self._restart(names=rng.sample(self._core_names(), 2), duration=duration)
            self._end_core_fault()

    def _crowd_and_lapse(self, *, rng: random.Random, duration: timedelta) -> None:
        self.rate_factor = rng.uniform(2, 3)
        self._sleep(duration / 2)
        self._memory_lapsed(rng=rng, duration=duration)
        self._sleep(duration / 2)
        self.rate_factor = 1.0

    def _stopped_between(self, *, rng: random.Random, duration: timedelta) -> None:
        """Freezes an edge at one of its next 400 clock readings and sends, so that a pause can fall between any two."""
        names = self._edge_names()
        host = self.fleet.hosts[rng.choice(names)]
        host.schedule_pause(steps=rng.randrange(1, 400), duration=duration)
        self._note_frozen_edge(host=host, duration=duration + SECOND)
        self._sleep(duration + SECOND)

    def run_final(self, *, kind: str, rng: random.Random) -> None:
        """Injects a fault of FINAL_FAULT_KINDS at the end of a run."""
        if kind == "none":
            return
        if kind == "disk_lost_and_all_killed":
            name = rng.choice(self._core_names())
            self.fleet.hosts[name].kill()
            self.fleet.hosts[name].machine.disk.files.clear()
        self._all_killed(rng=rng, duration=SECOND)

    def _wall_jumped(self, *, rng: random.Random, duration: timedelta) -> None:
        name = rng.choice([*self._core_names(), *self._edge_names()])
        self.fleet.hosts[name].machine.wall_offset += SECOND * rng.choice((-1, 1)) * rng.uniform(1, 7200)

    def _ips(self, *, daemons: list[dict[str, Any]]) -> list[str]:
        return [daemon["address"].partition(":")[0] for daemon in daemons]

    def _cut(self, *, pairs: set[tuple[str, str]], duration: timedelta) -> None:
        added = pairs - self.world.cuts
        self.world.cuts |= added
        self._sleep(duration)
        self.world.cuts -= added

    def _core_split(self, *, rng: random.Random, duration: timedelta) -> None:
        ips = self._ips(daemons=self.fleet.plan.cores)
        isolated = rng.choice(ips)
        if self._begin_core_fault():
            pairs = {(a, b) for a in ips for b in ips if a != b and isolated in (a, b)}
            self._cut(pairs=pairs, duration=duration)
            self._end_core_fault()

    def _core_cut_one_way(self, *, rng: random.Random, duration: timedelta) -> None:
        ips = self._ips(daemons=self.fleet.plan.cores)
        isolated = rng.choice(ips)
        if self._begin_core_fault():
            self._cut(pairs={(isolated, other) for other in ips if other != isolated}, duration=duration)
            self._end_core_fault()

    def _cores_cut_off(self, *, rng: random.Random, duration: timedelta) -> None:
        cores = self._ips(daemons=self.fleet.plan.cores)
        edges = self._ips(daemons=self.fleet.plan.edges)
        self._cut(
            pairs={(a, b) for a in cores for b in edges} | {(b, a) for a in cores for b in edges}, duration=duration
        )

    def _isolate(self, *, host: Any, duration: timedelta) -> None:
        host.machine.isolated = True
        self._sleep(duration)
        host.machine.isolated = False

    def _machine_isolated(self, *, rng: random.Random, duration: timedelta) -> None:
        self._isolate(host=self.fleet.hosts[rng.choice(self._edge_names())], duration=duration)

    def _packets_lost(self, *, rng: random.Random, duration: timedelta) -> None:
        self.world.loss_percent = rng.uniform(5, 40)
        self._sleep(duration)
        self.world.loss_percent = 0.0

    # Operators and configuration.

    def draw_tree(self, *, rng: random.Random) -> dict[str, Any]:
        """Returns a variant of the plan's tree; the horizon always differs, to tell configurations apart."""
        tree = copy.deepcopy(self.fleet.plan.tree)
        tree["defaults"]["horizonMs"] += rng.randrange(1, 900)
        lane = tree["lanes"][rng.choice(sorted(tree["lanes"]))]
        service = tree["services"][rng.choice(sorted(tree["services"]))]
        match rng.choice(("horizon", "model", "adapter", "urgency", "extra", "run", "added")):
            case "model":
                lane["model"] = tree["defaults"]["model"] + "-next"
            case "adapter":
                lane["adapter"] = "trial"
            case "urgency":
                lane["urgency"] = rng.randrange(10)
            case "extra":
                service["extraPercent"] = rng.choice((5, 20))
            case "run" if lane.get("run") != "once":
                lane["run"] = rng.choice(("once", "repeatable", "resumable"))
            case "added":
                tree["lanes"]["added"] = {"service": sorted(tree["services"])[0], "urgency": 9}
        return tree

    def _put(self, *, rng: random.Random, tree: dict[str, Any] | None = None, mark: int | None = None) -> int:
        """Sends a configuration based on `mark`, by default a drawn one based on the current one, to a random core;
        records it in `config_changes` and returns the HTTP status."""
        tree = tree or self.draw_tree(rng=rng)
        core = rng.choice(self.fleet.plan.cores)["http"]
        if mark is None:
            status, body = self.fleet.request(address=core, method="GET", path="/config")
            if status != 200:
                return status
            mark = body["mark"]
        sent = self.world.now()
        headers = {"If-Match": f'"{mark}"'}
        status, body = self.fleet.request(address=core, method="PUT", path="/config", fields=tree, headers=headers)
        mark_taken = body.get("mark", 0) if status == 200 else 0
        self.config_changes.append(
            ConfigChange(sent=sent, ended=self.world.now(), tree=tree, status=status, mark=mark_taken)
        )
        return status

    def _operators_race(self, *, rng: random.Random, duration: timedelta) -> None:
        """Sends two changes based on the same mark at once, and an invalid tree as well."""
        status, body = self.fleet.request_any_core(method="GET", path="/config")
        if status != 200:
            return
        first = eventlet.spawn(self._put, rng=rng, mark=body["mark"])
        second = eventlet.spawn(self._put, rng=rng, mark=body["mark"])
        invalid = {**self.draw_tree(rng=rng), "lanes": {"subjects": {"service": "nowhere"}}}
        self._put(rng=rng, tree=invalid, mark=body["mark"])
        first.wait()
        second.wait()

    def _lane_moved(self, *, rng: random.Random, duration: timedelta) -> None:
        """Moves a lane to another service or deletes it, and restores it later."""
        tree = self.draw_tree(rng=rng)
        lane = rng.choice(sorted(self.fleet.plan.tree["lanes"]))
        if rng.random() < 0.5:
            tree["services"]["spare"] = {}
            tree["lanes"][lane] = {**tree["lanes"][lane], "service": "spare"}
        else:
            del tree["lanes"][lane]
        self._put(rng=rng, tree=tree)
        self._sleep(duration)
        for _ in range(50):
            if self._put(rng=rng) == 200:
                return
            self._sleep(ms(200))

    def _configurations_burst(self, *, rng: random.Random, duration: timedelta) -> None:
        for _ in range(6):
            self._put(rng=rng)
            self._sleep(duration / 6)
