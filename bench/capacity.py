"""Control traffic, CPU time, memory and store calls of real deployments.

Daemons, endpoints and store are processes on loopback. Peer bytes are those of
the encoded messages, without headers of WebSocket, TCP and IP; the bytes of
endpoint connections are all other WebSocket payload.
"""

import asyncio
import json
import os
import subprocess
import time
from collections import Counter

import fire
import msgspec
import psutil
from aiohttp import ClientSession, ClientWebSocketResponse, TCPConnector

from bench.metered_daemon import FOLDER_VARIABLE
from standins.deployment import Deployment, Vm

SIZES = (1, 2, 4, 8)
GROUPS = 3
MORE_GROUPS = 9
# The daemons acquire reserve leases within 6 s, from 1 s after the start.
WARM_UP_S = 18.0
LOAD_PER_S = 40.0
CONNECTIONS = 3_000
CONCURRENT_OPENS = 50
MEGABYTE = 1_000_000


class MeteredDeployment(Deployment):
    """Deployment whose daemons count the bytes of their connections."""

    def start(self) -> None:
        """Start all processes."""
        os.environ[FOLDER_VARIABLE] = str(self.folder)
        super().start()

    def _spawn(self, name: str, *command: str) -> subprocess.Popen:
        metered = [
            c.replace("ebonyladder.daemon", "bench.metered_daemon") for c in command
        ]
        return super()._spawn(name, *metered)

    def counts(self) -> Counter[str]:
        """Return the counted bytes of all daemons together."""
        total: Counter[str] = Counter()
        for vm in self.vms:
            total.update(json.loads((self.folder / f"{vm.name}.counts").read_text()))
        return total

    def cpu_s(self) -> float:
        """Return the CPU time of all daemons together, in seconds."""
        times = [p.cpu_times() for p in self._daemons()]
        return sum(t.user + t.system for t in times)

    def memory_mb(self) -> float:
        """Return the mean resident memory of a daemon, in megabytes."""
        sizes = [p.memory_info().rss for p in self._daemons()]
        return sum(sizes) / len(sizes) / MEGABYTE

    def _daemons(self) -> list[psutil.Process]:
        return [psutil.Process(self.processes[vm.name].pid) for vm in self.vms]


class PeriodMeans(msgspec.Struct, frozen=True, kw_only=True):
    """Means for one daemon over a period, and store calls of the whole fleet."""

    vms: int
    groups: int
    load_per_s: float
    cpu_percent: float
    memory_mb: float
    peer_sent_bytes_s: float
    peer_received_bytes_s: float
    endpoint_bytes_s: float
    bytes_s_by_message: dict[str, float]
    store_calls_s: dict[str, float]


class IdleMemory(msgspec.Struct, frozen=True, kw_only=True):
    """Memory of idle caller connections."""

    kind: str
    connections: int
    bytes_each: float


async def _measure(
    deployment: MeteredDeployment, groups: int, seconds: float, load_per_s: float
) -> PeriodMeans:
    vms = len(deployment.vms)
    counts, calls = deployment.counts(), deployment.store_calls()
    cpu_s, started_at_s = deployment.cpu_s(), time.monotonic()
    if load_per_s:
        await _send(deployment, seconds, load_per_s)
    else:
        await asyncio.sleep(seconds)
    elapsed_s = time.monotonic() - started_at_s
    cpu_s = deployment.cpu_s() - cpu_s
    rates: Counter[str] = Counter()
    for name, count in deployment.counts().items():
        rates[name] = (count - counts[name]) / elapsed_s / vms
    peer = rates["peer sent"] + rates["peer received"]
    sockets = rates["sockets sent"] + rates["sockets received"]
    return PeriodMeans(
        vms=vms,
        groups=groups,
        load_per_s=load_per_s,
        cpu_percent=round(100 * cpu_s / elapsed_s / vms, 2),
        memory_mb=round(deployment.memory_mb(), 1),
        peer_sent_bytes_s=round(rates["peer sent"], 1),
        peer_received_bytes_s=round(rates["peer received"], 1),
        endpoint_bytes_s=round(sockets - peer, 1),
        bytes_s_by_message={
            name: round(rate, 1)
            for name, rate in sorted(rates.items())
            if rate and not name.startswith(("peer", "sockets"))
        },
        store_calls_s={
            name: round((count - calls.get(name, 0)) / elapsed_s, 2)
            for name, count in deployment.store_calls().items()
        },
    )


