"""Emulated engine: prefill, KV cache transfer, streamed decode, phase orders, and a record of all it does."""

import contextlib
import dataclasses
import json
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Any

from eventlet.semaphore import Semaphore

from dockmux.engine_emulator import answer_model
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_client import fetch
from dockmux.runtime.http_transport import HttpExchange, serve
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ms, to_us

MAX_KV_HANDLES = 2000
MAX_CACHED_PREFIXES = 64


@dataclasses.dataclass(frozen=True, kw_only=True)
class Speed:
    """Timing and capacity of an engine. The command line has a flag for each field.

    Prefill takes `readBaseMs` plus `readPerKbMs` for each KiB of prompt that is not cached; decode takes `writeBaseMs`
    plus `writePerPieceMs` for each piece; a KV cache is kept for `memoryMs` after prefill."""

    readBaseMs: int = 20
    readPerKbMs: int = 12
    writeBaseMs: int = 10
    writePerPieceMs: int = 8
    prefill_slots: int = 4
    decode_slots: int = 12
    memoryMs: int = 20_000


class Engine:
    """One engine with slots for prefill and decode.

    Invariants: `history` is the ground truth, appended to as events happen; work is accepted for the current phase
    only; `kv_cache` maps the token of each prefill done here to (expiry, KV handle, prompt digest). If
    `returns_previous_kv_handle` is set, a prefill returns the handle of the one before it, a fault to be detected."""

    def __init__(
        self, *, host: Host, name: str, service: str, address: str, phase: str, speed: Speed | None = None,
        record_path: str = "",
    ) -> None:  # fmt: skip
        self.host = host
        self.name = name
        self.service = service
        self.address = address
        self.phase = phase
        self.speed = speed or Speed()
        self.record_path = record_path
        self.incarnation = f"{host.random.getrandbits(64):016x}"
        self.leaving = False
        self.returns_previous_kv_handle = False
        self.latest_kv_handle: dict[str, Any] | None = None
        self.order_mark = 0
        self.running_count = 0
        self.queued = 0
        self.slots = {
            "prefill": Semaphore(self.speed.prefill_slots),
            "decode": Semaphore(self.speed.decode_slots),
        }
        self.kv_cache: OrderedDict[str, tuple[timedelta, dict[str, Any], str]] = OrderedDict()
        self.prefixes: OrderedDict[str, bool] = OrderedDict()
        self.history: list[dict[str, Any]] = []

    @contextlib.contextmanager
    def running(self) -> Iterator["Engine"]:
        """Serves the engine's HTTP interface until the context ends."""
        with contextlib.ExitStack() as stack:
            self.record_file = stack.enter_context(open(self.record_path, "a")) if self.record_path else None
            task_group = stack.enter_context(TaskGroup(host=self.host))
            listener = stack.enter_context(self.host.listen(address=self.address))
            task_group.supervise(task=serve, host=self.host, listener=listener, handler=self.handle_http)
            self.record_event(what="start")
            yield self

    def drain(self) -> int:
        """Rejects new work from now on; returns the number of running and queued requests."""
        if not self.leaving:
            self.leaving = True
            self.record_event(what="leaving")
        return self.running_count + self.queued

    def record_event(self, *, what: str, **fields: Any) -> None:
        """Appends a row to `history` and to the record file, if there is one."""
        row = {
            "atUs": to_us(self.host.elapsed()), "engine": self.name, "incarnation": self.incarnation,
            "service": self.service, "what": what, **fields,
        }  # fmt: skip
        self.history.append(row)
        if self.record_file is not None:
            self.record_file.write(json.dumps(row) + "\n")
            self.record_file.flush()

    def handle_http(self, exchange: HttpExchange) -> Iterable[bytes]:
        """Handles one request of a proxy or, for a KV cache, of another engine."""
        method, path = exchange.method, exchange.path
        if method == "GET" and path == "/identity":
            return exchange.reply(status=200, fields=self._identity())
        if method == "GET" and path == "/status":
            return exchange.reply(status=200, fields=self._status())
        if method == "GET" and path.startswith("/memory/"):
            return self._get_kv_cache(exchange=exchange, token=path[8:])
        if method == "POST" and path in ("/prefill", "/decode", "/order", "/leave"):
            fields = json.loads(exchange.body(limit_bytes=1 << 24) or b"{}")
            handler = {
                "/prefill": self._prefill, "/decode": self._decode, "/order": self._order, "/leave": self._leave,
            }[path]  # fmt: skip
            return handler(exchange=exchange, fields=fields)
        return exchange.reply(status=404, fields={"why": "no such path"})

    def _identity(self) -> dict[str, Any]:
        identity = {"service": self.service, "engine": self.name, "incarnation": self.incarnation}
        return {**identity, "nowUs": to_us(self.host.elapsed())}

    def _status(self) -> dict[str, Any]:
        return {
            **self._identity(), "phase": self.phase, "running": self.running_count, "queued": self.queued,
            "leaving": self.leaving, "order_mark": self.order_mark,
            "capacity": self.speed.prefill_slots if self.phase == "prefill" else self.speed.decode_slots,
        }  # fmt: skip

    def _leave(self, *, exchange: HttpExchange, fields: dict[str, Any]) -> list[bytes]:
        self.leaving = True
        self.record_event(what="leaving")
        return exchange.reply(status=200, fields=self._status())

    def _order(self, *, exchange: HttpExchange, fields: dict[str, Any]) -> list[bytes]:
        """Sets the phase. Accepts an order only while its lease is valid (`untilUs`) on this engine's clock."""
        late = to_us(self.host.elapsed()) > fields["untilUs"]
        if late or fields["mark"] < self.order_mark:
            self.record_event(what="order_refused", mark=fields["mark"], by=fields["by"], late=late)
            return exchange.reply(status=409, fields={"why": "late" if late else "a later permit has commanded"})
        self.record_event(what="order", mark=fields["mark"], phase=fields["phase"], by=fields["by"])
        self.order_mark = fields["mark"]
        if fields["phase"] != self.phase:
            self.phase = fields["phase"]
            self.record_event(what="phase", phase=self.phase)
        return exchange.reply(status=200, fields=self._status())

    def _rejection(self, *, exchange: HttpExchange, fields: dict[str, Any], phase: str) -> list[bytes] | None:
        """Answers 409 if this engine must not run the request, else returns None."""
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
        self.record_event(what="rejected", why=why, **self._request_fields(exchange=exchange, fields=fields))
        return exchange.reply(status=409, fields={"why": why})

    def _request_fields(self, *, exchange: HttpExchange, fields: dict[str, Any]) -> dict[str, Any]:
        """Returns the fields of a prefill or decode request that are written to the record."""
        by = exchange.header(name="User-Agent").removeprefix("dockmux/")
        return {"by": by, **{key: fields[key] for key in ("request", "lane", "mark", "model", "adapter", "run")}}

    @contextlib.contextmanager
    def _hold_slot(self, *, phase: str) -> Iterator[None]:
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
        rejection = self._rejection(exchange=exchange, fields=fields, phase="prefill")
        if rejection is not None:
            return rejection
        request = fields["request"]
        self.record_event(what="prefill", **self._request_fields(exchange=exchange, fields=fields))
        with self._hold_slot(phase="prefill"):
            warm = fields["prefix_digest"] in self.prefixes
            self.prefixes[fields["prefix_digest"]] = True
            self.prefixes.move_to_end(fields["prefix_digest"])
            while len(self.prefixes) > MAX_CACHED_PREFIXES:
                self.prefixes.popitem(last=False)
            size = len(fields["prompt"]) + (0 if warm else len(fields["prefix"]))
            self.host.sleep(wait=ms(self.speed.readBaseMs + self.speed.readPerKbMs * size // 1024))
        token = f"{self.host.random.getrandbits(64):016x}"
        kv_handle = {
            "token": token, "engine": self.name, "incarnation": self.incarnation, "request": request,
            "prefix_digest": fields["prefix_digest"], "model": fields["model"], "adapter": fields["adapter"],
        }  # fmt: skip
        digest = answer_model.prompt_digest(prompt=fields["prompt"], prefix=fields["prefix"])
        self.kv_cache[token] = (self.host.elapsed() + ms(self.speed.memoryMs), kv_handle, digest)
        while len(self.kv_cache) > MAX_KV_HANDLES:
            self.kv_cache.popitem(last=False)
        self.record_event(what="prefilled", request=request, warm=warm)
        returned, self.latest_kv_handle = (
            self.latest_kv_handle if self.returns_previous_kv_handle and self.latest_kv_handle else kv_handle,
            kv_handle,
        )
        if returned is not kv_handle:
            self.record_event(what="mixed", request=request, told=returned["request"])
        return exchange.reply(status=200, fields={"memory": returned})

    def _get_kv_cache(self, *, exchange: HttpExchange, token: str) -> list[bytes]:
        expires_at, kv_handle, digest = self.kv_cache.get(token, (timedelta(), None, ""))
        if self.host.elapsed() >= expires_at:
            return exchange.reply(status=410, fields={"why": "lapsed"})
        return exchange.reply(status=200, fields={"memory": kv_handle, "digest": digest})

    def expire_kv_cache(self) -> None:
        """Drops the KV caches of all requests at once."""
        self.record_event(what="lapse")
        self.kv_cache.clear()

    def _decode(self, *, exchange: HttpExchange, fields: dict[str, Any]) -> Iterable[bytes]:
        rejection = self._rejection(exchange=exchange, fields=fields, phase="decode")
        if rejection is not None:
            return rejection
        received_us = to_us(self.host.elapsed())
        transfer = None
        try:
            with time_limit(wait=ms(min(max(fields["horizonMs"], 1), 5000))):
                status, transfer, _ = fetch(
                    host=self.host, address=fields["source"], method="GET",
                    path="/memory/" + fields["memory"]["token"], wait=ms(1000),
                )  # fmt: skip
        except OSError:
            status = 0
        if status != 200 or transfer["memory"]["incarnation"] != fields["memory"]["incarnation"]:
            self.record_event(what="no_memory", request=fields["request"], mark=fields["mark"])
            return exchange.reply(status=410, fields={"why": "the memory is not there any more"})
        return self._stream_pieces(exchange=exchange, fields=fields, transfer=transfer, received_us=received_us)

    def _stream_pieces(
        self, *, exchange: HttpExchange, fields: dict[str, Any], transfer: dict[str, Any], received_us: int
    ) -> Iterator[bytes]:
        """Streams the answer from piece `from` on.

        The recorded time is the one at which the request was received, before its KV cache was fetched."""
        kv_handle, digest = transfer["memory"], transfer["digest"]
        request = fields["request"]
        self.record_event(
            what="decode",
            memory_of=kv_handle["request"],
            start=fields["from"],
            atUs=received_us,
            **self._request_fields(exchange=exchange, fields=fields),
        )
        with self._hold_slot(phase="decode"):
            exchange.begin(status=200, headers=[("Content-Type", "application/x-ndjson")])
            yield json.dumps({"memory": kv_handle}).encode() + b"\n"
            self.host.sleep(wait=ms(self.speed.writeBaseMs))
            total = answer_model.piece_count(pieces=fields["pieces"], digest=digest)
            for n in range(fields["from"], total):
                self.host.sleep(wait=ms(self.speed.writePerPieceMs))
                text = answer_model.piece_text(
                    request=kv_handle["request"],
                    model=kv_handle["model"],
                    adapter=kv_handle["adapter"],
                    digest=digest,
                    n=n,
                )
                yield json.dumps({"request": request, "n": n, "text": text}).encode() + b"\n"
            yield json.dumps({"end": True, "count": max(total, fields["from"])}).encode() + b"\n"
        self.record_event(what="decoded", request=request, pieces=total)
