"""Asking and answering between dockmux's own processes: one message out, one back, over netstrings."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from dockmux.runtime import codec
from dockmux.runtime.frames import FrameStream
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.task_group import TaskGroup

IDLE_LIMIT = 8


class RpcClient:
    """Streams to other daemons. Invariant: an idle stream has no answer outstanding."""

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
        """The answer, or an OSError; after one it is not known whether the ask was carried out."""
        kept = self.idle.get(address)
        if kept:
            return self._exchange(stream=kept.pop(), address=address, request=request, wait=wait)
        with time_limit(wait=wait):
            sock = self.host.connect(address=address, wait=wait)
        sock.settimeout(None)
        return self._exchange(stream=FrameStream(sock=sock), address=address, request=request, wait=wait)

    def _exchange(self, *, stream: FrameStream, address: str, request: Any, wait: timedelta) -> Any:
        done = False
        try:
            with time_limit(wait=wait):
                stream.send(data=codec.encode(message=request))
                reply = codec.decode(data=stream.receive())
            # Anything behind the answer would be taken for the next one's.
            done = not stream.held
        except codec.Malformed as error:
            raise OSError(f"bad answer: {error}") from None
        finally:
            kept = self.idle.setdefault(address, [])
            if done and len(kept) < IDLE_LIMIT:
                kept.append(stream)
            else:
                stream.__exit__(None, None, None)
                # The others are likely dead as well, as after the peer's restart.
                while not done and kept:
                    kept.pop().__exit__(None, None, None)
        return reply


class RpcServer:
    """Answers asks: a table from message type to the function that answers it."""

    def __init__(self, *, host: Host, listener: Any, answers: dict[type, Callable[..., Any]]) -> None:
        self.host = host
        self.listener = listener
        self.answers = answers

    def run(self) -> None:
        with TaskGroup(host=self.host) as task_group:
            while True:
                sock, _ = self.listener.accept()
                task_group.start(task=self._stream, sock=sock)

    def _stream(self, *, sock: Any) -> None:
        with FrameStream(sock=sock) as stream:
            while True:
                try:
                    request = codec.decode(data=stream.receive())
                    answer = self.answers[type(request)]
                except OSError:
                    return
                except (codec.Malformed, KeyError) as error:
                    self.host.log(LogEvent.BAD_FRAME, error=error)
                    return
                reply = answer(request=request)
                try:
                    stream.send(data=codec.encode(message=reply))
                except OSError:
                    return
