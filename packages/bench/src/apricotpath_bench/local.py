"""Demonstration on a local deployment: requests are answered and jobs finish despite crashes."""

import argparse
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import httpx

from apricotpath.errors import ApricotpathError
from apricotpath_bench.deploy import Deployment, DeploymentError
from apricotpath_bench.shapes import SHAPES

JOB_TIMEOUT_S = 90.0
POLL_S = 0.2
REQUESTS = 20


def send_request(deployment: Deployment, entry: int, request_class: str, key: str) -> Any:
    """Send one request through an entry and return the response."""
    shape = deployment.shape
    headers = {"Apricotpath-Class": request_class, "Apricotpath-Team": shape.teams[0]}
    if key:
        headers["Idempotency-Key"] = key
    url = f"{deployment.url(f'entry-{entry}-callers')}/s/{shape.service}/work?work_ms=5&size=100"
    return httpx.post(url, headers=headers, content=b"{}", timeout=15)


def make_job(deployment: Deployment, name: str, tasks: int, run_time_s: float) -> dict[str, Any]:
    """Return the specification of a job of small tasks."""
    return {
        "job_id": name,
        "team": deployment.shape.teams[0],
        "activity": deployment.shape.activities[0],
        "size": {"cpu_milli": 1000, "memory_mb": 512, "accelerators": 0},
        "tasks": tasks,
        "run_time_s": run_time_s,
    }


def submit(deployment: Deployment, job: dict[str, Any]) -> str:
    """Submit a job with `apricotpath jobs submit` and return the output."""
    path = deployment.folder / f"{job['job_id']}.json"
    path.write_text(json.dumps(job), encoding="utf-8")
    return deployment.run_operator_command("jobs", "submit", str(path))


def wait_for_job(deployment: Deployment, job: str, timeout_s: float = JOB_TIMEOUT_S) -> Any:
    """Wait until a job has ended and return its status; raises DeploymentError on timeout."""
    deadline = time.monotonic() + timeout_s
    shown: Any = None
    while time.monotonic() < deadline:
        completed = deployment.run_cli(
            *("jobs", "show", job, "--json", "--key", str(deployment.key_path)),
            *(item for url in deployment.operator_urls() for item in ("--entry", url)),
        )
        if completed.returncode == 0:
            shown = json.loads(completed.stdout)
            if shown["state"] in ("finished", "failed", "cancelled", "impossible"):
                return shown
        time.sleep(POLL_S)
    raise DeploymentError(f"job {job} did not end in {timeout_s:g} s; last seen: {shown}")


def check_answered(deployment: Deployment, entry: int, label: str) -> None:
    """Send requests of every class through an entry and print their outcomes.

    Raises DeploymentError unless all were answered.
    """
    classes = deployment.shape.classes
    counts: dict[str, int] = {}
    for number in range(REQUESTS):
        cls = classes[number % len(classes)]
        key = "" if cls.idempotent else f"{label}-{number}"
        response = send_request(deployment, entry, cls.name, key)
        outcome = response.headers.get("apricotpath-outcome", str(response.status_code))
        counts[outcome] = counts.get(outcome, 0) + 1
    print(f"{label}: outcomes of {REQUESTS} requests through entry-{entry}: {counts}")
    if counts.get("answered") != REQUESTS:
        raise DeploymentError(f"not all requests were answered: {counts}")


def run_demo(deployment: Deployment) -> None:
    """Run the demonstration on a started deployment."""
    print(deployment.run_operator_command("status"))
    wait_until_keys_accepted(deployment)
    check_answered(deployment, 1, "first")
    print(submit(deployment, make_job(deployment, "demo-1", tasks=6, run_time_s=3.0)))
    print(f"demo-1: {wait_for_job(deployment, 'demo-1')['state']}")
    print(submit(deployment, make_job(deployment, "demo-2", tasks=8, run_time_s=8.0)))
    print("killing entry-1 and agent-1 while demo-2 runs; agent-1 is started again")
    deployment.kill("entry-1")
    deployment.kill("agent-1")
    deployment.start_process("agent-1")
    check_answered(deployment, 2, "after the kills")
    deployment.start_process("entry-1")
    print(f"demo-2: {wait_for_job(deployment, 'demo-2')['state']}")
    print(deployment.run_operator_command("hosts"))
    print(deployment.run_operator_command("backends"))


def wait_until_keys_accepted(deployment: Deployment) -> None:
    """Wait until requests that are not idempotent are accepted."""
    keyed = next(cls for cls in deployment.shape.classes if not cls.idempotent)
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline:
        response = send_request(deployment, 1, keyed.name, f"founded-{time.monotonic()}")
        if response.status_code == 200:
            return
        time.sleep(POLL_S)
    raise DeploymentError(f"requests are still refused: {response.status_code} {response.text}")


def main(argv: list[str] | None = None) -> int:
    """Run the demonstration; returns 0 if all requests were answered and all jobs ended."""
    parser = argparse.ArgumentParser(prog="python -m apricotpath_bench.local")
    parser.add_argument("--shape", choices=sorted(SHAPES), default="small")
    parser.add_argument("--folder", type=Path, help="keep settings and logs in this folder")
    parser.add_argument("--stay", action="store_true", help="leave it running until Ctrl-C")
    args = parser.parse_args(argv)
    with tempfile.TemporaryDirectory() as scratch:
        deployment = Deployment(SHAPES[args.shape], args.folder or Path(scratch))
        try:
            started = time.monotonic()
            deployment.start()
            print(f"{len(deployment.processes)} processes in {time.monotonic() - started:.1f} s")
            run_demo(deployment)
            while args.stay:
                time.sleep(1)
        except KeyboardInterrupt:
            return 0
        except ApricotpathError as exc:
            print(f"local deployment: {exc}", file=sys.stderr)
            return 1
        finally:
            deployment.stop()
    print("done: all requests answered, all jobs finished")
    return 0


if __name__ == "__main__":
    sys.exit(main())
