"""Monotonic clock for leases, which also advances while the machine is suspended."""

import time
from collections.abc import Callable


def _system_boot_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_clock: Callable[[], float] = _system_boot_s


def boot_s() -> float:
    """Return the seconds since boot, including time in suspend."""
    return _clock()


def set_clock(source: Callable[[], float] | None) -> None:
    """Replace the clock, for tests with virtual time; None restores the system clock."""
    global _clock
    _clock = source or _system_boot_s
