"""HTTP client of the control plane: sends a request to the cores in turn until one of them can answer it."""

import json
from datetime import timedelta
from typing import Any

import urllib3.exceptions

from dockmux.runtime.host import Host
from dockmux.runtime.http_client import fetch

REQUEST_TIMEOUT = timedelta(seconds=8)


class NoCoreReachable(Exception):
    """None of the configured cores answered."""


class CoreClient:
    """Client of a list of cores, each given as `IP:port` of its HTTP interface.

    Invariant: a change is sent to another core only while no earlier core can have accepted it."""

    def __init__(self, *, host: Host, addresses: list[str]) -> None:
        self.host = host
        self.addresses = addresses

    def request(
        self, *, method: str, path: str, fields: Any = None, headers: dict[str, str] | None = None
    ) -> tuple[int, Any]:
        """Returns HTTP status and decoded JSON body of the first answer other than 503, or of the last 503.

        If the connection fails after a change may have been delivered, the result is 504 with the outcome `unknown`.
        Raises NoCoreReachable if no core answered."""
        response: tuple[int, Any] | None = None
        for address in self.addresses:
            try:
                status, body, _ = fetch(
                    host=self.host,
                    address=address,
                    method=method,
                    path=path,
                    wait=REQUEST_TIMEOUT,
                    fields=fields,
                    headers=headers,
                )
            except (OSError, urllib3.exceptions.HTTPError) as error:
                if method == "GET" or isinstance(error, ConnectionRefusedError) or response is not None:
                    continue
                return 504, {"outcome": "unknown", "why": f"{address} did not answer: see `edict show`"}
            response = (status, body)
            if status != 503:
                return response
        if response is None:
            raise NoCoreReachable(f"none of {', '.join(self.addresses)} answers")
        return response

    def get_from_each(self, *, path: str, addresses: list[str] | None = None) -> list[tuple[str, Any]]:
        """Sends a GET to every address (default: all cores) and returns (address, JSON body) for each, in order.

        The body is None for a daemon that does not answer with status 200 and valid JSON."""
        answers: list[tuple[str, Any]] = []
        for address in addresses if addresses is not None else self.addresses:
            try:
                status, fields, _ = fetch(
                    host=self.host, address=address, method="GET", path=path, wait=timedelta(seconds=2)
                )
                answers.append((address, fields if status == 200 else None))
            except (OSError, urllib3.exceptions.HTTPError, json.JSONDecodeError):
                answers.append((address, None))
        return answers
