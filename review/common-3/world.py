"""Stand-ins for scripted cases: store, executors, machine service and clients, on loopback.

They follow PROTOCOL.md and use the standard library only. The programs under review run as
separate processes with the commands of the deploy file. All times are seconds since the world was
made, on the steady clock of this process.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
SERVICE, HOST, PREFIX = "huvo11a", "nony24.example", "/lohu930/"
# Exit codes; run.sh turns them to 0, 1 and 2, so that an error of a script is not taken for 1.
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 3
# Bounds of the small sites, as DEPLOY.md shows them.
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "configApplyMs": 2000,
    "holdMaxMs": 6000, "killGraceMs": 900, "gangWaitMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "evacMs": 5000, "finish_s": 14, "status_s": 120,
    "farX": 1.5,
    "checkpointS": 0.5, "restoreMs": 250, "noticeMs": 4500, "moveS": 1.5, "upkeepS": 2,
    "requireFence": True, "leaseMs": 3000, "thawMs": 300, "paceMs": 100, "harmMs": 4000,
}  # fmt: skip
KILL_GRACE_S = 0.4
PAGE_ITEMS = 500
HISTORY = 100_000
# Answers on a narrow link share it in pieces of this size.
LINK_PIECE = 4096


class CouldNotRun(Exception):
    """The case did not reach the point at which the rule is judged."""


_given_ports: set[int] = set()


def free_port() -> int:
    """Return a loopback port that is free, below those that the system gives to clients."""
    while True:
        port = random.randint(15_000, 31_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            return port


# HTTP/1.1 with JSON bodies.


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, headers and body of a message; None if the connection has ended."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                break
            body += piece[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


# Answers a call: (method, path, query, headers, body) to (status, answer); None: never answered.
Answer = tuple[int, dict[str, Any]] | None
Handler = Callable[[str, str, dict[str, str], dict[str, str], Any], Awaitable[Answer]]


class Server:
    """An HTTP server on loopback; one call at a time for each connection.

    With `bytes_per_s`, its answers share a link of that width.
    """

    def __init__(self, handler: Handler, port: int, bytes_per_s: float = 0.0) -> None:
        self.handler, self.port, self.bytes_per_s = handler, port, bytes_per_s
        self._link = asyncio.Lock()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = {name: rows[0] for name, rows in parse_qs(parts.query).items()}
                content = json.loads(body) if body else {}
                answer = await self.handler(method, parts.path, query, headers, content)
                if answer is None:
                    await asyncio.sleep(60)
                    break
                data = json.dumps(answer[1]).encode()
                head = (
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n" % (answer[0], len(data))
                )
                await self._send(writer, head + data)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if not self.bytes_per_s:
            writer.write(data)
            await writer.drain()
            return
        for first in range(0, len(data), LINK_PIECE):
            piece = data[first : first + LINK_PIECE]
            async with self._link:
                await asyncio.sleep(len(piece) / self.bytes_per_s)
                writer.write(piece)
            await writer.drain()

    async def stop(self) -> None:
        """Close the address and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


async def call(
    address: str, method: str, path: str, body: Any = None, timeout_s: float = 3.0,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, Any]]:  # fmt: skip
    """Make one call; raises OSError or TimeoutError if it is not answered."""
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = {"host": address, "content-type": "application/json"} | (headers or {})
            lines["content-length"] = str(len(data))
            head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
            await writer.drain()
            message = await read_message(reader)
        except asyncio.IncompleteReadError as exc:
            raise ConnectionError("the connection ended without an answer") from exc
        finally:
            writer.close()
    assert message is not None
    status = int(message[0].split(" ")[1])
    try:
        return status, json.loads(message[2]) if message[2] else {}
    except ValueError:
        return status, {}


