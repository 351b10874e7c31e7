"""Runs aimed at each of the twelve rules of `checks`.

Each run provokes the hazard that a rule protects against and shows that the hazard occurred. The rule must hold, and
must be broken when any one of its defences is removed by a patch.
"""

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
from dockmux.control.engine_scheduler import PhaseMove
from dockmux.engine_emulator.engine import Engine
from dockmux.gossip.usage_table import UsageTable
from dockmux.load_generator.client import Attempt, send
from dockmux.load_generator.open_loop import OpenLoopLoad
from dockmux.local_fleet.fleet_plan import FleetPlan, build
from dockmux.native_proxy import edge as edge_module
from dockmux.native_proxy import engine_calls as engine_calls_module
from dockmux.native_proxy import request_record as record_module
from dockmux.native_proxy.budget import RetryBudget
from dockmux.native_proxy.config_subscription import ConfigSubscription
from dockmux.native_proxy.engine_calls import CallFailed, EngineCalls
from dockmux.native_proxy.request_record import RequestRecord, Step
from dockmux.native_proxy.request_table import RequestTable
from dockmux.runtime.engine_connections import EngineConnectionPool
from dockmux.runtime.http_client import HttpClientConnection
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.record_log import AppendOutcomeUnknown, RecordLog, parse
from dockmux.runtime.time_units import EPOCH, instant_us, ms
from dockmux.simulator import checks
from dockmux.simulator.faults import FaultInjector
from dockmux.simulator.fleet import SimFleet, fleet
from dockmux.simulator.ground_truth import ConfigChange, GroundTruth, collect_engine_events

SECOND = timedelta(seconds=1)


def small_plan(**settings: int) -> FleetPlan:
    """Two edges, three cores, one prefill engine and two decode engines."""
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


