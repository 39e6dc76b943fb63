"""Faults of the matrix, what brings each step about, and one cell's run."""

import asyncio
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import NamedTuple
from unittest.mock import patch

from ebonyladder.edit import AnyEdit, GrantKey, SetEndpoint, WithdrawKey
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import EbonyladderError, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.keys import digest_of
from ebonyladder.plugins import endpoint_links
from ebonyladder.store import PlatformStore
from ebonyladder.submission import submit_edit
from ebonyladder.types import EndpointState
from standins.database import Role as DatabaseRole
from standins.records import Call, History
from tests.checkers import check_rate, violations
from tests.fleet import run_virtual
from tests.matrix_load import THINK_S, Caller
from tests.matrix_world import (
    ENDPOINTS,
    KEYS,
    ORGANISATIONS,
    VMS,
    HookedConfirmer,
    MatrixVm,
    Rate,
    World,
)

FAULT_S = 3.0
# Longer than a main lease of the limits, 6 s.
FREEZE_S = 8.0
# Observations go to the status writer each 30 s.
STATUS_S = 35.0
REACH_LIMIT_S = 40.0
SERVE_LIMIT_S = 40.0
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
        return _restore(world)

    def _operate(self, vm: str, edit: AnyEdit, name: str) -> None:
        self.racing.append(asyncio.ensure_future(operate(self.world, vm, edit, name)))


async def _restore(world: World) -> None:
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
    return _restore(world)


def _lose_endpoint_answers(world: World, name: str, vm: MatrixVm) -> Coroutine:
    world.cut.add((name, vm.name))
    return _restore(world)


def _kill_vm(world: World, vm: MatrixVm) -> Coroutine | None:
    vm.kill()
    return world.start_vm(vm.name, vm.incarnation + 1)


def _cut_vm_one_way(world: World, vm: MatrixVm) -> Coroutine:
    world.network.cut |= {(vm.name, other) for other in VMS if other != vm.name}
    return _restore(world)


def _cut_vm(world: World, vm: MatrixVm) -> Coroutine:
    world.network.isolate(vm.name)
    return _restore(world)


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


# What brings about the steps that plain statements do not reach.


async def _nothing(_world: World) -> None:
    pass


async def _lose_primary(world: World) -> None:
    restart = kill_endpoint(world, world.primary().name)
    await asyncio.sleep(5)
    await restart


async def _restart_vm(world: World) -> None:
    vm = world.vms["vm-3"]
    vm.kill()
    await asyncio.sleep(1)
    await world.start_vm("vm-3", vm.incarnation + 1)


async def _replace_vm(world: World) -> None:
    vm = world.vms["vm-3"]
    await vm.leave()
    await asyncio.sleep(2)
    await world.start_vm("vm-3", vm.incarnation + 1)


async def _change_configuration(world: World) -> None:
    edit = GrantKey(organisation="org-1", digest=digest_of("another-key"))
    await operate(world, "vm-1", edit, "change-01")


async def _remove_primary(world: World) -> None:
    name = world.primary().name
    for number, state in enumerate((EndpointState.LEAVING, EndpointState.ACTIVE)):
        edit = SetEndpoint(endpoint=name, state=state)
        await operate(world, "vm-1", edit, f"switch-{number}")
        await asyncio.sleep(6)


async def _wait_for_status(_world: World) -> None:
    await asyncio.sleep(STATUS_S)


Prelude = Callable[[World], Coroutine]
PRELUDES: dict[Step, Prelude] = {
    **dict.fromkeys(
        (Step.FAILURE_DETECT, Step.FENCE, Step.PROMOTE, Step.FOLLOW), _lose_primary
    ),
    **dict.fromkeys((Step.PEER_HELLO, Step.CONFIG_SYNC), _restart_vm),
    **dict.fromkeys((Step.DRAIN, Step.LEASE_TAKE, Step.LEASE_RELEASE), _replace_vm),
    **dict.fromkeys(
        (Step.CONFIG_CHECK, Step.CONFIG_SUBMIT, Step.CONFIG_APPLY),
        _change_configuration,
    ),
    **dict.fromkeys((Step.STATUS_WRITE, Step.STATUS_READ), _wait_for_status),
    Step.SWITCHOVER: _remove_primary,
}
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


class Verdict(NamedTuple):
    """Result of one cell."""

    history: History
    found: list[str]


def run_cell(
    faults: tuple[tuple[Step, Fault], ...],
    seed: int,
    weaken: Callable[[MatrixVm], None] = lambda _vm: None,
    confirmer: type = HookedConfirmer,
    rate: Rate = Rate(),  # noqa: B008
) -> Verdict:
    """Run one scenario with faults at steps and judge its history."""
    clock = ManualClock()
    with patch.object(endpoint_links, "Confirmer", confirmer):
        world = World(seed=seed, clock=clock, rate=rate, weaken=weaken)
        return run_virtual(_run(world, faults), clock)


async def _run(world: World, faults) -> Verdict:
    await world.start()
    armed = [ArmedFault(world=world, fault=f, step=s) for s, f in faults]
    callers = [
        Caller(world=world, organisation=ORGANISATIONS[n % 2], name=f"s{n}")
        for n in range(3)
    ]
    loads = [asyncio.ensure_future(caller.run()) for caller in callers]
    await asyncio.sleep(1)
    await asyncio.gather(
        *(PRELUDES.get(step, _nothing)(world) for step in {s for s, _ in faults})
    )
    found = []
    try:
        async with asyncio.timeout(REACH_LIMIT_S):
            for one in armed:
                await one.over.wait()
    except TimeoutError:
        found.append(
            "unreached: "
            + ", ".join(one.step.value for one in armed if not one.fired.is_set())
        )
    await _restore(world)
    found += await _serves_again(world)
    for caller in callers:
        caller.is_stopping = True
    await asyncio.gather(*loads)
    await asyncio.sleep(1)
    history = world.history([call for caller in callers for call in caller.calls])
    await world.stop()
    return Verdict(history, found + judge(history, world.rate))


async def _serves_again(world: World) -> list[str]:
    """Return the VMs that do not serve a write within the limit."""
    found = []
    for name in VMS:
        probe = Caller(world=world, organisation="org-1", name=f"probe-{name}")
        try:
            async with asyncio.timeout(SERVE_LIMIT_S):
                answer = None
                while answer is None:
                    await asyncio.sleep(THINK_S)
                    answer = await probe.write(name)
        except TimeoutError:
            codes = sorted({call.code for call in probe.calls})
            found.append(f"{name} does not serve after the fault: {codes}")
    return found


def judge(history: History, rate: Rate) -> list[str]:
    """Return what all checkers find."""
    found = violations(history)
    for organisation in ORGANISATIONS:
        found += check_rate(
            history, organisation=organisation, rate_per_s=rate.per_s, burst=rate.burst
        )
    return found + [f"dishonest: {c.code}" for c in history.calls if _is_untyped(c)]


def _is_untyped(call: Call) -> bool:
    return call.code.startswith("untyped")
