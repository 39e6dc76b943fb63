"""Statements and transactions of other VMs at the owner of an endpoint."""

import asyncio

import pytest

from ebonyladder.kernel.error import Outcome
from ebonyladder.sessions.drain import DrainPlan
from ebonyladder.sessions.forwarding_service import ForwardingService
from ebonyladder.sessions.messages import (
    Envelope,
    ForwardedStatement,
    ForwardReply,
    ReleaseTransaction,
)
from ebonyladder.types import EndpointId, OrganisationId
from tests.session_fakes import command
from tests.test_session import World

HANDLE = 7
GRACE_S = 0.6


class OwnerTests:
    """Tests of the owner of the primary, with one open transaction at most."""

    @pytest.fixture(autouse=True)
    def owner(self):
        self.world = World()
        self.service = ForwardingService(
            executor=self.world.executor, clock=self.world.clock
        )
        self.transactions = {}

    @property
    def pool(self):
        """Pool of the primary."""
        return self.world.pools.get("primary")

    async def run(self, id: int, text: str, **fields) -> ForwardReply:
        """Run a statement of the transaction."""
        forward = ForwardedStatement(
            id=id,
            endpoint=EndpointId("primary"),
            organisation=OrganisationId("council"),
            command=command(text),
            remaining_s=5.0,
            **{"handle": HANDLE, **fields},
        )
        return await self.service._run(forward, self.transactions)

    async def begin(self) -> None:
        """Open the transaction."""
        reply = await self.run(1, "BEGIN", is_begin=True, needs_primary=True)
        assert reply.answer is not None

    async def release(self) -> None:
        """Give up the transaction, as a sender does whose deadline has passed."""
        envelope = Envelope(release=ReleaseTransaction(handle=HANDLE))
        await self.service._serve(None, envelope, self.transactions)

    async def acquire(self):
        """Return a connection of the pool."""
        deadline_s = self.world.clock.now_s() + 1
        return await self.pool.acquire(OrganisationId("council"), {}, deadline_s)


class TestRelease(OwnerTests):
    """Guards against a connection that two callers get, or that nobody gets again."""

    def test_release_during_a_statement_ends_one_reservation(self):
        async def scenario():
            await self.begin()
            self.world.primary.lost_answers = 1
            statement = asyncio.create_task(self.run(2, "READ a"))
            await asyncio.sleep(0.01)
            await self.release()
            statement.cancel()
            await asyncio.gather(statement, return_exceptions=True)
            assert self.pool.used == len(self.pool.idle) == 0
            assert not self.transactions

        asyncio.run(scenario())

    def test_release_before_begin_is_answered_leaves_no_transaction(self):
        async def scenario():
            opening = asyncio.Event()
            open_connection = self.world.connector.open

            async def open_later(entry, organisation):
                await opening.wait()
                return await open_connection(entry, organisation)

            self.world.connector.open = open_later
            begin = asyncio.create_task(self.begin())
            await asyncio.sleep(0.01)
            await self.release()
            opening.set()
            await begin
            assert not self.transactions
            assert self.pool.used == len(self.pool.idle)

        asyncio.run(scenario())

    @pytest.mark.parametrize("is_proven", [True, False])
    def test_release_during_a_proof_gives_the_connection_back_once(self, is_proven):
        async def scenario():
            await self.begin()
            await self.run(2, "WRITE a 1")
            proof = asyncio.Event()

            async def prove(*_):
                await proof.wait()
                return is_proven

            self.world.executor.confirmation.prove = prove
            commit = asyncio.create_task(self.run(3, "COMMIT"))
            await asyncio.sleep(0.01)
            await self.release()
            first = await self.acquire()
            proof.set()
            await commit
            assert await self.acquire() is not first
            assert first.is_open
            assert self.pool.used == 2

        asyncio.run(scenario())


class TestStop(OwnerTests):
    """Guards against statements of other VMs that an owner cuts off when it stops."""

    def stop(self, grace_s: float = GRACE_S) -> None:
        """Begin to stop the owner."""
        plan = DrainPlan(grace_s=grace_s, started_at_s=self.world.clock.now_s())
        self.world.executor.accepted.begin_drain(plan)

    async def run_at_stop(self, text: str, **fields) -> ForwardReply:
        """Return the reply to a statement that is running when the owner stops."""
        statement = asyncio.create_task(self.run(3, text, **fields))
        await asyncio.sleep(0.05)
        self.stop()
        async with asyncio.timeout(4 * GRACE_S):
            return await statement

    def test_statement_that_was_sent_has_an_unknown_outcome(self):
        async def scenario():
            self.world.primary.lost_answers = 1
            return await self.run_at_stop("WRITE a 1", handle=0, needs_primary=True)

        reply = asyncio.run(scenario())
        assert reply.failure.outcome is Outcome.UNKNOWN

    def test_statement_that_waits_for_a_connection_was_not_run(self):
        async def scenario():
            self.pool.set_limit(1, share=1.0)
            await self.acquire()
            return await self.run_at_stop("WRITE a 1", handle=0, needs_primary=True)

        reply = asyncio.run(scenario())
        assert reply.failure.outcome is Outcome.NOT_RUN
        assert self.world.primary.ran == []

    def test_statement_of_a_transaction_is_rolled_back(self):
        async def scenario():
            await self.begin()
            self.world.primary.lost_answers = 1
            return await self.run_at_stop("WRITE a 1")

        reply = asyncio.run(scenario())
        assert reply.failure.outcome is Outcome.NOT_RUN
        assert "rolled back" in reply.failure.message
        assert not self.transactions
        assert self.pool.used == 0

    def test_commit_that_was_sent_has_an_unknown_outcome(self):
        async def scenario():
            await self.begin()
            await self.run(2, "WRITE a 1")
            self.world.primary.lost_answers = 1
            return await self.run_at_stop("COMMIT")

        reply = asyncio.run(scenario())
        assert reply.failure.outcome is Outcome.UNKNOWN

    def test_statement_that_begins_during_the_stop_ends_with_it(self):
        # Guards against a statement whose sender waits beyond the end of the owner.
        async def scenario():
            self.stop()
            self.world.primary.lost_answers = 1
            async with asyncio.timeout(4 * GRACE_S):
                return await self.run(3, "READ a", handle=0, needs_primary=True)

        reply = asyncio.run(scenario())
        assert reply.failure.outcome is Outcome.UNKNOWN
