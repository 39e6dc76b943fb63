"""Faults of a soak test between the databases of a service, and their replacement."""

import asyncio
import time
from random import Random

from soak.fault_group import MAX_CUT_S, FaultGroup, silenced
from soak.fleet import EXPIRY_S, SoakFleet
from soak.proxy import Mode
from standins.statement_database import DatabaseService

# Time from the report that a database leaves until it ends, in seconds.
DRAIN_S = (5.0, 8.0)
# Longest time until a restarted database registers, in seconds.
MAX_REGISTRATION_S = 2.0
# Longest interval at which a slow replica receives the log, in seconds.
MAX_INTERVAL_S = 0.2
# Time without registration, in seconds; a crashed database usually comes back sooner.
LONG_UNLISTED_S = (22.0, 25.0)


class DatabaseFaults(FaultGroup):
    """Faults of single databases, and their replacement."""

    def __init__(self, *, fleet: SoakFleet, random: Random) -> None:
        super().__init__(fleet=fleet, random=random)
        self.kinds = [
            self.release,
            self.release_primary,
            self.deaf_replica,
            self.primary_cut,
            self.release_in_cut,
            self.late_promotion,
            self.unlist,
            self.unlist_in_cut,
            self.unlist_for_long,
            self.silent_to_some,
            self.busy_database,
            self.restart_without_log,
            self.slow_replication,
        ]

    async def release(self) -> None:
        """Replace a database: the new one starts first, the old one drains."""
        service = self.random_service()
        await self._release(service, self.random.choice(list(service.databases)))

    async def release_primary(self) -> None:
        """Replace the primary of a service."""
        service = self.random_service()
        primary = self.primary(service)
        if primary is not None:
            await self._release(service, primary.name)

    async def deaf_replica(self) -> None:
        """Let a replica receive nothing for a while."""
        database = self.random_database()
        database.is_replication_blocked = True
        await self.wait()
        database.is_replication_blocked = False

    async def primary_cut(self) -> None:
        """Cut a primary from the other databases that run."""
        service = self.random_service()
        primary = self.primary(service)
        if primary is not None:
            await self.cut(service, primary.name)

    async def release_in_cut(self) -> None:
        """Replace a replica while the primary is cut from the others."""
        service = self.random_service()
        primary = self.primary(service)
        replicas = [n for n, d in service.databases.items() if d is not primary]
        if primary is None or not replicas:
            return
        leaving = self.random.choice(replicas)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._release(service, leaving))
            await asyncio.sleep(self.random.uniform(DRAIN_S[0] - 2.0, DRAIN_S[1]))
            group.create_task(self.cut(service, primary.name, except_for=leaving))

    async def late_promotion(self) -> None:
        """Hold up a promotion call, kill its sender, and let the call go on later."""
        vm = self.fleet.leader()
        service = self.random_service()
        primary = self.primary(service)
        if vm is None or primary is None:
            return
        vm.promotion_proxy.set_mode(Mode.BLACKHOLE)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._release(service, primary.name))
            if await self.wait_until(lambda: vm.promotion_proxy.is_holding):
                await vm.kill_and_restart()
                calls = self._calls(service)
                await self.wait_until(lambda: self._calls(service) > calls)
            vm.promotion_proxy.set_mode(Mode.PASS)

    def _calls(self, service: DatabaseService) -> int:
        """Return the number of promotion calls for a service."""
        names = [name for name, _, _ in self.fleet.platform.promotion_calls]
        return names.count(service.name)

    async def _release(self, service: DatabaseService, name: str) -> None:
        leaving = service.databases[name]
        if leaving.is_leaving or leaving.is_down:
            return
        leaving.is_leaving = True
        new = await self.fleet.add_database(service, name)
        self.fleet.platform.beat(service, name)
        await asyncio.sleep(self.random.uniform(*DRAIN_S))
        # Its log is transferred to the new database at its address.
        if leaving.position > new.position:
            new.log = list(leaving.log)
        await service.remove(name)
        # Nothing listens at its address any more.
        self.fleet.database_proxies[name].stop()
        self.fleet.platform.withdraw(name)

    async def unlist(self) -> None:
        """Let a running database lose its registration for a while."""
        await self._unlist(self.random_service())

    async def unlist_in_cut(self) -> None:
        """Let a replica lose its registration while it alone receives the log."""
        service = self.random_service()
        primary = self.primary(service)
        replicas = self.replicas(service)
        if primary is None or not replicas:
            return
        name = replicas[0].name
        async with asyncio.TaskGroup() as group:
            group.create_task(self._unlist(service, name))
            await self.wait(0.0, 2 * EXPIRY_S)
            await self.cut(service, primary.name, except_for=name)

    async def unlist_for_long(self) -> None:
        """Let a running database lose its registration for long, as if it were gone."""
        await self._unlist(self.random_service(), bounds_s=LONG_UNLISTED_S)

    async def _unlist(
        self,
        service: DatabaseService,
        name: str = "",
        bounds_s: tuple[float, float] = (EXPIRY_S, EXPIRY_S + MAX_CUT_S),
    ) -> None:
        database = service.databases[name or self.random.choice([*service.databases])]
        database.is_unlisted = True
        await self.wait(*bounds_s)
        database.is_unlisted = False

    async def silent_to_some(self) -> None:
        """Make a database silent to some VMs; the others and databases reach it."""
        database = self.random_database()
        links = [self.fleet.link(vm, database) for vm in self.random_vms()]
        mode = self.random.choice([Mode.BLACKHOLE, Mode.ONE_WAY])
        with silenced(links, mode):
            await self.wait()

    async def busy_database(self) -> None:
        """Let a database answer control calls with BUSY."""
        database = self.random_database()
        database.is_busy = True
        await self.wait()
        database.is_busy = False

    async def slow_replication(self) -> None:
        """Let each replica of a service receive the log at intervals of its own."""
        service = self.random_service()
        databases = list(service.databases.values())
        for database in databases:
            database.receive_interval_s = self.random.uniform(0.0, MAX_INTERVAL_S)
        await self.wait()
        for database in databases:
            database.receive_interval_s = 0.0

    async def restart_without_log(self) -> None:
        """Start a replica again under its id; it knows nothing of before.

        It registers later at times. A database that is being promoted keeps its log,
        since a promotion call names an id only.
        """
        service = self.random_service()
        replicas = self.replicas(service)
        if any(d.is_down for d in service.databases.values()) or not replicas:
            return
        database = replicas[0]
        has_process = await self.end_for_a_moment(service, database)
        if not has_process:
            return
        if self.fleet.successor(service) == database.process:
            await database.start()
            return
        database.is_unlisted = self.random.random() < 0.5
        await database.start_without_log(time.time_ns() // 1_000_000)
        await self.wait(0.0, MAX_REGISTRATION_S)
        database.is_unlisted = False
