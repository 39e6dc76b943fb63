"""Fleet of VMs with real plug-ins on fakes, and with a hook at each step."""

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.dispatch import Dispatcher
from ebonyladder.document import ConfigurationDocument
from ebonyladder.endpoint import EndpointDriver
from ebonyladder.execution import StatementExecutor
from ebonyladder.kernel.clock import Clock, ManualClock
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyRing, digest_of
from ebonyladder.limits import RateLimits
from ebonyladder.membership import Membership
from ebonyladder.metrics import Metrics
from ebonyladder.peer import PeerConnections
from ebonyladder.plugins.configuration import ConfigurationPlugin
from ebonyladder.plugins.group_monitor import OwnedGroupMonitor
from ebonyladder.plugins.keys import KeysPlugin
from ebonyladder.plugins.limits import LimitsPlugin
from ebonyladder.plugins.membership import MembershipPlugin
from ebonyladder.plugins.metrics import MetricsPlugin
from ebonyladder.plugins.promotion import PromotionPlugin
from ebonyladder.plugins.request_trace import RequestTracePlugin
from ebonyladder.plugins.status_page import StatusPagePlugin
from ebonyladder.settings import Settings
from ebonyladder.status import StatusObserver
from ebonyladder.store import ListedVm, PlatformStore
from ebonyladder.token import TokenSigner
from ebonyladder.types import VmState
from standins.database import Role as DatabaseRole
from standins.records import History, LogEntry
from tests.fakes import FakeNetwork, MemoryStore
from tests.matrix_endpoints import REPLICATION_INTERVAL_S, FakeDriver, FakeEndpoint
from tests.matrix_hooks import (
    HookedConnections,
    HookedExecutor,
    HookedGate,
    HookedGateway,
    HookedStore,
)

VMS = ("vm-1", "vm-2", "vm-3")
ENDPOINTS = ("db-1", "db-2", "db-3")
ORGANISATIONS = ("org-1", "org-2")
KEYS = {name: f"key-of-{name}" for name in ORGANISATIONS}


class Rate(NamedTuple):
    """Rate in requests per second and burst of each organisation."""

    per_s: float = 200.0
    burst: float = 100.0


class VmClock(Clock):
    """Clock of one VM, which gives hooks access to the VM that runs them."""

    def __init__(self, vm: "MatrixVm") -> None:
        self.vm = vm

    def now_s(self) -> float:
        return self.vm.world.clock.now_s()

    def wall_s(self) -> float:
        return self.vm.world.clock.wall_s()


REAL_PLUGINS = (
    ConfigurationPlugin,
    HookedExecutor,
    HookedGate,
    RequestTracePlugin,
    KeysPlugin,
    LimitsPlugin,
    MembershipPlugin,
    MetricsPlugin,
    OwnedGroupMonitor,
    PromotionPlugin,
    StatusPagePlugin,
)


class MatrixVm:
    """One VM: real plug-ins and gateway on hooked interfaces."""

    def __init__(self, world: "World", name: str, incarnation: int) -> None:
        self.world = world
        self.name = name
        self.zone = f"zone-{name[-1]}"
        self.incarnation = incarnation
        self.clock = VmClock(self)
        self.running = asyncio.Event()
        self.running.set()
        self.is_alive = True
        self.is_up = False
        self.delay_s = 0.0
        self.tasks: set[asyncio.Task] = set()
        self.calls: set[asyncio.Task] = set()
        self.kernel = self._make_kernel()

    def _make_kernel(self) -> Kernel:
        registry = Registry()
        for plugin in REAL_PLUGINS:
            registry.register(plugin)
        fakes = {
            PlatformStore: HookedStore(self),
            PeerConnections: HookedConnections(self),
            EndpointDriver: FakeDriver(self),
        }
        for interface in fakes:
            fields = {"name": interface.__name__, "provides": (interface,)}
            registry.register(type(interface.__name__, (Plugin,), fields))
        settings = Settings(
            vm=self.name,
            zone=self.zone,
            caller=self.name,
            peer=self.name,
            operator=self.name,
            store="store",
            fleet_secret_file="none",
            seeds=tuple(vm for vm in VMS if vm != self.name),
        )
        kernel = Kernel(settings=settings, clock=self.clock, registry=registry)
        kernel.vm = self
        kernel.providers |= fakes
        return kernel

    async def start(self) -> None:
        self.world.network.connections[self.name] = self.kernel.get(PeerConnections)
        await self.kernel.start()
        get = self.kernel.get
        dispatcher = Dispatcher(
            vm=self.name,
            zone=self.zone,
            executor=get(StatementExecutor),
            peers=get(PeerConnections),
            membership=get(Membership),
            configuration=get(ConfigurationSource),
            clock=self.clock,
            rng=Random(self.world.seed),
        )
        self.gateway = HookedGateway(
            keys=get(KeyRing),
            limits=get(RateLimits),
            configuration=get(ConfigurationSource),
            status=get(StatusObserver),
            metrics=get(Metrics),
            signer=TokenSigner(secrets=[b"secret"]),
            dispatcher=dispatcher,
            clock=self.clock,
        )
        self.gateway.vm = self
        get(ConfigurationSource).subscribe(
            lambda _: self.record_step(Step.CONFIG_APPLY)
        )
        self.world.weaken(self)
        self.is_up = True

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def record_step(self, step: Step, peer: str = "") -> None:
        """Trigger the armed faults that wait for this step."""
        self.world.reached.add(step)
        self.world.trigger(self, step, peer)

    async def reach_step(self, step: Step, peer: str = "") -> None:
        """Trigger faults at a step, then wait as a paused, slow or killed VM does."""
        self.record_step(step, peer)
        await asyncio.sleep(self.delay_s)
        await self.running.wait()
        if not self.is_alive:
            await asyncio.Event().wait()

    def kill(self) -> None:
        self.is_alive = self.is_up = False
        self.world.network.connections.pop(self.name, None)
        executor = self.kernel.get(StatementExecutor)
        for task in [*self.tasks, *self.kernel.tasks, *executor.duplicates.running]:
            task.cancel()

    async def run_until_done(self, coroutine) -> None:
        """Run in a task of this VM, which ends if the VM is killed."""
        if not self.is_alive:
            coroutine.close()
            return
        task = self.spawn(coroutine)
        await asyncio.wait({task})
        if not task.cancelled():
            task.result()

    async def drain_and_stop(self) -> None:
        """Drain and stop, as at SIGTERM."""
        await self.run_until_done(self._drain_and_stop())
        self.kill()

    async def _drain_and_stop(self) -> None:
        await self.reach_step(Step.DRAIN)
        self.gateway.is_draining = True
        while self.calls and self.is_alive:
            await asyncio.wait(set(self.calls))
        await self.kernel.drain()
        await self.kernel.stop()


