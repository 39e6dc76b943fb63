"""The other VMs' side of the link to the leader."""

import asyncio

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.follower import Follower
from ebonyladder.sessions.leadership import Leadership
from ebonyladder.sessions.messages import Orders
from ebonyladder.sessions.pool import Pools
from ebonyladder.sessions.quota import LentQuota, Loan
from ebonyladder.sessions.watches import Watches
from ebonyladder.types import ConfigurationVersion, Incarnation, VmId
from tests.fleet import run_virtual
from tests.session_fakes import ORGANISATION, roster


class World:
    """Follower whose watches are counted."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.roster = roster(clock)
        self.quota = LentQuota(clock=clock)
        self.leadership = Leadership(
            vm=VmId("vm-2"), incarnation=Incarnation(1), clock=clock
        )
        self.watches = Watches(spawn=lambda coroutine, name: None)
        self.follower = Follower(
            roster=self.roster,
            leadership=self.leadership,
            quota=self.quota,
            watches=self.watches,
            pools=Pools.__new__(Pools),
            incarnation=Incarnation(1),
            clock=clock,
            unlisted=lambda: None,
        )

    def orders(self, **fields) -> Orders:
        """Return the answer to a report that was just sent."""
        now_s = self.clock.now_s()
        version = ConfigurationVersion(1)
        return Orders(at_s=now_s, version=version, asked_s=now_s, **fields)


class TestUncertainLeader:
    """Guards against evidence from a leader that may have been replaced."""

    def test_its_turns_are_used_and_nothing_else(self):
        clock = ManualClock()

        async def scenario() -> World:
            world = World(clock)
            world.watches.pause()
            assert world.follower.accept(world.orders(is_leader=True))
            clock.advance(5.0)
            evidence_s = world.roster.evidence_s
            exchanged_s = world.leadership.exchanged_s
            admitted = asyncio.create_task(
                world.quota.admit(ORGANISATION, longest_s=1.0)
            )
            await asyncio.sleep(0)
            lent = {ORGANISATION.name: Loan(turns=1)}
            orders = world.orders(is_leader=False, lends=True, loans=lent)
            assert world.follower.accept(orders)
            await admitted
            assert not world.follower.is_certain
            assert world.roster.evidence_s == evidence_s
            assert world.leadership.exchanged_s == exchanged_s
            return world

        assert run_virtual(scenario(), clock).watches.is_watching

    def test_link_ends_where_it_lends_nothing(self):
        world = World(ManualClock())
        assert not world.follower.accept(world.orders(is_leader=False))
