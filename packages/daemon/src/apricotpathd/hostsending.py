"""Sends a scheduler's messages to hosts."""

import logging

from apricotpath.errors import LinkError
from apricotpath.link import Link
from apricotpath.messages import HostDetached, HostGrant, RunTraits, StartRuns, StopRuns

log = logging.getLogger(__name__)


def send_nowait(
    link: Link, message: HostDetached | HostGrant | RunTraits | StartRuns | StopRuns
) -> bool:
    """Queue a message on a link; False if the link is closed or its queue is full."""
    try:
        link.send_nowait(message)
    except LinkError as exc:
        log.info("message to %s not sent: %s", link.peer_id, exc)
        return False
    return True
