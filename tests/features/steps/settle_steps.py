"""Steps for settle.feature."""

from typing import Any

from behave import given, then, when

from apricotpath.messages import ReserveKey
from apricotpath.model import Maturity
from apricotpath.settle import Answer, KeyTable, RequestTable, maturity, request_id

REQUEST = request_id("entry", 5)


def kept(size: int) -> Answer:
    return Answer(200, (), bytes(size))


class SettleSubject:
    """Tables of one agent that keep at most 100 bytes per answer and 1000 in total."""

    def __init__(self) -> None:
        self.requests = RequestTable(100, 1000, 240.0)
        self.keys = KeyTable(240.0)
        self.now = 0.0
        self.reply: Any = None

    def answered(self, size: int) -> None:
        self.begin()
        self.requests.mark_done(REQUEST, kept(size), "", self.now)

    def begin(self) -> None:
        self.requests.start(REQUEST, False, 10.0, self.now)
        self.requests.run(REQUEST)

    def refused(self) -> None:
        self.requests.start(REQUEST, False, 10.0, self.now)
        assert self.requests.mark_never_run(REQUEST, self.now)
        assert not self.requests.run(REQUEST)

    def unsent(self) -> None:
        self.begin()
        assert not self.requests.mark_never_run(REQUEST, self.now)
        self.requests.mark_unsent(REQUEST)
        assert self.requests.mark_never_run(REQUEST, self.now)

    def failed(self) -> None:
        self.begin()
        self.requests.mark_done(REQUEST, None, "cut", self.now)

    def fill(self, count: int) -> None:
        for number in range(100, 100 + count):
            request = request_id("entry", number)
            self.requests.start(request, False, 10.0, self.now)
            self.requests.run(request)
            self.requests.mark_done(request, kept(100), "", self.now)

    def forget(self) -> None:
        self.now = 10000.0
        self.requests.expire(self.now)

    def reserve(self, request: str) -> None:
        ask = ReserveKey("key", "scraps", request, "home", "home-1")
        self.reply = self.keys.reserve(ask, Maturity.FULL, self.now)


HISTORIES = {
    "never come": lambda s: None,
    "been queued": lambda s: s.requests.start(REQUEST, False, 10.0, 0.0),
    "started to run": SettleSubject.begin,
    "been refused": SettleSubject.refused,
    "been unsent and refused": SettleSubject.unsent,
    "been answered": lambda s: s.answered(50),
    "failed": SettleSubject.failed,
    "been answered with more than is kept": lambda s: s.answered(101),
    "been answered before many other answers": lambda s: (s.answered(50), s.fill(10)),
    "been answered and forgotten": lambda s: (s.answered(50), s.forget()),
    "been refused and forgotten": lambda s: (s.refused(), s.forget()),
}


@given("an agent's settle tables")
def _(context: Any) -> None:
    context.settle = SettleSubject()


@when("the settled request has {history}")
def _(context: Any, history: str) -> None:
    HISTORIES[history](context.settle)


@then("settling it returns {settlement}")
def _(context: Any, settlement: str) -> None:
    subject = context.settle
    assert subject.requests.settle(REQUEST, subject.now).settlement.value == settlement


@then("a later start of the settled request is {verdict}")
def _(context: Any, verdict: str) -> None:
    subject = context.settle
    assert subject.requests.start(REQUEST, False, 99999.0, subject.now).value == verdict


@when("{count:d} answers of 100 bytes are kept by the settle tables")
def _(context: Any, count: int) -> None:
    context.settle.fill(count)


@then("the settle tables hold at most {size:d} bytes and the newest answers")
def _(context: Any, size: int) -> None:
    table = context.settle.requests
    answers = [key for key, record in table.records.items() if record.answer is not None]
    assert table.kept_bytes == sum(table.kept.values()) <= size
    assert answers == list(table.records)[-len(answers) :] == list(table.kept)


@when(
    "a settle key is reserved, used again after {use:d} s and reserved by another "
    "after {wait:d} s more"
)
def _(context: Any, use: int, wait: int) -> None:
    subject = context.settle
    for now, request in ((0, "first"), (use, "first"), (use + wait, "second")):
        subject.now = float(now)
        subject.keys.expire(subject.now)
        subject.reserve(request)


@then("the settle key reply is {state}")
def _(context: Any, state: str) -> None:
    assert context.settle.reply.state.value == state


@when("a settle key is released for another request")
def _(context: Any) -> None:
    context.settle.reserve("first")
    context.settle.keys.release("key", "second")


@then("the settle key is still held")
def _(context: Any) -> None:
    context.settle.reserve("second")
    assert context.settle.reply.request == "first"


@then("an agent of age {age:d} s whose founder flag is {founder} is {expected} in settling")
def _(context: Any, age: int, founder: str, expected: str) -> None:
    assert maturity(float(age), founder == "yes", 120.0).value == expected
