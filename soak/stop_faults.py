"""Faults of a soak test around planned stops, with requests that are slow and late."""

import asyncio
import copy
import signal
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from random import Random

from soak.fault_group import FaultGroup
from soak.fleet import GRACE_S, SoakFleet, SoakVm
from soak.history import History
from soak.stop_callers import (
    LastingCaller,
    PiecewiseWriter,
    SingleCaller,
    SlowReader,
    StopCaller,
)
from standins.platform import TIMEOUT_MS
from standins.statement_database import Database

# Timeouts that a route may have, shorter and longer than the grace period. Callers wait
# for six seconds.
TIMEOUTS_MS = [700, 1_500, 2_500, 4_000, 5_500]
SLOW_SHARE = 0.8
# Share of a route's timeout that a statement takes.
STATEMENT_SHARE = (0.1, 1.0)
# Time before the signal in which callers arrive, in seconds.
LEAD_S = (0.2, 1.5)
# Time between the stops of two VMs, in seconds.
SERIES_GAP_S = (0.2, 1.5)
SECOND_SIGNAL_SHARE = 0.4
# Mean time between two callers, in seconds, with and without a limit of statements.
ARRIVAL_GAP_S = 0.08
CROWDED_GAP_S = 0.03
SLOTS = (1, 4)
LASTING_CALLERS = 4


class StopFaults(FaultGroup):
    """Planned stops of VMs while databases are slow and callers keep arriving.

    Parameters
    ----------
    fleet, random
        See `FaultGroup`.
    history : History
        Records the statements of the callers.
    """

    def __init__(self, *, fleet: SoakFleet, random: Random, history: History) -> None:
        super().__init__(fleet=fleet, random=random)
        self.history = history
        self.kinds = [self.slow_stop, self.slow_stops, self.crowded_stop]

    async def slow_stop(self) -> None:
        """Stop a VM."""
        with self.slow_databases():
            await self._stop(self.random.choice(self.fleet.vms), ARRIVAL_GAP_S)

    async def slow_stops(self) -> None:
        """Stop some VMs in series, before the former ones have ended."""
        with self.slow_databases():
            async with asyncio.TaskGroup() as group:
                for vm in self.random_vms():
                    group.create_task(self._stop(vm, ARRIVAL_GAP_S))
                    await self.wait(*SERIES_GAP_S)

    async def crowded_stop(self) -> None:
        """Stop a VM while its callers ask for more than the databases serve."""
        with self.slow_databases(), self.limited_databases():
            await self._stop(self.random.choice(self.fleet.vms), CROWDED_GAP_S)

    @contextmanager
    def slow_databases(self) -> Iterator[None]:
        """Draw timeouts of the routes, and how long databases take, up to these."""
        databases = self._databases()
        timeouts_ms = self._draw_timeouts()
        for database in databases:
            if self.random.random() < SLOW_SHARE:
                timeout_s = self.random.choice(timeouts_ms) / 1_000
                share = self.random.uniform(*STATEMENT_SHARE)
                database.statement_s = timeout_s * share
        try:
            yield
        finally:
            for database in databases:
                database.statement_s = 0.0
            self._write_timeouts([TIMEOUT_MS])

    @contextmanager
    def limited_databases(self) -> Iterator[None]:
        """Let databases run a few statements at once; half of them refuse others."""
        databases = self._databases()
        for database in databases:
            database.slots = asyncio.Semaphore(self.random.randint(*SLOTS))
            database.is_busy_when_full = self.random.random() < 0.5
        try:
            yield
        finally:
            for database in databases:
                database.slots, database.is_busy_when_full = None, False

    def _databases(self) -> list[Database]:
        return [
            database
            for service in self.fleet.platform.services
            for database in service.databases.values()
        ]

    def _draw_timeouts(self) -> list[int]:
        """Give the routes timeouts, the longest one above the grace period."""
        long_ms = [t for t in TIMEOUTS_MS if t > GRACE_S * 1_000]
        timeouts_ms = [self.random.choice(long_ms), *self.random.sample(TIMEOUTS_MS, 2)]
        self.random.shuffle(timeouts_ms)
        self._write_timeouts(timeouts_ms)
        return timeouts_ms

    def _write_timeouts(self, timeouts_ms: Sequence[int]) -> None:
        """Write the next configuration; the routes take the timeouts in turn."""
        store = self.fleet.platform.store
        content = copy.deepcopy(store.objects["config"]["main"]["spec"])
        content["version"] += 1
        for index, route in enumerate(content["routes"]):
            route["timeout_ms"] = timeouts_ms[index % len(timeouts_ms)]
        store.put("config", "main", content)

    async def _stop(self, vm: SoakVm, gap_s: float) -> None:
        """Stop a VM and start it again; callers arrive until it has ended."""
        async with asyncio.TaskGroup() as group:
            stop = group.create_task(self._terminate(vm))
            for kind in [
                *[LastingCaller] * LASTING_CALLERS,
                SlowReader,
                PiecewiseWriter,
            ]:
                group.create_task(self._caller(kind).connect(vm))
            while not stop.done():
                group.create_task(self._caller(SingleCaller).connect(vm))
                await asyncio.sleep(self.random.expovariate(1 / gap_s))

    async def _terminate(self, vm: SoakVm) -> None:
        """Send SIGTERM, at times a second signal, and start the VM again."""
        await self.wait(*LEAD_S)
        record = vm.record
        vm.send(signal.SIGTERM)
        restart = asyncio.create_task(vm.restart())
        if self.random.random() < SECOND_SIGNAL_SHARE:
            await self.wait(0.0, GRACE_S)
            # Another fault may have started the next process in the meantime.
            if vm.record is record:
                vm.send(self.random.choice([signal.SIGTERM, signal.SIGHUP]))
        await restart

    def _caller(self, kind: type[StopCaller]) -> StopCaller:
        number = self.random.getrandbits(32)
        service = number % len(self.fleet.platform.services)
        return kind(
            name=f"s{service}-stop{number}",
            fleet=self.fleet,
            history=self.history,
            seed=number,
            service=service,
        )
