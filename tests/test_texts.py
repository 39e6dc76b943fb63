"""Texts of callers and databases, which pass byte for byte."""

import asyncio
import json
from contextlib import asynccontextmanager
from logging import INFO, LogRecord
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.asyncio.server import serve

from ebonyladder.kernel.clock import SystemClock
from ebonyladder.kernel.error import EndpointError, Outcome
from ebonyladder.logs import MAX_MESSAGE_CHARACTERS, JsonFormatter
from ebonyladder.metrics import Metrics
from ebonyladder.platform.connection import WireConnection
from ebonyladder.platform.endpoint import WireEndpointConnector
from ebonyladder.platform.lines import MAX_LINE_BYTES, LineError, LineReader
from ebonyladder.platform.session_front_end import SessionFrontEnd
from ebonyladder.platform.wire import (
    AnswerReader,
    Malformed,
    Startup,
    decode_message,
    decode_text,
    encode_answer,
    encode_error,
    encode_execute,
    encode_prepare,
    encode_query,
    encode_text,
)
from ebonyladder.sessions.accepted_requests import AcceptedRequests
from ebonyladder.sessions.cluster_view import ClusterView, Owner
from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    Command,
    Prepared,
    TransactionState,
    refusal,
)
from ebonyladder.sessions.connection import ConnectionId
from ebonyladder.sessions.endpoint_selector import EndpointSelector
from ebonyladder.sessions.executor import Executor
from ebonyladder.sessions.forwarding_pool import (
    ForwardedConnection,
    ForwardingPool,
    OwnerChannel,
)
from ebonyladder.sessions.forwarding_service import ForwardingService
from ebonyladder.sessions.messages import (
    MAX_MESSAGE_BYTES,
    Envelope,
    ForwardedStatement,
    ForwardReply,
    decode,
    encode,
)
from ebonyladder.sessions.plugins.sessions import SessionFactory
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.sessions.primary_positions import PositionSample, PrimaryPositions
from ebonyladder.sessions.quota import Quota
from ebonyladder.sessions.readiness import Readiness
from ebonyladder.sessions.replica_check import ReplicaCheck
from ebonyladder.sessions.session import Session, SessionId, authorize
from ebonyladder.types import (
    Address,
    EndpointId,
    OrganisationId,
    RequestKind,
    Role,
    VmId,
)
from tests.session_fakes import (
    ORGANISATION,
    SERVICE,
    CountingMetrics,
    catalog,
    cluster,
    entry,
    position,
)

FIXED = settings(derandomize=True, deadline=None)
# Bytes that text functions treat as blanks or as ends of lines, and some that aren't
# UTF-8.
ODD = (b"\r", b"\n", b"\0", b"\t", b" ", b"\x1c", b"\x85", b"\xa0", b"\xff", b"\xc3")
TEXTS = (
    st.lists(st.sampled_from(ODD) | st.binary(max_size=4), max_size=8)
    .map(b"".join)
    .filter(lambda text: b"\r\n" not in text)
)
NAMES = TEXTS.map(lambda text: text.replace(b" ", b"")).filter(
    lambda name: name and b"\r\n" not in name
)


def query(text: bytes) -> Command:
    """Return the command of a query's text."""
    message = decode_message(b"QUERY 5c " + text)
    assert isinstance(message, Command)
    return message


def sent(text: str) -> bytes:
    """Return the text as it is sent to a database."""
    line = encode_query("-", text)
    assert line.startswith(b"QUERY - ")
    assert line.endswith(b"\r\n")
    return line[len(b"QUERY - ") : -len(b"\r\n")]


async def read_lines(chunks: list[bytes]) -> list[bytes]:
    """Return the lines of a stream that arrives in chunks."""
    reader = LineReader()
    for chunk in chunks:
        reader.feed_data(chunk)
    reader.feed_eof()
    lines = []
    while (line := await reader.read_line()) is not None:
        lines.append(line)
    return lines


