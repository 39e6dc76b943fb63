"""Table of the VMs that this VM knows of, and the choice of ping targets."""

from bisect import bisect, insort
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from ebonyladder.kernel.clock import Clock
from ebonyladder.messages import PeerRecord
from ebonyladder.routing import rendezvous_score
from ebonyladder.store import ListedVm
from ebonyladder.types import Address, Incarnation, VmId, VmState, ZoneId

PING_FAILURE_TIMEOUT_S = 3.0
PING_INTERVAL_S = 1.0
# A single failed ping may be due to a pause of this VM itself.
MIN_FAILED_PINGS = 2
RING_PINGS = 4
RANDOM_PINGS = 2
MAX_CHECKS = 32
# Enough for an update to reach 3,600 VMs that send 12 messages a second each.
SENDS_PER_UPDATE = 12
MAX_UPDATES_PER_MESSAGE = 32
# Ages omit the transit time of each message that relays a record, so contact times
# that differ by less say nothing about their order.
AGE_MARGIN_S = 1.0
MEMBER_RETENTION_S = 600.0
MAX_MEMBERS = 8_192
NEVER_S = float("-inf")


@dataclass(slots=True, kw_only=True)
class Member:
    """State of another VM as known to this one; times are on this VM's clock.

    Attributes
    ----------
    listed : VmState, optional
        State in the platform's list; None if the list doesn't name the VM.
    last_contact_at_s : float
        Latest contact that any VM had with this one, as far as known here.
    last_answer_at_s : float
        Time at which this VM sent the latest ping that was answered.
    failures : int
        Calls without an answer since the last answered ping.
    failing_since_s : float
        Start of the time without an answer to this VM; infinite if it answers.
    unresponsive_since_s : float, optional
        Start of the time without contact to any VM; None if it is responsive.
    """

    vm: VmId
    zone: ZoneId
    address: Address
    incarnation: Incarnation = Incarnation(0)
    state: VmState = VmState.ACTIVE
    listed: VmState | None = None
    last_contact_at_s: float = NEVER_S
    last_answer_at_s: float = NEVER_S
    failures: int = 0
    failing_since_s: float = float("inf")
    unresponsive_since_s: float | None = None

    def is_unreachable(self, now_s: float) -> bool:
        """Tell whether the VM has left the pings of this VM unanswered for 3 s."""
        return (
            self.failures >= MIN_FAILED_PINGS
            and now_s - self.failing_since_s >= PING_FAILURE_TIMEOUT_S
        )

    def is_live(self, now_s: float) -> bool:
        """Tell whether the VM is responsive and this VM can reach it."""
        return (
            self.last_contact_at_s != NEVER_S
            and self.unresponsive_since_s is None
            and not self.is_unreachable(now_s)
        )


