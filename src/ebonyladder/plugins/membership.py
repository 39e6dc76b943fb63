"""Plug-in that maintains the view of the VMs."""

import asyncio
from functools import partial
from random import Random

from absl import logging

from ebonyladder._members import (
    PING_INTERVAL_S,
    Member,
    MemberTable,
)
from ebonyladder.configuration import Configuration, ConfigurationSource
from ebonyladder.kernel.error import EbonyladderError, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.kernel.registry import register
from ebonyladder.membership import Membership
from ebonyladder.messages import Message, PeerRecord, Ping, Pong
from ebonyladder.peer import PeerConnections, PeerIdentity
from ebonyladder.routing import rendezvous_order
from ebonyladder.store import PlatformStore
from ebonyladder.types import Address, VmId, VmState, ZoneId

PING_TIMEOUT_S = 1.0
SEED_TIMEOUT_S = 2.0
# Three readers every 3 s make one store call a second at any fleet size.
LIST_READERS = 3
LIST_INTERVAL_S = 3.0
MAX_ANNOUNCE_TARGETS = 32


@register
class MembershipPlugin(Plugin, Membership):
    """Combine the platform's list, pings and the states that operators set."""

    name = "membership"
    provides = (Membership,)
    requires = (PlatformStore, PeerConnections, ConfigurationSource)

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        settings = kernel.settings
        self.vm = settings.vm
        self.random = Random(f"{settings.vm}/{kernel.clock.wall_s()}")
        self.table = MemberTable(vm=self.vm, clock=kernel.clock, random=self.random)
        self.ping_targets: set[VmId] = set()
        self.tasks: dict[VmId, asyncio.Task] = {}
        self.is_started = False
        self.cache_key: tuple[list[Member], Configuration, bool] | None = None
        self.cached_members: list[PeerRecord] = []

    async def start(self) -> None:
        """Answer and send pings and read the platform's list."""
        self.kernel.get(PeerConnections).handle(Ping, self._answer_ping)
        self.is_started = True
        await self._read_list()
        self.kernel.supervise(self._join, name="membership-join")
        self.kernel.supervise(self._update_ping_targets, name="membership-targets")
        self.kernel.supervise(self._poll_list, name="membership-list")

    async def announce_drain(self) -> None:
        """Ping the ping targets and up to 32 live VMs, which inform the others."""
        targets = {
            *self.ping_targets,
            *(m.vm for m in self.table.live()[:MAX_ANNOUNCE_TARGETS]),
        }
        async with asyncio.TaskGroup() as pings:
            for vm in targets:
                pings.create_task(self._ping(vm))
        logging.info("[membership] Drain is announced. peers=%d", len(targets))

    def record_draining(self, vm: VmId) -> None:
        """Give the VM no more work, since it has refused work because it drains."""
        self.table.mark_draining(vm)

    def members(self) -> list[PeerRecord]:
        """Return the live VMs, including this one, sorted by name.

        The same list is returned until the view changes, and the ages in it are
        those at its creation.
        """
        live = self.table.live()
        current = self.kernel.get(ConfigurationSource).current
        cache_key = (live, current, self.kernel.draining)
        if self.cache_key is None or any(
            one is not other
            for one, other in zip(self.cache_key, cache_key, strict=True)
        ):
            self.cache_key = cache_key
            records = [self._own_record(), *map(self.table.record_of, live)]
            self.cached_members = sorted(
                (self._apply_operator_state(r) for r in records), key=lambda r: r.vm
            )
        return self.cached_members

    def is_complete(self) -> bool:
        """Tell whether the platform's list names peers and all of them are live."""
        return self.table.is_complete()

    def address_of(self, vm: VmId) -> Address | None:
        """Return the peer address of a VM, None if it is unknown."""
        if vm == self.vm:
            return self.kernel.settings.peer
        member = self.table.members.get(vm)
        return member.address if member else None

    def is_zone_in(self, zone: ZoneId) -> bool:
        """Tell whether VMs of the zone may take work."""
        return self.kernel.get(ConfigurationSource).current.is_zone_in(zone)

    def suspect(self, vm: VmId) -> None:
        """Ping the VM immediately, and each second until it answers."""
        member = self.table.members.get(vm)
        if member is None or not self.is_started:
            return
        self.table.record_failure(vm, sent_at_s=self.kernel.clock.now_s())
        self._ping_peer(vm)

    def _own_record(self) -> PeerRecord:
        settings = self.kernel.settings
        state = VmState.DRAIN if self.kernel.draining else VmState.ACTIVE
        return PeerRecord(
            vm=self.vm,
            zone=settings.zone,
            address=settings.peer,
            incarnation=self.kernel.get(PeerConnections).incarnation,
            state=state,
            last_contact_ago_s=0.0,
        )

    def _apply_operator_state(self, record: PeerRecord) -> PeerRecord:
        spec = self.kernel.get(ConfigurationSource).current.vms.get(record.vm)
        if spec is None or spec.state is record.state or spec.state is VmState.ACTIVE:
            return record
        return PeerRecord(
            vm=record.vm,
            zone=record.zone,
            address=record.address,
            incarnation=record.incarnation,
            state=spec.state,
            last_contact_ago_s=record.last_contact_ago_s,
        )

    async def _answer_ping(self, peer: PeerIdentity, message: Message) -> Message:
        assert isinstance(message, Ping)
        self.table.record_ping(message.sender)
        newer = self.table.merge_all(message.records)
        records = (
            [self.table.record_of(member) for member in self.table.live()]
            if message.is_full_sync
            else newer + self.table.take_updates()
        )
        return Pong(sender=self._own_record(), records=records)

    async def _update_ping_targets(self) -> None:
        """Choose the ping targets each second and start a task for each new one."""
        while True:
            self.table.check_liveness()
            self.ping_targets = set(self.table.ping_targets())
            for vm in self.ping_targets:
                self._ping_peer(vm)
            await asyncio.sleep(PING_INTERVAL_S)

    def _ping_peer(self, vm: VmId) -> None:
        self.ping_targets.add(vm)
        if vm not in self.tasks:
            task = self.kernel.supervise(
                partial(self._ping_loop, vm), name=f"membership-{vm}"
            )
            self.tasks[vm] = task
            task.add_done_callback(lambda _: self.tasks.pop(vm, None))

    async def _ping_loop(self, vm: VmId) -> None:
        """Ping one peer each second while it is a ping target."""
        while vm in self.ping_targets:
            await self._ping(vm)
            await asyncio.sleep(PING_INTERVAL_S)

    async def _ping(self, vm: VmId) -> None:
        sent_at_s = self.kernel.clock.now_s()
        ping = Ping(sender=self._own_record(), records=self.table.take_updates())
        peers = self.kernel.get(PeerConnections)
        try:
            pong = await peers.call(vm, ping, timeout_s=PING_TIMEOUT_S)
        except EbonyladderError:
            self.table.record_failure(vm, sent_at_s=sent_at_s)
            return
        self._merge_pong(pong, sent_at_s)

    def _merge_pong(self, pong: Message, sent_at_s: float) -> None:
        assert isinstance(pong, Pong)
        self.table.record_pong(pong.sender, sent_at_s=sent_at_s)
        self.table.merge_all(pong.records)

    async def _join(self) -> None:
        """Request all records from peers, so that a new VM has a complete view."""
        listed = [self.table.members[vm].address for vm in self.table.members]
        self.random.shuffle(listed)
        own = self.kernel.settings.peer
        addresses = [a for a in (*listed[:3], *self.kernel.settings.seeds) if a != own]
        peers = self.kernel.get(PeerConnections)
        for address in addresses:
            ping = Ping(sender=self._own_record(), records=[], is_full_sync=True)
            sent_at_s = self.kernel.clock.now_s()
            try:
                pong = await peers.call_address(address, ping, timeout_s=SEED_TIMEOUT_S)
            except EbonyladderError as error:
                logging.info("[membership] Seed does not answer. error=%s", error)
                continue
            self._merge_pong(pong, sent_at_s)

    async def _poll_list(self) -> None:
        """Read the platform's list periodically while this VM is one of its readers."""
        while True:
            await asyncio.sleep(LIST_INTERVAL_S * self.random.uniform(0.9, 1.1))
            names = [self.vm, *(member.vm for member in self.table.live())]
            if self.vm in rendezvous_order("members/list", names)[:LIST_READERS]:
                await self._read_list()

    async def _read_list(self) -> None:
        store = self.kernel.get(PlatformStore)
        try:
            self.table.merge_list(await store.vms())
        except StoreError as error:
            logging.warning("[membership] VM list could not be read. error=%s", error)
