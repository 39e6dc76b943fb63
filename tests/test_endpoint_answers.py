"""Connections to endpoints that answer twice, or refuse what precedes a statement."""

import asyncio
import contextlib
import itertools
from types import SimpleNamespace

import pytest

from ebonyladder.kernel.error import EndpointError, Outcome
from ebonyladder.platform.endpoint import WireEndpointConnector
from ebonyladder.platform.wire import decode_command
from ebonyladder.sessions.command import AnswerCode, TransactionState
from ebonyladder.sessions.endpoint_control import EndpointControl
from ebonyladder.types import OrganisationId, Term
from standins.statement_database import DatabaseService
from tests.platform_fleet import until
from tests.session_fakes import CountingMetrics, entry


class ScriptedEndpoint:
    """Endpoint whose answers a test sets.

    Attributes
    ----------
    received : list of str
        Texts of the queries that arrived.
    copies : dict of str to list of str
        Answers that were given before and are written again ahead of the answer to
        a query, by the word of the query.
    refused : dict of str to str
        Error of a query, by its word.
    """

    def __init__(self) -> None:
        self.received: list[str] = []
        self.copies: dict[str, list[str]] = {}
        self.refused: dict[str, str] = {}
        self.answers: dict[str, str] = {}
        self.signatures = itertools.count(1)
        self.state = "I"
        self.silent: set[str] = set()

    async def serve(self, reader, writer) -> None:
        """Answer the queries of one connection."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n")
            writer.write(b"READY I 1.1\r\n")
            while True:
                line = await reader.readuntil(b"\r\n")
                _, _, text = line[:-2].decode().split(" ", 2)
                self.received.append(text)
                word = text.split(" ")[0]
                if word in self.silent:
                    continue
                copies = "".join(self.answers[w] for w in self.copies.pop(word, []))
                self.answers[word] = self.answer(word)
                writer.write((copies + self.answers[word]).encode())
        writer.close()

    def answer(self, word: str) -> str:
        """Return the answer to a query."""
        result = "COMPLETE -"
        if word in self.refused:
            result = f"ERROR {self.refused.pop(word)} i-1"
        elif word in ("BEGIN", "COMMIT", "ROLLBACK"):
            self.state = "T" if word == "BEGIN" else "I"
        if result == "COMPLETE -" and word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            result = f"ROW {word}\r\nCOMPLETE s{next(self.signatures)}"
        return f"{result}\r\nREADY {self.state} 1.1\r\n"


class ConnectionTest:
    """Connection to a scripted endpoint."""

    @pytest.fixture(autouse=True)
    def endpoint_and_metrics(self):
        self.endpoint = ScriptedEndpoint()
        self.metrics = CountingMetrics()

    @contextlib.asynccontextmanager
    async def connected(self):
        """Connect to the endpoint."""
        server = await asyncio.start_server(self.endpoint.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        kernel = SimpleNamespace(get=lambda _: self.metrics)
        connector = WireEndpointConnector(kernel=kernel)
        connection = await connector.open(
            entry("i-1", address=f"127.0.0.1:{port}"), OrganisationId("council")
        )
        try:
            async with asyncio.timeout(20):
                yield connection
        finally:
            connection.close()
            server.close()

    @staticmethod
    async def run(connection, text: str):
        """Run a statement."""
        command = decode_command("q1", text)
        if text.startswith("BEGIN"):
            return await connection.begin(command)
        return await connection.run(command)


class TestConnections(ConnectionTest):
    """Guards against many new connections that no metric shows."""

    async def exercise_open(self):
        async with self.connected(), self.connected():
            assert self.metrics.counts["endpoint_connections",] == 2

    def test_connections_are_counted(self):
        asyncio.run(self.exercise_open())


class TestSecondAnswer(ConnectionTest):
    """Guards against an answer that belongs to an earlier statement."""

    async def exercise_copy_of_a_read(self):
        async with self.connected() as connection:
            first = await self.run(connection, "READ a")
            self.endpoint.copies["WRITE"] = ["READ"]
            second = await self.run(connection, "WRITE a 1")
            third = await self.run(connection, "READ a")
            assert [a.signature for a in (first, second, third)] == ["s1", "s2", "s3"]
            assert second.rows == ("WRITE",)
            assert self.metrics.counts["unmatched_answers", "copy"] == 1
            assert connection.is_reusable

    def test_copy_of_a_read_is_not_the_answer_of_the_next_write(self):
        asyncio.run(self.exercise_copy_of_a_read())

    async def exercise_copy_of_a_setup(self):
        async with self.connected() as connection:
            connection.set_variables({"zone": "west"}, 0.0)
            await self.run(connection, "READ a")
            self.endpoint.copies["COMMIT"] = ["SET"]
            await self.run(connection, "BEGIN")
            answer = await self.run(connection, "COMMIT")
            assert answer.signature == "s2"

    def test_copy_of_a_setup_is_not_the_answer_of_a_commit(self):
        asyncio.run(self.exercise_copy_of_a_setup())

    async def exercise_copy_of_a_refusal(self):
        async with self.connected() as connection:
            await self.run(connection, "BEGIN")
            self.endpoint.refused["WRITE"] = "BUSY"
            answer = await self.run(connection, "WRITE a 1")
            assert answer.code is AnswerCode.OVERLOADED
            self.endpoint.copies["WRITE"] = ["WRITE"]
            with pytest.raises(EndpointError) as raised:
                await self.run(connection, "WRITE a 1")
            assert raised.value.outcome is Outcome.UNKNOWN
            assert not connection.is_open

    def test_copy_of_a_refusal_does_not_say_that_the_next_write_did_not_run(self):
        asyncio.run(self.exercise_copy_of_a_refusal())

    async def exercise_copy_of_begin(self):
        async with self.connected() as connection:
            await self.run(connection, "BEGIN")
            await self.run(connection, "COMMIT")
            self.endpoint.refused["BEGIN"] = "READONLY"
            self.endpoint.copies["BEGIN"] = ["BEGIN"]
            with pytest.raises(EndpointError):
                await self.run(connection, "BEGIN")
            assert not connection.is_open

    def test_copy_of_begin_does_not_open_a_transaction_that_was_refused(self):
        asyncio.run(self.exercise_copy_of_begin())

    async def exercise_greeting(self):
        async with self.connected() as connection:
            self.endpoint.answers["STARTUP"] = "READY I 1.1\r\n"
            self.endpoint.copies["READ"] = ["STARTUP"]
            assert (await self.run(connection, "READ a")).signature == "s1"

    def test_second_greeting_ends_nothing(self):
        asyncio.run(self.exercise_greeting())


class TestSetup(ConnectionTest):
    """Guards against a statement that runs under other values than its session's."""

    @pytest.mark.parametrize("statement", ["READ a", "WRITE a 1"])
    def test_statement_is_not_sent_after_a_refused_value(self, statement):
        async def exercise():
            async with self.connected() as connection:
                self.endpoint.refused["SET"] = "FAILED"
                connection.set_variables({"zone": "west"}, 0.0)
                with pytest.raises(EndpointError) as raised:
                    await self.run(connection, statement)
                assert raised.value.outcome is Outcome.NOT_RUN
                assert not connection.is_open
                assert self.endpoint.received == ["SET zone west"]

        asyncio.run(exercise())

    @pytest.mark.parametrize("code", ["BUSY", "FAILED"])
    def test_refusal_behind_a_copy_does_not_say_that_the_write_did_not_run(self, code):
        async def exercise():
            async with self.connected() as connection:
                connection.set_variables({"zone": "west"}, 0.0)
                await self.run(connection, "READ a")
                self.endpoint.refused["SET"] = code
                self.endpoint.copies["SET"] = ["SET"]
                connection.set_variables({"zone": "west", "size": "1"}, 0.0)
                with pytest.raises(EndpointError) as raised:
                    await self.run(connection, "WRITE a 1")
                assert raised.value.outcome is Outcome.UNKNOWN

        asyncio.run(exercise())

    def test_statement_can_run_elsewhere_after_a_setup_without_answer(self):
        # A write that was never sent was unknown at its deadline.
        async def exercise():
            async with self.connected() as connection:
                self.endpoint.silent = {"SET"}
                connection.set_variables({"zone": "west"}, 0.0)
                with pytest.raises(EndpointError) as raised:
                    await self.run(connection, "WRITE a 1")
                assert raised.value.outcome is Outcome.NOT_RUN
                assert self.endpoint.received == ["SET zone west"]

        asyncio.run(exercise())


