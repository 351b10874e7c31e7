"""Simulated operators that put and read configurations concurrently and record every call in the history."""

import functools
import json

import eventlet

from dockmux.runtime.time_units import ms
from tests.control_model.history import Change, History, Put, Read
from tests.control_model.machines import Machines
from tests.control_model.steps import PutBase, PutStep, ReadStep, ResendStep, TrafficStep
from tests.standins.operator import Operator

MAX_IN_FLIGHT = 8
PUT_ATTEMPTS = 3
RETRY_DELAY = ms(150)
# In a traffic step, one call in this many is a put; the others are reads.
CALLS_PER_PUT = 4


def encode_change(*, change: Change) -> bytes:
    """A change as the smallest configuration document that the product accepts, with its text as a tag."""
    fields = {"gen": change.version, "base": change.base, "tag": change.text, "rtab": [], "svcs": []}
    return json.dumps(fields).encode()


@functools.lru_cache(maxsize=4096)
def decode_change(text: str) -> Change:
    """The change that `encode_change` wrote."""
    fields = json.loads(text)
    return Change(version=fields["gen"], base=fields["base"], text=fields["tag"])


class Operators:
    """Calls control daemons as operators do.

    Invariants: every call is in `history` from the moment it is sent; at most MAX_IN_FLIGHT background puts
    (`in_flight`) are running; `sent` holds their changes, oldest first.
    """

    def __init__(self, *, machines: Machines, history: History) -> None:
        self.machines = machines
        self.history = history
        self.in_flight = 0
        self.tags_used = 0
        self.sent: list[Change] = []

    # What operators know from responses.

    def newest_acknowledged(self) -> int:
        """The highest version that was acknowledged or read; 0 if none."""
        puts = [put.change.version for put in self.history.acknowledged_puts()]
        reads = [read.change.version for read in self.history.successful_reads()]
        return max(puts + reads, default=0)

    def _base_version(self, *, base: PutBase) -> int:
        newest = self.newest_acknowledged()
        if base is PutBase.NEWEST_SENT:
            return max((change.version for change in self.sent), default=newest)
        if base is PutBase.ONE_BEFORE:
            return max(newest - 1, 0)
        return newest

    # Steps.

    def put(self, *, step: PutStep) -> None:
        """Starts the concurrent puts of a step, each to another daemon."""
        base = self._base_version(base=step.base)
        for offset in range(step.concurrent):
            change = self.change(base=base)
            self._start_put(change=change, control=step.control + offset, attempts=PUT_ATTEMPTS if step.resend else 1)

    def resend(self, *, step: ResendStep) -> None:
        """Starts resending an earlier change, if there were that many."""
        if step.back < len(self.sent):
            self._start_put(change=self.sent[-1 - step.back], control=step.control, attempts=1)

    def read(self, *, step: ReadStep) -> None:
        """Starts reading from one daemon after another."""
        eventlet.spawn(self._read_successive, control=step.control, count=step.count)

    def _read_successive(self, *, control: int, count: int) -> None:
        for offset in range(count):
            self.read_once(control=control + offset)

    def traffic(self, *, step: TrafficStep) -> None:
        """Starts periodic reads and puts."""
        eventlet.spawn(self._traffic, step=step)

    def _traffic(self, *, step: TrafficStep) -> None:
        world = self.machines.world
        end, call = world.now() + step.duration, 0
        while world.now() < end:
            if call % CALLS_PER_PUT == 0:
                self._start_put(
                    change=self.change(base=self.newest_acknowledged()), control=call // CALLS_PER_PUT, attempts=1
                )
            else:
                eventlet.spawn(self.read_once, control=call)
            call += 1
            self.machines.client_host.sleep(wait=step.interval)

    def change(self, *, base: int) -> Change:
        """A new change on `base`, with a text that no other change has."""
        self.tags_used += 1
        return Change(version=base + 1, base=base, text=f"t{self.tags_used}")

    def _start_put(self, *, change: Change, control: int, attempts: int) -> None:
        if self.in_flight < MAX_IN_FLIGHT:
            self.in_flight += 1
            self.sent.append(change)
            eventlet.spawn(self._put_until_definite, change=change, control=control, attempts=attempts)

    def _put_until_definite(self, *, change: Change, control: int, attempts: int) -> None:
        for attempt in range(attempts):
            status = self.put_once(change=change, control=control + attempt)
            if 200 <= status < 500:
                break
            self.machines.client_host.sleep(wait=RETRY_DELAY)
        self.in_flight -= 1

    # Calls.

    def _operator(self, *, control: int) -> Operator:
        index = control % len(self.machines.names)
        return Operator(host=self.machines.client_host, addresses=[self.machines.address(index=index)])

    def put_once(self, *, change: Change, control: int) -> int:
        """Puts a change to one daemon and returns the HTTP status; `control` counts modulo the number of daemons."""
        world = self.machines.world
        put = Put(change=change, control=control % len(self.machines.names), sent_at=world.now())
        self.history.puts.append(put)
        headers = {"Content-Type": "application/json", "X-Base-Version": str(change.base)}
        status, _ = self._operator(control=control).call(
            method="POST", path="/dockmux/config/put", body=encode_change(change=change), headers=headers, control=0
        )
        put.ended_at, put.status = world.now(), status
        return status

    def read_once(self, *, control: int) -> Read:
        """Reads the configuration from one daemon; `control` counts modulo the number of daemons."""
        world = self.machines.world
        read = Read(control=control % len(self.machines.names), sent_at=world.now())
        self.history.reads.append(read)
        status, text = self._operator(control=control).call(
            method="GET", path="/dockmux/config/get", body=None, headers={}, control=0
        )
        read.ended_at, read.status = world.now(), status
        if status == 200:
            read.change = decode_change(text.decode())
        return read
