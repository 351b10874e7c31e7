"""The list of engines: asked for by one daemon at a time, and spread to all."""

import dataclasses
import hashlib
import json
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.protocol_adapter import EngineEntry, ProtocolAdapter
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_transport import HttpClientConnection
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import UNBOUNDED

# How old a copy may get before it is asked for anew, as a part of the time in which a leaving engine must be known.
ASK_PART = 1 / 3
# Whoever is next in order asks when the one before has let this part more pass.
ORDER_PART = 1 / 12
ORDER_MOST = 5
CALL_LIMIT = timedelta(milliseconds=800)
PAGES_MOST = 100


def digest_of(*, rows: dict[str, EngineEntry]) -> str:
    packed = json.dumps([list(vars(rows[name]).values()) for name in sorted(rows)])
    return hashlib.sha256(packed.encode()).hexdigest()[:12]


class Directory:
    """Invariants: `rows` is one whole copy of the platform's list, as it stood when it was asked for at `asked_at`, a
    monotonic time; an older copy never replaces a newer one. `origin` names the asking that it came from: the same
    asking, told again by others, never makes it newer, for what each telling adds to its time would add up for ever.
    There is no single holder of the duty to ask: a second asker costs a call and harms nothing, so whoever is first in
    the order of the live daemons asks, and the next one when its copy has not become newer in time."""

    def __init__(self, *, host: Host, deployment: Deployment, protocol: ProtocolAdapter) -> None:
        self.host = host
        self.deployment = deployment
        self.protocol = protocol
        self.rows: dict[str, EngineEntry] = {}
        self.digest = ""
        self.asked_at = -UNBOUNDED
        self.origin = ""
        self.asks = 0
        self.before = ""
        self.delta: dict[str, Any] = {}
        self.backoff_until = timedelta()

    @property
    def age(self) -> timedelta:
        return self.host.elapsed() - self.asked_at

    def due(self, *, place: int) -> bool:
        """Whether the daemon at this place in the order is to ask now."""
        patience = self.deployment.drain * (ASK_PART + ORDER_PART * min(place, ORDER_MOST))
        return self.age >= patience and self.host.elapsed() >= self.backoff_until

    def refresh(self) -> bool:
        """Asks the platform for all pages."""
        began = self.host.elapsed()
        rows: dict[str, EngineEntry] = {}
        page: str | None = None
        try:
            with time_limit(wait=CALL_LIMIT), self._stream() as stream:
                stream.connect()
                for _ in range(PAGES_MOST):
                    response = stream.call(method="GET", path=self.protocol.list_path(page=page))
                    body = response.read()
                    if response.status != 200:
                        raise OSError(f"the list answered {response.status}")
                    listed, page = self.protocol.parse_list(body=body)
                    rows |= {row.engine: row for row in listed}
                    if page is None:
                        break
        except (OSError, urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
            self.backoff_until = self.host.elapsed() + timedelta(milliseconds=self.host.random.randrange(200, 600))
            self.host.log(LogEvent.LIST_FAILED, error=error)
            return False
        self.asks += 1
        self.take(rows=rows, asked_at=began, origin=f"{self.host.name}:{self.asks}")
        return True

    def _stream(self) -> HttpClientConnection:
        return HttpClientConnection(host=self.host, address=self.deployment.list_address, wait=CALL_LIMIT)

    def take(self, *, rows: dict[str, EngineEntry], asked_at: timedelta, origin: str) -> None:
        if asked_at <= self.asked_at:
            return
        self.asked_at, self.origin = asked_at, origin
        found = digest_of(rows=rows)
        if found == self.digest:
            return
        changed = [dataclasses.asdict(row) for name, row in rows.items() if self.rows.get(name) != row]
        gone = [name for name in self.rows if name not in rows]
        self.delta = {"from": self.digest, "changed": changed, "gone": gone}
        self.rows, self.before, self.digest = rows, self.digest, found
        self.host.log(LogEvent.LIST_CHANGED, count=len(rows), leaving=sum(row.leaving for row in rows.values()))

    def hear(self, *, digest: str, origin: str, asked_at: timedelta, delta: dict[str, Any] | None) -> bool:
        """Another daemon tells of its copy; whether the whole of it must be asked for there."""
        if asked_at <= self.asked_at or not digest or origin == self.origin:
            return False
        if digest == self.digest:
            self.asked_at, self.origin = asked_at, origin
            return False
        if delta and delta["from"] == self.digest:
            rows = {name: row for name, row in self.rows.items() if name not in delta["gone"]}
            rows |= {fields["engine"]: EngineEntry(**fields) for fields in delta["changed"]}
            if digest_of(rows=rows) == digest:
                self.take(rows=rows, asked_at=asked_at, origin=origin)
                return False
        return True

    def fields(self) -> list[dict[str, Any]]:
        return [dataclasses.asdict(row) for row in self.rows.values()]
