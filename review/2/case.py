"""A job of many tasks with a long spec is accepted, and none of its tasks ever starts."""

import time

from world import BROKEN, HELD, NOT_RUN, TROUBLE, Record, Size, World, operator_config, run_case

TASKS = 600 if TROUBLE else 60
JOB = "5c0e7a21d94b36f8"
SMALL = "00000000000000a1"
WATCH_S = 30.0


def case(world: World, record: Record) -> int:
    """Submit the large job, then a small one, and see whether they begin."""
    world.behaviour.seconds = 3.0
    for job in (JOB, SMALL):
        world.behaviour.sizes[f"{job}.0.0"] = Size(100, 128, 0)
    world.begin(2, [["a", "r1-1"], ["a", "r1-2"]], operator_config())
    step = {"count": TASKS, "cpu": 100, "memMb": 128, "estRuntimeMs": 3000}
    accepted = world.submit(JOB, {"spec": "x" * 4000, "steps": [step]}, ["front-1", "front-2"])
    if not accepted:
        return NOT_RUN
    world.submit(SMALL, {"spec": "y", "steps": [step | {"count": 1}]}, ["front-2", "front-1"])
    began = time.monotonic()
    while time.monotonic() - began < WATCH_S and not world.starts(JOB):
        time.sleep(0.5)
    for entry in ("front-1", "front-2"):
        world.send(entry, "GET", JOB)
        world.send(entry, "GET", SMALL)
    started = len(world.starts(JOB))
    record.write(
        f"{started} starts of {JOB} within {time.monotonic() - began:.1f} s of its acceptance;"
        f" {len(world.starts(SMALL))} of {SMALL}; {len(world.running())} tasks run in all"
    )
    return HELD if started else BROKEN


run_case(case)
