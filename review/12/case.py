"""A job is cancelled while its submission is under way: the job runs nevertheless."""

import asyncio
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from world import BOUNDS, CouldNotRun, World, run_case  # noqa: E402

JOB, FIRST = "5c0e7a21d94b36f8", "00000000000000a1"
# give_up: clients leave within half the objective of 250 ms.
LEAVES_AFTER_S = 0.125
# platform_lost, how = late: a write is done 1 to 6 s later and not answered.
LATE_S, LOST_FOR_S = 2.0, 0.5
EXECUTORS = [(f"side-{number}", ["a", f"r1-{number}"], 16000, 64000) for number in (1, 2, 3)]
TASK_S = 2.0
STEPS = 4
TRAFFIC_INTERVAL_S = 0.05


def chain(steps: int, seconds: float) -> list[tuple[dict[str, Any], float, str]]:
    """Return steps of two tasks, one after the other."""
    rows = []
    for number in range(steps):
        row = {"count": 2, "cpu": 500, "memMb": 256, "estRuntimeMs": int(seconds * 1000)}
        rows.append((row | ({"after": [number - 1]} if number else {}), seconds, "done"))
    return rows


async def state_of(world: World, entry: str, job: str) -> str:
    """Return the state of a job as an entry shows it, or the status of its answer."""
    answer = await world.client(entry, "GET", job)
    return str(answer[1].get("state", answer[0])) if answer else "no answer"


async def other_clients(world: World, entry: str) -> None:
    """Submit small jobs all the time."""
    for number in range(1000):
        job = f"{number:016x}"
        body = world.job(job, chain(1, 0.3))
        await world.client(entry, "POST", job, body)
        await asyncio.sleep(TRAFFIC_INTERVAL_S)


async def case(world: World, trouble: bool) -> bool:
    """Return whether UNASKED held."""
    await world.begin(2, EXECUTORS)
    await world.client("front-1", "POST", FIRST, world.job(FIRST, chain(2, 0.3)))

    async def completed() -> bool:
        return await state_of(world, "front-2", FIRST) == "completed"

    await world.wait_for("first job completed", completed, 15)
    leader = await world.scheduler()
    other = next(name for name in ("front-1", "front-2") if name != leader)
    traffic = asyncio.create_task(other_clients(world, leader))
    # Calm for longer than contactMs.
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 1)

    lost: list[float] = []

    def hold_up(body: Any) -> float | None:
        """Lose the first write of the job, and no other one."""
        if lost or not any(put["key"].endswith(JOB) for put in body["puts"]):
            return None
        lost.append(world.now())
        world.note("write held up", late_s=LATE_S)
        return LATE_S

    writes = world.store.writes
    if trouble:
        world.store.hold_up = hold_up
    sent_at = world.now()
    body = world.job(JOB, chain(STEPS, TASK_S))
    answer = await world.client(other, "POST", JOB, body, LEAVES_AFTER_S)
    if trouble and (answer is not None or not lost):
        raise CouldNotRun("the write of the job was not held up")
    # The client has given the job up, and makes sure that it does not run.
    cancelled = await world.client(leader, "DELETE", JOB)
    if cancelled is None or cancelled[0] not in (200, 410):
        raise CouldNotRun("the cancelling was not acknowledged")
    acknowledged = world.now()
    await asyncio.sleep(max(0.0, sent_at + LOST_FOR_S - world.now()))
    world.store.hold_up = lambda _body: None
    made = world.store.writes - writes
    world.note("writes while some were lost", lost=len(lost), made=made)
    await asyncio.sleep(STEPS * TASK_S + 4)
    traffic.cancel()
    world.note("state at the end", job=JOB, state=await state_of(world, leader, JOB))

    # UNASKED: a machine in touch starts a task later than cancel_ms after the job's cancelling
    # was acknowledged. A machine is in touch once the store has been without disruption for
    # contactMs; the late write is the last of the disruption. Nothing else was disturbed.
    calm = (lost[0] + LATE_S if lost else sent_at) + BOUNDS["contactMs"] / 1000
    limit = max(acknowledged + BOUNDS["cancel_ms"] / 1000, calm)
    late = [item for item in world.starts if item[2].startswith(JOB) and item[0] > limit]
    for at, host, task, run in late:
        after_s = round(at - acknowledged, 3)
        world.note("UNASKED broken", task=task, run=run, at=host, after_ack_s=after_s)
    return not late


run_case(FOLDER, case)
