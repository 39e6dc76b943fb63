"""A drill of the store after a failover, then a kill of the leader's process."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1]), str(FOLDER.parent / "lib-2")]

from deployment import Deployment, Record, Vm, run_case  # noqa: E402

# The former primary receives the log at this interval, in seconds: as a replica it is
# 20 ms behind on average.
RECEIVE_INTERVAL_S = 0.04
# Time for which the killed process is down, in seconds.
PROCESS_DOWN_S = 0.5
READ_TIME_S = 4.0
WRITE_INTERVAL_S = 0.01
# Longest time between two reads, in seconds.
READ_INTERVAL_S = 0.1


class Counter:
    """Item whose value only grows; the last value that was acknowledged."""

    def __init__(self) -> None:
        self.sent = 0
        self.acknowledged = 0
        self.changed = asyncio.Event()

    def acknowledge(self, value: int) -> None:
        """Record that a value was acknowledged."""
        self.acknowledged = max(self.acknowledged, value)
        self.changed.set()
        self.changed = asyncio.Event()


async def play(folder: Path, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether rule STALE was broken."""
    deployment = Deployment(folder=folder, record=record)
    try:
        await deployment.start()
        return await kill_leader(deployment, record, has_trouble)
    finally:
        await deployment.stop()


async def kill_leader(
    deployment: Deployment, record: Record, has_trouble: bool
) -> bool:
    """Replace the primary, let the store return to before that, kill the leader."""
    await deployment.fail_over("first")
    await asyncio.sleep(6)
    old = deployment.store.copy()
    record.add(f"copy of the store, group={deployment.group()}")
    former = deployment.primary()
    await deployment.fail_over("second")
    former.receive_interval_s = RECEIVE_INTERVAL_S
    record.add(f"group={deployment.group()}")
    if has_trouble:
        await deployment.drill(old)
    leader = deployment.leader()
    other = next(vm for vm in deployment.vms if vm is not leader)
    counter = Counter()
    writing = asyncio.create_task(write(deployment, other, counter, record))
    leader.send(signal.SIGKILL)
    await leader.ended()
    await asyncio.sleep(PROCESS_DOWN_S)
    await leader.start()
    stale = await read(deployment, leader, counter, record)
    writing.cancel()
    await asyncio.wait([writing])
    record.add(f"acknowledged {counter.acknowledged}, stale reads {stale}")
    if not counter.acknowledged:
        raise RuntimeError("no write was acknowledged")
    return stale > 0


async def write(
    deployment: Deployment, vm: Vm, counter: Counter, record: Record
) -> None:
    """Write growing values over one session."""
    client = await deployment.connect(vm, "pay")
    while True:
        counter.sent += 1
        value = counter.sent
        lines = await deployment.query(vm, client, f"WRITE counter {value}")
        if not lines:
            client = await deployment.connect(vm, "pay")
        elif lines[0].startswith("COMPLETE"):
            counter.acknowledge(value)
        await asyncio.sleep(WRITE_INTERVAL_S)


async def read(deployment: Deployment, vm: Vm, counter: Counter, record: Record) -> int:
    """Read on the route of type ``primary``; return the number of stale reads."""
    loop = asyncio.get_running_loop()
    stale = 0
    client = await deployment.connect(vm, "pay")
    end_s = loop.time() + READ_TIME_S
    while loop.time() < end_s:
        # A read right after a commit finds the replicas behind it.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READ_INTERVAL_S):
                await counter.changed.wait()
        before = counter.acknowledged
        lines = await deployment.query(vm, client, "READ counter")
        if not lines:
            client = await deployment.connect(vm, "pay")
        elif lines[0].startswith("ROW"):
            found = int(lines[0].partition(" ")[2] or 0)
            if found < before:
                stale += 1
                record.add(f"stale: {before} was acknowledged before, {found} was read")
    return stale


if __name__ == "__main__":
    run_case(play)
