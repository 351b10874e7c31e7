"""State of one client request."""

import dataclasses
import hashlib
from datetime import datetime, timedelta
from enum import StrEnum
from typing import Any

from dockmux.runtime.condition import Condition
from dockmux.runtime.outcomes import Outcome, OutcomeKind

STAGES = ("claim", "wait_read", "read", "wait_write", "hand_over", "write")


class Step(StrEnum):
    """Progress of a request; the values are on the status page."""

    CLAIM_QUEUED = "claim"  # waits for a task that submits its claim
    CLAIMING = "claiming"  # its claim has been submitted to the control plane
    PREFILL_QUEUED = "read"  # waits for an engine that runs its prefill
    PREFILLING = "reading"  # an engine runs its prefill
    DECODE_QUEUED = "write"  # waits for an engine that decodes its answer
    DECODING = "writing"  # an engine decodes, and its output is streamed
    ENDED = "ended"


@dataclasses.dataclass(kw_only=True)
class RequestRecord:
    """Invariants (times are monotonic, `deadline` is in synchronized time):
    - `sent` becomes true before the first byte of the request may leave for an engine, and stays true; from then on the
      outcome is no refusal;
    - `sends` counts the calls sent, by phase; on a lane that runs requests once neither exceeds one;
    - `pieces` (text and synchronized timestamp in us) only grows, is numbered from `first_piece` and is the same for
      every reader; `readers` counts the client streams of this answer;
    - `may_be_repeat` means that another daemon may have run the request: the client gave the identity and didn't mark
      this as its first attempt. Unless this daemon holds the claim, the request doesn't end in a refusal;
    - `known_unsent` is true only if this daemon knows that it sent nothing for this identity;
    - `stage_ends` has the time when each stage last ended;
    - `claimed` is true once the control plane has stored this daemon's claim;
    - `outcome` is set once, together with step ENDED;
    - `kv_handle` is the engine's handle of the prompt's KV cache at `prefill_engine`, None before the prefill;
    - `lane_settings` are the lane's values of the configuration `mark`; every send checks that `mark` is still current
      or takes the values of the current one.
    """

    lane: str
    identity: str
    body: dict[str, Any]
    arrived_at: timedelta
    deadline: datetime
    mark: int
    lane_settings: dict[str, Any]
    first_piece: int = 0
    step: Step = Step.PREFILL_QUEUED
    sent: bool = False
    sends: dict[str, int] = dataclasses.field(default_factory=lambda: {"prefill": 0, "decode": 0})
    tried_engines: set[str] = dataclasses.field(default_factory=set)
    retry_at: timedelta = timedelta()
    kv_handle: dict[str, Any] | None = None
    prefill_engine: dict[str, Any] | None = None
    pieces: list[tuple[str, int]] = dataclasses.field(default_factory=list)
    claimed: bool = False
    may_be_repeat: bool = False
    known_unsent: bool = False
    last_error: str = ""
    outcome: Outcome | None = None
    ended_at: timedelta = timedelta()
    readers: int = 0
    stage_ends: dict[str, timedelta] = dataclasses.field(default_factory=dict)
    task: Any = None
    changed: Condition = dataclasses.field(default_factory=Condition)

    @property
    def runs_once(self) -> bool:
        """Whether the request must not be sent twice."""
        return self.claimed or self.lane_settings["run"] == "once"

    @property
    def key(self) -> str:
        """Key in the table; claims use the same key."""
        return f"{self.lane}/{self.identity}"

    @property
    def prefix_digest(self) -> str:
        """Identifies a shared prefix together with the model and adapter, for cache affinity."""
        fields = [self.lane_settings["model"], self.lane_settings["adapter"], self.body.get("prefix", "")]
        return hashlib.sha256(repr(fields).encode()).hexdigest()[:32]

    @property
    def body_digest(self) -> str:
        """Tells a repeated request from another one under the same identity."""
        return hashlib.sha256(repr(sorted(self.body.items())).encode()).hexdigest()[:32]

    @property
    def answer_id(self) -> str:
        """Identifies the answer: it can only be continued with the same model, adapter and prompt."""
        fields = [
            self.lane_settings["model"],
            self.lane_settings["adapter"],
            *(self.body.get(k) for k in ("prompt", "prefix", "pieces")),
        ]
        return hashlib.sha256(repr(fields).encode()).hexdigest()[:16]

    def add_piece(self, *, text: str, stamp_us: int) -> None:
        """Adds the next piece and wakes the streams to clients."""
        self.pieces.append((text, stamp_us))
        self.changed.notify_all()

    def end(self, *, outcome: Outcome, at: timedelta) -> None:
        """Sets the outcome, once; a refusal becomes `failed` after a send, and `unknown` for a possible repeat."""
        if self.outcome is not None:
            return
        if self.sent and outcome.http_mapping.refusal:
            outcome = Outcome(kind=OutcomeKind.FAILED, detail=outcome.detail, retry_ms=outcome.retry_ms)
        elif self.may_be_repeat and not self.claimed and outcome.kind is not OutcomeKind.CLAIMED:
            outcome = refusal_as_unknown(outcome=outcome)
        self.outcome = outcome
        self.step = Step.ENDED
        self.ended_at = at
        self.changed.notify_all()

    def stage_spans(self) -> dict[str, timedelta]:
        """Duration of each stage, for an answered request."""
        spans = {}
        since = self.arrived_at
        for stage in STAGES:
            if stage in self.stage_ends:
                spans[stage] = self.stage_ends[stage] - since
                since = self.stage_ends[stage]
        return spans

    def text_digest(self, *, first: int) -> str:
        """Digest of the text from piece `first` on, for the last line of a stream."""
        texts = [text for text, _ in self.pieces[first - self.first_piece :]]
        return hashlib.sha256("".join(texts).encode()).hexdigest()


def refusal_as_unknown(*, outcome: Outcome) -> Outcome:
    """Replaces a refusal by `unknown` for a request that another daemon may have run: a refusal states that it wasn't
    run."""
    if not outcome.http_mapping.refusal:
        return outcome
    detail = {
        "why": outcome.kind.value,
        **outcome.detail,
        "again": "it may have run before; ask again as the same",
    }
    return Outcome(kind=OutcomeKind.UNKNOWN, detail=detail, retry_ms=outcome.retry_ms)


def test_a_sent_request_is_never_refused_and_ends_once():
    record = RequestRecord(
        lane="l", identity="i", body={"prompt": "p"}, arrived_at=timedelta(), deadline=datetime(2026, 1, 1), mark=1,
        lane_settings={"run": "once", "model": "m", "adapter": None},
    )  # fmt: skip
    record.sent = True
    record.end(outcome=Outcome(kind=OutcomeKind.BUSY), at=timedelta())
    assert record.outcome.kind is OutcomeKind.FAILED
    record.end(outcome=Outcome(kind=OutcomeKind.ANSWERED), at=timedelta())
    assert record.outcome.kind is OutcomeKind.FAILED


def test_a_possible_repeat_is_refused_only_by_the_holder_of_its_claim():
    for claimed, kind in ((False, OutcomeKind.UNKNOWN), (True, OutcomeKind.LATE)):
        record = RequestRecord(
            lane="l", identity="i", body={"prompt": "p"}, arrived_at=timedelta(), deadline=datetime(2026, 1, 1), mark=1,
            lane_settings={"run": "once", "model": "m", "adapter": None}, may_be_repeat=True, claimed=claimed,
        )  # fmt: skip
        record.end(outcome=Outcome(kind=OutcomeKind.LATE), at=timedelta())
        assert record.outcome.kind is kind
