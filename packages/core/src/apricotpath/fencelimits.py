"""Fencing tokens of epochs, and the stored limit of those that a scheduler may issue."""

from dataclasses import dataclass
from typing import Self

from apricotpath.entryrecords import LeaderRecord, RecordReader
from apricotpath.errors import InputError
from apricotpath.ids import Epoch, FenceToken
from apricotpath.jsonfields import parse_object, read_int
from apricotpath.jsontext import json_bytes
from apricotpath.store import KeyValue, new_token

# Size of an epoch's range of fencing tokens; each attachment of a host gets the next token.
FENCES_PER_EPOCH = 1 << 24
# The first limit of each epoch, written with its election.
FIRST_LIMIT = 1 << 20
# A limit is raised by this many tokens more than are needed at once.
SPARE_FENCES = 64
MAX_LIMIT_BYTES = 4 << 10


@dataclass(frozen=True, slots=True)
class FenceLimit:
    """How many tokens the scheduler of an epoch may issue, as stored under the limit's key."""

    epoch: Epoch
    limit: int

    @property
    def token(self) -> FenceToken:
        """The highest token that may be issued."""
        return FenceToken(self.epoch * FENCES_PER_EPOCH + self.limit)

    @classmethod
    def parse(cls, value: bytes) -> Self:
        """Return the limit of a stored value, or raise InputError."""
        if len(value) > MAX_LIMIT_BYTES:
            raise InputError(f"the limit is longer than {MAX_LIMIT_BYTES} bytes")
        content = parse_object(value, "the limit")
        return cls(
            Epoch(read_int(content, "epoch", low=1)),
            read_int(content, "limit", low=0, high=FENCES_PER_EPOCH - 1),
        )

    def encode(self) -> bytes:
        """Return the stored form, with a unique token of this write."""
        return json_bytes({"epoch": self.epoch, "limit": self.limit, "token": new_token()})


def epoch_key(prefix: str) -> str:
    """Return the key of the newest epoch."""
    return f"{prefix}ctl/epoch"


def limit_key(prefix: str) -> str:
    """Return the key of the limit of fencing tokens."""
    return f"{prefix}ctl/fences"


def epoch_of(fence: FenceToken) -> Epoch:
    """Return the epoch in which a fencing token was issued."""
    return Epoch(fence // FENCES_PER_EPOCH)


def highest_issued(epoch_item: KeyValue | None, limit_item: KeyValue | None) -> FenceToken:
    """Return a token that none exceeds which was issued before the first item was read.

    The limit must be read after the epoch. A scheduler without a stored limit is of an earlier
    version; only the tokens of the epochs before its own are covered then, since it would not
    issue higher ones.
    """
    record = RecordReader(LeaderRecord.parse).read(epoch_item)
    limit = RecordReader(FenceLimit.parse).read(limit_item)
    epoch = record.epoch if record is not None else Epoch(0)
    if epoch_item is not None and record is None:
        # No epoch exceeds the revision of its key, and the next one follows that revision.
        epoch = Epoch(epoch_item.mod_revision)
    if limit_item is not None and limit is None:
        limit = FenceLimit(epoch, FIRST_LIMIT)
    token = FenceToken(epoch * FENCES_PER_EPOCH)
    return max(token, limit.token) if limit is not None else token
