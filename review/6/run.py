"""A drill of the store after a failover; the leader restarts, two databases crash."""

import asyncio
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
# Time from its new start to the crashes, and for which a replica and the primary are
# down, in seconds.
WRITE_TIME_S = 1.5
REPLICA_DOWN_S = 4.4
PRIMARY_DOWN_S = 7.0
WRITE_INTERVAL_S = 0.005
# Longest wait for a replica to be behind, in intervals of half a write.
MAX_WAITS = 400


class Acknowledged:
    """Writes that clients were told of, with the number of promotions before."""

    def __init__(self) -> None:
        self.sent = 0
        self.writes: list[tuple[str, int]] = []


async def play(folder: Path, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether rule LOST was broken."""
    deployment = Deployment(folder=folder, record=record)
    try:
        await deployment.start()
        acknowledged = Acknowledged()
        await crash_databases(deployment, record, has_trouble, acknowledged)
        return has_lost(deployment, record, acknowledged)
    finally:
        await deployment.stop()


async def crash_databases(
    deployment: Deployment,
    record: Record,
    has_trouble: bool,
    acknowledged: Acknowledged,
) -> None:
    """Let the store return to before a failover, kill the leader, crash databases."""
    service = deployment.service
    await deployment.fail_over("first")
    await asyncio.sleep(6)
    old = deployment.store.copy()
    record.add(f"copy of the store, group={deployment.group()}")
    former = deployment.primary()
    await deployment.fail_over("second")
    record.add(f"group={deployment.group()}")
    if has_trouble:
        await deployment.drill(old)
    former.receive_interval_s = RECEIVE_INTERVAL_S
    leader = deployment.leader()
    others = [vm for vm in deployment.vms if vm is not leader]
    writing = [
        asyncio.create_task(write(deployment, vm, acknowledged)) for vm in others
    ]
    leader.send(signal.SIGKILL)
    await leader.ended()
    await asyncio.sleep(PROCESS_DOWN_S)
    await leader.start()
    await asyncio.sleep(WRITE_TIME_S)
    primary = deployment.primary()
    replica = next(
        d for d in service.databases.values() if d is not primary and d is not former
    )
    await wait_until_behind(former, acknowledged)
    record.add(f"crash {replica.name}, a replica")
    record.add(f"crash {primary.name} term={primary.term}")
    await replica.stop()
    await primary.stop()
    await asyncio.sleep(REPLICA_DOWN_S)
    await deployment.revive(replica)
    await asyncio.sleep(PRIMARY_DOWN_S - REPLICA_DOWN_S)
    await deployment.revive(primary)
    # Without a promotion no rule is broken.
    await asyncio.sleep(4)
    for task in writing:
        task.cancel()
    await asyncio.wait(writing)
    if not acknowledged.writes:
        raise RuntimeError("no write was acknowledged")


async def wait_until_behind(replica, acknowledged: Acknowledged) -> None:
    """Wait until a replica lacks the last write that a client was told of.

    One that is 20 ms behind does so nearly always; the stand-in, which receives at an
    interval, doesn't right after a receipt.
    """
    for _ in range(MAX_WAITS):
        if acknowledged.writes[-1][0] not in replica.data:
            return
        await asyncio.sleep(WRITE_INTERVAL_S / 2)


async def write(deployment: Deployment, vm: Vm, acknowledged: Acknowledged) -> None:
    """Write new items over one session after the other."""
    client = await deployment.connect(vm, "pay")
    while True:
        acknowledged.sent += 1
        item = f"w{acknowledged.sent}"
        lines = await deployment.query(vm, client, f"WRITE {item} {item}")
        if not lines:
            client = await deployment.connect(vm, "pay")
        elif lines[0].startswith("COMPLETE"):
            effects = len(deployment.service.effects)
            acknowledged.writes.append((item, effects))
        await asyncio.sleep(WRITE_INTERVAL_S)


def has_lost(
    deployment: Deployment, record: Record, acknowledged: Acknowledged
) -> bool:
    """Tell whether a promoted log lacked a write that was acknowledged before."""
    is_broken = False
    for index, effect in enumerate(deployment.service.effects):
        held = {item for item, _ in effect.commits}
        lost = [
            item
            for item, effects in acknowledged.writes
            if effects <= index and item not in held
        ]
        record.add(
            f"promoted {effect.name} term={effect.term} lost={len(lost)} "
            f"{' '.join(lost[:20])}"
        )
        is_broken |= bool(lost)
    return is_broken


if __name__ == "__main__":
    run_case(play)
