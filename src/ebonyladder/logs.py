"""JSON log lines on standard output, limited in rate and without blocking."""

import json
import logging as standard_logging
import os
import re
import time

from absl import logging

# Lines below warning level beyond this rate and burst are counted, not written.
LINES_PER_S = 150.0
BURST_LINES = 300.0
# Longest message of a line; ids and details of callers have up to 1 MiB.
MAX_MESSAGE_CHARACTERS = 4000
PREFIX = re.compile(r"^\[([a-z-]+)\] ")
# Only a blank separates fields: ids and names can contain other white space.
FIELD = re.compile(r"(?:^| )([a-z_]+)=(.*?)(?= [a-z_]+=|\Z)", re.DOTALL)
# Line separators that JSON doesn't escape.
SEPARATORS = {ord(c): f"\\u{ord(c):04x}" for c in "\x85\u2028\u2029"}


def split_message(text: str) -> dict[str, str]:
    """Return prefix, sentence and fields of ``[part] Sentence. a=1 b=2``."""
    fields: dict[str, str] = {}
    prefix = PREFIX.match(text)
    if prefix:
        fields["part"] = prefix.group(1)
        text = text[prefix.end() :]
    matches = list(FIELD.finditer(text))
    fields["message"] = (text[: matches[0].start()] if matches else text).strip()
    for match in matches:
        # The last field may quote a text that looks like fields.
        fields.setdefault(match.group(1), match.group(2))
    return fields


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record as one line of JSON."""
        fields = {"at": round(record.created, 3), "level": record.levelname.lower()}
        text = record.getMessage()[:MAX_MESSAGE_CHARACTERS]
        fields = {**fields, **split_message(text), **fields}
        if record.exc_info:
            fields["traceback"] = self.formatException(record.exc_info)
        return json.dumps(fields, ensure_ascii=False).translate(SEPARATORS)


class BoundedHandler(standard_logging.Handler):
    """Writes lines without blocking, and counts those that it suppresses.

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
        self.allowance = BURST_LINES
        self.allowance_updated_at_s = time.monotonic()
        self.suppressed = 0
        self.partial_line = b""

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Write a record, or count it as suppressed."""
        now_s = time.monotonic()
        gained = (now_s - self.allowance_updated_at_s) * LINES_PER_S
        self.allowance = min(BURST_LINES, self.allowance + gained)
        self.allowance_updated_at_s = now_s
        if self.allowance < 1 and record.levelno < standard_logging.WARNING:
            self.suppressed += 1
            return
        self.allowance -= 1
        try:
            line = self.format(record)
        except Exception as error:
            # A value that can't be formatted, such as an integer of thousands of
            # digits, must not fail the code that logs it.
            problem = {"at": round(record.created, 3), "part": "logs"}
            problem |= {"message": "A line could not be formatted."}
            problem |= {"format": str(record.msg), "error": type(error).__name__}
            line = json.dumps(problem)
        if self.suppressed:
            summary = {"at": round(record.created, 3), "part": "logs"}
            summary |= {"message": "Lines were suppressed.", "count": self.suppressed}
            line = f"{json.dumps(summary)}\n{line}"
        self._write(line.encode(errors="backslashreplace") + b"\n")

    def _write(self, data: bytes) -> None:
        # A full pipe may have accepted only part of the last line. Its rest is
        # written first, so that lines aren't mixed.
        data = self.partial_line + data
        had_partial_line = bool(self.partial_line)
        try:
            written = os.write(self.descriptor, data)
        except OSError:
            # A full or closed pipe must not delay or fail a request.
            self.suppressed += 1
            return
        self.suppressed = 0
        self.partial_line = data[written:]
        if had_partial_line and self.partial_line:
            self.suppressed += 1


def log_to_stdout() -> None:
    """Write absl's log lines to standard output as JSON."""
    logging.use_absl_handler()
    logger = logging.get_absl_logger()
    logger.handlers.clear()
    root = standard_logging.getLogger()
    root.handlers = [BoundedHandler(descriptor=1)]
    logging.set_verbosity(logging.INFO)
