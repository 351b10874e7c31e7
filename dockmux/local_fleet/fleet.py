"""A whole fleet of real processes on this machine; the platform's stand-in."""

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
from dockmux.runtime.http_transport import fetch
from dockmux.runtime.time_units import ms

ASK_LIMIT = timedelta(seconds=3)
READY_LIMIT = timedelta(seconds=60)
STOP_LIMIT = timedelta(seconds=20)


class Fleet:
    """Invariant: `processes` are those started here and not yet waited for, by name."""

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
        """Ends every process in order, by force only when it does not; their exit codes."""
        exits = {}
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for name, process in self.processes.items():
            try:
                exits[name] = process.wait(timeout=STOP_LIMIT.total_seconds())
            except subprocess.TimeoutExpired:
                process.kill()
                exits[name] = process.wait()
        self.processes.clear()
        return exits

    def _start(self, *, name: str, module: str, flags: list[str]) -> None:
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-W", "ignore", "-m", module, *flags],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL, env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )  # fmt: skip

    def start_daemon(self, *, daemon: dict[str, Any]) -> None:
        name = daemon["name"]
        is_core = name.startswith("core")
        data_folder = str(self.folder / f"{name}.data") if is_core else ""
        fields = self.plan.daemon_settings(daemon=daemon, data_folder=data_folder)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(fields, indent=1) + "\n")
        module = "dockmux.control.program" if is_core else "dockmux.native_proxy.program"
        self._start(name=name, module=module, flags=["--settings", str(path)])

    def start_engine(self, *, engine: dict[str, Any]) -> None:
        flags = ["--name", engine["engine"], "--service", engine["service"], "--address", engine["address"]]
        flags += ["--phase", engine["phase"], "--record", str(self.folder / f"{engine['engine']}.history")]
        for key, value in self.plan.speed.items():
            flags += ["--" + key.replace("_", "-"), str(value)]
        self._start(name=engine["engine"], module="dockmux.engine_emulator.program", flags=flags)

    def up(self) -> None:
        for engine in self.plan.engines:
            self.start_engine(engine=engine)
        for daemon in [*self.plan.cores, *self.plan.edges]:
            self.start_daemon(daemon=daemon)

    def send_signal(self, *, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    def end(self, *, name: str, number: int = signal.SIGKILL) -> None:
        """Ends one process and waits for it."""
        process = self.processes.pop(name)
        process.send_signal(number)
        process.wait()

    def ask_core(self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None) -> Any:
        """Asks the cores in turn until one answers without a refusal for want of a majority."""
        found = (0, None, {})
        for core in self.plan.cores:
            try:
                found = fetch(
                    host=self.host, address=core["http"], method=method, path=path, wait=ASK_LIMIT,
                    fields=fields, headers=headers,
                )  # fmt: skip
            except (OSError, urllib3.exceptions.HTTPError):
                continue
            if found[0] < 500:
                return found
        return found

    def put_engines(self) -> bool:
        status, _, _ = self.ask_core(method="PUT", path="/engines", fields=self.plan.engine_list())
        return status == 200

    def put_config(self) -> tuple[int, Any]:
        """Applies the plan's tree."""
        status, told, _ = self.ask_core(method="GET", path="/config")
        if status != 200:
            return status, told
        headers = {"If-Match": f'"{told["mark"]}"'}
        return self.ask_core(method="PUT", path="/config", fields=self.plan.tree, headers=headers)[:2]

    def kept(self) -> list[dict[str, Any]] | None:
        """The configurations that the control plane holds."""
        status, told, _ = self.ask_core(method="GET", path="/history")
        if status != 200:
            return None
        rows = [self.ask_core(method="GET", path=f"/config/{row['mark']}") for row in told["configs"]]
        return [{"mark": row["mark"], "tree": row["tree"]} for status, row, _ in rows if status == 200]

    def wait_for(self, *, what: str) -> bool:
        """Waits until the engine list is taken (what='engines') or every edge serves (what='serving')."""
        limit = self.host.elapsed() + READY_LIMIT
        while self.host.elapsed() < limit:
            if self.put_engines() if what == "engines" else self.serving():
                return True
            self.host.sleep(wait=ms(200))
        return False

    def serving(self) -> bool:
        for edge in self.plan.edges:
            if edge["name"] not in self.processes:
                continue
            try:
                status, told, _ = fetch(
                    host=self.host, address=edge["http"], method="GET", path="/status", wait=ASK_LIMIT
                )
            except (OSError, urllib3.exceptions.HTTPError):
                return False
            if status != 200 or not told["ready"] or len(told["engines"]) < len(self.plan.engines):
                return False
        return True
