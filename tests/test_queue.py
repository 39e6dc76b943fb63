"""Tests of the fair queue."""

import asyncio

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.queue import FairQueue


class QueueHarness:
    """Fair queue whose requests hold their slot until the test ends them."""

    def __init__(self, *, slots: int = 1, max_waiting: int = 1_000) -> None:
        self.clock = ManualClock()
        self.queue = FairQueue(
            endpoint="db-1", slots=slots, clock=self.clock, max_waiting=max_waiting
        )
        self.order: list[str] = []
        self.end_events: list[asyncio.Event] = []
        self.tasks: list[asyncio.Task] = []

    async def run(self, organisation: str, remaining_s: float = 1_000.0) -> None:
        deadline_s = self.clock.now_s() + remaining_s
        async with self.queue.slot(organisation=organisation, deadline_s=deadline_s):
            end_event = asyncio.Event()
            self.order.append(organisation)
            self.end_events.append(end_event)
            await end_event.wait()

    async def submit(
        self, organisation: str, remaining_s: float = 1_000.0
    ) -> asyncio.Task:
        task = asyncio.create_task(self.run(organisation, remaining_s))
        self.tasks.append(task)
        await run_pending_tasks()
        return task

    async def finish(self, seconds: float = 0.01, count: int = 1) -> None:
        for _ in range(count):
            self.clock.advance(seconds)
            self.end_events.pop(0).set()
            await run_pending_tasks()


async def run_pending_tasks() -> None:
    for _ in range(6):
        await asyncio.sleep(0)


class TestFairness:
    """Guards against one organisation delaying the others."""

    def test_ten_times_the_load_does_not_delay_the_others(self):
        async def scenario():
            harness = QueueHarness()
            for _ in range(30):
                await harness.submit("large")
            for name in ("small-1", "small-2", "small-3") * 3:
                await harness.submit(name)
            await harness.finish(count=14)
            return harness.order

        order = asyncio.run(scenario())
        assert all(order.count(f"small-{n}") == 3 for n in (1, 2, 3))

    def test_slow_and_quick_statements_get_similar_slot_time(self):
        async def scenario():
            harness = QueueHarness()
            for _ in range(200):
                await harness.submit("slow")
                await harness.submit("quick")
            slot_s = {"slow": 0.0, "quick": 0.0}
            for served in range(240):
                name = harness.order[-1]
                service_s = 0.04 if name == "slow" else 0.01
                await harness.finish(service_s)
                if served >= 120:
                    slot_s[name] += service_s
            return slot_s

        slot_s = asyncio.run(scenario())
        assert 0.6 < slot_s["slow"] / slot_s["quick"] < 1.6

    def test_length_is_bounded_for_each_organisation(self):
        async def scenario():
            harness = QueueHarness(max_waiting=2)
            for _ in range(3):
                await harness.submit("large")
            refused = await harness.submit("large")
            served = await harness.submit("small")
            assert refused.exception().code is ErrorCode.OVERLOADED
            assert refused.exception().retry_after_s > 0
            assert not served.done()

        asyncio.run(scenario())


class TestDeadline:
    """Guards against running requests past their deadline, and late refusals."""

    def test_a_deadline_that_cannot_be_met_is_refused_immediately(self):
        async def scenario():
            harness = QueueHarness()
            for _ in range(100):
                await harness.submit("a")
                await harness.finish(0.1)
            for _ in range(5):
                await harness.submit("a")
            refused = await harness.submit("a", remaining_s=0.2)
            # A request of another organisation is the second to be served.
            accepted = await harness.submit("b", remaining_s=0.5)
            return refused.exception(), accepted.done()

        error, accepted_done = asyncio.run(scenario())
        assert error.code is ErrorCode.OVERLOADED
        assert error.outcome is Outcome.NOT_RUN
        assert error.retry_after_s == pytest.approx(0.4, rel=0.1)
        assert not accepted_done

    def test_an_expired_request_is_removed_before_it_runs(self):
        async def scenario():
            harness = QueueHarness()
            await harness.submit("a")
            late = await harness.submit("a", remaining_s=5.0)
            await harness.submit("b")
            await harness.finish(seconds=6.0)
            return harness.order, late.exception()

        order, error = asyncio.run(scenario())
        assert order == ["a", "b"]
        assert (error.code, error.outcome) == (ErrorCode.DEADLINE, Outcome.NOT_RUN)


class TestCancellation:
    """Guards against slots that leak when callers cancel."""

    def test_random_cancellations_leak_no_slot(self):
        async def scenario():
            harness = QueueHarness(slots=3)
            for step in range(300):
                await harness.submit(f"org-{step % 4}")
                if step % 3 == 0:
                    harness.tasks[(step * 7) % len(harness.tasks)].cancel()
                if step % 5 == 0 and harness.end_events:
                    # The waiter granted now is cancelled in the same pass of the loop.
                    harness.end_events.pop(0).set()
                    harness.tasks[(step * 11) % len(harness.tasks)].cancel()
                    await run_pending_tasks()
            while not all(task.done() for task in harness.tasks):
                for end_event in harness.end_events:
                    end_event.set()
                await run_pending_tasks()
            return harness.queue

        queue = asyncio.run(scenario())
        assert (queue.running, queue.waiting, queue.idle.is_set()) == (0, 0, True)

    def test_waiter_cancelled_after_its_grant_releases_the_slot(self):
        async def scenario():
            harness = QueueHarness()
            await harness.submit("a")
            granted = await harness.submit("b")
            await harness.submit("c")
            harness.end_events.pop(0).set()
            await asyncio.sleep(0)
            assert (harness.queue.running, harness.queue.waiting) == (1, 1)
            granted.cancel()
            await run_pending_tasks()
            return harness.order

        assert asyncio.run(scenario()) == ["a", "c"]


class TestDrain:
    """Guards against interrupted requests at a graceful shutdown."""

    def test_admitted_requests_end_and_new_ones_are_refused(self):
        async def scenario():
            harness = QueueHarness()
            first = await harness.submit("a")
            second = await harness.submit("a")
            drain = asyncio.create_task(harness.queue.drain())
            await run_pending_tasks()
            refused = await harness.submit("b")
            assert refused.exception().code is ErrorCode.DRAINING
            assert not drain.done()
            await harness.finish(count=2)
            assert drain.done()
            assert not (first.exception() or second.exception())

        asyncio.run(scenario())

    def test_more_slots_take_effect_immediately(self):
        async def scenario():
            harness = QueueHarness()
            for _ in range(3):
                await harness.submit("a")
            harness.queue.resize(3)
            await run_pending_tasks()
            return len(harness.order)

        assert asyncio.run(scenario()) == 3

    def test_an_expired_deadline_is_refused_with_a_free_slot(self):
        async def scenario():
            harness = QueueHarness()
            with pytest.raises(RequestError):
                await harness.run("a", remaining_s=0.0)

        asyncio.run(scenario())
