"""A daemon's own table of live peers, built from the seeds and from received gossip."""

import dataclasses
import hashlib
import random
import re
from datetime import timedelta

from dockmux.runtime.host import Host
from dockmux.runtime.messages import PeerCard
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import ms, to_ms

MAX_SHARED_CARDS = 6
MAX_PEERS = 4096
ADDRESS_PATTERN = re.compile(r"[0-9]{1,3}(?:\.[0-9]{1,3}){3}:[0-9]{1,5}")
# How long a silent peer remains a candidate for `probe_address`.
LOST_PEER_RETENTION = timedelta(minutes=10)


def members_digest(*, cards: list[PeerCard]) -> str:
    """A short hash of a set of members by address, incarnation and disk; independent of order and age."""
    identities = ",".join(sorted(f"{card.address} {card.incarnation} {card.disk}" for card in cards))
    return hashlib.sha256(identities.encode()).hexdigest()[:12]


class PeerTable:
    """Invariants:
    - `cards` and `last_heard` are keyed by the peer's address and never contain this daemon;
    - `last_heard` is when the peer last sent anything, in this host's monotonic time; a forwarded card keeps
      its age, so that forwarding never makes an entry younger;
    - `last_heard` and `heard_while_running` say when each was last heard of, in monotonic time and in the running time
      of this process; a peer counts as silent by the second;
    - `lost_at` maps the addresses of silent peers to the time at which they were removed; none of them is live.
    """

    def __init__(self, *, host: Host, settings: Settings, card: PeerCard) -> None:
        self.host = host
        self.settings = settings
        self.card = card
        self.seeds = list(settings.seeds)
        self.cards: dict[str, PeerCard] = {}
        self.last_heard: dict[str, timedelta] = {}
        self.heard_while_running: dict[str, timedelta] = {}
        self.lost_at: dict[str, timedelta] = {}

    def own_card(self) -> PeerCard:
        """The card of this daemon itself."""
        return self.card

    def observe(self, *, card: PeerCard) -> None:
        """Stores a received card, unless it is expired or the table has a newer one."""
        if card.address == self.card.address:
            return
        if card.address not in self.cards and not self._may_add(address=card.address):
            return
        heard = self.host.elapsed() - ms(card.ageMs)
        known = self.last_heard.get(card.address)
        if heard <= self.host.elapsed() - ms(self.settings.peerSilenceMs):
            return
        if known is None or heard > known:
            self.cards[card.address] = card
            self.last_heard[card.address] = heard
            self.heard_while_running[card.address] = self.host.running_elapsed() - ms(card.ageMs)
            self.lost_at.pop(card.address, None)

    def _may_add(self, *, address: str) -> bool:
        """Whether there is room for another peer, and messages can be sent to it."""
        return len(self.cards) < MAX_PEERS and ADDRESS_PATTERN.fullmatch(address) is not None

    def live_cards(self) -> list[PeerCard]:
        """The cards of live peers, sorted by address, with their ages as received. Removes silent peers."""
        limit = self.host.running_elapsed() - ms(self.settings.peerSilenceMs)
        for address in [a for a, heard in self.heard_while_running.items() if heard < limit]:
            del self.heard_while_running[address], self.last_heard[address], self.cards[address]
            if len(self.lost_at) < MAX_PEERS:
                self.lost_at[address] = self.host.elapsed()
        return [self.cards[a] for a in sorted(self.cards)]

    def _with_current_ages(self, *, cards: list[PeerCard]) -> list[PeerCard]:
        """Copies of the cards with their ages as of now."""
        now = self.host.elapsed()
        return [dataclasses.replace(card, ageMs=to_ms(now - self.last_heard[card.address])) for card in cards]

    def live_cards_with_age(self) -> list[PeerCard]:
        """The cards of live peers with their current ages, for passing on to other daemons."""
        return self._with_current_ages(cards=self.live_cards())

    def sample_cards(self) -> list[PeerCard]:
        """Up to MAX_SHARED_CARDS random live peers, with their current ages."""
        live = self.live_cards()
        return self._with_current_ages(cards=self.host.random.sample(live, min(MAX_SHARED_CARDS, len(live))))

    def probe_address(self) -> str | None:
        """A random address that is not live but may answer: a seed, or a peer lost within LOST_PEER_RETENTION.

        Without these probes, the two sides of a network partition that lasts longer than `peerSilenceMs` would
        never rejoin. None if there is no such address.
        """
        limit = self.host.elapsed() - LOST_PEER_RETENTION
        self.lost_at = {address: at for address, at in self.lost_at.items() if at > limit}
        seeds = [s for s in self.seeds if s != self.card.address and s not in self.cards]
        absent = sorted({*self.lost_at, *seeds})
        return self.host.random.choice(absent) if absent else None

    def contact_addresses(self) -> list[str]:
        """The addresses of live peers, or the seeds while there are none."""
        addresses = [card.address for card in self.live_cards()]
        return addresses or [seed for seed in self.seeds if seed != self.card.address]


def test_a_silent_peer_expires_and_forwarded_cards_do_not_refresh_it():
    from dockmux.clock.clock import _ManualHost

    host = _ManualHost()
    host.random = random.Random(1)
    settings = Settings(
        name="a",
        site="s",
        address="127.0.0.1:1",
        http="127.0.0.1:2",
        seeds=["127.0.0.1:9"],
        peerSilenceMs=5000,
    )
    card = PeerCard(name="a", role="r", site="s", address="127.0.0.1:1", http="127.0.0.1:2", incarnation="i", ageMs=0)
    other = dataclasses.replace(card, name="b", address="127.0.0.1:3")
    peers = PeerTable(host=host, settings=settings, card=card)
    peers.observe(card=card)
    assert peers.live_cards_with_age() == [] and peers.contact_addresses() == ["127.0.0.1:9"]
    peers.observe(card=other)
    host.time += ms(4000)
    peers.observe(card=dataclasses.replace(other, ageMs=4500))
    assert [c.ageMs for c in peers.live_cards_with_age()] == [4000] and peers.contact_addresses() == ["127.0.0.1:3"]
    host.time += ms(1001)
    peers.observe(card=dataclasses.replace(other, ageMs=5001))
    assert peers.live_cards_with_age() == []
    assert {peers.probe_address() for _ in range(40)} == {"127.0.0.1:3", "127.0.0.1:9"}
    peers.observe(card=other)
    assert {peers.probe_address() for _ in range(40)} == {"127.0.0.1:9"}
    host.time += ms(6000)
    assert peers.live_cards_with_age() == []
    host.time += LOST_PEER_RETENTION
    assert {peers.probe_address() for _ in range(40)} == {"127.0.0.1:9"}
