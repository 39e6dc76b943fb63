"""Tests of leases in the store."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.lease import Lease, LeaseState
from tests.fakes import MemoryStore

DURATION_S = 6.0


def lease_of(store: MemoryStore, clock: ManualClock, vm: str, nonce: str = "") -> Lease:
    return Lease(
        store=store,
        clock=clock,
        key="limits/0/main",
        duration_s=DURATION_S,
        vm=vm,
        incarnation=1,
        nonce=nonce or vm,
    )


class TestTaking:
    """Guards against two holders of one lease at a time."""

    def test_second_vm_waits_the_whole_duration_on_its_own_clock(self):
        async def run():
            store, clock, other = MemoryStore(), ManualClock(), ManualClock(start_s=7.0)
            await lease_of(store, clock, "vm-1").take()
            taker = lease_of(store, other, "vm-2")
            await taker.observe()
            other.advance(DURATION_S - 0.1)
            with pytest.raises(StoreError) as caught:
                await taker.take()
            assert caught.value.code is ErrorCode.LEASE_LOST
            other.advance(0.2)
            await taker.take()
            assert taker.is_valid()

        asyncio.run(run())

    def test_renewal_restarts_the_wait(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            holder, taker = lease_of(store, clock, "vm-1"), lease_of(store, clock, "b")
            await holder.take()
            await taker.observe()
            clock.advance(5.0)
            await holder.renew()
            clock.advance(2.0)
            await taker.observe()
            assert taker.wait_left_s() >= DURATION_S
            assert taker.seen_holder() == "vm-1"

        asyncio.run(run())

    def test_one_of_two_simultaneous_takers_wins(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            first, second = lease_of(store, clock, "a"), lease_of(store, clock, "b")
            await first.take()
            with pytest.raises(StoreError):
                await second.take()
            assert [first.is_valid(), second.is_valid()] == [True, False]

        asyncio.run(run())

    def test_end_counts_from_before_the_write_was_sent(self):
        class SlowStore(MemoryStore):
            async def put(self, key, value, *, expected_version):
                clock.advance(4.0)
                return await super().put(key, value, expected_version=expected_version)

        async def run():
            lease = lease_of(SlowStore(), clock, "vm-1")
            await lease.take()
            clock.advance(1.9)
            assert lease.is_valid()
            clock.advance(0.2)
            assert not lease.is_valid()

        clock = ManualClock()
        asyncio.run(run())

    def test_restarted_process_of_the_same_vm_waits_too(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            await lease_of(store, clock, "vm-1", "first").take()
            restarted = lease_of(store, clock, "vm-1", "second")
            await restarted.observe()
            assert restarted.state is LeaseState.SEEKING
            assert restarted.wait_left_s() >= DURATION_S

        asyncio.run(run())


class TestFrozenHolder:
    """Guards against a holder that resumes after its lease has ended."""

    def test_lease_is_invalid_and_renewal_fails_after_a_takeover(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            holder, taker = lease_of(store, clock, "a"), lease_of(store, clock, "b")
            await holder.take()
            await taker.observe()
            clock.advance(7.0)
            assert not holder.is_valid()
            await taker.take()
            with pytest.raises(StoreError) as caught:
                await holder.renew()
            assert caught.value.code is ErrorCode.LEASE_LOST
            assert holder.state is LeaseState.SEEKING

        asyncio.run(run())


class TestLostAnswers:
    """Guards against writes that took effect without an answer."""

    def test_take_is_settled_by_reading_again(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            store.lost_answers = 1
            lease = lease_of(store, clock, "vm-1")
            await lease.take()
            assert lease.is_valid()
            assert lease.end_s == clock.now_s() + DURATION_S

        asyncio.run(run())

    def test_take_is_adopted_after_an_outage_hid_it(self):
        class HidingStore(MemoryStore):
            async def put(self, key, value, *, expected_version):
                await super().put(key, value, expected_version=expected_version)
                self.is_down = True
                raise self._unavailable(None)

        async def run():
            store, clock = HidingStore(), ManualClock()
            lease = lease_of(store, clock, "vm-1")
            with pytest.raises(StoreError):
                await lease.take()
            store.is_down = False
            clock.advance(1.0)
            await lease.observe()
            assert lease.end_s == clock.now_s() - 1.0 + DURATION_S

        asyncio.run(run())

    def test_unanswered_release_leaves_the_lease_invalid_until_renewed(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            lease = lease_of(store, clock, "vm-1")
            await lease.take()
            store.is_down = True
            with pytest.raises(StoreError):
                await lease.release()
            store.is_down = False
            await lease.observe()
            assert not lease.is_valid()
            await lease.renew()
            assert lease.is_valid()

        asyncio.run(run())


class TestRelease:
    """Guards against shares that lie idle after a planned stop."""

    def test_released_lease_is_taken_at_once(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            holder, taker = lease_of(store, clock, "a"), lease_of(store, clock, "b")
            await holder.take()
            await holder.release()
            assert not holder.is_valid()
            await taker.observe()
            await taker.take()
            assert taker.is_valid()

        asyncio.run(run())
