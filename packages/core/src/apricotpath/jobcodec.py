"""Stored form of jobs: JSON without fields that have their default value."""

import json
from dataclasses import MISSING, dataclass, fields
from typing import Any

from apricotpath.errors import InputError
from apricotpath.ids import JobId, QueueId, RackId
from apricotpath.jsontext import compact_json
from apricotpath.model import Size
from apricotpath.workload import Job, Progress, Schedule, Step


@dataclass(frozen=True, slots=True)
class StoredJob:
    """A job read from the store: the job itself or, once ended, its id, queue and final state."""

    job: Job
    ended: Progress | None = None


def job_text(job: Job) -> str:
    """Return the stored form of an accepted job."""
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
    return compact_json(content)


def ended_text(job: JobId, queue: QueueId, progress: Progress) -> str:
    """Return the stored form of a job that has ended."""
    return compact_json({"job": job, "queue": queue, "progress": progress.value})


def parse_job(text: str | bytes) -> StoredJob:
    """Parse the stored form of a job, or raise InputError."""
    try:
        content = json.loads(text)
        job_id, queue = JobId(content["job"]), QueueId(content["queue"])
        if "progress" in content:
            return StoredJob(Job(job_id, queue, "", ()), Progress(content["progress"]))
        steps = tuple(_step(row) for row in content["steps"])
        schedule = Schedule(*content["schedule"]) if "schedule" in content else None
        command, accepted = content["command"], content["accepted"]
        return StoredJob(Job(job_id, queue, command, steps, schedule, accepted))
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise InputError(f"a stored job is malformed: {exc}") from exc


def _step_row(step: Step) -> dict[str, Any]:
    size = step.size
    row: dict[str, Any] = {"size": [size.cpu_milli, size.memory_mb, size.accelerators]}
    for item in fields(step):
        value = getattr(step, item.name)
        if item.name != "size" and (item.default is MISSING or value != item.default):
            row[item.name] = value
    return row


def _step(row: dict[str, Any]) -> Step:
    values = dict(row)
    values["size"] = Size(*values["size"])
    values["after"] = tuple(values.get("after", ()))
    values["near"] = RackId(values.get("near", ""))
    return Step(**values)
