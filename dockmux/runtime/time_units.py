"""Conversions between the integers used on the wire and in files, and timedelta and datetime used in the code."""

from datetime import UTC, datetime, timedelta

ZERO = timedelta()
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
# Represents "no bound known"; small enough that sums of it do not overflow timedelta.
UNBOUNDED = timedelta(days=3650)


def ms(count: int | float) -> timedelta:
    return timedelta(milliseconds=count)


def us(count: int) -> timedelta:
    return timedelta(microseconds=count)


def to_ms(span: timedelta) -> int:
    """Whole milliseconds, rounded up, so that an age on the wire is never less than the actual age."""
    return -((-span) // timedelta(milliseconds=1))


def to_us(span: timedelta) -> int:
    """Whole microseconds, rounded down."""
    return span // timedelta(microseconds=1)


def instant_us(instant: datetime) -> int:
    """Microseconds since the Unix epoch."""
    return to_us(instant - EPOCH)


def from_instant_us(count: int) -> datetime:
    """The inverse of `instant_us`."""
    return EPOCH + us(count)


def test_ages_round_up_and_instants_survive_the_round_trip():
    assert to_ms(us(1)) == 1 and to_ms(ms(2)) == 2 and to_ms(ZERO) == 0
    instant = datetime(2026, 1, 2, 3, 4, 5, 678901, tzinfo=UTC)
    assert from_instant_us(instant_us(instant)) == instant
