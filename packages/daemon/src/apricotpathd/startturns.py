"""Gives the start calls of an agent their turns at the executor."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from heapq import heappop, heappush

import anyio

from apricotpath.boottime import boot_s
from apricotpath.callwindow import CallWindow, OpenCall
from apricotpath.ids import TaskId


@dataclass(slots=True, order=True)
class Waiter:
    """A start order that waits for the turn of its call; `left` is set when it no longer does."""

    place: int
    name: tuple[TaskId, int] = field(compare=False)
    call: OpenCall | None = field(default=None, compare=False)
    left: bool = field(default=False, compare=False)
    woken: anyio.Event = field(default_factory=anyio.Event, compare=False)


class Turn:
    """The right to make one call; it ends as abandoned unless the outcome was noted."""

    def __init__(self, window: CallWindow, call: OpenCall) -> None:
        self._window = window
        self._call: OpenCall | None = call

    def begin(self) -> None:
        """Note that the call is sent now."""
        assert self._call is not None
        self._call = self._call._replace(sent_at=boot_s())

    def answered(self) -> None:
        """Note that the call was answered."""
        assert self._call is not None
        self._window.answered(self._call, boot_s())
        self._call = None

    def unanswered(self) -> None:
        """Note that the call was not answered."""
        assert self._call is not None
        self._window.unanswered(self._call)
        self._call = None

    def end(self) -> None:
        """Give the turn back."""
        if self._call is not None:
            self._window.abandon()
            self._call = None


class StartTurns:
    """Keeps the start calls under way within a window; the others wait in the order of arrival.

    A call that is repeated keeps the place of its order.
    """

    def __init__(self) -> None:
        self._window = CallWindow()
        self._waiting: list[Waiter] = []
        self._by_name: dict[tuple[TaskId, int], Waiter] = {}
        self._places = 0

    @property
    def waiting(self) -> int:
        """Number of calls that wait for their turn."""
        return sum(not waiter.left for waiter in self._waiting)

    @property
    def limit(self) -> int:
        """Most start calls that may be under way."""
        return self._window.limit

    def next_place(self) -> int:
        """Return the place of an order that has just arrived."""
        self._places += 1
        return self._places

    def withdraw(self, name: tuple[TaskId, int]) -> None:
        """End the wait of a run's start."""
        waiter = self._by_name.get(name)
        if waiter is not None:
            waiter.left = True
            waiter.woken.set()

    @asynccontextmanager
    async def turn(
        self, place: int, name: tuple[TaskId, int], wait_s: float
    ) -> AsyncIterator[Turn | None]:
        """Wait for a turn; None if it did not come in time, or the start was withdrawn."""
        waiter = Waiter(place, name)
        turn: Turn | None = None
        try:
            await self._wait(waiter, wait_s)
            turn = Turn(self._window, waiter.call) if waiter.call is not None else None
            yield turn
        finally:
            if turn is not None:
                turn.end()
            elif waiter.call is not None:
                # Cancelled between the grant of the turn and its use.
                self._window.abandon()
            self._grant()

    async def _wait(self, waiter: Waiter, wait_s: float) -> None:
        heappush(self._waiting, waiter)
        self._grant()
        if waiter.call is not None:
            return
        self._by_name[waiter.name] = waiter
        try:
            with anyio.move_on_after(max(0.0, wait_s)):
                await waiter.woken.wait()
        finally:
            waiter.left = True
            if self._by_name.get(waiter.name) is waiter:
                del self._by_name[waiter.name]

    def _grant(self) -> None:
        """Give turns to the first ones while the window has room."""
        while self._waiting and self._window.has_room:
            waiter = heappop(self._waiting)
            if not waiter.left:
                waiter.call = self._window.send(boot_s())
                waiter.woken.set()
