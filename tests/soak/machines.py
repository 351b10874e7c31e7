"""The machines of a run: the daemons as processes, their settings files, and the platform that supervises them."""

import asyncio
import contextlib
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path

from tests.soak.asyncio_http import exchange, head_bytes, read_head
from tests.soak.endless import answer_stream, send_without_end
from tests.soak.engine import Engine
from tests.soak.history import Bounds, Fault, FaultKind, History, ProcessInstance, ResourceSample, Surrounding
from tests.soak.plan import Plan

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ("hill", "lake", "wood")
SERVICE = "desk"
# The simulated platform restarts a process after a delay, and polls readiness: an edge that fails as many polls in a
# row as MISSES_UNTIL_REMOVED gets no new connections.
RESTART_DELAY_S = 0.4
READINESS_INTERVAL_S = 1.0
MISSES_UNTIL_REMOVED = 2
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
# In a log line: an unhandled exception, a failed task (1004), a corrupt file on a core's disk (3006).
LOG_ERROR_MARKERS = ("Traceback", "[1004]", "[3006]")
ENGINE_PHASES = ("prefill", "decode", "decode", "prefill", "decode")


FEW_DESCRIPTORS = 90
LITTLE_MEMORY_BYTES = 450 << 20
UNREAD_PIPES: list[int] = []


class SetupError(Exception):
    """The run could not be set up or carried out, so there is nothing to judge."""


def free_port(*, ips: list[str], rng: random.Random, used_ports: set[int]) -> int:
    """A port that is free for TCP and UDP at every address; raises SetupError if none is found."""
    for _ in range(200):
        port = rng.randrange(20_000, 30_000)
        if port not in used_ports and all(_is_free(ip=ip, port=port) for ip in ips):
            used_ports.add(port)
            return port
    raise SetupError("no free ports")


