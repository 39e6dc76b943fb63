"""Leader lease: at most one VM runs failovers and grants permits.

The leader record is in the store and changes only by a conditional write. Between
writes the leader lease stays valid while every other VM of the fleet has recently
acknowledged an update of the leader, since such a VM doesn't take over. So no store
calls are needed while all VMs report, and an outage of the store doesn't end the
leadership.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.objects import Revision
from ebonyladder.types import Address, Incarnation, VmId

# A VM takes over after this long without contact with the leader, neither directly nor
# through the store, in seconds.
TAKEOVER_TIMEOUT_S = 3.0
# The leader lease is valid for this long after an acknowledged update or a write, in
# seconds; the difference to the takeover timeout covers differing clock rates and the
# time to act.
LEADER_LEASE_S = 2.4
# Interval of renewals in the store while some VM doesn't report, in seconds.
LEASE_RENEWAL_INTERVAL_S = 1.2
# Interval of attempts while the store refuses them, in seconds: refused calls are
# billed too.
RENEWAL_RETRY_INTERVAL_S = 0.4
# A VM that doesn't know of a leader in the store's present era takes over after this
# long, in seconds: until then every VM that the former leader counts on, or that leader
# itself, has learned of the era. A watch on a silent connection ends after 3 s, the
# backoff after that is at most 1.6 s, a report follows within 0.8 s.
ERA_TAKEOVER_DELAY_S = 6.0
# A VM with fewer cores than this waits this much longer before a takeover, in seconds:
# the leader answers the whole fleet, and half a core is too slow for the reports of 72
# VMs.
SMALL_VM_CORES = 1.0
SMALL_VM_DELAY_S = 1.0
LEADER_NAME = "leader"
NO_REVISION = Revision(0)


class LeaderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Leader record in the store.

    Attributes
    ----------
    token : int
        Fencing token; grows with each change of the holder.
    renewals : int
        Grows with each renewal of the same holder.
    is_released : bool
        Whether the holder has released the leadership.
    has_restored_groups : bool
        Whether a leader of the store's present era has written all group states, so
        that VMs may rely on those in the store.
    """

    holder: VmId
    incarnation: Incarnation
    address: Address
    token: int
    renewals: int = 0
    is_released: bool = False
    has_restored_groups: bool = False


class LeadershipState(Enum):
    """Leader state of this VM."""

    FOLLOWER = "follower"
    LEADER = "leader"
    LEASE_EXPIRED = "uncertain"


