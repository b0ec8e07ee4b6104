"""A world in virtual time some of whose tasks crash their executors, and the actions in it."""

from collections.abc import Awaitable, Callable

import anyio

from apricotpath.boottime import boot_s
from apricotpath.ids import JobId, TaskId
from apricotpath.model import Size
from apricotpath.workload import Step
from apricotpathd.jobservice import JobServiceUnavailable
from support.jobworld import JobWorld, run_virtual

HOST = Size(8000, 8000, 0)
# How often the crashes and the states of jobs are looked at.
SAMPLE_S = 0.05
# How long a scenario goes on at least and at most, and after all jobs have ended.
SHORTEST_S = 20.0
LONGEST_S = 150.0
SETTLE_S = 15.0
STORE_OUTAGE_S = 5.0
Action = Callable[["CrashingTasks"], Awaitable[None]]


class CrashingTasks:
    """Actions of a scenario on a world, and how its jobs ended."""

    def __init__(self, entries: int, hosts: int) -> None:
        self.entries, self.hosts = entries, hosts
        self.seconds, self.silent_share, self.deadly_after_s = 1.0, 0.0, 0.01
        self.restart_s = 3.0
        self.actions: list[Action] = []
        self.background: list[Action] = []
        self.deadly: list[JobId] = []
        self.others: list[JobId] = []
        self.ended: dict[JobId, tuple[str, float]] = {}
        self.violations: list[str] = []
        self.crash_times: dict[TaskId, list[float]] = {}
        self.starts_after: dict[TaskId, int] = {}
        self.crash_count = 0
        self._world: JobWorld | None = None
        self._ran = False

    @property
    def world(self) -> JobWorld:
        assert self._world is not None
        return self._world

    def run(self) -> None:
        """Run the scenario once; later checks use the recorded results."""
        if not self._ran:
            self._ran = True
            run_virtual(self._main)

    async def _main(self) -> None:
        async with anyio.create_task_group() as group:
            world = self._world = JobWorld(group)
            world.behaviour.seconds = self.seconds
            world.behaviour.silent_share = self.silent_share
            world.behaviour.restart_s = self.restart_s
            world.behaviour.deadly_after_s = self.deadly_after_s
            for number in range(self.entries):
                world.add_entry(f"entry{number}")
            for number in range(self.hosts):
                world.add_agent(f"host{number}", HOST)
            await world.wait_until_attached()
            for action in self.actions:
                await action(self)
            async with anyio.create_task_group() as watched:
                for action in self.background:
                    watched.start_soon(action, self)
                watched.start_soon(self._watch_jobs)
            await anyio.sleep(SETTLE_S)
            self._record()
            group.cancel_scope.cancel()

    async def _watch_jobs(self) -> None:
        """Record when and how jobs end, until all have ended or it takes too long."""
        began = boot_s()
        jobs = [*self.deadly, *self.others]
        while boot_s() < began + LONGEST_S:
            for job in jobs:
                await self._look_at(job, began)
            if len(self.ended) == len(jobs) and boot_s() >= began + SHORTEST_S:
                return
            await anyio.sleep(SAMPLE_S)

    async def _look_at(self, job: JobId, began: float) -> None:
        if job in self.ended:
            return
        entries = self.world.entries.values()
        entry = next(node for node in entries if not node.scope.cancel_called)
        try:
            progress = await entry.job_service.progress(job)
        except JobServiceUnavailable:
            return
        if progress is not None and progress.final:
            self.ended[job] = progress.value, boot_s() - began

    def _record(self) -> None:
        self.violations = self.world.violations()
        self.crash_times = self.world.crash_times()
        self.starts_after = self.world.starts_after_crashes()
        self.crash_count = sum(map(len, self.crash_times.values()))

    async def submit_deadly(self, *steps: Step, tasks: int) -> None:
        """Submit a job; the first `tasks` tasks of its first step crash their executors."""
        job = self.world.next_job()
        self.world.behaviour.deadly |= {f"{job}.0.0.{number}" for number in range(tasks)}
        self.deadly.append(await self.world.submit(*steps))

    async def submit_others(self, count: int, step: Step, seconds: float | None = None) -> None:
        """Submit jobs whose tasks crash nothing."""
        for _ in range(count):
            if seconds is not None:
                self.world.behaviour.lengths[self.world.next_job()] = seconds
            self.others.append(await self.world.submit(step))

    async def wait_for_crashes(self, count: int) -> None:
        """Wait until deadly tasks have crashed so many executors."""
        with anyio.fail_after(LONGEST_S):
            while sum(map(len, self.world.crash_times().values())) < count:
                await anyio.sleep(SAMPLE_S)

    async def kill_scheduler(self) -> None:
        """Kill the entry that schedules."""
        with anyio.fail_after(LONGEST_S):
            while (leader := self.world.leader()) is None:
                await anyio.sleep(SAMPLE_S)
        await self.world.kill(leader)

    async def lose_store(self) -> None:
        """Leave calls to the store unanswered for a while."""
        for node in self.world.entries.values():
            node.store.faults.silent = True
        await anyio.sleep(STORE_OUTAGE_S)
        for node in self.world.entries.values():
            node.store.faults.silent = False
