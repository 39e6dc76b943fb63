"""Faults of a soak, drawn from a seed; they come in series and overlap."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable

from soak.fleet import SoakFleet, SoakVm
from soak.proxy import Mode
from standins.object_store import Outage

FAULT_MOST_S = 3.0


class Faults:
    """Injects faults into a fleet until told to stop.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet to disturb.
    seed : int
        Seed of kinds, places and times.
    """

    def __init__(self, *, fleet: SoakFleet, seed: int) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.log: list[str] = []
        self.kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill,
            self.pause,
            self.terminate,
            self.reload,
            self.store_outage,
            self.store_link,
            self.lost_store_answers,
            self.compaction,
            self.database_crash,
            self.database_link,
            self.lost_answers,
            self.new_configuration,
        ]

    async def run(self, duration_s: float, mean_gap_s: float) -> None:
        """Start faults at random times; return once the last one has ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < end_s:
                await asyncio.sleep(self.random.expovariate(1 / mean_gap_s))
                kind = self.random.choice(self.kinds)
                self.log.append(kind.__name__)
                group.create_task(kind())

    async def kill(self) -> None:
        """Kill a daemon and start it again."""
        vm = self._vm()
        vm.send(signal.SIGKILL)
        await self._restart(vm)

    async def terminate(self) -> None:
        """Stop a daemon as planned, twice at times, and start it again."""
        vm = self._vm()
        vm.send(signal.SIGTERM)
        if self.random.random() < 0.3:
            await asyncio.sleep(0.3)
            vm.send(signal.SIGTERM)
        await self._restart(vm)

    async def pause(self) -> None:
        """Let a daemon stand still."""
        vm = self._vm()
        vm.send(signal.SIGSTOP)
        await self._last()
        vm.send(signal.SIGCONT)

    async def reload(self) -> None:
        """Tell a daemon that its settings have changed."""
        self._vm().send(signal.SIGHUP)

    async def store_outage(self) -> None:
        """Take the store away from all."""
        store = self.fleet.platform.store
        store.outage = self.random.choice([Outage.BUSY, Outage.MANY, Outage.SILENT])
        await self._last()
        store.outage = Outage.NONE

    async def store_link(self) -> None:
        """Disturb one daemon's way to the store."""
        await self._disturb(self._vm().store)

    async def lost_store_answers(self) -> None:
        """Lose the answers of some writes."""
        self.fleet.platform.store.lost_answers = self.random.randint(1, 3)

    async def compaction(self) -> None:
        """Forget the store's history, unheard by waiting watches at times."""
        self.fleet.platform.store.compact(is_silent=self.random.random() < 0.5)

    async def database_crash(self) -> None:
        """Crash a database; it comes back with its log."""
        databases = list(self.fleet.platform.service.databases.values())
        if any(d.is_down for d in databases):
            return
        database = self.random.choice(databases)
        await database.stop()
        await self._last()
        await database.start()

    async def database_link(self) -> None:
        """Disturb the ways of all daemons to one database."""
        await self._disturb(self.random.choice(list(self.fleet.databases.values())))

    async def lost_answers(self) -> None:
        """Lose the answers of statements that a database runs."""
        databases = list(self.fleet.platform.service.databases.values())
        self.random.choice(databases).lost_answers = self.random.randint(1, 3)

    async def new_configuration(self) -> None:
        """Write the next version of the configuration."""
        store = self.fleet.platform.store
        found = dict(store.objects["config"]["main"]["spec"])
        found["version"] += self.random.randint(1, 3)
        store.put("config", "main", found)

    def _vm(self) -> SoakVm:
        return self.random.choice(self.fleet.vms)

    async def _last(self) -> None:
        await asyncio.sleep(self.random.uniform(0.2, FAULT_MOST_S))

    async def _disturb(self, proxy) -> None:
        modes = [Mode.DELAY, Mode.SILENT, Mode.ONE_WAY, Mode.RESET]
        proxy.set_mode(self.random.choice(modes))
        await self._last()
        proxy.set_mode(Mode.PASS)

    async def _restart(self, vm: SoakVm) -> None:
        if vm.process is None:
            return
        process = vm.process
        vm.send(signal.SIGCONT)
        await process.wait()
        await asyncio.sleep(0.1)
        # Another fault may have started the next process meanwhile.
        if vm.process is process:
            await vm.start()
