"""Reading of jobs and run log at the start of a scheduler's term."""

import logging

import anyio

from apricotpath.boottime import boot_s
from apricotpath.errors import StoreError
from apricotpath.mirror import Mirror
from apricotpath.pagedread import ReadProgress
from apricotpath.runlog import RunLog
from apricotpath.runrecords import RunRecord
from apricotpath.term import Term

log = logging.getLogger(__name__)

RETRY_S = 0.1
# Interval of the log lines and checks while the tables are loaded.
CHECK_S = 1.0
# A scheduler gives up its term when, while it loads, no byte has come from the store for
# SILENCE_S, or no whole page for PAGE_S. A page of 1 MB takes 5 s at 2 Mbit/s.
SILENCE_S = 3.0
PAGE_S = 15.0


class TableLoad:
    """Reads the run log while `jobs` reads the jobs; both count what they read in `progress`."""

    def __init__(self, term: Term, run_log: RunLog, jobs: Mirror, progress: ReadProgress) -> None:
        self._term, self._run_log, self._jobs = term, run_log, jobs
        self._progress = progress
        self._started = boot_s()

    async def read(self) -> list[RunRecord]:
        """Return the records of the run log once the jobs have been read, too.

        Sets `given_up` of the term, and returns nothing, if that makes no progress.
        """
        records: list[RunRecord] = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, group.cancel_scope)
            records = await self._read_log()
            await self._jobs.loaded.wait()
            group.cancel_scope.cancel()
        return records

    async def _read_log(self) -> list[RunRecord]:
        while True:
            try:
                return await self._run_log.load()
            except StoreError as exc:
                log.info("run log not read yet: %s", exc, extra=self.state())
                await anyio.sleep(RETRY_S)

    async def _watch(self, scope: anyio.CancelScope) -> None:
        """Log how far loading is; give up the term once that makes no progress."""
        progress = self._progress
        while True:
            await anyio.sleep(CHECK_S)
            now = boot_s()
            log.info("scheduler loading", extra=self.state())
            if now - progress.byte_at > SILENCE_S or now - progress.page_at > PAGE_S:
                log.warning("term given up: loading makes no progress", extra=self.state())
                self._term.given_up.set()
                scope.cancel()

    def state(self) -> dict[str, object]:
        """Return how far loading is, for log lines."""
        return {
            "epoch": self._term.epoch,
            "bytes": self._progress.received_bytes,
            "keys": self._progress.keys,
            "failed_calls": self._progress.failed_calls,
            "took_s": round(boot_s() - self._started, 3),
        }
