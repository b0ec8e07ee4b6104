"""Steps for pacing.feature."""

from typing import Any

from behave import then, when

from apricotpath.pacing import speed_limits


@when("pacing distributes {percent:d} percent of the pressures {pressures} of filler tasks")
def distribute(context: Any, percent: int, pressures: str) -> None:
    context.speed_limits = speed_limits(percent, [float(text) for text in pressures.split(",")])


@then("the speed limits of pacing in percent are {expected}")
def check_speed_limits(context: Any, expected: str) -> None:
    assert context.speed_limits == [int(text) for text in expected.split(",")], context.speed_limits
