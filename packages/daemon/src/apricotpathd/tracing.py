"""Records the events of an entry in a trace file, if its settings name one."""

import random
from collections.abc import Callable
from datetime import UTC, datetime

import anyio

from apricotpath.bundle import bundle_bytes
from apricotpath.codec import Envelope
from apricotpath.config import EntrySettings
from apricotpath.control import Control
from apricotpath.link import Link
from apricotpath.messages import Announce, DataCentreStatus, HostReport, Leaving, Message
from apricotpath.model import Role
from apricotpath.trace import (
    TRACE_VERSION,
    BundleInForce,
    Event,
    Header,
    HostGone,
    HostUp,
    Recorder,
    Report,
    Status,
    TaskSeen,
)

POLL_INTERVAL_S = 0.5

RecordEvent = Callable[[Event], None]


def no_trace(_: Event) -> None:
    """Ignore an event; used when no trace is recorded."""


class Tracing:
    """Component that records hosts, reports and changes of the control state."""

    handles: frozenset[type[Message]] = frozenset({Announce, HostReport, Leaving})

    def __init__(self, cfg: EntrySettings, control: Control) -> None:
        assert cfg.trace is not None
        policy = cfg.policy
        settings = {"tick_s": policy.tick_s, "retry_share": policy.retry_share}
        header = Header(
            TRACE_VERSION,
            str(cfg.data_centre),
            random.SystemRandom().randrange(1 << 31),
            datetime.now(UTC).isoformat(),
            f"recorded by entry {cfg.entry}",
            settings,
        )
        self.recorder = Recorder(cfg.trace, header)
        self.control = control
        self._version = 0
        self._statuses: tuple[DataCentreStatus, ...] = ()

    def record(self, event: Event) -> None:
        """Record an event of another component."""
        self.recorder.record(event)

    async def run(self) -> None:
        """Write the trace and record changes of the control state until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.recorder.run)
            while True:
                self._record_control_changes()
                await anyio.sleep(POLL_INTERVAL_S)

    def _record_control_changes(self) -> None:
        bundle = self.control.bundle
        if bundle is not None and bundle.version != self._version:
            self._version = bundle.version
            self.record(BundleInForce(bundle_bytes(bundle).decode()))
        statuses = self.control.statuses()
        for status in statuses:
            if status not in self._statuses:
                self.record(Status(status.data_centre, status.state, status.seq))
        self._statuses = statuses

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Record an agent's announcement or report."""
        body = envelope.body
        if link.peer is None:
            return
        process = link.peer.process_id
        if isinstance(body, Announce):
            self.record(
                HostUp(
                    process,
                    body.host,
                    body.data_centre,
                    body.size,
                    body.rack,
                    body.service or None,
                    body.slots,
                    body.connections,
                )
            )
        elif isinstance(body, HostReport):
            tasks = tuple(
                TaskSeen(task.task, task.attempt, task.progress, task.activity)
                for task in body.tasks
            )
            self.record(Report(process, body.usage, body.pressure, tasks))
        elif isinstance(body, Leaving):
            self.record(HostGone(process))

    async def link_opened(self, link: Link) -> None:
        """Do nothing; a host is recorded when its agent announces itself."""

    async def link_closed(self, link: Link) -> None:
        """Record that an agent has disconnected."""
        if link.peer is not None and link.peer.role is Role.AGENT:
            self.record(HostGone(link.peer.process_id))

    async def drain(self) -> None:
        """Return immediately; the remaining events are written when the process ends."""
