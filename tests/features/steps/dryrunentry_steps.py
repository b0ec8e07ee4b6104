"""Steps for dryrun.feature: the endpoint and the command."""

import contextlib
import io
import json
import socket
import tempfile
import time
from collections import Counter
from itertools import pairwise
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import anyio.to_thread
import httpx
from behave import given, then, when

from apricotpath.clientlimits import ClientLimits, ClientTable
from apricotpath.config import Address, LimitSettings
from apricotpath.dryrun import JobTrial, try_job
from apricotpath.ids import Epoch, JobId, ProcessId, QueueId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.messages import JobStatus
from apricotpath.steps import Steps
from apricotpath.workload import Job, Progress
from apricotpath_cli.cmdline import main as run_command
from apricotpath_platform.dryrun import MAX_DRY_RUN_S, DryRunApp
from apricotpath_platform.ingress import IngressApp
from apricotpath_platform.operatorview import OperatorView, parse_configuration
from apricotpathd.httpserver import serve_http
from apricotpathd.jobservice import MAX_OPEN_JOBS, JobService
from apricotpathd.limitedapp import REQUEST_KEY
from apricotpathd.statusapp import StatusApp
from support.jobworld import run_virtual
from support.memorystore import MemoryStore, SharedStore
from support.placementtables import GeneratedTable

OTHER_JOB = "f" * 16


def submission(count: int = 1, cpu: int = 100, **flags: Any) -> bytes:
    return json.dumps({"steps": [{"count": count, "cpu": cpu, "memMb": 1, **flags}]}).encode()


BODIES = {
    "a small job": submission(),
    "a large job": submission(2000, 4000),
    "a huge job": submission(1, 10**6),
    "a job for an unknown queue": submission(),
    "text that is not JSON": b"steps",
    "a job of 65 steps": json.dumps({"steps": [{}] * 65}).encode(),
    "a gang of 5001": submission(5001, gang=True),
    "a body beyond maxBodyBytes": b" " * (256 << 10) + submission(),
    "a body of 20000 fields": json.dumps({"steps": [0] * 20000}).encode(),
    "a file of 2 MiB": b" " * (2 << 20),
}
CONFIGURATION = {
    "version": 7,
    "services": [{"name": "bakery"}],
    "routes": [
        {"name": "bread", "host": "bread.test", "prefix": "/bread/", "service": "bakery"},
    ],
}


class DryRunEntry:
    """The apps of an entry, over a generated table with hosts in place of a scheduler."""

    def __init__(self, state: str) -> None:
        self.state = state
        store = MemoryStore(SharedStore())
        self.view = OperatorView(store, lambda: None)
        # Never outdated.
        self.view.mirror.read_at = float("inf")
        if state != "has no configuration":
            self.view.configuration = parse_configuration(json.dumps(CONFIGURATION).encode())
        answers = state != "cannot reach the store"
        self.job_service = JobService(store, "test/", lambda: answers)
        self.job_service.epoch = Epoch(3)
        if state == "follows another entry":
            self.job_service.leader = ProcessId("front-2")
        for number in range(MAX_OPEN_JOBS if state == "has 5000 open jobs" else 0):
            job = JobId(f"{number:016x}")
            self.job_service._add_status(JobStatus(job, QueueId("bread"), Progress.QUEUED))
        self.tried_at: list[float] = []
        self.takes_s, self.steps, self.loses_term = 0.0, 1, False
        scheduler = None
        if state not in ("follows another entry", "knows no scheduler"):
            rules = SimpleNamespace(may_decide=lambda _now: state != "does not know the rules")
            scheduler = SimpleNamespace(loaded=anyio.Event(), dry_run=self.dry_run, rules=rules)
            scheduler.loaded.set()
        self.jobs: Any = SimpleNamespace(scheduler=scheduler, job_service=self.job_service)
        node, metrics = ProcessId("front-1"), JobMetrics()
        self.table = GeneratedTable(1)
        self.table.change_hosts()
        self.ingress = IngressApp(node, self.view, self.job_service, metrics)
        clients = ClientTable(ClientLimits(), lambda *args: None)
        status = StatusApp(lambda: True, lambda: b"metrics\n", dict)
        self.app = DryRunApp(node, self.view, self.jobs, clients, status)

    def dry_run(self, job: Job) -> Steps[JobTrial]:
        self.tried_at.append(anyio.current_time())
        for _ in range(self.steps):
            time.sleep(self.takes_s)
            yield
        if self.loses_term:
            self.jobs.scheduler = None
        return try_job(self.table.table, job, self.table.inputs())

    async def call(self, app: Any, method: str, url: str, body: bytes = b"") -> httpx.Response:
        """Call an app without a network."""
        transport = httpx.ASGITransport(app=app)
        async with httpx.AsyncClient(transport=transport) as http:
            return await http.request(method, url, content=body)


