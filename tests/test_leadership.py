"""Leader lease: when it is valid, and when another VM may take over."""

import msgspec

from ebonyladder.kernel.clock import ManualClock
from ebonyladder.sessions.fleet.leadership import (
    ERA_TAKEOVER_DELAY_S,
    LEADER_LEASE_S,
    LEASE_RENEWAL_INTERVAL_S,
    SMALL_VM_CORES,
    SMALL_VM_DELAY_S,
    TAKEOVER_TIMEOUT_S,
    LeaderRecord,
    Leadership,
    LeadershipState,
)
from ebonyladder.sessions.objects import Revision
from ebonyladder.sessions.store_era import era_start
from ebonyladder.types import Address, Incarnation, VmId

ONE, TWO = VmId("vm-1"), VmId("vm-2")
FLEET = (ONE, TWO)
ADDRESS = Address("127.0.0.1:1")


def leadership(clock: ManualClock, vm: VmId = ONE) -> Leadership:
    """Return the view of one VM."""
    return Leadership(vm=vm, incarnation=Incarnation(1), clock=clock)


def leader(clock: ManualClock) -> Leadership:
    """Return the view of a VM that has just become the leader."""
    found = leadership(clock)
    found.record_renewal(found.next_record(ADDRESS), Revision(1), clock.now_s())
    return found


class TestLeaderLease:
    """Guards against two leaders, and against a lease lost without need."""

    def test_lease_expires_before_another_vm_may_take_over(self):
        # Guards against two VMs that run a promotion at the same time.
        clock = ManualClock()
        found = leader(clock)
        assert found.state(FLEET) is LeadershipState.LEADER
        clock.advance(LEADER_LEASE_S + 0.01)
        assert found.state(FLEET) is LeadershipState.LEASE_EXPIRED
        assert LEADER_LEASE_S < TAKEOVER_TIMEOUT_S

    def test_acknowledgements_of_all_vms_keep_the_lease_without_the_store(self):
        # Guards against an expired leader lease in an outage of the store.
        clock = ManualClock()
        found = leader(clock)
        clock.advance(60.0)
        found.record_acknowledgement(TWO, clock.now_s())
        assert found.state(FLEET) is LeadershipState.LEADER

    def test_one_unresponsive_vm_lets_the_lease_expire(self):
        # Guards against a former leader that doesn't detect its successor.
        clock = ManualClock()
        found = leader(clock)
        clock.advance(60.0)
        found.record_acknowledgement(TWO, clock.now_s())
        assert found.state((*FLEET, VmId("vm-3"))) is LeadershipState.LEASE_EXPIRED

    def test_late_report_counts_from_the_update_that_it_acknowledges(self):
        # Guards against an extended lease in a one-way partition, in which reports
        # arrive and updates are lost.
        clock = ManualClock()
        found = leader(clock)
        made_at_s = clock.now_s()
        clock.advance(LEADER_LEASE_S + 0.01)
        found.record_acknowledgement(TWO, made_at_s)
        assert found.state(FLEET) is LeadershipState.LEASE_EXPIRED

    def test_renewal_is_written_only_for_vms_that_do_not_report(self):
        # Guards against store calls while all VMs report.
        clock = ManualClock()
        found = leader(clock)
        clock.advance(LEASE_RENEWAL_INTERVAL_S)
        assert found.needs_renewal(FLEET)
        found.record_acknowledgement(TWO, clock.now_s())
        assert not found.needs_renewal(FLEET)


