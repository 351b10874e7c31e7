"""The timestamp exchanges of one daemon, over UDP; the socket is shared with the load summaries."""

import dataclasses
import random
from datetime import timedelta
from typing import Any

from dockmux.clock.clock import Clock, Sample
from dockmux.clock.peers import Peers
from dockmux.clock.rate import ONE_CYCLE, Rate
from dockmux.runtime import codec
from dockmux.runtime.frames import FrameError, pack, unpack
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import ClockAsk, ClockReply, Moving, PeerCard, UsageSummary, WorkSummary
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import UNBOUNDED, ZERO, from_instant_us, instant_us, ms, to_ms, to_us, us

REPLY_LIMIT = timedelta(seconds=1)
BLANK_FOR = timedelta(seconds=1)
PULSE = timedelta(milliseconds=100)
FROZEN = timedelta(seconds=1)


class Gossip:
    """Invariants: `asked` holds the exchanges still open, by nonce: the monotonic time of T1, the address; an answer is
    used once; `blank` says when each peer last answered that it has no time to give. T1 and T4 are both put on the
    disciplined time as it is at T4, for it may have been stepped or slewed between them by another exchange, which
    delta and lambda would not show."""

    def __init__(self, *, host: Host, settings: Settings, peers: Peers, port: Any) -> None:
        self.host = host
        self.settings = settings
        self.peers = peers
        self.port = port
        self.clock = Clock(host=host, settings=settings)
        self.rate = Rate(settings=settings)
        self.asked: dict[str, tuple[timedelta, str]] = {}
        self.blank: dict[str, timedelta] = {}
        self.summaries: list[UsageSummary] = []
        # Kept only where a task takes them out.
        self.keeps_works = False
        self.moving: list[tuple[timedelta, Moving]] = []
        self.works: list[tuple[timedelta, WorkSummary]] = []

    def ready(self) -> bool:
        """Whether the time may be used for new work."""
        return self.clock.bound() <= ms(self.settings.boundLimitMs)

    def run_asking(self) -> None:
        """One exchange, then the wait that the rate gives, for ever. The wait is looked at again every
        pulse, so that a freeze or a first sample changes it at once."""
        last: timedelta | None = None
        while True:
            now = self.host.elapsed()
            if last is None or now - last >= self._wait():
                last = now
                self._ask()
            self.host.sleep(wait=min(PULSE, self._wait()))
            gap = self.host.elapsed() - now
            if gap > FROZEN:
                self.host.log(LogEvent.CLOCK_PAUSED, gapMs=to_ms(gap))
                self.asked.clear()
                self.clock.distrust()

    def _wait(self) -> timedelta:
        if self.clock.hops == 0 or self.clock.synchronized:
            return self.rate.wait
        return ONE_CYCLE * (1000 / self.settings.joinMilliHz)

    def _ask(self) -> None:
        now = self.host.elapsed()
        self.asked = {n: a for n, a in self.asked.items() if now - a[0] < REPLY_LIMIT}
        contacts = self.peers.contacts()
        if not contacts:
            return
        self._ask_at(address=self.host.random.choice(contacts))

    def nobody_has_the_time(self) -> bool:
        """Whether every live peer has said a short while ago that it has no time to give; asks those that have not."""
        now = self.host.elapsed()
        unheard = [
            card.address
            for card in self.peers.standing()
            if now - self.blank.get(card.address, -BLANK_FOR) >= BLANK_FOR
        ]
        for address in unheard:
            self._ask_at(address=address)
        return not unheard

    def _ask_at(self, *, address: str) -> None:
        nonce = f"{self.host.random.getrandbits(64):016x}"
        request = ClockAsk(nonce=nonce, sender=self.peers.me())
        self.asked[nonce] = (self.host.elapsed(), address)
        self.send(address=address, message=request)

    def send(self, *, address: str, message: Any) -> None:
        self.send_all(addresses=[address], message=message)

    def send_all(self, *, addresses: list[str], message: Any) -> None:
        """The same to each, packed once."""
        data = pack(data=codec.encode(message=message))
        for address in addresses:
            self.port.send(address=address, data=data)

    def run_receiving(self) -> None:
        while True:
            data, address = self.port.receive()
            arrived = self.host.elapsed()
            try:
                message = codec.decode(data=unpack(datagram=data))
            except (codec.MessageFormatError, FrameError) as error:
                self.host.log(LogEvent.BAD_FRAME, error=error)
                continue
            if isinstance(message, ClockAsk):
                self._answer(request=message, address=address, arrived=arrived)
            elif isinstance(message, ClockReply):
                self._take(reply=message, address=address, arrived=arrived)
            elif isinstance(message, UsageSummary):
                self.summaries.append(message)
            elif isinstance(message, WorkSummary) and self.keeps_works:
                self.works.append((arrived, message))
            elif isinstance(message, Moving) and self.keeps_works:
                self.moving.append((arrived, message))
            self._hear(sender=message.sender, address=address, peers=getattr(message, "peers", []))

    def _hear(self, *, sender: PeerCard, address: str, peers: list[PeerCard]) -> None:
        if sender.address == address:
            self.peers.hear(card=dataclasses.replace(sender, ageMs=0))
        for card in peers:
            self.peers.hear(card=card)

    def _answer(self, *, request: ClockAsk, address: str, arrived: timedelta) -> None:
        clock = self.clock
        known = clock.synchronized
        reply = ClockReply(
            nonce=request.nonce,
            sender=self.peers.me(),
            receivedUs=instant_us(clock.at(elapsed=arrived)),
            sentUs=instant_us(clock.now()),
            dispersionUs=to_us(clock.own_dispersion() if known else UNBOUNDED),
            precisionUs=to_us(clock.precision),
            correctionUs=to_us(clock.correction),
            sinceUpdateUs=to_us(clock.since_update() if known else ZERO),
            tolerancePpm=clock.tolerancePpm,
            hops=clock.hops,
            source_mark=clock.source_mark,
            peers=self.peers.few(),
        )
        self.send(address=address, message=reply)

    def _take(self, *, reply: ClockReply, address: str, arrived: timedelta) -> None:
        sent, asked = self.asked.pop(reply.nonce, (ZERO, ""))
        if asked != address or self.host.elapsed() - sent > REPLY_LIMIT:
            return
        sample = Sample(
            t1=self.clock.at(elapsed=sent),
            t2=from_instant_us(reply.receivedUs),
            t3=from_instant_us(reply.sentUs),
            t4=self.clock.at(elapsed=arrived),
            dispersion=us(reply.dispersionUs),
            precision=us(reply.precisionUs),
            correction=us(reply.correctionUs),
            since_update=us(reply.sinceUpdateUs),
            tolerancePpm=reply.tolerancePpm,
            hops=reply.hops,
            source_mark=reply.source_mark,
        )
        if sample.dispersion >= UNBOUNDED:
            self.blank[address] = arrived
        joining = not self.clock.synchronized
        used = self.clock.consider(sample=sample)
        if joining and used:
            self.host.log(LogEvent.CLOCK_SYNCHRONIZED, peer=reply.sender.name, boundMs=to_ms(self.clock.bound()))
        elif not joining:
            self.rate.note(offset=sample.offset, used=used)

    def report(self) -> dict[str, Any]:
        """What `edict clock` shows."""
        clock = self.clock
        return {
            "name": self.peers.me().name,
            "synchronized": clock.synchronized,
            "time": clock.now().isoformat(),
            "boundMs": to_ms(clock.bound()) if clock.synchronized else None,
            "correctionUs": to_us(clock.correction),
            "hops": clock.hops if clock.synchronized else None,
            "source_mark": clock.source_mark,
            "rateMilliHz": round(self.rate.milliHz, 3),
            "offsetUs": to_us(clock.now() - self.host.wall()),
            "peers": [card.name for card in self.peers.standing()],
        }


