"""Machines, disks and a network in memory, under virtual time, all drawn from one seed."""

import dataclasses
import errno
import random
import sys
from collections.abc import Callable, Collection, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime, timedelta
from typing import Any

import eventlet
from eventlet import hubs

from dockmux.runtime.file_calls import FileCalls
from dockmux.runtime.host import Host, split_address
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms, us
from dockmux.simulator.stream import SimListener, SimStream
from dockmux.simulator.virtual_hub import VirtualHub

BEGIN = datetime(2026, 3, 1, 6, 0, tzinfo=UTC)
# Ended places' tasks are kept for good: collecting one would run its `finally` blocks in another run.
GRAVEYARD: list[Any] = []


@dataclasses.dataclass(kw_only=True)
class Disk:
    """A machine's disk. Invariant: `files` is what would be found after a power cut. While `syncs_fail`, some or all
    of what is written reaches it all the same, and the writer is told of a failure."""

    files: dict[str, bytes] = dataclasses.field(default_factory=dict)
    delay: timedelta = ms(2)
    limitBytes: int = 1 << 40
    stalled: bool = False
    syncs_fail: bool = False


@dataclasses.dataclass(kw_only=True)
class Machine:
    """A machine. Invariant: its monotonic time runs at 1 + driftPpm of true time and never jumps."""

    ip: str
    site: str
    driftPpm: float
    uptime: timedelta
    wall_offset: timedelta
    disk: Disk = dataclasses.field(default_factory=Disk)
    isolated: bool = False


class World:
    """Invariants: `machines` by IP; `listeners` and `ports` by (ip, port); `cuts` are the one-way pairs of IPs
    between which nothing passes; `slow` adds to a pair's latency; a datagram is lost, or comes twice, in so many of a
    hundred cases, and each comes up to `jitter` later, so that they overtake each other."""

    def __init__(self, *, seed: int, linkUs: int) -> None:
        self.random = random.Random(f"world-{seed}")
        self.seed = seed
        self.linkUs = linkUs
        self.machines: dict[str, Machine] = {}
        self.listeners: dict[tuple[str, int], SimListener] = {}
        self.ports: dict[tuple[str, int], Any] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.slow: dict[tuple[str, str], timedelta] = {}
        self.lossPercent = 0.0
        self.doubledPercent = 0.0
        self.jitter = timedelta()
        self.next_port = 20_000
        self.hosts: list[SimHost] = []
        self.logged: list[tuple[timedelta, str, LogEvent, str]] = []
        self.crashes: list[str] = []

    def now(self) -> timedelta:
        """True time since the run began."""
        return us(round(self.hub.moment * 1_000_000))

    @contextmanager
    def open(self) -> Iterator["World"]:
        """Virtual time holds inside."""
        hubs.use_hub(VirtualHub)
        self.hub: VirtualHub = hubs.get_hub()
        try:
            yield self
        finally:
            for host in self.hosts:
                host.alive = False
            GRAVEYARD.append(self)
            hubs.use_hub(None)

    def machine(self, *, ip: str, site: str, true_clock: bool = False) -> Machine:
        if ip not in self.machines:
            self.machines[ip] = Machine(
                ip=ip,
                site=site,
                driftPpm=0 if true_clock else self.random.uniform(-50, 50),
                uptime=timedelta() if true_clock else timedelta(seconds=self.random.uniform(100, 1_000_000)),
                wall_offset=ms(self.random.uniform(-40, 40)),
            )
        return self.machines[ip]

    def start(self, *, name: str, ip: str, site: str, run: Callable[["SimHost"], None]) -> "SimHost":
        """Starts a process on a machine."""
        host = SimHost(world=self, name=name, machine=self.machine(ip=ip, site=site))
        self.hosts.append(host)
        task = eventlet.spawn(self._run, host=host, run=run)
        task.place = host
        host.keep(task)
        return host

    def _run(self, *, host: "SimHost", run: Callable[["SimHost"], None]) -> None:
        try:
            run(host)
        except Exception as error:
            self.crashes.append(f"{host.name}: {type(error).__name__}: {error}")
            host.kill()

    def blocked(self, *, source: str, target: str) -> bool:
        if source == target:
            return False
        return (source, target) in self.cuts or self.machines[source].isolated or self.machines[target].isolated

    def latency(self, *, source: str, target: str) -> float:
        """Seconds from machine to machine, this time."""
        if source == target:
            base = 30
        elif self.machines[source].site == self.machines[target].site:
            base = 120
        else:
            base = self.linkUs
        extra = self.slow.get((source, target), timedelta()).total_seconds()
        return base * self.random.uniform(1.0, 1.3) / 1_000_000 + extra


