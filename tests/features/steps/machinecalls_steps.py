"""Steps for machinecalls.feature."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import anyio
from behave import given, then, when

from apricotpath.config import Address
from apricotpath.ids import Epoch, MachineId, ProcessId, WaveId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.machines import MachineServiceError
from apricotpath.model import Size
from apricotpath.store import Put
from apricotpath_platform import machinecalls
from apricotpath_platform.httpcalls import HttpCaller
from apricotpath_platform.machinecalls import MachineCalls
from support.executormodel import Behaviour, ExecutorModel
from support.machinemodel import MachineApp, MachineModel
from support.memorystore import SharedStore
from support.platformstandin import serve_app
from support.platformworld import free_port

# So many calls a second that the pages of a list follow each other at once.
CALLS_PER_S = 10_000.0
SERVER_GRACE_S = 0.05


class CallsCase:
    """A machine service on loopback, for one call each time."""

    def __init__(self, machines: int) -> None:
        self.machines = machines
        self.odd_rows: list[Any] = []
        self.odd_answer: tuple[int, Any] | None = None
        self.is_silent = self.is_closed = False
        self.result: Any = None
        self.calls = 0

    def run(self, call: Callable[[MachineCalls], Awaitable[Any]]) -> None:
        async def main() -> None:
            names = [f"m-{number}" for number in range(self.machines)]
            shared = SharedStore()
            wave = json.dumps({"wave": 1, "machines": names})
            shared.apply([], [Put("op/wave/1", wave.encode())])
            model = MachineModel(shared)
            model.executors = {name: ExecutorModel(name, Size(), Behaviour()) for name in names}
            model.is_silent = self.is_silent
            app = self.app = MachineApp(model)
            app.odd_rows, app.odd_answer = self.odd_rows, self.odd_answer
            port = free_port()
            serving = None
            if not self.is_closed:
                serving = asyncio.create_task(serve_app(app, port, SERVER_GRACE_S))
                await wait_until_open(port)
            caller = HttpCaller(Address("127.0.0.1", port), JobMetrics())
            try:
                self.result = await call(MachineCalls(caller, ProcessId("front-1"), CALLS_PER_S))
            except MachineServiceError as exc:
                self.result = exc
            if serving is not None:
                serving.cancel()
                await asyncio.wait([serving])

        anyio.run(main)


async def wait_until_open(port: int) -> None:
    with anyio.fail_after(5):
        while True:
            try:
                await (await anyio.connect_tcp("127.0.0.1", port)).aclose()
                return
            except OSError:
                await anyio.sleep(0.01)


def names(text: str) -> set[MachineId]:
    return {MachineId(f"m-{name}") for name in text.replace(" and ", ", ").split(", ")}


@given("a machinecalls service of {count:d} machines")
def create(context: Any, count: int) -> None:
    context.case = CallsCase(count)


@given("the machinecalls list begins with {row}")
def odd_row(context: Any, row: str) -> None:
    context.case.odd_rows = [json.loads(row)]


@when("machinecalls lists machines while the service answers {answer}")
def list_with_answer(context: Any, answer: str) -> None:
    set_answer(context.case, answer)
    with mock.patch.object(machinecalls, "MAX_PAGES", 5):
        list_machines(context, "0")


@when("machinecalls lists machines {text}")
def list_machines(context: Any, text: str) -> None:
    context.case.run(lambda calls: calls.list_machines(names(text)))


def set_answer(case: CallsCase, answer: str) -> None:
    if answer == "not at all":
        case.is_silent = True
    elif answer == "by a closed port":
        case.is_closed = True
    else:
        status, body = answer.split(" ", 1)
        case.odd_answer = (int(status), json.loads(body))


@when("machinecalls orders the upkeep of machine 0, which is answered {answer}")
def order_with_answer(context: Any, answer: str) -> None:
    set_answer(context.case, answer)
    order(context, 1)


@when("machinecalls orders the upkeep of machine 0 with the token {token:d}")
def order(context: Any, token: int) -> None:
    machine = MachineId("m-0")
    context.case.run(lambda calls: calls.order_upkeep(machine, WaveId(1), Epoch(token)))


@then("machinecalls found machines {text}, in a whole list of {calls:d} calls")
def found_all(context: Any, text: str, calls: int) -> None:
    found = context.case.result
    assert {machine.machine for machine in found.machines} == names(text), found
    assert found.whole and context.case.app.pages == calls, context.case.app.pages


@then("machinecalls found machines {text}, in a list that is not whole")
def found_some(context: Any, text: str) -> None:
    found = context.case.result
    assert {machine.machine for machine in found.machines} == names(text), found
    assert not found.whole


@then("the machinecalls outcome is {outcome}")
def outcome_is(context: Any, outcome: str) -> None:
    assert context.case.result.value == outcome, context.case.result


@then("the machinecalls service got the holder {holder} and the token {token:d}")
def got_headers(context: Any, holder: str, token: int) -> None:
    (got,) = context.case.app.model.orders
    assert (got.holder, got.token, got.answer) == (holder, token, "200"), got


@then("machinecalls has no list")
def has_no_list(context: Any) -> None:
    assert isinstance(context.case.result, MachineServiceError), context.case.result
