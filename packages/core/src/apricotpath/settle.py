"""An agent's tables of request ids and idempotency keys; time is passed in, in seconds."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from apricotpath.ids import IncarnationId, KeyId, ProcessId, RequestId
from apricotpath.messages import Header, KeyReserved, ReserveKey
from apricotpath.model import KeyState, Maturity, Settlement

# An entry asks for the outcome of a request until shortly after its deadline, so a record without
# an idempotency key is not needed any longer.
MIN_KEEP_S = 30.0
SETTLE_MARGIN_S = 5.0
# Entry incarnations for which the highest dropped request counter is kept.
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
    """An agent's decision on a RequestStart."""

    NEW = "new"
    DUPLICATE = "duplicate"
    NEVER = "never"
    FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer of a backend server."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@dataclass(slots=True)
class RequestRecord:
    """State of one request id; `reason` says why there is no answer.

    `keyed` tells whether the request has an idempotency key.
    """

    state: RequestState
    keep_until: float
    keyed: bool = False
    answer: Answer | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class SettleView:
    """Result of `RequestTable.settle`; `answer` is set if the settlement is DONE."""

    settlement: Settlement
    reason: str = ""
    answer: Answer | None = None


def request_id(entry: IncarnationId, counter: int) -> RequestId:
    """Return the id of an entry's request; counters increase within an incarnation."""
    return RequestId(f"{entry}.{counter}")


def split_request_id(request: RequestId) -> tuple[str, int]:
    """Return the entry incarnation and counter of a request id."""
    entry, _, counter = request.rpartition(".")
    return entry, int(counter) if counter.isdecimal() else 0


@dataclass(slots=True)
class RequestTable:
    """Request ids by state; kept answers are bounded per answer and in total (bytes).

    `dropped_up_to` has the highest counter of a dropped record per entry
    incarnation. An id without a record at or below it may have run, so it is
    settled as UNKNOWN and never as NEVER.
    """

    kept_answer: int
    kept_total: int
    keyed_keep_s: float
    records: dict[RequestId, RequestRecord] = field(default_factory=dict)
    kept: OrderedDict[RequestId, int] = field(default_factory=OrderedDict)
    kept_bytes: int = 0
    dropped_up_to: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def start(self, request: RequestId, keyed: bool, deadline: float, now: float) -> StartVerdict:
        """Record a request as queued, unless its id has a record or may have had one."""
        record = self.records.get(request)
        if record is not None:
            never = record.state is RequestState.NEVER
            return StartVerdict.NEVER if never else StartVerdict.DUPLICATE
        if self._may_have_been_dropped(request):
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

    def mark_never_run(self, request: RequestId, now: float) -> bool:
        """Record that a request must not run; false if it may have started already.

        For a request in state RUNNING that did not reach the backend server,
        call `mark_unsent` first.
        """
        record = self.records.get(request)
        if record is None:
            if self._may_have_been_dropped(request):
                return False
            self.records[request] = RequestRecord(RequestState.NEVER, now + self.keyed_keep_s)
            return True
        if record.state is RequestState.QUEUED:
            record.state = RequestState.NEVER
            record.keep_until = max(record.keep_until, now + self.keyed_keep_s)
        return record.state is RequestState.NEVER

    def mark_unsent(self, request: RequestId) -> None:
        """Revert `run` for a request that did not reach the backend server."""
        record = self.records[request]
        if record.state is RequestState.RUNNING:
            record.state = RequestState.QUEUED

    def mark_done(self, request: RequestId, answer: Answer | None, reason: str, now: float) -> None:
        """Record the end of a request; without an answer it settles as UNKNOWN."""
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
        """Return the outcome of a request; an id never seen is recorded as NEVER."""
        record = self.records.get(request)
        if record is None:
            if self._may_have_been_dropped(request):
                return SettleView(Settlement.UNKNOWN, "the request is no longer remembered")
            self.mark_never_run(request, now)
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
        """Drop records of ended requests whose keep time has passed."""
        for request, record in list(self.records.items()):
            ended = record.state in (RequestState.DONE, RequestState.NEVER)
            if ended and record.keep_until < now:
                self._drop_answer(request)
                del self.records[request]
                self._record_dropped(request)

    def _may_have_been_dropped(self, request: RequestId) -> bool:
        entry, counter = split_request_id(request)
        return counter <= self.dropped_up_to.get(entry, -1)

    def _record_dropped(self, request: RequestId) -> None:
        entry, counter = split_request_id(request)
        self.dropped_up_to[entry] = max(counter, self.dropped_up_to.get(entry, -1))
        self.dropped_up_to.move_to_end(entry)
        if len(self.dropped_up_to) > MAX_INCARNATIONS:
            self.dropped_up_to.popitem(last=False)

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
        """Reserve a key or return the existing reservation; None if the table is full.

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
        """Remove the reservation of a request that never runs, if it still holds the key."""
        record = self.records.get(key)
        if record is not None and record.request == request:
            del self.records[key]

    def expire(self, now: float) -> None:
        """Drop records that have not been used for `keep_s` seconds."""
        for key, record in list(self.records.items()):
            if now - record.used_at > self.keep_s:
                del self.records[key]


def maturity(age_s: float, founder: bool, key_memory_s: float) -> Maturity:
    """Return the maturity of an agent: how far back its key table reaches.

    `age_s` is the time since its start; a founder was present when the service first started,
    so it has missed no reservation.
    """
    if founder or age_s >= 2 * key_memory_s:
        return Maturity.FULL
    return Maturity.JOINING if age_s >= key_memory_s else Maturity.YOUNG
