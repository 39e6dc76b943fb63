"""Connections of callers to the session daemon while it closes them."""

import asyncio
from types import SimpleNamespace

import pytest

from ebonyladder.kernel.clock import SystemClock
from ebonyladder.platform.lines import LineReader
from ebonyladder.platform.session_front_end import SessionConnection
from ebonyladder.sessions.command import Answer, TransactionState
from ebonyladder.sessions.session import authorize
from tests.session_fakes import catalog, cluster


class FakeWriter:
    """Records what is sent before the connection is closed."""

    def __init__(self) -> None:
        self.sent = b""
        self.is_closed = False

    def write(self, data: bytes) -> None:
        """Record data; what is written after the close is lost."""
        if not self.is_closed:
            self.sent += data

    async def drain(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Record the close."""
        self.is_closed = True


class FakeSession:
    """Session that answers every command, as far as the key is known."""

    def __init__(self, view) -> None:
        self.view = view
        self.id = "s"
        self.database = "primary"
        self.key = "key-1"
        self.organisation_name = "council"
        self.state = TransactionState.IDLE
        self.must_close = False
        self.handled = 0

    async def handle(self, command) -> Answer:
        """Answer a command."""
        self.handled += 1
        access = authorize(self.view, self.database, self.key)
        if isinstance(access, Answer):
            self.must_close = True
            return access
        return Answer(signature="s1")

    async def close(self) -> None:
        """Do nothing."""


class TestClose:
    """Guards against a request that has arrived and is cut off without an answer."""

    @pytest.fixture(autouse=True)
    def view(self):
        self.view = cluster(SystemClock())
        self.session = FakeSession(self.view)
        self.writer = FakeWriter()

    async def serve(self, close) -> None:
        """Serve a session; close it right after the bytes of a command arrived."""
        reader = LineReader()
        connection = SessionConnection(
            session_factory=SimpleNamespace(open=lambda *_: self.session),
            cluster=self.view,
            metrics=SimpleNamespace(observe_request=lambda **_: None),
            reader=reader,
            writer=self.writer,
        )
        serving = asyncio.create_task(connection.serve())
        reader.feed_data(b"STARTUP primary key-1\r\n")
        await asyncio.sleep(0.01)
        reader.feed_data(b"QUERY 1 READ a\r\n")
        close(connection)
        await asyncio.sleep(0.01)
        reader.feed_eof()
        await serving

    def test_command_that_has_arrived_is_answered_before_a_drain_closes(self):
        asyncio.run(self.serve(SessionConnection.close_when_idle))
        assert self.session.handled == 1
        assert b"COMPLETE s1" in self.writer.sent
        assert self.writer.is_closed

    def test_command_of_a_withdrawn_key_is_refused_before_the_close(self):
        def withdraw(connection: SessionConnection) -> None:
            self.view.catalog = catalog(2, keys=())
            connection.check_access()

        asyncio.run(self.serve(withdraw))
        assert b"ERROR UNAUTH" in self.writer.sent
        assert self.writer.is_closed

    def test_idle_session_is_closed_immediately(self):
        def close(connection: SessionConnection) -> None:
            connection.reader._buffer.clear()
            connection.close_when_idle()

        asyncio.run(self.serve(close))
        assert self.session.handled == 0
        assert self.writer.is_closed
