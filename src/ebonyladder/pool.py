"""Pool of connections to one endpoint."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonyladder.endpoint import EndpointConnection, EndpointDriver
from ebonyladder.kernel.error import EndpointError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.types import Address, EndpointId

REPORT_CONNECTIONS = 2
MAX_CONCURRENT_OPENS = 5


def max_owner_connections(connections: int) -> int:
    """Return the maximum number of pooled connections of one owner.

    Two VMs that both assume they own the endpoint together stay within its number
    of ``connections``.
    """
    return max(1, connections // 2 - REPORT_CONNECTIONS)


class ConnectionPool:
    """Connections of the owner to one endpoint.

    Parameters
    ----------
    endpoint : EndpointId
        Endpoint to connect to.
    address : Address
        Its address.
    driver : EndpointDriver
        Driver that opens connections.
    max_connections : int
        Maximum number of connections, including broken ones that are not closed
        yet.
    """

    def __init__(
        self,
        *,
        endpoint: EndpointId,
        address: Address,
        driver: EndpointDriver,
        max_connections: int,
    ) -> None:
        self.endpoint = endpoint
        self.address = address
        self.driver = driver
        self.capacity = asyncio.Semaphore(max_connections)
        # Limits how many connections are opened concurrently after a zone returns.
        self.open_slots = asyncio.Semaphore(MAX_CONCURRENT_OPENS)
        self.idle: list[EndpointConnection] = []
        self.closing: set[asyncio.Task[None]] = set()
        self.in_use = 0

    @property
    def size(self) -> int:
        """Number of connections that count against ``max_connections``."""
        return self.in_use + len(self.idle) + len(self.closing)

    async def acquire(self, wait_s: float) -> EndpointConnection:
        """Return an idle connection, or a new one if none is idle.

        Raises
        ------
        EndpointError
            CONNECT_FAILED, not run, if none was available within ``wait_s`` seconds.
        """
        connection = self._acquire_idle()
        if connection is not None:
            return connection
        try:
            async with asyncio.timeout(wait_s):
                return await self._acquire_or_open()
        except TimeoutError:
            raise EndpointError(
                code=ErrorCode.CONNECT_FAILED,
                step=Step.CONNECT,
                peer=self.endpoint,
                message=f"no connection to {self.endpoint} within {wait_s:.3f} s",
            ) from None

    def _acquire_idle(self) -> EndpointConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                self.in_use += 1
                return connection
            self.capacity.release()
        return None

    async def _acquire_or_open(self) -> EndpointConnection:
        connection = self._acquire_idle()
        if connection is not None:
            return connection
        await self.capacity.acquire()
        if self.idle:
            self.capacity.release()
            return await self._acquire_or_open()
        try:
            async with self.open_slots:
                connection = await self.driver.connect(
                    endpoint=self.endpoint, address=self.address
                )
        except BaseException:
            self.capacity.release()
            raise
        self.in_use += 1
        return connection

    def release(self, connection: EndpointConnection) -> None:
        """Return a connection to the pool; close it if it can't be used."""
        self.in_use -= 1
        if connection.is_open:
            self.idle.append(connection)
            return
        task = asyncio.create_task(self._close(connection))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    async def _close(self, connection: EndpointConnection) -> None:
        try:
            await connection.close()
        finally:
            self.capacity.release()

    @asynccontextmanager
    async def connection(self, wait_s: float) -> AsyncIterator[EndpointConnection]:
        """Acquire a connection for the duration of a block."""
        connection = await self.acquire(wait_s)
        try:
            yield connection
        finally:
            self.release(connection)

    async def close(self) -> None:
        """Close the idle connections."""
        idle, self.idle = self.idle, []
        for connection in idle:
            await self._close(connection)
        if self.closing:
            await asyncio.wait(self.closing)