class TestLateAnswer(ConnectionTest):
    """Guards against the answer of a statement that was given up."""

    def test_connection_of_a_cancelled_statement_is_closed(self):
        async def exercise():
            async with self.connected() as connection:
                self.endpoint.silent = {"BEGIN"}
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.05):
                        await self.run(connection, "BEGIN")
                assert not connection.is_open

        asyncio.run(exercise())


class TestState(ConnectionTest):
    """Guards against a transaction that is open at one side only."""

    def test_success_that_leaves_a_transaction_open_is_unknown(self):
        async def exercise():
            async with self.connected() as connection:
                self.endpoint.state = "T"
                with pytest.raises(EndpointError) as raised:
                    await self.run(connection, "WRITE a 1")
                assert raised.value.outcome is Outcome.UNKNOWN

        asyncio.run(exercise())

    def test_transaction_begins_in_its_state(self):
        async def exercise():
            async with self.connected() as connection:
                answer = await self.run(connection, "BEGIN")
                assert answer.state is TransactionState.OPEN

        asyncio.run(exercise())


class TestEndedConnection(ConnectionTest):
    """Guards against a connection that has ended behind an unread copy."""

    def test_pool_does_not_hand_it_out(self):
        # A write that reached nobody was in doubt.
        async def exercise():
            writers = []
            serve = self.endpoint.serve

            async def serve_and_record(reader, writer):
                writers.append(writer)
                await serve(reader, writer)

            self.endpoint.serve = serve_and_record
            async with self.connected() as connection:
                await self.run(connection, "READ a")
                writers[0].write(self.endpoint.answers["READ"].encode())
                writers[0].close()
                await until(lambda: not connection.is_reusable, "end")

        asyncio.run(exercise())

    def test_paused_replica_that_started_again_is_dropped(self):
        async def exercise():
            service = DatabaseService(name="ledger", zones={"i-1": "a", "i-2": "a"})
            for database in service.databases.values():
                await database.start()
            replica = service.databases["i-2"]
            kernel = SimpleNamespace(get=lambda _: self.metrics)
            control = EndpointControl(connector=WireEndpointConnector(kernel=kernel))
            listed = entry("i-2", address=f"127.0.0.1:{replica.port}")
            await control.probe([listed])
            assert await control.pause([listed.process], Term(9))
            replica.connections[max(replica.connections)].repeat_answer()
            await asyncio.sleep(0.05)
            await replica.stop()
            await asyncio.sleep(0.05)
            await replica.start()
            assert await control.current_statuses([listed.process]) == {}
            control.close()
            await service.stop()

        asyncio.run(exercise())