class SimHost(Host):
    """One process and its machine. Invariants: once not alive nothing of it runs or is sent; while frozen
    its timers wait, but what others send to it is kept by its machine; `stopped` names where it was made to stop."""

    def __init__(self, *, world: World, name: str, machine: Machine) -> None:
        self.world = world
        self.name = name
        self.machine = machine
        self.random = random.Random(f"{world.seed}-{name}-{len(world.hosts)}")
        self.folder = SimFolder(host=self)
        self.alive = True
        self.frozen = False
        self.parked: list[Any] = []
        self.tasks: list[Any] = []
        self.streams: list[SimStream] = []
        self.closing: list[Any] = []
        self.writing: tuple[str, int, bytes] | None = None
        self.read_at = -1.0
        self.read = timedelta()
        self.stop_at: int | None = None
        self.stop_for = timedelta()
        self.stopped: list[str] = []

    def keep(self, task: Any) -> None:
        self.tasks.append(task)
        if len(self.tasks) > 4000:
            self.tasks = [kept for kept in self.tasks if not getattr(kept, "dead", False)]

    def stop(self, *, at: int, lasts: timedelta) -> None:
        """Has the machine stand still at its `at`th read of the time or first byte sent from now on, just there."""
        self.stop_at, self.stop_for = at, lasts

    def step(self, *, what: str) -> None:
        """One read or send: here the machine may stop, between any two instructions that matter."""
        if self.stop_at is None or eventlet.getcurrent() is self.world.hub.greenlet:
            return
        self.stop_at -= 1
        if self.stop_at > 0:
            return
        self.stop_at = None
        frame = sys._getframe(2)
        self.stopped.append(f"{what} in {frame.f_code.co_name} < {frame.f_back.f_code.co_name}")
        self.frozen = True
        self.world.hub.schedule_in(place=None, seconds=self.stop_for.total_seconds(), call=self.thaw)
        eventlet.sleep(0)

    def elapsed(self) -> timedelta:
        self.step(what="read")
        moment = self.world.hub.moment
        if moment != self.read_at:
            self.read_at = moment
            driftUs = round(moment * self.machine.driftPpm)
            self.read = self.machine.uptime + us(round(moment * 1_000_000) + driftUs)
        return self.read

    def wall(self) -> datetime:
        return BEGIN + self.world.now() + self.machine.wall_offset

    def connect(self, *, address: str, wait: timedelta, user_timeout: timedelta | None = None) -> SimStream:
        stream = SimStream.connect(host=self, address=split_address(address=address), wait=wait)
        stream.user_timeout = user_timeout
        return stream

    def readable(self, *, sock: SimStream) -> bool:
        return sock.readable()

    def closed_by_peer(self, *, socks: Collection[SimStream]) -> set[SimStream]:
        return {sock for sock in socks if sock.ended or sock.broken}

    def listen(self, *, address: str) -> SimListener:
        return SimListener(host=self, address=split_address(address=address))

    def open_datagram_socket(self, *, address: str) -> "SimDatagrams":
        return SimDatagrams(host=self, address=split_address(address=address))

    def log(self, log_event: LogEvent, **fields: Any) -> None:
        self.world.logged.append((self.world.now(), self.name, log_event, log_event.text(**fields)))

    # What befalls a process.

    def kill(self) -> None:
        """The process ends without a word; its machine closes its streams."""
        if not self.alive:
            return
        self.alive = False
        if self.writing is not None:
            name, offset, data = self.writing
            part = data[: self.world.random.randrange(len(data) + 1)]
            self.machine.disk.files[name] = self.machine.disk.files.get(name, b"")[:offset] + part
        for closing in self.closing:
            closing.close()
        for stream in self.streams:
            stream.reset()
        GRAVEYARD.extend(self.tasks)

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        self.frozen = False
        self.world.hub.thaw(place=self)


