"""Pools of endpoint links, one for each endpoint, shared by organisations."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.catalog import OPEN_ORGANISATION, Service
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry, Owner
from ebonyladder.sessions.connection import EndpointConnector, PooledConnection
from ebonyladder.sessions.health import EndpointHealth
from ebonyladder.types import EndpointId, OrganisationId, Role

# Part of an endpoint's connections that pools may use; the rest is for status
# probes, and for connections of dead VMs that the endpoint hasn't dropped yet.
POOLED_SHARE = 0.88
# A replica is read mostly from its own region; VMs elsewhere need links only
# while their own replica is away.
REPLICA_HOME_SHARE = 0.7
LEAST_LINKS = 2
# A waiter whose organisation matches a free link may pass this many others, which
# saves opening a connection.
AFFINITY_REACH = 4
# Time to open a connection before the endpoint counts as unreachable, in seconds:
# two round trips between regions, the 12 ms of a new connection, and a queue.
OPEN_TIMEOUT_S = 0.5
# Pause after an endpoint refused a connection because it has too many, in seconds.
REFUSED_PAUSE_S = 0.1
# An idle link is closed after this time, in seconds, so that its place serves others.
IDLE_LIMIT_S = 20.0


def link_limit(cluster: ClusterView, service: Service, entry: EndpointEntry) -> int:
    """Return how many links this VM may hold to an endpoint.

    The limits of all VMs add up to no more than the endpoint accepts, so that no
    VM takes the connections that another one needs.
    """
    usable = service.max_connections * POOLED_SHARE
    if entry.id in cluster.owners:
        return max(LEAST_LINKS, int(usable))
    total = cluster.vm_count
    region = cluster.region(entry.zone)
    near = sum(
        count for zone, count in cluster.fleet.items() if cluster.region(zone) == region
    )
    if entry.role is Role.PRIMARY or near in (0, total):
        return max(LEAST_LINKS, int(usable / total))
    if cluster.region(cluster.zone) == region:
        return max(LEAST_LINKS, int(usable * REPLICA_HOME_SHARE / near))
    return max(LEAST_LINKS, int(usable * (1 - REPLICA_HOME_SHARE) / (total - near)))


class EndpointConnectionPool(ABC):
    """Links to one endpoint.

    Attributes
    ----------
    entry : EndpointEntry
        The endpoint as it is listed.
    health : EndpointHealth
        What its statements have met.
    running : int
        Statements of this VM that are under way there.
    is_local : bool
        Whether this VM holds the connections itself.
    """

    entry: EndpointEntry
    health: EndpointHealth
    running: int
    is_local: bool = False

    @property
    @abstractmethod
    def load(self) -> float:
        """Statements at the endpoint or waiting for it, for each slot."""

    @abstractmethod
    async def take(
        self, organisation: OrganisationId, values: dict[str, str], deadline_s: float
    ) -> PooledConnection:
        """Return a link of the organisation, waiting for one if need be.

        Raises
        ------
        EndpointError
            Not run, where none was to be had by ``deadline_s``.
        """

    @abstractmethod
    def release(self, connection: PooledConnection) -> None:
        """Give a link back."""

    @abstractmethod
    async def probe(self) -> bool:
        """Tell whether the endpoint can be reached."""

    def trim(self) -> None:  # noqa: B027
        """Close what is no longer needed."""

    @abstractmethod
    def close(self) -> None:
        """Close the links that are idle, and the others when they are released."""


class PoolWaiter:
    """Statement that waits for a link or for the place of one."""

    def __init__(self, *, organisation: OrganisationId) -> None:
        self.organisation = organisation
        # An idle link of the organisation, or None for a place to open one.
        self.ready: asyncio.Future[PooledConnection | None] = (
            asyncio.get_running_loop().create_future()
        )


class DirectPool(EndpointConnectionPool):
    """Links of this VM to one endpoint.

    Parameters
    ----------
    entry : EndpointEntry
        Endpoint to connect to.
    connector : EndpointConnector
        Driver that opens links.
    clock : Clock
        Clock of idle times and deadlines.
    limit : int
        Greatest number of links.
    """

    def __init__(
        self,
        *,
        entry: EndpointEntry,
        connector: EndpointConnector,
        clock: Clock,
        limit: int,
    ) -> None:
        self.entry = entry
        self.connector = connector
        self.clock = clock
        self.limit = limit
        self.health = EndpointHealth(clock=clock)
        self.idle: deque[tuple[PooledConnection, float]] = deque()
        self.waiting: deque[PoolWaiter] = deque()
        self.used = 0
        self.running = 0
        self.is_closed = False
        self.is_local = True

    @property
    def load(self) -> float:
        """Statements of this VM at the endpoint or waiting, for each slot."""
        return (self.running + len(self.waiting)) / max(self.entry.slots, 1)

    async def take(
        self, organisation: OrganisationId, values: dict[str, str], deadline_s: float
    ) -> PooledConnection:
        """Return a link of the organisation, waiting for one if need be.

        Raises
        ------
        EndpointError
            CONNECT_FAILED, not run, where none was to be had by ``deadline_s``.
        """
        connection = self._take_idle(organisation, values)
        if connection is not None:
            return connection
        if self._take_place():
            return await self._open(organisation, deadline_s)
        waiter = PoolWaiter(organisation=organisation)
        self.waiting.append(waiter)
        try:
            async with asyncio.timeout(max(deadline_s - self.clock.now_s(), 0)):
                connection = await waiter.ready
        except BaseException as error:
            self._abandon(waiter)
            if isinstance(error, TimeoutError):
                raise self._failed("no connection became free in time") from None
            raise
        return connection or await self._open(organisation, deadline_s)

    def release(self, connection: PooledConnection) -> None:
        """Give a link back; one that can't be used any more frees its place."""
        if self.is_closed or not connection.is_open:
            connection.close()
            self._free_place()
            return
        for waiter in list(self.waiting)[:AFFINITY_REACH]:
            if (
                waiter.organisation == connection.organisation
                and not waiter.ready.done()
            ):
                self.waiting.remove(waiter)
                waiter.ready.set_result(connection)
                return
        if self.waiting:
            connection.close()
            self._free_place()
            return
        self.idle.append((connection, self.clock.now_s()))

    async def probe(self) -> bool:
        """Ask the endpoint for its status on a connection of its own."""
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                connection = await self.connector.open(self.entry, OPEN_ORGANISATION)
                try:
                    await connection.status()
                finally:
                    connection.close()
        except (EndpointError, TimeoutError):
            return False
        return True

    def trim(self) -> None:
        """Close links that have been idle for long or are above the limit."""
        oldest_s = self.clock.now_s() - IDLE_LIMIT_S
        while self.idle and (self.idle[0][1] < oldest_s or self.used > self.limit):
            self._drop_oldest()

    def close(self) -> None:
        """Close idle links now and the others when they are released."""
        self.is_closed = True
        while self.idle:
            self._drop_oldest()

    def _take_idle(
        self, organisation: OrganisationId, values: dict[str, str]
    ) -> PooledConnection | None:
        matches = [i for i in self.idle if i[0].organisation == organisation]
        best = next((i for i in matches if i[0].values == values), None)
        # A link without values needs no reset, only the session's own values.
        best = best or next((i for i in matches if not i[0].values), None)
        best = best or (matches[-1] if matches else None)
        if best is None:
            return None
        self.idle.remove(best)
        if best[0].is_open:
            return best[0]
        self._free_place()
        return self._take_idle(organisation, values)

    def _take_place(self) -> bool:
        if self.used >= self.limit and self.idle:
            self._drop_oldest()
        if self.used >= self.limit:
            return False
        self.used += 1
        return True

    def _drop_oldest(self) -> None:
        connection, _ = self.idle.popleft()
        connection.close()
        self.used -= 1

    def _free_place(self) -> None:
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.ready.done():
                waiter.ready.set_result(None)
                return
        self.used -= 1

    def _abandon(self, waiter: PoolWaiter) -> None:
        if waiter in self.waiting:
            self.waiting.remove(waiter)
        elif waiter.ready.done() and not waiter.ready.cancelled():
            connection = waiter.ready.result()
            if connection is None:
                self._free_place()
            else:
                self.release(connection)

    async def _open(
        self, organisation: OrganisationId, deadline_s: float
    ) -> PooledConnection:
        try:
            while True:
                left_s = deadline_s - self.clock.now_s()
                try:
                    async with asyncio.timeout(min(left_s, OPEN_TIMEOUT_S)):
                        connection = await self.connector.open(self.entry, organisation)
                except TimeoutError:
                    if left_s >= OPEN_TIMEOUT_S:
                        self.health.unreachable()
                    raise self._failed("the connection did not open") from None
                except EndpointError as error:
                    if error.code is not ErrorCode.OVERLOADED:
                        self.health.unreachable()
                        raise
                    if left_s < 2 * REFUSED_PAUSE_S:
                        raise
                    await asyncio.sleep(REFUSED_PAUSE_S)
                else:
                    self.health.reachable()
                    return connection
        except BaseException:
            self._free_place()
            raise

    def _failed(self, message: str) -> EndpointError:
        return EndpointError(
            code=ErrorCode.CONNECT_FAILED,
            step=Step.CONNECT,
            peer=self.entry.id,
            message=message,
            outcome=Outcome.NOT_RUN,
        )


