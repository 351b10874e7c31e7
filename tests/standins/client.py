"""Client that records every byte of its answers and when it arrived."""

import contextlib
import dataclasses
import errno
from datetime import timedelta

from dockmux.runtime.host import time_limit
from dockmux.runtime.time_units import ms
from dockmux.simulator.world import SimHost
from tests.standins.engine import plain_body, stream_body

CONNECT_LIMIT = timedelta(seconds=1)
# How long the client waits for surplus bytes after a complete answer.
SURPLUS_WAIT = timedelta(milliseconds=40)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """Invariant: with `tokens_out` of 0 the answer is a single body, otherwise a stream of `tokens_out` events."""

    request_id: str
    path: str
    host: str = "desk.example"
    method: str = "POST"
    body: bytes = b'{"prompt": "which track"}'
    tokens_in: int = 1460
    tokens_out: int = 12
    prefix_blocks: str = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
    deadline: timedelta = timedelta(seconds=8)
    last_event: int = 0
    chunked: bool = False

    def to_bytes(self) -> bytes:
        lines = [
            f"{self.method} {self.path} HTTP/1.1",
            f"Host: {self.host}",
            f"X-Request-Id: {self.request_id}",
            "X-Model: m",
            f"X-Tokens: {self.tokens_in},{self.tokens_out}",
            f"X-Prompt-Prefix: {self.prefix_blocks}",
            f"X-Deadline-Ms: {self.deadline // ms(1)}",
        ]
        if self.last_event:
            lines.append(f"Last-Event-Id: {self.last_event}")
        lines.append("Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {len(self.body)}")
        data = self.body
        if self.chunked:
            data = f"{len(self.body):x}\r\n".encode() + self.body + b"\r\n0\r\n\r\n"
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + data

    def expected_body(self) -> bytes:
        """The complete body of the correct answer."""
        if self.tokens_out:
            return stream_body(request_id=self.request_id, count=self.tokens_out, after=self.last_event)
        return plain_body(request_id=self.request_id, body=self.body)


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One attempt of a request, and what was received for it. Invariants: `received` has every byte with its simulated
    time; `status` is 0 while no head has arrived; `complete` is true only if the answer ended as its head announced;
    `surplus` are the bytes after it."""

    request: Request
    edge: str
    sent_at: timedelta
    received: list[tuple[timedelta, bytes]] = dataclasses.field(default_factory=list)
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    surplus: bytes = b""
    error: str = ""

    @property
    def ended_at(self) -> timedelta:
        return self.received[-1][0] if self.received else self.sent_at

    @property
    def is_correct(self) -> bool:
        """Whether it is a complete, sealed success for this request, with no bytes after it."""
        sealed = self.headers.get("x-seal", "").endswith("." + self.request.request_id)
        own = self.headers.get("x-request-id") == self.request.request_id
        same = self.body == self.request.expected_body() and "content-encoding" not in self.headers
        return self.status == 200 and self.complete and sealed and own and same and not self.surplus

    @property
    def is_safe(self) -> bool:
        """Whether an answer that is not correct contains nothing false either: it is a failure, or this request's
        answer, recognizably truncated."""
        if self.status == 0:
            return not self.received
        if not 200 <= self.status < 300:
            return not self.surplus
        sealed = self.headers.get("x-seal", "").endswith("." + self.request.request_id)
        if "content-encoding" in self.headers:
            return False
        return not self.complete and sealed and self.request.expected_body().startswith(self.body)

    @property
    def refused(self) -> bool:
        """Whether the answer states that the request was not run and will not be."""
        return self.status in (408, 421, 429, 503)

    def parse(self) -> None:
        """Parses what has been received so far."""
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
            self._parse_chunks(rest=rest)
        elif self.headers.get("content-length", "").isdigit():
            length = int(self.headers["content-length"])
            self.body, self.surplus = rest[:length], rest[length:]
            self.complete = len(self.body) == length
        else:
            self.body = rest

    def _parse_chunks(self, *, rest: bytes) -> None:
        body = []
        while True:
            size, end, after = rest.partition(b"\r\n")
            if not end or len(after) < int(size, 16) + 2:
                break
            length = int(size, 16)
            rest = after[length + 2 :]
            if length == 0:
                self.complete, self.surplus = True, rest
                break
            body.append(after[:length])
        self.body = b"".join(body)


class Client:
    """Invariant: `attempts` has every attempt that was started, in order."""

    def __init__(self, *, host: SimHost) -> None:
        self.host = host
        self.attempts: list[Attempt] = []

    def send(self, *, edge: str, request: Request) -> Attempt:
        """Sends a request on its own connection and waits until 500 ms after its deadline."""
        attempt = Attempt(request=request, edge=edge, sent_at=self.host.world.now())
        self.attempts.append(attempt)
        try:
            with self.host.connect(address=edge, wait=CONNECT_LIMIT) as stream:
                self._exchange(stream=stream, attempt=attempt)
        except OSError as error:
            attempt.error = errno.errorcode.get(error.errno or 0, "") or str(error)
        return attempt

    def send_many(self, *, edge: str, requests: list[Request], pause: timedelta = timedelta()) -> list[Attempt]:
        """Sends requests one after the other on one connection, until that is closed."""
        attempts = []
        with self.host.connect(address=edge, wait=CONNECT_LIMIT) as stream:
            for request in requests:
                attempt = Attempt(request=request, edge=edge, sent_at=self.host.world.now())
                self.attempts.append(attempt)
                attempts.append(attempt)
                try:
                    self._exchange(stream=stream, attempt=attempt)
                except OSError as error:
                    attempt.error = str(error)
                if not attempt.complete or "close" in attempt.headers.get("connection", ""):
                    break
                self.host.sleep(wait=pause)
        return attempts

    def _exchange(self, *, stream: object, attempt: Attempt) -> None:
        stream.sendall(attempt.request.to_bytes())
        with time_limit(wait=attempt.request.deadline + ms(500)):
            while not attempt.complete:
                if not self._receive(stream=stream, attempt=attempt):
                    return
        with contextlib.suppress(TimeoutError), time_limit(wait=SURPLUS_WAIT):
            while self._receive(stream=stream, attempt=attempt):
                continue

    def _receive(self, *, stream: object, attempt: Attempt) -> bool:
        data = stream.recv(65536)
        if data:
            attempt.received.append((self.host.world.now(), data))
            attempt.parse()
        return bool(data)

    def start(self, *, edge: str, request: Request) -> None:
        """Sends without waiting for the answer."""
        self.host.spawn(task=self.send, edge=edge, request=request)
