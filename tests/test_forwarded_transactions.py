"""Statements and transactions of other VMs at the owner of an endpoint."""

import asyncio
from contextlib import asynccontextmanager

import msgspec
import pytest
from websockets.asyncio.server import serve

from ebonyladder.kernel.error import EndpointError, Outcome
from ebonyladder.sessions.cluster_view import Owner
from ebonyladder.sessions.connection import PooledConnection
from ebonyladder.sessions.drain import DrainPlan
from ebonyladder.sessions.forwarding_pool import ForwardingPool, OwnerChannel
from ebonyladder.sessions.forwarding_service import ForwardingService
from ebonyladder.sessions.messages import (
    Envelope,
    ForwardedStatement,
    ForwardReply,
    ReleaseTransaction,
)
from ebonyladder.types import Address, EndpointId, OrganisationId, VmId
from tests.platform_fleet import until
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

    def test_new_work_is_refused_once_too_little_time_is_left(self):
        # Guards against a statement that is taken and can't be finished.
        async def scenario():
            await self.begin()
            self.stop(10.0)
            plan = self.world.executor.accepted.drain
            self.world.executor.accepted.begin_drain(
                msgspec.structs.replace(plan, started_at_s=plan.started_at_s - 9.0)
            )
            for fields in ({"handle": 0}, {"handle": HANDLE + 1, "is_begin": True}):
                reply = await self.run(2, "READ a", needs_primary=True, **fields)
                assert reply.failure.outcome is Outcome.NOT_RUN
            assert (await self.run(3, "READ a")).answer is not None

        asyncio.run(scenario())


class TestDrain(OwnerTests):
    """Guards against an owner that ends while work of other VMs is open."""

    @asynccontextmanager
    async def channel(self):
        """Open a channel to the owner on a socket."""
        async with serve(self.service.serve, "127.0.0.1", 0) as server:
            port = server.sockets[0].getsockname()[1]
            owner = Owner(vm=VmId("vm-1"), address=Address(f"127.0.0.1:{port}"))
            channel = OwnerChannel(owner=owner)
            self.forwarding = ForwardingPool(
                entry=self.pool.entry,
                owner=owner,
                channel=channel,
                clock=self.world.clock,
            )
            try:
                yield
            finally:
                channel.close()

    async def connect(self) -> PooledConnection:
        """Return a connection of another VM."""
        deadline_s = self.world.clock.now_s() + 5.0
        return await self.forwarding.acquire(OrganisationId("council"), {}, deadline_s)

    def begin_drain(
        self, *, grace_s: float = 10.0, elapsed_s: float = 0.0
    ) -> asyncio.Task[None]:
        """Begin to drain the owner, some seconds after the signal of its schedule."""
        started_at_s = self.world.clock.now_s() - elapsed_s
        plan = DrainPlan(grace_s=grace_s, started_at_s=started_at_s)
        self.world.executor.accepted.begin_drain(plan)
        return asyncio.create_task(self.service.drain())

    def test_running_statement_is_waited_for(self):
        async def scenario():
            self.world.primary.lost_answers = 1
            async with self.channel():
                connection = await self.connect()
                statement = asyncio.create_task(connection.run(command("READ a")))
                await until(lambda: self.world.primary.ran, "the statement")
                draining = self.begin_drain(elapsed_s=8.5)
                await asyncio.sleep(0.1)
                assert not draining.done()
                with pytest.raises(EndpointError) as error:
                    await statement
                await draining
                return error.value.outcome

        assert asyncio.run(scenario()) is Outcome.UNKNOWN

    def test_open_transaction_is_waited_for(self):
        async def scenario():
            async with self.channel():
                connection = await self.connect()
                await connection.begin(command("BEGIN"))
                draining = self.begin_drain()
                await asyncio.sleep(0.1)
                assert (await connection.run(command("WRITE a 1"))).code is None
                assert (await connection.run(command("COMMIT"))).code is None
                assert not draining.done()
                draining.cancel()

        asyncio.run(scenario())
        assert self.world.primary.ran[-1] == "COMMIT"

    def test_transaction_is_rolled_back_after_half_the_grace_period(self):
        # Guards against a drain that waits for a caller of another VM that pauses.
        async def scenario():
            async with self.channel():
                connection = await self.connect()
                await connection.begin(command("BEGIN"))
                draining = self.begin_drain(grace_s=4.0)
                await until(
                    lambda: self.world.primary.ran[-1] == "ROLLBACK", "the rollback"
                )
                with pytest.raises(EndpointError) as error:
                    await connection.run(command("COMMIT"))
                assert not draining.done()
                draining.cancel()
                return error.value.outcome

        assert asyncio.run(scenario()) is Outcome.NOT_RUN
        assert "COMMIT" not in self.world.primary.ran
