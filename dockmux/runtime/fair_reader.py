"""Reading from a connection that may always have bytes ready: other tasks get their turn, and slowness is noticed."""

import io
from datetime import timedelta
from typing import Any

from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.receive_limits import unit_time_limit
from dockmux.runtime.running_time import process_running_time
from dockmux.runtime.time_units import ZERO

# How long a task may run while it finds data to read, before others get their turn.
TURN_SECONDS = 0.002
# A read that takes longer than this has waited, so that other tasks ran meanwhile.
WAIT_SECONDS = 0.0005


class ReadTurn:
    """Limits how long a task runs without giving way. A read returns at once while data is ready, so a task that reads
    from a fast peer would otherwise keep the processor. Invariant: `started_at` is when the task's turn began."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.started_at = host.monotonic_seconds()

    def give_way(self) -> float:
        """Lets other tasks run if the turn is over; returns the time."""
        now = self.host.monotonic_seconds()
        if now - self.started_at < TURN_SECONDS:
            return now
        self.host.sleep(wait=ZERO)
        self.started_at = self.host.monotonic_seconds()
        return self.started_at

    def note_read(self, *, began_at: float) -> float:
        """Notes that a read is over, and returns the time; a read that had to wait begins a new turn."""
        now = self.host.monotonic_seconds()
        if now - began_at > WAIT_SECONDS:
            self.started_at = now
        return now


class FairReader(io.RawIOBase):
    """The raw reading side of a connection.

    Invariants: a read gives way to other tasks when the turn is over; `unit_began_at` is when the first byte came of a
    unit that is not yet complete, None before it, and `unit_bytes` what has come of it; with `time_limited`, a
    unit that arrives too slowly raises TimeoutError.
    """

    def __init__(self, *, raw: Any, host: Host) -> None:
        super().__init__()
        self.raw = raw
        self.host = host
        self.turn = ReadTurn(host=host)
        self.unit_began_at: float | None = None
        self.unit_bytes = 0
        self.paused_before_s = 0.0
        self.time_limited = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int:
        began_at = self.turn.give_way()
        if self.time_limited and self.unit_began_at is not None:
            with time_limit(wait=self.unit_time_left()):
                count = self.raw.readinto(buffer)
        else:
            count = self.raw.readinto(buffer)
        now = self.turn.note_read(began_at=began_at)
        if count:
            if self.unit_began_at is None:
                self.unit_began_at, self.paused_before_s = now, process_running_time.paused_until_now()
            self.unit_bytes += count
        return count

    def unit_time_left(self) -> timedelta:
        """How much longer the unit that has begun may take, of the time in which this process runs."""
        paused_s = process_running_time.paused_until_now() - self.paused_before_s
        taken = timedelta(seconds=self.host.monotonic_seconds() - (self.unit_began_at or 0.0) - paused_s)
        return unit_time_limit(received_bytes=self.unit_bytes) - taken

    @property
    def unit_is_overdue(self) -> bool:
        """Whether a unit has begun and arrives too slowly."""
        return self.unit_began_at is not None and self.unit_time_left() < ZERO

    def end_unit(self) -> None:
        """The unit is complete; the next byte begins another."""
        self.unit_began_at = None
        self.unit_bytes = 0

    def close(self) -> None:
        if not self.closed:
            self.raw.close()
        super().close()
