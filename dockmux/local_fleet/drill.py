"""The main faults on real processes, with load running, and the same checkers over what was seen."""

import dataclasses
import json
import shutil
import signal
from datetime import timedelta
from typing import Any

from dockmux.load_generator.open_loop import OpenLoopLoad
from dockmux.load_generator.report import summarize
from dockmux.local_fleet.fleet import Fleet
from dockmux.local_fleet.fleet_plan import FleetPlan
from dockmux.runtime.host import Host
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ms
from dockmux.simulator import checks
from dockmux.simulator.ground_truth import ConfigChange, EngineEvent, GroundTruth

SECOND = timedelta(seconds=1)
QUIET = 14 * SECOND


@dataclasses.dataclass(frozen=True, kw_only=True)
class Drilled:
    """What a drill came to."""

    wrong: dict[str, list[str]]
    summary: dict[str, Any]
    recoveredMs: int
    exits: dict[str, int]
    told: list[int]


class Drill:
    """Invariants: whatever a fault stopped is running again when `act` returns; `told` holds what operators sent."""

    def __init__(self, *, host: Host, fleet: Fleet, task_group: TaskGroup, since: timedelta) -> None:
        self.host = host
        self.fleet = fleet
        self.task_group = task_group
        self.since = since
        self.told: list[ConfigChange] = []

    def act(self, *, kind: str) -> None:
        getattr(self, "_" + kind)()

    def _daemon(self, *, name: str) -> dict[str, Any]:
        daemons = [*self.fleet.plan.cores, *self.fleet.plan.edges]
        return next(daemon for daemon in daemons if daemon["name"] == name)

    def _bounce(self, *, names: list[str], wait: timedelta, empty: bool = False) -> None:
        for name in names:
            self.fleet.end(name=name)
        if empty:
            for name in names:
                shutil.rmtree(self.fleet.folder / f"{name}.data")
        self.host.sleep(wait=wait)
        for name in names:
            self.fleet.start_daemon(daemon=self._daemon(name=name))

    def _kill_edge(self) -> None:
        self._bounce(names=["edge-0"], wait=SECOND)

    def _kill_core(self) -> None:
        self._bounce(names=["core-0"], wait=3 * SECOND)

    def _empty_core(self) -> None:
        self._bounce(names=["core-1"], wait=2 * SECOND, empty=True)

    def _restart_all(self) -> None:
        daemons = [*self.fleet.plan.cores, *self.fleet.plan.edges]
        self._bounce(names=[daemon["name"] for daemon in daemons], wait=SECOND / 2)

    def _freeze(self, *, name: str, lasts: timedelta) -> None:
        self.fleet.send_signal(name=name, number=signal.SIGSTOP)
        self.host.sleep(wait=lasts)
        self.fleet.send_signal(name=name, number=signal.SIGCONT)

    def _freeze_edge(self) -> None:
        self._freeze(name="edge-1", lasts=4 * SECOND)

    def _freeze_core(self) -> None:
        self._freeze(name="core-2", lasts=4 * SECOND)

    def _kill_engine(self) -> None:
        engine = self.fleet.plan.engines[-1]
        self.fleet.end(name=engine["engine"])
        self.host.sleep(wait=2 * SECOND)
        self.fleet.start_engine(engine=engine)

    def _kill_many(self) -> None:
        edges = [edge["name"] for edge in self.fleet.plan.edges]
        self._bounce(names=edges[: -(-len(edges) * 2 // 3)], wait=SECOND)

    def _address_reused(self) -> None:
        """An engine ends without a word, and another service's takes its address before the list says so."""
        engine = self.fleet.plan.engines[-1]
        self.fleet.end(name=engine["engine"])
        self.fleet.start_engine(engine={**engine, "engine": "stranger", "service": "elsewhere"})
        self.host.sleep(wait=4 * SECOND)
        self.fleet.end(name="stranger")
        self.fleet.start_engine(engine=engine)

    def _operators_race(self) -> None:
        """Twice two operators send at once from the same mark; a third sends a tree that is wrong."""
        for round_number in range(2):
            mark = self.fleet.ask_core(method="GET", path="/config")[1]["mark"]
            tasks = [
                self.task_group.start(task=self._put, mark=mark, horizonMs=7000 + 100 * round_number + operator)
                for operator in range(2)
            ]
            self._put(mark=mark, horizonMs=-1)
            for task in tasks:
                task.wait()
            self.host.sleep(wait=2 * SECOND)

    def _put(self, *, mark: int, horizonMs: int) -> None:
        tree = self.fleet.plan.tree
        tree = {**tree, "defaults": {**tree["defaults"], "horizonMs": horizonMs}}
        sent = self.host.elapsed() - self.since
        headers = {"If-Match": f'"{mark}"'}
        status, told, _ = self.fleet.ask_core(method="PUT", path="/config", fields=tree, headers=headers)
        taken = told["mark"] if status == 200 else 0
        self.told.append(
            ConfigChange(sent=sent, ended=self.host.elapsed() - self.since, tree=tree, status=status, mark=taken)
        )

    def _none(self) -> None:
        return


KINDS = [
    "none",
    "kill_edge",
    "kill_core",
    "empty_core",
    "restart_all",
    "freeze_edge",
    "freeze_core",
    "kill_engine",
    "kill_many",
    "address_reused",
    "operators_race",
]


def _rows(*, fleet: Fleet, since: timedelta) -> list[EngineEvent]:
    """The engines' records. All processes of one machine share its monotonic clock."""
    rows = []
    for file in sorted(fleet.folder.glob("*.history")):
        for line in file.read_text().splitlines():
            fields = json.loads(line)
            at = timedelta(microseconds=fields.pop("atUs")) - since
            known = {key: fields.pop(key) for key in ("engine", "incarnation", "service", "what")}
            rows.append(EngineEvent(at=at, fields=fields, **known))
    return sorted(rows, key=lambda row: row.at)


def drill(*, host: Host, plan: FleetPlan, folder: str, kind: str, seed: int = 1, quiet: timedelta = QUIET) -> Drilled:
    """A fresh fleet under its normal load, one fault, quiet; then everything is ended and checked."""
    shutil.rmtree(folder, ignore_errors=True)
    with Fleet(host=host, plan=plan, folder=folder) as fleet, TaskGroup(host=host) as task_group:
        fleet.up()
        assert fleet.wait_for(what="engines"), "the core did not come up"
        since = host.elapsed()
        status, told = fleet.put_config()
        assert status == 200 and fleet.wait_for(what="serving"), f"not serving: {status} {told}"
        applied = ConfigChange(
            sent=timedelta(), ended=host.elapsed() - since, tree=plan.tree, status=200, mark=told["mark"]
        )
        open_loop = OpenLoopLoad(host=host, plan=plan, seed=seed, max_retries=2)
        began = host.elapsed() - since
        # The load lasts until it is told to end: faults take as long as they take.
        lasts = 3 * SECOND + FAULT_LIMIT + quiet
        task = task_group.start(task=open_loop.run, duration=lasts, since=since)
        host.sleep(wait=3 * SECOND)
        made = Drill(host=host, fleet=fleet, task_group=task_group, since=since)
        made.act(kind=kind)
        healed = host.elapsed() - since
        open_loop.stop_at = healed + quiet
        task.wait()
        lasted = host.elapsed() - since
        kept = fleet.kept()
        exits = fleet.stop()
        truth = GroundTruth(
            seen=open_loop.attempts,
            rows=_rows(fleet=fleet, since=since),
            told=[applied, *made.told],
            leaving=[],
            sites={edge["name"]: edge["site"] for edge in plan.edges},
            perSecond=plan.perSecond,
            healed=max(healed, began),
            lasted=min(lasted, healed + quiet),
            kept=kept,
        )
    return Drilled(
        wrong=checks.check(truth=truth),
        summary=summarize(attempts=open_loop.attempts),
        recoveredMs=checks.recovery(truth=truth) // ms(1),
        exits=exits,
        told=[told.status for told in made.told],
    )


FAULT_LIMIT = 20 * SECOND


def test_real_processes_serve_through_a_kill_and_stop_in_order(tmp_path):
    from dockmux.local_fleet.fleet_plan import load

    host = Host(name="drill")
    plan = load(path="fleets/mini.yaml")
    found = drill(host=host, plan=plan, folder=str(tmp_path / "run"), kind="kill_edge", quiet=6 * SECOND)
    assert found.wrong == {}
    assert found.summary["outcomes"]["answered"] >= 20
    assert set(found.exits.values()) == {0} and len(found.exits) == 7


def test_a_bad_setting_ends_a_program_with_one_line_and_exit_two():
    import subprocess
    import sys

    flags = ["--name", "a", "--site", "s", "--address", "127.0.0.1:1", "--http", "127.0.0.1:2"]
    flags += ["--seeds", "127.0.0.1:3", "--permitMs", "1"]
    told = subprocess.run(
        [sys.executable, "-m", "dockmux.native_proxy.program", *flags],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert told.returncode == 2
    assert told.stderr.splitlines() == [
        "verge: bad setting permitMs: found 1, allowed: a whole number from 300 to 5000"
    ]
