"""Acknowledged commits: when this VM may report a success to the caller."""

import asyncio
from types import SimpleNamespace

import pytest
from msgspec import structs

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState, Owner
from ebonyladder.sessions.command import AnswerCode, CommandId
from ebonyladder.sessions.commit_confirmation import (
    ANSWER_GRACE_S,
    CONFIRMATION_TTL_S,
    IDLE_S,
    STALL_S,
    CommitConfirmation,
)
from ebonyladder.sessions.commit_decision import (
    LINES_PER_S,
    CommitDecision,
    CommitReason,
    CommitReporter,
    CommitStatus,
)
from ebonyladder.sessions.replica_check import ReplicaCheck
from ebonyladder.types import Address, EndpointId, Role, Term, VmId
from tests.session_fakes import (
    SERVICE,
    CountingMetrics,
    FakeConnection,
    FakeConnector,
    cluster,
    command,
    entry,
    position,
)
from tests.test_session import World as SessionWorld

PRIMARY, NEAR = EndpointId("primary"), EndpointId("near")
COMMIT = position(1, 12)


def group(epoch: int, phase: GroupPhase, primary=PRIMARY, **fields) -> GroupState:
    """Return a group state of the service."""
    return GroupState(
        service=SERVICE, epoch=epoch, phase=phase, primary=primary, **fields
    )


