"""A job world whose executors run on machines of a machine service, in virtual time."""

import json
from collections.abc import Awaitable, Callable
from itertools import pairwise
from typing import Any

import anyio

from apricotpath.boottime import boot_s
from apricotpath.ids import JobId, ProcessId
from apricotpath.machines import UpkeepSettings
from apricotpath.model import Size
from apricotpath.store import Put
from apricotpath_platform.operatorview import OperatorView
from apricotpath_platform.waves import StoredWaveStatuses
from apricotpathd.upkeep import UpkeepKeeper
from support.jobworld import JobWorld, run_virtual
from support.machinemodel import MachineModel, ModelMachineService

HOST = Size(8000, 8000, 0)
SHORT_S = 3.0
# Time from the start of a serving task until it is ready.
READY_S = 0.5


class UpkeepWorld:
    """A job world whose executors run on machines of a machine service."""

    def __init__(self, entries: int, agents: int) -> None:
        self.entries, self.agents = entries, agents
        self.actions: list[Callable[[], Awaitable[None]]] = []
        self.keepers: dict[str, UpkeepKeeper] = {}
        self.views: dict[str, OperatorView] = {}
        self.serving = JobId("")
        self.opened_at = float("inf")
        self.wave: dict[int, list[str]] = {}

    def add(self, context: Any, action: Callable[[], Awaitable[None]]) -> None:
        """Add the action of a step, and run all of them if it is the scenario's last one."""
        self.actions.append(action)
        if len(self.actions) == len(context.scenario.steps) - 1:
            run_virtual(self._main)

    async def _main(self) -> None:
        async with anyio.create_task_group() as group:
            self.world = world = JobWorld(group)
            world.behaviour.restart_s = 2.0
            world.behaviour.seconds = SHORT_S
            self.service = MachineModel(world.shared)
            for number in range(self.entries):
                self._add_entry(f"entry{number}")
            for number in range(self.agents):
                agent = world.add_agent(f"host{number}", HOST, rack=f"r{number}")
                self.service.executors[f"m-{number}"] = agent.model
            await world.wait_until_attached()
            for action in self.actions:
                await action()
            assert not world.violations(), world.violations()
            assert not self.service.violations(), self.service.violations()
            group.cancel_scope.cancel()

    def _add_entry(self, name: str) -> None:
        world, node = self.world, self.world.add_entry(name)
        view = self.views[name] = OperatorView(node.store, lambda: None)
        service = ModelMachineService(self.service, ProcessId(name), world.group)
        keeper = self.keepers[name] = UpkeepKeeper(
            service,
            StoredWaveStatuses(node.store),
            UpkeepSettings(),
            lambda: view.waves.waves,
            view.mirror.age_s,
            lambda: node.jobs.election.last_led_at,
            node.jobs._metrics,
        )
        node.jobs.term_tasks.append(keeper.serve)

        world.group.start_soon(view.run)

    def write(self, key: str, value: Any) -> None:
        text = value if isinstance(value, str) else json.dumps(value)
        self.world.shared.apply([], [Put(key, text.encode())])

    def state(self, wave: int) -> str:
        item = self.world.shared.items.get(f"status/wave/{wave}")
        return json.loads(item.value)["state"] if item else ""

    def states(self) -> list[str]:
        """Return the states that were written of all waves, in order."""
        events = [e for e in self.world.shared.history if e.key.startswith("status/")]
        return [json.loads(event.value or b"{}")["state"] for event in events]

    async def wait(self, check: Callable[[], bool], within_s: float) -> None:
        with anyio.move_on_after(within_s):
            while not check():
                await anyio.sleep(0.02)
        service = self.service
        assert check(), f"not within {within_s} s: {service.orders}, {service.upkeeps}"

    def spans(self) -> list[tuple[str, float, float]]:
        """Return (task, ready from, to) of the serving runs that were ready, in order of time."""
        spans = []
        for node in self.world.agents.values():
            model = node.model
            ended = [(task, began, to) for task, _, began, to in model.history]
            running = [(r.task, model.began[r.task, r.run], boot_s()) for r in model.runs.values()]
            for task, began, to in ended + running:
                if task.startswith(self.serving) and to > began + READY_S:
                    spans.append((str(task), began + READY_S, to))
        return sorted(spans, key=lambda span: span[1])

    def gaps(self) -> list[tuple[float, float]]:
        """Return (from, to) of the times at which each serving task was not ready."""
        by_task: dict[str, list[tuple[float, float]]] = {}
        for task, begins, ends in self.spans():
            by_task.setdefault(task, []).append((begins, ends))
        return [
            (ended, begins)
            for spans in by_task.values()
            for (_, ended), (begins, _) in pairwise(spans)
        ]
