"""Control calls of one failover to the endpoints of a service."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from enum import Enum
from typing import TypeVar

import msgspec
from absl import logging

from ebonyladder.kernel.error import EndpointError, ErrorCode
from ebonyladder.sessions.catalog import OPEN_ORGANISATION
from ebonyladder.sessions.cluster_view import EndpointEntry
from ebonyladder.sessions.connection import (
    ControlConnection,
    EndpointConnector,
    EndpointGoneError,
    EndpointStatus,
)
from ebonyladder.types import EndpointProcess, Term

Result = TypeVar("Result")

# Timeout of one call to an endpoint, in seconds: a round trip between regions, a new
# connection, and the wait for a slot.
CALL_TIMEOUT_S = 0.6
# A call that an endpoint without a free slot has refused is made again after this time,
# in seconds.
BUSY_RETRY_INTERVAL_S = 0.05


class ProbedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoint that answers, with its connection.

    Attributes
    ----------
    status : EndpointStatus
        Answer to the first call of the connection.
    opened_at_s : float
        The loop's time at which the first connection to this process was open.
    """

    entry: EndpointEntry
    connection: ControlConnection
    status: EndpointStatus
    opened_at_s: float


class ControlCall(Enum):
    """Call to an endpoint over a control connection."""

    CONNECT = "connect"
    STATUS = "status"
    PAUSE = "pause"
    RESUME = "resume"
    STEP_DOWN = "step-down"


class ControlAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Last answer of an endpoint, and the loop's time at which it arrived."""

    call: ControlCall
    status: EndpointStatus
    answered_at_s: float

    def __str__(self) -> str:
        """Return the answer for a log line, with its age."""
        age_s = asyncio.get_running_loop().time() - self.answered_at_s
        status = self.status
        return (
            f"{self.call.value}/{status.role.value}/{status.term}/"
            f"{status.received}/{age_s:.2f}s"
        )


