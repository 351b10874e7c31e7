"""The brief's failures, as events drawn from a seed and carried out on a simulated fleet."""

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
    """One failure: what, to whom, from when, for how long. Invariant: `number` seeds its own choices, so that
    leaving others out does not change it."""

    at: timedelta
    lasts: timedelta
    kind: str
    number: int

    def __str__(self) -> str:
        return f"{self.at.total_seconds():7.2f}s {self.kind} for {self.lasts.total_seconds():.2f}s (#{self.number})"


# Each kind and the longest it lasts, in seconds.
KINDS = {
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
# What the brief calls a final fault: after it only what is kept is looked at.
FINAL_KINDS = ("none", "all_killed", "disk_lost_and_all_killed")


# These wait for the cores to stand together again; the machines are back before that.
CORE_KINDS = {
    "core_frozen", "core_killed", "core_replaced", "disk_lost_after_ack", "disk_full", "disk_stalled", "core_split",
    "core_cut_one_way", "two_cores_killed", "cores_apart", "disks_all_full", "disks_all_stalled", "syncs_failed",
}  # fmt: skip


def draw(*, seed: int, lasts: timedelta, count: int, kinds: list[str] | None = None) -> list[Fault]:
    """A schedule: faults spread over the time, some of them at once."""
    chance = random.Random(f"faults-{seed}")
    names = kinds or sorted(KINDS)
    made = []
    for number in range(count):
        kind = chance.choice(names)
        at = ms(chance.randrange(int(lasts / ms(1))))
        longest = KINDS[kind]
        made.append(Fault(at=at, lasts=ms(chance.randrange(300, longest * 1000 + 300)), kind=kind, number=number))
    return sorted(made, key=lambda fault: fault.at)


def twins(*, tree: dict[str, Any]) -> list[dict[str, Any]]:
    """The models and adapters that a drawn configuration may give a lane, as whole trees."""
    made = []
    for next_model, trial in ((False, True), (True, False), (True, True)):
        twin = copy.deepcopy(tree)
        for values in twin["lanes"].values():
            if next_model:
                values["model"] = tree["defaults"]["model"] + "-next"
            if trial:
                values["adapter"] = "trial"
        made.append(twin)
    return made


class Doer:
    """Carries faults out. Invariants: what one fault breaks it mends itself when its time is over; at most one
    core machine is down, wiped or ailing at a time by faults of that sort, as the brief's users must survive."""

    def __init__(self, *, fleet: SimFleet, seed: int) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.seed = seed
        self.told: list[ConfigChange] = []
        self.leaving: list[tuple[timedelta, str]] = []
        self.rate = 1.0
        self.mix_bias = ""
        self.core_down = False
        self.replaced = 0
        self.foreign: list[Any] = []
        self.still: list[tuple[str, timedelta, timedelta]] = []
        self.mended = timedelta()

    def run(self, *, fault: Fault) -> None:
        chance = random.Random(f"{self.seed}-{fault.number}-{fault.kind}")
        getattr(self, "_" + fault.kind)(chance=chance, lasts=fault.lasts)
        if fault.kind not in CORE_KINDS:
            self._mended()

    def wanted(self, _: timedelta) -> float:
        """The rate of arrivals now."""
        return self.fleet.plan.requests_per_second * self.rate

    def _mended(self) -> None:
        """The machines are back: from here on the time to recover counts."""
        self.mended = self.world.now()

    def _sleep(self, span: timedelta) -> None:
        eventlet.sleep(span.total_seconds())

    # Load.

    def _crowd(self, *, chance: random.Random, lasts: timedelta) -> None:
        self.rate = chance.uniform(2, 4)
        self._sleep(lasts)
        self.rate = 1.0

    def _swing_to_prompts(self, *, chance: random.Random, lasts: timedelta) -> None:
        self._swing(to="prompts", lasts=lasts)

    def _swing_to_answers(self, *, chance: random.Random, lasts: timedelta) -> None:
        self._swing(to="answers", lasts=lasts)

    def _swing(self, *, to: str, lasts: timedelta) -> None:
        self.mix_bias = to
        self._sleep(lasts)
        self.mix_bias = ""

    # Engines.

    def _engine(self, *, chance: random.Random) -> dict[str, Any]:
        return chance.choice(self.fleet.plan.engines)

    def _restart_engine(self, *, engine: dict[str, Any]) -> None:
        ip, _, port = engine["address"].partition(":")
        if not self.fleet.hosts[engine["engine"]].alive and (ip, int(port)) not in self.world.listeners:
            self.fleet.start_engine(engine=engine)

    def _engine_crash(self, *, chance: random.Random, lasts: timedelta) -> None:
        engine = self._engine(chance=chance)
        self.fleet.hosts[engine["engine"]].kill()
        self._sleep(lasts)
        self._restart_engine(engine=engine)

    def _engine_dark(self, *, chance: random.Random, lasts: timedelta) -> None:
        self._isolate(host=self.fleet.hosts[self._engine(chance=chance)["engine"]], lasts=lasts)

    def _engine_frozen(self, *, chance: random.Random, lasts: timedelta) -> None:
        self._freeze(host=self.fleet.hosts[self._engine(chance=chance)["engine"]], lasts=lasts)

    def _leave(self, *, engine: dict[str, Any]) -> None:
        made = self.fleet.current_engines[engine["engine"]]
        if made.host.alive:
            made.leaving = True
            made.record_event(what="leaving")
            self.leaving.append((self.world.now(), made.incarnation))

    def _engines_rolled(self, *, chance: random.Random, lasts: timedelta) -> None:
        """Replaced one by one: told to leave, ended a while later, started anew."""
        for engine in chance.sample(self.fleet.plan.engines, min(3, len(self.fleet.plan.engines))):
            self._leave(engine=engine)
            self._sleep(lasts / 6)
            self.fleet.hosts[engine["engine"]].kill()
            self._sleep(lasts / 6)
            self._restart_engine(engine=engine)

    def _address_reused(self, *, chance: random.Random, lasts: timedelta) -> None:
        """An engine ends without a word, and another service's takes its address before the list says so."""
        engine = self._engine(chance=chance)
        if not self.fleet.hosts[engine["engine"]].alive:
            return
        self.fleet.hosts[engine["engine"]].kill()
        other = {**engine, "engine": f"other-{len(self.foreign)}", "service": "other"}
        self.fleet.start_engine(engine=other)
        self.foreign.append(other)
        self._sleep(lasts)
        self.fleet.hosts[other["engine"]].kill()
        self._sleep(ms(100))
        self._restart_engine(engine=engine)

    def _links_slow(self, *, chance: random.Random, lasts: timedelta) -> None:
        ips = [engine["address"].partition(":")[0] for engine in self.fleet.plan.engines]
        slow = {(a, b): ms(chance.randrange(50, 400)) for a in ips for b in ips if a != b}
        self.world.slow.update(slow)
        self._sleep(lasts)
        for pair in slow:
            self.world.slow.pop(pair, None)

    def _memory_lapsed(self, *, chance: random.Random, lasts: timedelta) -> None:
        for name in sorted(self.fleet.current_engines):
            made = self.fleet.current_engines[name]
            if made.host.alive:
                made.expire_kv_cache()

    # Processes and machines.

    def _kill_for(self, *, names: list[str], lasts: timedelta) -> None:
        for name in names:
            self.fleet.hosts[name].kill()
        self._sleep(lasts)
        for daemon in [*self.fleet.plan.cores, *self.fleet.plan.edges]:
            if daemon["name"] in names and not self.fleet.hosts[daemon["name"]].alive:
                start = self.fleet.start_core if daemon in self.fleet.plan.cores else self.fleet.start_edge
                start(daemon=daemon)

    def _edges(self) -> list[str]:
        return [edge["name"] for edge in self.fleet.plan.edges]

    def _cores(self) -> list[str]:
        return [core["name"] for core in self.fleet.plan.cores]

    def _edge_killed(self, *, chance: random.Random, lasts: timedelta) -> None:
        self._kill_for(names=[chance.choice(self._edges())], lasts=lasts)

    def _many_edges_killed(self, *, chance: random.Random, lasts: timedelta) -> None:
        edges = self._edges()
        self._kill_for(names=chance.sample(edges, len(edges) * 2 // 3), lasts=lasts)

    def _all_killed(self, *, chance: random.Random, lasts: timedelta) -> None:
        self._kill_for(names=[*self._cores(), *self._edges()], lasts=lasts)

    def _freeze(self, *, host: Any, lasts: timedelta) -> None:
        if not host.frozen and host.alive:
            self._note_still(host=host, lasts=lasts)
            host.freeze()
            self._sleep(lasts)
            host.thaw()

    def _note_still(self, *, host: Any, lasts: timedelta) -> None:
        now = self.world.now()
        for edge in self.fleet.plan.edges:
            if edge["name"] == host.name:
                self.still.append((edge["http"], now, now + lasts))

    def _edge_frozen(self, *, chance: random.Random, lasts: timedelta) -> None:
        self._freeze(host=self.fleet.hosts[chance.choice(self._edges())], lasts=lasts)

    def _core_frozen(self, *, chance: random.Random, lasts: timedelta) -> None:
        name = chance.choice(self._cores())
        if self._take_core():
            self._freeze(host=self.fleet.hosts[name], lasts=lasts)
            self._give_core_back()

    def _take_core(self) -> bool:
        if self.core_down:
            return False
        self.core_down = True
        return True

    def _give_core_back(self) -> None:
        """Only once the core machines stand together again may the next of them fail."""
        self._mended()
        self._sleep(SECOND)
        for _ in range(200):
            if self._cores_whole():
                break
            self._sleep(ms(100))
        self.core_down = False

    def _cores_whole(self) -> bool:
        daemons = [self.fleet.daemons.get(name) for name in self._cores()]
        if not all(self.fleet.hosts[name].alive for name in self._cores()):
            return False
        agreements = [getattr(daemon, "agreement", None) for daemon in daemons]
        disks = sorted(agreement.me for agreement in agreements if agreement is not None)
        return len(disks) == len(daemons) and all(
            agreement.view is not None and sorted(agreement.view.chain) == disks for agreement in agreements
        )

    def _core_killed(self, *, chance: random.Random, lasts: timedelta) -> None:
        name = chance.choice(self._cores())
        if self._take_core():
            self._kill_for(names=[name], lasts=lasts)
            self._give_core_back()

    def _core_replaced(self, *, chance: random.Random, lasts: timedelta) -> None:
        """A core machine is gone for good; an empty one comes at a new address, under its name."""
        place = chance.randrange(len(self.fleet.plan.cores))
        if not self._take_core():
            return
        core = self.fleet.plan.cores[place]
        self.fleet.hosts[core["name"]].kill()
        self._sleep(lasts)
        self.replaced += 1
        ip = core["address"].partition(":")[0].rsplit(".", 1)[0] + f".{200 + self.replaced}"
        moved = {**core, "address": f"{ip}:7100", "http": f"{ip}:7200"}
        self.fleet.plan.cores[place] = moved
        self.fleet.start_core(daemon=moved)
        self._give_core_back()

    def _disk_lost_after_ack(self, *, chance: random.Random, lasts: timedelta) -> None:
        """A change is acknowledged, and at once a core machine loses its disk."""
        name = chance.choice(self._cores())
        if not self._take_core():
            return
        self._put(chance=chance)
        self.fleet.hosts[name].kill()
        self.fleet.hosts[name].machine.disk.files.clear()
        self._kill_for(names=[name], lasts=lasts)
        self._give_core_back()

    def _seeds_swapped(self, *, chance: random.Random, lasts: timedelta) -> None:
        """The seed addresses point to other daemons from now on; those that start later read them."""
        others = chance.sample(self.fleet.plan.edges, min(3, len(self.fleet.plan.edges)))
        self.fleet.seeds = [edge["address"] for edge in others]
        self._kill_for(names=[chance.choice(self._edges())], lasts=lasts)

    # Disks.

    def _disk_slow(self, *, chance: random.Random, lasts: timedelta) -> None:
        disk = self.fleet.hosts[chance.choice(self._cores())].machine.disk
        before, disk.delay = disk.delay, ms(chance.randrange(100, 800))
        self._sleep(lasts)
        disk.delay = ms(2) if before > ms(50) else before

    def _disk_full(self, *, chance: random.Random, lasts: timedelta) -> None:
        name = chance.choice(self._cores())
        if not self._take_core():
            return
        disk = self.fleet.hosts[name].machine.disk
        disk.limitBytes = sum(len(kept) for kept in disk.files.values()) + chance.randrange(300)
        self._sleep(lasts)
        disk.limitBytes = 1 << 40
        self._give_core_back()

    def _disk_stalled(self, *, chance: random.Random, lasts: timedelta) -> None:
        name = chance.choice(self._cores())
        if not self._take_core():
            return
        disk = self.fleet.hosts[name].machine.disk
        disk.stalled = True
        self._sleep(lasts)
        disk.stalled = False
        self._give_core_back()

    def _disks(self) -> list[Any]:
        return [self.fleet.hosts[name].machine.disk for name in self._cores()]

    def _disks_all_full(self, *, chance: random.Random, lasts: timedelta) -> None:
        if self._take_core():
            for disk in self._disks():
                disk.limitBytes = sum(len(kept) for kept in disk.files.values()) + chance.randrange(300)
            self._sleep(lasts)
            for disk in self._disks():
                disk.limitBytes = 1 << 40
            self._give_core_back()

    def _disks_all_stalled(self, *, chance: random.Random, lasts: timedelta) -> None:
        if self._take_core():
            for disk in self._disks():
                disk.stalled = True
            self._sleep(lasts)
            for disk in self._disks():
                disk.stalled = False
            self._give_core_back()

    def _syncs_failed(self, *, chance: random.Random, lasts: timedelta) -> None:
        """A core's disk takes what is written and fails to sync it; at the end that core is killed and starts anew."""
        name = chance.choice(self._cores())
        if not self._take_core():
            return
        disk = self.fleet.hosts[name].machine.disk
        disk.syncs_fail = True
        for _ in range(3):
            self._put(chance=chance)
            self._sleep(lasts / 3)
        self.fleet.hosts[name].kill()
        disk.syncs_fail = False
        self._kill_for(names=[name], lasts=lasts / 4)
        self._give_core_back()

    # Clocks and network.

    def _all_restarted_after_jump(self, *, chance: random.Random, lasts: timedelta) -> None:
        """The wall clocks of the core machines go days wrong, and everything is restarted."""
        for name in self._cores():
            self.fleet.hosts[name].machine.wall_offset += timedelta(days=chance.choice((-3, 2, 4)))
        self._all_killed(chance=chance, lasts=lasts)

    def _packets_doubled(self, *, chance: random.Random, lasts: timedelta) -> None:
        self.world.doubledPercent, self.world.jitter = chance.uniform(10, 60), ms(chance.randrange(10, 300))
        self._sleep(lasts)
        self.world.doubledPercent, self.world.jitter = 0.0, timedelta()

    def _delays_one_way(self, *, chance: random.Random, lasts: timedelta) -> None:
        """Between daemons, one way is slower than the other: what the clock cannot see."""
        ips = self._ips(daemons=[*self.fleet.plan.cores, *self.fleet.plan.edges])
        slow = {(a, b): ms(chance.randrange(20, 150)) for a in ips for b in ips if a < b}
        self.world.slow.update(slow)
        self._sleep(lasts)
        for pair in slow:
            self.world.slow.pop(pair, None)

    def _daemon_cut_one_way(self, *, chance: random.Random, lasts: timedelta) -> None:
        ips = self._ips(daemons=[*self.fleet.plan.cores, *self.fleet.plan.edges])
        edge = chance.choice(self._ips(daemons=self.fleet.plan.edges))
        away = chance.random() < 0.5
        self._cut(pairs={(edge, ip) if away else (ip, edge) for ip in ips if ip != edge}, lasts=lasts)

    def _cores_apart(self, *, chance: random.Random, lasts: timedelta) -> None:
        ips = self._ips(daemons=self.fleet.plan.cores)
        if self._take_core():
            self._cut(pairs={(a, b) for a in ips for b in ips if a != b}, lasts=lasts)
            self._give_core_back()

    def _two_cores_killed(self, *, chance: random.Random, lasts: timedelta) -> None:
        if self._take_core():
            self._kill_for(names=chance.sample(self._cores(), 2), lasts=lasts)
            self._give_core_back()

    def _crowd_and_lapse(self, *, chance: random.Random, lasts: timedelta) -> None:
        self.rate = chance.uniform(2, 3)
        self._sleep(lasts / 2)
        self._memory_lapsed(chance=chance, lasts=lasts)
        self._sleep(lasts / 2)
        self.rate = 1.0

    def _stopped_between(self, *, chance: random.Random, lasts: timedelta) -> None:
        """A daemon's machine stands still at one of its next reads of the time or sends, wherever that is."""
        names = self._edges()
        host = self.fleet.hosts[chance.choice(names)]
        host.stop(at=chance.randrange(1, 400), lasts=lasts)
        self._note_still(host=host, lasts=lasts + SECOND)
        self._sleep(lasts + SECOND)

    def final(self, *, kind: str, chance: random.Random) -> None:
        """The fault that ends a day."""
        if kind == "none":
            return
        if kind == "disk_lost_and_all_killed":
            name = chance.choice(self._cores())
            self.fleet.hosts[name].kill()
            self.fleet.hosts[name].machine.disk.files.clear()
        self._all_killed(chance=chance, lasts=SECOND)

    def _wall_jumped(self, *, chance: random.Random, lasts: timedelta) -> None:
        name = chance.choice([*self._cores(), *self._edges()])
        self.fleet.hosts[name].machine.wall_offset += SECOND * chance.choice((-1, 1)) * chance.uniform(1, 7200)

    def _ips(self, *, daemons: list[dict[str, Any]]) -> list[str]:
        return [daemon["address"].partition(":")[0] for daemon in daemons]

    def _cut(self, *, pairs: set[tuple[str, str]], lasts: timedelta) -> None:
        fresh = pairs - self.world.cuts
        self.world.cuts |= fresh
        self._sleep(lasts)
        self.world.cuts -= fresh

    def _core_split(self, *, chance: random.Random, lasts: timedelta) -> None:
        ips = self._ips(daemons=self.fleet.plan.cores)
        one = chance.choice(ips)
        if self._take_core():
            pairs = {(a, b) for a in ips for b in ips if a != b and one in (a, b)}
            self._cut(pairs=pairs, lasts=lasts)
            self._give_core_back()

    def _core_cut_one_way(self, *, chance: random.Random, lasts: timedelta) -> None:
        ips = self._ips(daemons=self.fleet.plan.cores)
        one = chance.choice(ips)
        if self._take_core():
            self._cut(pairs={(one, other) for other in ips if other != one}, lasts=lasts)
            self._give_core_back()

    def _cores_cut_off(self, *, chance: random.Random, lasts: timedelta) -> None:
        cores = self._ips(daemons=self.fleet.plan.cores)
        edges = self._ips(daemons=self.fleet.plan.edges)
        self._cut(pairs={(a, b) for a in cores for b in edges} | {(b, a) for a in cores for b in edges}, lasts=lasts)

    def _isolate(self, *, host: Any, lasts: timedelta) -> None:
        host.machine.isolated = True
        self._sleep(lasts)
        host.machine.isolated = False

    def _machine_isolated(self, *, chance: random.Random, lasts: timedelta) -> None:
        self._isolate(host=self.fleet.hosts[chance.choice(self._edges())], lasts=lasts)

    def _packets_lost(self, *, chance: random.Random, lasts: timedelta) -> None:
        self.world.lossPercent = chance.uniform(5, 40)
        self._sleep(lasts)
        self.world.lossPercent = 0.0

    # Operators.

    def change(self, *, chance: random.Random) -> dict[str, Any]:
        """A tree like the plan's, different in any of its values, and always in one, so that it can be told apart."""
        tree = copy.deepcopy(self.fleet.plan.tree)
        tree["defaults"]["horizonMs"] += chance.randrange(1, 900)
        lane = tree["lanes"][chance.choice(sorted(tree["lanes"]))]
        service = tree["services"][chance.choice(sorted(tree["services"]))]
        match chance.choice(("horizon", "model", "adapter", "urgency", "extra", "run", "added")):
            case "model":
                lane["model"] = tree["defaults"]["model"] + "-next"
            case "adapter":
                lane["adapter"] = "trial"
            case "urgency":
                lane["urgency"] = chance.randrange(10)
            case "extra":
                service["extraPercent"] = chance.choice((5, 20))
            case "run" if lane.get("run") != "once":
                lane["run"] = chance.choice(("once", "repeatable", "resumable"))
            case "added":
                tree["lanes"]["added"] = {"service": sorted(tree["services"])[0], "urgency": 9}
        return tree

    def _put(self, *, chance: random.Random, tree: dict[str, Any] | None = None, mark: int | None = None) -> int:
        tree = tree or self.change(chance=chance)
        core = chance.choice(self.fleet.plan.cores)["http"]
        if mark is None:
            status, told = self.fleet.ask(address=core, method="GET", path="/config")
            if status != 200:
                return status
            mark = told["mark"]
        sent = self.world.now()
        headers = {"If-Match": f'"{mark}"'}
        status, told = self.fleet.ask(address=core, method="PUT", path="/config", fields=tree, headers=headers)
        taken = told.get("mark", 0) if status == 200 else 0
        self.told.append(ConfigChange(sent=sent, ended=self.world.now(), tree=tree, status=status, mark=taken))
        return status

    def _operators_race(self, *, chance: random.Random, lasts: timedelta) -> None:
        """Two send at once from the same mark; one of them sends a wrong tree besides."""
        status, told = self.fleet.ask_any(method="GET", path="/config")
        if status != 200:
            return
        first = eventlet.spawn(self._put, chance=chance, mark=told["mark"])
        second = eventlet.spawn(self._put, chance=chance, mark=told["mark"])
        wrong = {**self.change(chance=chance), "lanes": {"subjects": {"service": "nowhere"}}}
        self._put(chance=chance, tree=wrong, mark=told["mark"])
        first.wait()
        second.wait()

    def _lane_moved(self, *, chance: random.Random, lasts: timedelta) -> None:
        """A lane goes to another service, or away, and comes back."""
        tree = self.change(chance=chance)
        lane = chance.choice(sorted(self.fleet.plan.tree["lanes"]))
        if chance.random() < 0.5:
            tree["services"]["spare"] = {}
            tree["lanes"][lane] = {**tree["lanes"][lane], "service": "spare"}
        else:
            del tree["lanes"][lane]
        self._put(chance=chance, tree=tree)
        self._sleep(lasts)
        for _ in range(50):
            if self._put(chance=chance) == 200:
                return
            self._sleep(ms(200))

    def _configurations_burst(self, *, chance: random.Random, lasts: timedelta) -> None:
        for _ in range(6):
            self._put(chance=chance)
            self._sleep(lasts / 6)
