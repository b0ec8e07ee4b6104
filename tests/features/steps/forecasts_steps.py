"""Steps for forecasts.feature."""

import re
from typing import Any

from behave import then, when

from apricotpath.forecasts import expected_end
from apricotpath.ids import HostId, JobId
from apricotpath.jobrows import Run, RunPhase
from apricotpath.model import Size
from apricotpath.workload import Step, TaskKey

NOW = 1000.0


@when("a forecast run of 4 estimated seconds {case}")
def run_case(context: Any, case: str) -> None:
    age, *percents = (int(text) for text in re.findall(r"\d+", case))
    run = Run(TaskKey(JobId("a"), 0, 0, 0), 1, HostId("h"), "", 0, RunPhase.RUNNING, NOW - age)
    resumed = "gone on" in case
    if resumed:
        run.run = 2
        run.first_percent, run.percent = percents
    elif percents:
        run.percent = percents[0]
    elif "stop" in case:
        run.phase = RunPhase.STOPPING
    step = Step(1, Size(1000, 100), estimate_s=4.0, image="oven", checkpoints=resumed)
    context.left_s = expected_end(run, step, NOW, NOW) - NOW


@then("it is forecast to end in {seconds:g} seconds")
def ends_in(context: Any, seconds: float) -> None:
    assert abs(context.left_s - seconds) < 1e-6, context.left_s
