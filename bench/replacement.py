"""Wrongful refusals of the limits while VMs are replaced one after the other.

Fakes in one process, virtual time. Callers send only to VMs that run; a killed VM
stays in the views of the others until its silence is noticed.
"""

import asyncio
import json
import random

import msgspec
from fire import Fire

from bench.limits import BURST, RATE_PER_S, SETTLE_S, VMS, WAIT_S
from tests.limit_fleet import Fleet, breach, run_virtual

INTERVAL_S = 15.0
# Membership drops a VM that is silent for this long.
SILENCE_S = 3.0
# Load balancer and callers leave a VM that drains before it releases its leases.
DRAIN_NOTICE_S = 1.0
DEMANDS = (0.5, 0.9)


class Replacement(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run.

    Attributes
    ----------
    replaced : int
        VMs replaced, ``INTERVAL_S`` apart.
    refused_share : float
        Refused part of the requests sent from the first replacement on.
    """

    way: str
    demand: float
    replaced: int
    requests: int
    refused_share: float
    breach: str | None


class RollingFleet:
    """Fleet under replacement and the VMs that take requests."""

    def __init__(self) -> None:
        self.fleet = Fleet(rate_per_s=RATE_PER_S, burst=BURST)
        self.serving: list[str] = []
        self.number = 0

    async def add(self) -> None:
        """Start one VM that takes requests at once."""
        name = f"vm-{self.number}"
        self.number += 1
        await self.fleet.add(name)
        self.serving.append(name)

    async def stop_gracefully(self) -> None:
        """Drain the oldest VM and end it."""
        name = self.serving.pop(0)
        self.fleet.view.remove(name)
        await asyncio.sleep(DRAIN_NOTICE_S)
        await self.fleet.vms[name].kernel.drain()
        self.fleet.view.append(name)
        await self.fleet.kill(name)

    async def kill(self) -> None:
        """Kill the oldest VM; the others notice it later."""
        name = self.serving.pop(0)
        await self.fleet.kill(name)
        self.fleet.view.append(name)
        await asyncio.sleep(SILENCE_S)
        self.fleet.view.remove(name)


async def _measure(way: str, demand: float, count: int, seed: int) -> Replacement:
    rolling = RollingFleet()
    for _ in range(VMS):
        await rolling.add()
    await asyncio.sleep(SETTLE_S)
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
    chance = random.Random(seed)
    while True:
        await asyncio.sleep(chance.expovariate(RATE_PER_S * demand))
        name = chance.choice(rolling.serving)
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
        for demand in DEMANDS
    ]
    print(json.dumps({"seed": seed, "results": msgspec.to_builtins(results)}))
    print(f"{'way':9} {'demand':>6} {'replaced':>8} {'refused':>8}")
    for one in results:
        print(
            f"{one.way:9} {one.demand:6.1f} {one.replaced:8} {one.refused_share:8.3%}"
        )


if __name__ == "__main__":
    Fire(run)
