"""The clock of an executor, as an agent knows it from the executor's answers."""

from apricotpath.boottime import boot_s


class ExecutorClock:
    """Converts times on the boot clock (seconds) to times on an executor's clock (ms)."""

    def __init__(self) -> None:
        self._read_ms, self._read_at = 0, 0.0

    def note(self, clock_ms: int) -> None:
        """Note what the executor's clock has just shown."""
        self._read_ms, self._read_at = clock_ms, boot_s()

    def time_ms(self, at: float) -> int | None:
        """Return a future time; None if it has passed, or the clock was never read."""
        now = boot_s()
        if at <= now or not self._read_at:
            return None
        elapsed_s = now - self._read_at
        return self._read_ms + round((elapsed_s + (at - now)) * 1000)
