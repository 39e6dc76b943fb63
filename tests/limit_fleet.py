"""Fleet of limits plug-ins in one process, on an event loop with virtual time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from ebonyladder.configuration import (
    Configuration,
    ConfigurationSource,
    OrganisationSpec,
)
from ebonyladder.kernel.clock import Clock
from ebonyladder.kernel.error import ErrorCode, PeerError, RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import Registry
from ebonyladder.kernel.step import Step
from ebonyladder.limits import shard_of
from ebonyladder.membership import Membership
from ebonyladder.messages import Message, PeerRecord
from ebonyladder.peer import PeerConnections
from ebonyladder.plugins.limits import LimitsPlugin
from ebonyladder.settings import Settings
from ebonyladder.store import PlatformStore
from ebonyladder.types import Incarnation, VmId, VmState
from tests.fakes import (
    FakeNetwork,
    FakePeerConnections,
    FixedConfiguration,
    MemoryStore,
)

ORGANISATION = "organisation-1"


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.virtual_s = 1_000.0
        real_select = self._selector.select

        def select(timeout: float | None = None) -> list:
            if timeout is None:
                raise RuntimeError("all tasks are waiting and no timer is set")
            self.virtual_s += timeout
            return real_select(0)

        self._selector.select = select

    def time(self) -> float:
        return self.virtual_s


def run_virtual(main: Coroutine[Any, Any, Any]) -> Any:
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)


class LoopClock(Clock):
    """Clock of one VM: the event loop's time plus an offset."""

    def __init__(self, *, offset_s: float = 0.0) -> None:
        self.offset_s = offset_s

    def now_s(self) -> float:
        return asyncio.get_running_loop().time() + self.offset_s

    def wall_s(self) -> float:
        return self.now_s()


class FixedMembership(Membership):
    """Membership with a view that the test sets."""

    def __init__(self, view: list[str], draining: set[str]) -> None:
        self.view = view
        self.draining = draining

    def members(self) -> list[PeerRecord]:
        return [
            PeerRecord(
                vm=vm,
                zone="zone-a",
                address=vm,
                incarnation=1,
                state=VmState.DRAIN if vm in self.draining else VmState.ACTIVE,
                last_contact_ago_s=0.0,
            )
            for vm in sorted(self.view)
        ]

    def address_of(self, vm: VmId) -> str:
        return vm

    def is_zone_in(self, zone: str) -> bool:
        return True

    def suspect(self, vm: VmId) -> None:
        pass


class DelayedPeerConnections(FakePeerConnections):
    """Peer connections with a delay; a paused VM neither answers nor sends."""

    delay_s = 0.001

    def __init__(self, *, running: asyncio.Event, **options: Any) -> None:
        super().__init__(**options)
        self.running = running

    async def call(
        self, vm: VmId, message: Message, *, timeout_s: float, **options: Any
    ) -> Message:
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(self.delay_s)
                target = self.network.connections.get(vm)
                if target is not None:
                    await target.running.wait()
                answer = await super().call(vm, message, timeout_s=timeout_s, **options)
                await asyncio.sleep(self.delay_s)
        except TimeoutError:
            raise PeerError(
                code=ErrorCode.PEER_LOST, step=Step.PEER_CALL, peer=vm
            ) from None
        await self.running.wait()
        return answer


class PausableStore:
    """Store client of one VM, whose calls wait while the VM is paused."""

    def __init__(self, *, store: MemoryStore, running: asyncio.Event) -> None:
        self.store = store
        self.running = running

    def __getattr__(self, name: str) -> Any:
        async def call(*args: Any, **options: Any) -> Any:
            await self.running.wait()
            try:
                return await getattr(self.store, name)(*args, **options)
            finally:
                await self.running.wait()

        return call


