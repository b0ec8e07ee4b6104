"""Steps for stories.feature."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import anyio
from behave import given, then, when

from apricotpath.model import Size
from apricotpath.store import Compare, Delete, Put, TxnResult
from apricotpath.workload import Step
from support.jobworld import JobWorld, run_virtual

CAPACITY = Size(16_000, 64_000)
TASK = Step(1, Size(1000, 100), 1.0)


class LineRecorder(logging.Handler):
    """Keeps the texts of all log lines in the order in which they were written."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.lines: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(record)


@contextmanager
def recorded_lines() -> Iterator[list[logging.LogRecord]]:
    """Record what the product logs."""
    recorder, logger = LineRecorder(), logging.getLogger()
    level = logger.level
    logger.addHandler(recorder)
    logger.setLevel(logging.INFO)
    try:
        yield recorder.lines
    finally:
        logger.removeHandler(recorder)
        logger.setLevel(level)


@given("a stories world whose store answers writes of the entries {delay:g} seconds late")
def late_answers(context: Any, delay: float) -> None:
    context.delay = delay


@when("a job is submitted to the stories world at an entry that does not schedule")
def submit(context: Any) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as group:
            world = JobWorld(group)
            for name, cores in (("entry0", 2.0), ("entry1", 1.0)):
                world.add_entry(name, cores)
            world.add_agent("agent0", CAPACITY)
            await world.wait_until_attached()
            leader = world.leader()
            other = next(name for name, node in world.entries.items() if node is not leader)
            delay_answers(world, other, context.delay)
            job = world.next_job()
            await world.submit(TASK, at=other)
            assert await world.wait_for_end(job, 20) == "completed"
            context.job = job
            group.cancel_scope.cancel()

    with recorded_lines() as lines:
        run_virtual(main)
    context.lines = lines


def delay_answers(world: JobWorld, entry: str, delay: float) -> None:
    """Let transactions of an entry take effect at once, and answer them late."""
    store = world.entries[entry].store
    original = store.txn

    async def txn(compares: list[Compare], operations: list[Put | Delete]) -> TxnResult:
        result = await original(compares, operations)
        await anyio.sleep(delay)
        return result

    store.txn = txn  # type: ignore[method-assign]


@then("the log lines of the job are in this order")
def in_order(context: Any) -> None:
    about = [
        record.getMessage()
        for record in context.lines
        if context.job in (getattr(record, "job", ""), str(getattr(record, "task", ""))[:16])
    ]
    wanted = [row["line"] for row in context.table]
    places = [about.index(line) for line in wanted]
    assert places == sorted(places), about
