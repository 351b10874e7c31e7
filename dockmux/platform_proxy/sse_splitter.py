"""Splits a `text/event-stream` body into whole events, so that another engine can continue after the last one."""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class SseSplitter:
    """Invariants: the bytes passed on end at the end of an event; `last_id` is the id of the last event passed on that
    has one; numeric ids only increase: an event whose id does not is dropped; `buffer` holds the event that is not yet
    complete."""

    def __init__(self, *, last_id: str | None) -> None:
        self.buffer = b""
        self.last_id = last_id

    def feed(self, *, data: bytes) -> bytes:
        """Adds received bytes and returns the events that they complete."""
        self.buffer += data
        out = []
        while True:
            end = EVENT_END.search(self.buffer)
            if end is None:
                return b"".join(out)
            event, self.buffer = self.buffer[: end.end()], self.buffer[end.end() :]
            id_line = EVENT_ID.search(event)
            if id_line is not None:
                event_id = id_line.group(1).decode("latin-1")
                if not self._is_newer(event_id=event_id):
                    continue
                self.last_id = event_id
            out.append(event)

    def _is_newer(self, *, event_id: str) -> bool:
        if self.last_id is None or not (event_id.isdigit() and self.last_id.isdigit()):
            return True
        return int(event_id) > int(self.last_id)