class MemberTable:
    """Records of other VMs.

    A VM stays live without contact to this VM: its ring neighbours ping it each
    second and report it if it stops answering. This keeps the traffic of a VM
    independent of the size of the fleet.

    Parameters
    ----------
    vm : VmId
        This VM, which is not in the table.
    clock : Clock
        Clock for ages and timeouts.
    random : Random
        Source of the random choice of peers.
    """

    def __init__(self, *, vm: VmId, clock: Clock, random: Random) -> None:
        self.vm = vm
        self.clock = clock
        self.random = random
        self.members: dict[VmId, Member] = {}
        self.pending_updates: dict[VmId, int] = {}
        self.ring: list[tuple[int, VmId]] = []
        self.cached_live: list[Member] | None = None
        self.cached_ring: list[VmId] = []

    def live(self) -> list[Member]:
        """Return the live VMs, sorted by name.

        The same list is returned until the view changes; ``check_liveness`` detects
        VMs that become unreachable merely because time passes.
        """
        if self.cached_live is None:
            now_s = self.clock.now_s()
            live = {vm: m for vm, m in self.members.items() if m.is_live(now_s)}
            self.cached_live = [live[vm] for vm in sorted(live)]
            self.cached_ring = [vm for _, vm in self.ring if vm in live]
        return self.cached_live

    def is_complete(self) -> bool:
        """Tell whether the list names other VMs and all of them are live."""
        now_s = self.clock.now_s()
        listed = [m for m in self.members.values() if m.listed is not None]
        return bool(listed) and all(member.is_live(now_s) for member in listed)

    def is_live(self, vm: VmId) -> bool:
        """Tell whether the VM is known, responsive and reachable."""
        member = self.members.get(vm)
        return member is not None and member.is_live(self.clock.now_s())

    def merge_list(self, entries: Iterable[ListedVm]) -> None:
        """Merge the platform's list; a VM missing from it stays while it is live."""
        listed = {entry.vm: entry for entry in entries if entry.vm != self.vm}
        for entry in listed.values():
            member = self.members.get(entry.vm) or self._add(
                Member(vm=entry.vm, zone=entry.zone, address=entry.peer_address)
            )
            # Only a change of the state is applied: the list lags and may still
            # show a VM as draining after it has restarted.
            if member.listed is not entry.state and entry.state is VmState.DRAIN:
                member.state = VmState.DRAIN
                self._queue_update(entry.vm)
            member.listed = entry.state
        now_s = self.clock.now_s()
        for vm, member in list(self.members.items()):
            if vm not in listed:
                member.listed = None
                if not member.is_live(now_s):
                    self._remove(vm)

    def merge(self, record: PeerRecord) -> bool:
        """Merge a record from a peer; False if this VM has a newer record."""
        if record.vm == self.vm:
            return True
        now_s = self.clock.now_s()
        last_contact_at_s = now_s - record.last_contact_ago_s
        member = self.members.get(record.vm)
        if member is None:
            if record.is_unresponsive:
                return True
            member = self._add(self._member_of(record))
        if record.incarnation < member.incarnation:
            return False
        if record.incarnation > member.incarnation:
            member = self._replace_restarted(member, record)
        if record.state is VmState.DRAIN and member.state is not VmState.DRAIN:
            member.state = VmState.DRAIN
            self._queue_update(member.vm)
        if record.is_unresponsive:
            return self._merge_unresponsive(member, last_contact_at_s, now_s)
        self._merge_live(member, last_contact_at_s)
        return last_contact_at_s + AGE_MARGIN_S >= member.last_contact_at_s

    def _merge_unresponsive(
        self, member: Member, last_contact_at_s: float, now_s: float
    ) -> bool:
        if member.last_contact_at_s > last_contact_at_s + AGE_MARGIN_S:
            return False
        if (
            member.unresponsive_since_s is None
            and now_s - member.last_contact_at_s >= PING_FAILURE_TIMEOUT_S
        ):
            member.unresponsive_since_s = last_contact_at_s
            self._queue_update(member.vm)
        return True

    def _merge_live(self, member: Member, last_contact_at_s: float) -> None:
        if member.last_contact_at_s == NEVER_S:
            self._queue_update(member.vm)
        member.last_contact_at_s = max(member.last_contact_at_s, last_contact_at_s)
        since_s = member.unresponsive_since_s
        if since_s is not None and last_contact_at_s > since_s + AGE_MARGIN_S:
            member.unresponsive_since_s = None
            self._queue_update(member.vm)

    def record_ping(self, record: PeerRecord) -> None:
        """Record a ping from a VM, which carries its own record."""
        self.merge(record)

    def record_pong(self, record: PeerRecord, *, sent_at_s: float) -> None:
        """Record the answer to a ping that was sent at ``sent_at_s``."""
        self.merge(record)
        member = self.members.get(record.vm)
        if member is None:
            return
        member.last_answer_at_s = max(member.last_answer_at_s, sent_at_s)
        if member.failures:
            self.cached_live = None
        member.failures = 0
        member.failing_since_s = float("inf")

    def mark_draining(self, vm: VmId) -> None:
        """Record that a VM has refused work because it drains."""
        member = self.members.get(vm)
        if member is not None and member.state is not VmState.DRAIN:
            member.state = VmState.DRAIN
            self._queue_update(vm)

    def record_failure(self, vm: VmId, *, sent_at_s: float) -> None:
        """Record that a call sent at ``sent_at_s`` had no answer."""
        member = self.members.get(vm)
        if member is None or member.last_answer_at_s > sent_at_s:
            return
        member.failures += 1
        start_s = max(member.last_answer_at_s, sent_at_s - PING_INTERVAL_S)
        member.failing_since_s = min(member.failing_since_s, start_s)

    def check_liveness(self) -> None:
        """Mark unresponsive VMs; remove those that have been so for 600 s."""
        now_s = self.clock.now_s()
        suspects = [
            (vm, member)
            for vm, member in self.members.items()
            if member.failures or member.unresponsive_since_s is not None
        ]
        if suspects:
            self.cached_live = None
        for vm, member in suspects:
            if (
                member.unresponsive_since_s is None
                and member.is_unreachable(now_s)
                and now_s - member.last_contact_at_s >= PING_FAILURE_TIMEOUT_S
            ):
                member.unresponsive_since_s = max(
                    member.last_contact_at_s, now_s - MEMBER_RETENTION_S
                )
                self._queue_update(vm)
            since_s = member.unresponsive_since_s
            if since_s is not None and now_s - since_s > MEMBER_RETENTION_S:
                self._remove(vm)

    def record_of(self, member: Member) -> PeerRecord:
        """Return the record of a member that is sent to other VMs."""
        ago_s = self.clock.now_s() - member.last_contact_at_s
        return PeerRecord(
            vm=member.vm,
            zone=member.zone,
            address=member.address,
            incarnation=member.incarnation,
            state=member.state,
            last_contact_ago_s=round(min(ago_s, MEMBER_RETENTION_S), 3),
            is_unresponsive=member.unresponsive_since_s is not None,
        )

    def take_updates(self) -> list[PeerRecord]:
        """Return records for one message: least often sent updates, then suspects."""
        chosen = sorted(self.pending_updates, key=lambda vm: -self.pending_updates[vm])[
            :MAX_UPDATES_PER_MESSAGE
        ]
        for vm in chosen:
            self.pending_updates[vm] -= 1
            if self.pending_updates[vm] <= 0:
                del self.pending_updates[vm]
        suspects = [
            m for m in self.members.values() if m.failures and m.vm not in chosen
        ]
        members = [self.members[vm] for vm in chosen] + suspects[:MAX_CHECKS]
        return [self.record_of(m) for m in members if m.last_contact_at_s != NEVER_S]

    def merge_all(self, records: Iterable[PeerRecord]) -> list[PeerRecord]:
        """Merge records and return those of which this VM has a newer one."""
        return [
            self.record_of(self.members[record.vm])
            for record in records
            if not self.merge(record) and record.vm in self.members
        ]

    def ping_targets(self) -> list[VmId]:
        """Return the VMs to ping now.

        These are ring neighbours, random VMs, VMs whose last call failed and
        listed VMs that no VM has had contact with yet.
        """
        self.live()
        live = self.cached_ring
        own_position = (rendezvous_score("ring", self.vm), self.vm)
        ring_index = bisect(
            live, own_position, key=lambda vm: (rendezvous_score("ring", vm), vm)
        )
        offsets = [d for k in range(RING_PINGS // 2) for d in (k, -k - 1)]
        chosen = (
            {live[(ring_index + d) % len(live)] for d in offsets} if live else set()
        )
        target_count = min(RING_PINGS + RANDOM_PINGS, len(self.ring))
        while len(chosen) < target_count:
            chosen.add(self.random.choice(self.ring)[1])
        checks = [
            m.vm
            for m in self.members.values()
            if m.unresponsive_since_s is None
            and (m.failures or m.last_contact_at_s == NEVER_S)
        ]
        return sorted(chosen | set(checks[:MAX_CHECKS]))

    def _add(self, member: Member) -> Member:
        if len(self.members) >= MAX_MEMBERS:
            oldest = min(self.members.values(), key=lambda m: m.last_contact_at_s)
            self._remove(oldest.vm)
        self.cached_live = None
        self.members[member.vm] = member
        insort(self.ring, (rendezvous_score("ring", member.vm), member.vm))
        return member

    def _remove(self, vm: VmId) -> None:
        self.cached_live = None
        del self.members[vm]
        self.pending_updates.pop(vm, None)
        self.ring.remove((rendezvous_score("ring", vm), vm))

    def _replace_restarted(self, member: Member, record: PeerRecord) -> Member:
        replacement = self._member_of(record)
        replacement.listed = member.listed
        replacement.last_contact_at_s = self.clock.now_s() - record.last_contact_ago_s
        self.members[member.vm] = replacement
        self._queue_update(member.vm)
        return replacement

    def _queue_update(self, vm: VmId) -> None:
        self.pending_updates[vm] = SENDS_PER_UPDATE
        self.cached_live = None

    @staticmethod
    def _member_of(record: PeerRecord) -> Member:
        return Member(
            vm=record.vm,
            zone=record.zone,
            address=record.address,
            incarnation=record.incarnation,
            state=record.state,
        )
