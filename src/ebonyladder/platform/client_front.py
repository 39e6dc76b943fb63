"""Front end for clients of the statement protocol."""

import asyncio
import contextlib
import time
from typing import ClassVar

from absl import logging

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.metrics import Metrics
from ebonyladder.platform.sockets import keep_alive
from ebonyladder.platform.wire import (
    END,
    LINE_LIMIT,
    Malformed,
    Startup,
    Terminate,
    WireError,
    decode_message,
    encode_answer,
    encode_error,
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

# Time for a client's first line, in seconds; clients give up two seconds after it.
STARTUP_LIMIT_S = 10.0
# Pause between looks at whether this VM is isolated, in seconds.
RELEASE_PERIOD_S = 0.25
# Connections that wait to be accepted.
BACKLOG = 512


class ClientConnection:
    """Connection of one client, served by one task.

    Parameters
    ----------
    session_factory : SessionFactory
        Opens the session.
    cluster : ClusterView
        Configuration in force.
    metrics : Metrics
        Receives counts and durations.
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        Streams of the connection.
    """

    def __init__(
        self,
        *,
        session_factory: SessionFactory,
        cluster: ClusterView,
        metrics: Metrics,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.session_factory = session_factory
        self.cluster = cluster
        self.metrics = metrics
        self.reader = reader
        self.writer = writer
        self.session: Session | None = None
        self.is_busy = False
        self.is_leaving = False

    async def serve(self) -> None:
        """Serve the client until either side ends the connection."""
        try:
            async with asyncio.timeout(STARTUP_LIMIT_S):
                message = decode_message(await self.reader.readline())
            if not isinstance(message, Startup):
                raise WireError("the first message isn't STARTUP")
            opened = self.session_factory.open(
                DatabaseName(message.database), CallerKey(message.caller)
            )
            if isinstance(opened, Answer):
                self.metrics.count("refused_sessions", code=opened.code.value)
                await self._send((encode_error(opened) + END).encode())
                return
            self.session = opened
            await self._send(f"READY I -{END}".encode())
            await self._serve_commands(opened)
        except (WireError, ValueError) as error:
            logging.info("[front] Message is refused. error=%s", error)
        except (OSError, TimeoutError) as error:
            logging.info("[front] Connection ended. error=%r", error)
        finally:
            if self.session is not None:
                await self.session.close()
            self.writer.close()

    async def _serve_commands(self, session: Session) -> None:
        while not self.is_leaving or session.state is not TransactionState.IDLE:
            line = await self._next_line(session)
            if not line:
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

    async def _next_line(self, session: Session) -> bytes:
        """Return the next line, ending a transaction that is idle for too long."""
        if session.state is not TransactionState.OPEN:
            return await self.reader.readline()
        catalog = self.cluster.catalog
        idle_s = catalog.transaction_idle_s if catalog else STARTUP_LIMIT_S
        reading = asyncio.ensure_future(self.reader.readline())
        try:
            done, _ = await asyncio.wait({reading}, timeout=idle_s)
            if not done:
                await session.abort_transaction("the transaction was idle too long")
            return await reading
        finally:
            reading.cancel()

    async def _handle(
        self, session: Session, message: Startup | Command | Malformed
    ) -> Answer:
        if isinstance(message, Malformed):
            return refusal(AnswerCode.MALFORMED, message.problem, state=session.state)
        if isinstance(message, Startup):
            raise WireError("STARTUP is sent twice")
        started_s = time.monotonic()
        answer = await session.handle(message)
        self.metrics.observe_request(
            organisation=session.organisation_name,
            request_class=message.kind.value,
            outcome=answer.code.value if answer.code else "ok",
            seconds=time.monotonic() - started_s,
        )
        return answer

    async def _send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    @property
    def is_waiting(self) -> bool:
        """Whether the session is open and no command is under way on it."""
        return self.session is not None and not self.is_busy

    def leave(self) -> None:
        """End the connection as soon as nothing is under way on it."""
        self.is_leaving = True
        if not self.is_busy and (
            self.session is None or self.session.state is TransactionState.IDLE
        ):
            self.writer.close()

    def check_access(self) -> None:
        """End the connection if its key or route is gone."""
        if self.session is None or self.is_busy:
            return
        access = authorize(self.cluster, self.session.database, self.session.key)
        if isinstance(access, Answer) and access.code in (
            AnswerCode.KEY_REFUSED,
            AnswerCode.NO_DATABASE,
        ):
            logging.info(
                "[front] Session is closed. session=%s config=%d code=%s",
                self.session.id,
                self.cluster.version,
                access.code.value,
            )
            self.writer.close()


@register
class ClientFront(Plugin):
    """Accepts clients; one task serves each connection."""

    name: ClassVar[str] = "client-front"
    requires: ClassVar[tuple[type, ...]] = (
        SessionFactory,
        ClusterView,
        Readiness,
        Metrics,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.connections: set[ClientConnection] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.session_factory = self.kernel.get(SessionFactory)
        self.cluster = self.kernel.get(ClusterView)
        self.metrics = self.kernel.get(Metrics)
        self.cluster.listeners.append(self._check_access)
        host, port = split_address(self.kernel.settings.callers)
        self.server = await asyncio.start_server(
            self._accept, host, port, limit=LINE_LIMIT, backlog=BACKLOG
        )
        self.kernel.spawn(self._release_sessions(), name="session-release")

    async def drain(self) -> None:
        """Let clients leave, and end what is still open near the grace's end."""
        plan = DrainPlan(
            grace_s=self.kernel.settings.grace_s, started_at_s=self.kernel.clock.now_s()
        )
        has_listener = True
        while True:
            now_s = self.kernel.clock.now_s()
            if has_listener and plan.refuses_sessions(now_s):
                self.server.close()
                has_listener = False
            for connection in list(self.connections):
                if plan.aborts_transactions(now_s) and connection.is_waiting:
                    await connection.session.abort_transaction("the VM is stopping")
                if plan.closes_idle_sessions(now_s):
                    connection.leave()
            if plan.is_over(now_s) or (not has_listener and not self.connections):
                return
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Close the listener."""
        if self.server is not None:
            self.server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            keep_alive(writer.get_extra_info("socket"))
        connection = ClientConnection(
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

    async def _release_sessions(self) -> None:
        """Close idle sessions while this VM is isolated."""
        readiness = self.kernel.get(Readiness)
        while True:
            await asyncio.sleep(RELEASE_PERIOD_S)
            if readiness.should_close_idle_sessions():
                logging.info(
                    "[front] Idle sessions are released. count=%d",
                    len(self.connections),
                )
                for connection in list(self.connections):
                    connection.leave()

    def _check_access(self) -> None:
        for connection in self.connections:
            connection.check_access()
