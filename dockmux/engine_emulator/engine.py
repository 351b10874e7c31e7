"""One engine's stand-in: reads prompts, streams answers, hands memory over, takes orders, records the truth."""

import contextlib
import dataclasses
import json
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Any

from eventlet.semaphore import Semaphore

from dockmux.engine_emulator import model
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_transport import HttpExchange, fetch, serve
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ms, to_us

MEMORY_MOST = 2000
PREFIXES_MOST = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Speed:
    """How fast the engine works. Long prompts cost reading, long answers writing."""

    readBaseMs: int = 20
    readPerKbMs: int = 12
    writeBaseMs: int = 10
    writePerPieceMs: int = 8
    prefill_slots: int = 4
    decode_slots: int = 12
    memoryMs: int = 20_000


class Engine:
    """Invariants: `history` is the ground truth, appended to as things happen; at most one phase's slots are
    worked in, and `memory` holds what was read here and has not lapsed. An engine that is `mixed` up answers a reading
    with the tag of the `latest` one before it."""

    def __init__(
        self, *, host: Host, name: str, service: str, address: str, phase: str, speed: Speed | None = None,
        record: str = "",
    ) -> None:  # fmt: skip
        self.host = host
        self.name = name
        self.service = service
        self.address = address
        self.phase = phase
        self.speed = speed or Speed()
        self.record = record
        self.incarnation = f"{host.random.getrandbits(64):016x}"
        self.leaving = False
        self.mixed = False
        self.latest: dict[str, Any] | None = None
        self.order_mark = 0
        self.running_count = 0
        self.queued = 0
        self.slots = {
            "prefill": Semaphore(self.speed.prefill_slots),
            "decode": Semaphore(self.speed.decode_slots),
        }
        self.memory: OrderedDict[str, tuple[timedelta, dict[str, Any], str]] = OrderedDict()
        self.prefixes: OrderedDict[str, bool] = OrderedDict()
        self.history: list[dict[str, Any]] = []

    @contextlib.contextmanager
    def running(self) -> Iterator["Engine"]:
        with contextlib.ExitStack() as stack:
            self.file = stack.enter_context(open(self.record, "a")) if self.record else None
            task_group = stack.enter_context(TaskGroup(host=self.host))
            listener = stack.enter_context(self.host.listen(address=self.address))
            task_group.supervise(task=serve, host=self.host, listener=listener, handler=self.handle_http)
            self.note(what="start")
            yield self

    def drain(self) -> int:
        if not self.leaving:
            self.leaving = True
            self.note(what="leaving")
        return self.running_count + self.queued

    def note(self, *, what: str, **fields: Any) -> None:
        row = {
            "atUs": to_us(self.host.elapsed()), "engine": self.name, "incarnation": self.incarnation,
            "service": self.service, "what": what, **fields,
        }  # fmt: skip
        self.history.append(row)
        if self.file is not None:
            self.file.write(json.dumps(row) + "\n")
            self.file.flush()

    def handle_http(self, exchange: HttpExchange) -> Iterable[bytes]:
        method, path = exchange.method, exchange.path
        if method == "GET" and path == "/identity":
            return exchange.reply(status=200, fields=self._identity())
        if method == "GET" and path == "/status":
            return exchange.reply(status=200, fields=self._status())
        if method == "GET" and path.startswith("/memory/"):
            return self._hand_over(exchange=exchange, token=path[8:])
        if method == "POST" and path in ("/prefill", "/decode", "/order", "/leave"):
            fields = json.loads(exchange.body(limit_bytes=1 << 24) or b"{}")
            answer = {
                "/prefill": self._prefill, "/decode": self._decode, "/order": self._order, "/leave": self._leave,
            }[path]  # fmt: skip
            return answer(exchange=exchange, fields=fields)
        return exchange.reply(status=404, fields={"why": "no such path"})

    def _identity(self) -> dict[str, Any]:
        told = {"service": self.service, "engine": self.name, "incarnation": self.incarnation}
        return {**told, "nowUs": to_us(self.host.elapsed())}

    def _status(self) -> dict[str, Any]:
        return {
            **self._identity(), "phase": self.phase, "running": self.running_count, "queued": self.queued,
            "leaving": self.leaving, "order_mark": self.order_mark,
            "capacity": self.speed.prefill_slots if self.phase == "prefill" else self.speed.decode_slots,
        }  # fmt: skip

    def _leave(self, *, exchange: HttpExchange, fields: dict[str, Any]) -> list[bytes]:
        self.leaving = True
        self.note(what="leaving")
        return exchange.reply(status=200, fields=self._status())

    def _order(self, *, exchange: HttpExchange, fields: dict[str, Any]) -> list[bytes]:
        """Taken only while the permit that it was given under holds, on this engine's clock."""
        late = to_us(self.host.elapsed()) > fields["untilUs"]
        if late or fields["mark"] < self.order_mark:
            self.note(what="order_refused", mark=fields["mark"], by=fields["by"], late=late)
            return exchange.reply(status=409, fields={"why": "late" if late else "a later permit has commanded"})
        self.note(what="order", mark=fields["mark"], phase=fields["phase"], by=fields["by"])
        self.order_mark = fields["mark"]
        if fields["phase"] != self.phase:
            self.phase = fields["phase"]
            self.note(what="phase", phase=self.phase)
        return exchange.reply(status=200, fields=self._status())

    def _will_not(self, *, exchange: HttpExchange, fields: dict[str, Any], phase: str) -> list[bytes] | None:
        why = ""
        if to_us(self.host.elapsed()) > fields["untilUs"]:
            why = "late"
        elif self.leaving:
            why = "leaving"
        elif self.phase != phase:
            why = f"in phase {self.phase}"
        elif fields["incarnation"] != self.incarnation or fields["service"] != self.service:
            why = "not that engine"
        if not why:
            return None
        self.note(what="rejected", why=why, **self._told(exchange=exchange, fields=fields))
        return exchange.reply(status=409, fields={"why": why})

    def _told(self, *, exchange: HttpExchange, fields: dict[str, Any]) -> dict[str, Any]:
        """What a leg said of itself, for the record."""
        by = exchange.header(name="User-Agent").removeprefix("dockmux/")
        return {"by": by, **{key: fields[key] for key in ("request", "lane", "mark", "model", "adapter", "run")}}

    @contextlib.contextmanager
    def _slot(self, *, phase: str) -> Iterator[None]:
        self.queued += 1
        try:
            self.slots[phase].acquire()
        finally:
            self.queued -= 1
        self.running_count += 1
        try:
            yield
        finally:
            self.running_count -= 1
            self.slots[phase].release()

    def _prefill(self, *, exchange: HttpExchange, fields: dict[str, Any]) -> list[bytes]:
        refused = self._will_not(exchange=exchange, fields=fields, phase="prefill")
        if refused is not None:
            return refused
        request = fields["request"]
        self.note(what="prefill", **self._told(exchange=exchange, fields=fields))
        with self._slot(phase="prefill"):
            warm = fields["prefix_digest"] in self.prefixes
            self.prefixes[fields["prefix_digest"]] = True
            self.prefixes.move_to_end(fields["prefix_digest"])
            while len(self.prefixes) > PREFIXES_MOST:
                self.prefixes.popitem(last=False)
            size = len(fields["prompt"]) + (0 if warm else len(fields["prefix"]))
            self.host.sleep(wait=ms(self.speed.readBaseMs + self.speed.readPerKbMs * size // 1024))
        token = f"{self.host.random.getrandbits(64):016x}"
        memory = {
            "token": token, "engine": self.name, "incarnation": self.incarnation, "request": request,
            "prefix_digest": fields["prefix_digest"], "model": fields["model"], "adapter": fields["adapter"],
        }  # fmt: skip
        digest = model.prompt_digest(prompt=fields["prompt"], prefix=fields["prefix"])
        self.memory[token] = (self.host.elapsed() + ms(self.speed.memoryMs), memory, digest)
        while len(self.memory) > MEMORY_MOST:
            self.memory.popitem(last=False)
        self.note(what="prefilled", request=request, warm=warm)
        told, self.latest = self.latest if self.mixed and self.latest else memory, memory
        if told is not memory:
            self.note(what="mixed", request=request, told=told["request"])
        return exchange.reply(status=200, fields={"memory": told})

    def _hand_over(self, *, exchange: HttpExchange, token: str) -> list[bytes]:
        lapses, memory, digest = self.memory.get(token, (timedelta(), None, ""))
        if self.host.elapsed() >= lapses:
            return exchange.reply(status=410, fields={"why": "lapsed"})
        return exchange.reply(status=200, fields={"memory": memory, "digest": digest})

    def lapse(self) -> None:
        """All memory handed over or to be handed over is gone at once."""
        self.note(what="lapse")
        self.memory.clear()

    def _decode(self, *, exchange: HttpExchange, fields: dict[str, Any]) -> Iterable[bytes]:
        refused = self._will_not(exchange=exchange, fields=fields, phase="decode")
        if refused is not None:
            return refused
        receivedUs = to_us(self.host.elapsed())
        told = None
        try:
            with time_limit(wait=ms(min(max(fields["horizonMs"], 1), 5000))):
                status, told, _ = fetch(
                    host=self.host, address=fields["source"], method="GET",
                    path="/memory/" + fields["memory"]["token"], wait=ms(1000),
                )  # fmt: skip
        except OSError:
            status = 0
        if status != 200 or told["memory"]["incarnation"] != fields["memory"]["incarnation"]:
            self.note(what="no_memory", request=fields["request"], mark=fields["mark"])
            return exchange.reply(status=410, fields={"why": "the memory is not there any more"})
        return self._write(exchange=exchange, fields=fields, told=told, receivedUs=receivedUs)

    def _write(
        self, *, exchange: HttpExchange, fields: dict[str, Any], told: dict[str, Any], receivedUs: int
    ) -> Iterator[bytes]:
        """The row of a writing leg bears the time at which the leg was received, before its memory was fetched."""
        memory, digest = told["memory"], told["digest"]
        request = fields["request"]
        self.note(
            what="decode",
            memory_of=memory["request"],
            start=fields["from"],
            atUs=receivedUs,
            **self._told(exchange=exchange, fields=fields),
        )
        with self._slot(phase="decode"):
            exchange.begin(status=200, headers=[("Content-Type", "application/x-ndjson")])
            yield json.dumps({"memory": memory}).encode() + b"\n"
            self.host.sleep(wait=ms(self.speed.writeBaseMs))
            total = model.count(pieces=fields["pieces"], digest=digest)
            for n in range(fields["from"], total):
                self.host.sleep(wait=ms(self.speed.writePerPieceMs))
                text = model.piece(
                    request=memory["request"],
                    model=memory["model"],
                    adapter=memory["adapter"],
                    digest=digest,
                    n=n,
                )
                yield json.dumps({"request": request, "n": n, "text": text}).encode() + b"\n"
            yield json.dumps({"end": True, "count": max(total, fields["from"])}).encode() + b"\n"
        self.note(what="decoded", request=request, pieces=total)
