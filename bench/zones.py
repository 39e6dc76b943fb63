"""Service while a zone is taken out of service and put back."""

import asyncio
import time
from random import Random

import aiohttp
import fire
import msgspec

from bench.load import (
    LoadClient,
    RoamingSession,
    Sample,
    await_leases,
    codes_of,
    percentile,
    print_rows,
)
from bench.operate import submit_edit
from standins.deployment import SIALC_STRYD, Deployment, Vm

VMS = 6
GROUPS = 3
SESSIONS = 30
WRITE_FRACTION = 0.1
THINK_S = 0.1
ORGANISATIONS = ("org-large-1", "org-large-2")
HEALTH_CHECK_INTERVAL_S = 0.2
BEFORE_PERIOD_S = 4.0
OUT_PERIOD_S = 6.0
RETURN_PERIOD_S = 10.0
# Promise P8: no request reaches the zone this long after it was taken out.
DRAIN_S = 4.0
WINDOW_S = 1.0
END_WINDOW_S = 2.0
RECOVERED_FRACTION = 0.9


class ZoneRow(msgspec.Struct, frozen=True, kw_only=True):
    """One zone taken out of service and put back.

    Attributes
    ----------
    failed : int
        Requests that were not served, over the whole measurement.
    answered_s : float
        From the submission of the edit that takes the zone out to its answer.
    median_ratio, p99_ratio : float
        Latency of reads at endpoints of the other zones while the zone is
        out, divided by that of such reads before.
    share_before, share_out : float
        Fraction of the reads served in the zone before, and from 4 s after the
        operator received the answer.
    share_end : float
        The same fraction in the last 2 s, when primaries may have moved.
    full_share_s : float
        Time from the return until a window of 1 s reaches 90% of the fraction
        at the end, in seconds; infinite if it does not.
    """

    series: str
    requests: int
    failed: int
    answered_s: float
    median_before_ms: float
    median_ratio: float
    p99_before_ms: float
    p99_ratio: float
    share_before: float
    share_out: float
    share_end: float
    full_share_s: float
    refusals: dict[str, int]
    refusals_out: dict[str, int]


