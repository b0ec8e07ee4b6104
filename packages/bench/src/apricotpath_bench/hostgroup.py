"""Runs many agents in one process, with links over TCP and idle workers."""

import json
import random
import sys
from dataclasses import dataclass, replace
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from apricotpath.config import AgentSettings, load_settings
from apricotpath.errors import WorkerRefused
from apricotpath.ids import BackendId, HostId, ProcessId, RackId, TaskId
from apricotpath.link import dial_forever
from apricotpath.model import Outcome, Size
from apricotpath.worker import StartOrder, WorkerStatus, WorkerTask
from apricotpathd.agent import Agent

HOSTS_PER_RACK = 20
MS_PER_S = 1000


class IdleWorker:
    """Worker without tasks that refuses every command; it uses this process's clock."""

    def __init__(self, size: Size) -> None:
        self.size = size

    async def status(self) -> WorkerStatus:
        """Return a status without tasks or usage."""
        return WorkerStatus("boot", int(anyio.current_time() * MS_PER_S) + 1, self.size, Size(), ())

    async def start(self, order: StartOrder) -> WorkerTask:
        """Raise WorkerRefused."""
        raise WorkerRefused("this worker runs nothing")

    async def renew(self, task: TaskId, attempt: int, deadline_ms: int) -> WorkerTask:
        """Raise WorkerRefused."""
        raise WorkerRefused("this worker runs nothing")

    async def checkpoint(self, task: TaskId, attempt: int) -> WorkerTask:
        """Raise WorkerRefused."""
        raise WorkerRefused("this worker runs nothing")

    async def throttle(self, task: TaskId, attempt: int, share: float) -> WorkerTask:
        """Raise WorkerRefused."""
        raise WorkerRefused("this worker runs nothing")

    async def stop(self, task: TaskId, attempt: int, outcome: Outcome) -> WorkerTask:
        """Raise WorkerRefused."""
        raise WorkerRefused("this worker runs nothing")

    async def forget(self, task: TaskId, attempt: int) -> None:
        """Do nothing."""


@dataclass(slots=True)
class Traffic:
    """Bytes over open links, open links and ready agents of one process."""

    sent: int = 0
    received: int = 0
    links: int = 0
    ready: int = 0


def host_settings(template: AgentSettings, number: int) -> AgentSettings:
    """Return the settings of one host of the group."""
    backend = template.backend
    if backend is not None:
        backend = replace(backend, backend=BackendId(f"backend-g{number}"))
    return replace(
        template,
        process=ProcessId(f"agent-g{number}"),
        host=HostId(f"host-g{number}"),
        rack=RackId(f"rack-g{number // HOSTS_PER_RACK}"),
        backend=backend,
    )


async def start_agent(cfg: AgentSettings, group: TaskGroup) -> Agent:
    """Start an agent with an idle worker and links to all entries in its settings."""
    agent = Agent(cfg)
    agent.worker = agent.tasks.worker = IdleWorker(cfg.size)  # type: ignore[assignment]
    await agent.serve(group)
    group.start_soon(agent.announce_forever)
    for address in cfg.entries:
        rng = random.Random(f"{cfg.process}/{address.port}")
        group.start_soon(dial_forever, address, agent.hello, cfg.link, agent, rng)
    return agent


def traffic(agents: list[Agent]) -> Traffic:
    """Return the traffic of the currently open links."""
    total = Traffic()
    for agent in agents:
        total.links += len(agent.links)
        total.ready += agent.ready()
        for link in agent.links:
            total.sent += link.bytes_sent
            total.received += link.bytes_received
    return total


async def run_group(template: Path, first: int, count: int) -> None:
    """Run agents until standard input ends; each line of input prints the traffic as JSON."""
    settings = load_settings(template, AgentSettings)
    async with anyio.create_task_group() as group:
        agents = [
            await start_agent(host_settings(settings, number), group)
            for number in range(first, first + count)
        ]
        while await anyio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True):
            now = traffic(agents)
            print(json.dumps([now.sent, now.received, now.links, now.ready]), flush=True)
        group.cancel_scope.cancel()


def main() -> None:
    """Run a group: hostgroup TEMPLATE FIRST COUNT."""
    anyio.run(run_group, Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))


if __name__ == "__main__":
    main()