class Store:
    """The platform's store.

    `hold_up` may return for how many seconds a transaction is held up, which then has no answer
    and is carried out late if its conditions still hold.
    """

    def __init__(self) -> None:
        self.hold_up: Callable[[Any], float | None] = lambda _body: None
        self.writes = 0
        self.rev = 1
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(77001)
        self._changed = asyncio.Event()

    def _now(self) -> float:
        return time.monotonic()

    def _expire(self) -> None:
        for lease in [name for name, (until, _) in self.leases.items() if until <= self._now()]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            self.change([], gone)

    def change(self, puts: list[dict[str, Any]], remove: list[str]) -> int:
        """Apply changes under one new revision."""
        self.rev += 1
        for put in puts:
            former = self.items.get(put["key"])
            item = {
                "key": put["key"], "value": put["value"], "rev": self.rev,
                "createdRev": former["createdRev"] if former else self.rev,
                "lease": put.get("lease") or 0,
            }  # fmt: skip
            self.items[put["key"]] = item
            self.history.append(item)
        for key in remove:
            if self.items.pop(key, None) is not None:
                self.history.append({"key": key, "rev": self.rev, "deleted": True})
        del self.history[:-HISTORY]
        self._changed.set()
        self._changed = asyncio.Event()
        return self.rev

    def operator_writes(self, key: str, value: Any) -> None:
        """Write a key as the operator; None deletes it."""
        if value is None:
            self.change([], [key])
            return
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.change([{"key": key, "value": text}], [])

    def read(self, key: str) -> Any:
        """Return the JSON value of a key, or None."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    async def handle(
        self, method: str, path: str, query: dict[str, str], headers: dict[str, str], body: Any
    ) -> Answer:
        """Answer a call."""
        await asyncio.sleep(0.004)
        self._expire()
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (
                (200, item | {"currentRev": self.rev}) if item else (404, {"currentRev": self.rev})
            )
        if path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            rows = [self.items[key] for key in keys[:PAGE_ITEMS]]
            more = len(keys) > PAGE_ITEMS
            return 200, {"items": rows, "hasMore": more, "currentRev": self.rev}
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            self.writes += 1
            late_s = self.hold_up(body)
            if late_s is not None:
                asyncio.get_running_loop().call_later(late_s, self._txn, body)
                return None
            return self._txn(body)
        if path == "/kv-lease":
            lease, ttl_s = next(self._numbers), max(1000, body["ttlMs"]) / 1000
            self.leases[lease] = (self._now() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttlMs": int(ttl_s * 1000)}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-lease-end"):
            self._end_lease(lease)
            return 200, {}
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (self._now() + ttl_s, ttl_s)
        return 200, {"lease": lease, "ttlMs": int(ttl_s * 1000)}

    async def _watch(self, query: dict[str, str]) -> Answer:
        after, ends_at = int(query["after"]), self._now() + int(query["waitMs"]) / 1000
        while True:
            events = [
                item
                for item in self.history
                if item["rev"] > after and item["key"].startswith(query["prefix"])
            ]
            if events or self._now() >= ends_at:
                return 200, {"events": events, "currentRev": self.rev}
            try:
                async with asyncio.timeout(min(0.1, max(0.001, ends_at - self._now()))):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._expire()

    def _txn(self, body: Any) -> Answer:
        puts, remove = body.get("puts", []), body.get("remove", [])
        if any(k.startswith(("op/", "servers/")) for k in [*remove, *(p["key"] for p in puts)]):
            return 403, {}
        for row in body.get("expectRev", []):
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                keys = [row["key"] for row in body["expectRev"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        return 200, {"rev": self.change(puts, remove)}


class Step:
    """How the tasks of one step of a job behave at executors."""

    def __init__(self, seconds: float, cpu: int, mem: int, how: str, lasts: bool) -> None:
        self.seconds, self.cpu, self.mem, self.how, self.lasts = seconds, cpu, mem, how, lasts


class Executor:
    """An executor that guards its capacity. One incarnation, which stays."""

    def __init__(
        self, world: "World", name: str, labels: list[str], cpu: int, mem: int, zone: str
    ) -> None:
        self.world, self.name, self.labels, self.zone = world, name, labels, zone
        self.cpu, self.mem = cpu, mem
        self.id = f"i-{name}"
        self.state = "ready"
        self.seq = 0
        self.begin()

    def begin(self) -> None:
        """Begin an incarnation that knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0.0
        self.runs: dict[tuple[str, int], dict[str, Any]] = {}
        self.blocked: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.number = 0

    def clock_ms(self) -> int:
        """Return the executor's steady clock."""
        return int((time.monotonic() - self.began) * 1000)

    def _extend(self, deadline_ms: float) -> None:
        until = min(deadline_ms, self.clock_ms() + BOUNDS["holdMaxMs"])
        self.deadline_ms = max(self.deadline_ms, until)

    def end_run(self, name: tuple[str, int], how: str) -> None:
        """End a run; `killed` is not listed, since its machine goes down."""
        run = self.runs.pop(name)
        self.blocked[name[0]] = max(name[1], self.blocked.get(name[0], 0))
        self.world.note("end", task=name[0], run=name[1], at=self.name, how=how)
        self.world.ends.append((self.world.now(), self.name, *name, how))
        if how != "killed":
            self.number += 1
            self.ended.append([self.number, name[0], name[1], how, run["saved"]])

    def tick(self) -> None:
        """Process ends that are due."""
        now = time.monotonic()
        for name, run in list(self.runs.items()):
            if run["ends"] <= now:
                self.end_run(name, run["how"])
        if self.runs and self.clock_ms() >= self.deadline_ms:
            for name in list(self.runs):
                self.end_run(name, "lapsed")

    def percent(self, run: dict[str, Any]) -> int:
        """Return the progress of a run."""
        step, ran = run["step"], time.monotonic() - run["since"]
        if step.lasts:
            return 100 if ran >= 0.3 else 0
        return min(99, int(100 * ran / max(0.01, step.seconds)))

    async def handle(
        self, method: str, path: str, query: dict[str, str], headers: dict[str, str], body: Any
    ) -> Answer:
        """Answer a call."""
        self.tick()
        if headers.get("target-instance", self.id) != self.id:
            return 421, {}
        if path == "/healthz":
            return 200, {}
        fence = body.get("fence", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
        self.fence = fence
        if path == "/hold":
            return await self._hold(body)
        name = (body["task"], body["run"])
        if path == "/run-start":
            reason = self._start(name, body)
            answer = {"clockMs": self.clock_ms()} | ({"reason": reason} if reason else {})
            return (409 if reason else 200), answer
        if path == "/run-stop":
            self.blocked[name[0]] = max(name[1], self.blocked.get(name[0], 0))
            run = self.runs.get(name)
            if run is not None and not run["stopping"]:
                run["stopping"], run["how"] = True, "stopped"
                run["ends"] = min(run["ends"], time.monotonic() + KILL_GRACE_S)
        return 200, {"clockMs": self.clock_ms()}

    def _start(self, name: tuple[str, int], body: Any) -> str:
        if name in self.runs:
            return ""
        if name[1] <= self.blocked.get(name[0], 0) or any(
            task == name[0] and run > name[1] for task, run in self.runs
        ):
            self._extend(body["deadlineMs"])
            return "old"
        if body["deadlineMs"] <= self.clock_ms():
            return "late"
        step = self.world.step_of(name[0])
        if step is None:
            self.world.note("asked for a task that nobody sent", task=name[0], at=self.name)
            step = Step(1.0, 0, 0, "done", False)
        used = [run["step"] for run in self.runs.values()]
        if (
            sum(item.cpu for item in used) + step.cpu > self.cpu
            or sum(item.mem for item in used) + step.mem > self.mem
        ):
            self._extend(body["deadlineMs"])
            return "room"
        self._extend(body["deadlineMs"])
        now = time.monotonic()
        self.runs[name] = {
            "step": step, "since": now, "ends": float("inf") if step.lasts else now + step.seconds,
            "how": step.how, "saved": body.get("saved", ""), "stopping": False,
        }  # fmt: skip
        self.world.note("start", task=name[0], run=name[1], at=self.name)
        self.world.starts.append((self.world.now(), self.name, *name))
        return ""

    async def _hold(self, body: Any) -> Answer:
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        self.ended = [row for row in self.ended if row[0] > body.get("lastSeen", 0)]
        born = self.born
        ends_at = time.monotonic() + body.get("waitMs", 0) / 1000
        while time.monotonic() < ends_at and not self.ended and born == self.born:
            await asyncio.sleep(0.01)
            self.tick()
        if born != self.born:
            return None
        rows = [
            [
                task,
                run,
                item["saved"],
                self.percent(item),
                item["step"].cpu if not item["step"].lasts else 5,
            ]
            for (task, run), item in self.runs.items()
        ]
        answer = {"running": rows, "ended": self.ended[:500], "born": self.born}
        return 200, answer | {"clockMs": self.clock_ms()}

    def heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.seq += 1
        return {
            "service": SERVICE, "addr": "", "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "coldLeftMs": 0, "labels": self.labels, "seq": self.seq,
            "capacity": {"cpu": self.cpu, "memMb": self.mem, "gpu": 0},
            "clockMs": self.clock_ms(), "born": self.born,
        }  # fmt: skip


class Machines:
    """The platform's machine service, for the upkeep of executors' machines.

    `late` may return for how many seconds an order is held up, which then has no answer.
    """

    def __init__(self, world: "World") -> None:
        self.world = world
        self.down: dict[str, tuple[int, float]] = {}
        self.done: dict[tuple[str, int], float] = {}
        self.fences: dict[str, int] = {}
        self.late: Callable[[str], float | None] = lambda _machine: None
        # (time, machine, wave, machines of the wave that were down then)
        self.begun: list[tuple[float, str, int, list[str]]] = []

    def machine_of(self, executor: str) -> str:
        """Return the machine of an executor."""
        return f"m-{executor}"

    def state(self, machine: str) -> str:
        """Return the state in which a machine is listed."""
        return "upkeep" if machine in self.down else "up"

    async def handle(
        self, method: str, path: str, query: dict[str, str], headers: dict[str, str], body: Any
    ) -> Answer:
        """Answer a call."""
        await asyncio.sleep(0.004)
        if path == "/machines":
            rows = [
                {
                    "machine": self.machine_of(name), "pool": SERVICE, "zone": item.zone,
                    "state": self.state(self.machine_of(name)), "labels": item.labels,
                    "capacity": {"cpu": item.cpu, "memMb": item.mem, "gpu": 0}, "id": item.id,
                }
                for name, item in self.world.executors.items()
            ]  # fmt: skip
            return 200, {"machines": rows, "nextToken": ""}
        if path != "/machine-upkeep":
            return 404, {}
        machine, wave = body["machine"], body["wave"]
        holder, token = headers.get("duty-holder", ""), int(headers.get("fence-token", 0))
        self.world.note("order", machine=machine, wave=wave, holder=holder, token=token)
        late_s = self.late(machine)
        if late_s is not None:
            asyncio.get_running_loop().call_later(
                late_s, self._carry_out, machine, wave, token, True
            )
            return None
        return self._carry_out(machine, wave, token, False)

    def _carry_out(self, machine: str, wave: int, token: int, late: bool) -> Answer:
        names = {self.machine_of(name): name for name in self.world.executors}
        if machine not in names:
            return 400, {}
        if token < self.fences.get(machine, 0):
            self.world.note("order refused", machine=machine, reason="fence", late=late)
            return 409, {"reason": "fence"}
        self.fences[machine] = token
        spec = self.world.store.read(f"op/wave/{wave}")
        if spec is None or machine not in spec["machines"]:
            return 409, {"reason": "wave"}
        if (machine, wave) in self.done:
            return 200, {}
        if machine in self.down:
            return 409, {"reason": "busy"}
        others = [name for name, (number, _) in self.down.items() if number == wave]
        self.begun.append((self.world.now(), machine, wave, others))
        self.world.note("upkeep begins", machine=machine, wave=wave, late=late, down=others)
        self.done[machine, wave] = self.world.now()
        self.down[machine] = (wave, self.world.now() + BOUNDS["upkeepS"])
        executor = self.world.executors[names[machine]]
        for name in list(executor.runs):
            executor.end_run(name, "killed")
        self.world.take_down(names[machine])
        asyncio.get_running_loop().call_later(BOUNDS["upkeepS"], self._end, machine)
        return 200, {}

    def _end(self, machine: str) -> None:
        del self.down[machine]
        self.world.note("upkeep ends", machine=machine)
        self.world.bring_up(machine.removeprefix("m-"))


class World:
    """All stand-ins, and the processes of the programs under review."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._started = time.monotonic()
        self._temp = tempfile.TemporaryDirectory()
        self.temp = Path(self._temp.name)
        self.record: list[str] = []
        self.store = Store()
        self.prefixes = [PREFIX]
        self.machines = Machines(self)
        self.executors: dict[str, Executor] = {}
        self.jobs: dict[str, list[Step]] = {}
        self.starts: list[tuple[float, str, str, int]] = []
        self.ends: list[tuple[float, str, str, int, str]] = []
        self.settings: dict[str, dict[str, Any]] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.exits: list[tuple[float, str, int]] = []
        self.status: dict[str, int] = {}
        self._servers: dict[str, Server] = {}
        self._beats: dict[str, asyncio.Task[Any]] = {}
        self._tasks: list[asyncio.Task[Any]] = []
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._commands = {role: item["run"] for role, item in deploy["roles"].items()}
        self.store_port, self.machines_port = free_port(), free_port()

    def now(self) -> float:
        """Return the seconds since the world was made."""
        return time.monotonic() - self._started

    def note(self, what: str, **more: Any) -> None:
        """Add a line to the record."""
        text = " ".join(f"{name}={value}" for name, value in more.items())
        self.record.append(f"{self.now():8.3f} {what} {text}".rstrip())

    # Deployment.

    async def begin(
        self, entries: int, executors: list[tuple[str, list[str], int, int]],
        attempts: int = 2, guards: bool = True, zones: dict[str, str] | None = None,
        link_mbps: float = 0.0,
    ) -> None:  # fmt: skip
        """Start everything and wait until jobs can be served.

        `zones`: the zones of executors that are not in z1. `link_mbps`: width of the link of each
        entry to the store, if it is narrow.
        """
        for name, handler, port in (
            ("store", self.store.handle, self.store_port),
            ("machines", self.machines.handle, self.machines_port),
        ):
            self._servers[name] = Server(handler, port)
            await self._servers[name].start()
        self.store.operator_writes("op/config", self.configuration(3, attempts, guards))
        for number in range(1, entries + 1):
            name = f"front-{number}"
            settings = self._base(name)
            if link_mbps:
                port = free_port()
                settings["platform"]["addr"] = f"127.0.0.1:{port}"
                self._servers[f"store-{name}"] = Server(
                    self.store.handle, port, link_mbps * 1e6 / 8
                )
                await self._servers[f"store-{name}"].start()
            settings["listen"] = {kind: f"127.0.0.1:{free_port()}" for kind in ("front", "ready")}
            settings["cloudApi"] = {
                "addr": f"127.0.0.1:{self.machines_port}", "ratePerS": 60.0, "dutyPerS": 60.0,
                "duties": [],
            }  # fmt: skip
            self.settings[name] = settings
            await self.start_process(name, "entry")
        for name, labels, cpu, mem in executors:
            settings = self._base(name)
            settings["listen"] = {"control": f"127.0.0.1:{free_port()}"}
            settings |= {"app": f"127.0.0.1:{free_port()}", "service": SERVICE}
            zone = (zones or {}).get(name, "z1")
            settings["zone"] = zone
            self.settings[name] = settings
            self.executors[name] = Executor(self, name, labels, cpu, mem, zone)
            await self._serve_executor(name)
            await self.start_process(name, "agent")
        self._tasks.append(asyncio.create_task(self._tick()))
        fronts = [name for name in self.settings if name.startswith("front")]
        await self.wait_for("entries ready", lambda: self._all_ready(fronts), 30)
        await self.wait_for("agents attached", lambda: self._all_attached(list(self.executors)), 30)

    def configuration(self, version: int, attempts: int = 2, guards: bool = True) -> dict[str, Any]:
        """Return a configuration with one route for each prefix."""
        routes = [
            {
                "name": f"r-{prefix.strip('/')}", "host": HOST, "prefix": prefix,
                "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 250,
                "priority": 0, "service": SERVICE, "attempts": attempts, "stretch": 1.5,
            }
            for prefix in self.prefixes
        ]  # fmt: skip
        service = {"name": SERVICE, "healthPath": "/healthz", "enforcesCapacity": guards}
        return {
            "version": version, "routes": routes, "services": [service],
            "limits": {"maxBodyBytes": 262144},
        }  # fmt: skip

    def _base(self, name: str) -> dict[str, Any]:
        return {
            "nodeName": name, "role": name.split("-")[0], "ip": "127.0.0.1", "zone": "z1",
            "region": "r1", "zones": {"z1": "r1"}, "listen": {}, "portRange": [free_port(), 0],
            "seeds": [], "bootstrap": True, "bounds": BOUNDS, "heartbeatMs": 1100,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "platform": {
                "addr": f"127.0.0.1:{self.store_port}", "form": "kv", "writesPerS": 400,
                "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
            },
        }  # fmt: skip

    async def start_process(self, name: str, role: str = "") -> None:
        """Start, or start again, the process of a machine with the command of the deploy file."""
        role = role or ("entry" if name.startswith("front") else "agent")
        path = self.temp / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        port = self.status.setdefault(name, free_port())
        words = shlex.split(self._commands[role])
        words[words.index("--status-port") + 1] = str(port)
        words[0] = sys.executable
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"APRICOTPATH_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        with (self.temp / f"{name}.log").open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=output, stderr=output
            )
        self.processes[name] = process
        self.note("process started", name=name)
        self._tasks.append(asyncio.create_task(self._await_end(name, process)))

    async def _await_end(self, name: str, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.exits.append((self.now(), name, code))
        self.note("process ended", name=name, code=code)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.note("signal", name=name, signal=number.name)
        self.processes[name].send_signal(number)

    async def _serve_executor(self, name: str) -> None:
        port = int(self.settings[name]["app"].rsplit(":", 1)[1])
        server = self._servers[name] = Server(self.executors[name].handle, port)
        await server.start()
        self._beats[name] = asyncio.create_task(self._heartbeats(name))

    async def _heartbeats(self, name: str) -> None:
        executor, control = self.executors[name], self.settings[name]["listen"]["control"]
        while True:
            report = executor.heartbeat() | {"addr": self.settings[name]["app"]}
            try:
                await call(control, "PUT", f"/instances/{executor.id}", report, 1.0)
                await asyncio.sleep(1.1)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.3)

    def take_down(self, name: str) -> None:
        """End an executor without notice; its address refuses connections."""
        self._beats[name].cancel()
        self._tasks.append(asyncio.create_task(self._servers[name].stop()))

    def bring_up(self, name: str) -> None:
        """Begin another life of an executor, with another id."""
        executor = self.executors[name]
        executor.begin()
        executor.id = f"i-{name}-{executor.born}"
        self._tasks.append(asyncio.create_task(self._serve_executor(name)))

    async def _tick(self) -> None:
        while True:
            for executor in self.executors.values():
                executor.tick()
            await asyncio.sleep(0.01)

    async def _all_ready(self, fronts: list[str]) -> bool:
        for name in fronts:
            try:
                status, _ = await call(self.settings[name]["listen"]["ready"], "GET", "/readyz")
            except (OSError, TimeoutError):
                return False
            if status != 200:
                return False
        return True

    async def _all_attached(self, names: list[str]) -> bool:
        for name in names:
            try:
                status, _ = await call(f"127.0.0.1:{self.status[name]}", "GET", "/readyz")
            except (OSError, TimeoutError):
                return False
            if status != 200:
                return False
        return True

    async def scheduler(self) -> str:
        """Return the entry that schedules."""
        record = self.store.read("apricotpath/ctl/leader")
        return str(record["entry"]) if record else ""

    async def wait_for(
        self, what: str, check: Callable[[], Awaitable[bool]], limit_s: float
    ) -> None:
        """Wait until a check holds; raises CouldNotRun."""
        ends_at = self.now() + limit_s
        while not await check():
            if self.now() > ends_at:
                raise CouldNotRun(f"{what}: not within {limit_s} s")
            await asyncio.sleep(0.05)
        self.note(f"reached: {what}")

    # Clients.

    def step_of(self, task: str) -> Step | None:
        """Return the step of a task that a client has sent."""
        job, _, step, _ = task.rsplit(".", 3)
        steps = self.jobs.get(job)
        return steps[int(step)] if steps else None

    async def client(
        self, entry: str, method: str, job: str, body: Any = None, timeout_s: float = 3.0,
        prefix: str = PREFIX,
    ) -> tuple[int, dict[str, Any]] | None:  # fmt: skip
        """Make a client's call; None if it is not answered in time."""
        address = self.settings[entry]["listen"]["front"]
        headers = {"host": HOST, "deadline-ms": "3000"}
        self.note("call", method=method, job=job, entry=entry)
        try:
            answer = await call(address, method, prefix + job, body, timeout_s, headers)
        except (OSError, TimeoutError) as exc:
            self.note("no answer", method=method, job=job, entry=entry, why=type(exc).__name__)
            return None
        self.note("answer", method=method, job=job, status=answer[0], body=json.dumps(answer[1]))
        return answer

    def job(self, job: str, steps: list[tuple[dict[str, Any], float, str]]) -> dict[str, Any]:
        """Return the body of a job; each step comes with the seconds of its runs and their end."""
        self.jobs[job] = [
            Step(
                seconds, row.get("cpu", 0) * (not row.get("fills")), row.get("memMb", 0), how,
                bool(row.get("daemon")),
            )
            for row, seconds, how in steps
        ]  # fmt: skip
        return {"spec": f"spec of {job}", "steps": [row for row, _, _ in steps]}

    async def close(self) -> None:
        """End all processes and stand-ins, and write the record."""
        for task in [*self._tasks, *self._beats.values()]:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                # A stopped process takes no other signal before it is continued.
                process.send_signal(signal.SIGKILL)
                await process.wait()
        for server in self._servers.values():
            await server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.temp.glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        (self.folder / "record.txt").write_text("\n".join(self.record) + "\n")
        self._temp.cleanup()


def run_case(folder: Path, case: Callable[[World, bool], Awaitable[bool]]) -> None:
    """Run a case, which returns whether the rule held, and exit with the code for that."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        world = World(folder)
        try:
            async with asyncio.timeout(110):
                held = await case(world, trouble)
            world.note("verdict", held=held)
            return HELD if held else BROKEN
        # A fault of the script itself must not count as a broken rule.
        except Exception as exc:
            world.note("could not run", why=f"{type(exc).__name__}: {exc}")
            return COULD_NOT_RUN
        finally:
            await world.close()

    sys.exit(asyncio.run(main()))
