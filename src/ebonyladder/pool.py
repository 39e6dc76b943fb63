"""Pool of connections to one endpoint."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from ebonyladder.endpoint import EndpointConnection, EndpointDriver
from ebonyladder.kernel.error import EndpointError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.types import Address, EndpointId

REPORT_CONNECTIONS = 2
MAX_OPENING = 5


def owner_limit(connections: int) -> int:
    """Return how many connections one owner may open.

    Two VMs that both believe they own the endpoint stay within the endpoint's
    limit together.
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
    limit : int
        Greatest number of connections, broken ones that are not yet closed
        included.
    """

    def __init__(
        self,
        *,
        endpoint: EndpointId,
        address: Address,
        driver: EndpointDriver,
        limit: int,
    ) -> None:
        self.endpoint = endpoint
        self.address = address
        self.driver = driver
        self.places = asyncio.Semaphore(limit)
        # A zone that returns must not open all its connections at once.
        self.opening = asyncio.Semaphore(MAX_OPENING)
        self.idle: list[EndpointConnection] = []
        self.closing: set[asyncio.Task[None]] = set()
        self.in_use = 0

    @property
    def size(self) -> int:
        """Number of connections that count against the limit."""
        return self.in_use + len(self.idle) + len(self.closing)

    async def acquire(self, wait_s: float) -> EndpointConnection:
        """Return a connection, an idle one if there is one.

        Raises
        ------
        EndpointError
            CONNECT_FAILED, not run, if none could be had in ``wait_s`` seconds.
        """
        connection = self._take_idle()
        if connection is not None:
            return connection
        try:
            async with asyncio.timeout(wait_s):
                return await self._acquire()
        except TimeoutError:
            raise EndpointError(
                code=ErrorCode.CONNECT_FAILED,
                step=Step.CONNECT,
                peer=self.endpoint,
                message=f"no connection to {self.endpoint} within {wait_s:.3f} s",
            ) from None

    def _take_idle(self) -> EndpointConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                self.in_use += 1
                return connection
            self.places.release()
        return None

    async def _acquire(self) -> EndpointConnection:
        connection = self._take_idle()
        if connection is not None:
            return connection
        await self.places.acquire()
        if self.idle:
            self.places.release()
            return await self._acquire()
        try:
            async with self.opening:
                connection = await self.driver.connect(
                    endpoint=self.endpoint, address=self.address
                )
        except BaseException:
            self.places.release()
            raise
        self.in_use += 1
        return connection

    def release(self, connection: EndpointConnection) -> None:
        """Give a connection back; one that cannot be used is closed."""
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
            self.places.release()

    @asynccontextmanager
    async def connection(self, wait_s: float) -> AsyncIterator[EndpointConnection]:
        """Lend a connection for the length of a block."""
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
