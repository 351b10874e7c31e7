"""The answer that a stand-in engine gives: a function of the request, so that every piece can be checked."""

import hashlib
from typing import Any


def prompt_digest(*, prompt: str, prefix: str) -> str:
    return hashlib.sha256(f"{len(prefix)}|{prefix}|{prompt}".encode()).hexdigest()[:32]


def piece(*, request: str, model: str, adapter: str | None, digest: str, n: int) -> str:
    text = f"{request}|{model}|{adapter}|{digest}|{n}"
    return hashlib.sha256(text.encode()).hexdigest()[:12] + " "


def count(*, pieces: int | None, digest: str) -> int:
    return pieces if pieces else 4 + int(digest[:2], 16) % 12


def expected(*, request: str, model: str, adapter: str | None, body: dict[str, Any]) -> list[str]:
    """The whole answer to a request."""
    digest = prompt_digest(prompt=body["prompt"], prefix=body.get("prefix", ""))
    total = count(pieces=body.get("pieces"), digest=digest)
    return [piece(request=request, model=model, adapter=adapter, digest=digest, n=n) for n in range(total)]
