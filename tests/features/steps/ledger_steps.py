"""Steps for ledger.feature."""

import random
from typing import Any

from behave import given, then, when

from apricotpath.errors import CapacityError
from apricotpath.ledger import Ledger
from apricotpath.model import Size


def cores(number: int) -> Size:
    return Size(number * 1000, number, 0)


class LedgerSubject:
    """A ledger and its last answer."""

    def __init__(self) -> None:
        self.ledger = Ledger(cores(16))
        self.answer = ""

    def perform(self, operation: str) -> None:
        ledger = self.ledger
        if operation.endswith("after the claim grew"):
            ledger.set_claim(cores(12))
            operation = operation.removesuffix(" after the claim grew")
        operations = {
            "reserve 4 cores": lambda: ledger.reserve("n", cores(4)),
            "reserve 5 cores": lambda: ledger.reserve("n", cores(5)),
            "reserve 1 core": lambda: ledger.reserve("n", cores(1)),
            "reserve the task again": lambda: ledger.reserve("t", cores(8)),
            "reserve the task with other size": lambda: ledger.reserve("t", cores(1)),
            "reserve a negative size": lambda: ledger.reserve("n", Size(-1, 0, 0)),
            "adopt 5 cores": lambda: ledger.adopt("n", cores(5)),
            "grow the claim to 12": lambda: ledger.set_claim(cores(12)),
            "release the task": lambda: ledger.release("t"),
            "release an unknown task": lambda: ledger.release("n"),
        }
        try:
            self.answer = "wait" if operations[operation]() is False else "ok"
        except CapacityError:
            self.answer = "error"

    def run_random(self, steps: int, rng: random.Random) -> None:
        expected: dict[str, Size] = {}
        for _ in range(steps):
            key = f"k{rng.randrange(12)}"
            size = Size(rng.randrange(9000), rng.randrange(9), rng.randrange(2))
            act = rng.choice(("reserve", "adopt", "release", "claim"))
            try:
                if act == "claim":
                    self.ledger.set_claim(size)
                elif act == "release":
                    self.ledger.release(key)
                    expected.pop(key, None)
                else:
                    getattr(self.ledger, act)(key, size)
                    expected.setdefault(key, size)
            except CapacityError:
                pass
            assert self.ledger.total.fits_in(self.ledger.size)
            assert self.ledger.total == sum(expected.values(), Size()) + self.ledger.claim
            assert self.ledger.keys() == set(expected)


@given("a ledger of 16 cores with a claim of 4 and a task of 8")
def _(context: Any) -> None:
    context.ledger = LedgerSubject()
    context.ledger.ledger.set_claim(cores(4))
    context.ledger.ledger.reserve("t", cores(8))


@when("the ledger is asked to {operation}")
def _(context: Any, operation: str) -> None:
    context.ledger.perform(operation)


@then('the ledger answers "{answer}" and has {total:d} cores committed')
def _(context: Any, answer: str, total: int) -> None:
    assert context.ledger.answer == answer, context.ledger.answer
    assert context.ledger.ledger.total == cores(total)


@when("{steps:d} random ledger operations run from seed {seed:d}")
def _(context: Any, steps: int, seed: int) -> None:
    context.ledger = LedgerSubject()
    context.ledger.run_random(steps, random.Random(seed))


@then("the ledger total never exceeded its size and matched its keys")
def _(context: Any) -> None:
    # The operations above check this after each step.
    assert context.ledger.ledger.keys() is not None