class FleetHarness:
    """Drives a small simulated fleet by hand.

    Invariant: `ground_truth` is collected as that of a simulated day, from user agents, operators and engines only.
    """

    def __init__(self, *, sim: SimFleet) -> None:
        self.sim = sim
        self.fault_injector = FaultInjector(fleet=sim, seed=1)
        self.open_loop = OpenLoopLoad(host=sim.outside, plan=sim.plan, seed=1)
        status, body = sim.request_any_core(method="GET", path="/config")
        now = sim.world.now()
        self.fault_injector.config_changes.append(
            ConfigChange(sent=now, ended=now, tree=body["tree"], status=status, mark=body["mark"])
        )
        self.repaired_at = now
        self.requests_per_second = 0.0

    def sleep(self, duration: timedelta) -> None:
        eventlet.sleep(duration.total_seconds())

    def start_load(self, *, duration: timedelta, edge: int | None = None) -> Any:
        """Starts the mix at its normal rate for `duration`, at all edges or at one; returns the task."""
        open_loop = self.open_loop
        if edge is not None:
            open_loop = OpenLoopLoad(host=self.sim.outside, plan=dataclasses.replace(
                self.sim.plan, edges=[self.sim.plan.edges[edge]]), seed=2 + edge)  # fmt: skip
            open_loop.attempts = self.open_loop.attempts
        return eventlet.spawn(open_loop.run, duration=duration, since=timedelta())

    def send_request(
        self, *, lane: str, edge: int = 0, pieces: int = 6, prompt: str = "", repeat_of: Any = None
    ) -> Any:
        """Sends a new request or another attempt of one; returns the request, the attempt and the sending task."""
        kind = next(kind for kind in self.sim.plan.mix if kind["lane"] == lane)
        request = repeat_of or self.open_loop.next_request(mix_entry={**kind, "pieces": [pieces, pieces]})
        if prompt:
            request = dataclasses.replace(request, body={**request.body, "prompt": prompt})
        request = dataclasses.replace(request, edge=self.sim.plan.edges[edge]["http"], sends_attempt_number=False)
        attempt_number = 1 + sum(earlier.identity == request.identity for earlier in self.open_loop.attempts)
        now = self.sim.world.now()
        attempt = Attempt(
            lane=request.lane, identity=request.identity, edge=request.edge, intended=now, number=attempt_number
        )
        self.open_loop.attempts.append(attempt)
        task = eventlet.spawn(send, host=self.sim.outside, request=request, attempt=attempt, since=timedelta())
        return request, attempt, task

    def cut_links(self, *, names: list[str], others: list[str]) -> set[tuple[str, str]]:
        """Cuts all links between the machines of two sets of processes; returns the pairs of IPs that it cut."""
        ips, other_ips = ([self.sim.hosts[name].machine.ip for name in side] for side in (names, others))
        pairs = {pair for a in ips for b in other_ips for pair in ((a, b), (b, a))}
        self.sim.world.cuts |= pairs
        return pairs

    def restore_links(self, *, pairs: set[tuple[str, str]]) -> None:
        self.sim.world.cuts -= pairs

    def put_config(self, **defaults: Any) -> int:
        """Changes defaults of the configuration; returns the HTTP status."""
        tree = self.sim.plan.tree
        tree = {**tree, "defaults": {**tree["defaults"], **defaults}}
        return self.fault_injector._put(rng=random.Random(1), tree=tree)

    def head_name(self) -> str:
        return next(
            name for name, daemon in sorted(self.sim.daemons.items())
            if hasattr(daemon, "agreement") and self.sim.hosts[name].alive and daemon.agreement.is_head()
        )  # fmt: skip

    def engine_events(self, *, what: str, **fields: Any) -> list[Any]:
        return [
            event for event in collect_engine_events(engines=self.sim.engines)
            if event.what == what and all(event.fields.get(key) == value for key, value in fields.items())
        ]  # fmt: skip

    def wait_for_decode(self, *, request: str) -> Any:
        """Waits until a request's decode call has begun; returns its event. AssertionError after 5 s."""
        for _ in range(5000):
            events = self.engine_events(what="decode", request=request)
            if events:
                return events[0]
            self.sleep(ms(1))
        raise AssertionError(request)

    def ground_truth(self) -> GroundTruth:
        kept_configs = None
        for _ in range(40):
            status, body = self.sim.request_any_core(method="GET", path="/history")
            if status == 200:
                configs = [
                    self.sim.request_any_core(method="GET", path=f"/config/{row['mark']}")[1] for row in body["configs"]
                ]
                kept_configs = [{"mark": config["mark"], "tree": config["tree"]} for config in configs]
                break
            self.sleep(SECOND / 2)
        return GroundTruth(
            attempts=self.open_loop.attempts, engine_events=collect_engine_events(engines=self.sim.engines),
            config_changes=self.fault_injector.config_changes, leave_notices=self.fault_injector.leave_notices,
            site_by_edge={edge["name"]: edge["site"] for edge in self.sim.plan.edges},
            requests_per_second=self.requests_per_second, repaired_at=self.repaired_at,
            ended_at=self.sim.world.now(), kept_configs=kept_configs,
        )  # fmt: skip


# The scenarios, one or two for each rule. Each returns evidence that the hazard occurred; an empty list makes the run
# worthless, since the rule was not put to the test.


def once(harness: FleetHarness) -> list[Any]:
    """1. An engine is killed during a decode call; then an edge is killed, and the repeat arrives at another edge."""
    harness.start_load(duration=4 * SECOND)
    harness.sleep(2 * SECOND)
    first, _, first_task = harness.send_request(lane="once", pieces=200)
    event = harness.wait_for_decode(request=f"once/{first.identity}")
    harness.sim.hosts[event.engine].kill()
    second, _, _ = harness.send_request(lane="once", pieces=60)
    harness.sleep(SECOND / 4)
    repeat_calls = harness.engine_events(what="decode", request=f"once/{second.identity}")
    harness.sim.hosts["edge-0"].kill()
    _, repeat, task = harness.send_request(lane="once", edge=1, repeat_of=second)
    task.wait()
    first_task.wait()
    harness.sleep(2 * SECOND)
    return [event] * (repeat.status != 0) * len(repeat_calls)