class World:
    """Confirmation over a cluster view whose groups the test changes."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.cluster = cluster(self.clock)
        self.cluster.apply_group(group(4, GroupPhase.STABLE, term=Term(1)))
        self.confirmation = CommitConfirmation(
            cluster=self.cluster,
            replica_check=ReplicaCheck(
                cluster=self.cluster,
                connector=FakeConnector(),
            ),
            clock=self.clock,
        )
        self.sent = self.confirmation.sent(entry("primary"))
        self.metrics = CountingMetrics()
        self.reporter = CommitReporter(metrics=self.metrics, clock=self.clock)

    def move(self) -> None:
        """Apply the group state of a failover, long before the answer."""
        self.cluster.apply_group(group(5, GroupPhase.MOVING, term=Term(1)))
        self.clock.advance(ANSWER_GRACE_S + 0.01)

    def status(self) -> CommitStatus:
        """Return the status of a commit that is answered now."""
        return self.decide().status

    def decide(self) -> CommitDecision:
        """Return the decision on a commit that is answered now."""
        return self.confirmation.decide(self.sent, COMMIT, self.clock.now_s())


class TestStatus:
    """Guards against reporting a commit that the next primary lacks (review/2)."""

    @pytest.fixture
    def world(self) -> World:
        return World()

    def test_commit_under_current_group_states_is_durable(self, world):
        assert world.status() is CommitStatus.DURABLE

    def test_commit_under_older_group_states_waits(self, world):
        # A replica that joined in the partitioned zone has acknowledged it.
        world.clock.advance(CONFIRMATION_TTL_S + 0.01)
        assert world.status() is CommitStatus.UNCONFIRMED

    def test_later_confirmation_of_the_same_group_makes_it_durable(self, world):
        world.clock.advance(CONFIRMATION_TTL_S + 0.01)
        answered_at_s = world.clock.now_s()
        world.cluster.record_groups_confirmed(answered_at_s)
        found = world.confirmation.decide(world.sent, COMMIT, answered_at_s)
        assert found.status is CommitStatus.DURABLE

    def test_answer_from_before_the_promotion_is_delivered(self, world):
        # Guards against doubt about the commits that a planned change overtakes.
        world.cluster.apply_group(group(5, GroupPhase.MOVING, term=Term(1)))
        assert world.status() is CommitStatus.DURABLE

    def test_late_answer_during_a_failover_waits(self, world):
        world.move()
        assert world.status() is CommitStatus.UNCONFIRMED

    @pytest.mark.parametrize(
        ("inherited", "expected"),
        [
            (position(1, 12), CommitStatus.DURABLE),
            (position(1, 11), CommitStatus.IN_DOUBT),
            (None, CommitStatus.IN_DOUBT),
        ],
    )
    def test_log_of_the_new_primary_decides(self, world, inherited, expected):
        world.move()
        world.cluster.apply_group(
            group(6, GroupPhase.STABLE, NEAR, term=Term(2), inherited=inherited)
        )
        assert world.status() is expected

    def test_failover_that_was_given_up_makes_it_durable(self, world):
        world.move()
        world.cluster.apply_group(group(6, GroupPhase.STABLE, term=Term(1)))
        assert world.status() is CommitStatus.DURABLE

    def test_primary_that_was_promoted_again_has_what_it_inherited(self, world):
        # Guards against trusting the id of the primary alone.
        world.move()
        world.cluster.apply_group(
            group(6, GroupPhase.STABLE, term=Term(2), inherited=position(1, 11))
        )
        assert world.status() is CommitStatus.IN_DOUBT


class TestReason:
    """Guards against a lost commit of which nothing tells why it was a success."""

    @pytest.fixture
    def world(self) -> World:
        return World()

    def report(self, world: World, decision: CommitDecision, caplog) -> list[str]:
        """Return the lines about ten times as many commits as may be logged."""
        world.metrics.counts.clear()
        caplog.clear()
        number = 10 * LINES_PER_S
        with caplog.at_level("INFO", logger="absl"):
            for _ in range(number):
                world.reporter.report(CommandId("c1"), world.sent, COMMIT, decision)
        counter = ("commit_decisions", decision.status.value, decision.reason.value)
        assert world.metrics.counts == {counter: number}
        return caplog.messages

    @pytest.mark.parametrize(
        ("states", "reason"),
        [
            ([], CommitReason.GROUP_CONFIRMED),
            ([group(5, GroupPhase.MOVING)], CommitReason.NONE),
            (
                [group(6, GroupPhase.STABLE, term=Term(1))],
                CommitReason.FAILOVER_GIVEN_UP,
            ),
            (
                [group(6, GroupPhase.STABLE, NEAR, term=Term(2), inherited=COMMIT)],
                CommitReason.INHERITED,
            ),
            (
                [group(6, GroupPhase.STABLE, NEAR, term=Term(2))],
                CommitReason.NOT_INHERITED,
            ),
        ],
    )
    def test_each_branch_has_its_reason(self, world, states, reason):
        for state in states:
            world.cluster.apply_group(state)
        world.clock.advance(ANSWER_GRACE_S + 0.01)
        assert world.decide().reason is reason

    def test_ages_of_what_was_used_are_kept(self, world):
        world.clock.advance(0.3)
        world.cluster.apply_group(group(5, GroupPhase.MOVING, term=Term(1)))
        world.clock.advance(0.1)
        found = world.decide()
        assert found.reason is CommitReason.ANSWERED_BEFORE_FAILOVER
        assert found.confirmed_ago_s == pytest.approx(0.4)
        assert found.moving_ago_s == pytest.approx(0.1)

    def test_replica_that_holds_a_commit_is_named(self):
        async def scenario():
            world = SessionWorld()
            world.cluster.groups_confirmed_at_s -= 60.0
            confirmation = world.executor.confirmation
            sent = confirmation.sent(entry("primary"))
            deadline_s = world.clock.now_s() + 5.0
            found = await confirmation.wait(sent, position(1, 10), deadline_s)
            confirmation.replica_check.close()
            return found

        found = asyncio.run(scenario())
        assert found.reason is CommitReason.REPLICA_HOLDS
        assert found.proof.replica == entry("near").process
        assert found.proof.received == position(1, 10)

    def test_routine_commits_are_counted_and_not_logged(self, world, caplog):
        assert self.report(world, world.decide(), caplog) == []

    def test_lines_about_other_successes_are_bounded(self, world, caplog):
        world.cluster.apply_group(group(5, GroupPhase.MOVING, term=Term(1)))
        decision = world.decide()
        lines = self.report(world, decision, caplog)
        assert len(lines) == LINES_PER_S
        assert "reason=answered-before-failover sent_epoch=4 epoch=5" in lines[0]
        world.clock.advance(1.0)
        lines = self.report(world, decision, caplog)
        assert f"suppressed={9 * LINES_PER_S}" in lines[0]

    def test_each_commit_in_doubt_is_logged(self, world, caplog):
        world.move()
        lines = self.report(world, world.decide(), caplog)
        assert len(lines) == 10 * LINES_PER_S

    def test_commit_of_a_session_is_counted(self):
        async def scenario():
            world = SessionWorld()
            session = world.session()
            await session.handle(command("WRITE a 1"))
            world.executor.confirmation.replica_check.close()
            return world.metrics.counts

        # The first commit at a primary needs the answer of a replica.
        counts = asyncio.run(scenario())
        assert counts == {("commit_decisions", "durable", "replica-holds"): 1}


class TestSession:
    """Guards against a success for the caller of a commit that is in doubt."""

    def run_with_failover(
        self, *texts: str, inherited
    ) -> tuple[AnswerCode | None, ...]:
        """Return the codes of commands; a failover overtakes the last one."""

        async def scenario():
            world = SessionWorld()
            world.cluster.apply_group(group(1, GroupPhase.STABLE, term=Term(1)))
            session = world.session()
            codes = [(await session.handle(command(t))).code for t in texts[:-1]]
            run = FakeConnection.run

            async def run_slowly(connection, *args, **kwargs):
                answer = await run(connection, *args, **kwargs)
                # The replicas haven't received the commit.
                for replica in (world.near, world.far):
                    replica.set_received(position(1, 8))
                world.cluster.apply_group(group(2, GroupPhase.MOVING, term=Term(1)))
                world.cluster.moving_since_s[SERVICE] -= ANSWER_GRACE_S
                return answer

            async def promote():
                await asyncio.sleep(0.1)
                world.cluster.apply_group(
                    group(
                        3,
                        GroupPhase.STABLE,
                        NEAR,
                        term=Term(2),
                        inherited=inherited,
                    )
                )

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(FakeConnection, "run", run_slowly)
                promotion = asyncio.create_task(promote())
                codes.append((await session.handle(command(texts[-1]))).code)
                await promotion
            await session.close()
            return tuple(codes)

        return asyncio.run(scenario())

    def test_single_write_that_the_new_primary_lacks_is_in_doubt(self):
        codes = self.run_with_failover("WRITE a 1", inherited=position(1, 9))
        assert codes == (AnswerCode.IN_DOUBT,)

    def test_single_write_that_the_new_primary_has_succeeds(self):
        codes = self.run_with_failover("WRITE a 1", inherited=position(1, 10))
        assert codes == (None,)

    def test_transaction_that_the_new_primary_lacks_is_in_doubt(self):
        codes = self.run_with_failover(
            "BEGIN", "WRITE a 1", "COMMIT", inherited=position(1, 9)
        )
        assert codes == (None, None, AnswerCode.IN_DOUBT)

    def test_transaction_that_only_read_needs_no_confirmation(self):
        codes = self.run_with_failover("BEGIN", "READ a", "COMMIT", inherited=None)
        assert codes == (None, None, None)

    def test_commit_is_not_sent_to_a_replaced_primary(self):
        # The caller may repeat the transaction, since nothing of it is kept.
        async def scenario():
            world = SessionWorld()
            session = world.session()
            for text in ("BEGIN", "WRITE a 1"):
                await session.handle(command(text))
            world.cluster.apply_group(group(1, GroupPhase.MOVING))
            answer = await session.handle(command("COMMIT"))
            await session.close()
            return answer.code, world.primary.ran

        code, ran = asyncio.run(scenario())
        assert code is AnswerCode.ABORTED
        assert "COMMIT" not in ran


class TestProof:
    """Guards against successes of commits that only an unknown replica has.

    review/2: a leader in the partitioned zone went on confirming the group states until
    its lease ended, while a database that had just started acknowledged commits.
    """

    def confirm(self, *, took_s=0.0, pause_s=0.0, is_held=False) -> bool:
        """Return whether a commit is durable, after one that a replica held."""

        async def scenario():
            world = SessionWorld()
            confirmation = world.executor.confirmation
            first = confirmation.sent(entry("primary"))
            deadline_s = world.clock.now_s() + 5.0
            found = await confirmation.wait(first, position(1, 10), deadline_s)
            assert found.is_durable
            flow = confirmation.flows[entry("primary").process]
            flow.last_answered_at_s -= pause_s
            sent = structs.replace(
                confirmation.sent(entry("primary")),
                sent_at_s=world.clock.now_s() - took_s,
            )
            commit = position(1, 10 if is_held else 11)
            deadline_s = world.clock.now_s() + 0.2
            try:
                found = await confirmation.wait(sent, commit, deadline_s)
                return found.is_durable
            finally:
                confirmation.replica_check.close()

        return asyncio.run(scenario())

    def test_steady_commits_need_no_proof(self):
        assert self.confirm()

    def test_commit_that_waited_needs_a_replica(self):
        assert not self.confirm(took_s=STALL_S)
        assert self.confirm(took_s=STALL_S, is_held=True)

    def test_first_commit_after_a_pause_needs_a_replica(self):
        assert not self.confirm(pause_s=IDLE_S)
        assert self.confirm(pause_s=IDLE_S, is_held=True)

    def test_proof_of_an_owner_is_the_same(self):
        async def scenario(commit):
            world = SessionWorld()
            confirmation = world.executor.confirmation
            sent = confirmation.sent(entry("primary"))
            try:
                return await confirmation.prove(sent, commit, world.clock.now_s() + 0.2)
            finally:
                confirmation.replica_check.close()

        assert asyncio.run(scenario(position(1, 10)))
        assert not asyncio.run(scenario(position(1, 11)))

    @pytest.mark.parametrize("is_transaction", [False, True])
    def test_commit_needs_a_replica_after_the_endpoint_got_another_owner(
        self, is_transaction
    ):
        # Guards against a stopping owner that takes its commits for another VM's, so
        # that nobody asks the replicas for them.
        async def scenario():
            world = SessionWorld()
            world.pools.make_forwarding_pool = lambda entry, owner: SimpleNamespace(
                is_local=False, close=lambda: None
            )
            open_connection = world.connector.open

            async def open_slow(entry, organisation):
                connection = await open_connection(entry, organisation)
                run = connection.run

                async def run_and_move(*args, **fields):
                    answer = await run(*args, **fields)
                    owner = Owner(vm=VmId("vm-2"), address=Address("127.0.0.1:1"))
                    world.cluster.apply_fleet(world.cluster.fleet, {PRIMARY: owner})
                    return answer

                connection.run = run_and_move
                return connection

            world.connector.open = open_slow
            world.primary.set_received(COMMIT)
            session = world.session()
            texts = (
                ("BEGIN", "WRITE a 1", "COMMIT") if is_transaction else ("WRITE a 1",)
            )
            answers = [await session.handle(command(text)) for text in texts]
            world.executor.confirmation.replica_check.close()
            return answers[-1].code

        assert asyncio.run(scenario()) is AnswerCode.IN_DOUBT


class TestAcknowledgedRange:
    """Guards against a failover that doesn't know what callers were told."""

    def test_commit_lies_between_what_was_seen_before_and_the_answer(self):
        async def scenario():
            world = SessionWorld()
            session = world.session()
            await session.handle(command("READ a"))
            world.primary.set_received(position(1, 14))
            world.near.set_received(position(1, 14))
            await session.handle(command("WRITE a 1"))
            world.executor.confirmation.replica_check.close()
            return world.cluster.acknowledged[SERVICE]

        found = asyncio.run(scenario())
        assert (found.lower, found.upper) == (position(1, 11), position(1, 14))


