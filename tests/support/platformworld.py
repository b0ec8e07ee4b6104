"""Runs apricotpath's processes against stand-ins of the platform, all on loopback."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import httpx
from anyio.from_thread import start_blocking_portal

from apricotpath.model import Size
from support.executormodel import Behaviour, ExecutorModel
from support.failurelogs import failure_logs
from support.machinemodel import MachineApp, MachineModel
from support.memorystore import SharedStore
from support.platformstandin import ExecutorApp, StoreApp, serve_app, serve_executor

ROOT = Path(__file__).parents[2]
SERVICE, HOST, PREFIX = "huvo11a", "nony24.example", "/lohu930/"
LOG_TAIL_BYTES = 4000


def free_port() -> int:
    """Return a loopback port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def configuration(version: int, queues: tuple[str, ...] = (PREFIX,)) -> dict[str, Any]:
    """Return an operator's configuration with one route per prefix in `queues`."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{prefix.strip('/')}",
                "host": HOST,
                "prefix": prefix,
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 250,
                "priority": 0,
                "service": SERVICE,
                "attempts": 2,
                "stretch": 1.5,
            }
            for prefix in queues
        ],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "enforcesCapacity": True}],
        "limits": {"maxBodyBytes": 262144},
    }


class PlatformWorld:
    """Entries and agents as processes, with the store and executors in a thread.

    Processes may have at most `max_descriptors` open files, if it is set.
    """

    def __init__(self, max_descriptors: int | None = None) -> None:
        self.max_descriptors = max_descriptors
        self.stack = ExitStack()
        self.folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        failure_logs.watch(self.folder)
        self.portal = self.stack.enter_context(start_blocking_portal())
        self.shared = self.portal.call(SharedStore)
        self.store = StoreApp(self.shared)
        self.store_port = free_port()
        self.serving: list[Any] = []
        self._serve(self.store, self.store_port)
        self.machines = MachineApp(MachineModel(self.shared))
        self.machines_port = free_port()
        self._serve(self.machines, self.machines_port)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.status_ports: dict[str, int] = {}
        self.store_ports: dict[str, int] = {}
        self.behaviour = Behaviour(seconds=0.5)
        self.executors: dict[str, ExecutorApp] = {}
        self._executor_tasks: dict[str, list[Any]] = {}

    def _serve(self, app: Any, port: int) -> Any:
        task = self.portal.start_task_soon(serve_app, app, port)
        self.serving.append(task)
        return task

    def start(self, pairs: int = 2) -> None:
        """Start pairs of an entry and an agent, and wait until the entries are ready."""
        self.write_as_operator("op/config", configuration(3))
        for number in range(1, pairs + 1):
            self.add_entry(f"front-{number}")
            self.add_agent(f"side-{number}")
        self.wait(lambda: all(self.ready(name) for name in self.settings if "front" in name))

    def _base(self, name: str) -> dict[str, Any]:
        return {
            "nodeName": name,
            "ip": "127.0.0.1",
            "zone": "z1",
            "listen": {},
            "portRange": [free_port(), 0],
            "bounds": {"holdMaxMs": 6000, "killGraceMs": 900, "graceS": 3, "status_s": 120},
            "platform": {"addr": f"127.0.0.1:{self.store_port}", "ttlMinMs": 1000},
            "unknownField": {"ignored": True},
        }

    def add_entry(self, name: str) -> None:
        settings = self._base(name)
        settings["listen"] = {kind: f"127.0.0.1:{free_port()}" for kind in ("front", "ready")}
        # A port of its own, so that the store can be silent for one entry.
        self.store_ports[name] = port = free_port()
        self._serve(self.store, port)
        settings["platform"]["addr"] = f"127.0.0.1:{port}"
        settings["cloudApi"] = {"addr": f"127.0.0.1:{self.machines_port}", "requireFence": True}
        self.settings[name] = settings
        self.run(name)

    def add_agent(self, name: str) -> None:
        settings = self._base(name)
        app_port = free_port()
        settings["listen"] = {"control": f"127.0.0.1:{free_port()}"}
        settings |= {"app": f"127.0.0.1:{app_port}", "service": SERVICE}
        self.settings[name] = settings
        model = self.portal.call(ExecutorModel, f"i-{name}", Size(8000, 8000, 0), self.behaviour)
        executor = ExecutorApp(model, SERVICE, "z1", settings["app"])
        self.executors[name] = executor
        self.machines.model.executors[f"m-{name}"] = model
        self.start_executor(name)
        self.run(name)

    def start_executor(self, name: str) -> None:
        """Serve the executor of an agent and let it send heartbeats."""
        settings, executor = self.settings[name], self.executors[name]
        control = settings["listen"]["control"]
        heartbeats = self.portal.start_task_soon(executor.send_heartbeats, control)
        self.serving.append(heartbeats)
        port = int(settings["app"].rsplit(":", 1)[1])
        serving = self.portal.start_task_soon(serve_executor, executor, port)
        self.serving.append(serving)
        self._executor_tasks[name] = [heartbeats, serving]

    def shut_down_executor(self, name: str) -> None:
        """Deregister the executor of an agent and stop serving it."""
        for task in self._executor_tasks.pop(name):
            task.cancel()
        control = self.settings[name]["listen"]["control"]
        instance = self.executors[name].model.instance
        httpx.delete(f"http://{control}/instances/{instance}", timeout=1.0, trust_env=False)

    def run(self, name: str) -> None:
        """Start or restart the process of a node."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings[name]))
        role = "entry" if "front" in self.settings[name]["listen"] else "agent"
        port = self.status_ports.setdefault(name, free_port())
        with (self.folder / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "apricotpath_platform", role, "--status-port", str(port)],
                env=os.environ | {"APRICOTPATH_CONFIG": str(path)},
                stdout=output,
                stderr=output,
                preexec_fn=self._limit_descriptors if self.max_descriptors else None,
            )

    def _limit_descriptors(self) -> None:
        assert self.max_descriptors is not None
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors, self.max_descriptors))

    def log(self, name: str) -> str:
        """Return the log of a process, from all its starts."""
        return (self.folder / f"{name}.log").read_text()

    def end(self, name: str, number: int = signal.SIGKILL, timeout_s: float = 10.0) -> int:
        """Send a signal to a process, wait until it ends, and return its exit code."""
        process = self.processes[name]
        process.send_signal(number)
        return process.wait(timeout_s)

    def close(self) -> None:
        """Kill the processes and stop the stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait(10)
        for fut in self.serving:
            fut.cancel()
        self.stack.close()

    def write_as_operator(self, key: str, value: object | None) -> None:
        """Write a key with the operator's rights; None deletes it."""
        self.portal.call(self.store.write_as_operator, key, value)

    def wait(self, check: Callable[[], bool], limit_s: float = 20.0) -> float:
        """Wait until a check holds and return how long it took, in seconds."""
        started = time.monotonic()
        while not check():
            if time.monotonic() - started > limit_s:
                tails = {name: self.log(name)[-LOG_TAIL_BYTES:] for name in self.processes}
                raise AssertionError(f"not in {limit_s} s; logs end with {tails}")
            time.sleep(0.05)
        return time.monotonic() - started

    # HTTP requests to the processes.

    def call(
        self, entry: str, method: str, path: str, body: object = None, host: str = HOST
    ) -> httpx.Response:
        """Send a client's request to an entry."""
        url = f"http://{self.settings[entry]['listen']['front']}{path}"
        content = body if isinstance(body, bytes) else None
        json_body = None if content is not None else body
        return httpx.request(
            method,
            url,
            headers={"Host": host},
            content=content,
            json=json_body,
            timeout=5,
            trust_env=False,
        )

    def ready(self, entry: str) -> bool:
        """Tell whether the readiness probe of an entry succeeds."""
        url = f"http://{self.settings[entry]['listen']['ready']}/readyz"
        try:
            return httpx.get(url, timeout=1, trust_env=False).status_code == 200
        except httpx.HTTPError:
            return False

    def serves_status(self, name: str) -> bool:
        """Tell whether a process answers at its status port that it is ready."""
        try:
            return self.status(name, "/readyz").status_code == 200
        except httpx.HTTPError:
            return False

    def status(self, name: str, path: str) -> httpx.Response:
        """Send a GET to the status port of a process."""
        url = f"http://127.0.0.1:{self.status_ports[name]}{path}"
        return httpx.get(url, timeout=5, trust_env=False)

    def state(self, entry: str, job: str) -> str:
        """Return a job's state at an entry, or the HTTP status if it has none."""
        response = self.call(entry, "GET", PREFIX + job)
        return str(response.json().get("state", response.status_code))
