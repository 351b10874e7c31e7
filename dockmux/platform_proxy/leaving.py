"""How a data daemon that was told to stop brings its work to an end before its process does."""

import dataclasses
from datetime import timedelta

# Until the platform has seen that this daemon is not ready and sends no new connections.
LINGER = timedelta(milliseconds=3200)
# Until then whatever comes is taken in: clients and the platform cannot know yet.
ADMITS_ALL_FOR = timedelta(milliseconds=2500)
# Before the process ends, whoever has no answer yet gets a final one.
ANSWER_MARGIN = timedelta(milliseconds=300)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leaving:
    """Invariants: `told_at` is when the daemon was told to stop and `ends_at` when its process ends at the latest, both
    monotonic; whatever is admitted later than `ADMITS_ALL_FOR` after `told_at` is over by `answer_by`."""

    told_at: timedelta
    ends_at: timedelta

    @property
    def answer_by(self) -> timedelta:
        return max(self.ends_at - ANSWER_MARGIN, self.told_at)

    def admits_all(self, *, now: timedelta) -> bool:
        return now - self.told_at < ADMITS_ALL_FOR

    def admits(self, *, now: timedelta, until: timedelta) -> bool:
        """Whether a request that is held until then may still be taken in."""
        return self.admits_all(now=now) or until <= self.answer_by

    def lingers(self, *, now: timedelta) -> bool:
        return now - self.told_at < LINGER
