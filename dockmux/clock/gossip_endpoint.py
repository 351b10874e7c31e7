"""One daemon's UDP gossip endpoint: it runs the timestamp exchanges of the clock and receives load summaries."""

import dataclasses
import random
from datetime import timedelta
from typing import Any

from dockmux.clock.clock import Clock, Sample
from dockmux.clock.exchange_rate import ONE_SECOND, ExchangeRate
from dockmux.clock.peer_table import PeerTable
from dockmux.runtime import codec
from dockmux.runtime.fair_reader import ReadTurn
from dockmux.runtime.frames import FrameError, pack, unpack
from dockmux.runtime.host import Host
from dockmux.runtime.log_events import LogEvent
from dockmux.runtime.messages import ClockAsk, ClockReply, Moving, PeerCard, UsageSummary, WorkSummary
from dockmux.runtime.settings_type import Settings
from dockmux.runtime.time_units import UNBOUNDED, ZERO, from_instant_us, instant_us, ms, to_ms, to_us, us

REPLY_TIMEOUT = timedelta(seconds=1)
# How long a peer's reply that it is not synchronized remains valid.
UNSYNCHRONIZED_REPLY_TTL = timedelta(seconds=1)
POLL_INTERVAL = timedelta(milliseconds=100)
# A pass of the exchange loop that takes longer than this counts as a freeze of the process.
FREEZE_THRESHOLD = timedelta(seconds=1)
# Values in one datagram, and the size of the datagrams that wait for the tasks that consume them.
MAX_DATAGRAM_VALUES = 20_000
MAX_PENDING_BYTES = 8 << 20


