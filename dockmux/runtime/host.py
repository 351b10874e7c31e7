"""The seam between a daemon and its machine: time, net, disk, random, log. Here the real one."""

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

from dockmux.runtime.file_calls import FileCalls
from dockmux.runtime.log_events import LogEvent

# Of a connection whose other side has closed or reset it, whatever is still to be read.
POLL_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


def split_address(*, address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def _is_at_end(*, sock: GreenSocket) -> bool:
    """Of a connection that can be read: whether its end is all that is there."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True


@contextlib.contextmanager
def time_limit(*, wait: timedelta) -> Iterator[None]:
    """Bounds everything inside it; TimeoutError when the time is up."""
    with eventlet.Timeout(max(wait.total_seconds(), 0), TimeoutError("time is up")):
        yield


class DataFolder:
    """A daemon's data folder. What a call returned from is synced; a failure is an OSError, DiskSilent where a call
    does not return at all."""

    def __init__(self, *, path: str) -> None:
        self.path = Path(path)
        self.calls = FileCalls()

    def _call(self, work: Callable[..., Any], *arguments: Any) -> Any:
        with self.calls.bounded():
            return tpool.execute(work, *arguments)

    def read(self, *, name: str) -> bytes | None:
        return self._call(self._read, name)

    def append(self, *, name: str, data: bytes, offset: int) -> None:
        """Writes data at offset, which is the end of what counts, cutting off what lies beyond."""
        self._call(self._append, name, data, offset)

    def cut(self, *, name: str, offset: int) -> None:
        """Ends the file at offset."""
        self._call(self._append, name, b"", offset)

    def make_durable(self, *, name: str, size: int) -> None:
        """Ends the file at size, and syncs it and its name, which an earlier process may have left unsynced."""
        self._call(self._make_durable, name, size)

    def replace(self, *, name: str, data: bytes) -> None:
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
        fresh = self.path / (name + ".new")
        with open(fresh, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(fresh, self.path / name)
        self._sync_names()

    def _make_durable(self, name: str, size: int) -> None:
        self._append(name, b"", size)
        self._sync_names()

    def _sync_names(self) -> None:
        folder = os.open(self.path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class Host:
    """The real machine under one daemon. Invariant: `elapsed` never runs backwards."""

    def __init__(self, *, name: str, folder: str = "", seed: int | None = None) -> None:
        self.name = name
        self.random = random.Random(seed)
        self.folder = DataFolder(path=folder) if folder else None

    @property
    def disk_silent(self) -> bool:
        """Whether a file call of this process has not returned: the process is to end."""
        return self.folder is not None and self.folder.calls.lost

    def elapsed(self) -> timedelta:
        return timedelta(microseconds=time.monotonic_ns() // 1000)

    def wall(self) -> datetime:
        return datetime.now(UTC)

    def sleep(self, *, wait: timedelta) -> None:
        eventlet.sleep(max(wait.total_seconds(), 0))

    def spawn(self, *, task: Callable[..., Any], **keywords: Any) -> Any:
        return eventlet.spawn(task, **keywords)

    def connect(self, *, address: str, wait: timedelta, unacked: timedelta | None = None) -> Any:
        """A stream; with `unacked`, one whose machine drops it, and what it still holds, when something sent
        has not been received on the other side for so long."""
        sock = socket.create_connection(split_address(address=address), timeout=wait.total_seconds())
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if unacked is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacked // timedelta(milliseconds=1))
        return sock

    def readable(self, *, sock: Any) -> bool:
        """Whether a read would return at once: data, or the end."""
        return wait_for_read(sock, timeout=0)

    def closed(self, *, socks: Collection[GreenSocket]) -> set[GreenSocket]:
        """Those whose other side has closed or reset the connection; never waits and takes nothing off them."""
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
        return eventlet.listen(split_address(address=address), backlog=512, reuse_port=False)

    def datagrams(self, *, address: str) -> "Datagrams":
        return Datagrams(address=address)

    def log(self, log_event: LogEvent, **fields: Any) -> None:
        logging.log(LEVELS[log_event.level], "[%d] %s: %s", log_event.number, self.name, log_event.text(**fields))


class Datagrams:
    """A bound UDP socket."""

    def __init__(self, *, address: str) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(split_address(address=address))

    def __enter__(self) -> "Datagrams":
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()

    def send(self, *, address: str, data: bytes) -> None:
        try:
            self.sock.sendto(data, split_address(address=address))
        except OSError:
            pass  # A datagram may be lost anyway; the peer's silence tells.

    def receive(self) -> tuple[bytes, str]:
        while True:
            try:
                data, (ip, port) = self.sock.recvfrom(65536)
            except ConnectionRefusedError:
                continue  # An earlier datagram met a closed port.
            return data, f"{ip}:{port}"
