"""Tests of the order in which VMs get an organisation's tokens."""

import asyncio

from ebonyladder._grant_queue import GrantQueue
from ebonyladder.kernel.clock import ManualClock
from tests.limit_fleet import Fleet, run_virtual


class TestGrantQueue:
    """Guards against a VM that loses each new token to a VM that requests one later."""

    def test_tokens_go_to_the_first_vm_first(self):
        queue = GrantQueue(clock=ManualClock())
        queue.enqueue("a", 2, ttl_s=1.0)
        queue.enqueue("b", 3, ttl_s=1.0)
        queue.enqueue("a", 4, ttl_s=1.0)
        assert [queue.grantable("a", 6), queue.grantable("b", 6)] == [3, 3]
        assert [queue.ahead_of("a"), queue.ahead_of("b")] == [0, 2]
        assert queue.total() == 7

    def test_vm_that_requests_less_loses_its_last_positions(self):
        queue = GrantQueue(clock=ManualClock())
        for vm, requested in (("a", 1), ("b", 1), ("a", 3), ("a", 2)):
            queue.enqueue(vm, requested, ttl_s=1.0)
        assert queue.total() == 3
        assert queue.grantable("a", 2) == 1

    def test_vm_that_does_not_return_blocks_no_other(self):
        clock = ManualClock()
        queue = GrantQueue(clock=clock)
        queue.enqueue("a", 5, ttl_s=0.2)
        queue.enqueue("b", 1, ttl_s=1.0)
        clock.advance(0.3)
        assert queue.grantable("b", 1) == 1

    def test_waiting_vm_is_served_while_others_request_constantly(self):
        async def run():
            fleet = Fleet(rate_per_s=50.0, burst=20.0)
            await fleet.add(*(f"vm-{n}" for n in range(8)))
            await asyncio.sleep(8.0)
            others = [f"vm-{n}" for n in range(1, 8)]
            sends = [fleet.send(n, rate_per_s=6.8, seconds=20.0) for n in others]
            load = asyncio.gather(*sends)
            waits = []
            for _ in range(20):
                await asyncio.sleep(0.7)
                started_at_s = asyncio.get_running_loop().time()
                assert await fleet.request("vm-0")
                waits.append(asyncio.get_running_loop().time() - started_at_s)
            await load
            await fleet.stop()
            return max(waits)

        assert run_virtual(run()) < 0.3
