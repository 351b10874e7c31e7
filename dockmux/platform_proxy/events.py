"""The events of a stream (`text/event-stream`), cut out whole, so that another run can go on behind the last one."""

import re

END = re.compile(rb"\r?\n\r?\n")
NAME = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


class Events:
    """Invariants: what was given out ends at an event's end; `last` is the id of the last event given out that has
    one, and ids only rise: an event that does not is not given out."""

    def __init__(self, *, last: str | None) -> None:
        self.held = b""
        self.last = last

    def feed(self, *, data: bytes) -> bytes:
        """The whole events that are there now."""
        self.held += data
        out = []
        while True:
            end = END.search(self.held)
            if end is None:
                return b"".join(out)
            event, self.held = self.held[: end.end()], self.held[end.end() :]
            named = NAME.search(event)
            if named is not None:
                name = named.group(1).decode("latin-1")
                if not self._rises(name=name):
                    continue
                self.last = name
            out.append(event)

    def _rises(self, *, name: str) -> bool:
        if self.last is None or not (name.isdigit() and self.last.isdigit()):
            return True
        return int(name) > int(self.last)
