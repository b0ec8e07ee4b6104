"""Propagates the control state between processes and tracks their acknowledgements."""

import logging
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass, field

import anyio

from apricotpath.codec import Envelope
from apricotpath.config import PolicySettings
from apricotpath.control import Control, supersedes
from apricotpath.errors import ConflictError, LinkError, StoreError
from apricotpath.ids import DataCentreId, IncarnationId, ProcessId, ServiceId
from apricotpath.link import Link
from apricotpath.messages import (
    ControlAck,
    ControlUpdate,
    DataCentreStatus,
    Heartbeat,
    Message,
)
from apricotpath.model import Role, ServiceState

log = logging.getLogger(__name__)

# Minimum time before an update is sent to a peer again, so that heartbeats that the
# peer sent before it read the update do not cause a second copy.
RESEND_S = 2.0
# Maximum of the backoff for a peer that stays behind, such as one that rejects the
# bundle, so that it does not receive a large bundle every 2 s.
MAX_RESEND_S = 60.0
# Delay before an agent updates an entry that is behind: the other entries do so
# immediately, and otherwise every agent would send it the same bundle.
AGENT_UPDATE_DELAY_S = 1.5

WriteBack = Callable[[DataCentreStatus], Awaitable[None]]


@dataclass(slots=True)
class PeerState:
    """The control state that a linked peer has reported; times are monotonic seconds."""

    link: Link
    role: Role
    version: int = 0
    statuses: dict[DataCentreId, DataCentreStatus] = field(default_factory=dict)
    sent_version: int = 0
    sent_at: float = 0.0
    sent_status_at: float = 0.0
    behind_since: float | None = None
    resend_s: float = RESEND_S


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The highest state a process acknowledged, and when it first did so."""

    version: int
    version_at: float
    statuses: Mapping[DataCentreId, tuple[DataCentreStatus, float]]


@dataclass(frozen=True, slots=True)
class ChangeProgress:
    """Linked peers that have confirmed a change, and those that have not."""

    confirmed: tuple[ProcessId, ...]
    waiting: tuple[ProcessId, ...]


class ControlFlow:
    """Sends and merges control state; a Component of entries and agents.

    A take-out marks a data centre as out of service, a bring-back as in service.
    `write_back` (entries only) puts a pending take-out into the store by
    compare-and-swap. `on_change` is called after each change of the state.
    """

    handles: frozenset[type[Message]] = frozenset({ControlUpdate, ControlAck, Heartbeat})

    def __init__(
        self,
        control: Control,
        role: Role,
        write_back: WriteBack | None = None,
        on_change: Callable[[], None] | None = None,
    ) -> None:
        self.control = control
        self.role = role
        self.peers: dict[ProcessId, PeerState] = {}
        self._write_back = write_back
        self._on_change = on_change
        self._acknowledged: dict[ProcessId, Acknowledged] = {}
        self._incarnations: dict[ProcessId, IncarnationId] = {}
        self._stored: dict[DataCentreId, tuple[DataCentreStatus, float]] = {}
        self._applied: dict[DataCentreId, tuple[DataCentreStatus, float]] = {}

    async def run(self) -> None:
        """Wait until cancelled; all work is driven by messages and store reads."""
        await anyio.sleep_forever()

    async def drain(self) -> None:
        """Return immediately; this component has no work to finish."""

    async def link_opened(self, link: Link) -> None:
        """Send the whole control state to a new peer."""
        assert link.peer is not None
        process = link.peer.process_id
        if self._incarnations.get(process) != link.peer.incarnation:
            # A restarted process has lost the state that it acknowledged.
            self._acknowledged.pop(process, None)
            self._incarnations[process] = link.peer.incarnation
        peer = self.peers[process] = PeerState(link, link.peer.role)
        self._send(peer)

    async def link_closed(self, link: Link) -> None:
        """Remove the peer unless a newer link has replaced this one."""
        assert link.peer is not None
        peer = self.peers.get(link.peer.process_id)
        if peer is not None and peer.link is link:
            del self.peers[link.peer.process_id]

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Merge a peer's state, and acknowledge an update with the state in force here."""
        body = envelope.body
        assert link.peer is not None and isinstance(body, ControlUpdate | ControlAck | Heartbeat)
        process = link.peer.process_id
        self._record_peer(process, body)
        if isinstance(body, ControlUpdate):
            changed = self.control.merge_update(body)
            self._answer(link, envelope.id)
        else:
            changed = self.control.merge_statuses(body.statuses)
        if changed:
            self.publish()
        peer = self.peers.get(process)
        if peer is not None and peer.link is link and isinstance(body, Heartbeat):
            self._resend_if_behind(peer)

    async def apply_store(
        self,
        bundle: bytes,
        statuses: Iterable[DataCentreStatus],
        founders: Mapping[ServiceId, Iterable[IncarnationId]],
        started_at: float,
    ) -> bool:
        """Merge a control read of the store that began at a monotonic time.

        Returns whether the state changed. A take-out that the store lacks is
        written back; a failed write is retried after the next read.
        """
        store_statuses = {status.data_centre: status for status in statuses}
        changed = self.control.merge_statuses(store_statuses.values())
        for service, incarnations in founders.items():
            changed |= self.control.merge_founders(service, incarnations)
        if bundle and bundle != self.control.envelope:
            changed |= self.control.merge_bundle(bundle)
        self.control.record_store_read(started_at)
        self._record_stored(store_statuses)
        if changed:
            self.publish()
        await self._write_pending(store_statuses)
        return changed

    def publish(self) -> None:
        """Send the control state to every peer that lacks it."""
        self._record_applied(anyio.current_time())
        if self._on_change is not None:
            self._on_change()
        for peer in self.peers.values():
            if self.role is Role.ENTRY:
                self._send(peer)
            elif self._lacks_status(peer):
                # Entries send the bundle to each other, so agents forward only statuses.
                self._send(peer, may_send_bundle=False)

    def bundle_progress(self, version: int) -> ChangeProgress:
        """Return which linked peers have this bundle version or a later one in force."""
        confirmed_by = {process for process, peer in self.peers.items() if peer.version >= version}
        return self._progress(confirmed_by)

    def status_progress(self, status: DataCentreStatus) -> ChangeProgress:
        """Return which linked peers have this data-centre status or a later one."""
        confirmed_by = {
            process
            for process, peer in self.peers.items()
            if not supersedes(status, peer.statuses.get(status.data_centre))
        }
        return self._progress(confirmed_by)

    def bundle_in_force(self, version: int, entries: frozenset[ProcessId]) -> bool:
        """Tell whether a bundle is in force here, at all entries and at all linked agents.

        `entries` are the other entries registered at the last successful store read.
        """
        if self.control.bundle_version < version:
            return False
        if self.bundle_progress(version).waiting:
            return False
        return all(
            (ack := self._acknowledged.get(entry)) is not None and ack.version >= version
            for entry in entries
        )

    def take_out_in_force(
        self, dc: DataCentreId, entries: frozenset[ProcessId], now: float, cfg: PolicySettings
    ) -> bool:
        """Tell whether no task start can take effect any more in a data centre that is out.

        Either the store has held the take-out for `fresh_s + start_window_s`,
        or every registered entry has acknowledged it, and the start windows
        granted before that have passed. Without other entries, the
        acknowledgement of all linked agents is enough. `entries` are the other
        entries registered at the last successful store read.
        """
        status = self.control.status(dc)
        if status.state is not ServiceState.OUT:
            return False
        stored, stored_at = self._stored.get(dc, (None, now))
        is_stored = stored is not None and not supersedes(status, stored)
        if is_stored and now - stored_at >= cfg.fresh_s + cfg.start_window_s:
            return True
        times = [self._status_time(entry, status) for entry in entries]
        if any(at is None for at in times):
            return False
        if not entries and not self.status_progress(status).waiting:
            return True
        # Agents linked only to other entries are not visible here, so their windows must pass.
        self._record_applied(now)
        known_at = [self._applied[dc][1], *(at for at in times if at is not None)]
        return now - max(known_at) >= cfg.start_window_s

    def _record_peer(
        self, process: ProcessId, body: ControlUpdate | ControlAck | Heartbeat
    ) -> None:
        now = anyio.current_time()
        old = self._acknowledged.get(process, Acknowledged(0, now, {}))
        statuses = dict(old.statuses)
        for status in body.statuses:
            recorded = statuses.get(status.data_centre)
            if supersedes(status, recorded[0] if recorded is not None else None):
                statuses[status.data_centre] = (status, now)
        newer = body.bundle_version > old.version
        version, version_at = (body.bundle_version, now) if newer else (old.version, old.version_at)
        self._acknowledged[process] = Acknowledged(version, version_at, statuses)
        peer = self.peers.get(process)
        if peer is not None:
            peer.version = max(peer.version, body.bundle_version)
            peer.statuses = {dc: recorded[0] for dc, recorded in statuses.items()}

    def _status_time(self, process: ProcessId, status: DataCentreStatus) -> float | None:
        """Return when a process acknowledged a status or a later one, or None."""
        ack = self._acknowledged.get(process)
        recorded = ack.statuses.get(status.data_centre) if ack is not None else None
        return recorded[1] if recorded is not None and not supersedes(status, recorded[0]) else None

    def _record_applied(self, now: float) -> None:
        for status in self.control.statuses():
            recorded = self._applied.get(status.data_centre)
            if recorded is None or recorded[0] != status:
                self._applied[status.data_centre] = (status, now)

    def _record_stored(self, store_statuses: Mapping[DataCentreId, DataCentreStatus]) -> None:
        now = anyio.current_time()
        for dc, status in store_statuses.items():
            recorded = self._stored.get(dc)
            if recorded is None or recorded[0] != status:
                self._stored[dc] = (status, now)

    async def _write_pending(self, store_statuses: Mapping[DataCentreId, DataCentreStatus]) -> None:
        if self._write_back is None:
            return
        for status in self.control.statuses():
            if status.state is not ServiceState.OUT:
                continue
            if supersedes(status, store_statuses.get(status.data_centre)):
                try:
                    await self._write_back(status)
                except (StoreError, ConflictError) as exc:
                    log.warning(
                        "the take-out of %s is not in the store yet: %s", status.data_centre, exc
                    )

    def _answer(self, link: Link, number: int) -> None:
        try:
            link.send_nowait(self.control.ack(), reply_to=number)
        except LinkError as exc:
            # The next heartbeat carries the same state.
            log.info("control acknowledgement not sent to %s: %s", link.peer_id, exc)

    def _send(self, peer: PeerState, may_send_bundle: bool = True) -> None:
        now = anyio.current_time()
        version = self.control.bundle_version
        in_flight = peer.sent_version >= version and now - peer.sent_at < RESEND_S
        with_bundle = may_send_bundle and peer.version < version and not in_flight
        try:
            peer.link.send_nowait(self.control.update(now, with_bundle))
        except LinkError as exc:
            log.info("control update not sent to %s: %s", peer.link.peer_id, exc)
            return
        peer.sent_status_at = now
        if with_bundle:
            peer.sent_version, peer.sent_at = version, now

    def _lacks_status(self, peer: PeerState) -> bool:
        return any(
            supersedes(status, peer.statuses.get(status.data_centre))
            for status in self.control.statuses()
        )

    def _resend_if_behind(self, peer: PeerState) -> None:
        """Send the state again to a peer whose heartbeat shows an older state."""
        now = anyio.current_time()
        if peer.version >= self.control.bundle_version and not self._lacks_status(peer):
            peer.behind_since, peer.resend_s = None, RESEND_S
            return
        if peer.behind_since is None:
            peer.behind_since = now
        delay_s = AGENT_UPDATE_DELAY_S if self.role is Role.AGENT else 0.0
        if now - peer.behind_since >= delay_s and now - peer.sent_status_at >= peer.resend_s:
            self._send(peer)
            peer.resend_s = min(2 * peer.resend_s, MAX_RESEND_S)

    def _progress(self, confirmed_by: set[ProcessId]) -> ChangeProgress:
        return ChangeProgress(
            tuple(sorted(confirmed_by)), tuple(sorted(self.peers.keys() - confirmed_by))
        )
