"""Limits on what clients of an HTTP address may use, and which connection is closed first.

Answers the load of clients that send much, slowly or only in part. It knows
nothing of sockets; times are in seconds by any one monotonic clock.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, fields, replace
from enum import Enum

from apricotpath.errors import ApricotpathError, SettingsError

# Bytes by which a request must go on, within the time limit of its part, to count as going on.
MIN_HEAD_PROGRESS_BYTES = 256
MIN_BODY_PROGRESS_BYTES = 1024
# Memory of a process without clients and jobs.
PROCESS_MB = 64
# Part of the remaining memory for requests; the rest is for jobs, links and connections.
BUDGET_SHARE = 0.25
MAX_BUDGET_BYTES = 64 << 20
# Descriptors for links, the store, logs and the operating system.
RESERVED_DESCRIPTORS = 200
PEER_SHARE = 0.75


class Limit(Enum):
    """What ended a request or connection early; the label in metrics and log lines."""

    CONNECTIONS = "connections"
    PEER_CONNECTIONS = "peer_connections"
    BUDGET_BYTES = "budget_bytes"
    CONNECTION_BYTES = "connection_bytes"
    HEADER_BYTES = "header_bytes"
    HEADER_S = "header_s"
    BODY_BYTES = "body_bytes"
    BODY_S = "body_s"
    SEND_S = "send_s"
    IDLE_S = "idle_s"
    JSON_FIELDS = "json_fields"


class ClientError(ApricotpathError):
    """A request cannot go on because of its client."""


class ClientGone(ClientError):
    """The connection of a request has been closed."""


class BodyStalled(ClientError):
    """The body of a request makes no progress."""


class BudgetExhausted(ClientError):
    """No memory is left for a request."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits at one address; sizes in bytes, times in seconds.

    The times limit how long a head, a body or an answer makes no progress, and
    how long a connection is kept without a request. `requests` counts the
    concurrent ones of a connection.
    """

    budget_bytes: int = 32 << 20
    connections: int = 1000
    peer_connections: int = 750
    connection_bytes: int = 4 << 20
    requests: int = 100
    header_bytes: int = 32 << 10
    header_s: float = 10.0
    body_s: float = 10.0
    send_s: float = 15.0
    idle_s: float = 75.0
    json_fields: int = 16_384


MINIMUM = ClientLimits(
    budget_bytes=1 << 20,
    connections=8,
    peer_connections=8,
    connection_bytes=512 << 10,
    requests=1,
    header_bytes=4096,
    header_s=0.1,
    body_s=0.1,
    send_s=0.1,
    idle_s=0.1,
    json_fields=6000,
)
MAXIMUM = 1 << 40


def limits_of_machine(memory_mb: float | None, descriptors: int | None) -> ClientLimits:
    """Return the default limits for a process with this memory (MB) and file descriptors."""
    limits = ClientLimits()
    if memory_mb is not None:
        budget = int((memory_mb - PROCESS_MB) * BUDGET_SHARE * (1 << 20))
        budget = max(MINIMUM.budget_bytes, min(MAX_BUDGET_BYTES, budget))
        limits = replace(limits, budget_bytes=budget)
    if descriptors is not None:
        count = max(
            MINIMUM.connections, min(limits.connections, descriptors - RESERVED_DESCRIPTORS)
        )
        per_peer = max(MINIMUM.peer_connections, int(count * PEER_SHARE))
        limits = replace(limits, connections=count, peer_connections=per_peer)
    return limits


def change_limits(limits: ClientLimits, texts: Iterable[str]) -> ClientLimits:
    """Return limits with settings of the form NAME=VALUE applied, or raise SettingsError."""
    known = {item.name: type(getattr(limits, item.name)) for item in fields(limits)}
    for text in texts:
        name, _, value = text.partition("=")
        if name not in known:
            raise SettingsError(f"--client-limit {text}: the limits are {', '.join(known)}")
        low = getattr(MINIMUM, name)
        try:
            number = known[name](value)
        except ValueError as exc:
            raise SettingsError(f"--client-limit {text}: the value is not a number") from exc
        if not low <= number <= MAXIMUM:
            raise SettingsError(f"--client-limit {text}: the value is not from {low} to {MAXIMUM}")
        limits = replace(limits, **{name: number})
    return limits


@dataclass(eq=False, slots=True)
class Client:
    """One connection: what it holds, and when it last made progress.

    `handling` counts its requests that were received whole and are being
    answered. `unparsed_bytes` have arrived since the last part of a request that
    was recognized. `head_mark` is the time and the number of these bytes up to
    which the head of a request has made progress, if one has begun. `turns`
    counts its recent turns on the event loop.
    """

    peer: str
    close: Callable[[Limit], None]
    progress_at: float
    idle_since: float | None
    progress_bytes: int = 0
    unparsed_bytes: int = 0
    head_mark: tuple[float, int] | None = None
    handling: int = 0
    charged: int = 0
    turns: int = 0
    closing: bool = False

    def add_progress(self, size: int, now: float) -> None:
        """Count bytes of a request that have arrived."""
        self.progress_bytes += size
        if self.progress_bytes >= MIN_BODY_PROGRESS_BYTES:
            self.progress_bytes, self.progress_at = 0, now

    def add_head(self, size: int, now: float) -> None:
        """Count bytes of a head that is not complete."""
        if self.head_mark is None:
            self.head_mark = (now, 0)
        self.unparsed_bytes += size

    def begin_request(self, now: float) -> None:
        """Note that a head is complete."""
        self.unparsed_bytes, self.head_mark, self.idle_since = 0, None, None
        self.progress_at = now

    def end_requests(self, now: float) -> None:
        """Note that all requests of the connection are answered."""
        self.idle_since = self.progress_at = now


@dataclass(eq=False, slots=True)
class ClientTable:
    """The connections to one address and the bytes that they hold."""

    limits: ClientLimits
    on_limit: Callable[[Limit, str], None]
    clients: dict[object, Client] = field(default_factory=dict)
    used_bytes: int = 0
    # Connections that are not being closed, in all and by peer address.
    _open: int = 0
    _peers: Counter[str] = field(default_factory=Counter)

    def add(self, key: object, client: Client) -> None:
        """Add a connection."""
        self.clients[key] = client
        self._open += 1
        self._peers[client.peer] += 1

    def detach(self, client: Client) -> None:
        """Release what a connection holds, since it is being closed."""
        if client.closing:
            return
        self.release(client, client.charged)
        client.closing = True
        self._open -= 1
        self._peers[client.peer] -= 1
        if not self._peers[client.peer]:
            del self._peers[client.peer]

    def remove(self, key: object, client: Client) -> None:
        """Forget a connection that is closed."""
        self.detach(client)
        # A later connection may have the same address and port.
        if self.clients.get(key) is client:
            del self.clients[key]

    def evict(self, client: Client, limit: Limit) -> None:
        """Close a connection because of a limit."""
        if client.closing:
            return
        self.detach(client)
        self.on_limit(limit, client.peer)
        client.close(limit)

    def make_room(self, peer: str) -> bool:
        """Close a connection if one more from a peer exceeds a limit; tell whether it fits now."""
        if self._open >= self.limits.connections:
            self._evict_one(Limit.CONNECTIONS)
        elif self._peers[peer] >= self.limits.peer_connections:
            self._evict_one(Limit.PEER_CONNECTIONS, peer)
        return len(self.clients) < self.limits.connections

    def _evict_one(self, limit: Limit, peer: str | None = None) -> None:
        found = first_to_close(
            client for client in self.clients.values() if peer in (None, client.peer)
        )
        if found is not None:
            self.evict(found, limit)

    def charge(self, client: Client, size: int) -> None:
        """Reserve bytes for a request of a connection, as `reserve` does.

        Raises BudgetExhausted also if the connection would hold too much.
        """
        if client.charged + size > self.limits.connection_bytes and not client.closing:
            self.on_limit(Limit.CONNECTION_BYTES, client.peer)
            raise BudgetExhausted("the connection holds too much memory")
        self.reserve(client, size)

    def reserve(self, client: Client, size: int) -> None:
        """Reserve bytes for a connection, closing others that make less progress.

        Raises BudgetExhausted if none does, and ClientGone if the connection is closed.
        """
        if client.closing:
            raise ClientGone("the connection is closed")
        while self.used_bytes + size > self.limits.budget_bytes:
            victim = first_to_close(other for other in self.clients.values() if other.charged)
            if victim is None or victim is client:
                self.on_limit(Limit.BUDGET_BYTES, client.peer)
                raise BudgetExhausted("no memory is left for requests")
            self.evict(victim, Limit.BUDGET_BYTES)
        client.charged += size
        self.used_bytes += size

    def release(self, client: Client, size: int) -> None:
        """Give back bytes; those of a connection that was evicted are back already."""
        if not client.closing:
            client.charged -= size
            self.used_bytes -= size

    def close_overdue(self, now: float) -> None:
        """Close the connections whose head makes no progress or that are idle for too long."""
        for client in list(self.clients.values()):
            limit = overdue(client, self.limits, now)
            if limit is not None:
                self.evict(client, limit)


def first_to_close(clients: Iterable[Client]) -> Client | None:
    """Return the connection to close first, if any.

    It is the one that has made the least progress for the longest time. Those
    whose requests are being answered come last, since they are about to progress.
    """
    return min(
        (client for client in clients if not client.closing),
        key=lambda client: (client.handling > 0, client.progress_at, client.progress_bytes),
        default=None,
    )


def overdue(client: Client, limits: ClientLimits, now: float) -> Limit | None:
    """Return the time limit that a connection exceeds; moves its mark if the head progresses."""
    if client.closing:
        return None
    if client.head_mark is not None:
        since, size = client.head_mark
        if now - since <= limits.header_s:
            return None
        if client.unparsed_bytes - size < MIN_HEAD_PROGRESS_BYTES:
            return Limit.HEADER_S
        client.head_mark = (now, client.unparsed_bytes)
        return None
    if client.idle_since is not None and now - client.idle_since > limits.idle_s:
        return Limit.IDLE_S
    return None
