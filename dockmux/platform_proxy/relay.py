"""What one client has received of its answer, and what an engine's answer adds to it (table in docs/sends.md)."""

from collections.abc import Iterator
from enum import StrEnum

from dockmux.platform_proxy.engine_client import EngineResponse
from dockmux.platform_proxy.protocol_adapter import ProtocolAdapter
from dockmux.platform_proxy.sse_splitter import SseSplitter
from dockmux.runtime.http_response import WIRE_ERRORS
from dockmux.runtime.http_transport import HttpExchange
from dockmux.runtime.receive_limits import MAX_SHORT_ANSWER_BYTES, Charge, process_held_bytes

# Events of a stream beyond the tokens that its request allows: an engine may add some of its own.
EXTRA_EVENTS = 8


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
    was sent; after the head of a successful resumable stream come only whole events of successful answers; once the
    stream is `overlong`, no engine continues it, since its last events may belong to no answer."""

    def __init__(
        self, *, exchange: HttpExchange, protocol: ProtocolAdapter, resumable: bool, last_event: str | None,
        tokens_out: int = 0,
    ) -> None:  # fmt: skip
        self.exchange = exchange
        self.protocol = protocol
        self.resumable = resumable
        self.tokens_out = tokens_out
        self.max_events = tokens_out + EXTRA_EVENTS if tokens_out else None
        self.splitter = SseSplitter(last_id=last_event, max_events=self.max_events)
        self.overlong = False
        self.started = False
        self.action = HeadAction.RELAY_UNCHANGED

    @property
    def last_event(self) -> str | None:
        """The id of the event after which an engine is to continue; None where streams are not resumed."""
        return self.splitter.last_id if self.resumable else None

    @property
    def committed(self) -> bool:
        """Whether the client has part of an answer that no other engine can continue."""
        return self.started and (self.overlong or self.action is not HeadAction.RELAY_EVENTS)

    def accept_head(self, *, response: EngineResponse) -> HeadAction:
        """Decides what is done with an answer; the relay's current action stays where the answer is discarded."""
        action = action_at_head(started=self.started, resumable=self.resumable, status=response.status)
        if action is not HeadAction.DISCARD:
            self.action = action
        return action

    def chunks(self, *, response: EngineResponse) -> Iterator[bytes]:
        """Yields the client's bytes as the answer arrives, b"" for a chunk that completes no event. WIRE_ERRORS when
        the answer breaks off or exceeds a limit; the incomplete event at its end is dropped."""
        with process_held_bytes.charge() as charge:
            if response.status >= 400:
                yield from self._whole_failure(response=response, charge=charge)
            elif self.action is HeadAction.RELAY_EVENTS:
                yield from self._events(response=response, charge=charge)
            else:
                yield from self._unchanged(response=response, charge=charge)
        self._start(response=response)

    def _whole_failure(self, *, response: EngineResponse, charge: Charge) -> Iterator[bytes]:
        """The body of a failure, read to its end first: until then another engine may still take over."""
        body = response.read(limit_bytes=MAX_SHORT_ANSWER_BYTES)
        charge.set(size=len(body))
        self._start(response=response)
        yield body

    def _unchanged(self, *, response: EngineResponse, charge: Charge) -> Iterator[bytes]:
        """The body as it is. The events of a stream are followed all the same, for their limits."""
        if not response.is_event_stream:
            for chunk in response.chunks():
                charge.set(size=len(chunk))
                self._start(response=response)
                yield chunk
            return
        response.response.chunk_is_unit = False
        splitter = SseSplitter(last_id=None, max_events=self.max_events)
        for chunk in response.chunks():
            splitter.feed(data=chunk)
            self._note_progress(response=response, splitter=splitter)
            charge.set(size=len(chunk) + len(splitter.buffer))
            self._start(response=response)
            yield chunk

    def _events(self, *, response: EngineResponse, charge: Charge) -> Iterator[bytes]:
        splitter = self.splitter
        response.response.chunk_is_unit = False
        try:
            for chunk in response.chunks():
                events = splitter.feed(data=chunk)
                if events:
                    self._start(response=response)
                self._note_progress(response=response, splitter=splitter)
                charge.set(size=len(events) + len(splitter.buffer))
                yield events
            if splitter.buffer:
                raise ValueError("it ends inside an event")
        except WIRE_ERRORS:
            # More events than tokens: whatever broke the answer off, its last events may belong to no answer.
            self.overlong = self.started and bool(self.tokens_out) and splitter.count > self.tokens_out
            raise
        finally:
            splitter.discard_incomplete()

    def _note_progress(self, *, response: EngineResponse, splitter: SseSplitter) -> None:
        """Between events, no part of the answer is due."""
        if not splitter.buffer:
            response.connection.end_unit()

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
