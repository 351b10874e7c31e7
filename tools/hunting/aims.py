"""Draws the troubles of a day. Each aim is one way in which replicated state is lost or served wrongly."""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random

from .day import Closing, Day, Kind, Trouble
from .site_file import Site

FIRST_AT_S = 3.0
"""Before this nothing is drawn: the first configuration has just been taken."""
LAST_CHANGE_BEFORE_END_S = 4.0
LONG_CUT_S = (16.0, 24.0)
CORE = "core"
FOLLOW_UP_DELAY_S = (0.0, 2.5)
CUT_HOWS = (
    "",
    "leader",
    "leader reset",
    "leader refuse",
    "leader race",
    "leader race drain hard",
    "leader one_way",
    "one_way",
    "one_way reset",
    "reader",
    "reader one_way",
    "seed",
    "seeds",
    "both",
    "meet",
)
KILL_HOWS = ("", "power", "leader", "power leader", "leader race drain", "meet drain", "leader meet hard", "seed")
CLOSINGS = (
    ("power_off_all", None),
    ("power_off_all", "timed"),
    ("power_off_all", "taken"),
    ("wipe_after_ack", None),
    ("wipe_after_ack", "aimed"),
    ("wipe_after_ack", "timed"),
    ("wipe_after_ack", "taken"),
    ("kill_all", None),
    ("kill_all", "timed"),
)
DEFAULT_STORM_S = 5.0
DEFAULT_GAP_S = 1.0
STALE_ORDERS = ("old_version", "same_version", "stale_match")


class Aim(StrEnum):
    """What a day is aimed at."""

    CUT = "cut"
    RACE = "race"
    MEMBERSHIP = "membership"
    LOG = "log"
    SENDS = "sends"
    ALL = "all"


SINGLE_AIMS = tuple(aim for aim in Aim if aim is not Aim.ALL)


@dataclass(frozen=True, kw_only=True)
class Draw:
    """A source of luck with the bounds of the day."""

    random: Random
    length_s: float
    tolerated: int = 1

    def machines(self) -> int:
        """How many counted machines one loss takes: up to as many as may be lost at once."""
        return 1 if self.tolerated <= 1 else self.random.randint(1, self.tolerated)

    def span(self, *, low: float, high: float) -> float:
        """A duration or strength between the two."""
        return round(self.random.uniform(low, high), 2)

    def one_of(self, *choices: str) -> str:
        """One of the choices."""
        return self.random.choice(choices)

    def moments(self, *, gap_low_s: float, gap_high_s: float) -> Iterator[float]:
        """Times over the whole day, so far apart."""
        at_s = self.span(low=FIRST_AT_S, high=FIRST_AT_S + gap_low_s)
        while at_s < self.length_s - LAST_CHANGE_BEFORE_END_S:
            yield at_s
            at_s = round(at_s + self.span(low=gap_low_s, high=gap_high_s), 2)


def core_loss(*, draw: Draw, at_s: float) -> Trouble:
    """A counted machine, or more where more may be lost, lost for a while or for good."""
    machines = draw.machines()
    losses = (
        Trouble(
            kind=Kind.NODE_KILL, at_s=at_s, on=CORE, count=machines, for_s=draw.span(low=1, high=5), how=_kill(draw)
        ),
        Trouble(
            kind=Kind.NODE_FREEZE, at_s=at_s, on=CORE, count=machines, for_s=draw.span(low=2, high=8), how=_freeze(draw)
        ),
        Trouble(kind=Kind.REPLACE_CORE, at_s=at_s, strength=draw.span(low=0.5, high=3), how=_replacement(draw)),
        Trouble(kind=Kind.AFTER_ACK_WIPE, at_s=at_s, for_s=draw.span(low=1, high=4)),
        Trouble(kind=Kind.AFTER_ACK_KILL, at_s=at_s, for_s=draw.span(low=1, high=4), how=_after_ack(draw)),
        _core_cut(draw=draw, at_s=at_s, for_s=draw.span(low=2, high=9)),
    )
    return draw.random.choice(losses)


def disk_trouble(*, draw: Draw, at_s: float) -> Trouble:
    """A disk that is full, stands still or is slow."""
    how = draw.one_of("", "leader")
    troubles = (
        Trouble(kind=Kind.DISK_FULL, at_s=at_s, count=1, for_s=draw.span(low=3, high=8), how=how),
        Trouble(kind=Kind.DISK_STALL, at_s=at_s, count=1, for_s=draw.span(low=2, high=7), how=how),
        Trouble(kind=Kind.DISK_SLOW, at_s=at_s, count=1, for_s=draw.span(low=4, high=10), strength=25.0, how=how),
    )
    return draw.random.choice(troubles)


