"""Interface of the components of an entry or agent."""

from collections.abc import Callable, Coroutine
from datetime import datetime
from typing import Any, Protocol

from apricotpath.codec import Envelope
from apricotpath.link import Link
from apricotpath.messages import Message

# Components get the UTC time from a function, so that tests can set it; monotonic
# time in seconds is always `anyio.current_time()`, which uses the test's clock.
UtcClock = Callable[[], datetime]

# A coroutine function that a component starts in its task group.
TaskFunction = Callable[[], Coroutine[Any, Any, None]]


class Component(Protocol):
    """One component of a process."""

    handles: frozenset[type[Message]]

    async def run(self) -> None:
        """Run the component's background loops until cancelled."""

    async def received(self, link: Link, envelope: Envelope) -> None:
        """Handle a message of a type in `handles`; must not wait for the peer."""

    async def link_opened(self, link: Link) -> None:
        """Handle a new link."""

    async def link_closed(self, link: Link) -> None:
        """Handle the end of a link."""

    async def drain(self) -> None:
        """Refuse new work and return when the current work is done."""
