"""Connections to endpoints over the statement protocol."""

import asyncio
import contextlib
from typing import ClassVar

from absl import logging

from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.step import Step
from ebonyladder.platform.lines import LINE_END, LineError, LineReader
from ebonyladder.platform.sockets import enable_keep_alive
from ebonyladder.platform.wire import (
    AnswerReader,
    WireError,
    decode_position,
    decode_text,
    encode_execute,
    encode_position,
    encode_prepare,
    encode_query,
    exceeds_line,
)
from ebonyladder.sessions.cluster_view import EndpointEntry
from ebonyladder.sessions.command import (
    INTERNAL_COMMAND_ID,
    Answer,
    AnswerCode,
    Command,
    CommandKind,
    Prepared,
    TransactionState,
    refusal,
)
from ebonyladder.sessions.connection import (
    ControlConnection,
    EndpointConnector,
    EndpointGoneError,
    EndpointStatus,
)
from ebonyladder.sessions.registry import register
from ebonyladder.settings import split_address
from ebonyladder.types import EndpointId, OrganisationId, Position, Role, Term

# A connection with more prepared statements than this is reset.
MAX_PREPARED_STATEMENTS = 200


class WireConnection(ControlConnection):
    """Connection to one endpoint.

    Parameters
    ----------
    endpoint : EndpointId
        Endpoint that it connects to.
    organisation : OrganisationId
        Organisation that is sent to the endpoint.
    reader, writer : LineReader, asyncio.StreamWriter
        Streams of the connection.
    """

    def __init__(
        self,
        *,
        endpoint: EndpointId,
        organisation: OrganisationId,
        reader: LineReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.endpoint = endpoint
        self.organisation = organisation
        self.reader = reader
        self.writer = writer
        self.values: dict[str, str] = {}
        self.target_variables: dict[str, str] = {}
        self.statement_names: dict[Prepared, str] = {}
        self.state = TransactionState.IDLE
        self.is_closed = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can run another command."""
        return not (self.is_closed or self.reader.at_eof() or self.writer.is_closing())

    def set_variables(self, values: dict[str, str], deadline_s: float) -> None:
        """Set exactly these session variables before the next command."""
        self.target_variables = values

    async def begin(
        self, command: Command, *, min_position: Position | None = None
    ) -> Answer:
        """Open a transaction."""
        text = self._after_clause(min_position) + command.text
        sent_state = self.values, self.statement_names
        queries = [*self._variable_queries(), (INTERNAL_COMMAND_ID, text)]
        refused = self._refuse_oversized(queries, sent_state, min_position)
        return refused or await self._exchange(queries)

    async def run(
        self,
        command: Command,
        *,
        min_position: Position | None = None,
        prepared: Prepared | None = None,
    ) -> Answer:
        """Run a command."""
        text = command.text
        sent_state = self.values, self.statement_names
        queries = self._variable_queries()
        if command.kind is CommandKind.EXECUTE and prepared is not None:
            if prepared not in self.statement_names:
                name = f"p{len(self.statement_names)}"
                self.statement_names = {**self.statement_names, prepared: name}
                prepare = encode_prepare(name, prepared)
                queries.append((INTERNAL_COMMAND_ID, prepare))
            text = encode_execute(command, self.statement_names[prepared])
        queries.append((command.id, self._after_clause(min_position) + text))
        refused = self._refuse_oversized(queries, sent_state, min_position)
        return refused or await self._exchange(queries)

    async def status(self) -> EndpointStatus:
        """Return the endpoint's status."""
        return await self._run_control("STATUS")

    async def pause(self, term: Term) -> EndpointStatus:
        """Stop a replica from receiving the log."""
        return await self._run_control(f"PAUSE {term}")

    async def resume(self) -> EndpointStatus:
        """Let a paused replica receive the log again."""
        return await self._run_control("RESUME")

    async def step_down(self, term: Term) -> EndpointStatus:
        """Make a primary of a lower term a replica."""
        return await self._run_control(f"STEPDOWN {term}")

    def close(self) -> None:
        """Close the connection."""
        if not self.is_closed:
            self.is_closed = True
            self.writer.close()

    async def start_session(self, service: str) -> None:
        """Start a session at the endpoint.

        Raises
        ------
        EndpointError
            OVERLOADED or CONNECT_FAILED, not run, if the endpoint refuses it.
        """
        line = f"STARTUP {service} {self.organisation} {self.endpoint}"
        self.writer.write(line.encode() + LINE_END)
        keyword, _, rest = decode_text(await self._read_line()).partition(" ")
        if keyword != "READY":
            self.close()
            is_overloaded = rest.startswith("TOOMANY")
            # Another database answers at an address that is in use again.
            is_gone = rest.startswith("MISROUTED")
            error = EndpointGoneError if is_gone else EndpointError
            raise error(
                code=ErrorCode.OVERLOADED
                if is_overloaded
                else ErrorCode.CONNECT_FAILED,
                step=Step.CONNECT,
                peer=self.endpoint,
                message=f"the endpoint refused the connection: {rest}",
                outcome=Outcome.NOT_RUN,
            )

    def _variable_queries(self) -> list[tuple[str, str]]:
        """Return the queries that set the target variables on the connection."""
        queries = []
        has_stale_value = any(
            self.target_variables.get(n) != v for n, v in self.values.items()
        )
        if has_stale_value or len(self.statement_names) > MAX_PREPARED_STATEMENTS:
            queries.append((INTERNAL_COMMAND_ID, "RESET"))
            self.values = {}
            self.statement_names = {}
        for name, value in self.target_variables.items():
            if self.values.get(name) != value:
                queries.append((INTERNAL_COMMAND_ID, f"SET {name} {value}"))
        self.values = dict(self.target_variables)
        return queries

    @staticmethod
    def _after_clause(position: Position | None) -> str:
        return "" if position is None else f"AFTER {encode_position(position)} "

    def _refuse_oversized(
        self,
        queries: list[tuple[str, str]],
        sent_state: tuple[dict[str, str], dict[Prepared, str]],
        min_position: Position | None,
    ) -> Answer | None:
        """Return a refusal of queries that don't fit in lines; they aren't sent.

        ``sent_state`` has the values and statement names of the connection without
        the queries.

        Raises
        ------
        EndpointError
            ENDPOINT_REFUSED, not run, if only the AFTER clause is too much: a primary
            needs none.
        """
        if not any(exceeds_line(id, text) for id, text in queries):
            return None
        self.values, self.statement_names = sent_state
        id, text = queries[-1]
        without_clause = (id, text[len(self._after_clause(min_position)) :])
        if not any(exceeds_line(*query) for query in (*queries[:-1], without_clause)):
            raise EndpointError(
                code=ErrorCode.ENDPOINT_REFUSED,
                step=Step.EXECUTE,
                peer=self.endpoint,
                message="the statement and its AFTER clause exceed the size limit",
                outcome=Outcome.NOT_RUN,
            )
        return refusal(
            AnswerCode.MALFORMED,
            "the statement exceeds the size limit",
            state=self.state,
        )

    async def _exchange(self, queries: list[tuple[str, str]]) -> Answer:
        """Send queries in one write and return the answer to the last one."""
        lines = [encode_query(id, text) for id, text in queries]
        try:
            self.writer.write(b"".join(lines))
            for _, text in queries[:-1]:
                answer = await self._read_answer()
                if answer.code is not None:
                    keyword = text.partition(" ")[0]
                    raise WireError(f"{keyword} failed: {answer.detail}")
            answer = await self._read_answer()
            self.state = answer.state
            return answer
        except (OSError, WireError, asyncio.IncompleteReadError) as error:
            self.close()
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST,
                step=Step.EXECUTE,
                peer=self.endpoint,
                message=f"connection lost: {error!r}",
            ) from error
        except BaseException:
            # A late answer would be mistaken for the answer to the next command.
            self.close()
            raise

    async def _read_answer(self) -> Answer:
        reader = AnswerReader()
        while True:
            answer = reader.feed(await self._read_line())
            if answer is not None:
                return answer

    async def _read_line(self) -> bytes:
        try:
            line = await self.reader.read_line()
        except LineError as error:
            raise WireError(str(error)) from error
        if line is None:
            raise WireError("the endpoint closed the connection")
        return line

    async def _run_control(self, text: str) -> EndpointStatus:
        answer = await self._exchange([(INTERNAL_COMMAND_ID, text)])
        if answer.code is not None or not answer.rows:
            is_overloaded = answer.code is AnswerCode.OVERLOADED
            raise EndpointError(
                code=ErrorCode.OVERLOADED
                if is_overloaded
                else ErrorCode.ENDPOINT_REFUSED,
                step=Step.FAILURE_DETECT,
                peer=self.endpoint,
                message=f"{text}: {answer.code} {answer.detail}",
            )
        # Fields: role, term, received position, stored term, lag in ms, busy,
        # connections. The position's term is the term of the last log entry.
        fields = answer.rows[0].split()
        try:
            received = decode_position(fields[2])
            role = Role(fields[0])
            latest_term = max(int(fields[1]), int(fields[3]))
        except (IndexError, ValueError, WireError) as error:
            raise EndpointError(
                code=ErrorCode.ENDPOINT_REFUSED,
                step=Step.FAILURE_DETECT,
                peer=self.endpoint,
                message=f"{text}: invalid status {answer.rows[0]!r}",
            ) from error
        empty_log = Position(term=Term(0), position=0)
        return EndpointStatus(
            role=role, term=Term(latest_term), received=received or empty_log
        )


