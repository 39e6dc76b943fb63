"""Commands that fail unexpectedly, or are ended by a drain, wherever they are."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import Enum
from types import SimpleNamespace

import msgspec
import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.platform.session_front_end import SessionFrontEnd
from ebonyladder.sessions import executor
from ebonyladder.sessions.accepted_requests import AcceptedRequests
from ebonyladder.sessions.catalog import Consistency
from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    CommandKind,
    TransactionState,
)
from ebonyladder.sessions.drain import DrainPlan
from ebonyladder.sessions.endpoint_selector import NoTarget, Target
from ebonyladder.sessions.forwarding_service import ForwardingService
from ebonyladder.sessions.session import Session
from tests.session_fakes import FakeConnection, catalog, command, route
from tests.test_session import World, run_commands

# The route's timeout is 1 s. A drain with this grace period ends requests at 0.18 s.
GRACE_S = 0.2
# Generous, since the machine that runs the tests may be busy.
ANSWER_TIMEOUT_S = 0.9
ROLLBACK_END_S = 10.0

PREPARE = ("PREPARE r READ x", "PREPARE w WRITE x")
BEGIN = ("BEGIN",)
READ_TRANSACTION = ("BEGIN", "READ a")
WRITE_TRANSACTION = ("BEGIN", "WRITE a b")
LATE_BUSY, LATE_TIMEOUT, LATE_ABORTED, LATE_IN_DOUBT = (
    AnswerCode.OVERLOADED,
    AnswerCode.TIMEOUT,
    AnswerCode.ABORTED,
    AnswerCode.IN_DOUBT,
)


class Point(Enum):
    """What a command waits for or does when it is ended."""

    PERMIT = "permit"
    ENDPOINT = "endpoint"
    CONNECTION = "connection"
    OPENING = "opening"
    ANSWER = "answer"
    CONFIRMATION = "confirmation"
    ROLLBACK = "rollback"
    RECHECK = "recheck"
    RECORD = "record"
    REPORT = "report"


class Cause(Enum):
    """What ends a command."""

    ERROR = "error"
    DRAIN = "drain"


class EarlyEnd:
    """Ends the command of a session at one point, once it is armed.

    Parameters
    ----------
    world : World
        Endpoints in memory, whose interfaces are replaced.
    patch : pytest.MonkeyPatch
        Takes the replacement back.
    """

    def __init__(self, *, world: World, patch: pytest.MonkeyPatch, cause: Cause):
        self.world = world
        self.patch = patch
        self.cause = cause
        self.unanswered: list[FakeConnection] = []

    async def end(self, *_, **__) -> None:
        """Fail, or wait for the end of the drain."""
        if self.cause is Cause.ERROR:
            raise RuntimeError("injected")
        await asyncio.Event().wait()

    def arm(self, point: Point) -> None:
        """Let the next command end at a point."""
        world = self.world
        pool = world.pools.get(world.cluster.primary("ledger").id)
        match point:
            case Point.PERMIT:
                self.patch.setattr(world.quota, "admit", self.end)
            case Point.ENDPOINT:
                world.begin_failover()
                changed = world.executor.targets.cluster_changed
                self.patch.setattr(changed, "wait", self.end)
            case Point.CONNECTION:
                pool.set_limit(0, share=1.0)
                pool.trim()
                if self.cause is Cause.ERROR:
                    self.patch.setattr(pool, "acquire", self.end)
            case Point.OPENING:
                pool.set_limit(0, share=1.0)
                pool.trim()
                pool.set_limit(8, share=1.0)
                self.patch.setattr(world.connector, "open", self.end)
            case Point.ANSWER:
                self.patch.setattr(FakeConnection, "run", self._lose_answer())
            case Point.ROLLBACK:
                world.primary.refusal = AnswerCode.OVERLOADED
                run = self._lose_answer(CommandKind.ROLLBACK)
                self.patch.setattr(FakeConnection, "run", run)
            case Point.CONFIRMATION:
                self.patch.setattr(world.executor.confirmation, "wait", self.end)
            case Point.RECHECK:
                self.patch.setattr(world.executor.selector, "choose", self._recheck())
            case Point.RECORD:
                self.patch.setattr(world.cluster, "record_seen", self.fail)
            case Point.REPORT:
                self.patch.setattr(world.executor.commit_reporter, "report", self.fail)

    @staticmethod
    def fail(*_, **__) -> None:
        """Fail where a command doesn't wait."""
        raise RuntimeError("injected")

    def _recheck(self) -> Callable[..., Target | NoTarget]:
        choose = self.world.executor.selector.choose
        results = iter((choose, self.fail))
        return lambda **fields: next(results)(**fields)

    def _lose_answer(
        self, kind: CommandKind | None = None
    ) -> Callable[..., Awaitable[Answer]]:
        """Return a run whose answers are lost, but for BEGIN and other kinds."""
        run = FakeConnection.run

        async def run_without_answer(connection, command, **fields) -> Answer:
            answer = await run(connection, command, **fields)
            if command.kind is CommandKind.BEGIN or kind not in (None, command.kind):
                return answer
            self.unanswered.append(connection)
            return await self.end()

        return run_without_answer


