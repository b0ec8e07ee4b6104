"""Steps for mirror.feature."""

from typing import Any

import anyio
import anyio.lowlevel
from behave import given, then, when

from apricotpath.mirror import Mirror
from apricotpath.store import Put
from support.jobworld import run_virtual
from support.memorystore import ANSWER_S, InstantStore, MemoryStore, SharedStore

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


NARROW_BYTES_PER_S = 250_000
COALESCE_S = 0.7


@given("a mirror over a link of 2 Mbit/s")
def narrow(context: Any) -> None:
    context.store = MemoryStore(SharedStore())
    context.store.faults.bytes_per_s = NARROW_BYTES_PER_S


@when("a value of {kilobytes:d} kB changes {rate:d} times a second for {seconds:d} seconds")
def change_often(context: Any, kilobytes: int, rate: int, seconds: int) -> None:
    key, store = f"{PREFIX}value", context.store
    writer = MemoryStore(store.shared)
    written: list[float] = []
    shown: list[tuple[float, int]] = []

    def on_change(_key: str, value: bytes | None, _revision: int) -> None:
        assert value is not None
        shown.append((anyio.current_time(), int(value[:6])))

    async def main() -> None:
        async with anyio.create_task_group() as group:
            mirror = Mirror(store, PREFIX, on_change, coalesce_s=COALESCE_S)
            group.start_soon(mirror.run)
            await mirror.loaded.wait()
            for number in range(rate * seconds):
                value = f"{number:06d}".encode().ljust(kilobytes * 1000)
                await writer.txn([], [Put(key, value)])
                written.append(anyio.current_time())
                await anyio.sleep(1 / rate - ANSWER_S)
            await anyio.sleep(5)
            group.cancel_scope.cancel()

    run_virtual(main)
    context.delays = [
        min(at for at, shown_number in shown if shown_number >= number) - written_at
        for number, written_at in enumerate(written)
    ]
    context.versions = store.received_bytes / (kilobytes * 1000)


@then("the mirror is never more than {limit:g} seconds behind the value")
def not_behind(context: Any, limit: float) -> None:
    assert max(context.delays) <= limit, max(context.delays)


@then("the mirror has received at most {most:d} of the {count:d} versions")
def few_versions(context: Any, most: int, count: int) -> None:
    assert len(context.delays) == count
    assert context.versions <= most, context.versions