@given("an entry for dry runs that {state}")
def set_entry(context: Any, state: str) -> None:
    context.entry_state = state


def queue_for(body: str) -> str:
    return "cake" if body == "a job for an unknown queue" else "bread"


@when("the dry-run entry gets {body} as a submission and at its status port")
def submit_and_try(context: Any, body: str) -> None:
    async def main() -> None:
        entry, queue = DryRunEntry(context.entry_state), queue_for(body)
        # The limits of the clients' address apply to connections there.
        context.submitted = await entry.call(
            limited(entry.ingress), "POST", f"http://{queue}.test/{queue}/{OTHER_JOB}", BODIES[body]
        )
        url = f"http://entry/dry-run?queue={queue}"
        context.tried = await entry.call(entry.app, "POST", url, BODIES[body])

    anyio.run(main)


def limited(app: Any) -> Any:
    """Return an app whose requests have the limits of an address."""
    request = SimpleNamespace(
        limits=ClientLimits(), note=lambda limit: None, charge=lambda size: None, release=None
    )
    request.release = request.charge

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        await app({**scope, REQUEST_KEY: request}, receive, send)

    return serve


@then(
    'both answer status {status:d} with the same error, and the dry run names the limit "{limit}"'
)
def check_refused(context: Any, status: int, limit: str) -> None:
    submitted, tried = context.submitted, context.tried.json()
    assert submitted.status_code == status, (submitted, submitted.text)
    assert context.tried.status_code == 200, context.tried.text
    assert (tried["outcome"], tried["status"]) == ("refused", status), tried
    assert tried["error"] == submitted.json()["error"], (tried, submitted.text)
    assert tried.get("limit", "-") == limit, tried


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


