"""One user agent's request, sent and checked piece by piece."""

import dataclasses
import hashlib
import json
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.runtime.host import Host, time_limit
from dockmux.runtime.http_transport import HttpClientConnection

CONNECT_LIMIT = timedelta(seconds=2)
OVERTIME = timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LoadRequest:
    """What is to be sent. Invariants: `answers` holds every whole answer that is right, one for each model and adapter
    that the lane may have; `numbered` says that the user agent tells which of its attempts this is."""

    lane: str
    identity: str
    body: dict[str, Any]
    answers: list[list[str]]
    horizon: timedelta
    edge: str
    numbered: bool = True


@dataclasses.dataclass(kw_only=True)
class Attempt:
    """What came of it. Invariants: times are since the run's start, `intended` is when it was to be sent, whether
    or not it could be; `attempt` counts from 1; `fits` holds the places of the answers that every piece so far is of,
    those of the attempts that this one goes on from included; `wrong` names every breach of the promise that the
    stream itself shows."""

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
    retryMs: int = 0
    attempt: int = 1
    start: int = 0
    answer: str = ""
    fits: list[int] | None = None
    detail: dict[str, Any] = dataclasses.field(default_factory=dict)
    wrong: list[str] = dataclasses.field(default_factory=list)


def send(*, host: Host, ask: LoadRequest, seen: Attempt, since: timedelta) -> None:
    """Sends one request, from piece `seen.start` on, and reads its stream to the end; what is seen goes into `seen`."""
    seen.count = seen.start
    if seen.fits is None:
        seen.fits = list(range(len(ask.answers)))
    try:
        with (
            time_limit(wait=ask.horizon + OVERTIME),
            HttpClientConnection(host=host, address=ask.edge, wait=CONNECT_LIMIT) as stream,
        ):
            try:
                stream.connect()
            except (OSError, urllib3.exceptions.HTTPError):
                seen.kind = "unreachable"
                return
            seen.kind = "cut"
            headers = {"Idempotency-Key": ask.identity, "User-Agent": "surge"}
            if ask.numbered:
                headers["Dockmux-Attempt"] = str(seen.attempt)
            if seen.start:
                headers |= {"Dockmux-Resume-From": str(seen.start), "Dockmux-Resume-Of": seen.answer}
            response = stream.call(method="POST", path=f"/lanes/{ask.lane}", fields=ask.body, headers=headers)
            seen.status = response.status
            if response.status != 200:
                _refusal(seen=seen, response=response)
            else:
                _stream(host=host, ask=ask, seen=seen, response=response, since=since)
    except TimeoutError:
        seen.kind = "silent"
        seen.wrong.append("no outcome by the horizon and three seconds")
    except (OSError, urllib3.exceptions.HTTPError, ValueError) as error:
        seen.detail = {"error": f"{type(error).__name__}: {error}"[:200]}
    finally:
        seen.ended = host.elapsed() - since


def _refusal(*, seen: Attempt, response: Any) -> None:
    told = json.loads(response.read())
    seen.kind = told["outcome"]
    seen.detail = told
    seen.retryMs = told.get("retryMs", 0)
    if response.status >= 500 and "Retry-After" not in response.headers:
        seen.wrong.append("given up without Retry-After")


def _stream(*, host: Host, ask: LoadRequest, seen: Attempt, response: Any, since: timedelta) -> None:
    texts: list[str] = []
    seen.answer = response.headers.get("Dockmux-Answer", "")
    stampUs = 0
    for line in response:
        if seen.complete:
            seen.wrong.append("something came after the last line")
        told = json.loads(line)
        if told["request"] != ask.identity:
            seen.wrong.append(f"a piece of {told['request']}")
        if "outcome" in told:
            _last(ask=ask, seen=seen, told=told, texts=texts)
            continue
        if seen.first is None:
            seen.first = host.elapsed() - since
        if told["n"] != seen.count:
            seen.wrong.append(f"piece {told['n']} where {seen.count} was due")
        elif any(told["text"] in answer[: told["n"]] for answer in ask.answers):
            seen.wrong.append(f"piece {told['n']} is an earlier one, where {told['n']} was due")
        else:
            seen.fits = [
                place for place in seen.fits if ask.answers[place][told["n"] : told["n"] + 1] == [told["text"]]
            ]
            if not seen.fits:
                seen.wrong.append(f"piece {told['n']} is not of this answer")
        if told["stampUs"] < stampUs:
            seen.wrong.append(f"piece {told['n']} is stamped before the one before it")
        stampUs = told["stampUs"]
        texts.append(told["text"])
        seen.count += 1


def _last(*, ask: LoadRequest, seen: Attempt, told: dict[str, Any], texts: list[str]) -> None:
    seen.kind = told["outcome"]
    seen.complete = told["complete"]
    seen.retryMs = told.get("retryMs", 0)
    seen.detail = {k: v for k, v in told.items() if k in ("why", "retryMs")}
    if seen.complete:
        whole = len(ask.answers[0])
        if told["count"] != seen.count or seen.count != whole:
            seen.wrong.append(f"complete with {seen.count} of {whole} pieces")
        if told["digest"] != hashlib.sha256("".join(texts).encode()).hexdigest():
            seen.wrong.append("the digest does not fit the pieces")
        if told["outcome"] != "answered":
            seen.wrong.append("complete but not answered")