def cuts(*, draw: Draw) -> Iterator[Trouble]:
    """Long cuts of counted machines, each followed by another loss as it heals."""
    for at_s in draw.moments(gap_low_s=24.0, gap_high_s=34.0):
        cut = _core_cut(draw=draw, at_s=at_s, for_s=draw.span(low=LONG_CUT_S[0], high=LONG_CUT_S[1]))
        yield cut
        yield Trouble(kind=Kind.CONFIG_RACE, at_s=at_s + draw.span(low=0, high=3), count=2, gap_s=0.7)
        yield Trouble(kind=Kind.RELEASE, at_s=at_s + draw.span(low=2, high=8), share=0.3, strength=1.0, gap_s=1.0)
        yield core_loss(draw=draw, at_s=cut.end_s + draw.span(low=FOLLOW_UP_DELAY_S[0], high=FOLLOW_UP_DELAY_S[1]))
    yield Trouble(kind=Kind.CONFIG_STORM, at_s=FIRST_AT_S, for_s=draw.length_s - 10.0, gap_s=draw.span(low=1, high=3))


def races(*, draw: Draw) -> Iterator[Trouble]:
    """Two operators at once, lost acknowledgements, and old orders that come again."""
    for at_s in draw.moments(gap_low_s=9.0, gap_high_s=15.0):
        count = draw.random.randint(2, 8)
        yield Trouble(kind=Kind.CONFIG_RACE, at_s=at_s, count=count, gap_s=draw.span(low=0.1, high=1.2))
        yield Trouble(kind=Kind.BAD_CONFIG, at_s=at_s + draw.span(low=0, high=4), count=2, how=_stale(draw))
    for at_s in draw.moments(gap_low_s=14.0, gap_high_s=22.0):
        yield Trouble(
            kind=Kind.ACK_LOST, at_s=at_s, for_s=draw.span(low=8, high=16), strength=draw.span(low=0.4, high=0.9)
        )
        yield Trouble(
            kind=Kind.CONFIG_STORM, at_s=at_s, for_s=draw.span(low=3, high=8), gap_s=draw.span(low=0.08, high=0.4)
        )
        yield core_loss(draw=draw, at_s=at_s + draw.span(low=0, high=8))


def membership(*, draw: Draw) -> Iterator[Trouble]:
    """Replacements, wiped disks and restarts of members, each with a loss on its heels."""
    for at_s in draw.moments(gap_low_s=14.0, gap_high_s=22.0):
        change = _member_change(draw=draw, at_s=at_s)
        yield change
        yield Trouble(kind=Kind.CONFIG_CHANGE, at_s=at_s + draw.span(low=0, high=4), how=draw.one_of("idle", "timeout"))
        yield core_loss(draw=draw, at_s=change.end_s + draw.span(low=0.5, high=6))
    yield Trouble(
        kind=Kind.CONFIG_STORM, at_s=FIRST_AT_S, for_s=draw.length_s - 10.0, gap_s=draw.span(low=0.8, high=2.5)
    )
    yield Trouble(kind=Kind.SEED_TURNOVER, at_s=draw.span(low=FIRST_AT_S, high=draw.length_s / 2))
    yield _core_herd(draw=draw)


def long_log(*, draw: Draw) -> Iterator[Trouble]:
    """Hundreds of changes with restarts, wiped disks and ailing disks among them."""
    gap_s = draw.span(low=0.2, high=0.45)
    yield Trouble(kind=Kind.CONFIG_STORM, at_s=FIRST_AT_S, for_s=draw.length_s - 10.0, gap_s=gap_s)
    for at_s in draw.moments(gap_low_s=11.0, gap_high_s=18.0):
        yield disk_trouble(draw=draw, at_s=at_s)
        yield core_loss(draw=draw, at_s=at_s + draw.span(low=0, high=9))
    for at_s in draw.moments(gap_low_s=40.0, gap_high_s=60.0):
        yield Trouble(
            kind=Kind.ROLL_TERM, at_s=at_s, on=CORE, strength=1.0, gap_s=draw.span(low=1, high=5), how=_roll(draw)
        )
    yield _core_herd(draw=draw)


