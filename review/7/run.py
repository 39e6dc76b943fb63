"""A drill of the store during the planned restart of the leader."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parents[1]), str(FOLDER.parent / "lib-2")]

from deployment import Deployment, Record, run_case, until  # noqa: E402

# Time for which a database that drains goes on, in seconds.
DRAIN_S = 7.0


async def play(folder: Path, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether rule ONE was broken."""
    deployment = Deployment(folder=folder, record=record)
    try:
        await deployment.start()
        return await restart_leader(deployment, record, has_trouble)
    finally:
        await deployment.stop()


async def restart_leader(
    deployment: Deployment, record: Record, has_trouble: bool
) -> bool:
    """Restart the leader while the primary fails; then replace the next primary."""
    platform = deployment.platform
    await asyncio.sleep(6)
    old = deployment.store.copy()
    record.add(f"copy of the store, revision={old.revision}")
    first = deployment.leader()
    first.send(signal.SIGTERM)
    await until(lambda: deployment.leader() not in (None, first), "a second leader")
    record.add(f"leader {deployment.leader().name}")
    other = deployment.leader()
    crashed = await deployment.crash_primary()
    writing = asyncio.create_task(deployment.write_until_done(other, "second"))
    await until(lambda: platform.promotion_calls, "the first promotion")
    await writing
    await first.ended()
    await deployment.revive(crashed)
    if has_trouble:
        await deployment.drill(old)
    await first.start()
    await deployment.write_until_done(first, "restarted")
    await asyncio.sleep(4)
    count = len(platform.promotion_calls)
    await deployment.replace_primary()
    writing = asyncio.create_task(deployment.write_until_done(other, "third"))
    with contextlib.suppress(RuntimeError):
        # Without a promotion no rule is broken.
        await until(
            lambda: len(platform.promotion_calls) > count,
            "the second promotion",
            timeout_s=DRAIN_S,
        )
    await asyncio.sleep(2)
    writing.cancel()
    await asyncio.wait([writing])
    for call in platform.promotion_calls:
        record.add(f"promote service={call[0]} holder={call[1]} token={call[2]}")
    return breaks_one(platform.promotion_calls)


def breaks_one(calls: list[tuple[str, str, int]]) -> bool:
    """Tell whether a token was used by two holders, or after a higher one."""
    holders: dict[int, str] = {}
    highest = 0
    for _, holder, token in calls:
        if holders.setdefault(token, holder) != holder or token < highest:
            return True
        highest = token
    return False


if __name__ == "__main__":
    run_case(play)
