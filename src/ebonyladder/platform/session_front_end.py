"""Front end for callers that use the statement protocol."""

import asyncio
import contextlib
import time
from typing import ClassVar

import msgspec
from absl import logging

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.metrics import Metrics
from ebonyladder.platform.lines import LINE_END, LineError, LineReader
from ebonyladder.platform.sockets import enable_keep_alive
from ebonyladder.platform.wire import (
    Malformed,
    Startup,
    Terminate,
    WireError,
    decode_message,
    encode_answer,
    encode_error,
    encode_name,
)
from ebonyladder.sessions.catalog import CallerKey, DatabaseName
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    Command,
    TransactionState,
    refusal,
)
from ebonyladder.sessions.drain import DrainPlan
from ebonyladder.sessions.plugins.sessions import SessionFactory
from ebonyladder.sessions.readiness import Readiness
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.session import Session, authorize
from ebonyladder.settings import split_address

# Timeout for a caller's first line; callers give up two seconds after it.
STARTUP_TIMEOUT_S = 10.0
# Interval between checks for isolation of this VM, in seconds.
ISOLATION_CHECK_INTERVAL_S = 0.25
# Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 512


class SessionConnection:
    """Connection of one caller, served by one task.

    Parameters
    ----------
    session_factory : SessionFactory
        Opens the session.
    cluster : ClusterView
        Cluster view with the active configuration.
    metrics : Metrics
        Counters and histograms of this daemon.
    reader, writer : LineReader, asyncio.StreamWriter
        Streams of the connection.
    """

    def __init__(
        self,
        *,
        session_factory: SessionFactory,
        cluster: ClusterView,
        metrics: Metrics,
        reader: LineReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.session_factory = session_factory
        self.cluster = cluster
        self.metrics = metrics
        self.reader = reader
        self.writer = writer
        self.session: Session | None = None
        self.is_busy = False
        self.is_closing = False

    async def serve(self) -> None:
        """Serve the caller until either side closes the connection."""
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                line = await self.reader.read_line()
            if line is None:
                return
            message = decode_message(line)
            if not isinstance(message, Startup):
                raise WireError("the first message isn't STARTUP")
            opened = self.session_factory.open(
                DatabaseName(message.database), CallerKey(message.caller)
            )
            if isinstance(opened, Answer):
                self.metrics.count("refused_sessions", code=opened.code.value)
                await self._send(encode_error(self._spell_names(opened)) + LINE_END)
                return
            self.session = opened
            await self._send(b"READY I -" + LINE_END)
            await self._serve_commands(opened)
        except (LineError, WireError, ValueError) as error:
            logging.info(
                "[front] Invalid message, closing the connection. error=%s", error
            )
        except (OSError, TimeoutError) as error:
            logging.info("[front] Connection ended. error=%r", error)
        finally:
            if self.session is not None:
                await self.session.close()
            self.writer.close()

    async def _serve_commands(self, session: Session) -> None:
        while (
            not self.is_closing
            or self.reader.has_line
            or session.state is not TransactionState.IDLE
        ):
            line = await self._next_line(session)
            if line is None:
                return
            self.is_busy = True
            try:
                message = decode_message(line)
                if isinstance(message, Terminate):
                    return
                answer = await self._handle(session, message)
                await self._send(encode_answer(answer))
            finally:
                self.is_busy = False
            if session.must_close:
                return

    async def _next_line(self, session: Session) -> bytes | None:
        """Return the next line; abort a transaction that is idle for too long."""
        if session.state is not TransactionState.OPEN:
            return await self.reader.read_line()
        catalog = self.cluster.catalog
        idle_s = catalog.transaction_idle_s if catalog else STARTUP_TIMEOUT_S
        read_task = asyncio.ensure_future(self.reader.read_line())
        try:
            done, _ = await asyncio.wait({read_task}, timeout=idle_s)
            if not done:
                await session.abort_transaction("the transaction was idle too long")
            return await read_task
        finally:
            read_task.cancel()

    async def _handle(
        self, session: Session, message: Startup | Command | Malformed
    ) -> Answer:
        if isinstance(message, Malformed):
            return refusal(AnswerCode.MALFORMED, message.problem, state=session.state)
        if isinstance(message, Startup):
            raise WireError("STARTUP was already sent")
        started_at_s = time.monotonic()
        answer = await session.handle(message)
        self.metrics.observe_request(
            organisation=session.organisation_name,
            request_class=message.kind.value,
            outcome=answer.code.value if answer.code else "ok",
            seconds=time.monotonic() - started_at_s,
        )
        # Only a session that lost access must close.
        return self._spell_names(answer) if session.must_close else answer

    @staticmethod
    def _spell_names(refusal: Answer) -> Answer:
        """Return a refusal of access with the caller's own spelling of names."""
        return msgspec.structs.replace(refusal, detail=encode_name(refusal.detail))

    async def _send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    @property
    def is_idle(self) -> bool:
        """Whether no command is running or has arrived."""
        return not (self.is_busy or self.reader.has_line)

    @property
    def is_between_commands(self) -> bool:
        """Whether the session is open and no command is running on it."""
        return self.session is not None and self.is_idle

    def close_when_idle(self) -> None:
        """Close the connection once no command or transaction is in progress on it.

        A command that has arrived is answered first.
        """
        self.is_closing = True
        if self.is_idle and (
            self.session is None or self.session.state is TransactionState.IDLE
        ):
            self.writer.close()

    def check_access(self) -> None:
        """Close the connection if its key was withdrawn or its route removed."""
        if self.session is None or not self.is_idle:
            # The next command is refused and closes the connection.
            return
        access = authorize(self.cluster, self.session.database, self.session.key)
        if isinstance(access, Answer) and access.code in (
            AnswerCode.KEY_REFUSED,
            AnswerCode.NO_DATABASE,
        ):
            logging.info(
                "[front] Closing a session that lost access. session=%s config=%d "
                "code=%s",
                self.session.id,
                self.cluster.version,
                access.code.value,
            )
            self.writer.close()


@register
class SessionFrontEnd(Plugin):
    """Accepts callers; one task serves each connection."""

    name: ClassVar[str] = "client-front"
    requires: ClassVar[tuple[type, ...]] = (
        SessionFactory,
        ClusterView,
        Readiness,
        Metrics,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.connections: set[SessionConnection] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self.session_factory = self.kernel.get(SessionFactory)
        self.cluster = self.kernel.get(ClusterView)
        self.metrics = self.kernel.get(Metrics)
        self.cluster.listeners.append(self._check_access)
        host, port = split_address(self.kernel.settings.callers)
        self.server = await asyncio.get_running_loop().create_server(
            self._make_protocol, host, port, backlog=LISTEN_BACKLOG
        )
        self.kernel.supervise(self._close_idle_when_isolated, name="session-release")

    async def drain(self) -> None:
        """Let callers finish; near the end of the grace period, close what is open."""
        plan = DrainPlan(
            grace_s=self.kernel.settings.grace_s, started_at_s=self.kernel.clock.now_s()
        )
        is_listening = True
        while True:
            now_s = self.kernel.clock.now_s()
            if is_listening and plan.refuses_sessions(now_s):
                self.server.close()
                is_listening = False
            for connection in list(self.connections):
                if plan.aborts_transactions(now_s) and connection.is_between_commands:
                    await connection.session.abort_transaction("the VM is stopping")
                if plan.closes_idle_sessions(now_s):
                    connection.close_when_idle()
            if plan.is_over(now_s) or (not is_listening and not self.connections):
                return
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Close the listener and what is still open after the drain."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.writer.close()

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(LineReader(), self._accept)

    async def _accept(self, reader: LineReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            enable_keep_alive(writer.get_extra_info("socket"))
        connection = SessionConnection(
            session_factory=self.session_factory,
            cluster=self.cluster,
            metrics=self.metrics,
            reader=reader,
            writer=writer,
        )
        self.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)

    async def _close_idle_when_isolated(self) -> None:
        """Close idle connections while this VM is isolated."""
        readiness = self.kernel.get(Readiness)
        while True:
            await asyncio.sleep(ISOLATION_CHECK_INTERVAL_S)
            if readiness.should_close_idle_sessions():
                logging.info(
                    "[front] Closing idle sessions, this VM is isolated. count=%d",
                    len(self.connections),
                )
                for connection in list(self.connections):
                    connection.close_when_idle()

    def _check_access(self) -> None:
        for connection in self.connections:
            connection.check_access()
