"""Replays a trace's requests through the production admission, routing and retry code."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from apricotpath.admission import ClassQueues, Waiting
from apricotpath.config import PolicySettings, RequestSettings
from apricotpath.control import Control
from apricotpath.ids import ProcessId, ServiceId
from apricotpath.retry import RetryBudget, may_retry
from apricotpath.routing import Candidate, RoutingTable, choose
from apricotpath.servicerules import ClassRules
from apricotpath.trace import Request
from apricotpath_bench.hostmodel import HostModel
from apricotpathd.exchange import RETRY_PAUSE_S

QUEUE_LENGTH = 512

RecordDecision = Callable[[str], None]


@dataclass(slots=True)
class Call:
    """One request; times in seconds of the trace.

    `tried` are the processes that the request was sent to.
    """

    number: int
    service: ServiceId
    rules: ClassRules
    work_s: float
    arrived: float
    deadline: float
    tries: int = 0
    tried: set[ProcessId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Sample:
    """An answered request; times in seconds."""

    arrived: float
    latency_s: float
    request_class: str


class RequestReplay:
    """The entry's request path with modelled backend servers."""

    def __init__(
        self,
        cfg: RequestSettings,
        rules: Control,
        model: HostModel,
        rng: Random,
        record_decision: RecordDecision,
    ) -> None:
        self.cfg = cfg
        self.rules = rules
        self.model = model
        self.rng = rng
        self.record_decision = record_decision
        self.routing = RoutingTable()
        self.arrivals: list[float] = []
        self.sends: list[float] = []
        self.samples: list[Sample] = []
        self.result_counts: Counter[str] = Counter()
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._queues: dict[ServiceId, ClassQueues] = {}
        self._waiting_calls: dict[Waiting, Call] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._event_count = 0
        self._numbers: Counter[ServiceId] = Counter()
        self.by_service: dict[ServiceId, list[ProcessId]] = defaultdict(list)

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Schedule an action at a time."""
        self._event_count += 1
        heappush(self._events, (at, self._event_count, action))

    def add(self, request: Request, at: float) -> None:
        """Schedule arrivals at random times, which depend only on the seed."""
        for _ in range(request.count):
            arrival = at + self.rng.random() * request.over_s
            work_s = request.work_s * self.rng.uniform(0.5, 1.5)
            self.schedule(arrival, lambda now, w=work_s: self._arrive(request, w, now))  # type: ignore[misc]

    def run(self, until: float) -> None:
        """Run all scheduled actions up to a time and expire queued requests."""
        while self._events and self._events[0][0] <= until:
            now, _, action = heappop(self._events)
            action(now)
        for queues in self._queues.values():
            for item in queues.expire(until):
                self._end_unanswered(self._waiting_calls.pop(item), "deadline-in-queue")

    def _arrive(self, request: Request, work_s: float, now: float) -> None:
        service = self.rules.service_rules(request.service)
        rules = service.classes.get(request.request_class) if service is not None else None
        if rules is None:
            self.result_counts["unknown-class"] += 1
            return
        self.arrivals.append(now)
        self._budget(request.service).arrived()
        number = len(self.arrivals)
        deadline = now + request.deadline_s
        self._admit(Call(number, request.service, rules, work_s, now, deadline), now)

    def _budget(self, service: ServiceId) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(
                PolicySettings().retry_share, self.cfg.retry_budget
            )
        return self._budgets[service]

    def _admit(self, call: Call, now: float) -> None:
        call.tries += 1
        queues = self._queues.get(call.service)
        if queues is None:
            queues = ClassQueues(QUEUE_LENGTH, self.cfg.priority_queues)
            self._queues[call.service] = queues
        if not queues.size:
            process = self._choose(call.service, call.tried, now)
            if process is not None:
                self._send(call, process, now)
                return
        item = Waiting(call.rules, call.deadline, now)
        refusal, shed = queues.enqueue(item, now)
        if shed is not None:
            self._end_unanswered(self._waiting_calls.pop(shed), "shed")
        if refusal is not None:
            self._end_unanswered(call, refusal.value)
            return
        self._waiting_calls[item] = call

    def _choose(self, service: ServiceId, tried: set[ProcessId], now: float) -> ProcessId | None:
        hosts = self.model.hosts
        found = [
            Candidate(process, hosts[process].host_up.slots, hosts[process].host_up.connections)
            for process in self.by_service[service]
            if not hosts[process].gone and self.rules.in_service(hosts[process].host_up.data_centre)
        ]
        others = [c for c in found if c.process not in tried]
        process = choose(others or found, self.routing, self.cfg, self.rng, now)
        if process is not None:
            self.routing.record_sent(process, now)
        return process

    def _send(self, call: Call, process: ProcessId, now: float) -> None:
        self.sends.append(now)
        call.tried.add(process)
        self.record_decision(f"send {call.number} {call.tries} {process}")
        latency_s, status = self.model.serve(process, call.work_s, now)
        self.schedule(now + latency_s, lambda at: self._done(call, process, now, status, at))

    def _done(self, call: Call, process: ProcessId, sent: float, status: int, now: float) -> None:
        if status:
            self.routing.record_result(process, now - sent, status < 500, now)
            self.result_counts["answered"] += 1
            self.samples.append(Sample(call.arrived, now - call.arrived, call.rules.name))
        else:
            self.routing.record_result(process, None, False, now)
            self._retry(call, now)
        self._dispatch(call.service, now)

    def _retry(self, call: Call, now: float) -> None:
        if not call.rules.idempotent:
            self._end_unanswered(call, "unknown")
            return
        budget = self._budget(call.service)
        if may_retry(budget, call.tries, self.cfg.max_tries, call.deadline, RETRY_PAUSE_S, now):
            pause = RETRY_PAUSE_S * self.rng.random()
            self.schedule(now + pause, lambda at: self._admit(call, at))
        else:
            self._end_unanswered(call, "unknown")

    def _dispatch(self, service: ServiceId, now: float) -> None:
        queues = self._queues[service]
        while queues.size:
            process = self._choose(service, set(), now)
            item = queues.dequeue(now) if process is not None else None
            if process is None or item is None:
                return
            self._send(self._waiting_calls.pop(item), process, now)

    def _end_unanswered(self, call: Call, reason: str) -> None:
        self.record_decision(f"refuse {call.number} {reason}")
        self.result_counts[reason] += 1
