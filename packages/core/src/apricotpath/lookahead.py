"""Reservations with backfill: the plan that passes of the scheduler share while one entry leads.

The first waiting groups that do not fit hold a reservation each; others start on its hosts if they
are expected to end before it begins, or fit beside it. A new scheduler starts without a plan.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import replace
from typing import NamedTuple

from apricotpath.forecasts import Forecasts
from apricotpath.hostload import HostLoad, PlacementInput, is_large, may_use
from apricotpath.ids import HostId, JobId
from apricotpath.joborder import WaitingGroup
from apricotpath.jobtable import JobTable
from apricotpath.planevents import GiveUpReason, PlanCounts
from apricotpath.reservations import (
    Candidate,
    Reservation,
    Slot,
    slots_for_gang,
    slots_for_tasks,
    spare_beside,
)
from apricotpath.runtimes import RunTimes
from apricotpath.workload import TaskKey

# Groups that hold a reservation at the same time.
MAX_RESERVATIONS = 4
# At most one in this many hosts is reserved for tasks that start one by one. A gang may hold
# more if nothing else is reserved on the hosts that it may use.
HOSTS_PER_RESERVED = 5
# A group that has waited this long gets a reservation; most groups fit sooner.
RESERVE_AFTER_S = 0.3
# A reservation that has not been used this long after its start is made anew.
LATE_S = 0.5
# A group holds reservations for this long in all, and then none for some time, so that wrong
# forecasts do not keep hosts free for ever.
MAX_HELD_S = 20.0
COOL_OFF_S = 10.0
# A group for which no room was found is tried again after this time.
RETRY_S = 1.0
# Searches for room in one pass, which bounds its time.
SEARCHES_PER_PASS = 1

GroupKey = tuple[JobId, int, int]


class GroupBounds(NamedTuple):
    """Which reservations a group must heed, and when its tasks would end if started now."""

    reservations: tuple[GroupKey, ...] = ()
    ends_at: float = 0.0


UNBOUND = GroupBounds()


class Lookahead:
    """Learned run times, forecasts of ends, and reservations of one scheduler."""

    def __init__(self) -> None:
        self.times = RunTimes()
        self.forecasts = Forecasts(self.times)
        self.reservations: dict[GroupKey, Reservation] = {}
        self.counts = PlanCounts()
        self._held_since: dict[GroupKey, float] = {}
        self._retry_at: dict[GroupKey, float] = {}
        self._searches_left = 0
        # Those of the current pass.
        self._loads: Mapping[HostId, HostLoad] = {}

    def copy(self) -> "Lookahead":
        """Return a plan that passes may change without changing this one; run times are shared."""
        other = Lookahead()
        other.times, other.forecasts = self.times, self.forecasts.copy()
        other.reservations = {
            key: replace(item, slots=item.slots.copy()) for key, item in self.reservations.items()
        }
        other._held_since, other._retry_at = self._held_since.copy(), self._retry_at.copy()
        return other

    def take_counts(self) -> PlanCounts:
        """Return the counts and start them anew."""
        taken, self.counts = self.counts, PlanCounts()
        return taken

    def begin_pass(
        self,
        table: JobTable,
        groups: Iterable[WaitingGroup],
        loads: Mapping[HostId, HostLoad],
        inputs: PlacementInput,
    ) -> None:
        """Renew forecasts, give up what no longer holds, and mark the reserved hosts."""
        self._searches_left, self._loads = SEARCHES_PER_PASS, loads
        self.forecasts.refresh(table, inputs.hosts, inputs.now)
        self._forget(table, inputs.now)
        if not self.reservations:
            return
        waiting = {group.tasks[0].key.step_key: group for group in groups}
        self._drop_started(table)
        for key, item in list(self.reservations.items()):
            reason = self._review(item, waiting.get(key), loads, inputs)
            if reason is not None:
                self._give_up(key, reason, inputs.now)
        for item in self.reservations.values():
            self._mark(table, item)

    def _forget(self, table: JobTable, now: float) -> None:
        """Drop what is remembered of groups that wait no longer, or whose time has passed."""
        for key in [key for key in self._held_since if key not in table.waiting_steps]:
            del self._held_since[key]
        for key in [key for key, at in self._retry_at.items() if now >= at]:
            del self._retry_at[key]

    def _review(
        self,
        item: Reservation,
        group: WaitingGroup | None,
        loads: Mapping[HostId, HostLoad],
        inputs: PlacementInput,
    ) -> GiveUpReason | None:
        """Return why a reservation no longer holds, or None; drops single hosts of tasks."""
        if group is None:
            return GiveUpReason.GONE
        if inputs.now - item.held_since > MAX_HELD_S:
            return GiveUpReason.OVERDUE
        dropped = {}
        for host, slot in item.slots.items():
            load = loads.get(host)
            if load is None or not may_use(load, item.step, group.queue, inputs):
                dropped[host] = GiveUpReason.HOST
            elif load.most_room_for(item.step) < slot.tasks:
                dropped[host] = GiveUpReason.NO_ROOM
            elif inputs.now > slot.starts_at + LATE_S:
                dropped[host] = GiveUpReason.LATE
        if dropped and (item.step.gang or len(dropped) == len(item.slots)):
            return next(iter(dropped.values()))
        excess = list(item.slots)[len(group.tasks) :] if not item.step.gang else []
        for host in {*dropped, *excess}:
            del item.slots[host]
        return None

    def _give_up(self, key: GroupKey, reason: GiveUpReason, now: float) -> None:
        for host in self.reservations.pop(key).slots:
            if host in self._loads:
                self._loads[host].hold = None
        self.counts.given_up[reason] += 1
        if reason is not GiveUpReason.LATE:
            self._held_since.pop(key, None)
        if reason is GiveUpReason.OVERDUE:
            self._retry_at[key] = now + COOL_OFF_S

    def _mark(self, table: JobTable, item: Reservation) -> None:
        """Set the limits that a reservation puts on its hosts."""
        for host, slot in item.slots.items():
            load, forecast = self._loads[host], self.forecasts.get(table, host)
            load.hold, load.held_from = item.hold, slot.starts_at
            if forecast is not None:
                load.spare = spare_beside(Candidate(load, forecast), item.step, slot)

    def _drop_started(self, table: JobTable) -> None:
        """Count the reservations as used whose groups have started, here or elsewhere."""
        for key in [key for key in self.reservations if key not in table.waiting_steps]:
            row = table.rows.get(key[0])
            if row is not None and not row.to_be_stopped:
                self._use(key)

    def _use(self, key: GroupKey) -> None:
        del self.reservations[key]
        self._held_since.pop(key, None)
        self.counts.used += 1

    def nothing_waits(self, table: JobTable) -> None:
        """Drop all reservations, since no group waits."""
        self._drop_started(table)
        for key in list(self.reservations):
            self._give_up(key, GiveUpReason.GONE, 0.0)

    def begin_group(self, group: WaitingGroup, now: float) -> GroupBounds:
        """Set which reservations bind a group that is to be placed, and return these bounds."""
        if not self.reservations:
            return UNBOUND
        key = group.tasks[0].key.step_key
        ends_at = now + self.times.expected_s(group.step, now)
        for item in self.reservations.values():
            own = item.group == key
            item.hold.bound = not own and not _precedes(group, item)
            item.hold.group_ends_at = float("-inf") if own else ends_at
        binding = tuple(key for key, item in self.reservations.items() if item.hold.bound)
        return GroupBounds(binding, ends_at)

    def may_reserve(self, group: WaitingGroup, now: float) -> bool:
        """Return whether a group that was not placed may get a reservation in this pass."""
        first, key = group.tasks[0], group.tasks[0].key.step_key
        if group.step.filler and not group.step.gang:
            return False
        if not self._searches_left or now - first.waiting_since < RESERVE_AFTER_S:
            return False
        if key in self.reservations or key in self._retry_at:
            return False
        # One more may be held, or the group takes the place of a less urgent one.
        if len(self.reservations) < MAX_RESERVATIONS:
            return True
        return self.reservations[self._least_urgent()].priority > group.queue.priority

    def reserve(
        self,
        table: JobTable,
        group: WaitingGroup,
        unplaced: int,
        allowed: Collection[HostLoad],
        now: float,
    ) -> None:
        """Reserve room for the tasks of a group that were not placed, if there is any in time."""
        key = group.tasks[0].key.step_key
        large = any(is_large(group.step, load.capacity) for load in allowed)
        if not group.step.gang and not large:
            self._retry_at[key] = now + RETRY_S
            return
        self._searches_left -= 1
        slots = self._search(table, group, unplaced, allowed, now)
        if not slots:
            self._held_since.pop(key, None)
            self._retry_at[key] = now + RETRY_S
            return
        if len(self.reservations) == MAX_RESERVATIONS:
            self._give_up(self._least_urgent(), GiveUpReason.URGENT, now)
        since = self._held_since.setdefault(key, now)
        item = Reservation(key, group.step, group.queue.priority, since, slots)
        self.reservations[key] = item
        self.counts.made += 1
        self._mark(table, item)

    def _least_urgent(self) -> GroupKey:
        return max(self.reservations, key=lambda key: self.reservations[key].priority)

    def _search(
        self,
        table: JobTable,
        group: WaitingGroup,
        unplaced: int,
        allowed: Collection[HostLoad],
        now: float,
    ) -> dict[HostId, Slot]:
        """Return the room that a group is to get; empty if there is none."""
        step, task = group.step, group.tasks[0].key
        held = sum(load.hold is not None for load in allowed)
        limit = max(1, len(allowed) // HOSTS_PER_RESERVED) - held
        candidates = [
            Candidate(load, forecast)
            for load in allowed
            if load.hold is None
            and load.within_max_per_host(task, step)
            and (forecast := self.forecasts.get(table, load.host.host)) is not None
        ]
        if not step.gang:
            return slots_for_tasks(step, min(unplaced, limit), candidates, now) if limit > 0 else {}
        slots = slots_for_gang(step, candidates, now)
        return slots if not held or len(slots) <= limit else {}

    def end_pass(self, placed: Iterable[tuple[TaskKey, HostId]]) -> None:
        """Note the tasks that a pass has placed, and on which hosts."""
        if not self.reservations:
            return
        held = {host for item in self.reservations.values() for host in item.slots}
        for task, host in placed:
            item = self.reservations.get(task.step_key)
            if item is None:
                self.counts.backfilled += host in held
                continue
            slot = item.slots.pop(host, None)
            if slot is not None and slot.tasks > 1:
                item.slots[host] = slot._replace(tasks=slot.tasks - 1)
        for key in [key for key, item in self.reservations.items() if not item.slots]:
            self._use(key)


def _precedes(group: WaitingGroup, item: Reservation) -> bool:
    """Return whether a group is more urgent than one with a reservation, which does not bind it."""
    if group.queue.priority != item.priority:
        return group.queue.priority < item.priority
    return group.step.long_running and not item.step.long_running
