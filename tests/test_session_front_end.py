"""Connections of callers to the session daemon while it closes them."""

import asyncio
from types import SimpleNamespace

import msgspec

from ebonyladder.kernel.clock import ManualClock, SystemClock
from ebonyladder.platform.lines import LineReader
from ebonyladder.platform.session_connection import SessionConnection
from ebonyladder.sessions.accepted_requests import AcceptedRequests
from ebonyladder.sessions.command import Answer, TransactionState
from ebonyladder.sessions.drain import DrainPlan
from ebonyladder.sessions.session import authorize
from tests.session_fakes import catalog, cluster

GRACE_S = 6.0
STARTUP = b"STARTUP primary key-1\r\n"
QUERY = b"QUERY 1 READ a\r\n"


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

    async def wait_closed(self) -> None:
        """Do nothing."""


class FakeSession:
    """Session that answers every command, as far as the key is known."""

    def __init__(self, view) -> None:
        self.view = view
        self.id = "s"
        self.database = "primary"
        self.key = "key-1"
        self.organisation_name = "council"
        self.state = TransactionState.IDLE
        self.transaction = None
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


class Harness:
    """Connection that is served over a reader and a writer of the test.

    Parameters
    ----------
    has_transaction : bool
        Whether the session has an open transaction.
    """

    def __init__(self, *, has_transaction: bool = False) -> None:
        self.clock = ManualClock()
        self.view = cluster(SystemClock())
        self.session = FakeSession(self.view)
        if has_transaction:
            self.session.state = TransactionState.OPEN
            self.session.transaction = SimpleNamespace(
                failure=None, begun_at_s=self.clock.now_s()
            )
        self.writer = FakeWriter()
        self.reader = LineReader()
        self.accepted = AcceptedRequests(clock=self.clock)
        self.connection = SessionConnection(
            session_factory=SimpleNamespace(open=lambda *_: self.session),
            accepted=self.accepted,
            cluster=self.view,
            metrics=SimpleNamespace(observe_request=lambda **_: None),
            clock=self.clock,
            reader=self.reader,
            writer=self.writer,
        )
        self.serving = asyncio.create_task(self.connection.serve())

    async def receive(self, data: bytes) -> None:
        """Deliver bytes and let the connection's task run."""
        self.reader.feed_data(data)
        await self.run()

    async def run(self) -> None:
        """Let the connection's task run."""
        await asyncio.sleep(0.01)

    def begin_drain(self) -> None:
        """Begin a drain now."""
        self.accepted.begin_drain(
            DrainPlan(grace_s=GRACE_S, started_at_s=self.clock.now_s())
        )

    async def check(self, after_s: float = 0.0) -> None:
        """Check the connection after a time, as a drain does."""
        self.clock.advance(after_s)
        self.connection.check()
        await self.run()

    def withdraw_key(self) -> None:
        """Withdraw the session's key."""
        self.view.catalog = catalog(2, keys=())
        self.connection.check()

    async def end(self) -> None:
        """End the stream and wait for the connection's task."""
        self.reader.feed_eof()
        await self.serving


def run(scenario) -> Harness:
    """Run a scenario with a new connection; return the connection's harness."""

    async def main() -> Harness:
        harness = Harness()
        await scenario(harness)
        await harness.end()
        return harness

    return asyncio.run(main())


async def fail(*_) -> Answer:
    """Fail as a command or the close of a session."""
    fail_now()


def fail_now(*_, **__) -> None:
    """Fail as a call."""
    raise RuntimeError("injected")


