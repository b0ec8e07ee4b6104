"""Replays a trace through the production decision code and compares it with baselines."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from functools import singledispatchmethod
from hashlib import sha256
from math import inf
from pathlib import Path
from random import Random
from typing import Any, cast

import anyio

from apricotpath.config import PolicySettings, RequestSettings, build, load_json
from apricotpath.control import Control
from apricotpath.errors import TraceError
from apricotpath.eviction import EvictionLimits, Victim, choose_victims
from apricotpath.ids import EntryId, Epoch, IncarnationId, JobId, ProcessId, ShardId, TeamId
from apricotpath.messages import Announce, DataCentreStatus, Message
from apricotpath.model import Maturity, Priority, Size
from apricotpath.placement import Mode
from apricotpath.quota import TeamLimit
from apricotpath.records import JobAccepted, JobCancelled
from apricotpath.signing import generate_key, sign_envelope
from apricotpath.trace import (
    Activity,
    Answer,
    BundleInForce,
    Cancel,
    Event,
    HostGone,
    HostUp,
    Job,
    Report,
    Request,
    Status,
    Trace,
)
from apricotpath_bench.hostmodel import START_DELAY_S, HostModel
from apricotpath_bench.quotareplay import replay_limits
from apricotpath_bench.requestreplay import RequestReplay
from apricotpathd.commands import Commands
from apricotpathd.hosts import HostRow, HostTable
from apricotpathd.reconcile import Reconciler
from apricotpathd.runs import OwnerState, Phase, Run, Shard, View
from apricotpathd.scheduling import ShardScheduler
from apricotpathd.shares import TeamShares

REPORT_INTERVAL_S = 1.0
SCAN_INTERVAL_S = 0.5
FEASIBILITY_INTERVAL_S = 5.0
# The replay continues after the last event to include its effects.
TAIL_S = 5.0
ENTRY = EntryId("entry-1")
FIRST_INCARNATION = IncarnationId("1")

DEFAULT_REQUESTS = RequestSettings()

ChooseVictims = Callable[..., list[Victim]]


@dataclass(frozen=True, slots=True)
class Modes:
    """Selects the production code or a baseline for each kind of decision.

    `statuses` is whether status changes of data centres take effect.
    """

    placement: Mode = Mode.POLICY
    victims: ChooseVictims = choose_victims
    requests: RequestSettings = DEFAULT_REQUESTS
    statuses: bool = True


@dataclass(frozen=True, slots=True)
class Result:
    """Figures of one run; times in seconds, work in core seconds.

    `work_at` is the useful work so far at each full second. `wasted` holds pairs of time and
    lost work, `samples` pairs of arrival time and latency. `result_counts` is the number of
    requests by result.
    """

    digest: str
    decisions: int
    work: float
    work_at: tuple[float, ...]
    wasted: tuple[tuple[float, float], ...]
    evictions: int
    urgent_start_s: float
    arrivals: tuple[float, ...]
    sends: tuple[float, ...]
    samples: tuple[tuple[float, float], ...]
    result_counts: Mapping[str, int]

    def work_in(self, begin: float, end: float) -> float:
        """Return the core seconds of useful work done in a window."""
        last = len(self.work_at) - 1
        return self.work_at[min(int(end), last)] - self.work_at[min(int(begin), last)]

    def lost(self, begin: float, end: float) -> float:
        """Return the core seconds wasted in a window."""
        return sum(work for at, work in self.wasted if begin <= at < end)

    def latency_s(self, share: float, begin: float, end: float) -> float:
        """Return the `share` quantile, from 0 to 1, of the latencies of requests in a window."""
        found = sorted(latency for at, latency in self.samples if begin <= at < end)
        return found[min(len(found) - 1, int(share * len(found)))] if found else 0.0


def first_victims(
    need: Size,
    victims: Iterable[Victim],
    free: Mapping[ProcessId, Size],
    limits: EvictionLimits,
    now: float,
) -> list[Victim]:
    """Eviction baseline: return the first low-priority tasks that free enough of one host."""
    found: dict[ProcessId, list[Victim]] = {}
    for victim in victims:
        if victim.priority is not Priority.LOW or victim.process not in free:
            continue
        chosen = found.setdefault(victim.process, [])
        chosen.append(victim)
        available = free[victim.process]
        for item in chosen:
            available = available + item.size
        if need.fits_in(available):
            return chosen
    return []


class ModelLink:
    """The entry's side of a link to a modelled host."""

    def __init__(
        self, model: HostModel, host_up: HostUp, record_decision: Callable[[str], None]
    ) -> None:
        self.model = model
        self.record_decision = record_decision
        self.process_id = host_up.process
        self.peer = self
        self.is_open = True
        self.last_heartbeat = None

    def send_nowait(self, message: Message, reply_to: int = 0) -> None:
        """Execute a command immediately."""
        self.record_decision(f"{type(message).__name__} {self.process_id} {message}")
        self.model.command(message, self.process_id)


