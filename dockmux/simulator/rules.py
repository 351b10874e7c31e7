"""For each of the twelve rules a run aimed at it: the danger is brought about on purpose, and is shown to have arisen;
the rule holds, and is broken when one of its defences is taken away."""

import dataclasses
import json
import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any

import eventlet
import pytest

from dockmux.clock.clock import Clock
from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.control import engine_scheduler as scheduler
from dockmux.control.chain_replica import ChainReplica
from dockmux.control.engine_scheduler import Move
from dockmux.engine_emulator.engine import Engine
from dockmux.gossip.usage_table import UsageTable
from dockmux.load_generator.client import Attempt, send
from dockmux.load_generator.open_loop import OpenLoopLoad
from dockmux.local_fleet.fleet_plan import FleetPlan, build
from dockmux.native_proxy import edge as edge_module
from dockmux.native_proxy import legs as legs_module
from dockmux.native_proxy import request_record as record_module
from dockmux.native_proxy.budget import Budget
from dockmux.native_proxy.follower import Follower
from dockmux.native_proxy.legs import Broken, Legs
from dockmux.native_proxy.request_record import RequestRecord, Step
from dockmux.native_proxy.table import Table
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.http_transport import HttpClientConnection
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.record_log import AppendOutcomeUnknown, RecordLog, parse
from dockmux.runtime.time_units import EPOCH, instant_us, ms
from dockmux.simulator import checks
from dockmux.simulator.faults import FaultInjector
from dockmux.simulator.fleet import SimFleet, fleet
from dockmux.simulator.ground_truth import ConfigChange, GroundTruth, rows_of

SECOND = timedelta(seconds=1)


def small(**settings: int) -> FleetPlan:
    """Two edges, three cores, one engine that reads and two that write."""
    return build(
        fields={
            "name": "small", "net": 49, "sites": ["a", "b"], "cores": 3, "edges": 2, "service": "catalogue",
            "engines": ["prefill", "decode", "decode"], "linkUs": 500, "perSecond": 20, "settings": settings,
            "speed": {"prefill_slots": 8, "decode_slots": 24},
            "tree": {
                "defaults": {"horizonMs": 8000, "urgency": 3, "model": "m", "run": "repeatable"},
                "services": {"catalogue": {"extraPercent": 50}},
                "lanes": {
                    "ask": {"service": "catalogue", "run": "resumable"},
                    "plain": {"service": "catalogue"},
                    "once": {"service": "catalogue", "run": "once"},
                },
            },
            "mix": [
                {"lane": lane, "weight": 1, "promptBytes": 300, "prefixBytes": 300, "prefixes": 4, "pieces": [4, 12]}
                for lane in ("ask", "plain", "once")
            ],
        }
    )  # fmt: skip


