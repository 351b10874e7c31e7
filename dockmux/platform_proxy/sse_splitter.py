"""Splits a `text/event-stream` body into whole events, so that another engine can continue after the last one."""

import re

from dockmux.runtime.receive_limits import ReceiveLimitExceeded

EVENT_END = re.compile(rb"\r?\n\r?\n")
# The longest match of EVENT_END, less one: so much of what was searched before may be the beginning of a match.
EVENT_END_OVERLAP = 3
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")
MAX_EVENT_BYTES = 1 << 20
# An event's id is sent to the next engine in a header.
MAX_ID_BYTES = 256


class EventTooLarge(ReceiveLimitExceeded):
    """An event, or its id, exceeds its limit."""


class TooManyEvents(ReceiveLimitExceeded):
    """A stream has more events than the request allows; those passed on may already not belong to it."""


class SseSplitter:
    """Invariants: the bytes passed on end at the end of an event; `last_id` is the id of the last event passed on that
    has one; numeric ids only increase: an event whose id does not is dropped; `buffer` holds the event that is not yet
    complete, at most MAX_EVENT_BYTES of it; `count` is the number of events with data, at most `max_events` if
    that is given."""

    def __init__(self, *, last_id: str | None, max_events: int | None = None) -> None:
        self.buffer = bytearray()
        self.last_id = last_id
        self.max_events = max_events
        self.count = 0

    def feed(self, *, data: bytes) -> bytes:
        """Adds received bytes and returns the events that they complete. Raises EventTooLarge or TooManyEvents."""
        search_from = max(len(self.buffer) - EVENT_END_OVERLAP, 0)
        self.buffer += data
        out = []
        begin = 0
        for end in EVENT_END.finditer(self.buffer, search_from):
            event = bytes(self.buffer[begin : end.end()])
            begin = end.end()
            if self._accept(event=event):
                out.append(event)
        del self.buffer[:begin]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return b"".join(out)

    def discard_incomplete(self) -> None:
        """Drops the incomplete event at the end of an answer."""
        self.buffer.clear()

    def _accept(self, *, event: bytes) -> bool:
        """Whether a complete event is passed on."""
        if len(event) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        # Comments that keep a connection alive are no events of the answer.
        self.count += b"data" in event
        if self.max_events is not None and self.count > self.max_events:
            raise TooManyEvents(f"more than {self.max_events} events")
        id_line = EVENT_ID.search(event)
        if id_line is None:
            return True
        if len(id_line.group(1)) > MAX_ID_BYTES:
            raise EventTooLarge(f"an event's id is longer than {MAX_ID_BYTES} bytes")
        event_id = id_line.group(1).decode("latin-1")
        if not self._is_newer(event_id=event_id):
            return False
        self.last_id = event_id
        return True

    def _is_newer(self, *, event_id: str) -> bool:
        if self.last_id is None or not (_is_number(event_id) and _is_number(self.last_id)):
            return True
        return int(event_id) > int(self.last_id)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()
