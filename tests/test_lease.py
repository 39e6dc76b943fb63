"""Tests of leases in the store."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.lease import Lease, LeaseState
from tests.fakes import MemoryStore

TTL_S = 6.0


def lease_of(store: MemoryStore, clock: ManualClock, vm: str, nonce: str = "") -> Lease:
    return Lease(
        store=store,
        clock=clock,
        key="limits/0/main",
        ttl_s=TTL_S,
        vm=vm,
        incarnation=1,
        nonce=nonce or vm,
    )


class TestAcquire:
    """Guards against two holders of one lease at a time."""

    def test_second_vm_waits_the_full_ttl_on_its_own_clock(self):
        async def run():
            store, clock, other = MemoryStore(), ManualClock(), ManualClock(start_s=7.0)
            await lease_of(store, clock, "vm-1").acquire()
            contender = lease_of(store, other, "vm-2")
            await contender.read()
            other.advance(TTL_S - 0.1)
            with pytest.raises(StoreError) as caught:
                await contender.acquire()
            assert caught.value.code is ErrorCode.LEASE_LOST
            other.advance(0.2)
            await contender.acquire()
            assert contender.is_valid()

        asyncio.run(run())

    def test_renewal_restarts_the_wait(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            holder, contender = (
                lease_of(store, clock, "vm-1"),
                lease_of(store, clock, "b"),
            )
            await holder.acquire()
            await contender.read()
            clock.advance(5.0)
            await holder.renew()
            clock.advance(2.0)
            await contender.read()
            assert contender.takeover_wait_s() >= TTL_S
            assert contender.current_holder() == "vm-1"

        asyncio.run(run())

    def test_one_of_two_simultaneous_contenders_wins(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            first, second = lease_of(store, clock, "a"), lease_of(store, clock, "b")
            await first.acquire()
            with pytest.raises(StoreError):
                await second.acquire()
            assert [first.is_valid(), second.is_valid()] == [True, False]

        asyncio.run(run())

    def test_ttl_counts_from_before_the_write_was_sent(self):
        class SlowStore(MemoryStore):
            async def put(self, key, value, *, expected_version):
                clock.advance(4.0)
                return await super().put(key, value, expected_version=expected_version)

        async def run():
            lease = lease_of(SlowStore(), clock, "vm-1")
            await lease.acquire()
            clock.advance(1.9)
            assert lease.is_valid()
            clock.advance(0.2)
            assert not lease.is_valid()

        clock = ManualClock()
        asyncio.run(run())

    def test_restarted_process_of_the_same_vm_waits_too(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            await lease_of(store, clock, "vm-1", "first").acquire()
            restarted = lease_of(store, clock, "vm-1", "second")
            await restarted.read()
            assert restarted.state is LeaseState.NOT_HELD
            assert restarted.takeover_wait_s() >= TTL_S

        asyncio.run(run())


class TestPausedHolder:
    """Guards against a holder that resumes after its lease has expired."""

    def test_lease_is_invalid_and_renewal_fails_after_a_takeover(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            holder, contender = lease_of(store, clock, "a"), lease_of(store, clock, "b")
            await holder.acquire()
            await contender.read()
            clock.advance(7.0)
            assert not holder.is_valid()
            await contender.acquire()
            with pytest.raises(StoreError) as caught:
                await holder.renew()
            assert caught.value.code is ErrorCode.LEASE_LOST
            assert holder.state is LeaseState.NOT_HELD

        asyncio.run(run())


class TestLostAnswers:
    """Guards against a wrong lease state after a write whose answer was lost."""

    def test_unanswered_acquire_is_resolved_by_reading_again(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            store.lost_answers = 1
            lease = lease_of(store, clock, "vm-1")
            await lease.acquire()
            assert lease.is_valid()
            assert lease.expires_at_s == clock.now_s() + TTL_S

        asyncio.run(run())

    def test_acquire_unconfirmed_in_an_outage_is_recognized_after_it(self):
        class LostAnswerStore(MemoryStore):
            async def put(self, key, value, *, expected_version):
                await super().put(key, value, expected_version=expected_version)
                self.is_down = True
                raise self._unavailable(None)

        async def run():
            store, clock = LostAnswerStore(), ManualClock()
            lease = lease_of(store, clock, "vm-1")
            with pytest.raises(StoreError):
                await lease.acquire()
            store.is_down = False
            clock.advance(1.0)
            await lease.read()
            assert lease.expires_at_s == clock.now_s() - 1.0 + TTL_S

        asyncio.run(run())

    def test_unanswered_release_leaves_the_lease_invalid_until_renewed(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            lease = lease_of(store, clock, "vm-1")
            await lease.acquire()
            store.is_down = True
            with pytest.raises(StoreError):
                await lease.release()
            store.is_down = False
            await lease.read()
            assert not lease.is_valid()
            await lease.renew()
            assert lease.is_valid()

        asyncio.run(run())


class TestRelease:
    """Guards against tokens that nobody can use after a graceful shutdown."""

    def test_released_lease_is_acquired_immediately(self):
        async def run():
            store, clock = MemoryStore(), ManualClock()
            holder, contender = lease_of(store, clock, "a"), lease_of(store, clock, "b")
            await holder.acquire()
            await holder.release()
            assert not holder.is_valid()
            await contender.read()
            await contender.acquire()
            assert contender.is_valid()

        asyncio.run(run())