class Scene:
    """A small fleet under hand. Invariant: `truth` is gathered as a day's is, from those outside."""

    def __init__(self, *, made: SimFleet) -> None:
        self.made = made
        self.doer = FaultInjector(fleet=made, seed=1)
        self.open_loop = OpenLoopLoad(host=made.outside, plan=made.plan, seed=1)
        status, told = made.request_any_core(method="GET", path="/config")
        now = made.world.now()
        self.doer.config_changes.append(
            ConfigChange(sent=now, ended=now, tree=told["tree"], status=status, mark=told["mark"])
        )
        self.healed = now
        self.perSecond = 0.0

    def sleep(self, span: timedelta) -> None:
        eventlet.sleep(span.total_seconds())

    def load(self, *, lasts: timedelta, edge: int | None = None) -> Any:
        """The mix at its normal rate, for a while, at any edge or at one."""
        open_loop = self.open_loop
        if edge is not None:
            open_loop = OpenLoopLoad(host=self.made.outside, plan=dataclasses.replace(
                self.made.plan, edges=[self.made.plan.edges[edge]]), seed=2 + edge)  # fmt: skip
            open_loop.seen = self.open_loop.seen
        return eventlet.spawn(open_loop.run, lasts=lasts, since=timedelta())

    def ask(self, *, lane: str, edge: int = 0, pieces: int = 6, prompt: str = "", like: Any = None) -> Any:
        """Sends one request, or another attempt at one; gives the ask, what is seen of it, and the task."""
        kind = next(kind for kind in self.made.plan.mix if kind["lane"] == lane)
        ask = like or self.open_loop.ask(kind={**kind, "pieces": [pieces, pieces]})
        if prompt:
            ask = dataclasses.replace(ask, body={**ask.body, "prompt": prompt})
        ask = dataclasses.replace(ask, edge=self.made.plan.edges[edge]["http"], numbered=False)
        attempt = 1 + sum(seen.identity == ask.identity for seen in self.open_loop.seen)
        now = self.made.world.now()
        seen = Attempt(lane=ask.lane, identity=ask.identity, edge=ask.edge, intended=now, attempt=attempt)
        self.open_loop.seen.append(seen)
        task = eventlet.spawn(send, host=self.made.outside, ask=ask, seen=seen, since=timedelta())
        return ask, seen, task

    def cut(self, *, names: list[str], others: list[str]) -> set[tuple[str, str]]:
        """Cuts every way between the machines of two sets of processes."""
        here, there = ([self.made.hosts[name].machine.ip for name in side] for side in (names, others))
        pairs = {pair for a in here for b in there for pair in ((a, b), (b, a))}
        self.made.world.cuts |= pairs
        return pairs

    def mend(self, *, pairs: set[tuple[str, str]]) -> None:
        self.made.world.cuts -= pairs

    def put(self, **defaults: Any) -> int:
        """Changes a default; gives the status."""
        tree = self.made.plan.tree
        tree = {**tree, "defaults": {**tree["defaults"], **defaults}}
        return self.doer._put(rng=random.Random(1), tree=tree)

    def head(self) -> str:
        return next(
            name for name, daemon in sorted(self.made.daemons.items())
            if hasattr(daemon, "agreement") and self.made.hosts[name].alive and daemon.agreement.is_head()
        )  # fmt: skip

    def rows(self, *, what: str, **fields: Any) -> list[Any]:
        return [
            row for row in rows_of(engines=self.made.engines)
            if row.what == what and all(row.fields.get(key) == value for key, value in fields.items())
        ]  # fmt: skip

    def written(self, *, request: str) -> Any:
        """Waits until a request's writing leg has begun."""
        for _ in range(5000):
            rows = self.rows(what="decode", request=request)
            if rows:
                return rows[0]
            self.sleep(ms(1))
        raise AssertionError(request)

    def truth(self) -> GroundTruth:
        kept = None
        for _ in range(40):
            status, told = self.made.request_any_core(method="GET", path="/history")
            if status == 200:
                rows = [
                    self.made.request_any_core(method="GET", path=f"/config/{row['mark']}")[1]
                    for row in told["configs"]
                ]
                kept = [{"mark": row["mark"], "tree": row["tree"]} for row in rows]
                break
            self.sleep(SECOND / 2)
        return GroundTruth(
            seen=self.open_loop.seen, rows=rows_of(engines=self.made.engines), told=self.doer.config_changes,
            leaving=self.doer.leave_notices, sites={edge["name"]: edge["site"] for edge in self.made.plan.edges},
            perSecond=self.perSecond, healed=self.healed, lasted=self.made.world.now(), kept=kept,
        )  # fmt: skip


# The twelve, each as it is brought about. What is given is the danger that arose: the run is worth nothing without it.


def once(scene: Scene) -> list[Any]:
    """1. An engine ends in the middle of a writing leg; a daemon ends, and the repeat comes to another."""
    scene.load(lasts=4 * SECOND)
    scene.sleep(2 * SECOND)
    first, _, first_task = scene.ask(lane="once", pieces=200)
    row = scene.written(request=f"once/{first.identity}")
    scene.made.hosts[row.engine].kill()
    second, _, _ = scene.ask(lane="once", pieces=60)
    scene.sleep(SECOND / 4)
    ran = scene.rows(what="decode", request=f"once/{second.identity}")
    scene.made.hosts["edge-0"].kill()
    _, repeat, task = scene.ask(lane="once", edge=1, like=second)
    task.wait()
    first_task.wait()
    scene.sleep(2 * SECOND)
    return [row] * (repeat.status != 0) * len(ran)


