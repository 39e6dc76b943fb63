"""Admission within fleet-wide rate limits."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock, SystemClock
from ebonyladder.kernel.error import RequestError
from ebonyladder.limits import BucketSize, TokenBucket
from ebonyladder.sessions.quota import (
    GRANT_TTL_S,
    LEADER_TIMEOUT_S,
    RESTART_FRACTION,
    GrantedQuota,
    OrganisationQuota,
    PermitAllocator,
    PermitGrant,
    Tolerance,
)
from tests.session_fakes import ORGANISATION

TOLERANCE = Tolerance(window_s=5.0, share=0.1, operations=20.0)


def admitted(quota: GrantedQuota, count: int) -> int:
    """Return how many of ``count`` operations are admitted without a wait."""

    async def admit() -> int:
        passed = 0
        for _ in range(count):
            try:
                await quota.admit(ORGANISATION, timeout_s=0.0)
            except RequestError:
                continue
            passed += 1
        return passed

    return asyncio.run(admit())


async def waiting_operations(
    quota: GrantedQuota, count: int
) -> list[asyncio.Task[None]]:
    """Return operations that wait for permits of a leader."""
    quota.apply_grants({}, quota.clock.now_s())
    waiting = [
        asyncio.create_task(quota.admit(ORGANISATION, timeout_s=30.0))
        for _ in range(count)
    ]
    await asyncio.wait_for(quota.permits_needed.wait(), 30.0)
    return waiting


def grant(
    allocator: PermitAllocator, requested: float, fraction: float = 1.0
) -> PermitGrant:
    """Return a grant of the organisation's permits."""
    return allocator.grant(ORGANISATION, requested, fraction=fraction)


class TestPermitAllocator:
    """Guards against grants above the rate limit, or below it without need."""

    def test_bucket_is_full_when_traffic_starts_late(self):
        # Guards against refusals at the start of traffic, when no operation has
        # been seen yet but the rate has been unused for seconds.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=Tolerance())
        clock.advance(12.0)
        assert grant(allocator, 100).permits == ORGANISATION.burst

    def test_new_leader_grants_only_a_fraction_of_the_tolerance_immediately(self):
        # Guards against a second burst inside one window after all VMs restart.
        allocator = PermitAllocator(clock=ManualClock(), tolerance=TOLERANCE)
        initial = RESTART_FRACTION * TOLERANCE.excess_for(ORGANISATION)
        assert grant(allocator, 100).permits == int(min(initial, ORGANISATION.burst))

    def test_restart_inside_a_window_keeps_the_tolerance(self):
        # Guards against an exceeded limit when the leader is replaced after it has
        # granted all its permits.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=TOLERANCE)
        clock.advance(60.0)
        total = grant(allocator, 1000).permits
        for _ in range(25):
            clock.advance(0.1)
            total += grant(allocator, 1000).permits
        allocator = PermitAllocator(clock=clock, tolerance=TOLERANCE)
        for _ in range(25):
            clock.advance(0.1)
            total += grant(allocator, 1000).permits
        allowed = ORGANISATION.rate_per_s * 5 + ORGANISATION.burst
        assert total <= allowed + TOLERANCE.excess_for(ORGANISATION)

    def test_bucket_after_another_grantor_starts_empty(self):
        # Guards against a second burst from a standby that follows the leader.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=TOLERANCE)
        clock.advance(60.0)
        grant(allocator, 1)
        allocator.reset(is_empty=True)
        assert grant(allocator, 1_000).permits == 0
        clock.advance(1.0)
        assert grant(allocator, 1_000).permits == ORGANISATION.rate_per_s

    def test_takeover_grants_only_a_fraction_of_the_tolerance_immediately(self):
        # Guards against a second burst from a VM that takes over leadership long after
        # its start, when the former leader has just granted one.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=TOLERANCE)
        clock.advance(60.0)
        allocator.reset(is_empty=False)
        maximum = RESTART_FRACTION * TOLERANCE.excess_for(ORGANISATION)
        assert 0 < grant(allocator, 1_000).permits <= maximum

    def test_rate_is_reserved_for_vms_that_do_not_report(self):
        # Guards against granting the rate that an unreachable VM may still use.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=Tolerance())
        grant(allocator, 100, fraction=0.75)
        clock.advance(1.0)
        assert grant(allocator, 100, fraction=0.75).permits == 15

    def test_grant_has_the_time_until_the_next_permit(self):
        # Guards against operations that wait until their deadline although no permit
        # can come in time.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=Tolerance())
        assert grant(allocator, 1) == PermitGrant(
            permits=0, wait_s=pytest.approx(1 / 20)
        )

    def test_sustained_demand_gets_the_rate_and_no_more(self):
        # Guards against an exceeded rate when all VMs request many times the rate.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=Tolerance())
        grant(allocator, 1000)
        total = 0
        for _ in range(100):
            clock.advance(0.1)
            total += grant(allocator, 50).permits
        assert 0.98 * 200 <= total <= 200


