"""A request as a row of the table that the passes run over."""

import dataclasses
import hashlib
from datetime import datetime, timedelta
from enum import StrEnum
from typing import Any

from dockmux.runtime.condition import Condition
from dockmux.runtime.outcomes import Outcome, OutcomeKind

STAGES = ("claim", "wait_read", "read", "wait_write", "hand_over", "write")


class Step(StrEnum):
    """Where a request stands."""

    CLAIM = "claim"  # waits for its claim to be asked for
    CLAIMING = "claiming"  # its claim is with the chain
    READ = "read"  # waits for an engine to read its prompt
    READING = "reading"  # an engine reads it
    WRITE = "write"  # waits for an engine to stream its answer
    WRITING = "writing"  # an engine streams it
    ENDED = "ended"


@dataclasses.dataclass(kw_only=True)
class RequestRecord:
    """Invariants:
    - `sent` becomes true before the first byte of the request may leave for an engine and stays so; while it
      is true the outcome is no refusal;
    - `sends` counts, by leg, how often the leg was sent; on a lane run once neither exceeds one;
    - `pieces` (text and shared-time stamp) only grows, is numbered from `first_piece` and is the same for every
      reader;
    - `repeat` says that the request may have been asked for before, elsewhere: the user agent gave the identity and
      did not say that this is its first attempt. Unless this daemon holds the claim, it does not end in a refusal;
    - `unsent_before` is true only when this very daemon knows that it sent nothing for this identity;
    - `reached` says when the end of a stage was last reached, on this host's monotonic time;
    - `claimed` is true once the chain holds this daemon's claim for it;
    - `outcome` is set once, together with step ENDED;
    - `horizon` is in the shared time; `mark` is the configuration that the values below were taken from, and
      every send checks that it is still the current one or takes the values anew.
    """

    lane: str
    identity: str
    body: dict[str, Any]
    arrived: timedelta
    horizon: datetime
    mark: int
    values: dict[str, Any]
    first_piece: int = 0
    step: Step = Step.READ
    sent: bool = False
    sends: dict[str, int] = dataclasses.field(default_factory=lambda: {"read": 0, "write": 0})
    tried: set[str] = dataclasses.field(default_factory=set)
    wait_until: timedelta = timedelta()
    memory: dict[str, Any] | None = None
    memory_engine: dict[str, Any] | None = None
    pieces: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    claimed: bool = False
    repeat: bool = False
    unsent_before: bool = False
    trouble: str = ""
    outcome: Outcome | None = None
    ended_at: timedelta = timedelta()
    readers: int = 0
    reached: dict[str, timedelta] = dataclasses.field(default_factory=dict)
    task: Any = None
    news: Condition = dataclasses.field(default_factory=Condition)

    @property
    def once(self) -> bool:
        return self.claimed or self.values["run"] == "once"

    @property
    def key(self) -> str:
        return f"{self.lane}/{self.identity}"

    @property
    def prefix_digest(self) -> str:
        kept = [self.values["model"], self.values["adapter"], self.body.get("prefix", "")]
        return hashlib.sha256(repr(kept).encode()).hexdigest()[:32]

    @property
    def body_digest(self) -> str:
        return hashlib.sha256(repr(sorted(self.body.items())).encode()).hexdigest()[:32]

    @property
    def answer(self) -> str:
        """Names the answer: a continuation is of the same model, adapter and prompt."""
        kept = [
            self.values["model"],
            self.values["adapter"],
            *(self.body.get(k) for k in ("prompt", "prefix", "pieces")),
        ]
        return hashlib.sha256(repr(kept).encode()).hexdigest()[:16]

    def add(self, *, text: str, stampUs: int) -> None:
        self.pieces.append((text, stampUs))
        self.news.notify_all()

    def end(self, *, outcome: Outcome, at: timedelta) -> None:
        if self.outcome is not None:
            return
        if self.sent and outcome.http_mapping.refusal:
            outcome = Outcome(kind=OutcomeKind.FAILED, detail=outcome.detail, retry_ms=outcome.retry_ms)
        elif self.repeat and not self.claimed and outcome.kind is not OutcomeKind.CLAIMED:
            outcome = not_refused(outcome=outcome)
        self.outcome = outcome
        self.step = Step.ENDED
        self.ended_at = at
        self.news.notify_all()

    def spans(self) -> dict[str, timedelta]:
        """How long each stage took, of a record that has passed them all."""
        found = {}
        since = self.arrived
        for stage in STAGES:
            if stage in self.reached:
                found[stage] = self.reached[stage] - since
                since = self.reached[stage]
        return found

    def digest(self, *, first: int) -> str:
        """Of the texts from a piece on, for the last line of a stream."""
        texts = [text for text, _ in self.pieces[first - self.first_piece :]]
        return hashlib.sha256("".join(texts).encode()).hexdigest()


def not_refused(*, outcome: Outcome) -> Outcome:
    """What a request that may have run elsewhere is told in place of a refusal, which would say that it has not."""
    if not outcome.http_mapping.refusal:
        return outcome
    why = {"why": outcome.kind.value, **outcome.detail, "again": "it may have run before; ask again as the same"}
    return Outcome(kind=OutcomeKind.UNKNOWN, detail=why, retry_ms=outcome.retry_ms)


def test_once_sent_a_record_never_ends_in_a_refusal_and_ends_once():
    record = RequestRecord(
        lane="l", identity="i", body={"prompt": "p"}, arrived=timedelta(), horizon=datetime(2026, 1, 1), mark=1,
        values={"run": "once", "model": "m", "adapter": None},
    )  # fmt: skip
    record.sent = True
    record.end(outcome=Outcome(kind=OutcomeKind.BUSY), at=timedelta())
    assert record.outcome.kind is OutcomeKind.FAILED
    record.end(outcome=Outcome(kind=OutcomeKind.ANSWERED), at=timedelta())
    assert record.outcome.kind is OutcomeKind.FAILED


def test_what_may_have_run_elsewhere_is_refused_only_under_the_claim():
    for claimed, kind in ((False, OutcomeKind.UNKNOWN), (True, OutcomeKind.LATE)):
        record = RequestRecord(
            lane="l", identity="i", body={"prompt": "p"}, arrived=timedelta(), horizon=datetime(2026, 1, 1), mark=1,
            values={"run": "once", "model": "m", "adapter": None}, repeat=True, claimed=claimed,
        )  # fmt: skip
        record.end(outcome=Outcome(kind=OutcomeKind.LATE), at=timedelta())
        assert record.outcome.kind is kind
