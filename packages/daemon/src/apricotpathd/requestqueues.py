"""Queues in which requests wait for a backend server with free capacity."""

from dataclasses import dataclass, field
from random import Random

import anyio

from apricotpath.admission import ClassQueues, Refusal, Waiting
from apricotpath.config import EntrySettings
from apricotpath.errors import NotRun
from apricotpath.ids import ProcessId, ServiceId
from apricotpath.routing import Candidate, RoutingTable, choose
from apricotpath.servicerules import RequestRules
from apricotpathd.attempt import CallerRequest
from apricotpathd.hosts import HostRow, HostTable
from apricotpathd.requesterrors import RETRY_AFTER_S, refused


@dataclass(eq=False, slots=True)
class _QueuedRequest:
    """A queued request and the event that ends its wait."""

    item: Waiting
    event: anyio.Event = field(default_factory=anyio.Event)
    process: ProcessId | None = None
    refusal: Refusal | None = None


class RequestQueues:
    """Chooses a backend server for each request, and queues requests while none is free."""

    def __init__(
        self,
        cfg: EntrySettings,
        rules: RequestRules,
        hosts: HostTable,
        routing: RoutingTable,
        rng: Random,
    ) -> None:
        self.cfg, self.rules, self.hosts = cfg, rules, hosts
        self.routing, self.rng = routing, rng
        self._queues: dict[ServiceId, ClassQueues] = {}
        self._queued: dict[Waiting, _QueuedRequest] = {}

    def tick(self, now: float) -> None:
        """Dispatch queued requests, and refuse those whose deadline has passed."""
        for service, queues in self._queues.items():
            for item in queues.expire(now):
                self._end_wait(item, refusal=Refusal.EXPIRED)
            self.dispatch(service)

    def candidates(self, service: ServiceId) -> list[Candidate]:
        """Return the backend servers that may receive requests now."""
        return [
            Candidate(row.process, row.announce.slots, row.announce.connections)
            for row in self.hosts.of_service(service)
            if self.usable(row)
        ]

    def usable(self, row: HostRow) -> bool:
        """Tell whether a backend server may receive requests now."""
        in_service = self.rules.in_service(row.announce.data_centre)
        return row.present and not row.leaving and in_service

    async def admit(self, req: CallerRequest, avoid: set[ProcessId]) -> ProcessId:
        """Return a backend server with free capacity, waiting in the queue if necessary."""
        now = anyio.current_time()
        if now >= req.deadline:
            raise NotRun("The deadline has passed.", Refusal.EXPIRED.value)
        queues = self._queues.get(req.service)
        if queues is None:
            by_priority = self.cfg.requests.priority_queues
            queues = ClassQueues(self.cfg.limits.queue, by_priority)
            self._queues[req.service] = queues
        if not queues.size:
            process = self._choose(req.service, avoid, now)
            if process is not None:
                return process
            if not self.candidates(req.service):
                raise NotRun("No backend server is there.", "no-backend", RETRY_AFTER_S)
        queued = _QueuedRequest(Waiting(req.rules, req.deadline, now))
        refusal, shed = queues.enqueue(queued.item, now)
        if shed is not None:
            self._end_wait(shed, refusal=Refusal.SHED)
        if refusal is not None:
            raise refused(refusal)
        self._queued[queued.item] = queued
        try:
            await queued.event.wait()
        except BaseException:
            queues.remove(queued.item)
            self._queued.pop(queued.item, None)
            if queued.process is not None:
                self.routing.record_cancelled(queued.process)
            raise
        if queued.process is None:
            raise refused(queued.refusal or Refusal.SHED)
        return queued.process

    def _choose(self, service: ServiceId, avoid: set[ProcessId], now: float) -> ProcessId | None:
        """Choose a backend server and count the request as sent to it."""
        candidates = self.candidates(service)
        others = [c for c in candidates if c.process not in avoid]
        process = choose(others or candidates, self.routing, self.cfg.requests, self.rng, now)
        if process is not None:
            self.routing.record_sent(process, now)
        return process

    def dispatch(self, service: ServiceId) -> None:
        """Dispatch queued requests while a backend server has free capacity."""
        now = anyio.current_time()
        queues = self._queues.get(service)
        while queues is not None and queues.size:
            process = self._choose(service, set(), now)
            if process is None:
                return
            item = queues.dequeue(now)
            assert item is not None
            self._end_wait(item, process=process)

    def _end_wait(
        self, item: Waiting, process: ProcessId | None = None, refusal: Refusal | None = None
    ) -> None:
        queued = self._queued.pop(item)
        queued.process, queued.refusal = process, refusal
        queued.event.set()
