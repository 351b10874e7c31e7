"""Histograms of the stage durations of answered requests, folded from the journal."""

from collections import deque
from datetime import timedelta

from dockmux.native_proxy.service_rate import AnswerCompleted
from dockmux.runtime.event_journal import EventJournal, Projection
from dockmux.runtime.time_units import ms

# Inclusive upper bounds of the histogram's buckets.
BUCKET_BOUNDS = [ms(count) for count in (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000)]
RECENT_SPANS_PER_STAGE = 2000


class StageDurations(Projection):
    """Invariants, by stage: `counts` has the number of spans in each bucket (not cumulative), the last bucket for those
    above all bounds; `total` is the sum of the spans; `recent` holds the last RECENT_SPANS_PER_STAGE spans."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: dict[str, list[int]] = {}
        self.total: dict[str, timedelta] = {}
        self.recent: dict[str, deque[timedelta]] = {}

    def fold(self, *, event: object) -> None:
        if not isinstance(event, AnswerCompleted):
            return
        for stage, span in event.spans.items():
            bucket = next((n for n, end in enumerate(BUCKET_BOUNDS) if span <= end), len(BUCKET_BOUNDS))
            self.counts.setdefault(stage, [0] * (len(BUCKET_BOUNDS) + 1))[bucket] += 1
            self.total[stage] = self.total.get(stage, timedelta()) + span
            self.recent.setdefault(stage, deque(maxlen=RECENT_SPANS_PER_STAGE)).append(span)


def test_spans_are_counted_in_their_buckets():
    durations = StageDurations()
    journal = EventJournal(projections=[durations])
    for span in (ms(1), ms(3), ms(20_000)):
        journal.append(event=AnswerCompleted(lane="a", spans={"read": span}))
    journal.fold(projection=durations)
    counts = durations.counts["read"]
    assert (counts[0], counts[2], counts[-1], sum(counts)) == (1, 1, 1, 3)
    assert durations.total["read"] == ms(20_004) and len(durations.recent["read"]) == 3