class TestTakeover:
    """Guards against a takeover that comes too early or never."""

    def test_vm_in_contact_with_the_leader_does_not_take_over(self):
        clock = ManualClock()
        found = leadership(clock, TWO)
        found.apply_record(leader(clock).record, Revision(1))
        clock.advance(TAKEOVER_TIMEOUT_S)
        found.record_leader_contact()
        clock.advance(TAKEOVER_TIMEOUT_S - 0.1)
        assert not found.may_take_over()
        clock.advance(0.2)
        assert found.may_take_over()

    def test_renewed_record_stops_a_takeover_by_a_partitioned_vm(self):
        # Guards against two leaders when one VM can't reach the leader.
        clock = ManualClock()
        found = leadership(clock, TWO)
        record = leader(clock).record
        found.apply_record(record, Revision(1))
        clock.advance(TAKEOVER_TIMEOUT_S - 0.1)
        found.apply_record(msgspec.structs.replace(record, renewals=1), Revision(2))
        clock.advance(0.2)
        assert not found.may_take_over()

    def test_released_leadership_is_taken_over_immediately(self):
        clock = ManualClock()
        found = leadership(clock, TWO)
        record = msgspec.structs.replace(leader(clock).record, is_released=True)
        found.apply_record(record, Revision(2))
        assert found.may_take_over()

    def test_small_vm_leaves_the_takeover_to_a_larger_one(self):
        # Guards against a leader that is too slow for the reports of a large fleet:
        # it answered no report within half a second, and operations were refused.
        clock = ManualClock()
        found = Leadership(
            vm=TWO, incarnation=Incarnation(2), clock=clock, cores=SMALL_VM_CORES / 2
        )
        found.apply_record(leader(clock).record, Revision(1))
        clock.advance(TAKEOVER_TIMEOUT_S)
        assert not found.may_take_over()
        clock.advance(SMALL_VM_DELAY_S)
        assert found.may_take_over()

    def test_small_vm_takes_over_if_no_other_vm_does(self):
        clock = ManualClock()
        found = Leadership(
            vm=TWO, incarnation=Incarnation(2), clock=clock, cores=SMALL_VM_CORES / 2
        )
        for _ in range(11):
            found.apply_record(None, Revision(0))
            clock.advance(SMALL_VM_DELAY_S / 10)
        assert found.may_take_over()

    def test_restarted_holder_takes_over_again_immediately(self):
        clock = ManualClock()
        record = leader(clock).record
        found = Leadership(vm=ONE, incarnation=Incarnation(2), clock=clock)
        found.apply_record(record, Revision(1))
        assert found.state(FLEET) is LeadershipState.FOLLOWER
        assert found.may_take_over()

    def test_token_grows_with_each_holder(self):
        # Guards against a promotion with a lower fencing token than one already used.
        clock = ManualClock()
        found = leadership(clock, TWO)
        found.apply_record(
            LeaderRecord(
                holder=ONE, incarnation=Incarnation(1), address=ADDRESS, token=6
            ),
            Revision(6),
        )
        assert found.next_record(ADDRESS).token == 7

    def test_token_of_a_missing_record_is_above_the_store_s_revision(self):
        # Guards against tokens that begin anew after another writer has removed the
        # record.
        found = leadership(ManualClock(), TWO)
        record = found.next_record(ADDRESS, store_revision=Revision(41))
        assert record.token == 42

    def test_token_is_above_that_of_an_old_record_that_was_put_back(self):
        # Guards against a token that an earlier leader has used, at a VM that has just
        # started.
        found = leadership(ManualClock(), TWO)
        found.apply_record(leader(ManualClock()).record, Revision(30))
        assert found.next_record(ADDRESS).token == 31

    def test_older_record_is_ignored(self):
        # Guards against an outdated record in a late answer from the store.
        clock = ManualClock()
        found = leader(clock)
        older = msgspec.structs.replace(found.record, token=0, holder=TWO)
        found.apply_record(older, Revision(0))
        assert found.is_holder


class TestRenewalAttempts:
    def test_refused_renewals_are_not_repeated_at_once(self):
        # Guards against ten billed calls a second of a leader that is turned away.
        clock = ManualClock()
        found = leader(clock)
        clock.advance(LEASE_RENEWAL_INTERVAL_S)
        attempts = 0
        for _ in range(10):
            if found.needs_renewal(FLEET):
                attempts += 1
                found.record_renewal_attempt()
            clock.advance(0.1)
        assert attempts == 3


