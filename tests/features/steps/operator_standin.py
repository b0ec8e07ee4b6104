"""An entry's operator port for tests, with services that keep their state in memory."""

from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Any

import httpx

from apricotpath.bundle import to_json_value
from apricotpath.control import Control
from apricotpath.errors import ConflictError, NotFoundError, StoreUnavailable
from apricotpath.ids import DataCentreId, JobId
from apricotpath.messages import DataCentreStatus
from apricotpath.model import JobSpec, ServiceState
from apricotpathd.operators import OperatorApp

Json = dict[str, Any]


class MemoryStore:
    """State that the entries share: the bundle, and data centres brought back.

    Take-outs are not stored, as if the store were not writable.
    """

    def __init__(self) -> None:
        self.bundle = b""
        self.statuses: list[DataCentreStatus] = []


class MemoryServices:
    """Implements OperatorServices; `changes` lists the changes made by operators."""

    def __init__(self, name: str, public_keys: list[str], store: "MemoryStore") -> None:
        self.name = name
        self.store = store
        self.control = Control(public_keys)
        self.changes: list[str] = []
        self.jobs: dict[JobId, JobSpec] = {}
        self.in_force = True
        self.is_ready = True
        self.store_out = False
        self.broken = False

    async def put_bundle(self, envelope: bytes) -> Json:
        self._require_store()
        self._read_store()
        bundle = self.control.check_bundle(envelope)
        self.store.bundle = envelope
        self.control.merge_bundle(envelope)
        self.changes.append(f"bundle {bundle.version}")
        return {"version": bundle.version, "in_force": self.in_force}

    async def get_bundle(self) -> Json:
        envelope = httpx.Response(200, content=self.control.envelope or b"null").json()
        return {"version": self.control.bundle_version, "envelope": envelope}

    async def set_data_centre(self, dc: DataCentreId, seq: int, state: ServiceState) -> Json:
        if state is ServiceState.IN:
            self._require_store()
        current = self.control.status(dc)
        requested = DataCentreStatus(dc, seq, state)
        if current != requested:
            if current.seq >= seq:
                raise ConflictError(f"the status of {dc} has seq {current.seq} already")
            self.control.merge_statuses([requested])
            if state is ServiceState.IN:
                self.store.statuses.append(requested)
            self.changes.append(f"{dc} {state.value}")
        return {"data_centre": dc, "seq": seq, "state": state.value, "in_force": self.in_force}

    async def submit_job(self, spec: JobSpec) -> Json:
        self._require_store()
        if spec.job_id not in self.jobs:
            self.changes.append(f"job {spec.job_id}")
        self.jobs[spec.job_id] = spec
        return to_json_value(spec)  # type: ignore[no-any-return]

    async def list_jobs(self, query: Mapping[str, str]) -> Json:
        team = query.get("team")
        found = [job for job in self.jobs.values() if team in (None, job.team)]
        return {"jobs": [{"job": job.job_id, "team": job.team} for job in found]}

    async def job(self, job: JobId) -> Json:
        if job not in self.jobs:
            raise NotFoundError(f"there is no job {job}")
        return {"job": job, "tasks": [{"task": f"{job}/0", "state": "waiting"}]}

    async def cancel_job(self, job: JobId) -> Json:
        answer = await self.job(job)
        self.changes.append(f"cancel {job}")
        return answer

    async def hosts(self) -> Json:
        return {"hosts": [{"host": "suva-01", "cores": 16.0, "ready": True, "note": "a\x1b[2Jb"}]}

    async def backends(self) -> Json:
        return {"backends": []}

    async def explain(self, query: Mapping[str, str]) -> Json:
        return {"asked": dict(query)}

    async def status(self) -> Json:
        if self.broken:
            raise RuntimeError("secret detail")
        self._read_store()
        data_centres = self.control.bundle.datacentres if self.control.bundle else {}
        rows = [self._data_centre_answer(dc) for dc in data_centres]
        bundle = {"version": self.control.bundle_version, "in_force": self.in_force}
        return {"entry": self.name, "bundle": bundle, "data_centres": rows}

    def _data_centre_answer(self, dc: DataCentreId) -> Json:
        current = self.control.status(dc)
        return {
            "data_centre": dc,
            "seq": current.seq,
            "state": current.state.value,
            "in_service": self.control.in_service(dc),
            "in_force": self.in_force,
        }

    async def debug(self) -> Json:
        return {"name": self.name}

    def ready(self) -> bool:
        return self.is_ready

    def metrics(self) -> bytes:
        return b"up 1\n"

    def _read_store(self) -> None:
        if self.store.bundle:
            self.control.merge_bundle(self.store.bundle)
        self.control.merge_statuses(self.store.statuses)

    def _require_store(self) -> None:
        if self.store_out:
            raise StoreUnavailable("the store cannot be reached")


class MemoryEntries(httpx.AsyncBaseTransport):
    """Passes HTTP calls to entries in this process, chosen by the host name in the URL.

    `down` gives the number of calls for which an entry is unreachable. The answers
    to the next `lose_answers` writes are lost after the writes took effect.
    """

    def __init__(self, names: list[str], public_keys: list[str]) -> None:
        self.store = MemoryStore()
        self.services = {name: MemoryServices(name, public_keys, self.store) for name in names}
        self.apps = {
            name: OperatorApp(services, services.control.trust, lambda: datetime.now(UTC))
            for name, services in self.services.items()
        }
        self.down: dict[str, int] = {}
        self.lose_answers = 0
        self.on_write: Any = None

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        name = request.url.host
        if self.down.get(name, 0) > 0:
            self.down[name] -= 1
            raise httpx.ConnectError("connection refused")
        response = await httpx.ASGITransport(self.apps[name]).handle_async_request(request)
        if request.method != "GET":
            if self.on_write is not None:
                self.on_write()
            if self.lose_answers:
                self.lose_answers -= 1
                raise httpx.ReadTimeout("no answer")
        return response

    @property
    def changes(self) -> list[str]:
        return [change for services in self.services.values() for change in services.changes]