def once_for_a_day(harness: FleetHarness) -> list[Any]:
    """1. A request runs; the wall clocks of the cores go three days ahead and everything is restarted; other requests
    run, and the first one is repeated."""
    first, attempt, task = harness.send_request(lane="once")
    task.wait()
    for core in harness.sim.plan.cores:
        harness.sim.hosts[core["name"]].machine.wall_offset += timedelta(days=3)
    harness.fault_injector._all_killed(rng=random.Random(1), duration=SECOND)
    harness.sleep(6 * SECOND)
    harness.start_load(duration=2 * SECOND).wait()
    _, repeat, task = harness.send_request(lane="once", edge=1, repeat_of=first)
    task.wait()
    return (
        harness.engine_events(what="decode", lane="once")[1:]
        * (attempt.kind == "answered")
        * (repeat.status in (200, 504))
    )


def refused(harness: FleetHarness) -> list[Any]:
    """2. A repeat arrives at an edge that can't know of the first run; a lane is removed between prefill and decode."""
    first, attempt, task = harness.send_request(lane="once")
    task.wait()
    others = [*(core["name"] for core in harness.sim.plan.cores), "edge-0"]
    pairs = harness.cut_links(names=["edge-1"], others=others)
    harness.sleep(2 * SECOND)
    _, repeat, task = harness.send_request(lane="once", edge=1, repeat_of=first)
    task.wait()
    harness.restore_links(pairs=pairs)
    harness.sleep(2 * SECOND)
    _, late, task = harness.send_request(lane="plain", prompt="x" * 300_000)
    harness.sleep(SECOND / 2)
    tree = harness.sim.plan.tree
    harness.fault_injector._put(rng=random.Random(1), tree={**tree, "lanes": {"ask": tree["lanes"]["ask"]}})
    task.wait()
    prefilled = harness.engine_events(what="prefilled", request=f"plain/{late.identity}")
    return (
        [repeat]
        * (attempt.kind == "answered" and repeat.status in (503, 504) and late.kind != "answered")
        * len(prefilled)
    )


def whole(harness: FleetHarness) -> list[Any]:
    """3. An answer breaks off on a lane that is not resumable; two different bodies arrive under one identity."""
    harness.start_load(duration=3 * SECOND)
    harness.sleep(2 * SECOND)
    first, cut_attempt, task = harness.send_request(lane="plain", pieces=200)
    event = harness.wait_for_decode(request=f"plain/{first.identity}")
    harness.sleep(SECOND / 2)
    harness.sim.hosts[event.engine].kill()
    task.wait()
    one, _, task = harness.send_request(lane="plain")
    task.wait()
    mix_entry = next(mix_entry for mix_entry in harness.sim.plan.mix if mix_entry["lane"] == "plain")
    other = dataclasses.replace(
        harness.open_loop.next_request(mix_entry={**mix_entry, "pieces": [6, 6]}), identity=one.identity
    )
    _, second, task = harness.send_request(lane="plain", repeat_of=other)
    task.wait()
    return [event] * (cut_attempt.count > 0) * (second.status in (200, 409))


def in_order(harness: FleetHarness) -> list[Any]:
    """4. An answer is resumed at another engine, and that engine restarts from the first piece."""
    harness.start_load(duration=3 * SECOND)
    harness.sleep(2 * SECOND)
    request, attempt, task = harness.send_request(lane="ask", pieces=200)
    event = harness.wait_for_decode(request=f"ask/{request.identity}")
    harness.sleep(SECOND / 2)
    harness.sim.hosts[event.engine].kill()
    task.wait()
    return harness.engine_events(what="decode", request=f"ask/{request.identity}")[1:] * (attempt.count > 0)


def memory(harness: FleetHarness) -> list[Any]:
    """5. A prefill engine returns the KV cache handle of another request."""
    for engine in harness.sim.current_engines.values():
        engine.returns_previous_kv_handle = True
    tasks = [harness.send_request(lane="plain")[2] for _ in range(4)]
    for task in tasks:
        task.wait()
    return harness.engine_events(what="mixed")


