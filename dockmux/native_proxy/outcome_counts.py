"""Number of ended requests by outcome, folded from the journal."""

import dataclasses
from collections import Counter

from dockmux.runtime.event_journal import Projection
from dockmux.runtime.outcomes import OutcomeKind


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestEnded:
    """A request has ended with an outcome."""

    kind: OutcomeKind


class OutcomeCounts(Projection):
    """Invariant: `counts` has the number of folded events by outcome value."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[str] = Counter()

    def fold(self, *, event: object) -> None:
        if isinstance(event, RequestEnded):
            self.counts[event.kind.value] += 1
