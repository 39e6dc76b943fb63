"""JSON log lines on standard output, bounded in volume and never blocking."""

import json
import logging as standard_logging
import os
import re
import time

from absl import logging

# Lines a second, and at once, that are written; the rest is counted.
LINES_PER_S = 150.0
LINES_AT_ONCE = 300.0
PREFIX = re.compile(r"^\[([a-z-]+)\] ")
FIELD = re.compile(r"(?:^|\s)([a-z_]+)=(.*?)(?=\s[a-z_]+=|$)", re.DOTALL)


def split_message(text: str) -> dict[str, str]:
    """Return prefix, sentence and fields of ``[part] Sentence. a=1 b=2``."""
    found: dict[str, str] = {}
    prefix = PREFIX.match(text)
    if prefix:
        found["part"] = prefix.group(1)
        text = text[prefix.end() :]
    fields = list(FIELD.finditer(text))
    found["message"] = (text[: fields[0].start()] if fields else text).strip()
    for field in fields:
        found[field.group(1)] = field.group(2)
    return found


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        fields = {
            "at": round(record.created, 3),
            "level": record.levelname.lower(),
            **split_message(record.getMessage()),
        }
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return json.dumps(fields, ensure_ascii=False)


class BoundedHandler(standard_logging.Handler):
    """Writes lines without blocking; what exceeds the rate is counted.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, *, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.setFormatter(JsonFormatter())
        self.allowance = LINES_AT_ONCE
        self.filled_s = time.monotonic()
        self.suppressed = 0
        self.unfinished = b""

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write a record, or count it."""
        now_s = time.monotonic()
        gained = (now_s - self.filled_s) * LINES_PER_S
        self.allowance = min(LINES_AT_ONCE, self.allowance + gained)
        self.filled_s = now_s
        if self.allowance < 1 and record.levelno < standard_logging.WARNING:
            self.suppressed += 1
            return
        self.allowance -= 1
        line = self.format(record)
        if self.suppressed:
            note = {"at": round(record.created, 3), "part": "logs"}
            note |= {"message": "Lines were suppressed.", "count": self.suppressed}
            line = f"{json.dumps(note)}\n{line}"
        self._write(line.encode() + b"\n")

    def _write(self, data: bytes) -> None:
        # The rest of a line that a full pipe cut off goes first, so that no line
        # is mixed with another.
        data = self.unfinished + data
        had_rest = bool(self.unfinished)
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            # A full or closed pipe must not delay or fail a request.
            self.suppressed += 1
            return
        self.suppressed = 0
        self.unfinished = data[written:]
        if had_rest and self.unfinished:
            self.suppressed += 1


def log_to_stdout() -> None:
    """Send absl's log lines to standard output as JSON."""
    logging.use_absl_handler()
    logger = logging.get_absl_logger()
    logger.handlers.clear()
    root = standard_logging.getLogger()
    root.handlers = [BoundedHandler(descriptor=1)]
    logging.set_verbosity(logging.INFO)
