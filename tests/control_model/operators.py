"""Operators, who put and read configurations, several at once, and write down what they saw."""

import functools
import json

import eventlet

from dockmux.runtime.time_units import ms
from tests.control_model.history import Change, History, Put, Read
from tests.control_model.machines import Machines
from tests.control_model.steps import Base, PutStep, ReadStep, ResendStep, TrafficStep
from tests.standins.operator import Operator

UNDER_WAY_MOST = 8
TRIES = 3
AGAIN_WAIT = ms(150)
# Of steady calls one in so many is a put.
PUT_EVERY = 4


def packed(*, change: Change) -> bytes:
    """The smallest configuration that the product takes, told apart by its text."""
    fields = {"gen": change.version, "base": change.base, "tag": change.text, "rtab": [], "svcs": []}
    return json.dumps(fields).encode()


@functools.lru_cache(maxsize=4096)
def unpacked(text: str) -> Change:
    fields = json.loads(text)
    return Change(version=fields["gen"], base=fields["base"], text=fields["tag"])


class Operators:
    """Invariants: every try is in `history` from the moment when it is sent; at most so many are under way."""

    def __init__(self, *, machines: Machines, history: History) -> None:
        self.machines = machines
        self.history = history
        self.under_way = 0
        self.tagged = 0
        self.sent: list[Change] = []

    # What they know.

    def newest_acknowledged(self) -> int:
        puts = [put.change.version for put in self.history.acknowledged()]
        reads = [read.change.version for read in self.history.shown()]
        return max(puts + reads, default=0)

    def _base(self, *, base: Base) -> int:
        newest = self.newest_acknowledged()
        if base is Base.NEWEST_SENT:
            return max((change.version for change in self.sent), default=newest)
        if base is Base.ONE_BEFORE:
            return max(newest - 1, 0)
        return newest

    # Steps.

    def put(self, *, step: PutStep) -> None:
        base = self._base(base=step.base)
        for place in range(step.racing):
            change = self.change(base=base)
            self._start(change=change, control=step.control + place, tries=TRIES if step.resend else 1)

    def resend(self, *, step: ResendStep) -> None:
        if step.back < len(self.sent):
            self._start(change=self.sent[-1 - step.back], control=step.control, tries=1)

    def read(self, *, step: ReadStep) -> None:
        eventlet.spawn(self._read_each, control=step.control, times=step.times)

    def _read_each(self, *, control: int, times: int) -> None:
        for place in range(times):
            self.read_once(control=control + place)

    def traffic(self, *, step: TrafficStep) -> None:
        eventlet.spawn(self._traffic, step=step)

    def _traffic(self, *, step: TrafficStep) -> None:
        world = self.machines.world
        end, call = world.now() + step.lasts, 0
        while world.now() < end:
            if call % PUT_EVERY == 0:
                self._start(change=self.change(base=self.newest_acknowledged()), control=call // PUT_EVERY, tries=1)
            else:
                eventlet.spawn(self.read_once, control=call)
            call += 1
            self.machines.outside.sleep(wait=step.every)

    def change(self, *, base: int) -> Change:
        self.tagged += 1
        return Change(version=base + 1, base=base, text=f"t{self.tagged}")

    def _start(self, *, change: Change, control: int, tries: int) -> None:
        if self.under_way < UNDER_WAY_MOST:
            self.under_way += 1
            self.sent.append(change)
            eventlet.spawn(self._put_until_clear, change=change, control=control, tries=tries)

    def _put_until_clear(self, *, change: Change, control: int, tries: int) -> None:
        for place in range(tries):
            status = self.put_once(change=change, control=control + place)
            if 200 <= status < 500:
                break
            self.machines.outside.sleep(wait=AGAIN_WAIT)
        self.under_way -= 1

    # Calls.

    def _operator(self, *, control: int) -> Operator:
        place = control % len(self.machines.names)
        return Operator(host=self.machines.outside, addresses=[self.machines.address(place=place)])

    def put_once(self, *, change: Change, control: int) -> int:
        world = self.machines.world
        put = Put(change=change, control=control % len(self.machines.names), sent_at=world.now())
        self.history.puts.append(put)
        headers = {"Content-Type": "application/json", "X-Base-Version": str(change.base)}
        status, _ = self._operator(control=control).call(
            method="POST", path="/dockmux/config/put", body=packed(change=change), headers=headers, control=0
        )
        put.ended_at, put.status = world.now(), status
        return status

    def read_once(self, *, control: int) -> Read:
        world = self.machines.world
        read = Read(control=control % len(self.machines.names), sent_at=world.now())
        self.history.reads.append(read)
        status, text = self._operator(control=control).call(
            method="GET", path="/dockmux/config/get", body=None, headers={}, control=0
        )
        read.ended_at, read.status = world.now(), status
        if status == 200:
            read.change = unpacked(text.decode())
        return read
