"""An HTTP client on urllib3's connections, over the Host interface."""

import contextlib
import functools
import http.client
import json
import socket
from datetime import timedelta
from typing import Any

import urllib3.connection
import urllib3.exceptions

from dockmux.runtime.fair_reader import FairReader
from dockmux.runtime.host import Host, split_address, time_limit
from dockmux.runtime.http_response import BadAnswer, BoundedResponse, StrictResponse
from dockmux.runtime.receive_limits import MAX_OWN_ANSWER_BYTES, ReceiveLimitExceeded


class HttpClientConnection(urllib3.connection.HTTPConnection):
    """One HTTP client connection on a socket of the Host. It does no redirects or retries: in urllib3 these belong to
    the pools, which are not used. Invariant: `reusable` is true only while every exchange started on the connection
    has been read to its end. `timeout` limits each wait for a part of the response. `identity` is the engine's reply to
    /identity, requested at `identified_at`; `keep_until` and `last_request_id` are set by the pool that keeps the
    connection."""

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
        self.response_class = functools.partial(self._begin_response, host=host)
        self.last_response: StrictResponse | None = None

    def _begin_response(self, sock: Any, **keywords: Any) -> StrictResponse:
        # Kept from its first byte on: a head that does not end is noticed from outside.
        self.last_response = StrictResponse(sock, **keywords)
        return self.last_response

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

    def getresponse(self) -> BoundedResponse:
        """Reads the head of the response. Raises OSError, BadAnswer among it."""
        # It may have been changed since the connection was made.
        self.sock.settimeout(self.timeout)
        try:
            # Past urllib3's response class, which has no limits for what it reads.
            response = http.client.HTTPConnection.getresponse(self)
        except http.client.RemoteDisconnected:
            raise
        except ReceiveLimitExceeded as error:
            raise BadAnswer(f"{type(error).__name__}: {error}") from error
        except (http.client.HTTPException, urllib3.exceptions.HTTPError) as error:
            raise BadAnswer(f"{type(error).__name__}: {error}") from error
        return BoundedResponse(response=response, host=self.runtime_host)

    @property
    def has_surplus(self) -> bool:
        """Whether data arrived beyond the end of the last response; it must not be taken for the next response."""
        return self.last_response is not None and self.last_response.surplus

    @property
    def answer_is_overdue(self) -> bool:
        """Whether a part of the response (its head, a chunk, an event) has begun and arrives too slowly."""
        reader = self._reader()
        return reader is not None and reader.unit_is_overdue

    def end_unit(self) -> None:
        """Notes that a part of the response that the reader of the body waits for is complete."""
        reader = self._reader()
        if reader is not None:
            reader.end_unit()

    def _reader(self) -> FairReader | None:
        if self.last_response is None or self.last_response.fp is None:
            return None
        return self.last_response.fp.raw

    def abort(self) -> None:
        """Aborts the current exchange, from another task; the reading task sees the end of the stream."""
        if self.connected_sock is not None:
            with contextlib.suppress(OSError):
                self.connected_sock.shutdown(socket.SHUT_RDWR)

    @property
    def is_connected(self) -> bool:
        """Whether an idle connection may be used: nothing has arrived on it, not even end of stream."""
        return self.sock is not None and not self.runtime_host.readable(sock=self.sock)

    def call(
        self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None
    ) -> BoundedResponse:
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
    """One complete exchange with a program of dockmux on a new connection: status, JSON body and headers."""
    with time_limit(wait=wait), HttpClientConnection(host=host, address=address, wait=wait) as stream:
        stream.connect()
        response = stream.call(method=method, path=path, fields=fields, headers=headers)
        data = response.read(limit_bytes=MAX_OWN_ANSWER_BYTES)
        return response.status, json.loads(data) if data else None, dict(response.headers)
