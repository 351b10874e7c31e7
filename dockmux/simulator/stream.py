"""Simulated TCP: in-order byte streams with bounded buffers, retransmission across network cuts, FIN and reset.

A stream has the part of the socket interface that http.client, urllib3, eventlet's WSGI server and dockmux use."""

import errno
import io
import socket
from collections import deque
from datetime import timedelta
from typing import Any

import eventlet
from eventlet import hubs

WINDOW_BYTES = 262_144
RETRANSMIT_INTERVAL_S = 0.2
MAX_RETRANSMITS = 75  # 15 s at RETRANSMIT_INTERVAL_S, then the stream fails


class SimListener:
    """A listening socket. Invariant: `backlog` holds the streams not yet accepted; to the connecting side they are
    established."""

    family = socket.AF_INET

    def __init__(self, *, host: Any, address: tuple[str, int]) -> None:
        if address in host.world.listeners:
            raise OSError(errno.EADDRINUSE, "address already in use")
        self.host = host
        self.address = address
        self.backlog: deque[SimStream] = deque()
        self.acceptor: Any = None
        host.world.listeners[address] = self
        host.bound_sockets.append(self)

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
        while not self.backlog:
            self.acceptor = eventlet.getcurrent()
            hubs.get_hub().switch()
        stream = self.backlog.popleft()
        return stream, stream.peer_address

    def enqueue(self, *, stream: "SimStream") -> None:
        """Adds a stream that a client has connected, and wakes a waiting `accept`."""
        self.backlog.append(stream)
        acceptor, self.acceptor = self.acceptor, None
        if acceptor is not None:
            self.host.world.hub.schedule_in(owner=self.host, seconds=0, call=acceptor.switch)


