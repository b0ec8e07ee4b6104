"""Mixed run: steady requests and jobs under random faults, judged from the records.

Run as `python -m apricotpath_bench.chaos --shape small --seed 1 --seconds 60`.
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
from apricotpath_bench.drive import Drive, wait_until
from apricotpath_bench.judge import ROWS, Ban, Period, judge
from apricotpath_bench.shapes import SHAPES, bundle_of

# Shorter than in service, so that leases and key memories end several times in a run.
POLICY = {
    "task_lease_s": 6.0,
    "kill_grace_s": 1.0,
    "entry_lease_s": 4.0,
    "entry_renew_s": 1.0,
    "key_memory_s": 8.0,
    "founding_s": 1.0,
}
FAULTS_AT_ONCE = 4
REQUEST_INTERVAL_S = 0.04
JOB_INTERVAL_S = 0.7
JOB_THREADS = 8
BUNDLE_INTERVAL_S = 4.0
JOBS_END_S = 120.0
HEAL_S = 60.0
READY_S = 60.0
# A key is sent again while the agents must still remember it.
KEY_AGAIN_S = 3.0
# Quiet hours begin at a full minute at least this far ahead.
QUIET_AHEAD_S = 15.0
QUIET_MINUTES = 30


@dataclass(slots=True)
class Chaos:
    """One run; the order of the faults follows from the seed."""

    drive: Drive
    seed: int
    seconds: float
    rng: random.Random = field(default_factory=random.Random)
    log: list[str] = field(default_factory=list)
    problems: dict[str, list[str]] = field(default_factory=dict)
    unjudged: list[str] = field(default_factory=list)
    version: int = 1
    begun: float = 0.0
    quiet_from: datetime = field(default_factory=lambda: next_minute(QUIET_AHEAD_S))
    _busy: set[str] = field(default_factory=set)
    _lock: Lock = field(default_factory=Lock)
    _over: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        self.rng.seed(self.seed)

    # The run.

    def run(self) -> bool:
        """Run, heal, wait for all jobs and judge; returns whether every row holds."""
        self.begun = time.monotonic()
        loops = [self._requests, self._jobs, self._bundles]
        threads = [Thread(target=loop, args=(self.rng.random(),)) for loop in loops]
        for thread in threads:
            thread.start()
        self.drive.sample_forever()
        self._faults()
        self._over.set()
        for thread in threads:
            thread.join()
        self._heal()
        self._wait_jobs()
        self._note("jobs have ended")
        self._wait_versions()
        self._note("versions agree")
        self.drive.finish()
        self.problems |= {
            row: list(found) for row, found in judge(self.drive.collect()).items() if found
        }
        return not self.problems

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self.begun:7.2f} {text}")

    def _fail(self, row: str, text: str) -> None:
        self.problems.setdefault(row, []).append(text)

    # Load.

    def _requests(self, seed: float) -> None:
        rng = random.Random(seed)
        shape = self.drive.deployment.shape
        number = 0
        while not self._over.wait(REQUEST_INTERVAL_S):
            number += 1
            cls = rng.choice(shape.classes)
            key = "" if cls.idempotent else f"key-{number}"
            work_ms = rng.choice((5, 20, 20, 50, 400, 1500))
            size = rng.choice((10, 1000, 1000, 200_000))
            entry = rng.randint(1, shape.entries)
            self.drive.call_later(entry, cls.name, key, work_ms, size)
            if key and rng.random() < 0.5:
                self._again(rng.uniform(0, KEY_AGAIN_S), rng, cls.name, key, work_ms, size)

    def _again(self, delay: float, rng: random.Random, *request: Any) -> None:
        entry = rng.randint(1, self.drive.deployment.shape.entries)

        def run() -> None:
            time.sleep(delay)
            self.drive.call_later(entry, *request)

        Thread(target=run, daemon=True).start()

    def _jobs(self, seed: float) -> None:
        rng = random.Random(seed)
        shape = self.drive.deployment.shape
        number = 0
        with ThreadPoolExecutor(JOB_THREADS) as pool:
            while not self._over.wait(JOB_INTERVAL_S):
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
            self._note(f"{name} not accepted or not cancelled: {exc}")

    def _bundles(self, seed: float) -> None:
        """Let two operators race with two bundles of the next version, again and again."""
        while not self._over.wait(BUNDLE_INTERVAL_S):
            version = self.version + 1
            with ThreadPoolExecutor(2) as pool:
                tried = list(pool.map(self._apply, (version, version), ("a", "b")))
            self._note(f"bundle {version}: exit codes {tried}")
            if 0 in tried:
                self.drive.seen.in_force.append((version, time.time()))
            if tried.count(0) + tried.count(3) > 1:
                self._fail("R10 bundles spread and never revert", f"version {version} twice")
            if 0 in tried or 3 in tried or any(v >= version for v in self._versions()):
                self.version = version

    def _versions(self) -> list[int]:
        return list(self.drive.versions().values())

    def _apply(self, version: int, who: str) -> int:
        deployment = self.drive.deployment
        name = deployment.folder / f"bundle-{version}-{who}"
        changed = self.bundle(version)
        changed["teams"][deployment.shape.teams[0]]["share"] = 1.0 + (who == "a")
        return apply_bundle(self.drive, changed, name)

    def bundle(self, version: int) -> dict[str, Any]:
        """Return the rules of the run: quiet hours that begin soon, and one placement rule."""
        shape = self.drive.deployment.shape
        rules = bundle_of(shape, version)
        for team in rules["teams"].values():
            # A new lender of a rate waits for old shares to end, which would idle short runs.
            team["rate_per_s"] = 0.0
        rules["quiet_hours"] = [quiet_rule(self.quiet_from, shape)]
        rules["placement"] = [placement_rule(shape)]
        return rules

    # Faults.

    def _faults(self) -> None:
        kinds = self._kinds()
        end = self.begun + self.seconds
        with ThreadPoolExecutor(FAULTS_AT_ONCE) as pool:
            while time.monotonic() < end:
                name = self.rng.choice(sorted(kinds))
                length, choice = self.rng.uniform(0.5, 7.0), self.rng.random()
                length = min(length, max(0.0, end - time.monotonic()))
                if len(self._busy) < FAULTS_AT_ONCE:
                    pool.submit(self._one_fault, name, kinds[name], length, choice)
                time.sleep(self.rng.uniform(0.2, 1.5))

    def _kinds(self) -> dict[str, Callable[[float, float], None]]:
        return {
            "kill entry": self._kill_entry,
            "kill agent": self._kill_agent,
            "kill entry and agent": self._kill_both,
            "kill host": self._kill_host,
            "pause entry": self._pause_entry,
            "pause agent": self._pause_agent,
            "silence": self._silence,
            "store": self._store,
            "take out": self._take_out,
            "stop entry": self._stop_entry,
            "stop agent": self._stop_agent,
            "backend": self._backend,
            "worker": self._worker,
        }

    def _one_fault(
        self, name: str, act: Callable[[float, float], None], length: float, choice: float
    ) -> None:
        try:
            act(length, choice)
        except (ApricotpathError, OSError) as exc:
            self._note(f"{name}: {type(exc).__name__}: {exc}")

    @contextmanager
    def _only(self, what: str, names: list[str]) -> Iterator[bool]:
        """Reserve names for one fault; yields whether all were free."""
        with self._lock:
            free = not self._busy & set(names)
            if free:
                self._busy |= set(names)
        since = time.time()
        if free:
            self._note(f"{what} {' '.join(names)}")
        try:
            yield free
        finally:
            if free:
                for name in names:
                    self.drive.disturb(name, since)
                self._note(f"end of {what} {' '.join(names)}")
                with self._lock:
                    self._busy -= set(names)

    def _pick(self, kind: str, choice: float) -> str:
        shape = self.drive.deployment.shape
        count = shape.entries if kind == "entry" else shape.hosts
        return f"{kind}-{int(choice * count) + 1}"

    def _killed(self, what: str, names: list[str], length: float) -> None:
        with self._only(what, names) as free:
            if free:
                for name in names:
                    self.drive.kill(name)
                time.sleep(length)
                for name in names:
                    self.drive.deployment.start_process(name)
                for name in names:
                    self.drive.deployment.wait_listening(name)

    def _kill_entry(self, length: float, choice: float) -> None:
        self._killed("kill", [self._pick("entry", choice)], length)

    def _kill_agent(self, length: float, choice: float) -> None:
        self._killed("kill", [self._pick("agent", choice)], length)

    def _kill_both(self, length: float, choice: float) -> None:
        names = [self._pick("entry", choice), self._pick("agent", 1 - choice - 1e-9)]
        self._killed("kill", names, length)

    def _kill_host(self, length: float, choice: float) -> None:
        host = self._pick("agent", choice).partition("-")[2]
        self._killed("kill", [f"{kind}-{host}" for kind in ("agent", "worker", "backend")], length)

    def _paused(self, name: str, length: float) -> None:
        with self._only("pause", [name]) as free:
            if free:
                self.drive.deployment.pause(name)
                # Some pauses outlast the entry's and the tasks' leases.
                time.sleep(length * 1.5)
                self.drive.deployment.resume(name)

    def _pause_entry(self, length: float, choice: float) -> None:
        self._paused(self._pick("entry", choice), length)

    def _pause_agent(self, length: float, choice: float) -> None:
        self._paused(self._pick("agent", choice), length)

    def _silence(self, length: float, choice: float) -> None:
        name = self._pick("entry", choice)
        with self._only("silence", [name]) as free:
            if free:
                self.drive.deployment.relays[name].hold()

    def _store(self, length: float, choice: float) -> None:
        switches: list[dict[str, Any]] = [
            {"down": True},
            {"slow_ms": 700},
            {"lose_answers": 10},
            {"late_writes": 5},
            {"limits": {"writes_per_s": 8.0}},
        ]
        chosen = switches[int(choice * len(switches))]
        with self._only(f"store {chosen}", ["store"]) as free:
            if free:
                self.drive.deployment.faults("store", **chosen)
                time.sleep(length)
                self.drive.deployment.faults("store", **HEALED_STORE)

    def _take_out(self, length: float, choice: float) -> None:
        centres = self.drive.deployment.shape.data_centres
        name = centres[int(choice * len(centres))]
        with self._only("take out", [name]) as free:
            if not free:
                return
            code = self.drive.change(name, "out", 8.0)
            since = time.time()
            self._note(f"take-out of {name}: exit code {code}")
            time.sleep(length)
            until = time.time()
            if code == 0:
                self.drive.seen.outs.append(Period(name, since, until))
            wait_until(f"{name} is back", lambda: self._bring_back(name), HEAL_S)

    def _bring_back(self, name: str) -> bool:
        try:
            return self.drive.change(name, "in", 2.0) in (0, 3)
        except ApricotpathError:
            return False

    def _stopped(self, name: str, length: float) -> None:
        with self._only("stop", [name]) as free:
            if free:
                since = time.time()
                self.drive.deployment.terminate(name)
                time.sleep(length)
                until = time.time()
                self.drive.deployment.start_process(name)
                if name.startswith("agent"):
                    backend = name.replace("agent", "backend")
                    self.drive.seen.leaves.append(Period(backend, since, until))
                self.drive.deployment.wait_listening(name)

    def _stop_entry(self, length: float, choice: float) -> None:
        self._stopped(self._pick("entry", choice), length)

    def _stop_agent(self, length: float, choice: float) -> None:
        self._stopped(self._pick("agent", choice), length)

    def _backend(self, length: float, choice: float) -> None:
        chosen = ({"cut_body": True}, {"fail_all": True}, {"slow": 10.0})[int(choice * 3)]
        name = self._pick("backend", choice * 3 % 1)
        self._switched(name, chosen, {"cut_body": False, "fail_all": False, "slow": 1.0}, length)

    def _worker(self, length: float, choice: float) -> None:
        chosen: dict[str, Any] = (
            {"refuse_starts": True},
            {"slow_stop_s": 3.0},
            {"lose_answers": 20},
            {"checkpoint_fails": True},
        )[int(choice * 4)]
        healed = {
            "refuse_starts": False,
            "slow_stop_s": 0.0,
            "lose_answers": 0,
            "checkpoint_fails": False,
        }
        self._switched(self._pick("worker", choice * 4 % 1), chosen, healed, length)

    def _switched(
        self, name: str, chosen: dict[str, Any], healed: dict[str, Any], length: float
    ) -> None:
        with self._only(str(chosen), [name]) as free:
            if free:
                self.drive.deployment.faults(name, **chosen)
                time.sleep(length)
                self.drive.deployment.faults(name, **healed)

    # The end.

    def _heal(self) -> None:
        """Start what is down and wait until every process is ready."""
        deployment = self.drive.deployment
        self._note("healing")
        deployment.faults("store", **HEALED_STORE)
        for name, item in list(deployment.processes.items()):
            if item.process.poll() is None:
                deployment.resume(name)
            else:
                deployment.start_process(name)
        for name in deployment.processes:
            if name.startswith(("entry", "agent")):
                deployment.wait_ready(name)
        for name in deployment.shape.data_centres:
            wait_until(f"{name} is back", partial(self._bring_back, name), HEAL_S)
        self._note("healed")

    def _wait_jobs(self) -> None:
        deadline = time.monotonic() + JOBS_END_S
        for name in self.drive.jobs:
            try:
                state = self.drive.wait_job(name, max(1.0, deadline - time.monotonic()))
            except DeploymentError:
                shown = self.drive.job(name)
                self._fail("all accepted jobs end", f"{name} is still {shown}")
                continue
            if state not in ("finished", "cancelled"):
                self._fail("all accepted jobs end", f"{name} is {state}")

    def _wait_versions(self) -> None:
        count = self.drive.deployment.shape.entries + self.drive.deployment.shape.hosts
        try:
            wait_until(
                "all processes show the newest bundle",
                lambda: (found := self._versions()) and found == [self.version] * count,
                HEAL_S,
            )
        except DeploymentError:
            shown = f"{self.drive.versions()} instead of {self.version}"
            self._fail("R10 bundles spread and never revert", shown)
        envelopes = {str(answer.value) for answer in self.drive.entry_answers("/v1/bundle")}
        if len(envelopes) != 1:
            self._fail("R10 bundles spread and never revert", f"bundles differ: {envelopes}")


HEALED_STORE = {
    "down": False,
    "slow_ms": 0,
    "lose_answers": 0,
    "late_writes": 0,
    "limits": {"writes_per_s": 300.0},
}


def next_minute(ahead_s: float) -> datetime:
    """Return the first full minute in UTC that is at least `ahead_s` seconds away."""
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
    """Return a rule that keeps the last activity in the last data centre."""
    return {"activities": [shape.activities[-1]], "datacentres": [shape.data_centres[-1]]}


def bans_of(since: datetime, shape: Any) -> list[Ban]:
    """Return what `quiet_rule` and `placement_rule` forbid, as the judge takes it."""
    begin = since.timestamp()
    quiet = Ban(
        *(shape.data_centres[0], shape.activities[0], begin, begin + QUIET_MINUTES * 60),
    )
    elsewhere = shape.data_centres[:-1]
    return [quiet, *(Ban(name, shape.activities[-1], 0.0, float("inf")) for name in elsewhere)]


def apply_bundle(drive: Drive, bundle: dict[str, Any], name: Path) -> int:
    """Sign a bundle into files that begin with `name` and apply it; returns the exit code."""
    deployment = drive.deployment
    source, signed = name.with_suffix(".json"), name.with_suffix(".signed")
    source.write_text(json.dumps(bundle), encoding="utf-8")
    key = ("--key", str(deployment.key_path))
    deployment.cli("bundle", "sign", str(source), *key, "--out", str(signed))
    entries = [item for url in deployment.operator_urls() for item in ("--entry", url)]
    return deployment.run_cli("bundle", "apply", str(signed), *entries, *key).returncode


def run(shape: str, seed: int, seconds: float, folder: Path) -> Chaos:
    """Run once in a folder; raises DeploymentError if the deployment does not work at all."""
    deployment = Deployment(SHAPES[shape], folder, policy=POLICY, relayed=True)
    chaos = Chaos(Drive(deployment), seed, seconds)
    try:
        deployment.start(chaos.bundle(1))
        chaos.drive.seen.bans = bans_of(chaos.quiet_from, deployment.shape)
        chaos.drive.wait_bookable()
        chaos.run()
        if time.time() < chaos.quiet_from.timestamp():
            chaos.unjudged.append("R11: the quiet hours had not begun when the run ended")
    finally:
        deployment.stop()
        (folder / "faults.log").write_text("\n".join(chaos.log) + "\n", encoding="utf-8")
    return chaos


def report(chaos: Chaos) -> list[str]:
    """Return one line per row, and lines that say what the run covered."""
    seen = chaos.drive.seen
    outcomes: dict[str, int] = {}
    for call in seen.calls:
        outcomes[call.outcome] = outcomes.get(call.outcome, 0) + 1
    lines = [
        f"seed {chaos.seed}: {len(seen.calls)} calls {outcomes}, {len(chaos.drive.jobs)} jobs, "
        f"{len(seen.tasks)} attempts, {len(seen.in_force)} bundles, {len(seen.outs)} take-outs"
    ]
    for row in [*ROWS, "all accepted jobs end"]:
        found = chaos.problems.get(row, [])
        lines.append(f"{'VIOLATED' if found else 'held'}: {row}")
        lines += [f"  {text}" for text in found[:10]]
    return lines + [f"not judged: {text}" for text in chaos.unjudged]


def main(argv: list[str] | None = None) -> int:
    """Run and print the rows; returns 1 on a violation."""
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
