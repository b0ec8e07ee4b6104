"""Steps for store.feature."""

import logging
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from uuid import uuid4

import anyio
import httpx
import trio.testing
from behave import given, then, when
from hypercorn.asyncio import serve as serve_asyncio
from hypercorn.config import Config
from hypercorn.trio import serve as serve_trio

from apricotpath.config import StoreSettings
from apricotpath.errors import StoreError, StoreLeaseEnded, StoreOutcomeUnknown, StoreUnavailable
from apricotpath.store import (
    Compare,
    Delete,
    EtcdStore,
    Put,
    WatchEvent,
    new_token,
    settled_txn,
)
from apricotpath_bench.storestandin import DirectTransport, Limits, StandinApp, StandinStore

# httpx logs a line per call, which would hide the test results.
logging.getLogger("httpx").setLevel(logging.WARNING)

CFG = StoreSettings("http://127.0.0.1:1")
KEY = "/t/key"
FAULTS: dict[str, dict[str, Any]] = {
    "refuse": {"refuse": True},
    "down": {"down": True},
    "slow": {"slow_ms": 5000},
    "lost answer": {"lose_answers": 1},
    "late write": {"late_writes": 1, "late_s": 0.5},
    "limit reached": {"limits": {"writes_per_s": 0.0, "reads_per_s": 0.0}},
    "lapsed lease": {"lapse_lease": 0},
    "cut watch": {"cut_watches": True},
}


def run_virtual(main: Callable[[], Awaitable[Any]], seed: int = 0) -> Any:
    """Run a coroutine function in virtual time, with a task order determined by the seed."""
    # trio shuffles ready tasks. Its test plugins use the same private switches to prevent that.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})


