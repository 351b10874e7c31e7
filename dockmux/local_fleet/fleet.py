"""A fleet of real processes on this machine: starts, signals and stops them and sends operators' requests."""

import json
import os
import signal
import sys
from datetime import timedelta
from pathlib import Path
from typing import Any

import urllib3.exceptions
from eventlet.green import subprocess

from dockmux.local_fleet.fleet_plan import FleetPlan
from dockmux.runtime.host import Host
from dockmux.runtime.http_client import fetch
from dockmux.runtime.time_units import ms

REQUEST_TIMEOUT = timedelta(seconds=3)
READY_TIMEOUT = timedelta(seconds=60)
STOP_TIMEOUT = timedelta(seconds=20)


class Fleet:
    """The processes of a plan; settings, data, logs and engine records are files in `folder`.

    Invariant: `processes` maps names to the processes that were started here and not yet waited for."""

    def __init__(self, *, host: Host, plan: FleetPlan, folder: str) -> None:
        self.host = host
        self.plan = plan
        self.folder = Path(folder)
        self.processes: dict[str, Any] = {}

    def __enter__(self) -> "Fleet":
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "tree.json").write_text(json.dumps(self.plan.tree, indent=1) + "\n")
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> dict[str, int]:
        """Terminates every process, kills those that exceed the timeout, and returns exit codes by name."""
        exit_codes = {}
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for name, process in self.processes.items():
            try:
                exit_codes[name] = process.wait(timeout=STOP_TIMEOUT.total_seconds())
            except subprocess.TimeoutExpired:
                process.kill()
                exit_codes[name] = process.wait()
        self.processes.clear()
        return exit_codes

    def _start(self, *, name: str, module: str, flags: list[str]) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", module, *flags],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL, env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )  # fmt: skip

    def start_daemon(self, *, daemon: dict[str, Any]) -> None:
        """Writes the settings file of a core or edge and starts it; a core keeps its data folder."""
        name = daemon["name"]
        is_core = name.startswith("core")
        data_folder = str(self.folder / f"{name}.data") if is_core else ""
        fields = self.plan.daemon_settings(daemon=daemon, data_folder=data_folder)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(fields, indent=1) + "\n")
        module = "dockmux.control.program" if is_core else "dockmux.native_proxy.program"
        self._start(name=name, module=module, flags=["--settings", str(path)])

    def start_engine(self, *, engine: dict[str, Any]) -> None:
        """Starts an emulated engine that appends to its `.history` file."""
        flags = ["--name", engine["engine"], "--service", engine["service"], "--address", engine["address"]]
        flags += ["--phase", engine["phase"], "--record", str(self.folder / f"{engine['engine']}.history")]
        for key, value in self.plan.speed.items():
            flags += ["--" + key.replace("_", "-"), str(value)]
        self._start(name=engine["engine"], module="dockmux.engine_emulator.program", flags=flags)

    def start_all(self) -> None:
        """Starts engines first, then cores and edges."""
        for engine in self.plan.engines:
            self.start_engine(engine=engine)
        for daemon in [*self.plan.cores, *self.plan.edges]:
            self.start_daemon(daemon=daemon)

    def send_signal(self, *, name: str, signal_number: int) -> None:
        self.processes[name].send_signal(signal_number)

    def kill(self, *, name: str, signal_number: int = signal.SIGKILL) -> None:
        """Sends a signal, by default SIGKILL, to one process and waits until it has ended."""
        process = self.processes.pop(name)
        process.send_signal(signal_number)
        process.wait()

    def request_core(self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None) -> Any:
        """Sends a request to the cores in turn until one answers with a status below 500.

        Returns (status, body, headers) of that answer, else of the last one; status 0 if no core answered."""
        answer = (0, None, {})
        for core in self.plan.cores:
            try:
                answer = fetch(
                    host=self.host, address=core["http"], method=method, path=path, wait=REQUEST_TIMEOUT,
                    fields=fields, headers=headers,
                )  # fmt: skip
            except (OSError, urllib3.exceptions.HTTPError):
                continue
            if answer[0] < 500:
                return answer
        return answer

    def put_engines(self) -> bool:
        """Sends the engine list; returns whether it was accepted."""
        status, _, _ = self.request_core(method="PUT", path="/engines", fields=self.plan.engine_list())
        return status == 200

    def put_config(self) -> tuple[int, Any]:
        """Applies the plan's configuration tree; returns status and body."""
        status, body, _ = self.request_core(method="GET", path="/config")
        if status != 200:
            return status, body
        headers = {"If-Match": f'"{body["mark"]}"'}
        return self.request_core(method="PUT", path="/config", fields=self.plan.tree, headers=headers)[:2]

    def stored_configs(self) -> list[dict[str, Any]] | None:
        """Returns the configurations stored by the control plane (keys mark, tree), or None if no core answers."""
        status, body, _ = self.request_core(method="GET", path="/history")
        if status != 200:
            return None
        rows = [self.request_core(method="GET", path=f"/config/{row['mark']}") for row in body["configs"]]
        return [{"mark": row["mark"], "tree": row["tree"]} for status, row, _ in rows if status == 200]

    def wait_for(self, *, what: str) -> bool:
        """Waits until the engine list is accepted (what='engines') or every edge serves (what='serving').

        Returns False after READY_TIMEOUT."""
        deadline = self.host.elapsed() + READY_TIMEOUT
        while self.host.elapsed() < deadline:
            if self.put_engines() if what == "engines" else self.all_edges_serving():
                return True
            self.host.sleep(wait=ms(200))
        return False

    def all_edges_serving(self) -> bool:
        """Tells whether every running edge is ready and knows all engines."""
        for edge in self.plan.edges:
            if edge["name"] not in self.processes:
                continue
            try:
                status, body, _ = fetch(
                    host=self.host, address=edge["http"], method="GET", path="/status", wait=REQUEST_TIMEOUT
                )
            except (OSError, urllib3.exceptions.HTTPError):
                return False
            if status != 200 or not body["ready"] or len(body["engines"]) < len(self.plan.engines):
                return False
        return True
