"""Control calls of one failover to the endpoints of a service."""

import asyncio
from collections.abc import Awaitable, Iterable
from enum import Enum

import msgspec
from absl import logging

from ebonyladder.kernel.error import EndpointError
from ebonyladder.sessions.catalog import OPEN_ORGANISATION
from ebonyladder.sessions.cluster_view import EndpointEntry
from ebonyladder.sessions.connection import (
    ControlConnection,
    EndpointConnector,
    EndpointStatus,
)
from ebonyladder.types import EndpointProcess, Term

# Timeout of one call to an endpoint, in seconds: a round trip between regions, a new
# connection, and the wait for a slot.
CALL_TIMEOUT_S = 0.6


class ProbedEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoint that answered a status call, with its connection and first status."""

    entry: EndpointEntry
    connection: ControlConnection
    status: EndpointStatus


class ControlCall(Enum):
    """Call to an endpoint over a control connection."""

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

    An endpoint keeps its pause while its connection stays open, since a restart of its
    process ends both.

    Parameters
    ----------
    connector : EndpointConnector
        Opens connections to endpoints.

    Attributes
    ----------
    endpoints : dict of EndpointProcess to ProbedEndpoint
        Endpoints that answered the first call.
    answers : dict of EndpointProcess to ControlAnswer
        Last answer of each endpoint.
    failures : dict of EndpointProcess to str
        Why the last call to an endpoint failed.
    """

    def __init__(self, *, connector: EndpointConnector) -> None:
        self.connector = connector
        self.endpoints: dict[EndpointProcess, ProbedEndpoint] = {}
        self.answers: dict[EndpointProcess, ControlAnswer] = {}
        self.failures: dict[EndpointProcess, str] = {}

    async def probe(self, entries: Iterable[EndpointEntry]) -> None:
        """Connect to endpoints and request their statuses."""
        await asyncio.gather(*(self._probe(entry) for entry in entries))

    async def statuses(self) -> dict[EndpointProcess, EndpointStatus]:
        """Return the current status of each endpoint that still answers."""
        return await self._call_all(
            ControlCall.STATUS,
            {p: probe.connection.status() for p, probe in self._open().items()},
        )

    async def pause(
        self, processes: Iterable[EndpointProcess], term: Term
    ) -> dict[EndpointProcess, EndpointStatus]:
        """Stop replicas from receiving the log; return the statuses of those paused."""
        opened = self._open()
        return await self._call_all(
            ControlCall.PAUSE,
            {p: opened[p].connection.pause(term) for p in processes if p in opened},
        )

    async def resume(self, processes: Iterable[EndpointProcess]) -> None:
        """Let replicas receive the log again."""
        opened = self._open()
        await self._call_all(
            ControlCall.RESUME,
            {p: opened[p].connection.resume() for p in processes if p in opened},
        )

    async def step_down(
        self, process: EndpointProcess, term: Term
    ) -> EndpointStatus | None:
        """Make a primary a replica; None if it doesn't answer."""
        return await self._call(
            process,
            ControlCall.STEP_DOWN,
            self.endpoints[process].connection.step_down(term),
        )

    async def status(self, process: EndpointProcess) -> EndpointStatus | None:
        """Return an endpoint's current status, None if it doesn't answer."""
        return await self._call(
            process, ControlCall.STATUS, self.endpoints[process].connection.status()
        )

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
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                connection = await self.connector.open(entry, OPEN_ORGANISATION)
        except (EndpointError, TimeoutError) as error:
            self._record_failure(entry.process, error)
            logging.info(
                "[failover] Endpoint can't be reached. endpoint=%s error=%r",
                entry.process,
                error,
            )
            return
        status = await self._call(
            entry.process, ControlCall.STATUS, connection.status()
        )
        if status is not None:
            self.endpoints[entry.process] = ProbedEndpoint(
                entry=entry, connection=connection, status=status
            )
        else:
            connection.close()

    async def _call_all(
        self,
        call: ControlCall,
        running: dict[EndpointProcess, Awaitable[EndpointStatus]],
    ) -> dict[EndpointProcess, EndpointStatus]:
        results = await asyncio.gather(
            *(self._call(p, call, answer) for p, answer in running.items())
        )
        return {
            process: status
            for process, status in zip(running, results, strict=True)
            if status is not None
        }

    async def _call(
        self,
        process: EndpointProcess,
        call: ControlCall,
        answer: Awaitable[EndpointStatus],
    ) -> EndpointStatus | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status = await answer
        except (EndpointError, TimeoutError) as error:
            self._record_failure(process, error)
            logging.info(
                "[failover] Control call failed. endpoint=%s call=%s error=%r",
                process,
                call.value,
                error,
            )
            return None
        self.failures.pop(process, None)
        self.answers[process] = ControlAnswer(
            call=call,
            status=status,
            answered_at_s=asyncio.get_running_loop().time(),
        )
        return status

    def _record_failure(self, process: EndpointProcess, error: Exception) -> None:
        code = error.code.value.code if isinstance(error, EndpointError) else "timeout"
        self.failures[process] = code
