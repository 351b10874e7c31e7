"""The clients of a run: reused and idle connections, bodies of all sizes, disconnects at any point of a request."""

import asyncio
import random

from tests.soak.asyncio_http import STREAM_LIMIT_BYTES, chunk, head_bytes, read_body, read_head
from tests.soak.history import ClientRequest, RequestKind
from tests.soak.machines import SERVICE, Machines
from tests.standins.engine import plain_body, stream_body

HOST = "desk.example"
DEADLINE_S = 8.0
# As `max_body_bytes` and `idle_ms` in the configuration (tests/standins/operator.py).
BODY_LIMIT_BYTES = 4_194_304
EDGE_IDLE_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 1.0
# How long a client waits for bytes that should not follow a complete answer.
SURPLUS_WAIT_S = 0.01
# `tries` of every route.
MAX_ATTEMPTS = 2
PATH_PREFIXES = {
    RequestKind.RESUMED: "notes",
    RequestKind.STREAM: "once",
    RequestKind.REPEATABLE: "check",
    RequestKind.ONCE: "write",
}
DISCONNECT_SHARE = 0.08
SLOW_READER_SHARE = 0.04
RESUME_SHARE = 0.8


class Clients:
    """Sends requests to the edges in rotation and records them.

    Invariant: every request is in the history before its first byte is sent. `added_routes` are the routes that were
    added during the run, by prefix, with the time when they were acknowledged.
    """

    def __init__(self, *, machines: Machines) -> None:
        self.machines = machines
        self.rng = random.Random(f"clients-{machines.plan.seed}")
        self.added_routes: dict[str, tuple[RequestKind, float]] = {}
        self.sent_count = 0
        self.stopping = False

    async def run_client(self) -> None:
        """One client: opens a connection to an edge in rotation, uses it while it lasts, and opens the next one."""
        while not self.stopping:
            edge = self.rng.choice(self.machines.edges_in_rotation)
            try:
                ip, _, port = self.machines.edge_address(name=edge).rpartition(":")
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(ip, int(port), limit=STREAM_LIMIT_BYTES)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            try:
                await self._use_connection(edge=edge, reader=reader, writer=writer)
            finally:
                writer.close()

    async def _use_connection(self, *, edge: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Sends requests one after the other on one connection until it is closed."""
        on_reused_connection, next_request = False, None
        while not self.stopping:
            request = (
                self._draw_request(edge=edge, on_reused_connection=on_reused_connection)
                if next_request is None
                else next_request
            )
            next_request = None
            await self._exchange(request=request, reader=reader, writer=writer)
            if not request.complete or request.headers.get("connection", "").lower() == "close":
                await self._resume(request=request)
                await asyncio.sleep(float(request.headers.get("retry-after", "0")))
                return
            on_reused_connection = True
            pause_s = self.rng.choice((0.0, 0.05, 0.2, 0.5, 1.5, 3.0, self.rng.uniform(0, 0.8 * EDGE_IDLE_TIMEOUT_S)))
            await asyncio.sleep(pause_s)
            if reader.at_eof():
                return

    async def _resume(self, *, request: ClientRequest) -> None:
        """Mostly resumes a stream that was cut off, after its last complete event, as a request of its own."""
        cut_off = (
            request.kind is RequestKind.RESUMED
            and request.status == 200
            and not request.complete
            and not request.disconnected_at
        )
        if not cut_off or self.rng.random() > RESUME_SHARE:
            return
        received = request.body.count(b"\n\n")
        resumed = self._draw_request(edge=self.rng.choice(self.machines.edges_in_rotation), on_reused_connection=False)
        total = resumed.expected.count(b"\n\n")
        if resumed.kind is not RequestKind.RESUMED or received >= total:
            resumed.kind, resumed.target = RequestKind.RESUMED, f"/{PATH_PREFIXES[RequestKind.RESUMED]}/a"
            total = received + 20
        resumed.last_event = received
        resumed.events = total
        resumed.expected = stream_body(request_id=resumed.request_id, count=total, after=received)
        ip, _, port = self.machines.edge_address(name=resumed.edge).rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(ip, int(port), limit=STREAM_LIMIT_BYTES)
        except (OSError, TimeoutError) as error:
            resumed.error, resumed.ended_at = f"no connection: {error}", self.machines.now()
            return
        try:
            await self._exchange(request=resumed, reader=reader, writer=writer)
        finally:
            writer.close()

    def _draw_request(self, *, edge: str, on_reused_connection: bool) -> ClientRequest:
        """A random request, already added to the history."""
        rng = self.rng
        self.sent_count += 1
        kind = rng.choices(tuple(RequestKind), weights=(5, 3, 3, 2))[0]
        request_id = f"{self.sent_count:08x}{rng.getrandbits(32):08x}"
        prefix, added_at = PATH_PREFIXES[kind], 0.0
        if self.added_routes and rng.random() < 0.3:
            prefix = rng.choice(sorted(self.added_routes))
            kind, added_at = self.added_routes[prefix]
        size = rng.choices((60, 900, 20_000, 300_000, BODY_LIMIT_BYTES), weights=(60, 20, 12, 3, 0.3))[0]
        body = rng.randbytes(min(size, 4096)) * (size // min(size, 4096))
        events = rng.choices((2, 12, 40, 130, 200), weights=(4, 5, 4, 2, 1))[0] if kind.is_stream else 0
        expected = (
            stream_body(request_id=request_id, count=events) if events else plain_body(request_id=request_id, body=body)
        )
        request = ClientRequest(
            request_id=request_id, edge=edge, kind=kind, service=SERVICE, target=f"/{prefix}/a", sent_body=body,
            expected=expected, max_attempts=MAX_ATTEMPTS, sent_at=self.machines.now(), deadline_s=DEADLINE_S,
            on_reused_connection=on_reused_connection, route_added_at=added_at, events=events,
        )  # fmt: skip
        self.machines.history.requests.append(request)
        return request

    def _encode(self, *, request: ClientRequest) -> list[bytes]:
        """The head of the request, then its body in pieces."""
        tokens = 12_000 if self.rng.random() < 0.3 else 700
        fields = {
            "Host": HOST, "X-Request-Id": request.request_id, "X-Model": "m", "X-Tokens": f"{tokens},{request.events}",
            "X-Prompt-Prefix": f"5c1e07a2:{tokens // 2},{request.request_id[:8]}:{tokens // 2}",
            "X-Deadline-Ms": f"{request.deadline_s * 1000:.0f}",
        }  # fmt: skip
        if request.last_event:
            fields["Last-Event-Id"] = str(request.last_event)
        in_chunks = self.rng.random() < 0.3
        fields |= {"Transfer-Encoding": "chunked"} if in_chunks else {"Content-Length": str(len(request.sent_body))}
        body = request.sent_body
        piece_size = 16_000
        pieces = [body[at : at + piece_size] for at in range(0, len(body), piece_size)]
        if in_chunks:
            pieces = [*(chunk(data=piece) for piece in pieces), chunk(data=b"")]
        return [head_bytes(start_line=f"POST {request.target} HTTP/1.1", fields=fields), *pieces]

    async def _exchange(
        self, *, request: ClientRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the request and receives its answer; some clients disconnect in between, some read late."""
        request.sent_at = self.machines.now()
        disconnect_in = self.rng.choice(("head", "body", "answer")) if self.rng.random() < DISCONNECT_SHARE else ""
        slow = self.rng.random() < SLOW_READER_SHARE
        try:
            async with asyncio.timeout(request.deadline_s + 0.5):
                if await self._send(request=request, writer=writer, disconnect_in=disconnect_in):
                    return
                await self._receive(request=request, reader=reader, disconnect_in=disconnect_in, slow=slow)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, asyncio.LimitOverrunError) as error:
            request.error = f"{type(error).__name__} {error}"
        finally:
            request.ended_at = self.machines.now()
            if disconnect_in and not request.complete:
                request.disconnected_at = request.ended_at
            if request.disconnected_at or request.error:
                writer.transport.abort()

    async def _send(self, *, request: ClientRequest, writer: asyncio.StreamWriter, disconnect_in: str) -> bool:
        """Sends the request; True if the client disconnects before the request is fully sent."""
        pieces = self._encode(request=request)
        data = b"".join(pieces) if len(pieces) < 4 else b""
        if disconnect_in in ("head", "body"):
            encoded = b"".join(pieces)
            head = len(pieces[0])
            cut = self.rng.randrange(1, head) if disconnect_in == "head" else self.rng.randrange(head, len(encoded))
            writer.write(encoded[:cut])
            await writer.drain()
            await asyncio.sleep(self.rng.choice((0.0, 0.02, 0.3)))
            return True
        for piece in [data] if data else pieces:
            writer.write(piece)
            await writer.drain()
        request.fully_sent_at = self.machines.now()
        return False

    async def _receive(
        self, *, request: ClientRequest, reader: asyncio.StreamReader, disconnect_in: str, slow: bool
    ) -> None:
        head = await read_head(reader=reader)
        if head is None:
            request.error = "closed without an answer"
            return
        request.status, request.headers = int(head.start_line.split(" ")[1]), head.fields
        if disconnect_in:
            await asyncio.sleep(self.rng.uniform(0, 0.3))
            return
        body: list[bytes] = []
        reading = read_body(reader=reader, head=head, on_data=body.append)
        if slow:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        try:
            request.complete = await reading
        finally:
            request.body = b"".join(body)
        if request.complete and request.headers.get("connection", "").lower() != "close":
            try:
                async with asyncio.timeout(SURPLUS_WAIT_S):
                    request.surplus = await reader.read(100)
            except (TimeoutError, OSError):
                pass
