"""Steps for platformpath.feature."""

import atexit
import contextlib
import io
import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import Any, ClassVar

import httpx
from behave import given, then, when

from apricotpath.store import Delete, Put
from apricotpath_cli.cmdline import main as run_command
from apricotpath_cli.logtimeline import read_logs, timeline
from support.oddvalues import (
    HEARTBEAT,
    NOT_A_RECORD,
    ODD_ENDED,
    ODD_ENTRIES,
    ODD_HEARTBEATS,
    ODD_JOBS,
    ODD_LEADERS,
    ODD_LOG_ENTRIES,
    ODD_RUNNING,
    ODD_SUBMISSIONS,
    raw_object,
)
from support.platformworld import PREFIX, PlatformWorld, configuration

CPU = {"cpu": 500, "memMb": 64, "estRuntimeMs": 500}
QUEUE = configuration(1)["routes"][0]["name"]
NEW_QUEUE = "/second/"
# A term that has lasted so long may be handed over.
SETTLED_S = 4.5
# How long one entry gets no answers from the store.
SILENCE_S = 3.0


class RunningPlatform:
    """Deployment shared by all scenarios of the feature; `get` first restores all processes."""

    shared: ClassVar["RunningPlatform | None"] = None

    def __init__(self) -> None:
        self.world = PlatformWorld()
        atexit.register(self.world.close)
        self.world.start()
        self.number = 0
        self.job = self.deadly_job = ""
        self.answer: httpx.Response | None = None
        self.version = 3

    @classmethod
    def get(cls) -> "RunningPlatform":
        if cls.shared is None:
            cls.shared = cls()
        cls.shared.reset()
        return cls.shared

    def reset(self) -> None:
        world = self.world
        world.behaviour.seconds = 0.5
        world.behaviour.deadly.clear()
        world.store.mode, world.store.lose_answers = "", 0
        world.store.silent_ports.clear()
        for name, process in world.processes.items():
            if process.poll() is not None:
                world.run(name)
        world.wait(lambda: all(world.ready(name) for name in world.settings if "front" in name))
        # A process that was started again may not have opened its status port yet.
        world.wait(lambda: all(world.serves_status(name) for name in world.settings))
        # Only a scheduler with attached hosts completes this job.
        self.submit("front-1", 1)
        world.wait(lambda: world.state("front-1", self.job) == "completed")

    def submit(self, entry: str, *counts: int) -> None:
        self.number += 1
        self.job = f"{self.number:016x}"
        steps = [CPU | {"count": count} for count in counts]
        for number in range(1, len(steps)):
            steps[number]["after"] = [number - 1]  # type: ignore[assignment]
        body = {"spec": "bake", "steps": steps}
        self.answer = self.world.call(entry, "POST", PREFIX + self.job, body)

    def runs_of(self, job: str) -> list[tuple[str, float, float]]:
        """Return (task, start, end) of all started runs of a job; end is inf while it runs."""
        found = []
        for executor in self.world.executors.values():
            model = executor.model
            self.world.portal.call(model.process_due)
            found += [(task, a, b) for task, _, a, b in model.history if task.startswith(job)]
            active = model.runs.values()
            began = model.began
            found += [
                (run.task, began[run.task, run.run], float("inf"))
                for run in active
                if run.task.startswith(job)
            ]
        return found

    def starts(self) -> int:
        """Return how many tasks the executors have started."""
        return sum(len(executor.model.starts) for executor in self.world.executors.values())

    def scheduler(self) -> str:
        """Return the entry that was elected most recently."""
        item = self.world.shared.items["apricotpath/ctl/leader"]
        return next(name for name in self.world.settings if name in item.value.decode())


def running(context: Any) -> RunningPlatform:
    found: RunningPlatform = context.platform
    return found


@given("the platformpath's processes are running")
def processes(context: Any) -> None:
    context.platform = RunningPlatform.get()


@given("tasks of platformpath take {seconds:d} seconds")
def set_task_duration(context: Any, seconds: int) -> None:
    running(context).world.behaviour.seconds = seconds


@when("a client submits a job of steps {first:d} and {second:d} at platformpath's {entry}")
def submit_job(context: Any, first: int, second: int, entry: str) -> None:
    running(context).submit(entry, first, second)


