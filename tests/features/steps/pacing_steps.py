"""Steps for pacing.feature."""

from typing import Any

from behave import given, then, when

from apricotpath.pacing import Pacer, pressure_in_use, speed_limits


@when("pacing distributes {percent:d} percent of the pressures {pressures} of filler tasks")
def distribute(context: Any, percent: int, pressures: str) -> None:
    context.speed_limits = speed_limits(percent, [float(text) for text in pressures.split(",")])


@then("the speed limits of pacing in percent are {expected}")
def check_speed_limits(context: Any, expected: str) -> None:
    assert context.speed_limits == [int(text) for text in expected.split(",")], context.speed_limits


@given("filler tasks of pressures {before} at full speed beside a pacing ratio of {ratio:g}")
def at_full_speed(context: Any, before: str, ratio: float) -> None:
    context.pacer, context.pressures = Pacer(), [float(text) for text in before.split(",")]
    for measured in (0.3,) * 10 + (ratio,):
        context.pacer.update(measured, len(context.pressures), sum(context.pressures))


@when("filler tasks of pressures {joining} join them")
def join(context: Any, joining: str) -> None:
    context.pressures += [float(text) for text in joining.split(",")]


@then("the paces in use have a pressure of at most {most:g}")
def within(context: Any, most: float) -> None:
    limits = context.pacer.limits(context.pressures)
    assert pressure_in_use(context.pressures, limits) <= most, limits
