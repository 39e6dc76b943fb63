"""Connection to an endpoint over the statement protocol."""

import asyncio
from collections.abc import Iterable

import msgspec
from absl import logging

from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.metrics import Metrics
from ebonyladder.platform.lines import LINE_END, LineError, LineReader
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
from ebonyladder.sessions.answer_matching import AnswerMatcher, AnswerOrigin
from ebonyladder.sessions.command import (
    INTERNAL_COMMAND_ID,
    Answer,
    AnswerCode,
    Command,
    CommandId,
    CommandKind,
    Prepared,
    refusal,
)
from ebonyladder.sessions.connection import (
    ConnectionId,
    ControlConnection,
    EndpointGoneError,
    EndpointStatus,
)
from ebonyladder.types import (
    EndpointId,
    OrganisationId,
    Position,
    RequestKind,
    Role,
    Term,
)

# A connection with more prepared statements than this is reset.
MAX_PREPARED_STATEMENTS = 200
# Timeout of what precedes a statement, in seconds: it needs no slot of the endpoint,
# and the statement can still run over another connection.
SETUP_TIMEOUT_S = 0.5


class Query(msgspec.Struct, frozen=True, kw_only=True):
    """Query to an endpoint."""

    kind: CommandKind
    text: str
    id: CommandId = INTERNAL_COMMAND_ID
    is_write: bool = False


class Setup(msgspec.Struct, kw_only=True):
    """Queries that prepare a connection, and what it has after them."""

    queries: list[Query]
    values: dict[str, str]
    statement_names: dict[Prepared, str]


