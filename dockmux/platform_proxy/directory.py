"""The engine list: fetched from the platform by one daemon at a time, and distributed to all."""

import dataclasses
import hashlib
import json
from datetime import timedelta
from typing import Any

from dockmux.platform_proxy.deployment import Deployment
from dockmux.platform_proxy.protocol_adapter import EngineEntry, ProtocolAdapter
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_client import HttpClientConnection
from dockmux.runtime.http_response import WIRE_ERRORS
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import UNBOUNDED

# Age at which a copy is refreshed, as a part of the time in which a leaving engine must be known.
REFRESH_RATIO = 1 / 3
# Additional part of that time for each rank, after which the next daemon in order refreshes the list instead.
RANK_DELAY_RATIO = 1 / 12
MAX_RANK = 5
CALL_TIMEOUT = timedelta(milliseconds=800)
MAX_PAGES = 100
# Assumed where the settings allow less than one call in ten seconds.
MIN_CALLS_PER_SECOND = 0.1
MAX_LIST_PAGE_BYTES = 4 << 20


def digest_of(*, rows: dict[str, EngineEntry]) -> str:
    """A digest of the rows' fields, independent of the rows' order."""
    packed = json.dumps([list(vars(rows[name]).values()) for name in sorted(rows)])
    return hashlib.sha256(packed.encode()).hexdigest()[:12]


class Directory:
    """This daemon's copy of the engine list.

    Invariants: `rows` is one complete copy of the platform's list, as it was when requested at `requested_at`, a
    monotonic time; an older copy never replaces a newer one. `origin` names the fetch that the copy comes from: hearing
    of the same fetch again never makes it newer, because each hop adds its delay to the time and copies passed to and
    fro would stay young for ever. There is no elected fetcher: a second fetch costs one call and does no harm, so the
    first of the live daemons in order fetches, and the next one when its copy has not become newer in time."""

    def __init__(self, *, host: Host, deployment: Deployment, protocol: ProtocolAdapter) -> None:
        self.host = host
        self.deployment = deployment
        self.protocol = protocol
        self.rows: dict[str, EngineEntry] = {}
        self.digest = ""
        self.requested_at = -UNBOUNDED
        self.origin = ""
        self.refreshes = 0
        self.previous_digest = ""
        self.delta: dict[str, Any] = {}
        self.backoff_until = timedelta()
        self.calls = 0

    @property
    def age(self) -> timedelta:
        """Time since this copy was requested from the platform."""
        return self.host.elapsed() - self.requested_at

    def due(self, *, rank: int) -> bool:
        """Whether the daemon of this rank, from 0, should fetch the list now."""
        max_age = self.deployment.drain * (REFRESH_RATIO + RANK_DELAY_RATIO * min(rank, MAX_RANK))
        return self.age >= max_age and self.host.elapsed() >= self.backoff_until

    def refresh(self, *, daemons: int = 1) -> bool:
        """Fetches all pages from the platform; False on an error, after which `due()` is False for 200 to 600 ms, and
        longer if as many as `daemons` calling alike would exceed the platform's rate."""
        requested_at = self.host.elapsed()
        self.calls = 0
        try:
            with time_limit(wait=CALL_TIMEOUT), self._stream() as stream:
                stream.connect()
                rows = self._all_pages(stream=stream)
        except WIRE_ERRORS as error:
            pause = timedelta(milliseconds=self.host.random.randrange(200, 600))
            share = timedelta(seconds=self.calls * daemons / max(self.deployment.list_per_second, MIN_CALLS_PER_SECOND))
            self.backoff_until = self.host.elapsed() + max(pause, share * self.host.random.uniform(1, 1.5))
            self.host.log(LogEvent.LIST_FAILED, error=error)
            return False
        self.refreshes += 1
        self.replace(rows=rows, requested_at=requested_at, origin=f"{self.host.name}:{self.refreshes}")
        return True

    def _all_pages(self, *, stream: HttpClientConnection) -> dict[str, EngineEntry]:
        """The rows of all pages. The list ends at a page that adds nothing, whatever it says of further ones."""
        rows: dict[str, EngineEntry] = {}
        page: str | None = None
        malformed = 0
        while True:
            self.calls += 1
            response = stream.call(method="GET", path=self.protocol.list_path(page=page))
            body = response.read(limit_bytes=MAX_LIST_PAGE_BYTES)
            if response.status != 200:
                raise OSError(f"engine list request failed with status {response.status}")
            listed = self.protocol.parse_list(body=body)
            adds_engines = any(row.engine not in rows for row in listed.rows)
            rows |= {row.engine: row for row in listed.rows}
            malformed += listed.malformed
            page = listed.next_page
            if page is None or not adds_engines:
                break
            if self.calls >= MAX_PAGES:
                raise OSError(f"the engine list does not end after {MAX_PAGES} pages")
            self.host.sleep(wait=timedelta(seconds=1 / max(self.deployment.list_per_second, MIN_CALLS_PER_SECOND)))
        if malformed or page is not None:
            self.host.log(LogEvent.LIST_INCOMPLETE, malformed=malformed, count=len(rows))
        return rows

    def _stream(self) -> HttpClientConnection:
        return HttpClientConnection(host=self.host, address=self.deployment.list_address, wait=CALL_TIMEOUT)

    def replace(self, *, rows: dict[str, EngineEntry], requested_at: timedelta, origin: str) -> None:
        """Takes over a whole copy unless it is older, and computes the delta from the one before."""
        if requested_at <= self.requested_at:
            return
        self.requested_at, self.origin = requested_at, origin
        new_digest = digest_of(rows=rows)
        if new_digest == self.digest:
            return
        changed = [dataclasses.asdict(row) for name, row in rows.items() if self.rows.get(name) != row]
        gone = [name for name in self.rows if name not in rows]
        self.delta = {"from": self.digest, "changed": changed, "gone": gone}
        self.rows, self.previous_digest, self.digest = rows, self.digest, new_digest
        self.host.log(LogEvent.LIST_CHANGED, count=len(rows), leaving=sum(row.leaving for row in rows.values()))

    def merge_peer(self, *, digest: str, origin: str, requested_at: timedelta, delta: dict[str, Any] | None) -> bool:
        """Processes another daemon's report of its copy. Returns whether the whole copy must be fetched from it, which
        a known digest or a delta from this copy makes unnecessary."""
        if requested_at <= self.requested_at or not digest or origin == self.origin:
            return False
        if digest == self.digest:
            self.requested_at, self.origin = requested_at, origin
            return False
        if delta and delta["from"] == self.digest:
            rows = {name: row for name, row in self.rows.items() if name not in delta["gone"]}
            rows |= {fields["engine"]: EngineEntry(**fields) for fields in delta["changed"]}
            if digest_of(rows=rows) == digest:
                self.replace(rows=rows, requested_at=requested_at, origin=origin)
                return False
        return True

    def to_fields(self) -> list[dict[str, Any]]:
        """The rows as field mappings for messages."""
        return [dataclasses.asdict(row) for row in self.rows.values()]