def service(harness: FleetHarness) -> list[Any]:
    """6. An engine of another service takes over an address before the engine list is updated."""
    task = harness.start_load(duration=5 * SECOND)
    harness.sleep(SECOND)
    engine = harness.sim.plan.engines[2]
    harness.sim.hosts[engine["engine"]].kill()
    harness.sim.start_engine(engine={**engine, "engine": "stranger", "service": "elsewhere"})
    task.wait()
    return [
        at for at, _, log_event, _ in harness.sim.world.logged if log_event is LogEvent.ENGINE_IDENTITY_MISMATCH
    ] or harness.engine_events(what="rejected", why="not that engine")


def leaving(harness: FleetHarness) -> list[Any]:
    """7. One engine reports that it is leaving, the engine list says it of another; the load continues."""
    task = harness.start_load(duration=9 * SECOND)
    harness.sleep(SECOND)
    harness.fault_injector._leave(engine=harness.sim.plan.engines[1])
    task.wait()
    engine = harness.sim.current_engines["engine-2"]
    harness.sim.engine_rows[2]["leaving"] = True
    assert harness.sim.put_engines()
    harness.fault_injector.leave_notices.append((harness.sim.world.now(), engine.incarnation))
    before = len(harness.engine_events(what="decode"))
    harness.start_load(duration=6 * SECOND).wait()
    return [before] * (len(harness.open_loop.attempts) > 200)


def honoured(harness: FleetHarness) -> list[Any]:
    """8. A configuration becomes active while an edge is cut off for 5 s, then another one while it is cut off for 1 s,
    then a third while an edge is suspended between its last check and a call's first byte."""
    cores = [core["name"] for core in harness.sim.plan.cores]
    tasks = [harness.start_load(duration=14 * SECOND, edge=edge) for edge in (0, 1)]
    harness.sleep(SECOND)
    pairs = harness.cut_links(names=["edge-1"], others=[*cores, "edge-0"])
    acked = [harness.put_config(horizonMs=7900) == 200]
    harness.sleep(5 * SECOND)
    harness.restore_links(pairs=pairs)
    harness.sleep(2 * SECOND)
    pairs = harness.cut_links(names=["edge-1"], others=[*cores, "edge-0"])
    acked.append(harness.put_config(horizonMs=7800) == 200)
    harness.sleep(ms(1000))
    harness.restore_links(pairs=pairs)
    harness.sleep(3 * SECOND)
    for task in tasks:
        task.wait()
    _pause_before_first_byte(harness)
    acked.append(harness.put_config(horizonMs=7700) == 200)
    harness.sleep(5 * SECOND)
    pauses = harness.sim.hosts["edge-0"].pauses
    harness.start_load(duration=SECOND).wait()
    return pauses * all(acked)


def _pause_before_first_byte(harness: FleetHarness) -> None:
    """Suspends edge 0 for four seconds just before the first byte of an engine call."""
    host = harness.sim.hosts["edge-0"]
    engine_calls = harness.sim.daemons["edge-0"].table.engine_calls
    ask = engine_calls._send_request

    def pausing(**kwargs: Any) -> Any:
        engine_calls._send_request = ask
        host.schedule_pause(steps=1, duration=4 * SECOND)
        return ask(**kwargs)

    engine_calls._send_request = pausing
    harness.send_request(lane="plain")
    harness.sleep(ms(20))


