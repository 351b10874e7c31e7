"""The list of live peers that a daemon makes for itself from seeds and replies."""

import dataclasses
import hashlib
import random
from datetime import timedelta

from dockmux.runtime.host import Host
from dockmux.runtime.messages import PeerCard
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import ms, to_ms

SHARE_COUNT = 6
LOST_KEPT = timedelta(minutes=10)


def members_digest(*, cards: list[PeerCard]) -> str:
    """Tells one set of members from another, whatever their ages."""
    named = ",".join(sorted(f"{card.address} {card.incarnation} {card.disk}" for card in cards))
    return hashlib.sha256(named.encode()).hexdigest()[:12]


class Peers:
    """Invariants: a card is keyed by its address; `heard` is when its daemon last gave a sign of life, as
    this host's clock counts, and a card is never made younger by being passed on; this daemon itself is not
    in the table; `lost` holds addresses that fell silent, with when, none of them live."""

    def __init__(self, *, host: Host, settings: Settings, card: PeerCard) -> None:
        self.host = host
        self.settings = settings
        self.card = card
        self.seeds = list(settings.seeds)
        self.cards: dict[str, PeerCard] = {}
        self.heard: dict[str, timedelta] = {}
        self.lost: dict[str, timedelta] = {}

    def me(self) -> PeerCard:
        return self.card

    def hear(self, *, card: PeerCard) -> None:
        """Takes a card in, unless what is known is fresher."""
        if card.address == self.card.address:
            return
        heard = self.host.elapsed() - ms(card.ageMs)
        known = self.heard.get(card.address)
        if heard <= self.host.elapsed() - ms(self.settings.peerSilenceMs):
            return
        if known is None or heard > known:
            self.cards[card.address] = card
            self.heard[card.address] = heard
            self.lost.pop(card.address, None)

    def standing(self) -> list[PeerCard]:
        """The cards of peers that have not been silent, in a stable order; their ages are those they came with."""
        limit = self.host.elapsed() - ms(self.settings.peerSilenceMs)
        for address in [a for a, heard in self.heard.items() if heard < limit]:
            del self.heard[address], self.cards[address]
            self.lost[address] = self.host.elapsed()
        return [self.cards[a] for a in sorted(self.cards)]

    def _aged(self, *, cards: list[PeerCard]) -> list[PeerCard]:
        now = self.host.elapsed()
        return [dataclasses.replace(card, ageMs=to_ms(now - self.heard[card.address])) for card in cards]

    def live(self) -> list[PeerCard]:
        """The same with their ages now, as they are passed on."""
        return self._aged(cards=self.standing())

    def few(self) -> list[PeerCard]:
        standing = self.standing()
        return self._aged(cards=self.host.random.sample(standing, min(SHARE_COUNT, len(standing))))

    def probe(self) -> str | None:
        """One address that is not live and yet may answer: a seed, or a peer lost a while ago. Without it a
        fleet that was cut in two for longer than the silence would stay two."""
        limit = self.host.elapsed() - LOST_KEPT
        self.lost = {address: at for address, at in self.lost.items() if at > limit}
        seeds = [s for s in self.seeds if s != self.card.address and s not in self.cards]
        absent = sorted({*self.lost, *seeds})
        return self.host.random.choice(absent) if absent else None

    def contacts(self) -> list[str]:
        """Where to turn: live peers, or the seeds while there are none."""
        addresses = [card.address for card in self.standing()]
        return addresses or [seed for seed in self.seeds if seed != self.card.address]


def test_a_peer_expires_by_silence_and_second_hand_news_does_not_refresh_it():
    from dockmux.clock.clock import _Still

    host = _Still()
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
    peers = Peers(host=host, settings=settings, card=card)
    peers.hear(card=card)
    assert peers.live() == [] and peers.contacts() == ["127.0.0.1:9"]
    peers.hear(card=other)
    host.time += ms(4000)
    peers.hear(card=dataclasses.replace(other, ageMs=4500))
    assert [c.ageMs for c in peers.live()] == [4000] and peers.contacts() == ["127.0.0.1:3"]
    host.time += ms(1001)
    peers.hear(card=dataclasses.replace(other, ageMs=5001))
    assert peers.live() == []
    assert {peers.probe() for _ in range(40)} == {"127.0.0.1:3", "127.0.0.1:9"}
    peers.hear(card=other)
    assert {peers.probe() for _ in range(40)} == {"127.0.0.1:9"}
    host.time += ms(6000)
    assert peers.live() == []
    host.time += LOST_KEPT
    assert {peers.probe() for _ in range(40)} == {"127.0.0.1:9"}
