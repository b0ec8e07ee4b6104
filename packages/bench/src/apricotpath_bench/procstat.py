"""Processor time and memory of processes, and the machine's load, for measurements."""

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Indexes of user and system time among the fields of /proc/PID/stat after the command name.
USER_FIELD, SYSTEM_FIELD = 11, 12


def cpu_seconds(pid: int) -> float:
    """Return the user and system time of a process so far, in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    values = stat.rpartition(")")[2].split()
    return (int(values[USER_FIELD]) + int(values[SYSTEM_FIELD])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB, 0.0 if it has none."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def load_average() -> float:
    """Return the machine's load average over the last minute, printed with the figures."""
    return os.getloadavg()[0]
