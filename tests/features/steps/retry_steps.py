"""Steps for retry.feature."""

from typing import Any

from behave import given, then, when

from apricotpath.retry import INITIAL_TOKENS, RetryBudget, may_retry


class RetrySubject:
    """A retry budget and the number of retries it allowed."""

    def __init__(self, limited: bool) -> None:
        self.budget = RetryBudget(0.1, limited)
        self.allowed = 0
        self.answer = False

    def request_retries(self, count: int) -> None:
        self.allowed += sum(self.budget.try_acquire() for _number in range(count))


@given("a retry budget whose limit is {limit}")
def _(context: Any, limit: str) -> None:
    context.retry = RetrySubject(limit == "on")


@when("{count:d} arrivals each request 2 retries")
def _(context: Any, count: int) -> None:
    for _number in range(count):
        context.retry.budget.arrived()
        context.retry.request_retries(2)


@when("{count:d} arrivals request no retry and then {requested:d} retries are requested at once")
def _(context: Any, count: int, requested: int) -> None:
    for _number in range(count):
        context.retry.budget.arrived()
    context.retry.request_retries(requested)


@then("between {least:d} and {most:d} retries were allowed")
def _(context: Any, least: int, most: int) -> None:
    assert least <= context.retry.allowed <= most, context.retry.allowed


@when("a retry is requested at {now:g} s for a deadline at 10 s after {tries:d} tries")
def _(context: Any, now: float, tries: int) -> None:
    subject = context.retry
    subject.answer = may_retry(subject.budget, tries, 3, 10.0, 0.02, now)


@then("the retry answer is {answer}")
def _(context: Any, answer: str) -> None:
    subject = context.retry
    assert subject.answer == (answer == "yes")
    assert subject.budget.tokens == INITIAL_TOKENS - subject.answer
