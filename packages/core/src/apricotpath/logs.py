"""Logs as JSON lines."""

import json
import logging
import sys
import time
from typing import Any, TextIO

# Attributes of a plain LogRecord; everything else came in through `extra`.
_STANDARD = set(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object, with the fields given in `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record, without its line end."""
        created = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        line: dict[str, Any] = {
            "time": f"{created}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "logger": record.name,
            "text": record.getMessage(),
        }
        line.update({k: v for k, v in vars(record).items() if k not in _STANDARD})
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure(level: str, process: str, stream: TextIO | None = None) -> None:
    """Send all logs of this process to a stream, by default standard error.

    Each line names the process.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter())
    handler.addFilter(_ProcessName(process))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # These log a line per request, which would hide the other lines and cost processor time.
    for name in ("httpx", "httpcore", "hypercorn.access", "hpack"):
        logging.getLogger(name).setLevel(logging.WARNING)


class _ProcessName(logging.Filter):
    """Adds the process id to each record."""

    def __init__(self, process: str) -> None:
        super().__init__()
        self.process = process

    def filter(self, record: logging.LogRecord) -> bool:
        record.process_id = self.process
        return True
