"""Added latency of the proxy, and statements a second of one daemon."""

import asyncio
import pstats
import signal
import time
from pathlib import Path
from random import Random

import fire
import msgspec
import psutil
from websockets.asyncio.client import ClientConnection, connect

from bench.load import LoadClient, codes_of, percentile, print_rows
from standins.deployment import SIALC_STRYD, Deployment

ORGANISATION = "org-large-1"
WARM_UP = 200
SETTLE_S = 2.0
SLOTS = 64
CONNECTIONS = 200
RATE_PER_S = 100_000.0
WAIT_S = 20.0
TOP_COSTS = 40
PRODUCT = "/ebonyladder/"


class LatencyRow(msgspec.Struct, frozen=True, kw_only=True):
    """Latency of one way to the endpoint, in milliseconds."""

    path: str
    calls: int
    median_ms: float
    p99_ms: float


class RateRow(msgspec.Struct, frozen=True, kw_only=True):
    """Throughput of one daemon.

    Attributes
    ----------
    clients : int
        Connections that each send one statement after the other.
    cores : float
        CPU time of the daemon for each second.
    """

    clients: int
    target_per_s: float
    statements_per_s: float
    cores: float
    median_ms: float
    p99_ms: float
    refusals: dict[str, int]


class CostRow(msgspec.Struct, frozen=True, kw_only=True):
    """One function of the profile."""

    function: str
    calls: int
    own_share: float
    total_share: float


class Direct:
    """One connection to the endpoint, past the proxy.

    Parameters
    ----------
    socket : ClientConnection
        Open connection for statements.
    """

    def __init__(self, *, socket: ClientConnection) -> None:
        self.socket = socket
        self.number = 0

    async def call(self) -> None:
        """Run one statement."""
        self.number += 1
        request = {
            "id": self.number,
            "op": "execute",
            "organisation": ORGANISATION,
            "kind": "read",
            "text": "GET k",
        }
        await self.socket.send(msgspec.json.encode(request))
        msgspec.json.decode(await self.socket.recv())


async def _latency(deployment: Deployment, calls: int) -> list[LatencyRow]:
    """Call each way in turn, so that all meet the same load of the machine."""
    vm = deployment.vms[0]
    address = next(iter(deployment.endpoints.values()))[0]
    async with (
        LoadClient(deployment=deployment) as client,
        connect(f"ws://{address}/sql", compression=None) as socket,
    ):
        await socket.recv()

        async def proxied() -> None:
            sample = await client.send(
                vm=vm, organisation=ORGANISATION, text="GET k", kind="read"
            )
            assert sample.is_served, sample

        async def health() -> None:
            async with client.http.get(f"{vm.url}/healthz") as response:
                await response.read()

        ways = {
            "direct": Direct(socket=socket).call,
            "healthz (HTTP alone)": health,
            "proxy": proxied,
        }
        latencies_ms: dict[str, list[float]] = {name: [] for name in ways}
        for _ in range(WARM_UP + calls):
            for name, way in ways.items():
                began_s = time.monotonic()
                await way()
                latencies_ms[name].append((time.monotonic() - began_s) * 1_000)
    rows = [
        _latency_row(name, all_ms[WARM_UP:]) for name, all_ms in latencies_ms.items()
    ]
    added_ms = [
        through - past
        for through, past in zip(
            latencies_ms["proxy"][WARM_UP:],
            latencies_ms["direct"][WARM_UP:],
            strict=True,
        )
    ]
    return [*rows, _latency_row("added (proxy - direct)", added_ms)]


def _latency_row(path: str, latencies_ms: list[float]) -> LatencyRow:
    return LatencyRow(
        path=path,
        calls=len(latencies_ms),
        median_ms=percentile(latencies_ms, 0.5),
        p99_ms=percentile(latencies_ms, 0.99),
    )


