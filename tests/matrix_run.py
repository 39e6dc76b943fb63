"""Preludes that make steps occur, and the run of one cell."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import NamedTuple
from unittest.mock import patch

from ebonyladder import _owner_context
from ebonyladder.edit import GrantKey, SetEndpoint
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.step import Step
from ebonyladder.keys import digest_of
from ebonyladder.status import SECONDS_PER_HOUR
from ebonyladder.types import EndpointState
from standins.records import Call, History
from tests.checkers import check_rate, violations
from tests.fleet import run_virtual
from tests.matrix_faults import (
    ArmedFault,
    Fault,
    kill_endpoint,
    restore,
    submit_until_done,
)
from tests.matrix_hooks import HookedConfirmer
from tests.matrix_load import THINK_S, Caller
from tests.matrix_world import ORGANISATIONS, VMS, MatrixVm, Rate, World

# Longer than the 30 s between two sendings of observations to their writer.
STATUS_PERIOD_S = 35.0
REACH_TIMEOUT_S = 40.0
SERVE_TIMEOUT_S = 40.0
CELL_TIMEOUT_S = 400.0


# Preludes cause the steps that statements alone do not reach.


async def _no_prelude(_world: World) -> None:
    pass


async def _fail_over(world: World) -> None:
    restart = kill_endpoint(world, world.primary().name)
    await asyncio.sleep(5)
    await restart


async def _restart_vm(world: World) -> None:
    vm = world.vms["vm-3"]
    vm.kill()
    await asyncio.sleep(1)
    await world.start_vm("vm-3")


async def _replace_vm(world: World) -> None:
    vm = world.vms["vm-3"]
    await vm.drain_and_stop()
    await asyncio.sleep(2)
    await world.start_vm("vm-3")


async def _change_configuration(world: World) -> None:
    edit = GrantKey(organisation="org-1", digest=digest_of("another-key"))
    await submit_until_done(world, "vm-1", edit, "change-01")


async def _switch_over(world: World) -> None:
    name = world.primary().name
    for number, state in enumerate((EndpointState.LEAVING, EndpointState.ACTIVE)):
        edit = SetEndpoint(endpoint=name, state=state)
        await submit_until_done(world, "vm-1", edit, f"switch-{number}")
        await asyncio.sleep(6)


async def _end_hour(world: World) -> None:
    """Change the index of the status history and let the hour end."""
    await _change_configuration(world)
    world.clock.epoch_s += SECONDS_PER_HOUR
    await asyncio.sleep(STATUS_PERIOD_S)


Prelude = Callable[[World], Coroutine]
PRELUDES: dict[Step, Prelude] = {
    **dict.fromkeys(
        (Step.FAILURE_DETECT, Step.FENCE, Step.PROMOTE, Step.FOLLOW), _fail_over
    ),
    **dict.fromkeys((Step.PEER_HELLO, Step.CONFIG_SYNC), _restart_vm),
    **dict.fromkeys((Step.DRAIN, Step.LEASE_TAKE, Step.LEASE_RELEASE), _replace_vm),
    **dict.fromkeys(
        (Step.CONFIG_CHECK, Step.CONFIG_SUBMIT, Step.CONFIG_APPLY),
        _change_configuration,
    ),
    **dict.fromkeys((Step.STATUS_WRITE, Step.STATUS_READ), _end_hour),
    Step.SWITCHOVER: _switch_over,
}


class Verdict(NamedTuple):
    """Result of one cell."""

    history: History
    violations: list[str]


def run_cell(
    faults: tuple[tuple[Step, Fault], ...],
    seed: int,
    weaken: Callable[[MatrixVm], None] = lambda _vm: None,
    confirmer: type = HookedConfirmer,
    rate: Rate = Rate(),  # noqa: B008
) -> Verdict:
    """Run one scenario with faults at steps and check its history."""
    clock = ManualClock()
    with patch.object(_owner_context, "Confirmer", confirmer):
        world = World(seed=seed, clock=clock, rate=rate, weaken=weaken)
        return run_virtual(asyncio.wait_for(_run(world, faults), CELL_TIMEOUT_S), clock)


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
        *(PRELUDES.get(step, _no_prelude)(world) for step in {s for s, _ in faults})
    )
    found = []
    try:
        async with asyncio.timeout(REACH_TIMEOUT_S):
            for one in armed:
                await one.ended.wait()
    except TimeoutError:
        found.append(
            "unreached: "
            + ", ".join(one.step.value for one in armed if not one.started.is_set())
        )
    await restore(world)
    found += await _vms_not_serving(world)
    for caller in callers:
        caller.is_stopping = True
    await asyncio.gather(*loads)
    await asyncio.sleep(1)
    history = world.history([call for caller in callers for call in caller.calls])
    await world.stop()
    return Verdict(history, found + check_history(history, world.rate))


async def _vms_not_serving(world: World) -> list[str]:
    """Return a violation for each VM that does not serve a write within the timeout."""
    found = []
    for name in VMS:
        probe = Caller(world=world, organisation="org-1", name=f"probe-{name}")
        try:
            async with asyncio.timeout(SERVE_TIMEOUT_S):
                answer = None
                while answer is None:
                    await asyncio.sleep(THINK_S)
                    answer = await probe.write(name)
        except TimeoutError:
            codes = sorted({call.code for call in probe.calls})
            found.append(f"{name} does not serve after the fault: {codes}")
    return found


def check_history(history: History, rate: Rate) -> list[str]:
    """Return the violations that all checkers find."""
    found = violations(history)
    for organisation in ORGANISATIONS:
        found += check_rate(
            history, organisation=organisation, rate_per_s=rate.per_s, burst=rate.burst
        )
    return found + [
        f"unexpected error: {c.code}" for c in history.calls if _is_untyped(c)
    ]


def _is_untyped(call: Call) -> bool:
    return call.code.startswith("untyped")
