"""Upper bounds of when the leases of a host's runs end, and what each bound is known from."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class LeaseBasis(Enum):
    """What the latest end of a host's leases is known from."""

    NONE = "none"
    GRANT = "grant"
    ATTACHMENT = "attachment"
    RECORD = "record of the last scheduler"
    PREDECESSOR_ENDED = "end of the last scheduler"
    ASSUMPTION = "assumption"


class LeaseBound(NamedTuple):
    """The time (boot-clock seconds) by which leases have ended."""

    until: float
    basis: LeaseBasis


NO_LEASE = LeaseBound(float("-inf"), LeaseBasis.NONE)


@dataclass(slots=True)
class HostLeases:
    """Bounds of the leases of one host's runs, in one term.

    `granted` bounds the leases of this term's scheduler, `former` those of earlier ones. An earlier
    scheduler may be followed by the next process of the agent, until the executor has seen a
    fencing token of this term; `unfenced` bounds the leases in that case.
    """

    granted: LeaseBound = NO_LEASE
    former: LeaseBound = NO_LEASE
    unfenced: LeaseBound = NO_LEASE

    @property
    def bound(self) -> LeaseBound:
        """The bound of all leases, if the agent's process lives."""
        return max(self.granted, self.former, key=_until)

    @property
    def until(self) -> float:
        """The time by which all runs have ended unless another lease is granted."""
        return self.bound.until

    def left_s(self, now: float) -> float:
        """Return the longest time (s) that leases may last, also under another agent process."""
        return max(0.0, max(self.until, self.unfenced.until) - now)

    def restore(self, until: float, basis: LeaseBasis) -> None:
        """Set the bound of the leases that earlier schedulers may have granted."""
        self.former = self.unfenced = LeaseBound(until, basis)

    def grant(self, until: float) -> None:
        """Note a lease that this term's scheduler grants."""
        self.granted = max(self.granted, LeaseBound(until, LeaseBasis.GRANT), key=_until)

    def on_attached(self, until: float) -> None:
        """Note that the agent takes no grants of earlier schedulers any more."""
        self.former = min(self.former, LeaseBound(until, LeaseBasis.ATTACHMENT), key=_until)

    def on_detached(self) -> None:
        """Note that the agent's process may have ended."""
        self.former = max(self.former, self.unfenced, key=_until)

    def on_fenced(self, until: float) -> None:
        """Note that the executor has answered under a fencing token of this term.

        What it runs may go on until then, also if nothing more is granted.
        """
        self.former = LeaseBound(until, LeaseBasis.ATTACHMENT)
        self.unfenced = NO_LEASE

    def limit_former(self, until: float, basis: LeaseBasis) -> None:
        """Note that the leases that earlier schedulers have granted last until then at most."""
        bound = LeaseBound(until, basis)
        self.former = min(self.former, bound, key=_until)
        self.unfenced = min(self.unfenced, bound, key=_until)


def _until(bound: LeaseBound) -> float:
    return bound.until
