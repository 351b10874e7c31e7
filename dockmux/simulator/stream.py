"""A TCP stream in memory: bytes in order, bounded buffers, cuts that hold it up, ends that are seen."""

import errno
import io
import socket
from collections import deque
from datetime import timedelta
from typing import Any

import eventlet
from eventlet import hubs

WINDOW_BYTES = 262_144
RETRANSMIT_SECONDS = 0.2
RETRANSMIT_MOST = 75  # fifteen seconds, then the stream is given up


class SimListener:
    """A listening socket. Invariant: `arrived` are streams whose asker believes them open already."""

    family = socket.AF_INET

    def __init__(self, *, host: Any, address: tuple[str, int]) -> None:
        if address in host.world.listeners:
            raise OSError(errno.EADDRINUSE, "address already in use")
        self.host = host
        self.address = address
        self.arrived: deque[SimStream] = deque()
        self.waiting: Any = None
        host.world.listeners[address] = self
        host.closing.append(self)

    def __enter__(self) -> "SimListener":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        if self.host.world.listeners.get(self.address) is self:
            del self.host.world.listeners[self.address]

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def accept(self) -> tuple["SimStream", tuple[str, int]]:
        while not self.arrived:
            self.waiting = eventlet.getcurrent()
            hubs.get_hub().switch()
        stream = self.arrived.popleft()
        return stream, stream.peer_address

    def arrive(self, *, stream: "SimStream") -> None:
        self.arrived.append(stream)
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            self.host.world.hub.schedule_in(place=self.host, seconds=0, call=waiting.switch)


