"""Tests of a draining VM: announcement, refusals and completion of its work."""

import asyncio
import signal
from abc import ABC

import pytest

from ebonyladder._owner_context import OwnerContext
from ebonyladder.configuration import Configuration, VmSpec, ZoneSpec
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import EbonyladderError, ErrorCode, Outcome
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import Registry
from ebonyladder.types import VmState, ZoneState
from ebonyladder.vm_drain_state import DRAIN_NOTICE_S, VmDrainState
from standins.deployment import Deployment
from tests.fakes import FixedConfiguration
from tests.fleet import run_fleet
from tests.load import Load
from tests.test_kernel import SETTINGS

# Deployments of processes run one after the other, on one worker.
pytestmark = pytest.mark.xdist_group("processes")

READY = Configuration(zones={"zone-a": ZoneSpec(region="region")})
DRAINED = [
    Configuration(zones={"zone-a": ZoneSpec(region="region", state=ZoneState.OUT)}),
    Configuration(vms={"vm-1": VmSpec(state=VmState.DRAIN)}),
]


class Base(ABC):  # noqa: B024
    """Interface of the plug-in on which the other one depends."""


class TestOrder:
    """Guards against a drain that peers learn of only after a front end has stopped."""

    def test_drain_is_announced_before_any_plugin_drains(self):
        calls: list[str] = []
        registry = Registry()

        class Recorder(Plugin):
            name = "base"
            provides = (Base,)

            async def announce_drain(self):
                assert self.kernel.draining
                calls.append(f"announce {self.name}")

            async def drain(self):
                calls.append(f"drain {self.name}")

        class Dependant(Recorder):
            name = "dependant"
            provides = ()
            requires = (Base,)

        registry.register(Recorder)
        registry.register(Dependant)
        asyncio.run(Kernel(settings=SETTINGS, registry=registry).drain())
        assert calls == [
            "announce dependant",
            "announce base",
            "drain dependant",
            "drain base",
        ]

    def test_peers_immediately_assign_no_endpoints_to_a_draining_vm(self):
        async def scenario(fleet):
            draining, *others = fleet.vms
            draining.kernel.draining = True
            await draining.view.announce_drain()
            for vm in others:
                active_vms = [member.vm for member in vm.view.active_vms()]
                assert draining.name not in active_vms
                assert draining.name in vm.names()

        run_fleet(scenario, count=5)

    def test_refusal_informs_a_peer_that_missed_the_announcement(self):
        async def scenario(fleet):
            one, other = fleet.vms[:2]
            one.view.record_draining(other.name)
            active_vms = [member.vm for member in one.view.active_vms()]
            assert other.name not in active_vms

        run_fleet(scenario, count=3)


class TestRefusal:
    """Guards against new work on a draining VM and against a wrong outcome."""

    def test_draining_owner_refuses_with_outcome_not_run(self):
        kernel = Kernel(settings=SETTINGS, registry=Registry())
        context = OwnerContext(
            kernel=kernel, owned=None, groups=None, keys=None, write_gate=None
        )
        context.require_not_draining()
        kernel.draining = True
        with pytest.raises(EbonyladderError) as refusal:
            context.require_not_draining()
        assert refusal.value.code is ErrorCode.DRAINING
        assert refusal.value.outcome is Outcome.NOT_RUN

    @pytest.mark.parametrize("drained", DRAINED)
    def test_configured_drain_refuses_work_after_the_load_balancer_detects_it(
        self, drained
    ):
        clock, source = ManualClock(), FixedConfiguration(READY)
        drain_state = VmDrainState(
            vm="vm-1", zone="zone-a", configuration=source, clock=clock
        )
        assert (drain_state.is_draining, drain_state.accepts_work) == (False, True)
        source.change(drained)
        assert (drain_state.is_draining, drain_state.accepts_work) == (True, True)
        clock.advance(DRAIN_NOTICE_S)
        assert (drain_state.is_draining, drain_state.accepts_work) == (True, False)
        source.change(READY)
        assert (drain_state.is_draining, drain_state.accepts_work) == (False, True)


class TestTerminatedVm:
    """Guards against requests that a graceful shutdown interrupts, with processes."""

    def test_owner_of_the_primary_completes_its_transactions_and_exits(self):
        async def scenario(deployment: Deployment) -> None:
            async with Load(deployment) as load:
                await load.wait_until_served(5)
                opened = await load.open_transaction()
                owner = opened["transaction"].split("~")[3]
                deployment.signal(owner, signal.SIGTERM)
                await load.wait_until_served(10)
                assert deployment.processes[owner].poll() is None
                await load.commit(opened)
                code = await asyncio.to_thread(
                    deployment.processes[owner].wait, timeout=60
                )
                await load.wait_until_served(5)
            assert load.failures == []
            assert code == 0
            self.require_order((deployment.folder / f"{owner}.log").read_text())

        with Deployment(vms=4, groups=1) as deployment:
            asyncio.run(scenario(deployment))

    @staticmethod
    def require_order(log: str) -> None:
        lines = (
            "Drain has begun",
            "Drain is announced",
            "Leases are released",
            "Drain finished",
            "Daemon has stopped",
        )
        offsets = [log.index(line) for line in lines]
        assert offsets == sorted(offsets)
        assert "was left at the end" not in log
        assert "was not released" not in log
