"""Run the soak test: ``python -m soak --seeds=50``."""

import asyncio
import logging
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import fire

from soak.clients import SoakClient
from soak.faults import Faults
from soak.fleet import NOTICE_S, SERVICE_COUNT, SoakFleet
from soak.history import History

# Time after the last fault within which the fleet must serve again.
RECOVERY_TIMEOUT_S = 15.0
# The same for each service: a failover waits for databases that may have the only copy
# of a commit, and these are dropped from the log holders one after the other.
SERVICE_TIMEOUT_S = 30.0
CLIENTS = 6
# Texts of statements may have hundreds of kilobytes.
MAX_SHOWN_CHARACTERS = 2_000


async def run_seed(
    seed: int,
    folder: Path,
    *,
    duration_s: float,
    size: int,
    mean_gap_s: float = 0.7,
    kinds: Sequence[str] = (),
) -> tuple[History, list[str]]:
    """Run one seed; return the history and the names of the injected faults."""
    fleet = SoakFleet(folder=folder, size=size)
    history = History()
    faults = Faults(fleet=fleet, seed=seed, history=history, kinds=kinds)
    await fleet.start()
    clients = [
        SoakClient(
            name=f"s{i % SERVICE_COUNT}-k{i}",
            fleet=fleet,
            history=history,
            seed=seed * 100 + i,
            service=i % SERVICE_COUNT,
        )
        for i in range(CLIENTS)
    ]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    try:
        await _wait_until_served(history, "at the start")
        await faults.run(duration_s, mean_gap_s)
        await _wait_until_served(history, "after the faults")
        await _wait_until_all_served(history)
        # A replaced primary goes on for this long after it reaches the new one.
        await asyncio.sleep(2 * NOTICE_S)
    finally:
        for client in clients:
            client.is_stopping = True
        await asyncio.wait(tasks, timeout=2 * RECOVERY_TIMEOUT_S)
        history.check_end(fleet.platform)
        await fleet.stop()
    return history, faults.log


async def _wait_until_served(history: History, when: str) -> None:
    """Wait until writes and reads succeed; record a finding if they don't."""
    counts_before = history.counts["writes"], history.counts["reads"]
    end_at_s = time.monotonic() + RECOVERY_TIMEOUT_S
    while time.monotonic() < end_at_s:
        await asyncio.sleep(0.1)
        if (
            history.counts["writes"] > counts_before[0] + CLIENTS
            and history.counts["reads"] > counts_before[1] + CLIENTS
        ):
            return
    history.findings.append(f"not served {when}")


async def _wait_until_all_served(history: History) -> None:
    """Wait until writes of each service succeed; record a finding otherwise."""
    counts_before = history.writes_by_service()
    end_at_s = time.monotonic() + SERVICE_TIMEOUT_S
    missing = {f"s{index}" for index in range(SERVICE_COUNT)}
    while missing and time.monotonic() < end_at_s:
        await asyncio.sleep(0.1)
        counts = history.writes_by_service()
        missing = {s for s in missing if counts[s] <= counts_before[s]}
    for service in sorted(missing):
        history.findings.append(f"service {service} is not served after the faults")


def run(
    seeds: int = 1,
    first: int = 1,
    duration_s: float = 8.0,
    size: int = 4,
    kinds: Sequence[str] = (),
) -> None:
    """Run seeds one after the other; exit with 1 if one of them has a finding.

    Parameters
    ----------
    seeds, first : int
        Number of seeds, and the first one.
    duration_s : float
        Time during which new faults start, in seconds.
    size : int
        Number of daemons.
    kinds : sequence of str
        Names of the faults to draw from, such as ``kill,pause``; all if it is empty.
    """
    logging.disable(logging.WARNING)
    failed = []
    for seed in range(first, first + seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        history, faults = asyncio.run(
            run_seed(seed, folder, duration_s=duration_s, size=size, kinds=kinds)
        )
        print(f"seed {seed}: {dict(history.counts)} faults={len(faults)}", flush=True)
        if history.findings:
            failed.append(seed)
            print(f"  faults: {faults}\n  logs: {folder}", flush=True)
            for finding in history.findings[:10]:
                print(f"  {finding[:MAX_SHOWN_CHARACTERS]}", flush=True)
    print(f"{seeds - len(failed)} seeds passed, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(run)
