"""Counts what each simulated process sends, receives and computes."""

import dataclasses
import heapq
import re
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import eventlet
from eventlet import hubs

from dockmux.runtime.host import split_address
from dockmux.simulator.stream import SimListener, SimStream
from dockmux.simulator.virtual_hub import VirtualHub
from dockmux.simulator.world import RETAINED_OBJECTS, SimDatagrams, SimHost, World

MESSAGE = re.compile(rb'\d+:\{"type":"(\w+)"')
HTTP = "HTTP"


def message_type(*, data: bytes) -> str | None:
    """The type of the message that begins here; None within one."""
    found = MESSAGE.match(data)
    return found[1].decode() if found else None


@dataclasses.dataclass(kw_only=True)
class Meter:
    """One process's counts since they were last reset. Invariants: bytes are what daemons hand to their sockets and
    take from them, netstrings and HTTP heads included, what lies below (IP, UDP, TCP) not; `busy_s` is processor time
    of the tasks of this process, with the simulator's part of each send and receive."""

    sent: Counter[str] = dataclasses.field(default_factory=Counter)
    sent_bytes: Counter[str] = dataclasses.field(default_factory=Counter)
    received: Counter[str] = dataclasses.field(default_factory=Counter)
    received_bytes: Counter[str] = dataclasses.field(default_factory=Counter)
    busy_s: float = 0.0

    def reset(self) -> None:
        for counted in (self.sent, self.sent_bytes, self.received, self.received_bytes):
            counted.clear()
        self.busy_s = 0.0


class MeteredHub(VirtualHub):
    """Every task is resumed from here and comes back here, so the processor time between is its process's own."""

    def fire_timers(self, when: float) -> None:
        clock = time.process_time
        # As the hub below does it, with the two readings around each call.
        while self.timers and self.timers[0][0] <= when:
            _, _, timer = heapq.heappop(self.timers)
            if timer.called:
                self.canceled -= 1
                continue
            owner = timer.owner
            if owner is None:
                timer()
                continue
            if not owner.alive:
                continue
            if owner.frozen:
                owner.deferred_timers.append(timer)
                continue
            began_s = clock()
            timer()
            owner.meter.busy_s += clock() - began_s


class MeteredStream(SimStream):
    """Invariant: `kind` is the type of the message whose bytes were last sent here, `kind_in` of the last received."""

    def __init__(self, **keywords: Any) -> None:
        super().__init__(**keywords)
        self.kind = self.kind_in = HTTP

    def send(self, data: Any) -> int:
        count = super().send(data)
        meter = self.host.meter
        begun = message_type(data=bytes(data[:60]))
        self.kind = begun or self.kind
        if begun or self.kind == HTTP:
            meter.sent[self.kind] += 1
        meter.sent_bytes[self.kind] += count
        return count

    def recv(self, size: int) -> bytes:
        data = super().recv(size)
        meter = self.host.meter
        begun = message_type(data=data[:60])
        self.kind_in = begun or self.kind_in
        if begun or self.kind_in == HTTP:
            meter.received[self.kind_in] += 1
        meter.received_bytes[self.kind_in] += len(data)
        return data


class MeteredDatagrams(SimDatagrams):
    def send(self, *, address: str, data: bytes) -> None:
        kind = message_type(data=data[:60])
        self.host.meter.sent[kind] += 1
        self.host.meter.sent_bytes[kind] += len(data)
        super().send(address=address, data=data)

    def receive(self) -> tuple[bytes, str]:
        data, label = super().receive()
        kind = message_type(data=data[:60])
        self.host.meter.received[kind] += 1
        self.host.meter.received_bytes[kind] += len(data)
        return data, label


class MeteredHost(SimHost):
    def __init__(self, **keywords: Any) -> None:
        super().__init__(**keywords)
        self.meter = Meter()

    def connect(self, *, address: str, wait: timedelta, user_timeout: timedelta | None = None) -> MeteredStream:
        stream = MeteredStream.connect(host=self, address=split_address(address=address), wait=wait)
        stream.user_timeout = user_timeout
        return stream

    def listen(self, *, address: str) -> SimListener:
        return SimListener(host=self, address=split_address(address=address))

    def open_datagram_socket(self, *, address: str) -> MeteredDatagrams:
        return MeteredDatagrams(host=self, address=split_address(address=address))


class MeteredWorld(World):
    """Invariant: every process in it has a meter."""

    @contextmanager
    def open(self) -> Iterator["MeteredWorld"]:
        hubs.use_hub(MeteredHub)
        self.hub = hubs.get_hub()
        try:
            yield self
        finally:
            for host in self.hosts:
                host.alive = False
            RETAINED_OBJECTS.append(self)
            hubs.use_hub(None)

    def start(self, *, name: str, ip: str, site: str, run: Callable[[SimHost], None]) -> MeteredHost:
        host = MeteredHost(world=self, name=name, machine=self.machine(ip=ip, site=site))
        self.hosts.append(host)
        task = eventlet.spawn(self._run, host=host, run=run)
        task.owner = host
        host.track_task(task)
        return host


def deep_size(*, roots: list[Any]) -> int:
    """Bytes of the objects that can be reached from these through containers and plain attributes; each once."""
    seen: set[int] = set()
    left = list(roots)
    total = 0
    while left:
        item = left.pop()
        if id(item) in seen or isinstance(item, (type, SimHost)) or callable(item):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        if isinstance(item, dict):
            left.extend(item.keys())
            left.extend(item.values())
        elif isinstance(item, (list, tuple, set, frozenset)):
            left.extend(item)
        elif not isinstance(item, (str, bytes, int, float)):
            left.extend(getattr(item, "__dict__", {}).values())
            if hasattr(item, "tolist"):
                left.extend(item.tolist())
    return total
