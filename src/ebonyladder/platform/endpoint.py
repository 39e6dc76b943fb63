"""Connections to databases over the statement protocol."""

import asyncio
import contextlib
from typing import ClassVar

from absl import logging

from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.step import Step
from ebonyladder.platform.sockets import keep_alive
from ebonyladder.platform.wire import (
    END,
    LINE_LIMIT,
    AnswerReader,
    WireError,
    decode_position,
    encode_position,
    execute_text,
    prepare_text,
    text_of,
)
from ebonyladder.sessions.cluster_view import EndpointEntry
from ebonyladder.sessions.command import (
    INTERNAL_COMMAND_ID,
    Answer,
    Command,
    CommandKind,
    Prepared,
)
from ebonyladder.sessions.connection import (
    ControlConnection,
    EndpointConnector,
    EndpointStatus,
)
from ebonyladder.sessions.registry import register
from ebonyladder.settings import split_address
from ebonyladder.types import EndpointId, OrganisationId, Position, Role, Term

# Prepared statements that a connection keeps before it is reset.
PREPARED_LIMIT = 200


class WireConnection(ControlConnection):
    """Connection to one database.

    Parameters
    ----------
    endpoint : EndpointId
        Database at the far end.
    organisation : OrganisationId
        Organisation that it was told.
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        Streams of the connection.
    """

    def __init__(
        self,
        *,
        endpoint: EndpointId,
        organisation: OrganisationId,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.endpoint = endpoint
        self.organisation = organisation
        self.reader = reader
        self.writer = writer
        self.values: dict[str, str] = {}
        self.wanted: dict[str, str] = {}
        self.names: dict[Prepared, str] = {}
        self.is_closed = False

    @property
    def is_open(self) -> bool:
        """Whether another command can be sent."""
        return not (self.is_closed or self.reader.at_eof() or self.writer.is_closing())

    def set_variables(self, values: dict[str, str], deadline_s: float) -> None:
        """Give the connection exactly these values before its next command."""
        self.wanted = values

    async def begin(
        self, command: Command, *, min_position: Position | None = None
    ) -> Answer:
        """Open a transaction."""
        text = self._after(min_position) + command.text
        return await self._exchange([*self._alignment(), (INTERNAL_COMMAND_ID, text)])

    async def run(
        self,
        command: Command,
        *,
        min_position: Position | None = None,
        prepared: Prepared | None = None,
    ) -> Answer:
        """Run a command."""
        text = command.text
        queries = self._alignment()
        if command.kind is CommandKind.EXECUTE and prepared is not None:
            if prepared not in self.names:
                self.names[prepared] = f"p{len(self.names)}"
                own_text = prepare_text(self.names[prepared], prepared)
                queries.append((INTERNAL_COMMAND_ID, own_text))
            text = execute_text(command, self.names[prepared])
        queries.append((command.id, self._after(min_position) + text))
        return await self._exchange(queries)

    async def status(self) -> EndpointStatus:
        """Return the database's status."""
        return await self._command("STATUS")

    async def pause(self, term: Term) -> EndpointStatus:
        """Stop a replica from receiving."""
        return await self._command(f"PAUSE {term}")

    async def resume(self) -> EndpointStatus:
        """Let a paused replica receive again."""
        return await self._command("RESUME")

    async def step_down(self, term: Term) -> EndpointStatus:
        """Make a primary of a lower term a replica."""
        return await self._command(f"STEPDOWN {term}")

    def close(self) -> None:
        """Close the connection."""
        if not self.is_closed:
            self.is_closed = True
            self.writer.close()

    async def start(self, service: str) -> None:
        """Open the session at the database.

        Raises
        ------
        EndpointError
            Not run, where the database refuses or doesn't answer.
        """
        line = f"STARTUP {service} {self.organisation} {self.endpoint}{END}"
        self.writer.write(line.encode())
        word, _, rest = text_of(await self._line()).partition(" ")
        if word != "READY":
            self.close()
            is_full = rest.startswith("TOOMANY")
            raise EndpointError(
                code=ErrorCode.OVERLOADED if is_full else ErrorCode.CONNECT_FAILED,
                step=Step.CONNECT,
                peer=self.endpoint,
                message=f"the endpoint refused the connection: {rest}",
                outcome=Outcome.NOT_RUN,
            )

    def _alignment(self) -> list[tuple[str, str]]:
        """Return the queries that give the connection the wanted values."""
        queries = []
        has_other = any(self.wanted.get(n) != v for n, v in self.values.items())
        if has_other or len(self.names) > PREPARED_LIMIT:
            queries.append((INTERNAL_COMMAND_ID, "RESET"))
            self.values = {}
            self.names = {}
        for name, value in self.wanted.items():
            if self.values.get(name) != value:
                queries.append((INTERNAL_COMMAND_ID, f"SET {name} {value}"))
        self.values = dict(self.wanted)
        return queries

    @staticmethod
    def _after(position: Position | None) -> str:
        return "" if position is None else f"AFTER {encode_position(position)} "

    async def _exchange(self, queries: list[tuple[str, str]]) -> Answer:
        """Send queries in one write and return the last one's answer."""
        lines = [f"QUERY {id} {text}{END}" for id, text in queries]
        try:
            self.writer.write("".join(lines).encode())
            for _, text in queries[:-1]:
                answer = await self._answer()
                if answer.code is not None:
                    raise WireError(f"{text.split()[0]} failed: {answer.detail}")
            return await self._answer()
        except (OSError, WireError, asyncio.IncompleteReadError) as error:
            self.close()
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST,
                step=Step.EXECUTE,
                peer=self.endpoint,
                message=f"connection lost: {error!r}",
            ) from error
        except BaseException:
            # An answer that comes later would be taken for the next command's.
            self.close()
            raise

    async def _answer(self) -> Answer:
        reader = AnswerReader()
        while True:
            answer = reader.take(await self._line())
            if answer is not None:
                return answer

    async def _line(self) -> bytes:
        try:
            line = await self.reader.readline()
        except ValueError as error:
            raise WireError("the line is too long") from error
        if not line:
            raise WireError("the endpoint closed the connection")
        return line

    async def _command(self, text: str) -> EndpointStatus:
        answer = await self._exchange([(INTERNAL_COMMAND_ID, text)])
        if answer.code is not None or not answer.rows:
            raise EndpointError(
                code=ErrorCode.ENDPOINT_REFUSED,
                step=Step.FAILURE_DETECT,
                peer=self.endpoint,
                message=f"{text}: {answer.code} {answer.detail}",
            )
        # Fields: role, term, position received, term held, lag in ms, busy,
        # connections. The position's term is the one of the log's last entry.
        fields = answer.rows[0].split()
        try:
            received = decode_position(fields[2])
            role = Role(fields[0])
            newest = max(int(fields[1]), int(fields[3]))
        except (IndexError, ValueError, WireError) as error:
            raise EndpointError(
                code=ErrorCode.ENDPOINT_REFUSED,
                step=Step.FAILURE_DETECT,
                peer=self.endpoint,
                message=f"{text}: unreadable status {answer.rows[0]!r}",
            ) from error
        empty = Position(term=Term(0), position=0)
        return EndpointStatus(role=role, term=Term(newest), received=received or empty)


@register
class WireEndpointDriver(Plugin, EndpointConnector):
    """Opens connections to databases."""

    name: ClassVar[str] = "endpoint-driver"
    provides: ClassVar[tuple[type, ...]] = (EndpointConnector,)

    async def open(
        self, entry: EndpointEntry, organisation: OrganisationId
    ) -> ControlConnection:
        """Open a connection and start a session on it."""
        host, port = split_address(entry.address)
        writer = None
        try:
            reader, writer = await asyncio.open_connection(host, port, limit=LINE_LIMIT)
            with contextlib.suppress(OSError):
                keep_alive(writer.get_extra_info("socket"))
            connection = WireConnection(
                endpoint=entry.id,
                organisation=organisation,
                reader=reader,
                writer=writer,
            )
            await connection.start(entry.service)
        except (OSError, WireError) as error:
            if writer is not None:
                writer.close()
            raise EndpointError(
                code=ErrorCode.CONNECT_FAILED,
                step=Step.CONNECT,
                peer=entry.id,
                message=f"no connection: {error!r}",
                outcome=Outcome.NOT_RUN,
            ) from error
        except BaseException:
            if writer is not None:
                writer.close()
            raise
        logging.debug("[platform] Connection is open. endpoint=%s", entry.id)
        return connection
