"""Table of the VMs that this VM knows of, and the choice of those to ping."""

from bisect import bisect, insort
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from ebonyladder.kernel.clock import Clock
from ebonyladder.messages import PeerRecord
from ebonyladder.routing import rendezvous_score
from ebonyladder.store import ListedVm
from ebonyladder.types import Address, Incarnation, VmId, VmState, ZoneId

SILENCE_S = 3.0
PING_INTERVAL_S = 1.0
# A single failed ping may be due to a pause of this VM itself.
FAILED_PINGS = 2
RING_PINGS = 4
RANDOM_PINGS = 2
CHECKS_LIMIT = 32
# Enough for a change to reach 3,600 VMs with 12 messages a second each.
NEWS_SENDS = 12
NEWS_PER_MESSAGE = 32
# Ages lose the transit time at each hop, so nearly equal times prove nothing.
AGE_MARGIN_S = 1.0
FORGET_S = 600.0
MEMBERS_LIMIT = 8_192
NEVER = float("-inf")


@dataclass(slots=True, kw_only=True)
class Member:
    """What this VM knows of another one; times are on the own clock.

    Attributes
    ----------
    heard_at_s : float
        When somebody last heard from the VM.
    answered_at_s : float
        When it last answered this VM.
    failing_since_s : float
        Start of the silence towards this VM; infinite if it answers.
    silent_since_s : float, optional
        Start of the silence that others report.
    """

    vm: VmId
    zone: ZoneId
    address: Address
    incarnation: Incarnation = Incarnation(0)
    state: VmState = VmState.ACTIVE
    listed: VmState | None = None
    heard_at_s: float = NEVER
    answered_at_s: float = NEVER
    failures: int = 0
    failing_since_s: float = float("inf")
    silent_since_s: float | None = None

    def is_unreachable(self, now_s: float) -> bool:
        """Tell whether the VM has not answered this VM for 3 s."""
        return (
            self.failures >= FAILED_PINGS and now_s - self.failing_since_s >= SILENCE_S
        )

    def is_live(self, now_s: float) -> bool:
        """Tell whether somebody hears the VM and this VM can reach it."""
        return (
            self.heard_at_s != NEVER
            and self.silent_since_s is None
            and not self.is_unreachable(now_s)
        )


