"""Follows the control plane: the newest configuration, and who the other daemons are."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.clock.gossip import Gossip
from dockmux.platform_proxy.protocol_adapter import ProtocolAdapter
from dockmux.platform_proxy.routes import RouteTable
from dockmux.runtime.condition import Condition
from dockmux.runtime.config import Config, config_from
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import NewsAsk, NewsReply, PeerCard
from dockmux.runtime.rpc import RpcClient
from dockmux.runtime.time_units import ms

HOLD_MS = 900
ASK_LIMIT = timedelta(milliseconds=1400)
FIRST_LIMIT = timedelta(milliseconds=500)
AGAIN = timedelta(milliseconds=60)


class Tracker:
    """Invariants: `table` is the newest configuration that any daemon told of, never an older one than before;
    whatever is told of was acknowledged, so it is used as soon as it is known. Out of touch with the control plane
    the last one stays in use."""

    def __init__(self, *, host: Host, gossip: Gossip, rpc_client: RpcClient, protocol: ProtocolAdapter) -> None:
        self.host = host
        self.gossip = gossip
        self.rpc_client = rpc_client
        self.protocol = protocol
        self.config: Config | None = None
        self.table: RouteTable | None = None
        self.learned = Condition()
        self.members: list[PeerCard] = []
        self.digest = "none"
        self.granted_at = -ms(10_000_000)
        self.settled = False
        self.head = ""

    @property
    def mark(self) -> int:
        return self.config.mark if self.config else 0

    def cores(self) -> list[str]:
        """Control daemons: those that are known to live; the seeds while there are none."""
        known = sorted(card.address for card in self.gossip.peers.standing() if card.role == "core")
        return known or list(self.gossip.peers.seeds)

    def run(self) -> None:
        """Asks a control daemon with the mark that it has, for ever; another when that one fails or is itself out of
        touch with the others."""
        core = ""
        while True:
            cores = self.cores()
            if core not in cores:
                core = self.host.random.choice(cores)
                self.settled = False
            if not self._ask(address=core):
                others = [address for address in cores if address != core]
                core = self.host.random.choice(others or cores)
                self.settled = False
                self.host.sleep(wait=AGAIN * self.host.random.uniform(0.5, 1.5))

    def _ask(self, *, address: str) -> bool:
        # A first ask is not held, so that one that is dead shows soon.
        hold_ms, limit = (HOLD_MS, ASK_LIMIT) if self.settled else (0, FIRST_LIMIT)
        request = NewsAsk(
            mark=self.mark, holdMs=hold_ms, sender=self.gossip.peers.me(), newest=True, members=self.digest
        )  # fmt: skip
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=limit)
        except OSError:
            return False
        if not isinstance(reply, NewsReply):
            return False
        self.take(reply=reply)
        if reply.granted:
            self.granted_at = self.host.elapsed()
            self.settled = True
            self.head = reply.head
        return reply.granted

    def take(self, *, reply: NewsReply) -> None:
        if reply.members:
            self.members, self.digest = reply.members, reply.members_digest
        if reply.members_digest and reply.members_digest == self.digest:
            # Their sessions stand now.
            for card in self.members:
                self.gossip.peers.hear(card=dataclasses.replace(card, ageMs=0))
        for fields in (reply.news or {}).get("configs", []):
            self._learn(config=config_from(fields=fields))

    def _learn(self, *, config: Config) -> None:
        if config.mark <= self.mark or "text" not in config.tree:
            return
        self.config, self.table = config, self.protocol.parse_config(text=config.tree["text"])
        self.host.log(LogEvent.CONFIG_IN_USE, version=config.version)
        self.learned.notify_all()

    def ask_peer(self, *, address: str) -> None:
        """A peer said that it has a newer configuration."""
        request = NewsAsk(mark=self.mark, holdMs=0, sender=self.gossip.peers.me(), newest=True)
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=FIRST_LIMIT)
        except OSError:
            return
        if isinstance(reply, NewsReply):
            self.take(reply=reply)

    def on_news(self, *, request: NewsAsk) -> NewsReply:
        """For a peer: what this daemon has."""
        news: dict[str, Any] | None = None
        if self.config is not None and self.config.mark > request.mark:
            news = {"configs": [self.config.fields()]}
        return NewsReply(granted=False, mark=self.mark, ageMs=0, heldMs=0, news=news)
