"""Sessions of data daemons: renewed at one control daemon, told to all of them."""

import dataclasses
from datetime import timedelta

from dockmux.runtime.host import Host
from dockmux.runtime.messages import PeerCard
from dockmux.runtime.time_units import UNBOUNDED, ZERO, ms


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shared:
    """What this member and a tail have told each other of sessions. Invariant: all that was renewed here before `upto`
    is known there, and all that had reached it before `untilUs`, on its monotonic clock, is known here."""

    tail: str
    upto: timedelta
    untilUs: int


class Sessions:
    """Invariants: `renewed_at` says when each session was last renewed here by its own daemon, `reached_at` when its
    newest renewal reached this member, by whatever way; neither holds a session that `sessions` lacks once this was
    tidied."""

    def __init__(self, *, host: Host, silence: timedelta) -> None:
        self.host = host
        self.silence = silence
        self.sessions: dict[str, tuple[PeerCard, timedelta]] = {}
        self.renewed_at: dict[str, timedelta] = {}
        self.reached_at: dict[str, timedelta] = {}
        self.shared = Shared(tail="", upto=ZERO, untilUs=0)

    def note(self, *, card: PeerCard) -> None:
        now = self.host.elapsed()
        self.sessions[card.name] = (card, now - ms(card.ageMs))
        self.renewed_at[card.name] = self.reached_at[card.name] = now

    def hear(self, *, cards: list[PeerCard]) -> None:
        for card in cards:
            heard = self.host.elapsed() - ms(card.ageMs)
            known = self.sessions.get(card.name)
            if known is None or known[1] < heard:
                self.sessions[card.name] = (card, heard)
                self.reached_at[card.name] = self.host.elapsed()

    def standing(self, *, since: timedelta = ZERO, at: dict[str, timedelta] | None = None) -> list[PeerCard]:
        """Every session that stands, wherever it was renewed, with its age; of those in `at` only, and noted there at
        `since` or later, when it is given."""
        now = self.host.elapsed()
        limit = self.silence
        for name in [name for name, (_, heard) in self.sessions.items() if now - heard >= limit]:
            del self.sessions[name], self.reached_at[name]
            self.renewed_at.pop(name, None)
        names = self.sessions if at is None else [name for name in self.sessions if at.get(name, -UNBOUNDED) >= since]
        return [
            dataclasses.replace(card, ageMs=(now - heard) // ms(1))
            for card, heard in (self.sessions[name] for name in sorted(names))
        ]
