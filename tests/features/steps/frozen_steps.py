"""Steps for frozen.feature."""

import signal
import time
from typing import Any

import httpx
from behave import given, then, when
from platformpath_steps import RunningPlatform

from apricotpath.boottime import boot_s

# Longer than a pause of an agent that its runs survive.
WORK_S = 5
# A time at which the executors list the tasks of all jobs.
SETTLE_S = 1.0


class FrozenCase:
    """Three jobs of a running platform, one of which is cancelled."""

    def __init__(self) -> None:
        self.platform = RunningPlatform.get()
        self.world = self.platform.world
        self.world.behaviour.seconds = WORK_S
        self.at_work = self.submit()
        self.cancelled = self.submit()
        self.world.wait(lambda: len(self.platform.runs_of(self.cancelled)) == 4, 10)
        self.submitted = ""
        self.cancelled_at = 0.0

    def submit(self) -> str:
        """Submit a job of two steps at a live entry."""
        entry = self.other_entry()
        self.platform.submit(entry, 4, 2)
        answer = self.platform.answer
        assert answer is not None
        assert answer.status_code == 200, answer.text
        return self.platform.job

    def other_entry(self) -> str:
        """Return an entry that does not schedule, since the scheduler may be paused."""
        return "front-2" if self.platform.scheduler() == "front-1" else "front-1"

    def cancel(self) -> None:
        path = f"/lohu930/{self.cancelled}"
        assert self.world.call(self.other_entry(), "DELETE", path).status_code == 200
        self.cancelled_at = self.world.portal.call(boot_time)

    def pause(self, process: str, seconds: float) -> None:
        name = "side-1" if process == "agent" else self.platform.scheduler()
        running = self.world.processes[name]
        self.submitted = self.submit()
        self.cancel()
        if "shutting down" in process:
            running.send_signal(signal.SIGTERM)
        running.send_signal(signal.SIGSTOP)
        try:
            time.sleep(seconds)
        finally:
            running.send_signal(signal.SIGCONT)
        if "shutting down" in process:
            running.wait(20)
            self.world.run(name)

    def completed(self, job: str) -> bool:
        try:
            return any(
                self.world.state(name, job) == "completed" for name in ("front-1", "front-2")
            )
        except httpx.HTTPError:
            return False

    def jobs(self) -> tuple[str, str, str]:
        return self.at_work, self.cancelled, self.submitted


async def boot_time() -> float:
    return boot_s()


@given("frozen's processes are running with a job at work and another to be cancelled")
def start(context: Any) -> None:
    context.frozen = FrozenCase()


@when("frozen's {process} is paused for {seconds:d} seconds amid a submission and a cancellation")
def pause(context: Any, process: str, seconds: int) -> None:
    context.frozen.pause(process, seconds)


@then("the two other jobs of frozen are completed within {seconds:d} seconds")
def completed(context: Any, seconds: int) -> None:
    case: FrozenCase = context.frozen
    for job in (case.at_work, case.submitted):
        case.world.wait(lambda job=job: case.completed(job), seconds)
    time.sleep(SETTLE_S)


@then("no task of frozen had two runs at the same time")
def no_overlap(context: Any) -> None:
    case: FrozenCase = context.frozen
    for job in case.jobs():
        spans: dict[str, list[tuple[float, float]]] = {}
        for task, began, ended in case.platform.runs_of(job):
            spans.setdefault(task, []).append((began, ended))
        for task, runs in spans.items():
            runs.sort()
            later = runs[1:]
            assert all(a[1] <= b[0] for a, b in zip(runs, later, strict=False)), (task, runs)


@then("no task of the cancelled job of frozen began {seconds:g} seconds after its cancellation")
def no_late_start(context: Any, seconds: float) -> None:
    case: FrozenCase = context.frozen
    starts = [began for _, began, _ in case.platform.runs_of(case.cancelled)]
    assert max(starts) < case.cancelled_at + seconds, (starts, case.cancelled_at)


@then("each task of frozen's job at work had one run only")
def one_run(context: Any) -> None:
    case: FrozenCase = context.frozen
    tasks = [task for task, _, _ in case.platform.runs_of(case.at_work)]
    assert len(tasks) == len(set(tasks)) == 6, tasks
