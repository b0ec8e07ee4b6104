"""Logs as JSON lines, bounded in volume, that never block the process that writes them."""

import json
import logging
import os
import queue
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

# Attributes of a plain LogRecord; everything else came in through `extra`.
_STANDARD = set(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}

# Lines a second that a process writes in the long run, and how many it may write at once.
LINES_PER_S = 200.0
BURST_LINES = 1000
# Warnings and errors have a budget of their own, so that ordinary lines do not crowd them out.
WARNINGS_PER_S = 50.0
BURST_WARNINGS = 500
# Lines that wait for a slow reader of the log.
QUEUED_LINES = 2000
# Longest text of one field, in characters.
FIELD_CHARS = 2000
# Least time between two lines that tell how much was left out.
LEFT_OUT_INTERVAL_S = 1.0
# Kinds of lines that are counted separately; the others are counted together.
LEFT_OUT_KINDS = 50
# How long the end of a process waits for the reader of its log.
CLOSE_WAIT_S = 0.5


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object, with the fields given in `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record, without its line end."""
        created = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        line: dict[str, Any] = {
            "time": f"{created}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "logger": record.name,
            "text": _bounded(record.getMessage()),
        }
        extra = {k: v for k, v in vars(record).items() if k not in _STANDARD}
        line.update({k: _bounded(v) if isinstance(v, str) else v for k, v in extra.items()})
        if record.exc_info:
            # The end of a traceback names the error.
            line["error"] = self.formatException(record.exc_info)[-FIELD_CHARS:]
        return json.dumps(line, default=str)


def _bounded(value: str) -> str:
    return value if len(value) <= FIELD_CHARS else f"{value[:FIELD_CHARS]} (cut off)"


class Budget:
    """A token bucket: `per_s` lines a second, and `burst` at once."""

    def __init__(self, per_s: float, burst: float, clock: Callable[[], float]) -> None:
        self._per_s, self._burst, self._clock = per_s, burst, clock
        self._left, self._since = burst, clock()

    def take(self) -> bool:
        """Use up one line if there is one."""
        now = self._clock()
        self._left = min(self._burst, self._left + (now - self._since) * self._per_s)
        self._since = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class BoundedHandler(logging.Handler):
    """Hands lines to a thread that writes them to a file descriptor.

    A line is left out if its budget is used up, or if the reader of the log
    is so slow that the queue is full; what is left out is counted by its text
    and told in a line of its own. Writing from a thread of its own keeps a
    reader that stops reading from stopping the process.
    """

    def __init__(
        self, descriptor: int, process: str = "", clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.left_out = 0
        self._descriptor, self._process, self._clock = descriptor, process, clock
        self._budget = Budget(LINES_PER_S, BURST_LINES, clock)
        self._warnings = Budget(WARNINGS_PER_S, BURST_WARNINGS, clock)
        self._queue: queue.Queue[str | None] = queue.Queue(QUEUED_LINES)
        self._untold: Counter[str] = Counter()
        self._untold_lock = threading.Lock()
        self._told_at = float("-inf")
        self._writer = threading.Thread(target=self._write_forever, name="log", daemon=True)
        self._writer.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of a record, or count it as left out."""
        budget = self._warnings if record.levelno >= logging.WARNING else self._budget
        if not budget.take():
            self._leave_out(record)
            return
        record.process_id = self._process
        try:
            self._queue.put_nowait(self.format(record))
        except queue.Full:
            self._leave_out(record)
        except Exception:
            # A record that cannot be formatted is a fault of its caller.
            self.handleError(record)

    def _leave_out(self, record: logging.LogRecord) -> None:
        self.left_out += 1
        kind = str(record.msg)
        with self._untold_lock:
            first = not self._untold
            if kind not in self._untold and len(self._untold) >= LEFT_OUT_KINDS:
                kind = "other lines"
            self._untold[kind] += 1
        if first:
            try:
                # An empty line wakes the writer, which tells of it in time.
                self._queue.put_nowait("")
            except queue.Full:
                # The writer has lines to write and looks at the counts after them.
                return

    def _write_forever(self) -> None:
        while True:
            try:
                line = self._queue.get(timeout=LEFT_OUT_INTERVAL_S if self._untold else None)
            except queue.Empty:
                line = ""
            if line is None:
                self._write(self._left_out_line())
                return
            self._write(line)
            if self._clock() - self._told_at >= LEFT_OUT_INTERVAL_S:
                self._write(self._left_out_line())

    def _left_out_line(self) -> str:
        """Return a line that tells what was left out since the last one, or nothing."""
        with self._untold_lock:
            untold, self._untold = self._untold, Counter()
        if not untold:
            return ""
        self._told_at = self._clock()
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "log lines left out",
                "count": untold.total(),
                "kinds": dict(untold),
                "process_id": self._process,
            }
        )
        return self.format(record)

    def _write(self, line: str) -> None:
        data = f"{line}\n".encode() if line else b""
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except BlockingIOError:
                # Another process has made the descriptor non-blocking.
                time.sleep(LEFT_OUT_INTERVAL_S / 10)
            except OSError:
                # Nobody can read the log any more; the process goes on without it.
                self.left_out += 1
                return

    def close(self) -> None:
        """Write what is queued, but wait for a reader that has stopped only for a while."""
        try:
            self._queue.put(None, timeout=CLOSE_WAIT_S)
        except queue.Full:
            # The thread is a daemon and ends with the process.
            pass
        else:
            self._writer.join(CLOSE_WAIT_S)
        super().close()


def configure(level: str, process: str, descriptor: int | None = None) -> BoundedHandler:
    """Send all logs of this process to a file descriptor, by default standard error.

    Each line names the process.
    """
    handler = BoundedHandler(sys.stderr.fileno() if descriptor is None else descriptor, process)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # These log a line per request, which would hide the other lines and cost processor time.
    for name in ("httpx", "httpcore", "hypercorn.access", "hpack"):
        logging.getLogger(name).setLevel(logging.WARNING)
    return handler
