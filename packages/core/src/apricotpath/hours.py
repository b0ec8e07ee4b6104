"""Quiet hours: weekly periods in local time, converted to UTC across clock changes."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import UTC, date, datetime, time, timedelta
from functools import lru_cache
from zoneinfo import ZoneInfo

MINUTES_PER_DAY = 24 * 60
# Days to search back: a period can begin the day before it ends, and a zone can skip a day.
LOOK_BACK_DAYS = 3
# Days to search ahead: a weekly period begins again within 7 days, and a zone can skip a day.
LOOK_AHEAD_DAYS = 10


@dataclass(frozen=True, slots=True)
class WeeklyPeriod:
    """A period that repeats weekly in local time.

    `days` are the weekdays on which it begins (Monday is 0). Minutes count
    from local midnight; an end at or before the start lies on the next day.
    """

    zone: str
    days: frozenset[int]
    start_minute: int
    end_minute: int


@dataclass(frozen=True, slots=True)
class Span:
    """A time span in UTC, with the end excluded."""

    start: datetime
    end: datetime


@lru_cache(maxsize=256)
def _zone(name: str) -> ZoneInfo:
    return ZoneInfo(name)


def _utc_candidates(zone: ZoneInfo, day: date, minute: int) -> tuple[datetime, datetime]:
    """Return the earliest and latest UTC time that a local time can denote.

    They differ when the clock is set back (the time occurs twice) or forward
    (the time does not occur).
    """
    local = datetime.combine(day, time()) + timedelta(minutes=minute)
    candidates = [local.replace(tzinfo=zone, fold=fold).astimezone(UTC) for fold in (0, 1)]
    return min(candidates), max(candidates)


def _spans(period: WeeklyPeriod, utc: datetime, ahead_days: int) -> Iterator[Span]:
    zone = _zone(period.zone)
    today = utc.astimezone(zone).date()
    crosses_midnight = period.end_minute <= period.start_minute
    end_minute = period.end_minute + (MINUTES_PER_DAY if crosses_midnight else 0)
    for offset in range(-LOOK_BACK_DAYS, ahead_days + 1):
        day = today + timedelta(days=offset)
        if day.weekday() in period.days:
            # The earliest start and the latest end: an ambiguous hour is forbidden.
            start = _utc_candidates(zone, day, period.start_minute)[0]
            yield Span(start, _utc_candidates(zone, day, end_minute)[1])


def forbidden_span(periods: Iterable[WeeklyPeriod], utc: datetime) -> Span | None:
    """Return a span that contains a UTC time, or None."""
    for period in periods:
        for span in _spans(period, utc, 1):
            if span.start <= utc < span.end:
                return span
    return None


def next_start(periods: Iterable[WeeklyPeriod], utc: datetime) -> datetime | None:
    """Return the UTC start of the next forbidden span after `utc`, or None."""
    starts = [
        span.start
        for period in periods
        for span in _spans(period, utc, LOOK_AHEAD_DAYS)
        if span.start > utc
    ]
    return min(starts, default=None)
