"""Service of the worst-served organisation, with a FIFO and with the fair queue.

Runs in virtual time.
"""

import asyncio
import json
from collections import deque
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from random import Random

import fire
import msgspec

from bench.virtual import LoopClock, run_virtual
from ebonyladder.kernel.error import RequestError
from ebonyladder.queue import FairQueue

SLOTS = 5
SERVICE_S = 0.005
DEADLINE_S = 5.0
ORGANISATIONS = 8
# Fraction of the endpoint's capacity that all organisations use together while each
# sends at its normal rate.
NORMAL_LOAD = 0.6
BURST_FACTOR = 10.0


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one run for the worst-served organisation with a normal rate."""

    queue: str
    scenario: str
    worst_share: float
    worst_p99_ms: float
    large_share: float


class FifoQueue:
    """Baseline: one queue in order of arrival, limited by the deadline only."""

    def __init__(self) -> None:
        self.free = SLOTS
        self.waiters: deque[asyncio.Future[None]] = deque()

    @asynccontextmanager
    async def slot(self, *, organisation: str, deadline_s: float) -> AsyncIterator:
        """Hold a slot within the block; raise TimeoutError at the deadline."""
        loop = asyncio.get_running_loop()
        if self.free:
            self.free -= 1
        else:
            waiter = loop.create_future()
            self.waiters.append(waiter)
            async with asyncio.timeout(deadline_s - loop.time()):
                await waiter
        try:
            yield
        finally:
            while self.waiters and self.waiters[0].done():
                self.waiters.popleft()
            if self.waiters:
                self.waiters.popleft().set_result(None)
            else:
                self.free += 1


class Load:
    """Poisson arrivals of each organisation at one endpoint.

    Parameters
    ----------
    queue : FifoQueue or FairQueue
        Queue under measurement.
    seed : int
        Seed of arrivals and service times.
    """

    def __init__(self, *, queue: FifoQueue | FairQueue, seed: int) -> None:
        self.queue = queue
        self.random = Random(seed)
        self.sent: dict[str, int] = {}
        self.latencies_s: dict[str, list[float]] = {}

    async def run(self, rates: dict[str, float], seconds: float) -> None:
        """Send at ``rates`` (requests per second) for ``seconds``."""
        async with asyncio.TaskGroup() as group:
            for name, rate in rates.items():
                group.create_task(self._send(group, name, rate, seconds))

    async def _send(
        self, group: asyncio.TaskGroup, name: str, rate: float, seconds: float
    ) -> None:
        end_at_s = asyncio.get_running_loop().time() + seconds
        self.sent[name] = 0
        self.latencies_s[name] = []
        while asyncio.get_running_loop().time() < end_at_s:
            await asyncio.sleep(self.random.expovariate(rate))
            self.sent[name] += 1
            group.create_task(self._request(name))

    async def _request(self, name: str) -> None:
        started_at_s = asyncio.get_running_loop().time()
        slot: AbstractAsyncContextManager = self.queue.slot(
            organisation=name, deadline_s=started_at_s + DEADLINE_S
        )
        try:
            async with slot:
                await asyncio.sleep(self.random.expovariate(1 / SERVICE_S))
        except (RequestError, TimeoutError):
            return
        now_s = asyncio.get_running_loop().time()
        self.latencies_s[name].append(now_s - started_at_s)

    def served_fraction(self, name: str) -> float:
        """Return the served fraction of an organisation's own requests."""
        return len(self.latencies_s[name]) / max(self.sent[name], 1)

    def p99_s(self, name: str) -> float:
        """Return the 99th percentile of the latency of served requests, in seconds."""
        ordered = sorted(self.latencies_s[name])
        return ordered[int(len(ordered) * 0.99)] if ordered else float("inf")


async def _measure(kind: str, factor: float, seconds: float, seed: int) -> Row:
    queue = (
        FifoQueue()
        if kind == "fifo"
        else FairQueue(endpoint="db", slots=SLOTS, clock=LoopClock())
    )
    load = Load(queue=queue, seed=seed)
    rate = NORMAL_LOAD * SLOTS / SERVICE_S / ORGANISATIONS
    normal = [f"org-{n}" for n in range(1, ORGANISATIONS)]
    await load.run({"large": rate * factor} | dict.fromkeys(normal, rate), seconds)
    return Row(
        queue=kind,
        scenario="all normal" if factor == 1 else f"one at {factor:g}x",
        worst_share=round(min(load.served_fraction(name) for name in normal), 4),
        worst_p99_ms=round(max(load.p99_s(name) for name in normal) * 1_000, 1),
        large_share=round(load.served_fraction("large"), 4),
    )


def main(seconds: float = 30.0, seed: int = 1, output: str = "") -> None:
    """Print a table; write JSON to ``output`` if it is given."""
    rows = [
        run_virtual(_measure(kind, factor, seconds, seed))
        for kind in ("fifo", "fair")
        for factor in (1.0, BURST_FACTOR)
    ]
    print(f"virtual time, seed={seed} seconds={seconds} slots={SLOTS}")
    print(f"{'queue':6}{'scenario':14}{'worst share':>12}{'p99 ms':>9}{'large':>8}")
    for row in rows:
        print(
            f"{row.queue:6}{row.scenario:14}{row.worst_share:12.4f}"
            f"{row.worst_p99_ms:9.1f}{row.large_share:8.4f}"
        )
    text = json.dumps([msgspec.to_builtins(row) for row in rows])
    if output:
        with open(output, "w") as file:
            file.write(text + "\n")
    else:
        print(text)


if __name__ == "__main__":
    fire.Fire(main)
