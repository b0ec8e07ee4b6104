"""A small deployment for the cases of the second review: real processes, stand-ins on loopback.

The store is the project's own stand-in (`tests/support`). Executors, clients and the operator are
small new ones that follow PROTOCOL.md. Every node has a loopback address of its own, so that the
commands of `deploy/system.toml` run unchanged.
"""

import asyncio
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import unquote

import httpx

from support.memorystore import SharedStore
from support.platformstandin import StoreApp

ROOT = Path(os.environ["REVIEW_ROOT"])
DEPS = ROOT / "target" / "deps"
SERVICE, HOST, PREFIX = "huvo11a", "nony24.example", "/lohu930/"
HEARTBEAT_S = 1.1
HOLD_MAX_S = 6.0
STOP_S = 0.3
GANG_WAIT_S = 3.0
CHECKPOINT_S = 0.5
FINISH_S = 14.0
START_S = 30.0
WINDOW_S = 3.0
CANNOT_RUN = 2
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2000, "rollbackSlackMs": 250, "evacMs": 5000, "recoverS": 12,
    "holdMaxMs": 6000, "killGraceMs": 900, "gangWaitMs": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "requireFence": True,
    "leaseMs": 3000, "paceMs": 100, "harmMs": 4000, "noticeMs": 4500,
}  # fmt: skip


