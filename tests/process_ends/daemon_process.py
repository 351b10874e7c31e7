"""One daemon as a real process, started as the platform does, with failing surroundings."""

import contextlib
import http.client
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from tests.control.core_cluster import config_text

ROOT = Path(__file__).resolve().parent.parent.parent
START_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 1.0
HTTP_PORT, READYZ_PORT, CONTROL_PORT, PEER_PORT = range(4)


def wait_until(*, condition: Callable[[], bool], limit_s: float) -> bool:
    """Whether the condition became true within the limit."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


def free_ports(*, ip: str, count: int) -> list[int]:
    """Ports that are free for TCP and UDP at this address."""
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            stream, datagrams = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
            stack.enter_context(stream)
            stack.enter_context(datagrams)
            stream.bind((ip, 0))
            with contextlib.suppress(OSError):
                datagrams.bind((ip, stream.getsockname()[1]))
                ports.append(stream.getsockname()[1])
        return ports


class DaemonProcess:
    """A daemon of one role on a loopback address of its own.

    Invariant: `process` was started here and is ended by `stop`. `setup` is Python source that runs in the process
    before its program, to give the program failing surroundings.
    """

    def __init__(self, *, role: str, folder: Path, setup: str = "", seeds: str = "", **changed: str) -> None:
        self.role = role
        self.folder = folder
        self.setup = setup
        self.ip = ".".join(["127", *(str(random.randrange(1, 250)) for _ in range(3))])
        self.ports = free_ports(ip=self.ip, count=4)
        self.settings_file = folder / f"{role}.conf"
        self.log_file = folder / f"{role}.log"
        self.process: subprocess.Popen[bytes] | None = None
        control = self.address(place=CONTROL_PORT)
        self.lines = {
            "nodename": f"{role}-a", "role": role, "mclass": role, "ip": self.ip, "az": "a", "rgn": "r",
            "port_range": f"{self.ports[PEER_PORT]},{self.ports[PEER_PORT] + 15}", "seeds": seeds or control,
            "bootstrap": "true", "survive.nodes": "0", "cloud.addr": f"{self.ip}:9",
        }  # fmt: skip
        if role == "core":
            self.lines |= {"listen.ctl": control, "datadir": str(folder / "data")}
        else:
            self.lines |= {
                "listen.http": self.address(place=HTTP_PORT), "listen.readyz": self.address(place=READYZ_PORT),
            }  # fmt: skip
        self.lines |= {name.replace("__", "."): value for name, value in changed.items()}

    def address(self, *, place: int) -> str:
        return f"{self.ip}:{self.ports[place]}"

    def write_settings(self, *, text: str | None = None) -> None:
        if text is None:
            text = "".join(f"{name}={value}\n" for name, value in self.lines.items())
        self.settings_file.write_text(text)

    def start(self, *, log: Any = None) -> None:
        """Starts the process; standard output and error go to `log`, by default to `log_file`."""
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        program = str(ROOT / "platform" / f"{self.role}.py")
        source = f"import sys\nsys.path.insert(0, {str(ROOT / 'platform')!r})\n{self.setup}\n"
        source += f"import runpy\nrunpy.run_path({program!r}, run_name='__main__')\n"
        with contextlib.ExitStack() as stack:
            if log is None:
                log = stack.enter_context(open(self.log_file, "ab"))
            command = [sys.executable, "-c", source] if self.setup else [sys.executable, program]
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**kept, "DOCKMUX_CONFIG": str(self.settings_file)},
            )  # fmt: skip

    def stop(self) -> None:
        if self.process is not None:
            for number in (signal.SIGCONT, signal.SIGKILL):
                with contextlib.suppress(OSError):
                    self.process.send_signal(number)
            self.process.wait()

    @property
    def alive(self) -> bool:
        return self.process.poll() is None

    @property
    def log_text(self) -> str:
        return self.log_file.read_text(errors="replace") if self.log_file.exists() else ""

    def freeze(self, *, seconds: float) -> None:
        self.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.process.send_signal(signal.SIGCONT)

    def terminate(self, *, limit_s: float = 15.0) -> int:
        """The exit code after SIGTERM."""
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(timeout=limit_s)

    def limit_address_space(self, *, spare_bytes: int) -> None:
        """Allows the process this much more address space than it uses now."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[0])
        limit = pages * os.sysconf("SC_PAGE_SIZE") + spare_bytes
        resource.prlimit(self.process.pid, resource.RLIMIT_AS, (limit, resource.RLIM_INFINITY))

    def call(
        self, *, place: int, method: str = "GET", path: str, body: bytes | None = None,
        headers: dict[str, str] | None = None, timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:  # fmt: skip
        """Status and body of an answer; status 0 if there is none."""
        connection = http.client.HTTPConnection(self.ip, self.ports[place], timeout=timeout_s)
        try:
            connection.request(method, path, body=body, headers=headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def put(self, *, version: int, body: bytes | None = None, timeout_s: float = CALL_TIMEOUT_S) -> int:
        """The status of a configuration that follows `version` - 1."""
        headers = {"Content-Type": "application/json", "X-Base-Version": str(version - 1)}
        body = config_text(version=version) if body is None else body
        path = "/dockmux/config/put"
        return self.call(
            place=CONTROL_PORT, method="POST", path=path, body=body, headers=headers, timeout_s=timeout_s
        )[0]  # fmt: skip

    def first_put(self) -> None:
        """Puts the first configuration as soon as it is taken."""
        assert wait_until(condition=lambda: self.put(version=1) == 200, limit_s=START_LIMIT_S), self.log_text

    def readiness(self) -> int:
        """The status of the readiness page; 0 if it does not answer."""
        return self.call(place=READYZ_PORT, path="/dockmux/readyz")[0]

    def answers(self) -> bool:
        """Whether the process answers at all: its readiness page, or its control page."""
        if self.role == "edge":
            return self.readiness() != 0
        return self.call(place=CONTROL_PORT, path="/status")[0] != 0

    def metric(self, *, name: str) -> float:
        place = READYZ_PORT if self.role == "edge" else CONTROL_PORT
        _, body = self.call(place=place, path="/metrics")
        rows = [line.split(" ") for line in body.decode().splitlines()]
        return next(float(row[1]) for row in rows if row[0] == f"dockmux_{name}")

    def send_raw(self, *, data: bytes, place: int = HTTP_PORT) -> None:
        """Sends bytes on a connection of its own and reads what is answered."""
        with contextlib.suppress(OSError), socket.create_connection((self.ip, self.ports[place]), timeout=1) as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65536):
                continue


@contextlib.contextmanager
def daemon(*, role: str, folder: Path, log: Any = None, **fields: Any) -> Iterator[DaemonProcess]:
    """A started daemon that answers; it is killed at the end."""
    started = DaemonProcess(role=role, folder=folder, **fields)
    started.write_settings()
    try:
        started.start(log=log)
        assert wait_until(condition=started.answers, limit_s=START_LIMIT_S), (started.process.poll(), started.log_text)
        yield started
    finally:
        started.stop()
