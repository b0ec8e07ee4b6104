"""Stored form of jobs: JSON without fields that have their default value."""

from dataclasses import MISSING, dataclass, fields
from typing import Any

from apricotpath.errors import InputError
from apricotpath.ids import JobId, QueueId, RackId
from apricotpath.jsonfields import (
    parse_object,
    read_bool,
    read_int,
    read_list,
    read_number,
    read_str,
    to_int,
    to_list,
    to_number,
)
from apricotpath.jsontext import compact_json
from apricotpath.model import Size
from apricotpath.runrecords import parse_queue_row, queue_row
from apricotpath.workload import Job, Progress, Queue, Schedule, Step, check_job

SIZE_VALUES = 3
SCHEDULE_VALUES = 3


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job read from the store: the job itself or, once ended, its id, queue and final state.

    `rules` are those of its queue when it was accepted.
    """

    job: Job
    ended: Progress | None = None
    rules: Queue | None = None


def job_text(job: Job, rules: Queue | None = None) -> str:
    """Return the stored form of an accepted job, with the rules of its queue if they are given."""
    content: dict[str, Any] = {
        "job": job.job_id,
        "queue": job.queue,
        "command": job.command,
        "accepted": round(job.accepted_s, 3),
        "steps": [_step_row(step) for step in job.steps],
    }
    if job.schedule is not None:
        schedule = job.schedule
        content["schedule"] = [schedule.times, schedule.first_s, schedule.interval_s]
    if rules is not None:
        content["rules"] = queue_row(rules)
    return compact_json(content)


def ended_text(job: JobId, queue: QueueId, progress: Progress) -> str:
    """Return the stored form of a job that has ended."""
    return compact_json({"job": job, "queue": queue, "progress": progress.value})


def parse_job(text: str | bytes) -> StoredJob:
    """Parse the stored form of a job, or raise InputError."""
    content = parse_object(text, "a stored job")
    job_id, queue = JobId(read_str(content, "job")), QueueId(read_str(content, "queue"))
    if "progress" in content:
        return StoredJob(Job(job_id, queue, "", ()), _progress(read_str(content, "progress")))
    job = Job(
        job_id,
        queue,
        read_str(content, "command"),
        tuple(_step(row) for row in read_list(content, "steps")),
        _schedule(content) if "schedule" in content else None,
        read_number(content, "accepted"),
    )
    check_job(job)
    return StoredJob(job, rules=_rules(content) if "rules" in content else None)


def _rules(content: dict[str, Any]) -> Queue:
    try:
        return parse_queue_row(read_list(content, "rules"))
    except ValueError as exc:
        raise InputError("rules are not those of a queue", path="rules") from exc


def _progress(text: str) -> Progress:
    try:
        return Progress(text)
    except ValueError as exc:
        raise InputError("progress is not that of a job", path="progress") from exc


def _schedule(content: dict[str, Any]) -> Schedule:
    times, first_s, interval_s = to_list(content["schedule"], "schedule", SCHEDULE_VALUES)
    return Schedule(
        to_int(times, "schedule"), to_number(first_s, "schedule"), to_number(interval_s, "schedule")
    )


def _step_row(step: Step) -> dict[str, Any]:
    size = step.size
    row: dict[str, Any] = {"size": [size.cpu_milli, size.memory_mb, size.accelerators]}
    for item in fields(step):
        value = getattr(step, item.name)
        if item.name != "size" and (item.default is MISSING or value != item.default):
            row[item.name] = value
    return row


def _step(row: Any) -> Step:
    size = to_list(read_list(row, "size"), "size", SIZE_VALUES)
    return Step(
        count=read_int(row, "count"),
        size=Size(*(to_int(value, "size") for value in size[:SIZE_VALUES])),
        estimate_s=read_number(row, "estimate_s", 0.0),
        after=tuple(to_int(number, "after") for number in read_list(row, "after", [])),
        checkpoints=read_bool(row, "checkpoints", False),
        gang=read_bool(row, "gang", False),
        same_rack=read_bool(row, "same_rack", False),
        label=read_str(row, "label", ""),
        near=RackId(read_str(row, "near", "")),
        max_per_host=read_int(row, "max_per_host", 0),
        speculative=read_bool(row, "speculative", False),
        long_running=read_bool(row, "long_running", False),
        filler=read_bool(row, "filler", False),
        image=read_str(row, "image", ""),
        target_ms=read_number(row, "target_ms", 0.0),
        max_unavailable=read_int(row, "max_unavailable") if "max_unavailable" in row else None,
    )