class ModelCommands(Commands):
    """Commands that start attempts in the model."""

    def __init__(self, state: OwnerState, replay: "Replay") -> None:
        super().__init__(state)
        self.replay = replay

    def start(self, shard: Shard, run: Run) -> None:
        """Start an attempt; the host accepts it, since placement has checked the free capacity."""
        row = self.present_row(run.process)
        if row is None:
            run.expires_at = 0.0
            return
        replay = self.replay
        replay.record_decision(f"start {run.task} {run.attempt} {run.process}")
        replay.record_start(run)
        replay.model.start(run.process, run.task, run.attempt, run.spec, replay.ratios[run.job])
        run.anchor_clock_ms, run.anchor_incarnation = int(replay.now * 1000), row.incarnation
        run.expires_at = replay.now + self.state.lease_total_s
        run.sent_at, run.sends = replay.now, 1
        run.phase, run.accepted = Phase.RUNNING, True


class SingleMember:
    """Membership with a single entry, that of the replay."""

    def view(self) -> View:
        """Return a view with this entry only."""
        return View((ENTRY,), {})


class Replay:
    """One run of a trace; deterministic for a trace, modes and a seed."""

    def __init__(self, trace: Trace, modes: Modes, seed: int) -> None:
        self.trace = trace
        self.modes = modes
        self.now = 0.0
        self.model = HostModel()
        self.ratios: dict[JobId, float] = {}
        self._digest = sha256()
        self._decisions = 0
        self._urgent_waits_s: list[float] = []
        self._work_at: list[float] = []
        self._key = generate_key()
        self.control = Control((self._key.public_text,))
        self.hosts = HostTable()
        policy = replace(PolicySettings(), shards=1)
        self._start_utc = datetime.fromisoformat(trace.header.utc)
        self.state = OwnerState(
            ENTRY, policy, self.hosts, self.control, lambda: True, self.utc, modes.placement
        )
        self.commands = ModelCommands(self.state, self)
        self.shares = TeamShares(ENTRY, cast(Any, SingleMember()), self._team_limit, 0.0)
        self.scheduler = ShardScheduler(self.state, self.commands, self.shares)
        self.scheduler.choose_victims = modes.victims
        self.reconciler = Reconciler(self.state, self.commands)
        self.shard = Shard(ShardId(0), Epoch(1), cast(Any, None), 0.0, loaded=True)
        self.state.shards[ShardId(0)] = self.shard
        rng = Random(seed)
        self.requests = RequestReplay(
            modes.requests, self.control, self.model, rng, self.record_decision
        )

    def utc(self) -> datetime:
        """Return the UTC time of the current step."""
        return self._start_utc + timedelta(seconds=self.now)

    def _team_limit(self, team: TeamId) -> TeamLimit | None:
        rules = self.control.team(team)
        return TeamLimit(rules.share, rules.quota, rules.rate_per_s) if rules else None

    def record_decision(self, decision: str) -> None:
        """Add a decision to the digest."""
        self._decisions += 1
        self._digest.update(f"{self.now:.3f} {decision}\n".encode())

    def record_start(self, run: Run) -> None:
        """Record the time from acceptance to the first start of an urgent task."""
        if run.spec.priority is Priority.URGENT and run.attempt == 1:
            accepted = self.shard.table.jobs[run.job].accepted_at
            self._urgent_waits_s.append(self.utc().timestamp() - accepted + START_DELAY_S)

    def run(self) -> Result:
        """Replay the whole trace."""
        tick, events = self.state.policy.tick_s, self.trace.events
        last = events[-1].at if events else 0.0
        at, step = 0, 0
        while self.now < last + TAIL_S:
            while at < len(events) and events[at].at <= self.now:
                self._apply_event(events[at].event)
                at += 1
            self._tick(step)
            step += 1
            self.now = step * tick
        return self._result()

    def _result(self) -> Result:
        totals, requests = self.model.totals, self.requests
        return Result(
            self._digest.hexdigest()[:16],
            self._decisions,
            self.model.useful_work(),
            tuple(self._work_at),
            tuple(totals.wasted),
            totals.evictions,
            max(self._urgent_waits_s, default=0.0),
            tuple(requests.arrivals),
            tuple(requests.sends),
            tuple((sample.arrived, sample.latency_s) for sample in requests.samples),
            dict(requests.result_counts),
        )

    def _tick(self, step: int) -> None:
        """Run the steps of an owner's tick, in the same order."""
        now, tick = self.now, self.state.policy.tick_s
        self.model.step(now)
        if step % round(1.0 / tick) == 0:
            self._work_at.append(self.model.useful_work())
        self.requests.run(now)
        self._take_reports(step)
        if step % round(SCAN_INTERVAL_S / tick) == 0:
            self.reconciler.expire(now)
            self.scheduler.evict_forbidden(now)
            self.scheduler.guard_hosts(now)
            self.scheduler.restore_throttles(now)
            self.shares.renew_used_shares(now)
        if step % round(FEASIBILITY_INTERVAL_S / tick) == 0:
            self.scheduler.mark_impossible_jobs(now)
        self._journal()
        self.scheduler.place(now)
        self._journal()

    def _take_reports(self, step: int) -> None:
        every = round(REPORT_INTERVAL_S / self.state.policy.tick_s)
        for number, (process, row) in enumerate(self.hosts.rows.items()):
            host = self.model.hosts[process]
            due = (step + number) % every == 0 or host.outcomes
            if row.link is None or not due:
                continue
            self.state.inbox[process] = (row.link, self.model.report(process))
            for _, run in self.state.runs_on(process):
                run.expires_at = self.now + self.state.lease_total_s
        self.reconciler.process_reports(self.now)

    def _journal(self) -> None:
        """Apply all proposals immediately, as a journal without latency."""
        while self.shard.outbox:
            batch, self.shard.outbox = self.shard.outbox, []
            for proposal in batch:
                proposal.done([self.shard.table.apply(record) for record in proposal.records])

    @singledispatchmethod
    def _apply_event(self, event: Event) -> None:
        """Apply an event; other kinds, such as dropped lines of a recording, have no effect."""

    @_apply_event.register
    def _(self, event: Job) -> None:
        self.ratios[event.spec.job_id] = event.run_ratio
        self.shard.table.apply(JobAccepted(event.spec, self.utc().timestamp()))

    @_apply_event.register
    def _(self, event: Cancel) -> None:
        self.shard.table.apply(JobCancelled(event.job))
        self.reconciler.mark_cancelled(self.shard, event.job)
        self.reconciler.stop_cancelled(self.now)

    @_apply_event.register
    def _(self, event: HostUp) -> None:
        former_host = self.model.hosts.get(event.process)
        if former_host is not None and not former_host.gone:
            return
        service = event.service
        claim = self.control.claim_of(service) if service is not None else Size()
        self.model.host_up(event, claim)
        if service is not None and event.process not in self.requests.by_service[service]:
            self.requests.by_service[service].append(event.process)
        link = cast(Any, ModelLink(self.model, event, self.record_decision))
        announce = Announce(
            event.host,
            event.rack,
            event.data_centre,
            event.size,
            cast(Any, event.process),
            cast(Any, service or ""),
            event.slots,
            event.connections,
            False,
            True,
            Maturity.FULL,
        )
        former = self.hosts.rows.get(event.process)
        incarnation = (
            FIRST_INCARNATION if former is None else IncarnationId(f"{former.incarnation}+")
        )
        self.hosts.rows[event.process] = HostRow(event.process, incarnation, announce, link)
        self.shard.claims[event.process] = incarnation
        self.state.reports.pop(event.process, None)

    @_apply_event.register
    def _(self, event: HostGone) -> None:
        row = self.hosts.rows.get(event.process)
        if row is not None and row.link is not None:
            row.link, row.gone_at = None, self.now
            self.model.host_gone(event.process)
            self.state.index.remove(event.process)

    @_apply_event.register
    def _(self, event: Activity) -> None:
        self.model.activities[event.activity] = event

    @_apply_event.register
    def _(self, event: Request) -> None:
        self.requests.add(event, self.now)

    @_apply_event.register
    def _(self, event: Answer) -> None:
        host = self.model.hosts.get(event.process)
        if host is not None:
            failed = event.status == 0 or event.status >= 500
            host.fault = (event.status, event.latency_s) if failed else None

    @_apply_event.register
    def _(self, event: Report) -> None:
        """Do nothing: reports come from the model, since they depend on the decisions."""

    @_apply_event.register
    def _(self, event: Status) -> None:
        if self.modes.statuses:
            self.control.merge_statuses(
                (DataCentreStatus(event.data_centre, event.seq, event.state),)
            )

    @_apply_event.register
    def _(self, event: BundleInForce) -> None:
        if not self.control.merge_bundle(sign_envelope(event.text.encode(), self._key).to_bytes()):
            raise TraceError(
                f"the trace has a bundle that is not valid: {self.control.bundle_error}"
            )


