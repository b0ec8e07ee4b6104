"""Steps for admission.feature."""

from typing import Any

from behave import given, then, when
from request_harness import CLASSES

from apricotpath.admission import ClassQueues, Waiting


class AdmissionSubject:
    """Queues of one service, with the refused and shed requests."""

    def __init__(self, total: int, by_priority: bool = True) -> None:
        self.queues = ClassQueues(total, by_priority)
        self.now = 0.0
        self.refused: list[str] = []
        self.shed: list[Waiting] = []

    def offer(self, name: str, deadline_s: float = 10.0) -> None:
        item = Waiting(CLASSES[name], self.now + deadline_s, self.now)
        refusal, shed = self.queues.enqueue(item, self.now)
        if refusal is not None:
            self.refused.append(refusal.value)
        if shed is not None:
            self.shed.append(shed)
        self.now += 0.001


@given("admission queues for {total:d} requests")
def _(context: Any, total: int) -> None:
    context.admission = AdmissionSubject(total)


@given("admission queues for {total:d} requests in {mode} mode")
def _(context: Any, total: int, mode: str) -> None:
    context.admission = AdmissionSubject(total, mode == "priority")


@when("{count:d} requests are offered to admission: {name}")
def _(context: Any, count: int, name: str) -> None:
    for _number in range(count):
        context.admission.offer(name)


@then("admission holds {held:d} and refused {refused:d} as {reason}")
def _(context: Any, held: int, refused: int, reason: str) -> None:
    subject = context.admission
    assert (subject.queues.size, subject.refused) == (held, [reason] * refused)


@then("admission shed {shed:d} and refused {refused:d} new requests")
def _(context: Any, shed: int, refused: int) -> None:
    subject = context.admission
    assert (len(subject.shed), len(subject.refused)) == (shed, refused)
    assert subject.queues.size == 20
    newest_first = sorted((item.since for item in subject.shed), reverse=True)
    assert [item.since for item in subject.shed] == newest_first
    assert all(item.rules.name == "round-plan" for item in subject.shed)


@when("requests are offered to admission in the order {order}")
def _(context: Any, order: str) -> None:
    for name in order.split(", "):
        context.admission.offer(name)


@then("admission dequeues them in the order {order}")
def _(context: Any, order: str) -> None:
    taken = [context.admission.queues.dequeue(1.0) for _name in order.split(", ")]
    assert ", ".join(item.rules.name for item in taken) == order


@when("admission dequeues one request per second with {waiting:d} waiting")
def _(context: Any, waiting: int) -> None:
    subject = context.admission
    for _number in range(waiting + 5):
        subject.offer("intake", 1000.0)
    for _number in range(5):
        subject.now += 1.0
        subject.queues.dequeue(subject.now)


@then("admission refuses a request with a deadline in {deadline:g} s as {reason}")
def _(context: Any, deadline: float, reason: str) -> None:
    context.admission.offer("intake", deadline)
    assert context.admission.refused == [reason]


@then("admission accepts a request with a deadline in {deadline:g} s")
def _(context: Any, deadline: float) -> None:
    context.admission.offer("intake", deadline)
    assert len(context.admission.refused) == 1


@then("admission expires {count:d} of them at their deadline and none before")
def _(context: Any, count: int) -> None:
    queues = context.admission.queues
    assert queues.expire(9.9) == []
    assert len(queues.expire(11.0)) == count
    assert queues.size == 0