class TestReplicas:
    """Guards against lost commits, and against doubt about commits that are safe."""

    def ask(self, change=lambda world: None, *, confirmed=True) -> bool:
        """Return whether a replica holds the last commit of the primary."""

        async def scenario():
            world = SessionWorld()
            world.cluster.apply_endpoints(
                {**world.cluster.endpoints, EndpointId("new"): entry("new")}
            )
            if confirmed:
                world.cluster.record_groups_confirmed(world.clock.now_s())
            change(world)
            check = world.executor.confirmation.replica_check
            try:
                proof = await check.find_proof(PRIMARY, position(1, 10), timeout_s=1.0)
                return proof is not None
            finally:
                check.close()

        return asyncio.run(scenario())

    def behind(self, world: SessionWorld) -> None:
        """Let the known replicas lack the commit."""
        for replica in (world.near, world.far):
            replica.set_received(position(1, 9))

    def test_commit_that_a_replica_has_is_safe(self):
        # A caller at a VM without a leader and without the store is served.
        assert self.ask()

    def test_commit_that_no_known_replica_has_is_in_doubt(self):
        assert not self.ask(self.behind)

    def test_replica_that_joined_later_does_not_count(self):
        # review/2: it acknowledged commits of the replaced primary.
        def join(world):
            self.behind(world)
            new = type(world.near)("new", role=Role.REPLICA)
            world.connector.endpoints[EndpointId("new")] = new

        assert not self.ask(join, confirmed=False)
        assert self.ask(join)

    def test_replica_of_a_newer_term_does_not_count(self):
        # Its log may lack the end of the older term.
        def follow(world):
            self.behind(world)
            world.near.set_received(position(2, 30))

        assert not self.ask(follow)

    def test_unresponsive_replica_does_not_delay_the_answer_of_another(self):
        def silence(world):
            world.near.is_unresponsive = True

        assert self.ask(silence)

    def test_write_under_old_group_states_succeeds_if_a_replica_has_it(self):
        async def scenario(change):
            world = SessionWorld()
            change(world)
            world.cluster.groups_confirmed_at_s -= 60.0
            session = world.session()
            answer = await session.handle(command("WRITE a 1"))
            world.executor.confirmation.replica_check.close()
            return answer.code

        assert asyncio.run(scenario(lambda world: None)) is None
        assert asyncio.run(scenario(self.behind)) is AnswerCode.IN_DOUBT


class TestOldGroupStates:
    def test_answer_under_group_states_that_were_old_when_the_failover_arrived(self):
        # Guards against a success at a replaced primary, told by a VM that was cut off.
        world = World()
        world.clock.advance(5.0)
        world.sent = structs.replace(world.sent, sent_at_s=world.clock.now_s())
        world.cluster.apply_group(group(5, GroupPhase.MOVING, term=Term(1)))
        assert world.status() is CommitStatus.UNCONFIRMED


class TestInheritedPosition:
    def test_position_of_an_earlier_term_than_the_inherited_log_is_in_doubt(self):
        # Guards against a success after two failovers of which this VM saw the second.
        world = World()
        world.move()
        world.cluster.apply_group(
            group(
                9,
                GroupPhase.STABLE,
                EndpointId("near"),
                term=Term(3),
                inherited=position(2, 11),
            )
        )
        assert world.status() is CommitStatus.IN_DOUBT