class TestGrantedQuota:
    """Guards against refusals within the rate limit, and rates above it."""

    def test_granted_permits_are_used_without_a_request(self):
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        admitted(quota, 1)
        quota.apply_grants({ORGANISATION.name: PermitGrant(permits=3)}, clock.now_s())
        assert admitted(quota, 5) == 3

    def test_operation_is_admitted_locally_when_the_leader_does_not_answer(self):
        # Guards against refusals of all operations until the leader connection ends.
        async def scenario():
            quota = GrantedQuota(clock=SystemClock())
            quota.apply_grants({}, quota.clock.now_s() - LEADER_TIMEOUT_S)
            organisation_quota = quota.organisations.setdefault(
                ORGANISATION.name, OrganisationQuota(clock=quota.clock)
            )
            organisation_quota.local_bucket = TokenBucket(
                size=BucketSize(ORGANISATION.rate_per_s, 2.0), clock=quota.clock
            )
            await quota.admit(ORGANISATION, timeout_s=0.05)

        asyncio.run(scenario())

    def test_grant_expires(self):
        # Guards against a partitioned VM that keeps using permits which the leader has
        # granted to other VMs since.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        quota.vm_count = 1000
        admitted(quota, 1)
        quota.apply_grants({ORGANISATION.name: PermitGrant(permits=3)}, clock.now_s())
        clock.advance(GRANT_TTL_S)
        assert admitted(quota, 5) == 0

    def test_without_leader_a_vm_has_an_equal_fraction(self):
        # Guards against each VM using the whole rate while there is no leader.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        quota.vm_count = 4
        admitted(quota, 1)
        clock.advance(1.0)
        assert admitted(quota, 30) == ORGANISATION.rate_per_s / 4

    def test_waiting_operations_are_admitted_locally_when_the_leader_is_lost(self):
        # Guards against refusals for the TTL of a grant after the leader is lost.
        async def scenario():
            quota = GrantedQuota(clock=SystemClock())
            quota.apply_grants({}, quota.clock.now_s())
            waiting = asyncio.create_task(quota.admit(ORGANISATION, timeout_s=30.0))
            await asyncio.wait_for(quota.permits_needed.wait(), 30.0)
            quota.mark_leader_lost()
            await asyncio.wait_for(waiting, 30.0)

        asyncio.run(scenario())

    def test_waiting_operations_are_admitted_when_their_permits_come(self):
        async def scenario():
            clock = ManualClock()
            quota = GrantedQuota(clock=clock)
            waiting = await waiting_operations(quota, 3)
            assert quota.take_requests()[ORGANISATION.name] >= 3
            assert quota.take_requests() == {}, "the same permits are requested twice"
            quota.apply_grants(
                {ORGANISATION.name: PermitGrant(permits=3)}, clock.now_s()
            )
            await asyncio.wait_for(asyncio.gather(*waiting), 30.0)

        asyncio.run(scenario())

    def test_operations_beyond_the_next_grant_are_refused_immediately(self):
        # Guards against operations of an organisation far above its rate that wait
        # until their deadline.
        async def scenario():
            clock = ManualClock()
            quota = GrantedQuota(clock=clock)
            waiting = await waiting_operations(quota, 6)
            quota.take_requests()
            grant = PermitGrant(permits=2, wait_s=0.1)
            quota.apply_grants({ORGANISATION.name: grant}, clock.now_s())
            done, pending = await asyncio.wait(waiting, timeout=1.0)
            for task in pending:
                task.cancel()
            return len([t for t in done if t.exception()]), len(pending)

        assert asyncio.run(scenario()) == (2, 2)

    def test_flapping_leader_connection_allows_no_second_burst(self):
        # Guards against new tokens in the local bucket after each lost connection.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock, tolerance=TOLERANCE)
        first = admitted(quota, 100)
        assert first > 0
        for _ in range(4):
            quota.apply_grants(
                {ORGANISATION.name: PermitGrant(permits=0)}, clock.now_s()
            )
            quota.mark_leader_lost()
            assert admitted(quota, 100) == 0
        clock.advance(TOLERANCE.window_s)
        quota.apply_grants({ORGANISATION.name: PermitGrant(permits=0)}, clock.now_s())
        quota.mark_leader_lost()
        assert admitted(quota, 100) == first

    def test_refund_gives_the_permit_to_the_next_operation(self):
        # Guards against rates used up by operations that reached no endpoint.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        admitted(quota, 1)
        quota.apply_grants({ORGANISATION.name: PermitGrant(permits=1)}, clock.now_s())
        assert admitted(quota, 1) == 1
        quota.refund(ORGANISATION)
        assert admitted(quota, 2) == 1