def once_for_a_day(scene: Scene) -> list[Any]:
    """1. A request has run; the wall clocks of the cores go days ahead, everything is restarted, others run, and the
    request is asked for again."""
    first, seen, task = scene.ask(lane="once")
    task.wait()
    for core in scene.made.plan.cores:
        scene.made.hosts[core["name"]].machine.wall_offset += timedelta(days=3)
    scene.doer._all_killed(rng=random.Random(1), duration=SECOND)
    scene.sleep(6 * SECOND)
    scene.load(lasts=2 * SECOND).wait()
    _, repeat, task = scene.ask(lane="once", edge=1, like=first)
    task.wait()
    return scene.rows(what="decode", lane="once")[1:] * (seen.kind == "answered") * (repeat.status in (200, 504))


def refused(scene: Scene) -> list[Any]:
    """2. A repeat of what has run comes to a daemon that cannot know; a lane goes away between reading and writing."""
    first, seen, task = scene.ask(lane="once")
    task.wait()
    others = [*(core["name"] for core in scene.made.plan.cores), "edge-0"]
    pairs = scene.cut(names=["edge-1"], others=others)
    scene.sleep(2 * SECOND)
    _, repeat, task = scene.ask(lane="once", edge=1, like=first)
    task.wait()
    scene.mend(pairs=pairs)
    scene.sleep(2 * SECOND)
    _, late, task = scene.ask(lane="plain", prompt="x" * 300_000)
    scene.sleep(SECOND / 2)
    tree = scene.made.plan.tree
    scene.doer._put(rng=random.Random(1), tree={**tree, "lanes": {"ask": tree["lanes"]["ask"]}})
    task.wait()
    read = scene.rows(what="prefilled", request=f"plain/{late.identity}")
    return [repeat] * (seen.kind == "answered" and repeat.status in (503, 504) and late.kind != "answered") * len(read)


def whole(scene: Scene) -> list[Any]:
    """3. An answer breaks off on a lane that is not resumed; one identity comes with two bodies."""
    scene.load(lasts=3 * SECOND)
    scene.sleep(2 * SECOND)
    first, cut, task = scene.ask(lane="plain", pieces=200)
    row = scene.written(request=f"plain/{first.identity}")
    scene.sleep(SECOND / 2)
    scene.made.hosts[row.engine].kill()
    task.wait()
    one, _, task = scene.ask(lane="plain")
    task.wait()
    kind = next(kind for kind in scene.made.plan.mix if kind["lane"] == "plain")
    other = dataclasses.replace(scene.open_loop.ask(kind={**kind, "pieces": [6, 6]}), identity=one.identity)
    _, second, task = scene.ask(lane="plain", like=other)
    task.wait()
    return [row] * (cut.count > 0) * (second.status in (200, 409))


def in_order(scene: Scene) -> list[Any]:
    """4. An answer is gone on with at another engine, and that engine begins anew."""
    scene.load(lasts=3 * SECOND)
    scene.sleep(2 * SECOND)
    ask, seen, task = scene.ask(lane="ask", pieces=200)
    row = scene.written(request=f"ask/{ask.identity}")
    scene.sleep(SECOND / 2)
    scene.made.hosts[row.engine].kill()
    task.wait()
    return scene.rows(what="decode", request=f"ask/{ask.identity}")[1:] * (seen.count > 0)


def memory(scene: Scene) -> list[Any]:
    """5. A reading engine answers with another request's tag."""
    for engine in scene.made.current_engines.values():
        engine.mixed = True
    tasks = [scene.ask(lane="plain")[2] for _ in range(4)]
    for task in tasks:
        task.wait()
    return scene.rows(what="mixed")


def service(scene: Scene) -> list[Any]:
    """6. An engine's address belongs to another service before the list says so."""
    task = scene.load(lasts=5 * SECOND)
    scene.sleep(SECOND)
    engine = scene.made.plan.engines[2]
    scene.made.hosts[engine["engine"]].kill()
    scene.made.start_engine(engine={**engine, "engine": "stranger", "service": "elsewhere"})
    task.wait()
    return [
        at for at, _, log_event, _ in scene.made.world.logged if log_event is LogEvent.ENGINE_IDENTITY_MISMATCH
    ] or scene.rows(what="rejected", why="not that engine")


