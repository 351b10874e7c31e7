"""Fault drills: injects a fault into a fleet of real processes under load and runs the simulator's checkers."""

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
QUIET_PERIOD = 14 * SECOND


@dataclasses.dataclass(frozen=True, kw_only=True)
class DrillResult:
    """Result of a drill: violations by checker, summary of the load, time until the service had recovered, exit codes
    by process, and the HTTP statuses of the configuration changes that operators sent during the fault."""

    violations: dict[str, list[str]]
    summary: dict[str, Any]
    recovery_ms: int
    exit_codes: dict[str, int]
    config_statuses: list[int]


class FaultInjector:
    """Injects faults; each kind of KINDS is the method of that name with a leading underscore.

    Invariants: every process that a fault stopped is running again when `inject` returns; `config_changes` holds the
    changes that operators sent; `since` is the start of the run on the host's clock."""

    def __init__(self, *, host: Host, fleet: Fleet, task_group: TaskGroup, since: timedelta) -> None:
        self.host = host
        self.fleet = fleet
        self.task_group = task_group
        self.since = since
        self.config_changes: list[ConfigChange] = []

    def inject(self, *, kind: str) -> None:
        """Runs the fault of this kind and returns when it is over."""
        getattr(self, "_" + kind)()

    def _daemon(self, *, name: str) -> dict[str, Any]:
        daemons = [*self.fleet.plan.cores, *self.fleet.plan.edges]
        return next(daemon for daemon in daemons if daemon["name"] == name)

    def _restart(self, *, names: list[str], wait: timedelta, clear_data: bool = False) -> None:
        """Kills daemons and starts them again after `wait`, if requested with empty data folders."""
        for name in names:
            self.fleet.kill(name=name)
        if clear_data:
            for name in names:
                shutil.rmtree(self.fleet.folder / f"{name}.data")
        self.host.sleep(wait=wait)
        for name in names:
            self.fleet.start_daemon(daemon=self._daemon(name=name))

    def _kill_edge(self) -> None:
        self._restart(names=["edge-0"], wait=SECOND)

    def _kill_core(self) -> None:
        self._restart(names=["core-0"], wait=3 * SECOND)

    def _empty_core(self) -> None:
        self._restart(names=["core-1"], wait=2 * SECOND, clear_data=True)

    def _restart_all(self) -> None:
        daemons = [*self.fleet.plan.cores, *self.fleet.plan.edges]
        self._restart(names=[daemon["name"] for daemon in daemons], wait=SECOND / 2)

    def _freeze(self, *, name: str, duration: timedelta) -> None:
        self.fleet.send_signal(name=name, number=signal.SIGSTOP)
        self.host.sleep(wait=duration)
        self.fleet.send_signal(name=name, number=signal.SIGCONT)

    def _freeze_edge(self) -> None:
        self._freeze(name="edge-1", duration=4 * SECOND)

    def _freeze_core(self) -> None:
        self._freeze(name="core-2", duration=4 * SECOND)

    def _kill_engine(self) -> None:
        engine = self.fleet.plan.engines[-1]
        self.fleet.kill(name=engine["engine"])
        self.host.sleep(wait=2 * SECOND)
        self.fleet.start_engine(engine=engine)

    def _kill_many(self) -> None:
        edges = [edge["name"] for edge in self.fleet.plan.edges]
        self._restart(names=edges[: -(-len(edges) * 2 // 3)], wait=SECOND)

    def _address_reused(self) -> None:
        """An engine crashes, and an engine of another service reuses its address while the engine list is unchanged."""
        engine = self.fleet.plan.engines[-1]
        self.fleet.kill(name=engine["engine"])
        self.fleet.start_engine(engine={**engine, "engine": "stranger", "service": "elsewhere"})
        self.host.sleep(wait=4 * SECOND)
        self.fleet.kill(name="stranger")
        self.fleet.start_engine(engine=engine)

    def _operators_race(self) -> None:
        """Twice, two operators send concurrent changes based on the same mark, and a third sends an invalid tree."""
        for round_number in range(2):
            mark = self.fleet.request_core(method="GET", path="/config")[1]["mark"]
            tasks = [
                self.task_group.start(task=self._put_config, mark=mark, horizon_ms=7000 + 100 * round_number + operator)
                for operator in range(2)
            ]
            self._put_config(mark=mark, horizon_ms=-1)
            for task in tasks:
                task.wait()
            self.host.sleep(wait=2 * SECOND)

    def _put_config(self, *, mark: int, horizon_ms: int) -> None:
        tree = self.fleet.plan.tree
        tree = {**tree, "defaults": {**tree["defaults"], "horizonMs": horizon_ms}}
        sent = self.host.elapsed() - self.since
        headers = {"If-Match": f'"{mark}"'}
        status, body, _ = self.fleet.request_core(method="PUT", path="/config", fields=tree, headers=headers)
        accepted_mark = body["mark"] if status == 200 else 0
        self.config_changes.append(
            ConfigChange(
                sent=sent, ended=self.host.elapsed() - self.since, tree=tree, status=status, mark=accepted_mark
            )
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


def _read_engine_events(*, fleet: Fleet, since: timedelta) -> list[EngineEvent]:
    """Reads the engines' records, ordered by time. All processes of one machine share its monotonic clock."""
    rows = []
    for file in sorted(fleet.folder.glob("*.history")):
        for line in file.read_text().splitlines():
            fields = json.loads(line)
            at = timedelta(microseconds=fields.pop("atUs")) - since
            common_fields = {key: fields.pop(key) for key in ("engine", "incarnation", "service", "what")}
            rows.append(EngineEvent(at=at, fields=fields, **common_fields))
    return sorted(rows, key=lambda row: row.at)


def drill(
    *, host: Host, plan: FleetPlan, folder: str, kind: str, seed: int = 1, quiet_period: timedelta = QUIET_PERIOD
) -> DrillResult:
    """Starts a new fleet under its normal load, injects one fault, waits for `quiet_period`, stops and checks it."""
    shutil.rmtree(folder, ignore_errors=True)
    with Fleet(host=host, plan=plan, folder=folder) as fleet, TaskGroup(host=host) as task_group:
        fleet.start_all()
        assert fleet.wait_for(what="engines"), "the core did not come up"
        since = host.elapsed()
        status, body = fleet.put_config()
        assert status == 200 and fleet.wait_for(what="serving"), f"not serving: {status} {body}"
        initial_change = ConfigChange(
            sent=timedelta(), ended=host.elapsed() - since, tree=plan.tree, status=200, mark=body["mark"]
        )
        open_loop = OpenLoopLoad(host=host, plan=plan, seed=seed, max_retries=2)
        load_started = host.elapsed() - since
        # An upper limit: how long a fault takes is not known, so `stop_at` ends the load.
        duration = 3 * SECOND + MAX_FAULT_DURATION + quiet_period
        task = task_group.start(task=open_loop.run, duration=duration, since=since)
        host.sleep(wait=3 * SECOND)
        faults = FaultInjector(host=host, fleet=fleet, task_group=task_group, since=since)
        faults.inject(kind=kind)
        healed = host.elapsed() - since
        open_loop.stop_at = healed + quiet_period
        task.wait()
        lasted = host.elapsed() - since
        stored_configs = fleet.stored_configs()
        exit_codes = fleet.stop()
        truth = GroundTruth(
            attempts=open_loop.attempts,
            engine_events=_read_engine_events(fleet=fleet, since=since),
            config_changes=[initial_change, *faults.config_changes],
            leave_notices=[],
            site_by_edge={edge["name"]: edge["site"] for edge in plan.edges},
            requests_per_second=plan.requests_per_second,
            repaired_at=max(healed, load_started),
            ended_at=min(lasted, healed + quiet_period),
            kept_configs=stored_configs,
        )
    return DrillResult(
        violations=checks.run_checks(truth=truth),
        summary=summarize(attempts=open_loop.attempts),
        recovery_ms=checks.recovery_time(truth=truth) // ms(1),
        exit_codes=exit_codes,
        config_statuses=[change.status for change in faults.config_changes],
    )


MAX_FAULT_DURATION = 20 * SECOND


def test_real_processes_serve_through_a_kill_and_stop_in_order(tmp_path):
    from dockmux.local_fleet.fleet_plan import load

    host = Host(name="drill")
    plan = load(path="fleets/mini.yaml")
    result = drill(host=host, plan=plan, folder=str(tmp_path / "run"), kind="kill_edge", quiet_period=6 * SECOND)
    assert result.violations == {}
    assert result.summary["outcomes"]["answered"] >= 20
    assert set(result.exit_codes.values()) == {0} and len(result.exit_codes) == 7


def test_invalid_setting_gives_one_line_on_stderr_and_exit_code_2():
    import subprocess
    import sys

    flags = ["--name", "a", "--site", "s", "--address", "127.0.0.1:1", "--http", "127.0.0.1:2"]
    flags += ["--seeds", "127.0.0.1:3", "--permitMs", "1"]
    completed = subprocess.run(
        [sys.executable, "-m", "dockmux.native_proxy.program", *flags],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2
    assert completed.stderr.splitlines() == [
        "verge: bad setting permitMs: found 1, allowed: a whole number from 300 to 5000"
    ]