class TestClose:
    """Guards against a request that has arrived and is cut off without an answer."""

    def test_command_that_has_arrived_is_answered_before_a_close(self):
        async def scenario(harness):
            await harness.receive(STARTUP)
            harness.reader.feed_data(QUERY)
            harness.connection.close_when_idle()
            await harness.run()

        harness = run(scenario)
        assert harness.session.handled == 1
        assert b"COMPLETE s1" in harness.writer.sent
        assert harness.writer.is_closed

    def test_command_of_a_withdrawn_key_is_refused_before_the_close(self):
        async def scenario(harness):
            await harness.receive(STARTUP)
            harness.reader.feed_data(QUERY)
            harness.withdraw_key()
            await harness.run()

        harness = run(scenario)
        assert b"ERROR UNAUTH" in harness.writer.sent
        assert harness.writer.is_closed

    def test_rest_of_a_line_is_waited_for_before_a_close(self):
        # Guards against a part of a long statement that counts as an idle session.
        async def scenario(harness):
            await harness.receive(STARTUP)
            await harness.receive(QUERY[:9])
            harness.withdraw_key()
            harness.connection.close_when_idle()
            await harness.run()
            assert not harness.writer.is_closed
            await harness.receive(QUERY[9:])

        harness = run(scenario)
        assert b"ERROR UNAUTH" in harness.writer.sent

    def test_command_of_a_transaction_is_answered_in_each_turn_of_the_loop(self):
        # Guards against the turns between the read of a command and its run.
        async def main(turns: int) -> bytes:
            harness = Harness(has_transaction=True)
            await harness.receive(STARTUP)
            harness.reader.feed_data(QUERY)
            for _ in range(turns):
                await asyncio.sleep(0)
            harness.withdraw_key()
            await harness.run()
            await harness.end()
            return harness.writer.sent

        for turns in range(6):
            sent = asyncio.run(main(turns))
            assert b"COMPLETE s1" in sent or b"ERROR UNAUTH" in sent

    def test_commands_that_arrived_with_a_refused_one_are_refused_before_the_close(
        self,
    ):
        # Guards against a caller that sends two commands at once.
        async def scenario(harness):
            await harness.receive(STARTUP)
            harness.withdraw_key()
            await harness.receive(QUERY + QUERY)

        harness = run(scenario)
        assert harness.writer.sent.count(b"ERROR UNAUTH") == 2
        assert harness.writer.is_closed

    def test_idle_transaction_is_aborted_while_the_vm_is_isolated(self):
        # Guards against checks of the connection that restart its idle time.
        aborted = asyncio.Event()

        async def abort(detail: str) -> None:
            aborted.set()

        async def main() -> None:
            harness = Harness(has_transaction=True)
            harness.session.abort_transaction = abort
            harness.view.catalog = msgspec.structs.replace(
                harness.view.catalog, transaction_idle_s=0.05
            )
            await harness.receive(STARTUP)
            for _ in range(20):
                harness.connection.close_when_idle()
                await harness.run()
            harness.session.state = TransactionState.IDLE
            harness.session.transaction = None
            await harness.end()

        asyncio.run(main())
        assert aborted.is_set()

    def test_transaction_of_a_withdrawn_key_is_refused_with_its_next_command(self):
        # Guards against a transaction that ends by a close between two commands.
        async def main() -> Harness:
            harness = Harness(has_transaction=True)
            await harness.receive(STARTUP)
            await harness.receive(QUERY)
            harness.withdraw_key()
            await harness.run()
            assert not harness.writer.is_closed
            await harness.receive(QUERY)
            await harness.end()
            return harness

        harness = asyncio.run(main())
        assert b"ERROR UNAUTH" in harness.writer.sent

    def test_idle_session_is_closed_immediately(self):
        async def scenario(harness):
            await harness.receive(STARTUP)
            harness.connection.close_when_idle()
            await harness.run()
            assert harness.writer.is_closed

        assert run(scenario).session.handled == 0


class TestUnexpectedError:
    """Guards against a request without an answer, or one that nothing names."""

    def test_command_that_fails_is_answered_and_logged_with_its_id(self, caplog):
        async def scenario(harness):
            harness.session.handle = fail
            await harness.receive(STARTUP + QUERY)
            assert not harness.writer.is_closed

        sent = run(scenario).writer.sent
        assert b"ERROR TIMEOUT unexpected error" in sent
        assert sent.endswith(b"READY I -\r\n")
        assert "request=1 session=s" in caplog.text

    def test_answer_is_sent_although_it_is_not_counted(self):
        async def scenario(harness):
            harness.connection.metrics.observe_request = fail_now
            await harness.receive(STARTUP + QUERY)

        assert b"COMPLETE s1" in run(scenario).writer.sent

    def test_session_that_cannot_be_opened_is_refused(self):
        async def scenario(harness):
            harness.connection.session_factory.open = fail_now
            await harness.receive(STARTUP)
            assert harness.writer.is_closed

        assert run(scenario).writer.sent.startswith(b"ERROR BUSY unexpected error")

    def test_connection_is_closed_although_its_session_cannot_be(self):
        # Guards against a stop that waits for this connection.
        async def scenario(harness):
            harness.session.close = fail
            await harness.receive(STARTUP)

        assert run(scenario).writer.is_closed