def kept(harness: FleetHarness) -> list[Any]:
    """9. The head loses its disk just after accepting a change that no other core has; all cores are killed just after
    an acknowledged one."""
    cores = [core["name"] for core in harness.sim.plan.cores]
    head = harness.head_name()
    chain = harness.sim.daemons[head].chain
    address = next(core["http"] for core in harness.sim.plan.cores if core["name"] == head)
    mark = harness.sim.request(address=address, method="GET", path="/config")[1]["mark"]
    last_append_at = chain.last_append_at
    while chain.last_append_at == last_append_at:
        harness.sleep(ms(1))
    # The head has just sent to the chain, so it accepts the change before it notices that it is cut off.
    pairs = harness.cut_links(names=[head], others=[name for name in cores if name != head])
    sent = harness.sim.world.now()
    tree = {**harness.sim.plan.tree, "sites": {"a": {"urgency": 7}}}
    fields = {"fields": tree, "headers": {"If-Match": f'"{mark}"'}}
    status, body = harness.sim.request(address=address, method="PUT", path="/config", **fields)
    mark = body["mark"] if status == 200 else 0
    harness.fault_injector.config_changes.append(
        ConfigChange(sent=sent, ended=harness.sim.world.now(), tree=tree, status=status, mark=mark)
    )
    accepted = [entry for entry in chain.store.entries if entry.change.get("tree") == tree]
    harness.sim.hosts[head].kill()
    harness.sim.hosts[head].machine.disk.files.clear()
    for stream in harness.sim.hosts[head].streams:
        stream.in_flight.clear()  # The whole machine is lost, with the bytes that it had in flight.
    harness.restore_links(pairs=pairs)
    harness.fault_injector._restart(names=[head], duration=SECOND)
    harness.sleep(8 * SECOND)
    acked = harness.put_config(horizonMs=7900)
    harness.fault_injector._restart(names=cores, duration=SECOND)
    harness.sleep(8 * SECOND)
    return accepted * (acked == 200)


def unsynced(harness: FleetHarness) -> list[Any]:
    """9. The head's disk stores a change but fails to sync it; the head is killed before it can write again."""
    head = harness.head_name()
    disk = harness.sim.hosts[head].machine.disk
    disk.syncs_fail = True
    status = harness.put_config(horizonMs=7800)
    harness.sim.hosts[head].kill()
    disk.syncs_fail = False
    records = [record for record in parse(data=disk.files["chain"])[0] if "7800" in json.dumps(record)]
    harness.fault_injector._restart(names=[head], duration=SECOND / 5)
    harness.sleep(6 * SECOND)
    return records * (status != 200)


def extra(harness: FleetHarness) -> list[Any]:
    """10. Every KV cache entry expires at once, again and again, under load."""
    harness.sim.plan.tree["services"]["catalogue"].pop("extraPercent")
    assert harness.put_config(horizonMs=7900) == 200
    harness.sleep(3 * SECOND)
    task = harness.start_load(duration=12 * SECOND)
    harness.sleep(4 * SECOND)
    for engine in harness.sim.current_engines.values():
        engine.speed = dataclasses.replace(engine.speed, memoryMs=0)
    task.wait()
    return harness.engine_events(what="no_memory")[20:]


def _always_move(*, engines: list[dict[str, Any]], loads: dict[str, Any]) -> PhaseMove | None:
    """Always asks for engine-2 to switch phase, so that orders are frequent."""
    engine = next((engine for engine in engines if engine["engine"] == "engine-2"), None)
    if engine is None or "engine-2" not in loads:
        return None
    return PhaseMove(engine=engine, phase="prefill" if loads["engine-2"].phase == "decode" else "decode")


def commanded(harness: FleetHarness) -> list[Any]:
    """11. The head is cut off just after an order and its successor sends one too. Then a head is suspended between its
    last check and an order's first byte; it resumes before its successor sends orders."""
    cores = [core["name"] for core in harness.sim.plan.cores]

    def order_count() -> int:
        return len(harness.engine_events(what="order"))

    def wait_for_order(limit: timedelta = 20 * SECOND) -> None:
        count = order_count()
        assert harness.sim.wait_until(what=lambda: order_count() > count, limit=limit)

    wait_for_order()
    head = harness.head_name()
    pairs = harness.cut_links(names=[head], others=[*(name for name in cores if name != head), "edge-0", "edge-1"])
    wait_for_order()
    harness.restore_links(pairs=pairs)
    harness.sleep(6 * SECOND)
    call = HttpClientConnection.call
    paused: list[str] = []

    def pausing(self: HttpClientConnection, *, method: str, path: str, **kwargs: Any) -> Any:
        if path == "/order" and not paused:
            paused.append(self.runtime_host.name)
            self.runtime_host.schedule_pause(steps=1, duration=ms(3300))
        return call(self, method=method, path=path, **kwargs)

    HttpClientConnection.call = pausing
    try:
        assert harness.sim.wait_until(what=lambda: bool(paused), limit=20 * SECOND)
        # It must not rejoin before its successor has sent an order.
        harness.cut_links(names=paused, others=[name for name in cores if name not in paused])
        harness.sleep(12 * SECOND)
    finally:
        HttpClientConnection.call = call
    senders = {event.fields["by"] for event in harness.engine_events(what="order")}
    return paused * (len(senders) > 1)


