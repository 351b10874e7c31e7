"""In-memory machines, disks and network under virtual time, deterministic for a given seed."""

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

# Wall-clock time at virtual time 0, before a machine's `wall_offset`.
WALL_CLOCK_START = datetime(2026, 3, 1, 6, 0, tzinfo=UTC)
# Tasks of ended processes are never garbage-collected: collecting one would run its `finally` blocks in a later run.
RETAINED_OBJECTS: list[Any] = []


@dataclasses.dataclass(kw_only=True)
class Disk:
    """A machine's disk. Each call takes 0.5 to 2 times `delay`, and does not complete while `stalled`.

    Invariants: `files` maps file names to their durable contents, as found after a power loss; a write that would
    make the total exceed `limit_bytes` fails with ENOSPC. While `syncs_fail`, calls fail with EIO although an append
    may have reached `files` in part or in full."""

    files: dict[str, bytes] = dataclasses.field(default_factory=dict)
    delay: timedelta = ms(2)
    limit_bytes: int = 1 << 40
    stalled: bool = False
    syncs_fail: bool = False


@dataclasses.dataclass(kw_only=True)
class Machine:
    """A machine. Invariants: its monotonic time is `uptime` at the start of the run, advances at (1 + drift_ppm/10^6)
    times true time and never jumps; its wall clock is true time plus `wall_offset`, which may jump. While `isolated`,
    it exchanges no data with other machines."""

    ip: str
    site: str
    drift_ppm: float
    uptime: timedelta
    wall_offset: timedelta
    disk: Disk = dataclasses.field(default_factory=Disk)
    isolated: bool = False


class World:
    """The simulated network and all processes on it.

    Invariants: `machines` is keyed by IP, `listeners` and `udp_ports` by (IP, port); `cuts` holds the directed
    (source IP, target IP) pairs between which nothing passes; `extra_latency` is added to the latency of a directed
    pair; a datagram is lost with `loss_percent` and duplicated with `duplicate_percent` probability, and each copy is
    delayed by up to `jitter`, so datagrams can be reordered. `link_us` is the base one-way latency between sites in
    microseconds. `logged` has (true time, process name, event, text) for each log line, `crashes` a text for each
    process that ended with an exception."""

    def __init__(self, *, seed: int, link_us: int) -> None:
        self.random = random.Random(f"world-{seed}")
        self.seed = seed
        self.link_us = link_us
        self.machines: dict[str, Machine] = {}
        self.listeners: dict[tuple[str, int], SimListener] = {}
        self.udp_ports: dict[tuple[str, int], Any] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.extra_latency: dict[tuple[str, str], timedelta] = {}
        self.loss_percent = 0.0
        self.duplicate_percent = 0.0
        self.jitter = timedelta()
        self.next_port = 20_000
        self.hosts: list[SimHost] = []
        self.logged: list[tuple[timedelta, str, LogEvent, str]] = []
        self.crashes: list[str] = []

    def now(self) -> timedelta:
        """Returns the true time since the start of the run."""
        return us(round(self.hub.now_s * 1_000_000))

    @contextmanager
    def open(self) -> Iterator["World"]:
        """Installs the virtual-time hub for the duration of the context; at its end all processes are ended."""
        hubs.use_hub(VirtualHub)
        self.hub: VirtualHub = hubs.get_hub()
        try:
            yield self
        finally:
            for host in self.hosts:
                host.alive = False
            RETAINED_OBJECTS.append(self)
            hubs.use_hub(None)

    def machine(self, *, ip: str, site: str, true_clock: bool = False) -> Machine:
        """Returns the machine at `ip`, creating it on first use; `true_clock` gives it no drift and zero uptime, so
        that its monotonic time is true time."""
        if ip not in self.machines:
            self.machines[ip] = Machine(
                ip=ip,
                site=site,
                drift_ppm=0 if true_clock else self.random.uniform(-50, 50),
                uptime=timedelta() if true_clock else timedelta(seconds=self.random.uniform(100, 1_000_000)),
                wall_offset=ms(self.random.uniform(-40, 40)),
            )
        return self.machines[ip]

    def start(self, *, name: str, ip: str, site: str, run: Callable[["SimHost"], None]) -> "SimHost":
        """Starts a process that executes `run` on the machine at `ip`; an exception in it is recorded as a crash."""
        host = SimHost(world=self, name=name, machine=self.machine(ip=ip, site=site))
        self.hosts.append(host)
        task = eventlet.spawn(self._run, host=host, run=run)
        task.owner = host
        host.track_task(task)
        return host

    def _run(self, *, host: "SimHost", run: Callable[["SimHost"], None]) -> None:
        try:
            run(host)
        except Exception as error:
            self.crashes.append(f"{host.name}: {type(error).__name__}: {error}")
            host.kill()

    def blocked(self, *, source: str, target: str) -> bool:
        """Whether nothing passes from the `source` to the `target` IP."""
        if source == target:
            return False
        return (source, target) in self.cuts or self.machines[source].isolated or self.machines[target].isolated

    def latency(self, *, source: str, target: str) -> float:
        """Draws the one-way latency of one transmission between two IPs, in seconds."""
        if source == target:
            base = 30
        elif self.machines[source].site == self.machines[target].site:
            base = 120
        else:
            base = self.link_us
        extra = self.extra_latency.get((source, target), timedelta()).total_seconds()
        return base * self.random.uniform(1.0, 1.3) / 1_000_000 + extra


