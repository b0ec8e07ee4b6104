"""Carries out upkeep waves during a scheduler's term: empties hosts, orders, reports."""

import logging
from collections import Counter
from collections.abc import Callable, Mapping

import anyio
from anyio.abc import TaskGroup

from apricotpath.boottime import boot_s
from apricotpath.errors import StoreError
from apricotpath.ids import MachineId, WaveId
from apricotpath.jobmetrics import JobMetrics
from apricotpath.machines import (
    MachineService,
    MachineServiceError,
    UpkeepAnswer,
    UpkeepSettings,
    Wave,
    WaveState,
    WaveStatus,
    WaveStatuses,
)
from apricotpath.store import Compare
from apricotpath.upkeepplan import UpkeepInput, UpkeepOrder, UpkeepPlan, match_hosts, plan_upkeep
from apricotpath.upkeeprecords import NO_RECORD, WaveRecord
from apricotpath.upkeepstate import MachineView, OrderState, WaveProgress
from apricotpathd.scheduler import Scheduler

log = logging.getLogger(__name__)

TICK_S = 0.2
# Machines are listed at most this often, as calls of the service are priced.
LIST_INTERVAL_S = 1.0
# A list is delayed for up to this time if an upkeep ends meanwhile.
MAX_LIST_DELAY_S = 0.6
# Nothing is ordered once this long has passed since the store showed that no later scheduler was
# elected. With the longest call it is below the time that a new scheduler waits.
MAX_AUTHORITY_AGE_S = 1.0
# Nothing is ordered by waves that were read longer ago; a quiet watch lasts one second.
MAX_WAVES_AGE_S = 2.5
REPORT_RETRY_S = 1.0
# A host with tasks that may not be stopped is given up for a while once none of them could be for
# this time: a task that is away may fit nowhere else, and is to run again in MAX_ABSENCE_S.
MAX_STUCK_S = 6.0
# Share of the order rate of all nodes that one scheduler uses.
ORDER_RATE_SHARE = 0.5
LOG_INTERVAL_S = 2.0
# Removed waves of which unanswered orders are remembered.
MAX_FORMER_WAVES = 64


class UpkeepKeeper:
    """Runs the waves in `waves()`, which were read from the store `waves_age_s()` ago.

    `serve` runs during a term. `last_led_at()` is the boot-clock time (s) at which the store
    showed last that no later scheduler was elected.
    """

    def __init__(
        self,
        service: MachineService,
        statuses: WaveStatuses,
        cfg: UpkeepSettings,
        waves: Callable[[], Mapping[WaveId, Wave]],
        waves_age_s: Callable[[], float],
        last_led_at: Callable[[], float],
        metrics: JobMetrics,
    ) -> None:
        self.service, self.statuses, self.cfg = service, statuses, cfg
        self.waves, self.metrics = waves, metrics
        self._waves_age_s, self._last_led_at = waves_age_s, last_led_at
        self.term: UpkeepTerm | None = None

    async def serve(self, scheduler: Scheduler) -> None:
        """Carry out waves until cancelled."""
        # Counts from the election, shortly before.
        orders_from = boot_s() + self.cfg.takeover_s
        await scheduler.loaded.wait()
        self.term = UpkeepTerm(self, scheduler, orders_from)
        try:
            await self.term.run()
        finally:
            self.term = None

    def may_order(self, now: float) -> bool:
        """Return whether the store has shown recently who schedules, and the open waves."""
        led_s = now - self._last_led_at()
        return led_s <= MAX_AUTHORITY_AGE_S and self._waves_age_s() <= MAX_WAVES_AGE_S

    def open_waves(self) -> int:
        """Return the number of open waves, at the entry that schedules."""
        return len(self.term.open()) if self.term else 0

    def overdue_waves(self) -> int:
        """Return the number of open waves whose time has passed."""
        return sum(item.due_at < boot_s() for item in self.term.open()) if self.term else 0

    def pending_machines(self) -> int:
        """Return the number of machines that are still to have their upkeep."""
        term = self.term
        return sum(len(item.pending(term.view)) for item in term.open()) if term else 0

    def emptied_hosts(self) -> int:
        """Return the number of hosts that are kept free of new starts."""
        return len(self.term.plan.stops) if self.term else 0


