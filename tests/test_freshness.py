"""Tests of the evidence that the configuration is current."""

import asyncio

import pytest

from ebonyladder.freshness import Freshness, StoreLossReport
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.kernel.step import Step
from tests.fleet import Fleet, run_fleet

ROOTS = ["r1", "r2", "r3", "r4", "r5"]


async def check_cut_off_vm_stops(fleet: Fleet) -> None:
    cut = fleet.vms[0]
    cut.store.is_down = True
    fleet.network.isolate(cut.name)
    await asyncio.sleep(5)
    assert not cut.takes_work()
    await asyncio.sleep(20)
    assert not cut.takes_work()
    assert all(vm.takes_work() for vm in fleet.vms[1:])


class TestEvidence:
    """Guards against work on a configuration that may have been replaced."""

    def test_no_work_without_evidence(self):
        freshness = Freshness(clock=ManualClock())
        with pytest.raises(RequestError) as caught:
            freshness.require_fresh(Step.KEY_CHECK)
        assert caught.value.code is ErrorCode.STALE_CONFIGURATION

    def test_evidence_ends_after_three_seconds_even_if_the_vm_was_paused(self):
        clock = ManualClock()
        freshness = Freshness(clock=clock)
        freshness.confirm_current(clock.now_s())
        clock.advance(3.0)
        freshness.require_fresh(Step.EXECUTE)
        clock.advance(0.1)
        assert not freshness.is_fresh()

    def test_evidence_from_the_future_is_cut_to_now(self):
        clock = ManualClock()
        freshness = Freshness(clock=clock)
        freshness.confirm_current(clock.now_s() + 100)
        clock.advance(3.1)
        assert not freshness.is_fresh()

    def test_two_of_five_roots_are_no_outage(self):
        self.judge([(root, 7, 0.0) for root in ROOTS[:2]], expected=False)

    def test_three_of_five_roots_are_an_outage(self):
        self.judge([(root, 7, 0.0) for root in ROOTS[:3]], expected=True)

    def test_root_with_a_later_version_does_not_count(self):
        self.judge([("r1", 7, 0), ("r2", 7, 0), ("r3", 8, 0)], expected=False)

    def test_old_report_does_not_count(self):
        self.judge([("r1", 7, 0), ("r2", 7, 0), ("r3", 7, 3.1)], expected=False)

    def test_vm_that_is_no_root_does_not_count(self):
        self.judge([("r1", 7, 0), ("r2", 7, 0), ("x", 7, 0)], expected=False)

    @staticmethod
    def judge(reports, *, expected):
        clock = ManualClock()
        freshness = Freshness(clock=clock)
        for root, version, age_s in reports:
            at_s = clock.now_s() - age_s
            freshness.report_loss(root, StoreLossReport(at_s, version))
        freshness.judge_outage(ROOTS, 7)
        assert freshness.is_fresh() is expected


class TestPartition:
    """Guards against a VM that works on while others accept changes."""

    def test_cut_off_vm_stops_within_five_seconds(self):
        run_fleet(check_cut_off_vm_stops)

    def test_the_check_fails_when_freshness_always_says_fresh(self, monkeypatch):
        monkeypatch.setattr(Freshness, "is_fresh", lambda self: True)
        with pytest.raises(AssertionError):
            run_fleet(check_cut_off_vm_stops)

    def test_vm_cut_from_the_store_only_goes_on(self):
        async def scenario(fleet):
            root = next(vm for vm in fleet.vms if vm.name in fleet.roots())
            root.store.is_down = True
            for _ in range(40):
                await asyncio.sleep(0.5)
                assert all(vm.takes_work() for vm in fleet.vms)

        run_fleet(scenario)

    def test_shared_outage_goes_on(self):
        async def scenario(fleet):
            fleet.store.is_down = True
            for _ in range(120):
                await asyncio.sleep(0.5)
                assert all(vm.takes_work() for vm in fleet.vms)
            fleet.store.is_down = False
            await asyncio.sleep(3)
            assert all(not vm.configuration.is_store_lost for vm in fleet.vms)

        run_fleet(scenario)

    @pytest.mark.parametrize("delay_s", [0.3, 0.6, 1.5, 1e6])
    def test_slow_or_hanging_store_never_stops_the_fleet(self, delay_s):
        async def scenario(fleet):
            for vm in fleet.vms:
                vm.store.delay_s = delay_s
            for _ in range(40):
                await asyncio.sleep(0.5)
                assert all(vm.takes_work() for vm in fleet.vms)

        run_fleet(scenario)

    @pytest.mark.parametrize("roots_on_the_side", [0, 1, 2])
    def test_side_without_store_stops_for_good(self, roots_on_the_side):
        async def scenario(fleet):
            roots = fleet.roots()
            others = [vm.name for vm in fleet.vms if vm.name not in roots]
            names = roots[:roots_on_the_side] + others
            side = [vm for vm in fleet.vms if vm.name in names]
            rest = [vm for vm in fleet.vms if vm.name not in names]
            fleet.split(side, rest)
            for vm in side:
                vm.store.is_down = True
            await asyncio.sleep(5)
            version = await fleet.write("{/* changed */}")
            for _ in range(40):
                await asyncio.sleep(0.5)
                assert not any(vm.takes_work() for vm in side)
                assert all(vm.takes_work() for vm in rest)
            assert {vm.configuration.version for vm in rest} == {version}
            fleet.network.heal()
            await asyncio.sleep(6)
            assert {vm.configuration.version for vm in fleet.vms} == {version}

        run_fleet(scenario)

    def test_side_with_most_roots_works_and_blocks_acceptance(self):
        async def scenario(fleet):
            roots = fleet.roots()
            side = [vm for vm in fleet.vms if vm.name in roots[:3]]
            rest = [vm for vm in fleet.vms if vm not in side]
            fleet.split(side, rest)
            for vm in side:
                vm.store.is_down = True
            await asyncio.sleep(20)
            version = await fleet.write("{/* changed */}")
            with pytest.raises(Exception, match="relay roots"):
                await rest[0].configuration.require_roots(version, 5)
            assert all(vm.takes_work() for vm in side)

        run_fleet(scenario)

    def test_paused_vm_refuses_until_it_has_new_evidence(self):
        async def scenario(fleet):
            fleet.clock.advance(10)
            assert not any(vm.takes_work() for vm in fleet.vms)
            await asyncio.sleep(3)
            assert all(vm.takes_work() for vm in fleet.vms)
            assert all(len(vm.names()) == 8 for vm in fleet.vms)

        run_fleet(scenario)

    def test_one_way_cuts_to_a_vm(self):
        async def scenario(fleet):
            vm = next(vm for vm in fleet.vms if vm.name not in fleet.roots())
            for other in fleet.vms:
                if other is not vm:
                    fleet.network.cut.add((other.name, vm.name))
            await asyncio.sleep(5)
            assert not vm.takes_work()

        run_fleet(scenario)