class GossipEndpoint:
    """Sends and receives gossip datagrams, and feeds the clock with the samples of its exchanges.

    Invariants:
    - `open_requests` holds the open exchanges by nonce: the monotonic time of T1 and the peer's address; a reply
      is used at most once;
    - `unsynchronized_replies` holds, by address, when a peer last replied that it is not synchronized;
    - T1 and T4 are both converted to disciplined time at T4, because another exchange may have stepped or slewed
      the clock between them, which delta and lambda would not show.
    """

    def __init__(self, *, host: Host, settings: Settings, peers: PeerTable, port: Any) -> None:
        self.host = host
        self.settings = settings
        self.peers = peers
        self.port = port
        self.clock = Clock(host=host, settings=settings)
        self.exchange_rate = ExchangeRate(settings=settings)
        self.open_requests: dict[str, tuple[timedelta, str]] = {}
        self.unsynchronized_replies: dict[str, timedelta] = {}
        self.pending_bytes = 0
        self.usage_summaries: list[UsageSummary] = []
        # Collected only in daemons with a task that consumes them; elsewhere the lists would grow without limit.
        self.collects_work_messages = False
        self.moving_notices: list[tuple[timedelta, Moving]] = []
        self.work_summaries: list[tuple[timedelta, WorkSummary]] = []

    def ready(self) -> bool:
        """Whether the clock's error bound is small enough to accept new work."""
        return self.clock.bound() <= ms(self.settings.boundLimitMs)

    def run_clock_exchanges(self) -> None:
        """Sends one request per exchange interval, forever. The interval is read again every POLL_INTERVAL, so
        that a freeze or a first sample changes it at once."""
        last: timedelta | None = None
        while True:
            now = self.host.elapsed()
            if last is None or now - last >= self._exchange_interval():
                last = now
                self._request_from_random_peer()
            self.host.sleep(wait=min(POLL_INTERVAL, self._exchange_interval()))
            gap = self.host.elapsed() - now
            if gap > FREEZE_THRESHOLD:
                self.host.log(LogEvent.CLOCK_PAUSED, gapMs=to_ms(gap))
                self.open_requests.clear()
                self.clock.mark_unsynchronized()

    def _exchange_interval(self) -> timedelta:
        """The interval of the exchange rate, or of the join rate while not synchronized."""
        if self.clock.hops == 0 or self.clock.synchronized:
            return self.exchange_rate.interval
        return ONE_SECOND * (1000 / self.settings.joinMilliHz)

    def _request_from_random_peer(self) -> None:
        """Drops requests that have timed out, then sends a new one to a random peer."""
        now = self.host.elapsed()
        self.open_requests = {n: a for n, a in self.open_requests.items() if now - a[0] < REPLY_TIMEOUT}
        addresses = self.peers.contact_addresses()
        if not addresses:
            return
        self._send_request(address=self.host.random.choice(addresses))

    def all_peers_unsynchronized(self) -> bool:
        """Whether every live peer has recently replied that it is not synchronized; sends requests to the others."""
        now = self.host.elapsed()
        remaining = [
            card.address
            for card in self.peers.live_cards()
            if now - self.unsynchronized_replies.get(card.address, -UNSYNCHRONIZED_REPLY_TTL)
            >= UNSYNCHRONIZED_REPLY_TTL
        ]
        for address in remaining:
            self._send_request(address=address)
        return not remaining

    def _send_request(self, *, address: str) -> None:
        nonce = f"{self.host.random.getrandbits(64):016x}"
        request = ClockAsk(nonce=nonce, sender=self.peers.own_card())
        self.open_requests[nonce] = (self.host.elapsed(), address)
        self.send(address=address, message=request)

    def send(self, *, address: str, message: Any) -> None:
        self.send_all(addresses=[address], message=message)

    def send_all(self, *, addresses: list[str], message: Any) -> None:
        """Sends one message to several addresses; it is encoded once."""
        data = pack(data=codec.encode(message=message))
        for address in addresses:
            self.port.send(address=address, data=data)

    def run_receiving(self) -> None:
        """Handles incoming datagrams, forever. Malformed ones are logged and dropped."""
        turn = ReadTurn(host=self.host)
        while True:
            began_at = turn.give_way()
            data, address = self.port.receive()
            turn.note_read(began_at=began_at)
            arrived = self.host.elapsed()
            try:
                message = codec.decode(data=unpack(datagram=data), max_values=MAX_DATAGRAM_VALUES)
            except (codec.MessageFormatError, FrameError) as error:
                self.host.log(LogEvent.BAD_FRAME, error=str(error)[:200])
                continue
            with codec.ignoring_malformed(host=self.host):
                self._on_message(message=message, address=address, arrived=arrived, size=len(data))

    def _on_message(self, *, message: Any, address: str, arrived: timedelta, size: int) -> None:
        if isinstance(message, ClockAsk):
            self._on_clock_request(request=message, address=address, arrived=arrived)
        elif isinstance(message, ClockReply):
            self._on_clock_reply(reply=message, address=address, arrived=arrived)
        elif isinstance(message, UsageSummary):
            self._keep(pending=self.usage_summaries, item=message, size=size)
        elif isinstance(message, WorkSummary) and self.collects_work_messages:
            self._keep(pending=self.work_summaries, item=(arrived, message), size=size)
        elif isinstance(message, Moving) and self.collects_work_messages:
            self._keep(pending=self.moving_notices, item=(arrived, message), size=size)
        self._update_peers(sender=message.sender, address=address, peers=getattr(message, "peers", []))

    def _keep(self, *, pending: list[Any], item: Any, size: int) -> None:
        """Keeps a message for the task that consumes such messages; like any datagram it may be lost."""
        if not (self.usage_summaries or self.work_summaries or self.moving_notices):
            self.pending_bytes = 0
        if self.pending_bytes + size <= MAX_PENDING_BYTES:
            self.pending_bytes += size
            pending.append(item)

    def _update_peers(self, *, sender: PeerCard, address: str, peers: list[PeerCard]) -> None:
        """Adds the sender, if it sent from the address on its card, and the peers that it passed on."""
        if sender.address == address:
            self.peers.observe(card=dataclasses.replace(sender, ageMs=0))
        for card in peers:
            self.peers.observe(card=card)

    def _on_clock_request(self, *, request: ClockAsk, address: str, arrived: timedelta) -> None:
        clock = self.clock
        synchronized = clock.synchronized
        reply = ClockReply(
            nonce=request.nonce,
            sender=self.peers.own_card(),
            receivedUs=instant_us(clock.time_at(elapsed=arrived)),
            sentUs=instant_us(clock.now()),
            dispersionUs=to_us(clock.current_dispersion() if synchronized else UNBOUNDED),
            precisionUs=to_us(clock.precision),
            correctionUs=to_us(clock.correction),
            sinceUpdateUs=to_us(clock.since_update() if synchronized else ZERO),
            tolerancePpm=clock.tolerance_ppm,
            hops=clock.hops,
            source_mark=clock.source_mark,
            peers=self.peers.sample_cards(),
        )
        self.send(address=address, message=reply)

    def _on_clock_reply(self, *, reply: ClockReply, address: str, arrived: timedelta) -> None:
        sent, peer_address = self.open_requests.pop(reply.nonce, (ZERO, ""))
        if peer_address != address or self.host.elapsed() - sent > REPLY_TIMEOUT:
            return
        sample = Sample(
            t1=self.clock.time_at(elapsed=sent),
            t2=from_instant_us(reply.receivedUs),
            t3=from_instant_us(reply.sentUs),
            t4=self.clock.time_at(elapsed=arrived),
            dispersion=us(reply.dispersionUs),
            precision=us(reply.precisionUs),
            correction=us(reply.correctionUs),
            since_update=us(reply.sinceUpdateUs),
            tolerance_ppm=reply.tolerancePpm,
            hops=reply.hops,
            source_mark=reply.source_mark,
        )
        if sample.dispersion >= UNBOUNDED:
            self.unsynchronized_replies[address] = arrived
        was_unsynchronized = not self.clock.synchronized
        adopted = self.clock.process_sample(sample=sample)
        if was_unsynchronized and adopted:
            self.host.log(LogEvent.CLOCK_SYNCHRONIZED, peer=reply.sender.name, boundMs=to_ms(self.clock.bound()))
        elif not was_unsynchronized:
            self.exchange_rate.record(offset=sample.offset, adopted=adopted)

    def report(self) -> dict[str, Any]:
        """The fields of the clock page, which `edict clock` shows."""
        clock = self.clock
        return {
            "name": self.peers.own_card().name,
            "synchronized": clock.synchronized,
            "time": clock.now().isoformat(),
            "boundMs": to_ms(clock.bound()) if clock.synchronized else None,
            "correctionUs": to_us(clock.correction),
            "hops": clock.hops if clock.synchronized else None,
            "source_mark": clock.source_mark,
            "rateMilliHz": round(self.exchange_rate.millihz, 3),
            "offsetUs": to_us(clock.now() - self.host.wall()),
            "peers": [card.name for card in self.peers.live_cards()],
        }


