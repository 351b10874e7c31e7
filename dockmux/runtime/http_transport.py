"""HTTP at the seam: serving through eventlet's WSGI engine, asking through urllib3."""

import contextlib
import errno
import functools
import http.client
import json
import logging
import socket
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from typing import Any

import urllib3.connection
import urllib3.exceptions
import urllib3.util.response
from eventlet import wsgi
from greenlet import GreenletExit

from dockmux.runtime.complete_line_reader import CompleteLineReader
from dockmux.runtime.host import Host, split_address, time_limit
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.outcomes import HttpMapping, Outcome, OutcomeKind
from dockmux.runtime.served_connections import CONNECTION_KEY, HEAD_BYTES_MOST, HttpConnection, ServedConnections
from dockmux.runtime.task_group import describe_error

SEND_LIMIT = timedelta(seconds=10)
IDLE_LIMIT = timedelta(seconds=60)
# While a process has no descriptor or buffer left for a connection, before it accepts again.
ACCEPT_PAUSE = timedelta(milliseconds=100)
OUT_OF_ROOM = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
_quiet = logging.getLogger("dockmux.web")
_quiet.addHandler(logging.NullHandler())
_quiet.propagate = False

REASONS = {
    200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    408: "Request Timeout", 409: "Conflict",
    410: "Gone", 412: "Precondition Failed", 413: "Content Too Large", 415: "Unsupported Media Type",
    422: "Unprocessable Content", 428: "Precondition Required", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout", 507: "Insufficient Storage",
}  # fmt: skip


class BadBody(Exception):
    """A request's body did not come as it was announced; `kind` is the outcome for whoever still listens."""

    def __init__(self, *, kind: OutcomeKind, why: str) -> None:
        super().__init__(why)
        self.kind = kind


