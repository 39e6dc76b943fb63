"""Memory of one daemon with idle client connections."""

import asyncio
import time

import fire
import msgspec
import psutil

from bench.load import LoadClient, print_rows
from standins.deployment import SIALC_STRYD, Deployment

SETTLE_S = 2.0
OPEN_AT_ONCE = 200
ORGANISATION = "org-large-1"


class IdleRow(msgspec.Struct, frozen=True, kw_only=True):
    """Memory of one process; resident set size in MiB.

    Attributes
    ----------
    descriptors : int
        Open files of the daemon at the end, which shows that it kept them all.
    """

    series: str
    connections: int
    before_mib: float
    after_mib: float
    bytes_per_connection: float
    descriptors: int
    is_healthy: bool


def _rss(pid: int) -> int:
    return psutil.Process(pid).memory_info().rss


def _request(deployment: Deployment, kind: str) -> bytes:
    """Return what a client sends once before it falls idle."""
    key = deployment.keys[ORGANISATION]
    common = f"Host: vm\r\nAuthorization: Bearer {key}\r\n"
    if kind == "websocket":
        return (
            f"GET /v1/connect HTTP/1.1\r\n{common}Upgrade: websocket\r\n"
            "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
        ).encode()
    if kind == "http":
        return f"GET /healthz HTTP/1.1\r\n{common}\r\n".encode()
    return b""


async def _open(
    host: str, port: int, count: int, request: bytes
) -> list[asyncio.StreamWriter]:
    """Open connections, send the request on each and read the first answer."""
    limit = asyncio.Semaphore(OPEN_AT_ONCE)

    async def one() -> asyncio.StreamWriter:
        async with limit:
            reader, writer = await asyncio.open_connection(host, port)
            if request:
                writer.write(request)
                line = await reader.readline()
                assert line.split()[1] in (b"101", b"200"), line
            return writer

    return list(await asyncio.gather(*(one() for _ in range(count))))


async def _measure(deployment: Deployment, kind: str, count: int) -> IdleRow:
    vm = deployment.vms[0]
    pid = deployment.processes[vm.name].pid
    host, _, port = vm.caller.rpartition(":")
    before = _rss(pid)
    writers = await _open(host, int(port), count, _request(deployment, kind))
    await asyncio.sleep(SETTLE_S)
    after = _rss(pid)
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
            time.sleep(SETTLE_S)
            rows.append(asyncio.run(_measure(deployment, kind, connections)))
    print_rows("idle", seed, rows)


if __name__ == "__main__":
    fire.Fire(main)