def returns(harness: FleetHarness) -> list[Any]:
    """12. Everything is restarted at once under load, with the wall clocks of the cores three days behind. The tail of
    the chain starts last, so that the clock source starts before it learns what was acknowledged."""
    task = harness.start_load(duration=24 * SECOND)
    harness.requests_per_second = harness.sim.plan.requests_per_second
    harness.sleep(3 * SECOND)
    cores = [core["name"] for core in harness.sim.plan.cores]
    for name in cores:
        harness.sim.hosts[name].machine.wall_offset -= timedelta(days=3)
    tail = next(name for name in cores if harness.sim.daemons[name].agreement.is_tail())
    tail_restart = eventlet.spawn(harness.fault_injector._restart, names=[tail], duration=3 * SECOND)
    harness.fault_injector._restart(
        names=[name for name in [*cores, "edge-0", "edge-1"] if name != tail], duration=SECOND
    )
    tail_restart.wait()
    harness.repaired_at = harness.sim.world.now()
    harness.sleep(19 * SECOND)
    truth_at_end = harness.ground_truth()
    task.wait()
    harness.ground_truth = lambda: dataclasses.replace(truth_at_end, attempts=harness.open_loop.attempts)
    return [attempt for attempt in harness.open_loop.attempts if attempt.kind == "unreachable"]


# Patches that remove the defences, one each.


def _claim_without_chain(self: RequestTable, *, record: RequestRecord) -> None:
    """Marks the request as claimed without asking the chain."""
    record.claimed, record.step = True, Step.PREFILL_QUEUED
    self.wakeup.notify_all()


def _end_with_given_outcome(self: RequestRecord, *, outcome: Outcome, at: timedelta) -> None:
    """Ends a request with a refusal even if a call of it was sent."""
    self.outcome, self.step, self.ended_at = outcome, Step.ENDED, at
    self.changed.notify_all()


_relay = EngineCalls._relay


def _treat_cut_as_end(self: EngineCalls, **kwargs: Any) -> None:
    """Takes an engine's stream that breaks off for the end of the answer."""
    try:
        _relay(self, **kwargs)
    except Exception:
        return


_build_tentative = ChainReplica._build_tentative


def _time_claims_by_clock(self: ChainReplica) -> Any:
    """Dates claims by the cluster clock, which may jump, instead of time that the chain itself keeps."""
    tentative = _build_tentative(self)
    self.claims_time_us = instant_us(self.gossip.clock.now())
    return tentative


def _always_retry(
    self: RequestTable, *, record: RequestRecord, engine: str, prefill: bool, kind: OutcomeKind, why: str
) -> None:
    """Runs a call again after a failure, whatever the lane allows."""
    record.tried_engines.add(engine)
    self._requeue(record=record, step=Step.DECODE_QUEUED if record.kv_handle and not prefill else Step.PREFILL_QUEUED)


def _relay_without_piece_numbers(self: EngineCalls, *, record: RequestRecord, response: Any, start: int) -> None:
    """Relays pieces without comparing their numbers with the next one expected."""
    for line in response:
        body = json.loads(line)
        if "end" in body:
            response.read()
            return
        if "text" in body:
            record.add_piece(text=body["text"], stamp_us=0)
    raise CallFailed("cut")


_apply_news = ConfigSubscription._apply_news


def _ignore_leaving_in_engine_list(self: ConfigSubscription, *, news: dict[str, Any], held_ms: int) -> None:
    """Drops `leaving` from the engine list."""
    for engine in news.get("engines", []):
        engine.pop("leaving", None)
    _apply_news(self, news=news, held_ms=held_ms)


_update_usage = UsageTable.update


def _ignore_leaving_in_usage(self: UsageTable, *, usage: Any) -> bool:
    """Drops `leaving` from what the engine itself reports."""
    return _update_usage(self, usage=dataclasses.replace(usage, leaving=False))


