"""Validation of job submissions in JSON, shared by the operators' command and the entry."""

from typing import Any

from apricotpath.config import build
from apricotpath.errors import InputError, SettingsError
from apricotpath.model import JobSpec, Size

MAX_TASKS = 100_000
MAX_ID_CHARACTERS = 128
MAX_COMMAND_CHARACTERS = 4096
HOURS_PER_DAY = 24


def job_from_json(value: Any, where: str = "job") -> JobSpec:
    """Return a job from JSON values; raises InputError with the path and the violated rule."""
    try:
        spec = build(JobSpec, value, where)
    except SettingsError as exc:
        path, _, rule = str(exc).removeprefix(f"{where}: ").partition(": ")
        raise InputError(str(exc), path if rule else "", rule or path) from exc
    for path, holds, rule in _rules(spec):
        if not holds:
            raise InputError(f"{where}: {path}: {rule}", path, rule)
    return spec


def _rules(spec: JobSpec) -> tuple[tuple[str, bool, str], ...]:
    """Return (path, whether the rule holds, rule) for every rule."""
    return (
        (
            "job_id",
            len(spec.job_id) <= MAX_ID_CHARACTERS and spec.job_id.isprintable(),
            f"must be at most {MAX_ID_CHARACTERS} printable characters",
        ),
        ("job_id", "/" not in spec.job_id, "must not contain '/'"),
        ("tasks", 1 <= spec.tasks <= MAX_TASKS, f"must be from 1 to {MAX_TASKS}"),
        ("size", spec.size != Size(), "must not be empty"),
        ("run_time_s", spec.run_time_s > 0, "must be above 0"),
        ("max_attempts", spec.max_attempts >= 1, "must be at least 1"),
        ("not_before_hour", spec.not_before_hour < HOURS_PER_DAY, "must be from 0 to 23"),
        ("not_after_hour", 1 <= spec.not_after_hour <= HOURS_PER_DAY, "must be from 1 to 24"),
        (
            "command",
            len(spec.command) <= MAX_COMMAND_CHARACTERS,
            f"must be at most {MAX_COMMAND_CHARACTERS} characters",
        ),
    )
