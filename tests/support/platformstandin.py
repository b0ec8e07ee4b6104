"""Stand-ins for the store and executors of the users' platform, by the published protocol."""

import asyncio
import json
from base64 import b64decode, b64encode
from typing import Any
from urllib.parse import parse_qs

import anyio
import httpx
from hypercorn.asyncio import serve
from hypercorn.config import Config

from apricotpath.boottime import boot_s
from apricotpath.errors import StoreLeaseEnded
from apricotpath.executor import ExecutorFenced, StartCall
from apricotpath.ids import FenceToken, TaskId
from apricotpath.model import StartAnswer
from apricotpath.store import Compare, Delete, KeyValue, LeaseId, Put, WatchEvent
from apricotpathd.asgi import Receive, Scope, Send, read_body, send_json, serve_lifespan
from support.executormodel import ExecutorModel
from support.memorystore import SharedStore

# Small, so that ranges have several pages.
PAGE_ITEMS = 3
MAX_TXN_ENTRIES = 32
MAX_WAIT_MS = 30_000
HEARTBEAT_INTERVAL_S = 0.3
# Time for open calls when a server ends.
GRACE_S = 3.0
EXECUTOR_GRACE_S = 0.02
# How often it is seen whether an executor is down.
DOWN_POLL_S = 0.005
# Longer than any caller waits for an answer.
NO_ANSWER_S = 60.0
REASONS = {StartAnswer.REFUSED: "old", StartAnswer.UNFIT: "room", StartAnswer.TICKET: "ticket"}


