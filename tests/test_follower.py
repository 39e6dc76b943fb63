"""The other VMs' side of the link to the leader."""

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
    """Follower whose watches are counted."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.cluster = cluster(clock)
        self.quota = GrantedQuota(clock=clock)
        self.leadership = Leadership(
            vm=VmId("vm-2"), incarnation=Incarnation(1), clock=clock
        )
        self.watch_manager = WatchManager(spawn=lambda coroutine, name: None)
        self.follower = Follower(
            cluster=self.cluster,
            leadership=self.leadership,
            quota=self.quota,
            watch_manager=self.watch_manager,
            pools=PoolSet.__new__(PoolSet),
            incarnation=Incarnation(1),
            clock=clock,
            unlisted=lambda: None,
        )

    def update(self, **fields) -> LeaderUpdate:
        """Return the answer to a report that was just sent."""
        now_s = self.clock.now_s()
        version = ConfigurationVersion(1)
        return LeaderUpdate(at_s=now_s, version=version, asked_s=now_s, **fields)


class TestUncertainLeader:
    """Guards against evidence from a leader that may have been replaced."""

    def test_its_turns_are_used_and_nothing_else(self):
        clock = ManualClock()

        async def scenario() -> World:
            world = World(clock)
            world.watch_manager.pause()
            assert world.follower.accept(world.update(is_leader=True))
            clock.advance(5.0)
            evidence_s = world.cluster.evidence_s
            exchanged_s = world.leadership.exchanged_s
            admitted = asyncio.create_task(
                world.quota.admit(ORGANISATION, longest_s=1.0)
            )
            await asyncio.sleep(0)
            lent = {ORGANISATION.name: PermitGrant(turns=1)}
            update = world.update(is_leader=False, lends=True, loans=lent)
            assert world.follower.accept(update)
            await admitted
            assert not world.follower.is_certain
            assert world.cluster.evidence_s == evidence_s
            assert world.leadership.exchanged_s == exchanged_s
            return world

        assert run_virtual(scenario(), clock).watch_manager.is_watching

    def test_link_ends_where_it_lends_nothing(self):
        world = World(ManualClock())
        assert not world.follower.accept(world.update(is_leader=False))
