"""Load on a deployment: sessions that move between VMs, and recorded results."""

import json
import math
import time
from collections.abc import Iterable, Sequence
from random import Random
from types import TracebackType

import aiohttp
import msgspec

from standins.deployment import Deployment, Vm

CALL_TIMEOUT_S = 30.0
TRANSPORT = "transport"
# A daemon checks each second for leases that it can acquire.
LEASES_STABLE_S = 4.0
LEASES_TIMEOUT_S = 20.0


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One request and the answer that its caller received.

    Attributes
    ----------
    started_at_s, latency_s : float
        Start on the monotonic clock and duration, in seconds.
    code, outcome : str
        Code and outcome of a refusal; empty for a served request. A broken
        connection has the code ``transport`` and the outcome ``unknown``.
    """

    organisation: str
    vm: str
    kind: str
    text: str
    started_at_s: float
    latency_s: float
    code: str = ""
    outcome: str = ""
    step: str = ""
    rows: list = []
    session: str = ""
    endpoint: str = ""
    role: str = ""
    term: int = 0
    position: int = 0

    @property
    def is_served(self) -> bool:
        """Tell whether the request was answered."""
        return not self.code

    @property
    def ended_at_s(self) -> float:
        """End on the monotonic clock, in seconds."""
        return self.started_at_s + self.latency_s


class _Refusal(msgspec.Struct, kw_only=True):
    code: str = ""
    outcome: str = ""
    step: str = ""


class _Answer(msgspec.Struct, kw_only=True):
    rows: list = []
    session: str = ""
    endpoint: str = ""
    role: str = ""
    term: int = 0
    position: int = 0
    error: _Refusal | None = None


_ANSWER = msgspec.json.Decoder(_Answer)


class LoadClient:
    """Send statements to the VMs of a deployment and record the results.

    Parameters
    ----------
    deployment : Deployment
        Deployment under load.

    Attributes
    ----------
    samples : list of Sample
        Results in the order in which they arrived.
    """

    def __init__(self, *, deployment: Deployment) -> None:
        self.deployment = deployment
        self.samples: list[Sample] = []
        self.http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
        )

    async def __aenter__(self) -> "LoadClient":
        """Return the client."""
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self.http.close()

    async def send(
        self,
        *,
        vm: Vm,
        organisation: str,
        kind: str,
        text: str,
        **options: object,
    ) -> Sample:
        """Send one statement; ``options`` are further fields of the body."""
        body = {"kind": kind, "statement": text, "partition": "p", **options}
        key = self.deployment.keys[organisation]
        url = f"{vm.url}/v1/services/{self.deployment.site.service}/statements"
        headers = {"Authorization": f"Bearer {key}"}
        started_at_s = time.monotonic()
        try:
            async with self.http.post(url, json=body, headers=headers) as response:
                answer = _ANSWER.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            answer = _Answer(error=_Refusal(code=TRANSPORT, outcome="unknown"))
        refusal = answer.error or _Refusal()
        sample = Sample(
            organisation=organisation,
            vm=vm.name,
            kind=kind,
            text=text,
            started_at_s=started_at_s,
            latency_s=time.monotonic() - started_at_s,
            code=refusal.code,
            outcome=refusal.outcome,
            step=refusal.step,
            rows=answer.rows,
            session=answer.session,
            endpoint=answer.endpoint,
            role=answer.role,
            term=answer.term,
            position=answer.position,
        )
        self.samples.append(sample)
        return sample


class RoamingSession:
    """Session of one caller that sends each statement to a random VM.

    Parameters
    ----------
    client : LoadClient
        Client to send with.
    organisation, partition : str
        Organisation of the caller and partition of its data.
    random : Random
        Source for the choice of VMs.
    """

    def __init__(
        self, *, client: LoadClient, organisation: str, partition: str, random: Random
    ) -> None:
        self.client = client
        self.organisation = organisation
        self.partition = partition
        self.random = random
        self.token = ""

    async def send(
        self, kind: str, text: str, *, vms: Sequence[Vm] = (), **options: object
    ) -> Sample:
        """Send one statement and keep the session token of its answer."""
        sample = await self.client.send(
            vm=self.random.choice(vms or self.client.deployment.vms),
            organisation=self.organisation,
            kind=kind,
            text=text,
            partition=self.partition,
            session=self.token,
            **options,
        )
        if sample.is_served:
            self.token = sample.session
        return sample


def await_leases(deployment: Deployment, stable_s: float = LEASES_STABLE_S) -> None:
    """Wait until no daemon has acquired a limit lease for ``stable_s`` seconds.

    Buckets start empty, so requests can be refused by the rate limit before
    that, which most measurements must exclude. Daemons must log at level info.
    The VM that starts first acquires most leases and hands them over only 30 s
    later, which can be during a measurement.
    """
    count, changed_at_s = -1, time.monotonic()
    timeout_at_s = changed_at_s + LEASES_TIMEOUT_S
    while time.monotonic() < min(changed_at_s + stable_s, timeout_at_s):
        found = sum(
            (deployment.folder / f"{vm.name}.log")
            .read_text()
            .count("Lease is acquired")
            for vm in deployment.vms
        )
        if found != count:
            count, changed_at_s = found, time.monotonic()
        time.sleep(0.1)


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return the smallest value that ``fraction`` of all values do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(fraction * len(ordered)) - 1)]


def codes_of(samples: Iterable[Sample]) -> dict[str, int]:
    """Return how often each refusal occurred, keyed by ``code/outcome/step``."""
    counts: dict[str, int] = {}
    for sample in samples:
        if not sample.is_served:
            name = f"{sample.code}/{sample.outcome}/{sample.step}"
            counts[name] = counts.get(name, 0) + 1
    return counts


def print_rows(name: str, seed: int, rows: Sequence[msgspec.Struct]) -> None:
    """Print the rows as one JSON document and then as a table."""
    values = [msgspec.to_builtins(row) for row in rows]
    print(json.dumps({"bench": name, "seed": seed, "rows": values}))
    columns = [
        field
        for field in values[0]
        if not any(isinstance(row[field], list | dict) for row in values)
    ]
    widths = {
        field: max(len(field), *(len(_format_cell(row[field])) for row in values)) + 2
        for field in columns
    }
    print("".join(f"{field:>{widths[field]}}" for field in columns))
    for row in values:
        print("".join(f"{_format_cell(row[f]):>{widths[f]}}" for f in columns))


def _format_cell(value: object) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)
