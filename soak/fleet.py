"""Daemon processes that reach the store and the databases through fault proxies."""

import asyncio
import itertools
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

from ebonyladder.sessions.objects import GROUPS
from soak.process_record import ProcessRecord
from soak.proxy import FaultProxy, VmProxy
from soak.vm_process import PROXY_VARIABLE
from standins.platform import ZONES, Platform
from standins.statement_database import Database, DatabaseService

ROOT = Path(__file__).parent.parent
# Last octet of the first VM's loopback address; each VM listens on an address of its
# own, while outgoing connections use 127.0.0.1.
FIRST_HOST = 31
GRACE_S = 3
SERVICE_COUNT = 2
# Time from an accepted promotion until it takes effect, and time after which a replaced
# primary that reaches the new one becomes a replica, in seconds.
PROMOTE_S = 0.3
NOTICE_S = 1.0
# Time after which the entry of a crashed database disappears, in seconds.
EXPIRY_S = 1.5

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
    """Return four free ports of a host; the first two are consecutive."""
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
            for opened in sockets:
                opened.close()


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
        Stand-in platform that the daemon uses.

    Attributes
    ----------
    record : ProcessRecord or None
        Signals and log of the present process, or of the last one.
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
        self.store_proxy = FaultProxy(target=platform.store_address)
        self.promotion_proxy = FaultProxy(target=platform.promotion_address)
        # Proxy to the databases and the other VMs.
        self.proxy = VmProxy()
        self.process: asyncio.subprocess.Process | None = None
        self.record: ProcessRecord | None = None
        self.starts = 0

    @property
    def address(self) -> str:
        """Address for clients."""
        return f"{self.host}:{self.ports[2]}"

    @property
    def peer_address(self) -> str:
        """Address for the other VMs."""
        return f"{self.host}:{self.ports[0]}"

    @property
    def log_path(self) -> Path:
        """Log of the current process."""
        return self.folder / f"vm-{self.index}.{self.starts}.log"

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def prepare(self) -> None:
        """Start the proxies to the platform and write the settings."""
        settings = SETTINGS.format(
            index=self.index,
            host=self.host,
            zone=self.zone,
            ports=self.ports,
            zones="\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items()),
            grace=GRACE_S,
            store=await self.store_proxy.start(),
            promotion=await self.promotion_proxy.start(),
        )
        self.settings_path = self.folder / f"vm-{self.index}.toml"
        self.settings_path.write_text(settings)
        await self.proxy.start()

    async def start(self) -> None:
        """Start the process; its output goes to a log file."""
        self.starts += 1
        self.record = ProcessRecord(
            name=f"vm-{self.index}.{self.starts}", log_path=self.log_path
        )
        with self.log_path.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "soak.vm_process",
                "serve",
                f"--settings={self.settings_path}",
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": f"{ROOT / 'src'}{os.pathsep}{ROOT}",
                    PROXY_VARIABLE: self.proxy.address,
                },
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.record.record(number)
            self.process.send_signal(number)

    async def kill_and_restart(self) -> None:
        """Kill the process and start it again."""
        self.send(signal.SIGKILL)
        await self.restart()

    async def restart(self) -> None:
        """Start the process again once it has ended."""
        if self.process is None:
            return
        process = self.process
        self.send(signal.SIGCONT)
        await process.wait()
        await asyncio.sleep(0.1)
        # Another fault may have started the next process in the meantime.
        if self.process is process:
            self.process = None
            await self.start()

    async def stop(self) -> None:
        """Kill the process and stop the proxies to the platform."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self.store_proxy.stop()
        self.promotion_proxy.stop()
        self.proxy.stop()


class SoakFleet:
    """Stand-in platform and daemons of one run.

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
        self.platform = Platform(
            service_count=SERVICE_COUNT,
            promote_s=PROMOTE_S,
            notice_s=NOTICE_S,
            expiry_s=EXPIRY_S,
        )
        self.database_proxies: dict[str, FaultProxy] = {}
        self.vms: list[SoakVm] = []
        # Numbers of the databases that join.
        self.numbers = itertools.count(1)

    async def start(self) -> None:
        """Start the platform, the proxies and the daemons."""
        await self.platform.start()
        for service in self.platform.services:
            for database in service.databases.values():
                await self.add_proxy(database)
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

    async def add_proxy(self, database: Database) -> None:
        """Put a proxy between the daemons and a database."""
        proxy = FaultProxy(target=f"127.0.0.1:{database.port}")
        self.database_proxies[database.name] = proxy
        self.platform.announced_addresses[database.name] = await proxy.start()

    async def add_database(
        self, service: DatabaseService, near: str, *, is_unlisted: bool = False
    ) -> Database:
        """Start a new database in the zone of another one."""
        database = await service.add(
            f"{near.partition('.')[0]}.{next(self.numbers)}",
            service.zones[near],
            started_at_ms=time.time_ns() // 1_000_000,
        )
        # It registers with the address of its proxy.
        database.is_unlisted = True
        await self.add_proxy(database)
        database.is_unlisted = is_unlisted
        return database

    def link(self, vm: SoakVm, database: Database) -> FaultProxy:
        """Return the proxy between one VM and a database."""
        # A database that is joining has no announced address yet.
        addresses = self.platform.announced_addresses
        own_address = f"127.0.0.1:{database.port}"
        return vm.proxy.link(addresses.get(database.name, own_address))

    def group_state(self, service: DatabaseService) -> dict[str, Any]:
        """Return the group state of a service in the store, empty if there is none."""
        groups = self.platform.store.objects.get(GROUPS, {})
        return groups[service.name]["spec"] if service.name in groups else {}

    def successor(self, service: DatabaseService) -> str | None:
        """Return the process whose promotion the leader may have requested."""
        return self.group_state(service).get("successor")

    def leader(self) -> SoakVm | None:
        """Return the VM that the leader record names."""
        found = self.platform.store.objects.get("ebonyladder-leaders", {}).get("leader")
        holder = found["spec"]["holder"] if found else None
        return next((vm for vm in self.vms if f"vm-{vm.index}" == holder), None)

    async def stop(self) -> None:
        """Stop the daemons, the proxies and the platform."""
        for vm in self.vms:
            await vm.stop()
        for proxy in self.database_proxies.values():
            proxy.stop()
        await self.platform.stop()
