"""Requests of a trace through the real admission, routing and retry decisions."""

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

QUEUE = 512

Note = Callable[[str], None]


@dataclass(slots=True)
class Call:
    """One request on its way; times are in seconds of the trace."""

    number: int
    service: ServiceId
    rules: ClassRules
    work_s: float
    arrived: float
    deadline: float
    tries: int = 0
    avoid: set[ProcessId] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Sample:
    """An answered request."""

    arrived: float
    latency_s: float
    request_class: str


class RequestReplay:
    """The entry's request path over modelled backend servers."""

    def __init__(
        self, cfg: RequestSettings, rules: Control, model: HostModel, rng: Random, note: Note
    ) -> None:
        self.cfg = cfg
        self.rules = rules
        self.model = model
        self.rng = rng
        self.note = note
        self.routing = RoutingTable()
        self.arrivals: list[float] = []
        self.sends: list[float] = []
        self.samples: list[Sample] = []
        self.ended: Counter[str] = Counter()
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._queues: dict[ServiceId, ClassQueues] = {}
        self._turns: dict[Waiting, Call] = {}
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._count = 0
        self._numbers: Counter[ServiceId] = Counter()
        self.by_service: dict[ServiceId, list[ProcessId]] = defaultdict(list)

    def later(self, at: float, act: Callable[[float], None]) -> None:
        """Do something at a time."""
        self._count += 1
        heappush(self._events, (at, self._count, act))

    def add(self, request: Request, at: float) -> None:
        """Let requests arrive at random times, the same for the same seed."""
        for _ in range(request.count):
            arrival = at + self.rng.random() * request.over_s
            work_s = request.work_s * self.rng.uniform(0.5, 1.5)
            self.later(arrival, lambda now, w=work_s: self._arrive(request, w, now))  # type: ignore[misc]

    def run(self, until: float) -> None:
        """Handle all that happens before a time."""
        while self._events and self._events[0][0] <= until:
            now, _, act = heappop(self._events)
            act(now)
        for queues in self._queues.values():
            for item in queues.expire(until):
                self._give_up(self._turns.pop(item), "deadline-in-queue")

    def _arrive(self, request: Request, work_s: float, now: float) -> None:
        service = self.rules.service_rules(request.service)
        rules = service.classes.get(request.request_class) if service is not None else None
        if rules is None:
            self.ended["unknown-class"] += 1
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
            queues = ClassQueues(QUEUE, self.cfg.priority_queues)
            self._queues[call.service] = queues
        if not queues.size:
            process = self._choose(call.service, call.avoid, now)
            if process is not None:
                self._send(call, process, now)
                return
        item = Waiting(call.rules, call.deadline, now)
        refusal, shed = queues.enqueue(item, now)
        if shed is not None:
            self._give_up(self._turns.pop(shed), "shed")
        if refusal is not None:
            self._give_up(call, refusal.value)
            return
        self._turns[item] = call

    def _choose(self, service: ServiceId, avoid: set[ProcessId], now: float) -> ProcessId | None:
        hosts = self.model.hosts
        found = [
            Candidate(process, hosts[process].up.slots, hosts[process].up.connections)
            for process in self.by_service[service]
            if not hosts[process].gone and self.rules.in_service(hosts[process].up.data_centre)
        ]
        others = [c for c in found if c.process not in avoid]
        process = choose(others or found, self.routing, self.cfg, self.rng, now)
        if process is not None:
            self.routing.record_sent(process, now)
        return process

    def _send(self, call: Call, process: ProcessId, now: float) -> None:
        self.sends.append(now)
        call.avoid.add(process)
        self.note(f"send {call.number} {call.tries} {process}")
        latency_s, status = self.model.serve(process, call.work_s, now)
        self.later(now + latency_s, lambda at: self._done(call, process, now, status, at))

    def _done(self, call: Call, process: ProcessId, sent: float, status: int, now: float) -> None:
        if status:
            self.routing.record_result(process, now - sent, status < 500, now)
            self.ended["answered"] += 1
            self.samples.append(Sample(call.arrived, now - call.arrived, call.rules.name))
        else:
            self.routing.record_result(process, None, False, now)
            self._retry(call, now)
        self._dispatch(call.service, now)

    def _retry(self, call: Call, now: float) -> None:
        if not call.rules.idempotent:
            self._give_up(call, "unknown")
            return
        budget = self._budget(call.service)
        if may_retry(budget, call.tries, self.cfg.max_tries, call.deadline, RETRY_PAUSE_S, now):
            pause = RETRY_PAUSE_S * self.rng.random()
            self.later(now + pause, lambda at: self._admit(call, at))
        else:
            self._give_up(call, "unknown")

    def _dispatch(self, service: ServiceId, now: float) -> None:
        queues = self._queues[service]
        while queues.size:
            process = self._choose(service, set(), now)
            item = queues.dequeue(now) if process is not None else None
            if process is None or item is None:
                return
            self._send(self._turns.pop(item), process, now)

    def _give_up(self, call: Call, why: str) -> None:
        self.note(f"refuse {call.number} {why}")
        self.ended[why] += 1
