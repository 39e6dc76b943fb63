"""Change of a primary: which endpoint takes over, and when none may."""

import asyncio

from ebonyladder.kernel.clock import SystemClock
from ebonyladder.sessions.cause import FailoverCause
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState
from ebonyladder.sessions.connection import PromotionClient
from ebonyladder.sessions.failover import Failover
from ebonyladder.sessions.fleet import FailoverCoordination
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
    """Fleet whose VMs act on a group state at once."""

    def __init__(self, cluster) -> None:
        self.cluster = cluster
        self.written: list[GroupState] = []
        self.barriers: list[int] = []
        self.reached: list[str] = []
        self.token: int | None = 7

    async def write_group(self, group):
        """Keep the group state."""
        self.written.append(group)
        self.cluster.adopt_group(group)

    async def wait_adopted(self, group, limit_s):
        """Note the barrier."""
        self.barriers.append(group.epoch)

    def note_reached(self, endpoint):
        """Keep the endpoint."""
        self.reached.append(endpoint)

    def fencing_token(self):
        """Return the token that the test has set."""
        return self.token


class FakePromoter(PromotionClient):
    """Platform that promotes at once."""

    def __init__(self, connector: FakeConnector) -> None:
        self.connector = connector
        self.calls: list[tuple[str, int]] = []
        self.is_refused = False

    async def promote(self, *, service, endpoint, holder, token):
        """Make the endpoint a primary of the next term."""
        self.calls.append((endpoint, token))
        if self.is_refused:
            return False
        far = self.connector.endpoints[endpoint]
        term = far.status.term + 1
        far.with_received(position(term, far.status.received.position))
        far.status = type(far.status)(
            role=Role.PRIMARY, term=term, received=far.status.received
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

    def change(self, cause: FailoverCause) -> bool:
        """Play one change."""
        return asyncio.run(self.failover.change(SERVICE, cause))

    @property
    def group(self) -> GroupState:
        """Group state in force."""
        return self.cluster.groups[SERVICE]


class TestDeadPrimary:
    def test_newest_replica_takes_over_after_the_barrier(self):
        # Guards against lost commits: the far replica has one more.
        world = World()
        world.primary.is_down = True
        world.far.with_received(position(1, 11))
        assert world.change(FailoverCause.SILENT)
        assert world.promoter.calls == [("far", 7)]
        assert world.coordination.barriers == [1]
        assert world.group.phase is GroupPhase.STABLE
        assert world.group.primary == "far"

    def test_replicas_are_paused_before_their_logs_are_compared(self):
        # Guards against commits that the old primary acknowledges during the change.
        world = World()
        world.primary.is_down = True
        world.change(FailoverCause.SILENT)
        assert world.near.pauses == world.far.pauses == [2]

    def test_no_promotion_while_a_replica_cannot_be_asked(self):
        # Guards against lost commits: the silent replica may hold the only copy.
        world = World()
        world.primary.is_down = True
        world.far.is_down = True
        assert not world.change(FailoverCause.SILENT)
        assert world.promoter.calls == []
        assert world.group.primary == "primary"
        assert world.near.paused_term is None

    def test_no_promotion_without_certainty_of_the_duty(self):
        # Guards against two promoters.
        world = World()
        world.primary.is_down = True
        world.coordination.token = None
        assert not world.change(FailoverCause.SILENT)
        assert world.promoter.calls == []

    def test_refused_promotion_leaves_the_old_order(self):
        world = World()
        world.primary.is_down = True
        world.promoter.is_refused = True
        assert not world.change(FailoverCause.SILENT)
        assert world.group.phase is GroupPhase.STABLE


class TestLivePrimary:
    def test_primary_that_answers_the_leader_gets_another_owner(self):
        # Guards against a service that stops because its primary's owner is cut off.
        world = World()
        assert not world.change(FailoverCause.SILENT)
        assert world.coordination.reached == ["primary"]

    def test_primary_that_answers_the_leader_is_kept(self):
        # Guards against a promotion because one VM is cut off.
        world = World()
        assert not world.change(FailoverCause.SILENT)
        assert world.coordination.written == []

    def test_leaving_primary_steps_down_first(self):
        # Guards against acknowledged writes at a primary that is replaced.
        world = World()
        assert world.change(FailoverCause.LEAVING)
        assert world.primary.status.role is Role.REPLICA
        assert world.group.primary in ("near", "far")

    def test_replica_that_lacks_the_primary_s_log_does_not_take_over_alone(self):
        # Guards against lost commits where the other replica can't be asked.
        world = World()
        world.primary.with_received(position(1, 12))
        world.far.is_down = True
        world.change(FailoverCause.CUT_OFF)
        assert world.group.primary == "primary"

    def test_stalled_primary_with_replicas_up_to_date_is_kept(self):
        # Guards against a promotion because single answers were lost.
        world = World()
        assert not world.change(FailoverCause.STALLED)

    def test_stalled_primary_ahead_of_its_replicas_is_replaced(self):
        # Guards against a primary without replicas, whose commits never end.
        world = World()
        world.primary.with_received(position(1, 12))
        assert world.change(FailoverCause.STALLED)
        assert world.group.primary in ("near", "far")

    def test_leaving_endpoint_does_not_take_over(self):
        world = World()
        world.cluster.endpoints[EndpointId("near")] = entry(
            "near", state=EndpointState.LEAVING
        )
        assert world.change(FailoverCause.LEAVING)
        assert world.group.primary == "far"


class TestUnfinishedChange:
    def test_endpoint_that_leads_already_is_adopted(self):
        # Guards against a second promotion after the first one's answer was lost.
        world = World()
        world.primary.is_down = True
        world.near.status = type(world.near.status)(
            role=Role.PRIMARY, term=2, received=position(2, 10)
        )
        assert world.change(FailoverCause.UNFINISHED)
        assert world.promoter.calls == []
        assert world.group.primary == "near"
