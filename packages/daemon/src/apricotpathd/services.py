"""The operator services of an entry, implemented with its components."""

import json
from collections.abc import Mapping
from typing import Any

import anyio

from apricotpath.errors import (
    ConflictError,
    InputError,
    NotFoundError,
    StoreError,
    StoreUnavailable,
)
from apricotpath.ids import DataCentreId, JobId, ProcessId, TeamId
from apricotpath.messages import DataCentreStatus
from apricotpath.model import JobSpec, ServiceState
from apricotpathd.component import UtcClock
from apricotpathd.controlflow import ControlFlow
from apricotpathd.entryparts import EntryParts

Json = dict[str, Any]


class EntryServices:
    """Implements `apricotpathd.operators.OperatorServices`."""

    def __init__(self, parts: EntryParts, utc: UtcClock) -> None:
        self.parts = parts
        self.utc = utc

    @property
    def flow(self) -> ControlFlow:
        """The component that propagates the entry's control state."""
        return self.parts.flow

    async def put_bundle(self, envelope: bytes) -> Json:
        """Check a signed bundle, then store it by compare-and-swap."""
        control = self.parts.control
        if envelope == control.envelope:
            return self._bundle_answer(control.bundle_version)
        bundle = control.check_bundle(envelope)
        await self.parts.members.changes.put_bundle(envelope, bundle.version)
        if control.merge_bundle(envelope):
            self.flow.publish()
        return self._bundle_answer(bundle.version)

    def _bundle_answer(self, version: int) -> Json:
        in_force = self.flow.bundle_in_force(version, self._other_entries())
        return {"version": version, "in_force": in_force}

    async def get_bundle(self) -> Json:
        """Return the bundle in force as a signed envelope."""
        control = self.parts.control
        envelope = json.loads(control.envelope) if control.envelope else None
        return {"version": control.bundle_version, "envelope": envelope}

    async def set_data_centre(self, dc: DataCentreId, seq: int, state: ServiceState) -> Json:
        """Take a data centre out of service, also without the store, or bring it back.

        Bringing it back needs the store.
        """
        control = self.parts.control
        if control.bundle is None or dc not in control.bundle.datacentres:
            raise NotFoundError(f"the bundle in force has no data centre {dc!r}")
        requested = DataCentreStatus(dc, seq, state)
        current = control.status(dc)
        if (
            current != requested
            and current.seq >= seq
            and not (current.seq == seq and state is ServiceState.OUT)
        ):
            raise ConflictError(
                f"data centre {dc} has change {current.seq} ({current.state.value}) already"
            )
        if state is ServiceState.IN:
            await self.parts.members.changes.put_status(dc, state, seq)
            self._apply_status(requested)
        else:
            self._apply_status(requested)
            await self._store_take_out(requested)
        return self._status_answer(requested)

    async def _store_take_out(self, requested: DataCentreStatus) -> None:
        """Store a take-out if the store is reachable; otherwise it is written back later."""
        members = self.parts.members
        if not members.view.store_up:
            return
        try:
            await members.changes.put_status(requested.data_centre, requested.state, requested.seq)
        except StoreError:
            return

    def _apply_status(self, status: DataCentreStatus) -> None:
        if self.parts.control.merge_statuses([status]):
            self.flow.publish()

    def _status_answer(self, status: DataCentreStatus) -> Json:
        return {
            "data_centre": status.data_centre,
            "seq": status.seq,
            "state": status.state.value,
            "in_force": self._status_in_force(status),
        }

    def _status_in_force(self, status: DataCentreStatus) -> bool:
        if status.state is ServiceState.IN:
            return not self.flow.status_progress(status).waiting
        return self.flow.take_out_in_force(
            status.data_centre,
            self._other_entries(),
            anyio.current_time(),
            self.parts.cfg.policy,
        )

    def _other_entries(self) -> frozenset[ProcessId]:
        entries = self.parts.members.view.entries
        return frozenset(ProcessId(entry) for entry in entries if entry != self.parts.cfg.entry)

    async def submit_job(self, spec: JobSpec) -> Json:
        """Accept a job whose team and data centres are in the bundle in force."""
        bundle = self.parts.control.bundle
        if bundle is None:
            raise StoreUnavailable("no bundle is in force yet")
        if spec.team not in bundle.teams:
            raise InputError(f"the bundle in force has no team {spec.team!r}")
        for dc in spec.data_centres:
            if dc not in bundle.datacentres:
                raise InputError(f"the bundle in force has no data centre {dc!r}")
        return await self.parts.owner.submit(spec)

    async def list_jobs(self, query: Mapping[str, str]) -> Json:
        """Return jobs, filtered by `team` and `state`, at most `limit`."""
        answer = await self.parts.owner.list()
        jobs = [
            job
            for job in answer["jobs"]
            if query.get("team") in (None, job.get("team"))
            and query.get("state") in (None, job.get("state"))
        ]
        return answer | {"jobs": jobs[: _limit(query)]}

    async def job(self, job: JobId) -> Json:
        """Return one job with its tasks."""
        return await self.parts.owner.show(job)

    async def cancel_job(self, job: JobId) -> Json:
        """Cancel a job."""
        return await self.parts.owner.cancel(job)

    async def hosts(self) -> Json:
        """Return every host with its size, committed resources and usage."""
        rows = sorted(self.parts.hosts.rows.values(), key=lambda row: row.host)
        return {"hosts": [self._host(row) for row in rows]}

    def _host(self, row: Any) -> Json:
        report, announce = row.report, row.announce
        return {
            "host": row.host,
            "data_centre": announce.data_centre,
            "rack": announce.rack,
            "present": row.present,
            "leaving": row.leaving,
            "ready": bool(report and report.ready),
            "size": _size(announce.size),
            "committed": _size(report.committed) if report else None,
            "usage": _size(report.usage) if report else None,
            "tasks": len(report.tasks) if report else None,
        }

    async def backends(self) -> Json:
        """Return every backend server with its load."""
        rows = sorted(self.parts.hosts.rows.values(), key=lambda row: row.announce.backend)
        return {
            "backends": [
                {
                    "backend": row.announce.backend,
                    "service": row.announce.service,
                    "host": row.host,
                    "data_centre": row.announce.data_centre,
                    "present": row.present,
                    "leaving": row.leaving,
                    "slots": row.announce.slots,
                    "busy": row.report.busy_slots if row.report else None,
                    "queued": row.report.queued if row.report else None,
                    "slowdown": round(row.report.pressure, 3) if row.report else None,
                }
                for row in rows
                if row.announce.service
            ]
        }

    async def explain(self, query: Mapping[str, str]) -> Json:
        """Explain the state of a job or task, or the rules for an activity."""
        if query.get("job"):
            return await self.parts.owner.explain(query["job"])
        missing = [name for name in ("team", "activity", "data_centre") if not query.get(name)]
        if missing:
            raise InputError(f"explain needs a job, or team, activity and data_centre: {missing}")
        verdict = self.parts.control.verdict(
            TeamId(query["team"]),
            query["activity"],
            DataCentreId(query["data_centre"]),
            self.utc(),
        )
        return {
            "allowed": verdict.allowed,
            "rule": verdict.rule,
            "bundle_version": verdict.bundle_version,
            "until": verdict.until.isoformat() if verdict.until else None,
        }

    async def status(self) -> Json:
        """Return an overview of the entry, its bundle and the data centres."""
        parts, control = self.parts, self.parts.control
        view = parts.members.view
        names = control.bundle.datacentres if control.bundle else {}
        return {
            "entry": parts.cfg.entry,
            "store_up": view.store_up,
            "entries": sorted(view.entries),
            "hosts": sum(row.present for row in parts.hosts.rows.values()),
            "shards": len(parts.owner.state.shards),
            "bundle": self._bundle_answer(control.bundle_version),
            "data_centres": [
                self._status_answer(control.status(dc)) | {"in_service": control.in_service(dc)}
                for dc in names
            ],
        }

    async def debug(self) -> Json:
        """Return the internal state of the entry."""
        parts = self.parts
        return {
            "incarnation": parts.hello.incarnation,
            "links": [
                {
                    "peer": link.peer_id,
                    "idle_s": round(link.idle_s(), 3),
                    "bytes_sent": link.bytes_sent,
                    "bytes_received": link.bytes_received,
                }
                for link in parts.links
            ],
            "store_calls": dict(parts.store_calls()),
            "owner": parts.owner.debug(),
            "open_requests": parts.exchange.open_requests,
        }

    def ready(self) -> bool:
        """Tell whether requests of all classes can be served."""
        parts = self.parts
        return (
            parts.control.bundle is not None
            and parts.exchange.startup_wait_over()
            and not parts.draining
        )

    def metrics(self) -> bytes:
        """Return all metrics of the entry."""
        return self.parts.metrics.render()


def _size(size: Any) -> Json:
    return {
        "cpu_milli": size.cpu_milli,
        "memory_mb": size.memory_mb,
        "accelerators": size.accelerators,
    }


MAX_LIST_LIMIT = 10_000
MAX_LIMIT_DIGITS = 10


def _limit(query: Mapping[str, str]) -> int:
    text = query.get("limit", "100")
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_LIMIT_DIGITS
    if not is_number or not 1 <= int(text) <= MAX_LIST_LIMIT:
        raise InputError(f"limit must be from 1 to {MAX_LIST_LIMIT}, not {text!r}")
    return int(text)