def leaving(scene: Scene) -> list[Any]:
    """7. One engine says that it leaves, the list says it of another; the load goes on."""
    task = scene.load(lasts=9 * SECOND)
    scene.sleep(SECOND)
    scene.doer._leave(engine=scene.made.plan.engines[1])
    task.wait()
    made = scene.made.current_engines["engine-2"]
    scene.made.engine_rows[2]["leaving"] = True
    assert scene.made.put_engines()
    scene.doer.leave_notices.append((scene.made.world.now(), made.incarnation))
    before = len(scene.rows(what="decode"))
    scene.load(lasts=6 * SECOND).wait()
    return [before] * (len(scene.open_loop.seen) > 200)


def honoured(scene: Scene) -> list[Any]:
    """8. A configuration comes into use while one daemon is cut off for long, another for a moment, and a third
    stands still between its last look and its first byte."""
    cores = [core["name"] for core in scene.made.plan.cores]
    tasks = [scene.load(lasts=14 * SECOND, edge=edge) for edge in (0, 1)]
    scene.sleep(SECOND)
    pairs = scene.cut(names=["edge-1"], others=[*cores, "edge-0"])
    acked = [scene.put(horizonMs=7900) == 200]
    scene.sleep(5 * SECOND)
    scene.mend(pairs=pairs)
    scene.sleep(2 * SECOND)
    pairs = scene.cut(names=["edge-1"], others=[*cores, "edge-0"])
    acked.append(scene.put(horizonMs=7800) == 200)
    scene.sleep(ms(1000))
    scene.mend(pairs=pairs)
    scene.sleep(3 * SECOND)
    for task in tasks:
        task.wait()
    _stop_at_first_byte(scene)
    acked.append(scene.put(horizonMs=7700) == 200)
    scene.sleep(5 * SECOND)
    stopped = scene.made.hosts["edge-0"].pauses
    scene.load(lasts=SECOND).wait()
    return stopped * all(acked)


def _stop_at_first_byte(scene: Scene) -> None:
    """Edge 0 stands still for four seconds just before a leg's first byte."""
    host = scene.made.hosts["edge-0"]
    legs = scene.made.daemons["edge-0"].table.legs
    ask = legs._ask

    def stopping(**words: Any) -> Any:
        legs._ask = ask
        host.schedule_pause(steps=1, duration=4 * SECOND)
        return ask(**words)

    legs._ask = stopping
    scene.ask(lane="plain")
    scene.sleep(ms(20))


def kept(scene: Scene) -> list[Any]:
    """9. The head loses its disk just after taking a change that no other core has; all are killed just after an
    acknowledged one."""
    cores = [core["name"] for core in scene.made.plan.cores]
    head = scene.head()
    chain = scene.made.daemons[head].chain
    address = next(core["http"] for core in scene.made.plan.cores if core["name"] == head)
    mark = scene.made.request(address=address, method="GET", path="/config")[1]["mark"]
    pushed_at = chain.pushed_at
    while chain.pushed_at == pushed_at:
        scene.sleep(ms(1))
    # The chain has just been gone through: the head takes the change before it finds that it is alone.
    pairs = scene.cut(names=[head], others=[name for name in cores if name != head])
    sent = scene.made.world.now()
    tree = {**scene.made.plan.tree, "sites": {"a": {"urgency": 7}}}
    fields = {"fields": tree, "headers": {"If-Match": f'"{mark}"'}}
    status, told = scene.made.request(address=address, method="PUT", path="/config", **fields)
    mark = told["mark"] if status == 200 else 0
    scene.doer.config_changes.append(
        ConfigChange(sent=sent, ended=scene.made.world.now(), tree=tree, status=status, mark=mark)
    )
    took = [entry for entry in chain.store.entries if entry.change.get("tree") == tree]
    scene.made.hosts[head].kill()
    scene.made.hosts[head].machine.disk.files.clear()
    for stream in scene.made.hosts[head].streams:
        stream.in_flight.clear()  # The whole machine is gone, with what its network still held.
    scene.mend(pairs=pairs)
    scene.doer._restart(names=[head], duration=SECOND)
    scene.sleep(8 * SECOND)
    acked = scene.put(horizonMs=7900)
    scene.doer._restart(names=cores, duration=SECOND)
    scene.sleep(8 * SECOND)
    return took * (acked == 200)