def run_once(trace: Trace, modes: Modes | None = None, seed: int | None = None) -> Result:
    """Return the result of one run, in an event loop since anyio's events need one."""
    chosen = trace.header.seed if seed is None else seed

    async def main() -> Result:
        return Replay(trace, modes or Modes(), chosen).run()

    return anyio.run(main)


BASELINES: dict[str, Modes] = {
    "placement": Modes(placement=Mode.BASELINE),
    "eviction": Modes(victims=first_victims),
    "routing": Modes(requests=RequestSettings(choices=1, ejection=False)),
    "retry": Modes(requests=RequestSettings(retry_budget=False)),
    "stay": Modes(statuses=False),
}


WINDOW_ENDS = {
    "placement": "wave_to",
    "eviction": "urgent_to",
    "routing": "fail_to",
    "retry": "fail_to",
}


def compare(trace: Trace, seed: int | None = None) -> tuple[Result, dict[str, float]]:
    """Return the result of the production decisions, and all metrics against the baselines."""
    policy = run_once(trace, None, seed)
    if not policy.decisions:
        return policy, replay_limits(trace)
    settings = trace.header.settings
    baseline_results = {}
    for name, modes in BASELINES.items():
        # Events after the window of a comparison cannot change its figures.
        end = settings.get(WINDOW_ENDS.get(name, ""), inf)
        kept = tuple(timed for timed in trace.events if timed.at <= end)
        baseline_results[name] = run_once(replace(trace, events=kept), modes, seed)
    metrics = {"urgent.start_s": policy.urgent_start_s}
    metrics |= _placement_metrics(policy, baseline_results["placement"], settings)
    metrics |= _send_metrics(policy, baseline_results, settings)
    window = settings.get("urgent_from", 0.0), settings.get("urgent_to", 1e9)
    policy_value, baseline_value = policy.lost(*window), baseline_results["eviction"].lost(*window)
    metrics["eviction.wasted"], metrics["eviction.baseline_wasted"] = policy_value, baseline_value
    metrics["eviction.wasted_ratio"] = _ratio(policy_value, baseline_value)
    if settings.get("out_share"):
        lost = _ratio(baseline_results["stay"].work - policy.work, baseline_results["stay"].work)
        metrics["data_centre.lost_share"] = lost
        metrics["data_centre.lost_beyond"] = lost - settings["out_share"]
    metrics |= replay_limits(trace)
    return policy, metrics


