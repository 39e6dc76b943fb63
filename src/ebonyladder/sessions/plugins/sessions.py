"""Plug-in that opens sessions for the front ends."""

import asyncio
import itertools
from abc import ABC, abstractmethod

from absl import logging

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.catalog import CallerKey, DatabaseName
from ebonyladder.sessions.command import Answer
from ebonyladder.sessions.executor import Executor
from ebonyladder.sessions.freshness import Freshness
from ebonyladder.sessions.link import EndpointDriver
from ebonyladder.sessions.owner_link import Channels, OwnerPool
from ebonyladder.sessions.placement import Placement
from ebonyladder.sessions.pool import LinkPool, Pools
from ebonyladder.sessions.quota import Quota
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.roster import EndpointEntry, Owner, Roster
from ebonyladder.sessions.session import Session, SessionId, authorize

# Pause between looks at suspected endpoints and idle links, in seconds.
CARE_PERIOD_S = 0.25


class SessionHost(ABC):
    """Opens sessions, for any front end.

    Attributes
    ----------
    pools : Pools
        Links to endpoints, with their health.
    executor : Executor
        Runs statements.
    """

    pools: Pools
    executor: Executor

    @abstractmethod
    def open(self, database: DatabaseName, key: CallerKey) -> Session | Answer:
        """Return a new session, or the refusal."""


@register
class SessionsPlugin(Plugin, SessionHost):
    """Holds what the sessions of this VM share."""

    name = "sessions"
    provides = (SessionHost,)
    requires = (Roster, EndpointDriver, Quota)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.numbers = itertools.count(1)

    async def start(self) -> None:
        """Compose the executor."""
        clock = self.kernel.clock
        self.roster = self.kernel.get(Roster)
        self.quota = self.kernel.get(Quota)
        self.driver = self.kernel.get(EndpointDriver)
        freshness = Freshness(clock=clock)
        self.channels = Channels()
        self.pools = Pools(
            roster=self.roster,
            driver=self.driver,
            clock=clock,
            open_owned=self._open_owned,
        )
        self.executor = Executor(
            roster=self.roster,
            placement=Placement(
                roster=self.roster, freshness=freshness, pools=self.pools
            ),
            pools=self.pools,
            freshness=freshness,
            clock=clock,
        )
        self.kernel.spawn(self._care(), name="endpoint-care")

    async def stop(self) -> None:
        """Close the channels to owners."""
        self.channels.close()

    def open(self, database: DatabaseName, key: CallerKey) -> Session | Answer:
        """Return a new session, or the refusal."""
        access = authorize(self.roster, database, key)
        if isinstance(access, Answer):
            return access
        return Session(
            id=SessionId(f"{self.kernel.settings.vm}-{next(self.numbers)}"),
            database=database,
            key=key,
            roster=self.roster,
            executor=self.executor,
            quota=self.quota,
        )

    async def _care(self) -> None:
        """Close idle links, and ask suspected endpoints whether they are back."""
        while True:
            pools = list(self.pools.pools.values())
            for pool in pools:
                pool.trim()
            suspects = [p for p in pools if p.health.is_suspect]
            await asyncio.gather(*(self._ask(p) for p in suspects))
            await asyncio.sleep(CARE_PERIOD_S)

    async def _ask(self, pool: LinkPool) -> None:
        if not await pool.probe():
            pool.health.unreachable()
            return
        logging.info("[sessions] Endpoint answers again. endpoint=%s", pool.entry.id)
        pool.health.reachable()

    def _open_owned(self, entry: EndpointEntry, owner: Owner) -> LinkPool:
        return OwnerPool(
            entry=entry,
            owner=owner,
            channel=self.channels.get(owner),
            clock=self.kernel.clock,
        )
