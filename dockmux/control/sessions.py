"""Sessions of data daemons: renewed at one control daemon and shared with the others through the tail."""

import dataclasses
from datetime import timedelta

from dockmux.runtime.host import Host
from dockmux.runtime.messages import PeerCard
from dockmux.runtime.time_units import UNBOUNDED, ZERO, ms


@dataclasses.dataclass(frozen=True, kw_only=True)
class TailExchange:
    """How far this member and a tail have exchanged sessions.

    Invariant: the tail knows every session renewed here before `sent_upto`, and this member knows every session that
    reached the tail before `received_until_us`, in microseconds on the tail's monotonic clock.
    """

    tail: str
    sent_upto: timedelta
    received_until_us: int


class Sessions:
    """The sessions that this member knows, by daemon name, each with the monotonic time of its newest renewal.

    Invariants: `renewed_at` has when each session was last renewed here by its own daemon, `reached_at` when its newest
    renewal reached this member, directly or through another; after expired sessions have been removed, neither has a
    session that `sessions` lacks. A session expires after `silence` without a renewal.
    """

    def __init__(self, *, host: Host, silence: timedelta) -> None:
        self.host = host
        self.silence = silence
        self.sessions: dict[str, tuple[PeerCard, timedelta]] = {}
        self.renewed_at: dict[str, timedelta] = {}
        self.reached_at: dict[str, timedelta] = {}
        self.exchange = TailExchange(tail="", sent_upto=ZERO, received_until_us=0)

    def renew(self, *, card: PeerCard) -> None:
        """Records a renewal by the daemon itself."""
        now = self.host.elapsed()
        self.sessions[card.name] = (card, now - ms(card.ageMs))
        self.renewed_at[card.name] = self.reached_at[card.name] = now

    def merge(self, *, cards: list[PeerCard]) -> None:
        """Takes over renewals reported by another member, where they are newer."""
        for card in cards:
            heard = self.host.elapsed() - ms(card.ageMs)
            known = self.sessions.get(card.name)
            if known is None or known[1] < heard:
                self.sessions[card.name] = (card, heard)
                self.reached_at[card.name] = self.host.elapsed()

    def active(self, *, since: timedelta = ZERO, at: dict[str, timedelta] | None = None) -> list[PeerCard]:
        """The sessions that have not expired, with their age, sorted by name. If `at` is given, only those that it has
        at `since` or later. Removes expired sessions."""
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
