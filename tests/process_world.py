"""Real daemons under load, whose history of commits and reads is checked."""

import asyncio
from contextlib import asynccontextmanager

from soak.clients import SoakClient
from soak.fleet import NOTICE_S, PROMOTE_S, SoakFleet, SoakVm
from soak.history import History
from soak.proxy import FaultProxy, Mode
from standins.statement_database import Database, DatabaseService
from tests.platform_fleet import until

# Time in which commits that are sent reach the primary, in seconds.
COMMIT_S = 0.3
# Attempts to begin while commits are under way.
MAX_ATTEMPTS = 10


class World:
    """Fleet under load, whose history is checked at the end."""

    def __init__(self, folder) -> None:
        self.fleet = SoakFleet(folder=folder, size=3)
        self.history = History()

    @property
    def service(self) -> DatabaseService:
        """Service on which the clients work."""
        return self.fleet.platform.service

    def calls(self) -> list[tuple[str, int]]:
        """Return holder and token of the promotion calls for the service."""
        return [
            (holder, token)
            for name, holder, token in self.fleet.platform.promotion_calls
            if name == self.service.name
        ]

    def primary(self) -> Database:
        """Return the primary of the service."""
        return next(d for d in self.service.databases.values() if d.is_primary)

    def replicas(self) -> list[Database]:
        """Return the replicas of the service."""
        return [d for d in self.service.databases.values() if not d.is_primary]

    def proxy(self, database: Database) -> FaultProxy:
        """Return the proxy between all VMs and a database."""
        return self.fleet.database_proxies[database.name]

    @asynccontextmanager
    async def untold_commits(self):
        """Hold up the primary's answers to commits that one replica alone received.

        Yields the primary and that replica; all faults are over at the end.
        """
        for _ in range(MAX_ATTEMPTS):
            primary, (holder, other) = self.primary(), self.replicas()
            acknowledged = len(self.service.acknowledgements)
            self.service.cuts.add(frozenset({primary.name, other.name}))
            self.proxy(primary).set_mode(Mode.ONE_WAY)
            await asyncio.sleep(COMMIT_S)
            if len(self.service.acknowledgements) > acknowledged:
                break
            await self.heal()
        else:
            raise AssertionError("no commits are under way")
        yield primary, holder
        await self.heal()

    async def heal(self) -> None:
        """End the partitions; wait until the service works and has one primary."""
        self.service.cuts.clear()
        for proxy in self.fleet.database_proxies.values():
            proxy.set_mode(Mode.PASS)
        for database in self.service.databases.values():
            database.is_replication_blocked = False
        await self.until_served()
        # A replaced primary goes on for this long after it reaches the new one.
        await asyncio.sleep(2 * NOTICE_S)

    async def until_failover_ended(self) -> None:
        """Wait until a failover has begun and ended, with or without a promotion.

        Either of these changes the epoch of the group state.
        """
        end_epoch = self.epoch() + 2
        await until(lambda: self.epoch() >= end_epoch, "a failover")
        await asyncio.sleep(2 * PROMOTE_S)

    def epoch(self) -> int:
        """Return the epoch of the service's group state in the store, 0 for none."""
        return self.fleet.group_state(self.service).get("epoch", 0)

    async def run(self, scenario) -> None:
        """Run a scenario while clients write."""
        await self.fleet.start()
        clients = [
            SoakClient(name=f"s0-k{i}", fleet=self.fleet, history=self.history, seed=i)
            for i in range(6)
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        try:
            await self.until_served()
            await scenario(self)
            await self.until_served()
        finally:
            for client in clients:
                client.is_stopping = True
            await asyncio.wait(tasks)
            self.history.check_end(self.fleet.platform)
            await self.fleet.stop()

    async def until_served(self) -> None:
        """Wait until writes succeed."""
        writes = self.history.counts["writes"] + 20
        await until(lambda: self.history.counts["writes"] >= writes, "writes")

    async def leader(self) -> SoakVm:
        """Return the leader."""
        await until(lambda: self.fleet.leader() is not None, "a leader")
        return self.fleet.leader()


def findings(scenario, folder) -> list[str]:
    """Return the findings of a scenario."""
    world = World(folder)
    asyncio.run(world.run(scenario))
    return world.history.findings