async def run_until_ended(
    session: Session, early_end: EarlyEnd, before: tuple[str, ...], text: str, point
) -> Answer:
    """Run commands, and return the answer to the one that is ended early."""
    for earlier in before:
        assert (await session.handle(command(earlier))).code is None
    early_end.arm(point)
    accepted = session.executor.accepted
    if early_end.cause is Cause.DRAIN:
        started_at_s = accepted.clock.now_s()
        plan = DrainPlan(grace_s=GRACE_S, started_at_s=started_at_s)
        asyncio.get_running_loop().call_later(0.02, accepted.begin_drain, plan)
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        answer = await session.handle(command(text))
    # Attempts that were cancelled end in the turns that follow.
    await asyncio.sleep(0.01)
    return answer


def assert_nothing_leaks(world: World, early_end: EarlyEnd) -> None:
    """Check that each connection is either idle in its pool or closed."""
    for pool in world.pools.pools.values():
        assert (pool.used, pool.opening, pool.running) == (len(pool.idle), 0, 0)
        assert not pool.waiting
    idle = [c for pool in world.pools.pools.values() for c, _ in pool.idle]
    assert not [c for c in early_end.unanswered if c.is_open or c in idle]
    assert world.executor.accepted.count == 0


@pytest.fixture
def world() -> World:
    return World()


