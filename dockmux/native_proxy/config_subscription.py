"""Subscription to the control plane: the configuration in use, the engine list, and the lease under which they hold."""

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

LONG_POLL_MS = 150
POLL_TIMEOUT = timedelta(milliseconds=500)
# Other edges are polled when no core answers and less than this fraction of the lease is left, before it expires.
PEER_POLL_LEASE_FRACTION = 0.75
# A call may arrive a quarter of a second after its configuration stopped being current; this stays below.
DELIVERY_GRACE = timedelta(milliseconds=100)


class ConfigSubscription:
    """Invariants (times are monotonic):
    - until `lease_expires_at`, `permitMs` after `confirmed_at`, no change is in force that this daemon doesn't know of;
      new sends stop there;
    - `confirmed_at` is the latest time at which what is held here was known to be the newest;
    - `changing_phase` names engines that are changing phase; no new calls are sent to them;
    - `configs` are sorted by mark; `usable_from[mark]` is when the leases of all daemons that don't know the mark have
      expired.
    """

    def __init__(self, *, host: Host, settings: Settings, gossip: GossipEndpoint, rpc_client: RpcClient) -> None:
        self.host = host
        self.settings = settings
        self.gossip = gossip
        self.rpc_client = rpc_client
        self.lease_duration = ms(settings.permitMs)
        self.mark = 0
        self.configs: list[Config] = []
        self.usable_from: dict[int, timedelta] = {}
        self.engines: list[dict[str, Any]] = []
        self.changing_phase: dict[str, str] = {}
        self.confirmed_at = -UNBOUNDED
        self.lease_was_valid = False

    @property
    def lease_expires_at(self) -> timedelta:
        """End of the lease."""
        return self.confirmed_at + self.lease_duration

    def lease_valid(self) -> bool:
        """Whether new calls may be sent under what is known here."""
        return self.host.elapsed() < self.lease_expires_at

    def current_config(self) -> Config | None:
        """The configuration that may be used now. None without a lease or a synchronized clock, before the first
        configuration, and during the short switch of the fleet from one to the next."""
        if not self.lease_valid() or not self.gossip.ready():
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
        if now - bound < chosen.activate or self.host.elapsed() < self.usable_from[chosen.mark]:
            return None
        return chosen

    def call_valid_until(self) -> timedelta:
        """The monotonic time until which a call sent now may reach its engine: while the configuration in use is
        certain to be current, and DELIVERY_GRACE longer."""
        until = self.lease_expires_at
        now = self.gossip.clock.issue_time()
        for config in self.configs:
            if config.activate > now:
                until = min(until, self.host.elapsed() + (config.activate - now))
                break
        return until + DELIVERY_GRACE

    def run(self) -> None:
        """Long-polls a core for changes after `mark`, forever; polls another edge when no core answers."""
        core = ""
        while True:
            cores = sorted(card.address for card in self.gossip.peers.live_cards() if card.role == "core")
            if core not in cores:
                core = self.host.random.choice(cores) if cores else ""
            if not core or not self._poll(address=core, hold_ms=LONG_POLL_MS):
                others = [address for address in cores if address != core]
                core = self.host.random.choice(others) if others else ""
                if self.lease_expires_at - self.host.elapsed() < self.lease_duration * PEER_POLL_LEASE_FRACTION:
                    self._poll_peer()
                self.host.sleep(wait=ms(20 + self.host.random.randrange(60)))
            self._log_lease_change()

    def _poll(self, *, address: str, hold_ms: int) -> bool:
        """One poll; whether the lease was granted."""
        sent_at = self.host.elapsed()
        request = NewsAsk(mark=self.mark, holdMs=hold_ms, sender=self.gossip.peers.own_card())
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=POLL_TIMEOUT)
        except OSError:
            return False
        if not isinstance(reply, NewsReply) or not reply.granted:
            return False
        self._apply_reply(reply=reply, sent_at=sent_at)
        return True

    def _poll_peer(self) -> None:
        edges = [card.address for card in self.gossip.peers.live_cards() if card.role == "edge"]
        if edges:
            self._poll(address=self.host.random.choice(edges), hold_ms=0)

    def _apply_reply(self, *, reply: NewsReply, sent_at: timedelta) -> None:
        """Extends the lease from the time the poll was sent, less the age of what the reply holds."""
        if reply.news is not None:
            self._apply_news(news=reply.news, held_ms=reply.heldMs)
        if reply.mark >= self.mark:
            self.mark = reply.mark
            self.confirmed_at = max(self.confirmed_at, sent_at - ms(reply.ageMs))

    def _apply_news(self, *, news: dict[str, Any], held_ms: int) -> None:
        """Takes in new configurations, the engine list and phase changes. The sender has had the newest
        configuration for `held_ms`, which shortens the wait before its use."""
        known = {config.mark for config in self.configs}
        received = sorted((config_from(fields=f) for f in news["configs"]), key=lambda c: c.mark)
        for config in received:
            if config.mark in known:
                continue
            newest = config.mark == received[-1].mark
            held = min(ms(held_ms), self.lease_duration) if newest else ZERO
            self.usable_from[config.mark] = self.host.elapsed() + self.lease_duration - held
            self.configs.append(config)
            self.host.log(LogEvent.CONFIG_RECEIVED, mark=config.mark, activate=config.activate.isoformat())
        self.configs.sort(key=lambda config: config.mark)
        for config in self.configs[:-CONFIGS_KEPT]:
            del self.usable_from[config.mark]
        self.configs = self.configs[-CONFIGS_KEPT:]
        self.changing_phase = news["moving"]
        if "engines" in news:
            self.engines = news["engines"]

    def _log_lease_change(self) -> None:
        valid = self.lease_valid()
        if valid != self.lease_was_valid:
            self.lease_was_valid = valid
            self.host.log(LogEvent.PERMISSION_RESTORED if valid else LogEvent.PERMISSION_LOST)

    def answer_news(self, *, request: NewsAsk) -> NewsReply:
        """Answers an edge that reaches no core: what this daemon knows, with its age."""
        age = self.host.elapsed() - self.confirmed_at
        news = None
        if self.mark > request.mark:
            news = {
                "configs": [c.fields() for c in self.configs if c.mark > request.mark],
                "engines": self.engines,
                "moving": self.changing_phase,
            }
        held = (
            self.host.elapsed() - self.usable_from[self.configs[-1].mark] + self.lease_duration
            if self.configs
            else ZERO
        )
        return NewsReply(
            granted=age < self.lease_duration,
            mark=self.mark,
            ageMs=min(to_ms(age), 86_400_000),
            heldMs=max(held // ms(1), 0),
            news=news,
        )
