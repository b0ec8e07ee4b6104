"""Steps for mirror.feature."""

from typing import Any

import anyio
import anyio.lowlevel
from behave import given, then

from apricotpath.mirror import Mirror
from apricotpath.store import Put
from support.jobworld import run_virtual
from support.memorystore import InstantStore, SharedStore

PREFIX = "test/"


@given("a mirror of {count:d} keys whose changes take a while to apply")
def create(context: Any, count: int) -> None:
    context.count = count


@then("another task runs at least {least:d} times while the mirror reads all its keys")
def runs_meanwhile(context: Any, least: int) -> None:
    applied: list[str] = []
    # How many keys had been applied each time the other task ran. The order of the two tasks in
    # each tick is random, so that a number may be seen twice.
    seen: list[int] = []

    async def main() -> None:
        store = InstantStore(SharedStore())
        for number in range(context.count):
            await store.txn([], [Put(f"{PREFIX}{number:06d}", b"{}")])
        mirror = Mirror(store, PREFIX, lambda key, _value, _revision: applied.append(key))
        async with anyio.create_task_group() as group:
            group.start_soon(mirror.run)
            while not mirror.loaded.is_set():
                if 0 < len(applied) < context.count:
                    seen.append(len(applied))
                await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()

    run_virtual(main)
    assert len(applied) == context.count
    assert len(seen) >= least, seen