class TestInvalidMessage:
    """Guards against a session that ends because of one malformed query."""

    def test_line_that_is_no_message_closes_the_connection_and_is_logged(self, caplog):
        caplog.set_level("INFO", logger="absl")

        async def scenario(harness):
            await harness.receive(STARTUP + b"SELECT 1\r\n")
            assert harness.writer.is_closed

        assert run(scenario).writer.sent == b"READY I -\r\n"
        assert "session=s error=unknown message 'SELECT'" in caplog.text

    def test_query_without_a_text_is_answered(self):
        async def scenario(harness):
            await harness.receive(STARTUP + b"QUERY 1\r\n" + QUERY)
            assert not harness.writer.is_closed

        sent = run(scenario).writer.sent
        assert b"ERROR MALFORMED unknown command ''\r\nREADY I -\r\n" in sent
        assert b"COMPLETE s1" in sent


class TestDrain:
    """Guards against sessions that a stopping VM accepts and doesn't serve."""

    def test_session_that_is_opened_during_a_drain_is_served(self):
        async def scenario(harness):
            harness.begin_drain()
            await harness.check(GRACE_S / 2)
            await harness.receive(STARTUP)
            await harness.check()
            await harness.receive(QUERY)
            assert harness.writer.is_closed

        harness = run(scenario)
        assert harness.writer.sent.startswith(b"READY I -")
        assert b"COMPLETE s1" in harness.writer.sent

    def test_command_that_follows_a_change_of_the_session_is_served(self):
        async def scenario(harness):
            await harness.receive(STARTUP)
            harness.begin_drain()
            await harness.check(0.65 * GRACE_S)
            await harness.receive(b"QUERY 1 SET a b\r\n")
            await harness.check(0.06 * GRACE_S)
            await harness.receive(QUERY)

        assert run(scenario).session.handled == 2

    def test_session_is_closed_after_an_answer_once_the_load_balancer_knows(self):
        async def scenario(harness):
            await harness.receive(STARTUP)
            harness.begin_drain()
            await harness.check(1.0)
            await harness.receive(QUERY)
            assert not harness.writer.is_closed
            await harness.check(GRACE_S / 2)
            assert not harness.writer.is_closed
            await harness.receive(QUERY)
            assert harness.writer.is_closed

        assert run(scenario).session.handled == 2

    def test_session_without_a_command_is_closed_at_the_end(self):
        async def scenario(harness):
            await harness.receive(STARTUP)
            harness.begin_drain()
            await harness.check(0.8 * GRACE_S)
            assert harness.writer.is_closed

        run(scenario)

    def test_transactions_that_begin_during_a_drain_are_aborted_later(self):
        plan = DrainPlan(grace_s=GRACE_S, started_at_s=10.0)
        assert not plan.aborts_transaction(9.0, 12.9)
        assert plan.aborts_transaction(9.0, 13.0)
        assert not plan.aborts_transaction(13.0, 14.7)
        assert plan.aborts_transaction(13.0, 14.9)

    def test_part_of_a_line_is_refused_at_the_end_of_the_drain(self):
        async def scenario(harness):
            await harness.receive(STARTUP)
            await harness.receive(QUERY[:9])
            harness.begin_drain()
            await harness.check(GRACE_S / 2)
            assert not harness.writer.is_closed
            await harness.check(GRACE_S / 2)
            assert harness.writer.is_closed

        assert b"ERROR BUSY" in run(scenario).writer.sent
