"""HTTP over the Host interface: a server on eventlet's WSGI server and a client on urllib3's connections."""

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
from dockmux.runtime.served_connections import CONNECTION_KEY, MAX_HEAD_BYTES, HttpConnection, ServedConnections
from dockmux.runtime.task_group import describe_error

SEND_LIMIT = timedelta(seconds=10)
IDLE_LIMIT = timedelta(seconds=60)
# Delay before the next accept when the process is out of descriptors or socket buffers.
ACCEPT_PAUSE = timedelta(milliseconds=100)
RESOURCE_EXHAUSTED_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
_null_logger = logging.getLogger("dockmux.web")
_null_logger.addHandler(logging.NullHandler())
_null_logger.propagate = False

REASON_PHRASES = {
    200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    408: "Request Timeout", 409: "Conflict",
    410: "Gone", 412: "Precondition Failed", 413: "Content Too Large", 415: "Unsupported Media Type",
    422: "Unprocessable Content", 428: "Precondition Required", 500: "Internal Server Error", 502: "Bad Gateway",
    503: "Service Unavailable", 504: "Gateway Timeout", 507: "Insufficient Storage",
}  # fmt: skip


class RequestBodyError(Exception):
    """A request's body could not be read as announced. `kind` is the outcome to send to a client that still listens."""

    def __init__(self, *, kind: OutcomeKind, why: str) -> None:
        super().__init__(why)
        self.kind = kind