class StoreContract:
    """Contract tests for any Store; each instance uses a unique key prefix."""

    def __init__(self, url: str | None) -> None:
        self.url = url
        self.root = f"/contract/{uuid4().hex}/"

    def run(self, case: str) -> None:
        method = getattr(self, "_" + case.replace(" ", "_"))

        async def main() -> None:
            transport = None if self.url else DirectTransport(StandinStore())
            cfg = StoreSettings(self.url) if self.url else CFG
            async with EtcdStore(cfg, transport) as store:
                await method(store)
                await store.txn((), (Delete(self.root, prefix=True),))

        if self.url:
            anyio.run(main)
        else:
            run_virtual(main)

    async def _put(self, store: EtcdStore, *names: str, value: bytes = b"v") -> int:
        operations = [Put(self.root + name, value) for name in names]
        return (await store.txn((), operations)).revision

    async def _put_and_get(self, store: EtcdStore) -> None:
        assert await store.get(self.root + "a") is None
        revision = await self._put(store, "a", value=b"1")
        item = await store.get(self.root + "a")
        assert item is not None and (item.value, item.mod_revision) == (b"1", revision)

    async def _all_or_nothing(self, store: EtcdStore) -> None:
        revision = await self._put(store, "a", "b")
        compares = (Compare(self.root + "a", revision), Compare(self.root + "b", revision + 1))
        result = await store.txn(compares, (Put(self.root + "a", b"2"), Delete(self.root + "b")))
        assert not result.succeeded
        items = (await store.range(self.root)).items
        assert [item.mod_revision for item in items] == [revision, revision]
        assert (await store.txn(compares[:1], (Put(self.root + "a", b"2"),))).succeeded

    async def _absent_compare(self, store: EtcdStore) -> None:
        create = ((Compare(self.root + "a", 0),), (Put(self.root + "a", b"1"),))
        assert (await store.txn(*create)).succeeded
        assert not (await store.txn(*create)).succeeded
        await store.txn((), (Delete(self.root + "a"),))
        assert (await store.txn(*create)).succeeded

    async def _large_and_binary_values(self, store: EtcdStore) -> None:
        value = bytes(range(256)) * 3600
        await self._put(store, "large", value=value)
        item = await store.get(self.root + "large")
        assert item is not None and item.value == value

    async def _range_in_pages(self, store: EtcdStore) -> None:
        names = [f"{number:04d}" for number in range(450)]
        for start in range(0, len(names), 100):
            await self._put(store, *names[start : start + 100])
        found = await store.range(self.root)
        assert [item.key for item in found.items] == [self.root + name for name in names]

    async def _range_between_keys(self, store: EtcdStore) -> None:
        await self._put(store, "a", "b", "c", "d")
        found = await store.range(self.root + "b", self.root + "d")
        assert [item.key[-1] for item in found.items] == ["b", "c"]

    async def _delete_prefix_and_range(self, store: EtcdStore) -> None:
        await self._put(store, "a", "b1", "b2", "c", "d", "e")
        first = Delete(self.root + "b", prefix=True)
        await store.txn((), (first, Delete(self.root + "c", end=self.root + "e")))
        assert [item.key[-1] for item in (await store.range(self.root)).items] == ["a", "e"]

    async def _read_at_a_past_revision(self, store: EtcdStore) -> None:
        first = await self._put(store, "a", value=b"1")
        await self._put(store, "a", value=b"2")
        item = await store.get(self.root + "a", first)
        assert item is not None and item.value == b"1"
        assert await store.get(self.root + "a", first - 1) is None

    async def _lease_lapses(self, store: EtcdStore) -> None:
        lease = await store.lease_grant(1)
        await store.txn((), (Put(self.root + "a", b"1", lease),))
        events = store.watch(self.root, 1)
        kinds = [(await anext(events)).value for _ in range(2)]
        await events.aclose()  # type: ignore[attr-defined]
        assert kinds == [b"1", None]
        assert not await store.lease_keepalive(lease)

    async def _lease_renewed(self, store: EtcdStore) -> None:
        lease = await store.lease_grant(2)
        await store.txn((), (Put(self.root + "a", b"1", lease),))
        for _ in range(4):
            await anyio.sleep(0.8)
            assert await store.lease_keepalive(lease)
        assert await store.get(self.root + "a") is not None

    async def _lease_revoked(self, store: EtcdStore) -> None:
        lease = await store.lease_grant(60)
        await store.txn((), (Put(self.root + "a", b"1", lease),))
        await store.lease_revoke(lease)
        await store.lease_revoke(lease)
        assert await store.get(self.root + "a") is None

    async def _put_under_an_ended_lease(self, store: EtcdStore) -> None:
        lease = await store.lease_grant(60)
        await store.lease_revoke(lease)
        try:
            await store.txn((), (Put(self.root + "a", b"1", lease),))
        except StoreLeaseEnded:
            assert await store.get(self.root + "a") is None
            return
        raise AssertionError("the put under an ended lease was accepted")

    async def _watch_history_and_changes(self, store: EtcdStore) -> None:
        first = await self._put(store, "a", value=b"1")
        second = await self._put(store, "b", value=b"2")
        events = store.watch(self.root, first)
        got = [await anext(events), await anext(events)]
        third = (await store.txn((), (Delete(self.root + "a"),))).revision
        got.append(await anext(events))
        await events.aclose()  # type: ignore[attr-defined]
        assert got == [
            WatchEvent(self.root + "a", b"1", first),
            WatchEvent(self.root + "b", b"2", second),
            WatchEvent(self.root + "a", None, third),
        ]


