"""One user agent's request, sent and checked piece by piece."""

import dataclasses
import hashlib
import json
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.accord.host import Host, within
from dockmux.accord.web import HttpStream

CONNECT_LIMIT = timedelta(seconds=2)
OVERTIME = timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ask:
    """What is to be sent. Invariant: `texts` is the whole right answer."""

    lane: str
    identity: str
    body: dict[str, Any]
    texts: list[str]
    horizon: timedelta
    edge: str


@dataclasses.dataclass(kw_only=True)
class Seen:
    """What came of it. Invariants: times are since the run's start, `intended` is when it was to be sent, whether
    or not it could be; `wrong` names every breach of the promise that the stream itself shows."""

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
    detail: dict[str, Any] = dataclasses.field(default_factory=dict)
    wrong: list[str] = dataclasses.field(default_factory=list)


def send(*, host: Host, ask: Ask, seen: Seen, since: timedelta, start: int = 0) -> None:
    """Sends one request and reads its stream to the end; what is seen goes into `seen`."""
    seen.count = start
    try:
        with (
            within(wait=ask.horizon + OVERTIME),
            HttpStream(host=host, address=ask.edge, wait=CONNECT_LIMIT) as stream,
        ):
            try:
                stream.connect()
            except (OSError, urllib3.exceptions.HTTPError):
                seen.kind = "unreachable"
                return
            seen.kind = "cut"
            headers = {"Idempotency-Key": ask.identity, "User-Agent": "surge"}
            if start:
                headers["Dockmux-Resume-From"] = str(start)
            response = stream.ask(method="POST", path=f"/lanes/{ask.lane}", fields=ask.body, headers=headers)
            seen.status = response.status
            if response.status != 200:
                _refusal(seen=seen, response=response)
            else:
                _stream(host=host, ask=ask, seen=seen, response=response, since=since, start=start)
    except TimeoutError:
        seen.kind = "silent"
        seen.wrong.append("no outcome by the horizon and three seconds")
    except (OSError, urllib3.exceptions.HTTPError, ValueError) as error:
        seen.detail = {"error": f"{type(error).__name__}: {error}"[:200]}
    finally:
        seen.ended = host.elapsed() - since


def _refusal(*, seen: Seen, response: Any) -> None:
    told = json.loads(response.read())
    seen.kind = told["outcome"]
    seen.detail = told
    seen.retryMs = told.get("retryMs", 0)
    if response.status >= 500 and "Retry-After" not in response.headers:
        seen.wrong.append("given up without Retry-After")


def _stream(*, host: Host, ask: Ask, seen: Seen, response: Any, since: timedelta, start: int) -> None:
    texts: list[str] = []
    stampUs = 0
    for line in response:
        if seen.complete:
            seen.wrong.append("something came after the last line")
        told = json.loads(line)
        if told["request"] != ask.identity:
            seen.wrong.append(f"a piece of {told['request']}")
        if "outcome" in told:
            _last(ask=ask, seen=seen, told=told, texts=texts, start=start)
            continue
        if seen.first is None:
            seen.first = host.elapsed() - since
        if told["n"] != seen.count:
            seen.wrong.append(f"piece {told['n']} where {seen.count} was due")
        elif told["n"] >= len(ask.texts) or told["text"] != ask.texts[told["n"]]:
            seen.wrong.append(f"piece {told['n']} is not of this answer")
        if told["stampUs"] < stampUs:
            seen.wrong.append(f"piece {told['n']} is stamped before the one before it")
        stampUs = told["stampUs"]
        texts.append(told["text"])
        seen.count += 1


def _last(*, ask: Ask, seen: Seen, told: dict[str, Any], texts: list[str], start: int) -> None:
    seen.kind = told["outcome"]
    seen.complete = told["complete"]
    seen.retryMs = told.get("retryMs", 0)
    seen.detail = {k: v for k, v in told.items() if k in ("why", "retryMs")}
    if seen.complete:
        if told["count"] != seen.count or seen.count != len(ask.texts):
            seen.wrong.append(f"complete with {seen.count} of {len(ask.texts)} pieces")
        if told["digest"] != hashlib.sha256("".join(texts).encode()).hexdigest():
            seen.wrong.append("the digest does not fit the pieces")
        if told["outcome"] != "answered":
            seen.wrong.append("complete but not answered")
