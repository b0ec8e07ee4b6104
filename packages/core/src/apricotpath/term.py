"""One period in which an entry is the leader, and the settings of its candidacy."""

from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio

from apricotpath.boottime import boot_s
from apricotpath.entryrecords import LeaderRecord
from apricotpath.ids import Epoch, HostId
from apricotpath.leadersupport import Supporter


@dataclass(frozen=True, slots=True)
class ElectionSettings:
    """Settings of an entry's store lease, in seconds, and of its candidacy.

    `authority_s`: for how long at most a leader acts after a later one was elected.
    """

    lease_s: float = 1.5
    renew_s: float = 0.4
    authority_s: float = 6.0
    prefix: str = "apricotpath/"
    # Processors of this entry; among the candidates, the one with the most goes first.
    cores: float = 1.0


@dataclass(frozen=True, slots=True)
class Term:
    """One period in which an entry is the leader.

    `epoch_revision` is the mod revision of the epoch key; a write that compares
    it fails once a later term has begun. `predecessor` is the leader of the
    previous term, if any; `predecessor_ended` is set once that leader and all
    before it certainly grant no lease any more; their writes are fenced by the epoch. Those
    before it grant no lease from `former_until` on, and none of them does from `earlier_until`
    on, on the boot clock. By `holds_until` the leases of single hosts have ended that the
    predecessor did not extend. It
    waited for the support of `former_supporters` until this term began; this term begins with
    those of `supporters`.
    `holds` is filled when the term ends, see `LeaderRecord`. `given_up` is set
    if the leader cannot serve the term, and `ended` once it does nothing in it any more.
    `elected_at` is the time of the election on the boot clock.
    """

    epoch: Epoch
    epoch_key: str
    epoch_revision: int
    predecessor: LeaderRecord | None = None
    former_until: float = float("-inf")
    earlier_until: float = float("inf")
    holds_until: Mapping[HostId, float] = field(default_factory=dict)
    former_supporters: frozenset[Supporter] = frozenset()
    supporters: frozenset[Supporter] = frozenset()
    predecessor_ended: anyio.Event = field(default_factory=anyio.Event)
    holds: dict[HostId, float] = field(default_factory=dict)
    given_up: anyio.Event = field(default_factory=anyio.Event)
    ended: anyio.Event = field(default_factory=anyio.Event)
    elected_at: float = field(default_factory=boot_s)

    @property
    def grants_until(self) -> float:
        """The time from which on the leaders before this term grant no lease."""
        return float("-inf") if self.predecessor_ended.is_set() else self.earlier_until
