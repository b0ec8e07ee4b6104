"""Steps for runtimes.feature."""

import re
from dataclasses import replace
from typing import Any

from behave import given, then, when

from apricotpath.fleet import Host
from apricotpath.forecasts import RUNS_PER_PASS, Forecasts, expected_end
from apricotpath.ids import HostId, JobId, QueueId
from apricotpath.jobrows import Run, RunPhase
from apricotpath.jobtable import JobTable
from apricotpath.model import Size
from apricotpath.runrecords import Assigned
from apricotpath.runtimes import RatioSummary, RunTimeRatios, RunTimes
from apricotpath.workload import Job, Step, TaskKey

NOW = 1000.0
STEP = Step(1, Size(1000, 100), estimate_s=2.0, image="oven")
RUNS_PER_HOST = 20


@given("runtimes of an image whose callers estimate 2 seconds")
def estimates(context: Any) -> None:
    context.times, context.now, context.asked = RunTimes(), NOW, STEP


@when("runtimes learn from {count:d} runs of 5 seconds, and then {case}")
def learn(context: Any, count: int, case: str) -> None:
    for _ in range(count):
        context.times.note(STEP, 5.0, NOW)
    if "35 seconds" in case:
        context.times.note(STEP, 35.0, NOW)
    elif "700 seconds" in case:
        context.now += 700
    elif "filler" in case:
        context.asked = replace(STEP, filler=True)
    elif "larger" in case:
        context.asked = replace(STEP, size=Size(9000, 100))
    elif "another" in case:
        context.asked = replace(STEP, image="mixer")


@then("runtimes expect {seconds:g} seconds")
def expects(context: Any, seconds: float) -> None:
    assert context.times.expected_s(context.asked, context.now) == seconds


@when("runtimes expect 2 seconds of runs that take 1, 2, 2, 2 and 14 seconds")
def ratios(context: Any) -> None:
    context.ratios = RunTimeRatios()
    assert context.ratios.summary().runs == 0
    for ran_s in (1.0, 2.0, 2.0, 2.0, 14.0):
        context.ratios.add(ran_s, 2.0)
    context.ratios.add(1.0, 0.0)


@then("runtimes tell of {runs:d} runs, of which the ratios are {p5:g}, {p50:g} and {p95:g}")
def told_ratios(context: Any, runs: int, p5: float, p50: float, p95: float) -> None:
    assert context.ratios.summary() == RatioSummary(runs, p5, p50, p95)


@when("runtimes learn from runs of {count:d} images")
def many_images(context: Any, count: int) -> None:
    context.times = RunTimes()
    for number in range(count):
        context.times.note(replace(STEP, image=f"image{number}"), 5.0, NOW)


@then("runtimes keep at most {count:d} kinds")
def bounded(context: Any, count: int) -> None:
    assert len(context.times) <= count, len(context.times)


@when("a runtimes run of 4 expected seconds {case}")
def run_case(context: Any, case: str) -> None:
    age, *percents = (int(text) for text in re.findall(r"\d+", case))
    run = Run(TaskKey(JobId("a"), 0, 0, 0), 1, HostId("h"), "", 0, RunPhase.RUNNING, NOW - age)
    known_since = float("-inf")
    if "found at" in case:
        run.first_percent, run.percent = percents
        known_since = NOW
    elif percents:
        run.percent = percents[0]
    elif "stop" in case:
        run.phase = RunPhase.STOPPING
    step = replace(STEP, estimate_s=4.0)
    context.left_s = expected_end(run, step, RunTimes(), NOW, NOW, known_since) - NOW


@then("it is expected to end in {seconds:g} seconds")
def ends_in(context: Any, seconds: float) -> None:
    assert abs(context.left_s - seconds) < 1e-6, context.left_s


@given("runtimes hosts with 3 times as many runs as one pass forecasts")
def many_hosts(context: Any) -> None:
    context.job_table, context.hosts = JobTable(), {}
    # A host counts as one run more.
    for number in range(3 * RUNS_PER_PASS // (RUNS_PER_HOST + 1)):
        name, job = HostId(f"h{number}"), JobId(f"{number:016x}")
        context.hosts[name] = Host(name, reported_at=NOW)
        step = replace(STEP, count=RUNS_PER_HOST)
        context.job_table.add(Job(job, QueueId("bread"), "", (step,)), NOW)
        for position in range(RUNS_PER_HOST):
            key = TaskKey(job, 0, 0, position)
            context.job_table.apply(Assigned(key, 1, name, "", 0), NOW)


@when("runtimes are forecast in 3 passes")
def forecast(context: Any) -> None:
    forecasts = Forecasts(RunTimes())
    context.known = []
    for _ in range(3):
        forecasts.refresh(context.job_table, context.hosts, NOW)
        context.known.append(len(forecasts.by_host))


@then("each pass of runtimes has forecast at most a third of the hosts and all are known")
def in_parts(context: Any) -> None:
    hosts = len(context.hosts)
    before = [0, *context.known]
    added = [after - before[number] for number, after in enumerate(context.known)]
    assert max(added) <= -(-hosts // 3) + 1 and sum(added) == hosts, (added, hosts)