class TestLines:
    """Guards against lines that end anywhere but at CR LF."""

    @FIXED
    @given(st.lists(TEXTS, max_size=5), st.integers(1, 7))
    def test_every_byte_but_the_end_belongs_to_the_line(self, texts, size):
        data = b"".join(text + b"\r\n" for text in texts)
        chunks = [data[i : i + size] for i in range(0, len(data), size)]
        assert asyncio.run(read_lines(chunks)) == texts

    def test_bare_line_feed_and_carriage_return_end_no_line(self):
        async def has_line(data: bytes) -> bool:
            reader = LineReader()
            reader.feed_data(data)
            return reader.has_line

        assert not asyncio.run(has_line(b"TERMINATE\n\r\n"[:-1]))
        assert asyncio.run(has_line(b"TERMINATE\n\r\n"))

    @pytest.mark.parametrize("tail", [b"a", b"a\n", b"a\r"])
    def test_truncated_line_is_an_error(self, tail):
        with pytest.raises(LineError):
            asyncio.run(read_lines([tail]))

    def test_line_may_have_exactly_the_limit(self):
        line = b"\xff" * MAX_LINE_BYTES
        assert asyncio.run(read_lines([line, b"\r\n"])) == [line]
        with pytest.raises(LineError):
            asyncio.run(read_lines([line + b"a", b"\r\n"]))


class TestCallerTexts:
    """Guards against a statement that a database gets with changed text."""

    @FIXED
    @given(NAMES, TEXTS)
    def test_write_keeps_its_text(self, name, data):
        text = b"WRITE " + name + b" " + data
        command = query(text)
        assert sent(command.text) == text
        assert encode_text(command.name) == name
        assert encode_text(command.argument) == data

    @FIXED
    @given(NAMES, TEXTS)
    def test_repeated_set_keeps_name_and_value(self, name, value):
        command = query(b"SET " + name + b" " + value)
        repeated = f"SET {command.name} {command.argument}"
        assert sent(repeated) == b"SET " + name + b" " + value

    @FIXED
    @given(NAMES, TEXTS.filter(bool), st.sampled_from([b"READ", b"WRITE"]))
    def test_repeated_prepare_keeps_access_and_shape(self, name, shape, mode):
        command = query(b"PREPARE " + name + b" " + mode + b" " + shape)
        prepared = Prepared(access=command.access, shape=command.argument)
        found = sent(encode_prepare("p0", prepared))
        assert found == b"PREPARE p0 " + mode + b" " + shape

    @FIXED
    @given(NAMES, st.just(b"") | TEXTS.map(lambda rest: b" " + rest))
    def test_execute_changes_only_the_name(self, name, rest):
        command = query(b"EXECUTE " + name + rest)
        assert sent(encode_execute(command, "p17")) == b"EXECUTE p17" + rest

    def test_own_characters_beyond_one_byte_are_sent_as_utf_8(self):
        assert encode_text("\xe9 \u2026 \udcff") == b"\xe9 \xe2\x80\xa6 \xff"


class TestNames:
    """Guards against a key or name that matches another one."""

    @FIXED
    @given(NAMES, NAMES)
    def test_different_names_stay_different(self, one, other):
        first, second = (
            decode_message(b"STARTUP " + name + b" " + name) for name in (one, other)
        )
        assert isinstance(first, Startup)
        assert (first.database == second.database) == (one == other)
        assert (first.caller == second.caller) == (one == other)

    def test_names_are_utf_8(self):
        startup = decode_message("STARTUP gr\u00f6\u00dfe sch\u2026 l".encode())
        assert startup == Startup(database="gr\u00f6\u00dfe", caller="sch\u2026 l")


