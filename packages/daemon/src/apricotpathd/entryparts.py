"""The components of an entry, built from its settings."""

import random
from collections import Counter
from datetime import UTC, datetime

import anyio

from apricotpath.config import EntrySettings
from apricotpath.control import Control
from apricotpath.ids import EntryId, Epoch, ProcessId, ShardId, TeamId
from apricotpath.journal import Journal
from apricotpath.link import Link
from apricotpath.messages import DataCentreStatus
from apricotpath.metrics import Metrics
from apricotpath.model import Role
from apricotpath.placement import Mode
from apricotpath.quota import TeamLimit
from apricotpath.store import EtcdStore
from apricotpathd.callers import CallerApp
from apricotpathd.component import Component, UtcClock
from apricotpathd.controlflow import ControlFlow
from apricotpathd.controlview import ControlView
from apricotpathd.exchange import Exchange
from apricotpathd.hostregistry import HostRegistry
from apricotpathd.hosts import HostTable
from apricotpathd.members import Members
from apricotpathd.owner import Owner
from apricotpathd.peers import Peers
from apricotpathd.process import Process
from apricotpathd.runs import Acquired, View
from apricotpathd.tracing import Tracing


def utc_now() -> datetime:
    """Return the wall clock's time in UTC."""
    return datetime.now(UTC)


class EntryParts(Process):
    """The connected components of an entry, without its network ports."""

    def __init__(
        self, cfg: EntrySettings, utc: UtcClock = utc_now, store: EtcdStore | None = None
    ) -> None:
        super().__init__(Role.ENTRY, ProcessId(cfg.entry), cfg.data_centre)
        self.cfg = cfg
        self.store = store or EtcdStore(cfg.store)
        self.metrics = Metrics()
        self.hosts = HostTable()
        self.control = Control(cfg.trusted_keys)
        self.members = Members(cfg, self.incarnation, self.store)
        self.flow = ControlFlow(self.control, Role.ENTRY, self._write_back)
        self.registry = HostRegistry(
            cfg.policy, self.hosts, self.control, self.members, self.flow.publish
        )
        self.peers = Peers(cfg.entry, self.hello, cfg.link, self)
        self.exchange = Exchange(
            cfg, self.incarnation, self.control, self.hosts, self.metrics, random.Random()
        )
        self.callers = CallerApp(cfg, self.control, self.exchange, self.metrics)
        self.owner = Owner(
            cfg.entry,
            cfg.policy,
            self.hosts,
            OwnerMembers(self.members, self.peers),
            self._open_journal,
            self.control,
            self._is_fresh,
            utc,
            self._team_limit,
            Mode.POLICY if cfg.policy.guards else Mode.BASELINE,
        )
        self._view_ready = anyio.Event()
        self.members.views.add_listener(self._on_view)
        # The registry comes first, so that the other components find the row of a new agent.
        components: list[Component] = [
            self.registry,
            self.flow,
            self.peers,
            self.exchange,
            self.owner,
        ]
        if cfg.trace is not None:
            tracing = Tracing(cfg, self.control)
            self.exchange.record = self.owner.calls.record = tracing.record
            components.append(tracing)
        self.set_components(components)
        self._watch_gauges()

    def _watch_gauges(self) -> None:
        add_gauge, hosts = self.metrics.add_gauge, self.hosts
        add_gauge(
            "apricotpath_store_up",
            "1 if the newest control read succeeded",
            lambda: self.members.view.store_up,
        )
        add_gauge(
            "apricotpath_bundle_version",
            "Version of the bundle in force",
            lambda: self.control.bundle_version,
        )
        add_gauge(
            "apricotpath_hosts_present",
            "Hosts whose agent is linked",
            lambda: sum(row.present for row in hosts.rows.values()),
        )
        add_gauge(
            "apricotpath_entries", "Registered entries", lambda: len(self.members.view.entries)
        )
        add_gauge(
            "apricotpath_shards_owned",
            "Job shards owned by this entry",
            lambda: len(self.owner.state.shards),
        )
        add_gauge(
            "apricotpath_attempts",
            "Task attempts that this entry has assigned",
            lambda: sum(len(shard.runs) for shard in self.owner.state.shards.values()),
        )
        add_gauge(
            "apricotpath_open_requests", "Requests being served", lambda: self.callers.open_requests
        )

    def control_digest(self) -> tuple[int, tuple[DataCentreStatus, ...]]:
        """Return the bundle version and data-centre statuses for heartbeats."""
        return self.control.bundle_version, self.control.statuses()

    def store_calls(self) -> Counter[str]:
        """Return the store calls made so far, by kind."""
        return self.store.calls

    def _is_fresh(self) -> bool:
        return self.control.is_fresh(anyio.current_time(), self.cfg.policy)

    def _team_limit(self, team: TeamId) -> TeamLimit | None:
        rules = self.control.team(team)
        return TeamLimit(rules.share, rules.quota, rules.rate_per_s) if rules else None

    def _open_journal(self, shard: ShardId, epoch: Epoch) -> Journal:
        revision = self.members.view.shards[shard].mod_revision
        prefix = self.cfg.store.prefix
        return Journal(self.store, shard, epoch, revision, self.cfg.policy, prefix)

    async def _write_back(self, status: DataCentreStatus) -> None:
        await self.members.changes.put_status(status.data_centre, status.state, status.seq)

    def _on_view(self, view: ControlView) -> None:
        self.peers.on_view(view)
        self._view_ready.set()
        self.owner.view_changed()

    async def apply_views(self) -> None:
        """Merge each successful control read into the control state until cancelled."""
        applied_at = 0.0
        while True:
            await self._view_ready.wait()
            self._view_ready = anyio.Event()
            view = self.members.view
            if not view.store_up or view.read_started_at == applied_at:
                continue
            applied_at = view.read_started_at
            await self.flow.apply_store(
                view.bundle, view.statuses.values(), view.founders, view.read_started_at
            )


class OwnerMembers:
    """Adapter of Members and Peers for the owner (implements `apricotpathd.runs.Members`)."""

    def __init__(self, members: Members, peers: Peers) -> None:
        self.members = members
        self.peers = peers

    def view(self) -> View:
        """Return the registered entries, and the shard owners with their epochs."""
        view = self.members.view
        owners = {
            shard: (owner.entry, owner.epoch)
            for shard, owner in view.shards.items()
            if owner.entry and (view.live_owner(shard) or owner.entry not in view.entries)
        }
        return View(tuple(sorted(view.entries)), owners)

    def last_contact_at(self) -> float:
        """Return when the last successful control read began."""
        return self.members.view.read_started_at

    def link_to(self, entry: EntryId) -> Link | None:
        """Return an open link to another entry, or None."""
        return self.peers.links.get(entry)

    async def acquire_shard(self, shard: ShardId) -> Acquired | None:
        """Acquire a shard; raises ConflictError if another entry owns it."""
        # `acquire` compares against this record of the view.
        former = self.members.view.shards.get(shard)
        owner = await self.members.shards.acquire(shard)
        return Acquired(owner.epoch, released=former is not None and former.settled)

    async def release_shard(self, shard: ShardId, epoch: Epoch, settled: bool) -> None:
        """Release a shard if this entry still owns it under this epoch."""
        owner = self.members.view.shards.get(shard)
        if owner is not None and owner.epoch == epoch:
            await self.members.shards.release(shard, settled)
