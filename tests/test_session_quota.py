"""Admission by fleet-wide rates."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import RequestError
from ebonyladder.sessions.quota import (
    GRANT_LIFE_S,
    RESTART_PART,
    GrantedQuota,
    Tolerance,
    divide,
)
from ebonyladder.types import VmId
from tests.session_fakes import ORGANISATION


def admitted(quota: GrantedQuota, count: int) -> int:
    """Return how many of ``count`` operations are admitted at once."""

    async def admit() -> int:
        passed = 0
        for _ in range(count):
            try:
                await quota.admit(ORGANISATION, longest_s=0.0)
            except RequestError:
                continue
            passed += 1
        return passed

    return asyncio.run(admit())


class TestGrantedQuota:
    def test_vm_up_for_long_serves_first_operations(self):
        # Guards against refusals at the start of traffic, when no operation has
        # been seen yet but the rate has been unused for seconds.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        clock.advance(12.0)
        assert admitted(quota, 30) == ORGANISATION.burst

    def test_restarted_vm_starts_without_tokens(self):
        # Guards against a second burst inside one window after all VMs restart.
        quota = GrantedQuota(clock=ManualClock())
        assert admitted(quota, 30) == 0

    def test_restarted_vm_uses_only_a_part_of_the_tolerance(self):
        # Guards against refusing callers after a restart of all VMs, and against
        # a second burst beyond what a window tolerates.
        tolerance = Tolerance(window_s=5.0, share=0.1, operations=20.0)
        quota = GrantedQuota(clock=ManualClock(), tolerance=tolerance)
        quota.vm_count = 2
        least = RESTART_PART * tolerance.of(ORGANISATION) / 2
        assert admitted(quota, 30) == int(least)

    def test_all_vms_restarted_inside_a_window_keep_the_tolerance(self):
        # Guards against a broken limit where VMs that had used all are restarted.
        tolerance = Tolerance(window_s=5.0, share=0.1, operations=20.0)
        total = 0
        clock = ManualClock()
        for started_s in (0.0, 60.0, 62.0):
            clock.monotonic_s = 1_000.0 + started_s
            fleet = [GrantedQuota(clock=clock, tolerance=tolerance) for _ in range(4)]
            for quota in fleet:
                quota.vm_count = 4
            clock.monotonic_s = 1_000.0 + max(60.0, started_s + 1.0)
            served = sum(admitted(quota, 50) for quota in fleet)
            total += served if started_s != 60.0 else 0
            clock.monotonic_s = 1_000.0 + started_s
        allowed = ORGANISATION.rate_per_s * 5 + ORGANISATION.burst
        assert total <= allowed + tolerance.of(ORGANISATION)

    def test_without_grant_a_vm_has_an_equal_part(self):
        # Guards against each VM using the whole rate while the leader is away.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        quota.vm_count = 4
        clock.advance(60.0)
        assert admitted(quota, 30) == ORGANISATION.burst / 4

    def test_expired_grant_is_not_used(self):
        # Guards against a VM that is cut off keeping a rate that the leader has
        # given to others meanwhile.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        quota.vm_count = 4
        quota.accept({ORGANISATION.name: 20.0}, clock.now_s())
        assert quota.share(ORGANISATION) == 1.0
        clock.advance(GRANT_LIFE_S + 0.01)
        assert quota.share(ORGANISATION) == 0.25

    def test_refusal_comes_at_once_with_a_time(self):
        # Guards against operations held back that can't be served in time.
        quota = GrantedQuota(clock=ManualClock())

        async def admit():
            await quota.admit(ORGANISATION, longest_s=0.01)

        with pytest.raises(RequestError) as caught:
            asyncio.run(admit())
        assert caught.value.retry_after_s == pytest.approx(1 / 20)


class TestDivide:
    def test_traffic_through_one_vm_gets_nearly_all(self):
        # Guards against refusals where a large organisation uses few VMs.
        demands = {VmId("vm-1"): 50.0, VmId("vm-2"): 0.0}
        parts = divide(rate_per_s=40.0, demands=demands, vm_count=2)
        assert parts[VmId("vm-1")] >= 0.9 * 40.0

    def test_parts_never_exceed_the_rate(self):
        # Guards against a broken quota when all VMs ask for many times the rate.
        demands = {VmId(f"vm-{i}"): 100.0 * i for i in range(5)}
        parts = divide(rate_per_s=40.0, demands=demands, vm_count=8)
        assert sum(parts.values()) <= 40.0 * 5 / 8 + 1e-9

    def test_unreported_vms_keep_an_equal_part(self):
        # Guards against promising twice what a VM out of touch may still use.
        parts = divide(rate_per_s=40.0, demands={VmId("vm-1"): 99.0}, vm_count=4)
        assert parts[VmId("vm-1")] == pytest.approx(10.0)
