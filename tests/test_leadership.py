"""Duty of one VM: when it is certain, and when another may take it."""

import msgspec

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.leadership import (
    DUTY_S,
    RENEWAL_S,
    SMALL_CORES,
    SMALL_DELAY_S,
    TAKEOVER_S,
    LeaderRecord,
    Leadership,
    LeadershipState,
)
from ebonyladder.sessions.objects import Revision
from ebonyladder.types import Address, Incarnation, VmId

ONE, TWO = VmId("vm-1"), VmId("vm-2")
FLEET = (ONE, TWO)
ADDRESS = Address("127.0.0.1:1")


def leadership(clock: ManualClock, vm: VmId = ONE) -> Leadership:
    """Return what one VM knows."""
    return Leadership(vm=vm, incarnation=Incarnation(1), clock=clock)


def leader(clock: ManualClock) -> Leadership:
    """Return a VM that has just taken the duty."""
    found = leadership(clock)
    found.note_written(found.next_record(ADDRESS), Revision(1), clock.now_s())
    return found


class TestDuty:
    def test_duty_ends_before_another_vm_may_take_over(self):
        # Guards against two VMs that promote at the same time.
        clock = ManualClock()
        found = leader(clock)
        assert found.standing(FLEET) is LeadershipState.LEADER
        clock.advance(DUTY_S + 0.01)
        assert found.standing(FLEET) is LeadershipState.UNCERTAIN
        assert DUTY_S < TAKEOVER_S

    def test_reports_of_all_vms_keep_the_duty_without_the_store(self):
        # Guards against losing the duty in an outage of the store.
        clock = ManualClock()
        found = leader(clock)
        clock.advance(60.0)
        found.note_heard(TWO, clock.now_s())
        assert found.standing(FLEET) is LeadershipState.LEADER

    def test_one_silent_vm_makes_the_duty_uncertain(self):
        # Guards against a leader that doesn't notice its successor.
        clock = ManualClock()
        found = leader(clock)
        clock.advance(60.0)
        found.note_heard(TWO, clock.now_s())
        assert found.standing((*FLEET, VmId("vm-3"))) is LeadershipState.UNCERTAIN

    def test_late_report_counts_from_the_orders_that_it_confirms(self):
        # Guards against a link that is cut in the leader's direction only.
        clock = ManualClock()
        found = leader(clock)
        made_s = clock.now_s()
        clock.advance(DUTY_S + 0.01)
        found.note_heard(TWO, made_s)
        assert found.standing(FLEET) is LeadershipState.UNCERTAIN

    def test_renewal_is_written_only_for_vms_that_do_not_report(self):
        # Guards against store calls on a calm day.
        clock = ManualClock()
        found = leader(clock)
        clock.advance(RENEWAL_S)
        assert found.needs_renewal(FLEET)
        found.note_heard(TWO, clock.now_s())
        assert not found.needs_renewal(FLEET)


class TestTakeover:
    def test_vm_that_hears_the_leader_does_not_take_over(self):
        clock = ManualClock()
        found = leadership(clock, TWO)
        found.observe(leader(clock).record, Revision(1))
        clock.advance(TAKEOVER_S)
        found.note_exchange()
        clock.advance(TAKEOVER_S - 0.1)
        assert not found.may_take_over()
        clock.advance(0.2)
        assert found.may_take_over()

    def test_renewed_record_holds_a_vm_back_that_is_cut_from_the_leader(self):
        # Guards against two leaders where one link is cut.
        clock = ManualClock()
        found = leadership(clock, TWO)
        record = leader(clock).record
        found.observe(record, Revision(1))
        clock.advance(TAKEOVER_S - 0.1)
        found.observe(msgspec.structs.replace(record, renewals=1), Revision(2))
        clock.advance(0.2)
        assert not found.may_take_over()

    def test_released_duty_is_taken_at_once(self):
        clock = ManualClock()
        found = leadership(clock, TWO)
        record = msgspec.structs.replace(leader(clock).record, is_released=True)
        found.observe(record, Revision(2))
        assert found.may_take_over()

    def test_small_vm_leaves_the_duty_to_a_larger_one(self):
        # Guards against a leader that is too slow for the reports of a large fleet:
        # it answered none within half a second, and operations were refused.
        clock = ManualClock()
        found = Leadership(
            vm=TWO, incarnation=Incarnation(2), clock=clock, cores=SMALL_CORES / 2
        )
        found.observe(leader(clock).record, Revision(1))
        clock.advance(TAKEOVER_S)
        assert not found.may_take_over()
        clock.advance(SMALL_DELAY_S)
        assert found.may_take_over()

    def test_small_vm_leads_where_no_other_does(self):
        clock = ManualClock()
        found = Leadership(
            vm=TWO, incarnation=Incarnation(2), clock=clock, cores=SMALL_CORES / 2
        )
        for _ in range(11):
            found.observe(None, Revision(0))
            clock.advance(SMALL_DELAY_S / 10)
        assert found.may_take_over()

    def test_restarted_holder_takes_its_duty_back_at_once(self):
        clock = ManualClock()
        record = leader(clock).record
        found = Leadership(vm=ONE, incarnation=Incarnation(2), clock=clock)
        found.observe(record, Revision(1))
        assert found.standing(FLEET) is LeadershipState.FOLLOWER
        assert found.may_take_over()

    def test_token_grows_with_each_holder(self):
        # Guards against a promotion with a token lower than one already used.
        clock = ManualClock()
        found = leadership(clock, TWO)
        found.observe(
            LeaderRecord(
                holder=ONE, incarnation=Incarnation(1), address=ADDRESS, token=6
            ),
            Revision(1),
        )
        assert found.next_record(ADDRESS).token == 7

    def test_older_record_is_ignored(self):
        # Guards against a late answer of the store.
        clock = ManualClock()
        found = leader(clock)
        older = msgspec.structs.replace(found.record, token=0, holder=TWO)
        found.observe(older, Revision(0))
        assert found.is_holder
