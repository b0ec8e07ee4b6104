"""Support that entries give a leader, by which its successor knows when its last lease was granted.

A leader grants leases only while each entry in its stored `SupportersRecord` has answered a
`SupportRequest` that was sent less than SUPPORT_S ago. An entry that is named in the record and is
elected next has stopped answering before, so it knows when the former leader's grants have ended.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Self

from apricotpath.boottime import boot_s
from apricotpath.entrymessages import NO_EPOCH, HostHold, Supported, SupportRequest
from apricotpath.entryrecords import MAX_RECORD_BYTES
from apricotpath.errors import InputError
from apricotpath.ids import Epoch, HostId, IncarnationId, ProcessId
from apricotpath.jsonfields import parse_object, read_int, read_list, read_str
from apricotpath.jsontext import json_bytes
from apricotpath.store import new_token

# How long after a request was sent its answer lets the leader grant leases.
SUPPORT_S = 0.8


class Supporter(NamedTuple):
    """One process of an entry."""

    entry: ProcessId
    incarnation: IncarnationId


@dataclass(frozen=True, slots=True)
class SupportersRecord:
    """The entries without whose support the leader of an epoch grants no lease, as stored.

    A leader waits for an entry from before the record names it, and until after the record has
    ceased to name it. The first record of an epoch is written with its election and names only
    entries that the last leader's record named.
    """

    epoch: Epoch
    supporters: frozenset[Supporter]

    def handed_on(self, epoch: Epoch, *entries: ProcessId) -> "SupportersRecord":
        """Return the first record of a later epoch, without processes of some entries."""
        left = frozenset(name for name in self.supporters if name.entry not in entries)
        return SupportersRecord(epoch, left)

    @classmethod
    def parse(cls, value: bytes) -> Self:
        """Return the record of a stored value, or raise InputError."""
        if len(value) > MAX_RECORD_BYTES:
            raise InputError(f"the record is longer than {MAX_RECORD_BYTES} bytes")
        content = parse_object(value, "the record")
        rows = read_list(content, "supporters")
        return cls(Epoch(read_int(content, "epoch", low=1)), frozenset(map(_parse_supporter, rows)))

    def encode(self) -> bytes:
        """Return the stored form, with a unique token of this write."""
        rows = [
            {"entry": entry, "incarnation": incarnation}
            for entry, incarnation in sorted(self.supporters)
        ]
        return json_bytes({"epoch": self.epoch, "supporters": rows, "token": new_token()})


def _parse_supporter(row: Any) -> Supporter:
    return Supporter(ProcessId(read_str(row, "entry")), IncarnationId(read_str(row, "incarnation")))


def supporters_key(prefix: str) -> str:
    """Return the key of the newest leader's `SupportersRecord`."""
    return f"{prefix}ctl/supporters"


@dataclass(frozen=True, slots=True)
class SupportEvidence:
    """What a supporter knows of the leader of an epoch; times on the boot clock.

    The leader grants no lease from `grants_until` on, nor do those before it. `holds_until`:
    by when the leases of single hosts have ended, which the leader does not extend. Both hold
    only if the leader waits for the supporter.
    """

    epoch: Epoch
    grants_until: float
    holds_until: Mapping[HostId, float] = field(default_factory=dict)


NO_EVIDENCE = SupportEvidence(NO_EPOCH, float("inf"))


class GivenSupport:
    """The support that this entry gives to the newest leader, one epoch at a time."""

    def __init__(self) -> None:
        self._epoch = NO_EPOCH
        self._answered_at = float("-inf")
        self._former_until = float("inf")
        self._holds_until: dict[HostId, float] = {}
        self._holds_number = 0
        # Of the leader before the present one, which asks for it.
        self._former = NO_EVIDENCE

    def answer(self, request: SupportRequest, newest: Epoch) -> Supported | None:
        """Support a leader until the next request; return None if a later epoch may have begun.

        `newest` is the latest epoch that this entry has heard of.
        """
        if request.epoch < max(newest, self._epoch):
            return None
        now = boot_s()
        if request.epoch > self._epoch:
            self._former = self.evidence(request.former, float("inf"))
            self._epoch, self._holds_until, self._holds_number = request.epoch, {}, 0
            self._former_until = float("inf")
        self._former_until = min(self._former_until, now + request.former_ms / 1000)
        if request.holds_number > self._holds_number:
            self._holds_number = request.holds_number
            self._holds_until = {hold.host: now + hold.left_ms / 1000 for hold in request.holds}
        self._answered_at = now
        former = self._former
        if request.former == NO_EPOCH or request.former != former.epoch:
            return Supported(request.epoch, request.number)
        left_ms = milliseconds(former.grants_until - now)
        holds = host_holds({name: t - now for name, t in former.holds_until.items()})
        return Supported(request.epoch, request.number, former.epoch, left_ms, holds)

    def evidence(self, epoch: Epoch, former_until: float) -> SupportEvidence:
        """Return what is known of the leader of an epoch, if it waits for this entry's support.

        `former_until` is the time by which the leaders before it have ended, as far as is known
        otherwise.
        """
        if NO_EPOCH in (epoch, self._epoch) or epoch < self._epoch:
            return NO_EVIDENCE
        answered_until = self._answered_at + SUPPORT_S
        if epoch > self._epoch:
            # A leader that waits for this entry and got no answer has granted nothing, and was
            # elected while the one before it waited for this entry, too.
            former_until = self._former_until
        grants_until = max(min(former_until, self._former_until), answered_until)
        return SupportEvidence(epoch, grants_until, dict(self._holds_until))


def milliseconds(seconds: float) -> int:
    """Return a duration in whole milliseconds, rounded up, and 0 for a negative one."""
    return math.ceil(1000 * max(0.0, seconds))


def host_holds(holds: Mapping[HostId, float]) -> tuple[HostHold, ...]:
    """Return the rows of a message for how many seconds runs may continue, by host."""
    return tuple(HostHold(host, milliseconds(left_s)) for host, left_s in holds.items())
