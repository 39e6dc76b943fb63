"""Relays: VMs that watch the store for a leader that it turns away."""

import pytest

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.cluster_view import VmEntry
from ebonyladder.sessions.fleet.store_relays import (
    MIN_FLEET,
    RELAY_COUNT,
    RELAY_TIMEOUT_S,
    StoreRelays,
)
from ebonyladder.sessions.messages import LeaderUpdate, StoreListing
from ebonyladder.types import Address, ConfigurationVersion, Incarnation, VmId, ZoneId
from tests.session_fakes import entry
from tests.test_follower import World as FollowerWorld
from tests.test_leader import World, report

FLEET = 195
VMS = [VmId(f"vm-{i}") for i in range(FLEET)]


class TestRelays:
    @pytest.fixture(autouse=True)
    def relays(self):
        self.clock = ManualClock()
        self.relays = StoreRelays(clock=self.clock)
        self.update(is_leader_watching=True)

    def update(self, *, is_leader_watching: bool = False, reporting=VMS, size=FLEET):
        """Choose relays."""
        self.relays.update(
            is_leader_watching=is_leader_watching, candidates=reporting, fleet_size=size
        )

    def test_few_vms_watch_for_a_leader_that_the_store_turns_away(self):
        # Guards against five lists and three watches of each of 195 VMs.
        self.update()
        watching = [vm for vm in VMS if self.relays.should_watch(vm)]
        assert watching == VMS[:RELAY_COUNT]

    def test_relay_that_is_lost_is_replaced_and_the_others_stay(self):
        self.update()
        self.update(reporting=VMS[1:])
        assert self.relays.chosen == {*VMS[1 : RELAY_COUNT + 1]}

    def test_leader_that_watches_again_needs_none(self):
        self.update()
        self.update(is_leader_watching=True)
        assert not self.relays.chosen

    def test_all_vms_watch_if_no_relay_works_in_time(self):
        # Guards against a change that never becomes active: the relays may be turned
        # away together with the leader.
        self.update()
        assert self.relays.is_current
        self.relays.accept(VMS[0], is_watching=False)
        self.clock.advance(RELAY_TIMEOUT_S + 0.01)
        self.update()
        assert not self.relays.is_current

    def test_working_relay_keeps_the_leader_current(self):
        self.update()
        for _ in range(10):
            self.clock.advance(RELAY_TIMEOUT_S / 2)
            self.update()
            assert self.relays.accept(VMS[1], is_watching=True)
        assert self.relays.is_current

    def test_only_one_relay_is_followed_until_it_fails(self):
        # Guards against an endpoint that comes and goes with each report, since relays
        # are at different revisions.
        self.update()
        assert self.relays.accept(VMS[0], is_watching=True)
        assert not self.relays.accept(VMS[1], is_watching=True)
        self.relays.accept(VMS[0], is_watching=False)
        assert self.relays.accept(VMS[1], is_watching=True)

    def test_vm_that_was_not_asked_is_not_followed(self):
        self.update()
        assert not self.relays.accept(VMS[-1], is_watching=True)

    def test_small_fleet_has_no_relays(self):
        self.update(is_leader_watching=True, size=MIN_FLEET)
        self.update(size=MIN_FLEET)
        assert not self.relays.chosen
        assert not self.relays.is_current


class TestLeaderWithRelays:
    """Guards against VMs that use an endpoint which has left, or a closed zone."""

    def test_listing_of_a_relay_reaches_the_other_vms(self):
        world = World()
        world.vms = {
            vm: VmEntry(
                vm=vm,
                address=Address("127.0.0.1:1"),
                zone=ZoneId("a"),
                incarnation=Incarnation(1),
            )
            for vm in (VmId("vm-1"), *VMS[2:40])
        }
        world.lead()
        for vm in VMS[2:40]:
            world.leader.answer(report(vm=vm))
        world.leader.relays.worked_at_s = world.clock.now_s()
        world.leader.refresh()
        asked = [v for v in VMS if world.leader.answer(report(vm=v)).should_watch]
        assert len(asked) == RELAY_COUNT
        listing = StoreListing(endpoints=(entry("near"),), closed_zones=(ZoneId("b"),))
        fields = {"has_working_watches": True, "listing": listing}
        world.leader.answer(report(vm=asked[0], **fields))
        world.leader.refresh()
        update = world.leader.answer(report(vm=VMS[30]))
        assert [e.id for e in update.snapshot.endpoints] == ["near"]
        assert update.snapshot.closed_zones == ("b",)
        assert update.has_working_watches

    def test_listing_of_another_vm_is_ignored(self):
        world = World()
        world.lead()
        listing = StoreListing(endpoints=(), closed_zones=())
        world.leader.answer(report(has_working_watches=True, listing=listing))
        assert world.cluster.endpoints


class TestRelay:
    def test_pushed_update_does_not_end_the_watches_of_a_relay(self):
        # Guards against lists of five kinds after each change that the leader pushes.
        world = FollowerWorld(ManualClock())
        world.watch_manager.stop_watching()
        world.follower.endpoints_version = 1
        world.follower.apply_update(world.update(is_leader=True, should_watch=True))
        assert world.watch_manager.is_watching
        pushed = LeaderUpdate(
            is_leader=True, made_at_s=1.0, version=ConfigurationVersion(1)
        )
        world.follower.apply_update(pushed)
        assert world.follower.is_relay
        assert world.watch_manager.is_watching
