"""Plug-in that joins this VM to the fleet, as its leader or a follower."""

import asyncio
import random
import time

import msgspec
from absl import logging
from websockets.asyncio.server import Server, ServerConnection, serve

from ebonyladder.kernel.error import ErrorCode, StoreError
from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.cause import FailoverCause
from ebonyladder.sessions.cluster_view import ClusterView, GroupState, VmEntry
from ebonyladder.sessions.connection import EndpointConnector, PromotionClient
from ebonyladder.sessions.failover import Failover
from ebonyladder.sessions.failure_detector import FailureDetector
from ebonyladder.sessions.fleet import FailoverCoordination
from ebonyladder.sessions.fleet_watchers import GroupWatcher, VmWatcher
from ebonyladder.sessions.follower import MESSAGE_LIMIT, Follower
from ebonyladder.sessions.leader import Leader
from ebonyladder.sessions.leadership import LEADER_NAME, LeaderRecord, Leadership
from ebonyladder.sessions.objects import GROUPS, LEADERS, VMS, ObjectStore
from ebonyladder.sessions.owner_link import FORWARD_PATH
from ebonyladder.sessions.owner_service import ForwardingService
from ebonyladder.sessions.plugins.sessions import SessionFactory
from ebonyladder.sessions.quota import GrantedQuota, PermitAllocator
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.standbys import order_lenders
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.settings import split_address
from ebonyladder.types import Address, EndpointId, Incarnation, ServiceId, VmId

# Evidence older than this is renewed from the store, in seconds.
EVIDENCE_RENEWAL_S = 0.9
# Period of the leader's own checks, in seconds.
LEAD_PERIOD_S = 0.1
# Pause between looks at the leader's record, in seconds.
RECORD_PERIOD_S = 0.5
# A VM that starts watches the store itself if no leader supplies it within this
# time, in seconds: a new leader's first looks at the store, and two tries to reach it.
LEADER_PATIENCE_S = 1.2
# Pause between looks at the leader's record until then, in seconds.
FIRST_RECORD_PERIOD_S = 0.2
# Positions of primaries are fetched this often by the owners of replicas, in seconds.
SAMPLE_PERIOD_S = 0.3


