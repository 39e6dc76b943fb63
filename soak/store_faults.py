"""Returns of the store to an older copy, alone and beside other faults."""

import asyncio
import signal
from random import Random

from soak.fault_group import FaultGroup
from soak.fleet import SoakFleet, SoakVm
from standins.object_store import StoreCopy

# Age of the copy, time for which the store is away, and time until the operator and the
# databases have written again, in seconds.
COPY_AGE_S = (0.5, 4.0)
AWAY_S = (0.0, 0.5)
REWRITE_S = (0.0, 0.5)
# Time for which a VM is paused around a return, in seconds.
PAUSE_S = (0.5, 8.0)
# Time between two returns in a row, in seconds.
BETWEEN_S = (0.0, 3.0)
FIRST_ERA = "1"


class StoreFaults(FaultGroup):
    """Returns of the store; one at a time, since a copy is of one store."""

    def __init__(self, *, fleet: SoakFleet, random: Random) -> None:
        super().__init__(fleet=fleet, random=random)
        self.returning = asyncio.Lock()
        self.kinds = [
            self.store_return,
            self.store_returns,
            self.return_without_leader,
            self.return_after_restart,
            self.return_around_failover,
            self.return_without_vms,
            self.return_with_paused_vms,
            self.return_with_crashes,
        ]

    async def store_return(self) -> None:
        """Let the store come back from a copy some seconds old."""
        async with self.returning:
            await self._come_back(await self._copy())

    async def store_returns(self) -> None:
        """Let the store come back twice, from the same copy or from a newer one."""
        async with self.returning:
            older = await self._copy()
            await self._come_back(older)
            if self.random.random() < 0.5:
                older = self._take_copy()
            await self.wait(*BETWEEN_S)
            await self._come_back(older)

    async def return_without_leader(self) -> None:
        """Kill the leader around a return."""
        async with self.returning:
            older = await self._copy()
            leader = self._leader()
            await self._beside(older, leader.kill_and_restart())

    async def return_after_restart(self) -> None:
        """Restart the leader as planned after the copy was made."""
        async with self.returning:
            older = self._take_copy()
            leader = self._leader()
            leader.send(signal.SIGTERM)
            await leader.restart()
            await self.wait(*COPY_AGE_S)
            await self._come_back(older)

    async def return_around_failover(self) -> None:
        """Crash a primary before, during or after a return; it keeps its log."""
        async with self.returning:
            older = await self._copy()
            await self._beside(older, self._crash(1))

    async def return_with_crashes(self) -> None:
        """Kill the leader, and crash the primary and a replica, around a return."""
        async with self.returning:
            older = self._take_copy()
            await self._crash(1)
            leader = self._leader()
            await self._beside(older, leader.kill_and_restart(), self._crash(2))

    async def return_without_vms(self) -> None:
        """Replace all processes around a return, so that none knows what was lost."""
        async with self.returning:
            older = await self._copy()
            await self._beside(older, *(vm.kill_and_restart() for vm in self.fleet.vms))

    async def return_with_paused_vms(self) -> None:
        """Pause some VMs, at times the leader, around a return."""
        async with self.returning:
            older = await self._copy()
            vms = {self._leader(), *self.random_vms()}
            await self._beside(older, *(self._pause(vm) for vm in vms))

    def _take_copy(self) -> StoreCopy:
        return self.fleet.platform.store.take_copy()

    async def _copy(self) -> StoreCopy:
        """Take a copy; return it some seconds later."""
        older = self._take_copy()
        await self.wait(*COPY_AGE_S)
        return older

    async def _come_back(self, older: StoreCopy) -> None:
        await self.fleet.platform.store.come_back(
            older,
            away_s=self.random.uniform(*AWAY_S),
            rewrite_s=self.random.uniform(*REWRITE_S),
        )

    async def _beside(self, older: StoreCopy, *faults) -> None:
        """Let the store come back while faults begin at nearly the same time."""
        async with asyncio.TaskGroup() as group:
            for fault in self.random.sample(faults, len(faults)):
                group.create_task(self._later(fault))
            await self.wait(0.0, 1.0)
            await self._come_back(older)

    async def _later(self, fault) -> None:
        await self.wait(0.0, 1.5)
        await fault

    def _leader(self) -> SoakVm:
        return self.fleet.leader() or self.random.choice(self.fleet.vms)

    async def _pause(self, vm: SoakVm) -> None:
        vm.send(signal.SIGSTOP)
        await self.wait(*PAUSE_S)
        vm.send(signal.SIGCONT)

    async def _crash(self, count: int) -> None:
        """Crash the primary and, for two, a replica; restart them with their logs."""
        service = self.random_service()
        primary = self.primary(service)
        if primary is None or any(d.is_down for d in service.databases.values()):
            return
        crashed = [primary, *self.replicas(service)][:count]
        await asyncio.gather(*(database.stop() for database in crashed))
        await self.wait(2.0, 6.0)
        for database in crashed:
            if service.databases.get(database.name) is database:
                await database.start()