class SimHost(Host):
    """One process on a machine.

    Invariants: once `alive` is False, none of its tasks runs and nothing is sent; while `frozen`, its timers are
    collected in `deferred_timers` and its machine still buffers incoming data; `pending_write` is the
    (file, offset, data) of the append in progress; `pauses` lists the code locations of the pauses injected by
    `schedule_pause`."""

    def __init__(self, *, world: World, name: str, machine: Machine) -> None:
        self.world = world
        self.name = name
        self.machine = machine
        self.random = random.Random(f"{world.seed}-{name}-{len(world.hosts)}")
        self.folder = SimFolder(host=self)
        self.alive = True
        self.frozen = False
        self.deferred_timers: list[Any] = []
        self.tasks: list[Any] = []
        self.streams: list[SimStream] = []
        self.bound_sockets: list[Any] = []
        self.pending_write: tuple[str, int, bytes] | None = None
        self.last_reading_at_s = -1.0
        self.last_reading = timedelta()
        self.steps_to_pause: int | None = None
        self.pause_duration = timedelta()
        self.pauses: list[str] = []

    def track_task(self, task: Any) -> None:
        """Keeps a reference to a task of this process until the task or the run ends."""
        self.tasks.append(task)
        if len(self.tasks) > 4000:
            self.tasks = [tracked for tracked in self.tasks if not getattr(tracked, "dead", False)]

    def schedule_pause(self, *, steps: int, duration: timedelta) -> None:
        """Freezes the process for `duration` at its `steps`-th clock reading or stream send from now on."""
        self.steps_to_pause, self.pause_duration = steps, duration

    def count_step(self, *, what: str) -> None:
        """Counts one clock reading or stream send; a pause scheduled for it takes effect here."""
        if self.steps_to_pause is None or eventlet.getcurrent() is self.world.hub.greenlet:
            return
        self.steps_to_pause -= 1
        if self.steps_to_pause > 0:
            return
        self.steps_to_pause = None
        frame = sys._getframe(2)
        self.pauses.append(f"{what} in {frame.f_code.co_name} < {frame.f_back.f_code.co_name}")
        self.frozen = True
        self.world.hub.schedule_in(owner=None, seconds=self.pause_duration.total_seconds(), call=self.thaw)
        eventlet.sleep(0)

    def elapsed(self) -> timedelta:
        self.count_step(what="read")
        now_s = self.world.hub.now_s
        if now_s != self.last_reading_at_s:
            self.last_reading_at_s = now_s
            drift_us = round(now_s * self.machine.drift_ppm)
            self.last_reading = self.machine.uptime + us(round(now_s * 1_000_000) + drift_us)
        return self.last_reading

    def monotonic_seconds(self) -> float:
        # Virtual time, and no step: how long real computing takes must not change what a seed gives.
        return self.world.hub.now_s

    def wall(self) -> datetime:
        return WALL_CLOCK_START + self.world.now() + self.machine.wall_offset

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

    # Process faults.

    def kill(self) -> None:
        """Ends the process as SIGKILL does: its machine closes its streams and sockets, and a random prefix of the
        append in progress reaches the disk."""
        if not self.alive:
            return
        self.alive = False
        if self.pending_write is not None:
            name, offset, data = self.pending_write
            part = data[: self.world.random.randrange(len(data) + 1)]
            self.machine.disk.files[name] = self.machine.disk.files.get(name, b"")[:offset] + part
        for bound_socket in self.bound_sockets:
            bound_socket.close()
        for stream in self.streams:
            stream.reset()
        RETAINED_OBJECTS.extend(self.tasks)

    def freeze(self) -> None:
        self.frozen = True

    def thaw(self) -> None:
        self.frozen = False
        self.world.hub.thaw(owner=self)


