"""Store with faults at chosen calls, VMs with the status plug-in, history checker."""

import base64
import hashlib
import json
from collections.abc import Awaitable, Callable

from ebonyladder.configuration import (
    Configuration,
    ConfigurationSource,
    ServiceSpec,
)
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.registry import Registry
from ebonyladder.kernel.step import Step
from ebonyladder.membership import Membership
from ebonyladder.messages import PeerRecord
from ebonyladder.peer import PeerConnections
from ebonyladder.plugins.status_page import StatusPagePlugin
from ebonyladder.settings import Settings
from ebonyladder.status import CallResult
from ebonyladder.store import PlatformStore
from ebonyladder.types import Incarnation, VmState
from tests.fakes import FakeNetwork, FixedConfiguration, MemoryStore

START_HOUR = 500_000


def settings_of(vm: str) -> Settings:
    """Return settings of a VM that opens no address."""
    return Settings(
        vm=vm,
        zone="zone-a",
        caller="127.0.0.1:1",
        peer="127.0.0.1:2",
        operator="127.0.0.1:3",
        store="127.0.0.1:4",
        fleet_secret_file="unused",
    )


class FaultyStore(MemoryStore):
    """Store that fails, or first runs something else, at chosen calls.

    Attributes
    ----------
    call_number : int
        Number of calls until now.
    before_call : dict of int to callable
        What to run before the call of a number.
    not_reached, answer_lost : set of int
        Numbers of the calls that fail before they take effect, and of the writes
        that take effect and whose answer is lost.
    """

    def __init__(self) -> None:
        super().__init__()
        self.call_number = 0
        self.before_call: dict[int, Callable[[], Awaitable[object]]] = {}
        self.not_reached: set[int] = set()
        self.answer_lost: set[int] = set()

    async def _begin_call(self, call: str, step: Step) -> None:
        self.call_number += 1
        call_number = self.call_number
        if call_number in self.before_call:
            await self.before_call.pop(call_number)()
            self.call_number = call_number
        if call_number in self.not_reached:
            raise self._unavailable(step)
        await super()._begin_call(call, step)

    def _complete_write(self) -> None:
        super()._complete_write()
        if self.call_number in self.answer_lost:
            raise self._unavailable(Step.STORE_WRITE)


class LiveMembership(Membership):
    """Membership of the VMs that are joined to the fake network."""

    def __init__(self, network: FakeNetwork) -> None:
        self.network = network

    def members(self) -> list[PeerRecord]:
        return [
            PeerRecord(
                vm=vm,
                zone="zone-a",
                address=vm,
                incarnation=link.incarnation,
                state=VmState.ACTIVE,
                last_contact_ago_s=0.0,
            )
            for vm, link in sorted(self.network.connections.items())
        ]

    def address_of(self, vm):
        return vm

    def is_zone_in(self, zone) -> bool:
        return True

    def suspect(self, vm) -> None:
        pass


class Fleet:
    """VMs with the status plug-in over one store, clock and network."""

    def __init__(self, *vms: str, services: str = "ledger") -> None:
        self.clock = ManualClock(start_s=START_HOUR * 3_600.0)
        self.store = FaultyStore()
        self.network = FakeNetwork()
        self.configuration = FixedConfiguration(self.configured(services))
        self.nodes: dict[str, StatusPagePlugin] = {}
        self.counted: dict[str, int] = {}
        self.names = vms

    @staticmethod
    def configured(services: str) -> Configuration:
        """Return a configuration from names like ``shop>ledger``."""
        specs = {}
        for text in services.split():
            name, *depends_on = text.split(">")
            specs[name] = ServiceSpec(depends_on=tuple(depends_on))
        return Configuration(services=specs)

    async def start(self) -> "Fleet":
        for vm in self.names:
            await self.join(vm)
        return self

    async def join(self, vm: str, incarnation: int = 1) -> StatusPagePlugin:
        links = self.network.join(vm)
        links.incarnation = Incarnation(incarnation)
        kernel = Kernel(settings=settings_of(vm), clock=self.clock, registry=Registry())
        kernel.providers = {
            PlatformStore: self.store,
            PeerConnections: links,
            Membership: LiveMembership(self.network),
            ConfigurationSource: self.configuration,
        }
        node = StatusPagePlugin(kernel=kernel)
        await node.start()
        for task in list(kernel.tasks):
            task.cancel()
        self.nodes[vm] = node
        return node

    def kill(self, vm: str) -> None:
        del self.nodes[vm]
        del self.network.connections[vm]

    async def drain(self, vm: str) -> None:
        """Drain and stop a VM that has observed a call in the current minute."""
        self.nodes[vm].observe("ledger", CallResult.SERVED)
        self.counted["ledger"] += 1
        await self.nodes[vm].drain()
        self.kill(vm)

    def aggregators(self, service: str = "ledger") -> list[str]:
        return next(iter(self.nodes.values())).exchange.aggregators(service)

    async def run(
        self,
        minutes: int,
        *,
        paused: tuple[str, ...] = (),
        result: CallResult = CallResult.SERVED,
        busy: tuple[str, ...] = ("ledger",),
    ) -> None:
        """Advance the clock in steps of 30 s.

        In each step, every VM that is not paused observes one call of each busy
        service and runs one tick.
        """
        for _ in range(2 * minutes):
            for vm in list(self.nodes):
                if vm not in paused:
                    for service in busy:
                        self.nodes[vm].observe(service, result)
                        self.counted[service] = self.counted.get(service, 0) + 1
                    await self.nodes[vm].tick()
            self.clock.advance(30)

    async def run_until_written(self) -> None:
        """Run eleven minutes without calls, in which all observations are written."""
        await self.run(11, busy=())

    async def snapshot(self):
        self.clock.advance(61)
        return await next(iter(self.nodes.values())).current()

    def recorded(self, service: str = "ledger") -> int:
        """Return the number of served calls in the stored records."""
        return sum(
            entry["counts"]["served"]
            for record in stored_records(self.store, service).values()
            for entry in [record, *record["supplements"]]
        )


