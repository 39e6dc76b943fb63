"""Forwarded commands that fail unexpectedly, or are ended by a drain of the sender."""

import asyncio
import itertools

import pytest

from ebonyladder.sessions.cluster_view import Owner
from ebonyladder.sessions.command import AnswerCode
from ebonyladder.sessions.drain import DrainPlan
from ebonyladder.sessions.forwarding_pool import ForwardingPool
from ebonyladder.sessions.forwarding_service import ForwardingService
from ebonyladder.sessions.messages import Envelope, ForwardReply
from ebonyladder.types import Address, EndpointId, VmId
from tests.platform_fleet import until
from tests.session_fakes import command
from tests.test_session import World

PRIMARY = EndpointId("primary")
GRACE_S = 0.2
WRITE_TRANSACTION = ("BEGIN", "WRITE a b")


async def fail(*_, **__) -> None:
    """Fail as any interface."""
    raise RuntimeError("injected")


class LocalChannel:
    """Channel to an owner in the same process.

    Parameters
    ----------
    service : ForwardingService
        Service of the owner.
    """

    def __init__(self, *, service: ForwardingService) -> None:
        self.service = service
        self.ids = itertools.count(1)
        self.transactions = {}
        self.tasks: set[asyncio.Task] = set()
        self.is_failing = False

    async def open(self) -> None:
        """Do nothing."""

    async def call(self, envelope: Envelope, request_id: int) -> ForwardReply:
        """Run a statement at the owner, which goes on if the sender gives it up."""
        run = self.service._run(envelope.forward, self.transactions)
        task = asyncio.create_task(run)
        self.tasks.add(task)
        reply = await asyncio.shield(task)
        if self.is_failing:
            await fail()
        return reply

    async def send(self, envelope: Envelope) -> None:
        """Release a transaction at the owner."""
        await self.service._serve(None, envelope, self.transactions)


class ForwardingWorld:
    """Sender, and the owner of the primary."""

    def __init__(self) -> None:
        self.sender, self.owner = World(), World()
        service = ForwardingService(
            executor=self.owner.executor, clock=self.owner.clock
        )
        self.channel = LocalChannel(service=service)
        self.sender.pools.make_forwarding_pool = lambda entry, owner: ForwardingPool(
            entry=entry, owner=owner, channel=self.channel, clock=self.sender.clock
        )
        owner = Owner(vm=VmId("vm-2"), address=Address("127.0.0.1:1"))
        cluster = self.sender.cluster
        cluster.apply_fleet(cluster.fleet, {PRIMARY: owner})

    def lose_answers(self) -> None:
        """Let the endpoint run a statement and not answer, as the sender drains."""
        self.owner.primary.lost_answers = 1
        accepted = self.sender.executor.accepted
        started_at_s = self.sender.clock.now_s()
        plan = DrainPlan(grace_s=GRACE_S, started_at_s=started_at_s)
        asyncio.get_running_loop().call_later(0.02, accepted.begin_drain, plan)

    def fail_channel(self) -> None:
        """Let the sender fail at the reply."""
        self.channel.is_failing = True

    def fail_acquire(self) -> None:
        """Let the owner fail before the statement is sent."""
        self.owner.pools.get(PRIMARY).acquire = fail

    def fail_proof(self) -> None:
        """Let the owner fail after the endpoint has answered."""
        self.owner.executor.confirmation.prove = fail

    @property
    def is_settled(self) -> bool:
        """Whether neither VM has a statement in flight or a lost connection."""
        pool = self.owner.pools.get(PRIMARY)
        return (
            self.sender.pools.get(PRIMARY).running == 0
            and (pool.used, pool.running) == (len(pool.idle), 0)
            and not self.channel.transactions
        )


class TestForwardedEarlyEnd:
    """Guards against a forwarded request without an answer, and a false promise."""

    @pytest.mark.parametrize(
        ("before", "text", "fault", "code"),
        [
            ((), "READ a", "lose_answers", AnswerCode.TIMEOUT),
            ((), "WRITE a b", "lose_answers", AnswerCode.TIMEOUT),
            (WRITE_TRANSACTION, "READ a", "lose_answers", AnswerCode.ABORTED),
            (WRITE_TRANSACTION, "COMMIT", "lose_answers", AnswerCode.IN_DOUBT),
            (WRITE_TRANSACTION, "ROLLBACK", "lose_answers", None),
            ((), "WRITE a b", "fail_channel", AnswerCode.TIMEOUT),
            (WRITE_TRANSACTION, "READ a", "fail_channel", AnswerCode.ABORTED),
            (WRITE_TRANSACTION, "COMMIT", "fail_channel", AnswerCode.IN_DOUBT),
            ((), "WRITE a b", "fail_acquire", AnswerCode.IN_DOUBT),
            (("BEGIN",), "WRITE a b", "fail_acquire", AnswerCode.OVERLOADED),
            ((), "WRITE a b", "fail_proof", AnswerCode.IN_DOUBT),
            (WRITE_TRANSACTION, "COMMIT", "fail_proof", AnswerCode.IN_DOUBT),
        ],
    )
    def test_command_is_answered_truly(self, before, text, fault, code):
        world = ForwardingWorld()

        async def scenario():
            session = world.sender.session()
            for earlier in before:
                assert (await session.handle(command(earlier))).code is None
            getattr(world, fault)()
            answer = await session.handle(command(text))
            await session.close()
            await until(lambda: world.is_settled, "the end of the statements")
            return answer

        assert asyncio.run(scenario()).code is code
        has_run = text in world.owner.primary.ran
        assert has_run == (fault != "fail_acquire")
