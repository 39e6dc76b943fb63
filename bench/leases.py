"""Store calls of the rate-limit leases: cold start, steady state, after an outage.

Uses fakes in one process and virtual time; all figures are counts of calls.
"""

import asyncio
import json

import fire
import msgspec

from tests.limit_fleet import Fleet, run_virtual

SIZES = (8, 64, 256)
COLD_START_S = 30
STEADY_S = 20
OUTAGE_S = 90
RECOVERY_S = 40


class LeaseCalls(msgspec.Struct, frozen=True, kw_only=True):
    """Store calls of the whole fleet.

    Attributes
    ----------
    cold_most, outage_most, recovery_most : int
        Most calls of any kind within one second.
    steady_per_s : dict of str to float
        Calls per second by kind.
    """

    vms: int
    cold_most: int
    steady_per_s: dict[str, float]
    outage_most: int
    recovery_most: int


async def _max_calls_per_s(fleet: Fleet, seconds: int) -> int:
    """Return the highest number of calls in any of the next ``seconds`` seconds."""
    maximum = 0
    for _ in range(seconds):
        before = sum(fleet.store.calls.values())
        await asyncio.sleep(1.0)
        maximum = max(maximum, sum(fleet.store.calls.values()) - before)
    return maximum


async def _measure(count: int) -> LeaseCalls:
    fleet = Fleet(rate_per_s=100.0, burst=40.0)
    fleet.store.delay_s = 0.002
    await fleet.add(*(f"vm-{n}" for n in range(count)))
    cold_most = await _max_calls_per_s(fleet, COLD_START_S)
    before = dict(fleet.store.calls)
    await asyncio.sleep(STEADY_S)
    steady_per_s = {
        name: round((calls - before.get(name, 0)) / STEADY_S, 2)
        for name, calls in fleet.store.calls.items()
    }
    fleet.store.is_down = True
    outage_most = await _max_calls_per_s(fleet, OUTAGE_S)
    fleet.store.is_down = False
    figures = LeaseCalls(
        vms=count,
        cold_most=cold_most,
        steady_per_s=steady_per_s,
        outage_most=outage_most,
        recovery_most=await _max_calls_per_s(fleet, RECOVERY_S),
    )
    await fleet.stop()
    return figures


def main(*, sizes: tuple[int, ...] = SIZES) -> None:
    """Print one JSON document, then a table.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of VMs.
    """
    rows = [run_virtual(_measure(count)) for count in sizes]
    print(json.dumps(msgspec.to_builtins(rows)))
    print("  VMs  cold/s  outage/s  recovery/s  steady/s")
    for row in rows:
        print(
            f"{row.vms:5} {row.cold_most:7} {row.outage_most:9} "
            f"{row.recovery_most:11}  {row.steady_per_s}"
        )


if __name__ == "__main__":
    fire.Fire(main)
