"""HTTP client for one request: sends it and checks its answer stream piece by piece."""

import dataclasses
import hashlib
import json
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_client import HttpClientConnection

CONNECT_TIMEOUT = timedelta(seconds=2)
# Time after the horizon within which every request must have an outcome.
OUTCOME_GRACE = timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadRequest:
    """A request to send to `edge`, the address of a proxy.

    Invariants: `answers` holds every correct complete answer as a list of pieces, one for each model and adapter that
    the lane may be configured with; if `sends_attempt_number` is set, the client sends the number of each attempt."""

    lane: str
    identity: str
    body: dict[str, Any]
    answers: list[list[str]]
    horizon: timedelta
    edge: str
    sends_attempt_number: bool = True


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """One attempt at a request, with its result.

    Invariants: times are relative to the start of the run; `intended` is the time at which the attempt was scheduled,
    even if it was sent later; `number` counts from 1; `resume_from` is the number of pieces received by the attempts
    that this one resumes; `matching_answers` holds the indexes of the answers that agree with every piece so far,
    including the pieces of those attempts; `violations` describes every violation of the protocol that the stream
    itself shows."""

    lane: str
    identity: str
    edge: str
    intended: timedelta
    kind: str = "silent"
    status: int = 0
    first: timedelta | None = None
    ended: timedelta | None = None
    count: int = 0
    complete: bool = False
    retry_ms: int = 0
    number: int = 1
    resume_from: int = 0
    answer_id: str = ""
    matching_answers: list[int] | None = None
    detail: dict[str, Any] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)


def send(*, host: Host, request: LoadRequest, attempt: Attempt, since: timedelta) -> None:
    """Sends one request, starting at piece `attempt.resume_from`, and reads its stream to the end.

    Results are stored in `attempt`; `since` is the start of the run on the host's clock."""
    attempt.count = attempt.resume_from
    if attempt.matching_answers is None:
        attempt.matching_answers = list(range(len(request.answers)))
    try:
        with (
            time_limit(wait=request.horizon + OUTCOME_GRACE),
            HttpClientConnection(host=host, address=request.edge, wait=CONNECT_TIMEOUT) as stream,
        ):
            try:
                stream.connect()
            except (OSError, urllib3.exceptions.HTTPError):
                attempt.kind = "unreachable"
                return
            attempt.kind = "cut"
            headers = {"Idempotency-Key": request.identity, "User-Agent": "surge"}
            if request.sends_attempt_number:
                headers["Dockmux-Attempt"] = str(attempt.number)
            if attempt.resume_from:
                headers |= {"Dockmux-Resume-From": str(attempt.resume_from), "Dockmux-Resume-Of": attempt.answer_id}
            response = stream.call(method="POST", path=f"/lanes/{request.lane}", fields=request.body, headers=headers)
            attempt.status = response.status
            if response.status != 200:
                _read_refusal(attempt=attempt, response=response)
            else:
                _read_stream(host=host, request=request, attempt=attempt, response=response, since=since)
    except TimeoutError:
        attempt.kind = "silent"
        attempt.violations.append("no outcome by the horizon and three seconds")
    except (OSError, urllib3.exceptions.HTTPError, ValueError) as error:
        attempt.detail = {"error": f"{type(error).__name__}: {error}"[:200]}
    finally:
        attempt.ended = host.elapsed() - since


def _read_refusal(*, attempt: Attempt, response: Any) -> None:
    body = json.loads(response.read())
    attempt.kind = body["outcome"]
    attempt.detail = body
    attempt.retry_ms = body.get("retryMs", 0)
    if response.status >= 500 and "Retry-After" not in response.headers:
        attempt.violations.append("given up without Retry-After")


def _read_stream(*, host: Host, request: LoadRequest, attempt: Attempt, response: Any, since: timedelta) -> None:
    texts: list[str] = []
    attempt.answer_id = response.headers.get("Dockmux-Answer", "")
    previous_stamp_us = 0
    for line in response:
        if attempt.complete:
            attempt.violations.append("something came after the last line")
        line_fields = json.loads(line)
        if line_fields["request"] != request.identity:
            attempt.violations.append(f"a piece of {line_fields['request']}")
        if "outcome" in line_fields:
            _read_last_line(request=request, attempt=attempt, line_fields=line_fields, texts=texts)
            continue
        if attempt.first is None:
            attempt.first = host.elapsed() - since
        if line_fields["n"] != attempt.count:
            attempt.violations.append(f"piece {line_fields['n']} where {attempt.count} was due")
        elif any(line_fields["text"] in answer[: line_fields["n"]] for answer in request.answers):
            attempt.violations.append(f"piece {line_fields['n']} is an earlier one, where {line_fields['n']} was due")
        else:
            attempt.matching_answers = [
                index
                for index in attempt.matching_answers
                if request.answers[index][line_fields["n"] : line_fields["n"] + 1] == [line_fields["text"]]
            ]
            if not attempt.matching_answers:
                attempt.violations.append(f"piece {line_fields['n']} is not of this answer")
        if line_fields["stampUs"] < previous_stamp_us:
            attempt.violations.append(f"piece {line_fields['n']} is stamped before the one before it")
        previous_stamp_us = line_fields["stampUs"]
        texts.append(line_fields["text"])
        attempt.count += 1


def _read_last_line(*, request: LoadRequest, attempt: Attempt, line_fields: dict[str, Any], texts: list[str]) -> None:
    attempt.kind = line_fields["outcome"]
    attempt.complete = line_fields["complete"]
    attempt.retry_ms = line_fields.get("retryMs", 0)
    attempt.detail = {k: v for k, v in line_fields.items() if k in ("why", "retryMs")}
    if attempt.complete:
        whole = len(request.answers[0])
        if line_fields["count"] != attempt.count or attempt.count != whole:
            attempt.violations.append(f"complete with {attempt.count} of {whole} pieces")
        if line_fields["digest"] != hashlib.sha256("".join(texts).encode()).hexdigest():
            attempt.violations.append("the digest does not fit the pieces")
        if line_fields["outcome"] != "answered":
            attempt.violations.append("complete but not answered")