def unsynced(scene: Scene) -> list[Any]:
    """9. The head's disk takes a change, fails to sync it, and the head is killed before it can write again."""
    head = scene.head()
    disk = scene.made.hosts[head].machine.disk
    disk.syncs_fail = True
    status = scene.put(horizonMs=7800)
    scene.made.hosts[head].kill()
    disk.syncs_fail = False
    left = [record for record in parse(data=disk.files["chain"])[0] if "7800" in json.dumps(record)]
    scene.doer._restart(names=[head], duration=SECOND / 5)
    scene.sleep(6 * SECOND)
    return left * (status != 200)


def extra(scene: Scene) -> list[Any]:
    """10. All memory lapses, over and over, under load."""
    scene.made.plan.tree["services"]["catalogue"].pop("extraPercent")
    assert scene.put(horizonMs=7900) == 200
    scene.sleep(3 * SECOND)
    task = scene.load(lasts=12 * SECOND)
    scene.sleep(4 * SECOND)
    for engine in scene.made.current_engines.values():
        engine.speed = dataclasses.replace(engine.speed, memoryMs=0)
    task.wait()
    return scene.rows(what="no_memory")[20:]


def _always_move(*, engines: list[dict[str, Any]], works: dict[str, Any]) -> Move | None:
    engine = next((engine for engine in engines if engine["engine"] == "engine-2"), None)
    if engine is None or "engine-2" not in works:
        return None
    return Move(engine=engine, phase="prefill" if works["engine-2"].phase == "decode" else "decode")


def commanded(scene: Scene) -> list[Any]:
    """11. The head is cut off just after an order, and its successor has one as well; then a head stands still between
    its last look and an order's first byte, and wakes before its successor commands."""
    cores = [core["name"] for core in scene.made.plan.cores]

    def ordered() -> int:
        return len(scene.rows(what="order"))

    def next_order(limit: timedelta = 20 * SECOND) -> None:
        count = ordered()
        assert scene.made.wait_until(what=lambda: ordered() > count, limit=limit)

    next_order()
    head = scene.head()
    pairs = scene.cut(names=[head], others=[*(name for name in cores if name != head), "edge-0", "edge-1"])
    next_order()
    scene.mend(pairs=pairs)
    scene.sleep(6 * SECOND)
    call = HttpClientConnection.call
    stopped: list[str] = []

    def stopping(self: HttpClientConnection, *, method: str, path: str, **words: Any) -> Any:
        if path == "/order" and not stopped:
            stopped.append(self.runtime_host.name)
            self.runtime_host.schedule_pause(steps=1, duration=ms(3300))
        return call(self, method=method, path=path, **words)

    HttpClientConnection.call = stopping
    try:
        assert scene.made.wait_until(what=lambda: bool(stopped), limit=20 * SECOND)
        # It must not come back in before its successor has commanded.
        scene.cut(names=stopped, others=[name for name in cores if name not in stopped])
        scene.sleep(12 * SECOND)
    finally:
        HttpClientConnection.call = call
    by = {row.fields["by"] for row in scene.rows(what="order")}
    return stopped * (len(by) > 1)


def returns(scene: Scene) -> list[Any]:
    """12. Everything is restarted at once, under load; the wall clocks of the cores are days behind by then, and the
    tail of the chain comes last, so that the source begins before it hears what has been acknowledged."""
    task = scene.load(lasts=24 * SECOND)
    scene.perSecond = scene.made.plan.perSecond
    scene.sleep(3 * SECOND)
    cores = [core["name"] for core in scene.made.plan.cores]
    for name in cores:
        scene.made.hosts[name].machine.wall_offset -= timedelta(days=3)
    tail = next(name for name in cores if scene.made.daemons[name].agreement.is_tail())
    ends = eventlet.spawn(scene.doer._restart, names=[tail], duration=3 * SECOND)
    scene.doer._restart(names=[name for name in [*cores, "edge-0", "edge-1"] if name != tail], duration=SECOND)
    ends.wait()
    scene.healed = scene.made.world.now()
    scene.sleep(19 * SECOND)
    ended = scene.truth()
    task.wait()
    scene.truth = lambda: dataclasses.replace(ended, seen=scene.open_loop.seen)
    return [seen for seen in scene.open_loop.seen if seen.kind == "unreachable"]


# Defences, each taken away by replacing one thing.


def _claims_itself(self: Table, *, record: RequestRecord) -> None:
    record.claimed, record.step = True, Step.READ
    self.stir.notify_all()


