"""GET of a queue leaves out jobs of which nothing has begun, once a start of them was tried."""

import time

from world import BROKEN, HELD, NOT_RUN, TROUBLE, Record, Size, World, operator_config, run_case

JOB = "5c0e7a21d94b36f8"
# Twelve executors, of which one, the only one of its kind, is unhealthy: a share of 0.083.
EXECUTORS = 12
UNHEALTHY_S = 6.5
# RULES.md: visible_ms and 2 s more.
LATEST_S = 3.0 + 2.0


def case(world: World, record: Record) -> int:
    """Submit a job whose only executor is unhealthy, and read the count of its queue."""
    world.behaviour.seconds = 2.0
    world.behaviour.sizes[f"{JOB}.0.0"] = Size(1000, 1000, 0)
    labels = [["b", "r1-1"]] + [["a", f"r1-{2 + number // 3}"] for number in range(EXECUTORS - 1)]
    world.begin(3, labels, operator_config())
    executor = world.executors["side-1"]
    executor.refuses = TROUBLE
    began = time.monotonic()
    record.write(f"executor {executor.model.instance} is unhealthy: {TROUBLE}")
    step = {"count": 1, "cpu": 1000, "memMb": 1000, "estRuntimeMs": 2000, "requires": "b"}
    entries = ["front-1", "front-2", "front-3"]
    if not world.submit(JOB, {"spec": "plan", "steps": [step]}, entries):
        return NOT_RUN
    accepted = time.monotonic()
    code = HELD
    while time.monotonic() - began < UNHEALTHY_S - 0.1:
        time.sleep(0.2)
        age = time.monotonic() - accepted
        if age < LATEST_S:
            continue
        for entry in entries:
            status, answer = world.send(entry, "GET", "")
            begun = len(world.starts(JOB))
            if status == 200 and not begun and answer["pending"] < 0.5:
                record.write(
                    f"{entry} shows pending {answer['pending']}; one job was accepted {age:.1f} s"
                    " before and has not begun"
                )
                code = BROKEN
    executor.refuses = False
    record.write(f"executor {executor.model.instance} is well")
    world.wait(lambda: world.state("front-1", JOB) == "completed", 30)
    record.write(f"the job has completed; starts: {len(world.starts(JOB))}")
    return code


run_case(case)