def _ratio(value: float, base: float) -> float:
    return value / base if base else float(value > 0)


def _placement_metrics(
    policy: Result, base: Result, settings: Mapping[str, float]
) -> dict[str, float]:
    window = settings.get("wave_from", 0.0), settings.get("wave_to", 1e9)
    found = {}
    for name, share in (("p50", 0.5), ("p99", 0.99), ("p999", 0.999)):
        policy_value, baseline_value = (
            policy.latency_s(share, *window),
            base.latency_s(share, *window),
        )
        found[f"wave.{name}_s"], found[f"wave.baseline_{name}_s"] = policy_value, baseline_value
        found[f"wave.{name}_ratio"] = _ratio(policy_value, baseline_value)
    found["wave.work_ratio"] = _ratio(policy.work_in(*window), base.work_in(*window))
    return found


def _send_metrics(
    policy: Result, baseline_results: Mapping[str, Result], settings: Mapping[str, float]
) -> dict[str, float]:
    begin, end = settings.get("fail_from", 0.0), settings.get("fail_to", 1e9)
    found = {}
    for name, result in (
        ("", policy),
        ("random_", baseline_results["routing"]),
        ("free_", baseline_results["retry"]),
    ):
        arrived = sum(begin <= at < end for at in result.arrivals)
        sent = sum(begin <= at < end for at in result.sends)
        found[f"failed.{name}sent_ratio"] = _ratio(sent, arrived)
        total = sum(result.result_counts.values())
        found[f"failed.{name}answered_share"] = _ratio(
            result.result_counts.get("answered", 0), total
        )
    return found


