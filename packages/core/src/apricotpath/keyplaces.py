"""Majority reservation of an idempotency key at three agents, as a protocol without I/O.

The generator `reserve_key` yields steps, which the caller carries out, and receives the replies.
"""

from collections.abc import Generator, Sequence
from dataclasses import dataclass
from hashlib import blake2b

from apricotpath.ids import IncarnationId, KeyId, ProcessId, RequestId, ServiceId
from apricotpath.messages import KeyReserved, Message, ReleaseKey, ReserveKey, Settle
from apricotpath.model import KeyState, Maturity, Settlement

PLACES = 3
# After this many rounds in which another request held the key, the reservation is given up; the
# caller may retry.
MAX_ROUNDS = 4


@dataclass(frozen=True, slots=True)
class Place:
    """An agent that may hold keys; `usable` means that a request may run there.

    `healthy` is false while routing has ejected its backend server.
    """

    process: ProcessId
    incarnation: IncarnationId
    present: bool
    usable: bool
    healthy: bool = True


@dataclass(frozen=True, slots=True)
class RequestReplies:
    """Step: send each reservation and return the replies, None for a missing one."""

    asks: tuple[tuple[ProcessId, ReserveKey], ...]


@dataclass(frozen=True, slots=True)
class SendMessages:
    """Step: send messages in order without waiting for a reply."""

    messages: tuple[tuple[ProcessId, Message], ...]


@dataclass(frozen=True, slots=True)
class SettleAt:
    """Step: ask a request's home for its outcome and return the Settlement."""

    process: ProcessId
    settle: Settle


@dataclass(frozen=True, slots=True)
class Granted:
    """Result: the request may be sent to `home`, and only there."""

    home: Place


@dataclass(frozen=True, slots=True)
class Existing:
    """Result: an earlier request holds the key; `settlement` is not NEVER."""

    request: RequestId
    settlement: Settlement


@dataclass(frozen=True, slots=True)
class Blocked:
    """Result: the request must not run now."""

    reason: str


Step = RequestReplies | SendMessages | SettleAt
Reply = Sequence[KeyReserved | None] | Settlement | None
Result = Granted | Existing | Blocked


def key_order(key: KeyId, process: ProcessId) -> bytes:
    """Return the rendezvous weight of an agent for a key."""
    return blake2b(f"{key}\0{process}".encode(), digest_size=8).digest()


def key_places(key: KeyId, agents: Sequence[Place]) -> list[Place]:
    """Return the PLACES agents that hold a key, by rendezvous weight.

    The caller passes only agents that are not young.
    """
    return sorted(agents, key=lambda place: key_order(key, place.process))[:PLACES]


def choose_home(places: Sequence[Place]) -> Place | None:
    """Return the first place where a request may run, a healthy one if possible, or None.

    Entries may choose different homes for one key; a majority of the places is
    still granted to only one of the requests.
    """
    usable = [place for place in places if place.present and place.usable]
    return next((place for place in usable if place.healthy), usable[0] if usable else None)


def majority(count: int) -> int:
    """Return the smallest number that is more than half of `count`."""
    return count // 2 + 1


def reserve_key(
    key: KeyId,
    service: ServiceId,
    request: RequestId,
    places: list[Place],
) -> Generator[Step, Reply, Result]:
    """Reserve a key for a request that has not been sent.

    The home is asked first, so that of two entries with the same view one
    stops early. A reservation is released only for a request that never runs:
    the own one before it is sent, or another one that its home has settled as
    NEVER, which also keeps a late copy of it from running. The home is the
    same in all rounds, since a place keeps the first home it received.
    """
    home = choose_home(places)
    if home is None:
        return Blocked("no agent that holds idempotency keys can take the request")
    reservation = ReserveKey(key, service, request, home.process, home.incarnation)
    present = [place.process for place in places if place.present]
    release = SendMessages(tuple((process, ReleaseKey(key, request)) for process in present))
    for _round in range(MAX_ROUNDS):
        replies: dict[ProcessId, KeyReserved] = {}
        for group in ([home], [p for p in places if p.present and p is not home]):
            answers = yield RequestReplies(tuple((place.process, reservation) for place in group))
            assert isinstance(answers, Sequence)
            for place, reply in zip(group, answers, strict=True):
                if reply is not None:
                    replies[place.process] = reply
            if any(reply.state is KeyState.KNOWN for reply in replies.values()):
                break
        existing = next((r for r in replies.values() if r.state is KeyState.KNOWN), None)
        if existing is None:
            if has_majority(replies, len(places)):
                return Granted(home)
            yield release
            return Blocked("too few agents can vouch for the idempotency key")
        settlement = yield SettleAt(
            existing.home, Settle(existing.request, existing.home_incarnation)
        )
        assert isinstance(settlement, Settlement)
        if settlement is not Settlement.NEVER:
            yield release
            yield SendMessages(_replicate(key, service, existing, places))
            return Existing(existing.request, settlement)
        stale = ReleaseKey(key, existing.request)
        yield SendMessages(tuple((process, stale) for process in present))
    yield release
    return Blocked("other requests with the same idempotency key are in progress")


def has_majority(replies: dict[ProcessId, KeyReserved], places: int) -> bool:
    """Return whether a majority of the places answered NEW with maturity FULL.

    An agent of lower maturity may have missed an earlier reservation of the key.
    """
    new = [reply for reply in replies.values() if reply.state is KeyState.NEW]
    full = [reply for reply in new if reply.maturity is Maturity.FULL]
    return min(len(new), len(full)) >= majority(places)


def _replicate(
    key: KeyId, service: ServiceId, existing: KeyReserved, places: list[Place]
) -> tuple[tuple[ProcessId, Message], ...]:
    """Return messages that record the existing reservation at every present place.

    The key then survives the loss of the agents that held it first.
    """
    reservation = ReserveKey(
        key, service, existing.request, existing.home, existing.home_incarnation
    )
    return tuple((place.process, reservation) for place in places if place.present)
