"""Steps for a deployment of real processes under faults."""

import atexit
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from datetime import timedelta
from pathlib import Path
from threading import Event, Thread
from typing import Any, ClassVar
from unittest.mock import patch

from behave import given, then, when

from apricotpath.errors import ApricotpathError
from apricotpath.ids import JobId
from apricotpath.jobs import shard_of
from apricotpath_bench.chaos import (
    NO_STORE_FAULTS,
    POLICY,
    apply_bundle,
    next_minute,
    quiet_rule,
    run,
)
from apricotpath_bench.deploy import Deployment, free_ports
from apricotpath_bench.drive import DeploymentDriver, wait_until
from apricotpath_bench.judge import (
    MAX_LEAVE_DELAY_S,
    MAX_TAKE_OUT_DELAY_S,
    Call,
    ForbiddenSpan,
    Period,
    check_invariants,
)
from apricotpath_bench.shapes import SMALL, bundle_of
from support.failurelogs import failure_logs

QUIET_AHEAD_S = 15.0
STREAM_INTERVAL_S = 0.15
SHARDS = 16
# By the process that shuts down. An agent waits for the answers, and its shutdown must outlast
# LEAVE_BOUND_S, the bound for new work at its backend server.
ANSWER_TIME_MS = {"an entry": 2500, "an agent": 8000}


