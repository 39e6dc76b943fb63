"""Faults of a soak test that begin with a failover, or change what it may rely on."""

import asyncio
from contextlib import ExitStack
from random import Random

from soak.fault_group import FaultGroup, silenced
from soak.fleet import SoakFleet
from soak.proxy import Mode
from standins.object_store import Outage
from standins.statement_database import Database, DatabaseService

# Time for which a primary is dark, in seconds: VMs take some seconds to replace it.
DARK_S = (2.0, 8.0)
# Bounds of the time between faults that begin together, in seconds.
START_GAPS_S = (0.005, 0.05, 0.3)
# Time for which a database that joins isn't registered, in seconds.
REGISTRATION_S = (0.0, 2.0)
# Time that a promotion takes, in seconds; the platform takes up to 1 s.
SLOW_PROMOTION_S = (0.5, 1.0)


class FailoverFaults(FaultGroup):
    """Faults around the replacement of a primary."""

    def __init__(self, *, fleet: SoakFleet, random: Random) -> None:
        super().__init__(fleet=fleet, random=random)
        self.kinds = [
            self.dark_primary,
            self.reports_cut,
            self.restart_in_failover,
            self.join_in_failover,
            self.join_cut_primary,
            self.lost_promotion_answers,
            self.slow_promotion,
            self.zone_partition,
            self.lapse_in_outage,
        ]

    async def dark_primary(self) -> None:
        """Make a primary dark to all VMs, or its answers only, beside other faults.

        One replica is busy, silent to some VMs or unlisted meanwhile, and the others
        may be cut from the primary. All this begins at nearly the same time, in any
        order, so that commits under way reach some of the replicas only.
        """
        service = self.random_service()
        primary = self.primary(service)
        replicas = self.replicas(service)
        if primary is None or not replicas:
            return
        with ExitStack() as stack:
            steps = [
                lambda: stack.enter_context(self._dark(primary)),
                lambda: self._hide(stack, replicas[0]),
            ]
            if self.random.random() < 0.7:
                others = [d.name for d in replicas[1:]]
                steps.append(lambda: self._cut_off(stack, service, primary, others))
            max_gap_s = self.random.choice(START_GAPS_S)
            for step in self.random.sample(steps, len(steps)):
                step()
                await self.wait(0.0, max_gap_s)
            await self.wait(*DARK_S)

    async def reports_cut(self) -> None:
        """Cut the other VMs' connections to the leader; all else passes."""
        leader = self.fleet.leader()
        if leader is None:
            return
        links = [
            vm.proxy.link(leader.peer_address)
            for vm in self.random_vms()
            if vm is not leader
        ]
        with silenced(links, self.random.choice([Mode.BLACKHOLE, Mode.ONE_WAY])):
            await self.wait(*DARK_S)

    async def restart_in_failover(self) -> None:
        """Restart a paused replica within a second; its pause is lost."""
        service = self.random_service()
        with ExitStack() as stack:
            if await self._begin_failover(service, stack):
                paused = [d for d in self.replicas(service) if d.is_paused]
                if paused and await self.end_for_a_moment(service, paused[0]):
                    await paused[0].start()
            await self.wait()

    async def join_in_failover(self) -> None:
        """Let a database join while the replicas are paused, registered or not yet."""
        service = self.random_service()
        with ExitStack() as stack:
            if await self._begin_failover(service, stack):
                await self._join(service)
            await self.wait()

    async def join_cut_primary(self) -> None:
        """Let a database join a primary that is cut from the others, unregistered."""
        service = self.random_service()
        primary = self.primary(service)
        if primary is None:
            return
        async with asyncio.TaskGroup() as group:
            group.create_task(self.cut(service, primary.name))
            await self.wait(0.0, 1.0)
            group.create_task(self._join(service))

    async def lost_promotion_answers(self) -> None:
        """Lose the answers to promotion calls that take effect."""
        self.fleet.platform.lost_promotion_answers = self.random.randint(1, 2)

    async def slow_promotion(self) -> None:
        """Let promotions take effect up to a second late."""
        service = self.random_service()
        usual_s = service.promote_s
        service.promote_s = self.random.uniform(*SLOW_PROMOTION_S)
        await self.wait(*DARK_S)
        service.promote_s = usual_s

    async def zone_partition(self) -> None:
        """Cut the databases and VMs of one zone from the others, at times the store."""
        zone = self.random.choice([vm.zone for vm in self.fleet.vms])
        vms, services = self.fleet.vms, self.fleet.platform.services
        links = [
            vm.proxy.link(other.peer_address)
            for vm in vms
            for other in vms
            if (vm.zone == zone) != (other.zone == zone)
        ]
        if self.random.random() < 0.5:
            links += [vm.store_proxy for vm in vms if vm.zone == zone]
        with ExitStack() as stack:
            for service in services:
                inside = [n for n in service.databases if service.zones[n] == zone]
                outside = [n for n in service.databases if n not in inside]
                for name in inside:
                    self._cut_off(stack, service, service.databases[name], outside)
                links += [
                    self.fleet.link(vm, service.databases[name])
                    for vm in vms
                    for name in (outside if vm.zone == zone else inside)
                ]
            stack.enter_context(silenced(links))
            await self.wait(*DARK_S)

    async def lapse_in_outage(self) -> None:
        """Let entries of running databases expire while the store is down."""
        platform = self.fleet.platform
        databases = [d for s in platform.services for d in s.databases.values()]
        lapsed = self.random.sample(databases, self.random.randint(1, len(databases)))
        platform.store.outage = Outage.UNAVAILABLE
        for database in lapsed:
            database.is_unlisted = True
        await self.wait()
        platform.store.outage = Outage.NONE
        await self.wait(*REGISTRATION_S)
        for database in lapsed:
            database.is_unlisted = False

    @staticmethod
    def _cut_off(
        stack: ExitStack, service: DatabaseService, primary: Database, names: list[str]
    ) -> None:
        """Cut databases from the primary until a stack ends."""
        cuts = {frozenset({primary.name, name}) for name in names}
        service.cuts |= cuts
        stack.callback(service.cuts.difference_update, cuts)

    def _dark(self, primary: Database):
        """Return the context in which VMs get no answer of a database."""
        mode = self.random.choice([Mode.BLACKHOLE, Mode.ONE_WAY])
        return silenced([self.fleet.database_proxies[primary.name]], mode)

    def _hide(self, stack: ExitStack, replica: Database) -> None:
        """Hide a replica from failovers until a stack ends."""
        kind = self.random.choice(["is_busy", "is_unlisted", "silent"])
        if kind == "silent":
            links = [self.fleet.link(vm, replica) for vm in self.random_vms()]
            stack.enter_context(silenced(links))
        else:
            setattr(replica, kind, True)
            stack.callback(setattr, replica, kind, False)

    async def _begin_failover(self, service: DatabaseService, stack: ExitStack) -> bool:
        """Make the primary dark; return whether replicas were paused then."""
        primary = self.primary(service)
        if primary is None:
            return False
        stack.enter_context(self._dark(primary))
        return await self.wait_until(
            lambda: any(d.is_paused for d in service.databases.values())
        )

    async def _join(self, service: DatabaseService) -> None:
        """Let a database join that registers later."""
        near = self.random.choice([*service.databases])
        database = await self.fleet.add_database(service, near, is_unlisted=True)
        await self.wait(*REGISTRATION_S)
        database.is_unlisted = False
