"""Generated job tables for passes of the scheduler, with hosts that come, leave and shrink."""

import random
from collections.abc import Callable
from hashlib import sha256
from typing import Any

from apricotpath.crashes import Blame, CrashPart
from apricotpath.fleet import FleetSettings, Host
from apricotpath.hostload import PlacementInput
from apricotpath.ids import DataCentreId, FenceToken, HostId, JobId, QueueId, RackId, ServiceId
from apricotpath.jobrows import RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runplacement import Placement
from apricotpath.runrecords import Assigned, Crashed, Ended
from apricotpath.workload import HostFacts, Job, Queue, RunResult, Step, TaskKey

SERVICE = ServiceId("bakery")
QUEUES = {
    QueueId(name): Queue(QueueId(name), SERVICE, priority=priority, stretch=2.0, target_s=1.0)
    for name, priority in (("bread", 0), ("planning", 2), ("counter", 0))
}
PASS_S = 0.25
PASSES = 40
HOSTS = 12
CORE = 1000

Place = Callable[[JobTable, PlacementInput], list[Placement]]


class GeneratedTable:
    """Random jobs on random hosts; the same for equal seeds as long as placements are equal."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.table = JobTable()
        self.now = 100.0
        self.jobs = 0
        self.hosts: dict[HostId, Host] = {}
        self.ends: dict[tuple[TaskKey, int], float] = {}
        for number in range(HOSTS):
            name = HostId(f"h{number}")
            host = Host(name, fence=FenceToken(1), reported=True)
            labels = frozenset({"stone"} if number % 3 == 0 else ())
            cores = self.rng.choice([4, 16, 16])
            host.facts = HostFacts(
                name,
                1,
                SERVICE,
                DataCentreId(f"z{number % 2}"),
                RackId(f"r{number % 4}"),
                labels,
                Size(cores * CORE, cores * 2000),
            )
            self.hosts[name] = host

    def add_job(self) -> None:
        """Add a job as the queues of deployments get them, or one of an unusual kind."""
        rng = self.rng
        kind = rng.choice(["small", "small", "small", "filler", "serving", "gang", "odd"])
        queue, flags, count = "bread", dict[str, Any](), 10
        cores, memory, estimate_s = rng.uniform(0.3, 1.6), rng.randint(50, 800), 1.0
        if kind == "filler":
            queue, flags, count = "planning", {"filler": True, "image": "plan"}, 20
            cores, memory, estimate_s = rng.uniform(1.8, 7), rng.randint(500, 3000), 4.5
        elif kind == "serving":
            queue, count, cores = "counter", rng.randint(1, 3), rng.uniform(1, 4)
            flags = {"long_running": True, "target_ms": 10.0}
        elif kind == "gang":
            flags, count = {"gang": True, "same_rack": rng.random() < 0.5}, rng.randint(2, 5)
        elif kind == "odd":
            extra = {"label": "stone", "max_per_host": 1, "near": RackId("r1")}
            name = rng.choice(list(extra))
            flags, cores, count = {name: extra[name]}, rng.uniform(2, 4), rng.randint(1, 6)
        self.jobs += 1
        size = Size(int(cores * CORE), memory)
        step = Step(count, size, estimate_s * rng.uniform(0.5, 2), **flags)
        name = JobId(f"{self.jobs:016x}")
        job = Job(name, QueueId(queue), "bake", (step,), accepted_s=self.now)
        self.table.add(job, self.now)
        if rng.random() < 0.05:
            suspect = TaskKey(name, 0, 0, 0)
            self.table.apply(Crashed(suspect, 1, CrashPart(Blame.SUSPECT, 0.0)), self.now)

    def change_hosts(self) -> None:
        """Let a host leave, come back, run its tasks slowly or limit its filler tasks."""
        for host in self.hosts.values():
            host.reported_at = self.now
        host = self.hosts[HostId(f"h{self.rng.randrange(HOSTS)}")]
        host.draining = self.rng.random() < 0.2
        host.speed = self.rng.choice([0.2, 1.0, 1.0])
        host.filler_percent = self.rng.choice([20.0, 100.0])

    def end_runs(self) -> None:
        """End the runs that are due, and let the others make progress."""
        for runs in list(self.table.by_host.values()):
            for run in list(runs.values()):
                until = self.ends[run.task, run.run]
                if until <= self.now:
                    result = RunResult.FAILED if self.rng.random() < 0.05 else RunResult.DONE
                    self.table.apply(Ended(run.task, run.run, result), self.now)
                else:
                    run.phase = RunPhase.RUNNING
                    self.table.note_survived(run)
                    run.percent = int(100 * (self.now - run.since) / (until - run.since))

    def inputs(self) -> PlacementInput:
        """Return the inputs of a pass."""
        return PlacementInput(self.hosts, QUEUES, frozenset(), self.now, self.now, FleetSettings())

    def run_pass(self, place: Place) -> list[Placement]:
        """Let some time go by and do one pass; return what it starts."""
        self.now += PASS_S
        self.end_runs()
        self.change_hosts()
        for _ in range(self.rng.randint(1, 4)):
            self.add_job()
        placed = place(self.table, self.inputs())
        for item in placed:
            record = Assigned(item.task, item.run, item.host, item.host, 1)
            self.table.apply(record, self.now)
            step = self.table.step_of(item.task)
            run_s = step.estimate_s * (7 if self.rng.random() < 0.03 else 1)
            until = float("inf") if step.long_running else self.now + run_s
            self.ends[item.task, item.run] = until
        return placed


def digest_of_passes(place: Place, seed: int) -> str:
    """Return a digest of all placements on the table of a seed."""
    table, digest = GeneratedTable(seed), sha256()
    for _ in range(PASSES):
        for item in table.run_pass(place):
            digest.update(f"{item.task} {item.run} {item.host}\n".encode())
        digest.update(b"\n")
    return digest.hexdigest()[:16]
