"""Integers at the boundary, timedelta inside: the few conversions."""

from datetime import UTC, datetime, timedelta

ZERO = timedelta()
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
# Stands for "no bound known"; small enough that sums of it do not overflow.
UNBOUNDED = timedelta(days=3650)


def ms(count: int | float) -> timedelta:
    return timedelta(milliseconds=count)


def us(count: int) -> timedelta:
    return timedelta(microseconds=count)


def to_ms(span: timedelta) -> int:
    """Rounded up, so that an age never shrinks on the wire."""
    return -((-span) // timedelta(milliseconds=1))


def to_us(span: timedelta) -> int:
    return span // timedelta(microseconds=1)


def instant_us(instant: datetime) -> int:
    return to_us(instant - EPOCH)


def from_instant_us(count: int) -> datetime:
    return EPOCH + us(count)


def test_ages_round_up_and_instants_survive():
    assert to_ms(us(1)) == 1 and to_ms(ms(2)) == 2 and to_ms(ZERO) == 0
    instant = datetime(2026, 1, 2, 3, 4, 5, 678901, tzinfo=UTC)
    assert from_instant_us(instant_us(instant)) == instant
