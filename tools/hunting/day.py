"""What a day holds: faults, planned work and a closing fault."""

from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """The kinds of trouble that the bench knows by these names."""

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


ALWAYS_PLANNED = frozenset(
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
class Trouble:
    """One entry of a day. Fields left out get the bench's default."""

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
        """Whether it is planned work and not a fault."""
        return self.kind in ALWAYS_PLANNED or (self.kind is Kind.REPLACE_CORE and self.how == "planned")

    @property
    def end_s(self) -> float:
        """When it is over, as far as its own fields say."""
        return self.at_s + (self.for_s or 0.0)

    def table(self) -> dict[str, object]:
        """The entry in the words of a day file."""
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
class Closing:
    """The fault right after the last acknowledged change."""

    kind: str
    down_s: float
    how: str | None = None

    def table(self) -> dict[str, object]:
        """The closing fault in the words of a day file."""
        fields = {"kind": self.kind, "down_s": self.down_s, "how": self.how}
        return {name: value for name, value in fields.items() if value is not None}


@dataclass(frozen=True, kw_only=True)
class Day:
    """One day to be played."""

    name: str
    seed: int
    length_s: float
    closing: Closing
    troubles: tuple[Trouble, ...]
    traffic: tuple[dict[str, object], ...] = ()

    def table(self) -> dict[str, object]:
        """The day in the words of a day file."""
        ordered = sorted(self.troubles, key=lambda trouble: trouble.at_s)
        table: dict[str, object] = {
            "name": self.name,
            "slot": "trouble",
            "seed": self.seed,
            "length_s": self.length_s,
            "closing": self.closing.table(),
            "plan": [trouble.table() for trouble in ordered if trouble.planned],
            "faults": [trouble.table() for trouble in ordered if not trouble.planned],
        }
        if self.traffic:
            table["traffic"] = list(self.traffic)
        return table
