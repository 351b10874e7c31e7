"""The machine interface of a daemon: time, network, disk, randomness and logging, on the real operating system.

The simulator provides the same interface on a virtual machine, so daemons use nothing of the system directly.
"""

import contextlib
import os
import random
import select
import time
from collections.abc import Callable, Collection, Iterator
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import eventlet
from absl import logging
from eventlet import tpool
from eventlet.green import socket
from eventlet.greenio import GreenSocket
from urllib3.util.wait import wait_for_read

from dockmux.runtime.file_calls import FileCall, FileCalls
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.log_output import process_log_output
from dockmux.runtime.running_time import RunningTimeLimit, process_running_time

# Poll events that report a connection closed or reset by the peer, even while data is still unread.
POLL_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def split_address(*, address: str) -> tuple[str, int]:
    """Splits "IP:PORT" into the IP address and the port number."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def _is_at_end(*, sock: GreenSocket) -> bool:
    """Whether a readable connection has reached end of stream (or failed) with no data left to read."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


@contextlib.contextmanager
def time_limit(*, wait: timedelta) -> Iterator[None]:
    """Raises TimeoutError in the enclosed block once `wait` has passed, not counting time in which this process did not
    run."""
    with RunningTimeLimit(max(wait.total_seconds(), 0), TimeoutError("time is up")):
        yield