def bad_call(name: str) -> tuple[str, str, object]:
    """Return method, path and body of a call by its description."""
    job = PREFIX + "f" * 16
    step = CPU | {"count": 1}
    calls: dict[str, tuple[str, str, object]] = {
        "POST of a body that is not JSON": ("POST", job, b"{"),
        "POST of a step that waits for a later one": (
            "POST",
            job,
            {"spec": "", "steps": [step | {"after": [1]}, step]},
        ),
        "POST of a count that is a text": ("POST", job, {"steps": [step | {"count": "x"}]}),
        "POST of a body beyond the limit": ("POST", job, b"x" * 300_000),
        "POST to a queue that is not configured": ("POST", "/none/" + "f" * 16, {}),
        "GET of a job that nobody submitted": ("GET", job, None),
        "DELETE of a job that nobody submitted": ("DELETE", job, None),
        "GET of the queue": ("GET", PREFIX, None),
    }
    return calls[name]


@when("a client makes the call {name} at platformpath's front-1")
def make_call(context: Any, name: str) -> None:
    run = running(context)
    method, path, body = bad_call(name)
    run.answer = run.world.call("front-1", method, path, body)


@then("platformpath answers {status:d}")
def answers(context: Any, status: int) -> None:
    answer = running(context).answer
    assert answer is not None
    assert answer.status_code == status, (answer.status_code, answer.text)
    if status == 503:
        assert "retry-after" in answer.headers


@then("platformpath's {entry} shows the job as {state} within {seconds:d} seconds")
def shows(context: Any, entry: str, state: str, seconds: int) -> None:
    run = running(context)
    run.world.wait(lambda: run.world.state(entry, run.job) == state, seconds)


@then("platformpath shows the job as completed within {seconds:d} seconds")
def shown_anywhere(context: Any, seconds: int) -> None:
    run = running(context)

    def shown() -> bool:
        for name in ("front-1", "front-2"):
            try:
                if run.world.state(name, run.job) == "completed":
                    return True
            except httpx.HTTPError:
                continue
        return False

    try:
        run.world.wait(shown, seconds)
    except AssertionError as exc:
        answer = run.answer and (run.answer.status_code, run.answer.text)
        raise AssertionError(f"its submission was answered {answer}; {exc}") from exc


@then("platformpath's executors ran {count:d} tasks once each")
def ran_once(context: Any, count: int) -> None:
    run = running(context)
    tasks = [task for task, _, _ in run.runs_of(run.job)]
    assert len(tasks) == len(set(tasks)) == count, tasks


@when("tasks of the job run at platformpath's executors")
def tasks_run(context: Any) -> None:
    run = running(context)
    run.world.wait(lambda: bool(run.runs_of(run.job)), 5)


@when("a client cancels the job at platformpath's {entry}")
def cancels(context: Any, entry: str) -> None:
    run = running(context)
    run.answer = run.world.call(entry, "DELETE", PREFIX + run.job)
    assert run.answer.status_code == 200


@then("nothing runs at platformpath's executors within {seconds:d} seconds")
def nothing_runs(context: Any, seconds: int) -> None:
    run = running(context)
    run.world.wait(lambda: all(end < float("inf") for _, _, end in run.runs_of(run.job)), seconds)