class UpkeepTerm:
    """The waves of one term; orders are sent from `orders_from` (boot-clock seconds) on."""

    def __init__(self, keeper: UpkeepKeeper, scheduler: Scheduler, orders_from: float) -> None:
        self.view = MachineView()
        self.plan = UpkeepPlan()
        self._keeper, self._scheduler, self._orders_from = keeper, scheduler, orders_from
        self._epoch = scheduler.term.epoch
        self._leads = Compare(scheduler.term.epoch_key, scheduler.term.epoch_revision)
        self._progress: dict[WaveId, WaveProgress] = {}
        self._stored: dict[WaveId, WaveStatus] | None = None
        self._records = scheduler.upkeep_records()
        self._recorded: dict[WaveId, WaveRecord] = {}
        # Closed waves whose records are still to be deleted.
        self._closed: set[WaveId] = set()
        self._record_retry_at = float("-inf")
        # Orders of removed waves that may still be carried out, in case the wave returns.
        self._former: dict[WaveId, dict[MachineId, OrderState]] = {}
        self._fenced: set[MachineId] = set()
        self._emptied: set[UpkeepOrder] = set()
        # Why machines were held back when they were looked at last.
        self._held: dict[UpkeepOrder, str] = {}
        self._overdue: set[WaveId] = set()
        self._list_at = self._orders_from
        self._report_at = self._logged_at = float("-inf")
        self._listing = self._paused = False

    async def run(self) -> None:
        """Carry out waves until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._tick(group)
                await anyio.sleep(TICK_S)

    def open(self) -> list[WaveProgress]:
        """Return the open waves."""
        waves = self._keeper.waves()
        return [item for name, item in self._progress.items() if name in waves]

    async def _tick(self, group: TaskGroup) -> None:
        waves = self._keeper.waves()
        if waves and self._stored is None and not await self._read_statuses():
            return
        self._update_waves(waves)
        await self._record_waves(boot_s())
        if not self._progress:
            self._apply(UpkeepPlan())
            return
        await self._report_running()
        now = boot_s()
        paused = not (self._keeper.may_order(now) and self._scheduler.rules.may_decide(now))
        if paused != self._paused:
            self._paused = paused
            log.info("upkeep paused" if paused else "upkeep goes on", extra={"epoch": self._epoch})
        if paused or now < self._orders_from:
            self._apply(UpkeepPlan())
            return
        if now >= self._list_at and not self._listing and not self._returns_soon(now):
            self._listing = True
            group.start_soon(self._list)
        await self._order(group, self._make_plan(now))
        await self._report_completed()
        self._log_state(now)

    # Waves and their states in the store.

    async def _read_statuses(self) -> bool:
        """Read what is stored on waves; only this scheduler writes it afterwards."""
        try:
            self._recorded = await self._records.read()
            self._stored = await self._keeper.statuses.read()
        except StoreError as exc:
            log.info("states of waves not read: %s", exc)
            return False
        return True

    def _update_waves(self, waves: Mapping[WaveId, Wave]) -> None:
        """Add new waves, take over changes, and drop removed and completed ones."""
        for name, wave in waves.items():
            progress = self._progress.get(name)
            if progress is not None:
                if wave.revision != progress.wave.revision:
                    self.view.forget(wave.machines)
                progress.wave = wave
            elif not self._is_completed(wave):
                self._open(wave)
                self.view.forget(wave.machines)
                self._overdue.discard(name)
                log.info(
                    "wave open",
                    extra={
                        "wave": name,
                        "machines": len(wave.machines),
                        "duration_s": wave.duration_s,
                        "max_down": wave.max_down,
                    },
                )
        for name in [name for name in self._progress if name not in waves]:
            log.info("wave removed", extra={"wave": name})
            orders = self._close(name).orders
            in_doubt = {machine: state for machine, state in orders.items() if state.in_doubt}
            if in_doubt and len(self._former) < MAX_FORMER_WAVES:
                self._former[name] = in_doubt

    def _open(self, wave: Wave) -> None:
        """Add a wave, with the upkeeps for it that have begun in earlier terms."""
        now = boot_s()
        progress = WaveProgress(wave, now, self._former.pop(wave.wave, {}))
        self._progress[wave.wave] = progress
        recorded = self._recorded.get(wave.wave, NO_RECORD)
        for machine in recorded.ordered:
            progress.order(machine).restore_ordered()
        if recorded.revision == wave.revision:
            progress.first_seen_at = now - recorded.open_s
            for machine in recorded.machines(wave):
                progress.order(machine).restore_begun(now)

    def _close(self, wave: WaveId) -> WaveProgress:
        """Drop a wave, and return what was known of it."""
        self._held = {order: why for order, why in self._held.items() if order.wave != wave}
        if self._recorded.pop(wave, None) is not None:
            self._closed.add(wave)
        return self._progress.pop(wave)

    def _is_completed(self, wave: Wave) -> bool:
        """Return whether a wave was completed and not written again since."""
        stored = (self._stored or {}).get(wave.wave)
        if stored is None or stored.state is not WaveState.COMPLETED:
            return False
        return stored.revision >= wave.revision

    async def _record_waves(self, now: float) -> None:
        """Record how far open waves have come, and delete the records of closed ones."""
        if self._stored is None or now < self._record_retry_at:
            return
        try:
            for wave in list(self._closed):
                if await self._records.delete(wave, self._leads):
                    self._closed.discard(wave)
            for progress in list(self._progress.values()):
                await self._record_wave(progress, now)
        except StoreError as exc:
            self._record_retry_at = boot_s() + REPORT_RETRY_S
            log.info("waves not recorded: %s", exc)

    async def _record_wave(self, progress: WaveProgress, now: float) -> None:
        """Record how far one wave has come, if that is more than is recorded."""
        name = progress.wave.wave
        open_s = now - progress.first_seen_at
        newer = WaveRecord.from_wave(progress.wave, progress.begun(), open_s, progress.ordered())
        if not self._recorded.get(name, NO_RECORD).is_outdated_by(newer):
            return
        if await self._records.write(name, newer, self._leads):
            self._recorded[name] = newer
            self._closed.discard(name)
        else:
            # A later scheduler was elected.
            self._record_retry_at = float("inf")

    async def _report_running(self) -> None:
        for name in list(self._progress):
            stored = (self._stored or {}).get(name)
            if stored is None or stored.state is not WaveState.RUNNING:
                await self._report(self._progress[name].wave, WaveState.RUNNING)

    async def _report_completed(self) -> None:
        for name in self.plan.completed:
            progress = self._progress[name]
            if await self._report(progress.wave, WaveState.COMPLETED):
                log.info("wave completed", extra={"wave": name})
                self._close(name)

    async def _report(self, wave: Wave, state: WaveState) -> bool:
        """Store the state of a wave; return whether that is done."""
        if boot_s() < self._report_at or self._stored is None:
            return False
        try:
            if await self._keeper.statuses.write(wave.wave, state, self._leads):
                # The operator may have written the wave again just before.
                self._stored[wave.wave] = WaveStatus(state, wave.revision)
                return True
        except StoreError as exc:
            self._report_at = boot_s() + REPORT_RETRY_S
            log.info("state of a wave not stored: %s", exc, extra={"wave": wave.wave})
            return False
        self._report_at = float("inf")
        log.warning("state of a wave not stored: a later scheduler was elected")
        return False

    # Plans and orders.

    def _returns_soon(self, now: float) -> bool:
        """Return whether a list that is requested a little later shows the end of an upkeep."""
        if now - self.view.requested_at > MAX_LIST_DELAY_S + LIST_INTERVAL_S:
            return False
        return any(
            now < state.down_until <= now + MAX_LIST_DELAY_S
            for progress in self._progress.values()
            for state in progress.orders.values()
        )

    async def _list(self) -> None:
        """List the machines of the open waves."""
        started = boot_s()
        wanted: set[MachineId] = set().union(*(item.names() for item in self._progress.values()))
        try:
            found = await self._keeper.service.list_machines(wanted)
            self.view.update(wanted, found, started, boot_s())
        except MachineServiceError as exc:
            log.info("machines not listed: %s", exc)
        finally:
            self._list_at = max(started + LIST_INTERVAL_S, boot_s())
            self._listing = False

    def _make_plan(self, now: float) -> list[UpkeepOrder]:
        """Make the next plan and apply it; return the orders to be sent now."""
        hosts = self._scheduler.host_tracker.hosts
        inputs = self._scheduler.placement_input(now)
        matched = match_hosts(self.view, self._scheduler.table, list(hosts.values()))
        for name in self.view.machines:
            if name in matched:
                self.view.unmatched_since.pop(name, None)
            else:
                self.view.unmatched_since.setdefault(name, now)
        plan = plan_upkeep(
            UpkeepInput(
                list(self._progress.values()),
                self.view,
                self._scheduler.table,
                inputs,
                self._keeper.cfg.upkeep_s,
                frozenset(self._fenced),
            )
        )
        self._apply(plan)
        self._note_emptied(now)
        rate = self._keeper.cfg.orders_per_s * ORDER_RATE_SHARE
        return plan.orders[: max(1, int(rate * TICK_S))]

    async def _order(self, group: TaskGroup, orders: list[UpkeepOrder]) -> None:
        """Start sending orders, once the next scheduler would know of them."""
        in_doubt = {order: self._state(order).in_doubt for order in orders}
        for order in orders:
            self._state(order).sending()
        if orders:
            await self._record_waves(boot_s())
        for order, was_in_doubt in in_doubt.items():
            progress = self._progress[order.wave]
            if order.machine in self._recorded.get(order.wave, NO_RECORD).ordered:
                group.start_soon(self._send, order, progress, was_in_doubt)
            else:
                now, answer = boot_s(), UpkeepAnswer.NOT_SENT
                progress.order(order.machine).answered(answer, was_in_doubt, 0.0, now)

    def _apply(self, plan: UpkeepPlan) -> None:
        """Mark the hosts to be emptied and those whose upkeep is still to come."""
        if not (plan.stops or plan.due or self.plan.stops or self.plan.due):
            self.plan = plan
            return
        changed = plan.stops.keys() != self.plan.stops.keys()
        self.plan = plan
        for name, host in self._scheduler.host_tracker.hosts.items():
            host.upkeep_stops = plan.stops.get(name)
            host.upkeep_due = name in plan.due
        if changed:
            log.info("hosts emptied for upkeep", extra={"hosts": sorted(plan.stops)})
            self._scheduler.wake()

    def _note_emptied(self, now: float) -> None:
        """Note since when machines are emptied; those that cannot be give way to others."""
        plan = self.plan
        for order in self._emptied - plan.emptied:
            if order.wave in self._progress:
                self._state(order).end_emptying()
        self._emptied = plan.emptied
        for order in plan.emptied:
            state = self._state(order)
            state.note_emptying(plan.stuck[order], now)
            if now - state.stuck_since > MAX_STUCK_S:
                log.info("emptying given up", extra=order._asdict())
                state.hold(now)
            self._held.pop(order, None)
        for order in plan.held:
            self._state(order).hold(now)
        self._held |= plan.held

    def _state(self, order: UpkeepOrder) -> OrderState:
        return self._progress[order.wave].order(order.machine)

    async def _send(self, order: UpkeepOrder, progress: WaveProgress, was_in_doubt: bool) -> None:
        """Send an order, unless the scheduler may have lost its place or the wave is removed."""
        keeper, state = self._keeper, progress.order(order.machine)
        answer = UpkeepAnswer.NOT_SENT
        if keeper.may_order(boot_s()) and order.wave in keeper.waves():
            answer = await keeper.service.order_upkeep(order.machine, order.wave, self._epoch)
        now = boot_s()
        state.answered(answer, was_in_doubt, keeper.cfg.upkeep_s, now)
        keeper.metrics.upkeep_answered(answer.value)
        extra = {"machine": order.machine, "wave": order.wave, "answer": answer.value}
        extra["epoch"] = self._epoch
        if answer is UpkeepAnswer.FENCED:
            self._fenced.add(order.machine)
            log.error("upkeep order fenced: a higher token was used", extra=extra)
        elif answer in (UpkeepAnswer.NOT_IN_WAVE, UpkeepAnswer.NO_SUCH_MACHINE):
            log.warning("upkeep refused", extra=extra)
        else:
            log.info("upkeep ordered", extra=extra)

    def _log_state(self, now: float) -> None:
        """Log waves whose time has passed, and the state of all at intervals."""
        for name, progress in self._progress.items():
            if progress.due_at < now and name not in self._overdue:
                self._overdue.add(name)
                left = progress.pending(self.view)
                log.warning("wave overdue", extra={"wave": name, "machines": len(left)})
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        for name, progress in self._progress.items():
            log.info(
                "wave running",
                extra={
                    "wave": name,
                    "pending": len(progress.pending(self.view)),
                    "down": sorted(progress.down(self.view, now)),
                    "emptied": sorted(item.machine for item in self.plan.emptied),
                    "held": dict(
                        Counter(why for order, why in self._held.items() if order.wave == name)
                    ),
                    "due_in_s": round(progress.due_at - now, 1),
                },
            )