def sends(*, draw: Draw) -> Iterator[Trouble]:
    """Engines and connections that fail in the ways after which a request may be sent twice or answered wrongly."""
    for at_s in draw.moments(gap_low_s=5.0, gap_high_s=9.0):
        yield _engine_trouble(draw=draw, at_s=at_s)
    for at_s in draw.moments(gap_low_s=16.0, gap_high_s=26.0):
        yield _edge_trouble(draw=draw, at_s=at_s)


def others(*, draw: Draw) -> Iterator[Trouble]:
    """Kinds that no aim is about but that may come on any day."""
    strange = (
        Trouble(kind=Kind.CLOCK_STEP, at_s=0, share=0.3, strength=2400.0, for_s=6.0, how=draw.one_of("back", "ahead")),
        Trouble(kind=Kind.HUP, at_s=0, share=0.3, gap_s=2.0),
        Trouble(kind=Kind.NODE_SLOW, at_s=0, share=0.15, strength=5.0, for_s=5.0),
        Trouble(kind=Kind.NODE_CUT, at_s=0, share=0.17, for_s=5.5),
        Trouble(kind=Kind.SCALE_OUT, at_s=0, share=0.3, gap_s=3.0),
        Trouble(kind=Kind.SCALE_IN, at_s=0, share=0.15, strength=2.0, how=draw.one_of("", "spot")),
        Trouble(kind=Kind.RETRY_ABUSE, at_s=0, share=0.2, strength=2.0, for_s=5.0),
        Trouble(kind=Kind.BURST, at_s=0, strength=1.8, for_s=8.0),
        Trouble(kind=Kind.SEED_TURNOVER, at_s=0),
    )
    for at_s in draw.moments(gap_low_s=15.0, gap_high_s=35.0):
        yield replace(draw.random.choice(strange), at_s=at_s)


def own_troubles(*, draw: Draw, site: Site) -> Iterator[Trouble]:
    """Some of the site's own list of troubles."""
    if not site.troubles:
        return
    for at_s in draw.moments(gap_low_s=30.0, gap_high_s=50.0):
        entry = draw.random.choice(site.troubles)
        yield Trouble(
            kind=Kind(entry["kind"]),
            at_s=at_s,
            for_s=entry.get("for_s"),
            gap_s=entry.get("gap_s"),
            share=entry.get("share"),
            count=entry.get("count"),
            strength=entry.get("x"),
            how=entry.get("how"),
            on=entry.get("on"),
        )


AIMED = {Aim.CUT: cuts, Aim.RACE: races, Aim.MEMBERSHIP: membership, Aim.LOG: long_log, Aim.SENDS: sends}


def draw_day(
    *, site: Site, aim: Aim, seed: int, index: int, length_s: float, kinds: frozenset[Kind], load: float = 1.0
) -> Day:
    """The day of this index. The same arguments give the same day, whatever else is drawn."""
    random = Random(f"{seed}:{aim}:{index}")
    draw = Draw(random=random, length_s=length_s, tolerated=site.tolerated)
    aims = random.sample(SINGLE_AIMS, 2) if aim is Aim.ALL else [aim]
    drawn = [trouble for single in aims for trouble in AIMED[single](draw=draw)]
    drawn += others(draw=draw)
    drawn += own_troubles(draw=draw, site=site)
    kind, how = random.choice(CLOSINGS)
    allowed = [_allowed(trouble, kinds=kinds) for trouble in drawn if trouble.at_s < length_s]
    return Day(
        name=f"{aim}-{seed}-{index}",
        seed=random.randrange(1, 2**28),
        length_s=length_s,
        closing=Closing(kind=kind, down_s=draw.span(low=0.5, high=2.0), how=how),
        troubles=tuple(trouble for trouble in allowed if trouble.kind in kinds),
        traffic=site.traffic(load=load),
    )


def _allowed(trouble: Trouble, *, kinds: frozenset[Kind]) -> Trouble:
    """The trouble; where storms of changes are not known, as many pairs of racing changes in place of one."""
    if trouble.kind is not Kind.CONFIG_STORM or trouble.kind in kinds:
        return trouble
    pairs = int((trouble.for_s or DEFAULT_STORM_S) / (trouble.gap_s or DEFAULT_GAP_S))
    return replace(trouble, kind=Kind.CONFIG_RACE, for_s=None, count=max(1, pairs))


def _core_cut(*, draw: Draw, at_s: float, for_s: float) -> Trouble:
    machines = draw.machines()
    return Trouble(kind=Kind.CORE_CUT, at_s=at_s, count=machines, for_s=for_s, how=draw.one_of(*CUT_HOWS))