@register
class FleetPlugin(Plugin, FailoverCoordination):
    """Finds the leader and reports to it, or leads."""

    name = "fleet"
    provides = (FailoverCoordination,)
    requires = (
        ClusterView,
        ObjectStore,
        SessionFactory,
        GrantedQuota,
        PromotionClient,
        WatchManager,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.incarnation = Incarnation(time.time_ns())
        self.started_s = kernel.clock.now_s()
        self.changing: set[ServiceId] = set()
        self.must_register = asyncio.Event()
        self.server: Server | None = None
        self.renewal: asyncio.Task[None] | None = None
        # Token of the leader whose link was lost last; 0 for none.
        self.lost_token = 0

    async def start(self) -> None:
        """Register this VM, listen to others, and find the leader."""
        self.cluster = self.kernel.get(ClusterView)
        self.store = self.kernel.get(ObjectStore)
        self.quota = self.kernel.get(GrantedQuota)
        self.watch_manager = self.kernel.get(WatchManager)
        session_factory = self.kernel.get(SessionFactory)
        clock = self.kernel.clock
        self.groups = GroupWatcher(store=self.store, cluster=self.cluster)
        self.vms = VmWatcher(store=self.store, cluster=self.cluster)
        self.leadership = Leadership(
            vm=self.cluster.vm,
            incarnation=self.incarnation,
            clock=clock,
            cores=self.kernel.settings.cores,
        )
        self.failure_detector = FailureDetector(cluster=self.cluster, clock=clock)
        self.leader = Leader(
            cluster=self.cluster,
            leadership=self.leadership,
            failure_detector=self.failure_detector,
            allocator=PermitAllocator(
                clock=clock, tolerance=self.kernel.settings.tolerance
            ),
            watch_manager=self.watch_manager,
            vms=lambda: self.vms.entries,
            clock=clock,
        )
        self.follower = Follower(
            cluster=self.cluster,
            leadership=self.leadership,
            quota=self.quota,
            watch_manager=self.watch_manager,
            pools=session_factory.pools,
            incarnation=self.incarnation,
            clock=clock,
            unlisted=self.must_register.set,
        )
        self.failover = Failover(
            cluster=self.cluster,
            connector=self.kernel.get(EndpointConnector),
            promoter=self.kernel.get(PromotionClient),
            coordination=self,
            clock=clock,
        )
        self.forwarding_service = ForwardingService(
            executor=session_factory.executor, clock=clock
        )
        address, port = split_address(self.kernel.settings.peer)
        self.server = await serve(
            self._serve,
            address,
            port,
            compression=None,
            max_size=MESSAGE_LIMIT,
            ping_interval=None,
        )
        self.watch_manager.add(self.groups)
        self.watch_manager.add(self.vms)
        self.must_register.set()
        for name, task in (
            ("registration", self._stay_registered()),
            ("leader-patience", self._await_leader()),
            ("leader-link", self._follow()),
            ("leader-duty", self._lead()),
            ("evidence", self._renew_evidence()),
            ("samples", self.forwarding_service.sample_primaries(SAMPLE_PERIOD_S)),
        ):
            self.kernel.spawn(task, name=name)

    async def announce_drain(self) -> None:
        """Give the duty up, so that another VM takes it over at once."""
        if not self.leadership.is_holder:
            return
        released = msgspec.structs.replace(self.leadership.record, is_released=True)
        content = msgspec.to_builtins(released)
        try:
            found = await self.store.replace(
                LEADERS, LEADER_NAME, content, self.leadership.revision
            )
        except StoreError as error:
            logging.warning("[fleet] Duty isn't released. error=%s", error)
            return
        self.leadership.observe(released, found.revision)
        logging.info("[fleet] Duty is released. token=%d", released.token)

    async def stop(self) -> None:
        """Close the links to other VMs."""
        if self.server is not None:
            self.server.close()

    def fencing_token(self) -> int | None:
        """Return the token of this VM's duty, None if it isn't certain of it."""
        return self.leader.token

    async def write_group(self, group: GroupState) -> None:
        """Store a group state with a higher epoch."""
        content = msgspec.to_builtins(group)
        known = self.groups.objects.get(group.service)
        try:
            if known is None:
                found = await self.store.create(GROUPS, group.service, content)
            else:
                found = await self.store.replace(
                    GROUPS, group.service, content, known.revision
                )
        except StoreError as error:
            if error.code is not ErrorCode.STORE_CONFLICT:
                raise
            found = await self.store.get(GROUPS, group.service)
            # A write whose answer was lost conflicts with its own repetition.
            if found is None or found.content != content:
                self.groups.note(found)
                raise
        self.groups.objects[group.service] = found
        self.cluster.adopt_group(group)
        await self.leader.push()

    async def wait_adopted(self, group: GroupState, limit_s: float) -> None:
        """Return once all VMs act on the group state, or after ``limit_s``."""
        await self.leader.wait_adopted(group, limit_s)

    def note_reached(self, endpoint: EndpointId) -> None:
        """Let this VM own the endpoint, which its owner can't reach."""
        self.leader.take_links(endpoint)

    async def _serve(self, connection: ServerConnection) -> None:
        """Serve a connection of another VM, by its path."""
        if connection.request.path == FORWARD_PATH:
            await self.forwarding_service.serve(connection)
        else:
            await self.leader.serve(connection)

    async def _lead(self) -> None:
        """Do the leader's duties while this VM holds them."""
        version = self.cluster.version
        while True:
            await self._pause()
            if not self.leadership.is_holder:
                self.vms.follow()
                self._stand_in()
                continue
            self.leader.stands_in = False
            self.watch_manager.resume("this VM leads")
            self.vms.lead()
            if self.leader.needs_groups and self.vms.is_listed.is_set():
                await self._read_groups()
            # A store that hangs must not hold up the turns of this VM's callers.
            is_renewing = self.renewal is not None and not self.renewal.done()
            if not is_renewing and self.leadership.needs_renewal(self.vms.entries):
                self.renewal = self.kernel.spawn(self._write_record(), name="renewal")
            now_s = self.kernel.clock.now_s()
            is_certain = self.leader.token is not None
            if not is_certain:
                self.leader.refresh_shares()
            self._lend_own(is_certain=is_certain)
            if not is_certain:
                continue
            self.cluster.note_evidence(now_s)
            self.leader.refresh()
            if self.cluster.version != version:
                version = self.cluster.version
                await self.leader.push()
            self._start_changes()
            await self._forget_vms()

    def _stand_in(self) -> None:
        """Lend to the VMs that report here, while this deputy has lost the leader."""
        stands_in = (
            self.cluster.vm in self.cluster.deputies and not self.follower.is_linked
        )
        if stands_in != self.leader.stands_in:
            logging.info("[fleet] Deputy changes its part. lends=%s", stands_in)
            self.leader.allocator.start_anew(is_empty=True)
        self.leader.stands_in = stands_in
        if stands_in:
            self.leader.refresh_shares()
            self._lend_own(is_certain=False)

    def _lend_own(self, *, is_certain: bool) -> None:
        """Lend to the operations of this VM."""
        now_s = self.kernel.clock.now_s()
        loans = self.leader.lend(self.quota.wants(), is_certain=is_certain)
        self.quota.accept(loans, now_s)

    async def _read_groups(self) -> None:
        """Read the groups from the store after the duty was taken."""
        token = self.leadership.record.token
        if await self._list_groups():
            self.leader.note_groups_read(token)
            logging.info("[fleet] Groups are read for the duty. token=%d", token)

    async def _list_groups(self) -> bool:
        """Adopt the groups in the store; False where it doesn't answer."""
        try:
            listing = await self.store.list(GROUPS)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING, "[fleet] Groups aren't read. error=%s", 5, error
            )
            return False
        for found in listing.objects:
            self.groups.note(found)
        return True

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(LEAD_PERIOD_S):
                await self.quota.needed.wait()
        except TimeoutError:
            return
        # A follower's own link asks for the turns.
        await asyncio.sleep(0 if self.leader.lends else LEAD_PERIOD_S)

    def _start_changes(self) -> None:
        silent, stalled = self.follower.findings()
        services = {e.service for e in self.cluster.endpoints.values()}
        for service in services - self.changing:
            cause = self.failure_detector.cause(
                service, silent=frozenset(silent), stalled=frozenset(stalled)
            )
            if cause is not None:
                self.changing.add(service)
                self.kernel.spawn(
                    self._change(service, cause), name=f"failover-{service}"
                )

    async def _change(self, service: ServiceId, cause: FailoverCause) -> None:
        is_changed = False
        try:
            is_changed = await self.failover.change(service, cause)
        finally:
            self.failure_detector.note_change(service, is_changed=is_changed)
            self.changing.discard(service)

    async def _forget_vms(self) -> None:
        for vm in self.leader.forgotten():
            found = self.vms.objects.get(vm)
            if found is None:
                continue
            try:
                await self.store.delete(VMS, vm, found.revision)
            except StoreError as error:
                logging.info("[fleet] VM isn't removed. vm=%s error=%s", vm, error)
                return
            self.leader.note_removed(vm)
            logging.info("[fleet] VM is removed from the list. vm=%s", vm)
            self.vms.objects.pop(vm, None)
            self.vms.apply(self.vms.objects)

    async def _follow(self) -> None:
        """Find the leader and report to it, or take the duty over."""
        while True:
            await self._look_at_record()
            record = self.leadership.record
            others = record is not None and record.holder != self.cluster.vm
            if others and await self._report_to_first(record):
                continue
            has_begun = self.watch_manager.has_begun
            period_s = RECORD_PERIOD_S if has_begun else FIRST_RECORD_PERIOD_S
            await asyncio.sleep(period_s * random.uniform(0.6, 1.0))

    async def _report_to_first(self, record: LeaderRecord) -> bool:
        """Report to the leader or a deputy; True once another VM has the duty."""
        lenders = order_lenders(
            self.cluster.vm,
            leader={record.holder: record.address},
            deputies=self.cluster.deputies,
            is_leader_lost=record.token == self.lost_token,
        )
        for vm, address in lenders.items():
            if await self._report_to(vm, address, record):
                return True
        return False

    async def _report_to(
        self, vm: VmId, address: Address, record: LeaderRecord
    ) -> bool:
        """Report until the link ends; True once another VM has the duty.

        ``record`` is the record of the duty at the beginning.
        """
        link = self.kernel.spawn(
            self.follower.report_to(vm, address), name=f"reports-{vm}"
        )
        try:
            while not link.done():
                await asyncio.wait({link}, timeout=RECORD_PERIOD_S)
                if link.done() or self.follower.is_certain:
                    continue
                await self._look_at_record()
                found = self.leadership.record
                if found is None or found.token != record.token:
                    return True
            return False
        finally:
            link.cancel()
            await asyncio.wait({link})
            if vm == record.holder:
                self.lost_token = record.token

    async def _await_leader(self) -> None:
        """Watch the store if no leader is found soon after the start."""
        await asyncio.sleep(LEADER_PATIENCE_S)
        if not self.watch_manager.has_begun:
            self.watch_manager.resume("no leader yet")

    async def _look_at_record(self) -> None:
        """Learn from the store who leads, and take the duty over if nobody does."""
        if self.leader.token is not None:
            return
        try:
            found = await self.store.get(LEADERS, LEADER_NAME)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "[fleet] Leader's record isn't read. error=%s",
                5,
                error,
            )
            return
        if found is None:
            self.leadership.observe(None, self.leadership.revision)
        else:
            record = msgspec.convert(found.content, LeaderRecord)
            self.leadership.observe(record, found.revision)
        if self.leadership.may_take_over() and not self.kernel.draining:
            await self._write_record()

    async def _write_record(self) -> None:
        """Take or renew the duty by a conditional write."""
        record = self.leadership.next_record(self.kernel.settings.peer)
        sent_s = self.kernel.clock.now_s()
        content = msgspec.to_builtins(record)
        try:
            if self.leadership.record is None:
                found = await self.store.create(LEADERS, LEADER_NAME, content)
            else:
                found = await self.store.replace(
                    LEADERS, LEADER_NAME, content, self.leadership.revision
                )
        except StoreError as error:
            logging.info("[fleet] Duty isn't written. error=%s", error)
            if error.code is ErrorCode.STORE_CONFLICT:
                await self._reread_record()
            return
        if not self.leadership.is_holder:
            logging.info("[fleet] Duty is taken. token=%d", record.token)
            if not self.leader.stands_in:
                self.leader.allocator.start_anew(is_empty=False)
        self.leadership.note_written(record, found.revision, sent_s)

    async def _reread_record(self) -> None:
        """Learn who holds the duty after a conflict.

        A write whose answer was lost may be this process's own; that does not make
        it certain of the duty, since the time of that write isn't known.
        """
        try:
            found = await self.store.get(LEADERS, LEADER_NAME)
        except StoreError as error:
            logging.info("[fleet] Leader's record isn't read. error=%s", error)
            return
        if found is not None:
            record = msgspec.convert(found.content, LeaderRecord)
            self.leadership.observe(record, found.revision)

    async def _renew_evidence(self) -> None:
        """Ask the store for the group states while no leader answers."""
        while True:
            await asyncio.sleep(EVIDENCE_RENEWAL_S / 4)
            sent_s = self.kernel.clock.now_s()
            has_evidence = sent_s - self.cluster.evidence_s < EVIDENCE_RENEWAL_S
            if has_evidence or not self.watch_manager.has_begun:
                continue
            if await self._is_registered() and await self._list_groups():
                self.cluster.note_evidence(sent_s)
            await asyncio.sleep(EVIDENCE_RENEWAL_S / 4)

    async def _is_registered(self) -> bool:
        """Tell whether a change of primary would wait for this VM.

        Evidence from the store counts only for a VM of the list, since nobody
        waits for one that was taken from it.
        """
        try:
            found = await self.store.get(VMS, self.cluster.vm)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING, "[fleet] VM's entry isn't read. error=%s", 5, error
            )
            return False
        if found is None:
            self.must_register.set()
        return found is not None

    async def _stay_registered(self) -> None:
        """Keep this VM's entry in the store."""
        entry = VmEntry(
            vm=self.cluster.vm,
            address=self.kernel.settings.peer,
            zone=self.cluster.zone,
            incarnation=self.incarnation,
            cores=self.kernel.settings.cores,
        )
        content = msgspec.to_builtins(entry)
        while True:
            await self.must_register.wait()
            try:
                await self._register(entry.vm, content)
                self.must_register.clear()
            except StoreError as error:
                logging.info("[fleet] VM isn't registered yet. error=%s", error)
            await asyncio.sleep(RECORD_PERIOD_S * random.uniform(1.0, 2.0))

    async def _register(self, vm: VmId, content: dict) -> None:
        try:
            await self.store.create(VMS, vm, content)
        except StoreError as error:
            if error.code is not ErrorCode.STORE_CONFLICT:
                raise
            found = await self.store.get(VMS, vm)
            if found is not None and found.content != content:
                await self.store.replace(VMS, vm, content, found.revision)