class StoreApp:
    """ASGI app of the store.

    `mode` is "" for normal service, "busy" or "many" to refuse calls with 503
    or 429, or "silent" to delay each call by 60 s. The next `lose_answers`
    transactions are applied at once, and their answers are delayed by 60 s. Calls to
    `silent_ports` are delayed like all calls in mode "silent".
    """

    def __init__(self, shared: SharedStore) -> None:
        self.shared = shared
        self.mode = ""
        self.lose_answers = 0
        self.silent_ports: set[int] = set()
        self.calls: dict[str, int] = {}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        raw = await read_body(receive)
        path = scope["path"]
        self.calls[path.split("/")[1]] = self.calls.get(path.split("/")[1], 0) + 1
        # ASGI lets a server leave out its address.
        port = (scope.get("server") or ("", 0))[1]
        if self.mode == "silent" or port in self.silent_ports:
            await anyio.sleep(60)
        if self.mode in ("busy", "many"):
            await send_json(send, 503 if self.mode == "busy" else 429, {"error": "refused"})
            return
        query = {key: rows[0] for key, rows in parse_qs(scope["query_string"].decode()).items()}
        status, answer = await self._answer(scope["method"], path, query, raw)
        if self.lose_answers and path == "/kv-txn":
            self.lose_answers -= 1
            await anyio.sleep(60)
        await send_json(send, status, answer)

    async def _answer(
        self, method: str, path: str, query: dict[str, str], raw: bytes
    ) -> tuple[int, dict[str, Any]]:
        shared = self.shared
        shared.expire()
        if path == "/kv-key":
            item = shared.items.get(query["key"])
            if item is None:
                return 404, {"currentRev": shared.revision}
            return 200, _row(item) | {"currentRev": shared.revision}
        if path == "/kv-range":
            return 200, self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        body = json.loads(raw) if raw else {}
        if path == "/kv-txn":
            return self._txn(body)
        if path == "/kv-lease":
            lease = LeaseId(77000 + len(shared.leases) + shared.revision)
            shared.leases[lease] = (boot_s() + body["ttlMs"] / 1000, body["ttlMs"] / 1000)
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        lease = LeaseId(int(path.rsplit("/", 1)[1]))
        if lease not in shared.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            shared.end_lease(lease)
            return 200, {}
        ttl_s = shared.leases[lease][1]
        shared.leases[lease] = (boot_s() + ttl_s, ttl_s)
        return 200, {"ttlMs": int(ttl_s * 1000)}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        after = query.get("after", "")
        keys = sorted(
            key for key in self.shared.items if key.startswith(query["prefix"]) and key > after
        )
        return {
            "items": [_row(self.shared.items[key]) for key in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "currentRev": self.shared.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, wait_ms = int(query["after"]), int(query["waitMs"])
        assert wait_ms <= MAX_WAIT_MS
        ends_at = boot_s() + wait_ms / 1000
        while True:
            if after < self.shared.compacted_revision:
                return 410, {"error": "history is gone"}
            matching = [
                event
                for event in self.shared.history
                if event.mod_revision > after and event.key.startswith(query["prefix"])
            ]
            if matching or boot_s() >= ends_at:
                events = [_event_row(event) for event in matching]
                return 200, {"events": events, "currentRev": self.shared.revision}
            changed = self.shared.changed
            # Leases expire without a call that would set the event.
            with anyio.move_on_after(min(0.1, max(0.001, ends_at - boot_s()))):
                await changed.wait()
            self.shared.expire()

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        compares = [Compare(row["key"], row["rev"]) for row in body["expectRev"]]
        puts: list[Put | Delete] = [
            Put(row["key"], b64decode(row["value"], validate=True), row.get("lease"))
            for row in body["puts"]
        ]
        removes = [Delete(key) for key in body["remove"]]
        assert len(compares) + len(puts) + len(removes) <= MAX_TXN_ENTRIES
        if any(item.key.startswith(("op/", "servers/")) for item in [*puts, *removes]):
            return 403, {"error": "not yours"}
        try:
            result = self.shared.apply(compares, [*puts, *removes])
        except StoreLeaseEnded:
            return 404, {"error": "no such lease"}
        if not result.succeeded:
            items = [self.shared.items.get(compare.key) for compare in compares]
            return 412, {"items": [_row(item) for item in items if item is not None]}
        return 200, {"rev": result.revision}

    def write_as_operator(self, key: str, value: object | None) -> None:
        """Write a key with the operator's rights; None deletes it."""
        change: Put | Delete = (
            Delete(key) if value is None else Put(key, json.dumps(value).encode())
        )
        self.shared.apply([], [change])


def _row(item: KeyValue) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": b64encode(item.value).decode(),
        "rev": item.mod_revision,
        "createdRev": item.mod_revision,
        "lease": item.lease,
    }


def _event_row(event: WatchEvent) -> dict[str, Any]:
    if event.value is None:
        return {"key": event.key, "rev": event.mod_revision, "deleted": True}
    return _row(KeyValue(event.key, event.value, event.mod_revision, LeaseId(0)))


class ExecutorApp:
    """ASGI app of an executor model; `send_heartbeats` reports it to its agent.

    It answers nothing while the model is down, and no call to an incarnation that has crashed.
    `odd_running` and `odd_ended` are rows that precede those of the model in its lists.
    """

    def __init__(self, model: ExecutorModel, service: str, zone: str, address: str) -> None:
        self.model = model
        self.service, self.zone, self.address = service, zone, address
        self.state = "ready"
        self.seq = 0
        self.odd_running: list[Any] = []
        self.odd_ended: list[Any] = []

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        body = json.loads(await read_body(receive))
        headers = {name.decode().lower(): value.decode() for name, value in scope["headers"]}
        if self.model.is_down:
            await anyio.sleep(NO_ANSWER_S)
            return
        instance = self.model.instance
        if headers.get("target-instance", instance) != instance:
            await send_json(send, 421, {})
            return
        try:
            status, answer = await self._answer(scope["path"], body)
        except ExecutorFenced:
            status, answer = 409, {"reason": "fence"}
        if self.model.is_down or self.model.instance != instance:
            await anyio.sleep(NO_ANSWER_S)
            return
        await send_json(send, status, answer | {"clockMs": self.model.clock_ms()})

    async def _answer(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        model, fence = self.model, FenceToken(body["fence"])
        if path == "/hold":
            return 200, await self._hold(body, fence)
        task, run = TaskId(body["task"]), body["run"]
        if path == "/run-start":
            saved, ticket = body.get("saved", ""), body.get("ticket", "")
            call = StartCall(task, run, body["spec"], saved, ticket, body["deadlineMs"])
            answer = model.start(call, fence)
            if answer is StartAnswer.STARTED:
                return 200, {}
            return 409, {"reason": REASONS[answer]}
        if path == "/run-stop":
            model.stop(task, run, fence)
        else:
            model.check_fence(fence)
        return 200, {}

    async def _hold(self, body: dict[str, Any], fence: FenceToken) -> dict[str, Any]:
        model = self.model
        model.hold(fence, body["lastSeen"], body.get("deadlineMs"))
        ends_at = boot_s() + body["waitMs"] / 1000
        # Like a real executor, it waits for an end only while it has none to list.
        while boot_s() < ends_at and not model.endings:
            await anyio.sleep(0.02)
            model.process_due()
        running = [
            [run.task, run.run, run.saved, model.percent(run), run.load]
            for run in model.runs.values()
        ]
        ended = [
            [ending.number, ending.task, ending.run, ending.result.value, ending.saved]
            for ending in model.list_endings()
        ]
        return {
            "running": [*self.odd_running, *running],
            "ended": [*self.odd_ended, *ended],
            "born": model.born_ms,
        }

    async def send_heartbeats(self, control: str) -> None:
        """Send heartbeats to the agent until cancelled."""
        async with httpx.AsyncClient(trust_env=False) as client:
            while True:
                if self.model.is_down:
                    await anyio.sleep(HEARTBEAT_INTERVAL_S)
                    continue
                self.seq += 1
                size = self.model.capacity
                report = {
                    "service": self.service,
                    "addr": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": 8,
                    "state": self.state,
                    "coldLeftMs": 0,
                    "capacity": {"cpu": size.cpu_milli, "memMb": size.memory_mb, "gpu": 0},
                    "labels": ["a", "r1-1"],
                    "clockMs": self.model.clock_ms(),
                    "seq": self.seq,
                    "born": self.model.born_ms,
                }
                try:
                    url = f"http://{control}/instances/{self.model.instance}"
                    await client.put(url, json=report, timeout=1.0)
                except httpx.HTTPError:
                    pass
                await anyio.sleep(HEARTBEAT_INTERVAL_S)


async def serve_executor(executor: ExecutorApp, port: int) -> None:
    """Serve an executor until cancelled; its port is closed while it is down, unless silent."""
    model = executor.model
    while True:
        serving = asyncio.create_task(serve_app(executor, port, EXECUTOR_GRACE_S))
        try:
            while not model.is_down or model.is_silent:
                await anyio.sleep(DOWN_POLL_S)
        finally:
            # A cancel scope would interrupt the server again while it closes its connections.
            serving.cancel()
        while model.is_down:
            await anyio.sleep(DOWN_POLL_S)


async def serve_app(app: Any, port: int, grace_s: float = GRACE_S) -> None:
    """Serve an app on loopback until cancelled; open calls then have `grace_s` to end."""
    config = Config()
    config.graceful_timeout = grace_s
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = None
    config.errorlog = None
    await serve(app, config, shutdown_trigger=anyio.sleep_forever)
