"""Parameters of a deployment: addresses outside the fleet, and the time bounds that the daemons must keep."""

import dataclasses
from datetime import timedelta


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Invariants: every span is positive; `tolerated_failures` machines with a disk may be lost at the same time, so a
    change is acknowledged only once one more than that has stored it; `list_per_second` limits the calls of all daemons
    together to the engine list. The retry rule allows `retry_ratio` x requests + `retry_extra` extra sends in any
    `retry_window`."""

    http_address: str = ""
    readyz_address: str = ""
    control_address: str = ""
    list_address: str = ""
    list_per_second: float = 1.0
    list_lag: timedelta = timedelta(seconds=1)
    tolerated_failures: int = 1
    may_bootstrap: bool = False
    retry_ratio: float = 0.0
    retry_window: timedelta = timedelta(seconds=10)
    retry_extra: int = 0
    drain: timedelta = timedelta(seconds=3)
    apply: timedelta = timedelta(seconds=2)
    grace: timedelta = timedelta(seconds=8)
    liveness: timedelta = timedelta(seconds=3)
    lease: timedelta = timedelta(seconds=3)
    thaw: timedelta = timedelta(milliseconds=300)
