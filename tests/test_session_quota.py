"""Admission by fleet-wide rates."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock, SystemClock
from ebonyladder.kernel.error import RequestError
from ebonyladder.limits import BucketSize, TokenBucket
from ebonyladder.sessions.quota import (
    LEADER_SILENCE_S,
    LOAN_LIFE_S,
    RESTART_PART,
    GrantedQuota,
    OrganisationQuota,
    PermitAllocator,
    PermitGrant,
    Tolerance,
)
from tests.session_fakes import ORGANISATION

TOLERANCE = Tolerance(window_s=5.0, share=0.1, operations=20.0)


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


async def waiting_operations(
    quota: GrantedQuota, count: int
) -> list[asyncio.Task[None]]:
    """Return operations that wait for turns of a leader."""
    quota.accept({}, quota.clock.now_s())
    waiting = [
        asyncio.create_task(quota.admit(ORGANISATION, longest_s=30.0))
        for _ in range(count)
    ]
    await asyncio.wait_for(quota.needed.wait(), 30.0)
    return waiting


def lend(allocator: PermitAllocator, wanted: float, share: float = 1.0) -> PermitGrant:
    """Return a loan of the organisation's turns."""
    return allocator.lend(ORGANISATION, wanted, part=share)


class TestBudget:
    def test_budget_is_full_when_traffic_starts_late(self):
        # Guards against refusals at the start of traffic, when no operation has
        # been seen yet but the rate has been unused for seconds.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=Tolerance())
        clock.advance(12.0)
        assert lend(allocator, 100).turns == ORGANISATION.burst

    def test_new_leader_lends_only_a_part_of_the_tolerance_at_once(self):
        # Guards against a second burst inside one window after all VMs restart.
        allocator = PermitAllocator(clock=ManualClock(), tolerance=TOLERANCE)
        least = RESTART_PART * TOLERANCE.of(ORGANISATION)
        assert lend(allocator, 100).turns == int(min(least, ORGANISATION.burst))

    def test_restart_inside_a_window_keeps_the_tolerance(self):
        # Guards against a broken limit where the leader is replaced after it has
        # lent all that it had.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=TOLERANCE)
        clock.advance(60.0)
        total = lend(allocator, 1000).turns
        for _ in range(25):
            clock.advance(0.1)
            total += lend(allocator, 1000).turns
        allocator = PermitAllocator(clock=clock, tolerance=TOLERANCE)
        for _ in range(25):
            clock.advance(0.1)
            total += lend(allocator, 1000).turns
        allowed = ORGANISATION.rate_per_s * 5 + ORGANISATION.burst
        assert total <= allowed + TOLERANCE.of(ORGANISATION)

    def test_budget_after_another_lender_starts_empty(self):
        # Guards against a second burst from a deputy that follows the leader.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=TOLERANCE)
        clock.advance(60.0)
        lend(allocator, 1)
        allocator.start_anew(is_empty=True)
        assert lend(allocator, 1_000).turns == 0
        clock.advance(1.0)
        assert lend(allocator, 1_000).turns == ORGANISATION.rate_per_s

    def test_duty_taken_over_brings_only_a_part_of_the_tolerance_at_once(self):
        # Guards against a second burst from a VM that takes the duty long after its
        # start, when the former leader has just lent one.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=TOLERANCE)
        clock.advance(60.0)
        allocator.start_anew(is_empty=False)
        most = RESTART_PART * TOLERANCE.of(ORGANISATION)
        assert 0 < lend(allocator, 1_000).turns <= most

    def test_rate_is_kept_for_vms_that_do_not_ask(self):
        # Guards against promising twice what a VM out of touch may still use.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=Tolerance())
        lend(allocator, 100, share=0.75)
        clock.advance(1.0)
        assert lend(allocator, 100, share=0.75).turns == 15

    def test_loan_says_when_the_next_turn_is_there(self):
        # Guards against operations that are held until their time is up.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=Tolerance())
        assert lend(allocator, 1) == PermitGrant(turns=0, wait_s=pytest.approx(1 / 20))

    def test_sustained_demand_gets_the_rate_and_no_more(self):
        # Guards against a broken quota when all VMs ask for many times the rate.
        clock = ManualClock()
        allocator = PermitAllocator(clock=clock, tolerance=Tolerance())
        lend(allocator, 1000)
        total = 0
        for _ in range(100):
            clock.advance(0.1)
            total += lend(allocator, 50).turns
        assert 0.98 * 200 <= total <= 200


