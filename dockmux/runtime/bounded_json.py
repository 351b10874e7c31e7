"""Parsing of JSON from peers: the memory and the stack that it takes have bounds."""

import json
from typing import Any

# Every value but the first follows one of these, so their number bounds that of the values.
SEPARATORS = (b",", b"[", b"{", b":")
# An engine's answer, or a client's request.
MAX_VALUES = 200_000
# An operator's change, or a message between daemons, which may hold a whole configuration.
MAX_LARGE_VALUES = 2_000_000


def parse_json(*, data: bytes, max_values: int = MAX_VALUES) -> Any:
    """Parses JSON text. Raises ValueError, also for more values than `max_values` and for nesting that is too deep."""
    if sum(data.count(separator) for separator in SEPARATORS) > max_values:
        raise ValueError(f"JSON with more than {max_values} values")
    try:
        return json.loads(data)
    except RecursionError:
        raise ValueError("JSON is nested too deeply") from None


def to_count(*, text: str) -> int | None:
    """A whole number as peers write it: up to 15 ASCII digits; None for anything else."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 15 else None
