"""Connection pools, one for each endpoint, shared by organisations."""

import asyncio
import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable

from absl import logging

from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.catalog import OPEN_ORGANISATION
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry, Owner
from ebonyladder.sessions.connection import (
    EndpointConnector,
    EndpointGoneError,
    PooledConnection,
)
from ebonyladder.sessions.connection_cap import ConnectionCap
from ebonyladder.sessions.connection_limit import (
    MIN_CONNECTIONS,
    POOLED_FRACTION,
    connection_limit,
)
from ebonyladder.sessions.connection_queue import ConnectionWaiter, take_waiter
from ebonyladder.sessions.health import EndpointHealth
from ebonyladder.sessions.opening_budget import OpeningBudget
from ebonyladder.types import EndpointId, OrganisationId

# Time to open a connection before the endpoint counts as unreachable: two
# round trips between regions, the 12 ms of a new connection, and a queue.
OPEN_TIMEOUT_S = 0.5
# An idle connection is closed after this time, so that another one may be opened.
IDLE_TIMEOUT_S = 20.0


class EndpointConnectionPool(ABC):
    """Connections to one endpoint.

    Attributes
    ----------
    entry : EndpointEntry
        Entry of the endpoint.
    health : EndpointHealth
        Health of the endpoint, from the results of statements.
    running : int
        Statements of this VM in flight at the endpoint.
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
        """Statements at the endpoint or waiting for it, per slot."""

    @abstractmethod
    async def acquire(
        self, organisation: OrganisationId, values: dict[str, str], deadline_s: float
    ) -> PooledConnection:
        """Return a connection of the organisation, waiting for one if needed.

        Raises
        ------
        EndpointError
            Not run, if none became available by ``deadline_s``.
        """

    @abstractmethod
    def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool."""

    @abstractmethod
    async def probe(self) -> bool:
        """Return whether the endpoint can be reached."""

    def trim(self) -> None:  # noqa: B027
        """Close connections that are no longer needed."""

    @abstractmethod
    def close(self) -> None:
        """Close idle connections now and the others when they are released."""