def run_cli(args: list[str]) -> tuple[int, str, str]:
    """Run the command; return its exit code and what it prints."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = run_command(args)
    return code, out.getvalue(), err.getvalue()


def ask(context: Any, body: str, before: tuple[str, ...] = ()) -> None:
    """Run the command, as text and with --json, against a server on loopback."""

    async def main() -> None:
        address, stopped = Address("127.0.0.1", free_port()), anyio.Event()
        entry = f"http://127.0.0.1:{address.port}"
        async with anyio.create_task_group() as group:
            if context.entry_state != "is away":
                app = DryRunEntry(context.entry_state).app
                group.start_soon(serve_http, app, address, LimitSettings(), stopped.wait)
                await wait_until_served(f"{entry}/healthz")
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "job.json"
                if body in BODIES:
                    path.write_bytes(BODIES[body])
                args = ["dry-run", str(path), "--queue", queue_for(body), *before]
                args += ["--entry", entry]
                context.printed = await anyio.to_thread.run_sync(run_cli, args)
                context.printed_json = await anyio.to_thread.run_sync(run_cli, [*args, "--json"])
            stopped.set()

    anyio.run(main)


async def wait_until_served(url: str) -> None:
    """Wait until a server answers."""
    async with httpx.AsyncClient(trust_env=False) as http:
        with anyio.fail_after(10):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    if (await http.get(url)).status_code == 200:
                        return
                await anyio.sleep(0.02)


@when("the dry-run command asks it over HTTP about {body}")
def ask_entry(context: Any, body: str) -> None:
    ask(context, body)


@when("the dry-run command asks one that is away first")
def ask_two(context: Any) -> None:
    ask(context, "a small job", ("--entry", f"http://127.0.0.1:{free_port()}"))


@then('the dry-run command ends with {code:d} and prints "{text}"')
def check_printed(context: Any, code: int, text: str) -> None:
    found, out, err = context.printed
    assert found == code, (found, out, err)
    assert text in out, out
    assert not err, err


@then("the dry-run command prints the same outcome as JSON")
def check_json(context: Any) -> None:
    code, out, _ = context.printed_json
    answer = json.loads(out)
    assert code == context.printed[0], (code, out)
    assert context.printed[1].startswith(f"{answer['outcome']}: "), (out, context.printed)
    assert answer["configuration"] == 7 and answer["entry"] == "front-1", out


@then('the dry-run command ends with {code:d} and reports "{text}"')
def check_reported(context: Any, code: int, text: str) -> None:
    found, out, err = context.printed
    assert (found, out) == (code, ""), (found, out, err)
    assert text in err, err


@then("the dry-run endpoint answers 400 without a queue, 405 to a GET and 413 to 2 MiB")
def check_bad_calls(context: Any) -> None:
    async def main() -> list[int]:
        entry = DryRunEntry(context.entry_state)
        calls = (
            ("POST", "/dry-run", b"{}"),
            ("GET", "/dry-run?queue=bread", b""),
            ("POST", "/dry-run?queue=bread", BODIES["a file of 2 MiB"]),
        )
        answers = [await entry.call(entry.app, m, f"http://entry{p}", b) for m, p, b in calls]
        assert all(answer.json()["error"] for answer in answers), answers
        return [answer.status_code for answer in answers]

    assert anyio.run(main) == [400, 405, 413]


async def call_at_once(entry: DryRunEntry, calls: int) -> Counter[int]:
    """Ask for dry runs at the same time; return how many answers had each status."""
    statuses = Counter[int]()

    async def call() -> None:
        url = "http://entry/dry-run?queue=bread"
        answer = await entry.call(entry.app, "POST", url, BODIES["a small job"])
        statuses[answer.status_code] += 1

    async with anyio.create_task_group() as group:
        for _ in range(calls):
            group.start_soon(call)
    return statuses


def least_gap_s(entry: DryRunEntry) -> float:
    """Return the shortest time between two dry runs."""
    return min(later - at for at, later in pairwise(entry.tried_at))


@then("of {calls:d} dry runs at once {served:d} are answered, 10 a second, and the others get 429")
def check_rate(context: Any, calls: int, served: int) -> None:
    async def main() -> None:
        entry = DryRunEntry(context.entry_state)
        statuses = await call_at_once(entry, calls)
        assert statuses == {200: served, 429: calls - served}, statuses
        assert least_gap_s(entry) >= 0.0999, entry.tried_at

    run_virtual(main)


@then("dry runs that take {took_ms:d} ms each are at least {gap_s:d} second apart")
def check_share(context: Any, took_ms: int, gap_s: int) -> None:
    async def main() -> None:
        entry = DryRunEntry(context.entry_state)
        entry.takes_s = took_ms / 1000
        assert await call_at_once(entry, 4) == {200: 4}
        assert least_gap_s(entry) >= gap_s, entry.tried_at

    run_virtual(main)


@then(
    "a dry run of {steps:d} steps of {took_ms:d} ms leaves the event loop {left_ms:d} ms after each"
)
def check_loop(context: Any, steps: int, took_ms: int, left_ms: int) -> None:
    async def main() -> None:
        entry = DryRunEntry(context.entry_state)
        entry.takes_s, entry.steps = took_ms / 1000, steps
        began = anyio.current_time()
        assert await call_at_once(entry, 1) == {200: 1}
        took_s = anyio.current_time() - began
        assert took_s >= steps * left_ms / 1000, took_s

    run_virtual(main)


@then("a dry run that takes too long is answered 503, as is one that outlives the scheduler")
def check_given_up(context: Any) -> None:
    async def main() -> None:
        entry = DryRunEntry(context.entry_state)
        entry.takes_s, entry.steps = 0.001, 10**6
        began = anyio.current_time()
        url = "http://entry/dry-run?queue=bread"
        answer = await entry.call(entry.app, "POST", url, BODIES["a small job"])
        assert answer.status_code == 503, answer.text
        assert answer.json()["error"].startswith("dry run not done within 20 s"), answer.text
        assert anyio.current_time() - began <= MAX_DRY_RUN_S + 1
        entry.steps, entry.loses_term = 1, True
        answer = await entry.call(entry.app, "POST", url, BODIES["a small job"])
        assert answer.status_code == 503 and "has changed" in answer.json()["error"], answer.text

    run_virtual(main)


@then("other paths of the status port are served as before")
def check_other_paths(context: Any) -> None:
    async def main() -> list[tuple[int, bytes]]:
        entry = DryRunEntry(context.entry_state)
        answers = [
            await entry.call(entry.app, "GET", f"http://entry{path}")
            for path in ("/metrics", "/readyz", "/dry")
        ]
        return [(answer.status_code, answer.content) for answer in answers]

    assert anyio.run(main) == [(200, b"metrics\n"), (200, b"ready\n"), (404, b"not found\n")]
