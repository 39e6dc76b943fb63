"""Fleet of real request paths on fakes, with a hook at each step."""

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from ebonyladder.configuration import ConfigurationSource
from ebonyladder.confirmation import Confirmer
from ebonyladder.dispatch import Dispatcher
from ebonyladder.document import ConfigurationDocument
from ebonyladder.endpoint import EndpointDriver
from ebonyladder.execution import StatementExecutor
from ebonyladder.gateway import Gateway
from ebonyladder.kernel.clock import Clock, ManualClock
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, PeerError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.kernel.step import Step
from ebonyladder.keys import KeyRing, digest_of
from ebonyladder.limits import RateLimits
from ebonyladder.membership import Membership
from ebonyladder.messages import (
    Forward,
    GrantRequest,
    Ping,
    Sync,
    TransactionStep,
)
from ebonyladder.metrics import Metrics
from ebonyladder.peer import PeerIdentity, PeerLinks
from ebonyladder.plugins.configuration import ConfigurationPlugin
from ebonyladder.plugins.endpoint_links import OwnedEndpointLinks
from ebonyladder.plugins.group_watch import OwnedGroupWatch
from ebonyladder.plugins.keys import KeysPlugin
from ebonyladder.plugins.limits import LimitsPlugin
from ebonyladder.plugins.membership import MembershipPlugin
from ebonyladder.plugins.metrics import MetricsPlugin
from ebonyladder.plugins.promotion import PromotionPlugin
from ebonyladder.plugins.status_page import StatusPagePlugin
from ebonyladder.promotion import WriteGate
from ebonyladder.settings import Settings
from ebonyladder.status import StatusObserver
from ebonyladder.store import ListedVm, PlatformStore
from ebonyladder.token import TokenSealer
from ebonyladder.types import VmState
from standins.database import Role as DatabaseRole
from standins.records import History, Logged
from tests.fakes import FakeNetwork, FakePeerLinks, MemoryStore
from tests.matrix_endpoints import REPLICATION_S, FakeDriver, FakeEndpoint

VMS = ("vm-1", "vm-2", "vm-3")
ENDPOINTS = ("db-1", "db-2", "db-3")
ORGANISATIONS = ("org-1", "org-2")
KEYS = {name: f"key-of-{name}" for name in ORGANISATIONS}
LINK_S = 0.001
CALL_STEPS = {
    Forward: Step.FORWARD,
    TransactionStep: Step.FORWARD,
    GrantRequest: Step.GRANT,
    Sync: Step.CONFIG_SYNC,
    Ping: Step.MEMBERSHIP_PING,
}


class Rate(NamedTuple):
    """Rate in requests a second and burst of each organisation."""

    per_s: float = 200.0
    burst: float = 100.0


class VmClock(Clock):
    """Clock of one VM; tells hooks in shared classes which VM runs them."""

    def __init__(self, vm: "MatrixVm") -> None:
        self.vm = vm

    def now_s(self) -> float:
        return self.vm.world.clock.now_s()

    def wall_s(self) -> float:
        return self.vm.world.clock.wall_s()


class HookedStore(MemoryStore):
    """One VM's access to the shared store."""

    def __init__(self, vm: "MatrixVm") -> None:
        super().__init__()
        self.vm = vm
        self.shared = vm.world.store

    async def _through(self, call, *steps: Step):
        for step in steps:
            await self.vm.reach(step, "store")
        answer = await call()
        await self.vm.running.wait()
        return answer

    @staticmethod
    def _write_step(key: str, version: int) -> Step:
        if key.startswith("limits/"):
            return Step.LEASE_RENEW if version else Step.LEASE_TAKE
        is_status = key.startswith("status/")
        return Step.STATUS_WRITE if is_status else Step.CONFIG_SUBMIT

    async def get(self, key):
        steps = [Step.STORE_READ]
        if key.startswith("status/"):
            steps.append(Step.STATUS_READ)
        return await self._through(lambda: self.shared.get(key), *steps)

    async def list(self, prefix):
        return await self._through(lambda: self.shared.list(prefix), Step.STORE_READ)

    async def vms(self):
        return await self._through(self.shared.vms, Step.STORE_READ)

    async def watch(self, key, *, after_version, wait_s):
        return await self._through(
            lambda: self.shared.watch(key, after_version=after_version, wait_s=wait_s),
            Step.STORE_WATCH,
        )

    async def put(self, key, value, *, expected_version):
        step = self._write_step(key, expected_version)
        if self.vm.is_leaving and key.startswith("limits/"):
            step = Step.LEASE_RELEASE
        return await self._through(
            lambda: self.shared.put(key, value, expected_version=expected_version),
            Step.STORE_WRITE,
            step,
        )

    async def delete(self, key, *, expected_version):
        await self._through(
            lambda: self.shared.delete(key, expected_version=expected_version),
            Step.STORE_WRITE,
            Step.LEASE_RELEASE,
        )