class TestEarlyEnd:
    """Guards against a request without an answer, and against a false promise."""

    @pytest.mark.parametrize("cause", Cause)
    @pytest.mark.parametrize(
        ("before", "text", "point", "code"),
        [
            ((), "READ a", Point.PERMIT, LATE_BUSY),
            ((), "READ a", Point.ENDPOINT, LATE_BUSY),
            ((), "READ a", Point.CONNECTION, LATE_BUSY),
            ((), "READ a", Point.OPENING, LATE_BUSY),
            ((), "READ a", Point.ANSWER, LATE_TIMEOUT),
            ((), "WRITE a b", Point.PERMIT, LATE_BUSY),
            ((), "WRITE a b", Point.ENDPOINT, LATE_BUSY),
            ((), "WRITE a b", Point.CONNECTION, LATE_BUSY),
            ((), "WRITE a b", Point.OPENING, LATE_BUSY),
            ((), "WRITE a b", Point.ANSWER, LATE_TIMEOUT),
            ((), "WRITE a b", Point.CONFIRMATION, LATE_TIMEOUT),
            (PREPARE, "EXECUTE r a", Point.ANSWER, LATE_TIMEOUT),
            (PREPARE, "EXECUTE w a b", Point.CONNECTION, LATE_BUSY),
            (PREPARE, "EXECUTE w a b", Point.ANSWER, LATE_TIMEOUT),
            (PREPARE, "EXECUTE w a b", Point.CONFIRMATION, LATE_TIMEOUT),
            ((), "BEGIN", Point.PERMIT, LATE_BUSY),
            (BEGIN, "WRITE a b", Point.ENDPOINT, LATE_ABORTED),
            (BEGIN, "WRITE a b", Point.CONNECTION, LATE_ABORTED),
            (BEGIN, "READ a", Point.OPENING, LATE_ABORTED),
            (BEGIN, "WRITE a b", Point.ANSWER, LATE_ABORTED),
            (WRITE_TRANSACTION, "READ a", Point.ANSWER, LATE_ABORTED),
            (BEGIN, "COMMIT", Point.CONNECTION, LATE_ABORTED),
            (BEGIN, "COMMIT", Point.ANSWER, LATE_ABORTED),
            (READ_TRANSACTION, "COMMIT", Point.ANSWER, LATE_ABORTED),
            (WRITE_TRANSACTION, "COMMIT", Point.ANSWER, LATE_IN_DOUBT),
            (WRITE_TRANSACTION, "COMMIT", Point.CONFIRMATION, LATE_IN_DOUBT),
            # It was refused, which is followed by a rollback.
            (WRITE_TRANSACTION, "COMMIT", Point.ROLLBACK, LATE_ABORTED),
            # The endpoint rolls back once its connection is closed.
            (WRITE_TRANSACTION, "ROLLBACK", Point.ANSWER, None),
        ],
    )
    def test_command_is_answered_truly(
        self, world, monkeypatch, cause, before, text, point, code
    ):
        early_end = EarlyEnd(world=world, patch=monkeypatch, cause=cause)
        session = world.session()

        async def scenario():
            answer = await run_until_ended(session, early_end, before, text, point)
            assert_nothing_leaks(world, early_end)
            if answer.state is not TransactionState.IDLE:
                return answer, await session.handle(command("ROLLBACK"))
            return answer, None

        answer, rollback = asyncio.run(scenario())
        assert answer.code is code
        # The endpoint has run the command exactly if nothing is promised.
        has_run = text in world.primary.ran
        assert has_run == (point in (Point.ANSWER, Point.CONFIRMATION))
        is_failed = code is AnswerCode.ABORTED and text != "COMMIT"
        expected = TransactionState.FAILED if is_failed else TransactionState.IDLE
        assert (answer.state, session.state) == (expected, TransactionState.IDLE)
        assert rollback is None or rollback.code is None

    @pytest.mark.parametrize(
        ("before", "text", "point", "code"),
        [
            ((), "WRITE a b", Point.RECORD, LATE_TIMEOUT),
            ((), "WRITE a b", Point.REPORT, LATE_TIMEOUT),
            ((), "READ a", Point.RECORD, LATE_TIMEOUT),
            (WRITE_TRANSACTION, "COMMIT", Point.RECORD, LATE_IN_DOUBT),
            (WRITE_TRANSACTION, "COMMIT", Point.REPORT, LATE_IN_DOUBT),
        ],
    )
    def test_error_after_the_endpoint_has_answered_promises_nothing(
        self, world, monkeypatch, before, text, point, code
    ):
        # Guards against a promise that nothing is kept of a commit that was made.
        early_end = EarlyEnd(world=world, patch=monkeypatch, cause=Cause.ERROR)
        answer = asyncio.run(
            run_until_ended(world.session(), early_end, before, text, point)
        )
        assert text in world.primary.ran
        assert (answer.code, answer.state) == (code, TransactionState.IDLE)
        assert_nothing_leaks(world, early_end)

    @pytest.mark.parametrize("text", ["READ a", "WRITE a b"])
    def test_error_after_the_wait_for_a_connection_leaks_none(
        self, world, monkeypatch, text
    ):
        # Guards against a pool that runs out of connections.
        early_end = EarlyEnd(world=world, patch=monkeypatch, cause=Cause.ERROR)
        answer = asyncio.run(
            run_until_ended(world.session(), early_end, (), text, Point.RECHECK)
        )
        assert world.primary.ran == []
        assert answer.code is LATE_BUSY
        assert_nothing_leaks(world, early_end)

    @pytest.mark.parametrize("cause", Cause)
    def test_hedged_read_ends_both_of_its_attempts(self, world, monkeypatch, cause):
        # Guards against attempts that outlive their request.
        early_end = EarlyEnd(world=world, patch=monkeypatch, cause=cause)
        monkeypatch.setattr("ebonyladder.sessions.executor.HEDGE_DELAY_S", 0.05)
        world.record_sample()
        session = world.session(Consistency.BOUNDED)

        async def scenario():
            return await run_until_ended(session, early_end, (), "READ a", Point.ANSWER)

        answer = asyncio.run(scenario())
        assert answer.code is LATE_TIMEOUT
        assert_nothing_leaks(world, early_end)

    def test_command_of_a_withdrawn_key_is_answered_before_the_end_of_a_drain(
        self, world, monkeypatch
    ):
        # Guards against an answer that waits for a rollback beyond that end.
        early_end = EarlyEnd(world=world, patch=monkeypatch, cause=Cause.DRAIN)
        session = world.session()

        async def scenario():
            for text in WRITE_TRANSACTION:
                await session.handle(command(text))
            world.cluster.apply_catalog(catalog(version=2, keys=()))
            return await run_until_ended(session, early_end, (), "COMMIT", Point.ANSWER)

        answer = asyncio.run(scenario())
        # The refusal of the key follows the rollback, which isn't answered.
        assert answer.code is AnswerCode.ABORTED
        assert "COMMIT" not in world.primary.ran
        assert session.must_close
        assert_nothing_leaks(world, early_end)

    @pytest.mark.parametrize("error", [RuntimeError, TimeoutError])
    def test_error_is_logged_with_the_id_of_the_request(
        self, world, monkeypatch, caplog, error
    ):
        # Guards against a timeout of another kind that is taken for that of a drain.
        async def fail(*_, **__):
            raise error("injected")

        monkeypatch.setattr(world.quota, "admit", fail)
        (answer,) = run_commands(world.session(), "WRITE a b")
        assert answer.code is LATE_BUSY
        assert "Command failed unexpectedly. request=c1" in caplog.text

    def test_rollback_ends_with_the_drain(self, world, monkeypatch):
        # Guards against a command that arrives during the rollback of an idle
        # transaction, and is read only after the process has to end.
        monkeypatch.setattr("ebonyladder.sessions.executor.ROLLBACK_TIMEOUT_S", 60.0)
        early_end = EarlyEnd(world=world, patch=monkeypatch, cause=Cause.DRAIN)
        session = world.session()

        async def scenario():
            for text in WRITE_TRANSACTION:
                await session.handle(command(text))
            early_end.arm(Point.ANSWER)
            started_at_s = world.clock.now_s()
            plan = DrainPlan(grace_s=GRACE_S, started_at_s=started_at_s)
            world.executor.accepted.begin_drain(plan)
            async with asyncio.timeout(ROLLBACK_END_S):
                await session.abort_transaction("idle")
            return await session.handle(command("COMMIT"))

        assert asyncio.run(scenario()).code is AnswerCode.ABORTED
        assert "COMMIT" not in world.primary.ran
        assert_nothing_leaks(world, early_end)

    def test_second_attempt_of_a_read_that_finds_no_endpoint_ends_only_itself(
        self, world, monkeypatch
    ):
        # Guards against a failure while the first endpoint is still at work.
        monkeypatch.setattr("ebonyladder.sessions.executor.HEDGE_DELAY_S", 0.02)
        world.record_sample()
        world.far.is_down = world.primary.is_down = True
        # No primary reads, which is known after a short wait.
        world.cluster.groups_confirmed_at_s = float("-inf")
        second_attempt = asyncio.Event()
        fail_read = executor.fail_read

        def fail_and_record(*args) -> Answer:
            second_attempt.set()
            return fail_read(*args)

        run = FakeConnection.run

        async def run_late(connection, command, **fields) -> Answer:
            answer = await run(connection, command, **fields)
            await second_attempt.wait()
            await asyncio.sleep(0.01)
            return answer

        monkeypatch.setattr(executor, "fail_read", fail_and_record)
        monkeypatch.setattr(FakeConnection, "run", run_late)
        (answer,) = run_commands(world.session(Consistency.BOUNDED), "READ a")
        assert answer.code is None
        assert world.near.ran == ["READ a"]


