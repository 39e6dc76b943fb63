"""Failover: which endpoint takes over, and when none may."""

import asyncio

from ebonyladder.kernel.clock import SystemClock
from ebonyladder.sessions.cause import FailoverCause
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState
from ebonyladder.sessions.connection import PromotionClient
from ebonyladder.sessions.failover import Failover
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.types import EndpointId, EndpointState, Role
from tests.session_fakes import (
    SERVICE,
    FakeConnector,
    cluster,
    entry,
    fake_endpoints,
    position,
)


class FakeCoordination(FailoverCoordination):
    """Coordination with VMs that apply a group state immediately."""

    def __init__(self, cluster) -> None:
        self.cluster = cluster
        self.written: list[GroupState] = []
        self.barriers: list[int] = []
        self.reachable: list[str] = []
        self.token: int | None = 7

    async def write_group(self, group):
        """Record and apply the group state."""
        self.written.append(group)
        self.cluster.apply_group(group)

    async def wait_applied(self, group, timeout_s):
        """Record the barrier."""
        self.barriers.append(group.epoch)

    def record_reachable(self, endpoint):
        """Record the endpoint."""
        self.reachable.append(endpoint)

    def fencing_token(self):
        """Return the token that the test has set."""
        return self.token


class FakePromoter(PromotionClient):
    """Platform that promotes immediately."""

    def __init__(self, connector: FakeConnector) -> None:
        self.connector = connector
        self.calls: list[tuple[str, int]] = []
        self.is_refused = False

    async def promote(self, *, service, endpoint, holder, token):
        """Make the endpoint a primary of the next term."""
        self.calls.append((endpoint, token))
        if self.is_refused:
            return False
        peer = self.connector.endpoints[endpoint]
        term = peer.status.term + 1
        peer.set_received(position(term, peer.status.received.position))
        peer.status = type(peer.status)(
            role=Role.PRIMARY, term=term, received=peer.status.received
        )
        return True


class World:
    """Failover over the endpoints of the fakes."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.cluster = cluster(self.clock)
        self.primary, self.near, self.far = fake_endpoints()
        self.connector = FakeConnector(self.primary, self.near, self.far)
        self.coordination = FakeCoordination(self.cluster)
        self.promoter = FakePromoter(self.connector)
        self.failover = Failover(
            cluster=self.cluster,
            connector=self.connector,
            promoter=self.promoter,
            coordination=self.coordination,
            clock=self.clock,
        )

    def replace_primary(self, cause: FailoverCause) -> bool:
        """Run one failover."""
        return asyncio.run(self.failover.replace_primary(SERVICE, cause))

    @property
    def group(self) -> GroupState:
        """Active group state."""
        return self.cluster.groups[SERVICE]


class TestDeadPrimary:
    def test_newest_replica_takes_over_after_the_barrier(self):
        # Guards against lost commits: the far replica has one more.
        world = World()
        world.primary.is_down = True
        world.far.set_received(position(1, 11))
        assert world.replace_primary(FailoverCause.UNRESPONSIVE)
        assert world.promoter.calls == [("far", 7)]
        assert world.coordination.barriers == [1]
        assert world.group.phase is GroupPhase.STABLE
        assert world.group.primary == "far"

    def test_replicas_are_paused_before_their_logs_are_compared(self):
        # Guards against commits that the old primary acknowledges during the failover.
        world = World()
        world.primary.is_down = True
        world.replace_primary(FailoverCause.UNRESPONSIVE)
        assert world.near.pauses == world.far.pauses == [2]

    def test_no_promotion_while_a_replica_is_unreachable(self):
        # Guards against lost commits: the unreachable replica may hold the only copy.
        world = World()
        world.primary.is_down = True
        world.far.is_down = True
        assert not world.replace_primary(FailoverCause.UNRESPONSIVE)
        assert world.promoter.calls == []
        assert world.group.primary == "primary"
        assert world.near.paused_term is None

    def test_no_promotion_without_a_valid_leader_lease(self):
        # Guards against promotions by two VMs at the same time.
        world = World()
        world.primary.is_down = True
        world.coordination.token = None
        assert not world.replace_primary(FailoverCause.UNRESPONSIVE)
        assert world.promoter.calls == []

    def test_refused_promotion_keeps_the_old_primary(self):
        # Guards against a group that stays without a primary after a refusal.
        world = World()
        world.primary.is_down = True
        world.promoter.is_refused = True
        assert not world.replace_primary(FailoverCause.UNRESPONSIVE)
        assert world.group.phase is GroupPhase.STABLE


class TestLivePrimary:
    def test_primary_that_answers_the_leader_gets_another_owner(self):
        # Guards against a service that stops because the primary's owner is
        # partitioned.
        world = World()
        assert not world.replace_primary(FailoverCause.UNRESPONSIVE)
        assert world.coordination.reachable == ["primary"]

    def test_primary_that_answers_the_leader_is_kept(self):
        # Guards against a promotion because one VM is partitioned.
        world = World()
        assert not world.replace_primary(FailoverCause.UNRESPONSIVE)
        assert world.coordination.written == []

    def test_draining_primary_steps_down_first(self):
        # Guards against acknowledged writes at a primary that is replaced.
        world = World()
        assert world.replace_primary(FailoverCause.LEAVING)
        assert world.primary.status.role is Role.REPLICA
        assert world.group.primary in ("near", "far")

    def test_replica_that_lacks_the_primary_s_log_does_not_take_over(self):
        # Guards against lost commits if the other replica is unreachable.
        world = World()
        world.primary.set_received(position(1, 12))
        world.far.is_down = True
        world.replace_primary(FailoverCause.UNREACHABLE)
        assert world.group.primary == "primary"

    def test_stalled_primary_with_replicas_up_to_date_is_kept(self):
        # Guards against a promotion because of single lost answers.
        world = World()
        assert not world.replace_primary(FailoverCause.STALLED)

    def test_stalled_primary_ahead_of_its_replicas_is_replaced(self):
        # Guards against keeping a primary without replicas, whose commits never end.
        world = World()
        world.primary.set_received(position(1, 12))
        assert world.replace_primary(FailoverCause.STALLED)
        assert world.group.primary in ("near", "far")

    def test_draining_endpoint_does_not_take_over(self):
        # Guards against a second failover once that endpoint stops.
        world = World()
        world.cluster.endpoints[EndpointId("near")] = entry(
            "near", state=EndpointState.LEAVING
        )
        assert world.replace_primary(FailoverCause.LEAVING)
        assert world.group.primary == "far"


class TestInterruptedFailover:
    def test_endpoint_that_is_primary_already_is_kept(self):
        # Guards against a second promotion after the first one's answer was lost.
        world = World()
        world.primary.is_down = True
        world.near.status = type(world.near.status)(
            role=Role.PRIMARY, term=2, received=position(2, 10)
        )
        assert world.replace_primary(FailoverCause.INTERRUPTED)
        assert world.promoter.calls == []
        assert world.group.primary == "near"


class TestHandOver:
    """Guards against two leaders whose promotions cross on the way."""

    def test_call_to_the_platform_is_visible_until_it_ends(self):
        async def scenario(world: World) -> list[bool]:
            seen = [world.failover.has_no_calls.is_set()]
            promote = world.promoter.promote

            async def record_and_promote(**fields):
                seen.append(world.failover.has_no_calls.is_set())
                return await promote(**fields)

            world.promoter.promote = record_and_promote
            await world.failover.replace_primary(SERVICE, FailoverCause.LEAVING)
            return [*seen, world.failover.has_no_calls.is_set()]

        assert asyncio.run(scenario(World())) == [True, False, True]
