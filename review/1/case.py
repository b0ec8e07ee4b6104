"""One accepted job that repeats for a year stops the scheduling of all other jobs."""

import time
from pathlib import Path

from world import BROKEN, HELD, NOT_RUN, TROUBLE, Record, World, operator_config, run_case

YEARLY = "5c0e7a21d94b36f8"
OTHERS = [f"{number:016x}" for number in range(0xA1, 0xA5)]
# A year of occurrences, one each five minutes; 8 is what jobs that repeat have on the sites.
TIMES = 365 * 24 * 12 if TROUBLE else 8
# No other job is submitted later than this after the first one, and the wait ends at WATCH_S.
SUBMIT_S = 40.0
WATCH_S = 60.0


def memory_mb(pid: int) -> int:
    """Return the largest resident memory that a process has had."""
    text = Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmHWM"))
    return int(line.split()[1]) // 1024


def case(world: World, record: Record) -> int:
    """Submit the job that repeats, then others, and see which of these begin."""
    world.behaviour.seconds = 1.0
    world.begin(3, [["a", "r1-1"], ["a", "r1-2"]], operator_config())
    entries = [f"front-{number}" for number in (1, 2, 3)]
    step = {"count": 6, "cpu": 1000, "memMb": 100, "estRuntimeMs": 1000}
    yearly = {
        "spec": "plan",
        "steps": [step],
        "times": TIMES,
        "intervalMs": 300_000,
        "startAtMs": round((time.time() + 3600) * 1000),
    }
    if not world.submit(YEARLY, yearly, entries):
        return NOT_RUN
    began = time.monotonic()
    accepted = []
    for number, job in enumerate(OTHERS):
        body = {"spec": "book", "steps": [step | {"count": 1}]}
        others = entries[number % 3 :] + entries[: number % 3]
        if time.monotonic() - began < SUBMIT_S and world.submit(job, body, others, tries=3):
            accepted.append(job)
        time.sleep(1.0)
    while time.monotonic() - began < WATCH_S:
        if accepted and all(world.starts(job) for job in accepted):
            break
        time.sleep(1.0)
    for entry in entries:
        if accepted:
            world.send(entry, "GET", accepted[0])
        record.write(f"{entry} has used {memory_mb(world.processes[entry].pid)} MB at most")
    waiting = [job for job in accepted if not world.starts(job)]
    record.write(
        f"{time.monotonic() - began:.1f} s after the job that repeats was accepted,"
        f" {len(waiting)} of {len(accepted)} other accepted jobs have not begun;"
        f" {len(world.running())} tasks run in all"
    )
    if not accepted:
        return NOT_RUN
    return BROKEN if waiting else HELD


run_case(case)
