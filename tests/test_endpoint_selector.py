"""Selection of endpoints for statements."""

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.catalog import Consistency
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState
from ebonyladder.sessions.endpoint_selector import (
    GROUP_STATE_TTL_S,
    EndpointSelector,
    NoTarget,
    Target,
)
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.sessions.primary_positions import PositionSample, PrimaryPositions
from ebonyladder.types import EndpointId, EndpointState, RequestKind, Role, ZoneId
from tests.session_fakes import (
    SERVICE,
    FakeConnector,
    catalog,
    cluster,
    entry,
    fake_endpoints,
    position,
    route,
)

READ = RequestKind.READ
WRITE = RequestKind.WRITE


class World:
    """Endpoint selector over the endpoints of the fakes."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.cluster = cluster(self.clock)
        self.positions = PrimaryPositions(clock=self.clock)
        self.pools = PoolSet(
            cluster=self.cluster,
            connector=FakeConnector(*fake_endpoints()),
            clock=self.clock,
        )
        self.cluster.notify()
        self.selector = EndpointSelector(
            cluster=self.cluster, positions=self.positions, pools=self.pools
        )

    def choose(self, consistency: Consistency, access: RequestKind, **fields):
        """Return the choice; a target as the endpoint's name."""
        defaults = {"organisation": None, "last_commit": None}
        found = self.selector.choose(
            route=route(consistency), access=access, **{**defaults, **fields}
        )
        return found.entry.id if isinstance(found, Target) else found

    def record_sample(self) -> None:
        """Record a position of the primary, taken now."""
        self.positions.record(
            SERVICE,
            PositionSample(sent_at_s=self.clock.now_s(), position=position(1, 10)),
        )


@pytest.fixture
def world() -> World:
    return World()


class TestPrimary:
    def test_primary_reads_and_writes_go_to_the_primary(self, world):
        world.record_sample()
        assert world.choose(Consistency.PRIMARY, READ) == "primary"
        assert world.choose(Consistency.BOUNDED, WRITE) == "primary"

    def test_read_with_stale_groups_is_refused(self, world):
        # Guards against stale reads at a primary that was replaced unnoticed.
        world.clock.advance(GROUP_STATE_TTL_S + 0.01)
        assert world.choose(Consistency.PRIMARY, READ) is NoTarget.STALE_GROUPS

    def test_transaction_with_stale_groups_is_refused(self, world):
        # Guards against stale reads inside a transaction that may write: one ran at a
        # primary that had been replaced 0.4 s before.
        world.clock.advance(GROUP_STATE_TTL_S + 0.01)
        found = world.choose(Consistency.PRIMARY, WRITE, is_transaction=True)
        assert found is NoTarget.STALE_GROUPS

    def test_single_write_with_stale_groups_runs_with_synchronous_replicas(self, world):
        # Guards against refusing writes during a store outage; a replica is asked
        # whether it has the commit.
        world.clock.advance(GROUP_STATE_TTL_S + 0.01)
        assert world.choose(Consistency.PRIMARY, WRITE) == "primary"

    def test_single_write_with_stale_groups_is_refused_without_replicas(self, world):
        # Guards against acknowledged writes at a replaced primary.
        world.cluster.catalog = catalog(sync_replicas=0)
        world.clock.advance(GROUP_STATE_TTL_S + 0.01)
        assert world.choose(Consistency.PRIMARY, WRITE) is NoTarget.STALE_GROUPS

    def test_leaving_primary_is_not_used_to_the_end_of_its_drain(self, world):
        # Guards against statements that reach an endpoint after its drain, if no
        # failover could replace it meanwhile.
        world.selector.leaving_use_s = 5.0
        leaving = entry(
            "primary", role=Role.PRIMARY, zone="b", state=EndpointState.LEAVING
        )
        world.cluster.apply_endpoints({**world.cluster.endpoints, leaving.id: leaving})
        world.clock.advance(4.9)
        world.cluster.record_groups_confirmed(world.clock.now_s())
        assert world.choose(Consistency.PRIMARY, WRITE) == "primary"
        world.cluster.apply_endpoints({**world.cluster.endpoints, "x": entry("x")})
        world.clock.advance(0.2)
        assert world.choose(Consistency.PRIMARY, WRITE) is NoTarget.LEFT_PRIMARY

    def test_moving_group_has_no_primary(self, world):
        # Guards against reads at the old primary once this VM has acknowledged the
        # failover.
        world.cluster.apply_group(
            GroupState(
                service=SERVICE,
                epoch=1,
                phase=GroupPhase.MOVING,
                primary=EndpointId("primary"),
            )
        )
        assert world.choose(Consistency.PRIMARY, READ) is NoTarget.NO_PRIMARY

    def test_group_state_takes_precedence_over_an_endpoint_s_own_role(self, world):
        # Guards against an old primary that still reports itself as one.
        world.cluster.apply_group(
            GroupState(
                service=SERVICE,
                epoch=2,
                phase=GroupPhase.STABLE,
                primary=EndpointId("near"),
            )
        )
        assert world.choose(Consistency.PRIMARY, READ) == "near"

    def test_closed_zone_gets_no_statements(self, world):
        # Guards against statements to a zone that operators have taken out.
        world.cluster.closed_zones = frozenset({ZoneId("b")})
        assert world.choose(Consistency.PRIMARY, WRITE) is NoTarget.NO_PRIMARY


class TestReplica:
    def test_read_with_recent_sample_goes_to_the_near_replica(self, world):
        # Guards against reads that load the primary without need.
        world.record_sample()
        assert world.choose(Consistency.BOUNDED, READ) == "near"

    def test_read_without_sample_goes_to_the_primary(self, world):
        # Guards against reads of unknown staleness.
        assert world.choose(Consistency.BOUNDED, READ) == "primary"

    def test_unreachable_replica_is_not_chosen(self, world):
        # Guards against waiting for a replica that is known to be down.
        world.record_sample()
        world.pools.get(EndpointId("near")).health.mark_unreachable()
        assert world.choose(Consistency.BOUNDED, READ) != "near"

    def test_lagging_replica_is_not_chosen_during_its_cooldown(self, world):
        # Guards against sending each statement to a lagging replica first.
        world.record_sample()
        world.pools.get(EndpointId("near")).health.mark_lagging()
        assert world.choose(Consistency.SESSION, READ) != "near"
        world.clock.advance(0.3)
        assert world.choose(Consistency.SESSION, READ) == "near"
