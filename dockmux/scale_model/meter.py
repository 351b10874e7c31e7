"""Measures the messages, bytes and processor time of each simulated process."""

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

MESSAGE_START = re.compile(rb'\d+:\{"type":"(\w+)"')
HTTP_KIND = "HTTP"


def message_type(*, data: bytes) -> str | None:
    """Returns the type of the message that begins at the start of `data`, or None inside a message."""
    found = MESSAGE_START.match(data)
    return found[1].decode() if found else None


@dataclasses.dataclass(kw_only=True)
class Meter:
    """The counts of one process since the last reset, by message type.

    Invariants: bytes are counted at the socket interface, including netstring framing and HTTP headers but not IP, UDP
    and TCP headers; `busy_s` is the processor time of this process's tasks, including the simulator's part of each send
    and receive.
    """

    sent: Counter[str] = dataclasses.field(default_factory=Counter)
    sent_bytes: Counter[str] = dataclasses.field(default_factory=Counter)
    received: Counter[str] = dataclasses.field(default_factory=Counter)
    received_bytes: Counter[str] = dataclasses.field(default_factory=Counter)
    busy_s: float = 0.0

    def reset(self) -> None:
        for counter in (self.sent, self.sent_bytes, self.received, self.received_bytes):
            counter.clear()
        self.busy_s = 0.0


class MeteredHub(VirtualHub):
    """A hub that measures processor time: it resumes every task and regains control when the task yields."""

    def fire_timers(self, when: float) -> None:
        clock = time.process_time
        # Same loop as in VirtualHub, with a processor time reading before and after each call.
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
    """A stream that counts messages and bytes by message type.

    Invariant: `sent_kind` is the type of the message whose bytes were last sent, `received_kind` of the last received.
    """

    def __init__(self, **keywords: Any) -> None:
        super().__init__(**keywords)
        self.sent_kind = self.received_kind = HTTP_KIND

    def send(self, data: Any) -> int:
        count = super().send(data)
        meter = self.host.meter
        new_kind = message_type(data=bytes(data[:60]))
        self.sent_kind = new_kind or self.sent_kind
        if new_kind or self.sent_kind == HTTP_KIND:
            meter.sent[self.sent_kind] += 1
        meter.sent_bytes[self.sent_kind] += count
        return count

    def recv(self, size: int) -> bytes:
        data = super().recv(size)
        meter = self.host.meter
        new_kind = message_type(data=data[:60])
        self.received_kind = new_kind or self.received_kind
        if new_kind or self.received_kind == HTTP_KIND:
            meter.received[self.received_kind] += 1
        meter.received_bytes[self.received_kind] += len(data)
        return data


class MeteredDatagrams(SimDatagrams):
    """A UDP socket that counts datagrams and bytes by message type."""

    def send(self, *, address: str, data: bytes) -> None:
        kind = message_type(data=data[:60])
        self.host.meter.sent[kind] += 1
        self.host.meter.sent_bytes[kind] += len(data)
        super().send(address=address, data=data)

    def receive(self) -> tuple[bytes, str]:
        data, sender = super().receive()
        kind = message_type(data=data[:60])
        self.host.meter.received[kind] += 1
        self.host.meter.received_bytes[kind] += len(data)
        return data, sender


class MeteredHost(SimHost):
    """A process whose sockets count in its meter."""

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
    """A world in which every process is a MeteredHost."""

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
    """Returns the size in bytes of all objects reachable from `roots` through containers and instance attributes.

    Each object counts once; classes, callables and hosts do not count.
    """
    seen: set[int] = set()
    pending = list(roots)
    total = 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, (type, SimHost)) or callable(item):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        if isinstance(item, dict):
            pending.extend(item.keys())
            pending.extend(item.values())
        elif isinstance(item, (list, tuple, set, frozenset)):
            pending.extend(item)
        elif not isinstance(item, (str, bytes, int, float)):
            pending.extend(getattr(item, "__dict__", {}).values())
            if hasattr(item, "tolist"):
                pending.extend(item.tolist())
    return total
