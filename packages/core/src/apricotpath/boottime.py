"""The clock for leases and authority, which goes on while a machine is suspended."""

import time


def boot_s() -> float:
    """Return seconds since the machine's start, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
