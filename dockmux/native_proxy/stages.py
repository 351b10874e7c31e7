"""How long the stages of answered requests took, folded from the journal."""

from collections import deque
from datetime import timedelta

from dockmux.native_proxy.pace import Written
from dockmux.runtime.event_journal import EventJournal, Projection
from dockmux.runtime.time_units import ms

# Upper ends of the histogram's buckets.
BUCKETS = [ms(count) for count in (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)]
LATEST = 2000


class Stages(Projection):
    """Invariants: `counts` has, by stage, how many spans were within each bucket's end and above the one before, the
    last for those above all; `total` their sum; `latest` the last spans themselves."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: dict[str, list[int]] = {}
        self.total: dict[str, timedelta] = {}
        self.latest: dict[str, deque[timedelta]] = {}

    def fold(self, *, event: object) -> None:
        if not isinstance(event, Written):
            return
        for stage, span in event.spans.items():
            place = next((n for n, end in enumerate(BUCKETS) if span <= end), len(BUCKETS))
            self.counts.setdefault(stage, [0] * (len(BUCKETS) + 1))[place] += 1
            self.total[stage] = self.total.get(stage, timedelta()) + span
            self.latest.setdefault(stage, deque(maxlen=LATEST)).append(span)


def test_spans_fall_into_their_buckets():
    stages = Stages()
    journal = EventJournal(projections=[stages])
    for span in (ms(1), ms(3), ms(20_000)):
        journal.append(event=Written(lane="a", spans={"read": span}))
    journal.fold(projection=stages)
    counts = stages.counts["read"]
    assert (counts[0], counts[2], counts[-1], sum(counts)) == (1, 1, 1, 3)
    assert stages.total["read"] == ms(20_004) and len(stages.latest["read"]) == 3
