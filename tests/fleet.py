"""Fleet of fake VMs with the real relay plug-ins, in virtual time."""

import asyncio
import selectors
from collections.abc import Coroutine

from ebonyladder.configuration import CONFIGURATION_KEY, ConfigurationSource
from ebonyladder.document import ConfigurationDocument
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import RequestError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyRing
from ebonyladder.membership import Membership
from ebonyladder.peer import PeerConnections
from ebonyladder.plugins.configuration import ConfigurationPlugin
from ebonyladder.plugins.keys import KeysPlugin
from ebonyladder.plugins.membership import MembershipPlugin
from ebonyladder.settings import Settings
from ebonyladder.store import ListedVm, PlatformStore
from ebonyladder.types import VmState
from tests.fakes import FakeNetwork, MemoryStore


class _Selector(selectors.DefaultSelector):
    """Advances the clock instead of waiting; the fleet does no real I/O."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self.clock.advance(timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that takes its time from a manual clock."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(_Selector(clock))
        self.clock = clock

    def time(self) -> float:
        return self.clock.now_s()


def run_virtual(scenario: "Coroutine", clock: ManualClock):
    with asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner:
        return runner.run(scenario)


class VmStore(MemoryStore):
    """One VM's client of the shared store, with outages of its own."""

    def __init__(self, shared: MemoryStore) -> None:
        super().__init__()
        self.shared = shared

    async def get(self, key):
        await self._begin_call("get", Step.STORE_READ)
        return await self.shared.get(key)

    async def watch(self, key, *, after_version, wait_s):
        await self._begin_call("watch", Step.STORE_WATCH)
        found = await self.shared.watch(key, after_version=after_version, wait_s=wait_s)
        await self._begin_call("watch-end", Step.STORE_WATCH)
        return found

    async def vms(self):
        await self._begin_call("vms", Step.STORE_READ)
        return await self.shared.vms()


class StorePlugin(Plugin):
    name = "store"
    provides = (PlatformStore,)


class PeerConnectionsPlugin(Plugin):
    name = "links"
    provides = (PeerConnections,)


class FakeVm:
    """One VM of a fleet."""

    def __init__(self, fleet: "Fleet", name: str, zone: str, seeds: tuple) -> None:
        self.name = name
        self.zone = zone
        self.store = VmStore(fleet.store)
        registry = Registry()
        for plugin in (ConfigurationPlugin, MembershipPlugin, KeysPlugin):
            registry.register(plugin)
        registry.register(StorePlugin)
        registry.register(PeerConnectionsPlugin)
        settings = Settings(
            vm=name,
            zone=zone,
            caller=name,
            peer=name,
            operator=name,
            store="store",
            fleet_secret_file="none",
            seeds=seeds,
        )
        self.kernel = Kernel(settings=settings, clock=fleet.clock, registry=registry)
        self.kernel.providers[PlatformStore] = self.store
        self.kernel.providers[PeerConnections] = fleet.network.join(name, zone)

    @property
    def configuration(self) -> ConfigurationPlugin:
        return self.kernel.get(ConfigurationSource)

    @property
    def keys(self) -> KeysPlugin:
        return self.kernel.get(KeyRing)

    @property
    def view(self) -> MembershipPlugin:
        return self.kernel.get(Membership)

    def names(self) -> list[str]:
        return [member.vm for member in self.view.members()]

    def accepts_work(self) -> bool:
        try:
            self.configuration.require_fresh(Step.KEY_CHECK)
        except RequestError:
            return False
        return True


class Fleet:
    """VMs that share a network, a store and a clock."""

    def __init__(self, clock: ManualClock, count: int = 8, zones: int = 3) -> None:
        self.clock = clock
        self.network = FakeNetwork()
        self.store = MemoryStore()
        self.zones = zones
        self.vms: list[FakeVm] = []
        self.text_version = 0
        for number in range(count):
            self.add(f"vm-{number}", number)

    def add(self, name: str, number: int = 0, seeds: tuple = ()) -> FakeVm:
        vm = FakeVm(self, name, f"zone-{number % self.zones}", seeds)
        self.vms.append(vm)
        self.store.listed.append(
            ListedVm(vm=name, zone=vm.zone, peer_address=name, state=VmState.ACTIVE)
        )
        return vm

    async def write(self, text: str) -> int:
        value = ConfigurationDocument(text=text).encode()
        self.text_version = await self.store.put(
            CONFIGURATION_KEY, value, expected_version=self.text_version
        )
        return self.text_version

    async def start(self, text: str = "{}") -> None:
        await self.write(text)
        for vm in self.vms:
            await vm.kernel.start()
        await asyncio.sleep(6)

    async def stop(self) -> None:
        for vm in self.vms:
            await vm.kernel.stop()

    def partition(self, one: list[FakeVm], other: list[FakeVm]) -> None:
        for left in one:
            for right in other:
                self.network.block_both(left.name, right.name)

    def roots(self) -> list[str]:
        return list(self.vms[0].configuration.roots.quorum_roots)


def run_fleet(scenario, *, count: int = 8, text: str = "{}") -> None:
    """Run ``scenario(fleet)`` on a started fleet in virtual time."""
    clock = ManualClock()

    async def main() -> None:
        fleet = Fleet(clock, count)
        await fleet.start(text)
        await scenario(fleet)
        await fleet.stop()

    run_virtual(main(), clock)
