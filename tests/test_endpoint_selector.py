"""Choice of endpoints for statements."""

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.catalog import Consistency
from ebonyladder.sessions.cluster_view import GroupPhase, GroupState
from ebonyladder.sessions.endpoint_selector import (
    EVIDENCE_LIMIT_S,
    EndpointSelector,
    NoTarget,
    Target,
)
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.sessions.primary_positions import PositionSample, PrimaryPositions
from ebonyladder.types import EndpointId, RequestKind, ZoneId
from tests.session_fakes import (
    SERVICE,
    FakeConnector,
    catalog,
    cluster,
    fake_endpoints,
    position,
    route,
)

READ = RequestKind.READ
WRITE = RequestKind.WRITE


class World:
    """Placement over the endpoints of the fakes."""

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
        defaults = {"organisation": None, "own": None}
        found = self.selector.choose(
            route=route(consistency), access=access, **{**defaults, **fields}
        )
        return found.entry.id if isinstance(found, Target) else found

    def sample(self) -> None:
        """Note a position of the primary, taken now."""
        self.positions.note(
            SERVICE, PositionSample(sent_s=self.clock.now_s(), position=position(1, 10))
        )


@pytest.fixture
def world() -> World:
    return World()


class TestPrimary:
    def test_primary_reads_and_writes_go_to_the_primary(self, world):
        world.sample()
        assert world.choose(Consistency.PRIMARY, READ) == "primary"
        assert world.choose(Consistency.BOUNDED, WRITE) == "primary"

    def test_read_without_evidence_is_refused(self, world):
        # Guards against stale reads at a primary that was replaced unnoticed.
        world.clock.advance(EVIDENCE_LIMIT_S + 0.01)
        assert world.choose(Consistency.PRIMARY, READ) is NoTarget.NO_EVIDENCE

    def test_transaction_without_evidence_is_refused(self, world):
        # Guards against stale reads inside a transaction that may write: the trace
        # of cba-ballast scale-2 had one at a primary replaced 0.4 s before.
        world.clock.advance(EVIDENCE_LIMIT_S + 0.01)
        found = world.choose(Consistency.PRIMARY, WRITE, is_transaction=True)
        assert found is NoTarget.NO_EVIDENCE

    def test_single_write_needs_no_evidence_with_synchronous_replicas(self, world):
        # Guards against refusing writes during a store outage; a replaced primary
        # gets no replica's acknowledgement.
        world.clock.advance(EVIDENCE_LIMIT_S + 0.01)
        assert world.choose(Consistency.PRIMARY, WRITE) == "primary"

    def test_single_write_needs_evidence_without_synchronous_replicas(self, world):
        # Guards against acknowledged writes at a replaced primary.
        world.cluster.catalog = catalog(sync_replicas=0)
        world.clock.advance(EVIDENCE_LIMIT_S + 0.01)
        assert world.choose(Consistency.PRIMARY, WRITE) is NoTarget.NO_EVIDENCE

    def test_moving_group_has_no_primary(self, world):
        # Guards against reads at the old primary once this VM has confirmed that
        # it acts on the change.
        world.cluster.adopt_group(
            GroupState(
                service=SERVICE,
                epoch=1,
                phase=GroupPhase.MOVING,
                primary=EndpointId("primary"),
            )
        )
        assert world.choose(Consistency.PRIMARY, READ) is NoTarget.NO_PRIMARY

    def test_agreed_primary_goes_before_an_endpoint_s_own_claim(self, world):
        # Guards against an old primary that still calls itself one.
        world.cluster.adopt_group(
            GroupState(
                service=SERVICE,
                epoch=2,
                phase=GroupPhase.STABLE,
                primary=EndpointId("near"),
            )
        )
        assert world.choose(Consistency.PRIMARY, READ) == "near"

    def test_closed_zone_takes_nothing(self, world):
        # Guards against work for a zone that operators have taken out.
        world.cluster.closed_zones = frozenset({ZoneId("b")})
        assert world.choose(Consistency.PRIMARY, WRITE) is NoTarget.NO_PRIMARY


class TestReplica:
    def test_read_with_recent_sample_goes_to_the_near_replica(self, world):
        world.sample()
        assert world.choose(Consistency.BOUNDED, READ) == "near"

    def test_read_without_sample_goes_to_the_primary(self, world):
        # Guards against reads of unknown age.
        assert world.choose(Consistency.BOUNDED, READ) == "primary"

    def test_silent_replica_is_left_out(self, world):
        # Guards against waiting for a replica that is known to be down.
        world.sample()
        world.pools.get(EndpointId("near")).health.unreachable()
        assert world.choose(Consistency.BOUNDED, READ) != "near"

    def test_replica_that_lagged_is_left_out_for_a_moment(self, world):
        # Guards against asking a lagging replica again for each statement.
        world.sample()
        world.pools.get(EndpointId("near")).health.behind()
        assert world.choose(Consistency.SESSION, READ) != "near"
        world.clock.advance(0.3)
        assert world.choose(Consistency.SESSION, READ) == "near"