class HookedLinks(FakePeerLinks):
    """Links of one VM; handlers run in tasks that end with their VM."""

    def __init__(self, vm: "MatrixVm") -> None:
        super().__init__(network=vm.world.network, vm=vm.name, zone=vm.zone)
        self.owner = vm
        self.incarnation = vm.incarnation
        self.linked: set[str] = set()

    async def call(self, vm, message, *, timeout_s):
        self.owner.note(Step.PEER_CALL, vm)
        if vm not in self.linked:
            self.linked.add(vm)
            await self.owner.reach(Step.PEER_HELLO, vm)
        if type(message) in CALL_STEPS:
            await self.owner.reach(CALL_STEPS[type(message)], vm)
        target = self.network.links.get(vm)
        if target is None or (self.vm, vm) in self.network.cut:
            self.linked.discard(vm)
            raise self._error(ErrorCode.PEER_UNREACHABLE, vm)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._deliver(target, vm, message)
        except TimeoutError:
            raise self._error(ErrorCode.PEER_LOST, vm) from None

    async def _deliver(self, target: "HookedLinks", vm, message):
        await asyncio.sleep(LINK_S)
        await target.owner.running.wait()
        identity = PeerIdentity(self.vm, self.zone, self.incarnation, self.vm)
        handler = target.handlers.get(type(message))
        if handler is None:
            raise self._error(ErrorCode.PEER_REFUSED, vm)
        task = target.owner.spawn(handler(identity, message))
        await asyncio.wait({task})
        await asyncio.sleep(LINK_S)
        await self.owner.running.wait()
        if task.cancelled() or (vm, self.vm) in self.network.cut:
            self.linked.discard(vm)
            raise self._error(ErrorCode.PEER_LOST, vm)
        try:
            return task.result()
        except EbonyladderError as error:
            raise PeerError(
                code=error.code,
                step=error.step,
                peer=error.peer or vm,
                outcome=error.outcome,
                message=error.message,
                retry_after_s=error.retry_after_s,
            ) from error


class HookedGate(WriteGate):
    """Gate at which a switchover begins; it holds back nothing."""

    def __init__(self, vm: "MatrixVm") -> None:
        self.vm = vm

    async def close(self, group, *, limit_s: float) -> bool:
        await self.vm.reach(Step.SWITCHOVER, "db-1")
        return True

    def open(self, group) -> None:
        pass


class HookedExecutor(OwnedEndpointLinks):
    """Executor of one VM with a hook before the queue."""

    async def _require_ready(self, confirmer, forward) -> None:
        await super()._require_ready(confirmer, forward)
        await self.kernel.vm.reach(Step.QUEUE, forward.endpoint)


REAL_PLUGINS = (
    ConfigurationPlugin,
    HookedExecutor,
    KeysPlugin,
    LimitsPlugin,
    MembershipPlugin,
    MetricsPlugin,
    OwnedGroupWatch,
    PromotionPlugin,
    StatusPagePlugin,
)


class HookedConfirmer(Confirmer):
    """Confirmer with a hook before the confirmation."""

    async def confirm(self, endpoint, answer, wait_s):
        await self.clock.vm.reach(Step.CONFIRM, endpoint)
        await super().confirm(endpoint, answer, wait_s)


