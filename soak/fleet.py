"""Daemons as processes, each behind proxies to the store and the databases."""

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

from soak.proxy import FaultProxy
from standins.platform import ZONES, Platform

SOURCE = Path(__file__).parent.parent / "src"
# Each VM listens on a loopback address of its own; connections start from 127.0.0.1.
FIRST_HOST = 31
GRACE_S = 3

SETTINGS = """
node_name = "vm-{index}"
ip = "{host}"
zone = "{zone}"
internal_ports = [{ports[0]}, {ports[1]}]
[zones]
{zones}
[bind_addresses]
frontend = "{host}:{ports[2]}"
ready = "{host}:{ports[3]}"
[limits]
cpu_share = 1.0
cores = 1.0
[bounds]
grace_s = {grace}
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
[platform]
address = "{store}"
[cloud]
address = "{promotion}"
"""


def free_ports(host: str) -> list[int]:
    """Return four free ports of a host, the first two of them neighbours."""
    while True:
        sockets = [socket.socket() for _ in range(4)]
        try:
            sockets[0].bind((host, 0))
            first = sockets[0].getsockname()[1]
            sockets[1].bind((host, first + 1))
            for other in sockets[2:]:
                other.bind((host, 0))
            return [s.getsockname()[1] for s in sockets]
        except (OSError, OverflowError):
            continue
        finally:
            for found in sockets:
                found.close()


class SoakVm:
    """One daemon process.

    Parameters
    ----------
    index : int
        Number of the VM.
    zone : str
        Its availability zone.
    folder : Path
        Folder for settings and logs.
    platform : Platform
        What the daemon meets.
    """

    def __init__(
        self, *, index: int, zone: str, folder: Path, platform: Platform
    ) -> None:
        self.index = index
        self.zone = zone
        self.folder = folder
        self.platform = platform
        self.host = f"127.0.0.{FIRST_HOST + index}"
        self.ports = free_ports(self.host)
        self.store = FaultProxy(target=platform.store_address)
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    @property
    def address(self) -> str:
        """Address for clients."""
        return f"{self.host}:{self.ports[2]}"

    @property
    def log_path(self) -> Path:
        """Log of the present process."""
        return self.folder / f"vm-{self.index}.{self.starts}.log"

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.returncode is None

    async def prepare(self) -> None:
        """Write the settings."""
        settings = SETTINGS.format(
            index=self.index,
            host=self.host,
            zone=self.zone,
            ports=self.ports,
            zones="\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items()),
            grace=GRACE_S,
            store=await self.store.start(),
            promotion=self.platform.promotion_address,
        )
        self.path = self.folder / f"vm-{self.index}.toml"
        self.path.write_text(settings)

    async def start(self) -> None:
        """Start the process; its log goes to a file."""
        self.starts += 1
        with self.log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ebonyladder.platform",
                "serve",
                f"--settings={self.path}",
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process for good."""
        if self.is_running:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
        self.store.stop()


class SoakFleet:
    """Platform and daemons of one run.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    size : int
        Number of daemons.
    """

    def __init__(self, *, folder: Path, size: int) -> None:
        self.folder = folder
        self.size = size
        self.platform = Platform()
        self.databases: dict[str, FaultProxy] = {}
        self.vms: list[SoakVm] = []

    async def start(self) -> None:
        """Start everything."""
        await self.platform.start()
        for name, database in self.platform.service.databases.items():
            proxy = FaultProxy(target=f"127.0.0.1:{database.port}")
            self.databases[name] = proxy
            self.platform.routes[name] = await proxy.start()
        zones = list(ZONES)
        for index in range(self.size):
            vm = SoakVm(
                index=index,
                zone=zones[index % len(zones)],
                folder=self.folder,
                platform=self.platform,
            )
            self.vms.append(vm)
            await vm.prepare()
            await vm.start()

    async def stop(self) -> None:
        """Stop everything."""
        for vm in self.vms:
            await vm.stop()
        for proxy in self.databases.values():
            proxy.stop()
        await self.platform.stop()
