"""Extra sends to a service: one allowance for the whole fleet, its windows named by the shared time."""

import math
from collections import defaultdict, deque
from datetime import datetime, timedelta

from dockmux.platform_proxy.deployment import Deployment
from dockmux.runtime.time_units import EPOCH

# A window of the rule is cut into so many of the clock's; a sum over the windows that a span can touch covers it.
CUTS = 10
# The part of the fixed allowance that every daemon may use without knowing of the others.
ALONE_PART = 0.35
# The part that all draw on. With what a former life of every daemon may have used alone, the sum is the whole.
POOL_PART = 0.3
# A daemon's life begins without knowing the others.
ALONE_FROM = timedelta(seconds=2)


class Budget:
    """Any span of the rule's window may hold `ratio` x requests + `extra` extra sends, summed over all daemons.

    Invariants:
    - `own` holds the times of the extra sends that this daemon may make alone and `asked` those of its requests,
      monotonic, newest last; the ratio's part is used only against this daemon's own requests, so the fleet's sum
      keeps to it; in a life's first window nothing is drawn, for what an earlier life drew is not known;
    - the fixed part is split: a part stands to each daemon alone, an equal share each; another is drawn on by all,
      and what all drew is known by `spent`: by daemon, window of the shared time and service;
    - in one window of the shared time a daemon draws no more than its equal share of what it knows to be left, so that
      draws which do not know of each other cannot go over it;
    - while the shared time is not bounded tightly enough to name a window, nothing is drawn.
    """

    def __init__(self, *, deployment: Deployment, born: timedelta) -> None:
        self.deployment = deployment
        self.cut = deployment.retry_window / CUTS
        self.born = born
        self.own: dict[str, deque[timedelta]] = defaultdict(deque)
        self.asked: dict[str, deque[timedelta]] = defaultdict(deque)
        self.drawn: dict[str, dict[int, int]] = defaultdict(dict)
        self.spent: dict[str, dict[str, dict[int, int]]] = {}

    def window(self, *, time: datetime) -> int:
        return (time - EPOCH) // self.cut

    def note_request(self, *, service: str, now: timedelta) -> None:
        self.asked[service].append(now)
        self._count(times=self.asked[service], now=now, span=self.deployment.retry_window)

    def _count(self, *, times: deque[timedelta], now: timedelta, span: timedelta) -> int:
        while times and now - times[0] > span:
            times.popleft()
        return len(times)

    def charge(self, *, service: str, now: timedelta) -> None:
        """A send turned out to be an extra one only after it was made."""
        self.own[service].append(now)

    def give_back(self, *, service: str) -> None:
        """One that was taken turned out to be no extra send, as a first reading that was taken up."""
        if self.own[service]:
            self.own[service].pop()

    def take(
        self, *, service: str, daemons: int, now: timedelta, time: datetime | None, bound: timedelta
    ) -> bool:  # fmt: skip
        """Whether one more extra send is allowed now; it counts at once. `time` is the shared time, None while it
        may not be used; `bound` is how far it may be off."""
        rule = self.deployment
        # A little longer than the rule's window: what is sent now arrives a little later.
        mine = self._count(times=self.own[service], now=now, span=rule.retry_window * 1.05)
        asked = self._count(times=self.asked[service], now=now, span=rule.retry_window * 0.9)
        fixed = int(rule.retry_extra * ALONE_PART / max(daemons, 1)) if now - self.born > ALONE_FROM else 0
        alone = int(rule.retry_ratio * asked * 0.9) + fixed
        if mine < alone:
            self.own[service].append(now)
            return True
        if time is None or bound >= self.cut / 2 or now - self.born <= rule.retry_window:
            return False
        window = self.window(time=time)
        # Spans that reach into the present touch these windows, whichever way this clock is off.
        reach = CUTS + 1 + math.ceil(bound / self.cut)
        for kept in self.drawn.values():
            for old in [w for w in kept if w < window - reach]:
                del kept[old]
        known = sum(self.drawn[service].values())
        for rows in self.spent.values():
            known += sum(count for w, count in rows.get(service, {}).items() if w >= window - reach)
        left = int(rule.retry_extra * POOL_PART) - known
        # What the others draw in this window and the last is not known yet.
        if self.drawn[service].get(window, 0) >= left // (2 * max(daemons, 1)):
            return False
        self.drawn[service][window] = self.drawn[service].get(window, 0) + 1
        return True

    def told(self) -> dict[str, dict[str, int]]:
        """What the other daemons are told: draws by service and window."""
        return {s: {str(w): n for w, n in rows.items()} for s, rows in self.drawn.items() if rows}

    def hear(self, *, daemon: str, told: dict[str, dict[str, int]]) -> None:
        self.spent[daemon] = {s: {int(w): n for w, n in rows.items()} for s, rows in told.items()}

    def forget(self, *, live: set[str]) -> None:
        """Draws of daemons that are gone lapse with their windows; their rows go when they are silent for long."""
        for daemon in [d for d in self.spent if d not in live]:
            del self.spent[daemon]
