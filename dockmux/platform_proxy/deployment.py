"""What a deployment fixes for its daemons: addresses outside the fleet, and the bounds that it is judged by."""

import dataclasses
from datetime import timedelta


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Invariants: every span is positive; `tolerated` machines with a disk may be lost at once, so that a change is
    acknowledged only when one more than that holds it; `list_per_second` bounds the calls of all daemons together."""

    front: str = ""
    ready: str = ""
    control: str = ""
    list_address: str = ""
    list_per_second: float = 1.0
    list_lag: timedelta = timedelta(seconds=1)
    tolerated: int = 1
    first_start: bool = False
    retry_ratio: float = 0.0
    retry_window: timedelta = timedelta(seconds=10)
    retry_extra: int = 0
    drain: timedelta = timedelta(seconds=3)
    apply: timedelta = timedelta(seconds=2)
    grace: timedelta = timedelta(seconds=8)
    touch: timedelta = timedelta(seconds=3)
    lease: timedelta = timedelta(seconds=3)
    thaw: timedelta = timedelta(milliseconds=300)