class TestAnswerTexts:
    """Guards against rows and error texts that a caller gets changed."""

    @FIXED
    @given(st.lists(TEXTS, max_size=3), TEXTS)
    def test_rows_and_signature(self, rows, signature):
        lines = [b"ROW " + row for row in rows]
        lines += [b"COMPLETE " + signature, b"READY I 3.1"]
        reader = AnswerReader()
        answer = [reader.feed(line) for line in lines][-1]
        assert encode_answer(answer) == b"".join(line + b"\r\n" for line in lines)

    @FIXED
    @given(TEXTS)
    def test_error_text(self, detail):
        lines = [b"ERROR FAILED " + detail, b"READY E 3.1"]
        reader = AnswerReader()
        answer = [reader.feed(line) for line in lines][-1]
        assert encode_answer(answer) == b"".join(line + b"\r\n" for line in lines)

    def test_own_detail_stays_one_line_of_limited_size(self):
        found = encode_error(refusal(AnswerCode.FAILED, "a\r\nREADY I 3.1\r\r\n\nb"))
        assert found == b"ERROR FAILED a READY I 3.1\r \nb"
        found = encode_error(refusal(AnswerCode.FAILED, "a" * MAX_LINE_BYTES))
        assert len(found) == MAX_LINE_BYTES


class TestForwardedTexts:
    """Guards against texts that change on the way between VMs."""

    @FIXED
    @given(NAMES, TEXTS, TEXTS.filter(bool))
    def test_statement(self, name, data, shape):
        forward = forwarded(
            query(b"EXECUTE " + name + b" " + data),
            values={decode_text(name): decode_text(data)},
            prepared=Prepared(access=RequestKind.WRITE, shape=decode_text(shape)),
        )
        found = decode(encode(Envelope(forward=forward)), Envelope)
        assert found.forward == forward
        assert sent(found.forward.command.text) == b"EXECUTE " + name + b" " + data

    @FIXED
    @given(st.lists(TEXTS, max_size=3), TEXTS, TEXTS)
    def test_reply(self, rows, signature, detail):
        answer = Answer(
            rows=tuple(map(decode_text, rows)),
            signature=decode_text(signature),
            detail=decode_text(detail),
        )
        found = decode(encode(ForwardReply(id=1, answer=answer)), ForwardReply)
        assert found.answer == answer


def forwarded(command: Command, **fields) -> ForwardedStatement:
    """Return a forwarded statement."""
    return ForwardedStatement(
        id=1,
        endpoint=EndpointId("primary"),
        organisation=ORGANISATION.name,
        command=command,
        remaining_s=1.0,
        **fields,
    )


class EchoingService(ForwardingService):
    """Service that answers with rows whose total size the statement's name gives."""

    async def _execute(self, attempt) -> Answer:
        self.received.append(attempt.forward)
        count = int(attempt.forward.command.name)
        rows = ("\xff" * MAX_LINE_BYTES,) * count
        return Answer(rows=rows, signature="s", state=TransactionState.OPEN)


