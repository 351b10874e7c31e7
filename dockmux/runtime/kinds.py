"""The closed list of outcome kinds and the table from kind to answer."""

import dataclasses
from enum import StrEnum
from typing import Any


class Kind(StrEnum):
    """How anything that was asked of dockmux can end."""

    ANSWERED = "answered"
    # Refusals: nothing of the request has reached an engine, and nothing will.
    BUSY = "busy"
    NOT_READY = "not_ready"
    NO_ENGINE = "no_engine"
    DRAINING = "draining"
    LATE = "late"
    UNKNOWN_LANE = "unknown_lane"
    BAD_JSON = "bad_json"
    BAD_TYPE = "bad_type"
    BAD_FIELD = "bad_field"
    BAD_IDENTITY = "bad_identity"
    TOO_LARGE = "too_large"
    BODY_CUT = "body_cut"
    BODY_LATE = "body_late"
    NOT_FOUND = "not_found"
    BAD_METHOD = "bad_method"
    # After a byte may have reached an engine.
    FAILED = "failed"
    UNKNOWN = "unknown"
    CHANGED = "changed"
    CLIENT_LEFT = "client_left"
    # Operators.
    MARK_MISSING = "mark_missing"
    MARK_OUTDATED = "mark_outdated"
    INVALID = "invalid"
    NO_MAJORITY = "no_majority"
    DISK_FULL = "disk_full"
    CLAIMED = "claimed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """The HTTP side of a kind."""

    status: int
    refusal: bool
    retry: bool


ANSWERS: dict[Kind, Answer] = {
    Kind.ANSWERED: Answer(status=200, refusal=False, retry=False),
    Kind.BUSY: Answer(status=503, refusal=True, retry=True),
    Kind.NOT_READY: Answer(status=503, refusal=True, retry=True),
    Kind.NO_ENGINE: Answer(status=503, refusal=True, retry=True),
    Kind.DRAINING: Answer(status=503, refusal=True, retry=True),
    Kind.LATE: Answer(status=504, refusal=True, retry=True),
    Kind.UNKNOWN_LANE: Answer(status=404, refusal=True, retry=False),
    Kind.BAD_JSON: Answer(status=400, refusal=True, retry=False),
    Kind.BAD_TYPE: Answer(status=415, refusal=True, retry=False),
    Kind.BAD_FIELD: Answer(status=422, refusal=True, retry=False),
    Kind.BAD_IDENTITY: Answer(status=409, refusal=True, retry=False),
    Kind.TOO_LARGE: Answer(status=413, refusal=True, retry=False),
    Kind.BODY_CUT: Answer(status=400, refusal=True, retry=False),
    Kind.BODY_LATE: Answer(status=408, refusal=True, retry=True),
    Kind.NOT_FOUND: Answer(status=404, refusal=True, retry=False),
    Kind.BAD_METHOD: Answer(status=405, refusal=True, retry=False),
    Kind.FAILED: Answer(status=502, refusal=False, retry=True),
    Kind.UNKNOWN: Answer(status=504, refusal=False, retry=True),
    Kind.CHANGED: Answer(status=409, refusal=False, retry=True),
    Kind.CLIENT_LEFT: Answer(status=504, refusal=False, retry=False),
    Kind.MARK_MISSING: Answer(status=428, refusal=True, retry=False),
    Kind.MARK_OUTDATED: Answer(status=412, refusal=True, retry=False),
    Kind.INVALID: Answer(status=422, refusal=True, retry=False),
    Kind.NO_MAJORITY: Answer(status=503, refusal=True, retry=True),
    Kind.DISK_FULL: Answer(status=507, refusal=True, retry=True),
    Kind.CLAIMED: Answer(status=409, refusal=True, retry=False),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """How one asking ended. Invariant: a refusal kind is only ever given while nothing was sent."""

    kind: Kind
    detail: dict[str, Any] = dataclasses.field(default_factory=dict)
    retryMs: int = 1000

    @property
    def answer(self) -> Answer:
        return ANSWERS[self.kind]


def test_every_kind_has_its_answer():
    assert set(ANSWERS) == set(Kind)
    for kind in (Kind.FAILED, Kind.UNKNOWN, Kind.CHANGED):
        assert not ANSWERS[kind].refusal
