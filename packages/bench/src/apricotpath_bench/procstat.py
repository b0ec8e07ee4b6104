"""Processor time, memory and loopback helpers for measurements of processes by their ids."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Position of the user and system times in /proc/PID/stat after the command name.
USER_FIELD, SYSTEM_FIELD = 11, 12


def cpu_seconds(pid: int) -> float:
    """Return the processor time in seconds, user and system, that a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    values = stat.rpartition(")")[2].split()
    return (int(values[USER_FIELD]) + int(values[SYSTEM_FIELD])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def load_average() -> float:
    """Return the machine's load over the last minute, by which readers judge a figure."""
    return os.getloadavg()[0]
