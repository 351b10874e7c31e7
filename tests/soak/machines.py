"""The machines of a run: the project's programs as processes, their settings files, and the platform's list."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from tests.soak.engine import Engine
from tests.soak.history import Bounds, History, Life, Sample, Trouble, TroubleKind
from tests.soak.plan import Plan
from tests.soak.wire import call, head_bytes, read_head

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ("hill", "lake", "wood")
SERVICE = "desk"
RESTART_S = 0.4
READY_EVERY_S = 1.0
MISSES_OUT = 2
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
LOG_FAULTS = ("Traceback", "[1004]", "[3006]")
ENGINE_PHASES = ("prefill", "decode", "decode", "prefill", "decode")


class CannotRun(Exception):
    """The run could not be set up; nothing was judged."""


def free_port(*, ips: list[str], draw: random.Random, taken: set[int]) -> int:
    """A port that is free for both kinds of sockets at every address."""
    for _ in range(200):
        port = draw.randrange(20_000, 30_000)
        if port not in taken and all(_is_free(ip=ip, port=port) for ip in ips):
            taken.add(port)
            return port
    raise CannotRun("no free ports")


def _is_free(*, ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Machines:
    """Invariants: every process in `processes` was started here and is ended by `stop`; `wanted` names the machines
    that the platform keeps running, `ready` the edges that get new connections."""

    def __init__(self, *, plan: Plan) -> None:
        self.plan = plan
        self.history = History(bounds=Bounds())
        self.folder = Path(tempfile.mkdtemp(prefix="dockmux-soak-"))
        self.began = time.monotonic()
        draw = random.Random()
        self.net = f"127.{draw.randrange(60, 250)}.{draw.randrange(250)}"
        self.ips: dict[str, str] = {}
        for place in range(plan.cores):
            self.ips[f"core-{place}"] = f"{self.net}.{10 + place}"
        for place in range(plan.edges):
            self.ips[f"edge-{place}"] = f"{self.net}.{30 + place}"
        self.next_ip = {"core": 10 + plan.cores, "edge": 30 + plan.edges}
        taken: set[int] = set()
        probes = [f"{self.net}.{last}" for last in (5, 10, 30, 200)]
        self.peer, self.control, self.front, self.readyz, self.engine_port, list_port = (
            free_port(ips=probes, draw=draw, taken=taken) for _ in range(6)
        )
        self.list_address = f"{self.net}.5:{list_port}"
        self.list_down = False
        self.handles: dict[str, tuple[str, float]] = {}
        self.engines = [self._engine(place=place, life=0) for place in range(plan.engines)]
        self.lives: dict[str, Life] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.wanted = set(self.ips)
        self.ended_by_us: set[str] = set()
        self.ready: set[str] = set()
        self.founded = False
        system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.run = {name: role["run"].split(" ") for name, role in system["roles"].items()}

    def now(self) -> float:
        return time.monotonic() - self.began

    def _engine(self, *, place: int, life: int) -> Engine:
        phase = ENGINE_PHASES[place % len(ENGINE_PHASES)]
        if life:
            phase = self.engines[place].phase
        return Engine(
            history=self.history, now=self.now, handles=self.handles, name=f"i-{life:04x}{place:04x}", service=SERVICE,
            address=f"{self.net}.{200 + place}:{self.engine_port}", phase=phase, zone=ZONES[place % 3],
            seed=self.plan.seed,
        )  # fmt: skip

    @property
    def controls(self) -> list[str]:
        return [f"{ip}:{self.control}" for name, ip in self.ips.items() if name.startswith("core")]

    def edge_address(self, *, name: str) -> str:
        return f"{self.ips[name]}:{self.front}"

    # The platform's list.

    async def serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await read_head(reader=reader) is not None:
                body = json.dumps({"insts": [engine.row() for engine in self.engines], "next": None}).encode()
                status = 503 if self.list_down else 200
                fields = {"Content-Type": "application/json", "Content-Length": str(len(body))}
                writer.write(head_bytes(first=f"HTTP/1.1 {status} Status", fields=fields) + body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def next_life(self, *, place: int) -> None:
        """A new engine at the address of one that has ended."""
        life = int(self.engines[place].name[2:6], 16) + 1
        fresh = self._engine(place=place, life=life)
        await fresh.start()
        self.engines[place] = fresh

    # Processes.

    def _settings(self, *, name: str, first: bool) -> dict[str, str]:
        role = name.partition("-")[0]
        ip = self.ips[name]
        zone = ZONES[int(name.rpartition("-")[2]) % 3]
        bounds = self.history.bounds
        rows = {
            "nodename": name, "role": role, "mclass": role, "serves": "ctl" if role == "core" else "edge", "ip": ip,
            "az": zone, "rgn": "coast", "port_range": f"{self.peer},{self.peer + 15}",
            "seeds": ",".join(self.controls[:3]), "bootstrap": "true" if first else "false",
            "voter": "true" if role == "core" else "false", "survive.nodes": str((self.plan.cores - 1) // 2),
            "survive.zones": "0", "survive.rgns": "0", "cloud.addr": self.list_address, "cloud.rate_per_s": "42.0",
            "cloud.lag_ms": f"{bounds.list_lag * 1000:.0f}", "bounds.live_ms": f"{bounds.live * 1000:.0f}",
            "bounds.ack_ms": f"{bounds.ack * 1000:.0f}", "bounds.drain_ms": f"{bounds.drain * 1000:.0f}",
            "bounds.grace_s": f"{bounds.grace:.0f}", "bounds.apply_ms": f"{bounds.apply * 1000:.0f}",
            "bounds.retry_ratio": str(bounds.retry_ratio), "bounds.retry_win_s": f"{bounds.retry_window:.0f}",
            "bounds.retry_extra": str(bounds.retry_extra), "bounds.lease_ms": f"{bounds.lease * 1000:.0f}",
            "bounds.thaw_ms": f"{bounds.thaw * 1000:.0f}", "bounds.sync_s": "4", "bounds.slack_ms": "200",
        }  # fmt: skip
        if role == "core":
            return rows | {"listen.ctl": f"{ip}:{self.control}", "datadir": str(self.folder / f"data-{name}")}
        return rows | {"listen.http": f"{ip}:{self.front}", "listen.readyz": f"{ip}:{self.readyz}"}

    def write_settings(self, *, name: str, first: bool = False) -> Path:
        file = self.folder / f"{name}.conf"
        rows = self._settings(name=name, first=first)
        file.write_text("".join(f"{key}={value}\n" for key, value in rows.items()))
        return file

    def start_process(self, *, name: str, first: bool = False) -> None:
        file = self.write_settings(name=name, first=first)
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        life = Life(process=name, began=self.now())
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                self.run[name.partition("-")[0]], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={**kept, "PYTHONPATH": "target/deps", "DOCKMUX_CONFIG": str(file)},
            )  # fmt: skip
        self.lives[name] = life
        self.history.lives.append(life)

    def send_signal(self, *, name: str, number: signal.Signals) -> None:
        with contextlib.suppress(OSError):
            self.processes[name].send_signal(number)

    def trouble(self, *, kind: TroubleKind, target: str, for_s: float = 0.0) -> Trouble:
        row = Trouble(kind=kind, target=target, at=self.now(), until=self.now() + for_s)
        self.history.troubles.append(row)
        return row

    # The platform.

    async def keep_running(self) -> None:
        """Starts again whatever has ended, and notes what ended without anybody's doing."""
        while True:
            for name in list(self.wanted):
                process = self.processes[name]
                code = process.poll()
                if code is None or name not in self.wanted:
                    # It may have been replaced while another one was being started.
                    continue
                life = self.lives[name]
                life.ended_at, life.code = self.now(), code
                life.ended_alone = name not in self.ended_by_us
                self.ended_by_us.discard(name)
                row = self.trouble(kind=TroubleKind.KILL, target=name, for_s=RESTART_S)
                if not life.ended_alone and code == 0:
                    # The end of a planned stop.
                    row.kind = TroubleKind.HUP
                await asyncio.sleep(RESTART_S)
                if name in self.wanted:
                    self.start_process(name=name)
            await asyncio.sleep(0.05)

    async def watch_readiness(self) -> None:
        misses: dict[str, int] = {}
        while True:
            names = [name for name in self.ips if name.startswith("edge") and name in self.wanted]
            answers = await asyncio.gather(*(self.is_ready(name=name) for name in names))
            for name, well in zip(names, answers, strict=True):
                misses[name] = 0 if well else misses.get(name, MISSES_OUT) + 1
                if well and not self.lives[name].ready_at:
                    self.lives[name].ready_at = self.now()
            self.ready = {name for name in names if misses[name] < MISSES_OUT and name in self.ips}
            await asyncio.sleep(READY_EVERY_S)

    async def is_ready(self, *, name: str) -> bool:
        address = f"{self.ips[name]}:{self.readyz}"
        status, _ = await call(address=address, method="GET", target="/dockmux/readyz", limit_s=1.0)
        return status == 200

    async def sample(self) -> None:
        while True:
            for name, process in self.processes.items():
                with contextlib.suppress(OSError, ValueError, IndexError):
                    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                    count = len(os.listdir(f"/proc/{process.pid}/fd"))
                    # A process that was started anew has a life of its own.
                    label = f"{name}/{self.lives[name].began:.0f}"
                    row = Sample(at=self.now(), process=label, rss_kb=pages * PAGE_KB, descriptors=count)
                    self.history.samples.append(row)
            await asyncio.sleep(1)

    def read_logs(self) -> None:
        for file in sorted(self.folder.glob("*.log")):
            for line in file.read_text(errors="replace").splitlines():
                if any(mark in line for mark in LOG_FAULTS):
                    self.history.log_faults.append(f"{file.name}: {line[:300]}")

    def stop(self) -> None:
        self.wanted.clear()
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for engine in self.engines:
            engine.end()

    def clear(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def edges(self) -> list[str]:
        return [name for name in self.ips if name.startswith("edge")]

    @property
    def offered(self) -> list[str]:
        """Edges that get new connections; all of them while none is ready."""
        return sorted(self.ready & self.ips.keys()) or self.edges
