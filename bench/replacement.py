"""Refusals below the rate limit while VMs are replaced one after the other.

Uses fakes in one process and virtual time. Callers send only to VMs that run; a
killed VM stays in the views of the others until they detect its failure.
"""

import asyncio
import json
import random

import msgspec
from fire import Fire

from bench.limits import BURST, RATE_PER_S, VMS, WAIT_S, WARM_UP_S
from tests.limit_fleet import Fleet, breach, run_virtual

INTERVAL_S = 15.0
# Membership removes a VM that has not answered pings for this long.
PING_FAILURE_TIMEOUT_S = 3.0
# Load balancer and callers stop using a draining VM before it releases its leases.
DRAIN_NOTICE_S = 1.0
DEMAND_FRACTIONS = (0.5, 0.9)


class Replacement(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run.

    Attributes
    ----------
    replaced : int
        VMs replaced, ``INTERVAL_S`` apart.
    refused_share : float
        Refused fraction of the requests sent from the first replacement on.
    """

    way: str
    demand: float
    replaced: int
    requests: int
    refused_share: float
    breach: str | None


class RollingFleet:
    """Fleet whose VMs are replaced, and the VMs that receive requests."""

    def __init__(self) -> None:
        self.fleet = Fleet(rate_per_s=RATE_PER_S, burst=BURST)
        self.serving: list[str] = []
        self.number = 0

    async def add(self) -> None:
        """Start one VM, which receives requests immediately."""
        name = f"vm-{self.number}"
        self.number += 1
        await self.fleet.add(name)
        self.serving.append(name)

    async def stop_gracefully(self) -> None:
        """Drain the oldest VM and stop it."""
        name = self.serving.pop(0)
        self.fleet.view.remove(name)
        await asyncio.sleep(DRAIN_NOTICE_S)
        await self.fleet.vms[name].kernel.drain()
        self.fleet.view.append(name)
        await self.fleet.kill(name)

    async def kill(self) -> None:
        """Kill the oldest VM; the others detect it after the ping timeout."""
        name = self.serving.pop(0)
        await self.fleet.kill(name)
        self.fleet.view.append(name)
        await asyncio.sleep(PING_FAILURE_TIMEOUT_S)
        self.fleet.view.remove(name)


async def _measure(way: str, demand: float, count: int, seed: int) -> Replacement:
    rolling = RollingFleet()
    for _ in range(VMS):
        await rolling.add()
    await asyncio.sleep(WARM_UP_S)
    tasks: list[asyncio.Task[bool]] = []
    load = asyncio.create_task(_load(rolling, demand, seed, tasks))
    for _ in range(count):
        await rolling.add()
        await (rolling.kill() if way == "killed" else rolling.stop_gracefully())
        await asyncio.sleep(INTERVAL_S)
    load.cancel()
    answers = await asyncio.gather(*tasks)
    await rolling.fleet.stop()
    return Replacement(
        way=way,
        demand=demand,
        replaced=count,
        requests=len(answers),
        refused_share=round(1 - sum(answers) / len(answers), 5),
        breach=breach(rolling.fleet.admitted_at_s, rate_per_s=RATE_PER_S, burst=BURST),
    )


async def _load(
    rolling: RollingFleet, demand: float, seed: int, tasks: list[asyncio.Task[bool]]
) -> None:
    """Send Poisson arrivals to random serving VMs until cancelled."""
    source = random.Random(seed)
    while True:
        await asyncio.sleep(source.expovariate(RATE_PER_S * demand))
        name = source.choice(rolling.serving)
        request = rolling.fleet.request(name, wait_s=WAIT_S)
        tasks.append(asyncio.create_task(request))


def run(*, count: int = 8, seed: int = 1) -> None:
    """Print the figures of graceful stops and of kills.

    Parameters
    ----------
    count : int
        VMs replaced in each run.
    seed : int
        Seed of the arrivals.
    """
    results = [
        run_virtual(_measure(way, demand, count, seed))
        for way in ("graceful", "killed")
        for demand in DEMAND_FRACTIONS
    ]
    print(json.dumps({"seed": seed, "results": msgspec.to_builtins(results)}))
    print(f"{'way':9} {'demand':>6} {'replaced':>8} {'refused':>8}")
    for row in results:
        print(
            f"{row.way:9} {row.demand:6.1f} {row.replaced:8} {row.refused_share:8.3%}"
        )


if __name__ == "__main__":
    Fire(run)
