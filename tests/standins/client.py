"""A client: one try of a request, with every byte that came back and when."""

import contextlib
import dataclasses
import errno
from datetime import timedelta

from dockmux.runtime.host import time_limit
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost
from tests.standins.engine import plain_body, stream_body

CONNECT_LIMIT = timedelta(seconds=1)
# How long a client listens for bytes that nobody asked for.
AFTER = timedelta(milliseconds=40)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """Invariant: a request with `tokens_out` of 0 wants a plain answer, any other a stream of so many events."""

    request_id: str
    path: str
    host: str = "desk.example"
    method: str = "POST"
    body: bytes = b'{"prompt": "which track"}'
    tokens_in: int = 1460
    tokens_out: int = 12
    parts: str = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
    deadline: timedelta = timedelta(seconds=8)
    last_event: int = 0
    chunked: bool = False

    def wire(self) -> bytes:
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {self.host}",
            f"X-Request-Id: {self.request_id}",
            "X-Model: m",
            f"X-Tokens: {self.tokens_in},{self.tokens_out}",
            f"X-Prompt-Prefix: {self.parts}",
            f"X-Deadline-Ms: {self.deadline // ms(1)}",
        ]
        if self.last_event:
            lines.append(f"Last-Event-Id: {self.last_event}")
        lines.append("Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {len(self.body)}")
        data = self.body
        if self.chunked:
            data = f"{len(self.body):x}\r\n".encode() + self.body + b"\r\n0\r\n\r\n"
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + data

    def answer(self) -> bytes:
        """The whole body of the right answer."""
        if self.tokens_out:
            return stream_body(request_id=self.request_id, count=self.tokens_out, after=self.last_event)
        return plain_body(request_id=self.request_id, body=self.body)


@dataclasses.dataclass(kw_only=True)
class Seen:
    """What came back of one try. Invariants: `received` holds every byte with its true time; `status` is 0 while no
    head came; `whole` is true only if the answer was brought to its end as its head announced; `surplus` is what came
    behind it."""

    request: Request
    edge: str
    sent_at: timedelta
    received: list[tuple[timedelta, bytes]] = dataclasses.field(default_factory=list)
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    surplus: bytes = b""
    error: str = ""

    @property
    def ended_at(self) -> timedelta:
        return self.received[-1][0] if self.received else self.sent_at

    @property
    def right(self) -> bool:
        """A whole, own, sealed success with nothing behind it."""
        sealed = self.headers.get("x-seal", "").endswith("." + self.request.request_id)
        own = self.headers.get("x-request-id") == self.request.request_id
        same = self.body == self.request.answer() and "content-encoding" not in self.headers
        return self.status == 200 and self.whole and sealed and own and same and not self.surplus

    @property
    def harmless(self) -> bool:
        """Not right, and yet nothing that is false: a failure, or an own answer that was cut and shows it."""
        if self.status == 0:
            return not self.received
        if not 200 <= self.status < 300:
            return not self.surplus
        sealed = self.headers.get("x-seal", "").endswith("." + self.request.request_id)
        if "content-encoding" in self.headers:
            return False
        return not self.whole and sealed and self.request.answer().startswith(self.body)

    @property
    def refused(self) -> bool:
        """A promise that the request has not run and will not."""
        return self.status in (408, 421, 429, 503)

    def read(self) -> None:
        """Takes apart what has come so far."""
        data = b"".join(piece for _, piece in self.received)
        head, end, rest = data.partition(b"\r\n\r\n")
        if not end:
            return
        first, *lines = head.decode("latin-1").split("\r\n")
        self.status = int(first.split(" ")[1])
        self.headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        if self.headers.get("transfer-encoding") == "chunked":
            self._read_chunks(rest=rest)
        elif self.headers.get("content-length", "").isdigit():
            length = int(self.headers["content-length"])
            self.body, self.surplus = rest[:length], rest[length:]
            self.whole = len(self.body) == length
        else:
            self.body = rest

    def _read_chunks(self, *, rest: bytes) -> None:
        body = []
        while True:
            size, end, after = rest.partition(b"\r\n")
            if not end or len(after) < int(size, 16) + 2:
                break
            length = int(size, 16)
            rest = after[length + 2 :]
            if length == 0:
                self.whole, self.surplus = True, rest
                break
            body.append(after[:length])
        self.body = b"".join(body)


class Client:
    """Invariant: `tries` holds every try that was begun, in order."""

    def __init__(self, *, host: SimHost) -> None:
        self.host = host
        self.tries: list[Seen] = []

    def send(self, *, edge: str, request: Request) -> Seen:
        """One try on a connection of its own, until its deadline and a little longer."""
        seen = Seen(request=request, edge=edge, sent_at=self.host.world.now())
        self.tries.append(seen)
        try:
            with self.host.connect(address=edge, wait=CONNECT_LIMIT) as stream:
                self._exchange(stream=stream, seen=seen)
        except OSError as error:
            seen.error = errno.errorcode.get(error.errno or 0, "") or str(error)
        return seen

    def send_many(self, *, edge: str, requests: list[Request], pause: timedelta = timedelta()) -> list[Seen]:
        """Tries one after the other on one connection, while it lasts."""
        rows = []
        with self.host.connect(address=edge, wait=CONNECT_LIMIT) as stream:
            for request in requests:
                seen = Seen(request=request, edge=edge, sent_at=self.host.world.now())
                self.tries.append(seen)
                rows.append(seen)
                try:
                    self._exchange(stream=stream, seen=seen)
                except OSError as error:
                    seen.error = str(error)
                if not seen.whole or "close" in seen.headers.get("connection", ""):
                    break
                self.host.sleep(wait=pause)
        return rows

    def _exchange(self, *, stream: object, seen: Seen) -> None:
        stream.sendall(seen.request.wire())
        with time_limit(wait=seen.request.deadline + ms(500)):
            while not seen.whole:
                if not self._receive(stream=stream, seen=seen):
                    return
        with contextlib.suppress(TimeoutError), time_limit(wait=AFTER):
            while self._receive(stream=stream, seen=seen):
                continue

    def _receive(self, *, stream: object, seen: Seen) -> bool:
        data = stream.recv(65536)
        if data:
            seen.received.append((self.host.world.now(), data))
            seen.read()
        return bool(data)

    def start(self, *, edge: str, request: Request) -> None:
        """Sends without waiting for the answer."""
        self.host.spawn(task=self.send, edge=edge, request=request)