class TestSizeBetweenVms:
    """Guards against a large message that ends the channel of other statements."""

    @asynccontextmanager
    async def channel(self):
        """Open a channel to a service on a socket."""
        clock = SystemClock()
        executor = SimpleNamespace(
            pools=SimpleNamespace(pools={}), accepted=AcceptedRequests(clock=clock)
        )
        self.service = EchoingService(executor=executor, clock=clock)
        self.service.received = []
        async with serve(
            self.service.serve,
            "127.0.0.1",
            0,
            compression=None,
            max_size=MAX_MESSAGE_BYTES + 1,
        ) as server:
            port = server.sockets[0].getsockname()[1]
            owner = Owner(vm=VmId("vm-2"), address=Address(f"127.0.0.1:{port}"))
            channel = OwnerChannel(owner=owner)
            try:
                yield channel
            finally:
                channel.close()

    def connection(self, channel: OwnerChannel) -> ForwardedConnection:
        """Return a connection through the channel."""
        clock = SystemClock()
        pool = ForwardingPool(
            entry=entry("primary"), owner=channel.owner, channel=channel, clock=clock
        )
        return ForwardedConnection(
            pool=pool, organisation=ORGANISATION.name, deadline_s=clock.now_s() + 10
        )

    def test_largest_statement_and_its_shape_arrive(self):
        async def run() -> None:
            async with self.channel() as channel:
                limit = MAX_LINE_BYTES - len(b"QUERY 5c ")
                execute = query((b"EXECUTE 1 " + b"\xff" * limit)[:limit])
                shape = decode_text(b"\xfe" * (limit - len(b"PREPARE 1 READ ")))
                prepared = Prepared(access=RequestKind.READ, shape=shape)
                answer = await self.connection(channel).run(execute, prepared=prepared)
                assert answer.rows == ("\xff" * MAX_LINE_BYTES,)
                assert self.service.received[0].command == execute
                assert self.service.received[0].prepared == prepared

        asyncio.run(run())

    def test_statement_that_is_too_large_fails_alone(self):
        async def run() -> None:
            async with self.channel() as channel:
                connection = self.connection(channel)
                connection.handle = 7
                connection.values = {
                    f"v{number}": "\xff" * (MAX_LINE_BYTES - 100) for number in range(5)
                }
                answer = await connection.run(query(b"READ 0"))
                assert answer.code is AnswerCode.MALFORMED
                assert answer.state is TransactionState.OPEN
                assert connection.handle == 7
                assert not self.service.received
                open_connection = channel.connection
                await self.connection(channel).run(query(b"READ 0"))
                assert channel.connection is open_connection

        asyncio.run(run())

    def test_reply_that_is_too_large_fails_alone(self):
        async def run() -> None:
            async with self.channel() as channel:
                with pytest.raises(EndpointError) as raised:
                    await self.connection(channel).run(query(b"READ 5"))
                assert raised.value.outcome is Outcome.UNKNOWN
                open_connection = channel.connection
                answer = await self.connection(channel).run(query(b"READ 1"))
                assert answer.signature == "s"
                assert channel.connection is open_connection

        asyncio.run(run())


class TestLoggedTexts:
    """Guards against a caller's text that changes other parts of the log."""

    def format(self, *values: str) -> str:
        """Return the line of a record with an id and a detail."""
        message = "[session] Command failed. request=%s code=%s detail=%s"
        return JsonFormatter().format(
            LogRecord("absl", INFO, "", 0, message, values, None)
        )

    @FIXED
    @given(NAMES, TEXTS)
    def test_id_and_detail_stay_on_one_line(self, id, detail):
        line = self.format(decode_text(id), "failed", decode_text(detail))
        assert line.splitlines() == [line]
        found = json.loads(line)
        assert (found["request"], found["code"]) == (decode_text(id), "failed")
        assert found["detail"] == decode_text(detail)

    def test_text_changes_no_other_field(self):
        line = self.format("a\tlevel=b\xa0code=c", "failed", "d at=1 code=e level=f")
        found = json.loads(line)
        assert found["code"] == "failed"
        assert found["level"] == "info"
        assert found["request"] == "a\tlevel=b\xa0code=c"
        assert found["at"] != "1"

    def test_line_is_short_whatever_the_text(self):
        line = self.format("a" * MAX_LINE_BYTES, "failed", "b " * MAX_LINE_BYTES)
        assert len(line) < 2 * MAX_MESSAGE_CHARACTERS