class HttpExchange:
    """One HTTP request that is being answered."""

    def __init__(self, *, environ: dict[str, Any], start_response: Callable[..., Any]) -> None:
        environ["eventlet.minimum_write_chunk_size"] = 0
        self.environ = environ
        self.start_response = start_response
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ.get("PATH_INFO", "/")

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """As they came, in their order."""
        return self.environ["headers_raw"]

    @property
    def target(self) -> str:
        """The path and query as they came, not decoded."""
        query = self.environ.get("QUERY_STRING")
        path = self.environ["RAW_PATH_INFO"]
        return path if query is None else f"{path}?{query}"

    def header(self, *, name: str) -> str:
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    @property
    def connection(self) -> Any:
        """The socket on which the request came."""
        return self.environ[CONNECTION_KEY].connection

    @property
    def content_type(self) -> str:
        return (self.environ.get("CONTENT_TYPE") or "").partition(";")[0].strip().lower()

    def body(self, *, limitBytes: int) -> bytes | None:
        """The whole body, as long as was announced; None when it is longer than the limit. BadBody when it ends early,
        stops coming, or does not say clearly where it ends."""
        self._check_framing()
        length = self.environ.get("CONTENT_LENGTH")
        if length and int(length) > limitBytes:
            return None
        if not length and not self._chunked:
            return b""
        try:
            data = self.environ["wsgi.input"].read(limitBytes + 1)
        except TimeoutError:
            raise BadBody(kind=OutcomeKind.BODY_LATE, why="the body stopped coming") from None
        except (OSError, ValueError) as error:
            raise BadBody(kind=OutcomeKind.BODY_CUT, why=f"the body cannot be read whole: {error}") from None
        if length and len(data) < int(length):
            raise BadBody(kind=OutcomeKind.BODY_CUT, why=f"the body ended after {len(data)} of {length} bytes")
        return None if len(data) > limitBytes else data

    def _check_framing(self) -> None:
        """BadBody where two readers of the head could disagree on where the body ends."""
        lengths = {value for name, value in self.headers if name.lower() == "content-length"}
        if len(lengths) > 1 or not all(value.isascii() and value.isdigit() for value in lengths):
            raise BadBody(kind=OutcomeKind.BODY_CUT, why="the body's length is not one number")
        coding = self.environ.get("HTTP_TRANSFER_ENCODING")
        if coding is not None and not self._chunked:
            raise BadBody(kind=OutcomeKind.BODY_CUT, why="the transfer coding is not known")

    @property
    def _chunked(self) -> bool:
        return self.environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"

    def begin(self, *, status: int, headers: list[tuple[str, str]]) -> None:
        self.start_response(f"{status} {REASONS.get(status, 'Status')}", headers)

    def reply(self, *, status: int, fields: Any, headers: Iterable[tuple[str, str]] = ()) -> list[bytes]:
        data = json.dumps(fields).encode() + b"\n"
        kept = [("Content-Type", "application/json"), ("Content-Length", str(len(data))), *headers]
        self.begin(status=status, headers=kept)
        return [data]

    def conclude(self, *, outcome: Outcome, fractions: bool = False) -> list[bytes]:
        """The one place that turns an outcome into HTTP; with `fractions` the caller takes parts of a second."""
        mapping: HttpMapping = outcome.http_mapping
        headers = []
        fields = {"outcome": outcome.kind.value, **outcome.detail}
        if mapping.retry:
            fields["retryMs"] = outcome.retryMs
            seconds = f"{outcome.retryMs / 1000:.3f}" if fractions else str(max(1, -(-outcome.retryMs // 1000)))
            headers.append(("Retry-After", seconds))
        if outcome.kind in ("too_large", "bad_type") and not self.environ[CONNECTION_KEY].close_connection:
            # The client closes: closing here, with its body still on the way, would take the answer from it.
            headers.append(("Connection", "close"))
        return self.reply(status=mapping.status, fields=fields, headers=headers)


class PatientListener:
    """A listener that outlasts a want of descriptors: the server library would close it."""

    def __init__(self, *, host: Host, listener: Any) -> None:
        self.host = host
        self.listener = listener

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listener, name)

    def accept(self) -> Any:
        while True:
            try:
                return self.listener.accept()
            except OSError as error:
                if error.errno not in OUT_OF_ROOM:
                    raise
                self.host.log(LogEvent.NO_DESCRIPTORS, error=error)
                self.host.sleep(wait=ACCEPT_PAUSE)


def serve(
    *, host: Host, listener: Any, handler: Callable[[HttpExchange], Iterable[bytes]], idle: timedelta = IDLE_LIMIT,
    connections: ServedConnections | None = None,
) -> None:  # fmt: skip
    """Serves on a socket that is bound already, so that a taken address shows at the daemon's start. `connections` has
    those that are served, for whoever is to end them."""
    kept = ServedConnections(idle=idle) if connections is None else connections

    def application(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        # Made before the first piece is asked for: it tells the engine not to gather pieces.
        exchange = HttpExchange(environ=environ, start_response=start_response)
        return answer(exchange)

    def answer(exchange: HttpExchange) -> Iterator[bytes]:
        try:
            yield from handler(exchange)
        except BadBody as error:
            exchange.environ[CONNECTION_KEY].close_connection = True
            yield from exchange.conclude(outcome=Outcome(kind=error.kind, detail={"why": str(error)}))
        except (OSError, GreenletExit, GeneratorExit):
            raise  # The stream broke, or is to end: it breaks off without its last line.
        except Exception as error:
            host.log(LogEvent.TASK_FAILED, task=f"{exchange.method} {exchange.path}", error=describe_error(error=error))
            raise

    wsgi.server(
        PatientListener(host=host, listener=listener),
        application,
        log=_quiet,
        log_output=False,
        debug=False,
        keepalive=True,
        url_length_limit=HEAD_BYTES_MOST,
        max_size=4096,
        socket_timeout=SEND_LIMIT.total_seconds(),
        protocol=functools.partial(HttpConnection, connections=kept),
    )


class BadAnswer(OSError):
    """What came is no answer, or does not say clearly where its body ends."""


class StrictResponse(http.client.HTTPResponse):
    """An answer whose head came whole and says clearly where its body ends; anything else is an error. Interim
    answers before it are passed over. Invariant: `surplus` is true once it was read to its end and more had come by
    then."""

    def __init__(self, sock: Any, debuglevel: int = 0, method: str | None = None, url: str | None = None) -> None:
        super().__init__(sock, debuglevel=debuglevel, method=method, url=url)
        self.fp = CompleteLineReader(self.fp.detach())
        self.surplus = False

    def _close_conn(self) -> None:
        self.surplus = self.fp.holds_more()
        super()._close_conn()

    def begin(self) -> None:
        super().begin()
        while 100 <= self.status < 200:
            if self.status == http.client.SWITCHING_PROTOCOLS:
                raise BadAnswer("another protocol, which nobody asked for")
            self.headers = self.msg = None
            super().begin()
        urllib3.util.response.assert_header_parsing(self.msg)
        self._check_framing()

    def _check_framing(self) -> None:
        coding = self.headers.get("transfer-encoding")
        if coding is not None and not self.chunked:
            raise BadAnswer(f"unknown transfer coding {coding!r}")
        length = self.headers.get("content-length")
        if length is not None and not (length.isascii() and length.strip().isdigit()):
            raise BadAnswer(f"no content length: {length!r}")


class HttpClientConnection(urllib3.connection.HTTPConnection):
    """One HTTP stream whose socket comes from the seam. Redirects and retries do not exist here:
    they belong to urllib3's pools, which are not used. Invariant: `whole` is true only while every
    exchange begun on the stream has been read to its end."""

    response_class = StrictResponse

    def __init__(self, *, host: Host, address: str, wait: timedelta, unacked: timedelta | None = None) -> None:
        ip, port = split_address(address=address)
        # Reading is bounded by whoever reads; only connecting is bounded here.
        super().__init__(ip, port, timeout=None)
        self.seam = host
        self.target = address
        self.wait = wait
        self.unacked = unacked
        self.identity: dict[str, Any] = {}
        self.named_at = timedelta()
        self.keep_until = timedelta()
        self.whole = False
        self.last_request = ""
        self.connected: Any = None
        self.answer: StrictResponse | None = None

    def __enter__(self) -> "HttpClientConnection":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _new_conn(self) -> Any:
        # Kept apart: `sock` is given up while an answer is still read that ends with the connection.
        self.connected = self.seam.connect(address=self.target, wait=self.wait, unacked=self.unacked)
        return self.connected

    def getresponse(self) -> urllib3.HTTPResponse:
        try:
            response = super().getresponse()
        except (http.client.HTTPException, urllib3.exceptions.HTTPError) as error:
            raise BadAnswer(f"{type(error).__name__}: {error}") from error
        self.answer = response._original_response
        return response

    @property
    def has_surplus(self) -> bool:
        """Whether more came with the last answer than belongs to it; whatever it is, it is no answer to the next."""
        return self.answer is not None and self.answer.surplus

    def cut(self) -> None:
        """Ends the exchange under way, from another task; the task that reads finds the stream's end."""
        if self.connected is not None:
            with contextlib.suppress(OSError):
                self.connected.shutdown(socket.SHUT_RDWR)

    @property
    def is_connected(self) -> bool:
        """Whether an idle stream may be used: nothing has come in, its end included."""
        return self.sock is not None and not self.seam.readable(sock=self.sock)

    def call(self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None) -> Any:
        """Sends one request and gives the response, its body still to be read."""
        self.send_request(method=method, path=path, fields=fields, headers=headers)
        return self.getresponse()

    def send_request(
        self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None
    ) -> None:
        data = None if fields is None else json.dumps(fields).encode()
        kept = {"Content-Type": "application/json"} if data is not None else {}
        self.request(method, path, body=data, headers={**kept, **(headers or {})}, preload_content=False)


def fetch(
    *, host: Host, address: str, method: str, path: str, wait: timedelta,
    fields: Any = None, headers: dict[str, str] | None = None,
) -> tuple[int, Any, dict[str, str]]:  # fmt: skip
    """One whole exchange on a stream of its own: status, JSON, headers."""
    with time_limit(wait=wait), HttpClientConnection(host=host, address=address, wait=wait) as stream:
        stream.connect()
        response = stream.call(method=method, path=path, fields=fields, headers=headers)
        data = response.read()
        return response.status, json.loads(data) if data else None, dict(response.headers)
