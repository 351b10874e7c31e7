"""How the command line reaches the control plane: any core, the next one when one cannot help."""

import json
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.runtime.host import Host
from dockmux.runtime.http_transport import fetch

ASK_LIMIT = timedelta(seconds=8)


class Unreached(Exception):
    """No core gave an answer."""


class Cores:
    """Invariant: a change is sent to a further core only while no core can have taken it."""

    def __init__(self, *, host: Host, addresses: list[str]) -> None:
        self.host = host
        self.addresses = addresses

    def ask(
        self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        found: tuple[int, Any] | None = None
        for address in self.addresses:
            try:
                status, told, _ = fetch(
                    host=self.host,
                    address=address,
                    method=method,
                    path=path,
                    wait=ASK_LIMIT,
                    fields=fields,
                    headers=headers,
                )
            except (OSError, urllib3.exceptions.HTTPError) as error:
                if method == "GET" or isinstance(error, ConnectionRefusedError) or found is not None:
                    continue
                return 504, {"outcome": "unknown", "why": f"{address} did not answer: see `edict show`"}
            found = (status, told)
            if status != 503:
                return found
        if found is None:
            raise Unreached(f"none of {', '.join(self.addresses)} answers")
        return found

    def each(self, *, path: str, addresses: list[str] | None = None) -> list[tuple[str, Any]]:
        """What every one of them tells; None for one that does not answer."""
        told: list[tuple[str, Any]] = []
        for address in addresses if addresses is not None else self.addresses:
            try:
                status, fields, _ = fetch(
                    host=self.host, address=address, method="GET", path=path, wait=timedelta(seconds=2)
                )
                told.append((address, fields if status == 200 else None))
            except (OSError, urllib3.exceptions.HTTPError, json.JSONDecodeError):
                told.append((address, None))
        return told
