"""Session daemons in one process over the stand-ins of the users' platform."""

import asyncio
import time
from contextlib import asynccontextmanager

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import discover
from ebonyladder.sessions.cluster_view import ClusterView
from ebonyladder.sessions.daemon import PLUGIN_PACKAGE
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.registry import REGISTRY
from ebonyladder.sessions.settings import SessionSettings
from ebonyladder.types import Address, VmId, ZoneId
from standins.address import free_addresses
from standins.platform import ZONES, Platform
from standins.statement_client import StatementClient

ADAPTER = "ebonyladder.platform"
# Generous, since the machine that runs the tests may be busy.
CONDITION_TIMEOUT_S = 30.0


async def until(condition, what: str) -> None:
    """Wait until a condition holds."""
    deadline_s = time.monotonic() + CONDITION_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"timed out waiting for {what}")
        await asyncio.sleep(0.02)


class Fleet:
    """Daemons, one for each zone."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.kernels: list[Kernel] = []

    async def add(self, zone: str) -> Kernel:
        """Start a daemon."""
        discover(PLUGIN_PACKAGE)
        discover(ADAPTER)
        callers, readiness, peer, metrics = map(Address, free_addresses(4))
        kernel = Kernel(
            settings=SessionSettings(
                vm=VmId(f"vm-{len(self.kernels) + 1}"),
                zone=ZoneId(zone),
                regions=ZONES,
                callers=callers,
                readiness=readiness,
                peer=peer,
                metrics=metrics,
                store=Address(self.platform.store_address),
                promotion=Address(self.platform.promotion_address),
            ),
            registry=REGISTRY,
        )
        self.kernels.append(kernel)
        await kernel.start()
        return kernel

    def has_leader(self) -> bool:
        """Tell whether one daemon leads and all others are in contact with it."""
        plugins = [kernel.get(FailoverCoordination) for kernel in self.kernels]
        leaders = [p for p in plugins if p.fencing_token() is not None]
        followers = [p for p in plugins if p not in leaders]
        return len(leaders) == 1 and all(
            p.leadership.leader_contact_at_s > p.started_at_s for p in followers
        )

    def address(self, index: int) -> str:
        """Return the address on which one daemon accepts callers."""
        return self.kernels[index].settings.callers

    def cluster(self, index: int) -> ClusterView:
        """Return the cluster view of one daemon."""
        return self.kernels[index].get(ClusterView)


@asynccontextmanager
async def running_fleet():
    """Run the platform's stand-ins and three daemons."""
    platform = Platform()
    await platform.start()
    fleet = Fleet(platform)
    try:
        for zone in ZONES:
            await fleet.add(zone)
        for index in range(len(ZONES)):
            cluster = fleet.cluster(index)
            await until(
                lambda cluster=cluster: (
                    cluster.version
                    and len(cluster.endpoints) == 3
                    and cluster.vm_count == 3
                    and cluster.groups_confirmed_at_s > 0
                ),
                "a complete cluster view",
            )
        await until(fleet.has_leader, "a leader that all VMs are in contact with")
        yield fleet
    finally:
        await StatementClient.close_all()
        for kernel in fleet.kernels:
            await kernel.stop()
        await platform.stop()