class StoreFaultCase:
    """One call during a fault, its result, and whether the write took effect."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.result = ""
        self.effects: tuple[bool, bool] = (False, False)

    def run(self, call: str) -> None:
        run_virtual(lambda: self._run(call))

    async def _run(self, call: str) -> None:
        standin = StandinStore()
        async with EtcdStore(CFG, DirectTransport(standin)) as store:
            self.lease = await store.lease_grant(60)
            try:
                if call == "watch":
                    await self._watch(standin, store)
                else:
                    standin.apply_faults(FAULTS[self.fault])
                    self.result = await getattr(self, "_" + call)(store)
            except StoreError as exc:
                self.result = type(exc).__name__
            at_once = KEY.encode() in standin.rows
            standin.apply_faults({"refuse": False, "down": False, "slow_ms": 0, "late_writes": 0})
            standin.set_limits(Limits())
            await anyio.sleep(20)
            self.effects = (at_once, await store.get(KEY) is not None)

    async def _get(self, store: EtcdStore) -> str:
        return str(await store.get(KEY))

    async def _txn(self, store: EtcdStore) -> str:
        return str(await store.txn((Compare(KEY, 0),), (Put(KEY, b"1"),)))

    async def _put(self, store: EtcdStore) -> str:
        return str(await store.txn((), (Put(KEY, b"1", self.lease),)))

    async def _keepalive(self, store: EtcdStore) -> str:
        return "renewed" if await store.lease_keepalive(self.lease) else "ended"

    async def _settled(self, store: EtcdStore) -> str:
        put = Put(KEY, b'{"token": "w"}')
        result = await settled_txn(store, (Compare(KEY, 0),), (put,), KEY, "w")
        return "applied" if result.succeeded else "refused"

    async def _watch(self, standin: StandinStore, store: EtcdStore) -> None:
        async with anyio.create_task_group() as group:

            async def fail_later() -> None:
                await anyio.sleep(3)
                standin.apply_faults(FAULTS[self.fault])
                # A waiting watch notices an outage only when it is woken.
                standin.cut_watches()

            group.start_soon(fail_later)
            try:
                async for event in store.watch("/t/", 1):
                    raise AssertionError(f"an event without a change: {event}")
            except StoreError as exc:
                self.result = type(exc).__name__


class IncrementRace:
    """Writers that increment one key with settled transactions under random faults."""

    def __init__(self, seed: int, history: int) -> None:
        self.rng = random.Random(seed)
        self.history = history
        self.value = self.acknowledged = self.unknown = 0

    def run(self, writers: int, rounds: int) -> None:
        run_virtual(lambda: self._run(writers, rounds))

    async def _run(self, writers: int, rounds: int) -> None:
        standin = StandinStore(history_events=self.history)
        store = EtcdStore(CFG, DirectTransport(standin))
        async with anyio.create_task_group() as faults:
            faults.start_soon(self._inject_faults, standin)
            async with anyio.create_task_group() as group:
                for _ in range(writers):
                    group.start_soon(self._write, store, rounds)
            faults.cancel_scope.cancel()
        standin.apply_faults({"down": False, "slow_ms": 0, "late_writes": 0, "lose_answers": 0})
        await anyio.sleep(30)
        item = await store.get(KEY)
        assert item is not None
        self.value = int(item.value.split(b'"n": ')[1].split(b",")[0])

    async def _inject_faults(self, standin: StandinStore) -> None:
        rng = self.rng
        while True:
            await anyio.sleep(rng.uniform(0.1, 1.0))
            fault = rng.choice(("lose_answers", "late_writes", "down", "slow_ms", "none"))
            value: Any = {"down": True, "slow_ms": rng.choice((50, 3000))}.get(fault, 1)
            if fault != "none":
                standin.set_faults(**{fault: value}, late_s=rng.uniform(0.0, 3.0))
            await anyio.sleep(rng.uniform(0.1, 2.0))
            standin.set_faults(down=False, slow_ms=0)

    async def _write(self, store: EtcdStore, rounds: int) -> None:
        for _ in range(rounds):
            await anyio.sleep(self.rng.uniform(0.0, 0.3))
            try:
                item = await store.get(KEY)
                count = int(item.value.split(b'"n": ')[1].split(b",")[0]) if item else 0
                token = new_token()
                value = f'{{"n": {count + 1}, "token": "{token}"}}'.encode()
                compare = Compare(KEY, item.mod_revision if item else 0)
                result = await settled_txn(store, (compare,), (Put(KEY, value),), KEY, token)
                self.acknowledged += result.succeeded
            except StoreOutcomeUnknown:
                self.unknown += 1
            except StoreError:
                continue


class StoreOverTcp:
    """The stand-in served by hypercorn on a free port, used by a client over TCP."""

    def __init__(self) -> None:
        self.seen: list[str] = []
        self.counts: dict[str, Any] = {}

    def run(self, backend: str) -> None:
        anyio.run(self._run, serve_trio if backend == "trio" else serve_asyncio, backend=backend)

    async def _run(self, serve: Any) -> None:
        # hypercorn takes ownership of the descriptor and closes it.
        listener = socket.create_server(("127.0.0.1", 0))
        port = listener.getsockname()[1]
        config = Config()
        config.bind, config.accesslog, config.errorlog = [f"fd://{listener.detach()}"], None, None
        stop = anyio.Event()
        async with anyio.create_task_group() as group:

            async def run_server() -> None:
                await serve(StandinApp(), config, shutdown_trigger=stop.wait)

            group.start_soon(run_server)
            url = f"http://127.0.0.1:{port}"
            async with EtcdStore(StoreSettings(url)) as store, httpx.AsyncClient() as control:
                with anyio.fail_after(10):
                    await self._use(store, control, url)
            stop.set()

    async def _use(self, store: EtcdStore, control: httpx.AsyncClient, url: str) -> None:
        await control.post(f"{url}/faults", json={"lose_answers": 1})
        try:
            await store.txn((Compare(KEY, 0),), (Put(KEY, b"1"),))
        except StoreOutcomeUnknown:
            self.seen.append("lost answer")
        events = store.watch("/t/", 1)
        self.seen.append((await anext(events)).key)
        await events.aclose()  # type: ignore[attr-defined]
        await control.post(f"{url}/faults", json={"down": True})
        try:
            await store.get(KEY)
        except StoreUnavailable:
            self.seen.append("outage")
        self.counts = (await control.get(f"{url}/counts")).json()


@given("a store for the contract cases")
def _(context: Any) -> None:
    context.contract = StoreContract(context.config.userdata.get("store_url"))


@when('the store contract case "{case}" runs')
def _(context: Any, case: str) -> None:
    context.contract.run(case)


@given("a store stand-in with fault {fault}")
def _(context: Any, fault: str) -> None:
    context.store_case = StoreFaultCase(fault)


@when("the store call {call} is made during the fault")
def _(context: Any, call: str) -> None:
    context.store_case.run(call)


@then("the store call ends with {error}")
def _(context: Any, error: str) -> None:
    assert context.store_case.result == error, context.store_case.result


@then("the store write took effect: {effect}")
def _(context: Any, effect: str) -> None:
    expected = {"no": (False, False), "yes": (True, True), "later": (False, True)}[effect]
    assert context.store_case.effects == expected, context.store_case.effects


@when(
    "{writers:d} store writers increment a key {rounds:d} times under random faults"
    " from seed {seed:d} with {history:d} changes of history"
)
def _(context: Any, writers: int, rounds: int, seed: int, history: int) -> None:
    context.race = IncrementRace(seed, history)
    context.race.run(writers, rounds)


@then("the store's value is the number of acknowledged increments plus at most the unknown ones")
def _(context: Any) -> None:
    race = context.race
    assert race.acknowledged > 50, race.acknowledged
    assert race.acknowledged <= race.value <= race.acknowledged + race.unknown, vars(race)


@given("a store stand-in that allows {reads:d} reads a second")
def _(context: Any, reads: int) -> None:
    context.reads_per_s = reads


@when(
    "{watches:d} store watches wait for {seconds:d} seconds while one client reads as fast"
    " as it can"
)
def _(context: Any, watches: int, seconds: int) -> None:
    async def main() -> int:
        standin = StandinStore()
        standin.set_limits(Limits(reads_per_s=context.reads_per_s))
        store = EtcdStore(CFG, DirectTransport(standin))
        answered = 0
        async with anyio.create_task_group() as group:

            async def wait() -> None:
                async for _event in store.watch("/t/", 1):
                    pass

            for _ in range(watches):
                group.start_soon(wait)
            await anyio.sleep(0.1)
            started = anyio.current_time()
            while anyio.current_time() < started + seconds:
                try:
                    await store.get(KEY)
                    answered += 1
                except StoreError:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()
        return answered

    context.answered_per_s = run_virtual(main) / seconds


@then("between {low:d} and {high:d} store reads a second were answered")
def _(context: Any, low: int, high: int) -> None:
    assert low <= context.answered_per_s <= high, context.answered_per_s


@when("a store client and the fault switches are used over TCP on {backend}")
def _(context: Any, backend: str) -> None:
    context.tcp_store = StoreOverTcp()
    context.tcp_store.run(backend)


@then("the TCP store saw a lost answer, an outage, a watch event and counted calls")
def _(context: Any) -> None:
    assert context.tcp_store.seen == ["lost answer", KEY, "outage"], context.tcp_store.seen
    assert context.tcp_store.counts["calls"]["/v3/kv/txn"] == 1
    assert context.tcp_store.counts["max_per_s"]["write"] == 1
