"""Mixed run: constant load of requests and jobs under random faults.

The invariants are checked against the records at the end. Run as
`python -m apricotpath_bench.chaos --shape small --seed 1 --seconds 60`.
"""

import argparse
import json
import random
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from functools import partial
from pathlib import Path
from threading import Event, Lock, Thread
from typing import Any

from apricotpath.errors import ApricotpathError
from apricotpath_bench.deploy import Deployment, DeploymentError
from apricotpath_bench.drive import DeploymentDriver, wait_until
from apricotpath_bench.judge import INVARIANTS, ForbiddenSpan, Period, check_invariants
from apricotpath_bench.shapes import SHAPES, bundle_of

# Shorter than the defaults, so that leases and idempotency keys expire several times in a run.
POLICY = {
    "task_lease_s": 6.0,
    "kill_grace_s": 1.0,
    "entry_lease_s": 4.0,
    "entry_renew_s": 1.0,
    "key_memory_s": 8.0,
    "founding_s": 1.0,
}
MAX_CONCURRENT_FAULTS = 4
REQUEST_INTERVAL_S = 0.04
JOB_INTERVAL_S = 0.7
JOB_THREADS = 8
BUNDLE_INTERVAL_S = 4.0
JOBS_END_TIMEOUT_S = 120.0
RECOVERY_S = 60.0
READY_S = 60.0
# Less than key_memory_s: a repeated key must arrive before the agents may forget it.
KEY_RESEND_S = 3.0
# Quiet hours begin at the first full minute that is at least this far ahead.
QUIET_AHEAD_S = 15.0
QUIET_MINUTES = 30


