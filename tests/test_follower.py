"""Follower's side of the leader connection."""

import asyncio

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.follower import Follower
from ebonyladder.sessions.leadership import Leadership
from ebonyladder.sessions.messages import LeaderUpdate
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.sessions.quota import GrantedQuota, PermitGrant
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.types import ConfigurationVersion, Incarnation, VmId
from tests.fleet import run_virtual
from tests.session_fakes import ORGANISATION, cluster


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
        self.follower = Follower(
            cluster=self.cluster,
            leadership=self.leadership,
            quota=self.quota,
            watch_manager=self.watch_manager,
            pools=PoolSet.__new__(PoolSet),
            incarnation=Incarnation(1),
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