class DirectPool(EndpointConnectionPool):
    """Connections of this VM to one endpoint.

    Parameters
    ----------
    entry : EndpointEntry
        Endpoint to connect to.
    connector : EndpointConnector
        Opens connections.
    clock : Clock
        Clock of idle times and deadlines.
    limit : int
        Maximum number of connections.

    Attributes
    ----------
    cap : ConnectionCap
        Connections that the endpoint accepts at present, up to the limit.
    opening_budget : OpeningBudget
        Turns to open connections.
    used : int
        Connections that are open or being opened.
    opening : int
        Connections that are being opened, or reserved for it.
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
        self.cap = ConnectionCap(clock=clock, limit=limit)
        self.opening_budget = OpeningBudget(clock=clock, slots=entry.slots, limit=limit)
        self.health = EndpointHealth(clock=clock)
        self.idle: deque[tuple[PooledConnection, float]] = deque()
        self.waiting: deque[ConnectionWaiter] = deque()
        self.used = 0
        self.opening = 0
        self.running = 0
        self.growth: asyncio.TimerHandle | None = None
        self.is_closed = False
        self.is_local = True

    @property
    def load(self) -> float:
        """Statements of this VM at the endpoint or waiting, per slot."""
        return (self.running + len(self.waiting)) / max(self.entry.slots, 1)

    @property
    def may_open(self) -> bool:
        """Whether this VM has a turn to open another connection."""
        return self.opening_budget.may_open(self.opening)

    async def acquire(
        self, organisation: OrganisationId, values: dict[str, str], deadline_s: float
    ) -> PooledConnection:
        """Return a connection of the organisation, waiting for one if needed.

        Raises
        ------
        EndpointError
            CONNECT_FAILED or OVERLOADED, not run, if none became available by
            ``deadline_s``.
        """
        was_refused = False
        while True:
            connection = self._acquire_idle(organisation, values)
            if connection is not None:
                return connection
            if not self._reserve():
                connection = await self._wait(
                    organisation, deadline_s, is_first=was_refused
                )
                if connection is not None:
                    return connection
            try:
                return await self._open(organisation, deadline_s)
            except EndpointError as error:
                if error.code is not ErrorCode.OVERLOADED:
                    raise
                was_refused = True

    async def _wait(
        self, organisation: OrganisationId, deadline_s: float, *, is_first: bool
    ) -> PooledConnection | None:
        """Return a released connection, or None with a reservation to open one."""
        if self.is_closed:
            raise self._failed("the pool is closed")
        waiter = ConnectionWaiter(organisation=organisation)
        if is_first:
            self.waiting.appendleft(waiter)
        else:
            self.waiting.append(waiter)
        self._ensure_growth()
        try:
            async with asyncio.timeout(max(deadline_s - self.clock.now_s(), 0)):
                return await waiter.ready
        except BaseException as error:
            self._cancel_wait(waiter)
            if isinstance(error, TimeoutError):
                raise self._failed("no connection became free in time") from None
            raise

    def release(self, connection: PooledConnection) -> None:
        """Return a connection; one that can't be reused ends its reservation."""
        if self.is_closed or not connection.is_reusable:
            connection.close()
            self._release_reservation()
            return
        waiter = take_waiter(self.waiting, connection.organisation)
        if waiter is not None:
            waiter.ready.set_result(connection)
            return
        self.idle.append((connection, self.clock.now_s()))
        self._serve_waiting()

    async def probe(self) -> bool:
        """Request the endpoint's status on a separate connection.

        An endpoint that refuses for want of a slot or of connections is reachable.
        """
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                connection = await self.connector.open(self.entry, OPEN_ORGANISATION)
                try:
                    await connection.status()
                finally:
                    connection.close()
        except TimeoutError:
            return False
        except EndpointError as error:
            return error.code is ErrorCode.OVERLOADED
        return True

    def set_limit(self, limit: int, *, share: float) -> None:
        """Set how many connections, and which share of all, this VM may hold."""
        self.cap.limit = limit
        self.opening_budget.resize(slots=self.entry.slots, limit=limit, share=share)
        self._serve_waiting()

    def trim(self) -> None:
        """Close connections that exceed the idle timeout or the limit."""
        idle_since_s = self.clock.now_s() - IDLE_TIMEOUT_S
        while self.idle and (
            self.idle[0][1] < idle_since_s or self.used > self.cap.limit
        ):
            self._close_oldest()

    def close(self) -> None:
        """Close idle connections now and the others when they are released."""
        self.is_closed = True
        while self.idle:
            self._close_oldest()
        # Each may choose another endpoint, or the pool that replaces this one.
        self._fail_waiting("the pool was closed")

    def _acquire_idle(
        self, organisation: OrganisationId, values: dict[str, str]
    ) -> PooledConnection | None:
        matches = [i for i in self.idle if i[0].organisation == organisation]
        best = next((i for i in matches if i[0].values == values), None)
        # One without session variables needs no reset before setting them.
        best = best or next((i for i in matches if not i[0].values), None)
        best = best or (matches[-1] if matches else None)
        if best is None:
            return None
        self.idle.remove(best)
        if best[0].is_open:
            return best[0]
        self.used -= 1
        return self._acquire_idle(organisation, values)

    def _reserve(self) -> bool:
        if not self.may_open:
            return False
        limit = self.cap.current
        if self.used >= limit and self.idle:
            self._close_oldest()
        if self.used >= limit:
            return False
        self.used += 1
        self.opening += 1
        self.opening_budget.take()
        return True

    def _close_oldest(self) -> None:
        connection, _ = self.idle.popleft()
        connection.close()
        self.used -= 1

    def _release_reservation(self) -> None:
        self.used -= 1
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        """Give idle connections to waiting statements, or turns to open one."""
        while self.waiting:
            waiter = self.waiting[0]
            if not waiter.ready.done():
                connection = self._acquire_idle(waiter.organisation, {})
                if connection is None and not self._reserve():
                    self._serve_from_idle()
                    self._ensure_growth()
                    return
                waiter.ready.set_result(connection)
            self.waiting.popleft()

    def _serve_from_idle(self) -> None:
        """Give idle connections to statements behind one that has to wait."""
        organisations = {connection.organisation for connection, _ in self.idle}
        for waiter in list(self.waiting) if organisations else ():
            if waiter.organisation in organisations and not waiter.ready.done():
                connection = self._acquire_idle(waiter.organisation, {})
                if connection is not None:
                    self.waiting.remove(waiter)
                    waiter.ready.set_result(connection)

    def _fail_waiting(self, message: str) -> None:
        """Fail the statements that wait for a connection, as not run."""
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.ready.done():
                waiter.ready.set_exception(self._failed(message))

    def _grow(self) -> None:
        """Try more connections once time has allowed them."""
        self.growth = None
        self._serve_waiting()

    def _ensure_growth(self) -> None:
        """Have the turns checked again while statements wait for time to pass."""
        interval_s = self.cap.growth_interval_s if self.cap.is_reduced else math.inf
        delay_s = min(interval_s, self.opening_budget.wait_s or math.inf)
        if not self.waiting or self.is_closed or math.isinf(delay_s):
            return
        loop = asyncio.get_running_loop()
        if self.growth is not None:
            if self.growth.when() <= loop.time() + delay_s:
                return
            self.growth.cancel()
        self.growth = loop.call_later(delay_s, self._grow)

    def _cancel_wait(self, waiter: ConnectionWaiter) -> None:
        if waiter in self.waiting:
            self.waiting.remove(waiter)
        elif waiter.ready.done() and not waiter.ready.cancelled():
            if waiter.ready.exception() is not None:
                return
            connection = waiter.ready.result()
            if connection is None:
                self.opening -= 1
                self._release_reservation()
            else:
                self.release(connection)

    async def _open(
        self, organisation: OrganisationId, deadline_s: float
    ) -> PooledConnection:
        """Open a connection for a reservation; an error releases the reservation."""
        started_at_s = self.clock.now_s()
        remaining_s = deadline_s - started_at_s
        try:
            async with asyncio.timeout(min(remaining_s, OPEN_TIMEOUT_S)):
                connection = await self.connector.open(self.entry, organisation)
        except BaseException as error:
            self.opening -= 1
            self._record_open_failure(error, remaining_s, started_at_s)
            self._release_reservation()
            if isinstance(error, TimeoutError):
                raise self._failed("the connection did not open in time") from None
            raise
        self.opening -= 1
        self.health.mark_reachable()
        self.cap.record_opened(self.used - self.opening)
        self._serve_waiting()
        return connection

    def _record_open_failure(
        self, error: BaseException, remaining_s: float, started_at_s: float
    ) -> None:
        is_refused = (
            isinstance(error, EndpointError) and error.code is ErrorCode.OVERLOADED
        )
        if is_refused:
            # The reservation of this attempt isn't released yet.
            self.cap.record_refused(self.used - self.opening - 1)
            self._ensure_growth()
        elif isinstance(error, EndpointError) or (
            isinstance(error, TimeoutError) and remaining_s >= OPEN_TIMEOUT_S
        ):
            self.health.mark_unreachable()
            # One attempt may be lost while the other connections work.
            is_silent = self.health.last_answer_at_s <= started_at_s
            if isinstance(error, EndpointGoneError) or (
                isinstance(error, TimeoutError) and is_silent
            ):
                # Otherwise each would wait for its own timeout, a few at a time.
                self._fail_waiting("the endpoint can't be reached")

    def _failed(self, message: str) -> EndpointError:
        return EndpointError(
            code=ErrorCode.CONNECT_FAILED,
            step=Step.CONNECT,
            peer=self.entry.id,
            message=message,
            outcome=Outcome.NOT_RUN,
        )


