"""An agent's tables of request ids and idempotency keys; time is passed in, in seconds."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from apricotpath.ids import IncarnationId, KeyId, ProcessId, RequestId
from apricotpath.messages import Header, KeyReserved, ReserveKey
from apricotpath.model import KeyState, Maturity, Settlement

# An entry asks for a request until its deadline and a little longer, so a
# record without a key is of no use after that.
MIN_KEEP_S = 30.0
SETTLE_MARGIN_S = 5.0
# Former entry incarnations whose forgotten ids are remembered.
MAX_INCARNATIONS = 4096
# A table of this size takes about 30 MB; further keys are refused.
MAX_KEYS = 100_000


class RequestState(Enum):
    """State of a request id at an agent."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    NEVER = "never"


class StartVerdict(Enum):
    """What an agent does with a RequestStart."""

    NEW = "new"
    DUPLICATE = "duplicate"
    NEVER = "never"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of a backend server."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclass(slots=True)
class RequestRecord:
    """One request id; `reason` says why there is no answer."""

    state: RequestState
    keep_until: float
    keyed: bool = False
    answer: Answer | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class SettleView:
    """Answer to Settle; `answer` is set when the settlement is DONE."""

    settlement: Settlement
    reason: str = ""
    answer: Answer | None = None


def request_id(entry: IncarnationId, counter: int) -> RequestId:
    """Return the id of an entry's request; counters of an incarnation only increase."""
    return RequestId(f"{entry}.{counter}")


def split_request_id(request: RequestId) -> tuple[str, int]:
    """Return the entry incarnation and counter of a request id."""
    entry, _, counter = request.rpartition(".")
    return entry, int(counter) if counter.isdecimal() else 0


@dataclass(slots=True)
class RequestTable:
    """Request ids by state, with kept answers bounded in size and in total.

    A record that is dropped raises its entry's mark, the highest counter
    forgotten: an unknown id at or below the mark may have run, so it is
    settled as unknown and never as "not run".
    """

    kept_answer: int
    kept_total: int
    keyed_keep_s: float
    records: dict[RequestId, RequestRecord] = field(default_factory=dict)
    kept: OrderedDict[RequestId, int] = field(default_factory=OrderedDict)
    kept_bytes: int = 0
    marks: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def start(self, request: RequestId, keyed: bool, deadline: float, now: float) -> StartVerdict:
        """Record a request as queued, unless the id is known or may have been."""
        record = self.records.get(request)
        if record is not None:
            never = record.state is RequestState.NEVER
            return StartVerdict.NEVER if never else StartVerdict.DUPLICATE
        if self._forgotten(request):
            return StartVerdict.FORGOTTEN
        keep_until = max(deadline, now + MIN_KEEP_S) + SETTLE_MARGIN_S
        if keyed:
            keep_until = max(keep_until, now + self.keyed_keep_s)
        self.records[request] = RequestRecord(RequestState.QUEUED, keep_until, keyed)
        return StartVerdict.NEW

    def run(self, request: RequestId) -> bool:
        """Mark a queued request running; false if it must not run."""
        record = self.records.get(request)
        if record is None or record.state is not RequestState.QUEUED:
            return False
        record.state = RequestState.RUNNING
        return True

    def never(self, request: RequestId, now: float) -> bool:
        """Record that a request must not run; false if it has already started.

        Whoever calls this for a running request must know that the backend
        server was not reached, and uses `unsent` first.
        """
        record = self.records.get(request)
        if record is None:
            if self._forgotten(request):
                return False
            self.records[request] = RequestRecord(RequestState.NEVER, now + self.keyed_keep_s)
            return True
        if record.state is RequestState.QUEUED:
            record.state = RequestState.NEVER
            record.keep_until = max(record.keep_until, now + self.keyed_keep_s)
        return record.state is RequestState.NEVER

    def unsent(self, request: RequestId) -> None:
        """Take back `run` for a request that did not reach the backend server."""
        record = self.records[request]
        if record.state is RequestState.RUNNING:
            record.state = RequestState.QUEUED

    def done(self, request: RequestId, answer: Answer | None, reason: str, now: float) -> None:
        """Record the end of a run; without an answer it settles as unknown."""
        record = self.records[request]
        record.state, record.reason = RequestState.DONE, reason
        keep = self.keyed_keep_s if record.keyed else SETTLE_MARGIN_S
        record.keep_until = max(record.keep_until, now + keep)
        if answer is None:
            return
        size = len(answer.body)
        if size > self.kept_answer:
            record.reason = "the answer was too large to be kept"
            return
        record.answer = answer
        self.kept[request] = size
        self.kept_bytes += size
        while self.kept_bytes > self.kept_total:
            oldest = next(iter(self.kept))
            self._drop_answer(oldest)
            self.records[oldest].reason = "the answer is no longer kept"

    def settle(self, request: RequestId, now: float) -> SettleView:
        """Return what became of a request; an id never seen becomes a tombstone."""
        record = self.records.get(request)
        if record is None:
            if self._forgotten(request):
                return SettleView(Settlement.UNKNOWN, "the request is no longer remembered")
            self.never(request, now)
            return SettleView(Settlement.NEVER)
        if record.keyed:
            record.keep_until = max(record.keep_until, now + self.keyed_keep_s)
        if record.state is RequestState.NEVER:
            return SettleView(Settlement.NEVER, record.reason)
        if record.state is not RequestState.DONE:
            return SettleView(Settlement.RUNNING)
        if record.answer is None:
            return SettleView(Settlement.UNKNOWN, record.reason)
        return SettleView(Settlement.DONE, "", record.answer)

    def expire(self, now: float) -> None:
        """Drop records that nobody can ask for any more."""
        for request, record in list(self.records.items()):
            ended = record.state in (RequestState.DONE, RequestState.NEVER)
            if ended and record.keep_until < now:
                self._drop_answer(request)
                del self.records[request]
                self._raise_mark(request)

    def _forgotten(self, request: RequestId) -> bool:
        entry, counter = split_request_id(request)
        return counter <= self.marks.get(entry, -1)

    def _raise_mark(self, request: RequestId) -> None:
        entry, counter = split_request_id(request)
        self.marks[entry] = max(counter, self.marks.get(entry, -1))
        self.marks.move_to_end(entry)
        if len(self.marks) > MAX_INCARNATIONS:
            self.marks.popitem(last=False)

    def _drop_answer(self, request: RequestId) -> None:
        self.kept_bytes -= self.kept.pop(request, 0)
        self.records[request].answer = None


