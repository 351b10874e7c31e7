"""Spreads what a daemon knows of the engines, and who is alive, in small datagrams; a data daemon also
looks at the engines that it watches."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.clock.gossip import Gossip
from dockmux.gossip.usage import UsageTable, watchers
from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import EngineUsage, UsageSummary
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.task_group import TaskGroup
from dockmux.runtime.time_units import ZERO, ms

LOOK_LIMIT = timedelta(milliseconds=600)
SPREAD_TO = 3


class Spread:
    """Invariants: an engine has at most one look under way; without `connection_pool` this daemon watches none."""

    def __init__(
        self,
        *,
        host: Host,
        settings: Settings,
        gossip: Gossip,
        task_group: TaskGroup,
        follower: Any,
        connection_pool: Any = None,
    ) -> None:
        self.host = host
        self.settings = settings
        self.gossip = gossip
        self.task_group = task_group
        self.connection_pool = connection_pool
        self.follower = follower
        self.table = UsageTable(host=host)
        self.looking: set[str] = set()
        self.states: dict[str, str] = {}

    def run(self) -> None:
        while True:
            summaries, self.gossip.summaries[:] = list(self.gossip.summaries), []
            for summary in summaries:
                self.table.fold(summary=summary)
            if self.connection_pool is not None:
                self._look()
                self._note_changes()
            self._tell()
            self.host.sleep(wait=ms(self.settings.rumourMs))

    def _look(self) -> None:
        peers = self.gossip.peers
        daemons = [card.name for card in peers.standing() if card.role == "edge"] + [peers.card.name]
        for engine in self.follower.engines:
            name = engine["engine"]
            if peers.card.name in watchers(engine=name, daemons=sorted(daemons)) and name not in self.looking:
                self.looking.add(name)
                self.task_group.start(task=self._look_at, engine=engine)

    def _look_at(self, *, engine: dict[str, Any]) -> None:
        before = self.host.elapsed()
        name = engine["engine"]
        try:
            with time_limit(wait=LOOK_LIMIT):
                told = self.connection_pool.status(engine=engine)
            usage = EngineUsage(
                engine=name, incarnation=told["incarnation"], phase=told["phase"], running=told["running"],
                queued=told["queued"], leaving=bool(told["leaving"] or engine.get("leaving")),
                reachable=True, capacity=told["capacity"], ageMs=0,
            )  # fmt: skip
        except (OSError, KeyError, TypeError, ValueError):
            usage = EngineUsage(
                engine=name, incarnation="", phase="", running=0, queued=0, leaving=False, reachable=False,
                capacity=0, ageMs=0,
            )  # fmt: skip
        finally:
            self.looking.discard(name)
        # The look is as old as its asking.
        aged = max(self.host.elapsed() - before, ZERO)
        self.table.take(usage=dataclasses.replace(usage, ageMs=-(-aged // ms(1))))

    def _tell(self) -> None:
        peers = self.gossip.peers
        live = peers.standing()
        summary = UsageSummary(sender=peers.card, engines=self.table.summary(), peers=peers.few()[:3])
        targets = [card.address for card in live] or peers.contacts()
        chosen = self.host.random.sample(targets, min(SPREAD_TO, len(targets)))
        if peers.card.role == "core":
            # Control daemons know each other by this alone: among many peers a drawn few would miss them for too long.
            chosen += [card.address for card in live if card.role == "core" and card.address not in chosen]
        probe = peers.probe()
        if probe and probe not in chosen:
            chosen.append(probe)
        self.gossip.send_all(addresses=chosen, message=summary)

    def _note_changes(self) -> None:
        for engine in self.follower.engines:
            usage = self.table.fresh(engine=engine["engine"])
            state = "not seen"
            if usage is not None:
                state = "leaving" if usage.leaving else usage.phase if usage.reachable else "dark"
            if self.states.get(engine["engine"]) != state:
                self.states[engine["engine"]] = state
                self.host.log(LogEvent.ENGINE_CHANGED, engine=engine["engine"], state=state)