class SimStream:
    """One end of a stream. Invariants: `inbox` holds what has arrived and is not read, in order; `flight` what
    was sent and has not arrived, in order; after `ended` nothing more arrives; after `broken` every use fails."""

    family = socket.AF_INET

    def __init__(self, *, host: Any, address: tuple[str, int], peer_address: tuple[str, int]) -> None:
        self.host = host
        self.world = host.world
        self.address = address
        self.peer_address = peer_address
        self.peer: SimStream | None = None
        self.inbox: deque[bytes] = deque()
        self.inbox_size = 0
        self.flight: deque[bytes | None] = deque()
        self.flight_size = 0
        self.carrying = False
        self.tries = 0
        self.ended = False
        self.broken = False
        self.closed = False
        self.shut = False
        self.waiting: list[Any] = []
        self.timeout: float | None = None
        self.user_timeout: timedelta | None = None
        self.held_since = 0.0
        self._io_refs = 0
        host.streams.append(self)
        if len(host.streams) > 2000:
            host.streams[:] = [kept for kept in host.streams if not kept.closed]

    # Opening.

    @classmethod
    def connect(cls, *, host: Any, address: tuple[str, int], wait: timedelta) -> "SimStream":
        world = host.world
        source, target = host.machine.ip, address[0]
        deadline = world.hub.moment + wait.total_seconds()
        while (
            target not in world.machines
            or world.blocked(source=source, target=target)
            or world.blocked(source=target, target=source)
        ):
            if world.hub.moment >= deadline:
                raise TimeoutError(errno.ETIMEDOUT, "timed out")
            eventlet.sleep(min(RETRANSMIT_SECONDS, max(deadline - world.hub.moment, 0.001)))
        eventlet.sleep(world.latency(source=source, target=target) + world.latency(source=target, target=source))
        listener = world.listeners.get(address)
        if listener is None or not listener.host.alive:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "connection refused")
        world.next_port += 1
        own = (source, world.next_port)
        here = cls(host=host, address=own, peer_address=address)
        there = cls(host=listener.host, address=address, peer_address=own)
        here.peer, there.peer = there, here
        listener.arrive(stream=there)
        return here

    # Waiting.

    def _wait(self) -> None:
        """Until something changes, or the stream's timeout."""
        task = eventlet.getcurrent()
        self.waiting.append(task)
        task.stream_wait = self
        try:
            if self.timeout is None:
                hubs.get_hub().switch()
            else:
                with eventlet.Timeout(self.timeout, TimeoutError("timed out")):
                    hubs.get_hub().switch()
        finally:
            task.stream_wait = None
            if task in self.waiting:
                self.waiting.remove(task)

    def _wake(self) -> None:
        waiting, self.waiting = self.waiting, []
        for task in waiting:
            self.world.hub.schedule_in(place=self.host, seconds=0, call=_Resume(stream=self, task=task))

    # Sending.

    def send(self, data: Any) -> int:
        data = bytes(data)
        self.host.step(what="send")
        if self.closed or self.shut:
            raise OSError(errno.EPIPE, "broken pipe")
        while not self.broken and self.flight_size + self.peer.inbox_size > WINDOW_BYTES:
            self._wait()
        if self.broken:
            raise ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
        if data:
            self._carry(item=data)
        return len(data)

    def sendall(self, data: Any) -> None:
        view = bytes(data)
        for place in range(0, len(view), 65536):
            self.send(view[place : place + 65536])

    def _carry(self, *, item: bytes | None) -> None:
        self.flight.append(item)
        self.flight_size += len(item or b"")
        if not self.carrying:
            self.carrying = True
            self._next_hop()

    def _next_hop(self) -> None:
        seconds = self.world.latency(source=self.address[0], target=self.peer_address[0])
        self.world.hub.schedule_in(place=None, seconds=seconds, call=self._hop)

    def _hop(self) -> None:
        """What is in flight arrives, unless the way is cut: then it is tried again for a while."""
        if self.world.blocked(source=self.address[0], target=self.peer_address[0]):
            self.tries += 1
            if self.tries == 1:
                self.held_since = self.world.hub.moment
            held = self.world.hub.moment - self.held_since
            dropped = self.user_timeout is not None and held >= self.user_timeout.total_seconds()
            if dropped or self.tries > RETRANSMIT_MOST:
                self.flight.clear()
                self.flight_size = 0
                self._break()
                self.carrying = False
                return
            self.world.hub.schedule_in(place=None, seconds=RETRANSMIT_SECONDS, call=self._hop)
            return
        self.tries = 0
        items, self.flight = self.flight, deque()
        self.flight_size = 0
        self.carrying = False
        for item in items:
            self.peer._arrived(item=item)
        self._wake()

    def _arrived(self, *, item: bytes | None) -> None:
        if item is None:
            self.ended = True
        elif self.closed and self._io_refs == 0:
            self.peer._break()
            return
        else:
            self.inbox.append(item)
            self.inbox_size += len(item)
        self._wake()

    def _break(self) -> None:
        self.broken = True
        self._wake()

    # Receiving.

    def readable(self) -> bool:
        return bool(self.inbox) or self.ended or self.broken

    def recv(self, size: int) -> bytes:
        while not self.inbox:
            if self.broken:
                raise ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
            if self.ended:
                return b""
            if self.closed and self._io_refs == 0:
                raise OSError(errno.EBADF, "bad file descriptor")
            self._wait()
        first = self.inbox.popleft()
        if len(first) > size:
            self.inbox.appendleft(first[size:])
            first = first[:size]
        self.inbox_size -= len(first)
        self.peer._wake()
        return first

    def recv_into(self, buffer: Any) -> int:
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    # Ending.

    def shutdown(self, how: int) -> None:
        if how != 1:
            # A reader on this side finds the end, too.
            self.ended = True
            self._wake()
        if not self.shut:
            self.shut = True
            if not self.broken:
                self._carry(item=None)

    def close(self) -> None:
        self.closed = True
        if self._io_refs <= 0:
            self._really_close()

    def _really_close(self) -> None:
        if self.inbox and not self.broken and self.peer is not None:
            # Closing with unread data resets the stream.
            self.world.hub.schedule_in(place=None, seconds=0.0005, call=self.peer._break)
        self.shutdown(socket.SHUT_RDWR)
        self._wake()

    def reset(self) -> None:
        """The process has ended: its machine ends the stream."""
        if not self.closed:
            self.closed = True
            self._io_refs = 0
            self.shut = True
            self._carry(item=None)

    def __enter__(self) -> "SimStream":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    # What libraries ask of a socket.

    def makefile(self, mode: str = "rb", buffering: int | None = None) -> Any:
        raw = socket.SocketIO(self, mode.replace("b", ""))
        self._io_refs += 1
        size = io.DEFAULT_BUFFER_SIZE if buffering is None or buffering < 0 else buffering
        if size == 0:
            return raw
        return io.BufferedReader(raw, size) if "r" in mode else io.BufferedWriter(raw, size)

    def _decref_socketios(self) -> None:
        if self._io_refs > 0:
            self._io_refs -= 1
        if self.closed and self._io_refs == 0:
            self._really_close()

    def settimeout(self, seconds: float | None) -> None:
        self.timeout = seconds

    def gettimeout(self) -> float | None:
        return self.timeout

    def setsockopt(self, *_: object) -> None:
        return

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def getpeername(self) -> tuple[str, int]:
        return self.peer_address

    def fileno(self) -> int:
        return -1


class _Resume:
    """Wakes a task that waits on a stream, unless it has gone on meanwhile."""

    def __init__(self, *, stream: SimStream, task: Any) -> None:
        self.stream = stream
        self.task = task

    def __call__(self) -> None:
        if not self.task.dead and getattr(self.task, "stream_wait", None) is self.stream:
            self.task.switch()
