"""Which of many waiting gangs a placement pass looks at.

Answers for any number of waiting gangs: a pass looks at a bounded number of hosts for them.
"""

from collections.abc import Iterable
from copy import copy
from heapq import nsmallest

from apricotpath.workload import StepKey

# Hosts that one pass looks at for gangs. Half of them are for the gangs that come first, the
# other half for those that were not looked at for longest. A look takes 2 to 4 us.
HOST_CHECKS_PER_PASS = 1500
# Share of the cost of a look that a gang takes which cannot fit, as a smaller one did not.
SKIPPED_SHARE = 10


class GangTurns:
    """Which gangs a pass looks at, when they are too many for one; kept from pass to pass.

    `left_out` counts the gangs that the newest pass has not looked at.
    """

    def __init__(self) -> None:
        self._pass = 0
        self._looked_at: dict[StepKey, int] = {}
        self._due: set[StepKey] = set()
        self._checks_left = 0
        self.left_out = 0

    def copy(self) -> "GangTurns":
        """Return turns that passes may take without changing these."""
        # Passes put other collections in place of the present ones.
        return copy(self)

    def begin(self, gangs: Iterable[StepKey], hosts: int) -> None:
        """Begin a pass with the waiting gangs in placement order."""
        self._pass += 1
        self._looked_at = {key: self._looked_at.get(key, 0) for key in gangs}
        self._checks_left = HOST_CHECKS_PER_PASS // 2
        self.left_out = 0
        turns = max(1, HOST_CHECKS_PER_PASS // 2 // max(1, hosts))
        self._due = set(nsmallest(turns, self._looked_at, key=self._looked_at.__getitem__))

    def may_look_at(self, gang: StepKey) -> bool:
        """Return whether the pass looks whether a gang fits."""
        if gang not in self._due and self._checks_left <= 0:
            self.left_out += 1
            return False
        self._looked_at[gang] = self._pass
        return True

    def note_checks(self, gang: StepKey, hosts: int, skipped: bool) -> None:
        """Note that a gang was looked at, or skipped since a smaller one did not fit."""
        if gang not in self._due:
            self._checks_left -= max(1, hosts // SKIPPED_SHARE if skipped else hosts)
