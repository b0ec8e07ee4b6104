"""Until when the leaders before a term may grant leases, and what that is known from."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Self

from apricotpath.boottime import boot_s
from apricotpath.entryrecords import LeaderRecord
from apricotpath.entryregistry import EntryRegistry
from apricotpath.ids import HostId, ProcessId
from apricotpath.leadersupport import SupportEvidence


class GrantsEndBasis(Enum):
    """What the end of the earlier leaders' grants is known from."""

    FIRST = "no earlier leader"
    RECORD = "record of its end"
    SAME_ENTRY = "this entry led before"
    RESTART = "its entry has started again"
    SUPPORT = "support of this entry"
    AUTHORITY = "authority of a leader"


@dataclass(frozen=True, slots=True)
class GrantsEnd:
    """Bounds of the grants of all earlier leaders; times on the boot clock.

    None of them grants a lease from `until` on, and those before the last one none from
    `former_until` on. `holds_until`: by when the leases of single hosts have ended for good.
    """

    until: float
    former_until: float
    basis: GrantsEndBasis
    holds_until: Mapping[HostId, float] = field(default_factory=dict)

    @classmethod
    def first(cls) -> Self:
        """Return the bounds where there was no earlier leader."""
        return cls(boot_s(), float("-inf"), GrantsEndBasis.FIRST)


class Predecessors:
    """What an entry knows of the leaders before a term of its own.

    `newest` is the newest leader that was seen.
    """

    def __init__(self, entry: ProcessId, registry: EntryRegistry, authority_s: float) -> None:
        self.newest: LeaderRecord | None = None
        self._entry, self._registry, self._authority_s = entry, registry, authority_s
        self._seen_at = float("-inf")

    def see(self, record: LeaderRecord) -> None:
        """Remember the newest leader, and when it was first seen."""
        if self.newest is None or record.epoch > self.newest.epoch:
            self._seen_at = boot_s()
        self.newest = record

    def former_until(self, leader: LeaderRecord | None) -> float:
        """Return the time by which the leaders before the given one grant no lease any more."""
        now = boot_s()
        if leader is None:
            return now + self._authority_s
        if leader.former_ended:
            return float("-inf")
        seen = self.newest is not None and self.newest.epoch == leader.epoch
        seen_at = self._seen_at if seen else now
        # The record of the end tells what is left then, the one of the election what was left.
        told_at = now if leader.ended else seen_at
        left_s = self._authority_s if leader.former_left_s is None else leader.former_left_s
        return min(seen_at + self._authority_s, told_at + left_s)

    def has_ended(self, leader: LeaderRecord | None) -> bool:
        """Tell whether a leader certainly does nothing any more in its term."""
        # A malformed record does not tell who has led before.
        return leader is not None and self._end_basis(leader) is not GrantsEndBasis.AUTHORITY

    def _end_basis(self, leader: LeaderRecord) -> GrantsEndBasis:
        """Return what the end of a leader's term is known from."""
        if leader.ended:
            return GrantsEndBasis.RECORD
        if leader.entry == self._entry:
            return GrantsEndBasis.SAME_ENTRY
        if self._registry.has_restarted(leader):
            return GrantsEndBasis.RESTART
        return GrantsEndBasis.AUTHORITY

    def grants_end(self, leader: LeaderRecord | None, evidence: SupportEvidence) -> GrantsEnd:
        """Return the bounds of the grants of a leader and of all before it.

        `evidence` is that of this entry if the leader waits for its support.
        """
        now, former_until = boot_s(), self.former_until(leader)
        if leader is None:
            return GrantsEnd(now + self._authority_s, former_until, GrantsEndBasis.AUTHORITY)
        basis = self._end_basis(leader)
        limit_s = self._authority_s if basis is GrantsEndBasis.AUTHORITY else 0.0
        until = min(max(former_until, now + limit_s), now + self._authority_s)
        if evidence.grants_until < until:
            until, basis = evidence.grants_until, GrantsEndBasis.SUPPORT
        return GrantsEnd(until, former_until, basis, evidence.holds_until)
