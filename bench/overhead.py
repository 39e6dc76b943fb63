"""Latency that the proxy adds, and statements per second of one daemon."""

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
WARM_UP_CALLS = 200
WARM_UP_S = 2.0
SLOTS = 64
CONNECTIONS = 200
RATE_PER_S = 100_000.0
STOP_TIMEOUT_S = 20.0
MAX_PROFILE_ROWS = 40
PRODUCT_PATH = "/ebonyladder/"


class LatencyRow(msgspec.Struct, frozen=True, kw_only=True):
    """Latency of one path to the endpoint, in milliseconds."""

    path: str
    calls: int
    median_ms: float
    p99_ms: float


class RateRow(msgspec.Struct, frozen=True, kw_only=True):
    """Throughput of one daemon.

    Attributes
    ----------
    clients : int
        Connections that each send one statement at a time.
    cores : float
        CPU seconds of the daemon per second.
    """

    clients: int
    target_per_s: float
    statements_per_s: float
    cores: float
    median_ms: float
    p99_ms: float
    refusals: dict[str, int]


class ProfileRow(msgspec.Struct, frozen=True, kw_only=True):
    """One function of the profile."""

    function: str
    calls: int
    own_share: float
    total_share: float


class DirectConnection:
    """One connection to the endpoint that bypasses the proxy.

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
    """Call each path in turn, so that all see the same load of the machine."""
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

        paths = {
            "direct": DirectConnection(socket=socket).call,
            "healthz (HTTP alone)": health,
            "proxy": proxied,
        }
        latencies_ms: dict[str, list[float]] = {name: [] for name in paths}
        for _ in range(WARM_UP_CALLS + calls):
            for name, call in paths.items():
                started_at_s = time.monotonic()
                await call()
                latencies_ms[name].append((time.monotonic() - started_at_s) * 1_000)
    rows = [
        _latency_row(name, all_ms[WARM_UP_CALLS:])
        for name, all_ms in latencies_ms.items()
    ]
    added_ms = [
        proxied_ms - direct_ms
        for proxied_ms, direct_ms in zip(
            latencies_ms["proxy"][WARM_UP_CALLS:],
            latencies_ms["direct"][WARM_UP_CALLS:],
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
    """Send from ``clients`` connections; ``target_per_s`` 0 is as fast as possible."""
    vm = deployment.vms[0]
    process = psutil.Process(deployment.processes[vm.name].pid)
    async with LoadClient(deployment=deployment) as client:
        random = Random(1)

        async def run(end_at_s: float) -> None:
            while time.monotonic() < end_at_s:
                started_at_s = time.monotonic()
                await client.send(
                    vm=vm, organisation=ORGANISATION, text="GET k", kind="read"
                )
                if target_per_s:
                    interval_s = clients / target_per_s * random.uniform(0.5, 1.5)
                    await asyncio.sleep(started_at_s + interval_s - time.monotonic())

        await asyncio.gather(*(run(time.monotonic() + 1.0) for _ in range(clients)))
        client.samples.clear()
        before, started_at_s = process.cpu_times(), time.monotonic()
        end_at_s = started_at_s + seconds
        await asyncio.gather(*(run(end_at_s) for _ in range(clients)))
        elapsed_s = time.monotonic() - started_at_s
        after = process.cpu_times()
        served_ms = [one.latency_s * 1_000 for one in client.samples if one.is_served]
        return RateRow(
            clients=clients,
            target_per_s=target_per_s,
            statements_per_s=len(served_ms) / elapsed_s,
            cores=(after.user + after.system - before.user - before.system) / elapsed_s,
            median_ms=percentile(served_ms, 0.5),
            p99_ms=percentile(served_ms, 0.99),
            refusals=codes_of(client.samples),
        )


def _profile_rows(path: Path) -> list[ProfileRow]:
    """Return the product's functions with the highest cumulative time.

    The time of a coroutine counts only while it runs, not while it waits.
    """
    stats = pstats.Stats(str(path)).stats
    total_s = sum(own_s for _, _, own_s, _, _ in stats.values())
    own = [item for item in stats.items() if PRODUCT_PATH in item[0][0]]
    ordered = sorted(own, key=lambda item: -item[1][3])
    return [
        ProfileRow(
            function=f"{Path(file).name}:{line}:{name}",
            calls=calls,
            own_share=own_s / total_s,
            total_share=cumulative_s / total_s,
        )
        for (file, line, name), (_, calls, own_s, cumulative_s, _) in ordered[
            :MAX_PROFILE_ROWS
        ]
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


def _profile(seconds: float, clients: int) -> list[ProfileRow]:
    with _deployment() as probe:
        path = probe.folder / "profile"
    with _deployment(("bench.daemon", f"--profile={path}")) as deployment:
        time.sleep(WARM_UP_S)
        asyncio.run(_rate(deployment, clients, 0.0, seconds))
        name = deployment.vms[0].name
        deployment.signal(name, signal.SIGTERM)
        deployment.processes[name].wait(STOP_TIMEOUT_S)
    return _profile_rows(path)


def main(
    mode: str = "all",
    calls: int = 3_000,
    seconds: float = 6.0,
    clients: int = 16,
    seed: int = 1,
) -> None:
    """Measure one daemon in front of one endpoint that answers immediately.

    Parameters
    ----------
    mode : str
        ``all``, or ``profile`` for the CPU profile of a saturated daemon.
    calls : int
        Calls on each path, on one connection.
    seconds : float
        Duration of each throughput series, in seconds.
    clients : int
        Connections of the throughput series.
    seed : int
        Printed; only the intervals between requests are random, with a fixed seed.
    """
    if mode == "profile":
        print_rows("overhead profile", seed, _profile(seconds, clients))
        return
    with _deployment() as deployment:
        time.sleep(WARM_UP_S)
        latency = asyncio.run(_latency(deployment, calls))
        rates = [
            asyncio.run(_rate(deployment, clients, target, seconds))
            for target in (500.0, 1_000.0, 0.0)
        ]
    print_rows("overhead latency", seed, latency)
    print_rows("overhead rate", seed, rates)


if __name__ == "__main__":
    fire.Fire(main)