class Server:
    """A minimal HTTP/1.1 server; the handler returns (status, body), or None for no answer."""

    def __init__(self, handler: Callable[..., Any]) -> None:
        self.handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)

    def abort(self) -> None:
        """Stop listening and reset all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                fields = [line.partition(":") for line in head[1:] if line]
                headers = {name.lower(): value.strip() for name, _, value in fields}
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            # At the end of the script the event loop may be closed already.
            with suppress(RuntimeError):
                writer.close()


class Executor:
    """An executor by PROTOCOL.md; the world's `behave(task, run, spec)` returns seconds and how."""

    def __init__(
        self, world: "World", name: str, ip: str, cpu: int, mem: int, labels: list[str], zone: str
    ) -> None:
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.capacity, self.labels = {"cpu": cpu, "memMb": mem, "gpu": 0}, labels
        self.app, self.control = f"{ip}:8165", f"{ip}:8166"
        self.server = Server(self._handle)
        self.id = f"i-{name}"
        self.up = False
        self.draining = False
        self._begin()

    def _begin(self) -> None:
        self.born_ms, self.started = int(time.time() * 1000), time.monotonic()
        self.fence = self.seq = self.last_end = 0
        self.deadline = 0.0
        self.runs: dict[tuple[str, int], dict[str, Any]] = {}
        self.ended: list[list[Any]] = []
        self.blocked: dict[str, int] = {}

    async def start(self, port: int = 8165) -> None:
        """Begin an incarnation."""
        self._begin()
        self.up = True
        await self.server.start(self.ip, port)
        self._tasks = [asyncio.create_task(self._beats()), asyncio.create_task(self._work())]
        self.world.note("executor up", executor=self.name, born=self.born_ms)

    def crash(self) -> None:
        """Lose everything at once, as by SIGKILL."""
        for task, run in list(self.runs):
            self.world.run_ended(self, task, run, "crash")
        lost = list(self.runs)
        self.runs.clear()
        for task, run in lost:
            self.world.leave_gang(task, run, "crash")
        self.up = False
        self.server.abort()
        for item in self._tasks:
            item.cancel()
        self.world.note("executor crashed", executor=self.name)

    def clock_ms(self) -> int:
        """Return the executor's steady clock."""
        return round((time.monotonic() - self.started) * 1000)

    async def _beats(self) -> None:
        async with httpx.AsyncClient(trust_env=False) as client:
            while True:
                self.seq += 1
                beat = {
                    "service": SERVICE, "addr": self.app, "zone": self.zone, "version": "v1",
                    "slots": 8, "state": "draining" if self.draining else "ready",
                    "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
                    "clockMs": self.clock_ms(), "seq": self.seq, "born": self.born_ms,
                }  # fmt: skip
                try:
                    await client.put(
                        f"http://{self.control}/instances/{self.id}", json=beat, timeout=1.0
                    )
                    await asyncio.sleep(HEARTBEAT_S)
                except httpx.HTTPError:
                    await asyncio.sleep(0.2)

    async def _work(self) -> None:
        """End runs when they are due."""
        while True:
            now = time.monotonic()
            for (task, run), row in list(self.runs.items()):
                if row["ends"] <= now:
                    self._end(task, run, row["how"])
                elif self.deadline <= now:
                    self._end(task, run, "lapsed")
            await asyncio.sleep(0.01)

    def _end(self, task: str, run: int, how: str) -> None:
        row = self.runs.pop((task, run))
        self.last_end += 1
        saved = "" if how == "done" else self._saved(row, time.monotonic())
        self.ended.append([self.last_end, task, run, how, saved])
        self.world.run_ended(self, task, run, how)
        self.world.leave_gang(task, run, how)

    @staticmethod
    def _percent(row: dict[str, Any], now: float) -> int:
        done_s = row["first"] * CHECKPOINT_S + max(0.0, now - row["began"])
        return min(99, int(100 * done_s / row["seconds"]))

    @staticmethod
    def _saved(row: dict[str, Any], now: float) -> str:
        """Return the newest checkpoint of a run."""
        number = row["first"] + int(max(0.0, now - row["began"]) / CHECKPOINT_S)
        number = number if row["saves"] else 0
        return f"{number:016x}" if number > 0 else ""

    def used(self) -> int:
        """Return the processors in use, in thousandths of a core."""
        return sum(row["cpu"] for row in self.runs.values())

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            asked = self.started + deadline_ms / 1000
            self.deadline = max(self.deadline, min(asked, time.monotonic() + HOLD_MAX_S))

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]] | None:
        call = json.loads(body) if body else {}
        if headers.get("target-instance", self.id) != self.id:
            return 421, self._answer()
        if call.get("fence", 0) < self.fence:
            return 409, self._answer(reason="fence")
        self.fence = call.get("fence", 0)
        if target == "/hold":
            return 200, await self._hold(call)
        name = (call["task"], call["run"])
        if target == "/run-stop":
            self.blocked[name[0]] = max(self.blocked.get(name[0], 0), name[1])
            if name in self.runs and self.runs[name]["how"] != "stopped":
                self.runs[name] |= {"how": "stopped", "ends": time.monotonic() + STOP_S}
            return 200, self._answer()
        if target == "/pace":
            return 200, self._answer()
        return self._start(call, name)

    def _start(self, call: dict[str, Any], name: tuple[str, int]) -> tuple[int, dict[str, Any]]:
        task, run = name
        if name in self.runs:
            return 200, self._answer()
        if run <= self.blocked.get(task, 0):
            self._extend(call["deadlineMs"])
            return 409, self._answer(reason="old")
        if call["deadlineMs"] <= self.clock_ms():
            return 409, self._answer(reason="late")
        self._extend(call["deadlineMs"])
        step = self.world.step_of(task)
        memory = sum(row["mem"] for row in self.runs.values()) + step["memMb"]
        over = self.used() + step["cpu"] > self.capacity["cpu"]
        if over or memory > self.capacity["memMb"]:
            return 409, self._answer(reason="room")
        seconds, how = self.world.behave(task, run, call["spec"])
        # A checkpoint is named by its number; a start that carries it goes on from there.
        first = int(call.get("saved") or "0", 16)
        row = {
            "ends": time.monotonic() + seconds - first * CHECKPOINT_S, "began": time.monotonic(),
            "how": how, "seconds": seconds, "cpu": step["cpu"], "mem": step["memMb"],
            "saves": step.get("checkpoint", False), "first": first,
        }  # fmt: skip
        self.runs[name] = row
        self.blocked[task] = run
        self.world.run_started(self, task, run)
        if step.get("gang"):
            self.world.join_gang(self, task, run, row, step.get("count", 1))
        return 200, self._answer()

    async def _hold(self, call: dict[str, Any]) -> dict[str, Any]:
        self._extend(call.get("deadlineMs"))
        self.ended = [row for row in self.ended if row[0] > call["lastSeen"]]
        until = time.monotonic() + call.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        now = time.monotonic()
        running = [
            [task, run, self._saved(row, now), self._percent(row, now), 0]
            for (task, run), row in self.runs.items()
        ]
        return self._answer(running=running, ended=self.ended[:500])

    def _answer(self, **fields: Any) -> dict[str, Any]:
        return {"clockMs": self.clock_ms(), "born": self.born_ms} | fields