@dataclass(frozen=True, slots=True)
class Outcome:
    """An expected outcome: a metric with its lower and upper bound, and the reason for them."""

    metric: str
    why: str
    least: float | None = None
    most: float | None = None

    def missed(self, metrics: Mapping[str, float]) -> str:
        """Return a message if the metric is missing or out of bounds, or an empty text."""
        value = metrics.get(self.metric)
        if value is None:
            return f"{self.metric}: the replay has no such metric"
        if self.most is not None and value > self.most:
            return f"{self.metric}: {value:.4g} is above {self.most:g} ({self.why})"
        if self.least is not None and value < self.least:
            return f"{self.metric}: {value:.4g} is below {self.least:g} ({self.why})"
        return ""


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Contents of a file of expected outcomes."""

    outcomes: tuple[Outcome, ...]


def report(trace: Trace, outcomes: Iterable[Outcome], seed: int | None = None) -> tuple[str, bool]:
    """Return the metrics as text, and whether all expected outcomes hold."""
    result, metrics = compare(trace, seed)
    lines = [f"digest {result.digest} of {result.decisions} decisions"]
    lines += [f"{name:34} {value:.4f}" for name, value in metrics.items()]
    missed = [text for outcome in outcomes if (text := outcome.missed(metrics))]
    lines += [f"missed: {text}" for text in missed]
    return "\n".join(lines), not missed


def load_outcomes(path: Path) -> tuple[Outcome, ...]:
    """Return the expected outcomes in a file; raises SettingsError."""
    return build(Outcomes, load_json(path), str(path)).outcomes
