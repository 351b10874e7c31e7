"""What one client has been given of its answer, and what an engine's answer adds to it (docs/sends.md, steps)."""

from collections.abc import Iterator
from enum import StrEnum

from dockmux.platform_proxy.engine_client import EngineResponse
from dockmux.platform_proxy.events import Events
from dockmux.platform_proxy.protocol_adapter import ProtocolAdapter
from dockmux.runtime.http_transport import HttpExchange


class Step(StrEnum):
    """What is done with an engine's answer once its head has come."""

    GIVE_EVENTS = "give events"  # Whole events only; the stream may go on at another engine.
    GIVE_AS_IT_CAME = "give as it came"  # Status, head and body unchanged; it goes on nowhere else.
    LEAVE_OUT = "leave out"  # No part of what the client has begun to receive.


def step_at_head(*, begun: bool, resumable: bool, status: int) -> Step:
    """The step table of docs/sends.md. `begun` says that the client has a part of a resumable stream."""
    if resumable and 200 <= status < 300:
        return Step.GIVE_EVENTS
    return Step.LEAVE_OUT if begun else Step.GIVE_AS_IT_CAME


class Relay:
    """Invariants: the client's answer has one head, that of the engine whose bytes come first; `begun` is true once it
    was given; behind the head of a resumable stream's success come events of successes only, each whole."""

    def __init__(
        self, *, exchange: HttpExchange, protocol: ProtocolAdapter, resumable: bool, last_event: str | None
    ) -> None:
        self.exchange = exchange
        self.protocol = protocol
        self.resumable = resumable
        self.events = Events(last=last_event)
        self.begun = False
        self.step = Step.GIVE_AS_IT_CAME

    @property
    def last_event(self) -> str | None:
        """Behind which event an engine is to go on; None where streams are not resumed."""
        return self.events.last if self.resumable else None

    @property
    def bound(self) -> bool:
        """Whether the client has a part of an answer that no other engine can go on with."""
        return self.begun and self.step is not Step.GIVE_EVENTS

    def take_head(self, *, told: EngineResponse) -> Step:
        """Decides what becomes of an answer; the relay's own step stays where the answer is left out."""
        step = step_at_head(begun=self.begun, resumable=self.resumable, status=told.status)
        if step is not Step.LEAVE_OUT:
            self.step = step
        return step

    def pieces(self, *, told: EngineResponse) -> Iterator[bytes]:
        """What of the answer goes to the client, as it arrives, b"" where a piece brings nothing yet. WIRE_ERRORS when
        it breaks off: what it left of an event is dropped then."""
        try:
            for data in told.pieces():
                given = self.events.feed(data=data) if self.step is Step.GIVE_EVENTS else data
                if given:
                    self._begin(told=told)
                yield given
            if self.events.held:
                raise ValueError("it ends inside an event")
        finally:
            self.events.held = b""
        self._begin(told=told)

    def _begin(self, *, told: EngineResponse) -> None:
        if self.begun:
            return
        self.begun = True
        headers = self.protocol.answer_headers(headers=told.headers)
        if self.step is Step.GIVE_EVENTS or told.response.chunked:
            headers = [(name, value) for name, value in headers if name.lower() != "content-length"]
        self.exchange.begin(status=told.status, headers=headers)