class RunningProcesses:
    """Deployment shared by all scenarios of the feature; `get` first restores it."""

    shared: ClassVar["RunningProcesses | None"] = None

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        failure_logs.watch(Path(self.folder.name))
        policy = POLICY | {
            "task_lease_s": 4.0,
            "entry_lease_s": 3.0,
            "key_memory_s": 4.0,
            "shards": SHARDS,
        }
        self.deployment = Deployment(SMALL, Path(self.folder.name), policy=policy, relayed=True)
        atexit.register(self.close)
        # Without rate limits, since a newly started owner waits for its share of them.
        self.deployment.start(self.rules(1, 0.0))
        self.drive = DeploymentDriver(self.deployment)
        self.drive.start_sampling()
        self.version = 1
        self.number = 0
        self.calls: list[Future[Call]] = []
        self.codes: list[int] = []
        self.booking: Call | None = None
        self.key = ""
        self.streaming = Event()

    @staticmethod
    def rules(version: int, last_rate: float) -> dict[str, Any]:
        """Return a bundle in which only the last team has a rate limit."""
        rules = bundle_of(SMALL, version)
        for team in SMALL.teams:
            rules["teams"][team]["rate_per_s"] = 0.0
        rules["teams"][SMALL.teams[-1]]["rate_per_s"] = last_rate
        return rules

    @classmethod
    def get(cls) -> "RunningProcesses":
        if cls.shared is None:
            cls.shared = cls()
        cls.shared.reset()
        return cls.shared

    def close(self) -> None:
        self.deployment.stop()
        self.folder.cleanup()

    def reset(self) -> None:
        self.streaming.clear()
        self.deployment.set_faults("store", **NO_STORE_FAULTS)
        for name, item in list(self.deployment.processes.items()):
            if item.process.poll() is None:
                self.deployment.resume(name)
            else:
                self.deployment.start_process(name)
        for name in self.deployment.processes:
            if name.startswith(("entry", "agent")):
                self.deployment.wait_ready(name)
        for entry in (1, 2):
            self.drive.wait_until_keys_accepted(entry)

    def job(self, tasks: int, run_time_s: float, **changes: Any) -> str:
        self.number += 1
        name = f"job-{self.number}"
        size = {"cpu_milli": 1000, "memory_mb": 512, "accelerators": 0}
        job = {
            "job_id": name,
            "team": SMALL.teams[0],
            "activity": SMALL.activities[0],
            "size": size,
            "tasks": tasks,
            "run_time_s": run_time_s,
            "checkpoint_s": 0.1,
            "max_attempts": 50,
        }
        # A shard may briefly have no owner after the fault of an earlier scenario.
        wait_until("the job is accepted", lambda: self.accepts(job | changes))
        return name

    def accepts(self, job: dict[str, Any]) -> bool:
        with suppress(ApricotpathError):
            self.drive.submit(job)
            return True
        return False

    def runs(self, job: str) -> list[Any]:
        return [run for run in self.drive.collect().tasks if run.task.startswith(f"{job}/")]

    def start_job(self, tasks: int, run_time_s: float) -> None:
        self.current = self.job(tasks, run_time_s)
        wait_until("all tasks run", lambda: len(self.runs(self.current)) == tasks)

    def record_disturbance(self, names: list[str], act: Callable[[], Any]) -> None:
        """Run `act` and record its period, in which the named processes may have old bundles."""
        since = time.time()
        try:
            act()
        finally:
            for name in names:
                self.drive.record_disturbed_period(name, since)

    # Faults

    def inject_fault(self, fault: str) -> None:
        entry, host = self.owner(), self.runs(self.current)[0].worker.partition("-")[2]
        agent = f"agent-{host}"
        kills = {
            "kill of an entry": [entry],
            "kill of an agent": [agent],
            "kill of an entry and an agent": [entry, agent],
            "kill of a host": [agent, f"worker-{host}", f"backend-{host}"],
        }
        store: dict[str, dict[str, Any]] = {
            "a store that is down": {"down": True},
            "a store that is slow": {"slow_ms": 700},
            "a store that loses answers": {"lose_answers": 20},
            "a store that limits writes": {"limits": {"writes_per_s": 6.0}},
        }
        if fault in kills:
            self.record_disturbance(kills[fault], lambda: self.kill_and_start(kills[fault]))
        elif fault in store:
            self.deployment.set_faults("store", **store[fault])
            self.record_disturbance([], lambda: self.wait_ended(3))
        elif fault == "silent connections":
            self.silence()
        elif fault == "a restart of everything without store":
            self.restart_everything()
        elif fault == "pause of an agent past the task leases":
            self.record_disturbance(
                [agent], lambda: self.pause(agent, lambda: self.leases_ended(host))
            )
        else:
            self.record_disturbance([entry], lambda: self.pause(entry, self.entry_gone))

    def kill_and_start(self, names: list[str]) -> None:
        for name in names:
            self.drive.kill(name)
        for name in names:
            self.deployment.start_process(name)
        for name in names:
            self.deployment.wait_listening(name)

    def wait_ended(self, count: int) -> None:
        wait_until(
            "some tasks end",
            lambda: sum(run.ended is not None for run in self.runs(self.current)) >= count,
        )

    def owner(self) -> str:
        """Return the entry that owns the shard of the job."""
        shard = shard_of(JobId(self.current), SHARDS)
        for number, answer in enumerate(self.drive.entry_answers("/v1/debug"), 1):
            rows = answer.value["owner"]["shards"] if answer.error is None else []
            if shard in [row["shard"] for row in rows]:
                return f"entry-{number}"
        raise AssertionError("no entry owns the job")

    def leases_ended(self, host: str) -> bool:
        runs = [run for run in self.runs(self.current) if run.worker == f"worker-{host}"]
        return all(run.outcome == "lease-expired" for run in runs)

    def entry_gone(self) -> bool:
        answers = self.drive.entry_answers("/v1/status")
        return any(answer.error is None and answer.value["shards"] == 16 for answer in answers)

    def pause(self, name: str, until: Callable[[], bool]) -> None:
        self.deployment.pause(name)
        try:
            wait_until(f"{name} has been paused for long enough", until)
        finally:
            self.deployment.resume(name)

    def silence(self) -> None:
        names = [f"agent-{host}" for host in self.deployment.host_names()]

        def act() -> None:
            held = [relay.silence_connections() for relay in self.deployment.relays.values()]
            assert sum(held) >= SMALL.hosts * SMALL.entries, held

        self.record_disturbance(names, act)

    def restart_everything(self) -> None:
        names = [name for name in self.deployment.processes if name.startswith(("entry", "agent"))]

        def act() -> None:
            self.deployment.set_faults("store", down=True)
            self.kill_and_start(names)
            wait_until("tasks lose their leases or end", lambda: self.all_ended())
            self.deployment.set_faults("store", down=False)
            for name in names:
                self.deployment.wait_ready(name)

        self.record_disturbance(names, act)

    def all_ended(self) -> bool:
        return all(run.ended is not None for run in self.runs(self.current))

    # Bookings

    def book(self, fault: str) -> None:
        self.number += 1
        self.key = f"booking-{self.number}-{time.time()}"
        first = self.drive.call_later(1, self.drive.keyed_class(), self.key, 1500)
        path = wait_until("the booking runs", self.booking_run).path
        host = next(run.backend for run in self.drive.read_requests() if run.path == path)
        agent = host.replace("backend", "agent")
        if fault == "a kill of its entry":
            self.record_disturbance(["entry-1"], lambda: self.drive.kill("entry-1"))
        elif fault == "silence on all connections":
            self.silence()
        else:
            self.record_disturbance([agent], lambda: self.kill_and_start([agent]))
        self.calls = [first]

    def booking_run(self) -> Any:
        return next((run for run in self.drive.read_requests() if run.key == self.key), None)

    def resend_booking(self) -> None:
        """Send the booking again until the entry reaches the key's agents.

        The booking is running, so the outcome "not-run" would always be false.
        """

        def resend() -> Call | None:
            call = self.drive.call(2, self.drive.keyed_class(), self.key, 1500)
            assert call.outcome != "not-run", call
            return call if call.reason != "key-not-reserved" else None

        self.booking = wait_until("the key's agents are reached", resend)

    # Data centres out of service

    def stream(self) -> None:
        """Submit short one-task jobs for a data centre until `streaming` is cleared."""
        self.streaming.set()
        begun = time.time()

        def submit() -> None:
            while self.streaming.is_set():
                with suppress(ApricotpathError):
                    self.job(1, 0.2, data_centres=[SMALL.data_centres[0]])
                time.sleep(STREAM_INTERVAL_S)

        Thread(target=submit, daemon=True).start()
        wait_until("tasks start", lambda: len(self.starts(begun)) >= 3)

    def starts(self, since: float) -> list[float]:
        centre = SMALL.data_centres[0]
        tasks = self.drive.collect().tasks
        return [run.started for run in tasks if run.data_centre == centre and run.started > since]

    def take_out(self, fault: str) -> None:
        centre = SMALL.data_centres[0]
        store_out, paused = "store out" in fault, "entry paused" in fault
        since = time.time()
        if store_out:
            self.deployment.set_faults("store", down=True)
        if paused:
            self.deployment.pause("entry-2")
        taken_out_at = time.time()
        if "racing" in fault:
            self.race_bring_back(centre)
            taken_out_at = time.time()
        self.code = self.drive.set_service_state(centre, "out", 0.0)
        self.accepted_at = time.time()
        # Waits longer than the bound, to detect late starts.
        time.sleep(MAX_TAKE_OUT_DELAY_S + 2.0)
        self.taken_out_at, self.watched_until = taken_out_at, time.time()
        self.deployment.set_faults("store", down=False)
        self.deployment.resume("entry-2")
        self.drive.record_disturbed_period("entry-2", since)
        self.drive.observations.take_outs.append(
            Period(centre, self.accepted_at + MAX_TAKE_OUT_DELAY_S, self.watched_until)
        )
        # A race may stop all starts at once, so the starts before it are counted too.
        self.before = [at for at in self.starts(since - 10) if at < self.accepted_at]
        wait_until("the data centre is back", lambda: self.bring_back(centre))

    def race_bring_back(self, centre: str) -> None:
        def attempt(state: str) -> None:
            with suppress(ApricotpathError):
                self.drive.set_service_state(centre, state, 0.0)

        with ThreadPoolExecutor(4) as pool:
            list(pool.map(attempt, ["out", "in", "out", "in"]))

    def bring_back(self, centre: str) -> bool:
        with suppress(ApricotpathError):
            return self.drive.set_service_state(centre, "in", 2.0) in (0, 3)
        return False

    # Shutdown

    def shut_down(self, process: str) -> None:
        cls, before = self.drive.idempotent_class(), {r.path for r in self.drive.read_requests()}
        work_ms = ANSWER_TIME_MS[process]
        self.calls = [self.drive.call_later(1, cls, "", work_ms, 300_000) for _ in range(12)]

        def running() -> list[Any]:
            return [run for run in self.drive.read_requests() if run.path not in before]

        wait_until("all requests run", lambda: len({run.path for run in running()}) == 12)
        backend = running()[0].backend
        name = "entry-1" if process == "an entry" else backend.replace("backend", "agent")
        terminated, since = Event(), time.time()

        def keep_calling() -> None:
            while not terminated.wait(0.1):
                self.drive.call(2, cls)

        caller = Thread(target=keep_calling)
        caller.start()
        try:
            code = self.deployment.terminate(name)
        finally:
            terminated.set()
            caller.join()
        assert code == 0, self.deployment.log_of(name)[-2000:]
        if process == "an agent":
            lasted = time.time() - since
            assert lasted > MAX_LEAVE_DELAY_S + 1.0, lasted
            self.drive.observations.shutdowns.append(Period(backend, since, time.time()))
        self.drive.record_disturbed_period(name, since)

    # Bundles and quiet hours

    def race_bundles(self) -> None:
        self.version += 1
        with ThreadPoolExecutor(2) as pool:
            self.codes = list(pool.map(self.apply, ("a", "b")))
        self.applied_at = time.time()

    def apply(self, operator: str, **changes: Any) -> int:
        rules = self.rules(self.version, float(operator == "a")) | changes
        path = self.deployment.folder / f"bundle-{self.version}-{operator}"
        return apply_bundle(self.drive, rules, path)

    def check_race(self) -> None:
        assert sorted(self.codes) == [0, 1], self.codes
        self.drive.observations.in_force.append((self.version, self.applied_at))
        remaining_s = self.applied_at + 5.0 - time.time()
        count = SMALL.entries + SMALL.hosts
        wait_until(
            "all processes show the version",
            lambda: [*self.drive.versions().values()] == [self.version] * count,
            remaining_s,
        )
        envelopes = {str(answer.value) for answer in self.drive.entry_answers("/v1/bundle")}
        assert len(envelopes) == 1, envelopes

    def start_quiet_hours(self) -> None:
        begin = next_minute(QUIET_AHEAD_S)
        self.version += 1
        assert self.apply("a", quiet_hours=[quiet_rule(begin, SMALL)]) == 0
        self.ban = ForbiddenSpan(
            SMALL.data_centres[0],
            SMALL.activities[0],
            begin.timestamp(),
            (begin + timedelta(minutes=30)).timestamp(),
        )
        self.drive.observations.forbidden.append(self.ban)
        # More tasks than fit on one host, so that both data centres get some.
        self.start_job(12, 120.0)
        time.sleep(max(0.0, begin.timestamp() + 5.0 - time.time()))

    def check_quiet(self) -> None:
        runs = [run for run in self.runs(self.current) if run.data_centre == SMALL.data_centres[0]]
        assert runs, "no task ran in the data centre before the quiet hours"
        assert {run.outcome for run in runs} <= {"evicted"}, runs
        self.drive.cancel(self.current)
        self.version += 1
        assert self.apply("a") == 0
        self.drive.observations.forbidden.remove(self.ban)

    def violations(self) -> dict[str, Any]:
        return {
            row: found for row, found in check_invariants(self.drive.collect()).items() if found
        }


