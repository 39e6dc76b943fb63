"""Gap in writes when a primary is killed, and promotions while primaries are slow."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import fire
import msgspec
from websockets.asyncio.client import connect

from bench.load import LoadClient, RoamingSession, codes_of, percentile, print_rows
from ebonyladder.configuration_freshness import MAX_STALENESS_S
from ebonyladder.promotion import REPORT_TIMEOUT_S
from ebonyladder.routing import group_of
from ebonyladder.types import GroupId
from standins.deployment import SIALC_STRYD, Deployment

GROUPS = 3
WRITERS = 3
WRITE_INTERVAL_S = 0.01
WRITE_DEADLINE_MS = 2_000
ORGANISATION = "org-large-1"
# Promotions of a group are at least 5 s apart by design; a shorter interval between
# tries would measure that cooldown.
TRY_INTERVAL_S = 5.2
RECOVERY_TIMEOUT_S = 20.0
BASELINE_REPORT_TIMEOUT_S = 3.0
SLOW_STATEMENT_S = 2.0
SLOW_PERIOD_S = 4.0
WARM_UP_S = 3.0


class GapRow(msgspec.Struct, frozen=True, kw_only=True):
    """Gaps in writes in one series of tries.

    Attributes
    ----------
    lost : int
        Acknowledged writes that the last primary does not have.
    terms : int
        Terms that all tries used; at least one for each.
    """

    series: str
    tries: int
    median_s: float
    worst_s: float
    acknowledged: int
    lost: int
    terms: int
    gaps_s: list[float]
    refusals: dict[str, int]


class SlowRow(msgspec.Struct, frozen=True, kw_only=True):
    """Promotions while primaries are slow, or with a timeout on writes alone."""

    series: str
    tries: int
    promotions: int
    longest_write_gap_s: float


class Writers:
    """Sessions that write new keys to one group continuously.

    Parameters
    ----------
    client : LoadClient
        Client to send with.
    group : str
        Group written to.
    random : Random
        Source for the choice of VMs.
    """

    def __init__(self, *, client: LoadClient, group: str, random: Random) -> None:
        self.client = client
        self.group = group
        self.random = random
        self.partition = partition_in(group)
        self.acknowledged: list[tuple[float, int, str]] = []
        self.write_acknowledged = asyncio.Event()
        self.recovered_at_s = 0.0

    async def run(self, number: int) -> None:
        """Write until cancelled."""
        session = RoamingSession(
            client=self.client,
            organisation=ORGANISATION,
            partition=self.partition,
            random=self.random,
        )
        count = 0
        while True:
            count += 1
            key = f"w-{self.group}-{number}-{count}"
            sample = await session.send(
                "write", f"PUT {key} {count}", deadline_ms=WRITE_DEADLINE_MS
            )
            if sample.is_served:
                self.acknowledged.append((sample.ended_at_s, sample.term, key))
                self.write_acknowledged.set()
            await asyncio.sleep(WRITE_INTERVAL_S)

    async def await_term(self, min_term: int) -> float:
        """Return when the first write in ``min_term`` or later was acknowledged."""
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            while True:
                self.write_acknowledged.clear()
                for ended_at_s, term, _ in reversed(self.acknowledged):
                    if term < min_term:
                        break
                    first_at_s = ended_at_s
                if self.acknowledged and self.acknowledged[-1][1] >= min_term:
                    return first_at_s
                await self.write_acknowledged.wait()


def partition_in(group: str) -> str:
    """Return a partition that the group stores."""
    names = [GroupId(f"g{number}") for number in range(1, GROUPS + 1)]
    return next(
        f"p{n}" for n in range(1_000) if group_of(f"p{n}", names) == GroupId(group)
    )


@asynccontextmanager
async def writing_to_all(
    client: LoadClient, random: Random
) -> AsyncIterator[dict[str, Writers]]:
    """Write to all groups within the block."""
    groups = {
        f"g{n}": Writers(client=client, group=f"g{n}", random=random)
        for n in range(1, GROUPS + 1)
    }
    tasks = [
        asyncio.create_task(writers.run(number))
        for writers in groups.values()
        for number in range(WRITERS)
    ]
    try:
        for writers in groups.values():
            await writers.await_term(1)
        yield groups
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def report_of(deployment: Deployment, endpoint: str) -> dict:
    """Return the report of an endpoint."""
    return (await asyncio.to_thread(deployment.admin, endpoint))["report"]


async def primary_of(deployment: Deployment, group: str) -> str:
    """Return the primary of a group; waits until there is one."""
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while True:
            found = await asyncio.to_thread(deployment.primary_of, group)
            if found is not None:
                return found
            await asyncio.sleep(0.05)


async def fail_over(deployment: Deployment, writers: Writers) -> float:
    """Kill a primary and restart it; return the gap in writes, in seconds."""
    primary = await primary_of(deployment, writers.group)
    term = (await report_of(deployment, primary))["log_term"]
    killed_at_s = time.monotonic()
    deployment.signal(primary, signal.SIGKILL)
    gap_s = await writers.await_term(term + 1) - killed_at_s
    writers.recovered_at_s = time.monotonic()
    deployment.processes[primary].wait()
    deployment.start_endpoint(primary)
    await _wait_until_following(deployment, primary)
    return gap_s


async def _wait_until_following(deployment: Deployment, endpoint: str) -> None:
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while True:
            try:
                report = await report_of(deployment, endpoint)
            except OSError:
                report = {"role": "", "primary_contact_age_s": 1.0}
            contact_s = report["primary_contact_age_s"]
            if report["role"] == "replica" and contact_s < 0.3:
                return
            await asyncio.sleep(0.05)


async def count_lost_writes(deployment: Deployment, writers: Writers) -> int:
    """Count acknowledged writes that the group's primary does not have."""
    primary = await primary_of(deployment, writers.group)
    address = deployment.endpoints[primary][0]
    async with connect(f"ws://{address}/sql", max_size=None) as socket:
        await socket.recv()
        request = {
            "id": 1,
            "op": "execute",
            "organisation": ORGANISATION,
            "kind": "read",
            "text": "SCAN w-",
        }
        await socket.send(msgspec.json.encode(request))
        rows = msgspec.json.decode(await socket.recv())["rows"]
    present = {key for key, _ in rows}
    return sum(key not in present for _, _, key in writers.acknowledged)


