"""What a scheduler knows of the machines of upkeep waves during its term."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from apricotpath.ids import MachineId
from apricotpath.machines import Machine, MachineList, MachineState, UpkeepAnswer, Wave

# Delays before the next order for a machine whose last one was refused or not answered.
RETRY_FIRST_S = 1.0
RETRY_MAX_S = 16.0
# An unanswered order holds one of the places of its wave, and a limit of rates is soon over, so
# that these are repeated sooner.
RETRY_SOON_MAX_S = 2.0
# Refusals that hold for an earlier, unanswered order as well.
LASTING_REFUSALS = frozenset(
    {UpkeepAnswer.FENCED, UpkeepAnswer.NOT_IN_WAVE, UpkeepAnswer.NO_SUCH_MACHINE}
)
# A machine whose host cannot be emptied is left out for this time, so that others are looked at.
HELD_RETRY_S = 1.0
# A machine that stays down for this long after its upkeep is down for another reason.
UPKEEP_OVERDUE_S = 30.0
# A list may lack a machine that moves between its pages, so that two in a row must lack it.
ABSENCES = 2


@dataclass(slots=True)
class MachineView:
    """The newest list of the machines of open waves; times are boot-clock seconds.

    `requested_at`: when the newest list was requested; `took_s`: how long it took. `absences`
    counts the whole lists in a row that lack a machine. `unmatched_since`: since when no host has
    the instance of a machine.
    """

    machines: dict[MachineId, Machine] = field(default_factory=dict)
    requested_at: float = float("-inf")
    took_s: float = 0.0
    absences: dict[MachineId, int] = field(default_factory=dict)
    unmatched_since: dict[MachineId, float] = field(default_factory=dict)

    def update(
        self, wanted: set[MachineId], found: MachineList, requested_at: float, now: float
    ) -> None:
        """Take over a list that was requested for the wanted machines."""
        self.machines = {item.machine: item for item in found.machines}
        self.requested_at, self.took_s = requested_at, now - requested_at
        kept = self.unmatched_since.items()
        self.unmatched_since = {name: at for name, at in kept if name in self.machines}
        self.absences = {name: count for name, count in self.absences.items() if name in wanted}
        for name in wanted:
            if name in self.machines:
                self.absences.pop(name, None)
            elif found.whole:
                self.absences[name] = self.absences.get(name, 0) + 1

    def forget(self, machines: Iterable[MachineId]) -> None:
        """Forget what earlier lists lacked, for a wave that names machines anew."""
        for name in machines:
            self.absences.pop(name, None)

    def is_gone(self, machine: MachineId) -> bool:
        """Return whether a machine certainly does not exist any more."""
        return self.absences.get(machine, 0) >= ABSENCES


@dataclass(slots=True)
class OrderState:
    """What is known of the upkeep of one machine for one wave; times are boot-clock seconds.

    `begun`: the service has confirmed it. `in_flight`: a call is being made. `down_until`: the
    machine counts as down until a list that was requested later shows otherwise; infinite while
    an order may still be carried out. `emptied`: its host is being emptied. `stuck_since`: since
    when `stuck_runs` of its tasks may not be stopped, and none of them could be.
    """

    begun: bool = False
    in_flight: bool = False
    down_until: float = float("-inf")
    retry_at: float = float("-inf")
    delay_s: float = RETRY_FIRST_S
    emptied: bool = False
    stuck_since: float = float("inf")
    stuck_runs: int = 0

    @property
    def in_doubt(self) -> bool:
        """Whether an order was not answered and may have been, or still be, carried out."""
        return self.down_until == float("inf")

    def sending(self) -> None:
        """Note that an order is being sent."""
        self.in_flight, self.down_until = True, float("inf")

    def answered(
        self, answer: UpkeepAnswer, was_in_doubt: bool, upkeep_s: float, now: float
    ) -> None:
        """Take over the outcome of an order.

        A refusal proves nothing about an earlier order that was not answered. After one that
        holds for that one as well, the machine may at most be in the upkeep that it began.
        """
        self.in_flight = False
        if answer is UpkeepAnswer.BEGUN:
            self.begun, self.down_until = True, now + upkeep_s
            return
        if answer is not UpkeepAnswer.UNANSWERED:
            if not was_in_doubt:
                self.down_until = float("-inf")
            elif answer in LASTING_REFUSALS:
                self.down_until = now + upkeep_s
        lasts = answer is UpkeepAnswer.BUSY or answer in LASTING_REFUSALS
        self.postpone(now, RETRY_MAX_S if lasts and not self.in_doubt else RETRY_SOON_MAX_S)

    def restore_ordered(self) -> None:
        """Note that an order of an earlier scheduler may still be carried out."""
        self.down_until = float("inf")

    def restore_begun(self, now: float) -> None:
        """Note that an earlier scheduler has recorded that the upkeep has begun."""
        self.begun, self.down_until = True, now

    def postpone(self, now: float, max_delay_s: float = RETRY_MAX_S) -> None:
        """Send no order for a while, each time for longer."""
        self.retry_at = now + min(self.delay_s, max_delay_s)
        self.delay_s = min(2 * self.delay_s, RETRY_MAX_S)
        self.end_emptying()

    def hold(self, now: float) -> None:
        """Give way to other machines for a moment."""
        self.retry_at = now + HELD_RETRY_S
        self.end_emptying()

    def note_emptying(self, stuck_runs: int, now: float) -> None:
        """Note that the host is being emptied, and how many tasks may not be stopped now."""
        if not stuck_runs:
            self.stuck_since = float("inf")
        elif not self.stuck_runs or stuck_runs < self.stuck_runs:
            self.stuck_since = now
        self.emptied, self.stuck_runs = True, stuck_runs

    def end_emptying(self) -> None:
        """Note that the host takes starts again."""
        self.emptied, self.stuck_runs, self.stuck_since = False, 0, float("inf")

    def counts_as_down(self, name: MachineId, view: MachineView, now: float) -> bool:
        """Return whether the machine may be down for this wave."""
        if self.in_flight:
            return True
        if view.is_gone(name):
            return False
        machine = view.machines.get(name)
        if machine is not None and machine.state is MachineState.UPKEEP:
            return True
        if view.requested_at <= self.down_until:
            return True
        if machine is not None and machine.state is MachineState.UP:
            return False
        # Of a machine that was never ordered, down_until is minus infinity.
        return now < self.down_until + UPKEEP_OVERDUE_S


@dataclass(slots=True)
class WaveProgress:
    """An open wave; `first_seen_at` (boot-clock seconds) is when a scheduler saw it first."""

    wave: Wave
    first_seen_at: float
    orders: dict[MachineId, OrderState] = field(default_factory=dict)

    @property
    def due_at(self) -> float:
        """Boot-clock time (s) by which all machines are to have had their upkeep."""
        return self.first_seen_at + self.wave.duration_s

    def order(self, machine: MachineId) -> OrderState:
        """Return what is known of a machine of the wave."""
        found = self.orders.get(machine)
        if found is None:
            found = self.orders[machine] = OrderState()
        return found

    def names(self) -> set[MachineId]:
        """Return the machines that the wave names, or that were ordered for it."""
        return self.orders.keys() | self.wave.machines

    def begun(self) -> set[MachineId]:
        """Return the machines that have begun their upkeep for this wave."""
        return {name for name, state in self.orders.items() if state.begun}

    def ordered(self) -> set[MachineId]:
        """Return the machines with an order that may still be carried out."""
        return {name for name, state in self.orders.items() if state.in_doubt}

    def pending(self, view: MachineView) -> list[MachineId]:
        """Return the machines that exist and have not begun their upkeep for this wave."""
        return [
            name
            for name in self.wave.machines
            if not self.order(name).begun and not view.is_gone(name)
        ]

    def down(self, view: MachineView, now: float) -> Iterator[MachineId]:
        """Yield the machines that may be down for this wave, which may not name them any more."""
        for name in self.names():
            if self.order(name).counts_as_down(name, view, now):
                yield name
