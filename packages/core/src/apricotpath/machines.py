"""Machines as the platform's machine service lists them, and the upkeep that operators order."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from apricotpath.errors import ApricotpathError
from apricotpath.ids import Epoch, MachineId, WaveId
from apricotpath.store import Compare

NO_INSTANCE = ""


class MachineServiceError(ApricotpathError):
    """The machine service did not answer, or its answer is malformed."""


class MachineState(Enum):
    """State of a machine by the machine service."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A listed machine; `instance` is the instance id of its executor, which may have none."""

    machine: MachineId
    state: MachineState
    instance: str = NO_INSTANCE


@dataclass(frozen=True, slots=True)
class MachineList:
    """Listed machines. If the list is not `whole`, a machine that is absent may still exist."""

    machines: tuple[Machine, ...]
    whole: bool = True


class UpkeepAnswer(Enum):
    """Outcome of an upkeep order.

    BEGUN: carried out, now or earlier. After UNANSWERED, the order may have been carried out, or
    may be later. All others had no effect.
    """

    BEGUN = "begun"
    FENCED = "fence"
    BUSY = "busy"
    NOT_IN_WAVE = "wave"
    NO_SUCH_MACHINE = "no-such-machine"
    LIMITED = "rate-limit"
    NOT_SENT = "not-sent"
    UNANSWERED = "no-answer"


class MachineService(Protocol):
    """Calls to the machine service."""

    async def list_machines(self, wanted: Collection[MachineId]) -> MachineList:
        """Return those of the wanted machines that exist; raises MachineServiceError."""

    async def order_upkeep(self, machine: MachineId, wave: WaveId, epoch: Epoch) -> UpkeepAnswer:
        """Order the upkeep of a machine with the epoch as fencing token; idempotent."""


@dataclass(frozen=True, slots=True)
class Wave:
    """Upkeep of some machines within `duration_s`, with at most `max_down` down at the same time.

    `revision` is that of the store's key.
    """

    wave: WaveId
    machines: tuple[MachineId, ...]
    duration_s: float
    max_down: int
    revision: int = 0


class WaveState(Enum):
    """State of a wave as operators see it."""

    RUNNING = "running"
    COMPLETED = "completed"


@dataclass(frozen=True, slots=True)
class WaveStatus:
    """Stored state of a wave. It concerns the wave as it was at a revision of the store."""

    state: WaveState
    revision: int


class WaveStatuses(Protocol):
    """The states of waves in the store; calls raise StoreError."""

    async def read(self) -> dict[WaveId, WaveStatus]:
        """Return all stored states."""

    async def write(self, wave: WaveId, state: WaveState, leads: Compare) -> bool:
        """Store the state of a wave; return False, and change nothing, if `leads` is false."""


@dataclass(frozen=True, slots=True)
class UpkeepSettings:
    """Settings of machine upkeep; times in seconds.

    `takeover_s`: a new scheduler sends no order for this long after its election. `upkeep_s`:
    how long a machine is down for its upkeep. `orders_per_s`: limit of upkeep orders of all nodes
    together.
    """

    takeover_s: float = 3.0
    upkeep_s: float = 2.0
    orders_per_s: float = 60.0