class _NoPort:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, *, address: str, data: bytes) -> None:
        self.sent.append(data)


def test_an_exchange_during_which_another_stepped_the_clock_is_worked_out_on_one_time():
    from dockmux.clock.clock import _Still

    fields = {"site": "s", "http": "127.0.0.1:9", "seeds": ["127.0.0.1:2"]}
    ends = []
    for name, address, aheadUs in (("a", "127.0.0.1:1", 0), ("b", "127.0.0.1:2", 80_000)):
        settings = Settings(name=name, address=address, **fields)
        host = _Still()
        host.random = random.Random(name)
        card = PeerCard(name=name, role="edge", site="s", address=address, http=address, incarnation=name, ageMs=0)
        peers = Peers(host=host, settings=settings, card=card)
        ends.append(Gossip(host=host, settings=settings, peers=peers, port=_NoPort()))
        ends[-1].clock.base += us(aheadUs)
    here, there = ends
    there.clock.lead(mark=1, not_before=there.clock.now())

    def pass_time(*, wait: timedelta) -> None:
        for end in ends:
            end.host.time += wait

    def carry(*, data: bytes, to: Gossip, source: Gossip) -> None:
        message = codec.decode(data=unpack(datagram=data))
        answer = to._answer if isinstance(message, ClockAsk) else to._take
        words = {"request": message} if isinstance(message, ClockAsk) else {"reply": message}
        answer(**words, address=source.settings.address, arrived=to.host.elapsed())

    # Two exchanges are open at once; the one asked later is answered first, and the clock steps by it.
    here._ask()
    pass_time(wait=ms(200))
    here._ask()
    pass_time(wait=ms(1))
    carry(data=here.port.sent[1], to=there, source=here)
    pass_time(wait=ms(1))
    carry(data=there.port.sent[0], to=here, source=there)
    assert abs(here.clock.now() - there.clock.now()) <= here.clock.bound()
    carry(data=here.port.sent[0], to=there, source=here)
    here.clock.dispersion = ms(500)  # as after a long silence, so that any sample is adopted
    pass_time(wait=ms(10))
    carry(data=there.port.sent[1], to=here, source=there)
    assert abs(here.clock.now() + here.clock.correction - there.clock.now()) <= here.clock.bound()
    assert here.clock.bound() - abs(here.clock.correction) < ms(110)  # half of the exchange's 212 ms
