"""Tests of the fair queue."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.queue import FairQueue


class Bench:
    """Queue whose requests hold their slot until the test lets them end."""

    def __init__(self, *, slots: int = 1, max_waiting: int = 1_000) -> None:
        self.clock = ManualClock()
        self.queue = FairQueue(
            endpoint="db-1", slots=slots, clock=self.clock, max_waiting=max_waiting
        )
        self.order: list[str] = []
        self.gates: list[asyncio.Event] = []
        self.tasks: list[asyncio.Task] = []

    async def run(self, organisation: str, left_s: float = 1_000.0) -> None:
        deadline_s = self.clock.now_s() + left_s
        async with self.queue.slot(organisation=organisation, deadline_s=deadline_s):
            gate = asyncio.Event()
            self.order.append(organisation)
            self.gates.append(gate)
            await gate.wait()

    async def submit(self, organisation: str, left_s: float = 1_000.0) -> asyncio.Task:
        task = asyncio.create_task(self.run(organisation, left_s))
        self.tasks.append(task)
        await settle()
        return task

    async def finish(self, seconds: float = 0.01, count: int = 1) -> None:
        for _ in range(count):
            self.clock.advance(seconds)
            self.gates.pop(0).set()
            await settle()


async def settle() -> None:
    for _ in range(6):
        await asyncio.sleep(0)


class TestFairness:
    """Guards against one organisation delaying the others."""

    def test_ten_times_the_share_does_not_delay_the_others(self):
        async def scenario():
            bench = Bench()
            for _ in range(30):
                await bench.submit("large")
            for name in ("small-1", "small-2", "small-3") * 3:
                await bench.submit(name)
            await bench.finish(count=14)
            return bench.order

        order = asyncio.run(scenario())
        assert all(order.count(f"small-{n}") == 3 for n in (1, 2, 3))

    def test_slow_statements_get_slot_time_not_turns(self):
        async def scenario():
            bench = Bench()
            for _ in range(200):
                await bench.submit("slow")
                await bench.submit("quick")
            used = {"slow": 0.0, "quick": 0.0}
            for served in range(240):
                name = bench.order[-1]
                cost = 0.04 if name == "slow" else 0.01
                await bench.finish(cost)
                if served >= 120:
                    used[name] += cost
            return used

        used = asyncio.run(scenario())
        assert 0.6 < used["slow"] / used["quick"] < 1.6

    def test_length_is_bounded_for_each_organisation(self):
        async def scenario():
            bench = Bench(max_waiting=2)
            for _ in range(3):
                await bench.submit("large")
            refused = await bench.submit("large")
            served = await bench.submit("small")
            assert refused.exception().code is ErrorCode.OVERLOADED
            assert refused.exception().retry_after_s > 0
            assert not served.done()

        asyncio.run(scenario())


class TestDeadline:
    """Guards against work for callers that have gone, and late refusals."""

    def test_a_deadline_that_cannot_be_met_is_refused_at_once(self):
        async def scenario():
            bench = Bench()
            for _ in range(100):
                await bench.submit("a")
                await bench.finish(0.1)
            for _ in range(5):
                await bench.submit("a")
            refused = await bench.submit("a", left_s=0.2)
            # A request of another organisation is next but one in turn.
            accepted = await bench.submit("b", left_s=0.5)
            return refused.exception(), accepted.done()

        error, accepted_done = asyncio.run(scenario())
        assert error.code is ErrorCode.OVERLOADED
        assert error.outcome is Outcome.NOT_RUN
        assert error.retry_after_s == pytest.approx(0.4, rel=0.1)
        assert not accepted_done

    def test_an_expired_entry_is_dropped_before_it_runs(self):
        async def scenario():
            bench = Bench()
            await bench.submit("a")
            late = await bench.submit("a", left_s=5.0)
            await bench.submit("b")
            await bench.finish(seconds=6.0)
            return bench.order, late.exception()

        order, error = asyncio.run(scenario())
        assert order == ["a", "b"]
        assert (error.code, error.outcome) == (ErrorCode.DEADLINE, Outcome.NOT_RUN)


class TestCancellation:
    """Guards against slots that leak when callers go away."""

    def test_random_cancellations_leak_no_slot(self):
        async def scenario():
            bench = Bench(slots=3)
            for turn in range(300):
                await bench.submit(f"org-{turn % 4}")
                if turn % 3 == 0:
                    bench.tasks[(turn * 7) % len(bench.tasks)].cancel()
                if turn % 5 == 0 and bench.gates:
                    # The waiter that is granted now is cancelled in the same turn.
                    bench.gates.pop(0).set()
                    bench.tasks[(turn * 11) % len(bench.tasks)].cancel()
                    await settle()
            while not all(task.done() for task in bench.tasks):
                for gate in bench.gates:
                    gate.set()
                await settle()
            return bench.queue

        queue = asyncio.run(scenario())
        assert (queue.running, queue.waiting, queue.idle.is_set()) == (0, 0, True)

    def test_a_waiter_cancelled_after_its_grant_passes_the_slot_on(self):
        async def scenario():
            bench = Bench()
            await bench.submit("a")
            granted = await bench.submit("b")
            await bench.submit("c")
            bench.gates.pop(0).set()
            await asyncio.sleep(0)
            assert (bench.queue.running, bench.queue.waiting) == (1, 1)
            granted.cancel()
            await settle()
            return bench.order

        assert asyncio.run(scenario()) == ["a", "c"]


class TestDrain:
    """Guards against interrupted requests at a planned stop."""

    def test_admitted_requests_end_and_new_ones_are_refused(self):
        async def scenario():
            bench = Bench()
            first = await bench.submit("a")
            second = await bench.submit("a")
            drain = asyncio.create_task(bench.queue.drain())
            await settle()
            refused = await bench.submit("b")
            assert refused.exception().code is ErrorCode.DRAINING
            assert not drain.done()
            await bench.finish(count=2)
            assert drain.done()
            assert not (first.exception() or second.exception())

        asyncio.run(scenario())

    def test_more_slots_take_effect_at_once(self):
        async def scenario():
            bench = Bench()
            for _ in range(3):
                await bench.submit("a")
            bench.queue.resize(3)
            await settle()
            return len(bench.order)

        assert asyncio.run(scenario()) == 3

    def test_an_expired_deadline_is_refused_with_a_free_slot(self):
        async def scenario():
            bench = Bench()
            with pytest.raises(RequestError):
                await bench.run("a", left_s=0.0)

        asyncio.run(scenario())
