"""Sessions: statements, transactions, and the answers to callers."""

import asyncio

import pytest

from ebonyladder.kernel.clock import SystemClock
from ebonyladder.kernel.error import EndpointError, ErrorCode, Outcome
from ebonyladder.kernel.step import Step
from ebonyladder.sessions.catalog import CallerKey, Consistency, DatabaseName
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState
from ebonyladder.sessions.command import AnswerCode, TransactionState
from ebonyladder.sessions.endpoint_selector import EndpointSelector
from ebonyladder.sessions.executor import Executor
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.sessions.primary_positions import PositionSample, PrimaryPositions
from ebonyladder.sessions.quota import Quota
from ebonyladder.sessions.replica_check import ReplicaCheck
from ebonyladder.sessions.session import Session, SessionId
from ebonyladder.types import EndpointId
from tests.session_fakes import (
    KEY,
    SERVICE,
    CountingMetrics,
    FakeConnection,
    FakeConnector,
    catalog,
    cluster,
    command,
    fake_endpoints,
    position,
)


class CountingQuota(Quota):
    """Admits everything and counts the permits used."""

    def __init__(self) -> None:
        self.permits = 0

    async def admit(self, organisation, *, timeout_s):
        """Count a permit."""
        self.permits += 1

    def refund(self, organisation):
        """Return a permit."""
        self.permits -= 1