class ByteDatabase:
    """Database that follows the protocol to the byte.

    It parses lines on its own, so that it shares no mistake with the daemon.
    """

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        # Each answer has a signature of its own: 7.1, 7.2 and so on.
        self.result = [b"COMPLETE 7.1"]
        self.signed = 0

    @property
    def texts(self) -> list[bytes]:
        """Texts of the queries received."""
        return [q.split(b" ", 2)[2] for q in self.lines if q.startswith(b"QUERY ")]

    def sign(self) -> list[bytes]:
        """Return the lines of the next result."""
        self.signed += 1
        return self.result_number(self.signed)

    def result_number(self, number: int) -> list[bytes]:
        """Return the lines of a result with its signature."""
        return [line.replace(b"7.1", b"7.%d" % number) for line in self.result]

    async def serve(self, reader, writer) -> None:
        """Answer every line of a connection."""
        data, state = b"", b"I"
        while received := await reader.read(1 << 16):
            data += received
            while b"\r\n" in data:
                line, data = data.split(b"\r\n", 1)
                self.lines.append(line)
                lines = []
                if line.startswith(b"QUERY "):
                    text = line.split(b" ", 2)[2]
                    is_internal = text.startswith((b"SET ", b"PREPARE ", b"RESET"))
                    lines = [b"COMPLETE -"] if is_internal else self.sign()
                    if text.startswith(b"BEGIN"):
                        state = b"T"
                    elif text in (b"COMMIT", b"ROLLBACK"):
                        state = b"I"
                for answer in [*lines, b"READY " + state + b" 1.10"]:
                    writer.write(answer + b"\r\n")
        writer.close()


class OpenQuota(Quota):
    """Quota that admits everything."""

    async def admit(self, organisation, *, timeout_s):
        """Admit an operation."""

    def refund(self, organisation):
        """Do nothing."""


class Vm(SessionFactory):
    """Front end, sessions and connections of one VM, without its other parts."""

    def __init__(self, port: int) -> None:
        self.clock = SystemClock()
        self.cluster = cluster(self.clock)
        self.cluster.catalog = catalog(sync_replicas=0)
        address = Address(f"127.0.0.1:{port}")
        primary = entry("primary", role=Role.PRIMARY, zone="b", address=address)
        near = entry("near", address=address)
        self.cluster.endpoints = {e.id: e for e in (primary, near)}
        connector = WireEndpointConnector(
            kernel=SimpleNamespace(get=lambda _: CountingMetrics())
        )
        positions = PrimaryPositions(clock=self.clock)
        self.pools = PoolSet(
            cluster=self.cluster, connector=connector, clock=self.clock
        )
        self.executor = Executor(
            cluster=self.cluster,
            selector=EndpointSelector(
                cluster=self.cluster, positions=positions, pools=self.pools
            ),
            pools=self.pools,
            positions=positions,
            replica_check=ReplicaCheck(cluster=self.cluster, connector=connector),
            metrics=CountingMetrics(),
            clock=self.clock,
        )
        self.cluster.notify()
        parts = {
            SessionFactory: self,
            ClusterView: self.cluster,
            Readiness: None,
            Metrics: CountingMetrics(),
        }
        self.front_end = SessionFrontEnd(
            kernel=SimpleNamespace(
                get=parts.get,
                settings=SimpleNamespace(callers=Address("127.0.0.1:0")),
                supervise=lambda *_, **__: None,
                clock=self.clock,
            )
        )

    def record_sample(self) -> None:
        """Record a position of the primary, so that replicas serve reads."""
        sample = PositionSample(sent_at_s=self.clock.now_s(), position=position(1, 10))
        self.executor.positions.record(SERVICE, sample)

    def open(self, database, key):
        """Return a new session, or why it is refused."""
        access = authorize(self.cluster, database, key)
        if isinstance(access, Answer):
            return access
        return Session(
            id=SessionId("s"),
            database=database,
            key=key,
            cluster=self.cluster,
            executor=self.executor,
            quota=OpenQuota(),
        )


