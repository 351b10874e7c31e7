"""Tracks which engines are failing, from this daemon's own requests and from reports of other daemons."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.runtime.codec import check_number
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.time_units import ms, to_ms

# Delay before a failing engine is probed; it doubles with each failed probe.
FIRST_PROBE_DELAY = timedelta(milliseconds=800)
MAX_PROBE_DELAY = timedelta(seconds=3)
MAX_FAILURES = 8
OBSERVATION_TTL = timedelta(seconds=20)
# Time within which a peer's report of a failing engine must be renewed after its delay.
PEER_RENEWAL_TIME = timedelta(seconds=3)


@dataclasses.dataclass(kw_only=True)
class HealthObservation:
    """The newest observation of an engine. Invariants: `observed_at` is its monotonic time, never later than the true
    one; `is_local` says that this daemon made it; it then probes a failing engine once `failing_until` has passed."""

    healthy: bool
    observed_at: timedelta
    failing_until: timedelta
    failures: int
    is_local: bool


class EngineHealth:
    """Holds the newest observation by engine. Invariant: of two observations the later one counts, whichever
    daemon made it."""

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.rows: dict[str, HealthObservation] = {}

    def is_failing(self, *, engine: str) -> bool:
        """Whether the engine should get no new requests while there are others."""
        row = self.rows.get(engine)
        if row is None or row.healthy:
            return False
        # The daemon that observed the failure renews its report while it lasts; without renewal the report expires.
        return row.is_local or self.host.elapsed() < row.failing_until + PEER_RENEWAL_TIME

    def note_failure(self, *, engine: str, why: str) -> None:
        """Records a failed request or probe, and schedules the next probe."""
        now = self.host.elapsed()
        row = self.rows.get(engine)
        if row is not None and not row.healthy and row.is_local and now < row.failing_until:
            # Requests that fail together count as one failure; only a failure after the delay lengthens it.
            row.observed_at = now
            return
        failures = 1 if row is None or row.healthy else min(row.failures + 1, MAX_FAILURES)
        delay = min(FIRST_PROBE_DELAY * 2 ** (failures - 1), MAX_PROBE_DELAY)
        delay = delay * self.host.random.uniform(0.8, 1.2)
        if row is None or row.healthy:
            self.host.log(LogEvent.ENGINE_FAILING, engine=engine, wait_ms=to_ms(delay), why=why)
        self.rows[engine] = HealthObservation(
            healthy=False, observed_at=now, failing_until=now + delay, failures=failures, is_local=True
        )

    def note_success(self, *, engine: str) -> None:
        """Records a successful request or probe."""
        row = self.rows.get(engine)
        if row is None or row.healthy:
            return
        now = self.host.elapsed()
        self.host.log(LogEvent.ENGINE_RECOVERED, engine=engine)
        self.rows[engine] = HealthObservation(
            healthy=True, observed_at=now, failing_until=now, failures=0, is_local=True
        )

    def due_for_probe(self) -> list[str]:
        """Engines that this daemon observed failing and whose probe delay is over."""
        now = self.host.elapsed()
        return [
            engine for engine, row in self.rows.items() if row.is_local and not row.healthy and now >= row.failing_until
        ]

    def summary(self) -> dict[str, list[int]]:
        """This daemon's observations by engine: 1 if healthy else 0, age in ms, and remaining delay in ms."""
        now = self.host.elapsed()
        self.rows = {engine: row for engine, row in self.rows.items() if now - row.observed_at < OBSERVATION_TTL}
        return {
            engine: [int(row.healthy), to_ms(now - row.observed_at), max(to_ms(row.failing_until - now), 0)]
            for engine, row in self.rows.items()
            if row.is_local
        }

    def update_from_peer(self, *, summary: dict[str, Any]) -> None:
        """Takes over the observations of another daemon's summary that are newer than the known ones."""
        now = self.host.elapsed()
        for engine, (healthy, age_ms, left_ms) in summary.items():
            row = self.rows.get(engine)
            observed_at = now - ms(check_number(age_ms))
            if row is not None and row.observed_at >= observed_at:
                continue
            failing_until = now + ms(check_number(left_ms))
            self.rows[engine] = HealthObservation(
                healthy=bool(healthy), observed_at=observed_at, failing_until=failing_until, failures=0, is_local=False
            )

    def forget(self, *, engines: set[str]) -> None:
        """Drops the observations of all engines but these."""
        self.rows = {engine: row for engine, row in self.rows.items() if engine in engines}