class SimStream:
    """One end of a stream.

    Invariants: `inbox` holds the data received and not read, in order; `in_flight` the data sent and not delivered, in
    order, with None for the FIN; after `ended` (FIN received or reading shut down) nothing more arrives; after `broken`
    (reset or timed out) every use fails; `write_shut` is set once this end has sent its FIN. `user_timeout`, if set,
    is the longest time that undelivered data is retransmitted (TCP_USER_TIMEOUT)."""

    family = socket.AF_INET

    def __init__(self, *, host: Any, address: tuple[str, int], peer_address: tuple[str, int]) -> None:
        self.host = host
        self.world = host.world
        self.address = address
        self.peer_address = peer_address
        self.peer: SimStream | None = None
        self.inbox: deque[bytes] = deque()
        self.inbox_bytes = 0
        self.in_flight: deque[bytes | None] = deque()
        self.in_flight_bytes = 0
        self.delivery_scheduled = False
        self.retransmits = 0
        self.ended = False
        self.broken = False
        self.closed = False
        self.write_shut = False
        self.waiters: list[Any] = []
        self.timeout: float | None = None
        self.user_timeout: timedelta | None = None
        self.blocked_since_s = 0.0
        self._io_refs = 0
        host.streams.append(self)
        if len(host.streams) > 2000:
            host.streams[:] = [stream for stream in host.streams if not stream.closed]

    # Connecting.

    @classmethod
    def connect(cls, *, host: Any, address: tuple[str, int], wait: timedelta) -> "SimStream":
        """Opens a stream to `address`; TimeoutError when the machine is unreachable for `wait`,
        ConnectionRefusedError when nothing listens there."""
        world = host.world
        source, target = host.machine.ip, address[0]
        deadline_s = world.hub.now_s + wait.total_seconds()
        while (
            target not in world.machines
            or world.blocked(source=source, target=target)
            or world.blocked(source=target, target=source)
        ):
            if world.hub.now_s >= deadline_s:
                raise TimeoutError(errno.ETIMEDOUT, "timed out")
            eventlet.sleep(min(RETRANSMIT_INTERVAL_S, max(deadline_s - world.hub.now_s, 0.001)))
        eventlet.sleep(world.latency(source=source, target=target) + world.latency(source=target, target=source))
        listener = world.listeners.get(address)
        if listener is None or not listener.host.alive:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "connection refused")
        world.next_port += 1
        client_address = (source, world.next_port)
        client_end = cls(host=host, address=client_address, peer_address=address)
        server_end = cls(host=listener.host, address=address, peer_address=client_address)
        client_end.peer, server_end.peer = server_end, client_end
        listener.enqueue(stream=server_end)
        return client_end

    # Waiting.

    def _wait(self) -> None:
        """Blocks until the state of the stream changes; TimeoutError after the timeout of the stream."""
        task = eventlet.getcurrent()
        self.waiters.append(task)
        task.waiting_on_stream = self
        try:
            if self.timeout is None:
                hubs.get_hub().switch()
            else:
                with eventlet.Timeout(self.timeout, TimeoutError("timed out")):
                    hubs.get_hub().switch()
        finally:
            task.waiting_on_stream = None
            if task in self.waiters:
                self.waiters.remove(task)

    def _wake(self) -> None:
        waiters, self.waiters = self.waiters, []
        for task in waiters:
            self.world.hub.schedule_in(owner=self.host, seconds=0, call=_WakeUp(stream=self, task=task))

    # Sending.

    def send(self, data: Any) -> int:
        data = bytes(data)
        self.host.count_step(what="send")
        if self.closed or self.write_shut:
            raise OSError(errno.EPIPE, "broken pipe")
        while not self.broken and self.in_flight_bytes + self.peer.inbox_bytes > WINDOW_BYTES:
            self._wait()
        if self.broken:
            raise ConnectionResetError(errno.ECONNRESET, "connection reset by peer")
        if data:
            self._transmit(item=data)
        return len(data)

    def sendall(self, data: Any) -> None:
        payload = bytes(data)
        for start in range(0, len(payload), 65536):
            self.send(payload[start : start + 65536])

    def _transmit(self, *, item: bytes | None) -> None:
        self.in_flight.append(item)
        self.in_flight_bytes += len(item or b"")
        if not self.delivery_scheduled:
            self.delivery_scheduled = True
            self._schedule_delivery()

    def _schedule_delivery(self) -> None:
        seconds = self.world.latency(source=self.address[0], target=self.peer_address[0])
        self.world.hub.schedule_in(owner=None, seconds=seconds, call=self._deliver)

    def _deliver(self) -> None:
        """Delivers all data in flight; while the path is blocked, retries up to `user_timeout` or MAX_RETRANSMITS."""
        if self.world.blocked(source=self.address[0], target=self.peer_address[0]):
            self.retransmits += 1
            if self.retransmits == 1:
                self.blocked_since_s = self.world.hub.now_s
            blocked_s = self.world.hub.now_s - self.blocked_since_s
            dropped = self.user_timeout is not None and blocked_s >= self.user_timeout.total_seconds()
            if dropped or self.retransmits > MAX_RETRANSMITS:
                self.in_flight.clear()
                self.in_flight_bytes = 0
                self._fail()
                self.delivery_scheduled = False
                return
            self.world.hub.schedule_in(owner=None, seconds=RETRANSMIT_INTERVAL_S, call=self._deliver)
            return
        self.retransmits = 0
        items, self.in_flight = self.in_flight, deque()
        self.in_flight_bytes = 0
        self.delivery_scheduled = False
        for item in items:
            self.peer._receive(item=item)
        self._wake()

    def _receive(self, *, item: bytes | None) -> None:
        if item is None:
            self.ended = True
        elif self.closed and self._io_refs == 0:
            self.peer._fail()
            return
        else:
            self.inbox.append(item)
            self.inbox_bytes += len(item)
        self._wake()

    def _fail(self) -> None:
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
        self.inbox_bytes -= len(first)
        self.peer._wake()
        return first

    def recv_into(self, buffer: Any) -> int:
        data = self.recv(len(buffer))
        buffer[: len(data)] = data
        return len(data)

    # Closing.

    def shutdown(self, how: int) -> None:
        if how != 1:
            # Also ends reads on this side.
            self.ended = True
            self._wake()
        if not self.write_shut:
            self.write_shut = True
            if not self.broken:
                self._transmit(item=None)

    def close(self) -> None:
        self.closed = True
        if self._io_refs <= 0:
            self._close_now()

    def _close_now(self) -> None:
        if self.inbox and not self.broken and self.peer is not None:
            # As in TCP, closing with unread data resets the peer.
            self.world.hub.schedule_in(owner=None, seconds=0.0005, call=self.peer._fail)
        self.shutdown(socket.SHUT_RDWR)
        self._wake()

    def reset(self) -> None:
        """Ends the stream on behalf of a process that has ended: the machine sends a FIN."""
        if not self.closed:
            self.closed = True
            self._io_refs = 0
            self.write_shut = True
            self._transmit(item=None)

    def __enter__(self) -> "SimStream":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    # Socket interface used by libraries.

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
            self._close_now()

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


class _WakeUp:
    """Resumes a task that waits on a stream, unless the task has ended or no longer waits on it."""

    def __init__(self, *, stream: SimStream, task: Any) -> None:
        self.stream = stream
        self.task = task

    def __call__(self) -> None:
        if not self.task.dead and getattr(self.task, "waiting_on_stream", None) is self.stream:
            self.task.switch()
