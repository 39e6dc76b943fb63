"""Time until the last VM applies a change, compared with polling of the store."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Callable
from random import Random

import fire
import msgspec

from bench.load import LoadClient, Sample, await_leases, codes_of, print_rows
from bench.operate import submit_edit
from standins.deployment import SIALC_STRYD, Deployment, digest_of

VMS = 8
# Mean interval; it is random so that the VMs are not probed simultaneously.
PROBE_INTERVAL_S = 0.02
WRITE_FRACTION = 0.2
POLL_INTERVAL_S = 5.0
OBSERVATION_S = 6.5
SLOW_DELAY_S = 0.5
PROBE_ORGANISATION = "org-large-1"
KEY_ORGANISATION = "org-large-2"
NEW_KEY = "key-granted-in-the-bench"


class PropagationRow(msgspec.Struct, frozen=True, kw_only=True):
    """Times from the submission of one change, in seconds.

    Attributes
    ----------
    answered_s : float
        Until the operator received the answer.
    last_vm_s : float
        Until the end of the last request that violated the change. Each VM
        receives a request every 20 ms on average, which is also the resolution
        for one VM.
    polling_s : float
        Until the last of eight pollers of the store read the new version.
    """

    change: str
    store: str
    answered_s: float
    last_vm_s: float
    polling_s: float
    probes: int
    refusals: dict[str, int]


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """One change, the edit that reverts it and the requests that violate it."""

    change: str
    organisation: str
    edit: dict[str, object]
    revert: dict[str, object]
    violates: Callable[[Sample], bool]


def _cases(deployment: Deployment) -> list[Case]:
    zone = deployment.site.zones[0]
    leaving_endpoint = f"g2-{deployment.site.zones[1]}"
    key = digest_of(deployment.keys[KEY_ORGANISATION])
    new_key = digest_of(NEW_KEY)
    return [
        Case(
            change="withdrawn key",
            organisation=KEY_ORGANISATION,
            edit={"edit": "withdraw-key", "digest": key},
            revert={
                "edit": "grant-key",
                "organisation": KEY_ORGANISATION,
                "digest": key,
            },
            violates=lambda sample: sample.is_served,
        ),
        Case(
            change="zone out",
            organisation=PROBE_ORGANISATION,
            edit={"edit": "zone", "zone": zone, "state": "out"},
            revert={"edit": "zone", "zone": zone, "state": "in"},
            violates=lambda sample: sample.endpoint.endswith(f"-{zone}"),
        ),
        Case(
            change="leaving endpoint",
            organisation=PROBE_ORGANISATION,
            edit={"edit": "endpoint", "endpoint": leaving_endpoint, "state": "leaving"},
            revert={
                "edit": "endpoint",
                "endpoint": leaving_endpoint,
                "state": "active",
            },
            violates=lambda sample: sample.endpoint == leaving_endpoint,
        ),
        Case(
            change="granted key",
            organisation="new-key",
            edit={
                "edit": "grant-key",
                "organisation": PROBE_ORGANISATION,
                "digest": new_key,
            },
            revert={"edit": "withdraw-key", "digest": new_key},
            violates=lambda sample: not sample.is_served,
        ),
    ]


async def _probe(client: LoadClient, number: int, organisation: str) -> None:
    """Send statements through one VM until cancelled."""
    random = Random(number)
    async with asyncio.TaskGroup() as group:
        while True:
            kind = "write" if random.random() < WRITE_FRACTION else "read"
            text = "PUT k 1" if kind == "write" else "GET k"
            group.create_task(
                client.send(
                    vm=client.deployment.vms[number],
                    organisation=organisation,
                    kind=kind,
                    text=text,
                    partition=f"p{random.randrange(100)}",
                )
            )
            await asyncio.sleep(random.expovariate(1 / PROBE_INTERVAL_S))


async def _stored_version(client: LoadClient) -> int:
    url = f"http://{client.deployment.store}/objects/configuration"
    async with client.http.get(url) as response:
        return int(response.headers["X-Version"])


async def _poll(client: LoadClient, phase_s: float, before: int) -> float:
    """Poll the store every 5 s; return the time at which a newer version was read."""
    await asyncio.sleep(phase_s)
    while True:
        if await _stored_version(client) > before:
            return time.monotonic()
        await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def _probing(client: LoadClient, organisation: str) -> AsyncIterator[None]:
    """Probe all VMs within the block."""
    tasks = [
        asyncio.create_task(_probe(client, number, organisation))
        for number in range(VMS)
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _measure(
    client: LoadClient, case: Case, store: str, random: Random
) -> PropagationRow:
    client.samples.clear()
    operator = client.deployment.vms[0]
    before = await _stored_version(client)
    async with _probing(client, case.organisation):
        await asyncio.sleep(0.5)
        started_at_s = time.monotonic()
        pollers = [
            asyncio.create_task(
                _poll(client, random.uniform(0, POLL_INTERVAL_S), before)
            )
            for _ in range(VMS)
        ]
        await submit_edit(client, operator, **case.edit)
        answered_s = time.monotonic() - started_at_s
        polled_s = max(await asyncio.gather(*pollers)) - started_at_s
        await asyncio.sleep(max(0.0, started_at_s + OBSERVATION_S - time.monotonic()))
    after = [sample for sample in client.samples if sample.ended_at_s > started_at_s]
    violated_at_s = [sample.ended_at_s for sample in after if case.violates(sample)]
    await submit_edit(client, operator, **case.revert)
    return PropagationRow(
        change=case.change,
        store=store,
        answered_s=answered_s,
        last_vm_s=max(violated_at_s, default=started_at_s) - started_at_s,
        polling_s=polled_s,
        probes=len(after),
        refusals=codes_of(after),
    )


async def _measure_all(
    deployment: Deployment, store: str, random: Random
) -> list[PropagationRow]:
    rows = []
    async with LoadClient(deployment=deployment) as client:
        for case in _cases(deployment):
            rows.append(await _measure(client, case, store, random))
            await asyncio.sleep(1.0)
    return rows


def main(store: str = "healthy", seed: int = 1) -> None:
    """Measure the time until the last of eight VMs applies each change.

    Parameters
    ----------
    store : str
        ``healthy`` or ``slow``, which delays each call by 500 ms on average.
    seed : int
        Seed of the times at which the pollers start.
    """
    with Deployment(site=SIALC_STRYD, vms=VMS, groups=3) as deployment:
        deployment.keys["new-key"] = NEW_KEY
        await_leases(deployment)
        if store == "slow":
            deployment.control_store(delay_s=SLOW_DELAY_S)
            await_leases(deployment)
        rows = asyncio.run(_measure_all(deployment, store, Random(seed)))
    print_rows("propagation", seed, rows)


if __name__ == "__main__":
    fire.Fire(main)
