"""Stand-in of the platform's machine service: a model, and its calls in memory and over HTTP."""

import json
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import parse_qs

import anyio
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s
from apricotpath.ids import Epoch, MachineId, ProcessId, WaveId
from apricotpath.machines import (
    Machine,
    MachineList,
    MachineServiceError,
    MachineState,
    UpkeepAnswer,
)
from apricotpathd.asgi import Receive, Scope, Send, read_body, send_json, serve_lifespan
from support.executormodel import ExecutorModel
from support.memorystore import SharedStore

ANSWER_S = 0.01
CALL_TIMEOUT_S = 1.0
UPKEEP_S = 2.0
LEASE_S = 3.0
PAGE_MACHINES = 2
REASONS = ("fence", "busy", "wave")
ANSWERS = {
    200: UpkeepAnswer.BEGUN,
    400: UpkeepAnswer.NO_SUCH_MACHINE,
    429: UpkeepAnswer.LIMITED,
}


class Order(NamedTuple):
    """One call that reached the service; `answer` is a status or the reason of a refusal."""

    at: float
    machine: str
    wave: int
    holder: str
    token: int
    answer: str


@dataclass
class Fault:
    """What happens to orders: `kind` is a refusal, or says what becomes of unanswered ones.

    Unanswered orders are "carried out", "not carried out", or carried out "late" after `late_s`.
    The fault ends after `orders` orders, and concerns one machine if it names one.
    """

    kind: str
    orders: int
    machine: str = ""
    late_s: float = 4.0


@dataclass
class Ended:
    """What an upkeep has ended on a machine."""

    at: float
    machine: str
    tasks: tuple[str, ...]


class MachineModel:
    """The service. `violations` holds broken rules, `most_down` the most machines down by wave."""

    def __init__(self, shared: SharedStore) -> None:
        self.shared = shared
        self.executors: dict[str, ExecutorModel] = {}
        self.orders: list[Order] = []
        self.listed_at: list[float] = []
        self.ended: list[Ended] = []
        self.upkeeps: Counter[tuple[str, int]] = Counter()
        self.tokens: dict[str, int] = {}
        self.faults: list[Fault] = []
        self.is_silent = False
        self.most_down: Counter[int] = Counter()
        self._down_for: dict[str, tuple[int, float]] = {}

    def state(self, machine: str) -> str:
        """Return the state of a machine."""
        until = self._down_for.get(machine, (0, float("-inf")))[1]
        if boot_s() < until:
            return "upkeep"
        return "down" if self.executors[machine].is_down else "up"

    def rows(self) -> list[dict[str, Any]]:
        """Return the rows of all machines as they are listed."""
        return [
            {
                "machine": name,
                "pool": "huvo11a",
                "state": self.state(name),
                "zone": "zvolen",
                "labels": ["a"],
                "capacity": {"cpu": 8000, "memMb": 8000, "gpu": 0},
                "id": model.instance,
            }
            for name, model in sorted(self.executors.items())
        ]

    def order(self, machine: str, wave: int, holder: str, token: int) -> str:
        """Carry out an order; return its status or the reason of its refusal."""
        answer = self.carry_out(machine, wave, token)
        self.orders.append(Order(boot_s(), machine, wave, holder, token, answer))
        return answer

    def carry_out(self, machine: str, wave: int, token: int) -> str:
        """Carry out an order that is recorded already, or refuse it."""
        if machine not in self.executors:
            return "400"
        if token < self.tokens.get(machine, 0):
            return "fence"
        self.tokens[machine] = token
        if machine not in self._wave(wave).get("machines", ()):
            return "wave"
        if self.upkeeps[machine, wave]:
            return "200"
        if self.state(machine) != "up":
            return "busy"
        self._begin(machine, wave)
        return "200"

    def _wave(self, wave: int) -> dict[str, Any]:
        item = self.shared.items.get(f"op/wave/{wave}")
        return json.loads(item.value) if item is not None else {}

    def _begin(self, machine: str, wave: int) -> None:
        now, model = boot_s(), self.executors[machine]
        tasks = tuple(str(run.task) for run in model.runs.values())
        self.ended.append(Ended(now, machine, tasks))
        self.upkeeps[machine, wave] += 1
        self._down_for[machine] = (wave, now + UPKEEP_S)
        model.go_down()
        down = sum(of == wave and until > now for of, until in self._down_for.values())
        self.most_down[wave] = max(self.most_down[wave], down)

    def fault(self, machine: str) -> Fault | None:
        """Return the fault that an order for a machine meets, and count it."""
        for fault in self.faults:
            if fault.orders > 0 and fault.machine in ("", machine):
                fault.orders -= 1
                return fault
        return None

    def violations(self) -> list[str]:
        """Return orders of a holder after those of a later one, or too soon after a former one."""
        found = []
        last: dict[str, Order] = {}
        token = 0
        for order in self.orders:
            if order.token < token:
                found.append(f"a former holder goes on: {order}")
            token = max(token, order.token)
            former = last.get(order.machine)
            if former is not None and former.holder != order.holder:
                if order.token == former.token:
                    found.append(f"two holders used one token: {former}, {order}")
                if order.at - former.at < LEASE_S:
                    found.append(f"two holders in turn: {former}, {order}")
            last[order.machine] = order
        return found


