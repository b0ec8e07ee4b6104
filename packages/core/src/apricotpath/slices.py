"""Bounds how much one step of the event loop does."""

import anyio.lowlevel

# Operations of some 10 to 40 us each, such as to apply a record and log it, that are done before
# other tasks of the process, such as lease renewals, run.
OPERATIONS_PER_SLICE = 100
# To look at so many runs takes about as long as one operation.
RUNS_PER_OPERATION = 20


class Slices:
    """Counts the operations of a long piece of work, and lets other tasks run in between."""

    def __init__(self) -> None:
        self._done = 0

    async def note(self, operations: int = 1) -> None:
        """Note operations that were done; other tasks run once there are enough of them."""
        self._done += operations
        if self._done >= OPERATIONS_PER_SLICE:
            self._done = 0
            await anyio.lowlevel.checkpoint()

    async def end_step(self) -> None:
        """Let other tasks run now if there were operations since they last ran."""
        if self._done:
            await self.note(OPERATIONS_PER_SLICE)