async def _rate(
    deployment: Deployment, clients: int, target_per_s: float, seconds: float
) -> RateRow:
    """Send from ``clients`` connections, paced to a total rate unless it is 0."""
    vm = deployment.vms[0]
    process = psutil.Process(deployment.processes[vm.name].pid)
    async with LoadClient(deployment=deployment) as client:
        random = Random(1)

        async def run(end_s: float) -> None:
            while time.monotonic() < end_s:
                began_s = time.monotonic()
                await client.send(
                    vm=vm, organisation=ORGANISATION, text="GET k", kind="read"
                )
                if target_per_s:
                    pause_s = clients / target_per_s * random.uniform(0.5, 1.5)
                    await asyncio.sleep(began_s + pause_s - time.monotonic())

        await asyncio.gather(*(run(time.monotonic() + 1.0) for _ in range(clients)))
        client.samples.clear()
        used, began_s = process.cpu_times(), time.monotonic()
        end_s = began_s + seconds
        await asyncio.gather(*(run(end_s) for _ in range(clients)))
        elapsed_s = time.monotonic() - began_s
        now = process.cpu_times()
        served = [one.latency_s * 1_000 for one in client.samples if one.is_served]
        return RateRow(
            clients=clients,
            target_per_s=target_per_s,
            statements_per_s=len(served) / elapsed_s,
            cores=(now.user + now.system - used.user - used.system) / elapsed_s,
            median_ms=percentile(served, 0.5),
            p99_ms=percentile(served, 0.99),
            refusals=codes_of(client.samples),
        )


def _costs(path: Path) -> list[CostRow]:
    """Return the product's functions with the greatest cost, callees included.

    The time of coroutines that wait in between counts only while they run.
    """
    stats = pstats.Stats(str(path)).stats
    total_s = sum(own_s for _, _, own_s, _, _ in stats.values())
    own = [item for item in stats.items() if PRODUCT in item[0][0]]
    ordered = sorted(own, key=lambda item: -item[1][3])
    return [
        CostRow(
            function=f"{Path(file).name}:{line}:{name}",
            calls=calls,
            own_share=own_s / total_s,
            total_share=whole_s / total_s,
        )
        for (file, line, name), (_, calls, own_s, whole_s, _) in ordered[:TOP_COSTS]
    ]


def _deployment(daemon: tuple[str, ...] = ("ebonyladder.daemon",)) -> Deployment:
    site = SIALC_STRYD._replace(
        zones=SIALC_STRYD.zones[:1],
        regions=SIALC_STRYD.regions[:1],
        slots=SLOTS,
        connections=CONNECTIONS,
        connect_ms=1.0,
        statement_ms=0.0,
        lag_ms=0.0,
        network_ms=0.0,
        organisations={ORGANISATION: (RATE_PER_S, RATE_PER_S)},
    )
    return Deployment(site=site, vms=1, groups=1, daemon=daemon, log_level="warning")


def _profile(seconds: float, clients: int) -> list[CostRow]:
    with _deployment() as probe:
        path = probe.folder / "profile"
    with _deployment(("bench.daemon", f"--profile={path}")) as deployment:
        time.sleep(SETTLE_S)
        asyncio.run(_rate(deployment, clients, 0.0, seconds))
        name = deployment.vms[0].name
        deployment.signal(name, signal.SIGTERM)
        deployment.processes[name].wait(WAIT_S)
    return _costs(path)


def main(
    mode: str = "all",
    calls: int = 3_000,
    seconds: float = 6.0,
    clients: int = 16,
    seed: int = 1,
) -> None:
    """Measure one daemon in front of one endpoint that answers at once.

    Parameters
    ----------
    mode : str
        ``all``, or ``profile`` for the costs inside a saturated daemon.
    calls : int
        Calls on one connection for each way.
    seconds : float
        Time of each throughput series.
    clients : int
        Connections of the throughput series.
    seed : int
        Printed; the series has no random choice but its pauses.
    """
    if mode == "profile":
        print_rows("overhead profile", seed, _profile(seconds, clients))
        return
    with _deployment() as deployment:
        time.sleep(SETTLE_S)
        latency = asyncio.run(_latency(deployment, calls))
        rates = [
            asyncio.run(_rate(deployment, clients, target, seconds))
            for target in (500.0, 1_000.0, 0.0)
        ]
    print_rows("overhead latency", seed, latency)
    print_rows("overhead rate", seed, rates)


if __name__ == "__main__":
    fire.Fire(main)
