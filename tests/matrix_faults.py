"""Faults of the matrix and the cells that cannot occur."""

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum

from ebonyladder.edit import AnyEdit, GrantKey, WithdrawKey
from ebonyladder.kernel.error import EbonyladderError, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.keys import digest_of
from ebonyladder.store import PlatformStore
from ebonyladder.submission import submit_edit
from standins.database import Role as DatabaseRole
from tests.matrix_world import (
    ENDPOINTS,
    KEYS,
    VMS,
    MatrixVm,
    World,
)

FAULT_S = 3.0
# Longer than a main lease of the limits, 6 s.
FREEZE_S = 8.0
SLOW_S = 0.4
STORE_SLOW_S = 1.5


class Fault(Enum):
    """Faults that the matrix puts at each step."""

    KILL = "kill"
    ONE_WAY_CUT = "one-way cut"
    TWO_WAY_CUT = "two-way cut"
    FREEZE = "freeze and resume"
    SLOW = "slow"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_ANSWER_LOST = "store answer lost"
    OPERATORS_RACING = "operators racing"
    REPLICA_BEHIND = "replica far behind"
    KEY_WITHDRAWN = "key withdrawn"
    LIST_OUT_OF_DATE = "list out of date"


class ArmedFault:
    """Fault that starts when a step is reached for the first time."""

    def __init__(self, *, world: World, fault: Fault, step: Step) -> None:
        self.world = world
        self.fault = fault
        self.step = step
        self.fired = asyncio.Event()
        self.over = asyncio.Event()
        self.racing: list[asyncio.Task] = []
        world.armed.append(self)

    def fire(self, vm: MatrixVm, step: Step, peer: str) -> None:
        if self.fired.is_set() or step is not self.step or not vm.is_alive:
            return
        self.fired.set()
        end = asyncio.ensure_future(self._end(self._begin(vm, peer)))
        end.add_done_callback(lambda _: self.over.set())

    async def _end(self, recover: Coroutine | None) -> None:
        await asyncio.sleep(FREEZE_S if self.fault is Fault.FREEZE else FAULT_S)
        if recover is not None:
            await recover
        if self.racing:
            await asyncio.wait(self.racing)

    def _begin(self, vm: MatrixVm, peer: str) -> Coroutine | None:
        """Start the fault; returns what ends it."""
        world, store = self.world, self.world.store
        if peer in ENDPOINTS and self.fault in ENDPOINT_FAULTS:
            return ENDPOINT_FAULTS[self.fault](world, peer, vm)
        if self.fault in VM_FAULTS:
            return VM_FAULTS[self.fault](world, vm)
        if self.fault is Fault.STORE_DOWN:
            store.is_down = True
        elif self.fault is Fault.STORE_SLOW:
            store.delay_s = STORE_SLOW_S
        elif self.fault is Fault.STORE_ANSWER_LOST:
            store.lost_answers = 20
        elif self.fault is Fault.OPERATORS_RACING:
            for number, name in enumerate(VMS):
                edit = GrantKey(organisation="org-1", digest=digest_of(f"new-{number}"))
                self._operate(name, edit, f"racing-{number}")
        elif self.fault is Fault.KEY_WITHDRAWN:
            edit = WithdrawKey(digest=digest_of(KEYS["org-2"]))
            self._operate(VMS[0], edit, "withdraw-1")
        elif self.fault is Fault.REPLICA_BEHIND:
            _a_replica(world).is_behind = True
        elif self.fault is Fault.LIST_OUT_OF_DATE:
            world.list_vms(("vm-1", "vm-9"))
        return restore(world)

    def _operate(self, vm: str, edit: AnyEdit, name: str) -> None:
        self.racing.append(asyncio.ensure_future(operate(self.world, vm, edit, name)))


async def restore(world: World) -> None:
    """End all faults of store, network, replicas and list."""
    world.store.is_down = False
    world.store.delay_s = 0.0
    world.store.lost_answers = 0
    for endpoint in world.endpoints.values():
        endpoint.is_behind = False
    world.list_vms()
    world.heal()


