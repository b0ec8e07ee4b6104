"""Keeps what a failed scenario with real processes leaves behind: error, load and process logs."""

import os
import shutil
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).parents[2]
FAILURES = Path(os.environ.get("APRICOTPATH_TEST_FAILURES", ROOT / "target" / "test-failures"))
# Failures that are kept; older ones are removed.
MAX_KEPT = 20
# Bytes kept of each log, from its end.
MAX_LOG_BYTES = 4 << 20


class FailureLogs:
    """Copies the `*.log` files of watched folders into a folder of their own per failure."""

    def __init__(self, failures: Path = FAILURES) -> None:
        self._failures = failures
        self._watched: list[Path] = []

    def watch(self, folder: Path) -> None:
        """Keep the logs in `folder` whenever a scenario fails from now on."""
        self._watched.append(folder)

    def keep(self, feature: str, line: int, step: str, error: BaseException | None) -> Path | None:
        """Keep a failure and return its folder, or None if no process has a log.

        `feature` is the stem of the feature's file, and `line` that of the scenario.
        """
        logs = [log for folder in self._watched for log in sorted(folder.glob("*.log"))]
        if not logs:
            return None
        now_ns = time.time_ns()
        time_text = time.strftime("%Y%m%dT%H%M%S", time.gmtime(now_ns / 1e9))
        kept = self._failures / f"{feature}-{line}-{time_text}.{now_ns % 10**9 // 10**6:03}"
        kept.mkdir(parents=True)
        (kept / "error.txt").write_text(_describe(step, error))
        for number, log in enumerate(logs):
            name = log.name if not (kept / log.name).exists() else f"{number}-{log.name}"
            (kept / name).write_bytes(log.read_bytes()[-MAX_LOG_BYTES:])
        self._remove_oldest()
        return kept

    def _remove_oldest(self) -> None:
        found = sorted(self._failures.iterdir(), key=lambda folder: folder.stat().st_mtime_ns)
        for folder in found[:-MAX_KEPT]:
            shutil.rmtree(folder, ignore_errors=True)


def _describe(step: str, error: BaseException | None) -> str:
    """Return a failure as text, with the load averages over 1, 5 and 15 minutes."""
    load = " ".join(f"{average:.2f}" for average in os.getloadavg())
    lines = traceback.format_exception(error) if error is not None else []
    return f"step: {step}\nload average: {load} on {os.cpu_count()} processors\n\n{''.join(lines)}"


# Of the scenarios in this process.
failure_logs = FailureLogs()