class EndpointControl:
    """Connections to the endpoints that answered, one for each.

    An endpoint may send a copy of an earlier answer of the same connection, and control
    answers don't name their calls. So calls whose answer must be their own are the
    first of a new connection: ``pause``, ``step_down``, ``resume``, ``refresh`` and
    ``current_statuses``. What ``status`` and ``statuses`` return was so at some time
    since the first call of the present connection.

    A new connection replaces the present one only if that one is still open. Since a
    restart of a process ends its connections, an endpoint that was paused keeps its
    pause while it stays in ``endpoints`` with an open connection.

    Parameters
    ----------
    connector : EndpointConnector
        Opens connections to endpoints.

    Attributes
    ----------
    endpoints : dict of EndpointProcess to ProbedEndpoint
        Endpoints that answer.
    answers : dict of EndpointProcess to ControlAnswer
        Last answer of each endpoint.
    failures : dict of EndpointProcess to str
        Why the last call to an endpoint failed.
    gone : set of EndpointProcess
        Processes that have ended: their addresses refused a connection, or another
        endpoint answered there.
    """

    def __init__(self, *, connector: EndpointConnector) -> None:
        self.connector = connector
        self.endpoints: dict[EndpointProcess, ProbedEndpoint] = {}
        self.answers: dict[EndpointProcess, ControlAnswer] = {}
        self.failures: dict[EndpointProcess, str] = {}
        self.gone: set[EndpointProcess] = set()

    async def probe(self, entries: Iterable[EndpointEntry]) -> None:
        """Connect to endpoints and request their statuses."""
        await asyncio.gather(*(self._probe(entry) for entry in entries))

    async def refresh(self) -> None:
        """Replace the statuses of all endpoints by current ones.

        One that is busy keeps its former status; others that fail are dropped.
        """
        await self.current_statuses(self.endpoints)

    async def current_statuses(
        self, processes: Iterable[EndpointProcess]
    ) -> dict[EndpointProcess, EndpointStatus]:
        """Return statuses of endpoints that are newer than this call."""
        return await self._call_anew_all(
            ControlCall.STATUS, processes, lambda connection: connection.status()
        )

    async def statuses(self) -> dict[EndpointProcess, EndpointStatus]:
        """Return statuses since the first calls of the present connections."""
        return await self._status_all(self._open())

    async def status(self, process: EndpointProcess) -> EndpointStatus | None:
        """Return a status since the first call of the present connection.

        None if the endpoint doesn't answer.
        """
        return (await self._status_all([process])).get(process)

    async def pause(
        self, processes: Iterable[EndpointProcess], term: Term
    ) -> dict[EndpointProcess, EndpointStatus]:
        """Stop replicas from receiving the log; return the statuses of those paused."""
        return await self._call_anew_all(
            ControlCall.PAUSE, processes, lambda connection: connection.pause(term)
        )

    async def resume(
        self, processes: Iterable[EndpointProcess]
    ) -> dict[EndpointProcess, EndpointStatus]:
        """Let replicas receive the log again; return the statuses of those resumed."""
        return await self._call_anew_all(
            ControlCall.RESUME, processes, lambda connection: connection.resume()
        )

    async def step_down(
        self, process: EndpointProcess, term: Term
    ) -> EndpointStatus | None:
        """Make a primary a replica; None if it doesn't answer."""
        found = await self._call_anew_all(
            ControlCall.STEP_DOWN,
            [process],
            lambda connection: connection.step_down(term),
        )
        return found.get(process)

    def describe(self, processes: Iterable[EndpointProcess]) -> str:
        """Return what each endpoint answered last, for a log line."""
        return ",".join(
            f"{process}:{self.answers.get(process, '-')}"
            + (f"/{self.failures[process]}" if process in self.failures else "")
            for process in sorted(processes)
        )

    def discard_closed(self) -> None:
        """Forget the endpoints whose connections have ended."""
        self.endpoints = self._open()

    def close(self) -> None:
        """Close all connections."""
        for probe in self.endpoints.values():
            probe.connection.close()

    def _open(self) -> dict[EndpointProcess, ProbedEndpoint]:
        return {p: e for p, e in self.endpoints.items() if e.connection.is_open}

    async def _probe(self, entry: EndpointEntry) -> None:
        connection = await self._request(
            entry.process,
            ControlCall.CONNECT,
            lambda: self.connector.open(entry, OPEN_ORGANISATION),
        )
        if connection is None:
            return
        opened_at_s = asyncio.get_running_loop().time()
        status: EndpointStatus | None = None
        try:
            status = await self._call(
                entry.process, ControlCall.STATUS, connection.status
            )
        finally:
            if status is None:
                connection.close()
        if status is not None:
            self.endpoints[entry.process] = ProbedEndpoint(
                entry=entry,
                connection=connection,
                status=status,
                opened_at_s=opened_at_s,
            )

    async def _status_all(
        self, processes: Iterable[EndpointProcess]
    ) -> dict[EndpointProcess, EndpointStatus]:
        """Request statuses on the present connections that are open."""
        opened = self._open()
        return await self._gather(
            (process for process in processes if process in opened),
            lambda process: self._status(opened[process]),
        )

    async def _status(self, probe: ProbedEndpoint) -> EndpointStatus | None:
        process = probe.entry.process
        status = await self._call(process, ControlCall.STATUS, probe.connection.status)
        if status is None and not self._was_busy(process):
            probe.connection.close()
        return status

    async def _call_anew_all(
        self,
        call: ControlCall,
        processes: Iterable[EndpointProcess],
        send: Callable[[ControlConnection], Awaitable[EndpointStatus]],
    ) -> dict[EndpointProcess, EndpointStatus]:
        """Make a call over new connections; return the statuses."""
        opened = self._open()
        return await self._gather(
            (process for process in processes if process in opened),
            lambda process: self._call_anew(opened[process], call, send),
        )

    async def _call_anew(
        self,
        former: ProbedEndpoint,
        call: ControlCall,
        send: Callable[[ControlConnection], Awaitable[EndpointStatus]],
    ) -> EndpointStatus | None:
        """Make a call the first one of a connection that replaces the former one.

        The endpoint is dropped if the call fails, except for a status of a busy one.
        """
        process = former.entry.process
        connection: ControlConnection | None = None

        async def open_and_send() -> EndpointStatus:
            nonlocal connection
            if connection is None or not connection.is_open:
                connection = await self.connector.open(former.entry, OPEN_ORGANISATION)
            try:
                return await send(connection)
            except EndpointError:
                if call is ControlCall.RESUME:
                    # A copy of this refusal could answer the next RESUME, which might
                    # then run after a PAUSE over another connection.
                    connection.close()
                raise

        replacement: ProbedEndpoint | None = None
        try:
            status = await self._call(process, call, open_and_send)
            if former.connection.is_open:
                # A process that runs may have stopped accepting connections.
                self.gone.discard(process)
            elif status is not None:
                # The process may have started again before the new connection.
                self.failures[process] = ErrorCode.CONNECTION_LOST.value.code
                status = None
            if status is not None and connection is not None:
                replacement = msgspec.structs.replace(
                    former, connection=connection, status=status
                )
        finally:
            if replacement is None and connection is not None:
                connection.close()
        if replacement is not None:
            self.endpoints[process] = replacement
        elif call is ControlCall.STATUS and self._was_busy(process):
            return None
        else:
            self.endpoints.pop(process, None)
        former.connection.close()
        return status

    @staticmethod
    async def _gather(
        processes: Iterable[EndpointProcess],
        call: Callable[[EndpointProcess], Awaitable[EndpointStatus | None]],
    ) -> dict[EndpointProcess, EndpointStatus]:
        """Call endpoints at the same time; return the statuses of those that answer."""
        asked = list(processes)
        results = await asyncio.gather(*(call(process) for process in asked))
        return {
            process: status
            for process, status in zip(asked, results, strict=True)
            if status is not None
        }

    async def _call(
        self,
        process: EndpointProcess,
        call: ControlCall,
        send: Callable[[], Awaitable[EndpointStatus]],
    ) -> EndpointStatus | None:
        status = await self._request(process, call, send)
        if status is not None:
            self.answers[process] = ControlAnswer(
                call=call,
                status=status,
                answered_at_s=asyncio.get_running_loop().time(),
            )
        return status

    async def _request(
        self,
        process: EndpointProcess,
        call: ControlCall,
        send: Callable[[], Awaitable[Result]],
    ) -> Result | None:
        """Make a call, again while the endpoint is busy; None if it failed."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                while True:
                    try:
                        result = await send()
                        break
                    except EndpointError as error:
                        if error.code is not ErrorCode.OVERLOADED:
                            raise
                        self._record_failure(process, error)
                        await asyncio.sleep(BUSY_RETRY_INTERVAL_S)
        except (EndpointError, TimeoutError) as error:
            self._record_failure(process, error)
            logging.info(
                "[failover] Control call failed. endpoint=%s call=%s reason=%s "
                "error=%r",
                process,
                call.value,
                self.failures[process],
                error,
            )
            return None
        self.failures.pop(process, None)
        self.gone.discard(process)
        return result

    def _was_busy(self, process: EndpointProcess) -> bool:
        """Tell whether the last call failed since the endpoint had no free slot."""
        return self.failures.get(process) == ErrorCode.OVERLOADED.value.code

    def _record_failure(self, process: EndpointProcess, error: Exception) -> None:
        """Record why a call failed; busy calls end with a timeout."""
        if isinstance(error, EndpointGoneError):
            self.gone.add(process)
            self.failures[process] = "gone"
        elif isinstance(error, EndpointError):
            self.failures[process] = error.code.value.code
        elif not self._was_busy(process):
            self.failures[process] = "timeout"
