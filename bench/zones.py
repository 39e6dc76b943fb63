"""Service while a zone is taken out and comes back."""

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
WRITE_SHARE = 0.1
THINK_S = 0.1
ORGANISATIONS = ("org-large-1", "org-large-2")
# The balancer looks at each VM this often.
BALANCER_S = 0.2
BEFORE_S = 4.0
OUT_S = 6.0
RETURN_S = 10.0
# Time after which no request may reach the zone, by promise P8.
LEAVE_S = 4.0
WINDOW_S = 1.0
END_S = 2.0
FULL_SHARE = 0.9


class ZoneRow(msgspec.Struct, frozen=True, kw_only=True):
    """One zone taken out and returned.

    Attributes
    ----------
    failed : int
        Requests without an answer, over the whole time.
    answered_s : float
        From the submission of the zone's leave to the operator's answer.
    median_ratio, p99_ratio : float
        Latency of reads at endpoints of the other zones while the zone is
        out, against the same reads before.
    share_before, share_out : float
        Part of the reads served in the zone before, and from 4 s after the
        operator had the answer.
    share_end : float
        The same in the last 2 s, when primaries may be elsewhere than before.
    full_share_s : float
        From the return until a window of 1 s has 90% of the share at the end;
        infinite if not reached.
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
        Client to ask with.
    """

    def __init__(self, *, client: LoadClient) -> None:
        self.client = client
        self.vms: list[Vm] = list(client.deployment.vms)

    async def run(self) -> None:
        """Ask all VMs for their health until cancelled."""
        while True:
            all_vms = self.client.deployment.vms
            health = await asyncio.gather(*(self._is_healthy(vm) for vm in all_vms))
            healthy = [vm for vm, ok in zip(all_vms, health, strict=True) if ok]
            self.vms = healthy or self.vms
            await asyncio.sleep(BALANCER_S)

    async def _is_healthy(self, vm: Vm) -> bool:
        try:
            async with self.client.http.get(f"{vm.url}/healthz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False


class ZoneEvents:
    """Take a zone out and return it through the operators' API.

    Parameters
    ----------
    client : LoadClient
        Client of the load.
    zone : str
        Zone that leaves and returns.
    """

    def __init__(self, *, client: LoadClient, zone: str) -> None:
        self.client = client
        self.zone = zone
        deployment = client.deployment
        self.operator = next(vm for vm in deployment.vms if vm.zone != zone)

    async def leave(self) -> None:
        """Take the zone out."""
        await submit_edit(
            self.client, self.operator, edit="zone", zone=self.zone, state="out"
        )

    async def come_back(self) -> None:
        """Return the zone."""
        await submit_edit(
            self.client, self.operator, edit="zone", zone=self.zone, state="in"
        )


class CutEvents(ZoneEvents):
    """Baseline: kill all processes of the zone and start them again."""

    async def leave(self) -> None:
        """Kill the zone's daemons and endpoints."""
        deployment = self.client.deployment
        for vm in deployment.vms:
            if vm.zone == self.zone:
                deployment.kill(vm.name)
        for name, (_, zone, _) in deployment.endpoints.items():
            if zone == self.zone:
                deployment.kill(name)

    async def come_back(self) -> None:
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
        if random.random() < WRITE_SHARE:
            await session.send("write", f"PUT z-{number} 1", vms=balancer.vms)
        else:
            # Without the session's token no read waits for replica lag, so
            # latencies before and after are comparable.
            token, session.token = session.token, ""
            await session.send("read", f"GET z-{number}", vms=balancer.vms)
            session.token = session.token or token
        await asyncio.sleep(random.expovariate(1 / THINK_S))


def _share(samples: list[Sample], zone: str) -> float:
    inside = sum(sample.endpoint.endswith(f"-{zone}") for sample in samples)
    return inside / max(1, len(samples))


def _full_share_s(
    reads: list[Sample], zone: str, wanted: float, from_s: float
) -> float:
    """Return when the zone's share of reads reached ``wanted``."""
    step = 0
    while step * 0.25 <= RETURN_S - WINDOW_S:
        start_s = from_s + step * 0.25
        window = [r for r in reads if start_s <= r.ended_s < start_s + WINDOW_S]
        if window and _share(window, zone) >= wanted:
            return start_s + WINDOW_S - from_s
        step += 1
    return float("inf")


def _latencies_ms(samples: list[Sample], zone: str) -> list[float]:
    return [
        sample.latency_s * 1_000
        for sample in samples
        if not sample.endpoint.endswith(f"-{zone}")
    ]


def _zone(deployment: Deployment, holds: str) -> str:
    """Return the zone of the first group's primary, or one without it."""
    primary = deployment.primary_of("g1")
    found = deployment.endpoints[primary][1]
    if holds == "primary":
        return found
    return next(zone for zone in deployment.site.zones if zone != found)


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
        began_s = time.monotonic()
        await asyncio.sleep(BEFORE_S)
        out_s = time.monotonic()
        await events.leave()
        gone_s = time.monotonic()
        await asyncio.sleep(OUT_S)
        back_s = time.monotonic()
        await events.come_back()
        await asyncio.sleep(RETURN_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        all_samples = [one for one in client.samples if one.started_s >= began_s]
    return _row(events_type.__name__, zone, all_samples, out_s, gone_s, back_s)


def _row(
    series: str,
    zone: str,
    samples: list[Sample],
    out_s: float,
    gone_s: float,
    back_s: float,
) -> ZoneRow:
    reads = [one for one in samples if one.kind == "read" and one.is_served]
    before = [one for one in reads if one.ended_s < out_s]
    out = [one for one in reads if out_s <= one.started_s < back_s]
    late = [one for one in out if one.started_s > gone_s + LEAVE_S]
    latency_before_ms = _latencies_ms(before, zone)
    latency_out_ms = _latencies_ms(out, zone)
    median_ms = percentile(latency_before_ms, 0.5)
    p99_ms = percentile(latency_before_ms, 0.99)
    end_s = max(one.ended_s for one in reads)
    share_end = _share([one for one in reads if one.ended_s > end_s - END_S], zone)
    return ZoneRow(
        series=series,
        requests=len(samples),
        failed=sum(not one.is_served for one in samples),
        answered_s=gone_s - out_s,
        median_before_ms=median_ms,
        median_ratio=percentile(latency_out_ms, 0.5) / median_ms,
        p99_before_ms=p99_ms,
        p99_ratio=percentile(latency_out_ms, 0.99) / p99_ms,
        share_before=_share(before, zone),
        share_out=_share(late, zone),
        share_end=share_end,
        full_share_s=_full_share_s(reads, zone, share_end * FULL_SHARE, back_s),
        refusals=codes_of(samples),
        refusals_out=codes_of(o for o in samples if out_s <= o.started_s < back_s),
    )


def main(holds: str = "primary", seed: int = 1) -> None:
    """Measure a zone taken out by operators and one cut off.

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