@then("nothing has started at platformpath's executors {seconds:d} seconds later")
def nothing_began(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    run = running(context)
    assert run.runs_of(run.job) == []


@when("platformpath's operator adds a queue in version {version:d}")
def add_queue(context: Any, version: int) -> None:
    queues = (PREFIX, NEW_QUEUE)
    running(context).world.write_as_operator("op/config", configuration(version, queues))


@when("platformpath's operator writes version {version:d} without the new queue")
def older_version(context: Any, version: int) -> None:
    running(context).world.write_as_operator("op/config", configuration(version))


def accepted(run: RunningPlatform) -> bool:
    """Tell whether both entries accept a job in the new queue."""
    body = {"spec": "bake", "steps": [CPU | {"count": 1}]}
    codes = []
    for entry in ("front-1", "front-2"):
        run.number += 1
        path = f"{NEW_QUEUE}{run.number:016x}"
        codes.append(run.world.call(entry, "POST", path, body).status_code)
    return codes == [200, 200]


@then("both entries of platformpath accept a job in the new queue within 2 seconds")
def new_queue(context: Any) -> None:
    run = running(context)
    run.world.wait(lambda: accepted(run), 2)


@then("both entries of platformpath still accept a job in the new queue a second later")
def still_accepted(context: Any) -> None:
    time.sleep(1)
    assert accepted(running(context))


@when("platformpath's operator takes the zone {action:w}")
def change_zone(context: Any, action: str) -> None:
    running(context).world.write_as_operator("op/evacuate/z1", {} if action == "out" else None)
    time.sleep(0.5)


def kill_scheduler(run: RunningPlatform) -> None:
    run.world.end(run.scheduler())


def stop_scheduler(run: RunningPlatform) -> None:
    assert run.world.end(run.scheduler(), signal.SIGTERM) == 0


def restart_agent(run: RunningPlatform) -> None:
    run.world.end("side-1")
    time.sleep(0.5)
    run.world.run("side-1")


def crash_executor(run: RunningPlatform) -> None:
    run.world.portal.call(run.world.executors["side-1"].model.crash)


def store_mode(mode: str) -> Callable[[RunningPlatform], None]:
    def act(run: RunningPlatform) -> None:
        run.world.store.mode = mode
        time.sleep(3)
        run.world.store.mode = ""

    return act


def forget_history(run: RunningPlatform) -> None:
    run.world.portal.call(run.world.shared.forget_history)


def lose_answers(run: RunningPlatform) -> None:
    run.world.store.lose_answers = 3


FAULTS: dict[str, Callable[[RunningPlatform], None]] = {
    "the scheduler is killed": kill_scheduler,
    "the scheduler is told to stop": stop_scheduler,
    "an agent is killed and started again": restart_agent,
    "an executor crashes": crash_executor,
    "the store is silent for 3 seconds": store_mode("silent"),
    "the store refuses calls for 3 seconds": store_mode("busy"),
    "the store loses its history": forget_history,
    "answers of the store are lost": lose_answers,
}


@when("{count:d} more entries of platformpath are started")
def more_entries(context: Any, count: int) -> None:
    world = running(context).world
    names = [f"front-more-{number}" for number in range(count)]
    for name in names:
        world.add_entry(name)
    world.wait(lambda: all(world.ready(name) for name in names))


@then("each agent of platformpath keeps at most {most:d} links, one of them to the scheduler")
def few_links(context: Any, most: int) -> None:
    run = running(context)

    def settled() -> bool:
        for name in run.world.settings:
            if "side" in name:
                state = run.world.status(name, "/debug").json()
                attached = state["fence"] is not None and state["leader"] == run.scheduler()
                if not attached or len(state["links"]) > most:
                    return False
        return True

    run.world.wait(settled)


@when("{fault} at platformpath")
def make_fault(context: Any, fault: str) -> None:
    run = running(context)
    run.world.wait(lambda: bool(run.runs_of(run.job)), 5)
    FAULTS[fault](run)


@given("crashed executors of platformpath {form} and are back {restart_s:g} seconds later")
def set_crashes(context: Any, form: str, restart_s: float) -> None:
    behaviour = running(context).world.behaviour
    behaviour.silent_share = {"refuse connections": 0.0, "answer nothing": 1.0}[form]
    behaviour.restart_s = restart_s


@when("a client submits a job of {count:d} tasks of which one is deadly at platformpath's {entry}")
def submit_deadly(context: Any, count: int, entry: str) -> None:
    run = running(context)
    run.world.behaviour.deadly.add(f"{run.number + 1:016x}.0.0.0")
    run.submit(entry, count)
    run.deadly_job = run.job


@then("platformpath shows the job with the deadly task as failed within {seconds:d} seconds")
def shown_as_failed(context: Any, seconds: int) -> None:
    run = running(context)
    run.world.wait(lambda: run.world.state("front-1", run.deadly_job) == "failed", seconds)


@then("the deadly task of platformpath has crashed 1 to {most:d} executors")
def deadly_crashes(context: Any, most: int) -> None:
    run = running(context)
    crashes = [crash for app in run.world.executors.values() for crash in app.model.crashes]
    count = sum(str(crash.task).startswith(run.deadly_job) for crash in crashes)
    assert 0 < count <= most, count


@then("no task of platformpath had two runs at the same time")
def once_at_a_time(context: Any) -> None:
    run = running(context)
    spans: dict[str, list[tuple[float, float]]] = {}
    for task, began, ended in run.runs_of(run.job):
        spans.setdefault(task, []).append((began, ended))
    for task, found in spans.items():
        found.sort()
        for (_, ended), (began, _) in pairwise(found):
            assert ended <= began, (task, found)


@when("the store of platformpath {action}")
def change_store_mode(context: Any, action: str) -> None:
    run = running(context)
    run.world.store.mode = "busy" if action == "refuses all calls" else ""
    # Entries notice at their next store call, at the latest when they renew a lease.
    time.sleep(1.2)


def accepted_handovers(run: RunningPlatform) -> int:
    """Return how many handovers entries have accepted."""
    logs = [run.world.log(name) for name in run.world.settings if "front" in name]
    return sum(log.count("handover accepted") for log in logs)


@when(
    "only the scheduler of platformpath gets no answer from the store, "
    "{most:d} times at most until it has handed over"
)
def silence_for_scheduler(context: Any, most: int) -> None:
    # Beside load, the other entries may answer too late, and the store lease ends instead.
    run = running(context)
    silent = run.world.store.silent_ports
    before = accepted_handovers(run)
    for _ in range(most):
        time.sleep(SETTLED_S)
        former = run.scheduler()
        silent.add(run.world.store_ports[former])
        run.world.wait(lambda former=former: run.scheduler() != former, 10)  # type: ignore[misc]
        time.sleep(SILENCE_S)
        silent.clear()
        if accepted_handovers(run) > before:
            return
    raise AssertionError(f"no scheduler has handed over in {most} attempts")


@then("the job is not known at platformpath's front-2 {seconds:d} seconds later")
def not_known(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    run = running(context)
    assert run.world.state("front-2", run.job) == "410"
    assert run.runs_of(run.job) == []


@when("platformpath's processes get SIGHUP and malformed heartbeats")
def send_sighup(context: Any) -> None:
    run = running(context)
    control = run.world.settings["side-1"]["listen"]["control"]
    for body in (b"\xff", b"[]", b'{"service":7}', b'{"service":"other","state":"ready"}'):
        url = f"http://{control}/instances/i-x"
        assert httpx.put(url, content=body, timeout=2, trust_env=False).status_code == 400
    for process in run.world.processes.values():
        process.send_signal(signal.SIGHUP)


@then("all processes of platformpath still run and have logged that they read the settings again")
def still_run(context: Any) -> None:
    world = running(context).world
    world.wait(lambda: all("settings read again" in world.log(name) for name in world.processes), 5)
    assert all(process.poll() is None for process in world.processes.values())


@when("platformpath's agent {name} is told to stop")
def stop_agent(context: Any, name: str) -> None:
    context.code = running(context).world.end(name, signal.SIGTERM)


@then("it has exited with code 0")
def ended(context: Any) -> None:
    assert context.code == 0, context.code


@then("the answer of platformpath names the job, and the log of the entry gives the reason")
def check_named_job(context: Any) -> None:
    case = running(context)
    assert case.answer is not None
    body = case.answer.json()
    assert body["job"] == case.job and body["error"], body

    def logged() -> bool:
        lines = [line for line in case.world.log(body["entry"]).splitlines() if case.job in line]
        return any("call not served" in line and body["error"] in line for line in lines)

    # A separate thread writes the log, so the line may come later than the answer.
    case.world.wait(logged, 2)


@then("the metrics of platformpath count the job and its 3 runs")
def counted(context: Any) -> None:
    case = running(context)
    texts = {name: case.world.status(name, "/metrics").text for name in case.world.settings}
    scheduler = texts[case.scheduler()]
    assert 'apricotpath_job_seconds_count{progress="completed"' in scheduler, scheduler
    ended = next(
        line
        for line in scheduler.splitlines()
        if line.startswith("apricotpath_runs_ended_total") and 'result="done"' in line
    )
    assert float(ended.split()[-1]) >= 3, ended
    assert "apricotpath_job_calls_total" in texts["front-1"]
    assert "apricotpath_link_frames" in scheduler and "apricotpath_cpu_seconds" in scheduler
    assert 'call="run-start"' in "".join(texts[name] for name in texts if "side" in name)


class DryRunCommand:
    """Asks entries of platformpath with the operators' command, and keeps what it prints."""

    def __init__(self, case: RunningPlatform, entries: list[str]) -> None:
        ports = [case.world.status_ports[name] for name in entries]
        args = ["dry-run", str(self._job_file(case)), "--queue", QUEUE, "--json"]
        for port in ports:
            args += ["--entry", f"http://127.0.0.1:{port}"]
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            self.code = run_command(args)
        self.out, self.err = out.getvalue(), err.getvalue()

    @staticmethod
    def _job_file(case: RunningPlatform) -> Path:
        path = case.world.folder / "dry-run.json"
        path.write_text(json.dumps({"steps": [{"count": 2, "cpu": 100, "memMb": 1}]}))
        return path


@when("the dry-run command asks all entries of platformpath about a job of 2 tasks")
def ask_entries(context: Any) -> None:
    case = running(context)
    names = [name for name in case.world.settings if name.startswith("front")]
    context.fronts = sorted(names, key=lambda name: name == case.scheduler())
    context.starts = case.starts()
    context.dry_run = DryRunCommand(case, context.fronts)


@then("platformpath's scheduler has answered that both start now")
def scheduler_answered(context: Any) -> None:
    found = context.dry_run
    assert found.code == 0, (found.code, found.out, found.err)
    answer = json.loads(found.out)
    assert (answer["outcome"], answer["entry"]) == ("placed", context.fronts[-1]), answer
    assert answer["steps"][0]["starts"] == 2 and answer["configuration"] > 0, answer


@then("platformpath's other entry alone answers with the name of the scheduler")
def other_answered(context: Any) -> None:
    found = DryRunCommand(running(context), context.fronts[:1])
    assert found.code == 1, (found.code, found.out, found.err)
    assert f"this entry does not schedule; ask {context.fronts[-1]}" in found.err, found.err


@then("no task of platformpath has started since the dry runs, {seconds:d} seconds later")
def nothing_started(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    assert running(context).starts() == context.starts > 0


@then("each process of platformpath shows its state and that it is ready")
def shows_state(context: Any) -> None:
    world = running(context).world
    for name in world.settings:
        assert world.status(name, "/readyz").status_code == 200, name
        state = world.status(name, "/debug").json()
        assert state["incarnation"] and state["epoch"] > 0, state


@then("the logs of platformpath show the job's submission, run, new scheduler and end in order")
def check_timeline(context: Any) -> None:
    case = running(context)
    files = [str(case.world.folder / f"{name}.log") for name in case.world.settings]
    lines = sorted(read_logs(files), key=lambda line: str(line["time"]))
    texts = [line["text"] for line in timeline(lines, case.job)]
    wanted = ["job submitted", "run ordered", "scheduler elected", "run ended", "job ended"]
    places = [texts.index(text) for text in wanted]
    assert places == sorted(places), texts


@when("a process of platformpath is started with the status port {port:d}")
def started_with(context: Any, port: int) -> None:
    world = running(context).world
    path = world.folder / "front-1.json"
    context.ended_process = subprocess.run(
        [
            *(sys.executable, "-m", "apricotpath_platform", "entry"),
            *("--settings", str(path), "--status-port", str(port)),
        ],
        capture_output=True,
        text=True,
        timeout=10,
    )


@then('it has failed with the sentence "{sentence}"')
def ended_with(context: Any, sentence: str) -> None:
    result = context.ended_process
    assert result.returncode != 0 and sentence in result.stderr, result
    assert "Traceback" not in result.stderr, result.stderr


def write_raw(run: RunningPlatform, key: str, value: bytes | None) -> None:
    change: Put | Delete = Delete(key) if value is None else Put(key, value)
    run.world.portal.call(run.world.shared.apply, [], [change])


@when("malformed records of all kinds are left in platformpath's store")
def leave_records(context: Any) -> None:
    run = running(context)
    records = {
        f"{kind}odd-{number}": value
        for kind, values in {
            "apricotpath/ctl/entry/": ODD_ENTRIES,
            "apricotpath/ctl/": ODD_LEADERS,
            "apricotpath/jobs/job/": ODD_JOBS,
            "apricotpath/jobs/cancel/": NOT_A_RECORD,
            "apricotpath/runs/log/": ODD_LOG_ENTRIES,
            "apricotpath/runs/parts/": ODD_LOG_ENTRIES,
            "op/": NOT_A_RECORD,
        }.items()
        for number, value in enumerate(values.values())
    }
    for key, value in records.items():
        write_raw(run, key, value)
    for key, value in (("leader", b""), ("epoch", 100_000 * b"["), ("epoch", b"{}")):
        write_raw(run, f"apricotpath/ctl/{key}", value)
        time.sleep(0.3)
    context.add_cleanup(lambda: [write_raw(run, key, None) for key in records])


@when("the scheduler and an agent of platformpath are killed, and the agent is started again")
def kill_two(context: Any) -> None:
    run = running(context)
    items, key = run.world.shared.items, "apricotpath/ctl/leader"
    run.world.wait(lambda: key in items and b'"entry"' in items[key].value)
    context.killed = run.scheduler()
    run.world.end(context.killed)
    restart_agent(run)


@when("a client submits a job of steps {first:d} and {second:d} at a live front of platformpath")
def submit_anywhere(context: Any, first: int, second: int) -> None:
    run = running(context)
    live = [
        name
        for name, process in run.world.processes.items()
        if "front" in name and process.poll() is None
    ]
    run.submit(live[0], first, second)


@when("a client submits a job of steps {first:d} and {second:d} at the scheduler of platformpath")
def submit_at_scheduler(context: Any, first: int, second: int) -> None:
    run = running(context)
    run.submit(run.scheduler(), first, second)


@then("each process of platformpath that was not killed still runs")
def run_on(context: Any) -> None:
    killed = getattr(context, "killed", "")
    codes = {name: process.poll() for name, process in running(context).world.processes.items()}
    ended = {name for name, code in codes.items() if code is not None and name != killed}
    assert not ended, {name: running(context).world.log(name)[-2000:] for name in ended}


@when("platformpath's agents get each malformed heartbeat")
def odd_heartbeats(context: Any) -> None:
    run = running(context)
    valid = raw_object(HEARTBEAT | {"born": "9000000000000000000"})
    for name in ("side-1", "side-2"):
        control = run.world.settings[name]["listen"]["control"]
        posts = [(f"i-{name}", body) for body in ODD_HEARTBEATS.values()]
        posts += [(path, valid) for path in ("i-%C3%A9", "i%201", "i%0A1", "", "i-odd")]
        for instance, body in posts:
            url = f"http://{control}/instances/{instance}"
            httpx.put(url, content=body, timeout=2, trust_env=False)
        time.sleep(1.0)


@when("platformpath's executor of {name} shuts down")
def shut_down_executor(context: Any, name: str) -> None:
    world = running(context).world
    world.shut_down_executor(name)

    def restart() -> None:
        world.portal.call(world.executors[name].model.crash)
        world.start_executor(name)

    context.add_cleanup(restart)


@then("platformpath's agent {name} knows within {seconds:d} seconds that its executor has ended")
def knows_end(context: Any, name: str, seconds: int) -> None:
    world = running(context).world
    world.wait(lambda: world.status(name, "/debug").json()["executor_phase"] == "ended", seconds)


@when("platformpath's executor of {name} begins to drain")
def begin_drain(context: Any, name: str) -> None:
    executor = running(context).world.executors[name]
    executor.state = "draining"

    def restore() -> None:
        executor.state = "ready"

    context.add_cleanup(restore)


@then("platformpath's agent {name} knows within {seconds:d} seconds that its executor drains")
def knows_drain(context: Any, name: str, seconds: int) -> None:
    world = running(context).world
    world.wait(lambda: world.status(name, "/debug").json()["draining"] is True, seconds)


@when("platformpath's executors list malformed rows")
def list_odd_rows(context: Any) -> None:
    executors = running(context).world.executors.values()
    for executor in executors:
        executor.odd_running, executor.odd_ended = ODD_RUNNING, ODD_ENDED

    def restore() -> None:
        for executor in executors:
            executor.odd_running, executor.odd_ended = [], []

    context.add_cleanup(restore)


@when("a client posts each malformed job at platformpath's front-1")
def post_odd_jobs(context: Any) -> None:
    world = running(context).world
    context.statuses = {
        label: world.call("front-1", "POST", PREFIX + f"{number:015x}e", body).status_code
        for number, (label, body) in enumerate(ODD_SUBMISSIONS.items())
    }


@then("platformpath has refused each of them")
def refused_each(context: Any) -> None:
    accepted = {
        label: status for label, status in context.statuses.items() if status not in (400, 413)
    }
    assert not accepted, accepted