def _ends_as_told(self: RequestRecord, *, outcome: Outcome, at: timedelta) -> None:
    self.outcome, self.step, self.ended_at = outcome, Step.ENDED, at
    self.news.notify_all()


_relay = Legs._relay


def _takes_a_cut_for_the_end(self: Legs, **words: Any) -> None:
    try:
        _relay(self, **words)
    except Exception:
        return


_plan = ChainReplica._plan


def _counts_by_the_clock(self: ChainReplica) -> Any:
    planned = _plan(self)
    self.planned_fromUs = instant_us(self.gossip.clock.now())
    return planned


def _goes_on_anyway(
    self: Table, *, record: RequestRecord, engine: str, reading: bool, kind: OutcomeKind, why: str
) -> None:
    record.tried.add(engine)
    self._again(record=record, step=Step.WRITE if record.memory and not reading else Step.READ)


def _counts_no_pieces(self: Legs, *, record: RequestRecord, response: Any, start: int) -> None:
    for line in response:
        told = json.loads(line)
        if "end" in told:
            response.read()
            return
        if "text" in told:
            record.add(text=told["text"], stampUs=0)
    raise Broken("cut")


_learn = Follower._learn


def _ignores_the_list(self: Follower, *, news: dict[str, Any], heldMs: int) -> None:
    for engine in news.get("engines", []):
        engine.pop("leaving", None)
    _learn(self, news=news, heldMs=heldMs)


_update_usage = UsageTable.update


def _ignores_the_engine(self: UsageTable, *, usage: Any) -> bool:
    return _update_usage(self, usage=dataclasses.replace(usage, leaving=False))


_extend = ChainReplica._extend


def _acknowledges_one_copy(self: ChainReplica) -> None:
    _extend(self)
    for write in self.waiting:
        write.done.send(Outcome(kind=OutcomeKind.ANSWERED, detail={"mark": write.mark}))
    self.waiting.clear()


_append = RecordLog.append


def _syncs_nothing(self: RecordLog, *, records: list[dict[str, Any]]) -> None:
    if self.name != "chain":
        _append(self, records=records)


_become_source = Clock.become_source


def _begins_with_the_wall_clock(self: Clock, *, mark: int, not_before: datetime) -> None:
    _become_source(self, mark=mark, not_before=EPOCH)


def _is_sure(self: RecordLog, *, records: list[dict[str, Any]]) -> None:
    try:
        _append(self, records=records)
    except AppendOutcomeUnknown as error:
        raise OSError(*error.args) from None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rule:
    """One rule's run. Invariants: `check` is the checker that fails without a defence; each defence is a list of what
    is replaced, once the fleet serves or, if `early`, before; `stirs` is replaced in every run to bring the danger
    about."""

    number: int
    check: str
    act: Callable[[Scene], list[Any]]
    defences: dict[str, list[tuple[Any, str, Any]]]
    settings: dict[str, int] = dataclasses.field(default_factory=dict)
    stirs: list[tuple[Any, str, Any]] = dataclasses.field(default_factory=list)
    seed: int = 1
    early: bool = False


def _begins_anew(self: Any, **words: Any) -> Any:
    """A stand-in that does not heed from which piece it is to go on."""
    return _write(self, **(words | {"fields": {**words["fields"], "from": 0}}))


_write = Engine._write

