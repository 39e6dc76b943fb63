"""Time until the last VM obeys a change, and how long polling would take."""

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
# Mean pause; random pauses keep the probes of the VMs from falling together.
PROBE_S = 0.02
WRITE_SHARE = 0.2
POLL_S = 5.0
WATCH_S = 6.5
SLOW_DELAY_S = 0.5
PROBER = "org-large-1"
KEY_OWNER = "org-large-2"
NEW_KEY = "key-granted-in-the-bench"


class PropagationRow(msgspec.Struct, frozen=True, kw_only=True):
    """Times from the submission of one change, in seconds.

    Attributes
    ----------
    answered_s : float
        Until the operator had the answer.
    last_vm_s : float
        Until the last request that went against the change had ended, over
        requests sent to every VM each 20 ms on average, which is also the
        resolution for one VM.
    polling_s : float
        Until the last of eight pollers of the store had the new version.
    """

    change: str
    store: str
    answered_s: float
    last_vm_s: float
    polling_s: float
    probes: int
    refusals: dict[str, int]


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """One change, its undoing and the requests that go against it."""

    change: str
    organisation: str
    edit: dict[str, object]
    undo: dict[str, object]
    violates: Callable[[Sample], bool]


def _cases(deployment: Deployment) -> list[Case]:
    zone = deployment.site.zones[0]
    leaving = f"g2-{deployment.site.zones[1]}"
    key = digest_of(deployment.keys[KEY_OWNER])
    new_key = digest_of(NEW_KEY)
    return [
        Case(
            change="withdrawn key",
            organisation=KEY_OWNER,
            edit={"edit": "withdraw-key", "digest": key},
            undo={"edit": "grant-key", "organisation": KEY_OWNER, "digest": key},
            violates=lambda sample: sample.is_served,
        ),
        Case(
            change="zone out",
            organisation=PROBER,
            edit={"edit": "zone", "zone": zone, "state": "out"},
            undo={"edit": "zone", "zone": zone, "state": "in"},
            violates=lambda sample: sample.endpoint.endswith(f"-{zone}"),
        ),
        Case(
            change="leaving endpoint",
            organisation=PROBER,
            edit={"edit": "endpoint", "endpoint": leaving, "state": "leaving"},
            undo={"edit": "endpoint", "endpoint": leaving, "state": "active"},
            violates=lambda sample: sample.endpoint == leaving,
        ),
        Case(
            change="granted key",
            organisation="new-key",
            edit={"edit": "grant-key", "organisation": PROBER, "digest": new_key},
            undo={"edit": "withdraw-key", "digest": new_key},
            violates=lambda sample: not sample.is_served,
        ),
    ]


async def _probe(client: LoadClient, number: int, organisation: str) -> None:
    """Send statements through one VM until cancelled."""
    random = Random(number)
    async with asyncio.TaskGroup() as group:
        while True:
            kind = "write" if random.random() < WRITE_SHARE else "read"
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
            await asyncio.sleep(random.expovariate(1 / PROBE_S))


async def _stored_version(client: LoadClient) -> int:
    url = f"http://{client.deployment.store}/objects/configuration"
    async with client.http.get(url) as response:
        return int(response.headers["X-Version"])


async def _poll(client: LoadClient, phase_s: float, before: int) -> float:
    """Poll the store each 5 s; return when a newer version was seen."""
    await asyncio.sleep(phase_s)
    while True:
        if await _stored_version(client) > before:
            return time.monotonic()
        await asyncio.sleep(POLL_S)


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
        began_s = time.monotonic()
        pollers = [
            asyncio.create_task(_poll(client, random.uniform(0, POLL_S), before))
            for _ in range(VMS)
        ]
        await submit_edit(client, operator, **case.edit)
        answered_s = time.monotonic() - began_s
        polled_s = max(await asyncio.gather(*pollers)) - began_s
        await asyncio.sleep(max(0.0, began_s + WATCH_S - time.monotonic()))
    after = [sample for sample in client.samples if sample.ended_s > began_s]
    against = [sample.ended_s for sample in after if case.violates(sample)]
    await submit_edit(client, operator, **case.undo)
    return PropagationRow(
        change=case.change,
        store=store,
        answered_s=answered_s,
        last_vm_s=max(against, default=began_s) - began_s,
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
    """Measure how fast each change reaches the last of eight VMs.

    Parameters
    ----------
    store : str
        ``healthy`` or ``slow``, which takes 500 ms a call on average.
    seed : int
        Seed of the pollers' phases.
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
