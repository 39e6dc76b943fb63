"""Pools whose endpoint changes, or is probed."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.connection import EndpointConnector
from ebonyladder.sessions.connection_limit import connection_limit
from ebonyladder.sessions.pool import DirectPool, PoolSet
from ebonyladder.types import EndpointId, OrganisationId, ZoneId
from tests.fleet import run_virtual
from tests.session_fakes import FakeConnection, FakeEndpoint, Role, cluster, entry

ENDPOINT = EndpointId("primary")
DEADLINE_S = 4.0


class Connector(EndpointConnector):
    """Connector to an endpoint that accepts connections or has too many."""

    def __init__(self) -> None:
        self.is_full = False
        self.peer = FakeEndpoint("primary", role=Role.PRIMARY)

    async def open(self, entry, organisation):
        """Open a connection."""
        if self.is_full:
            raise EndpointError(
                code=ErrorCode.OVERLOADED, step=Step.CONNECT, outcome=Outcome.NOT_RUN
            )
        return FakeConnection(self.peer, organisation)


class TestChange:
    """Guards against statements that wait for a change that nobody tells them of."""

    @pytest.fixture(autouse=True)
    def pools(self):
        self.clock = ManualClock()
        self.cluster = cluster(self.clock)
        self.connector = Connector()
        self.pools = PoolSet(
            cluster=self.cluster, connector=self.connector, clock=self.clock
        )

    def acquire(self) -> asyncio.Task:
        """Acquire a connection in a task."""
        pool = self.pools.get(ENDPOINT)
        deadline_s = self.clock.now_s() + DEADLINE_S
        acquired = pool.acquire(OrganisationId("a"), {}, deadline_s)
        return asyncio.create_task(acquired)

    @pytest.mark.parametrize("is_full", [True, False])
    def test_statements_of_a_departed_endpoint_fail_at_once(self, is_full):
        # They once waited for their deadlines, since nothing tried a closed pool again.
        async def wait_and_remove() -> float:
            self.pools.update()
            held = [await self.acquire() for _ in range(28 * (not is_full) // 2)]
            self.connector.is_full = is_full
            waiting = [self.acquire() for _ in range(3 if is_full else 20)]
            await asyncio.sleep(0.01)
            self.connector.is_full = True
            del self.cluster.endpoints[ENDPOINT]
            removed_at_s = self.clock.now_s()
            self.pools.update()
            errors = await asyncio.gather(*waiting, return_exceptions=True)
            ended = [e for e in errors if isinstance(e, EndpointError)]
            assert len(ended) >= 3
            assert {error.outcome for error in ended} == {Outcome.NOT_RUN}
            assert not held or all(connection.is_open for connection in held)
            return self.clock.now_s() - removed_at_s

        assert run_virtual(wait_and_remove(), self.clock) < 0.1

    def test_statements_use_a_raised_limit_at_once(self):
        # They once waited until a connection was released.
        async def wait_and_raise() -> float:
            self.cluster.fleet[ZoneId("a")] = 13
            self.pools.update()
            catalog, entry = self.cluster.catalog, self.cluster.endpoints[ENDPOINT]
            service = catalog.services[entry.service]
            limit = connection_limit(self.cluster, service, entry)
            held = [await self.acquire() for _ in range(limit)]
            waiting = self.acquire()
            await asyncio.sleep(0.1)
            assert not waiting.done()
            self.cluster.fleet[ZoneId("a")] = 1
            raised_at_s = self.clock.now_s()
            self.pools.update()
            assert await waiting not in held
            return self.clock.now_s() - raised_at_s

        assert run_virtual(wait_and_raise(), self.clock) < 0.1


class TestProbe:
    """Guards against busy endpoints that count as unreachable.

    A busy primary was used by no VM that had lost one connection to it, and replaced
    if most VMs had.
    """

    @pytest.fixture(autouse=True)
    def pool(self):
        self.clock = ManualClock()
        self.connector = Connector()
        self.pool = DirectPool(
            entry=entry("primary"),
            connector=self.connector,
            clock=self.clock,
            limit=3,
        )

    def probe(self) -> bool:
        """Return whether the endpoint seems to be reachable."""
        return run_virtual(self.pool.probe(), self.clock)

    def test_endpoint_without_a_free_slot_is_reachable(self):
        self.connector.peer.busy_calls = 1
        assert self.probe()

    def test_endpoint_with_too_many_connections_is_reachable(self):
        self.connector.is_full = True
        assert self.probe()

    @pytest.mark.parametrize("fault", ["drops_connections", "is_unresponsive"])
    def test_endpoint_that_fails_is_not(self, fault):
        setattr(self.connector.peer, fault, True)
        assert not self.probe()