class DataFolder:
    """A daemon's data folder.

    A write has been synced to disk when its call returns. A failure raises OSError; a call that does not return in
    time raises DiskUnresponsive.
    """

    def __init__(self, *, path: str) -> None:
        self.path = Path(path)
        self.calls = FileCalls()

    def _call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        with self.calls.bounded() as call:
            return tpool.execute(self._run, call, function, arguments)

    @staticmethod
    def _run(call: FileCall, function: Callable[..., Any], arguments: tuple[Any, ...]) -> Any:
        try:
            return function(*arguments)
        finally:
            call.returned = True

    def resume(self) -> bool:
        """Allows calls again, with new threads. False while an earlier call may still reach the disk."""
        if not self.calls.resume():
            return False
        tpool.killall()
        return True

    def read(self, *, name: str) -> bytes | None:
        """The content of a file; None if there is no such file."""
        return self._call(self._read, name)

    def append(self, *, name: str, data: bytes, offset: int) -> None:
        """Writes data at `offset` (in bytes), the end of the valid content; anything beyond it is truncated first."""
        self._call(self._append, name, data, offset)

    def truncate(self, *, name: str, offset: int) -> None:
        """Truncates the file at `offset` (in bytes)."""
        self._call(self._append, name, b"", offset)

    def make_durable(self, *, name: str, size: int) -> None:
        """Truncates the file at `size` bytes and syncs the file and its directory entry: an earlier process may have
        ended before syncing them."""
        self._call(self._make_durable, name, size)

    def replace(self, *, name: str, data: bytes) -> None:
        """Replaces the whole file atomically, through a temporary file with the suffix `.new`."""
        self._call(self._replace, name, data)

    def _read(self, name: str) -> bytes | None:
        try:
            return (self.path / name).read_bytes()
        except FileNotFoundError:
            return None

    def _append(self, name: str, data: bytes, offset: int) -> None:
        with open(self.path / name, "r+b") as file:
            file.truncate(offset)
            file.seek(offset)
            file.write(data)
            file.flush()
            os.fsync(file.fileno())

    def _replace(self, name: str, data: bytes) -> None:
        self.path.mkdir(parents=True, exist_ok=True)
        temporary = self.path / (name + ".new")
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, self.path / name)
        self._sync_directory()

    def _make_durable(self, name: str, size: int) -> None:
        self._append(name, b"", size)
        self._sync_directory()

    def _sync_directory(self) -> None:
        descriptor = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class Host:
    """The real machine a daemon runs on. Invariant: `elapsed` never goes backwards."""

    def __init__(self, *, name: str, folder: str = "", seed: int | None = None) -> None:
        self.name = name
        self.random = random.Random(seed)
        self.folder = DataFolder(path=folder) if folder else None

    @property
    def disk_unresponsive(self) -> bool:
        """Whether a file call of this process has timed out; the daemon must then stop until it has returned."""
        return self.folder is not None and self.folder.calls.timed_out

    def resume_disk(self) -> bool:
        """Allows file calls again, for a daemon that starts anew. False while one may still reach the disk."""
        return self.folder is None or self.folder.resume()

    def note_running(self, *, interval: timedelta) -> None:
        """Notes that this process runs now; to be called about once in each `interval`."""
        process_running_time.observe(interval=interval)

    def running_elapsed(self) -> timedelta:
        """Monotonic time without the pauses of this process: for judging how long another one has been silent."""
        return self.elapsed() - timedelta(seconds=process_running_time.paused_until_now())

    def elapsed(self) -> timedelta:
        """Monotonic time since an arbitrary start."""
        return timedelta(microseconds=time.monotonic_ns() // 1000)

    def monotonic_seconds(self) -> float:
        """Monotonic time in seconds, for measuring how long a task has been running."""
        return time.monotonic()

    def wall(self) -> datetime:
        """The operating system's clock, which may be wrong or be set back."""
        return datetime.now(UTC)

    def sleep(self, *, wait: timedelta) -> None:
        """Suspends the current task; other tasks run meanwhile, also for a wait of 0."""
        eventlet.sleep(max(wait.total_seconds(), 0))

    def spawn(self, *, task: Callable[..., Any], **keywords: Any) -> Any:
        """Starts `task` in a green thread, which is returned."""
        return eventlet.spawn(task, **keywords)

    def connect(self, *, address: str, wait: timedelta, user_timeout: timedelta | None = None) -> Any:
        """Opens a TCP connection. With `user_timeout` the kernel drops the connection, with any unsent data, once sent
        data has gone unacknowledged for that long (TCP_USER_TIMEOUT)."""
        sock = socket.create_connection(split_address(address=address), timeout=wait.total_seconds())
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if user_timeout is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout // timedelta(milliseconds=1))
        return sock

    def readable(self, *, sock: Any) -> bool:
        """Whether a read would return at once, with data or at end of stream."""
        return wait_for_read(sock, timeout=0)

    def closed_by_peer(self, *, socks: Collection[GreenSocket]) -> set[GreenSocket]:
        """The connections that the peer has closed or reset. Does not block and consumes no data."""
        by_descriptor = {sock.fileno(): sock for sock in socks}
        poll = select.poll()
        for descriptor in by_descriptor:
            if descriptor >= 0:
                poll.register(descriptor, select.POLLIN | POLL_CLOSED)
        return {
            by_descriptor[descriptor]
            for descriptor, events in poll.poll(0)
            if events & POLL_CLOSED or _is_at_end(sock=by_descriptor[descriptor])
        }

    def listen(self, *, address: str) -> Any:
        """A listening TCP socket."""
        return eventlet.listen(split_address(address=address), backlog=512, reuse_port=False)

    def open_datagram_socket(self, *, address: str) -> "DatagramSocket":
        """A UDP socket bound to `address`."""
        return DatagramSocket(address=address)

    def log(self, log_event: LogEvent, **fields: Any) -> None:
        """Logs an event as "[number] NAME: text", unless too many of its kind came just before. Neither blocks nor
        raises."""
        if not process_log_output.admits(number=log_event.number):
            return
        with process_log_output.counting_failures():
            logging.log(LEVELS[log_event.level], "[%d] %s: %s", log_event.number, self.name, log_event.text(**fields))


class DatagramSocket:
    """A bound UDP socket."""

    def __init__(self, *, address: str) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(split_address(address=address))

    def __enter__(self) -> "DatagramSocket":
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()

    def send(self, *, address: str, data: bytes) -> None:
        try:
            self.sock.sendto(data, split_address(address=address))
        except OSError:
            pass  # Datagrams may be lost anyway; an unreachable peer is detected by its silence.

    def receive(self) -> tuple[bytes, str]:
        """Waits for a datagram; returns its data and the sender's "IP:PORT"."""
        while True:
            try:
                data, (ip, port) = self.sock.recvfrom(65536)
            except ConnectionRefusedError:
                continue  # An earlier datagram was sent to a closed port (ICMP port unreachable).
            return data, f"{ip}:{port}"