class TestSockets:
    """Guards against bytes that change between a caller and a database."""

    @pytest.fixture(autouse=True)
    def database(self):
        self.database = ByteDatabase()

    async def exchange(self, *parts: bytes, wait_for: bytes | None = None) -> bytes:
        """Send bytes to a front end; return what comes until it closes."""
        server = await asyncio.start_server(self.database.serve, "127.0.0.1", 0)
        vm = Vm(server.sockets[0].getsockname()[1])
        vm.record_sample()
        await vm.front_end.start()
        address = vm.front_end.server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
            async with asyncio.timeout(5):
                return await reader.read()
        finally:
            writer.close()
            await vm.front_end.stop()
            vm.pools.close()
            server.close()

    def run(self, *lines: bytes, route: bytes = b"primary") -> bytes:
        """Start a session, send lines, end it, and return the answers."""
        lines = (b"STARTUP " + route + b" key-1", *lines, b"TERMINATE")
        data = b"".join(line + b"\r\n" for line in lines)
        found = asyncio.run(self.exchange(data))
        assert found.startswith(b"READY I -\r\n")
        return found.removeprefix(b"READY I -\r\n")

    @pytest.mark.parametrize("odd", ODD)
    def test_statements_and_answers_keep_every_byte(self, odd):
        self.database.result = [
            b"ROW " + odd + b"row" + odd,
            b"COMPLETE " + odd + b"7.1" + odd,
        ]
        value = odd + b"x" + odd
        name = value.replace(b" ", b"_")
        found = self.run(
            b"QUERY 1 SET " + name + b" " + value,
            b"QUERY 2 PREPARE " + name + b" READ " + value,
            b"QUERY 3 EXECUTE " + name + b" " + value,
            b"QUERY 4 EXECUTE " + name,
            b"QUERY 5 WRITE " + name + b" " + value,
        )
        assert self.database.texts == [
            b"SET " + name + b" " + value,
            b"PREPARE p0 READ " + value,
            b"EXECUTE p0 " + value,
            b"EXECUTE p0",
            b"WRITE " + name + b" " + value,
        ]
        answers = [
            b"\r\n".join([*self.database.result_number(n), b"READY I 1.10\r\n"])
            for n in (1, 2, 3)
        ]
        assert found == b"COMPLETE -\r\nREADY I -\r\n" * 2 + b"".join(answers)

    @pytest.mark.parametrize("end", [b"\n", b"\r", b"\n\r", b"\n\n"])
    def test_no_statement_is_smuggled_in_a_value(self, end):
        text = b"WRITE a b" + end + b"QUERY 2 WRITE c d"
        self.run(b"QUERY 1 " + text)
        assert self.database.texts == [text]

    @pytest.mark.parametrize("end", [b"\n", b"\r", b"\n\r", b"\n\n"])
    def test_row_ends_no_answer(self, end):
        row = b"ROW a" + end + b"COMPLETE 9.9" + end + b"READY I 9.9"
        self.database.result = [row, b"COMPLETE 7.1"]
        found = self.run(b"QUERY 1 READ a")
        assert found == row + b"\r\nCOMPLETE 7.1\r\nREADY I 1.10\r\n"

    def test_error_text_keeps_every_byte(self):
        error = b"ERROR FAILED  a  b\t\xff\x85\n "
        self.database.result = [error]
        found = self.run(b"QUERY 1 WRITE a b")
        assert found == error + b"\r\nREADY I 1.10\r\n"

    def test_line_of_exactly_the_limit_passes_both_ways(self):
        row = b"ROW " + b"\xff" * (MAX_LINE_BYTES - len(b"ROW "))
        self.database.result = [row, b"COMPLETE 7.1"]
        line = b"QUERY 1 WRITE a "
        line += b"\xff" * (MAX_LINE_BYTES - len(line))
        found = self.run(line)
        assert self.database.lines[-1] == line
        assert found == row + b"\r\nCOMPLETE 7.1\r\nREADY I 1.10\r\n"

    def test_read_without_room_for_its_position_runs_at_the_primary(self):
        short = b"QUERY 1 READ a"
        line = b"QUERY 2 READ "
        line += b"b" * (MAX_LINE_BYTES - len(line))
        found = self.run(short, line, route=b"bounded")
        end = b"\r\nREADY I 1.10\r\n"
        assert found == b"COMPLETE 7.1" + end + b"COMPLETE 7.2" + end
        first, second = (q for q in self.database.lines if q.startswith(b"QUERY "))
        assert first == b"QUERY 1 AFTER 1.10 READ a"
        assert second == line
        assert self.database.lines[-2].endswith(b" primary")

    def test_line_above_the_limit_is_not_run(self):
        # The session ends, since its next line can't be found.
        line = b"QUERY 1 WRITE a " + b"b" * MAX_LINE_BYTES
        assert self.run(line) == b""
        assert not self.database.texts

    @pytest.mark.parametrize("name", [b"\xff", b"\xc3\xa4", b"a\n\x85\xc3", b"\x80\t"])
    def test_unknown_database_is_refused_by_its_name(self, name):
        found = asyncio.run(self.exchange(b"STARTUP " + name + b" key-1\r\n"))
        assert found == b"ERROR NODB " + name + b"\r\n"

    @pytest.mark.parametrize(
        "key", [b"key-1\xff", b"key-1 ", b"key-1\n", b"key-1\r", b"\xffkey-1"]
    )
    def test_key_with_other_bytes_is_refused(self, key):
        found = asyncio.run(self.exchange(b"STARTUP primary " + key + b"\r\n"))
        assert found.startswith(b"ERROR UNAUTH ")


