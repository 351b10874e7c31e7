"""Answers of an emulated engine: a pure function of the request, so that a client can check every piece."""

import hashlib
from typing import Any


def prompt_digest(*, prompt: str, prefix: str) -> str:
    """Returns 32 hexadecimal digits that stand for the content of the KV cache after prefill."""
    return hashlib.sha256(f"{len(prefix)}|{prefix}|{prompt}".encode()).hexdigest()[:32]


def piece_text(*, request: str, model: str, adapter: str | None, digest: str, n: int) -> str:
    """Returns piece `n` (from 0) of the answer; `digest` is the prompt digest."""
    text = f"{request}|{model}|{adapter}|{digest}|{n}"
    return hashlib.sha256(text.encode()).hexdigest()[:12] + " "


def piece_count(*, pieces: int | None, digest: str) -> int:
    """Returns the length of the answer: as requested, or 4 to 15 pieces by the prompt digest."""
    return pieces if pieces else 4 + int(digest[:2], 16) % 12


def expected_answer(*, request: str, model: str, adapter: str | None, body: dict[str, Any]) -> list[str]:
    """Returns all pieces of the answer to a request body as clients send it."""
    digest = prompt_digest(prompt=body["prompt"], prefix=body.get("prefix", ""))
    total = piece_count(pieces=body.get("pieces"), digest=digest)
    return [piece_text(request=request, model=model, adapter=adapter, digest=digest, n=n) for n in range(total)]
