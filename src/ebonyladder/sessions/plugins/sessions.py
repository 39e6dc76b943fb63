"""Plug-in that opens sessions for the front ends."""

import asyncio
import itertools
from abc import ABC, abstractmethod

from absl import logging

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.metrics import Metrics
from ebonyladder.sessions.catalog import CallerKey, DatabaseName
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry, Owner
from ebonyladder.sessions.command import Answer
from ebonyladder.sessions.connection import EndpointConnector
from ebonyladder.sessions.endpoint_selector import EndpointSelector
from ebonyladder.sessions.executor import Executor
from ebonyladder.sessions.forwarding_pool import ForwardingPool, OwnerChannels
from ebonyladder.sessions.pool import EndpointConnectionPool, PoolSet
from ebonyladder.sessions.primary_positions import PrimaryPositions
from ebonyladder.sessions.quota import Quota
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.replica_check import ReplicaCheck
from ebonyladder.sessions.session import Session, SessionId, authorize

# Interval at which suspected endpoints are probed and idle connections trimmed, in
# seconds.
MAINTENANCE_INTERVAL_S = 0.25
# A leaving primary is used until this long before its drain ends, in seconds: the list
# of endpoints arrives late, and a statement waits for a connection.
LEAVING_MARGIN_S = 2.0


class SessionFactory(ABC):
    """Opens sessions, for any front end.

    Attributes
    ----------
    pools : PoolSet
        Connections to endpoints, with the endpoints' health.
    executor : Executor
        Runs statements.
    """

    pools: PoolSet
    executor: Executor

    @abstractmethod
    def open(self, database: DatabaseName, key: CallerKey) -> Session | Answer:
        """Return a new session, or why it is refused."""


@register
class SessionsPlugin(Plugin, SessionFactory):
    """Holds the executor and the pools, which the sessions of this VM share."""

    name = "sessions"
    provides = (SessionFactory,)
    requires = (ClusterView, EndpointConnector, Quota, Metrics)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.session_numbers = itertools.count(1)

    async def start(self) -> None:
        """Create the executor and the pools, and start their maintenance."""
        clock = self.kernel.clock
        self.cluster = self.kernel.get(ClusterView)
        self.quota = self.kernel.get(Quota)
        self.connector = self.kernel.get(EndpointConnector)
        positions = PrimaryPositions(clock=clock)
        self.channels = OwnerChannels()
        self.pools = PoolSet(
            cluster=self.cluster,
            connector=self.connector,
            clock=clock,
            make_forwarding_pool=self._make_forwarding_pool,
        )
        self.replica_check = ReplicaCheck(
            cluster=self.cluster, connector=self.connector
        )
        self.selector = EndpointSelector(
            cluster=self.cluster,
            positions=positions,
            pools=self.pools,
            leaving_use_s=self._leaving_use_s(),
        )
        self.executor = Executor(
            cluster=self.cluster,
            selector=self.selector,
            pools=self.pools,
            positions=positions,
            replica_check=self.replica_check,
            metrics=self.kernel.get(Metrics),
            clock=clock,
        )
        self.kernel.supervise(self._maintain_pools, name="pool-maintenance")

    def reload(self) -> None:
        """Apply a changed time of drains."""
        self.selector.leaving_use_s = self._leaving_use_s()

    def _leaving_use_s(self) -> float:
        drain_s = self.kernel.settings.drain_s
        return max(drain_s - LEAVING_MARGIN_S, drain_s / 2)

    async def stop(self) -> None:
        """Close the connections to endpoints and the channels to owners."""
        self.replica_check.close()
        self.pools.close()
        self.channels.close()

    def open(self, database: DatabaseName, key: CallerKey) -> Session | Answer:
        """Return a new session, or why it is refused."""
        authorized = authorize(self.cluster, database, key)
        if isinstance(authorized, Answer):
            return authorized
        return Session(
            id=SessionId(f"{self.kernel.settings.vm}-{next(self.session_numbers)}"),
            database=database,
            key=key,
            cluster=self.cluster,
            executor=self.executor,
            quota=self.quota,
        )

    async def _maintain_pools(self) -> None:
        """Close idle connections, and probe the suspected endpoints."""
        while True:
            pools = list(self.pools.pools.values())
            for pool in pools:
                pool.trim()
            suspects = [p for p in pools if p.health.is_suspect]
            await asyncio.gather(*(self._probe(p) for p in suspects))
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    async def _probe(self, pool: EndpointConnectionPool) -> None:
        if not await pool.probe():
            pool.health.mark_unreachable()
            return
        logging.info("[sessions] Endpoint answers again. endpoint=%s", pool.entry.id)
        pool.health.mark_reachable()

    def _make_forwarding_pool(
        self, entry: EndpointEntry, owner: Owner
    ) -> EndpointConnectionPool:
        return ForwardingPool(
            entry=entry,
            owner=owner,
            channel=self.channels.get(owner),
            clock=self.kernel.clock,
        )
