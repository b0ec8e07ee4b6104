"""The agent role: runs the tasks of one host and serves requests with its backend server."""

import logging
import random
from typing import Any

import anyio

from apricotpath.config import AgentSettings
from apricotpath.control import Control
from apricotpath.ids import BackendId, ServiceId
from apricotpath.link import Link, check_tls, dial_forever
from apricotpath.messages import Announce, DataCentreStatus, Leaving
from apricotpath.metrics import Metrics
from apricotpath.model import Maturity, Role
from apricotpath.worker import HttpWorker
from apricotpathd.agentrequests import AgentRequests
from apricotpathd.agenttasks import AgentTasks, ServiceLoad
from apricotpathd.component import Component, UtcClock
from apricotpathd.controlflow import ControlFlow
from apricotpathd.entryparts import utc_now
from apricotpathd.httpserver import HttpServers, require_bindable, serve_http
from apricotpathd.process import Process, wait_for_stop
from apricotpathd.statusapp import StatusApp

log = logging.getLogger(__name__)

WORKER_TIMEOUT_S = 2.0
# The maturity of the key memory and readiness change with time, so the announcement is
# compared with the last one this often. An unchanged one is repeated rarely, because an open
# link loses no messages.
ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_REPEAT_S = 10.0


class Agent(Process):
    """The connected components of an agent, without its network ports."""

    def __init__(self, cfg: AgentSettings, utc: UtcClock = utc_now) -> None:
        super().__init__(Role.AGENT, cfg.process, cfg.data_centre)
        self.cfg = cfg
        self.metrics = Metrics()
        self.control = Control(cfg.trusted_keys)
        self.flow = ControlFlow(self.control, Role.AGENT)
        self.worker = HttpWorker(cfg.worker_url, WORKER_TIMEOUT_S)
        self.requests: AgentRequests | None = None
        if cfg.backend is not None:
            self.requests = AgentRequests(cfg, self.incarnation, self.control)
        self.tasks = AgentTasks(
            cfg, self.worker, self.control, utc, self.incarnation, self._service_load
        )
        components: list[Component] = [self.flow, self.tasks]
        self.set_components(
            [*components, self.requests] if self.requests is not None else components
        )
        self._watch_gauges()

    def _watch_gauges(self) -> None:
        add_gauge, tasks = self.metrics.add_gauge, self.tasks
        add_gauge("apricotpath_ready", "1 if the host takes work", self.ready)
        add_gauge("apricotpath_links", "Open links to entries", lambda: len(self.links))
        add_gauge(
            "apricotpath_bundle_version",
            "Version of the bundle in force",
            lambda: self.control.bundle_version,
        )
        add_gauge(
            "apricotpath_committed_cpu_milli",
            "Committed processors in thousandths",
            lambda: tasks.committed.cpu_milli,
        )
        add_gauge(
            "apricotpath_committed_memory_mb",
            "Committed memory in MB",
            lambda: tasks.committed.memory_mb,
        )
        add_gauge(
            "apricotpath_busy_slots",
            "Requests at the backend server",
            lambda: self._service_load().busy_slots,
        )
        add_gauge(
            "apricotpath_queued",
            "Requests that wait for a slot",
            lambda: self._service_load().queued,
        )
        add_gauge(
            "apricotpath_slowdown",
            "Slowdown of requests against their quiet baseline",
            lambda: self._service_load().pressure,
        )

    def worker_clock_ms(self) -> int:
        """Return the newest reading of the worker's clock in ms."""
        return self.tasks.worker_clock_ms

    def control_digest(self) -> tuple[int, tuple[DataCentreStatus, ...]]:
        """Return the bundle version and data-centre statuses for heartbeats."""
        return self.control.bundle_version, self.control.statuses()

    async def opened(self, link: Link) -> None:
        """Announce this host on a new link before anything else is sent."""
        await link.send(self.announcement())
        await super().opened(link)

    def announcement(self) -> Announce:
        """Return the current announcement of this host and its backend server."""
        cfg, backend = self.cfg, self.cfg.backend
        return Announce(
            cfg.host,
            cfg.rack,
            cfg.data_centre,
            cfg.size,
            backend.backend if backend else BackendId(""),
            backend.service if backend else ServiceId(""),
            backend.slots if backend else 0,
            backend.connections if backend else 0,
            self.draining,
            self.ready(),
            self.requests.maturity() if self.requests else Maturity.YOUNG,
        )

    def ready(self) -> bool:
        """Tell whether a bundle is in force, the worker's tasks are adopted and no drain runs."""
        return self.control.bundle is not None and self.tasks.ready and not self.draining

    async def announce_forever(self) -> None:
        """Send the announcement on all links when it changes, until cancelled."""
        sent, sent_at = self.announcement(), anyio.current_time()
        while True:
            await anyio.sleep(ANNOUNCE_INTERVAL_S)
            now, current = anyio.current_time(), self.announcement()
            if current == sent and now - sent_at < ANNOUNCE_REPEAT_S:
                continue
            sent, sent_at = current, now
            for link in list(self.links):
                if link.is_open:
                    await link.send(current)

    async def leave(self) -> None:
        """Tell all entries that this host accepts no new work."""
        self.draining = True
        for link in list(self.links):
            if link.is_open:
                await link.send(Leaving("the agent is shutting down"))

    def debug(self) -> dict[str, Any]:
        """Return the agent's state for operators, as plain JSON values."""
        report = self.tasks.report()
        return {
            "incarnation": self.incarnation,
            "bundle_version": self.control.bundle_version,
            "ready": self.ready(),
            "links": [link.peer_id for link in self.links],
            "tasks": [f"{task.task}#{task.attempt} {task.state.value}" for task in report.tasks],
            "outcomes": len(report.outcomes),
            "busy_slots": report.busy_slots,
            "queued": report.queued,
        }

    def _service_load(self) -> ServiceLoad:
        if self.requests is None:
            return ServiceLoad()
        requests = self.requests
        return ServiceLoad(requests.pressure, requests.busy_slots, requests.queued)


async def run_agent(cfg: AgentSettings) -> None:
    """Run an agent until it is asked to stop and has finished its current work.

    Raises SettingsError before anything is started if its port or certificate cannot be used.
    """
    check_tls(cfg.link.tls)
    require_bindable(cfg.metrics)
    agent = Agent(cfg)
    stopped = anyio.Event()
    app = StatusApp(agent.ready, agent.metrics.render, agent.debug)
    async with anyio.create_task_group() as group:
        await agent.serve(group)
        group.start_soon(agent.announce_forever)
        for address in cfg.entries:
            rng = random.Random()
            group.start_soon(dial_forever, address, agent.hello, cfg.link, agent, rng)
        servers = HttpServers(group)
        servers.start(serve_http, app, cfg.metrics, cfg.limits, stopped.wait)
        log.info("agent started", extra={"incarnation": agent.incarnation})
        await wait_for_stop(group)
        await agent.leave()
        await agent.drain()
        stopped.set()
        await servers.wait_ended()
        log.info("agent stopped")
        group.cancel_scope.cancel()