_append_pending = ChainReplica._append_pending


def _acknowledge_before_replication(self: ChainReplica) -> None:
    """Acknowledges a change while only the head has it."""
    _append_pending(self)
    for write in self.waiting:
        write.done.send(Outcome(kind=OutcomeKind.ANSWERED, detail={"mark": write.index}))
    self.waiting.clear()


_append = RecordLog.append


def _skip_chain_appends(self: RecordLog, *, records: list[dict[str, Any]]) -> None:
    """Doesn't write the chain file."""
    if self.name != "chain":
        _append(self, records=records)


_become_source = Clock.become_source


def _start_from_wall_clock(self: Clock, *, mark: int, not_before: datetime) -> None:
    """Starts the cluster clock from the wall clock, even if that is before a time on record."""
    _become_source(self, mark=mark, not_before=EPOCH)


def _treat_unknown_append_as_failed(self: RecordLog, *, records: list[dict[str, Any]]) -> None:
    """Reports an append of unknown outcome as a plain failure."""
    try:
        _append(self, records=records)
    except AppendOutcomeUnknown as error:
        raise OSError(*error.args) from None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rule:
    """One rule and the scenario that tests it.

    Invariants:
    - `check` is the name of the check that fails without a defence.
    - `defences` maps a defence to the (owner, attribute, replacement) patches that remove it. They are applied once the
      fleet serves, or before it starts if `patch_before_start`.
    - `setup_patches` are applied in every run, to provoke the hazard.
    """

    number: int
    check: str
    scenario: Callable[[FleetHarness], list[Any]]
    defences: dict[str, list[tuple[Any, str, Any]]]
    settings: dict[str, int] = dataclasses.field(default_factory=dict)
    setup_patches: list[tuple[Any, str, Any]] = dataclasses.field(default_factory=list)
    seed: int = 1
    patch_before_start: bool = False


def _decode_from_first_piece(self: Any, **kwargs: Any) -> Any:
    """Ignores the piece from which the engine should resume."""
    return _stream_pieces(self, **(kwargs | {"fields": {**kwargs["fields"], "from": 0}}))


_stream_pieces = Engine._stream_pieces