class TestPassedDeadline:
    """Guards against statements that run although their answer comes too late."""

    @pytest.mark.parametrize(
        ("before", "text"),
        [
            ((), "READ a"),
            ((), "WRITE a b"),
            (BEGIN, "WRITE a b"),
            (WRITE_TRANSACTION, "READ a"),
            (WRITE_TRANSACTION, "COMMIT"),
        ],
    )
    @pytest.mark.parametrize("is_drain", [True, False])
    def test_command_is_not_sent(self, world, monkeypatch, before, text, is_drain):
        early_end = EarlyEnd(world=world, patch=monkeypatch, cause=Cause.DRAIN)
        session = world.session()

        async def scenario():
            for earlier in before:
                await session.handle(command(earlier))
            if is_drain:
                started_at_s = world.clock.now_s() - GRACE_S
                session.executor.accepted.begin_drain(
                    DrainPlan(grace_s=GRACE_S, started_at_s=started_at_s)
                )
            else:
                # As after a wait for a permit.
                monkeypatch.setattr(session.executor, "deadline_s", lambda route: 0.0)
            early_end.arm(Point.ANSWER)
            return await session.handle(command(text))

        answer = asyncio.run(scenario())
        assert answer.code in (LATE_BUSY, LATE_ABORTED)
        assert world.primary.ran == [t for t in before if before != BEGIN]
        assert_nothing_leaks(world, early_end)

    @pytest.mark.parametrize("text", ["READ a", "BEGIN"])
    def test_permit_is_waited_for_until_the_deadline_at_most(self, world, text):
        # Guards against routes whose latency objective exceeds their timeout.
        short = route(Consistency.PRIMARY, statement_timeout_s=0.1, objective_s=5.0)
        routes = {**world.cluster.catalog.routes, short.database: short}
        changed = msgspec.structs.replace(world.cluster.catalog, routes=routes)
        world.cluster.catalog = changed
        timeouts = []

        async def admit(organisation, *, timeout_s):
            timeouts.append(timeout_s)

        world.quota.admit = admit
        run_commands(world.session(), text)
        assert 0 < timeouts[0] <= short.statement_timeout_s