@dataclass(slots=True)
class KeyRecord:
    """The reservation of one key: the request and the only agent it may run at."""

    request: RequestId
    home: ProcessId
    home_incarnation: IncarnationId
    used_at: float


@dataclass(slots=True)
class KeyTable:
    """Idempotency keys; a record is dropped `keep_s` seconds after its last use."""

    keep_s: float
    records: dict[KeyId, KeyRecord] = field(default_factory=dict)

    def reserve(self, ask: ReserveKey, maturity: Maturity, now: float) -> KeyReserved | None:
        """Reserve a key or return the reservation in force; None if the table is full.

        A repeated reservation of the same request answers `new` again.
        """
        record = self.records.get(ask.key)
        if record is not None and now - record.used_at > self.keep_s:
            record = None
        if record is None:
            if len(self.records) >= MAX_KEYS and ask.key not in self.records:
                return None
            record = KeyRecord(ask.request, ask.home, ask.home_incarnation, now)
            self.records[ask.key] = record
        record.used_at = now
        state = KeyState.NEW if record.request == ask.request else KeyState.KNOWN
        return KeyReserved(
            ask.key, state, maturity, record.request, record.home, record.home_incarnation
        )

    def release(self, key: KeyId, request: RequestId) -> None:
        """Drop the reservation of a request that never runs, if it is still in force."""
        record = self.records.get(key)
        if record is not None and record.request == request:
            del self.records[key]

    def expire(self, now: float) -> None:
        """Drop records that have not been used for `keep_s` seconds."""
        for key, record in list(self.records.items()):
            if now - record.used_at > self.keep_s:
                del self.records[key]


def maturity(age_s: float, founder: bool, key_memory_s: float) -> Maturity:
    """Return how far back an agent's memory of keys reaches, from its age in seconds."""
    if founder or age_s >= 2 * key_memory_s:
        return Maturity.FULL
    return Maturity.JOINING if age_s >= key_memory_s else Maturity.YOUNG
