"""An engine of the soak, and the link before it, with the troubles that a plan switches on."""

import asyncio
import contextlib
import json
import random
import socket
import struct
from collections.abc import Callable
from typing import Any

from tests.soak.history import Arrival, History, Order
from tests.soak.wire import STREAM_LIMIT_BYTES, chunk, head_bytes, read_body, read_head
from tests.standins.engine import event, plain_body

TOKENS_PER_MS = 48.2
EVENT_PAUSE_S = 0.03
PLAIN_S = 0.05
HANDLE_HOLD_S = 5.0
KEEP_ALIVE_S = 6
SWAP_S = 1.8
GREY_SHARE = 0.4
GREY_KINDS = ("500", "504", "bare 503", "turned away", "failure with body", "failure like events", "cut in event")


class Link:
    """The network before one engine. Invariants: while `delay_s`, bytes to clients wait so long; while `deaf`, bytes to
    the engine are held; `reset` ends every connection at once."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.deaf = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.engine_address = ("", 0)

    async def start(self, *, address: str) -> None:
        ip, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, ip, int(port), limit=STREAM_LIMIT_BYTES)

    def reset(self) -> None:
        for writer in list(self.writers):
            with contextlib.suppress(OSError, AttributeError):
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        inner = None
        try:
            inner_reader, inner = await asyncio.open_connection(*self.engine_address, limit=STREAM_LIMIT_BYTES)
            self.writers.add(inner)
            tasks = [
                asyncio.ensure_future(self._carry(source=reader, sink=inner, inbound=True)),
                asyncio.ensure_future(self._carry(source=inner_reader, sink=writer, inbound=False)),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
        except OSError:
            pass
        finally:
            for each in (writer, inner):
                if each is not None:
                    self.writers.discard(each)
                    each.close()

    async def _carry(self, *, source: asyncio.StreamReader, sink: asyncio.StreamWriter, inbound: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65536):
                while inbound and self.deaf:
                    await asyncio.sleep(0.05)
                if not inbound and self.delay_s:
                    await asyncio.sleep(self.delay_s)
                sink.write(data)
                await sink.drain()


class Engine:
    """One life of an engine behind its link. Invariant: what it ran is in the history from its first token on."""

    def __init__(
        self, *, history: History, now: Callable[[], float], handles: dict[str, tuple[str, float]], name: str,
        service: str, address: str, phase: str, zone: str, seed: int,
    ) -> None:  # fmt: skip
        self.history = history
        self.now = now
        self.handles = handles
        self.name = name
        self.service = service
        self.address = address
        self.phase = phase
        self.zone = zone
        self.random = random.Random(f"{seed}-{name}")
        self.link = Link()
        self.grey = ""
        self.silent = False
        self.state = "ready"
        self.busy = False
        self.orders = 0
        self.fence = 0
        self.open: set[Arrival] = set()
        self.active = 0
        self.server: asyncio.Server | None = None

    def row(self) -> dict[str, Any]:
        return {
            "svc": self.service, "addr": self.address, "az": self.zone, "gen": "v1", "slots": 64, "st": self.state,
            "cold_left_ms": 0, "phase": self.phase, "models": [{"name": "m", "gen": 1, "loras": []}], "id": self.name,
        }  # fmt: skip

    async def start(self) -> None:
        ip, _, _ = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, ip, 0, limit=STREAM_LIMIT_BYTES)
        self.link.engine_address = self.server.sockets[0].getsockname()[:2]
        await self.link.start(address=self.address)

    def end(self) -> None:
        """Nobody listens any more, and every connection is reset."""
        for server in (self.link.server, self.server):
            if server is not None:
                server.close()
        self.link.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await asyncio.wait_for(read_head(reader=reader), KEEP_ALIVE_S)
                if head is None:
                    return
                pieces: list[bytes] = []
                framed = {"content-length", "transfer-encoding"} & head.fields.keys()
                if framed and not await read_body(reader=reader, head=head, note=pieces.append):
                    return
                while self.silent:
                    await asyncio.sleep(0.05)
                await self._answer(first=head.first, fields=head.fields, body=b"".join(pieces), writer=writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return
        finally:
            writer.close()

    async def _answer(self, *, first: str, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> None:
        _, target, _ = first.split(" ")
        if target == "/healthz":
            well = self.state == "ready"
            self._reply(writer=writer, status=200 if well else 503, fields={"X-Instance": self.name})
        elif target == "/dockmux/report":
            told = {
                "phase": self.phase, "models": [{"name": "m", "gen": 1, "loras": []}], "busy": self.busy,
                "seq": self.orders, "queued": 0, "active": self.active, "kv_used": 0, "kv_cap": 403008, "kvhs": 0,
            }  # fmt: skip
            self._reply(writer=writer, status=200, body=json.dumps(told).encode())
        elif target == "/dockmux/order":
            self._order(fields=fields, body=body, writer=writer)
        elif target.startswith("/dockmux/kv-handle/"):
            found = self.handles.pop(f"{self.address}/{target.rpartition('/')[2]}", None)
            self._reply(writer=writer, status=200 if found else 404)
        else:
            await self._request(target=target, fields=fields, body=body, writer=writer)

    def _order(self, *, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> None:
        told = json.loads(body)
        if fields.get("x-want-instance", self.name) != self.name:
            self._reply(writer=writer, status=421)
            return
        self.history.orders.append(
            Order(at=self.now(), engine=self.name, owner=told["owner"], fence=told["fence"], sender=told["owner"])
        )
        if self.busy or told["fence"] < self.fence:
            self._reply(writer=writer, status=409 if self.busy else 412)
            return
        self.fence = told["fence"]
        if told["phase"] == self.phase:
            self._reply(writer=writer, status=200)
            return
        self.orders += 1
        self.busy = True
        self.changing = asyncio.ensure_future(self._change(phase=told["phase"]))
        self._reply(writer=writer, status=202)

    async def _change(self, *, phase: str) -> None:
        while self.active:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SWAP_S)
        self.phase, self.busy = phase, False

    async def _request(
        self, *, target: str, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:  # fmt: skip
        row = Arrival(
            at=self.now(), engine=self.name, service=self.service, request_id=fields.get("x-request-id", ""),
            what="queued", target=target, body=body, last_event=int(fields.get("last-event-id", "0")),
        )  # fmt: skip
        self.history.arrivals.append(row)
        refused = self._refused(row=row, fields=fields)
        if refused:
            row.what, row.status = str(refused), refused
            promise = {} if refused == 421 else {"X-Not-Run": "1"}
            self._reply(writer=writer, status=refused, fields={"X-Request-Id": row.request_id, **promise})
            return
        self.active += 1
        try:
            if fields.get("x-stage") == "prefill":
                await self._read(row=row, fields=fields, writer=writer)
            else:
                await self._run(row=row, fields=fields, writer=writer)
        except BaseException:
            row.broke = True
            raise
        finally:
            self.active -= 1
            row.ended_at = self.now()

    def _refused(self, *, row: Arrival, fields: dict[str, str]) -> int:
        if not row.request_id:
            return 400
        if fields.get("x-want-instance", self.name) != self.name:
            return 421
        if self.busy:
            return 503
        if (fields.get("x-stage") == "prefill") != (self.phase == "prefill"):
            return 421
        if self.grey == "turned away" and self.random.random() < GREY_SHARE:
            return 503
        source = fields.get("x-kv-from")
        if source:
            row.memory_of, lapses = self.handles.pop(source, ("", 0.0))
            if lapses < self.now():
                row.memory_of = ""
                return 503
        return 0

    async def _read(self, *, row: Arrival, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        row.what = "read"
        tokens = int(fields.get("x-tokens", "100,1").partition(",")[0])
        await asyncio.sleep(tokens / TOKENS_PER_MS / 1000)
        handle = f"{self.random.getrandbits(48):012x}"
        self.handles[f"{self.address}/{handle}"] = (row.request_id, self.now() + HANDLE_HOLD_S)
        row.status = 200
        told = json.dumps({"kvh": handle, "toks": tokens, "gen": 1}).encode()
        self._reply(writer=writer, status=200, fields={"X-Request-Id": row.request_id}, body=told)

    async def _run(self, *, row: Arrival, fields: dict[str, str], writer: asyncio.StreamWriter) -> None:
        row.what, row.status = "run", 200
        sealed = {"X-Request-Id": row.request_id, "X-Seal": f"{self.name}.{row.request_id}"}
        grey = self.grey if self.random.random() < GREY_SHARE else ""
        if grey and grey not in ("cut in event", "turned away"):
            row.broke = True
            row.status = int(grey) if grey.isdigit() else 503 if grey == "bare 503" else 500
            bodies = {"failure with body": b'{"error": "out of memory"}', "failure like events": b"id: 9\ndata: x\n\n"}
            self._reply(writer=writer, status=row.status, fields=sealed, body=bodies.get(grey, b""))
            return
        count = int(fields.get("x-tokens", "100,1").partition(",")[2])
        if not count:
            await asyncio.sleep(PLAIN_S)
            data = plain_body(request_id=row.request_id, body=row.body)
            self._reply(writer=writer, status=200, fields=sealed, body=data)
            return
        rows = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked", **sealed}
        writer.write(self._head(status=200, fields=rows))
        for number in range(row.last_event + 1, count + 1):
            data = event(request_id=row.request_id, number=number)
            if grey == "cut in event" and number > row.last_event + 2:
                writer.write(b"%x\r\n%s" % (len(data), data[:9]))
                await writer.drain()
                raise ConnectionAbortedError("cut in the middle of an event")
            writer.write(chunk(data=data))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(chunk(data=b""))

    def _head(self, *, status: int, fields: dict[str, str]) -> bytes:
        kept = {**fields, "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        return head_bytes(first=f"HTTP/1.1 {status} Status", fields=kept)

    def _reply(
        self, *, writer: asyncio.StreamWriter, status: int, fields: dict[str, str] | None = None, body: bytes = b""
    ) -> None:  # fmt: skip
        writer.write(self._head(status=status, fields={**(fields or {}), "Content-Length": str(len(body))}) + body)