@dataclass(slots=True)
class ChaosRun:
    """One run; the seed determines the order of the faults."""

    drive: DeploymentDriver
    seed: int
    seconds: float
    rng: random.Random = field(default_factory=random.Random)
    log: list[str] = field(default_factory=list)
    problems: dict[str, list[str]] = field(default_factory=dict)
    not_checked: list[str] = field(default_factory=list)
    version: int = 1
    started_at: float = 0.0
    quiet_from: datetime = field(default_factory=lambda: next_minute(QUIET_AHEAD_S))
    _reserved: set[str] = field(default_factory=set)
    _lock: Lock = field(default_factory=Lock)
    _load_stopped: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        self.rng.seed(self.seed)

    # The run.

    def run(self) -> bool:
        """Run load and faults, recover, wait for all jobs and check the invariants.

        Returns whether every invariant holds.
        """
        self.started_at = time.monotonic()
        load_loops = [self._send_requests, self._submit_jobs, self._apply_bundles]
        threads = [Thread(target=load_loop, args=(self.rng.random(),)) for load_loop in load_loops]
        for thread in threads:
            thread.start()
        self.drive.start_sampling()
        self._run_faults()
        self._load_stopped.set()
        for thread in threads:
            thread.join()
        self._recover()
        self._wait_jobs()
        self._log_event("jobs have ended")
        self._wait_versions()
        self._log_event("versions agree")
        self.drive.finish()
        self.problems |= {
            row: list(found)
            for row, found in check_invariants(self.drive.collect()).items()
            if found
        }
        return not self.problems

    def _log_event(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self.started_at:7.2f} {text}")

    def _add_violation(self, row: str, text: str) -> None:
        self.problems.setdefault(row, []).append(text)

    # Load.

    def _send_requests(self, seed: float) -> None:
        rng = random.Random(seed)
        shape = self.drive.deployment.shape
        number = 0
        while not self._load_stopped.wait(REQUEST_INTERVAL_S):
            number += 1
            cls = rng.choice(shape.classes)
            key = "" if cls.idempotent else f"key-{number}"
            work_ms = rng.choice((5, 20, 20, 50, 400, 1500))
            size = rng.choice((10, 1000, 1000, 200_000))
            entry = rng.randint(1, shape.entries)
            self.drive.call_later(entry, cls.name, key, work_ms, size)
            if key and rng.random() < 0.5:
                self._resend_later(rng.uniform(0, KEY_RESEND_S), rng, cls.name, key, work_ms, size)

    def _resend_later(self, delay: float, rng: random.Random, *request: Any) -> None:
        entry = rng.randint(1, self.drive.deployment.shape.entries)

        def run() -> None:
            time.sleep(delay)
            self.drive.call_later(entry, *request)

        Thread(target=run, daemon=True).start()

    def _submit_jobs(self, seed: float) -> None:
        rng = random.Random(seed)
        shape = self.drive.deployment.shape
        number = 0
        with ThreadPoolExecutor(JOB_THREADS) as pool:
            while not self._load_stopped.wait(JOB_INTERVAL_S):
                number += 1
                cores = rng.choice((1, 1, 2, 3, shape.cores * 3 // 4))
                job = {
                    "job_id": f"chaos-{number}",
                    "team": rng.choice(shape.teams),
                    "activity": rng.choice(shape.activities),
                    "size": {"cpu_milli": cores * 1000, "memory_mb": 512, "accelerators": 0},
                    "tasks": rng.randint(1, 5),
                    "run_time_s": rng.uniform(0.5, 5.0),
                    "priority": rng.choice(("urgent", "normal", "low")),
                    "checkpoint_s": 0.2,
                    "max_attempts": 1000,
                }
                pool.submit(self._submit, job, rng.random() < 0.1)

    def _submit(self, job: dict[str, Any], cancel: bool) -> None:
        name = job["job_id"]
        try:
            self.drive.submit(job)
            if cancel:
                self.drive.cancel(name)
        except ApricotpathError as exc:
            self._log_event(f"{name} not accepted or not cancelled: {exc}")

    def _apply_bundles(self, seed: float) -> None:
        """Repeatedly apply two different bundles of the next version at the same time."""
        while not self._load_stopped.wait(BUNDLE_INTERVAL_S):
            version = self.version + 1
            with ThreadPoolExecutor(2) as pool:
                exit_codes = list(pool.map(self._apply, (version, version), ("a", "b")))
            self._log_event(f"bundle {version}: exit codes {exit_codes}")
            if 0 in exit_codes:
                self.drive.observations.in_force.append((version, time.time()))
            if exit_codes.count(0) + exit_codes.count(3) > 1:
                self._add_violation(
                    "R10 bundles spread and never revert", f"version {version} twice"
                )
            if 0 in exit_codes or 3 in exit_codes or any(v >= version for v in self._versions()):
                self.version = version

    def _versions(self) -> list[int]:
        return list(self.drive.versions().values())

    def _apply(self, version: int, operator: str) -> int:
        deployment = self.drive.deployment
        name = deployment.folder / f"bundle-{version}-{operator}"
        changed = self.bundle(version)
        changed["teams"][deployment.shape.teams[0]]["share"] = 1.0 + (operator == "a")
        return apply_bundle(self.drive, changed, name)

    def bundle(self, version: int) -> dict[str, Any]:
        """Return the bundle of the run, with quiet hours that begin soon and a placement rule."""
        shape = self.drive.deployment.shape
        rules = bundle_of(shape, version)
        for team in rules["teams"].values():
            # A new lender grants no rate shares until those of the old one have expired, which
            # would leave a short run idle.
            team["rate_per_s"] = 0.0
        rules["quiet_hours"] = [quiet_rule(self.quiet_from, shape)]
        rules["placement"] = [placement_rule(shape)]
        return rules

    # Faults.

    def _run_faults(self) -> None:
        kinds = self._fault_kinds()
        end = self.started_at + self.seconds
        with ThreadPoolExecutor(MAX_CONCURRENT_FAULTS) as pool:
            while time.monotonic() < end:
                name = self.rng.choice(sorted(kinds))
                duration_s, choice = self.rng.uniform(0.5, 7.0), self.rng.random()
                duration_s = min(duration_s, max(0.0, end - time.monotonic()))
                if len(self._reserved) < MAX_CONCURRENT_FAULTS:
                    pool.submit(self._run_fault, name, kinds[name], duration_s, choice)
                time.sleep(self.rng.uniform(0.2, 1.5))

    def _fault_kinds(self) -> dict[str, Callable[[float, float], None]]:
        """Return the faults by name; each takes its duration and a random number in [0, 1)."""
        return {
            "kill entry": self._kill_entry,
            "kill agent": self._kill_agent,
            "kill entry and agent": self._kill_entry_and_agent,
            "kill host": self._kill_host,
            "pause entry": self._pause_entry,
            "pause agent": self._pause_agent,
            "silence": self._silence_links,
            "store": self._store_fault,
            "take out": self._take_data_centre_out,
            "stop entry": self._stop_entry,
            "stop agent": self._stop_agent,
            "backend": self._backend_fault,
            "worker": self._worker_fault,
        }

    def _run_fault(
        self, name: str, inject: Callable[[float, float], None], duration_s: float, choice: float
    ) -> None:
        try:
            inject(duration_s, choice)
        except (ApricotpathError, OSError) as exc:
            self._log_event(f"{name}: {type(exc).__name__}: {exc}")

    @contextmanager
    def _reserve(self, label: str, names: list[str]) -> Iterator[bool]:
        """Reserve process names for one fault; yields whether all of them were free."""
        with self._lock:
            acquired = not self._reserved & set(names)
            if acquired:
                self._reserved |= set(names)
        since = time.time()
        if acquired:
            self._log_event(f"{label} {' '.join(names)}")
        try:
            yield acquired
        finally:
            if acquired:
                for name in names:
                    self.drive.record_disturbed_period(name, since)
                self._log_event(f"end of {label} {' '.join(names)}")
                with self._lock:
                    self._reserved -= set(names)

    def _pick_process(self, kind: str, choice: float) -> str:
        shape = self.drive.deployment.shape
        count = shape.entries if kind == "entry" else shape.hosts
        return f"{kind}-{int(choice * count) + 1}"

    def _kill_and_restart(self, label: str, names: list[str], duration_s: float) -> None:
        with self._reserve(label, names) as acquired:
            if acquired:
                for name in names:
                    self.drive.kill(name)
                time.sleep(duration_s)
                for name in names:
                    self.drive.deployment.start_process(name)
                for name in names:
                    self.drive.deployment.wait_listening(name)

    def _kill_entry(self, duration_s: float, choice: float) -> None:
        self._kill_and_restart("kill", [self._pick_process("entry", choice)], duration_s)

    def _kill_agent(self, duration_s: float, choice: float) -> None:
        self._kill_and_restart("kill", [self._pick_process("agent", choice)], duration_s)

    def _kill_entry_and_agent(self, duration_s: float, choice: float) -> None:
        names = [
            self._pick_process("entry", choice),
            self._pick_process("agent", 1 - choice - 1e-9),
        ]
        self._kill_and_restart("kill", names, duration_s)

    def _kill_host(self, duration_s: float, choice: float) -> None:
        host = self._pick_process("agent", choice).partition("-")[2]
        self._kill_and_restart(
            "kill", [f"{kind}-{host}" for kind in ("agent", "worker", "backend")], duration_s
        )

    def _pause_and_resume(self, name: str, duration_s: float) -> None:
        with self._reserve("pause", [name]) as acquired:
            if acquired:
                self.drive.deployment.pause(name)
                # The longest pauses exceed the entry's and the tasks' leases.
                time.sleep(duration_s * 1.5)
                self.drive.deployment.resume(name)

    def _pause_entry(self, duration_s: float, choice: float) -> None:
        self._pause_and_resume(self._pick_process("entry", choice), duration_s)

    def _pause_agent(self, duration_s: float, choice: float) -> None:
        self._pause_and_resume(self._pick_process("agent", choice), duration_s)

    def _silence_links(self, duration_s: float, choice: float) -> None:
        name = self._pick_process("entry", choice)
        with self._reserve("silence", [name]) as acquired:
            if acquired:
                self.drive.deployment.relays[name].silence_connections()

    def _store_fault(self, duration_s: float, choice: float) -> None:
        switches: list[dict[str, Any]] = [
            {"down": True},
            {"slow_ms": 700},
            {"lose_answers": 10},
            {"late_writes": 5},
            {"limits": {"writes_per_s": 8.0}},
        ]
        selected_faults = switches[int(choice * len(switches))]
        with self._reserve(f"store {selected_faults}", ["store"]) as acquired:
            if acquired:
                self.drive.deployment.set_faults("store", **selected_faults)
                time.sleep(duration_s)
                self.drive.deployment.set_faults("store", **NO_STORE_FAULTS)

    def _take_data_centre_out(self, duration_s: float, choice: float) -> None:
        centres = self.drive.deployment.shape.data_centres
        name = centres[int(choice * len(centres))]
        with self._reserve("take out", [name]) as acquired:
            if not acquired:
                return
            code = self.drive.set_service_state(name, "out", 8.0)
            since = time.time()
            self._log_event(f"take-out of {name}: exit code {code}")
            time.sleep(duration_s)
            until = time.time()
            if code == 0:
                self.drive.observations.take_outs.append(Period(name, since, until))
            wait_until(f"{name} is back", lambda: self._return_to_service(name), RECOVERY_S)

    def _return_to_service(self, name: str) -> bool:
        try:
            return self.drive.set_service_state(name, "in", 2.0) in (0, 3)
        except ApricotpathError:
            return False

    def _stop_and_restart(self, name: str, duration_s: float) -> None:
        with self._reserve("stop", [name]) as acquired:
            if acquired:
                since = time.time()
                self.drive.deployment.terminate(name)
                time.sleep(duration_s)
                until = time.time()
                self.drive.deployment.start_process(name)
                if name.startswith("agent"):
                    backend = name.replace("agent", "backend")
                    self.drive.observations.shutdowns.append(Period(backend, since, until))
                self.drive.deployment.wait_listening(name)

    def _stop_entry(self, duration_s: float, choice: float) -> None:
        self._stop_and_restart(self._pick_process("entry", choice), duration_s)

    def _stop_agent(self, duration_s: float, choice: float) -> None:
        self._stop_and_restart(self._pick_process("agent", choice), duration_s)

    def _backend_fault(self, duration_s: float, choice: float) -> None:
        selected_faults = ({"cut_body": True}, {"fail_all": True}, {"slow": 10.0})[int(choice * 3)]
        name = self._pick_process("backend", choice * 3 % 1)
        self._inject_faults(
            name, selected_faults, {"cut_body": False, "fail_all": False, "slow": 1.0}, duration_s
        )

    def _worker_fault(self, duration_s: float, choice: float) -> None:
        selected_faults: dict[str, Any] = (
            {"refuse_starts": True},
            {"slow_stop_s": 3.0},
            {"lose_answers": 20},
            {"checkpoint_fails": True},
        )[int(choice * 4)]
        cleared_faults = {
            "refuse_starts": False,
            "slow_stop_s": 0.0,
            "lose_answers": 0,
            "checkpoint_fails": False,
        }
        self._inject_faults(
            self._pick_process("worker", choice * 4 % 1),
            selected_faults,
            cleared_faults,
            duration_s,
        )

    def _inject_faults(
        self,
        name: str,
        selected_faults: dict[str, Any],
        cleared_faults: dict[str, Any],
        duration_s: float,
    ) -> None:
        with self._reserve(str(selected_faults), [name]) as acquired:
            if acquired:
                self.drive.deployment.set_faults(name, **selected_faults)
                time.sleep(duration_s)
                self.drive.deployment.set_faults(name, **cleared_faults)

    # Recovery and final checks.

    def _recover(self) -> None:
        """Clear the faults, restart ended processes and wait until all are ready."""
        deployment = self.drive.deployment
        self._log_event("healing")
        deployment.set_faults("store", **NO_STORE_FAULTS)
        for name, item in list(deployment.processes.items()):
            if item.process.poll() is None:
                deployment.resume(name)
            else:
                deployment.start_process(name)
        for name in deployment.processes:
            if name.startswith(("entry", "agent")):
                deployment.wait_ready(name)
        for name in deployment.shape.data_centres:
            wait_until(f"{name} is back", partial(self._return_to_service, name), RECOVERY_S)
        self._log_event("healed")

    def _wait_jobs(self) -> None:
        deadline = time.monotonic() + JOBS_END_TIMEOUT_S
        for name in self.drive.jobs:
            try:
                state = self.drive.wait_job(name, max(1.0, deadline - time.monotonic()))
            except DeploymentError:
                shown = self.drive.job(name)
                self._add_violation("all accepted jobs end", f"{name} is still {shown}")
                continue
            if state not in ("finished", "cancelled"):
                self._add_violation("all accepted jobs end", f"{name} is {state}")

    def _wait_versions(self) -> None:
        count = self.drive.deployment.shape.entries + self.drive.deployment.shape.hosts
        try:
            wait_until(
                "all processes show the newest bundle",
                lambda: (found := self._versions()) and found == [self.version] * count,
                RECOVERY_S,
            )
        except DeploymentError:
            shown = f"{self.drive.versions()} instead of {self.version}"
            self._add_violation("R10 bundles spread and never revert", shown)
        envelopes = {str(answer.value) for answer in self.drive.entry_answers("/v1/bundle")}
        if len(envelopes) != 1:
            self._add_violation(
                "R10 bundles spread and never revert", f"bundles differ: {envelopes}"
            )


NO_STORE_FAULTS = {
    "down": False,
    "slow_ms": 0,
    "lose_answers": 0,
    "late_writes": 0,
    "limits": {"writes_per_s": 300.0},
}


def next_minute(ahead_s: float) -> datetime:
    """Return the first full minute in UTC that begins at least `ahead_s` seconds from now."""
    at = datetime.now(UTC) + timedelta(seconds=ahead_s + 60)
    return at.replace(second=0, microsecond=0)


def quiet_rule(since: datetime, shape: Any) -> dict[str, Any]:
    """Return quiet hours for the first activity in the first data centre."""
    until = since + timedelta(minutes=QUIET_MINUTES)
    return {
        "datacentres": [shape.data_centres[0]],
        "activities": [shape.activities[0]],
        "zone": "UTC",
        "days": ["mon", "tue", "wed", "thu", "fri", "sat", "sun"],
        "from": f"{since:%H:%M}",
        "to": f"{until:%H:%M}",
    }


def placement_rule(shape: Any) -> dict[str, Any]:
    """Return a rule that restricts the last activity to the last data centre."""
    return {"activities": [shape.activities[-1]], "datacentres": [shape.data_centres[-1]]}


def bans_of(since: datetime, shape: Any) -> list[ForbiddenSpan]:
    """Return the spans that `quiet_rule` and `placement_rule` forbid, for the checks."""
    begin = since.timestamp()
    quiet = ForbiddenSpan(
        *(shape.data_centres[0], shape.activities[0], begin, begin + QUIET_MINUTES * 60),
    )
    elsewhere = shape.data_centres[:-1]
    return [
        quiet,
        *(ForbiddenSpan(name, shape.activities[-1], 0.0, float("inf")) for name in elsewhere),
    ]


def apply_bundle(drive: DeploymentDriver, bundle: dict[str, Any], name: Path) -> int:
    """Sign a bundle, apply it and return the exit code.

    `name` is the path of the written files without their suffixes.
    """
    deployment = drive.deployment
    source, signed = name.with_suffix(".json"), name.with_suffix(".signed")
    source.write_text(json.dumps(bundle), encoding="utf-8")
    key = ("--key", str(deployment.key_path))
    deployment.cli("bundle", "sign", str(source), *key, "--out", str(signed))
    entries = [item for url in deployment.operator_urls() for item in ("--entry", url)]
    return deployment.run_cli("bundle", "apply", str(signed), *entries, *key).returncode


def run(shape: str, seed: int, seconds: float, folder: Path) -> ChaosRun:
    """Run once in a folder; raises DeploymentError if the deployment does not start."""
    deployment = Deployment(SHAPES[shape], folder, policy=POLICY, relayed=True)
    chaos = ChaosRun(DeploymentDriver(deployment), seed, seconds)
    try:
        deployment.start(chaos.bundle(1))
        chaos.drive.observations.forbidden = bans_of(chaos.quiet_from, deployment.shape)
        chaos.drive.wait_until_keys_accepted()
        chaos.run()
        if time.time() < chaos.quiet_from.timestamp():
            chaos.not_checked.append("R11: the quiet hours had not begun when the run ended")
    finally:
        deployment.stop()
        (folder / "faults.log").write_text("\n".join(chaos.log) + "\n", encoding="utf-8")
    return chaos


def report(chaos: ChaosRun) -> list[str]:
    """Return a summary of the run's load, one line per invariant, and the violations."""
    seen = chaos.drive.observations
    outcomes: dict[str, int] = {}
    for call in seen.calls:
        outcomes[call.outcome] = outcomes.get(call.outcome, 0) + 1
    lines = [
        f"seed {chaos.seed}: {len(seen.calls)} calls {outcomes}, {len(chaos.drive.jobs)} jobs, "
        f"{len(seen.tasks)} attempts, {len(seen.in_force)} bundles, {len(seen.take_outs)} take-outs"
    ]
    for row in [*INVARIANTS, "all accepted jobs end"]:
        found = chaos.problems.get(row, [])
        lines.append(f"{'VIOLATED' if found else 'held'}: {row}")
        lines += [f"  {text}" for text in found[:10]]
    return lines + [f"not checked: {text}" for text in chaos.not_checked]


def main(argv: list[str] | None = None) -> int:
    """Run and print the result of each invariant; returns 1 on a violation or error."""
    parser = argparse.ArgumentParser(prog="python -m apricotpath_bench.chaos", description=__doc__)
    parser.add_argument("--shape", choices=sorted(SHAPES), default="small")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--folder", type=Path, help="keep settings, logs and records here")
    args = parser.parse_args(argv)
    with tempfile.TemporaryDirectory() as scratch:
        folder = args.folder or Path(scratch)
        try:
            chaos = run(args.shape, args.seed, args.seconds, folder)
        except ApricotpathError as exc:
            print(f"mixed run with seed {args.seed}: {exc}", file=sys.stderr)
            return 1
    print("\n".join(report(chaos)))
    return 1 if chaos.problems else 0


if __name__ == "__main__":
    sys.exit(main())
