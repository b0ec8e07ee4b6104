"""Dialling loops to a changing set of processes."""

import random
from collections.abc import Hashable, Mapping
from typing import Any

import anyio
from anyio.abc import TaskGroup

from apricotpath.config import Address, LinkSettings
from apricotpath.link import Handler, dial_forever
from apricotpath.messages import Hello


class Dialler:
    """Keeps one dialling loop per target process; `run` must be running."""

    def __init__(self, hello: Hello, cfg: LinkSettings, handler: Handler) -> None:
        self.hello = hello
        self.cfg = cfg
        self.handler = handler
        self._dials: dict[Hashable, tuple[Address, anyio.CancelScope]] = {}
        self._group: TaskGroup | None = None
        self._rng = random.Random()

    @property
    def running(self) -> bool:
        """Whether processes can be dialled."""
        return self._group is not None

    async def run(self) -> None:
        """Run the dialling loops until cancelled."""
        async with anyio.create_task_group() as self._group:
            await anyio.sleep_forever()

    def set_targets(self, targets: Mapping[Any, Address]) -> None:
        """Set the processes to dial; loops to all others are cancelled."""
        if self._group is None:
            return
        for name, (address, scope) in list(self._dials.items()):
            if targets.get(name) != address:
                scope.cancel()
                del self._dials[name]
        for name, address in targets.items():
            if name not in self._dials:
                scope = anyio.CancelScope()
                self._dials[name] = (address, scope)
                self._group.start_soon(self._dial, address, scope)

    async def _dial(self, address: Address, scope: anyio.CancelScope) -> None:
        with scope:
            await dial_forever(address, self.hello, self.cfg, self.handler, self._rng)