def free_net(first: int) -> int:
    """Return the first network 127.N, from `first` on, where no port of a case is in use."""
    ports = {1: (8169,), **dict.fromkeys(range(11, 14), (8161, 8167, 9464, 7720))}
    ports |= dict.fromkeys(range(51, 71), (8165, 8166, 9464, 7720))
    for net in range(first, first + 20):
        if all(is_free(address(net, last), port) for last in ports for port in ports[last]):
            return net
    raise RuntimeError("no free ports")


def address(net: int, last: int) -> str:
    """Return a loopback address."""
    return f"127.{net}.{last // 200}.{last % 200 + 1}"


def is_free(host: str, port: int) -> bool:
    """Tell whether a port can be listened on."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class World:
    """Entries, agents and stand-ins; `behave` decides how runs go."""

    def __init__(self, folder: Path, net: int) -> None:
        self.net = free_net(net)
        self.folder = folder
        self.record = (folder / "record.txt").open("w")
        self.temp = tempfile.TemporaryDirectory()
        self.began = time.monotonic()
        self.shared = SharedStore()
        self.store = StoreApp(self.shared)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.executors: dict[str, Executor] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.gangs: dict[tuple[str, int], dict[str, tuple[Executor, dict[str, Any]]]] = {}
        self.behave: Callable[[str, int, str], tuple[float, str]] = lambda _t, _r, _s: (1.0, "done")
        self.rng = random.Random(7)
        # Facts seen at the executors: starts, and ends with how, by task.
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        with (ROOT / "deploy" / "system.toml").open("rb") as source:
            roles = tomllib.load(source)["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}

    # The record.

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self.began

    def note(self, text: str, **fields: Any) -> None:
        """Write a line to the record."""
        more = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{self.now():8.3f} {text} {more}".rstrip(), file=self.record)

    def run_started(self, executor: Executor, task: str, run: int) -> None:
        """Note a start at an executor."""
        self.starts.append((self.now(), task, run, executor.name))
        self.note("run started", task=task, run=run, executor=executor.name)

    def run_ended(self, executor: Executor, task: str, run: int, how: str) -> None:
        """Note an end at an executor."""
        self.ends.append((self.now(), task, run, executor.name, how))
        self.note("run ended", task=task, run=run, executor=executor.name, how=how)

    def step_of(self, task: str) -> dict[str, Any]:
        """Return the step of a task as its client sent it."""
        job, _, step, _ = task.split(".")
        return {"cpu": 0, "memMb": 0} | self.jobs[job]["steps"][int(step)]

    # Gangs: their tasks work from the moment when all of a run are there, and end together.

    def join_gang(
        self, executor: Executor, task: str, run: int, row: dict[str, Any], count: int
    ) -> None:
        """Let a member of a gang wait for the others, or begin to work with them."""
        members = self.gangs.setdefault((task.rpartition(".")[0], run), {})
        members[task] = (executor, row)
        # Until all are there, it does not work.
        waits_until = time.monotonic() + GANG_WAIT_S
        row |= {"ends": waits_until, "began": waits_until, "then": row["how"], "how": "alone"}
        if len(members) == count:
            for _, other in members.values():
                left = other["seconds"] - other["first"] * CHECKPOINT_S
                other |= {"began": time.monotonic(), "ends": time.monotonic() + left}
                other["how"] = other["then"]

    def leave_gang(self, task: str, run: int, how: str) -> None:
        """Break the other members of a run that has not ended done."""
        gang = (task.rpartition(".")[0], run)
        members = self.gangs.get(gang, {})
        if members.pop(task, None) is None or how == "done":
            return
        del self.gangs[gang]
        for _, other in members.values():
            if other["how"] != "stopped":
                other |= {"ends": 0.0, "how": "broken"}

    # The deployment.

    async def start(self, entries: int, agents: list[dict[str, Any]]) -> None:
        """Start stand-ins and processes; return once all entries are ready and agents attached."""
        server = Server(self._store_call)
        await server.start(self.ip(1), 8169)
        self.configure(3, [PREFIX])
        for number in range(1, entries + 1):
            name, ip = f"front-{number}", self.ip(10 + number)
            listen = {"front": f"{ip}:8161", "ready": f"{ip}:8167"}
            self.settings[name] = self._settings(name, ip, "front") | {"listen": listen}
            self.run(name)
        for number, facts in enumerate(agents, 1):
            name, ip = f"side-{number}", self.ip(50 + number)
            zone = facts.get("zone", "z1")
            executor = Executor(
                self, name, ip, facts.get("cpu", 16000), facts.get("mem", 64000),
                facts.get("labels", ["a", f"r1-{(number + 2) // 3}"]), zone,
            )  # fmt: skip
            self.executors[name] = executor
            more = {"listen": {"control": executor.control}, "app": executor.app}
            self.settings[name] = self._settings(name, ip, "side") | more | {"service": SERVICE}
            self.settings[name]["zone"] = zone
            self.run(name)
            await executor.start()
        await self._wait_until_ready()

    async def _store_call(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any] | None:
        path, _, query = target.partition("?")
        sent: dict[str, Any] = {}

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: dict[str, Any]) -> None:
            sent.update(message)

        scope = {
            "type": "http", "method": method, "path": unquote(path),
            "query_string": query.encode(), "headers": [],
        }  # fmt: skip
        await asyncio.sleep(0.002)
        await self.store(scope, receive, send)
        return sent["status"], json.loads(sent["body"])

    def ip(self, last: int) -> str:
        """Return a loopback address of this case."""
        return address(self.net, last)

    def _settings(self, name: str, ip: str, machine_class: str) -> dict[str, Any]:
        return {
            "nodeName": name, "role": machine_class, "machineClass": machine_class, "ip": ip,
            "zone": "z1", "region": "r", "zones": {"z1": "r", "z2": "r"}, "portRange": [7720, 7735],
            "seeds": [], "bootstrap": True, "dataDir": None, "heartbeatMs": 1100,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "bounds": BOUNDS, "orders": "rpc",
            "platform": {
                "addr": f"{self.ip(1)}:8169", "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
            },
        }  # fmt: skip

    def configure(self, version: int, prefixes: list[str], **fields: Any) -> None:
        """Write a configuration as the operator."""
        routes = [
            {
                "name": f"r-{prefix.strip('/')}", "host": HOST, "prefix": prefix,
                "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 250,
                "priority": 0, "service": SERVICE, "attempts": 2, "stretch": 1.5,
            } | fields
            for prefix in prefixes
        ]  # fmt: skip
        services = [{"name": SERVICE, "healthPath": "/healthz", "enforcesCapacity": True}]
        limits = {"maxBodyBytes": 262144}
        config = {"version": version, "routes": routes, "services": services, "limits": limits}
        self.store.write_as_operator("op/config", config)
        self.note("configuration acknowledged", version=version, routes=prefixes)

    def run(self, name: str) -> None:
        """Start the process of a node with the command of the deploy file."""
        path = Path(self.temp.name) / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        role = "entry" if "front" in name else "agent"
        command = [sys.executable, *self.commands[role][1:]]
        keep = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in keep if key in os.environ}
        env |= {"APRICOTPATH_CONFIG": str(path), "PYTHONPATH": str(DEPS)}
        with (Path(self.temp.name) / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                command, env=env, cwd=ROOT, stdout=output, stderr=output
            )

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (Path(self.temp.name) / f"{name}.log").read_text()

    async def _wait_until_ready(self) -> None:
        """Wait until each entry is ready and each agent has a scheduler."""
        ends = time.monotonic() + START_S
        urls = [
            f"http://{item['listen']['ready'] if 'front' in name else item['ip'] + ':9464'}/readyz"
            for name, item in self.settings.items()
        ]
        async with httpx.AsyncClient(trust_env=False) as client:
            while urls:
                if time.monotonic() > ends:
                    raise RuntimeError("the deployment did not start")
                await asyncio.sleep(0.2)
                urls = [url for url in urls if not await self._answers(client, url)]

    @staticmethod
    async def _answers(client: httpx.AsyncClient, url: str) -> bool:
        try:
            return (await client.get(url, timeout=1.0)).status_code == 200
        except httpx.HTTPError:
            return False

    # Clients.

    async def call(
        self, entry: str, method: str, path: str, body: object = None, timeout_s: float = 3.0
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's request; status 0 if there was no answer."""
        url = f"http://{self.settings[entry]['listen']['front']}{path}"
        headers = {"Host": HOST, "Deadline-Ms": "3000"}
        async with httpx.AsyncClient(trust_env=False) as client:
            try:
                answer = await client.request(
                    method, url, headers=headers, json=body, timeout=timeout_s
                )
                status, value = answer.status_code, answer.json()
            except httpx.HTTPError as exc:
                status, value = 0, {"none": type(exc).__name__}
        self.note("client", entry=entry, call=f"{method} {path}", status=status, answer=value)
        return status, value

    def job_id(self) -> str:
        """Return a new id."""
        return f"{self.rng.getrandbits(64):016x}"

    async def submit(
        self, steps: list[dict[str, Any]], spec: str = "work", entry: str = "front-1",
        prefix: str = PREFIX, **fields: Any,
    ) -> str:  # fmt: skip
        """Submit a job, again at the next entry after no answer; returns its id."""
        job = self.job_id()
        self.jobs[job] = {"steps": steps, "spec": spec}
        body = {"spec": spec, "steps": steps} | fields
        entries = [name for name in self.settings if "front" in name]
        for attempt in range(5):
            name = entries[(entries.index(entry) + attempt) % len(entries)]
            status, _ = await self.call(name, "POST", prefix + job, body)
            if status == 200:
                self.jobs[job]["accepted"] = self.now()
                return job
            await asyncio.sleep(0.3)
        raise RuntimeError("no entry accepted a job")

    async def state(self, job: str, entry: str = "front-1", prefix: str = PREFIX) -> str:
        """Return a job's state, or the status of the answer."""
        status, value = await self.call(entry, "GET", prefix + job)
        return str(value.get("state", status))

    # The rule LOST, from what the executors saw.

    def turn_has_come(self, job: str) -> list[dict[str, Any]]:
        """Return the steps of a job whose turn has come and that have tasks not done."""
        done = {task for _, task, _, _, how in self.ends if how == "done"}
        steps = self.jobs[job]["steps"]

        def left(number: int) -> bool:
            return any(
                f"{job}.0.{number}.{index}" not in done
                for index in range(steps[number].get("count", 1))
            )

        return [
            step
            for number, step in enumerate(steps)
            if left(number) and not any(left(earlier) for earlier in step.get("after", ()))
        ]

    def stands_still(self, job: str) -> bool:
        """Whether a job has nothing running although a task's turn has come and there is room.

        Room: capacity for the task twice over on one sound executor that it may use, and under
        half of the service's capacity in use.
        """
        up = [item for item in self.executors.values() if item.up and not item.draining]
        if any(task.startswith(f"{job}.") for item in up for task, _ in item.runs):
            return False
        total = sum(item.capacity["cpu"] for item in self.executors.values())
        if sum(item.used() for item in up) * 2 >= total:
            return False
        for step in self.turn_has_come(job):
            need = 2 * step.get("cpu", 0)
            label = step.get("requires", "")
            if any(
                item.capacity["cpu"] - item.used() >= need and (not label or label in item.labels)
                for item in up
            ):
                return True
        return False

    async def watch_finish(self, jobs: list[str], traffic_end: float) -> list[str]:
        """Return the jobs that stand still for all of WINDOW_S, FINISH_S after the traffic."""
        await asyncio.sleep(max(0.0, traffic_end + FINISH_S - self.now()))
        self.note("finish", s_after_traffic=FINISH_S)
        still = set(jobs)
        ends = self.now() + WINDOW_S
        while self.now() < ends:
            still = {job for job in still if self.stands_still(job)}
            await asyncio.sleep(0.02)
        self.note("finish watched", stand_still=sorted(still))
        return sorted(still)

    def close(self) -> None:
        """End all processes and write the record."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait(10)
        self.record.close()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            for path in Path(self.temp.name).glob("*.log"):
                (Path(logs) / path.name).write_bytes(path.read_bytes())
        self.temp.cleanup()


def run_case(folder: Path, net: int, case: Callable[[World], Any]) -> None:
    """Run a case, which returns what broke the rule or an empty text; exits with 1, 0 or 2."""
    code = CANNOT_RUN
    # A script that is told to stop ends its processes, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        world = World(folder, net)
    except RuntimeError:
        sys.exit(CANNOT_RUN)

    async def body() -> str:
        return str(await asyncio.wait_for(case(world), 110))

    # Each executor may have some 40 connections of its agent.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(max(soft, 8192), hard), hard))
    try:
        broken = asyncio.run(body())
    except Exception as exc:
        world.note("could not run", error=repr(exc))
    else:
        world.note("RULE BROKEN" if broken else "rule held", what=broken)
        code = 1 if broken else 0
    finally:
        world.close()
    sys.exit(code)