def stored_records(store: MemoryStore, service: str) -> dict[int, dict]:
    prefix = f"status/{service}/"
    return {
        int(key[len(prefix) :]): json.loads(stored.value)
        for key, stored in store.objects.items()
        if key.startswith(prefix) and not key.endswith("/head")
    }


def check_history(
    store: MemoryStore, service: str, confirmed: dict[tuple[str, int], int]
) -> list[str]:
    """Return the faults of a stored history, without using the product's code.

    ``confirmed`` has the served calls that writers confirmed, by observer (``vm``
    NUL ``incarnation``) and minute since the epoch.
    """
    faults: list[str] = []
    records = stored_records(store, service)
    head = store.objects.get(f"status/{service}/head")
    if head is None:
        return ["no head"] if records or confirmed else []
    last = json.loads(head.value)["last"]
    records.setdefault(last["hour"], last)
    visited: list[int] = []
    hour, link = last["hour"], None
    while hour is not None and hour not in visited:
        if hour not in records:
            return [*faults, f"hour {hour} is missing"]
        record = records[hour]
        digests = [_sha({**record, "supplements": []})]
        for supplement in record["supplements"]:
            if supplement["previous_digest"] != digests[-1]:
                faults.append(f"supplement of hour {hour} is not linked")
            digests.append(_sha(supplement))
        if link is not None and link not in digests:
            faults.append(f"link to hour {hour} does not match")
        visited.append(hour)
        hour, link = record["previous_hour"], record["previous_digest"]
    if hour is not None:
        faults.append(f"hour {hour} is in the chain twice")
    faults += [f"hour {h} is not in the chain" for h in set(records) - set(visited)]
    return faults + _count_faults(records, confirmed)


def _count_faults(records: dict[int, dict], confirmed: dict) -> list[str]:
    faults: list[str] = []
    recorded_minutes: set[tuple[bytes, int]] = set()
    served = 0
    for hour, record in records.items():
        for entry in [record, *record["supplements"]]:
            served += entry["counts"]["served"]
            for group in entry["observed"]:
                ids = base64.b64decode(group["observers"])
                for offset in range(0, len(ids), 8):
                    for minute in range(60):
                        observed_minute = (ids[offset : offset + 8], hour * 60 + minute)
                        if group["minutes"] >> minute & 1:
                            if observed_minute in recorded_minutes:
                                faults.append(f"minute {minute} of {hour} twice")
                            recorded_minutes.add(observed_minute)
    for observer, minute in confirmed:
        name = hashlib.sha256(observer.encode()).digest()[:8]
        if (name, minute) not in recorded_minutes:
            faults.append(f"minute {minute} of {observer!r} was dropped")
    if served != sum(confirmed.values()):
        faults.append(f"{served} calls recorded, {sum(confirmed.values())} confirmed")
    return faults


def _sha(value: dict) -> str:
    text = json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)
    return hashlib.sha256(text.encode()).hexdigest()
