"""An HTTP server on eventlet's WSGI server, over the Host interface."""

import functools
import json
import logging
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta
from typing import Any

import eventlet
from eventlet import wsgi
from greenlet import GreenletExit

from dockmux.runtime.host import Host
from dockmux.runtime.listener import RetryingListener
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.memory_reserve import process_memory_reserve
from dockmux.runtime.outcomes import HttpMapping, Outcome, OutcomeKind
from dockmux.runtime.receive_limits import BodyTooLarge, Charge, HeldBytesExceeded, process_held_bytes
from dockmux.runtime.served_connections import CONNECTION_KEY, MAX_HEAD_BYTES, HttpConnection, ServedConnections
from dockmux.runtime.task_group import describe_error

MAX_CONNECTIONS = 4096
TASK_START_LIMIT_S = 5.0
SEND_LIMIT = timedelta(seconds=10)
IDLE_LIMIT = timedelta(seconds=60)
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
        # Counts the body as held until the response is complete.
        self.held = Charge(held=process_held_bytes)
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
        if not process_memory_reserve.has_room(size=int(length) if length else limit_bytes):
            raise RequestBodyError(kind=OutcomeKind.BUSY, why="out of memory")
        try:
            return self.environ["wsgi.input"].read_whole(limit_bytes=limit_bytes, charge=self.held)
        except BodyTooLarge:
            return None
        except HeldBytesExceeded as error:
            raise RequestBodyError(kind=OutcomeKind.BUSY, why=str(error)) from None
        except MemoryError:
            process_memory_reserve.release()
            raise RequestBodyError(kind=OutcomeKind.BUSY, why="out of memory") from None
        except TimeoutError:
            raise RequestBodyError(kind=OutcomeKind.BODY_LATE, why="the body stopped coming") from None
        except (OSError, ValueError) as error:
            raise RequestBodyError(kind=OutcomeKind.BODY_CUT, why=f"the body cannot be read whole: {error}") from None

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


class ConnectionTasks(eventlet.GreenPool):
    """The tasks of a server's connections. They end with the server's own task, and go on where that has failed.

    Invariant: `unstarted` holds the newest tasks, with the times of their creation; all that are not in it have started
    or were given up."""

    def __init__(self, *, listener: RetryingListener) -> None:
        super().__init__(MAX_CONNECTIONS)
        self.listener = listener
        self.unstarted: deque[tuple[float, Any]] = deque()

    def spawn(self, function: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
        """Starts a connection's task, and gives up earlier ones that could not start: out of memory, the hub drops
        them, and their places and sockets would be lost."""
        now = time.monotonic()
        while self.unstarted and (self._has_started(task=self.unstarted[0][1]) or self._is_overdue(now=now)):
            _, task = self.unstarted.popleft()
            if not self._has_started(task=task):
                task.kill()
        task = super().spawn(function, *args, **kwargs)
        self.unstarted.append((now, task))
        return task

    @staticmethod
    def _has_started(*, task: Any) -> bool:
        return bool(task) or task.dead

    def _is_overdue(self, *, now: float) -> bool:
        return now - self.unstarted[0][0] > TASK_START_LIMIT_S

    def waitall(self) -> None:
        """Called by the server library at the end of the server."""
        if self.listener.is_ending:
            for task in list(self.coroutines_running):
                task.kill()


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
            is_skipped = error.kind is OutcomeKind.BUSY and exchange.environ["wsgi.input"].can_be_skipped
            exchange.environ[CONNECTION_KEY].close_connection = not is_skipped
            yield from exchange.respond(outcome=Outcome(kind=error.kind, detail={"why": str(error)}))
        except (OSError, GreenletExit, GeneratorExit):
            raise  # The connection failed or is being closed: the response ends without its last chunk.
        except MemoryError as error:
            process_memory_reserve.release()
            host.log(LogEvent.MEMORY_EXHAUSTED, error=describe_error(error=error))
            raise
        except Exception as error:
            host.log(LogEvent.TASK_FAILED, task=f"{exchange.method} {exchange.path}", error=describe_error(error=error))
            raise
        finally:
            exchange.held.release()

    retrying_listener = RetryingListener(host=host, listener=listener)
    wsgi.server(
        retrying_listener,
        application,
        custom_pool=ConnectionTasks(listener=retrying_listener),
        log=_null_logger,
        log_output=False,
        debug=False,
        keepalive=True,
        url_length_limit=MAX_HEAD_BYTES,
        socket_timeout=SEND_LIMIT.total_seconds(),
        protocol=functools.partial(HttpConnection, connections=served_connections, host=host),
    )
