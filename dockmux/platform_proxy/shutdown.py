"""Time limits of a data daemon's graceful shutdown: what is still admitted, and by when open requests are answered."""

import dataclasses
from datetime import timedelta

# The platform takes this long to see that the daemon is not ready and to send it no new connections.
DEREGISTRATION_DELAY = timedelta(milliseconds=3200)
# Requests are admitted whatever their deadline for this long: clients and the platform cannot know of the shutdown yet.
ADMIT_ALL_PERIOD = timedelta(milliseconds=2500)
# Requests without an answer get a final one this long before the process ends.
FINAL_ANSWER_MARGIN = timedelta(milliseconds=300)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shutdown:
    """Invariants: `requested_at` is when the daemon was told to stop and `ends_at` when its process ends at the latest,
    both monotonic; every request admitted later than `ADMIT_ALL_PERIOD` after `requested_at` ends by `answer_by`."""

    requested_at: timedelta
    ends_at: timedelta

    @property
    def answer_by(self) -> timedelta:
        """When requests without an answer get a final one, monotonic."""
        return max(self.ends_at - FINAL_ANSWER_MARGIN, self.requested_at)

    def admits_all(self, *, now: timedelta) -> bool:
        return now - self.requested_at < ADMIT_ALL_PERIOD

    def admits(self, *, now: timedelta, deadline: timedelta) -> bool:
        """Whether a request with this deadline may still be admitted."""
        return self.admits_all(now=now) or deadline <= self.answer_by

    def awaits_deregistration(self, *, now: timedelta) -> bool:
        """Whether new connections may still come."""
        return now - self.requested_at < DEREGISTRATION_DELAY