class SimFolder:
    """A data folder on a simulated disk, with the interface and errors of `DataFolder`. While `hangs`, no call of this
    process returns, whatever the state of its disk."""

    def __init__(self, *, host: SimHost) -> None:
        self.host = host
        self.calls = FileCalls()
        self.hangs = False

    def _wait_for_disk(self) -> Disk:
        disk = self.host.machine.disk
        while self.hangs:
            self.host.sleep(wait=ms(20))
        self.host.sleep(wait=disk.delay * self.host.world.random.uniform(0.5, 2))
        while disk.stalled:
            self.host.sleep(wait=ms(20))
        return disk

    def read(self, *, name: str) -> bytes | None:
        with self.calls.bounded():
            return self._wait_for_disk().files.get(name)

    def append(self, *, name: str, data: bytes, offset: int) -> None:
        with self.calls.bounded():
            self._append(name=name, data=data, offset=offset)

    def _append(self, *, name: str, data: bytes, offset: int) -> None:
        self.host.pending_write = (name, offset, data)
        try:
            disk = self._wait_for_disk()
            current = disk.files.get(name)
            if current is None:
                raise FileNotFoundError(errno.ENOENT, "no such file")
            self._check_space(disk=disk, name=name, size=offset + len(data))
            if disk.syncs_fail:
                part = self.host.world.random.choice((len(data), self.host.world.random.randrange(len(data) + 1)))
                if data:
                    disk.files[name] = current[:offset] + data[:part]
                raise OSError(errno.EIO, "input/output error")
            disk.files[name] = current[:offset] + data
        finally:
            if self.host.alive:
                self.host.pending_write = None

    def make_durable(self, *, name: str, size: int) -> None:
        self.append(name=name, data=b"", offset=size)

    def truncate(self, *, name: str, offset: int) -> None:
        self.append(name=name, data=b"", offset=offset)

    def replace(self, *, name: str, data: bytes) -> None:
        with self.calls.bounded():
            self._replace(name=name, data=data)

    def _replace(self, *, name: str, data: bytes) -> None:
        disk = self._wait_for_disk()
        if disk.syncs_fail:
            raise OSError(errno.EIO, "input/output error")
        self._check_space(disk=disk, name=name + ".new", size=len(data))
        disk.files[name] = data

    def _check_space(self, *, disk: Disk, name: str, size: int) -> None:
        other_bytes = sum(len(content) for other, content in disk.files.items() if other != name)
        if other_bytes + size > disk.limit_bytes:
            raise OSError(errno.ENOSPC, "no space left on device")


class SimDatagrams:
    """A bound UDP port. Invariant: `received` holds the datagrams that arrived and were not read, each with the
    address of its sender, in the order of arrival; `receiver` is the task that waits for one."""

    def __init__(self, *, host: SimHost, address: tuple[str, int]) -> None:
        if address in host.world.udp_ports:
            raise OSError(errno.EADDRINUSE, "address already in use")
        self.host = host
        self.address = address
        self.received: list[tuple[bytes, str]] = []
        self.receiver: Any = None
        host.world.udp_ports[address] = self
        host.bound_sockets.append(self)

    def __enter__(self) -> "SimDatagrams":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        self.host.world.udp_ports.pop(self.address, None)

    def send(self, *, address: str, data: bytes) -> None:
        world = self.host.world
        source, target = self.address[0], split_address(address=address)
        lost = world.random.uniform(0, 100) < world.loss_percent
        if lost or target[0] not in world.machines or world.blocked(source=source, target=target[0]):
            return
        source_address = f"{source}:{self.address[1]}"
        copies = 2 if world.random.uniform(0, 100) < world.duplicate_percent else 1
        for _ in range(copies):
            seconds = world.latency(source=source, target=target[0])
            seconds += world.random.uniform(0, world.jitter.total_seconds())
            delivery = _DatagramDelivery(world=world, target=target, data=data, source_address=source_address)
            world.hub.schedule_in(owner=None, seconds=seconds, call=delivery)

    def receive(self) -> tuple[bytes, str]:
        while not self.received:
            self.receiver = eventlet.getcurrent()
            hubs.get_hub().switch()
        return self.received.pop(0)


class _DatagramDelivery:
    """Delivers a datagram; it is dropped if the port is not bound or more than 1000 datagrams are queued there."""

    def __init__(self, *, world: World, target: tuple[str, int], data: bytes, source_address: str) -> None:
        self.world = world
        self.target = target
        self.data = data
        self.source_address = source_address

    def __call__(self) -> None:
        port = self.world.udp_ports.get(self.target)
        if port is None or len(port.received) > 1000:
            return
        port.received.append((self.data, self.source_address))
        receiver, port.receiver = port.receiver, None
        if receiver is not None:
            self.world.hub.schedule_in(owner=port.host, seconds=0, call=receiver.switch)
