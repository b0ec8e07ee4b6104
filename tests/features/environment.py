"""Hooks of behave."""

from pathlib import Path
from typing import Any

from support.failurelogs import failure_logs


def after_step(context: Any, step: Any) -> None:
    """Keep the logs of processes if a step has failed."""
    if step.status.has_failed():
        scenario = context.scenario
        failure_logs.keep(Path(scenario.filename).stem, scenario.line, step.name, step.exception)