class Balancer:
    """VMs that the platform's load balancer sends callers to.

    Parameters
    ----------
    client : LoadClient
        Client that sends the health checks.
    """

    def __init__(self, *, client: LoadClient) -> None:
        self.client = client
        self.vms: list[Vm] = list(client.deployment.vms)

    async def run(self) -> None:
        """Check the health of all VMs periodically until cancelled."""
        while True:
            all_vms = self.client.deployment.vms
            health = await asyncio.gather(*(self._is_healthy(vm) for vm in all_vms))
            healthy = [vm for vm, ok in zip(all_vms, health, strict=True) if ok]
            self.vms = healthy or self.vms
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)

    async def _is_healthy(self, vm: Vm) -> bool:
        try:
            async with self.client.http.get(f"{vm.url}/healthz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


class ZoneEvents:
    """Take a zone out and put it back through the operators' API.

    The name of the class is printed as the name of the series.

    Parameters
    ----------
    client : LoadClient
        Client of the load.
    zone : str
        Zone to take out and put back.
    """

    def __init__(self, *, client: LoadClient, zone: str) -> None:
        self.client = client
        self.zone = zone
        deployment = client.deployment
        self.operator = next(vm for vm in deployment.vms if vm.zone != zone)

    async def take_out(self) -> None:
        """Take the zone out of service."""
        await submit_edit(
            self.client, self.operator, edit="zone", zone=self.zone, state="out"
        )

    async def put_back(self) -> None:
        """Put the zone back."""
        await submit_edit(
            self.client, self.operator, edit="zone", zone=self.zone, state="in"
        )


class CutEvents(ZoneEvents):
    """Baseline: kill all processes of the zone and start them again."""

    async def take_out(self) -> None:
        """Kill the zone's daemons and endpoints."""
        deployment = self.client.deployment
        for vm in deployment.vms:
            if vm.zone == self.zone:
                deployment.kill(vm.name)
        for name, (_, zone, _) in deployment.endpoints.items():
            if zone == self.zone:
                deployment.kill(name)

    async def put_back(self) -> None:
        """Start the zone's endpoints and daemons."""
        deployment = self.client.deployment
        for name, (_, zone, _) in deployment.endpoints.items():
            if zone == self.zone:
                deployment.start_endpoint(name)
        for vm in deployment.vms:
            if vm.zone == self.zone:
                deployment.start_vm(vm)


async def _session(client: LoadClient, balancer: Balancer, number: int) -> None:
    """Read and write with pauses until cancelled."""
    random = Random(number)
    session = RoamingSession(
        client=client,
        organisation=ORGANISATIONS[number % len(ORGANISATIONS)],
        partition=f"p{number}",
        random=random,
    )
    while True:
        if random.random() < WRITE_FRACTION:
            await session.send("write", f"PUT z-{number} 1", vms=balancer.vms)
        else:
            # Without the session's token no read waits for replica lag, so
            # latencies before and after are comparable.
            token, session.token = session.token, ""
            await session.send("read", f"GET z-{number}", vms=balancer.vms)
            session.token = session.token or token
        await asyncio.sleep(random.expovariate(1 / THINK_S))


def _zone_fraction(samples: list[Sample], zone: str) -> float:
    inside = sum(sample.endpoint.endswith(f"-{zone}") for sample in samples)
    return inside / max(1, len(samples))


def _recovery_s(
    reads: list[Sample], zone: str, min_fraction: float, returned_at_s: float
) -> float:
    """Return the time until the zone served ``min_fraction`` of the reads."""
    step = 0
    while step * 0.25 <= RETURN_PERIOD_S - WINDOW_S:
        start_at_s = returned_at_s + step * 0.25
        window = [
            r for r in reads if start_at_s <= r.ended_at_s < start_at_s + WINDOW_S
        ]
        if window and _zone_fraction(window, zone) >= min_fraction:
            return start_at_s + WINDOW_S - returned_at_s
        step += 1
    return float("inf")


def _latencies_ms(samples: list[Sample], zone: str) -> list[float]:
    return [
        sample.latency_s * 1_000
        for sample in samples
        if not sample.endpoint.endswith(f"-{zone}")
    ]


def _zone(deployment: Deployment, holds: str) -> str:
    """Return the zone of the first group's primary, or another zone."""
    primary = deployment.primary_of("g1")
    primary_zone = deployment.endpoints[primary][1]
    if holds == "primary":
        return primary_zone
    return next(zone for zone in deployment.site.zones if zone != primary_zone)


async def _measure(
    deployment: Deployment, events_type: type[ZoneEvents], holds: str
) -> ZoneRow:
    zone = _zone(deployment, holds)
    async with LoadClient(deployment=deployment) as client:
        balancer = Balancer(client=client)
        events = events_type(client=client, zone=zone)
        tasks = [asyncio.create_task(balancer.run())]
        tasks += [
            asyncio.create_task(_session(client, balancer, number))
            for number in range(SESSIONS)
        ]
        await asyncio.sleep(1.0)
        started_at_s = time.monotonic()
        await asyncio.sleep(BEFORE_PERIOD_S)
        out_at_s = time.monotonic()
        await events.take_out()
        answered_at_s = time.monotonic()
        await asyncio.sleep(OUT_PERIOD_S)
        returned_at_s = time.monotonic()
        await events.put_back()
        await asyncio.sleep(RETURN_PERIOD_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        all_samples = [
            one for one in client.samples if one.started_at_s >= started_at_s
        ]
    return _row(
        events_type.__name__, zone, all_samples, out_at_s, answered_at_s, returned_at_s
    )


def _row(
    series: str,
    zone: str,
    samples: list[Sample],
    out_at_s: float,
    answered_at_s: float,
    returned_at_s: float,
) -> ZoneRow:
    reads = [one for one in samples if one.kind == "read" and one.is_served]
    before = [one for one in reads if one.ended_at_s < out_at_s]
    out = [one for one in reads if out_at_s <= one.started_at_s < returned_at_s]
    drained = [one for one in out if one.started_at_s > answered_at_s + DRAIN_S]
    latency_before_ms = _latencies_ms(before, zone)
    latency_out_ms = _latencies_ms(out, zone)
    median_ms = percentile(latency_before_ms, 0.5)
    p99_ms = percentile(latency_before_ms, 0.99)
    end_at_s = max(one.ended_at_s for one in reads)
    share_end = _zone_fraction(
        [one for one in reads if one.ended_at_s > end_at_s - END_WINDOW_S], zone
    )
    return ZoneRow(
        series=series,
        requests=len(samples),
        failed=sum(not one.is_served for one in samples),
        answered_s=answered_at_s - out_at_s,
        median_before_ms=median_ms,
        median_ratio=percentile(latency_out_ms, 0.5) / median_ms,
        p99_before_ms=p99_ms,
        p99_ratio=percentile(latency_out_ms, 0.99) / p99_ms,
        share_before=_zone_fraction(before, zone),
        share_out=_zone_fraction(drained, zone),
        share_end=share_end,
        full_share_s=_recovery_s(
            reads, zone, share_end * RECOVERED_FRACTION, returned_at_s
        ),
        refusals=codes_of(samples),
        refusals_out=codes_of(
            o for o in samples if out_at_s <= o.started_at_s < returned_at_s
        ),
    )


def main(holds: str = "primary", seed: int = 1) -> None:
    """Measure a zone that operators take out and one whose processes are killed.

    Parameters
    ----------
    holds : str
        ``primary`` for the zone of the first group's primary, ``replica`` for
        another one.
    seed : int
        Printed; sessions are seeded by their numbers.
    """
    rows = []
    for events_type in (ZoneEvents, CutEvents):
        with Deployment(site=SIALC_STRYD, vms=VMS, groups=GROUPS) as deployment:
            await_leases(deployment)
            rows.append(asyncio.run(_measure(deployment, events_type, holds)))
    print_rows("zones", seed, rows)


if __name__ == "__main__":
    fire.Fire(main)
