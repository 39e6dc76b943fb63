"""Front end for callers that use the statement protocol."""

import asyncio
import contextlib
from typing import ClassVar

import msgspec
from absl import logging

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.metrics import Metrics
from ebonyladder.platform.lines import LineReader
from ebonyladder.platform.session_connection import SessionConnection
from ebonyladder.platform.sockets import enable_keep_alive
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.drain import DrainPlan
from ebonyladder.sessions.plugins.sessions import SessionFactory
from ebonyladder.sessions.readiness import Readiness
from ebonyladder.sessions.registry import register
from ebonyladder.settings import split_address

# Interval between checks for isolation of this VM, in seconds.
ISOLATION_CHECK_INTERVAL_S = 0.25
# Interval at which the connections are checked during a drain, in seconds.
DRAIN_CHECK_INTERVAL_S = 0.05
# Maximum number of connections that wait to be accepted.
LISTEN_BACKLOG = 512


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
        self.accepted = self.session_factory.executor.accepted
        self.cluster = self.kernel.get(ClusterView)
        self.metrics = self.kernel.get(Metrics)
        self.cluster.listeners.append(self._check_connections)
        host, port = split_address(self.kernel.settings.callers)
        self.server = await asyncio.get_running_loop().create_server(
            self._make_protocol, host, port, backlog=LISTEN_BACKLOG
        )
        self.kernel.supervise(self._close_idle_when_isolated, name="session-release")

    def reload(self) -> None:
        """Apply a changed grace period to a drain; a longer one isn't relied on."""
        drain, grace_s = self.accepted.drain, self.kernel.settings.grace_s
        if drain is not None and grace_s < drain.grace_s:
            self.accepted.begin_drain(msgspec.structs.replace(drain, grace_s=grace_s))

    async def announce_drain(self) -> None:
        """Give all requests an end before that of the grace period."""
        self.accepted.begin_drain(
            DrainPlan(
                grace_s=self.kernel.settings.grace_s,
                started_at_s=self.kernel.clock.now_s(),
            )
        )

    async def drain(self) -> None:
        """Accept new sessions for a while, and return once all callers are answered."""
        is_listening = True
        were_requests_ended = False
        while True:
            drain, now_s = self.accepted.drain, self.kernel.clock.now_s()
            # A late event loop passes both times at once, before any answer is sent.
            is_over = were_requests_ended and drain.is_over(now_s)
            # A connection that was accepted right before the listener closed is in the
            # set only after a turn of the loop.
            if is_over or not (is_listening or self.connections):
                break
            if is_listening and drain.refuses_work(now_s):
                self.server.close()
                is_listening = False
            were_requests_ended = drain.ends_requests(now_s)
            if were_requests_ended:
                self.accepted.reschedule()
            # Nothing is due before, and a check of 5,000 connections takes 18 ms.
            if drain.closes_answered_sessions(now_s):
                self._check_connections()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        if self.connections:
            logging.warning(
                "[front] Connections are left at the end of the grace period. "
                "count=%d unsent_bytes=%d requests=%s",
                len(self.connections),
                sum(c.unsent_bytes for c in self.connections),
                ",".join(c.request_id for c in self.connections if c.is_busy) or "-",
            )

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
            accepted=self.accepted,
            cluster=self.cluster,
            metrics=self.metrics,
            clock=self.kernel.clock,
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

    def _check_connections(self) -> None:
        for connection in self.connections:
            connection.check()
