"""Steps for hours.feature."""

import random
from datetime import UTC, datetime, timedelta
from typing import Any
from zoneinfo import ZoneInfo

from behave import given, then, when

from apricotpath.bundle import clock_minute
from apricotpath.hours import MINUTES_PER_DAY, WeeklyPeriod, forbidden_span, next_start

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
ZONES = ("Europe/Berlin", "Pacific/Fiji", "Australia/Lord_Howe", "America/New_York", "Asia/Tehran")


def utc(text: str) -> datetime:
    """Return a UTC time from an ISO text without a zone."""
    return datetime.fromisoformat(text).replace(tzinfo=UTC)


def wall_clock_is_quiet(period: WeeklyPeriod, at: datetime) -> bool:
    """Tell whether the local clock reading at a time lies in the period."""
    local = at.astimezone(ZoneInfo(period.zone))
    minute, day = local.hour * 60 + local.minute, local.weekday()
    if period.start_minute < period.end_minute:
        return day in period.days and period.start_minute <= minute < period.end_minute
    began_today = day in period.days and minute >= period.start_minute
    return began_today or ((day - 1) % 7 in period.days and minute < period.end_minute)


class QuietHoursCase:
    """The weekly period under test."""

    def __init__(self, zone: str, days: str, start: str, end: str) -> None:
        numbers = frozenset(WEEKDAYS.index(day) for day in days.split(","))
        self.period = WeeklyPeriod(zone, numbers, clock_minute(start), clock_minute(end))


class WallClockComparison:
    """Compares random periods with a reading of the wall clock."""

    def __init__(self) -> None:
        self.wrongly_allowed: list[str] = []
        self.late_starts: list[str] = []
        self.quiet = 0

    def run(self, count: int, seed: int) -> None:
        rng = random.Random(seed)
        for _number in range(count):
            days = frozenset(rng.sample(range(7), rng.randint(1, 7)))
            start, end = rng.sample(range(0, MINUTES_PER_DAY, 15), 2)
            period = WeeklyPeriod(rng.choice(ZONES), days, start, end)
            # Both clock changes of a year are within the range.
            at = utc("2026-01-01T00:00:00") + timedelta(minutes=rng.randrange(366 * 24 * 60))
            self._compare(period, at, rng)

    def _compare(self, period: WeeklyPeriod, at: datetime, rng: random.Random) -> None:
        forbidden = forbidden_span([period], at) is not None
        if wall_clock_is_quiet(period, at):
            self.quiet += 1
            if not forbidden:
                self.wrongly_allowed.append(f"{period} at {at}")
        if not forbidden:
            start = next_start([period], at)
            assert start is not None
            before = at + (start - at) * rng.random()
            if wall_clock_is_quiet(period, before) or not forbidden_span([period], start):
                self.late_starts.append(f"{period} at {at}: {start}")


@given("quiet hours {start} to {end} on {days} in {zone}")
def _(context: Any, start: str, end: str, days: str, zone: str) -> None:
    context.hours = QuietHoursCase(zone, days, start, end)


@then("at {time} UTC the quiet hours return {answer}")
def _(context: Any, time: str, answer: str) -> None:
    span = forbidden_span([context.hours.period], utc(time))
    assert (span is not None) is (answer == "forbidden"), span


@then("after {time} UTC the next quiet hours start at {start} UTC")
def _(context: Any, time: str, start: str) -> None:
    found = next_start([context.hours.period], utc(time))
    assert found == utc(start), found


@when("{count:d} random quiet hours and times from seed {seed:d} are compared with the wall clock")
def _(context: Any, count: int, seed: int) -> None:
    context.comparison = WallClockComparison()
    context.comparison.run(count, seed)


@then("no time that the wall clock shows as quiet was allowed")
def _(context: Any) -> None:
    assert context.comparison.quiet > 500
    assert not context.comparison.wrongly_allowed, context.comparison.wrongly_allowed[:3]


@then("nothing was allowed after the announced start of the next quiet hours")
def _(context: Any) -> None:
    assert not context.comparison.late_starts, context.comparison.late_starts[:3]