class PoolSet:
    """Pools of all endpoints, kept in step with the roster.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints, VMs and services.
    connector : EndpointConnector
        Driver that opens links.
    clock : Clock
        Clock of the pools.
    open_owned : callable, optional
        Returns the pool of an endpoint that another VM owns.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        connector: EndpointConnector,
        clock: Clock,
        open_owned: Callable[[EndpointEntry, Owner], EndpointConnectionPool]
        | None = None,
    ) -> None:
        self.cluster = cluster
        self.connector = connector
        self.clock = clock
        self.open_owned = open_owned
        self.pools: dict[EndpointId, EndpointConnectionPool] = {}
        # Process and owner that each pool was made for.
        self.keys: dict[EndpointId, tuple] = {}
        cluster.listeners.append(self.update)

    def update(self) -> None:
        """Follow a change of the roster."""
        for entry in self.cluster.endpoints.values():
            self._update_entry(entry)
        for endpoint in set(self.pools) - set(self.cluster.endpoints):
            logging.info("[pool] Endpoint is gone. endpoint=%s", endpoint)
            self.pools.pop(endpoint).close()

    def _update_entry(self, entry: EndpointEntry) -> None:
        owner = self.cluster.owners.get(entry.id)
        if owner is not None and owner.vm == self.cluster.vm:
            owner = None
        # The same id after a restart is another process with an empty state.
        key = (entry.address, entry.born_ms, owner)
        pool = self.pools.get(entry.id)
        if pool is None or self.keys[entry.id] != key:
            if pool is not None:
                pool.close()
            pool = self._open(entry, owner)
            self.pools[entry.id] = pool
            self.keys[entry.id] = key
        pool.entry = entry
        catalog = self.cluster.catalog
        service = catalog.services.get(entry.service) if catalog else None
        if service is not None and isinstance(pool, DirectPool):
            pool.limit = link_limit(self.cluster, service, entry)

    def _open(
        self, entry: EndpointEntry, owner: Owner | None
    ) -> EndpointConnectionPool:
        if owner is not None and self.open_owned is not None:
            return self.open_owned(entry, owner)
        return DirectPool(
            entry=entry, connector=self.connector, clock=self.clock, limit=LEAST_LINKS
        )

    def get(self, endpoint: EndpointId) -> EndpointConnectionPool:
        """Return the pool of a listed endpoint."""
        return self.pools[endpoint]
