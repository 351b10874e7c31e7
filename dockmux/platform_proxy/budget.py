"""The fleet-wide retry budget: limits extra sends per service, in windows of the shared clock."""

import math
from collections import defaultdict, deque
from datetime import datetime, timedelta

from dockmux.platform_proxy.deployment import Deployment
from dockmux.runtime.codec import check_number
from dockmux.runtime.time_units import EPOCH

# The rule's window is divided into this many slices of the shared clock; the sum over all slices that a span can touch
# covers the span.
WINDOW_SLICES = 10
# Share of the fixed allowance that is divided among the daemons and used without coordination.
LOCAL_SHARE = 0.35
# Share that all daemons draw on. Local share, its use by a previous process of every daemon, and this share add up to
# the whole allowance.
POOL_SHARE = 0.3
# A new process doesn't know the other daemons yet, so its local share is 0 at first.
LOCAL_SHARE_DELAY = timedelta(seconds=2)


class Budget:
    """Allows at most `retry_ratio` x requests + `retry_extra` extra sends in any span as long as the rule's window,
    summed over all daemons.

    Invariants:
    - `local_sends` holds the monotonic times of the extra sends made on the local limit, and `requests` those of this
      daemon's requests, newest last; the ratio is applied to this daemon's own requests only, so the fleet's sum keeps
      to it; nothing is drawn from the pool in a process's first window, because the draws of the previous process are
      not known;
    - the fixed allowance is split: one share is divided equally among the daemons, another is a pool that all draw on;
      `pool_draws` holds this daemon's draws by service and slice, `peer_draws` the others' by daemon as well;
    - within one slice a daemon draws no more than its equal share of what it knows to be left, so that concurrent draws
      cannot exceed the pool;
    - nothing is drawn while the shared clock's error bound is too large to determine the slice.
    """

    def __init__(self, *, deployment: Deployment, started_at: timedelta) -> None:
        self.deployment = deployment
        self.slice_length = deployment.retry_window / WINDOW_SLICES
        self.started_at = started_at
        self.local_sends: dict[str, deque[timedelta]] = defaultdict(deque)
        self.requests: dict[str, deque[timedelta]] = defaultdict(deque)
        self.pool_draws: dict[str, dict[int, int]] = defaultdict(dict)
        self.peer_draws: dict[str, dict[str, dict[int, int]]] = {}

    def slice_index(self, *, time: datetime) -> int:
        """The number of the slice of the shared clock that contains `time`."""
        return (time - EPOCH) // self.slice_length

    def note_request(self, *, service: str, now: timedelta) -> None:
        """Counts a client request, which the ratio is applied to."""
        self.requests[service].append(now)
        self._prune_and_count(times=self.requests[service], now=now, span=self.deployment.retry_window)

    def _prune_and_count(self, *, times: deque[timedelta], now: timedelta, span: timedelta) -> int:
        while times and now - times[0] > span:
            times.popleft()
        return len(times)

    def charge(self, *, service: str, now: timedelta) -> None:
        """Counts a send that turned out to be an extra one only after it was made."""
        self.local_sends[service].append(now)

    def refund(self, *, service: str) -> None:
        """Returns a send that turned out not to be an extra one, such as a first prefill that the engine accepted."""
        if self.local_sends[service]:
            self.local_sends[service].pop()

    def take(
        self, *, service: str, daemons: int, now: timedelta, time: datetime | None, bound: timedelta
    ) -> bool:  # fmt: skip
        """Whether one more extra send is allowed now; if so, it is counted. `daemons` is the number of live daemons,
        `time` the shared time or None while it is not synchronized, `bound` its largest error."""
        rule = self.deployment
        # 5 % longer than the rule's window, because sends arrive at the engines with some delay.
        local_count = self._prune_and_count(times=self.local_sends[service], now=now, span=rule.retry_window * 1.05)
        request_count = self._prune_and_count(times=self.requests[service], now=now, span=rule.retry_window * 0.9)
        fixed = (
            int(rule.retry_extra * LOCAL_SHARE / max(daemons, 1)) if now - self.started_at > LOCAL_SHARE_DELAY else 0
        )
        local_limit = int(rule.retry_ratio * request_count * 0.9) + fixed
        if local_count < local_limit:
            self.local_sends[service].append(now)
            return True
        if time is None or bound >= self.slice_length / 2 or now - self.started_at <= rule.retry_window:
            return False
        slice_index = self.slice_index(time=time)
        # All slices that a span ending now can touch, for any clock error within the bound.
        slices_back = WINDOW_SLICES + 1 + math.ceil(bound / self.slice_length)
        for draws in self.pool_draws.values():
            for expired in [w for w in draws if w < slice_index - slices_back]:
                del draws[expired]
        known_draws = sum(self.pool_draws[service].values())
        for rows in self.peer_draws.values():
            known_draws += sum(count for w, count in rows.get(service, {}).items() if w >= slice_index - slices_back)
        remaining = int(rule.retry_extra * POOL_SHARE) - known_draws
        # Halved, because the peers' draws in this slice and the one before are not known yet.
        if self.pool_draws[service].get(slice_index, 0) >= remaining // (2 * max(daemons, 1)):
            return False
        self.pool_draws[service][slice_index] = self.pool_draws[service].get(slice_index, 0) + 1
        return True

    def summary(self) -> dict[str, dict[str, int]]:
        """This daemon's draws for the other daemons, as counts by service and slice."""
        return {s: {str(w): n for w, n in rows.items()} for s, rows in self.pool_draws.items() if rows}

    def update_peer(self, *, daemon: str, draws: dict[str, dict[str, int]]) -> None:
        """Replaces the known draws of another daemon by its newest summary."""
        self.peer_draws[daemon] = {
            s: {int(w): int(check_number(n)) for w, n in rows.items()} for s, rows in draws.items()
        }

    def forget(self, *, live: set[str]) -> None:
        """Drops the rows of daemons that are not live. Until then their draws count for as long as their slices do."""
        for daemon in [d for d in self.peer_draws if d not in live]:
            del self.peer_draws[daemon]
