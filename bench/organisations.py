"""Worst-served organisation while another sends at ten times its normal rate."""

import asyncio
import time
from random import Random

import fire
import msgspec

from bench.load import LoadClient, await_leases, codes_of, percentile, print_rows
from standins.deployment import CARONI_BALLAST, Deployment

VMS = 6
GROUPS = 3
LARGE_ORGANISATION = "org-large-1"
DEMAND_PER_S = 30.0
EXCESS_FACTOR = 10.0
WRITE_FRACTION = 0.5
# Three slots of 40 ms allow 225 writes/s at the three primaries; the eight
# organisations use 120 of them, and 255 with the excess.
STATEMENT_MS = 40.0
# Above each organisation's demand, so that only the excess is refused.
RATE_LIMIT = (45.0, 45.0)
NO_LIMIT = (10_000.0, 10_000.0)


class OrganisationRow(msgspec.Struct, frozen=True, kw_only=True):
    """Result for the seven organisations other than the large one.

    Attributes
    ----------
    worst_share : float
        Served fraction of the requests of the worst-served organisation.
    worst_p99_ms, p99_ratio : float
        Highest p99 of the seven, and the highest ratio of an organisation's
        p99 to its own in the run without excess.
    """

    rates: str
    load: str
    sent: int
    worst: str
    worst_share: float
    worst_p99_ms: float
    p99_ratio: float
    large_share: float
    refusals: dict[str, int]


async def _arrivals(
    client: LoadClient, organisation: str, rate_per_s: float, end_at_s: float, seed: int
) -> None:
    """Send Poisson arrivals without waiting for earlier requests."""
    random = Random(f"{organisation}/{seed}")
    next_at_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        while next_at_s < end_at_s:
            kind = "write" if random.random() < WRITE_FRACTION else "read"
            number = random.randrange(1_000)
            vm = random.choice(client.deployment.vms)
            text = f"PUT o{number} 1" if kind == "write" else f"GET o{number}"
            next_at_s += random.expovariate(rate_per_s)
            await asyncio.sleep(next_at_s - time.monotonic())
            group.create_task(
                client.send(
                    vm=vm,
                    organisation=organisation,
                    kind=kind,
                    text=text,
                    partition=f"p{number}",
                )
            )


async def _run_load(
    deployment: Deployment, factor: float, seconds: float, seed: int
) -> LoadClient:
    async with LoadClient(deployment=deployment) as client:
        end_at_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            for name in deployment.site.organisations:
                rate_per_s = DEMAND_PER_S * (
                    factor if name == LARGE_ORGANISATION else 1.0
                )
                group.create_task(_arrivals(client, name, rate_per_s, end_at_s, seed))
        return client


def _served(client: LoadClient, name: str) -> tuple[float, float]:
    """Return the served fraction of the requests and their p99 in milliseconds."""
    own = [one for one in client.samples if one.organisation == name]
    served_ms = [one.latency_s * 1_000 for one in own if one.is_served]
    return len(served_ms) / max(1, len(own)), percentile(served_ms, 0.99)


def _row(
    rates: str, load: str, client: LoadClient, baseline: LoadClient
) -> OrganisationRow:
    others = [
        name
        for name in client.deployment.site.organisations
        if name != LARGE_ORGANISATION
    ]
    served = {name: _served(client, name) for name in others}
    baseline_served = {name: _served(baseline, name) for name in others}
    worst = min(others, key=lambda name: served[name][0])
    other_samples = [
        one for one in client.samples if one.organisation != LARGE_ORGANISATION
    ]
    return OrganisationRow(
        rates=rates,
        load=load,
        sent=len(client.samples),
        worst=worst,
        worst_share=served[worst][0],
        worst_p99_ms=max(p99_ms for _, p99_ms in served.values()),
        p99_ratio=max(served[name][1] / baseline_served[name][1] for name in others),
        large_share=_served(client, LARGE_ORGANISATION)[0],
        refusals=codes_of(other_samples),
    )


def main(rates: str = "limited", seconds: float = 15.0, seed: int = 1) -> None:
    """Measure the seven other organisations with and without the excess of the large.

    Parameters
    ----------
    rates : str
        ``limited``: each has a rate limit of 1.5 times its demand;
        ``unlimited``: only the queues at the endpoints limit the excess.
    seconds : float
        Duration of each load.
    seed : int
        Seed of arrivals, the same with and without the excess.
    """
    limit = RATE_LIMIT if rates == "limited" else NO_LIMIT
    site = CARONI_BALLAST._replace(
        statement_ms=STATEMENT_MS,
        organisations=dict.fromkeys(CARONI_BALLAST.organisations, limit),
    )
    with Deployment(site=site, vms=VMS, groups=GROUPS) as deployment:
        await_leases(deployment)
        asyncio.run(_run_load(deployment, 1.0, 1.0, seed))
        baseline = asyncio.run(_run_load(deployment, 1.0, seconds, seed))
        excess = asyncio.run(_run_load(deployment, EXCESS_FACTOR, seconds, seed))
    rows = [
        _row(rates, "alone", baseline, baseline),
        _row(rates, f"one at {EXCESS_FACTOR:g}x", excess, baseline),
    ]
    print_rows("organisations", seed, rows)


if __name__ == "__main__":
    fire.Fire(main)
