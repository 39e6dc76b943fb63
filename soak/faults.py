"""Faults of a soak test, drawn from a seed; they follow each other and overlap."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Sequence

from soak.database_faults import DatabaseFaults
from soak.failover_faults import FailoverFaults
from soak.fleet import SoakFleet, SoakVm
from soak.history import History
from soak.proxy import Mode
from soak.statement_faults import StatementFaults
from soak.stop_faults import StopFaults
from soak.store_faults import FIRST_ERA, StoreFaults
from standins.object_store import Outage

MAX_FAULT_DURATION_S = 3.0
# A VM takes over from the leader after three seconds.
LEADER_PAUSE_S = (2.0, 6.0)


class Faults:
    """Injects random faults into a fleet for a given time.

    Parameters
    ----------
    fleet : SoakFleet
        Fleet into which the faults are injected.
    seed : int
        Seed of the faults' kinds, targets and times.
    history : History
        Records the statements of callers that a fault adds.
    kinds : sequence of str
        Names of the faults to draw from; all if it is empty.
    """

    def __init__(
        self,
        *,
        fleet: SoakFleet,
        seed: int,
        history: History,
        kinds: Sequence[str] = (),
    ) -> None:
        self.fleet = fleet
        self.random = random.Random(seed)
        self.log: list[str] = []
        store_faults = StoreFaults(fleet=fleet, random=self.random)
        self.kinds: list[Callable[[], Awaitable[None]]] = [
            self.kill,
            self.pause,
            self.terminate,
            self.reload,
            self.store_outage,
            self.store_network_fault,
            self.lost_store_answers,
            self.compaction,
            self.database_crash,
            self.database_network_fault,
            self.lost_answers,
            self.new_configuration,
            self.leader_pause,
            self.leader_kill,
            self.promotion_network_fault,
            *DatabaseFaults(fleet=fleet, random=self.random).kinds,
            *FailoverFaults(fleet=fleet, random=self.random).kinds,
            *StatementFaults(fleet=fleet, random=self.random, history=history).kinds,
            *StopFaults(fleet=fleet, random=self.random, history=history).kinds,
            *store_faults.kinds,
        ]
        if kinds:
            self.kinds = [kind for kind in self.kinds if kind.__name__ in kinds]
        if set(self.kinds) & set(store_faults.kinds):
            fleet.platform.store.era = FIRST_ERA

    async def run(self, duration_s: float, mean_gap_s: float) -> None:
        """Start faults at random times; return when the last one has ended."""
        loop = asyncio.get_running_loop()
        end_at_s = loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < end_at_s:
                await asyncio.sleep(self.random.expovariate(1 / mean_gap_s))
                kind = self.random.choice(self.kinds)
                self.log.append(kind.__name__)
                group.create_task(kind())

    async def kill(self) -> None:
        """Kill a daemon and start it again."""
        await self._random_vm().kill_and_restart()

    async def terminate(self) -> None:
        """Stop a daemon gracefully, at times with two signals, and start it again."""
        vm = self._random_vm()
        vm.send(signal.SIGTERM)
        if self.random.random() < 0.3:
            await asyncio.sleep(0.3)
            vm.send(signal.SIGTERM)
        await vm.restart()

    async def pause(self) -> None:
        """Pause a daemon's process."""
        vm = self._random_vm()
        vm.send(signal.SIGSTOP)
        await self._wait_fault_duration()
        vm.send(signal.SIGCONT)

    async def leader_pause(self) -> None:
        """Pause the leader until another VM has taken over."""
        vm = self.fleet.leader() or self._random_vm()
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(*LEADER_PAUSE_S))
        vm.send(signal.SIGCONT)

    async def leader_kill(self) -> None:
        """Kill the leader and start it again."""
        vm = self.fleet.leader() or self._random_vm()
        await vm.kill_and_restart()

    async def promotion_network_fault(self) -> None:
        """Inject a network fault between the leader and the promotion call."""
        vm = self.fleet.leader() or self._random_vm()
        await self._inject_network_fault(vm.promotion_proxy)

    async def reload(self) -> None:
        """Send a daemon the signal to reload its settings."""
        self._random_vm().send(signal.SIGHUP)

    async def store_outage(self) -> None:
        """Make the store unavailable to all daemons."""
        store = self.fleet.platform.store
        store.outage = self.random.choice(
            [Outage.UNAVAILABLE, Outage.TOO_MANY_REQUESTS, Outage.NO_RESPONSE]
        )
        await self._wait_fault_duration()
        store.outage = Outage.NONE

    async def store_network_fault(self) -> None:
        """Inject a network fault between one daemon and the store."""
        await self._inject_network_fault(self._random_vm().store_proxy)

    async def lost_store_answers(self) -> None:
        """Lose the store's answers to some writes."""
        self.fleet.platform.store.lost_answers = self.random.randint(1, 3)

    async def compaction(self) -> None:
        """Discard the store's history, in half the cases without notifying watches."""
        self.fleet.platform.store.compact(without_notify=self.random.random() < 0.5)

    async def database_crash(self) -> None:
        """Crash a database and restart it with its log; only one is down at a time."""
        service = self.random.choice(self.fleet.platform.services)
        databases = list(service.databases.values())
        if any(d.is_down for d in databases):
            return
        database = self.random.choice(databases)
        await database.stop()
        await self._wait_fault_duration()
        # It may have left meanwhile.
        if database.name in service.databases:
            await database.start()

    async def database_network_fault(self) -> None:
        """Inject a network fault between all daemons and one database."""
        await self._inject_network_fault(
            self.random.choice(list(self.fleet.database_proxies.values()))
        )

    async def lost_answers(self) -> None:
        """Lose a database's answers to some statements."""
        service = self.random.choice(self.fleet.platform.services)
        databases = list(service.databases.values())
        self.random.choice(databases).lost_answers = self.random.randint(1, 3)

    async def new_configuration(self) -> None:
        """Write the next version of the configuration."""
        store = self.fleet.platform.store
        content = dict(store.objects["config"]["main"]["spec"])
        content["version"] += self.random.randint(1, 3)
        store.put("config", "main", content)

    def _random_vm(self) -> SoakVm:
        return self.random.choice(self.fleet.vms)

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self.random.uniform(0.2, MAX_FAULT_DURATION_S))

    async def _inject_network_fault(self, proxy) -> None:
        modes = [Mode.DELAY, Mode.BLACKHOLE, Mode.ONE_WAY, Mode.RESET]
        proxy.set_mode(self.random.choice(modes))
        await self._wait_fault_duration()
        proxy.set_mode(Mode.PASS)