class PoolSet:
    """Pools of all endpoints, updated with the cluster view.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints, VMs and services.
    connector : EndpointConnector
        Opens connections.
    clock : Clock
        Clock of the pools.
    make_forwarding_pool : callable, optional
        Returns the pool of an endpoint that another VM owns.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        connector: EndpointConnector,
        clock: Clock,
        make_forwarding_pool: Callable[[EndpointEntry, Owner], EndpointConnectionPool]
        | None = None,
    ) -> None:
        self.cluster = cluster
        self.connector = connector
        self.clock = clock
        self.make_forwarding_pool = make_forwarding_pool
        self.pools: dict[EndpointId, EndpointConnectionPool] = {}
        # Address, start time and owner that each pool was made for.
        self.pool_keys: dict[EndpointId, tuple] = {}
        cluster.listeners.append(self.update)

    def update(self) -> None:
        """Apply a change of the cluster view."""
        for entry in self.cluster.endpoints.values():
            self._update_entry(entry)
        for endpoint in set(self.pools) - set(self.cluster.endpoints):
            logging.info("[pool] Endpoint is no longer listed. endpoint=%s", endpoint)
            self.pools.pop(endpoint).close()

    def close(self) -> None:
        """Close all pools."""
        for pool in self.pools.values():
            pool.close()

    def _update_entry(self, entry: EndpointEntry) -> None:
        owner = self.cluster.owners.get(entry.id)
        if owner is not None and owner.vm == self.cluster.vm:
            owner = None
        # The same id after a restart is another process with an empty state.
        key = (entry.address, entry.process_started_at_ms, owner)
        pool = self.pools.get(entry.id)
        if pool is None or self.pool_keys[entry.id] != key:
            if pool is not None:
                pool.close()
            pool = self._open(entry, owner)
            self.pools[entry.id] = pool
            self.pool_keys[entry.id] = key
        pool.entry = entry
        catalog = self.cluster.catalog
        service = catalog.services.get(entry.service) if catalog else None
        if service is not None and isinstance(pool, DirectPool):
            limit = connection_limit(self.cluster, service, entry)
            usable = max(service.max_connections * POOLED_FRACTION, 1)
            pool.set_limit(limit, share=min(limit / usable, 1.0))

    def _open(
        self, entry: EndpointEntry, owner: Owner | None
    ) -> EndpointConnectionPool:
        if owner is not None and self.make_forwarding_pool is not None:
            return self.make_forwarding_pool(entry, owner)
        return DirectPool(
            entry=entry,
            connector=self.connector,
            clock=self.clock,
            limit=MIN_CONNECTIONS,
        )

    def get(self, endpoint: EndpointId) -> EndpointConnectionPool:
        """Return the pool of a listed endpoint."""
        return self.pools[endpoint]