@register
class WireEndpointConnector(Plugin, EndpointConnector):
    """Opens connections to endpoints."""

    name: ClassVar[str] = "endpoint-driver"
    provides: ClassVar[tuple[type, ...]] = (EndpointConnector,)

    async def open(
        self, entry: EndpointEntry, organisation: OrganisationId
    ) -> ControlConnection:
        """Open a connection and start a session on it."""
        writer = None
        try:
            host, port = split_address(entry.address)
            reader = LineReader()
            loop = asyncio.get_running_loop()
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.create_connection(lambda: protocol, host, port)
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            with contextlib.suppress(OSError):
                enable_keep_alive(writer.get_extra_info("socket"))
            connection = WireConnection(
                endpoint=entry.id,
                organisation=organisation,
                reader=reader,
                writer=writer,
            )
            await connection.start_session(entry.service)
        except EndpointError:
            writer.close()
            raise
        except Exception as error:
            # Besides ``OSError``: an address that the event loop rejects raises
            # ``OverflowError`` or ``ValueError``.
            if writer is not None:
                writer.close()
            # A peer that closes an accepted connection may only be stopping.
            is_gone = writer is None and isinstance(error, ConnectionRefusedError)
            error_type = EndpointGoneError if is_gone else EndpointError
            raise error_type(
                code=ErrorCode.CONNECT_FAILED,
                step=Step.CONNECT,
                peer=entry.id,
                message=f"connection failed: {error!r}",
                outcome=Outcome.NOT_RUN,
            ) from error
        except BaseException:
            if writer is not None:
                writer.close()
            raise
        logging.debug("[platform] Connection opened. endpoint=%s", entry.id)
        return connection
