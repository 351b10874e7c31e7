"""The closed set of outcome kinds, and the HTTP response to each."""

import dataclasses
from enum import StrEnum
from typing import Any


class OutcomeKind(StrEnum):
    """Every way in which a request to dockmux can end."""

    ANSWERED = "answered"
    # Refusals: no part of the request has reached an engine, and none will.
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
    # Outcomes after a byte may have reached an engine.
    FAILED = "failed"
    UNKNOWN = "unknown"
    CHANGED = "changed"
    CLIENT_LEFT = "client_left"
    # Outcomes of changes to the configuration and the control plane's state.
    MARK_MISSING = "mark_missing"
    MARK_OUTDATED = "mark_outdated"
    INVALID = "invalid"
    NO_MAJORITY = "no_majority"
    DISK_FULL = "disk_full"
    CLAIMED = "claimed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class HttpMapping:
    """The HTTP response to an outcome kind: its status, whether it is a refusal, and whether to send Retry-After."""

    status: int
    refusal: bool
    retry: bool


HTTP_MAPPINGS: dict[OutcomeKind, HttpMapping] = {
    OutcomeKind.ANSWERED: HttpMapping(status=200, refusal=False, retry=False),
    OutcomeKind.BUSY: HttpMapping(status=503, refusal=True, retry=True),
    OutcomeKind.NOT_READY: HttpMapping(status=503, refusal=True, retry=True),
    OutcomeKind.NO_ENGINE: HttpMapping(status=503, refusal=True, retry=True),
    OutcomeKind.DRAINING: HttpMapping(status=503, refusal=True, retry=True),
    OutcomeKind.LATE: HttpMapping(status=504, refusal=True, retry=True),
    OutcomeKind.UNKNOWN_LANE: HttpMapping(status=404, refusal=True, retry=False),
    OutcomeKind.BAD_JSON: HttpMapping(status=400, refusal=True, retry=False),
    OutcomeKind.BAD_TYPE: HttpMapping(status=415, refusal=True, retry=False),
    OutcomeKind.BAD_FIELD: HttpMapping(status=422, refusal=True, retry=False),
    OutcomeKind.BAD_IDENTITY: HttpMapping(status=409, refusal=True, retry=False),
    OutcomeKind.TOO_LARGE: HttpMapping(status=413, refusal=True, retry=False),
    OutcomeKind.BODY_CUT: HttpMapping(status=400, refusal=True, retry=False),
    OutcomeKind.BODY_LATE: HttpMapping(status=408, refusal=True, retry=True),
    OutcomeKind.NOT_FOUND: HttpMapping(status=404, refusal=True, retry=False),
    OutcomeKind.BAD_METHOD: HttpMapping(status=405, refusal=True, retry=False),
    OutcomeKind.FAILED: HttpMapping(status=502, refusal=False, retry=True),
    OutcomeKind.UNKNOWN: HttpMapping(status=504, refusal=False, retry=True),
    OutcomeKind.CHANGED: HttpMapping(status=409, refusal=False, retry=True),
    OutcomeKind.CLIENT_LEFT: HttpMapping(status=504, refusal=False, retry=False),
    OutcomeKind.MARK_MISSING: HttpMapping(status=428, refusal=True, retry=False),
    OutcomeKind.MARK_OUTDATED: HttpMapping(status=412, refusal=True, retry=False),
    OutcomeKind.INVALID: HttpMapping(status=422, refusal=True, retry=False),
    OutcomeKind.NO_MAJORITY: HttpMapping(status=503, refusal=True, retry=True),
    OutcomeKind.DISK_FULL: HttpMapping(status=507, refusal=True, retry=True),
    OutcomeKind.CLAIMED: HttpMapping(status=409, refusal=True, retry=False),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """How one request ended. Invariant: a refusal is used only while nothing has been sent to an engine."""

    kind: OutcomeKind
    detail: dict[str, Any] = dataclasses.field(default_factory=dict)
    retry_ms: int = 1000

    @property
    def http_mapping(self) -> HttpMapping:
        return HTTP_MAPPINGS[self.kind]


def test_every_kind_has_an_http_mapping():
    assert set(HTTP_MAPPINGS) == set(OutcomeKind)
    for kind in (OutcomeKind.FAILED, OutcomeKind.UNKNOWN, OutcomeKind.CHANGED):
        assert not HTTP_MAPPINGS[kind].refusal
