"""Interfaces and components of one VM with a hook at each step."""

import asyncio
import json
from typing import TYPE_CHECKING

from ebonyladder.confirmation import Confirmer
from ebonyladder.gateway import Gateway
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, PeerError
from ebonyladder.kernel.step import Step
from ebonyladder.messages import Forward, GrantRequest, Ping, Sync, TransactionStep
from ebonyladder.peer import PeerIdentity
from ebonyladder.plugins.endpoint_links import OwnedEndpointExecutor
from ebonyladder.plugins.write_gate import WriteGatePlugin
from tests.fakes import FakePeerConnections, MemoryStore

if TYPE_CHECKING:
    from tests.matrix_world import MatrixVm

PEER_LATENCY_S = 0.001
CALL_STEPS = {
    Forward: Step.FORWARD,
    TransactionStep: Step.FORWARD,
    GrantRequest: Step.GRANT,
    Sync: Step.CONFIG_SYNC,
    Ping: Step.MEMBERSHIP_PING,
}


class HookedStore(MemoryStore):
    """Access of one VM to the shared store, with a hook before each call."""

    def __init__(self, vm: "MatrixVm") -> None:
        super().__init__()
        self.vm = vm
        self.shared = vm.world.store

    async def _call_at(self, call, *steps: Step):
        for step in steps:
            await self.vm.reach_step(step, "store")
        answer = await call()
        await self.vm.running.wait()
        return answer

    def _write_step(self, key: str, value: bytes) -> Step:
        if not key.startswith("limits/"):
            is_status = key.startswith("status/")
            return Step.STATUS_WRITE if is_status else Step.CONFIG_SUBMIT
        record, stored = json.loads(value), self.shared.objects.get(key)
        if record["released"]:
            return Step.LEASE_RELEASE
        is_own_record = stored and json.loads(stored.value)["nonce"] == record["nonce"]
        return Step.LEASE_RENEW if is_own_record else Step.LEASE_TAKE

    async def get(self, key):
        steps = [Step.STORE_READ]
        if key.startswith("status/"):
            steps.append(Step.STATUS_READ)
        return await self._call_at(lambda: self.shared.get(key), *steps)

    async def list(self, prefix):
        return await self._call_at(lambda: self.shared.list(prefix), Step.STORE_READ)

    async def vms(self):
        return await self._call_at(self.shared.vms, Step.STORE_READ)

    async def watch(self, key, *, after_version, wait_s):
        return await self._call_at(
            lambda: self.shared.watch(key, after_version=after_version, wait_s=wait_s),
            Step.STORE_WATCH,
        )

    async def put(self, key, value, *, expected_version):
        step = self._write_step(key, value)
        return await self._call_at(
            lambda: self.shared.put(key, value, expected_version=expected_version),
            Step.STORE_WRITE,
            step,
        )

    async def delete(self, key, *, expected_version):
        await self._call_at(
            lambda: self.shared.delete(key, expected_version=expected_version),
            Step.STORE_WRITE,
        )


class HookedConnections(FakePeerConnections):
    """Peer connections of one VM; handlers run in tasks that end with their VM."""

    def __init__(self, vm: "MatrixVm") -> None:
        super().__init__(network=vm.world.network, vm=vm.name, zone=vm.zone)
        self.matrix_vm = vm
        self.incarnation = vm.incarnation
        self.connected: set[str] = set()

    async def call(self, vm, message, *, timeout_s, incarnation=None):
        self.matrix_vm.record_step(Step.PEER_CALL, vm)
        if vm not in self.connected:
            self.connected.add(vm)
            await self.matrix_vm.reach_step(Step.PEER_HELLO, vm)
        if type(message) in CALL_STEPS:
            await self.matrix_vm.reach_step(CALL_STEPS[type(message)], vm)
        target = self.network.connections.get(vm)
        if target is None or (self.vm, vm) in self.network.blocked:
            self.connected.discard(vm)
            raise self._error(ErrorCode.PEER_UNREACHABLE, vm)
        if incarnation not in (None, target.incarnation):
            raise self._error(ErrorCode.PEER_UNREACHABLE, vm)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._deliver(target, vm, message)
        except TimeoutError:
            raise self._error(ErrorCode.PEER_LOST, vm) from None

    async def _deliver(self, target: "HookedConnections", vm, message):
        await asyncio.sleep(PEER_LATENCY_S)
        await target.matrix_vm.running.wait()
        identity = PeerIdentity(self.vm, self.zone, self.incarnation, self.vm)
        handler = target.handlers.get(type(message))
        if handler is None:
            raise self._error(ErrorCode.PEER_REFUSED, vm)
        task = target.matrix_vm.spawn(handler(identity, message))
        await asyncio.wait({task})
        await asyncio.sleep(PEER_LATENCY_S)
        await self.matrix_vm.running.wait()
        if task.cancelled() or (vm, self.vm) in self.network.blocked:
            self.connected.discard(vm)
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


class HookedGate(WriteGatePlugin):
    """Write gate with a hook at the start of a switchover."""

    async def close(self, group, *, timeout_s: float) -> bool:
        await self.kernel.vm.reach_step(Step.SWITCHOVER, "db-1")
        return await super().close(group, timeout_s=timeout_s)


class HookedExecutor(OwnedEndpointExecutor):
    """Executor of one VM with a hook before the queue."""

    async def _run_at(self, owned, view, forward, deadline_s):
        await self.kernel.vm.reach_step(Step.QUEUE, forward.endpoint)
        return await super()._run_at(owned, view, forward, deadline_s)


class HookedConfirmer(Confirmer):
    """Confirmer with a hook before the confirmation."""

    async def confirm(self, endpoint, answer, wait_s):
        await self.clock.vm.reach_step(Step.CONFIRM, endpoint)
        await super().confirm(endpoint, answer, wait_s)


class HookedGateway(Gateway):
    """Gateway with hooks at its own steps."""

    vm: "MatrixVm"

    def _identify(self, key, *, is_new_work=True):
        self.vm.record_step(Step.KEY_CHECK)
        return super()._identify(key, is_new_work=is_new_work)

    def _session_token(self, signed, identity):
        self.vm.record_step(Step.TOKEN_CHECK)
        return super()._session_token(signed, identity)

    async def _admit(self, identity, deadline_s):
        await self.vm.reach_step(Step.RATE_ADMIT)
        await super()._admit(identity, deadline_s)

    def _group(self, service, partition):
        self.vm.record_step(Step.ROUTE)
        return super()._group(service, partition)

    def _answer(self, token, group, answer, name):
        self.vm.record_step(Step.ANSWER)
        return super()._answer(token, group, answer, name)

    def _observe(self, *arguments):
        self.vm.record_step(Step.STATUS_OBSERVE)
        super()._observe(*arguments)
