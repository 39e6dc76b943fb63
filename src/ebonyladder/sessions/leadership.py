"""Duty of one VM at a time: to change primaries and to divide rates.

The record of the duty lies in the store and changes only by a conditional write.
Between writes the leader is certain of its duty while every other VM of the fleet
has reported to it lately, since a VM that has just reported doesn't take over.
This needs no store calls on a calm day, and an outage of the store ends no duty.
"""

from collections.abc import Iterable
from enum import Enum

import msgspec

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.objects import Revision
from ebonyladder.types import Address, Incarnation, VmId

# A VM takes over when it has heard nothing of the leader, neither directly nor in
# the store, for this long, in seconds.
TAKEOVER_S = 3.0
# The leader counts on its duty for this long after a report or a write, in seconds;
# the difference covers clock rates and the time to act.
DUTY_S = 2.4
# Store renewals while some VM doesn't report, in seconds.
RENEWAL_S = 1.2
# A VM with less processor than this leaves a takeover to others for this much longer,
# in seconds: the leader answers the whole fleet, and one of half a core is too slow
# for the reports of 72 VMs.
SMALL_CORES = 1.0
SMALL_DELAY_S = 1.0
LEADER_NAME = "leader"


class LeaderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Record of the duty in the store.

    Attributes
    ----------
    token : int
        Fencing token; grows with each change of the holder.
    renewals : int
        Grows with each renewal of the same holder.
    is_released : bool
        Whether the holder has given the duty up.
    """

    holder: VmId
    incarnation: Incarnation
    address: Address
    token: int
    renewals: int = 0
    is_released: bool = False


class LeadershipState(Enum):
    """This VM's relation to the duty."""

    FOLLOWER = "follower"
    LEADER = "leader"
    UNCERTAIN = "uncertain"


class Leadership:
    """What this VM knows of the duty, and what it may do.

    Parameters
    ----------
    vm : VmId
        This VM.
    incarnation : Incarnation
        Start number of this process.
    clock : Clock
        Clock that counts time while the VM is suspended.
    cores : float
        Processor that this VM may use.
    """

    def __init__(
        self,
        *,
        vm: VmId,
        incarnation: Incarnation,
        clock: Clock,
        cores: float = SMALL_CORES,
    ) -> None:
        self.vm = vm
        self.delay_s = SMALL_DELAY_S if cores < SMALL_CORES else 0.0
        self.started_s = clock.now_s()
        self.incarnation = incarnation
        self.clock = clock
        self.record: LeaderRecord | None = None
        self.revision = Revision(0)
        self.seen_s = clock.now_s()
        self.exchanged_s = float("-inf")
        self.stored_s = float("-inf")
        self.taken_s = clock.now_s()
        self.heard_s: dict[VmId, float] = {}

    def observe(self, record: LeaderRecord | None, revision: Revision) -> None:
        """Take over what the store holds."""
        if revision == self.revision and record is not None:
            return
        known = self.record
        if known is not None and record is not None and record.token < known.token:
            return
        self.record = record
        self.revision = revision
        self.seen_s = self.clock.now_s()

    def note_written(
        self, record: LeaderRecord, revision: Revision, sent_s: float
    ) -> None:
        """Note that this VM's own record was written by a call sent at ``sent_s``."""
        if not self.is_holder:
            self.taken_s = sent_s
        self.observe(record, revision)
        self.stored_s = sent_s

    def note_exchange(self) -> None:
        """Note an answer of the leader that was certain of its duty."""
        self.exchanged_s = self.clock.now_s()

    def note_heard(self, vm: VmId, at_s: float) -> None:
        """Note that a VM has received this leader's orders made at ``at_s``.

        The VM counts its pause before a takeover from a later time than that, so
        orders that were lost on the way never extend the duty.
        """
        self.heard_s[vm] = max(at_s, self.heard_s.get(vm, at_s))

    @property
    def is_holder(self) -> bool:
        """Whether the record names this process."""
        record = self.record
        return (
            record is not None
            and record.holder == self.vm
            and record.incarnation == self.incarnation
            and not record.is_released
        )

    def standing(self, vms: Iterable[VmId]) -> LeadershipState:
        """Return whether this VM may act as the leader now."""
        if not self.is_holder:
            return LeadershipState.FOLLOWER
        now_s = self.clock.now_s()
        if now_s - self.stored_s < DUTY_S:
            return LeadershipState.LEADER
        others = [vm for vm in vms if vm != self.vm]
        never_s = float("-inf")
        if all(now_s - self.heard_s.get(vm, never_s) < DUTY_S for vm in others):
            return LeadershipState.LEADER
        return LeadershipState.UNCERTAIN

    def needs_renewal(self, vms: Iterable[VmId]) -> bool:
        """Tell whether the holder has to write its record again."""
        now_s = self.clock.now_s()
        if not self.is_holder or now_s - self.stored_s < RENEWAL_S:
            return False
        never_s = float("-inf")
        return any(
            now_s - self.heard_s.get(vm, never_s) >= RENEWAL_S
            for vm in vms
            if vm != self.vm
        )

    def may_take_over(self) -> bool:
        """Tell whether this VM may write itself into the record."""
        record = self.record
        now_s = self.clock.now_s()
        is_former = (
            record is not None
            and record.holder == self.vm
            and record.incarnation != self.incarnation
        )
        if record is None or is_former:
            return now_s - self.started_s >= self.delay_s
        if record.is_released:
            return now_s - self.seen_s >= self.delay_s
        pause_s = TAKEOVER_S + self.delay_s
        return now_s - self.exchanged_s >= pause_s and now_s - self.seen_s >= pause_s

    def next_record(self, address: Address) -> LeaderRecord:
        """Return the record with which this VM takes or renews the duty."""
        if self.is_holder:
            return msgspec.structs.replace(
                self.record, renewals=self.record.renewals + 1
            )
        return LeaderRecord(
            holder=self.vm,
            incarnation=self.incarnation,
            address=address,
            token=(self.record.token if self.record else 0) + 1,
        )
