"""The clock for leases and authority, which goes on while a machine is suspended."""

import time
from collections.abc import Callable


def _machine_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_source: Callable[[], float] = _machine_s


def boot_s() -> float:
    """Return seconds since the machine's start, suspension included."""
    return _source()


def use_source(source: Callable[[], float] | None) -> None:
    """Read another clock from now on, so that tests can move time; None restores the machine's."""
    global _source
    _source = source or _machine_s
