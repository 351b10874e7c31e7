"""A model engine as PROTOCOL describes it, with the troubles that a case switches on."""

import asyncio
import contextlib
import dataclasses
import hashlib
import json
import random
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

from .http import Request, read_request

TOKENS_PER_MS = 48.2
EVENT_PAUSE_S = 0.03
HANDLE_HOLD_S = 5.0
KEEP_ALIVE_S = 6


@dataclasses.dataclass(kw_only=True)
class Run:
    """One request that an engine has begun to run."""

    at: float
    engine: str
    request: Request
    events: list[int] = dataclasses.field(default_factory=list)
    end: str = "open"


@dataclasses.dataclass(kw_only=True)
class Seen:
    """What all engines saw. `handles` leads from address/handle to when the memory lapses."""

    began: float = dataclasses.field(default_factory=time.monotonic)
    runs: list[Run] = dataclasses.field(default_factory=list)
    handles: dict[str, float] = dataclasses.field(default_factory=dict)
    notes: list[str] = dataclasses.field(default_factory=list)

    def now(self) -> float:
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        self.notes.append(f"{self.now():8.3f} s  {text}")


def event(*, request_id: str, number: int) -> bytes:
    """One piece of a stream: the same whichever engine makes it."""
    text = hashlib.sha256(f"{request_id}/{number}".encode()).hexdigest()[:24]
    return f"id: {number}\ndata: {text}\n\n".encode()


def stream_body(*, request_id: str, count: int) -> bytes:
    return b"".join(event(request_id=request_id, number=number) for number in range(1, count + 1))


class Engine:
    """One life of an engine, at one address. Troubles: `error_share` of its requests fail with its own 500, which
    counts as run; `crash` ends it, and its connections, at once."""

    def __init__(self, *, seen: Seen, name: str, address: str, phase: str, zone: str, service: str) -> None:
        self.seen = seen
        self.name = name
        self.address = address
        self.phase = phase
        self.zone = zone
        self.service = service
        self.error_share = 0.0
        self.random = random.Random(name)
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.orders = 0
        self.fence = 0
        self.sealed = 0
        self.other: Callable[[Request], Awaitable[tuple[int, Any] | None]] | None = None

    def row(self) -> dict[str, Any]:
        return {
            "svc": self.service, "addr": self.address, "az": self.zone, "gen": "v1", "slots": 64, "st": "ready",
            "cold_left_ms": 0, "phase": self.phase, "models": [{"name": "m", "gen": 1, "loras": []}], "id": self.name,
        }  # fmt: skip

    async def start(self) -> None:
        ip, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, ip, int(port), limit=1 << 23)

    async def crash(self) -> None:
        """The process ends: nobody listens, and every connection is reset."""
        self.seen.note(f"engine {self.name} crashes")
        self.server.close()
        for writer in list(self.writers):
            with contextlib.suppress(OSError):
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await asyncio.wait_for(read_request(reader=reader), KEEP_ALIVE_S)
                if request is None:
                    return
                await self._answer(request=request, writer=writer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, *, request: Request, writer: asyncio.StreamWriter) -> None:
        if request.path == "/healthz":
            self._reply(writer=writer, status=200, headers={"X-Instance": self.name})
        elif request.path == "/dockmux/report":
            fields = {
                "phase": self.phase, "models": [{"name": "m", "gen": 1, "loras": []}], "busy": False,
                "seq": self.orders, "queued": 0, "active": 0, "kv_used": 0, "kv_cap": 403008, "kvhs": 0,
            }  # fmt: skip
            self._reply(writer=writer, status=200, body=json.dumps(fields).encode())
        elif request.path == "/dockmux/order":
            self._reply(writer=writer, status=409)
        elif request.path.startswith("/dockmux/kv-handle/"):
            self.seen.handles.pop(f"{self.address}/{request.path.rpartition('/')[2]}", None)
            self._reply(writer=writer, status=200)
        elif refused := self._refused(request=request):
            not_run = {} if refused == 421 else {"X-Not-Run": "1"}
            self._reply(writer=writer, status=refused, headers={"X-Request-Id": request.request_id, **not_run})
        elif request.headers.get("x-stage") == "prefill":
            await self._read(request=request, writer=writer)
        else:
            await self._run(request=request, writer=writer)

    def _refused(self, *, request: Request) -> int:
        """The status with which it turns the request away; 0 if it takes it."""
        if not request.request_id:
            return 400
        if request.headers.get("x-want-instance", self.name) != self.name:
            return 421
        if (request.headers.get("x-stage") == "prefill") != (self.phase == "prefill"):
            return 421
        source = request.headers.get("x-kv-from")
        if source and self.seen.handles.pop(source, 0.0) < self.seen.now():
            return 503
        return 0

    async def _read(self, *, request: Request, writer: asyncio.StreamWriter) -> None:
        tokens = int(request.headers.get("x-tokens", "100,1").partition(",")[0])
        await asyncio.sleep(tokens / TOKENS_PER_MS / 1000)
        handle = f"{self.random.getrandbits(48):012x}"
        self.seen.handles[f"{self.address}/{handle}"] = self.seen.now() + HANDLE_HOLD_S
        body = json.dumps({"kvh": handle, "toks": tokens, "gen": 1}).encode()
        self._reply(writer=writer, status=200, headers={"X-Request-Id": request.request_id}, body=body)

    async def _run(self, *, request: Request, writer: asyncio.StreamWriter) -> None:
        run = Run(at=self.seen.now(), engine=self.name, request=request)
        self.seen.runs.append(run)
        self.sealed += 1
        headers = {"X-Request-Id": request.request_id, "X-Seal": f"{self.name}.{self.sealed}"}
        if self.random.random() < self.error_share:
            run.end = "500"
            self._reply(writer=writer, status=500, headers=headers)
            return
        count = int(request.headers.get("x-tokens", "100,1").partition(",")[2])
        after = int(request.headers.get("last-event-id", "0"))
        run.end = "cut"
        rows = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **headers}
        writer.write(self._head(status=200, headers=rows))
        for number in range(after + 1, count + 1):
            data = event(request_id=request.request_id, number=number)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            run.events.append(number)
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.end = "200"

    def _head(self, *, status: int, headers: dict[str, str]) -> bytes:
        kept = {**headers, "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        rows = [f"HTTP/1.1 {status} Status", *(f"{name}: {value}" for name, value in kept.items())]
        return "\r\n".join(rows).encode() + b"\r\n\r\n"

    def _reply(
        self, *, writer: asyncio.StreamWriter, status: int, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:  # fmt: skip
        writer.write(self._head(status=status, headers={**(headers or {}), "Content-Length": str(len(body))}) + body)
