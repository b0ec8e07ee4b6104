"""Turns on the event loop for work that clients cause, so that other work is not delayed by it."""

import asyncio
import heapq
from itertools import count


class Turns:
    """Lets one waiter go on in each iteration of the event loop, the one with least work first.

    A crowd of connections that all have something to parse would otherwise be
    served in a single iteration, which delayed calls to the store by seconds.
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = count()
        # Whether the turn of this iteration is taken.
        self._taken = False

    async def wait(self, work: int) -> None:
        """Wait for a turn; `work` is the number of recent turns of the caller's connection."""
        if not self._taken:
            self._taken = True
            self._loop.call_soon(self._next)
            return
        fut = self._loop.create_future()
        heapq.heappush(self._waiting, (work, next(self._numbers), fut))
        await fut

    def _next(self) -> None:
        """Begin an iteration's turn."""
        while self._waiting:
            fut = heapq.heappop(self._waiting)[2]
            if not fut.done():
                fut.set_result(None)
                self._loop.call_soon(self._next)
                return
        self._taken = False