RULES = [
    Rule(
        number=1, check="once_runs_once", act=once,
        defences={
            "the claim": [(Table, "_claim", _claims_itself)],
            "one send a leg": [
                (RequestRecord, "once", property(lambda self: not self.claimed and self.values["run"] == "once"))
            ],
        },
    ),
    Rule(
        number=1,
        check="once_runs_once",
        act=once_for_a_day,
        defences={"the claims' time is no clock's": [(ChainReplica, "_plan", _counts_by_the_clock)]},
        early=True,
    ),
    Rule(
        number=2, check="refused_never_runs", act=refused,
        defences={
            "no refusal to what may have run": [
                (record_module, "not_refused", lambda *, outcome: outcome),
                (edge_module, "not_refused", lambda *, outcome: outcome),
            ],
            "no refusal to what was sent": [(RequestRecord, "end", _ends_as_told)],
        },
    ),
    Rule(
        number=3, check="answers_are_own_and_whole", act=whole,
        defences={
            "the answer's end": [(Legs, "_relay", _takes_a_cut_for_the_end)],
            "no other run goes on": [(Table, "_recover", _goes_on_anyway)],
            "one body an identity": [(RequestRecord, "body_digest", "")],
        },
    ),
    Rule(
        number=4, check="pieces_in_order", act=in_order, stirs=[(Engine, "_write", _begins_anew)],
        defences={"pieces are counted": [(Legs, "_relay", _counts_no_pieces)]},
    ),
    Rule(
        number=5, check="memory_is_own", act=memory,
        defences={
            "the memory's tag": [(Legs, "_wanted", lambda self, **_: {}), (legs_module, "WANTED", ())],
        },
    ),
    Rule(
        number=6, check="services_are_allowed", act=service,
        defences={"who is there is asked first": [(EngineConnectionPool, "_matches", lambda self, **_: True)]},
    ),
    Rule(
        number=7, check="leaving_gets_nothing", act=leaving,
        defences={
            "the engine's own word": [(UsageTable, "update", _ignores_the_engine)],
            "the list's word": [(Follower, "_learn", _ignores_the_list)],
        },
    ),
    Rule(
        number=8, check="configurations_are_honoured", act=honoured,
        defences={
            "permission": [
                (Follower, "permitted", lambda self: True),
                (Follower, "until", property(lambda self: self.host.elapsed() + SECOND)),
            ],
            "the wait before use": [
                (Follower, "current", lambda self: self.configs[-1] if self.configs and self.permitted() else None)
            ],
            "a late leg is handed back": [
                (Follower, "valid_until", lambda self: self.host.elapsed() + timedelta(hours=1))
            ],
        },
    ),
    Rule(
        number=9, check="configurations_are_kept", act=kept,
        defences={
            "two copies": [(ChainReplica, "_extend", _acknowledges_one_copy)],
            "the sync": [(RecordLog, "append", _syncs_nothing)],
        },
    ),
    Rule(
        number=9,
        check="configurations_are_kept",
        act=unsynced,
        defences={"a refusal once it is cut off": [(RecordLog, "append", _is_sure)]},
        seed=2,
    ),
    Rule(
        number=10, check="extra_sends_are_few", act=extra,
        defences={"the budget": [(Budget, "allows", lambda self, **_: True)]},
    ),
    Rule(
        number=11, check="one_commands_at_a_time", act=commanded, settings={"permitMs": 300, "suspectMs": 300},
        stirs=[(scheduler, "choose", _always_move), (scheduler, "SETTLE", timedelta())],
        defences={
            "the hush": [(scheduler, "HUSH", timedelta())],
            "the permit's end at the engine": [(scheduler, "to_us", lambda span: 3_600_000_000)],
        },
    ),
    Rule(
        number=12, check="service_returns", act=returns,
        defences={
            "the join rate": [(GossipEndpoint, "_exchange_interval", lambda self: self.exchange_rate.interval)],
            "no time before what is on record": [(Clock, "become_source", _begins_with_the_wall_clock)],
        },
    ),
]  # fmt: skip


def bring_about(*, rule: Rule, without: str = "") -> tuple[list[Any], dict[str, list[str]]]:
    """The danger that arose and what the checkers found, with one defence taken away or none."""
    replaced = [*rule.stirs, *(rule.defences[without] if without else [])]
    with pytest.MonkeyPatch.context() as patch, fleet(plan=small(**rule.settings), seed=rule.seed) as made:
        if not rule.early:
            made.begin()
        for owner, name, value in replaced:
            patch.setattr(owner, name, value)
        if rule.early:
            made.begin()
        scene = Scene(made=made)
        danger = rule.act(scene)
        return danger, checks.check(truth=scene.truth())


@pytest.mark.parametrize("rule", RULES, ids=lambda rule: rule.act.__name__)
def test_the_danger_arises_and_the_rule_holds(rule):
    danger, wrong = bring_about(rule=rule)
    assert danger and wrong == {}


TAKEN = [(rule, name) for rule in RULES for name in rule.defences]


@pytest.mark.parametrize(("rule", "without"), TAKEN, ids=[f"{rule.act.__name__}, {name}" for rule, name in TAKEN])
def test_without_a_defence_the_rule_is_broken(rule, without):
    danger, wrong = bring_about(rule=rule, without=without)
    assert danger and rule.check in wrong