def _core_herd(*, draw: Draw) -> Trouble:
    at_s = draw.span(low=draw.length_s / 3, high=draw.length_s - 12.0)
    how = draw.one_of("", "power", "race", "taken")
    return Trouble(kind=Kind.HERD_KILL, at_s=at_s, on=CORE, for_s=draw.span(low=0.8, high=3), how=how)


def _member_change(*, draw: Draw, at_s: float) -> Trouble:
    changes = (
        Trouble(kind=Kind.REPLACE_CORE, at_s=at_s, strength=draw.span(low=0.5, high=3), how=_replacement(draw)),
        Trouble(kind=Kind.AFTER_ACK_WIPE, at_s=at_s, for_s=draw.span(low=1, high=4)),
        Trouble(
            kind=Kind.ROLL_TERM, at_s=at_s, on=CORE, strength=1.0, gap_s=draw.span(low=0.8, high=5), how=_roll(draw)
        ),
    )
    return draw.random.choice(changes)


def _engine_trouble(*, draw: Draw, at_s: float) -> Trouble:
    for_s = draw.span(low=3, high=8)
    lost = draw.one_of("reset", "")
    spoilt = draw.one_of("extra late", "extra", "late", "")
    grey = draw.one_of("hang", "mute", "reset", "errors", "shed", "busy", "slow")
    reused = draw.one_of("", "drain", "dark")
    troubles = (
        Trouble(
            kind=Kind.ANSWER_LOST, at_s=at_s, for_s=for_s, share=0.5, strength=draw.span(low=0.03, high=0.3), how=lost
        ),
        Trouble(
            kind=Kind.GARBLE, at_s=at_s, for_s=for_s, share=0.6, strength=draw.span(low=0.02, high=0.2), how=spoilt
        ),
        Trouble(kind=Kind.RESET_CONNS, at_s=at_s, for_s=for_s, share=0.3, strength=0.5),
        Trouble(kind=Kind.SRV_GREY, at_s=at_s, for_s=for_s, share=0.2, strength=draw.span(low=0.2, high=0.8), how=grey),
        Trouble(kind=Kind.SRV_CRASH, at_s=at_s, for_s=for_s, share=0.2, how=draw.one_of("dark", "", "gone")),
        Trouble(kind=Kind.SRV_SLOW, at_s=at_s, for_s=for_s, share=0.2, strength=4.0),
        Trouble(kind=Kind.REPLACE_WITH_REUSE, at_s=at_s, share=0.15, how=reused),
        Trouble(kind=Kind.KV_SLOW, at_s=at_s, for_s=for_s, share=0.3, strength=8.0),
        Trouble(kind=Kind.HANDLE_SHORT, at_s=at_s, for_s=for_s, share=0.35),
        Trouble(kind=Kind.NODE_CUT, at_s=at_s, for_s=for_s, share=0.15, how="servers"),
    )
    return draw.random.choice(troubles)


def _edge_trouble(*, draw: Draw, at_s: float) -> Trouble:
    power = draw.one_of("", "power")
    troubles = (
        Trouble(kind=Kind.NODE_KILL, at_s=at_s, share=0.16, for_s=draw.span(low=1, high=4), how=power),
        Trouble(kind=Kind.NODE_FREEZE, at_s=at_s, share=0.15, for_s=draw.span(low=1, high=6)),
        Trouble(kind=Kind.HERD_KILL, at_s=at_s, share=0.5, for_s=draw.span(low=1, high=3), how=power),
        Trouble(kind=Kind.ROLL_TERM, at_s=at_s, share=0.4, strength=1.0, gap_s=1.2, how="busy"),
        Trouble(kind=Kind.RELEASE, at_s=at_s, share=0.4, strength=1.0, gap_s=1.0),
        Trouble(kind=Kind.CONFIG_RACE, at_s=at_s, count=2, gap_s=1.0),
    )
    return draw.random.choice(troubles)


def _kill(draw: Draw) -> str:
    return draw.one_of(*KILL_HOWS)


def _freeze(draw: Draw) -> str:
    return draw.one_of("", "leader", "race drain", "meet", "reader")


def _replacement(draw: Draw) -> str:
    return draw.one_of("", "planned")


def _after_ack(draw: Draw) -> str:
    return draw.one_of("", "kill", "timed", "taken")


def _stale(draw: Draw) -> str:
    return draw.one_of(*STALE_ORDERS)


def _roll(draw: Draw) -> str:
    return draw.one_of("", "busy", "remove")