class World:
    """VMs, endpoints, store and network of one cell."""

    def __init__(
        self,
        *,
        seed: int,
        clock: ManualClock,
        rate: Rate,
        weaken: Callable[[MatrixVm], None] = lambda _vm: None,
    ) -> None:
        self.seed = seed
        self.rate = rate
        self.clock = clock
        # Replaces components of a VM by ones without their guard.
        self.weaken = weaken
        self.store = MemoryStore()
        self.network = FakeNetwork()
        self.endpoints = {name: FakeEndpoint(name) for name in ENDPOINTS}
        self.blocked_paths: set[tuple[str, str]] = set()
        self.healed = asyncio.Event()
        self.reached: set[Step] = set()
        self.armed: list = []
        self.vms: dict[str, MatrixVm] = {}
        self.start_count = 0
        self.list_vms()

    def list_vms(self, names: tuple[str, ...] = VMS) -> None:
        self.store.listed = [
            ListedVm(
                vm=name,
                zone=f"zone-{name[-1]}",
                peer_address=name,
                state=VmState.ACTIVE,
            )
            for name in names
        ]

    def configuration(self) -> str:
        return json.dumps(
            {
                "services": {"ledger": {"groups": ["g1"], "depends_on": []}},
                "groups": {"g1": {"endpoints": ENDPOINTS}},
                "endpoints": {
                    name: {
                        "address": f"127.0.0.1:{1000 + position}",
                        "zone": f"zone-{name[-1]}",
                        "slots": 3,
                        "connections": 30,
                    }
                    for position, name in enumerate(ENDPOINTS)
                },
                "zones": {f"zone-{n}": {"region": f"region-{n}"} for n in (1, 2, 3)},
                "organisations": {
                    name: {
                        "rate_per_s": self.rate.per_s,
                        "burst": self.rate.burst,
                        "key_digests": [digest_of(KEYS[name])],
                    }
                    for name in ORGANISATIONS
                },
            },
            indent=1,
        )

    async def start(self) -> None:
        value = ConfigurationDocument(text=self.configuration()).encode()
        await self.store.put("configuration", value, expected_version=0)
        self.replication = asyncio.ensure_future(self._replicate())
        for name in VMS:
            await self.start_vm(name)
        await asyncio.sleep(6)

    async def start_vm(self, name: str) -> None:
        """Start a VM that does not run; return once it is up or was killed."""
        if name in self.vms and self.vms[name].is_alive:
            return
        self.start_count += 1
        vm = self.vms[name] = MatrixVm(self, name, self.start_count)
        await vm.run_until_done(vm.start())

    async def stop(self) -> None:
        self.replication.cancel()
        for vm in self.vms.values():
            vm.kill()
        await asyncio.sleep(0)

    def trigger(self, vm: MatrixVm, step: Step, peer: str) -> None:
        for fault in self.armed:
            fault.trigger(vm, step, peer)

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            for source in self.endpoints.values():
                for target in self.endpoints.values():
                    ends = source.name, target.name
                    if source is not target and self.is_connected(*ends):
                        target.replicate(source, self.clock.now_s())

    def is_connected(self, one: str, other: str) -> bool:
        ends = (self.endpoints.get(name) for name in (one, other))
        is_up = all(end is None or end.is_up for end in ends)
        return is_up and (one, other) not in self.blocked_paths

    async def wait_connected(self, one: str, other: str) -> None:
        """Delay a message while its path is blocked."""
        while (one, other) in self.blocked_paths:
            await self.healed.wait()

    def heal(self) -> None:
        self.blocked_paths.clear()
        self.network.heal()
        event, self.healed = self.healed, asyncio.Event()
        event.set()

    def primary(self) -> FakeEndpoint | None:
        primaries = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.is_up and endpoint.database.role is DatabaseRole.PRIMARY
        ]
        return max(primaries, key=lambda e: e.database.log.log_term, default=None)

    def history(self, calls: list) -> History:
        primary = self.primary()
        entries = primary.database.log.entries if primary else []
        return History(
            calls=calls,
            executed=[
                statement for one in self.endpoints.values() for statement in one.ran
            ],
            surviving=[
                LogEntry("g1", entry.term, position, entry.rows)
                for position, entry in enumerate(entries, 1)
            ],
            logged=[
                entry for one in self.endpoints.values() for entry in one.all_entries
            ],
            keys=KEYS,
            groups=dict.fromkeys(ENDPOINTS, "g1"),
        )