def _is_free(*, ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


@contextlib.contextmanager
def open_log(*, path: Path, surrounding: Surrounding | None) -> Iterator[int]:
    """The descriptor that a process logs to: a file, a device that refuses writes, or a pipe that nobody reads."""
    if surrounding is Surrounding.LOG_UNREAD:
        reading, log = os.pipe()
        # Stays open, unread, as long as the run.
        UNREAD_PIPES.append(reading)
    elif surrounding is Surrounding.LOG_FULL:
        log = os.open("/dev/full", os.O_WRONLY)
    else:
        log = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    try:
        yield log
    finally:
        os.close(log)


def limit_softly(*, process: subprocess.Popen[bytes], what: int, limit: int) -> None:
    """Sets a resource limit that can be lifted again."""
    with contextlib.suppress(OSError):
        _, hard = resource.prlimit(process.pid, what)
        resource.prlimit(process.pid, what, (limit, hard))


class Machines:
    """The fleet, on loopback addresses of one random /24 network, with the platform around it.

    Invariants: every process in `processes` was started here and is ended by `stop`; `supervised` names the machines
    that the platform keeps running, `ready_edges` the edges that get new connections, `expected_exits` the processes
    that the run itself has ended. `kv_handles` maps "address/handle" to a request and the expiry time of its KV cache.
    """

    def __init__(self, *, plan: Plan) -> None:
        self.plan = plan
        self.history = History(bounds=Bounds())
        self.folder = Path(tempfile.mkdtemp(prefix="dockmux-soak-"))
        self.started_at = time.monotonic()
        rng = random.Random()
        self.subnet = f"127.{rng.randrange(60, 250)}.{rng.randrange(250)}"
        self.ips: dict[str, str] = {}
        for place in range(plan.cores):
            self.ips[f"core-{place}"] = f"{self.subnet}.{10 + place}"
        for place in range(plan.edges):
            self.ips[f"edge-{place}"] = f"{self.subnet}.{30 + place}"
        self.next_ip = {"core": 10 + plan.cores, "edge": 30 + plan.edges}
        used_ports: set[int] = set()
        probes = [f"{self.subnet}.{last}" for last in (5, 10, 30, 200)]
        self.peer_port, self.control_port, self.http_port, self.readyz_port, self.engine_port, list_port = (
            free_port(ips=probes, rng=rng, used_ports=used_ports) for _ in range(6)
        )
        self.list_address = f"{self.subnet}.5:{list_port}"
        self.list_down = False
        self.list_endless = ""
        self.kv_handles: dict[str, tuple[str, float]] = {}
        self.engines = [self._new_engine(place=place, generation=0) for place in range(plan.engines)]
        self.instances: dict[str, ProcessInstance] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.supervised = set(self.ips)
        self.expected_exits: set[str] = set()
        self.ready_edges: set[str] = set()
        self.founded = False
        system = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {name: role["run"].split(" ") for name, role in system["roles"].items()}

    def now(self) -> float:
        """Seconds since the run began."""
        return time.monotonic() - self.started_at

    def _new_engine(self, *, place: int, generation: int) -> Engine:
        phase = ENGINE_PHASES[place % len(ENGINE_PHASES)]
        if generation:
            phase = self.engines[place].phase
        return Engine(
            history=self.history, now=self.now, kv_handles=self.kv_handles, name=f"i-{generation:04x}{place:04x}",
            service=SERVICE, address=f"{self.subnet}.{200 + place}:{self.engine_port}", phase=phase,
            zone=ZONES[place % 3], seed=self.plan.seed,
        )  # fmt: skip

    @property
    def control_addresses(self) -> list[str]:
        return [f"{ip}:{self.control_port}" for name, ip in self.ips.items() if name.startswith("core")]

    def edge_address(self, *, name: str) -> str:
        return f"{self.ips[name]}:{self.http_port}"

    # The platform's engine list.

    async def serve_list(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await read_head(reader=reader) is not None:
                if self.list_endless:
                    stream, pace, _ = answer_stream(how=self.list_endless, fields={})
                    await send_without_end(writer=writer, stream=stream, pace=pace, for_s=1.0)
                    return
                body = json.dumps({"insts": [engine.list_entry() for engine in self.engines], "next": None}).encode()
                status = 503 if self.list_down else 200
                fields = {"Content-Type": "application/json", "Content-Length": str(len(body))}
                writer.write(head_bytes(start_line=f"HTTP/1.1 {status} Status", fields=fields) + body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def start_next_engine(self, *, place: int) -> None:
        """Starts a new engine at the address and in the phase of one that has ended; its name is new."""
        generation = int(self.engines[place].name[2:6], 16) + 1
        replacement = self._new_engine(place=place, generation=generation)
        await replacement.start()
        self.engines[place] = replacement

    # Processes.

    def _settings(self, *, name: str, is_first: bool) -> dict[str, str]:
        role = name.partition("-")[0]
        ip = self.ips[name]
        zone = ZONES[int(name.rpartition("-")[2]) % 3]
        bounds = self.history.bounds
        settings = {
            "nodename": name, "role": role, "mclass": role, "serves": "ctl" if role == "core" else "edge", "ip": ip,
            "az": zone, "rgn": "coast", "port_range": f"{self.peer_port},{self.peer_port + 15}",
            "seeds": ",".join(self.control_addresses[:3]), "bootstrap": "true" if is_first else "false",
            "voter": "true" if role == "core" else "false", "survive.nodes": str((self.plan.cores - 1) // 2),
            "survive.zones": "0", "survive.rgns": "0", "cloud.addr": self.list_address, "cloud.rate_per_s": "42.0",
            "cloud.lag_ms": f"{bounds.list_lag_s * 1000:.0f}", "bounds.live_ms": f"{bounds.live_s * 1000:.0f}",
            "bounds.ack_ms": f"{bounds.ack_s * 1000:.0f}", "bounds.drain_ms": f"{bounds.drain_s * 1000:.0f}",
            "bounds.grace_s": f"{bounds.grace_s:.0f}", "bounds.apply_ms": f"{bounds.apply_s * 1000:.0f}",
            "bounds.retry_ratio": str(bounds.retry_ratio), "bounds.retry_win_s": f"{bounds.retry_window_s:.0f}",
            "bounds.retry_extra": str(bounds.retry_extra), "bounds.lease_ms": f"{bounds.lease_s * 1000:.0f}",
            "bounds.thaw_ms": f"{bounds.thaw_s * 1000:.0f}", "bounds.sync_s": "4", "bounds.slack_ms": "200",
        }  # fmt: skip
        if role == "core":
            return settings | {"listen.ctl": f"{ip}:{self.control_port}", "datadir": str(self.folder / f"data-{name}")}
        return settings | {"listen.http": f"{ip}:{self.http_port}", "listen.readyz": f"{ip}:{self.readyz_port}"}

    def write_settings(self, *, name: str, is_first: bool = False) -> Path:
        path = self.folder / f"{name}.conf"
        settings = self._settings(name=name, is_first=is_first)
        path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
        return path

    def start_process(self, *, name: str, is_first: bool = False) -> None:
        path = self.write_settings(name=name, is_first=is_first)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        instance = ProcessInstance(process=name, started_at=self.now())
        surrounding = self.plan.surroundings.get(name)
        with open_log(path=self.folder / f"{name}.log", surrounding=surrounding) as log:
            process = self.processes[name] = subprocess.Popen(
                self.commands[name.partition("-")[0]], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={**environment, "PYTHONPATH": "target/deps", "DOCKMUX_CONFIG": str(path)},
            )  # fmt: skip
        if surrounding is Surrounding.FEW_DESCRIPTORS:
            limit_softly(process=process, what=resource.RLIMIT_NOFILE, limit=FEW_DESCRIPTORS)
        elif surrounding is Surrounding.LITTLE_MEMORY:
            limit_softly(process=process, what=resource.RLIMIT_AS, limit=LITTLE_MEMORY_BYTES)
        self.instances[name] = instance
        self.history.process_instances.append(instance)

    def send_signal(self, *, name: str, number: signal.Signals) -> None:
        with contextlib.suppress(OSError):
            self.processes[name].send_signal(number)

    def record_fault(self, *, kind: FaultKind, target: str, for_s: float = 0.0) -> Fault:
        """Adds a fault that begins now to the history; the caller may correct its end."""
        fault = Fault(kind=kind, target=target, at=self.now(), until=self.now() + for_s)
        self.history.faults.append(fault)
        return fault

    # The platform: supervision and readiness.

    async def supervise(self) -> None:
        """Restarts every supervised process that has exited, and records whether the exit was expected."""
        while True:
            for name in list(self.supervised):
                process = self.processes[name]
                exit_code = process.poll()
                if exit_code is None or name not in self.supervised:
                    # It may have been replaced during the pause before another one's restart.
                    continue
                instance = self.instances[name]
                instance.ended_at, instance.exit_code = self.now(), exit_code
                instance.exited_unexpectedly = name not in self.expected_exits
                self.expected_exits.discard(name)
                fault = self.record_fault(kind=FaultKind.KILL, target=name, for_s=RESTART_DELAY_S)
                if not instance.exited_unexpectedly and exit_code == 0:
                    # The process exited as part of a planned operation.
                    fault.kind = FaultKind.HUP
                await asyncio.sleep(RESTART_DELAY_S)
                if name in self.supervised:
                    self.start_process(name=name)
            await asyncio.sleep(0.05)

    async def watch_readiness(self) -> None:
        """Polls the edges; an edge leaves the rotation after MISSES_UNTIL_REMOVED polls without success."""
        misses: dict[str, int] = {}
        while True:
            names = [name for name in self.ips if name.startswith("edge") and name in self.supervised]
            answers = await asyncio.gather(*(self.is_ready(name=name) for name in names))
            for name, is_ready in zip(names, answers, strict=True):
                misses[name] = 0 if is_ready else misses.get(name, MISSES_UNTIL_REMOVED) + 1
                if is_ready and not self.instances[name].ready_at:
                    self.instances[name].ready_at = self.now()
            self.ready_edges = {name for name in names if misses[name] < MISSES_UNTIL_REMOVED and name in self.ips}
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def is_ready(self, *, name: str) -> bool:
        address = f"{self.ips[name]}:{self.readyz_port}"
        status, _ = await exchange(address=address, method="GET", target="/dockmux/readyz", timeout_s=1.0)
        return status == 200

    async def sample_resources(self) -> None:
        """Records memory and descriptors of every process each second."""
        while True:
            for name, process in self.processes.items():
                with contextlib.suppress(OSError, ValueError, IndexError):
                    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
                    count = len(os.listdir(f"/proc/{process.pid}/fd"))
                    # A restarted process is sampled under its own label.
                    label = f"{name}/{self.instances[name].started_at:.0f}"
                    sample = ResourceSample(at=self.now(), process=label, rss_kb=pages * PAGE_KB, descriptors=count)
                    self.history.samples.append(sample)
            await asyncio.sleep(1)

    def collect_log_errors(self) -> None:
        for path in sorted(self.folder.glob("*.log")):
            for line in path.read_text(errors="replace").splitlines():
                if any(marker in line for marker in LOG_ERROR_MARKERS):
                    self.history.log_errors.append(f"{path.name}: {line[:300]}")

    def stop(self) -> None:
        """Kills every process, also stopped ones, and shuts down the engines."""
        self.supervised.clear()
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for engine in self.engines:
            engine.shut_down()
        while UNREAD_PIPES:
            os.close(UNREAD_PIPES.pop())

    def refuse_writes(self, *, name: str, refuses: bool) -> None:
        """Makes each write of a process to a file fail, or allows them again."""
        limit = 0 if refuses else resource.RLIM_INFINITY
        limit_softly(process=self.processes[name], what=resource.RLIMIT_FSIZE, limit=limit)

    def remove_folder(self) -> None:
        shutil.rmtree(self.folder, ignore_errors=True)

    @property
    def edges(self) -> list[str]:
        return [name for name in self.ips if name.startswith("edge")]

    @property
    def edges_in_rotation(self) -> list[str]:
        """Edges that get new connections: the ready ones, or all of them while none is ready."""
        return sorted(self.ready_edges & self.ips.keys()) or self.edges