@dataclass
class ModelMachineService:
    """Calls of one node in virtual time; implements `apricotpath.machines.MachineService`."""

    model: MachineModel
    holder: ProcessId
    group: TaskGroup
    is_cut_off: Callable[[], bool] = field(default=lambda: False)

    async def list_machines(self, wanted: Collection[MachineId]) -> MachineList:
        self.model.listed_at.append(boot_s())
        await self._reach()
        await anyio.sleep(ANSWER_S)
        machines = [
            Machine(MachineId(row["machine"]), MachineState(row["state"]), row["id"])
            for row in self.model.rows()
            if row["machine"] in wanted
        ]
        return MachineList(tuple(machines))

    async def order_upkeep(self, machine: MachineId, wave: WaveId, epoch: Epoch) -> UpkeepAnswer:
        try:
            await self._reach()
        except MachineServiceError:
            return UpkeepAnswer.UNANSWERED
        await anyio.sleep(ANSWER_S)
        fault = self.model.fault(machine)
        if fault is None:
            return self._outcome(self.model.order(machine, wave, self.holder, epoch))
        if fault.kind == "carried out":
            self.model.order(machine, wave, self.holder, epoch)
        else:
            self.model.orders.append(Order(boot_s(), machine, wave, self.holder, epoch, fault.kind))
        if fault.kind in REASONS or fault.kind.isdecimal():
            return self._outcome(fault.kind)
        if fault.kind == "late":
            self.group.start_soon(self._order_late, fault.late_s, machine, wave, epoch)
        await anyio.sleep(CALL_TIMEOUT_S)
        return UpkeepAnswer.UNANSWERED

    async def _order_late(
        self, after_s: float, machine: MachineId, wave: WaveId, epoch: Epoch
    ) -> None:
        await anyio.sleep(after_s)
        self.model.carry_out(machine, wave, epoch)

    async def _reach(self) -> None:
        if self.model.is_silent or self.is_cut_off():
            await anyio.sleep(CALL_TIMEOUT_S)
            raise MachineServiceError("no answer")

    @staticmethod
    def _outcome(answer: str) -> UpkeepAnswer:
        return ANSWERS[int(answer)] if answer.isdecimal() else UpkeepAnswer(answer)


class MachineApp:
    """ASGI app of the service; `odd_rows` precede those of the model, `odd_answer` replaces one."""

    def __init__(self, model: MachineModel) -> None:
        self.model = model
        self.odd_rows: list[Any] = []
        self.odd_answer: tuple[int, Any] | None = None
        self.pages = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        raw = await read_body(receive)
        if self.model.is_silent:
            await anyio.sleep(60)
        if self.odd_answer is not None:
            await send_json(send, *self.odd_answer)
        elif scope["path"] == "/machines":
            query = parse_qs(scope["query_string"].decode())
            await send_json(send, 200, self._page(int(query.get("pageToken", ["0"])[0])))
        else:
            await self._order(scope, json.loads(raw), send)

    def _page(self, first: int) -> dict[str, Any]:
        self.pages += 1
        rows = [*self.odd_rows, *self.model.rows()]
        end = first + PAGE_MACHINES
        token = str(end) if end < len(rows) else None
        return {"machines": rows[first:end], "nextToken": token}

    async def _order(self, scope: Scope, body: dict[str, Any], send: Send) -> None:
        headers = {name.decode().lower(): value.decode() for name, value in scope["headers"]}
        answer = self.model.order(
            body["machine"], body["wave"], headers["duty-holder"], int(headers["fence-token"])
        )
        if answer.isdecimal():
            await send_json(send, int(answer), {})
        else:
            await send_json(send, 409, {"reason": answer})
