"""Defines the content of a day: faults, planned work and a closing fault."""

from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """The kinds of fault and planned work that the bench supports; the values are the bench's names."""

    ACK_LOST = "ack_lost"
    AFTER_ACK_KILL = "after_ack_kill"
    AFTER_ACK_WIPE = "after_ack_wipe"
    ANSWER_LOST = "answer_lost"
    BAD_CONFIG = "bad_config"
    BURST = "burst"
    CLOCK_STEP = "clock_step"
    CONFIG_CHANGE = "config_change"
    CONFIG_RACE = "config_race"
    CONFIG_STORM = "config_storm"
    CORE_CUT = "core_cut"
    DISK_FULL = "disk_full"
    DISK_SLOW = "disk_slow"
    DISK_STALL = "disk_stall"
    GARBLE = "garble"
    HANDLE_SHORT = "handle_short"
    HERD_KILL = "herd_kill"
    HUP = "hup"
    KV_SLOW = "kv_slow"
    NODE_CUT = "node_cut"
    NODE_FREEZE = "node_freeze"
    NODE_KILL = "node_kill"
    NODE_SLOW = "node_slow"
    RELEASE = "release"
    REPLACE_CORE = "replace_core"
    REPLACE_WITH_REUSE = "replace_with_reuse"
    RESET_CONNS = "reset_conns"
    RETRY_ABUSE = "retry_abuse"
    ROLL_TERM = "roll_term"
    SCALE_IN = "scale_in"
    SCALE_OUT = "scale_out"
    SEED_TURNOVER = "seed_turnover"
    SRV_CRASH = "srv_crash"
    SRV_GREY = "srv_grey"
    SRV_SLOW = "srv_slow"


PLANNED_KINDS = frozenset(
    {
        Kind.BAD_CONFIG,
        Kind.CONFIG_CHANGE,
        Kind.CONFIG_RACE,
        Kind.CONFIG_STORM,
        Kind.HUP,
        Kind.RELEASE,
        Kind.ROLL_TERM,
        Kind.SCALE_OUT,
        Kind.SEED_TURNOVER,
    }
)


@dataclass(frozen=True, kw_only=True)
class ScheduledEvent:
    """One fault or piece of planned work in a day.

    `at_s` is in seconds from the start of the day; `for_s` is a duration and `gap_s` an interval, both in seconds.
    `share` is a fraction of the possible targets, `count` a number, and `strength` the key `x` of a day file. Fields
    that are None get the bench's default.
    """

    kind: Kind
    at_s: float
    for_s: float | None = None
    gap_s: float | None = None
    share: float | None = None
    count: int | None = None
    strength: float | None = None
    how: str | None = None
    on: str | None = None

    @property
    def planned(self) -> bool:
        """Whether the event is planned work rather than a fault."""
        return self.kind in PLANNED_KINDS or (self.kind is Kind.REPLACE_CORE and self.how == "planned")

    @property
    def end_s(self) -> float:
        """End of the event in seconds from the start of the day; the start itself if no duration is given."""
        return self.at_s + (self.for_s or 0.0)

    def to_table(self) -> dict[str, object]:
        """Returns the entry under the keys of a day file, without the fields that are None."""
        fields: dict[str, object] = {
            "at": round(self.at_s, 2),
            "kind": str(self.kind),
            "on": self.on,
            "count": self.count,
            "share": self.share,
            "x": self.strength,
            "for_s": self.for_s,
            "gap_s": self.gap_s,
            "how": self.how,
        }
        return {name: value for name, value in fields.items() if value is not None}


@dataclass(frozen=True, kw_only=True)
class ClosingFault:
    """The fault injected right after the last acknowledged configuration change."""

    kind: str
    down_s: float
    how: str | None = None

    def to_table(self) -> dict[str, object]:
        """Returns the closing fault under the keys of a day file, without the fields that are None."""
        fields = {"kind": self.kind, "down_s": self.down_s, "how": self.how}
        return {name: value for name, value in fields.items() if value is not None}


@dataclass(frozen=True, kw_only=True)
class Day:
    """One day for the bench to run; empty `traffic` means the traffic of the site file."""

    name: str
    seed: int
    length_s: float
    closing: ClosingFault
    events: tuple[ScheduledEvent, ...]
    traffic: tuple[dict[str, object], ...] = ()

    def to_table(self) -> dict[str, object]:
        """Returns the day under the keys of a day file, with its events in order of time."""
        ordered = sorted(self.events, key=lambda event: event.at_s)
        entry: dict[str, object] = {
            "name": self.name,
            "slot": "trouble",
            "seed": self.seed,
            "length_s": self.length_s,
            "closing": self.closing.to_table(),
            "plan": [event.to_table() for event in ordered if event.planned],
            "faults": [event.to_table() for event in ordered if not event.planned],
        }
        if self.traffic:
            entry["traffic"] = list(self.traffic)
        return entry
