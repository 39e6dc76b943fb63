"""What the groups of faults between databases have in common."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextlib import contextmanager
from random import Random

from soak.fleet import SoakFleet, SoakVm
from soak.proxy import FaultProxy, Mode
from standins.statement_database import Database, DatabaseService

MAX_CUT_S = 5.0
# Longest wait for a failover to begin, or for another leader, in seconds.
CONDITION_TIMEOUT_S = 8.0
# Time within which a restarted process is back, in seconds.
RESTART_S = (0.1, 0.9)


class FaultGroup:
    """Faults that are injected into one fleet.

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
        self.kinds: list[Callable[[], Awaitable[None]]] = []

    async def wait_until(self, condition: Callable[[], bool]) -> bool:
        """Wait until a condition holds; False if it doesn't within the timeout."""
        loop = asyncio.get_running_loop()
        end_at_s = loop.time() + CONDITION_TIMEOUT_S
        while not condition():
            if loop.time() > end_at_s:
                return False
            await asyncio.sleep(0.01)
        return True

    async def cut(
        self, service: DatabaseService, name: str, except_for: str = ""
    ) -> None:
        """Cut a database from the others that run now, except for one."""
        others = set(service.databases) - {name, except_for}
        cuts = {frozenset({name, other}) for other in others}
        service.cuts |= cuts
        await self.wait()
        service.cuts -= cuts

    def random_service(self) -> DatabaseService:
        """Return one of the services."""
        return self.random.choice(self.fleet.platform.services)

    def random_database(self) -> Database:
        """Return one of the databases."""
        return self.random.choice(list(self.random_service().databases.values()))

    def random_vms(self) -> list[SoakVm]:
        """Return some of the VMs, at least one."""
        count = self.random.randint(1, len(self.fleet.vms))
        return self.random.sample(self.fleet.vms, count)

    async def end_for_a_moment(
        self, service: DatabaseService, database: Database
    ) -> bool:
        """End a database's process for less than a second; False if it has left."""
        await database.stop()
        await self.wait(*RESTART_S)
        return service.databases.get(database.name) is database

    @staticmethod
    def primary(service: DatabaseService) -> Database | None:
        """Return the primary of a service."""
        return next((d for d in service.databases.values() if d.is_primary), None)

    def replicas(self, service: DatabaseService) -> list[Database]:
        """Return the running replicas of a service in a random order."""
        found = [
            d for d in service.databases.values() if not (d.is_primary or d.is_down)
        ]
        return self.random.sample(found, len(found))

    async def wait(self, min_s: float = 0.3, max_s: float = MAX_CUT_S) -> None:
        """Wait for a random time within bounds in seconds."""
        await asyncio.sleep(self.random.uniform(min_s, max_s))


@contextmanager
def silenced(links: Iterable[FaultProxy], mode: Mode = Mode.BLACKHOLE):
    """Block links while the context lasts."""
    links = list(links)
    for link in links:
        link.set_mode(mode)
    try:
        yield
    finally:
        for link in links:
            link.set_mode(Mode.PASS)