@given("running processes")
def step_running(context):
    context.processes = RunningProcesses.get()
    context.add_cleanup(context.processes.streaming.clear)


@given("running processes with a job of {tasks:d} tasks that run for {seconds:g} seconds")
def step_running_job(context, tasks, seconds):
    context.processes = RunningProcesses.get()
    context.processes.start_job(tasks, seconds)


@given("running processes with a stream of jobs")
def step_running_stream(context):
    context.processes = RunningProcesses.get()
    context.add_cleanup(context.processes.streaming.clear)
    context.processes.stream()


@when("{fault} is injected into the processes")
def step_inject_fault(context, fault):
    context.processes.inject_fault(fault)


@then("the processes' job finishes")
def step_job_finishes(context):
    context.processes.deployment.set_faults("store", **NO_STORE_FAULTS)
    assert context.processes.drive.wait_job(context.processes.current) == "finished"


@then("the processes' records show no violation")
def step_no_violation(context):
    found = context.processes.violations()
    assert not found, found


@when("a booking is in flight at the processes and {fault} is injected")
def step_book(context, fault):
    context.processes.book(fault)


@when("the booking is sent again to the processes through another entry")
def step_book_again(context):
    context.processes.resend_booking()


@then("the processes answered it as {outcome}")
def step_booking_outcome(context, outcome):
    assert context.processes.booking.outcome == outcome, context.processes.booking


