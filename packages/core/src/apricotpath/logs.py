"""Rate-limited, non-blocking logging in JSON lines."""

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

# Attributes of a plain LogRecord; all others were passed in `extra`.
_STANDARD_ATTRIBUTES = set(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}

# Sustained rate and burst of lines below warning level.
LINES_PER_S = 200.0
BURST_LINES = 1000
# Warnings and errors have a separate limit, so that other lines cannot use it up.
WARNINGS_PER_S = 50.0
BURST_WARNINGS = 500
# Capacity of the queue of lines to be written.
QUEUED_LINES = 2000
# Maximum length of one field in characters; longer texts are truncated.
FIELD_CHARS = 2000
# Minimum time between two lines that report how many lines were left out.
LEFT_OUT_INTERVAL_S = 1.0
# Distinct messages that are counted separately; all others are counted together.
LEFT_OUT_KINDS = 50
# Maximum time that `close` waits for queued lines to be written.
CLOSE_WAIT_S = 0.5


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object, including the fields passed in `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record, without a newline."""
        created = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        line: dict[str, Any] = {
            "time": f"{created}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "logger": record.name,
            "text": _truncated(record.getMessage()),
        }
        extra = {k: v for k, v in vars(record).items() if k not in _STANDARD_ATTRIBUTES}
        line.update({k: _truncated(v) if isinstance(v, str) else v for k, v in extra.items()})
        if record.exc_info:
            # The error is named at the end of a traceback, so the start is truncated.
            line["error"] = self.formatException(record.exc_info)[-FIELD_CHARS:]
        return json.dumps(line, default=str)


def _truncated(value: str) -> str:
    return value if len(value) <= FIELD_CHARS else f"{value[:FIELD_CHARS]} (cut off)"


class TokenBucket:
    """A token bucket with a rate of `per_s` tokens a second and a capacity of `burst`."""

    def __init__(self, per_s: float, burst: float, clock: Callable[[], float]) -> None:
        self._per_s, self._burst, self._clock = per_s, burst, clock
        self._left, self._since = burst, clock()

    def try_acquire(self) -> bool:
        """Take a token if one is left; return whether it was taken."""
        now = self._clock()
        self._left = min(self._burst, self._left + (now - self._since) * self._per_s)
        self._since = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class BoundedHandler(logging.Handler):
    """Queues lines for a thread that writes them to a file descriptor.

    A line is left out if the rate limit is exceeded, or if the queue is full
    because the log's reader is too slow. Lines that are left out are counted by
    message text and reported in a separate line. Writing from a separate thread
    keeps a reader that stops reading from blocking the process.
    """

    def __init__(
        self, descriptor: int, process: str = "", clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.left_out = 0
        self._descriptor, self._process, self._clock = descriptor, process, clock
        self._bucket = TokenBucket(LINES_PER_S, BURST_LINES, clock)
        self._warning_bucket = TokenBucket(WARNINGS_PER_S, BURST_WARNINGS, clock)
        self._queue: queue.Queue[str | None] = queue.Queue(QUEUED_LINES)
        self._unreported: Counter[str] = Counter()
        self._unreported_lock = threading.Lock()
        self._reported_at = float("-inf")
        self._writer = threading.Thread(target=self._write_forever, name="log", daemon=True)
        self._writer.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of a record, or count it as left out."""
        bucket = self._warning_bucket if record.levelno >= logging.WARNING else self._bucket
        if not bucket.try_acquire():
            self._count_left_out(record)
            return
        record.process_id = self._process
        try:
            self._queue.put_nowait(self.format(record))
        except queue.Full:
            self._count_left_out(record)
        except Exception:
            # The record could not be formatted, which is an error in the logging call.
            self.handleError(record)

    def _count_left_out(self, record: logging.LogRecord) -> None:
        self.left_out += 1
        kind = str(record.msg)
        with self._unreported_lock:
            first = not self._unreported
            if kind not in self._unreported and len(self._unreported) >= LEFT_OUT_KINDS:
                kind = "other lines"
            self._unreported[kind] += 1
        if first:
            try:
                # An empty line wakes the writer thread, so that it reports the count in time.
                self._queue.put_nowait("")
            except queue.Full:
                # The writer thread is busy and checks the counts after each line.
                return

    def _write_forever(self) -> None:
        while True:
            try:
                line = self._queue.get(timeout=LEFT_OUT_INTERVAL_S if self._unreported else None)
            except queue.Empty:
                line = ""
            if line is None:
                self._write(self._left_out_line())
                return
            self._write(line)
            if self._clock() - self._reported_at >= LEFT_OUT_INTERVAL_S:
                self._write(self._left_out_line())

    def _left_out_line(self) -> str:
        """Return a line that reports the lines left out since the last report; empty if none."""
        with self._unreported_lock:
            unreported, self._unreported = self._unreported, Counter()
        if not unreported:
            return ""
        self._reported_at = self._clock()
        record = logging.makeLogRecord(
            {
                "name": __name__,
                "levelno": logging.WARNING,
                "levelname": "WARNING",
                "msg": "log lines left out",
                "count": unreported.total(),
                "kinds": dict(unreported),
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
                # Another process that shares the descriptor has made it non-blocking.
                time.sleep(LEFT_OUT_INTERVAL_S / 10)
            except OSError:
                # The log's reader is gone; the process continues without logs.
                self.left_out += 1
                return

    def close(self) -> None:
        """Write the queued lines; give up after a short time if the log's reader has stopped."""
        try:
            self._queue.put(None, timeout=CLOSE_WAIT_S)
        except queue.Full:
            # The writer is a daemon thread, which does not keep the process alive.
            pass
        else:
            self._writer.join(CLOSE_WAIT_S)
        super().close()


def configure(level: str, process: str, descriptor: int | None = None) -> BoundedHandler:
    """Send all logs of this process to a file descriptor, by default standard error.

    `process` is added to each line as `process_id`.
    """
    handler = BoundedHandler(sys.stderr.fileno() if descriptor is None else descriptor, process)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # These libraries log a line per request, which would hide other lines and cost CPU time.
    for name in ("httpx", "httpcore", "hypercorn.access", "hpack"):
        logging.getLogger(name).setLevel(logging.WARNING)
    return handler
