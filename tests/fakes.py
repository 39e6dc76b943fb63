"""Fakes of the interfaces: store, peer connections and configuration."""

from __future__ import annotations

import asyncio

from ebonyladder.configuration import Configuration, ConfigurationSource
from ebonyladder.kernel.error import (
    EbonyladderError,
    ErrorCode,
    PeerError,
    RequestError,
    StoreError,
)
from ebonyladder.kernel.step import Step
from ebonyladder.messages import Message
from ebonyladder.peer import Handler, PeerConnections, PeerIdentity
from ebonyladder.store import ListedVm, PlatformStore, StoredObject
from ebonyladder.types import Address, HopId, Incarnation, VmId, ZoneId


class MemoryStore(PlatformStore):
    """Store in memory; a test sets its outages, delay and lost answers."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.listed: list[ListedVm] = []
        self.version = 0
        self.calls: dict[str, int] = {}
        self.is_down = False
        self.delay_s = 0.0
        self.lost_answers = 0
        self.changed = asyncio.Event()

    async def _begin_call(self, call: str, step: Step) -> None:
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.is_down:
            raise self._unavailable(step)

    @staticmethod
    def _unavailable(step: Step) -> StoreError:
        return StoreError(code=ErrorCode.STORE_UNAVAILABLE, step=step, peer="store")

    def _complete_write(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
        if self.lost_answers:
            self.lost_answers -= 1
            raise self._unavailable(Step.STORE_WRITE)

    def _require_version(self, key: str, expected: int) -> None:
        current = self.objects.get(key)
        if (current.version if current else 0) != expected:
            raise StoreError(
                code=ErrorCode.STORE_CONFLICT, step=Step.STORE_WRITE, peer="store"
            )

    async def get(self, key: str) -> StoredObject | None:
        await self._begin_call("get", Step.STORE_READ)
        return self.objects.get(key)

    async def put(self, key: str, value: bytes, *, expected_version: int) -> int:
        await self._begin_call("put", Step.STORE_WRITE)
        self._require_version(key, expected_version)
        self.version += 1
        self.objects[key] = StoredObject(key=key, value=value, version=self.version)
        self._complete_write()
        return self.version

    async def delete(self, key: str, *, expected_version: int) -> None:
        await self._begin_call("delete", Step.STORE_WRITE)
        self._require_version(key, expected_version)
        del self.objects[key]
        self._complete_write()

    async def vms(self) -> list[ListedVm]:
        await self._begin_call("vms", Step.STORE_READ)
        return list(self.listed)

    async def list(self, prefix: str) -> list[StoredObject]:
        await self._begin_call("list", Step.STORE_READ)
        return [o for k, o in sorted(self.objects.items()) if k.startswith(prefix)]

    async def watch(
        self, key: str, *, after_version: int, wait_s: float
    ) -> StoredObject | None:
        await self._begin_call("watch", Step.STORE_WATCH)
        try:
            async with asyncio.timeout(wait_s):
                while True:
                    found = self.objects.get(key)
                    if found is not None and found.version > after_version:
                        return found
                    await self.changed.wait()
        except TimeoutError:
            return None


class FakeNetwork:
    """Network between the fake VMs of a test; each direction can be blocked."""

    def __init__(self) -> None:
        self.connections: dict[VmId, FakePeerConnections] = {}
        self.blocked: set[tuple[VmId, VmId]] = set()

    def join(self, vm: str, zone: str = "zone-a") -> FakePeerConnections:
        connections = FakePeerConnections(network=self, vm=VmId(vm), zone=ZoneId(zone))
        self.connections[connections.vm] = connections
        return connections

    def block_both(self, one: str, other: str) -> None:
        self.blocked |= {(VmId(one), VmId(other)), (VmId(other), VmId(one))}

    def partition(self, vm: str) -> None:
        for other in self.connections:
            if other != vm:
                self.block_both(vm, other)

    def heal(self) -> None:
        self.blocked.clear()


class FakePeerConnections(PeerConnections):
    """Peer connections of one fake VM; its address is its name."""

    def __init__(self, *, network: FakeNetwork, vm: VmId, zone: ZoneId) -> None:
        self.network = network
        self.vm = vm
        self.zone = zone
        self.incarnation = Incarnation(1)
        self.handlers: dict[type[Message], Handler] = {}
        self.sent = 0

    def _target(self, vm: VmId) -> FakePeerConnections:
        target = self.network.connections.get(vm)
        if target is None or (self.vm, vm) in self.network.blocked:
            raise self._error(ErrorCode.PEER_UNREACHABLE, vm)
        return target

    async def identify(self, vm: VmId, *, timeout_s: float) -> PeerIdentity:
        target = self._target(vm)
        return PeerIdentity(vm, target.zone, target.incarnation, Address(vm))

    async def call(
        self,
        vm: VmId,
        message: Message,
        *,
        timeout_s: float,
        incarnation: Incarnation | None = None,
    ) -> Message:
        target = self._target(vm)
        if incarnation not in (None, target.incarnation):
            raise self._error(ErrorCode.PEER_REPLACED, vm)
        self.sent += 1
        identity = PeerIdentity(self.vm, self.zone, self.incarnation, Address(self.vm))
        try:
            async with asyncio.timeout(timeout_s):
                answer = await target.handlers[type(message)](identity, message)
        except TimeoutError:
            raise self._error(ErrorCode.PEER_LOST, vm) from None
        except EbonyladderError as error:
            raise PeerError(
                code=error.code,
                step=error.step,
                peer=error.peer or vm,
                outcome=error.outcome,
                message=error.message,
                retry_after_s=error.retry_after_s,
            ) from error
        if (vm, self.vm) in self.network.blocked:
            raise self._error(ErrorCode.PEER_LOST, vm)
        return answer

    async def call_address(
        self, address: Address, message: Message, *, timeout_s: float
    ) -> Message:
        return await self.call(VmId(address), message, timeout_s=timeout_s)

    def handle(self, message_type: type[Message], handler: Handler) -> None:
        self.handlers[message_type] = handler

    def next_hop(self) -> HopId:
        self.sent += 1
        return HopId(vm=self.vm, incarnation=self.incarnation, number=self.sent)

    @staticmethod
    def _error(code: ErrorCode, vm: VmId) -> PeerError:
        return PeerError(code=code, step=Step.PEER_CALL, peer=vm)


class FixedConfiguration(ConfigurationSource):
    """Configuration that a test sets."""

    def __init__(self, configuration: Configuration) -> None:
        self.current = configuration
        self.version = 1
        self.listeners = []
        self.is_fresh = True

    def require_fresh(self, step: Step) -> None:
        if not self.is_fresh:
            raise RequestError(code=ErrorCode.STALE_CONFIGURATION, step=step)

    def subscribe(self, listener) -> None:
        self.listeners.append(listener)

    def change(self, configuration: Configuration) -> None:
        self.current = configuration
        self.version += 1
        for listener in self.listeners:
            listener(configuration)
