"""Job calls of operators: executed by the shard's owner, forwarded to it by other entries."""

import json
import re
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict
from typing import Any, NoReturn

import anyio

from apricotpath.errors import (
    ApricotpathError,
    ConflictError,
    FencedError,
    InputError,
    JobError,
    JobUnknown,
    LinkError,
    NoOwner,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from apricotpath.ids import DataCentreId, JobId, TaskId
from apricotpath.jobs import JobRow, shard_of, split_task, task_id
from apricotpath.messages import JobCall, JobReply
from apricotpath.model import JobSpec, JobState, Size, TaskState
from apricotpath.placement import Reason
from apricotpath.records import JobAccepted, JobCancelled, Record, spec_from_json, spec_to_json
from apricotpath.submission import MAX_TASKS
from apricotpath.trace import Cancel, Job
from apricotpathd.reconcile import Reconciler
from apricotpathd.runs import Members, OwnerState, Phase, Proposal, Run, Shard
from apricotpathd.scheduling import ShardScheduler, impossible_text
from apricotpathd.tracing import RecordEvent, no_trace

JOB_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
# Maximum number of tasks that `show` lists; the counts cover all tasks.
MAX_SHOWN_TASKS = 200

# A call waits this long for a shard that has no owner or is moving to another.
OWNER_WAIT_S = 3.0
OWNER_POLL_S = 0.1

JOBS, EXPLAIN = "/v1/jobs", "/v1/explain"
# Between entries only: asks another owner to free capacity for urgent tasks.
FREE_CAPACITY = "/v1/room"

ERROR_CODES: dict[str, tuple[int, type[ApricotpathError]]] = {
    "input": (400, InputError),
    "unknown-job": (404, JobUnknown),
    "conflict": (409, ConflictError),
    "no-owner": (503, NoOwner),
    "store-outcome-unknown": (504, StoreOutcomeUnknown),
    "store": (503, StoreUnavailable),
    "job": (500, JobError),
}


def check_spec(spec: JobSpec) -> None:
    """Raise InputError if fields of a job are contradictory or out of range."""
    size = spec.size
    checks = (
        (JOB_ID.fullmatch(spec.job_id) is not None, "job_id must match [A-Za-z0-9][A-Za-z0-9._-]*"),
        (1 <= spec.tasks <= MAX_TASKS, f"tasks must be from 1 to {MAX_TASKS}"),
        (min(size.cpu_milli, size.memory_mb, size.accelerators) >= 0, "size must not be negative"),
        (size.cpu_milli > 0 and size.memory_mb > 0, "size needs processors and memory"),
        (spec.run_time_s > 0, "run_time_s must be above 0"),
        (spec.checkpoint_s >= 0, "checkpoint_s must not be negative"),
        (spec.max_attempts >= 1, "max_attempts must be at least 1"),
        (0 <= spec.not_before_hour < spec.not_after_hour <= 24, "the hours must be within 0 to 24"),
    )
    for holds, text in checks:
        if not holds:
            raise InputError(f"job {spec.job_id!r}: {text}")


class JobCalls:
    """Submits, cancels, lists, shows and explains jobs."""

    def __init__(
        self, state: OwnerState, members: Members, scheduler: ShardScheduler, reconciler: Reconciler
    ) -> None:
        self.state = state
        self.members = members
        self.scheduler = scheduler
        self.reconciler = reconciler
        self.record: RecordEvent = no_trace

    async def submit(self, spec: JobSpec) -> dict[str, Any]:
        """Accept a job durably and return its summary; idempotent by job id."""
        check_spec(spec)

        async def local(shard: Shard) -> dict[str, Any]:
            return await self._submit(shard, spec)

        return await self._call_owner(spec.job_id, local, "POST", JOBS, spec_to_json(spec))

    async def _call_owner(
        self,
        job: JobId,
        local: Callable[[Shard], Awaitable[dict[str, Any]]],
        method: str,
        path: str,
        body: Any = None,
    ) -> dict[str, Any]:
        """Execute a call at the owner of a job's shard, here or at another entry.

        A shard that moves has no owner for a short time, so the call is retried. All
        calls may be repeated: submission and cancellation are idempotent by job id.
        """
        deadline = anyio.current_time() + OWNER_WAIT_S
        while True:
            shard = self._owned(job)
            try:
                if shard is not None:
                    return await local(shard)
                return await self._forward(job, method, path, body)
            except NoOwner:
                if anyio.current_time() >= deadline:
                    raise
            await anyio.sleep(OWNER_POLL_S)

    async def _submit(self, shard: Shard, spec: JobSpec) -> dict[str, Any]:
        check_spec(spec)
        if spec.job_id not in shard.table.jobs:
            if self.state.hosts.rows and not self.scheduler.could_hold(spec):
                raise InputError(f"job {spec.job_id}: {impossible_text(spec)}")
            accepted_at = self.state.utc().timestamp()
            await self._journal(shard, JobAccepted(spec, accepted_at))
            self.record(Job(spec))
        row = shard.table.job(spec.job_id)
        if row.spec != spec:
            raise ConflictError(f"job {spec.job_id} exists with another specification")
        return summary(row)

    async def cancel(self, job: JobId) -> dict[str, Any]:
        """Cancel a job durably and return its summary; running tasks stop afterwards."""

        async def local(shard: Shard) -> dict[str, Any]:
            return await self._cancel(shard, job)

        return await self._call_owner(job, local, "DELETE", f"{JOBS}/{job}")

    async def _cancel(self, shard: Shard, job: JobId) -> dict[str, Any]:
        row = shard.table.job(job)
        if not row.cancelled and not row.ended:
            shard.cancelling.add(job)
            try:
                await self._journal(shard, JobCancelled(job))
            finally:
                shard.cancelling.discard(job)
            self.reconciler.mark_cancelled(shard, job)
            self.record(Cancel(job))
        return summary(row)

    async def _journal(self, shard: Shard, record: Record) -> None:
        """Return once a record is durable and applied; raises the error otherwise."""
        written = anyio.Event()
        errors: list[Exception] = []

        def failed(exc: Exception) -> None:
            errors.append(exc)
            written.set()

        shard.propose(Proposal([record], lambda _: written.set(), failed))
        await written.wait()
        if errors and isinstance(errors[0], FencedError):
            raise NoOwner("the job's shard went to another entry; try again") from errors[0]
        if errors:
            raise errors[0]

    async def show(self, job: JobId) -> dict[str, Any]:
        """Return a job with its first tasks."""

        async def local(shard: Shard) -> dict[str, Any]:
            return self._show(shard, job)

        return await self._call_owner(job, local, "GET", f"{JOBS}/{job}")

    def _show(self, shard: Shard, job: JobId) -> dict[str, Any]:
        row = shard.table.job(job)
        tasks = [self._task(shard, row, n) for n in sorted(row.rows)[:MAX_SHOWN_TASKS]]
        return {**summary(row), "spec": spec_to_json(row.spec), "task_list": tasks}

    def _task(self, shard: Shard, row: JobRow, number: int) -> dict[str, Any]:
        name = task_id(row.spec.job_id, number)
        task_row, run = row.rows.get(number), shard.runs.get(name)
        shown: dict[str, Any] = {"task": name, "state": task_state(row, number, run).value}
        if task_row is not None:
            shown |= {
                "attempt": task_row.attempt,
                "host": task_row.host,
                "checkpoint": task_row.checkpoint,
            }
            shown |= {"evictions": task_row.evictions, "failures": task_row.failures}
            shown |= {"reason": task_row.reason}
        if run is not None:
            shown |= {"progress": round(run.progress, 4), "share": run.share}
        return shown

    async def list(self) -> dict[str, Any]:
        """Return the summaries of all jobs, and the shards for which no entry answered."""
        found = self._list()
        view = self.members.view()
        missing = set(range(self.state.policy.shards)) - set(self.state.shards)
        for entry in view.entries:
            link = self.members.link_to(entry) if entry != self.state.entry else None
            if link is None:
                continue
            try:
                reply = await link.call(JobCall("GET", JOBS, b""))
            except LinkError:
                continue
            if isinstance(reply, JobReply) and reply.status == 200:
                body = json.loads(reply.body)
                found["jobs"] += body["jobs"]
                missing -= set(body["shards"])
        return {"jobs": found["jobs"], "shards_missing": sorted(missing)}

    def _list(self) -> dict[str, Any]:
        shards = self.state.shards
        jobs = [summary(row) for shard in shards.values() for row in shard.table.jobs.values()]
        return {"jobs": jobs, "shards": [int(number) for number in shards]}

    async def explain(self, name: str) -> dict[str, Any]:
        """Return the state of a job or task, and the rule or limit because of which it waits."""
        job = job_of(name)

        async def local(shard: Shard) -> dict[str, Any]:
            return self._explain(shard, name)

        return await self._call_owner(job, local, "GET", f"{EXPLAIN}/{name}")

    def _explain(self, shard: Shard, name: str) -> dict[str, Any]:
        job = job_of(name)
        row = shard.table.job(job)
        if "/" in name:
            number = split_task(TaskId(name))[1]
            row.state_of(number)
            shown = self._task(shard, row, number)
        else:
            shown = summary(row)
        reason = self._reason(shard, row)
        if reason is not None and ((row.waiting and "/" not in name) or _waits(shown)):
            shown["waits"] = asdict(reason)
        return shown

    def _reason(self, shard: Shard, row: JobRow) -> Reason | None:
        if row.impossible:
            return Reason("impossible", row.impossible)
        if shard.store_failed_at is not None:
            return Reason("store", "the store does not accept writes, so nothing starts")
        if not self.state.is_fresh():
            return Reason("not-fresh", "the control state is not fresh, so nothing starts")
        found = self.state.reasons.get(row.spec.job_id)
        return found or Reason("next", "waits for the next round of placement")

    def _owned(self, job: JobId) -> Shard | None:
        shard = self.state.shard_of(job)
        return shard if shard is not None and shard.loaded else None

    async def _forward(self, job: JobId, method: str, path: str, body: Any) -> dict[str, Any]:
        """Execute a call at the entry that owns a job's shard."""
        number = shard_of(job, self.state.policy.shards)
        owner = self.members.view().owners.get(number)
        if owner is None or owner[0] == self.state.entry:
            raise NoOwner(f"shard {number} of job {job} has no owner yet; try again")
        link = self.members.link_to(owner[0])
        if link is None:
            raise NoOwner(f"the owner {owner[0]} of job {job} cannot be reached; try again")
        payload = b"" if body is None else json.dumps(body).encode()
        try:
            reply = await link.call(JobCall(method, path, payload))
        except LinkError as exc:
            # A submission is idempotent by its job id, so the caller may repeat it.
            raise StoreOutcomeUnknown(f"no answer of the owner of job {job}: {exc}") from exc
        if not isinstance(reply, JobReply):
            raise JobError(f"the owner of job {job} gave no proper answer")
        value = json.loads(reply.body)
        if reply.status != 200:
            raise_error(value)
        return dict(value)

    async def answer(self, call: JobCall) -> JobReply:
        """Execute a forwarded call; it is never forwarded again."""
        try:
            value = await self._dispatch(call)
        except ApricotpathError as exc:
            code = error_code(exc)
            status = ERROR_CODES[code][0]
            return JobReply(status, json.dumps({"code": code, "text": str(exc)}).encode())
        return JobReply(200, json.dumps(value).encode())

    async def _dispatch(self, call: JobCall) -> dict[str, Any]:
        if (call.method, call.path) == ("GET", JOBS):
            return self._list()
        if (call.method, call.path) == ("POST", FREE_CAPACITY):
            return self._free_capacity(json.loads(call.body))
        if (call.method, call.path) == ("POST", JOBS):
            try:
                spec = spec_from_json(json.loads(call.body))
            except ValueError as exc:
                raise InputError(f"the job is not valid JSON: {exc}") from exc
            return await self._submit(self._require_owned(spec.job_id), spec)
        if call.method == "GET" and call.path.startswith(EXPLAIN + "/"):
            name = call.path[len(EXPLAIN) + 1 :]
            return self._explain(self._require_owned(job_of(name)), name)
        if call.path.startswith(JOBS + "/"):
            job = JobId(call.path[len(JOBS) + 1 :])
            shard = self._require_owned(job)
            if call.method == "DELETE":
                return await self._cancel(shard, job)
            if call.method == "GET":
                return self._show(shard, job)
        raise InputError(f"there is no call {call.method} {call.path}")

    async def request_capacity(
        self, spec: JobSpec, tasks: Sequence[TaskId], data_centres: Sequence[DataCentreId]
    ) -> None:
        """Ask the other owners in turn to free capacity for urgent tasks that found none."""
        remaining = [*tasks]
        for entry in self.members.view().entries:
            link = self.members.link_to(entry) if entry != self.state.entry else None
            if link is None or not remaining:
                continue
            body = {"size": asdict(spec.size), "data_centres": [*data_centres], "tasks": remaining}
            try:
                reply = await link.call(JobCall("POST", FREE_CAPACITY, json.dumps(body).encode()))
            except LinkError:
                continue
            if isinstance(reply, JobReply) and reply.status == 200:
                remaining = remaining[json.loads(reply.body)["made"] :]

    def _free_capacity(self, body: dict[str, Any]) -> dict[str, Any]:
        now = anyio.current_time()
        size = Size(**body["size"])
        return {
            "made": self.scheduler.free_capacity(size, body["data_centres"], body["tasks"], now)
        }

    def _require_owned(self, job: JobId) -> Shard:
        shard = self._owned(job)
        if shard is None:
            raise NoOwner(f"entry {self.state.entry} does not own the shard of job {job}")
        return shard


def job_of(name: str) -> JobId:
    """Return the job id for a job id or a task id."""
    return split_task(TaskId(name))[0] if "/" in name else JobId(name)


def job_state(row: JobRow) -> JobState:
    """Return a job's state as shown to operators."""
    if row.cancelled:
        return JobState.CANCELLED
    if not row.ended:
        return JobState.IMPOSSIBLE if row.impossible else JobState.OPEN
    return JobState.FAILED if row.counts().get(TaskState.FAILED) else JobState.FINISHED


def summary(row: JobRow) -> dict[str, Any]:
    """Return a job's summary as plain JSON values."""
    spec = row.spec
    counts = {state.value: number for state, number in row.counts().items()}
    return {
        "job": spec.job_id,
        "team": spec.team,
        "state": job_state(row).value,
        "priority": spec.priority.value,
        "accepted_at": row.accepted_at,
        "tasks": spec.tasks,
        "counts": counts,
        "reason": row.impossible,
    }


def task_state(row: JobRow, number: int, run: Run | None) -> TaskState:
    """Return a task's state as shown to operators."""
    state = row.state_of(number)
    if state is not TaskState.ASSIGNED or run is None:
        return state
    shown = {
        Phase.RUNNING: TaskState.RUNNING,
        Phase.EVICTING: TaskState.EVICTING,
        Phase.HELD: TaskState.HELD,
    }
    return shown.get(run.phase, TaskState.ASSIGNED)


def _waits(shown: dict[str, Any]) -> bool:
    return bool(shown.get("state") == TaskState.WAITING.value)


def error_code(exc: ApricotpathError) -> str:
    """Return the code that represents an error in messages between entries."""
    for code, (_, cls) in ERROR_CODES.items():
        if isinstance(exc, cls):
            return code
    return "store" if isinstance(exc, StoreError) else "job"


def raise_error(value: dict[str, Any]) -> NoReturn:
    """Raise the error that another entry returned."""
    _, cls = ERROR_CODES.get(str(value.get("code")), (500, JobError))
    raise cls(str(value.get("text")))
