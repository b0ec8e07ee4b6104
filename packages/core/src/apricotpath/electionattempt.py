"""One attempt of an entry to be elected: what it rests on, and what it writes."""

import logging
from dataclasses import dataclass

from apricotpath.boottime import boot_s
from apricotpath.entryrecords import LeaderRecord
from apricotpath.fencelimits import FIRST_LIMIT, FenceLimit, epoch_key, limit_key
from apricotpath.ids import Epoch
from apricotpath.leadersupport import Supporter, SupportersRecord, supporters_key
from apricotpath.predecessors import GrantsEnd, GrantsEndBasis
from apricotpath.store import Compare, LeaseId, Put
from apricotpath.term import Term

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ElectionAttempt:
    """An attempt to be elected.

    `predecessor` is the leader before, `end` the bounds of its grants, and `former_supporters`
    those whose support it waits for as long as `compares` hold. `record` and `supporters` are
    written.
    """

    predecessor: LeaderRecord | None
    end: GrantsEnd
    former_supporters: frozenset[Supporter]
    compares: tuple[Compare, ...]
    record: LeaderRecord
    supporters: SupportersRecord

    @property
    def epoch(self) -> Epoch:
        """The epoch that begins if the attempt succeeds."""
        return self.record.epoch

    def puts(self, prefix: str, lease: LeaseId) -> list[Put]:
        """Return the writes; the first one is under the entry's store lease."""
        return [
            Put(f"{prefix}ctl/leader", self.record.encode(), lease),
            Put(epoch_key(prefix), self.record.encode()),
            Put(limit_key(prefix), FenceLimit(self.epoch, FIRST_LIMIT).encode()),
            Put(supporters_key(prefix), self.supporters.encode()),
        ]

    def term(self, prefix: str, revision: int, authority_s: float) -> Term:
        """Return the term that has begun with the store's revision of the election.

        `authority_s`: for how long at most a leader acts after a later one was elected.
        """
        limit = boot_s() + authority_s
        # A leader without supporters may have renewed its authority until now.
        until = limit if self.end.basis is GrantsEndBasis.AUTHORITY else min(self.end.until, limit)
        term = Term(
            self.epoch,
            epoch_key(prefix),
            revision,
            self.predecessor,
            self.end.former_until,
            until,
            self.end.holds_until,
            self.former_supporters,
            self.supporters.supporters,
        )
        if self.record.former_ended:
            term.predecessor_ended.set()
        return term

    def log_success(self, term: Term) -> None:
        """Log a new term, and what is known of the leaders before it."""
        now, leader = boot_s(), self.predecessor
        extra: dict[str, object] = {
            "epoch": term.epoch,
            "predecessor_ended": term.predecessor_ended.is_set(),
            "predecessor_wait_s": round(max(0.0, term.earlier_until - now), 3),
            "former_wait_s": round(max(0.0, term.former_until - now), 3),
            "basis": self.end.basis.value,
        }
        if leader is not None:
            extra["predecessor"] = {
                "epoch": leader.epoch,
                "entry": leader.entry,
                "ended": leader.ended,
                "former_ended": leader.former_ended,
            }
        log.info("scheduler elected", extra=extra)