def _a_replica(world: World):
    leader = world.primary()
    return next(one for one in world.endpoints.values() if one is not leader)


def kill_endpoint(world: World, name: str, _vm: MatrixVm | None = None) -> Coroutine:
    """Kill an endpoint; returns its restart."""
    endpoint = world.endpoints[name]
    endpoint.is_up = False
    endpoint.number += 1

    async def restart() -> None:
        endpoint.database.role = DatabaseRole.REPLICA
        endpoint.database.apply(endpoint.database.log.received)
        endpoint.primary = ""
        endpoint.is_up = True

    return restart()


def _isolate_endpoint(world: World, name: str, _vm: MatrixVm) -> Coroutine:
    others = [other for other in (*VMS, *ENDPOINTS) if other != name]
    world.cut |= {(name, other) for other in others}
    world.cut |= {(other, name) for other in others}
    return restore(world)


def _lose_endpoint_answers(world: World, name: str, vm: MatrixVm) -> Coroutine:
    world.cut.add((name, vm.name))
    return restore(world)


def _kill_vm(world: World, vm: MatrixVm) -> Coroutine | None:
    vm.kill()
    return world.start_vm(vm.name)


def _cut_vm_one_way(world: World, vm: MatrixVm) -> Coroutine:
    world.network.blocked |= {(vm.name, other) for other in VMS if other != vm.name}
    return restore(world)


def _cut_vm(world: World, vm: MatrixVm) -> Coroutine:
    world.network.partition(vm.name)
    return restore(world)


def _freeze_vm(_world: World, vm: MatrixVm) -> Coroutine:
    vm.running.clear()

    async def resume() -> None:
        vm.running.set()

    return resume()


def _slow_vm(_world: World, vm: MatrixVm) -> Coroutine:
    vm.delay_s = SLOW_S

    async def speed_up() -> None:
        vm.delay_s = 0.0

    return speed_up()


ENDPOINT_FAULTS: dict[Fault, Callable[[World, str, MatrixVm], Coroutine]] = {
    Fault.KILL: kill_endpoint,
    Fault.ONE_WAY_CUT: _lose_endpoint_answers,
    Fault.TWO_WAY_CUT: _isolate_endpoint,
}
VM_FAULTS: dict[Fault, Callable[[World, MatrixVm], Coroutine | None]] = {
    Fault.KILL: _kill_vm,
    Fault.ONE_WAY_CUT: _cut_vm_one_way,
    Fault.TWO_WAY_CUT: _cut_vm,
    Fault.FREEZE: _freeze_vm,
    Fault.SLOW: _slow_vm,
}


async def operate(world: World, name: str, edit: AnyEdit, submission: str) -> Outcome:
    """Submit an edit; again with the same id while the outcome is unknown."""
    for attempt in range(20):
        vm = world.vms[VMS[(VMS.index(name) + attempt) % len(VMS)]]
        if vm.is_alive:
            vm.note(Step.CONFIG_CHECK)
            store = vm.kernel.get(PlatformStore)
            task = vm.spawn(
                submit_edit(store, edit=edit, submission_id=submission, force=True)
            )
            await asyncio.wait({task}, timeout=10)
            if task.done() and not task.cancelled() and not task.exception():
                return Outcome.RUN
            if task.done() and not task.cancelled():
                error = task.exception()
                assert isinstance(error, EbonyladderError), repr(error)
        await asyncio.sleep(0.5)
    return Outcome.UNKNOWN


# A step that never waits cannot be slow by itself.
UNINTERRUPTED = (
    Step.KEY_CHECK,
    Step.TOKEN_CHECK,
    Step.ROUTE,
    Step.ANSWER,
    Step.STATUS_OBSERVE,
    Step.CONFIG_CHECK,
    Step.CONFIG_APPLY,
)
IMPOSSIBLE: dict[tuple[Step, Fault], str] = {
    (step, Fault.SLOW): "the step runs to its end without waiting"
    for step in UNINTERRUPTED
}