class _RecordingPort:
    """Records the datagrams that are sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, *, address: str, data: bytes) -> None:
        self.sent.append(data)


def test_a_step_by_another_exchange_between_t1_and_t4_does_not_distort_the_sample():
    from dockmux.clock.clock import _ManualHost

    fields = {"site": "s", "http": "127.0.0.1:9", "seeds": ["127.0.0.1:2"]}
    endpoints = []
    for name, address, offset_us in (("a", "127.0.0.1:1", 0), ("b", "127.0.0.1:2", 80_000)):
        settings = Settings(name=name, address=address, **fields)
        host = _ManualHost()
        host.random = random.Random(name)
        card = PeerCard(name=name, role="edge", site="s", address=address, http=address, incarnation=name, ageMs=0)
        peers = PeerTable(host=host, settings=settings, card=card)
        endpoints.append(GossipEndpoint(host=host, settings=settings, peers=peers, port=_RecordingPort()))
        endpoints[-1].clock.epoch += us(offset_us)
    client, server = endpoints
    server.clock.become_source(mark=1, not_before=server.clock.now())

    def pass_time(*, wait: timedelta) -> None:
        for endpoint in endpoints:
            endpoint.host.time += wait

    def deliver(*, data: bytes, to: GossipEndpoint, source: GossipEndpoint) -> None:
        message = codec.decode(data=unpack(datagram=data))
        handle = to._on_clock_request if isinstance(message, ClockAsk) else to._on_clock_reply
        arguments = {"request": message} if isinstance(message, ClockAsk) else {"reply": message}
        handle(**arguments, address=source.settings.address, arrived=to.host.elapsed())

    # Two exchanges are open at once. The reply to the second request arrives first and steps the clock.
    client._request_from_random_peer()
    pass_time(wait=ms(200))
    client._request_from_random_peer()
    pass_time(wait=ms(1))
    deliver(data=client.port.sent[1], to=server, source=client)
    pass_time(wait=ms(1))
    deliver(data=server.port.sent[0], to=client, source=server)
    assert abs(client.clock.now() - server.clock.now()) <= client.clock.bound()
    deliver(data=client.port.sent[0], to=server, source=client)
    client.clock.dispersion = ms(500)  # as after a long time without an update, so that any sample is adopted
    pass_time(wait=ms(10))
    deliver(data=server.port.sent[1], to=client, source=server)
    assert abs(client.clock.now() + client.clock.correction - server.clock.now()) <= client.clock.bound()
    assert client.clock.bound() - abs(client.clock.correction) < ms(110)  # half of the exchange's round trip of 212 ms
