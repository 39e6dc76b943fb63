"""JSON log lines: format, limit of the rate and behaviour on a full pipe."""

import json
import logging
import os

from ebonyladder.logs import (
    BURST_LINES,
    BoundedHandler,
    JsonFormatter,
    split_message,
)


def record(message: str, level: int = logging.INFO) -> logging.LogRecord:
    """Return a log record."""
    return logging.LogRecord("absl", level, "", 0, message, (), None)


class TestJsonLines:
    """Guards against lines that a log collector can't parse."""

    def test_prefix_sentence_and_fields(self):
        found = split_message("[pool] Endpoint is gone. endpoint=i-1 why=not listed")
        assert found == {
            "part": "pool",
            "message": "Endpoint is gone.",
            "endpoint": "i-1",
            "why": "not listed",
        }

    def test_line_with_quotes_and_newline_is_json(self):
        line = JsonFormatter().format(record('[front] Refused. error="a\nb"'))
        assert json.loads(line)["error"] == '"a\nb"'


class TestBoundedHandler:
    def setup_method(self):
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.read_end, False)
        self.handler = BoundedHandler(descriptor=self.write_end)

    def teardown_method(self):
        os.close(self.read_end)
        os.close(self.write_end)

    def lines(self) -> list[dict]:
        """Return what was written, decoded."""
        data = b""
        while True:
            try:
                data += os.read(self.read_end, 1 << 20)
            except BlockingIOError:
                return [json.loads(line) for line in data.splitlines()]

    def test_rate_is_limited_and_suppressed_lines_are_counted(self, monkeypatch):
        # Guards against logs that use the processor time of requests under load. The
        # clock is fixed, since the allowance grows with time.
        now_s = self.handler.allowance_updated_at_s
        monkeypatch.setattr("ebonyladder.logs.time.monotonic", lambda: now_s)
        for number in range(3 * int(BURST_LINES)):
            self.handler.emit(record(f"[session] Command failed. request={number}"))
            if number % 50 == 0:
                self.lines()
        self.lines()
        assert self.handler.suppressed > BURST_LINES
        self.handler.emit(record("[session] Warned.", logging.WARNING))
        assert self.lines()[0]["count"] > BURST_LINES

    def test_value_that_can_not_be_formatted_does_not_fail_the_caller(self):
        # Guards against a decision that fails because of its log line.
        number = logging.LogRecord(
            "absl", logging.INFO, "", 0, "[store] Read. id=%d", (10**5_000,), None
        )
        self.handler.emit(number)
        self.handler.emit(record("[store] Read. name=\ud800"))
        first, second = self.lines()
        assert first["error"] == "ValueError"
        assert second["name"] == chr(0xD800)

    def test_full_pipe_does_not_block(self):
        # Guards against a daemon that hangs because nobody reads its logs.
        for number in range(250):
            self.handler.emit(record(f"[session] {'x' * 1000} request={number}"))
        assert self.handler.suppressed > 0
        self.lines()
        self.handler.emit(record("[session] After. request=1"))
