"""Fraction of reads that replicas serve, and a check that no answer is stale."""

import asyncio
import time
from random import Random

import fire
import msgspec

from bench.load import LoadClient, RoamingSession, Sample, codes_of, print_rows
from standins.deployment import SIALC_STRYD, Deployment

SESSIONS = 24
WRITE_FRACTION = 0.1
ORGANISATIONS = ("org-large-1", "org-large-2")
WARM_UP_S = 2.0
# Mean think times; interactive sessions pause longer than programs.
THINK_S = (0.0, 0.1, 0.5)
MAX_AGE_MS = 1_000


class ReplicaReadRow(msgspec.Struct, frozen=True, kw_only=True):
    """Reads of one series.

    Attributes
    ----------
    think_s : float
        Mean think time of a session, exponentially distributed, in seconds.
    share : float
        Fraction of the served reads that a replica answered.
    baseline_share : float
        The same fraction if all reads after a session's first write went to the
        primary, computed from the same reads.
    stale : int
        Answers without a write that they must contain.
    """

    series: str
    think_s: float
    reads: int
    share: float
    baseline_share: float
    stale: int
    refused: int
    p50_ms: float
    p99_ms: float
    refusals: dict[str, int]


class WriteCounter(msgspec.Struct, kw_only=True):
    """Writes of one session and when they were acknowledged.

    Attributes
    ----------
    values : list of tuple
        Time of acknowledgement and value, in order.
    """

    values: list[tuple[float, int]] = msgspec.field(default_factory=lambda: [(0.0, 0)])
    attempted: int = 0


class Series:
    """Sessions that read and write their own counter.

    Parameters
    ----------
    client : LoadClient
        Client to send with.
    think_s : float
        Mean think time between statements, in seconds.
    max_age_ms : int, optional
        Staleness that reads accept; they then carry no session token.
    random : Random
        Source of choices and pauses.
    """

    def __init__(
        self,
        *,
        client: LoadClient,
        think_s: float,
        max_age_ms: int | None,
        random: Random,
    ) -> None:
        self.client = client
        self.think_s = think_s
        self.max_age_ms = max_age_ms
        self.random = random
        self.counters = [WriteCounter() for _ in range(SESSIONS)]
        self.reads: list[Sample] = []
        self.reads_before_write = 0
        self.stale = 0

    async def run(self, seconds: float) -> None:
        """Run all sessions for ``seconds``."""
        end_at_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            for number in range(SESSIONS):
                group.create_task(self._session(number, end_at_s))

    async def _session(self, number: int, end_at_s: float) -> None:
        session = RoamingSession(
            client=self.client,
            organisation=ORGANISATIONS[number % len(ORGANISATIONS)],
            partition=f"partition-{number % 9}",
            random=self.random,
        )
        key = f"c-{number}-{self.think_s}-{self.max_age_ms}"
        while time.monotonic() < end_at_s:
            if self.random.random() < WRITE_FRACTION:
                await self._write(session, self.counters[number], key)
            else:
                await self._read(session, self.counters[number], key)
            if self.think_s:
                await asyncio.sleep(self.random.expovariate(1 / self.think_s))

    async def _write(
        self, session: RoamingSession, counter: WriteCounter, key: str
    ) -> None:
        counter.attempted += 1
        value = counter.attempted
        sample = await session.send("write", f"PUT {key} {value}")
        if sample.is_served:
            counter.values.append((sample.ended_at_s, value))

    async def _read(
        self, session: RoamingSession, counter: WriteCounter, key: str
    ) -> None:
        has_written = counter.attempted > 0
        options = {}
        if self.max_age_ms is not None:
            session.token = ""
            options["max_age_ms"] = self.max_age_ms
        sample = await session.send("read", f"GET {key}", **options)
        if not sample.is_served:
            return
        self.reads.append(sample)
        self.reads_before_write += not has_written
        min_value = self._min_value(counter, sample)
        self.stale += int(sample.rows[0] or 0) < min_value

    def _min_value(self, counter: WriteCounter, sample: Sample) -> int:
        """Return the oldest value that the answer may show.

        The product bounds the staleness at the time of the read, which is not
        known here; the start of the request is earlier, so the check allows for
        the latency of the request.
        """
        if self.max_age_ms is None:
            return counter.values[-1][1]
        oldest_at_s = sample.started_at_s - self.max_age_ms / 1000
        return max(value for at_s, value in counter.values if at_s <= oldest_at_s)


async def _measure(
    deployment: Deployment,
    think_s: float,
    max_age_ms: int | None,
    seconds: float,
    random: Random,
) -> ReplicaReadRow:
    async with LoadClient(deployment=deployment) as client:
        series = Series(
            client=client, think_s=think_s, max_age_ms=max_age_ms, random=random
        )
        await series.run(seconds)
    reads = series.reads
    at_replica = [read for read in reads if read.role == "replica"]
    latencies_ms = sorted(read.latency_s * 1_000 for read in reads)
    return ReplicaReadRow(
        series="session" if max_age_ms is None else f"age {max_age_ms} ms",
        think_s=think_s,
        reads=len(reads),
        share=len(at_replica) / max(1, len(reads)),
        baseline_share=series.reads_before_write / max(1, len(reads)),
        stale=series.stale,
        refused=sum(not sample.is_served for sample in client.samples),
        p50_ms=latencies_ms[len(latencies_ms) // 2],
        p99_ms=latencies_ms[int(len(latencies_ms) * 0.99)],
        refusals=codes_of(client.samples),
    )


def main(seconds: float = 8.0, seed: int = 1, lag_ms: float = 200.0) -> None:
    """Measure the fraction of reads that replicas serve.

    Parameters
    ----------
    seconds : float
        Duration of each series.
    seed : int
        Seed of VMs, kinds of statements and pauses.
    lag_ms : float
        Time between the receipt of an entry and its visibility at a replica.
    """
    random = Random(seed)
    cases = [(think_s, None) for think_s in THINK_S]
    cases += [(0.0, MAX_AGE_MS), (0.1, MAX_AGE_MS)]
    site = SIALC_STRYD._replace(lag_ms=lag_ms)
    rows = []
    with Deployment(site=site, vms=3, groups=3) as deployment:
        time.sleep(WARM_UP_S)
        for think_s, max_age_ms in cases:
            measured = _measure(deployment, think_s, max_age_ms, seconds, random)
            rows.append(asyncio.run(measured))
    print_rows("replicas", seed, rows)


if __name__ == "__main__":
    fire.Fire(main)