class World:
    """Sessions over endpoints in memory."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.cluster = cluster(self.clock)
        self.primary, self.near, self.far = fake_endpoints()
        self.connector = FakeConnector(self.primary, self.near, self.far)
        self.positions = PrimaryPositions(clock=self.clock)
        self.pools = PoolSet(
            cluster=self.cluster, connector=self.connector, clock=self.clock
        )
        self.quota = CountingQuota()
        self.metrics = CountingMetrics()
        self.executor = Executor(
            cluster=self.cluster,
            selector=EndpointSelector(
                cluster=self.cluster, positions=self.positions, pools=self.pools
            ),
            pools=self.pools,
            positions=self.positions,
            replica_check=ReplicaCheck(
                cluster=self.cluster,
                connector=self.connector,
            ),
            metrics=self.metrics,
            clock=self.clock,
        )
        self.cluster.notify()

    def session(self, consistency: Consistency = Consistency.PRIMARY) -> Session:
        """Return a new session."""
        return Session(
            id=SessionId("s"),
            database=DatabaseName(consistency.value),
            key=KEY,
            cluster=self.cluster,
            executor=self.executor,
            quota=self.quota,
        )

    def record_sample(self) -> None:
        """Record a position of the primary, taken now."""
        self.positions.record(
            SERVICE,
            PositionSample(sent_at_s=self.clock.now_s(), position=position(1, 10)),
        )

    def begin_failover(self) -> None:
        """Set the group to the phase in which it has no primary."""
        self.cluster.apply_group(
            GroupState(
                service=SERVICE,
                epoch=1,
                phase=GroupPhase.MOVING,
                primary=EndpointId("primary"),
            )
        )


def run_commands(session: Session, *texts: str):
    """Run commands and return their answers."""

    async def run():
        return [await session.handle(command(text)) for text in texts]

    return asyncio.run(run())


@pytest.fixture
def world() -> World:
    return World()


class TestStatement:
    def test_write_runs_at_the_primary(self, world):
        (answer,) = run_commands(world.session(), "WRITE a b")
        assert answer.code is None
        assert world.primary.ran == ["WRITE a b"]

    def test_lost_answer_of_a_write_is_in_doubt(self, world):
        # Guards against a second run of a write whose answer was lost.
        world.primary.lost_answers = 1
        (answer,) = run_commands(world.session(), "WRITE a b")
        assert answer.code is AnswerCode.TIMEOUT
        assert world.primary.ran == ["WRITE a b"]

    def test_read_without_answer_goes_to_another_endpoint(self, world):
        # Guards against a read that waits until its timeout at an unresponsive replica.
        world.record_sample()
        world.near.lost_answers = 1
        (answer,) = run_commands(world.session(Consistency.BOUNDED), "READ a")
        assert answer.code is None
        assert world.near.ran == ["READ a"]
        assert world.far.ran + world.primary.ran == ["READ a"]

    def test_refused_read_is_retried_at_another_endpoint(self, world):
        # Guards against giving callers the refusal of one lagging replica.
        world.record_sample()
        world.near.refusal = AnswerCode.BEHIND
        (answer,) = run_commands(world.session(Consistency.SESSION), "READ a")
        assert answer.code is None

    def test_operation_that_reached_no_endpoint_uses_no_permit(self, world):
        # Guards against rates used up by attempts during a failover.
        world.begin_failover()
        (answer,) = run_commands(world.session(), "WRITE a b")
        assert answer.code is AnswerCode.OVERLOADED
        assert world.quota.permits == 0

    def test_unknown_prepared_statement_is_refused(self, world):
        # Guards against sending an EXECUTE whose access (read or write) is unknown.
        (answer,) = run_commands(world.session(), "EXECUTE s1 a")
        assert answer.code is AnswerCode.NOT_PREPARED

    def test_statement_that_got_no_connection_in_time_was_not_run(self, world):
        # Guards against an answer that keeps callers from retrying a statement that
        # timed out in a queue.
        world.pools.get(EndpointId("primary")).cap.limit = 0
        answers = run_commands(world.session(), "WRITE a b", "READ a")
        assert [a.code for a in answers] == [AnswerCode.OVERLOADED] * 2
        assert world.primary.ran == []

    def test_read_that_may_have_run_is_answered_with_a_timeout(self, world):
        # Guards against a refusal, which means "not run", for a statement that ran.
        world.primary.lost_answers = 3
        (answer,) = run_commands(world.session(), "READ a")
        assert answer.code is AnswerCode.TIMEOUT

    def test_read_whose_answer_was_lost_is_not_answered_as_not_run(self, world):
        # Guards against the same refusal if no endpoint is left to send the read to.
        world.record_sample()
        world.near.drops_connections = True
        world.primary.is_down = True
        world.far.is_down = True
        (answer,) = run_commands(world.session(Consistency.BOUNDED), "READ a")
        assert answer.code is AnswerCode.FAILED


class TestKey:
    def test_withdrawn_key_ends_the_session(self, world):
        # Guards against a withdrawn key that an open connection may still use.
        session = world.session()
        run_commands(session, "READ a")
        world.cluster.apply_catalog(catalog(version=2, keys=(CallerKey("other"),)))
        (answer,) = run_commands(session, "READ a")
        assert answer.code is AnswerCode.KEY_REFUSED
        assert session.must_close


class TestTransaction:
    def test_statements_share_one_connection_from_the_first_on(self, world):
        # Guards against statements of one transaction on several connections.
        session = world.session()
        answers = run_commands(session, "BEGIN", "WRITE a b", "READ a", "COMMIT")
        assert [a.code for a in answers] == [None] * 4
        assert world.primary.ran == ["BEGIN", "WRITE a b", "READ a", "COMMIT"]
        # Connections to replicas ask for the commit.
        assert world.connector.opened_to["primary"] == 1
        assert answers[-1].state is TransactionState.IDLE

    def test_begin_pins_no_connection(self, world):
        # Guards against connections pinned by transactions that run no statement yet.
        run_commands(world.session(), "BEGIN")
        assert world.connector.opened == 0

    def test_lost_statement_aborts_without_a_commit(self, world):
        # Guards against an ABORTED answer after a commit was sent.
        session = world.session()

        async def run():
            await session.handle(command("BEGIN"))
            await session.handle(command("WRITE a b"))
            world.primary.is_down = True
            return await session.handle(command("READ a"))

        answer = asyncio.run(run())
        assert answer.code is AnswerCode.ABORTED
        assert answer.state is TransactionState.FAILED
        assert "COMMIT" not in world.primary.ran

    def test_lost_answer_of_a_commit_with_writes_is_in_doubt(self, world):
        # Guards against an ABORTED answer for a commit that may have been made.
        session = world.session()

        async def run():
            await session.handle(command("BEGIN"))
            await session.handle(command("WRITE a b"))
            world.primary.lost_answers = 1
            return await session.handle(command("COMMIT"))

        assert asyncio.run(run()).code is AnswerCode.IN_DOUBT

    def test_refused_commit_is_not_sent_again(self, world):
        # Guards against a second refusal, which may be a copy and leaves a doubt.
        session = world.session()

        async def run():
            await session.handle(command("BEGIN"))
            await session.handle(command("WRITE a b"))
            world.primary.refusal = AnswerCode.OVERLOADED
            asyncio.get_running_loop().call_later(
                0.01, setattr, world.primary, "refusal", None
            )
            return await session.handle(command("COMMIT"))

        answer = asyncio.run(run())
        assert answer.code is AnswerCode.OVERLOADED
        assert answer.state is TransactionState.IDLE
        assert "COMMIT" not in world.primary.ran

    def test_commit_that_was_not_sent_is_aborted(self, world):
        # Guards against a doubt about a commit that can't have been made.
        session = world.session()

        async def refuse(*_, **__):
            raise EndpointError(
                code=ErrorCode.CONNECTION_LOST,
                step=Step.EXECUTE,
                peer="primary",
                outcome=Outcome.NOT_RUN,
            )

        async def run():
            await session.handle(command("BEGIN"))
            await session.handle(command("WRITE a b"))
            session.transaction.pinned.connection.run = refuse
            return await session.handle(command("COMMIT"))

        assert asyncio.run(run()).code is AnswerCode.ABORTED

    def test_failed_transaction_accepts_only_its_end(self, world):
        # Guards against statements that run outside of the failed transaction.
        session = world.session()

        async def run():
            await session.handle(command("BEGIN"))
            await session.abort_transaction("idle")
            first = await session.handle(command("READ a"))
            second = await session.handle(command("READ a"))
            return first, second, await session.handle(command("ROLLBACK"))

        first, second, third = asyncio.run(run())
        assert first.code is AnswerCode.ABORTED
        assert second.code is AnswerCode.MALFORMED
        assert (third.code, third.state) == (None, TransactionState.IDLE)

    def test_commit_of_an_aborted_transaction_is_answered_as_aborted(self, world):
        # Guards against a success for a transaction that was rolled back.
        session = world.session()

        async def run():
            await session.handle(command("BEGIN"))
            await session.handle(command("WRITE a b"))
            await session.abort_transaction("idle")
            return await session.handle(command("COMMIT"))

        answer = asyncio.run(run())
        assert answer.code is AnswerCode.ABORTED
        assert "COMMIT" not in world.primary.ran


class TestSessionVariables:
    def test_variables_do_not_stay_on_a_connection_for_another_session(self, world):
        # Guards against one session's variables in another session's statement.
        first, second = world.session(), world.session()
        run_commands(first, "SET zone w", "READ a")
        run_commands(second, "READ a")
        connections = [
            connection for connection, _ in world.pools.get(EndpointId("primary")).idle
        ]
        assert [connection.values for connection in connections] == [{}]


class TestDepartedEndpoint:
    def test_answer_arrives_although_the_endpoint_left_the_list(self, world):
        # Guards against an error that ended the caller's connection without the answer.
        run = FakeConnection.run

        async def run_and_leave(connection, *args, **kwargs):
            answer = await run(connection, *args, **kwargs)
            del world.cluster.endpoints[connection.endpoint]
            world.cluster.notify()
            return answer

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(FakeConnection, "run", run_and_leave)
            (answer,) = run_commands(world.session(), "WRITE a b")
        assert answer.code is None