class FleetVm:
    """One VM with its limits plug-in."""

    def __init__(self, *, fleet: "Fleet", vm: str, offset_s: float) -> None:
        self.vm = vm
        self.running = asyncio.Event()
        self.running.set()
        self.membership = FixedMembership(fleet.view, fleet.draining)
        network = fleet.network
        connections = DelayedPeerConnections(
            network=network, vm=vm, zone="a", running=self.running
        )
        connections.incarnation = Incarnation(len(network.connections) + 1)
        network.connections[vm] = connections
        settings = Settings(
            vm=vm,
            zone="a",
            caller="",
            peer="",
            operator="",
            store="",
            fleet_secret_file="",
        )
        clock = LoopClock(offset_s=offset_s)
        self.kernel = Kernel(settings=settings, clock=clock, registry=Registry())
        self.kernel.providers = {
            PlatformStore: PausableStore(store=fleet.store, running=self.running),
            PeerConnections: connections,
            Membership: self.membership,
            ConfigurationSource: fleet.configuration,
        }
        self.plugin = LimitsPlugin(kernel=self.kernel)
        self.kernel.plugins = [self.plugin]


class Fleet:
    """VMs with one store and one network; records the times of admissions."""

    def __init__(
        self, *, rate_per_s: float, burst: float, organisation: str = ORGANISATION
    ) -> None:
        self.organisation = organisation
        self.store = MemoryStore()
        self.network = FakeNetwork()
        self.view: list[str] = []
        self.draining: set[str] = set()
        self.vms: dict[str, FleetVm] = {}
        self.admitted_at_s: list[float] = []
        self.refusals: list[RequestError] = []
        spec = OrganisationSpec(rate_per_s=rate_per_s, burst=burst)
        self.configuration = FixedConfiguration(
            Configuration(organisations={organisation: spec})
        )

    async def add(self, *names: str) -> None:
        self.view.extend(names)
        for name in names:
            offset_s = 1_000.0 * len(self.vms)
            self.vms[name] = FleetVm(fleet=self, vm=name, offset_s=offset_s)
            await self.vms[name].kernel.start()

    async def kill(self, name: str) -> None:
        vm = self.vms.pop(name)
        self.network.connections.pop(name, None)
        for task in list(vm.kernel.tasks):
            task.cancel()
        self.view.remove(name)

    async def stop(self) -> None:
        for vm in self.vms.values():
            vm.running.set()
            await vm.kernel.stop()

    async def request(self, name: str, *, wait_s: float = 1.0) -> bool:
        if name not in self.vms:
            return False
        try:
            await self.vms[name].plugin.admit(self.organisation, wait_s=wait_s)
        except RequestError as error:
            self.refusals.append(error)
            return False
        self.admitted_at_s.append(asyncio.get_running_loop().time())
        return True

    async def send(
        self, name: str, *, rate_per_s: float, seconds: float, wait_s: float = 1.0
    ) -> int:
        """Send requests at even intervals and return the number admitted."""
        tasks = []
        for _ in range(int(rate_per_s * seconds)):
            if name in self.vms and self.vms[name].running.is_set():
                request = self.request(name, wait_s=wait_s)
                tasks.append(asyncio.create_task(request))
            await asyncio.sleep(1 / rate_per_s)
        return sum(await asyncio.gather(*tasks))

    def main_holder(self) -> FleetVm | None:
        """Return a VM whose main lease for the organisation is valid."""
        shard = shard_of(self.organisation)
        holders = (
            v for v in self.vms.values() if v.plugin.held_leases.holds_main(shard)
        )
        return next(holders, None)


def breach(
    admitted_at_s: list[float], *, rate_per_s: float, burst: float
) -> str | None:
    """Return a message if a window has more than rate x window + burst, else None.

    It suffices to check the windows that begin and end at an admission.
    With f(i) = i - rate x t(i), window i..j breaches if f(j) - f(i) + 1 > burst.
    """
    lowest = float("inf")
    worst = 0.0
    for number, at_s in enumerate(sorted(admitted_at_s)):
        level = number - rate_per_s * at_s
        lowest = min(lowest, level)
        worst = max(worst, level - lowest + 1)
    if worst > burst + 1e-6:
        return f"{worst:.2f} tokens above the rate, burst is {burst}"
    return None