async def _sum_of_terms(deployment: Deployment) -> int:
    total = 0
    for number in range(1, GROUPS + 1):
        primary = await primary_of(deployment, f"g{number}")
        total += (await report_of(deployment, primary))["log_term"]
    return total


async def _measure_gaps(
    deployment: Deployment, series: str, tries: int, random: Random, is_down: bool
) -> GapRow:
    gaps_s: list[float] = []
    async with LoadClient(deployment=deployment) as client:
        async with writing_to_all(client, random) as groups:
            if is_down:
                # All VMs refuse work if the store becomes unreachable within 0.1 s
                # of the start, probably because they have no relay roots yet.
                await asyncio.sleep(WARM_UP_S)
                deployment.control_store(is_down=True)
                await asyncio.sleep(MAX_STALENESS_S)
            before = await _sum_of_terms(deployment)
            for number in range(tries):
                writers = groups[f"g{number % GROUPS + 1}"]
                remaining_s = writers.recovered_at_s + TRY_INTERVAL_S - time.monotonic()
                await asyncio.sleep(max(0.0, remaining_s) + random.uniform(0.0, 0.1))
                gaps_s.append(round(await fail_over(deployment, writers), 3))
            terms = await _sum_of_terms(deployment) - before
        lost = 0
        for writers in groups.values():
            lost += await count_lost_writes(deployment, writers)
        return GapRow(
            series=series,
            tries=tries,
            median_s=percentile(gaps_s, 0.5),
            worst_s=max(gaps_s),
            acknowledged=sum(len(one.acknowledged) for one in groups.values()),
            lost=lost,
            terms=terms,
            gaps_s=gaps_s,
            refusals=codes_of(client.samples),
        )


async def _measure_slow(
    deployment: Deployment, tries: int, random: Random
) -> list[SlowRow]:
    """Slow down the primaries of all groups ``tries`` times."""
    async with LoadClient(deployment=deployment) as client:
        async with writing_to_all(client, random) as groups:
            before = await _sum_of_terms(deployment)
            started_at_s = time.monotonic()
            for _ in range(tries):
                primaries = [await primary_of(deployment, name) for name in groups]
                await _set_statement_s(deployment, primaries, SLOW_STATEMENT_S)
                await asyncio.sleep(SLOW_PERIOD_S)
                await _set_statement_s(deployment, primaries, 0.001)
                await asyncio.sleep(1.0)
            promotions = await _sum_of_terms(deployment) - before
        gaps_s = [_longest_gap(one, started_at_s) for one in groups.values()]
    count = tries * GROUPS
    baseline_promotions = sum(gap_s > REPORT_TIMEOUT_S for gap_s in gaps_s) * tries
    return [
        SlowRow(
            series="product",
            tries=count,
            promotions=promotions,
            longest_write_gap_s=max(gaps_s),
        ),
        SlowRow(
            series=f"baseline: {REPORT_TIMEOUT_S:g} s without a write (computed)",
            tries=count,
            promotions=baseline_promotions,
            longest_write_gap_s=max(gaps_s),
        ),
    ]


async def _set_statement_s(
    deployment: Deployment, endpoints: list[str], statement_s: float
) -> None:
    for name in endpoints:
        await asyncio.to_thread(deployment.admin, name, statement_s=statement_s)


def _longest_gap(writers: Writers, started_at_s: float) -> float:
    times = [started_at_s] + [
        t for t, _, _ in writers.acknowledged if t >= started_at_s
    ]
    return max(
        later - earlier for earlier, later in zip(times, times[1:], strict=False)
    )


def main(
    mode: str = "kill", tries: int = 20, baseline_tries: int = 3, seed: int = 1
) -> None:
    """Measure the gap from SIGKILL to the next acknowledged write.

    Parameters
    ----------
    mode : str
        ``kill``; ``store-down``, the same with the store down; ``slow``,
        primaries that answer slowly and must not be replaced.
    tries, baseline_tries : int
        Tries with the product and with the baseline, which waits 3 s before it
        promotes (``bench.daemon`` with that report timeout). The mode
        ``slow`` makes ``tries`` tries at each group and has no second run.
    seed : int
        Seed of the choice of VMs and of the pauses between tries.
    """
    random = Random(seed)
    if mode == "slow":
        with Deployment(site=SIALC_STRYD, vms=3, groups=GROUPS) as deployment:
            print_rows(
                "failover", seed, asyncio.run(_measure_slow(deployment, tries, random))
            )
        return
    rows = []
    daemons = {
        "product": ("ebonyladder.daemon",),
        "baseline 3 s": ("bench.daemon", f"--silence_s={BASELINE_REPORT_TIMEOUT_S}"),
    }
    for (series, daemon), count in zip(
        daemons.items(), (tries, baseline_tries), strict=True
    ):
        with Deployment(
            site=SIALC_STRYD, vms=3, groups=GROUPS, daemon=daemon
        ) as deployment:
            is_down = mode == "store-down"
            gaps = _measure_gaps(deployment, series, count, random, is_down)
            rows.append(asyncio.run(gaps))
    print_rows(f"failover {mode}", seed, rows)


if __name__ == "__main__":
    fire.Fire(main)