class TestLentQuota:
    def test_lent_turns_are_used_without_asking(self):
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        admitted(quota, 1)
        quota.accept({ORGANISATION.name: PermitGrant(turns=3)}, clock.now_s())
        assert admitted(quota, 5) == 3

    def test_operation_goes_on_alone_when_the_leader_does_not_answer(self):
        # Guards against refusals of everything until the link to the leader ends.
        async def play():
            quota = GrantedQuota(clock=SystemClock())
            quota.accept({}, quota.clock.now_s() - LEADER_SILENCE_S)
            organisation_quota = quota.organisations.setdefault(
                ORGANISATION.name, OrganisationQuota(clock=quota.clock)
            )
            organisation_quota.own_bucket = TokenBucket(
                size=BucketSize(ORGANISATION.rate_per_s, 2.0), clock=quota.clock
            )
            await quota.admit(ORGANISATION, longest_s=0.05)

        asyncio.run(play())

    def test_loan_ends(self):
        # Guards against a VM that is cut off and keeps turns lent to others since.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        quota.vm_count = 1000
        admitted(quota, 1)
        quota.accept({ORGANISATION.name: PermitGrant(turns=3)}, clock.now_s())
        clock.advance(LOAN_LIFE_S)
        assert admitted(quota, 5) == 0

    def test_without_leader_a_vm_has_an_equal_part(self):
        # Guards against each VM using the whole rate while the leader is away.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        quota.vm_count = 4
        admitted(quota, 1)
        clock.advance(1.0)
        assert admitted(quota, 30) == ORGANISATION.rate_per_s / 4

    def test_waiting_operations_go_on_alone_when_the_leader_is_lost(self):
        # Guards against refusals for as long as a loan would have lived.
        async def play():
            quota = GrantedQuota(clock=SystemClock())
            quota.accept({}, quota.clock.now_s())
            waiting = asyncio.create_task(quota.admit(ORGANISATION, longest_s=30.0))
            await asyncio.wait_for(quota.needed.wait(), 30.0)
            quota.lose_leader()
            await asyncio.wait_for(waiting, 30.0)

        asyncio.run(play())

    def test_waiting_operations_go_on_when_their_turns_come(self):
        async def play():
            clock = ManualClock()
            quota = GrantedQuota(clock=clock)
            waiting = await waiting_operations(quota, 3)
            assert quota.wants()[ORGANISATION.name] >= 3
            assert quota.wants() == {}, "the same turns are asked for twice"
            quota.accept({ORGANISATION.name: PermitGrant(turns=3)}, clock.now_s())
            await asyncio.wait_for(asyncio.gather(*waiting), 30.0)

        asyncio.run(play())

    def test_what_the_next_loan_will_not_reach_is_refused_at_once(self):
        # Guards against operations of an organisation far above its rate that are
        # held until their time is up.
        async def play():
            clock = ManualClock()
            quota = GrantedQuota(clock=clock)
            waiting = await waiting_operations(quota, 6)
            quota.wants()
            grant = PermitGrant(turns=2, wait_s=0.1)
            quota.accept({ORGANISATION.name: grant}, clock.now_s())
            done, pending = await asyncio.wait(waiting, timeout=1.0)
            for task in pending:
                task.cancel()
            return len([t for t in done if t.exception()]), len(pending)

        assert asyncio.run(play()) == (2, 2)

    def test_lenders_that_come_and_go_bring_no_second_start(self):
        # Guards against turns of a fresh own bucket after each lost link.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock, tolerance=TOLERANCE)
        first = admitted(quota, 100)
        assert first > 0
        for _ in range(4):
            quota.accept({ORGANISATION.name: PermitGrant(turns=0)}, clock.now_s())
            quota.lose_leader()
            assert admitted(quota, 100) == 0
        clock.advance(TOLERANCE.window_s)
        quota.accept({ORGANISATION.name: PermitGrant(turns=0)}, clock.now_s())
        quota.lose_leader()
        assert admitted(quota, 100) == first

    def test_refund_gives_the_turn_to_the_next_operation(self):
        # Guards against rates used up by operations that reached no endpoint.
        clock = ManualClock()
        quota = GrantedQuota(clock=clock)
        admitted(quota, 1)
        quota.accept({ORGANISATION.name: PermitGrant(turns=1)}, clock.now_s())
        assert admitted(quota, 1) == 1
        quota.refund(ORGANISATION)
        assert admitted(quota, 2) == 1