class SimFolder:
    """The data folder on a simulated disk; it has the real one's ways. While `hangs`, no call of this process returns,
    whatever its disk does."""

    def __init__(self, *, host: SimHost) -> None:
        self.host = host
        self.calls = FileCalls()
        self.hangs = False

    def _wait(self) -> Disk:
        disk = self.host.machine.disk
        while self.hangs:
            self.host.sleep(wait=ms(20))
        self.host.sleep(wait=disk.delay * self.host.world.random.uniform(0.5, 2))
        while disk.stalled:
            self.host.sleep(wait=ms(20))
        return disk

    def read(self, *, name: str) -> bytes | None:
        with self.calls.bounded():
            return self._wait().files.get(name)

    def append(self, *, name: str, data: bytes, offset: int) -> None:
        with self.calls.bounded():
            self._append(name=name, data=data, offset=offset)

    def _append(self, *, name: str, data: bytes, offset: int) -> None:
        self.host.writing = (name, offset, data)
        try:
            disk = self._wait()
            kept = disk.files.get(name)
            if kept is None:
                raise FileNotFoundError(errno.ENOENT, "no such file")
            self._room(disk=disk, name=name, size=offset + len(data))
            if disk.syncs_fail:
                part = self.host.world.random.choice((len(data), self.host.world.random.randrange(len(data) + 1)))
                if data:
                    disk.files[name] = kept[:offset] + data[:part]
                raise OSError(errno.EIO, "input/output error")
            disk.files[name] = kept[:offset] + data
        finally:
            if self.host.alive:
                self.host.writing = None

    def make_durable(self, *, name: str, size: int) -> None:
        self.append(name=name, data=b"", offset=size)

    def truncate(self, *, name: str, offset: int) -> None:
        self.append(name=name, data=b"", offset=offset)

    def replace(self, *, name: str, data: bytes) -> None:
        with self.calls.bounded():
            self._replace(name=name, data=data)

    def _replace(self, *, name: str, data: bytes) -> None:
        disk = self._wait()
        if disk.syncs_fail:
            raise OSError(errno.EIO, "input/output error")
        self._room(disk=disk, name=name + ".new", size=len(data))
        disk.files[name] = data

    def _room(self, *, disk: Disk, name: str, size: int) -> None:
        others = sum(len(kept) for other, kept in disk.files.items() if other != name)
        if others + size > disk.limitBytes:
            raise OSError(errno.ENOSPC, "no space left on device")


class SimDatagrams:
    """A bound UDP port."""

    def __init__(self, *, host: SimHost, address: tuple[str, int]) -> None:
        if address in host.world.ports:
            raise OSError(errno.EADDRINUSE, "address already in use")
        self.host = host
        self.address = address
        self.inbox: list[tuple[bytes, str]] = []
        self.waiting: Any = None
        host.world.ports[address] = self
        host.closing.append(self)

    def __enter__(self) -> "SimDatagrams":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        self.host.world.ports.pop(self.address, None)

    def send(self, *, address: str, data: bytes) -> None:
        world = self.host.world
        source, target = self.address[0], split_address(address=address)
        lost = world.random.uniform(0, 100) < world.lossPercent
        if lost or target[0] not in world.machines or world.blocked(source=source, target=target[0]):
            return
        label = f"{source}:{self.address[1]}"
        copies = 2 if world.random.uniform(0, 100) < world.doubledPercent else 1
        for _ in range(copies):
            seconds = world.latency(source=source, target=target[0])
            seconds += world.random.uniform(0, world.jitter.total_seconds())
            arrival = _Arrival(world=world, target=target, data=data, label=label)
            world.hub.schedule_in(place=None, seconds=seconds, call=arrival)

    def receive(self) -> tuple[bytes, str]:
        while not self.inbox:
            self.waiting = eventlet.getcurrent()
            hubs.get_hub().switch()
        return self.inbox.pop(0)


class _Arrival:
    """A datagram on its way."""

    def __init__(self, *, world: World, target: tuple[str, int], data: bytes, label: str) -> None:
        self.world = world
        self.target = target
        self.data = data
        self.label = label

    def __call__(self) -> None:
        port = self.world.ports.get(self.target)
        if port is None or len(port.inbox) > 1000:
            return
        port.inbox.append((self.data, self.label))
        waiting, port.waiting = port.waiting, None
        if waiting is not None:
            self.world.hub.schedule_in(place=port.host, seconds=0, call=waiting.switch)
