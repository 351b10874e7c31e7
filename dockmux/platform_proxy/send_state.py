"""What is known about one send of a request to an engine, and what follows from it (table in docs/sends.md)."""

import dataclasses
from enum import StrEnum
from typing import ClassVar


class SendState(StrEnum):
    """How far one send got, as far as this daemon can know. A send only moves from UNSENT to MAY_HAVE_RUN, and from
    there to one of the other two."""

    UNSENT = "unsent"  # No byte was written to a connection.
    MAY_HAVE_RUN = "may have run"  # A byte was written, and the engine has not said what became of the request.
    REJECTED = "rejected"  # The engine stated, naming the request, that it was not and will not be run.
    RAN = "ran"  # An answer to this request has begun.

    @property
    def counts_as_try(self) -> bool:
        """Whether the send is one of the route's tries."""
        return self is not SendState.UNSENT

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have been run: it is then not refused any more, and not sent again unless it may be
        repeated."""
        return self in (SendState.MAY_HAVE_RUN, SendState.RAN)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unsent:
    """No connection to the engine; nothing of the request was sent. `refused` means that the machine is reachable and
    no engine listens on it."""

    state: ClassVar[SendState] = SendState.UNSENT
    reason: str
    refused: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejected:
    """The engine states that it has not run the request and will not. `other_engine` means that the engine at the
    address is not the one that the request was addressed to, `is_malformed` that the statement has no proper end."""

    state: ClassVar[SendState] = SendState.REJECTED
    reason: str
    other_engine: bool
    is_malformed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnknownOutcome:
    """The request was sent at least in part, and it is not known whether the engine ran it."""

    state: ClassVar[SendState] = SendState.MAY_HAVE_RUN
    reason: str
