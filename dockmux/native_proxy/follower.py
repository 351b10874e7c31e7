"""Follows the control plane: the configuration in use, the engine list, and until when they may be used."""

from datetime import timedelta
from typing import Any

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.runtime.config import CONFIGS_KEPT, Config, config_from
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import NewsAsk, NewsReply
from dockmux.runtime.rpc import RpcClient
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import UNBOUNDED, ZERO, ms, to_ms

HOLD_MS = 150
ASK_LIMIT = timedelta(milliseconds=500)
# With no more than this part of a permission left and no core that answers, a peer is asked: before it lapses.
PEER_FROM = 0.75
LATE_GRACE = timedelta(milliseconds=100)


class Follower:
    """Invariants:
    - `until` is a monotonic time up to which no change can have been in force that this daemon does not
      know of; new sends stop there;
    - `moving` names engines that are changing phase; no new work is sent to them;
    - `configs` are in the order of their marks; `usable[mark]` is the monotonic time from which every daemon
      that does not know the mark must have stopped.
    """

    def __init__(self, *, host: Host, settings: Settings, gossip: GossipEndpoint, rpc_client: RpcClient) -> None:
        self.host = host
        self.settings = settings
        self.gossip = gossip
        self.rpc_client = rpc_client
        self.lease = ms(settings.permitMs)
        self.mark = 0
        self.configs: list[Config] = []
        self.usable: dict[int, timedelta] = {}
        self.engines: list[dict[str, Any]] = []
        self.moving: dict[str, str] = {}
        self.known_at = -UNBOUNDED
        self.had = False

    @property
    def until(self) -> timedelta:
        return self.known_at + self.lease

    def permitted(self) -> bool:
        return self.host.elapsed() < self.until

    def current(self) -> Config | None:
        """The configuration that may be used now; None while there is none, or in the short time in which
        the fleet goes from one to the next."""
        if not self.permitted() or not self.gossip.ready():
            return None
        now = self.gossip.clock.issue_time()
        bound = self.gossip.clock.bound()
        chosen = None
        for config in self.configs:
            if now + bound < config.activate:
                break
            chosen = config
        if chosen is None:
            return None
        if now - bound < chosen.activate or self.host.elapsed() < self.usable[chosen.mark]:
            return None
        return chosen

    def valid_until(self) -> timedelta:
        """The monotonic time up to which a leg sent now may reach its engine: while the configuration in use surely
        holds, and a little longer, which the quarter second of rule 8 allows."""
        until = self.until
        now = self.gossip.clock.issue_time()
        for config in self.configs:
            if config.activate > now:
                until = min(until, self.host.elapsed() + (config.activate - now))
                break
        return until + LATE_GRACE

    def run(self) -> None:
        """Asks a control daemon with the mark that it has, for ever; a peer when none can be reached."""
        core = ""
        while True:
            cores = sorted(card.address for card in self.gossip.peers.live_cards() if card.role == "core")
            if core not in cores:
                core = self.host.random.choice(cores) if cores else ""
            if not core or not self._ask(address=core, holdMs=HOLD_MS):
                others = [address for address in cores if address != core]
                core = self.host.random.choice(others) if others else ""
                if self.until - self.host.elapsed() < self.lease * PEER_FROM:
                    self._ask_a_peer()
                self.host.sleep(wait=ms(20 + self.host.random.randrange(60)))
            self._note_permission()

    def _ask(self, *, address: str, holdMs: int) -> bool:
        sent = self.host.elapsed()
        request = NewsAsk(mark=self.mark, holdMs=holdMs, sender=self.gossip.peers.own_card())
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=ASK_LIMIT)
        except OSError:
            return False
        if not isinstance(reply, NewsReply) or not reply.granted:
            return False
        self._take(reply=reply, sent=sent)
        return True

    def _ask_a_peer(self) -> None:
        edges = [card.address for card in self.gossip.peers.live_cards() if card.role == "edge"]
        if edges:
            self._ask(address=self.host.random.choice(edges), holdMs=0)

    def _take(self, *, reply: NewsReply, sent: timedelta) -> None:
        if reply.news is not None:
            self._learn(news=reply.news, heldMs=reply.heldMs)
        if reply.mark >= self.mark:
            self.mark = reply.mark
            self.known_at = max(self.known_at, sent - ms(reply.ageMs))

    def _learn(self, *, news: dict[str, Any], heldMs: int) -> None:
        known = {config.mark for config in self.configs}
        fresh = sorted((config_from(fields=f) for f in news["configs"]), key=lambda c: c.mark)
        for config in fresh:
            if config.mark in known:
                continue
            newest = config.mark == fresh[-1].mark
            held = min(ms(heldMs), self.lease) if newest else ZERO
            self.usable[config.mark] = self.host.elapsed() + self.lease - held
            self.configs.append(config)
            self.host.log(LogEvent.CONFIG_RECEIVED, mark=config.mark, activate=config.activate.isoformat())
        self.configs.sort(key=lambda config: config.mark)
        for config in self.configs[:-CONFIGS_KEPT]:
            del self.usable[config.mark]
        self.configs = self.configs[-CONFIGS_KEPT:]
        self.moving = news["moving"]
        if "engines" in news:
            self.engines = news["engines"]

    def _note_permission(self) -> None:
        has = self.permitted()
        if has != self.had:
            self.had = has
            self.host.log(LogEvent.PERMISSION_RESTORED if has else LogEvent.PERMISSION_LOST)

    def on_news(self, *, request: NewsAsk) -> NewsReply:
        """For a daemon that reaches no core: what this one knows, with its age."""
        age = self.host.elapsed() - self.known_at
        news = None
        if self.mark > request.mark:
            news = {
                "configs": [c.fields() for c in self.configs if c.mark > request.mark],
                "engines": self.engines,
                "moving": self.moving,
            }
        held = self.host.elapsed() - self.usable[self.configs[-1].mark] + self.lease if self.configs else ZERO
        return NewsReply(
            granted=age < self.lease,
            mark=self.mark,
            ageMs=min(to_ms(age), 86_400_000),
            heldMs=max(held // ms(1), 0),
            news=news,
        )
