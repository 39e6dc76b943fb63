"""Memory that idle caller connections take in one daemon."""

import asyncio
import time

import fire
import msgspec
import psutil

from bench.load import LoadClient, print_rows
from standins.deployment import SIALC_STRYD, Deployment

STABILIZATION_S = 2.0
MAX_CONCURRENT_OPENS = 200
ORGANISATION = "org-large-1"


class IdleRow(msgspec.Struct, frozen=True, kw_only=True):
    """Memory of one process; resident set size in MiB.

    Attributes
    ----------
    descriptors : int
        Open files of the daemon at the end, which show that it closed no connection.
    """

    series: str
    connections: int
    before_mib: float
    after_mib: float
    bytes_per_connection: float
    descriptors: int
    is_healthy: bool


def _resident_bytes(pid: int) -> int:
    return psutil.Process(pid).memory_info().rss


def _first_request(deployment: Deployment, kind: str) -> bytes:
    """Return the request that a caller sends before its connection is idle."""
    key = deployment.keys[ORGANISATION]
    headers = f"Host: vm\r\nAuthorization: Bearer {key}\r\n"
    if kind == "websocket":
        return (
            f"GET /v1/connect HTTP/1.1\r\n{headers}Upgrade: websocket\r\n"
            "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
        ).encode()
    if kind == "http":
        return f"GET /healthz HTTP/1.1\r\n{headers}\r\n".encode()
    return b""


async def _open_connections(
    host: str, port: int, count: int, request: bytes
) -> list[asyncio.StreamWriter]:
    """Open connections, send the request on each and read its status line."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_OPENS)

    async def open_one() -> asyncio.StreamWriter:
        async with limit:
            reader, writer = await asyncio.open_connection(host, port)
            if request:
                writer.write(request)
                line = await reader.readline()
                assert line.split()[1] in (b"101", b"200"), line
            return writer

    return list(await asyncio.gather(*(open_one() for _ in range(count))))


async def _measure(deployment: Deployment, kind: str, count: int) -> IdleRow:
    vm = deployment.vms[0]
    pid = deployment.processes[vm.name].pid
    host, _, port = vm.caller.rpartition(":")
    before = _resident_bytes(pid)
    writers = await _open_connections(
        host, int(port), count, _first_request(deployment, kind)
    )
    await asyncio.sleep(STABILIZATION_S)
    after = _resident_bytes(pid)
    descriptors = psutil.Process(pid).num_fds()
    async with LoadClient(deployment=deployment) as client:
        sample = await client.send(
            vm=vm, organisation=ORGANISATION, kind="read", text="GET k"
        )
    for writer in writers:
        writer.close()
    return IdleRow(
        series=kind,
        connections=len(writers),
        before_mib=before / 2**20,
        after_mib=after / 2**20,
        bytes_per_connection=(after - before) / count,
        descriptors=descriptors,
        is_healthy=sample.is_served,
    )


def main(connections: int = 10_000, seed: int = 1) -> None:
    """Measure a daemon for each kind of idle connection.

    The kinds are ``tcp`` (nothing sent yet, the baseline within aiohttp),
    ``http`` (kept alive after one request) and ``websocket``.

    Parameters
    ----------
    connections : int
        Idle connections.
    seed : int
        Printed; nothing is random.
    """
    rows = []
    for kind in ("tcp", "http", "websocket"):
        with Deployment(site=SIALC_STRYD, vms=1, groups=3) as deployment:
            time.sleep(STABILIZATION_S)
            rows.append(asyncio.run(_measure(deployment, kind, connections)))
    print_rows("idle", seed, rows)


if __name__ == "__main__":
    fire.Fire(main)