class MemberTable:
    """Records of other VMs.

    A VM stays live without being heard here: its ring neighbours ping it each
    second and report its silence. This keeps the traffic independent of the
    size of the fleet.

    Parameters
    ----------
    vm : VmId
        This VM, which is not in the table.
    clock : Clock
        Clock for ages and silence.
    random : Random
        Source of the random choice of peers.
    """

    def __init__(self, *, vm: VmId, clock: Clock, random: Random) -> None:
        self.vm = vm
        self.clock = clock
        self.random = random
        self.members: dict[VmId, Member] = {}
        self.news: dict[VmId, int] = {}
        self.ring: list[tuple[int, VmId]] = []
        self.cached_live: list[Member] | None = None
        self.cached_ring: list[VmId] = []

    def live(self) -> list[Member]:
        """Return the VMs that are heard and reachable, by name.

        The same list is returned until the view changes; ``review`` notices
        silence that only time brings.
        """
        if self.cached_live is None:
            now_s = self.clock.now_s()
            live = {vm: m for vm, m in self.members.items() if m.is_live(now_s)}
            self.cached_live = [live[vm] for vm in sorted(live)]
            self.cached_ring = [vm for _, vm in self.ring if vm in live]
        return self.cached_live

    def is_whole(self) -> bool:
        """Tell whether the list names other VMs and all of them are live."""
        now_s = self.clock.now_s()
        listed = [m for m in self.members.values() if m.listed is not None]
        return bool(listed) and all(member.is_live(now_s) for member in listed)

    def is_live(self, vm: VmId) -> bool:
        """Tell whether the VM is heard and reachable."""
        member = self.members.get(vm)
        return member is not None and member.is_live(self.clock.now_s())

    def merge_list(self, entries: Iterable[ListedVm]) -> None:
        """Add the platform's list; a missing VM stays while it answers."""
        listed = {entry.vm: entry for entry in entries if entry.vm != self.vm}
        for entry in listed.values():
            member = self.members.get(entry.vm) or self._add(
                Member(vm=entry.vm, zone=entry.zone, address=entry.peer_address)
            )
            # Only a change counts: the list lags and may still show a VM as
            # leaving after its next start.
            if member.listed is not entry.state and entry.state is VmState.DRAIN:
                member.state = VmState.DRAIN
                self._spread(entry.vm)
            member.listed = entry.state
        now_s = self.clock.now_s()
        for vm, member in list(self.members.items()):
            if vm not in listed:
                member.listed = None
                if not member.is_live(now_s):
                    self._forget(vm)

    def merge(self, record: PeerRecord) -> bool:
        """Add a record heard from a peer; False if this VM knows better."""
        if record.vm == self.vm:
            return True
        now_s = self.clock.now_s()
        heard_at_s = now_s - record.last_contact_ago_s
        member = self.members.get(record.vm)
        if member is None:
            if record.is_unresponsive:
                return True
            member = self._add(self._member_of(record))
        if record.incarnation < member.incarnation:
            return False
        if record.incarnation > member.incarnation:
            member = self._restart(member, record)
        if record.state is VmState.DRAIN and member.state is not VmState.DRAIN:
            member.state = VmState.DRAIN
            self._spread(member.vm)
        if record.is_unresponsive:
            return self._merge_silence(member, heard_at_s, now_s)
        self._merge_life(member, heard_at_s)
        return heard_at_s + AGE_MARGIN_S >= member.heard_at_s

    def _merge_silence(self, member: Member, heard_at_s: float, now_s: float) -> bool:
        if member.heard_at_s > heard_at_s + AGE_MARGIN_S:
            return False
        if member.silent_since_s is None and now_s - member.heard_at_s >= SILENCE_S:
            member.silent_since_s = heard_at_s
            self._spread(member.vm)
        return True

    def _merge_life(self, member: Member, heard_at_s: float) -> None:
        if member.heard_at_s == NEVER:
            self._spread(member.vm)
        member.heard_at_s = max(member.heard_at_s, heard_at_s)
        since_s = member.silent_since_s
        if since_s is not None and heard_at_s > since_s + AGE_MARGIN_S:
            member.silent_since_s = None
            self._spread(member.vm)

    def hear(self, record: PeerRecord) -> None:
        """Note that a VM has sent a message with its own record."""
        self.merge(record)

    def answered(self, record: PeerRecord, *, sent_at_s: float) -> None:
        """Note that a VM answered the ping that was sent at ``sent_at_s``."""
        self.merge(record)
        member = self.members.get(record.vm)
        if member is None:
            return
        member.answered_at_s = max(member.answered_at_s, sent_at_s)
        if member.failures:
            self.cached_live = None
        member.failures = 0
        member.failing_since_s = float("inf")

    def drain(self, vm: VmId) -> None:
        """Note that a VM has refused work because it drains."""
        member = self.members.get(vm)
        if member is not None and member.state is not VmState.DRAIN:
            member.state = VmState.DRAIN
            self._spread(vm)

    def failed(self, vm: VmId, *, sent_at_s: float) -> None:
        """Note that a call sent at ``sent_at_s`` had no answer."""
        member = self.members.get(vm)
        if member is None or member.answered_at_s > sent_at_s:
            return
        member.failures += 1
        start_s = max(member.answered_at_s, sent_at_s - PING_INTERVAL_S)
        member.failing_since_s = min(member.failing_since_s, start_s)

    def review(self) -> None:
        """Report silent VMs and forget those silent for long."""
        now_s = self.clock.now_s()
        doubtful = [
            (vm, member)
            for vm, member in self.members.items()
            if member.failures or member.silent_since_s is not None
        ]
        if doubtful:
            self.cached_live = None
        for vm, member in doubtful:
            if (
                member.silent_since_s is None
                and member.is_unreachable(now_s)
                and now_s - member.heard_at_s >= SILENCE_S
            ):
                member.silent_since_s = max(member.heard_at_s, now_s - FORGET_S)
                self._spread(vm)
            since_s = member.silent_since_s
            if since_s is not None and now_s - since_s > FORGET_S:
                self._forget(vm)

    def record_of(self, member: Member) -> PeerRecord:
        """Return what is sent to other VMs about a member."""
        ago_s = self.clock.now_s() - member.heard_at_s
        return PeerRecord(
            vm=member.vm,
            zone=member.zone,
            address=member.address,
            incarnation=member.incarnation,
            state=member.state,
            last_contact_ago_s=round(min(ago_s, FORGET_S), 3),
            is_unresponsive=member.silent_since_s is not None,
        )

    def take_news(self) -> list[PeerRecord]:
        """Return records for one message, those sent least often first."""
        chosen = sorted(self.news, key=lambda vm: -self.news[vm])[:NEWS_PER_MESSAGE]
        for vm in chosen:
            self.news[vm] -= 1
            if self.news[vm] <= 0:
                del self.news[vm]
        doubtful = [
            m for m in self.members.values() if m.failures and m.vm not in chosen
        ]
        members = [self.members[vm] for vm in chosen] + doubtful[:CHECKS_LIMIT]
        return [self.record_of(m) for m in members if m.heard_at_s != NEVER]

    def better(self, records: Iterable[PeerRecord]) -> list[PeerRecord]:
        """Merge records and return those that this VM knows better."""
        return [
            self.record_of(self.members[record.vm])
            for record in records
            if not self.merge(record) and record.vm in self.members
        ]

    def targets(self) -> list[VmId]:
        """Return the VMs to ping now.

        Those are ring neighbours, random ones, those whose last call failed
        and listed ones that nobody has heard yet.
        """
        self.live()
        live = self.cached_ring
        own = (rendezvous_score("ring", self.vm), self.vm)
        place = bisect(live, own, key=lambda vm: (rendezvous_score("ring", vm), vm))
        offsets = [d for k in range(RING_PINGS // 2) for d in (k, -k - 1)]
        chosen = {live[(place + d) % len(live)] for d in offsets} if live else set()
        wanted = min(RING_PINGS + RANDOM_PINGS, len(self.ring))
        while len(chosen) < wanted:
            chosen.add(self.random.choice(self.ring)[1])
        checks = [
            m.vm
            for m in self.members.values()
            if m.silent_since_s is None and (m.failures or m.heard_at_s == NEVER)
        ]
        return sorted(chosen | set(checks[:CHECKS_LIMIT]))

    def _add(self, member: Member) -> Member:
        if len(self.members) >= MEMBERS_LIMIT:
            oldest = min(self.members.values(), key=lambda m: m.heard_at_s)
            self._forget(oldest.vm)
        self.cached_live = None
        self.members[member.vm] = member
        insort(self.ring, (rendezvous_score("ring", member.vm), member.vm))
        return member

    def _forget(self, vm: VmId) -> None:
        self.cached_live = None
        del self.members[vm]
        self.news.pop(vm, None)
        self.ring.remove((rendezvous_score("ring", vm), vm))

    def _restart(self, member: Member, record: PeerRecord) -> Member:
        fresh = self._member_of(record)
        fresh.listed = member.listed
        fresh.heard_at_s = self.clock.now_s() - record.last_contact_ago_s
        self.members[member.vm] = fresh
        self._spread(member.vm)
        return fresh

    def _spread(self, vm: VmId) -> None:
        self.news[vm] = NEWS_SENDS
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
