"""The entry role: ports, background loops and graceful shutdown."""

import logging

import anyio

from apricotpath.config import EntrySettings
from apricotpath.link import check_tls, listen
from apricotpathd.callers import serve_callers
from apricotpathd.entryparts import EntryParts, utc_now
from apricotpathd.httpserver import HttpServers, require_bindable, serve_http
from apricotpathd.operators import OperatorApp
from apricotpathd.process import wait_for_stop
from apricotpathd.services import EntryServices

log = logging.getLogger(__name__)


async def run_entry(cfg: EntrySettings) -> None:
    """Run an entry until it is asked to stop and has finished its current work.

    Raises SettingsError before anything is started if a port or certificate cannot be used.
    """
    check_tls(cfg.link.tls)
    for address in (cfg.links, cfg.callers, cfg.operators):
        require_bindable(address)
    parts = EntryParts(cfg)
    operators = OperatorApp(EntryServices(parts, utc_now), parts.control.trust, utc_now)
    stopping, drained = anyio.Event(), anyio.Event()
    async with parts.store, anyio.create_task_group() as group:
        group.start_soon(listen, cfg.links, parts.hello, cfg.link, parts, group)
        await parts.serve(group)
        group.start_soon(parts.callers.run)
        group.start_soon(parts.members.run)
        group.start_soon(parts.apply_views)
        servers = HttpServers(group)
        bind = f"{cfg.callers.host}:{cfg.callers.port}"
        servers.start(serve_callers, parts.callers, bind, stopping.wait)
        servers.start(serve_http, operators, cfg.operators, cfg.limits, drained.wait)
        log.info("entry started", extra={"incarnation": parts.incarnation})
        await wait_for_stop(group)
        # The entry is no longer ready, but the load balancer may send requests for a while.
        parts.draining = True
        parts.members.shards.leaving = True
        await anyio.sleep(cfg.drain_s)
        stopping.set()
        await parts.callers.drain()
        await parts.drain()
        await parts.members.drain()
        drained.set()
        await servers.wait_ended()
        log.info("entry stopped")
        group.cancel_scope.cancel()
