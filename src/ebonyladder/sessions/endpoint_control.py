"""Control calls of one failover to the endpoints of a service."""

import asyncio
from collections.abc import Awaitable, Iterable

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
    """

    def __init__(self, *, connector: EndpointConnector) -> None:
        self.connector = connector
        self.endpoints: dict[EndpointProcess, ProbedEndpoint] = {}

    async def probe(self, entries: Iterable[EndpointEntry]) -> None:
        """Connect to endpoints and request their statuses."""
        await asyncio.gather(*(self._probe(entry) for entry in entries))

    async def statuses(self) -> dict[EndpointProcess, EndpointStatus]:
        """Return the current status of each endpoint that still answers."""
        return await self._call_all(
            {p: probe.connection.status() for p, probe in self._open().items()}
        )

    async def pause(
        self, processes: Iterable[EndpointProcess], term: Term
    ) -> dict[EndpointProcess, EndpointStatus]:
        """Stop replicas from receiving the log; return the statuses of those paused."""
        opened = self._open()
        return await self._call_all(
            {p: opened[p].connection.pause(term) for p in processes if p in opened}
        )

    async def resume(self, processes: Iterable[EndpointProcess]) -> None:
        """Let replicas receive the log again."""
        opened = self._open()
        await self._call_all(
            {p: opened[p].connection.resume() for p in processes if p in opened}
        )

    async def step_down(
        self, process: EndpointProcess, term: Term
    ) -> EndpointStatus | None:
        """Make a primary a replica; None if it doesn't answer."""
        return await self._call(
            process, self.endpoints[process].connection.step_down(term)
        )

    async def status(self, process: EndpointProcess) -> EndpointStatus | None:
        """Return an endpoint's current status, None if it doesn't answer."""
        return await self._call(process, self.endpoints[process].connection.status())

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
            logging.info(
                "[failover] Endpoint can't be reached. endpoint=%s error=%r",
                entry.process,
                error,
            )
            return
        status = await self._call(entry.process, connection.status())
        if status is not None:
            self.endpoints[entry.process] = ProbedEndpoint(
                entry=entry, connection=connection, status=status
            )
        else:
            connection.close()

    async def _call_all(
        self, calls: dict[EndpointProcess, Awaitable[EndpointStatus]]
    ) -> dict[EndpointProcess, EndpointStatus]:
        results = await asyncio.gather(*(self._call(p, c) for p, c in calls.items()))
        return {
            process: status
            for process, status in zip(calls, results, strict=True)
            if status is not None
        }

    @staticmethod
    async def _call(
        process: EndpointProcess, call: Awaitable[EndpointStatus]
    ) -> EndpointStatus | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await call
        except (EndpointError, TimeoutError) as error:
            logging.info(
                "[failover] Control call failed. endpoint=%s error=%r", process, error
            )
            return None