class WireConnection(ControlConnection):
    """Connection to one endpoint.

    Parameters
    ----------
    id : ConnectionId
        Number of the connection in logs.
    endpoint : EndpointId
        Endpoint that it connects to.
    organisation : OrganisationId
        Organisation that is sent to the endpoint.
    metrics : Metrics
        Receives the number of copies and of answers of unknown origin.
    reader, writer : LineReader, asyncio.StreamWriter
        Streams of the connection.

    Attributes
    ----------
    query_count : int
        Number of queries that were sent, without control calls.
    """

    def __init__(
        self,
        *,
        id: ConnectionId,
        endpoint: EndpointId,
        organisation: OrganisationId,
        metrics: Metrics,
        reader: LineReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.id = id
        self.endpoint = endpoint
        self.organisation = organisation
        self.metrics = metrics
        self.reader = reader
        self.writer = writer
        self.matcher = AnswerMatcher()
        self.answer_reader = AnswerReader()
        self.greeting = b""
        self.query_count = 0
        self.values: dict[str, str] = {}
        self.target_variables: dict[str, str] = {}
        self.statement_names: dict[Prepared, str] = {}
        self.is_closed = False

    @property
    def is_open(self) -> bool:
        """Whether the connection can run another command."""
        # Unread copies of answers may lie before the end of the stream.
        has_ended = self.reader.has_ended or self.writer.is_closing()
        return not (self.is_closed or has_ended)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can run commands of another statement."""
        return self.is_open and self.matcher.is_reusable

    def set_variables(self, values: dict[str, str], deadline_s: float) -> None:
        """Set exactly these session variables before the next command."""
        self.target_variables = values

    async def begin(
        self, command: Command, *, min_position: Position | None = None
    ) -> Answer:
        """Open a transaction."""
        query = Query(kind=command.kind, text=command.text)
        return await self._exchange(self._set_up(), query, min_position)

    async def run(
        self,
        command: Command,
        *,
        min_position: Position | None = None,
        prepared: Prepared | None = None,
    ) -> Answer:
        """Run a command."""
        text = command.text
        is_write = command.kind is CommandKind.WRITE
        setup = self._set_up()
        if command.kind is CommandKind.EXECUTE and prepared is not None:
            if prepared not in setup.statement_names:
                name = f"p{len(setup.statement_names)}"
                setup.statement_names = {**setup.statement_names, prepared: name}
                prepare = encode_prepare(name, prepared)
                setup.queries.append(Query(kind=CommandKind.PREPARE, text=prepare))
            text = encode_execute(command, setup.statement_names[prepared])
            is_write = prepared.access is RequestKind.WRITE
        query = Query(kind=command.kind, text=text, id=command.id, is_write=is_write)
        return await self._exchange(setup, query, min_position)

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
            logging.debug(
                "[platform] Connection closed. endpoint=%s connection=%d queries=%d",
                self.endpoint,
                self.id,
                self.query_count,
            )

    async def start_session(self, service: str) -> None:
        """Start a session at the endpoint.

        Raises
        ------
        EndpointError
            OVERLOADED or CONNECT_FAILED, not run, if the endpoint refuses it.
        """
        line = f"STARTUP {service} {self.organisation} {self.endpoint}"
        self.writer.write(line.encode() + LINE_END)
        self.greeting = await self._read_line()
        keyword, _, rest = decode_text(self.greeting).partition(" ")
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

    def _set_up(self) -> Setup:
        """Return what sets the target variables on the connection."""
        setup = Setup(
            queries=[],
            values=self.target_variables,
            statement_names=self.statement_names,
        )
        present = self.values
        has_stale_value = any(
            self.target_variables.get(n) != v for n, v in present.items()
        )
        if has_stale_value or len(self.statement_names) > MAX_PREPARED_STATEMENTS:
            setup.queries.append(Query(kind=CommandKind.RESET, text="RESET"))
            setup.statement_names = {}
            present = {}
        for name, value in self.target_variables.items():
            if present.get(name) != value:
                query = Query(kind=CommandKind.SET, text=f"SET {name} {value}")
                setup.queries.append(query)
        return setup

    @staticmethod
    def _after_clause(position: Position | None) -> str:
        return "" if position is None else f"AFTER {encode_position(position)} "

    def _refuse_oversized(
        self, queries: Iterable[Query], query: Query, clause: str
    ) -> Answer | None:
        """Return a refusal if a query doesn't fit in a line, None if all do.

        Raises
        ------
        EndpointError
            ENDPOINT_REFUSED, not run, if only the AFTER clause is too much: a primary
            needs none.
        """
        if any(exceeds_line(q.id, q.text) for q in (*queries, query)):
            return refusal(
                AnswerCode.MALFORMED,
                "the statement exceeds the size limit",
                state=self.matcher.state,
            )
        if exceeds_line(query.id, clause + query.text):
            raise EndpointError(
                code=ErrorCode.ENDPOINT_REFUSED,
                step=Step.EXECUTE,
                peer=self.endpoint,
                message="the statement and its AFTER clause exceed the size limit",
                outcome=Outcome.NOT_RUN,
            )
        return None

    async def _exchange(
        self, setup: Setup, query: Query, min_position: Position | None
    ) -> Answer:
        """Prepare the connection, send a query and return its answer.

        The query is sent once the setup has succeeded, since the endpoint would run it
        even if a part had failed. A transaction in which nothing has run is harmless.
        """
        clause = self._after_clause(min_position)
        refused = self._refuse_oversized(setup.queries, query, clause)
        if refused is not None:
            return refused
        query = msgspec.structs.replace(query, text=clause + query.text)
        self.values = dict(setup.values)
        self.statement_names = setup.statement_names
        is_sent = False
        try:
            if query.kind is CommandKind.BEGIN:
                self._send(*setup.queries, query)
            else:
                self._send(*setup.queries)
            await self._read_setup_answers(setup)
            if query.kind is not CommandKind.BEGIN:
                is_sent = True
                self._send(query)
            return await self._read_own_answer(query)
        except (OSError, WireError, LineError) as error:
            self._close_after(repr(error), query)
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST,
                step=Step.EXECUTE,
                peer=self.endpoint,
                message=f"connection lost: {error!r}",
                outcome=Outcome.UNKNOWN if is_sent else Outcome.NOT_RUN,
            ) from error
        except BaseException as error:
            # The answer may still arrive, and would be taken for the next one.
            self._close_after(repr(error), query)
            raise

    async def _read_setup_answers(self, setup: Setup) -> None:
        try:
            async with asyncio.timeout(SETUP_TIMEOUT_S):
                for query in setup.queries:
                    answer = await self._read_own_answer(query)
                    if answer.code is not None:
                        raise WireError(f"{query.kind.name} failed: {answer.detail}")
        except TimeoutError as error:
            raise WireError("the setup was not answered in time") from error

    def _send(self, *queries: Query) -> None:
        if not queries:
            return
        self.writer.write(b"".join(encode_query(q.id, q.text) for q in queries))
        self.query_count += len(queries)

    async def _read_own_answer(self, query: Query) -> Answer:
        """Return the answer to a query, dropping copies of earlier ones.

        Raises
        ------
        WireError
            If an answer may be the query's own or a copy.
        """
        while True:
            answer = await self._read_answer()
            expected = self.matcher.expect(query.kind, is_write=query.is_write)
            origin = self.matcher.match(answer, expected)
            if origin is AnswerOrigin.OWN:
                return answer
            self.metrics.count("unmatched_answers", origin=origin.value)
            logging.info(
                "[platform] Answer isn't known to be the query's own. request=%s "
                "endpoint=%s connection=%d query=%d kind=%s origin=%s code=%s "
                "signature=%s state=%s expected=%s position=%s",
                query.id,
                self.endpoint,
                self.id,
                self.query_count,
                query.kind.value,
                origin.value,
                answer.code.value if answer.code else "-",
                answer.signature,
                answer.state.value,
                expected.state.value,
                answer.position or "-",
            )
            if origin is AnswerOrigin.UNKNOWN:
                raise WireError("the answer may be a copy of an earlier one")

    def _close_after(self, reason: str, query: Query) -> None:
        """Close the connection since the answer to a query is missing."""
        logging.info(
            "[platform] Connection is closed without an answer. request=%s "
            "endpoint=%s connection=%d query=%d kind=%s reason=%s",
            query.id,
            self.endpoint,
            self.id,
            self.query_count,
            query.kind.value,
            reason,
        )
        self.close()

    async def _read_answer(self) -> Answer:
        while (answer := self._feed(await self._read_line())) is None:
            pass
        return answer

    def _feed(self, line: bytes) -> Answer | None:
        """Add a line to the next answer; return the answer once it is complete."""
        if self.answer_reader.is_empty and line == self.greeting:
            # STARTUP was answered a second time.
            return None
        answer = self.answer_reader.feed(line)
        if answer is not None:
            self.answer_reader = AnswerReader()
        return answer

    async def _read_line(self) -> bytes:
        line = await self.reader.read_line()
        if line is None:
            raise WireError("the endpoint closed the connection")
        return line

    async def _run_control(self, text: str) -> EndpointStatus:
        """Make a control call; what arrived before it answers an earlier one.

        A call that is cancelled leaves the connection open: its answer still tells a
        status since the first call, as do copies of earlier answers.
        """
        try:
            while self.reader.has_line:
                self._feed(await self._read_line())
            self.writer.write(encode_query(INTERNAL_COMMAND_ID, text))
            answer = await self._read_answer()
        except (OSError, WireError, LineError) as error:
            self.close()
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST,
                step=Step.FAILURE_DETECT,
                peer=self.endpoint,
                message=f"connection lost: {error!r}",
            ) from error
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