class TestUnreadableRecord:
    """Guards against a leader record that another writer has made invalid."""

    def test_new_vm_waits_as_for_an_unreachable_leader(self):
        # The leader may hold its lease without the record.
        clock = ManualClock()
        found = leadership(clock, TWO)
        found.apply_unreadable_record(Revision(5))
        assert not found.may_take_over()
        clock.advance(TAKEOVER_TIMEOUT_S + 0.01)
        assert found.may_take_over()

    def test_record_is_replaced_and_not_created(self):
        # Guards against a fleet that never finds a leader again.
        found = leadership(ManualClock(), TWO)
        found.apply_unreadable_record(Revision(5))
        assert found.is_stored
        assert found.revision == 5

    def test_token_is_above_those_of_all_former_leaders(self):
        # Guards against a promotion with a lower fencing token than one already used.
        clock = ManualClock()
        known, unknown = leader(clock), leadership(clock, TWO)
        for found in (known, unknown):
            found.apply_unreadable_record(Revision(5))
        assert known.next_record(ADDRESS).token > 1
        # Each token is at most the revision of the write that stored it.
        assert unknown.next_record(ADDRESS).token == 6

    def test_leader_whose_record_was_spoiled_no_longer_leads(self):
        # Guards against two leaders: the spoiled record may have been a successor's.
        found = leader(ManualClock())
        found.apply_unreadable_record(Revision(5))
        assert found.state(FLEET) is LeadershipState.FOLLOWER

    def test_earlier_record_that_was_put_back_is_not_followed(self):
        clock = ManualClock()
        found = leader(clock)
        older = msgspec.structs.replace(found.record, token=0, holder=TWO)
        found.apply_record(older, Revision(9))
        assert found.record is None
        assert found.next_record(ADDRESS).token > 1


class TestStoreReturn:
    """Guards against leaders that rely on what the store has lost."""

    LATER = era_start(2)

    @staticmethod
    def later_revision(number: int) -> Revision:
        """Return a revision of the later era."""
        return Revision(era_start(2) + number)

    def test_restored_record_does_not_name_a_leader(self):
        # review/7: the VM that the restored record names led by it beside its
        # successor, whose record the store had lost.
        found = leader(ManualClock())
        restored = found.record
        found.record_era(self.LATER, lease_remaining_s=0.0)
        found.apply_record(restored, self.later_revision(1))
        assert found.state(FLEET) is LeadershipState.FOLLOWER
        assert not found.may_take_over()

    def test_restarted_holder_of_a_restored_record_does_not_take_over_at_once(self):
        # review/7: it promoted with a lower token than its successor had.
        clock = ManualClock()
        found = Leadership(vm=ONE, incarnation=Incarnation(2), clock=clock)
        found.record_era(self.LATER, lease_remaining_s=0.0)
        found.apply_record(leader(ManualClock()).record, self.later_revision(1))
        clock.advance(ERA_TAKEOVER_DELAY_S - 0.1)
        assert not found.may_take_over()
        clock.advance(0.2)
        assert found.may_take_over()

    def test_missing_record_is_not_taken_over_at_once(self):
        # The copy may be older than the first leader, which leads until it learns of
        # the return.
        clock = ManualClock()
        found = leadership(clock, TWO)
        found.record_era(self.LATER, lease_remaining_s=0.0)
        found.apply_record(None, Revision(0))
        assert not found.may_take_over()
        clock.advance(ERA_TAKEOVER_DELAY_S + 0.1)
        assert found.may_take_over()

    def test_token_is_above_those_of_earlier_eras_without_memory_of_them(self):
        # Guards against a lower token from a new VM, which can't know of the tokens
        # that the store has lost.
        found = leadership(ManualClock(), TWO)
        found.record_era(self.LATER, lease_remaining_s=0.0)
        record = found.next_record(ADDRESS, store_revision=Revision(3))
        assert record.token > era_start(1) + 2**39
        assert record.token > self.LATER

    def test_leader_of_the_later_era_is_followed_at_a_lower_number(self):
        # Guards against records that are ignored for good, since those of before the
        # return had higher revisions.
        clock = ManualClock()
        found = leadership(clock, TWO)
        found.apply_record(leader(clock).record, Revision(500))
        found.record_era(self.LATER, lease_remaining_s=0.0)
        record = LeaderRecord(
            holder=ONE,
            incarnation=Incarnation(1),
            address=ADDRESS,
            token=self.LATER + 4,
        )
        found.apply_record(record, self.later_revision(4))
        assert found.record is record
        assert not found.may_take_over()

    def test_leader_resumes_only_while_its_lease_lasts(self):
        # Guards against two leaders: after that time another VM may take over.
        clock = ManualClock()
        found = leader(clock)
        found.record_era(self.LATER, lease_remaining_s=LEADER_LEASE_S)
        assert found.is_resumable
        assert found.may_take_over()
        assert found.state(FLEET) is LeadershipState.FOLLOWER
        clock.advance(LEADER_LEASE_S)
        assert not found.is_resumable
        assert not found.may_take_over()

    def test_resumed_leader_leads_by_a_new_record(self):
        clock = ManualClock()
        found = leader(clock)
        found.record_era(self.LATER, lease_remaining_s=LEADER_LEASE_S)
        record = found.next_record(ADDRESS)
        found.record_renewal(
            record, self.later_revision(2), clock.now_s(), is_resumed=True
        )
        assert found.state(FLEET) is LeadershipState.LEADER
        assert found.has_resumed
        found.record_era(era_start(3), lease_remaining_s=0.0)
        assert not found.has_resumed

    def test_lost_answer_to_the_resumption_does_not_end_it(self):
        # The record was written, and is read after the next attempt has conflicted.
        clock = ManualClock()
        found = leader(clock)
        found.record_era(self.LATER, lease_remaining_s=LEADER_LEASE_S)
        found.apply_record(found.next_record(ADDRESS), self.later_revision(2))
        assert found.is_holder
        assert found.has_resumed

    def test_second_return_does_not_end_the_resumption(self):
        # Guards against 6 s without a leader at two returns in a row.
        clock = ManualClock()
        found = leader(clock)
        found.record_era(self.LATER, lease_remaining_s=LEADER_LEASE_S)
        clock.advance(LEADER_LEASE_S / 2)
        found.record_era(era_start(3), lease_remaining_s=0.0)
        assert found.is_resumable
        clock.advance(LEADER_LEASE_S / 2)
        assert not found.is_resumable

    def test_refused_resumptions_are_not_repeated_at_once(self):
        # Guards against a billed call in each turn of a leader that is turned away.
        clock = ManualClock()
        found = leader(clock)
        found.record_era(self.LATER, lease_remaining_s=LEADER_LEASE_S)
        assert found.needs_resumption()
        found.record_renewal_attempt()
        assert not found.needs_resumption()
        clock.advance(0.5)
        assert found.needs_resumption()

    def test_leader_that_ends_its_leadership_does_not_resume(self):
        found = leader(ManualClock())
        found.is_releasing = True
        found.record_era(self.LATER, lease_remaining_s=LEADER_LEASE_S)
        assert not found.is_resumable

    def test_acknowledgements_of_an_earlier_era_prove_no_lease(self):
        # Guards against a lease that rests on VMs which follow another leader by now.
        clock = ManualClock()
        found = leader(clock)
        found.record_acknowledgement(TWO, clock.now_s() + 60.0)
        found.record_era(self.LATER, lease_remaining_s=0.0)
        found.record_renewal(
            found.next_record(ADDRESS), self.later_revision(2), clock.now_s()
        )
        clock.advance(LEADER_LEASE_S + 0.1)
        assert found.state(FLEET) is LeadershipState.LEASE_EXPIRED