class Leadership:
    """This VM's view of the leader lease, and whether it may lead or take over.

    Parameters
    ----------
    vm : VmId
        This VM.
    incarnation : Incarnation
        Incarnation of this process.
    clock : Clock
        Clock that also advances while the VM is paused.
    cores : float
        Processor cores that this VM may use.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        incarnation: Incarnation,
        clock: Clock,
        cores: float = SMALL_VM_CORES,
    ) -> None:
        self.vm = vm
        self.takeover_delay_s = SMALL_VM_DELAY_S if cores < SMALL_VM_CORES else 0.0
        self.started_at_s = clock.now_s()
        self.incarnation = incarnation
        self.clock = clock
        self.record: LeaderRecord | None = None
        # Whether the stored record is invalid, so that its holder isn't known.
        self.is_unreadable = False
        # Highest fencing token of a valid record.
        self.highest_token = 0
        self.revision = NO_REVISION
        self.record_changed_at_s = clock.now_s()
        self.leader_contact_at_s = float("-inf")
        self.renewed_at_s = float("-inf")
        self.renewal_attempt_at_s = float("-inf")
        self.acquired_at_s = clock.now_s()
        self.acknowledged_at_s: dict[VmId, float] = {}
        # Whether this VM no longer leads, although the store may still name it.
        self.is_releasing = False
        # Number below the tokens of the store's present era, and when it was learned.
        self.era_start = 0
        self.era_known_at_s = float("-inf")
        # Until then no other VM takes over from this one, which led when the store came
        # back from an older copy.
        self.resumable_until_s = float("-inf")
        # Whether this VM has led without a break since before the present era.
        self.has_resumed = False
        self.has_restored_groups = False

    def record_era(self, era_start: int, *, lease_remaining_s: float) -> None:
        """Record that a later era of the store has begun.

        What this VM knows of the record was written in an earlier era, and the store
        may have lost it. No VM leads by such a record: the one that the store names may
        have been replaced since.

        Parameters
        ----------
        lease_remaining_s : float
            For how long this VM's lease stays valid, 0 if it doesn't lead. It may take
            the leadership again in this time without a pause.
        """
        now_s = self.clock.now_s()
        if not self.is_resumable:
            self.resumable_until_s = now_s + lease_remaining_s
        self.era_start = era_start
        self.era_known_at_s = now_s
        self.has_resumed = False
        self.has_restored_groups = False
        self.record = None
        self.is_unreadable = False
        self.renewed_at_s = float("-inf")
        self.acknowledged_at_s.clear()

    @property
    def is_resumable(self) -> bool:
        """Whether this VM led until the store came back, and may go on at once."""
        return (
            self.record is None
            and not self.is_releasing
            and self.clock.now_s() < self.resumable_until_s
        )

    def needs_resumption(self) -> bool:
        """Tell whether this VM has to write its record again to go on leading."""
        is_retry_due = (
            self.clock.now_s() - self.renewal_attempt_at_s >= RENEWAL_RETRY_INTERVAL_S
        )
        return self.is_resumable and is_retry_due

    @property
    def may_trust_groups(self) -> bool:
        """Whether the group states in the store are the latest ones.

        After the store has come back from an older copy they may name a former primary
        until a leader of the present era has written them again.
        """
        return not self.era_start or self.has_restored_groups

    def apply_record(self, record: LeaderRecord | None, revision: Revision) -> None:
        """Apply the record that was read from the store."""
        if revision == self.revision and record is not None:
            return
        if record is not None and revision < self.revision:
            # The answer to an earlier read arrived later.
            return
        if record is not None and record.token < max(
            self.highest_token, self.era_start
        ):
            # Another writer has put an earlier record back, or it is one of the copy
            # from which the store came back.
            self.apply_unreadable_record(revision)
            return
        was_resumable = self.is_resumable
        self._set_record(record, revision)
        # The answer to this VM's own write was lost.
        self.has_resumed |= was_resumable and self.is_named

    def apply_unreadable_record(self, revision: Revision) -> None:
        """Apply a record that another writer has made invalid.

        Its holder may be any VM, so this VM no longer leads by it, and takes over only
        after the same time as from a leader that it can't reach.
        """
        if revision == self.revision:
            return
        self.record = None
        self.is_unreadable = True
        self.revision = revision
        self.record_changed_at_s = self.clock.now_s()

    @property
    def is_stored(self) -> bool:
        """Whether the store has a record, which a conditional write replaces."""
        return self.record is not None or self.is_unreadable

    def record_renewal(
        self,
        record: LeaderRecord,
        revision: Revision,
        sent_at_s: float,
        *,
        is_resumed: bool = False,
    ) -> None:
        """Record that a call sent at ``sent_at_s`` wrote this VM's own record.

        Parameters
        ----------
        is_resumed : bool
            Whether this VM went on leading as the store came back.
        """
        if not self.is_named:
            self.acquired_at_s = sent_at_s
            self.has_resumed = is_resumed
        self._set_record(record, revision)
        self.renewed_at_s = sent_at_s

    def _set_record(self, record: LeaderRecord | None, revision: Revision) -> None:
        self.record = record
        self.is_unreadable = False
        if record is not None:
            self.highest_token = record.token
            self.has_restored_groups |= record.has_restored_groups
        self.revision = revision
        self.record_changed_at_s = self.clock.now_s()

    def record_leader_contact(self) -> None:
        """Record an update from a leader with a valid leader lease."""
        self.leader_contact_at_s = self.clock.now_s()

    def record_acknowledgement(self, vm: VmId, at_s: float) -> None:
        """Record that a VM has received this leader's update made at ``at_s``.

        The VM's takeover timeout starts later than that, so updates that were lost
        in transit never extend the leader lease.
        """
        self.acknowledged_at_s[vm] = max(at_s, self.acknowledged_at_s.get(vm, at_s))

    @property
    def is_holder(self) -> bool:
        """Whether the record names this process, which isn't giving it up."""
        return self.is_named and not self.is_releasing

    @property
    def is_named(self) -> bool:
        """Whether the record names this process."""
        record = self.record
        return (
            record is not None
            and record.holder == self.vm
            and record.incarnation == self.incarnation
            and record.token > self.era_start
            and not record.is_released
        )

    def state(self, vms: Iterable[VmId]) -> LeadershipState:
        """Return the leader state; only ``LEADER`` may act as the leader."""
        if not self.is_holder:
            return LeadershipState.FOLLOWER
        if self.lease_remaining_s(vms) > 0:
            return LeadershipState.LEADER
        return LeadershipState.LEASE_EXPIRED

    def lease_remaining_s(self, vms: Iterable[VmId]) -> float:
        """Return for how long the lease of the holder stays valid, in seconds."""
        never_s = float("-inf")
        oldest_s = min(
            (self.acknowledged_at_s.get(vm, never_s) for vm in vms if vm != self.vm),
            default=self.clock.now_s(),
        )
        last_proof_s = max(self.renewed_at_s, oldest_s)
        return last_proof_s + LEADER_LEASE_S - self.clock.now_s()

    def record_renewal_attempt(self) -> None:
        """Record that this VM tries to renew its record now."""
        self.renewal_attempt_at_s = self.clock.now_s()

    def needs_renewal(self, vms: Iterable[VmId]) -> bool:
        """Tell whether the holder has to renew its record in the store."""
        now_s = self.clock.now_s()
        if not self.is_holder:
            return False
        if now_s - self.renewal_attempt_at_s < RENEWAL_RETRY_INTERVAL_S:
            return False
        if self.has_restored_groups and not self.record.has_restored_groups:
            return True
        if now_s - self.renewed_at_s < LEASE_RENEWAL_INTERVAL_S:
            return False
        never_s = float("-inf")
        return any(
            now_s - self.acknowledged_at_s.get(vm, never_s) >= LEASE_RENEWAL_INTERVAL_S
            for vm in vms
            if vm != self.vm
        )

    def may_take_over(self) -> bool:
        """Tell whether this VM may write itself into the record."""
        record = self.record
        now_s = self.clock.now_s()
        was_holder_before_restart = (
            record is not None
            and record.holder == self.vm
            and record.incarnation != self.incarnation
        )
        if record is None and now_s - self.era_known_at_s < ERA_TAKEOVER_DELAY_S:
            return self.is_resumable
        is_missing = record is None and not self.is_unreadable
        if is_missing or was_holder_before_restart:
            return now_s - self.started_at_s >= self.takeover_delay_s
        if record is not None and record.is_released:
            return now_s - self.record_changed_at_s >= self.takeover_delay_s
        timeout_s = TAKEOVER_TIMEOUT_S + self.takeover_delay_s
        return (
            now_s - self.leader_contact_at_s >= timeout_s
            and now_s - self.record_changed_at_s >= timeout_s
        )

    def next_record(
        self, address: Address, *, store_revision: Revision = NO_REVISION
    ) -> LeaderRecord:
        """Return the record with which this VM acquires or renews the leader lease.

        A token is at most the revision of the write that stores it, so one above the
        revision of the record, or of the store if there is none, is above all earlier
        ones, also if another writer has removed the record or put an old one back. It
        is above those of all earlier eras, which begin below the present one.

        Parameters
        ----------
        store_revision : Revision
            Revision at which the store had no record.
        """
        if self.is_named:
            return msgspec.structs.replace(
                self.record,
                renewals=self.record.renewals + 1,
                has_restored_groups=self.has_restored_groups,
            )
        return LeaderRecord(
            holder=self.vm,
            incarnation=self.incarnation,
            address=address,
            token=max(self.highest_token, self.revision, store_revision, self.era_start)
            + 1,
            has_restored_groups=self.has_restored_groups,
        )