@then("the processes' backend servers recorded the booking once")
def step_booked_once(context):
    processes = context.processes
    runs = [run for run in processes.drive.read_requests() if run.key == processes.key]
    assert len(runs) == 1, runs


@when("a data centre of the processes is taken out with {fault}")
def step_take_out(context, fault):
    context.processes.take_out(fault)


@then("the processes' workers start no task there after 5 seconds")
def step_no_starts(context):
    processes = context.processes
    assert processes.before, "nothing had started there before the take-out"
    late = [
        at
        for at in processes.starts(processes.accepted_at + MAX_TAKE_OUT_DELAY_S)
        if at < processes.watched_until
    ]
    assert not late, [at - processes.accepted_at for at in late]


@when("{process} of the processes shuts down with 12 long answers in flight")
def step_shut_down(context, process):
    context.processes.shut_down(process)


@then("the processes answered all of them")
def step_all_answered(context):
    calls = [future.result() for future in context.processes.calls]
    assert all(call.outcome == "answered" and call.status == 200 for call in calls), calls


class PortsOnlyDeployment(Deployment):
    """A deployment that opens its relays but starts no process."""

    def cli(self, *arguments: str) -> str:
        return '{"public_key": "none"}'

    def start_process(self, name: str) -> None:
        pass

    def apply_bundle(self, bundle: dict[str, Any]) -> str:
        return ""