class TestRestoredGroups:
    """Guards against group states of the copy that are taken for the latest."""

    def test_states_are_trusted_once_a_leader_has_restored_them(self):
        clock = ManualClock()
        first, second = leader(clock), leadership(clock, TWO)
        assert first.may_trust_groups and second.may_trust_groups
        for found in (first, second):
            found.record_era(era_start(2), lease_remaining_s=0.0)
        first.record_renewal(
            first.next_record(ADDRESS), Revision(era_start(2) + 2), clock.now_s()
        )
        second.apply_record(first.record, Revision(era_start(2) + 2))
        assert not first.may_trust_groups and not second.may_trust_groups
        first.has_restored_groups = True
        assert first.needs_renewal(FLEET)
        record = first.next_record(ADDRESS)
        second.apply_record(record, Revision(era_start(2) + 3))
        assert second.may_trust_groups

    def test_next_leader_of_the_era_need_not_restore_them_again(self):
        clock = ManualClock()
        found = leadership(clock, TWO)
        found.record_era(era_start(2), lease_remaining_s=0.0)
        record = LeaderRecord(
            holder=ONE,
            incarnation=Incarnation(1),
            address=ADDRESS,
            token=era_start(2) + 4,
            has_restored_groups=True,
        )
        found.apply_record(record, Revision(era_start(2) + 4))
        assert found.next_record(ADDRESS).has_restored_groups

    def test_later_return_undoes_it(self):
        found = leadership(ManualClock())
        found.record_era(era_start(2), lease_remaining_s=0.0)
        found.has_restored_groups = True
        found.record_era(era_start(3), lease_remaining_s=0.0)
        assert not found.may_trust_groups
