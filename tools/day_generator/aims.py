"""Generates the events of a day at random.

Each aim targets one way in which replicated state may be lost or served incorrectly.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum
from random import Random

from .day import ClosingFault, Day, Kind, ScheduledEvent
from .site_file import Site

FIRST_EVENT_S = 3.0
"""No event starts earlier, because the first configuration has only just been accepted."""
LAST_EVENT_MARGIN_S = 4.0
LONG_PARTITION_RANGE_S = (16.0, 24.0)
CORE = "core"
FOLLOW_UP_DELAY_RANGE_S = (0.0, 2.5)
CORE_CUT_OPTIONS = (
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
NODE_KILL_OPTIONS = (
    "",
    "power",
    "leader",
    "power leader",
    "leader race drain",
    "meet drain",
    "leader meet hard",
    "seed",
)
CLOSING_OPTIONS = (
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
DEFAULT_STORM_DURATION_S = 5.0
DEFAULT_STORM_GAP_S = 1.0
STALE_CONFIG_OPTIONS = ("old_version", "same_version", "stale_match")


class Aim(StrEnum):
    """The weak point that the events of a day target."""

    CUT = "cut"
    RACE = "race"
    MEMBERSHIP = "membership"
    LOG = "log"
    SENDS = "sends"
    ALL = "all"


SINGLE_AIMS = tuple(aim for aim in Aim if aim is not Aim.ALL)


@dataclass(frozen=True, kw_only=True)
class EventSampler:
    """A random source, with the length of the day in seconds and the number of control-plane machines that may fail."""

    random: Random
    length_s: float
    tolerated: int = 1

    def machine_count(self) -> int:
        """Returns how many control-plane machines one fault affects, from 1 to the tolerated number."""
        return 1 if self.tolerated <= 1 else self.random.randint(1, self.tolerated)

    def uniform(self, *, low: float, high: float) -> float:
        """Returns a uniformly distributed number, rounded to two decimals."""
        return round(self.random.uniform(low, high), 2)

    def choice(self, *choices: str) -> str:
        """Returns one of the choices."""
        return self.random.choice(choices)

    def event_times(self, *, gap_low_s: float, gap_high_s: float) -> Iterator[float]:
        """Yields event times in seconds over the whole day, with gaps in the given range."""
        at_s = self.uniform(low=FIRST_EVENT_S, high=FIRST_EVENT_S + gap_low_s)
        while at_s < self.length_s - LAST_EVENT_MARGIN_S:
            yield at_s
            at_s = round(at_s + self.uniform(low=gap_low_s, high=gap_high_s), 2)


def core_failure(*, sampler: EventSampler, at_s: float) -> ScheduledEvent:
    """Returns a temporary or permanent failure of at most the tolerated number of control-plane machines."""
    machines = sampler.machine_count()
    failures = (
        ScheduledEvent(
            kind=Kind.NODE_KILL,
            at_s=at_s,
            on=CORE,
            count=machines,
            for_s=sampler.uniform(low=1, high=5),
            how=_kill_option(sampler),
        ),
        ScheduledEvent(
            kind=Kind.NODE_FREEZE,
            at_s=at_s,
            on=CORE,
            count=machines,
            for_s=sampler.uniform(low=2, high=8),
            how=_freeze_option(sampler),
        ),
        ScheduledEvent(
            kind=Kind.REPLACE_CORE,
            at_s=at_s,
            strength=sampler.uniform(low=0.5, high=3),
            how=_replacement_option(sampler),
        ),
        ScheduledEvent(kind=Kind.AFTER_ACK_WIPE, at_s=at_s, for_s=sampler.uniform(low=1, high=4)),
        ScheduledEvent(
            kind=Kind.AFTER_ACK_KILL, at_s=at_s, for_s=sampler.uniform(low=1, high=4), how=_after_ack_option(sampler)
        ),
        _core_partition(sampler=sampler, at_s=at_s, for_s=sampler.uniform(low=2, high=9)),
    )
    return sampler.random.choice(failures)


def disk_fault(*, sampler: EventSampler, at_s: float) -> ScheduledEvent:
    """Returns a full, stalled or slow disk."""
    how = sampler.choice("", "leader")
    faults = (
        ScheduledEvent(kind=Kind.DISK_FULL, at_s=at_s, count=1, for_s=sampler.uniform(low=3, high=8), how=how),
        ScheduledEvent(kind=Kind.DISK_STALL, at_s=at_s, count=1, for_s=sampler.uniform(low=2, high=7), how=how),
        ScheduledEvent(
            kind=Kind.DISK_SLOW, at_s=at_s, count=1, for_s=sampler.uniform(low=4, high=10), strength=25.0, how=how
        ),
    )
    return sampler.random.choice(faults)


def partition_events(*, sampler: EventSampler) -> Iterator[ScheduledEvent]:
    """Yields long partitions of control-plane machines, each followed by another failure as it heals."""
    for at_s in sampler.event_times(gap_low_s=24.0, gap_high_s=34.0):
        partition = _core_partition(
            sampler=sampler,
            at_s=at_s,
            for_s=sampler.uniform(low=LONG_PARTITION_RANGE_S[0], high=LONG_PARTITION_RANGE_S[1]),
        )
        yield partition
        yield ScheduledEvent(kind=Kind.CONFIG_RACE, at_s=at_s + sampler.uniform(low=0, high=3), count=2, gap_s=0.7)
        yield ScheduledEvent(
            kind=Kind.RELEASE, at_s=at_s + sampler.uniform(low=2, high=8), share=0.3, strength=1.0, gap_s=1.0
        )
        yield core_failure(
            sampler=sampler,
            at_s=partition.end_s + sampler.uniform(low=FOLLOW_UP_DELAY_RANGE_S[0], high=FOLLOW_UP_DELAY_RANGE_S[1]),
        )
    yield ScheduledEvent(
        kind=Kind.CONFIG_STORM, at_s=FIRST_EVENT_S, for_s=sampler.length_s - 10.0, gap_s=sampler.uniform(low=1, high=3)
    )


def config_race_events(*, sampler: EventSampler) -> Iterator[ScheduledEvent]:
    """Yields concurrent operators, lost acknowledgements, and repeated requests with outdated versions."""
    for at_s in sampler.event_times(gap_low_s=9.0, gap_high_s=15.0):
        count = sampler.random.randint(2, 8)
        yield ScheduledEvent(kind=Kind.CONFIG_RACE, at_s=at_s, count=count, gap_s=sampler.uniform(low=0.1, high=1.2))
        yield ScheduledEvent(
            kind=Kind.BAD_CONFIG, at_s=at_s + sampler.uniform(low=0, high=4), count=2, how=_stale_config_option(sampler)
        )
    for at_s in sampler.event_times(gap_low_s=14.0, gap_high_s=22.0):
        yield ScheduledEvent(
            kind=Kind.ACK_LOST,
            at_s=at_s,
            for_s=sampler.uniform(low=8, high=16),
            strength=sampler.uniform(low=0.4, high=0.9),
        )
        yield ScheduledEvent(
            kind=Kind.CONFIG_STORM,
            at_s=at_s,
            for_s=sampler.uniform(low=3, high=8),
            gap_s=sampler.uniform(low=0.08, high=0.4),
        )
        yield core_failure(sampler=sampler, at_s=at_s + sampler.uniform(low=0, high=8))


def membership_events(*, sampler: EventSampler) -> Iterator[ScheduledEvent]:
    """Yields replacements, wiped disks and restarts of members, each followed by another failure."""
    for at_s in sampler.event_times(gap_low_s=14.0, gap_high_s=22.0):
        change = _membership_change(sampler=sampler, at_s=at_s)
        yield change
        yield ScheduledEvent(
            kind=Kind.CONFIG_CHANGE, at_s=at_s + sampler.uniform(low=0, high=4), how=sampler.choice("idle", "timeout")
        )
        yield core_failure(sampler=sampler, at_s=change.end_s + sampler.uniform(low=0.5, high=6))
    yield ScheduledEvent(
        kind=Kind.CONFIG_STORM,
        at_s=FIRST_EVENT_S,
        for_s=sampler.length_s - 10.0,
        gap_s=sampler.uniform(low=0.8, high=2.5),
    )
    yield ScheduledEvent(kind=Kind.SEED_TURNOVER, at_s=sampler.uniform(low=FIRST_EVENT_S, high=sampler.length_s / 2))
    yield _core_mass_kill(sampler=sampler)


def long_log_events(*, sampler: EventSampler) -> Iterator[ScheduledEvent]:
    """Yields hundreds of configuration changes, with restarts, wiped disks and disk faults in between."""
    gap_s = sampler.uniform(low=0.2, high=0.45)
    yield ScheduledEvent(kind=Kind.CONFIG_STORM, at_s=FIRST_EVENT_S, for_s=sampler.length_s - 10.0, gap_s=gap_s)
    for at_s in sampler.event_times(gap_low_s=11.0, gap_high_s=18.0):
        yield disk_fault(sampler=sampler, at_s=at_s)
        yield core_failure(sampler=sampler, at_s=at_s + sampler.uniform(low=0, high=9))
    for at_s in sampler.event_times(gap_low_s=40.0, gap_high_s=60.0):
        yield ScheduledEvent(
            kind=Kind.ROLL_TERM,
            at_s=at_s,
            on=CORE,
            strength=1.0,
            gap_s=sampler.uniform(low=1, high=5),
            how=_roll_option(sampler),
        )
    yield _core_mass_kill(sampler=sampler)


def request_events(*, sampler: EventSampler) -> Iterator[ScheduledEvent]:
    """Yields engine and connection faults after which a request may be sent twice or answered incorrectly."""
    for at_s in sampler.event_times(gap_low_s=5.0, gap_high_s=9.0):
        yield _engine_fault(sampler=sampler, at_s=at_s)
    for at_s in sampler.event_times(gap_low_s=16.0, gap_high_s=26.0):
        yield _edge_fault(sampler=sampler, at_s=at_s)


def unaimed_events(*, sampler: EventSampler) -> Iterator[ScheduledEvent]:
    """Yields events that belong to no aim and occur on any day."""
    candidates = (
        ScheduledEvent(
            kind=Kind.CLOCK_STEP, at_s=0, share=0.3, strength=2400.0, for_s=6.0, how=sampler.choice("back", "ahead")
        ),
        ScheduledEvent(kind=Kind.HUP, at_s=0, share=0.3, gap_s=2.0),
        ScheduledEvent(kind=Kind.NODE_SLOW, at_s=0, share=0.15, strength=5.0, for_s=5.0),
        ScheduledEvent(kind=Kind.NODE_CUT, at_s=0, share=0.17, for_s=5.5),
        ScheduledEvent(kind=Kind.SCALE_OUT, at_s=0, share=0.3, gap_s=3.0),
        ScheduledEvent(kind=Kind.SCALE_IN, at_s=0, share=0.15, strength=2.0, how=sampler.choice("", "spot")),
        ScheduledEvent(kind=Kind.RETRY_ABUSE, at_s=0, share=0.2, strength=2.0, for_s=5.0),
        ScheduledEvent(kind=Kind.BURST, at_s=0, strength=1.8, for_s=8.0),
        ScheduledEvent(kind=Kind.SEED_TURNOVER, at_s=0),
    )
    for at_s in sampler.event_times(gap_low_s=15.0, gap_high_s=35.0):
        yield replace(sampler.random.choice(candidates), at_s=at_s)


def site_events(*, sampler: EventSampler, site: Site) -> Iterator[ScheduledEvent]:
    """Yields events chosen from those that the site file lists."""
    if not site.listed_events:
        return
    for at_s in sampler.event_times(gap_low_s=30.0, gap_high_s=50.0):
        entry = sampler.random.choice(site.listed_events)
        yield ScheduledEvent(
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


EVENTS_BY_AIM = {
    Aim.CUT: partition_events,
    Aim.RACE: config_race_events,
    Aim.MEMBERSHIP: membership_events,
    Aim.LOG: long_log_events,
    Aim.SENDS: request_events,
}


def generate_day(
    *, site: Site, aim: Aim, seed: int, index: int, length_s: float, kinds: frozenset[Kind], load: float = 1.0
) -> Day:
    """Generates the day with this index.

    The same arguments give the same day, regardless of which other days are generated.
    """
    random = Random(f"{seed}:{aim}:{index}")
    sampler = EventSampler(random=random, length_s=length_s, tolerated=site.tolerated)
    selected_aims = random.sample(SINGLE_AIMS, 2) if aim is Aim.ALL else [aim]
    events = [event for selected_aim in selected_aims for event in EVENTS_BY_AIM[selected_aim](sampler=sampler)]
    events += unaimed_events(sampler=sampler)
    events += site_events(sampler=sampler, site=site)
    kind, how = random.choice(CLOSING_OPTIONS)
    substituted = [_replace_unsupported_storm(event, kinds=kinds) for event in events if event.at_s < length_s]
    return Day(
        name=f"{aim}-{seed}-{index}",
        seed=random.randrange(1, 2**28),
        length_s=length_s,
        closing=ClosingFault(kind=kind, down_s=sampler.uniform(low=0.5, high=2.0), how=how),
        events=tuple(event for event in substituted if event.kind in kinds),
        traffic=site.traffic(load=load),
    )


def _replace_unsupported_storm(event: ScheduledEvent, *, kinds: frozenset[Kind]) -> ScheduledEvent:
    """Returns the event, or as many pairs of concurrent changes if the bench does not support change storms."""
    if event.kind is not Kind.CONFIG_STORM or event.kind in kinds:
        return event
    pairs = int((event.for_s or DEFAULT_STORM_DURATION_S) / (event.gap_s or DEFAULT_STORM_GAP_S))
    return replace(event, kind=Kind.CONFIG_RACE, for_s=None, count=max(1, pairs))


def _core_partition(*, sampler: EventSampler, at_s: float, for_s: float) -> ScheduledEvent:
    machines = sampler.machine_count()
    return ScheduledEvent(
        kind=Kind.CORE_CUT, at_s=at_s, count=machines, for_s=for_s, how=sampler.choice(*CORE_CUT_OPTIONS)
    )


def _core_mass_kill(*, sampler: EventSampler) -> ScheduledEvent:
    at_s = sampler.uniform(low=sampler.length_s / 3, high=sampler.length_s - 12.0)
    how = sampler.choice("", "power", "race", "taken")
    return ScheduledEvent(kind=Kind.HERD_KILL, at_s=at_s, on=CORE, for_s=sampler.uniform(low=0.8, high=3), how=how)


def _membership_change(*, sampler: EventSampler, at_s: float) -> ScheduledEvent:
    changes = (
        ScheduledEvent(
            kind=Kind.REPLACE_CORE,
            at_s=at_s,
            strength=sampler.uniform(low=0.5, high=3),
            how=_replacement_option(sampler),
        ),
        ScheduledEvent(kind=Kind.AFTER_ACK_WIPE, at_s=at_s, for_s=sampler.uniform(low=1, high=4)),
        ScheduledEvent(
            kind=Kind.ROLL_TERM,
            at_s=at_s,
            on=CORE,
            strength=1.0,
            gap_s=sampler.uniform(low=0.8, high=5),
            how=_roll_option(sampler),
        ),
    )
    return sampler.random.choice(changes)


def _engine_fault(*, sampler: EventSampler, at_s: float) -> ScheduledEvent:
    for_s = sampler.uniform(low=3, high=8)
    answer_lost_option = sampler.choice("reset", "")
    garble_option = sampler.choice("extra late", "extra", "late", "")
    grey_option = sampler.choice("hang", "mute", "reset", "errors", "shed", "busy", "slow")
    reuse_option = sampler.choice("", "drain", "dark")
    faults = (
        ScheduledEvent(
            kind=Kind.ANSWER_LOST,
            at_s=at_s,
            for_s=for_s,
            share=0.5,
            strength=sampler.uniform(low=0.03, high=0.3),
            how=answer_lost_option,
        ),
        ScheduledEvent(
            kind=Kind.GARBLE,
            at_s=at_s,
            for_s=for_s,
            share=0.6,
            strength=sampler.uniform(low=0.02, high=0.2),
            how=garble_option,
        ),
        ScheduledEvent(kind=Kind.RESET_CONNS, at_s=at_s, for_s=for_s, share=0.3, strength=0.5),
        ScheduledEvent(
            kind=Kind.SRV_GREY,
            at_s=at_s,
            for_s=for_s,
            share=0.2,
            strength=sampler.uniform(low=0.2, high=0.8),
            how=grey_option,
        ),
        ScheduledEvent(kind=Kind.SRV_CRASH, at_s=at_s, for_s=for_s, share=0.2, how=sampler.choice("dark", "", "gone")),
        ScheduledEvent(kind=Kind.SRV_SLOW, at_s=at_s, for_s=for_s, share=0.2, strength=4.0),
        ScheduledEvent(kind=Kind.REPLACE_WITH_REUSE, at_s=at_s, share=0.15, how=reuse_option),
        ScheduledEvent(kind=Kind.KV_SLOW, at_s=at_s, for_s=for_s, share=0.3, strength=8.0),
        ScheduledEvent(kind=Kind.HANDLE_SHORT, at_s=at_s, for_s=for_s, share=0.35),
        ScheduledEvent(kind=Kind.NODE_CUT, at_s=at_s, for_s=for_s, share=0.15, how="servers"),
    )
    return sampler.random.choice(faults)


def _edge_fault(*, sampler: EventSampler, at_s: float) -> ScheduledEvent:
    power_option = sampler.choice("", "power")
    faults = (
        ScheduledEvent(
            kind=Kind.NODE_KILL, at_s=at_s, share=0.16, for_s=sampler.uniform(low=1, high=4), how=power_option
        ),
        ScheduledEvent(kind=Kind.NODE_FREEZE, at_s=at_s, share=0.15, for_s=sampler.uniform(low=1, high=6)),
        ScheduledEvent(
            kind=Kind.HERD_KILL, at_s=at_s, share=0.5, for_s=sampler.uniform(low=1, high=3), how=power_option
        ),
        ScheduledEvent(kind=Kind.ROLL_TERM, at_s=at_s, share=0.4, strength=1.0, gap_s=1.2, how="busy"),
        ScheduledEvent(kind=Kind.RELEASE, at_s=at_s, share=0.4, strength=1.0, gap_s=1.0),
        ScheduledEvent(kind=Kind.CONFIG_RACE, at_s=at_s, count=2, gap_s=1.0),
    )
    return sampler.random.choice(faults)


def _kill_option(sampler: EventSampler) -> str:
    return sampler.choice(*NODE_KILL_OPTIONS)


def _freeze_option(sampler: EventSampler) -> str:
    return sampler.choice("", "leader", "race drain", "meet", "reader")


def _replacement_option(sampler: EventSampler) -> str:
    return sampler.choice("", "planned")


def _after_ack_option(sampler: EventSampler) -> str:
    return sampler.choice("", "kill", "timed", "taken")


def _stale_config_option(sampler: EventSampler) -> str:
    return sampler.choice(*STALE_CONFIG_OPTIONS)


def _roll_option(sampler: EventSampler) -> str:
    return sampler.choice("", "busy", "remove")
