"""Remote calls between dockmux's own processes: one request and one reply, framed as netstrings over TCP."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from dockmux.runtime import codec
from dockmux.runtime.frames import FrameStream
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.listener import RetryingListener
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.task_group import TaskGroup

# Idle connections kept for each peer.
MAX_IDLE_CONNECTIONS = 8


class RpcClient:
    """Calls to other daemons over pooled connections. Invariant: an idle connection has no reply outstanding."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.idle: dict[str, list[FrameStream]] = {}

    def __enter__(self) -> "RpcClient":
        return self

    def __exit__(self, *_: object) -> None:
        for streams in self.idle.values():
            for stream in streams:
                stream.__exit__(None, None, None)
        self.idle.clear()

    def call(self, *, address: str, request: Any, wait: timedelta) -> Any:
        """Returns the reply. After an OSError it is unknown whether the request was carried out."""
        idle = self.idle.get(address)
        if idle:
            return self._exchange(stream=idle.pop(), address=address, request=request, wait=wait)
        with time_limit(wait=wait):
            sock = self.host.connect(address=address, wait=wait)
        sock.settimeout(None)
        return self._exchange(
            stream=FrameStream(sock=sock, host=self.host), address=address, request=request, wait=wait
        )

    def _exchange(self, *, stream: FrameStream, address: str, request: Any, wait: timedelta) -> Any:
        reusable = False
        try:
            with time_limit(wait=wait):
                stream.send(data=codec.encode(message=request))
                reply = codec.decode(data=stream.receive())
            # Data beyond the reply would be taken for the next reply.
            reusable = not stream.buffer
        except codec.MessageFormatError as error:
            raise OSError(f"malformed reply: {error}") from None
        finally:
            idle = self.idle.setdefault(address, [])
            if reusable and len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(stream)
            else:
                stream.__exit__(None, None, None)
                # The other idle connections are probably dead too, as after a restart of the peer.
                while not reusable and idle:
                    idle.pop().__exit__(None, None, None)
        return reply


class RpcServer:
    """Serves requests: `handlers` maps each message type to the function that returns the reply."""

    def __init__(self, *, host: Host, listener: Any, handlers: dict[type, Callable[..., Any]]) -> None:
        self.host = host
        self.listener = listener
        self.handlers = handlers

    def run(self) -> None:
        """Accepts connections and serves each in its own task; does not return."""
        listener = RetryingListener(host=self.host, listener=self.listener)
        with TaskGroup(host=self.host) as task_group:
            while True:
                sock, _ = listener.accept()
                task_group.start(task=self._serve_connection, sock=sock)

    def _serve_connection(self, *, sock: Any) -> None:
        with FrameStream(sock=sock, host=self.host) as stream:
            while True:
                try:
                    request = codec.decode(data=stream.receive())
                    handler = self.handlers[type(request)]
                except OSError:
                    return
                except (codec.MessageFormatError, KeyError) as error:
                    self.host.log(LogEvent.BAD_FRAME, error=error)
                    return
                reply = handler(request=request)
                try:
                    stream.send(data=codec.encode(message=reply))
                except OSError:
                    return
