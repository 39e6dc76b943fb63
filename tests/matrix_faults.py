"""Faults of the matrix, and the cells that cannot occur."""

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

FAULT_DURATION_S = 3.0
# Longer than the 6 s for which a main lease of the rate limits is valid.
PAUSE_DURATION_S = 8.0
STEP_DELAY_S = 0.4
STORE_DELAY_S = 1.5


class Fault(Enum):
    """Faults that the matrix injects at each step."""

    KILL = "kill"
    ONE_WAY_PARTITION = "one-way cut"
    TWO_WAY_PARTITION = "two-way cut"
    PAUSE = "freeze and resume"
    SLOW = "slow"
    STORE_DOWN = "store down"
    STORE_SLOW = "store slow"
    STORE_ANSWER_LOST = "store answer lost"
    CONCURRENT_EDITS = "operators racing"
    REPLICA_LAGGING = "replica far behind"
    KEY_WITHDRAWN = "key withdrawn"
    VM_LIST_STALE = "list out of date"


class ArmedFault:
    """Fault that starts when a step is reached for the first time."""

    def __init__(self, *, world: World, fault: Fault, step: Step) -> None:
        self.world = world
        self.fault = fault
        self.step = step
        self.started = asyncio.Event()
        self.ended = asyncio.Event()
        self.submissions: list[asyncio.Task] = []
        world.armed.append(self)

    def trigger(self, vm: MatrixVm, step: Step, peer: str) -> None:
        if self.started.is_set() or step is not self.step or not vm.is_alive:
            return
        self.started.set()
        task = asyncio.ensure_future(self._end_later(self._begin(vm, peer)))
        task.add_done_callback(lambda _: self.ended.set())

    async def _end_later(self, recover: Coroutine | None) -> None:
        await asyncio.sleep(
            PAUSE_DURATION_S if self.fault is Fault.PAUSE else FAULT_DURATION_S
        )
        if recover is not None:
            await recover
        if self.submissions:
            await asyncio.wait(self.submissions)

    def _begin(self, vm: MatrixVm, peer: str) -> Coroutine | None:
        """Start the fault; return the coroutine that ends it."""
        world, store = self.world, self.world.store
        if peer in ENDPOINTS and self.fault in ENDPOINT_FAULTS:
            return ENDPOINT_FAULTS[self.fault](world, peer, vm)
        if self.fault in VM_FAULTS:
            return VM_FAULTS[self.fault](world, vm)
        if self.fault is Fault.STORE_DOWN:
            store.is_down = True
        elif self.fault is Fault.STORE_SLOW:
            store.delay_s = STORE_DELAY_S
        elif self.fault is Fault.STORE_ANSWER_LOST:
            store.lost_answers = 20
        elif self.fault is Fault.CONCURRENT_EDITS:
            for number, name in enumerate(VMS):
                edit = GrantKey(organisation="org-1", digest=digest_of(f"new-{number}"))
                self._submit(name, edit, f"racing-{number}")
        elif self.fault is Fault.KEY_WITHDRAWN:
            edit = WithdrawKey(digest=digest_of(KEYS["org-2"]))
            self._submit(VMS[0], edit, "withdraw-1")
        elif self.fault is Fault.REPLICA_LAGGING:
            _any_replica(world).is_lagging = True
        elif self.fault is Fault.VM_LIST_STALE:
            world.list_vms(("vm-1", "vm-9"))
        return restore(world)

    def _submit(self, vm: str, edit: AnyEdit, name: str) -> None:
        self.submissions.append(
            asyncio.ensure_future(submit_until_done(self.world, vm, edit, name))
        )


async def restore(world: World) -> None:
    """End all faults of the store, the network, replicas and the VM list."""
    world.store.is_down = False
    world.store.delay_s = 0.0
    world.store.lost_answers = 0
    for endpoint in world.endpoints.values():
        endpoint.is_lagging = False
    world.list_vms()
    world.heal()


def _any_replica(world: World):
    primary = world.primary()
    return next(one for one in world.endpoints.values() if one is not primary)


def kill_endpoint(world: World, name: str, _vm: MatrixVm | None = None) -> Coroutine:
    """Kill an endpoint; return the coroutine that restarts it."""
    endpoint = world.endpoints[name]
    endpoint.is_up = False
    endpoint.restarts += 1

    async def restart() -> None:
        endpoint.database.role = DatabaseRole.REPLICA
        endpoint.database.apply(endpoint.database.log.received)
        endpoint.primary = ""
        endpoint.is_up = True

    return restart()


def _partition_endpoint(world: World, name: str, _vm: MatrixVm) -> Coroutine:
    others = [other for other in (*VMS, *ENDPOINTS) if other != name]
    world.blocked_paths |= {(name, other) for other in others}
    world.blocked_paths |= {(other, name) for other in others}
    return restore(world)


def _drop_endpoint_answers(world: World, name: str, vm: MatrixVm) -> Coroutine:
    world.blocked_paths.add((name, vm.name))
    return restore(world)


def _kill_vm(world: World, vm: MatrixVm) -> Coroutine | None:
    vm.kill()
    return world.start_vm(vm.name)


def _partition_vm_one_way(world: World, vm: MatrixVm) -> Coroutine:
    world.network.blocked |= {(vm.name, other) for other in VMS if other != vm.name}
    return restore(world)


def _partition_vm(world: World, vm: MatrixVm) -> Coroutine:
    world.network.partition(vm.name)
    return restore(world)


def _pause_vm(_world: World, vm: MatrixVm) -> Coroutine:
    vm.running.clear()

    async def resume() -> None:
        vm.running.set()

    return resume()


def _delay_vm(_world: World, vm: MatrixVm) -> Coroutine:
    vm.delay_s = STEP_DELAY_S

    async def end_delay() -> None:
        vm.delay_s = 0.0

    return end_delay()


ENDPOINT_FAULTS: dict[Fault, Callable[[World, str, MatrixVm], Coroutine]] = {
    Fault.KILL: kill_endpoint,
    Fault.ONE_WAY_PARTITION: _drop_endpoint_answers,
    Fault.TWO_WAY_PARTITION: _partition_endpoint,
}
VM_FAULTS: dict[Fault, Callable[[World, MatrixVm], Coroutine | None]] = {
    Fault.KILL: _kill_vm,
    Fault.ONE_WAY_PARTITION: _partition_vm_one_way,
    Fault.TWO_WAY_PARTITION: _partition_vm,
    Fault.PAUSE: _pause_vm,
    Fault.SLOW: _delay_vm,
}


async def submit_until_done(
    world: World, name: str, edit: AnyEdit, submission: str
) -> Outcome:
    """Submit an edit, again with the same id while the outcome is unknown."""
    for attempt in range(20):
        vm = world.vms[VMS[(VMS.index(name) + attempt) % len(VMS)]]
        if vm.is_alive:
            vm.record_step(Step.CONFIG_CHECK)
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


# A step that never waits cannot be delayed.
STEPS_WITHOUT_WAIT = (
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
    for step in STEPS_WITHOUT_WAIT
}