RULES = [
    Rule(
        number=1, check="once_runs_once", scenario=once,
        defences={
            "the claim": [(RequestTable, "_claim", _claim_without_chain)],
            "one send a leg": [
                (
                    RequestRecord, "runs_once",
                    property(lambda self: not self.claimed and self.lane_settings["run"] == "once"),
                )
            ],
        },
    ),
    Rule(
        number=1,
        check="once_runs_once",
        scenario=once_for_a_day,
        defences={"the claims' time is no clock's": [(ChainReplica, "_build_tentative", _time_claims_by_clock)]},
        patch_before_start=True,
    ),
    Rule(
        number=2, check="refused_never_runs", scenario=refused,
        defences={
            "no refusal to what may have run": [
                (record_module, "refusal_as_unknown", lambda *, outcome: outcome),
                (edge_module, "refusal_as_unknown", lambda *, outcome: outcome),
            ],
            "no refusal to what was sent": [(RequestRecord, "end", _end_with_given_outcome)],
        },
    ),
    Rule(
        number=3, check="answers_are_own_and_whole", scenario=whole,
        defences={
            "the answer's end": [(EngineCalls, "_relay", _treat_cut_as_end)],
            "no other run goes on": [(RequestTable, "_retry_or_fail", _always_retry)],
            "one body an identity": [(RequestRecord, "body_digest", "")],
        },
    ),
    Rule(
        number=4, check="pieces_in_order", scenario=in_order,
        setup_patches=[(Engine, "_stream_pieces", _decode_from_first_piece)],
        defences={"pieces are counted": [(EngineCalls, "_relay", _relay_without_piece_numbers)]},
    ),
    Rule(
        number=5, check="memory_is_own", scenario=memory,
        defences={
            "the memory's tag": [
                (EngineCalls, "_expected_kv_handle", lambda self, **_: {}),
                (engine_calls_module, "KV_HANDLE_FIELDS", ()),
            ],
        },
    ),
    Rule(
        number=6, check="services_are_allowed", scenario=service,
        defences={"who is there is asked first": [(EngineConnectionPool, "_matches", lambda self, **_: True)]},
    ),
    Rule(
        number=7, check="leaving_gets_nothing", scenario=leaving,
        defences={
            "the engine's own word": [(UsageTable, "update", _ignore_leaving_in_usage)],
            "the list's word": [(ConfigSubscription, "_apply_news", _ignore_leaving_in_engine_list)],
        },
    ),
    Rule(
        number=8, check="configurations_are_honoured", scenario=honoured,
        defences={
            "permission": [
                (ConfigSubscription, "lease_valid", lambda self: True),
                (ConfigSubscription, "lease_expires_at", property(lambda self: self.host.elapsed() + SECOND)),
            ],
            "the wait before use": [
                (
                    ConfigSubscription, "current_config",
                    lambda self: self.configs[-1] if self.configs and self.lease_valid() else None,
                )
            ],
            "a late leg is handed back": [
                (ConfigSubscription, "call_valid_until", lambda self: self.host.elapsed() + timedelta(hours=1))
            ],
        },
    ),
    Rule(
        number=9, check="configurations_are_kept", scenario=kept,
        defences={
            "two copies": [(ChainReplica, "_append_pending", _acknowledge_before_replication)],
            "the sync": [(RecordLog, "append", _skip_chain_appends)],
        },
    ),
    Rule(
        number=9,
        check="configurations_are_kept",
        scenario=unsynced,
        defences={"a refusal once it is cut off": [(RecordLog, "append", _treat_unknown_append_as_failed)]},
        seed=2,
    ),
    Rule(
        number=10, check="extra_sends_are_few", scenario=extra,
        defences={"the budget": [(RetryBudget, "allows", lambda self, **_: True)]},
    ),
    Rule(
        number=11, check="one_commands_at_a_time", scenario=commanded, settings={"permitMs": 300, "suspectMs": 300},
        setup_patches=[(scheduler, "choose_move", _always_move), (scheduler, "SERVICE_COOLDOWN", timedelta())],
        defences={
            "the hush": [(scheduler, "LEASE_GRACE", timedelta())],
            "the permit's end at the engine": [(scheduler, "to_us", lambda span: 3_600_000_000)],
        },
    ),
    Rule(
        number=12, check="service_returns", scenario=returns,
        defences={
            "the join rate": [(GossipEndpoint, "_exchange_interval", lambda self: self.exchange_rate.interval)],
            "no time before what is on record": [(Clock, "become_source", _start_from_wall_clock)],
        },
    ),
]  # fmt: skip


def run_rule(*, rule: Rule, without: str = "") -> tuple[list[Any], dict[str, list[str]]]:
    """Runs a rule's scenario, with one defence removed or none; returns the hazard's evidence and the violations."""
    patches = [*rule.setup_patches, *(rule.defences[without] if without else [])]
    with pytest.MonkeyPatch.context() as patch, fleet(plan=small_plan(**rule.settings), seed=rule.seed) as sim:
        if not rule.patch_before_start:
            sim.begin()
        for owner, name, value in patches:
            patch.setattr(owner, name, value)
        if rule.patch_before_start:
            sim.begin()
        harness = FleetHarness(sim=sim)
        evidence = rule.scenario(harness)
        return evidence, checks.run_checks(truth=harness.ground_truth())


@pytest.mark.parametrize("rule", RULES, ids=lambda rule: rule.scenario.__name__)
def test_the_hazard_occurs_and_the_rule_holds(rule):
    evidence, violations = run_rule(rule=rule)
    assert evidence and violations == {}


REMOVED_DEFENCES = [(rule, name) for rule in RULES for name in rule.defences]


@pytest.mark.parametrize(
    ("rule", "without"), REMOVED_DEFENCES, ids=[f"{rule.scenario.__name__}, {name}" for rule, name in REMOVED_DEFENCES]
)
def test_the_rule_is_broken_without_a_defence(rule, without):
    evidence, violations = run_rule(rule=rule, without=without)
    assert evidence and rule.check in violations
