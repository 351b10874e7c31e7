"""The clients of a run: connections that are kept and rested, bodies of all sizes, and leaving at any moment."""

import asyncio
import random

from tests.soak.history import Kind, Try
from tests.soak.machines import SERVICE, Machines
from tests.soak.wire import STREAM_LIMIT_BYTES, chunk, head_bytes, read_body, read_head
from tests.standins.engine import plain_body, stream_body

HOST = "desk.example"
DEADLINE_S = 8.0
BODY_LIMIT_BYTES = 4_194_304
IDLE_S = 15.0
CONNECT_S = 1.0
SURPLUS_S = 0.01
TRIES = 2
PATHS = {Kind.RESUMED: "notes", Kind.STREAM: "once", Kind.REPEATABLE: "check", Kind.ONCE: "write"}
LEAVE_SHARE = 0.08
SLOW_SHARE = 0.04
RESUME_SHARE = 0.8


class Clients:
    """Invariant: every try is in the history from before its first byte was sent. `added` are the routes that came
    later, by prefix, with when they were acknowledged."""

    def __init__(self, *, machines: Machines) -> None:
        self.machines = machines
        self.random = random.Random(f"clients-{machines.plan.seed}")
        self.added: dict[str, tuple[Kind, float]] = {}
        self.sent = 0
        self.ending = False

    async def run_one(self) -> None:
        """One client: a connection to an edge that the platform picks, for as long as it lasts."""
        while not self.ending:
            edge = self.random.choice(self.machines.offered)
            try:
                ip, _, port = self.machines.edge_address(name=edge).rpartition(":")
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(ip, int(port), limit=STREAM_LIMIT_BYTES)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            try:
                await self._use(edge=edge, reader=reader, writer=writer)
            finally:
                writer.close()

    async def _use(self, *, edge: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Requests one after the other on one connection until it is gone."""
        kept, again = False, None
        while not self.ending:
            row = self._draw(edge=edge, kept=kept) if again is None else again
            again = None
            await self._exchange(row=row, reader=reader, writer=writer)
            if not row.whole or row.headers.get("connection", "").lower() == "close":
                await self._resume(row=row)
                await asyncio.sleep(float(row.headers.get("retry-after", "0")))
                return
            kept = True
            rest = self.random.choice((0.0, 0.05, 0.2, 0.5, 1.5, 3.0, self.random.uniform(0, 0.8 * IDLE_S)))
            await asyncio.sleep(rest)
            if reader.at_eof():
                return

    async def _resume(self, *, row: Try) -> None:
        """Takes a stream that was cut up behind its last event, as a try of its own."""
        cut = row.kind is Kind.RESUMED and row.status == 200 and not row.whole and not row.left_at
        if not cut or self.random.random() > RESUME_SHARE:
            return
        count = row.body.count(b"\n\n")
        again = self._draw(edge=self.random.choice(self.machines.offered), kept=False)
        total = again.expected.count(b"\n\n")
        if again.kind is not Kind.RESUMED or count >= total:
            again.kind, again.target = Kind.RESUMED, f"/{PATHS[Kind.RESUMED]}/a"
            total = count + 20
        again.last_event = count
        again.events = total
        again.expected = stream_body(request_id=again.request_id, count=total, after=count)
        ip, _, port = self.machines.edge_address(name=again.edge).rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(ip, int(port), limit=STREAM_LIMIT_BYTES)
        except (OSError, TimeoutError) as error:
            again.error, again.ended_at = f"no connection: {error}", self.machines.now()
            return
        try:
            await self._exchange(row=again, reader=reader, writer=writer)
        finally:
            writer.close()

    def _draw(self, *, edge: str, kept: bool) -> Try:
        source = self.random
        self.sent += 1
        kind = source.choices(tuple(Kind), weights=(5, 3, 3, 2))[0]
        request_id = f"{self.sent:08x}{source.getrandbits(32):08x}"
        prefix, late = PATHS[kind], 0.0
        if self.added and source.random() < 0.3:
            prefix = source.choice(sorted(self.added))
            kind, late = self.added[prefix]
        size = source.choices((60, 900, 20_000, 300_000, BODY_LIMIT_BYTES), weights=(60, 20, 12, 3, 0.3))[0]
        body = source.randbytes(min(size, 4096)) * (size // min(size, 4096))
        events = source.choices((2, 12, 40, 130, 200), weights=(4, 5, 4, 2, 1))[0] if kind.is_stream else 0
        expected = (
            stream_body(request_id=request_id, count=events) if events else plain_body(request_id=request_id, body=body)
        )
        row = Try(
            request_id=request_id, edge=edge, kind=kind, service=SERVICE, target=f"/{prefix}/a", sent_body=body,
            expected=expected, tries=TRIES, sent_at=self.machines.now(), deadline_s=DEADLINE_S, kept=kept,
            late_route_at=late, events=events,
        )  # fmt: skip
        self.machines.history.tries.append(row)
        return row

    def _pieces(self, *, row: Try) -> list[bytes]:
        tokens = 12_000 if self.random.random() < 0.3 else 700
        fields = {
            "Host": HOST, "X-Request-Id": row.request_id, "X-Model": "m", "X-Tokens": f"{tokens},{row.events}",
            "X-Prompt-Prefix": f"5c1e07a2:{tokens // 2},{row.request_id[:8]}:{tokens // 2}",
            "X-Deadline-Ms": f"{row.deadline_s * 1000:.0f}",
        }  # fmt: skip
        if row.last_event:
            fields["Last-Event-Id"] = str(row.last_event)
        in_chunks = self.random.random() < 0.3
        fields |= {"Transfer-Encoding": "chunked"} if in_chunks else {"Content-Length": str(len(row.sent_body))}
        body = row.sent_body
        step = 16_000
        pieces = [body[at : at + step] for at in range(0, len(body), step)]
        if in_chunks:
            pieces = [*(chunk(data=piece) for piece in pieces), chunk(data=b"")]
        return [head_bytes(first=f"POST {row.target} HTTP/1.1", fields=fields), *pieces]

    async def _exchange(self, *, row: Try, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        row.sent_at = self.machines.now()
        leaves = self.random.choice(("head", "body", "answer")) if self.random.random() < LEAVE_SHARE else ""
        slow = self.random.random() < SLOW_SHARE
        try:
            async with asyncio.timeout(row.deadline_s + 0.5):
                if await self._send(row=row, writer=writer, leaves=leaves):
                    return
                await self._receive(row=row, reader=reader, leaves=leaves, slow=slow)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError) as error:
            row.error = f"{type(error).__name__} {error}"
        finally:
            row.ended_at = self.machines.now()
            if leaves and not row.whole:
                row.left_at = row.ended_at
            if row.left_at or row.error:
                writer.transport.abort()

    async def _send(self, *, row: Try, writer: asyncio.StreamWriter, leaves: str) -> bool:
        """Whether the client has left before the request was whole."""
        pieces = self._pieces(row=row)
        data = b"".join(pieces) if len(pieces) < 4 else b""
        if leaves in ("head", "body"):
            whole = b"".join(pieces)
            head = len(pieces[0])
            cut = self.random.randrange(1, head) if leaves == "head" else self.random.randrange(head, len(whole))
            writer.write(whole[:cut])
            await writer.drain()
            await asyncio.sleep(self.random.choice((0.0, 0.02, 0.3)))
            return True
        for piece in [data] if data else pieces:
            writer.write(piece)
            await writer.drain()
        row.sent_whole_at = self.machines.now()
        return False

    async def _receive(self, *, row: Try, reader: asyncio.StreamReader, leaves: str, slow: bool) -> None:
        head = await read_head(reader=reader)
        if head is None:
            row.error = "closed without an answer"
            return
        row.status, row.headers = int(head.first.split(" ")[1]), head.fields
        if leaves:
            await asyncio.sleep(self.random.uniform(0, 0.3))
            return
        got: list[bytes] = []
        reading = read_body(reader=reader, head=head, note=got.append)
        if slow:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
        try:
            row.whole = await reading
        finally:
            row.body = b"".join(got)
        if row.whole and row.headers.get("connection", "").lower() != "close":
            try:
                async with asyncio.timeout(SURPLUS_S):
                    row.surplus = await reader.read(100)
            except (TimeoutError, OSError):
                pass
