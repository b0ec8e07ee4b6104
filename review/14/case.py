"""All entries are killed while a zone is evacuated: tasks start in the evacuated zone."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

from world import BOUNDS, PREFIX, World, run_case  # noqa: E402

FIRST = "00000000000000a1"
EXECUTORS = [(f"side-{number}", ["a", f"r1-{number}"], 16000, 64000) for number in range(1, 5)]
ZONES = {"side-3": "z2", "side-4": "z2"}
# Routes of a large configuration, and the width of an entry's link (Mbit/s).
ROUTES, LINK_MBPS = 1400, 5.0
DOWN_S = 1.0
JOB_INTERVAL_S = 0.2


def two_steps(count: int, seconds: float) -> list[tuple[dict[str, Any], float, str]]:
    """Return two steps of some tasks each, one after the other."""
    row = {"count": count, "cpu": 500, "memMb": 256, "estRuntimeMs": int(seconds * 1000)}
    return [(row, seconds, "done"), (row | {"after": [0]}, seconds, "done")]


async def clients(world: World) -> None:
    """Hand in jobs all the time, at any entry that answers."""
    for number in range(256, 1000):
        job = f"{number:016x}"
        body = world.job(job, two_steps(4, 1.0))
        for entry in ("front-1", "front-2"):
            if await world.client(entry, "POST", job, body) is not None:
                break
        await asyncio.sleep(JOB_INTERVAL_S)


async def case(world: World, trouble: bool) -> bool:
    """Return whether EVAC held."""
    world.prefixes = [PREFIX, *(f"/idle{number:04d}/" for number in range(ROUTES))]
    await world.begin(2, EXECUTORS, zones=ZONES, link_mbps=LINK_MBPS)
    await world.client("front-1", "POST", FIRST, world.job(FIRST, two_steps(8, 0.3)))

    async def completed() -> bool:
        answer = await world.client("front-2", "GET", FIRST)
        return answer is not None and answer[1].get("state") == "completed"

    await world.wait_for("first job completed", completed, 15)
    traffic = asyncio.create_task(clients(world))
    await asyncio.sleep(2)
    world.store.operator_writes("op/evacuate/z2", {})
    evacuated = world.now()
    world.note("evacuation of z2 acknowledged")
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 5)
    if trouble:
        for name in ("front-1", "front-2"):
            world.signal(name, signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for name in ("front-1", "front-2"):
            await world.start_process(name)
    await asyncio.sleep(15)
    traffic.cancel()
    # EVAC: a machine in touch starts a task in a zone later than evacMs after its evacuation was
    # acknowledged and before it is taken back. The agents, the executors and the store have had
    # no disruption.
    limit = evacuated + BOUNDS["evacMs"] / 1000
    late = [item for item in world.starts if item[1] in ZONES and item[0] > limit]
    for at, host, task, run in late:
        after_s = round(at - evacuated, 3)
        world.note("EVAC broken", task=task, run=run, at=host, after_ack_s=after_s)
    return not late


run_case(FOLDER, case)
