"""Refusals below the limit, throughput and CPU time of the fleet-wide rate limits.

Uses fakes in one process and virtual time: throughput depends on the decisions
only; the CPU time is that of ``time.process_time``.
"""

import asyncio
import json
import random
import time
from collections.abc import Callable

import msgspec
from fire import Fire

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.limits import BucketSize, TokenBucket
from tests.limit_fleet import Fleet, breach, run_virtual

VMS = 8
RATE_PER_S = 100.0
BURST = 40.0
WAIT_S = 0.5
# Below 1, a single limiter for the whole fleet has no reason to refuse.
DEMAND_FRACTION = 0.9
WARM_UP_S = 8.0
MOVE_INTERVAL_S = 2.0

VmChooser = Callable[[float, random.Random], int]


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run.

    Attributes
    ----------
    refused_share : float
        Refused requests that a single bucket for the fleet would have admitted,
        as a fraction of all requests; the demand is below the limit.
    cpu_us : float
        CPU time per admitted request, fakes and event loop included.
    """

    traffic: str
    limiter: str
    requests: int
    admitted: int
    refused_share: float
    admitted_per_s: float
    cpu_us: float
    breach: str | None


def _even(_at_s: float, source: random.Random) -> int:
    return source.randrange(VMS)


def _skewed(_at_s: float, source: random.Random) -> int:
    return 0 if source.random() < 0.9 else source.randrange(VMS)


def _moving(at_s: float, _source: random.Random) -> int:
    return int(at_s / MOVE_INTERVAL_S) % VMS


TRAFFIC: dict[str, VmChooser] = {"even": _even, "skewed": _skewed, "moving": _moving}


def _arrivals(
    choose_vm: VmChooser, seconds: float, seed: int
) -> list[tuple[float, int]]:
    """Return Poisson arrivals and their VMs, without those above the limit."""
    source = random.Random(seed)
    clock = ManualClock()
    oracle = TokenBucket(size=BucketSize(RATE_PER_S, BURST), clock=clock)
    clock.advance(BURST / RATE_PER_S)
    arrivals = []
    at_s = 0.0
    while at_s < seconds:
        step_s = source.expovariate(RATE_PER_S * DEMAND_FRACTION)
        at_s += step_s
        clock.advance(step_s)
        if oracle.available() >= 1:
            oracle.take(1.0)
            arrivals.append((at_s, choose_vm(at_s, source)))
    return arrivals


def _result(
    *, traffic: str, limiter: str, requests: int, times_s: list[float], cpu_s: float
) -> Result:
    span_s = times_s[-1] - times_s[0]
    return Result(
        traffic=traffic,
        limiter=limiter,
        requests=requests,
        admitted=len(times_s),
        refused_share=round(1 - len(times_s) / requests, 5),
        admitted_per_s=round(len(times_s) / span_s, 1),
        cpu_us=round(cpu_s / len(times_s) * 1e6, 1),
        breach=breach(times_s, rate_per_s=RATE_PER_S, burst=BURST),
    )


async def _run_leases(traffic: str, arrivals: list[tuple[float, int]]) -> Result:
    fleet = Fleet(rate_per_s=RATE_PER_S, burst=BURST)
    names = [f"vm-{n}" for n in range(VMS)]
    await fleet.add(*names)
    await asyncio.sleep(WARM_UP_S)
    loop = asyncio.get_running_loop()
    start_at_s = loop.time()
    cpu_before_s = time.process_time()
    tasks = []
    for at_s, vm in arrivals:
        await asyncio.sleep(max(0.0, start_at_s + at_s - loop.time()))
        request = fleet.request(names[vm], wait_s=WAIT_S)
        tasks.append(asyncio.create_task(request))
    await asyncio.gather(*tasks)
    cpu_s = time.process_time() - cpu_before_s
    await fleet.stop()
    return _result(
        traffic=traffic,
        limiter="leases",
        requests=len(arrivals),
        times_s=sorted(fleet.admitted_at_s),
        cpu_s=cpu_s,
    )


def _run_split(traffic: str, arrivals: list[tuple[float, int]]) -> Result:
    """Baseline: each VM has an equal fraction of the rate and the same maximum wait."""
    clock = ManualClock()
    size = BucketSize(RATE_PER_S / VMS, max(1.0, BURST / VMS))
    buckets = [TokenBucket(size=size, clock=clock) for _ in range(VMS)]
    debts = [0.0] * VMS
    clock.advance(WARM_UP_S)
    start_at_s = clock.now_s()
    times_s = []
    cpu_before_s = time.process_time()
    for at_s, vm in arrivals:
        clock.advance(start_at_s + at_s - clock.now_s())
        debts[vm] -= buckets[vm].take(debts[vm])
        debt = debts[vm] + 1 - buckets[vm].available()
        wait_s = max(0.0, debt / size.rate_per_s)
        if wait_s <= WAIT_S:
            debts[vm] += 1 - buckets[vm].take(1.0)
            times_s.append(at_s + wait_s)
    cpu_s = time.process_time() - cpu_before_s
    return _result(
        traffic=traffic,
        limiter="even split",
        requests=len(arrivals),
        times_s=sorted(times_s),
        cpu_s=cpu_s,
    )


def run(*, seconds: float = 60.0, seed: int = 1) -> None:
    """Print the figures for each traffic pattern.

    Parameters
    ----------
    seconds : float
        Duration of the traffic, in virtual seconds.
    seed : int
        Seed of the arrivals.
    """
    results = []
    for traffic, choose_vm in TRAFFIC.items():
        arrivals = _arrivals(choose_vm, seconds, seed)
        results.append(run_virtual(_run_leases(traffic, arrivals)))
        results.append(_run_split(traffic, arrivals))
    rows = [msgspec.to_builtins(result) for result in results]
    print(json.dumps({"seed": seed, "seconds": seconds, "results": rows}))
    print(f"{'traffic':8} {'limiter':11} {'refused':>8} {'per s':>7} {'CPU us':>7}")
    for result in results:
        print(
            f"{result.traffic:8} {result.limiter:11} {result.refused_share:8.3%} "
            f"{result.admitted_per_s:7.1f} {result.cpu_us:7.1f}"
        )


if __name__ == "__main__":
    Fire(run)
