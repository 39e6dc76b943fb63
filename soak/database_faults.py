"""Faults of a soak test between the databases of a service, and their replacement."""

import asyncio
import itertools
import time
from collections.abc import Awaitable, Callable
from random import Random

from soak.fleet import SoakFleet
from soak.proxy import Mode
from standins.statement_database import Database, DatabaseService

MAX_CUT_S = 5.0
# Longest wait for a failover to begin, or for another leader, in seconds.
CONDITION_TIMEOUT_S = 8.0
# Time from the report that a database leaves until it ends, in seconds.
DRAIN_S = (5.0, 8.0)


class DatabaseFaults:
    """Injects faults into the databases of a fleet.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet into which the faults are injected.
    random : Random
        Source of targets and times.

    Attributes
    ----------
    kinds : list of callable
        Faults; each returns once it has ended.
    """

    def __init__(self, *, fleet: SoakFleet, random: Random) -> None:
        self.fleet = fleet
        self.random = random
        self.numbers = itertools.count(1)
        self.kinds: list[Callable[[], Awaitable[None]]] = [
            self.release,
            self.release_primary,
            self.deaf_replica,
            self.primary_cut,
            self.release_in_cut,
            self.late_promotion,
        ]

    async def release(self) -> None:
        """Replace a database: the new one starts first, the old one drains."""
        service = self._random_service()
        await self._release(service, self.random.choice(list(service.databases)))

    async def release_primary(self) -> None:
        """Replace the primary of a service."""
        service = self._random_service()
        primary = self._primary(service)
        if primary is not None:
            await self._release(service, primary.name)

    async def deaf_replica(self) -> None:
        """Let a replica receive nothing for a while."""
        database = self.random.choice(list(self._random_service().databases.values()))
        database.is_replication_blocked = True
        await self._wait()
        database.is_replication_blocked = False

    async def primary_cut(self) -> None:
        """Cut a primary from the other databases that run."""
        service = self._random_service()
        primary = self._primary(service)
        if primary is not None:
            await self._cut(service, primary.name)

    async def release_in_cut(self) -> None:
        """Replace a replica while the primary is cut from the others."""
        service = self._random_service()
        primary = self._primary(service)
        replicas = [n for n, d in service.databases.items() if d is not primary]
        if primary is None or not replicas:
            return
        leaving = self.random.choice(replicas)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._release(service, leaving))
            await asyncio.sleep(self.random.uniform(DRAIN_S[0] - 2.0, DRAIN_S[1]))
            group.create_task(self._cut(service, primary.name, except_for=leaving))

    async def late_promotion(self) -> None:
        """Hold up a promotion call, kill its sender, and let the call go on later."""
        vm = self.fleet.leader()
        service = self._random_service()
        primary = self._primary(service)
        if vm is None or primary is None:
            return
        vm.promotion_proxy.set_mode(Mode.BLACKHOLE)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._release(service, primary.name))
            if await self._wait_until(lambda: vm.promotion_proxy.is_holding):
                await vm.kill_and_restart()
                calls = self._calls(service)
                await self._wait_until(lambda: self._calls(service) > calls)
            vm.promotion_proxy.set_mode(Mode.PASS)

    def _calls(self, service: DatabaseService) -> int:
        """Return the number of promotion calls for a service."""
        names = [name for name, _, _ in self.fleet.platform.promotion_calls]
        return names.count(service.name)

    @staticmethod
    async def _wait_until(condition: Callable[[], bool]) -> bool:
        """Wait until a condition holds; False if it doesn't within the timeout."""
        loop = asyncio.get_running_loop()
        end_at_s = loop.time() + CONDITION_TIMEOUT_S
        while not condition():
            if loop.time() > end_at_s:
                return False
            await asyncio.sleep(0.01)
        return True

    async def _cut(
        self, service: DatabaseService, name: str, except_for: str = ""
    ) -> None:
        others = set(service.databases) - {name, except_for}
        cuts = {frozenset({name, other}) for other in others}
        service.cuts |= cuts
        await self._wait()
        service.cuts -= cuts

    async def _release(self, service: DatabaseService, name: str) -> None:
        leaving = service.databases[name]
        if leaving.is_leaving or leaving.is_down:
            return
        leaving.is_leaving = True
        new = await service.add(
            f"{name.partition('.')[0]}.{next(self.numbers)}",
            service.zones[name],
            started_at_ms=time.time_ns() // 1_000_000,
        )
        await self.fleet.add_proxy(new)
        self.fleet.platform.beat(service, name)
        await asyncio.sleep(self.random.uniform(*DRAIN_S))
        # Its log is transferred to the new database at its address.
        if leaving.position > new.position:
            new.log = list(leaving.log)
        await service.remove(name)
        self.fleet.platform.withdraw(name)

    def _random_service(self) -> DatabaseService:
        return self.random.choice(self.fleet.platform.services)

    @staticmethod
    def _primary(service: DatabaseService) -> Database | None:
        return next((d for d in service.databases.values() if d.is_primary), None)

    async def _wait(self) -> None:
        await asyncio.sleep(self.random.uniform(0.3, MAX_CUT_S))