class TestLongerLines:
    """Guards against a line that the daemon makes longer than the limit."""

    def connection(self) -> WireConnection:
        """Return a connection that keeps what is sent."""
        self.sent: list[bytes] = []
        writer = SimpleNamespace(write=self.sent.append, close=lambda: None)
        reader = LineReader()
        reader.feed_data(b"COMPLETE -\r\nREADY I 1.10\r\n")
        reader.feed_data(b"COMPLETE s1\r\nREADY I 1.10\r\n")
        reader.feed_eof()
        return WireConnection(
            id=ConnectionId(1),
            endpoint=EndpointId("near"),
            organisation=OrganisationId("council"),
            metrics=CountingMetrics(),
            reader=reader,
            writer=writer,
        )

    def command(self, text: str, length: int) -> Command:
        """Return a command whose query has the given length."""
        text += "a" * (length - len("QUERY 1 ") - len(text))
        message = decode_message(f"QUERY 1 {text}".encode())
        assert not isinstance(message, Malformed)
        return message

    def test_read_that_leaves_no_room_for_its_position_is_not_run(self):
        # Another endpoint, which needs no position, may still run it.
        async def run(length: int) -> None:
            connection = self.connection()
            connection.set_variables({"a": "b"}, 0)
            await connection.run(
                self.command("READ ", length), min_position=position(3, 7)
            )

        fits = MAX_LINE_BYTES - len("AFTER 3.7 ")
        asyncio.run(run(fits))
        assert len(self.sent[1]) == MAX_LINE_BYTES + len(b"\r\n")
        with pytest.raises(EndpointError) as raised:
            asyncio.run(run(fits + 1))
        assert raised.value.outcome is Outcome.NOT_RUN
        assert raised.value.peer == "near"
        assert not self.sent

    def test_execute_whose_name_becomes_too_long_is_refused(self):
        prepared = Prepared(access=RequestKind.READ, shape="q")

        async def run(length: int, connection: WireConnection) -> Answer:
            command = self.command("EXECUTE s ", length)
            return await connection.run(command, prepared=prepared)

        async def check() -> None:
            await run(MAX_LINE_BYTES - 1, self.connection())
            assert len(self.sent[1]) == MAX_LINE_BYTES + len(b"\r\n")
            connection = self.connection()
            connection.matcher.state = TransactionState.OPEN
            connection.set_variables({"a": "b"}, 0)
            answer = await run(MAX_LINE_BYTES, connection)
            assert answer.code is AnswerCode.MALFORMED
            assert answer.state is TransactionState.OPEN
            assert not self.sent
            # What wasn't sent isn't taken for set or prepared on the connection.
            assert connection.values == {}
            assert connection.statement_names == {}

        asyncio.run(check())
