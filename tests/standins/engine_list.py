"""Simulated engine list service of the platform."""

import dataclasses
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

from dockmux.runtime.http_transport import HttpExchange, serve
from dockmux.runtime.task_group import TaskGroup
from dockmux.simulator.world import SimHost


@dataclasses.dataclass(kw_only=True)
class ListCall:
    """One request to the list: when, the caller's IP, and the page token."""

    at: timedelta
    by: str
    page: str


class EngineList:
    """Invariants: `rows` are the current entries by engine id; `calls` are all requests in order; every answer is
    delayed by `delay`; while `failing`, every answer is a 503."""

    def __init__(self, *, host: SimHost, address: str, page_size: int = 4) -> None:
        self.host = host
        self.address = address
        self.page_size = page_size
        self.rows: dict[str, dict[str, Any]] = {}
        self.calls: list[ListCall] = []
        self.delay = timedelta()
        self.failing = False

    @contextmanager
    def running(self) -> Iterator["EngineList"]:
        with TaskGroup(host=self.host) as task_group, self.host.listen(address=self.address) as listener:
            task_group.supervise(task=serve, host=self.host, listener=listener, handler=self.handle_http)
            yield self

    def add(self, *, engine: str, service: str, address: str, zone: str, phase: str, slots: int) -> None:
        self.rows[engine] = {
            "svc": service, "addr": address, "az": zone, "gen": "v1", "slots": slots, "st": "ready",
            "cold_left_ms": 0, "phase": phase, "models": [{"name": "m", "gen": 1, "loras": []}], "id": engine,
        }  # fmt: skip

    def handle_http(self, exchange: HttpExchange) -> list[bytes]:
        query = exchange.environ.get("QUERY_STRING") or ""
        page = query.partition("pg_tok=")[2]
        self.calls.append(ListCall(at=self.host.world.now(), by=exchange.environ["REMOTE_ADDR"], page=page))
        self.host.sleep(wait=self.delay)
        if self.failing or exchange.path != "/engines":
            return exchange.reply(status=503 if self.failing else 404, fields={})
        first = int(page.removeprefix("p-") or 0)
        names = sorted(self.rows)
        insts = [self.rows[name] for name in names[first : first + self.page_size]]
        after = first + self.page_size
        return exchange.reply(status=200, fields={"insts": insts, "next": f"p-{after}" if after < len(names) else None})
