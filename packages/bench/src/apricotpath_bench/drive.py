"""Sends caller and operator traffic to a deployment and collects the stand-ins' records."""

import json
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from threading import Event, Lock, Thread
from typing import Any, TypeVar

import anyio
import httpx

from apricotpath.errors import ApricotpathError
from apricotpath.model import ServiceState
from apricotpath.signing import load_key
from apricotpath_bench.backendstandin import expected_body
from apricotpath_bench.deploy import Deployment, DeploymentError
from apricotpath_bench.judge import Call, Observations, Period, Sample, read_backend, read_worker
from apricotpath_bench.shapes import MB_PER_GB, bundle_of
from apricotpath_cli.client import Answer, Client
from apricotpath_cli.datacentres import change_state

T = TypeVar("T")

CALLER_THREADS = 32
CALL_TIMEOUT_S = 60.0
OPERATOR_TIMEOUT_S = 3.0
POLL_S = 0.05
SAMPLE_S = 0.25
ENDED_STATES = ("finished", "failed", "cancelled", "impossible")


def wait_until(description: str, condition: Callable[[], T], timeout_s: float = 30.0) -> T:
    """Poll `condition` and return its first true value.

    Raises DeploymentError, with `description` in its message, after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise DeploymentError(f"condition not met within {timeout_s:g} s: {description}")


@dataclass(slots=True)
class DeploymentDriver:
    """Caller and operator client of a running deployment, with all records of the run."""

    deployment: Deployment
    observations: Observations = field(default_factory=Observations)
    jobs: list[str] = field(default_factory=list)
    _lock: Lock = field(default_factory=Lock)
    _pool: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(CALLER_THREADS))
    _sampling_stopped: Event = field(default_factory=Event)
    _call_count: int = 0

    # Callers.

    def call(
        self,
        entry: int,
        request_class: str,
        key: str = "",
        work_ms: float = 5,
        size: int = 100,
        deadline_ms: int = 0,
    ) -> Call:
        """Send one request on a new connection and record the result."""
        with self._lock:
            self._call_count += 1
            path = f"/call-{self._call_count}"
        headers = {
            "Apricotpath-Class": request_class,
            "Apricotpath-Team": self.deployment.shape.teams[0],
            "Connection": "close",
        }
        if key:
            headers["Idempotency-Key"] = key
        if deadline_ms:
            headers["Apricotpath-Deadline-Ms"] = str(deadline_ms)
        callers = self.deployment.url(f"entry-{entry}-callers")
        url = f"{callers}/s/{self.deployment.shape.service}{path}"
        params = {"work_ms": work_ms, "size": size}
        sent_at = time.time()
        try:
            response = httpx.post(
                url, params=params, headers=headers, content=b"{}", timeout=CALL_TIMEOUT_S
            )
        except httpx.HTTPError as exc:
            reason = f"{type(exc).__name__}: {exc}"
            result = Call(
                path, entry, request_class, key, sent_at, time.time(), "cut", 0, reason=reason
            )
        else:
            result = self._read(path, entry, request_class, key, sent_at, size, response)
        with self._lock:
            self.observations.calls.append(result)
        return result

    def call_later(self, *args: Any, **kwargs: Any) -> "Future[Call]":
        """Send a request from another thread."""
        return self._pool.submit(self.call, *args, **kwargs)

    def _read(
        self,
        path: str,
        entry: int,
        request_class: str,
        key: str,
        sent_at: float,
        size: int,
        response: httpx.Response,
    ) -> Call:
        headers = response.headers
        run = headers.get("run-id", "")
        problem = ""
        if response.status_code == 200 and response.content != expected_body(run, size):
            problem = f"{len(response.content)} of {size} bytes, or the content of another answer"
        return Call(
            *(path, entry, request_class, key, sent_at, time.time()),
            *(headers.get("apricotpath-outcome", "none"), response.status_code),
            *(run, problem, headers.get("apricotpath-reason", "")),
        )

    def keyed_class(self) -> str:
        """Return a request class that is not idempotent."""
        return next(cls.name for cls in self.deployment.shape.classes if not cls.idempotent)

    def idempotent_class(self) -> str:
        """Return the idempotent request class with the longest deadline."""
        classes = [cls for cls in self.deployment.shape.classes if cls.idempotent]
        return max(classes, key=lambda cls: cls.deadline_ms).name

    def wait_until_keys_accepted(self, entry: int = 1) -> None:
        """Wait until requests that are not idempotent are accepted."""
        name = self.keyed_class()
        wait_until(
            "a keyed request is answered",
            lambda: self.call(entry, name, f"try-{time.monotonic()}").outcome == "answered",
        )

    # Operators.

    def run_with_client(
        self, operation: Callable[[Client], Any], entries: list[int] | None = None
    ) -> Any:
        """Run `operation` with an operator client for the selected entries, or for all."""
        urls = self.deployment.operator_urls()
        selected_urls = urls if entries is None else [urls[number - 1] for number in entries]
        key = load_key(self.deployment.key_path)

        async def run() -> Any:
            async with Client(selected_urls, key, OPERATOR_TIMEOUT_S) as client:
                return await operation(client)

        return anyio.run(run)

    def submit(self, job: dict[str, Any]) -> None:
        """Submit a job; raises an ApricotpathError if no entry accepts it."""
        self.run_with_client(lambda client: client.call_any("POST", "/v1/jobs", job))
        self.jobs.append(job["job_id"])

    def cancel(self, name: str) -> None:
        """Cancel a job; raises an ApricotpathError if no entry accepts it."""
        self.run_with_client(lambda client: client.call_any("DELETE", f"/v1/jobs/{name}"))

    def job(self, name: str) -> dict[str, Any]:
        """Return a job's status as an entry shows it; empty if no entry answers."""
        try:
            shown = self.run_with_client(lambda client: client.call_any("GET", f"/v1/jobs/{name}"))
        except ApricotpathError:
            return {}
        return dict(shown)

    def wait_job(self, name: str, timeout_s: float = 60.0) -> str:
        """Wait until a job has ended and return its state."""
        return wait_until(
            f"job {name} ends",
            lambda: state if (state := self.job(name).get("state")) in ENDED_STATES else "",
            timeout_s,
        )

    def set_service_state(
        self, data_centre: str, state: str, wait_s: float = 10.0, entries: list[int] | None = None
    ) -> int:
        """Set a data centre's service state and return the command's exit code."""
        code = self.run_with_client(
            lambda client: change_state(client, data_centre, ServiceState(state), wait_s), entries
        )
        return int(code)

    def bundle(self, version: int, **changes: Any) -> dict[str, Any]:
        """Return the shape's bundle with some top-level parts replaced."""
        return bundle_of(self.deployment.shape, version) | changes

    def entry_answers(self, path: str) -> list[Answer]:
        """Return the answer of each entry to a signed GET."""
        found: list[Answer] = self.run_with_client(lambda client: client.call_all("GET", path))
        return found

    def versions(self) -> dict[str, int]:
        """Return the bundle version of every process that answers."""
        found = {}
        for number, answer in enumerate(self.entry_answers("/v1/status"), 1):
            if answer.error is None:
                found[f"entry-{number}"] = int(answer.value["bundle"]["version"])
        for host in self.deployment.host_names():
            name = f"agent-{host}"
            try:
                shown = httpx.get(f"{self.deployment.url(name)}/debug", timeout=0.5).json()
            except (httpx.HTTPError, ValueError):
                continue
            found[name] = int(shown["bundle_version"])
        return found

    def start_sampling(self) -> None:
        """Record bundle versions in a thread until `finish` is called."""

        def run() -> None:
            while not self._sampling_stopped.wait(SAMPLE_S):
                at, before = time.time(), self.pids()
                versions = self.versions()
                after = self.pids()
                for name, version in versions.items():
                    # If a process was restarted in between, either incarnation may have answered.
                    if before[name] == after[name]:
                        self.observations.samples.append(Sample(name, after[name], at, version))

        Thread(target=run, daemon=True).start()

    def pids(self) -> dict[str, int]:
        """Return the process id of every process by name."""
        return {name: item.process.pid for name, item in self.deployment.processes.items()}

    # Faults.

    def kill(self, name: str) -> None:
        """Kill a process; for a worker, append a line to its record that ends its tasks."""
        self.deployment.kill(name)
        if name.startswith("worker"):
            declared = {"cpu_milli": 0, "memory_mb": 0, "accelerators": 0}
            line = {"event": "killed", "at": time.time(), "declared": declared}
            with self.deployment.record_path(name).open("a", encoding="utf-8") as file:
                file.write(json.dumps(line) + "\n")

    def record_disturbed_period(self, name: str, since: float) -> None:
        """Record that a process was subject to a fault from the unix time `since` until now."""
        self.observations.disturbed.append(Period(name, since, time.time()))

    def has_run(self, path: str) -> bool:
        """Return whether a backend server has recorded the start of a request."""
        return any(run.path == path for run in self.read_requests())

    # Records.

    def read_requests(self) -> list[Any]:
        """Return the request runs recorded by all backend servers so far."""
        offset = time.time() - time.monotonic()
        found = []
        for host in self.deployment.host_names():
            name = f"backend-{host}"
            found += read_backend(self.deployment.record_path(name), name, offset)
        return found

    def collect(self) -> Observations:
        """Read all records of the stand-ins into `seen` and return it."""
        shape, seen = self.deployment.shape, self.observations
        memory = shape.memory_gb * MB_PER_GB
        seen.tasks, seen.commitments = [], []
        for host in self.deployment.host_names():
            runs, sums = read_worker(
                self.deployment.record_path(f"worker-{host}"),
                f"worker-{host}",
                shape.data_centre_of(int(host) - 1),
                (shape.cores * 1000, memory),
                (shape.cores * 250, memory // 4),
            )
            seen.tasks += runs
            seen.commitments += sums
        seen.requests = self.read_requests()
        return seen

    def finish(self) -> None:
        """Stop sampling and wait for all pending calls."""
        self._sampling_stopped.set()
        self._pool.shutdown()
