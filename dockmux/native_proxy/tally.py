"""How many requests ended in which way, folded from the journal."""

import dataclasses
from collections import Counter

from dockmux.runtime.event_journal import Projection
from dockmux.runtime.outcomes import OutcomeKind


@dataclasses.dataclass(frozen=True, kw_only=True)
class Concluded:
    """A request has its outcome."""

    kind: OutcomeKind


class Tally(Projection):
    """Invariant: `counts` holds every conclusion folded so far."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[str] = Counter()

    def fold(self, *, event: object) -> None:
        if isinstance(event, Concluded):
            self.counts[event.kind.value] += 1
