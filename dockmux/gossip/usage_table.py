"""The latest known load of each engine, from this daemon's polls and from other daemons' summaries."""

import dataclasses
import hashlib
from datetime import timedelta

from dockmux.runtime.host import Host
from dockmux.runtime.messages import EngineUsage, UsageSummary
from dockmux.runtime.time_units import ms, to_ms

USAGE_TTL = timedelta(seconds=2)
WATCHERS_PER_ENGINE = 2


def watchers(*, engine: str, daemons: list[str]) -> list[str]:
    """The names of the daemons that poll an engine, chosen by rendezvous hashing."""

    def score(daemon: str) -> bytes:
        return hashlib.sha256(f"{engine}|{daemon}".encode()).digest()

    return sorted(daemons, key=score, reverse=True)[:WATCHERS_PER_ENGINE]


class UsageTable:
    """The latest observation of each engine, by engine name.

    Invariants: `observed_at` is when the watcher's poll began, in this host's monotonic time. It is never later than
    the reported age says; the transit and queueing time of a forwarded observation is not counted. An entry is
    replaced only by one with a later `observed_at`.
    """

    def __init__(self, *, host: Host) -> None:
        self.host = host
        self.entries: dict[str, EngineUsage] = {}
        self.observed_at: dict[str, timedelta] = {}

    def update(self, *, usage: EngineUsage) -> bool:
        """Stores an observation unless the table has one as recent; returns whether it was stored."""
        observed_at = self.host.elapsed() - ms(usage.ageMs)
        if usage.engine in self.observed_at and observed_at <= self.observed_at[usage.engine]:
            return False
        self.entries[usage.engine] = usage
        self.observed_at[usage.engine] = observed_at
        return True

    def recent(self, *, engine: str) -> EngineUsage | None:
        """The latest observation of an engine, or None if it is older than USAGE_TTL."""
        observed_at = self.observed_at.get(engine)
        if observed_at is None or self.host.elapsed() - observed_at > USAGE_TTL:
            return None
        return self.entries[engine]

    def summary(self) -> list[EngineUsage]:
        """All observations within USAGE_TTL, by engine name, with their current ages."""
        now = self.host.elapsed()
        return [
            dataclasses.replace(self.entries[engine], ageMs=to_ms(now - observed_at))
            for engine, observed_at in sorted(self.observed_at.items())
            if now - observed_at <= USAGE_TTL
        ]

    def merge(self, *, summary: UsageSummary) -> None:
        """Updates the table from another daemon's summary."""
        for usage in summary.engines:
            self.update(usage=usage)


def test_the_latest_observation_wins_and_expires_after_its_ttl():
    from dockmux.clock.clock import _ManualHost

    host = _ManualHost()
    table = UsageTable(host=host)
    base = EngineUsage(
        engine="e", incarnation="i", phase="prefill", running=1, queued=0, leaving=False, reachable=True,
        capacity=4, ageMs=100,
    )  # fmt: skip
    assert table.update(usage=base)
    assert not table.update(usage=dataclasses.replace(base, running=9, ageMs=101))
    assert table.update(usage=dataclasses.replace(base, running=2, ageMs=99))
    host.time += timedelta(seconds=1)
    assert [(u.running, u.ageMs) for u in table.summary()] == [(2, 1099)]
    host.time += timedelta(seconds=1)
    assert table.recent(engine="e") is None and table.summary() == []


def test_only_engines_of_a_rereassigned_daemon_change_watchers():
    daemons = [f"edge-{n}" for n in range(9)]
    engines = [f"e{n}" for n in range(40)]
    before = {e: watchers(engine=e, daemons=daemons) for e in engines}
    after = {e: watchers(engine=e, daemons=daemons[1:]) for e in engines}
    assert all(len(set(pair)) == 2 for pair in before.values())
    reassigned = [e for e in engines if before[e] != after[e]]
    assert reassigned == [e for e in engines if "edge-0" in before[e]]
