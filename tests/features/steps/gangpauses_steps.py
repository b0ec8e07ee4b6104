"""Steps for pauses of gangs in largegangs.feature."""

from typing import Any

from behave import then, when

from apricotpath.gangs import Gang

LOADED_AT = 50.0


@when("a scheduler reads {runs:d} runs of a gang from its log")
def read_runs(context: Any, runs: int) -> None:
    context.gang = Gang(size=2)
    for number in range(runs):
        context.gang.note_start(number + 1, LOADED_AT)


@then("the gang of the log may start at once")
def starts_at_once(context: Any) -> None:
    assert context.gang.can_start(2, LOADED_AT), context.gang
