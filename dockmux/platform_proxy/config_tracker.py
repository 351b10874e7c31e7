"""Follows the control plane: the newest configuration, and the other daemons."""

import dataclasses
from datetime import timedelta
from typing import Any

from dockmux.clock.gossip_endpoint import GossipEndpoint
from dockmux.platform_proxy.protocol_adapter import ProtocolAdapter
from dockmux.platform_proxy.routes import BadConfig, RouteTable
from dockmux.runtime.condition import Condition
from dockmux.runtime.config import Config, config_from
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import NewsAsk, NewsReply, PeerCard
from dockmux.runtime.rpc import RpcClient
from dockmux.runtime.time_units import ms

LONG_POLL_MS = 900
LONG_POLL_TIMEOUT = timedelta(milliseconds=1400)
FIRST_POLL_TIMEOUT = timedelta(milliseconds=500)
RETRY_PAUSE = timedelta(milliseconds=60)


class ConfigTracker:
    """Keeps the newest known configuration in use. Invariants: `table` is the newest configuration received from any
    daemon and never goes back to an older one; daemons only pass on acknowledged configurations, so each is used as
    soon as it is known. Without contact to the control plane the last one stays in use."""

    def __init__(self, *, host: Host, gossip: GossipEndpoint, rpc_client: RpcClient, protocol: ProtocolAdapter) -> None:
        self.host = host
        self.gossip = gossip
        self.rpc_client = rpc_client
        self.protocol = protocol
        self.config: Config | None = None
        self.table: RouteTable | None = None
        self.config_changed = Condition()
        self.members: list[PeerCard] = []
        self.members_digest = "none"
        self.confirmed_at = -ms(10_000_000)
        self.connected = False
        self.head = ""

    @property
    def mark(self) -> int:
        """The mark of the configuration in use, 0 without one."""
        return self.config.mark if self.config else 0

    def cores(self) -> list[str]:
        """Addresses of the live control daemons, or the seeds while none is known."""
        core_addresses = sorted(card.address for card in self.gossip.peers.live_cards() if card.role == "core")
        return core_addresses or list(self.gossip.peers.seeds)

    def run(self) -> None:
        """Long-polls a control daemon for newer configurations, without end; switches to another one when it fails or
        has lost contact with the others."""
        core = ""
        while True:
            cores = self.cores()
            if core not in cores:
                core = self.host.random.choice(cores)
                self.connected = False
            if not self._poll(address=core):
                others = [address for address in cores if address != core]
                core = self.host.random.choice(others or cores)
                self.connected = False
                self.host.sleep(wait=RETRY_PAUSE * self.host.random.uniform(0.5, 1.5))

    def _poll(self, *, address: str) -> bool:
        # The first poll returns at once, so that a dead daemon is detected early.
        hold_ms, timeout = (LONG_POLL_MS, LONG_POLL_TIMEOUT) if self.connected else (0, FIRST_POLL_TIMEOUT)
        request = NewsAsk(
            mark=self.mark, holdMs=hold_ms, sender=self.gossip.peers.own_card(), newest=True,
            members=self.members_digest,
        )  # fmt: skip
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=timeout)
        except OSError:
            return False
        if not isinstance(reply, NewsReply):
            return False
        self.apply_reply(reply=reply)
        if reply.granted:
            self.confirmed_at = self.host.elapsed()
            self.connected = True
            self.head = reply.head
        return reply.granted

    def apply_reply(self, *, reply: NewsReply) -> None:
        """Takes over the members and configurations of a reply."""
        if reply.members:
            self.members, self.members_digest = reply.members, reply.members_digest
        if reply.members_digest and reply.members_digest == self.members_digest:
            # The control daemon confirms that their sessions are live now.
            for card in self.members:
                self.gossip.peers.observe(card=dataclasses.replace(card, ageMs=0))
        for fields in (reply.news or {}).get("configs", []):
            self._adopt(config=config_from(fields=fields))

    def _adopt(self, *, config: Config) -> None:
        if config.mark <= self.mark or "text" not in config.tree:
            return
        try:
            self.table = self.protocol.parse_config(text=config.tree["text"])
        except BadConfig as error:
            self.host.log(LogEvent.CONFIG_UNUSABLE, version=config.version, error=error)
            return
        self.config = config
        self.host.log(LogEvent.CONFIG_IN_USE, version=config.version)
        self.config_changed.notify_all()

    def poll_peer(self, *, address: str) -> None:
        """Fetches the configuration of a peer that reported a newer one."""
        request = NewsAsk(mark=self.mark, holdMs=0, sender=self.gossip.peers.own_card(), newest=True)
        try:
            reply = self.rpc_client.call(address=address, request=request, wait=FIRST_POLL_TIMEOUT)
        except OSError:
            return
        if isinstance(reply, NewsReply):
            self.apply_reply(reply=reply)

    def on_news(self, *, request: NewsAsk) -> NewsReply:
        """Answers a peer with this daemon's configuration if it is newer than the peer's."""
        news: dict[str, Any] | None = None
        if self.config is not None and self.config.mark > request.mark:
            news = {"configs": [self.config.fields()]}
        return NewsReply(granted=False, mark=self.mark, ageMs=0, heldMs=0, news=news)
