"""What one client has received of its answer, and what an engine's answer adds to it (table in docs/sends.md)."""

from collections.abc import Iterator
from enum import StrEnum

from dockmux.platform_proxy.engine_client import EngineResponse
from dockmux.platform_proxy.protocol_adapter import ProtocolAdapter
from dockmux.platform_proxy.sse_splitter import SseSplitter
from dockmux.runtime.http_transport import HttpExchange


class HeadAction(StrEnum):
    """What is done with an engine's answer once its head has arrived."""

    RELAY_EVENTS = "relay events"  # Whole events only; another engine may continue the stream.
    RELAY_UNCHANGED = "relay unchanged"  # Status, head and body unchanged; no other engine can continue it.
    DISCARD = "discard"  # It is no part of the answer that the client has begun to receive.


def action_at_head(*, started: bool, resumable: bool, status: int) -> HeadAction:
    """The action for an answer's head, by the table in docs/sends.md. `started` means that the client has part of a
    resumable stream."""
    if resumable and 200 <= status < 300:
        return HeadAction.RELAY_EVENTS
    return HeadAction.DISCARD if started else HeadAction.RELAY_UNCHANGED


class Relay:
    """Invariants: the client's answer has one head, that of the engine whose bytes come first; `started` means that it
    was sent; after the head of a successful resumable stream come only whole events of successful answers."""

    def __init__(
        self, *, exchange: HttpExchange, protocol: ProtocolAdapter, resumable: bool, last_event: str | None
    ) -> None:
        self.exchange = exchange
        self.protocol = protocol
        self.resumable = resumable
        self.splitter = SseSplitter(last_id=last_event)
        self.started = False
        self.action = HeadAction.RELAY_UNCHANGED

    @property
    def last_event(self) -> str | None:
        """The id of the event after which an engine is to continue; None where streams are not resumed."""
        return self.splitter.last_id if self.resumable else None

    @property
    def committed(self) -> bool:
        """Whether the client has part of an answer that no other engine can continue."""
        return self.started and self.action is not HeadAction.RELAY_EVENTS

    def accept_head(self, *, response: EngineResponse) -> HeadAction:
        """Decides what is done with an answer; the relay's current action stays where the answer is discarded."""
        action = action_at_head(started=self.started, resumable=self.resumable, status=response.status)
        if action is not HeadAction.DISCARD:
            self.action = action
        return action

    def chunks(self, *, response: EngineResponse) -> Iterator[bytes]:
        """Yields the client's bytes as the answer arrives, b"" for a chunk that completes no event. WIRE_ERRORS when
        the answer breaks off; the incomplete event at its end is dropped."""
        try:
            for chunk in response.chunks():
                data = self.splitter.feed(data=chunk) if self.action is HeadAction.RELAY_EVENTS else chunk
                if data:
                    self._start(response=response)
                yield data
            if self.splitter.buffer:
                raise ValueError("it ends inside an event")
        finally:
            self.splitter.buffer = b""
        self._start(response=response)

    def _start(self, *, response: EngineResponse) -> None:
        """Sends the answer's head to the client, once. Content-Length is left out where the body's length can differ
        from the engine's."""
        if self.started:
            return
        self.started = True
        headers = self.protocol.answer_headers(headers=response.headers)
        if self.action is HeadAction.RELAY_EVENTS or response.response.chunked:
            headers = [(name, value) for name, value in headers if name.lower() != "content-length"]
        self.exchange.begin(status=response.status, headers=headers)
