"""Gossips engine load and live peers in small datagrams. A data daemon also polls the engines that it watches."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.gossip.usage_table import UsageTable, watchers
from dockmux.runtime.codec import ignoring_malformed
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import EngineUsage, UsageSummary
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ZERO, ms

STATUS_TIMEOUT = timedelta(milliseconds=600)
GOSSIP_FANOUT = 3


class UsageGossip:
    """Merges the summaries of other daemons, polls the watched engines, and sends out its own summary.

    `engine_list` has the listed engines in its attribute `engines`.

    Invariants: at most one poll per engine is in progress; without `connection_pool` this daemon polls no engines.
    """

    def __init__(
        self,
        *,
        host: Host,
        settings: Settings,
        gossip: GossipEndpoint,
        task_group: TaskGroup,
        engine_list: Any,
        connection_pool: Any = None,
    ) -> None:
        self.host = host
        self.settings = settings
        self.gossip = gossip
        self.task_group = task_group
        self.connection_pool = connection_pool
        self.engine_list = engine_list
        self.table = UsageTable(host=host)
        self.polls_in_progress: set[str] = set()
        self.logged_states: dict[str, str] = {}

    def run(self) -> None:
        """One round every `rumourMs`, forever."""
        while True:
            summaries, self.gossip.usage_summaries[:] = list(self.gossip.usage_summaries), []
            for summary in summaries:
                with ignoring_malformed(host=self.host):
                    self.table.merge(summary=summary)
            if self.connection_pool is not None:
                self._poll_engines()
                self._log_state_changes()
            self._send_summary()
            self.host.sleep(wait=ms(self.settings.rumourMs))

    def _poll_engines(self) -> None:
        """Starts a poll of each engine that this daemon watches, unless one is in progress."""
        peers = self.gossip.peers
        daemons = [card.name for card in peers.live_cards() if card.role == "edge"] + [peers.card.name]
        for engine in self.engine_list.engines:
            name = engine["engine"]
            if peers.card.name in watchers(engine=name, daemons=sorted(daemons)) and name not in self.polls_in_progress:
                self.polls_in_progress.add(name)
                self.task_group.start(task=self._poll_engine, engine=engine)

    def _poll_engine(self, *, engine: dict[str, Any]) -> None:
        """Requests an engine's status; any failure marks the engine as unreachable."""
        started_at = self.host.elapsed()
        name = engine["engine"]
        try:
            with time_limit(wait=STATUS_TIMEOUT):
                status = self.connection_pool.status(engine=engine)
            usage = EngineUsage(
                engine=name, incarnation=status["incarnation"], phase=status["phase"], running=status["running"],
                queued=status["queued"], leaving=bool(status["leaving"] or engine.get("leaving")),
                reachable=True, capacity=status["capacity"], ageMs=0,
            )  # fmt: skip
        except (OSError, KeyError, TypeError, ValueError):
            usage = EngineUsage(
                engine=name, incarnation="", phase="", running=0, queued=0, leaving=False, reachable=False,
                capacity=0, ageMs=0,
            )  # fmt: skip
        finally:
            self.polls_in_progress.discard(name)
        # Age counts from the start of the request: the engine may have read its state at any time since then.
        age = max(self.host.elapsed() - started_at, ZERO)
        self.table.update(usage=dataclasses.replace(usage, ageMs=-(-age // ms(1))))

    def _send_summary(self) -> None:
        """Sends this daemon's summary to a few random peers and to one address that is not known to be live."""
        peers = self.gossip.peers
        live = peers.live_cards()
        summary = UsageSummary(sender=peers.card, engines=self.table.summary(), peers=peers.sample_cards()[:3])
        candidates = [card.address for card in live] or peers.contact_addresses()
        addresses = self.host.random.sample(candidates, min(GOSSIP_FANOUT, len(candidates)))
        if peers.card.role == "core":
            # Control daemons learn of each other only from these summaries. In a large fleet a small random sample
            # would reach the other control daemons too rarely.
            addresses += [card.address for card in live if card.role == "core" and card.address not in addresses]
        probe_address = peers.probe_address()
        if probe_address and probe_address not in addresses:
            addresses.append(probe_address)
        self.gossip.send_all(addresses=addresses, message=summary)

    def _log_state_changes(self) -> None:
        """Logs each engine's state when it differs from the last one logged."""
        for engine in self.engine_list.engines:
            usage = self.table.recent(engine=engine["engine"])
            state = "unknown"
            if usage is not None:
                state = "leaving" if usage.leaving else usage.phase if usage.reachable else "unreachable"
            if self.logged_states.get(engine["engine"]) != state:
                self.logged_states[engine["engine"]] = state
                self.host.log(LogEvent.ENGINE_CHANGED, engine=engine["engine"], state=state)