class TestSuspension:
    """Guards against requests that run on since the machine was suspended.

    The event loop's clock doesn't count that time, and the end of the process does.
    """

    @staticmethod
    def front_end(accepted: AcceptedRequests) -> SessionFrontEnd:
        """Return the front end of callers, one of which is connected."""
        front_end = SessionFrontEnd(kernel=SimpleNamespace(clock=accepted.clock))
        front_end.accepted = accepted
        front_end.server = SimpleNamespace(close=lambda: None)
        front_end.connections = [SimpleNamespace(check=lambda: None)]
        return front_end

    @staticmethod
    def owner(accepted: AcceptedRequests) -> ForwardingService:
        """Return the service for other VMs, one of whose statements runs."""
        service = ForwardingService(
            executor=SimpleNamespace(accepted=accepted), clock=accepted.clock
        )
        service.tasks.add(asyncio.current_task())
        return service

    @pytest.mark.parametrize("plugin", ["front_end", "owner"])
    def test_request_is_ended_before_the_process(self, plugin):
        async def scenario() -> None:
            accepted = AcceptedRequests(clock=ManualClock())
            plan = DrainPlan(grace_s=6.0, started_at_s=accepted.clock.now_s())
            accepted.begin_drain(plan)
            draining = asyncio.create_task(getattr(self, plugin)(accepted).drain())
            try:
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(1.0) as test_timeout, accepted.accept():
                        accepted.clock.monotonic_s = plan.answer_by_s
                        await asyncio.Event().wait()
                assert not test_timeout.expired()
            finally:
                draining.cancel()

        asyncio.run(scenario())
