"""Ports that a daemon serves on: bound as soon as they are free, and accepting connections as long as it runs."""

import contextlib
import errno
from datetime import timedelta
from typing import Any

from greenlet import GreenletExit

from dockmux.runtime.fair_reader import ReadTurn
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.memory_reserve import process_memory_reserve
from dockmux.runtime.time_units import ms

# Delay before the next accept after a failed one, as when the process is out of descriptors or memory.
ACCEPT_PAUSE = timedelta(milliseconds=100)
# Delay before the next attempt to bind a port.
BIND_PAUSE = ms(200)
# Failures to bind are logged at the first attempt and then once in so many.
BIND_ATTEMPTS_PER_LOG = 25
# The listening socket itself is unusable and must be bound anew.
SOCKET_UNUSABLE_ERRNOS = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})


class _Port:
    """A port of this daemon. Invariant: `sock` is the bound socket, None while the port is taken by another."""

    def __init__(self, *, host: Host, address: str) -> None:
        self.host = host
        self.address = address
        self.sock: Any = None
        self.attempts = 0

    def _open(self) -> Any:
        raise NotImplementedError

    def __enter__(self) -> Any:
        self._try_to_bind()
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def is_bound(self) -> bool:
        return self.sock is not None

    def close(self) -> None:
        """Frees the port; the next use binds it again."""
        sock, self.sock = self.sock, None
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.close()

    def _try_to_bind(self) -> None:
        try:
            self.sock = self._open()
            self.attempts = 0
        except OSError as error:
            if self.attempts % BIND_ATTEMPTS_PER_LOG == 0:
                self.host.log(LogEvent.PORT_UNAVAILABLE, address=self.address, error=error)
            self.attempts += 1

    def _close_if_unusable(self, *, sock: Any, error: OSError) -> None:
        if error.errno in SOCKET_UNUSABLE_ERRNOS and self.sock is sock:
            self.close()

    def _wait_until_bound(self) -> Any:
        while self.sock is None:
            self._try_to_bind()
            if self.sock is None:
                self.host.sleep(wait=BIND_PAUSE)
        return self.sock


class ListeningPort(_Port):
    """A TCP port. Its operations wait until it is bound."""

    def _open(self) -> Any:
        return self.host.listen(address=self.address)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._wait_until_bound(), name)

    def accept(self) -> Any:
        sock = self._wait_until_bound()
        try:
            return sock.accept()
        except OSError as error:
            self._close_if_unusable(sock=sock, error=error)
            raise


class DatagramPort(_Port):
    """A UDP port. While it is not bound nothing is received, and what is sent is lost as any datagram may be."""

    def _open(self) -> Any:
        return self.host.open_datagram_socket(address=self.address)

    def close(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            sock.__exit__(None, None, None)

    def send(self, *, address: str, data: bytes) -> None:
        if self.sock is not None:
            self.sock.send(address=address, data=data)

    def receive(self) -> tuple[bytes, str]:
        sock = self._wait_until_bound()
        try:
            return sock.receive()
        except OSError as error:
            self._close_if_unusable(sock=sock, error=error)
            raise


class RetryingListener:
    """A listener that keeps accepting when accepting fails, where the server library would close it, and that gives
    way to other tasks while connections arrive without end. Invariant: `is_ending` says that the accepting task is
    being ended."""

    def __init__(self, *, host: Host, listener: Any) -> None:
        self.host = host
        self.listener = listener
        self.is_ending = False
        self.turn = ReadTurn(host=host)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listener, name)

    def accept(self) -> Any:
        while True:
            began_at = self.turn.give_way()
            try:
                accepted = self.listener.accept()
                self.turn.note_read(began_at=began_at)
                return accepted
            except GreenletExit:
                self.is_ending = True
                raise
            except (OSError, MemoryError) as error:
                if isinstance(error, MemoryError):
                    process_memory_reserve.release()
                self.host.log(LogEvent.ACCEPT_FAILED, error=error)
                self.host.sleep(wait=ACCEPT_PAUSE)