async def _send(
    deployment: MeteredDeployment, seconds: float, load_per_s: float
) -> None:
    """Send reads at a constant rate to all daemons in turn."""
    organisation, key = next(iter(deployment.keys.items()))
    body = {"kind": "read", "statement": "GET a", "partition": organisation}
    headers = {"Authorization": f"Bearer {key}"}
    path = f"/v1/services/{deployment.site.service}/statements"
    async with ClientSession(headers=headers) as session, asyncio.TaskGroup() as tasks:
        for number in range(int(seconds * load_per_s)):
            url = deployment.vms[number % len(deployment.vms)].url + path
            tasks.create_task(_post(session, url, body))
            await asyncio.sleep(1 / load_per_s)


async def _post(session: ClientSession, url: str, body: dict[str, str]) -> None:
    async with session.post(url, json=body) as answer:
        await answer.read()


async def _idle_sockets(deployment: MeteredDeployment, vm: Vm) -> IdleMemory:
    """Return the memory of idle WebSocket connections."""
    headers = {"Authorization": f"Bearer {next(iter(deployment.keys.values()))}"}
    before = deployment.memory_mb()
    sockets: list[ClientWebSocketResponse] = []
    connector = TCPConnector(limit=0)
    async with ClientSession(headers=headers, connector=connector) as session:
        for _ in range(CONNECTIONS // CONCURRENT_OPENS):
            opening = (
                session.ws_connect(f"{vm.url}/v1/connect")
                for _ in range(CONCURRENT_OPENS)
            )
            sockets.extend(await asyncio.gather(*opening))
        await asyncio.sleep(1.0)
        growth_mb = deployment.memory_mb() - before
        await asyncio.gather(*(socket.close() for socket in sockets))
    each = growth_mb * MEGABYTE / CONNECTIONS
    return IdleMemory(kind="websocket", connections=CONNECTIONS, bytes_each=round(each))


async def _idle_http(deployment: MeteredDeployment, vm: Vm) -> IdleMemory:
    """Return the memory of HTTP connections kept alive after one request."""
    before = deployment.memory_mb()
    host, port = vm.caller.split(":")
    request = f"GET /healthz HTTP/1.1\r\nHost: {vm.caller}\r\n\r\n".encode()
    writers = []
    for _ in range(CONNECTIONS):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(request)
        await reader.read(1)
        writers.append(writer)
    await asyncio.sleep(1.0)
    growth_mb = deployment.memory_mb() - before
    for writer in writers:
        writer.close()
    each = growth_mb * MEGABYTE / CONNECTIONS
    return IdleMemory(kind="http", connections=CONNECTIONS, bytes_each=round(each))


async def _run_size(vms: int, groups: int, seconds: float) -> list[PeriodMeans]:
    with MeteredDeployment(vms=vms, groups=groups, log_level="warning") as deployment:
        await asyncio.sleep(WARM_UP_S)
        idle = await _measure(deployment, groups, seconds, 0.0)
        return [idle, await _measure(deployment, groups, seconds, LOAD_PER_S)]


async def _run_connections() -> list[IdleMemory]:
    results = []
    for measure in (_idle_http, _idle_sockets):
        with MeteredDeployment(vms=1, log_level="warning") as deployment:
            await asyncio.sleep(WARM_UP_S)
            results.append(await measure(deployment, deployment.vms[0]))
    return results


async def _run(sizes: tuple[int, ...], seconds: float) -> None:
    periods: list[PeriodMeans] = []
    for vms in sizes:
        periods.extend(await _run_size(vms, GROUPS, seconds))
    periods.extend(await _run_size(1, MORE_GROUPS, seconds))
    idle = await _run_connections()
    print(json.dumps(msgspec.to_builtins({"periods": periods, "idle": idle})))
    print("VMs groups load/s  CPU %  RSS MB  sent B/s  recv B/s  endpoint B/s  store/s")
    for row in periods:
        print(
            f"{row.vms:3} {row.groups:6} {row.load_per_s:6.0f} {row.cpu_percent:6.2f} "
            f"{row.memory_mb:7.1f} {row.peer_sent_bytes_s:9.0f} "
            f"{row.peer_received_bytes_s:9.0f} {row.endpoint_bytes_s:13.0f} "
            f"{sum(row.store_calls_s.values()):8.1f}"
        )
    for kind in idle:
        print(f"idle {kind.kind}: {kind.bytes_each:.0f} B each of {kind.connections}")


def main(*, sizes: tuple[int, ...] = SIZES, seconds: float = 8.0) -> None:
    """Print one JSON document, then a table.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of daemons.
    seconds : float
        Length of each measurement.
    """
    asyncio.run(_run(sizes, seconds))


if __name__ == "__main__":
    fire.Fire(main)
