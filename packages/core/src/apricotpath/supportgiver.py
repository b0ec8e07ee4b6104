"""The support that an entry gives to leaders, as far as its own elections let it."""

from apricotpath.electionattempt import ElectionAttempt
from apricotpath.entrymessages import NO_EPOCH, Supported, SupportRequest
from apricotpath.entryrecords import LeaderRecord, RecordReader
from apricotpath.fencelimits import epoch_key
from apricotpath.leadersupport import (
    NO_EVIDENCE,
    GivenSupport,
    Supporter,
    SupportersRecord,
    SupportEvidence,
    supporters_key,
)
from apricotpath.mirror import Mirror
from apricotpath.predecessors import Predecessors
from apricotpath.store import Compare


class SupportGiver:
    """Answers leaders, and tells what that shows when this entry is elected.

    While `is_acquiring`, an attempt of this entry to be elected is being written.
    """

    def __init__(
        self,
        own: Supporter,
        prefix: str,
        mirror: Mirror,
        predecessors: Predecessors,
        leader_records: RecordReader[LeaderRecord],
    ) -> None:
        self.is_acquiring = False
        self.records = RecordReader(SupportersRecord.parse)
        self._own, self._mirror, self._predecessors = own, mirror, predecessors
        self._key, self._epoch_key = supporters_key(prefix), epoch_key(prefix)
        self._leader_records = leader_records
        self._given = GivenSupport()
        # Attempts without an answer, whose writes may be carried out late.
        self._open_attempts: list[ElectionAttempt] = []

    def answer(self, request: SupportRequest) -> Supported | None:
        """Support a leader that asks for it; return None if a later term may have begun."""
        if not self._mirror.loaded.is_set() or self._may_be_elected():
            return None
        newest = self._predecessors.newest
        stored = self._leader_records.read(self._mirror.items.get(self._epoch_key))
        known = [record.epoch for record in (newest, stored) if record is not None]
        return self._given.answer(request, max(known, default=request.epoch))

    def note_unanswered(self, attempt: ElectionAttempt) -> None:
        """Note an attempt of this entry to be elected that may be carried out late."""
        self._open_attempts.append(attempt)

    def _may_be_elected(self) -> bool:
        """Tell whether an attempt of this entry is being written, or may be carried out late."""
        self._open_attempts = [
            attempt
            for attempt in self._open_attempts
            if all(self._revision(item.key) == item.mod_revision for item in attempt.compares)
        ]
        return self.is_acquiring or bool(self._open_attempts)

    def _revision(self, key: str) -> int:
        """Return the mod revision of a key in this entry's copy, 0 if it is absent."""
        item = self._mirror.items.get(key)
        return item.mod_revision if item is not None else 0

    def supporters_of(self, leader: LeaderRecord | None) -> SupportersRecord:
        """Return the record of those whose support a leader waits for."""
        record = self.records.read(self._mirror.items.get(self._key))
        if leader is None or record is None or record.epoch != leader.epoch:
            return SupportersRecord(NO_EPOCH, frozenset())
        return record

    def compare(self) -> Compare:
        """Return the condition that the record of supporters has not changed."""
        return Compare(self._key, self._revision(self._key))

    def evidence(
        self, leader: LeaderRecord | None, supporters: frozenset[Supporter]
    ) -> SupportEvidence:
        """Return what this entry knows of a leader that waits for `supporters`."""
        if leader is None or self._own not in supporters:
            return NO_EVIDENCE
        return self._given.evidence(leader.epoch, self._predecessors.former_until(leader))