class HookedGateway(Gateway):
    """Gateway with hooks at its own steps."""

    vm: "MatrixVm"

    def _holder(self, key, *, is_new_work=True):
        self.vm.note(Step.KEY_CHECK)
        return super()._holder(key, is_new_work=is_new_work)

    def _token(self, sealed, holder):
        self.vm.note(Step.TOKEN_CHECK)
        return super()._token(sealed, holder)

    async def _admit(self, holder, deadline_s):
        await self.vm.reach(Step.RATE_ADMIT)
        await super()._admit(holder, deadline_s)

    def _group(self, service, partition):
        self.vm.note(Step.ROUTE)
        return super()._group(service, partition)

    def _answer(self, token, group, answer, name):
        self.vm.note(Step.ANSWER)
        return super()._answer(token, group, answer, name)

    def _observe(self, *arguments):
        self.vm.note(Step.STATUS_OBSERVE)
        super()._observe(*arguments)


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
        self.is_leaving = False
        self.delay_s = 0.0
        self.tasks: set[asyncio.Task] = set()
        self.kernel = self._make_kernel()

    def _make_kernel(self) -> Kernel:
        registry = Registry()
        for plugin in REAL_PLUGINS:
            registry.register(plugin)
        fakes = {
            PlatformStore: HookedStore(self),
            PeerLinks: HookedLinks(self),
            EndpointDriver: FakeDriver(self),
            WriteGate: HookedGate(self),
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
        self.world.network.links[self.name] = self.kernel.get(PeerLinks)
        await self.kernel.start()
        get = self.kernel.get
        dispatcher = Dispatcher(
            vm=self.name,
            zone=self.zone,
            executor=get(StatementExecutor),
            peers=get(PeerLinks),
            membership=get(Membership),
            configuration=get(ConfigurationSource),
            clock=self.clock,
            source=Random(self.world.seed),
        )
        self.gateway = HookedGateway(
            keys=get(KeyRing),
            limits=get(RateLimits),
            configuration=get(ConfigurationSource),
            status=get(StatusObserver),
            metrics=get(Metrics),
            sealer=TokenSealer(secrets=[b"secret"]),
            dispatcher=dispatcher,
            clock=self.clock,
        )
        self.gateway.vm = self
        get(ConfigurationSource).subscribe(lambda _: self.note(Step.CONFIG_APPLY))
        self.world.weaken(self)

    def spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def note(self, step: Step, peer: str = "") -> None:
        """Fire the armed fault if it waits for this step."""
        self.world.reached.add(step)
        self.world.fire(self, step, peer)

    async def reach(self, step: Step, peer: str = "") -> None:
        """Fire at a step, then wait as a frozen, slow or dead VM does."""
        self.note(step, peer)
        await asyncio.sleep(self.delay_s)
        await self.running.wait()
        if not self.is_alive:
            await asyncio.Event().wait()

    def kill(self) -> None:
        self.is_alive = False
        self.world.network.links.pop(self.name, None)
        executor = self.kernel.get(StatementExecutor)
        for task in [*self.tasks, *self.kernel.tasks, *executor.duplicates.running]:
            task.cancel()

    async def leave(self) -> None:
        """Drain and stop, as at SIGTERM."""
        self.note(Step.DRAIN)
        self.is_leaving = True
        self.gateway.is_draining = True
        while self.tasks and self.is_alive:
            await asyncio.wait(set(self.tasks))
        await self.kernel.drain()
        await self.kernel.stop()
        self.kill()


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
        # Replaces parts of a VM by ones without their guard.
        self.weaken = weaken
        self.store = MemoryStore()
        self.network = FakeNetwork()
        self.endpoints = {name: FakeEndpoint(name) for name in ENDPOINTS}
        self.cut: set[tuple[str, str]] = set()
        self.healed = asyncio.Event()
        self.reached: set[Step] = set()
        self.armed: list = []
        self.vms: dict[str, MatrixVm] = {}
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
                        "address": f"127.0.0.1:{1000 + place}",
                        "zone": f"zone-{name[-1]}",
                        "slots": 3,
                        "connections": 30,
                    }
                    for place, name in enumerate(ENDPOINTS)
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
            await self.start_vm(name, 1)
        await asyncio.sleep(6)

    async def start_vm(self, name: str, incarnation: int) -> None:
        vm = self.vms[name] = MatrixVm(self, name, incarnation)
        await vm.start()

    async def stop(self) -> None:
        self.replication.cancel()
        for vm in self.vms.values():
            vm.kill()
        await asyncio.sleep(0)

    def fire(self, vm: MatrixVm, step: Step, peer: str) -> None:
        for fault in self.armed:
            fault.fire(vm, step, peer)

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(REPLICATION_S)
            for source in self.endpoints.values():
                for target in self.endpoints.values():
                    ends = source.name, target.name
                    if source is not target and self.is_linked(*ends):
                        target.replicate(source, self.clock.now_s())

    def is_linked(self, one: str, other: str) -> bool:
        ends = (self.endpoints.get(name) for name in (one, other))
        is_up = all(end is None or end.is_up for end in ends)
        return is_up and (one, other) not in self.cut

    async def until_linked(self, one: str, other: str) -> None:
        """Hold a message while its way is cut."""
        while (one, other) in self.cut:
            await self.healed.wait()

    def heal(self) -> None:
        self.cut.clear()
        self.network.heal()
        event, self.healed = self.healed, asyncio.Event()
        event.set()

    def primary(self) -> FakeEndpoint | None:
        leaders = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.is_up and endpoint.database.role is DatabaseRole.PRIMARY
        ]
        return max(leaders, key=lambda e: e.database.log.log_term, default=None)

    def history(self, calls: list) -> History:
        leader = self.primary()
        entries = leader.database.log.entries if leader else []
        return History(
            calls=calls,
            ran=[ran for one in self.endpoints.values() for ran in one.ran],
            surviving=[
                Logged("g1", entry.term, place, entry.rows)
                for place, entry in enumerate(entries, 1)
            ],
            logged=[entry for one in self.endpoints.values() for entry in one.ever],
            keys=KEYS,
            groups=dict.fromkeys(ENDPOINTS, "g1"),
        )