class HttpExchange:
    """One HTTP request and its response."""

    def __init__(self, *, environ: dict[str, Any], start_response: Callable[..., Any]) -> None:
        environ["eventlet.minimum_write_chunk_size"] = 0
        self.environ = environ
        self.start_response = start_response
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ.get("PATH_INFO", "/")

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """The request's headers as received, in order."""
        return self.environ["headers_raw"]

    @property
    def target(self) -> str:
        """The request target as received: path and query, not percent-decoded."""
        query = self.environ.get("QUERY_STRING")
        path = self.environ["RAW_PATH_INFO"]
        return path if query is None else f"{path}?{query}"

    def header(self, *, name: str) -> str:
        """A header's value; empty if it is absent."""
        return self.environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    @property
    def connection(self) -> Any:
        """The socket the request was received on."""
        return self.environ[CONNECTION_KEY].connection

    @property
    def content_type(self) -> str:
        return (self.environ.get("CONTENT_TYPE") or "").partition(";")[0].strip().lower()

    def body(self, *, limit_bytes: int) -> bytes | None:
        """The complete body; None if it is longer than `limit_bytes`.

        Raises RequestBodyError if the body ends early, stops arriving, or has no unambiguous end.
        """
        self._check_framing()
        length = self.environ.get("CONTENT_LENGTH")
        if length and int(length) > limit_bytes:
            return None
        if not length and not self._chunked:
            return b""
        try:
            data = self.environ["wsgi.input"].read(limit_bytes + 1)
        except TimeoutError:
            raise RequestBodyError(kind=OutcomeKind.BODY_LATE, why="the body stopped coming") from None
        except (OSError, ValueError) as error:
            raise RequestBodyError(kind=OutcomeKind.BODY_CUT, why=f"the body cannot be read whole: {error}") from None
        if length and len(data) < int(length):
            raise RequestBodyError(kind=OutcomeKind.BODY_CUT, why=f"the body ended after {len(data)} of {length} bytes")
        return None if len(data) > limit_bytes else data

    def _check_framing(self) -> None:
        """Raises RequestBodyError if parsers of the head could disagree on where the body ends (request smuggling)."""
        lengths = {value for name, value in self.headers if name.lower() == "content-length"}
        if len(lengths) > 1 or not all(value.isascii() and value.isdigit() for value in lengths):
            raise RequestBodyError(kind=OutcomeKind.BODY_CUT, why="the body's length is not one number")
        coding = self.environ.get("HTTP_TRANSFER_ENCODING")
        if coding is not None and not self._chunked:
            raise RequestBodyError(kind=OutcomeKind.BODY_CUT, why="the transfer coding is not known")

    @property
    def _chunked(self) -> bool:
        return self.environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked"

    def begin(self, *, status: int, headers: list[tuple[str, str]]) -> None:
        """Starts the response with its status and headers."""
        self.start_response(f"{status} {REASON_PHRASES.get(status, 'Status')}", headers)

    def reply(self, *, status: int, fields: Any, headers: Iterable[tuple[str, str]] = ()) -> list[bytes]:
        """Responds with `fields` as JSON."""
        data = json.dumps(fields).encode() + b"\n"
        all_headers = [("Content-Type", "application/json"), ("Content-Length", str(len(data))), *headers]
        self.begin(status=status, headers=all_headers)
        return [data]

    def respond(self, *, outcome: Outcome, fractional_seconds: bool = False) -> list[bytes]:
        """Responds with an outcome; every outcome is mapped to HTTP here. With `fractional_seconds`, Retry-After is
        exact to the millisecond; without it, it is rounded up to whole seconds."""
        mapping: HttpMapping = outcome.http_mapping
        headers = []
        fields = {"outcome": outcome.kind.value, **outcome.detail}
        if mapping.retry:
            fields["retryMs"] = outcome.retry_ms
            seconds = (
                f"{outcome.retry_ms / 1000:.3f}" if fractional_seconds else str(max(1, -(-outcome.retry_ms // 1000)))
            )
            headers.append(("Retry-After", seconds))
        if outcome.kind in ("too_large", "bad_type") and not self.environ[CONNECTION_KEY].close_connection:
            # The client closes the connection: closing it here, while its body is still arriving, would reset the
            # connection and could destroy the response.
            headers.append(("Connection", "close"))
        return self.reply(status=mapping.status, fields=fields, headers=headers)


class RetryingListener:
    """A listener that keeps accepting when descriptors run out; the server library would close it."""

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
                if error.errno not in RESOURCE_EXHAUSTED_ERRNOS:
                    raise
                self.host.log(LogEvent.ACCEPT_FAILED, error=error)
                self.host.sleep(wait=ACCEPT_PAUSE)


def serve(
    *, host: Host, listener: Any, handler: Callable[[HttpExchange], Iterable[bytes]], idle: timedelta = IDLE_LIMIT,
    connections: ServedConnections | None = None,
) -> None:  # fmt: skip
    """Serves HTTP on a bound socket. The caller binds it, so that an address in use is detected at the daemon's start.

    `connections` holds the open connections, for a caller that closes them.
    """
    served_connections = ServedConnections(idle=idle) if connections is None else connections

    def application(environ: dict[str, Any], start_response: Callable[..., Any]) -> Iterable[bytes]:
        # Created before the first chunk is requested: it sets eventlet's minimum chunk size to 0, which disables
        # buffering.
        exchange = HttpExchange(environ=environ, start_response=start_response)
        return generate_response(exchange)

    def generate_response(exchange: HttpExchange) -> Iterator[bytes]:
        try:
            yield from handler(exchange)
        except RequestBodyError as error:
            exchange.environ[CONNECTION_KEY].close_connection = True
            yield from exchange.respond(outcome=Outcome(kind=error.kind, detail={"why": str(error)}))
        except (OSError, GreenletExit, GeneratorExit):
            raise  # The connection failed or is being closed: the response ends without its last chunk.
        except Exception as error:
            host.log(LogEvent.TASK_FAILED, task=f"{exchange.method} {exchange.path}", error=describe_error(error=error))
            raise

    wsgi.server(
        RetryingListener(host=host, listener=listener),
        application,
        log=_null_logger,
        log_output=False,
        debug=False,
        keepalive=True,
        url_length_limit=MAX_HEAD_BYTES,
        max_size=4096,
        socket_timeout=SEND_LIMIT.total_seconds(),
        protocol=functools.partial(HttpConnection, connections=served_connections),
    )


class BadAnswer(OSError):
    """The response is malformed, or has no unambiguous end. HTTP answers name this class in `why`."""


class StrictResponse(http.client.HTTPResponse):
    """A response with a complete head and an unambiguous end of body; anything else is an error. Interim (1xx)
    responses are skipped. Invariant: `surplus` is true once the response has been read to its end and data beyond it
    had arrived by then."""

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
    """One HTTP client connection on a socket of the Host. It does no redirects or retries: in urllib3 these belong to
    the pools, which are not used. Invariant: `reusable` is true only while every exchange started on the connection
    has been read to its end. `identity` is the engine's reply to /identity, requested at `identified_at`;
    `keep_until` and `last_request_id` are set by the pool that keeps the connection."""

    response_class = StrictResponse

    def __init__(self, *, host: Host, address: str, wait: timedelta, user_timeout: timedelta | None = None) -> None:
        ip, port = split_address(address=address)
        # Only connecting has a time limit here; the caller limits reading.
        super().__init__(ip, port, timeout=None)
        self.runtime_host = host
        self.peer_address = address
        self.wait = wait
        self.user_timeout = user_timeout
        self.identity: dict[str, Any] = {}
        self.identified_at = timedelta()
        self.keep_until = timedelta()
        self.reusable = False
        self.last_request_id = ""
        self.connected_sock: Any = None
        self.last_response: StrictResponse | None = None

    def __enter__(self) -> "HttpClientConnection":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _new_conn(self) -> Any:
        # Kept separately: http.client drops `sock` while a response that ends with the connection is still being read.
        self.connected_sock = self.runtime_host.connect(
            address=self.peer_address, wait=self.wait, user_timeout=self.user_timeout
        )
        return self.connected_sock

    def getresponse(self) -> urllib3.HTTPResponse:
        try:
            response = super().getresponse()
        except (http.client.HTTPException, urllib3.exceptions.HTTPError) as error:
            raise BadAnswer(f"{type(error).__name__}: {error}") from error
        self.last_response = response._original_response
        return response

    @property
    def has_surplus(self) -> bool:
        """Whether data arrived beyond the end of the last response; it must not be taken for the next response."""
        return self.last_response is not None and self.last_response.surplus

    def abort(self) -> None:
        """Aborts the current exchange, from another task; the reading task sees the end of the stream."""
        if self.connected_sock is not None:
            with contextlib.suppress(OSError):
                self.connected_sock.shutdown(socket.SHUT_RDWR)

    @property
    def is_connected(self) -> bool:
        """Whether an idle connection may be used: nothing has arrived on it, not even end of stream."""
        return self.sock is not None and not self.runtime_host.readable(sock=self.sock)

    def call(self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None) -> Any:
        """Sends one request and returns the response, with its body still to be read."""
        self.send_request(method=method, path=path, fields=fields, headers=headers)
        return self.getresponse()

    def send_request(
        self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None
    ) -> None:
        """Sends one request, with `fields` as its JSON body, without waiting for the response."""
        data = None if fields is None else json.dumps(fields).encode()
        content_headers = {"Content-Type": "application/json"} if data is not None else {}
        self.request(method, path, body=data, headers={**content_headers, **(headers or {})}, preload_content=False)


def fetch(
    *, host: Host, address: str, method: str, path: str, wait: timedelta,
    fields: Any = None, headers: dict[str, str] | None = None,
) -> tuple[int, Any, dict[str, str]]:  # fmt: skip
    """One complete exchange on a new connection: status, JSON body and headers."""
    with time_limit(wait=wait), HttpClientConnection(host=host, address=address, wait=wait) as stream:
        stream.connect()
        response = stream.call(method=method, path=path, fields=fields, headers=headers)
        data = response.read()
        return response.status, json.loads(data) if data else None, dict(response.headers)
