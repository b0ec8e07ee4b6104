"""A host's committed resources: its tasks and the claim of its backend server."""

from typing import NewType

from apricotpath.errors import CapacityError
from apricotpath.model import Size

LedgerKey = NewType("LedgerKey", str)


class Ledger:
    """Commitments by key; their total never exceeds `size` in any dimension.

    The claim of the backend server has precedence: if it does not fit yet, the
    part that fits is committed, and freed resources go to it before any task.
    """

    def __init__(self, size: Size) -> None:
        self.size = size
        self.claim = Size()
        self.requested_claim = Size()
        self._tasks: dict[LedgerKey, Size] = {}
        self._committed = Size()

    @property
    def total(self) -> Size:
        """Sum of all commitments, the claim included."""
        return self._committed + self.claim

    @property
    def free(self) -> Size:
        """Resources that tasks may still reserve; none in a dimension where the claim is short."""
        return self.size - self.total

    def __contains__(self, key: LedgerKey) -> bool:
        return key in self._tasks

    def keys(self) -> frozenset[LedgerKey]:
        """Return the keys of all tasks."""
        return frozenset(self._tasks)

    def reserve(self, key: LedgerKey, size: Size) -> None:
        """Commit a task's size; a repeat with the same size changes nothing.

        Raises CapacityError if the size does not fit or differs from the first.
        """
        _check(size)
        if key in self._tasks:
            if self._tasks[key] != size:
                raise CapacityError(f"{key} is committed with another size")
            return
        if not size.fits_in(self.free):
            raise CapacityError(f"{key} does not fit: {size} is more than {self.free}")
        self._add(key, size)

    def adopt(self, key: LedgerKey, size: Size) -> None:
        """Commit a task that the worker is already running; a committed task keeps its size.

        Raises CapacityError if the total would exceed the host's size.
        """
        _check(size)
        if key in self._tasks:
            return
        if not (self.total + size).fits_in(self.size):
            raise CapacityError(f"{key} runs already but exceeds the host's size")
        self._add(key, size)

    def release(self, key: LedgerKey) -> None:
        """Remove a task's commitment, if there is one; an unmet claim gets the resources first."""
        size = self._tasks.pop(key, None)
        if size is not None:
            self._committed -= size
            self._update_claim()

    def set_claim(self, size: Size) -> bool:
        """Set the claim of the backend server; return whether all of it is committed."""
        _check(size)
        self.requested_claim = size
        self._update_claim()
        return self.claim == size

    def _add(self, key: LedgerKey, size: Size) -> None:
        self._tasks[key] = size
        self._committed += size

    def _update_claim(self) -> None:
        uncommitted = self.size - self._committed
        self.claim = _minimum(self.requested_claim, uncommitted)


def _check(size: Size) -> None:
    # A negative size would increase the free capacity of the host.
    if not Size().fits_in(size):
        raise CapacityError(f"{size} has a negative dimension")


def _minimum(a: Size, b: Size) -> Size:
    return Size(
        min(a.cpu_milli, b.cpu_milli),
        min(a.memory_mb, b.memory_mb),
        min(a.accelerators, b.accelerators),
    )
