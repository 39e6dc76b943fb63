"""Tests of the deduplication table."""

import asyncio

import pytest

from ebonyladder.dedup import HOP_TTL_S, DeduplicationTable
from ebonyladder.kernel.clock import ManualClock
from ebonyladder.kernel.error import ErrorCode, Outcome, RequestError
from ebonyladder.kernel.step import Step
from ebonyladder.messages import ForwardAnswer
from ebonyladder.types import HopId, Position, Role


def hop(number: int, incarnation: int = 1, vm: str = "vm-1") -> HopId:
    return HopId(vm=vm, incarnation=incarnation, number=number)


class Endpoint:
    """Count the runs of a non-idempotent statement."""

    def __init__(self) -> None:
        self.runs = 0
        self.may_end = asyncio.Event()

    async def run(self) -> ForwardAnswer:
        self.runs += 1
        run_number = self.runs
        await self.may_end.wait()
        return ForwardAnswer(
            rows=[run_number],
            at=Position(term=1, position=run_number),
            endpoint="db-1",
            role=Role.PRIMARY,
        )


class TestDeduplicationTable:
    """Guards against a second run of a non-idempotent request (P11)."""

    def test_repeated_delivery_over_a_new_connection_runs_once(self):
        async def scenario():
            table, endpoint = DeduplicationTable(clock=ManualClock()), Endpoint()
            first = asyncio.create_task(table.run(hop(1), endpoint.run))
            await asyncio.sleep(0)
            first.cancel()  # The connection was lost while it ran.
            await asyncio.gather(first, return_exceptions=True)
            again = asyncio.create_task(table.run(hop(1), endpoint.run))
            await asyncio.sleep(0)
            endpoint.may_end.set()
            answers = [await again, await table.run(hop(1), endpoint.run)]
            return endpoint.runs, [answer.rows for answer in answers]

        assert asyncio.run(scenario()) == (1, [[1], [1]])

    def test_a_failed_run_is_answered_with_its_failure(self):
        async def scenario():
            table = DeduplicationTable(clock=ManualClock())
            runs = []

            async def fail():
                runs.append(1)
                raise RequestError(code=ErrorCode.CONNECTION_LOST, step=Step.EXECUTE)

            for _ in range(2):
                with pytest.raises(RequestError) as caught:
                    await table.run(hop(1), fail)
                assert caught.value.code is ErrorCode.CONNECTION_LOST
            return len(runs)

        assert asyncio.run(scenario()) == 1

    def refused(self, table: DeduplicationTable, hop_id: HopId, endpoint: Endpoint):
        async def attempt():
            with pytest.raises(RequestError) as caught:
                await table.run(hop_id, endpoint.run)
            return caught.value

        return attempt()

    def test_evicted_hops_and_old_incarnations_never_run_again(self):
        async def scenario():
            clock = ManualClock()
            table, endpoint = DeduplicationTable(clock=clock, max_hops=2), Endpoint()
            endpoint.may_end.set()
            for number in (1, 2, 3):
                await table.run(hop(number), endpoint.run)
            errors = [await self.refused(table, hop(1), endpoint)]
            clock.advance(HOP_TTL_S)
            await table.run(hop(4), endpoint.run)
            errors.append(await self.refused(table, hop(3), endpoint))
            await table.run(hop(1, incarnation=2), endpoint.run)
            errors.append(await self.refused(table, hop(5), endpoint))
            return endpoint.runs, errors, len(table.peers["vm-1"].records)

        runs, errors, record_count = asyncio.run(scenario())
        assert runs == 5
        assert {(e.code, e.outcome) for e in errors} == {
            (ErrorCode.DUPLICATE, Outcome.UNKNOWN)
        }
        assert record_count == 1

    def test_memory_is_bounded_for_each_peer(self):
        async def scenario():
            table = DeduplicationTable(clock=ManualClock(), max_hops=3, max_bytes=150)
            endpoint = Endpoint()
            tasks = [
                asyncio.create_task(table.run(hop(number), endpoint.run))
                for number in range(3)
            ]
            await asyncio.sleep(0)
            error = await self.refused(table, hop(9), endpoint)
            other = asyncio.create_task(table.run(hop(9, vm="vm-2"), endpoint.run))
            await asyncio.sleep(0)
            endpoint.may_end.set()
            await asyncio.gather(*tasks, other)
            await table.drain()
            return error, table.peers["vm-1"]

        error, peer = asyncio.run(scenario())
        assert (error.code, error.outcome) == (ErrorCode.OVERLOADED, Outcome.NOT_RUN)
        assert peer.size_bytes <= 150
        assert len(peer.records) < 3
