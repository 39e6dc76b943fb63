"""Follower's side of the leader connection."""

import asyncio
from types import SimpleNamespace

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.fleet.follower import Follower
from ebonyladder.sessions.fleet.leadership import Leadership
from ebonyladder.sessions.messages import ClusterSnapshot, LeaderUpdate
from ebonyladder.sessions.objects import StoreEra
from ebonyladder.sessions.quota import GrantedQuota, PermitGrant
from ebonyladder.sessions.store_era import StoreEraTracker
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.types import ConfigurationVersion, Incarnation, VmId, ZoneId
from tests.fleet import run_virtual
from tests.session_fakes import ORGANISATION, CountingMetrics, cluster


class World:
    """Follower without a network connection."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.cluster = cluster(clock)
        self.quota = GrantedQuota(clock=clock)
        self.leadership = Leadership(
            vm=VmId("vm-2"), incarnation=Incarnation(1), clock=clock
        )
        self.watch_manager = WatchManager(supervise=lambda run, name: None)
        self.eras = StoreEraTracker(metrics=CountingMetrics())
        self.follower = Follower(
            cluster=self.cluster,
            leadership=self.leadership,
            quota=self.quota,
            watch_manager=self.watch_manager,
            pools=SimpleNamespace(pools={}),
            incarnation=Incarnation(1),
            eras=self.eras,
            clock=clock,
            on_unregistered=lambda: None,
        )

    def update(self, **fields) -> LeaderUpdate:
        """Return the answer to a report that was just sent."""
        now_s = self.clock.now_s()
        version = ConfigurationVersion(1)
        return LeaderUpdate(
            made_at_s=now_s, version=version, requested_at_s=now_s, **fields
        )


class TestLeaderWithExpiredLease:
    """Guards against group states confirmed by a leader that may have been replaced."""

    def test_its_permits_are_used_and_nothing_else(self):
        clock = ManualClock()

        async def scenario() -> World:
            world = World(clock)
            world.watch_manager.stop_watching()
            assert world.follower.apply_update(world.update(is_leader=True))
            clock.advance(5.0)
            confirmed_at_s = world.cluster.groups_confirmed_at_s
            contact_at_s = world.leadership.leader_contact_at_s
            admitted = asyncio.create_task(
                world.quota.admit(ORGANISATION, timeout_s=1.0)
            )
            await asyncio.sleep(0)
            grants = {ORGANISATION.name: PermitGrant(permits=1)}
            update = world.update(is_leader=False, grants_permits=True, grants=grants)
            assert world.follower.apply_update(update)
            await admitted
            assert not world.follower.has_valid_leader
            assert world.cluster.groups_confirmed_at_s == confirmed_at_s
            assert world.leadership.leader_contact_at_s == contact_at_s
            return world

        assert run_virtual(scenario(), clock).watch_manager.is_watching

    def test_reporting_ends_if_the_peer_grants_no_permits(self):
        world = World(ManualClock())
        assert not world.follower.apply_update(world.update(is_leader=False))


class TestLeaderWithoutTheStore:
    """Guards against an endpoint that has left and is used again.

    After a change of the leader, the new one may know only an earlier list.
    """

    def apply(self, *, has_working_watches: bool, is_watched_here: bool) -> World:
        world = World(ManualClock())
        left = world.cluster.endpoints.copy()
        del world.cluster.endpoints["near"]
        world.cluster.closed_zones = frozenset({ZoneId("b")})
        if is_watched_here:
            world.watch_manager.start_watching("no leader")
        snapshot = ClusterSnapshot(
            version=4,
            endpoints=tuple(left.values()),
            closed_zones=(),
            fleet={ZoneId("a"): 9},
            owners={},
        )
        world.follower.apply_update(
            world.update(
                is_leader=True,
                snapshot=snapshot,
                has_working_watches=has_working_watches,
            )
        )
        assert world.cluster.vm_count == 9
        return world

    def test_lists_of_working_watches_are_kept(self):
        world = self.apply(has_working_watches=False, is_watched_here=True)
        assert "near" not in world.cluster.endpoints
        assert world.cluster.closed_zones == {"b"}
        assert world.follower.report().endpoints_version < 0

    def test_leader_with_working_watches_replaces_the_lists(self):
        world = self.apply(has_working_watches=True, is_watched_here=True)
        assert "near" in world.cluster.endpoints

    def test_vm_without_watches_uses_the_leader_s_lists(self):
        world = self.apply(has_working_watches=False, is_watched_here=False)
        assert "near" in world.cluster.endpoints


class TestStoreReturn:
    """Guards against a VM that follows a leader of an earlier era of the store."""

    def test_leader_of_an_earlier_era_is_not_followed(self):
        # Its lease would rest on this VM, which may see another leader by now.
        world = World(ManualClock())
        world.eras.record(StoreEra(5), known_when_sent=None)
        world.clock.advance(5.0)
        before_s = world.leadership.leader_contact_at_s
        update = world.update(is_leader=True, era=StoreEra(4))
        assert not world.follower.apply_update(update)
        assert not world.follower.has_valid_leader
        assert world.leadership.leader_contact_at_s == before_s
        assert world.follower.report().acknowledged_at_s is None

    def test_leader_of_the_same_era_is_followed(self):
        world = World(ManualClock())
        world.eras.record(StoreEra(5), known_when_sent=None)
        assert world.follower.apply_update(
            world.update(is_leader=True, era=StoreEra(5))
        )
        assert world.follower.report().era == 5

    def test_vm_without_the_store_learns_of_the_return(self):
        # Guards against a VM that follows a paused former leader for good.
        world = World(ManualClock())
        update = world.update(is_leader=True, era=StoreEra(6))
        assert world.follower.apply_update(update)
        assert world.eras.known == 6