@when("the ports of processes with relays are chosen")
def step_choose_ports(context):
    chosen: list[int] = []

    def choose(count: int) -> list[int]:
        chosen.extend(free_ports(count))
        return chosen

    with tempfile.TemporaryDirectory() as folder:
        deployment = PortsOnlyDeployment(SMALL, Path(folder), relayed=True)
        context.add_cleanup(deployment.stop)
        with patch("apricotpath_bench.deploy.free_ports", choose):
            deployment.start()
    context.chosen_ports, context.ports_only = chosen, deployment


@then("the relays of the processes listen on ports that were chosen for them alone")
def step_relay_ports(context):
    relays = [relay.port for relay in context.ports_only.relays.values()]
    assert len(relays) == SMALL.entries
    assert set(relays) <= set(context.chosen_ports), (relays, context.chosen_ports)
    assert len(context.chosen_ports) == len(set(context.chosen_ports))
    names = [name for name, port in context.ports_only.ports.items() if port in relays]
    assert names == [f"{name}-relay" for name in context.ports_only.relays], names


@when("two operators apply different bundles of one version to the processes")
def step_race_bundles(context):
    context.processes.race_bundles()


@then("one of the bundles is accepted and all processes show it within 5 seconds")
def step_check_race(context):
    context.processes.check_race()


@when("quiet hours begin at the processes while a long job runs in two data centres")
def step_quiet(context):
    context.processes.start_quiet_hours()


@then("the processes' workers run none of its tasks in the quiet data centre")
def step_check_quiet(context):
    context.processes.check_quiet()


@when("processes go through a mixed run of {seconds:g} seconds with seed {seed:d}")
def step_mixed_run(context, seconds, seed):
    with tempfile.TemporaryDirectory() as folder:
        context.processes_run = run("small", seed, seconds, Path(folder))


@then("every row of the processes' mixed run holds")
def step_mixed_rows(context):
    chaos = context.processes_run
    assert not chaos.problems, (chaos.problems, chaos.log)
