"""Plug-in that runs this VM as the leader, a standby or a follower of the fleet."""

import asyncio
import random
import time
from enum import Enum
from functools import partial

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
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.failure_detector import FailureDetector
from ebonyladder.sessions.fleet_watchers import GroupWatcher, VmWatcher
from ebonyladder.sessions.follower import Follower
from ebonyladder.sessions.forwarding_pool import FORWARD_PATH
from ebonyladder.sessions.forwarding_service import ForwardingService
from ebonyladder.sessions.leader import Leader
from ebonyladder.sessions.leadership import LEADER_NAME, LeaderRecord, Leadership
from ebonyladder.sessions.messages import MAX_MESSAGE_BYTES
from ebonyladder.sessions.objects import GROUPS, LEADERS, VMS, ObjectStore, StoreObject
from ebonyladder.sessions.plugins.sessions import SessionFactory
from ebonyladder.sessions.quota import GrantedQuota, PermitAllocator
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.standbys import order_report_targets
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.sessions.watcher import convert_content
from ebonyladder.settings import split_address
from ebonyladder.types import Address, EndpointId, Incarnation, ServiceId, VmId

# Group states confirmed longer ago than this are read from the store, in seconds.
GROUP_STATE_REFRESH_S = 0.9
# Interval of the leader's checks, in seconds.
LEADER_CHECK_INTERVAL_S = 0.1
# Interval between reads of the leader record, in seconds.
RECORD_POLL_INTERVAL_S = 0.5
# Interval between attempts to reach the leader while this VM reports to a standby, in
# seconds.
LEADER_PROBE_INTERVAL_S = 0.5
# A VM watches the store itself if no leader sends updates within this time after the
# VM's start, in seconds: a new leader's first reads of the store, and two attempts to
# connect to it.
LEADER_DISCOVERY_TIMEOUT_S = 1.2
# Interval between reads of the leader record before that, in seconds.
FIRST_RECORD_POLL_INTERVAL_S = 0.2
# Longest wait for a promotion in flight before the leadership is released, in seconds:
# the timeout of that call.
PROMOTION_DRAIN_TIMEOUT_S = 1.2
# Positions of primaries are fetched this often by the owners of replicas, in seconds.
SAMPLE_INTERVAL_S = 0.3


class ReportEnd(Enum):
    """Why this VM stopped reporting to a VM."""

    CONNECTION_ENDED = "the connection ended"
    LEADER_CHANGED = "the store names another leader"
    LEADER_REACHABLE = "the leader answers again"


@register
class FleetPlugin(Plugin, FailoverCoordination):
    """Finds the leader and reports to it, or is the leader."""

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
        self.started_at_s = kernel.clock.now_s()
        self.failing_over: set[ServiceId] = set()
        self.must_register = asyncio.Event()
        self.server: Server | None = None
        self.renewal: asyncio.Task[None] | None = None
        # Whether this VM is giving up the leadership, so that it promotes no endpoint.
        self.is_releasing = False
        # Fencing token of the leader whose connection was lost last; 0 for none.
        self.lost_leader_token = 0

    async def start(self) -> None:
        """Register this VM, listen for other VMs, and find the leader."""
        self.cluster = self.kernel.get(ClusterView)
        self.store = self.kernel.get(ObjectStore)
        self.quota = self.kernel.get(GrantedQuota)
        self.watch_manager = self.kernel.get(WatchManager)
        session_factory = self.kernel.get(SessionFactory)
        clock = self.kernel.clock
        self.group_watcher = GroupWatcher(store=self.store, cluster=self.cluster)
        self.vm_watcher = VmWatcher(store=self.store, cluster=self.cluster)
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
            vms=lambda: self.vm_watcher.entries,
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
            on_unregistered=self.must_register.set,
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
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
        )
        self.watch_manager.add(self.group_watcher)
        self.watch_manager.add(self.vm_watcher)
        self.must_register.set()
        for name, run in (
            ("registration", self._stay_registered),
            ("leader-discovery", self._watch_without_leader),
            ("follower", self._run_follower),
            ("leader", self._run_leader),
            ("group-refresh", self._refresh_groups),
            (
                "position-samples",
                partial(self.forwarding_service.sample_primaries, SAMPLE_INTERVAL_S),
            ),
        ):
            self.kernel.supervise(run, name=name)

    def reload(self) -> None:
        """Apply a changed tolerance of the rate limits."""
        self.leader.allocator.tolerance = self.kernel.settings.tolerance

    async def announce_drain(self) -> None:
        """Release the leadership, so that another VM takes over immediately.

        A call that promotes an endpoint ends before that: it could reach the platform
        after the first call of the next leader.
        """
        self.is_releasing = True
        if not self.leadership.is_holder:
            return
        try:
            async with asyncio.timeout(PROMOTION_DRAIN_TIMEOUT_S):
                await self.failover.has_no_calls.wait()
        except TimeoutError:
            logging.warning(
                "[fleet] Leadership isn't released, a promotion is in flight. token=%d",
                self.leadership.record.token,
            )
            return
        released = msgspec.structs.replace(self.leadership.record, is_released=True)
        content = msgspec.to_builtins(released)
        try:
            found = await self.store.replace(
                LEADERS, LEADER_NAME, content, self.leadership.revision
            )
        except StoreError as error:
            logging.warning("[fleet] Leadership could not be released. error=%s", error)
            return
        self.leadership.apply_record(released, found.revision)
        logging.info("[fleet] Leadership is released. token=%d", released.token)

    async def stop(self) -> None:
        """Close the connections to other VMs."""
        if self.server is not None:
            self.server.close()

    def fencing_token(self) -> int | None:
        """Return the fencing token, None if this VM may not promote now."""
        return None if self.is_releasing else self.leader.fencing_token

    async def write_group(self, group: GroupState) -> None:
        """Store a group state with a higher epoch."""
        content = msgspec.to_builtins(group)
        known = self.group_watcher.objects.get(group.service)
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
            # A retry conflicts with an earlier attempt whose answer was lost.
            if found is None or found.content != content:
                self.group_watcher.apply_object(found)
                raise
        self.group_watcher.objects[group.service] = found
        self.cluster.apply_group(group)
        await self.leader.push()

    async def wait_applied(self, group: GroupState, timeout_s: float) -> None:
        """Return once all VMs have applied the group state, or after ``timeout_s``."""
        await self.leader.wait_applied(group, timeout_s)

    def record_reachable(self, endpoint: EndpointId) -> None:
        """Make this VM the owner of an endpoint that its owner can't reach."""
        self.leader.claim_ownership(endpoint)

    async def _serve(self, connection: ServerConnection) -> None:
        """Serve a connection of another VM, by its path."""
        if connection.request.path == FORWARD_PATH:
            await self.forwarding_service.serve(connection)
        else:
            await self.leader.serve(connection)

    async def _run_leader(self) -> None:
        """Run the leader's tasks while this VM is the leader."""
        version = self.cluster.version
        while True:
            await self._wait_for_requests()
            if not self.leadership.is_holder:
                self.vm_watcher.stop_watching()
                self._run_standby()
                continue
            self.leader.is_active_standby = False
            self.watch_manager.start_watching("this VM is the leader")
            self.vm_watcher.start_watching()
            if self.leader.must_load_groups and self.vm_watcher.is_listed.is_set():
                await self._load_groups()
            # A store that hangs must not delay the permits of this VM's callers.
            is_renewing = self.renewal is not None and not self.renewal.done()
            if not is_renewing and self.leadership.needs_renewal(
                self.vm_watcher.entries
            ):
                self.leadership.record_renewal_attempt()
                self.renewal = self.kernel.spawn(
                    self._write_leader_record(), name="renewal"
                )
            now_s = self.kernel.clock.now_s()
            has_valid_lease = self.leader.fencing_token is not None
            if not has_valid_lease:
                self.leader.refresh_shares()
            self._grant_locally(has_valid_lease=has_valid_lease)
            if not has_valid_lease:
                continue
            self.cluster.record_groups_confirmed(now_s)
            self.leader.refresh()
            if self.cluster.version != version:
                version = self.cluster.version
                await self.leader.push()
            self._start_failovers()
            await self._evict_vms()

    def _run_standby(self) -> None:
        """Grant permits while this VM is a standby that has lost the leader."""
        is_active_standby = (
            self.cluster.vm in self.cluster.standbys and not self.follower.is_connected
        )
        if is_active_standby != self.leader.is_active_standby:
            logging.info(
                "[fleet] Standby starts or stops granting permits. lends=%s",
                is_active_standby,
            )
            self.leader.allocator.reset(is_empty=True)
        self.leader.is_active_standby = is_active_standby
        if is_active_standby:
            self.leader.refresh_shares()
            self._grant_locally(has_valid_lease=False)

    def _grant_locally(self, *, has_valid_lease: bool) -> None:
        """Grant permits to the operations of this VM."""
        now_s = self.kernel.clock.now_s()
        grants = self.leader.grant_permits(
            self.quota.take_requests(), has_valid_lease=has_valid_lease
        )
        self.quota.apply_grants(grants, now_s)

    async def _load_groups(self) -> None:
        """Read the groups from the store after this VM became the leader."""
        token = self.leadership.record.token
        if await self._list_groups():
            self.leader.record_groups_loaded(token)
            logging.info("[fleet] Groups are read by the new leader. token=%d", token)

    async def _list_groups(self) -> bool:
        """Apply the groups in the store; False if it doesn't answer."""
        try:
            list_result = await self.store.list(GROUPS)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING, "[fleet] Groups could not be read. error=%s", 5, error
            )
            return False
        for found in list_result.objects:
            self.group_watcher.apply_object(found)
        return True

    async def _wait_for_requests(self) -> None:
        try:
            async with asyncio.timeout(LEADER_CHECK_INTERVAL_S):
                await self.quota.permits_needed.wait()
        except TimeoutError:
            return
        # A follower requests permits with its reports. The event stays set until the
        # next report, so without a wait this would be a busy loop.
        await asyncio.sleep(
            0 if self.leader.grants_permits else LEADER_CHECK_INTERVAL_S
        )

    def _start_failovers(self) -> None:
        unresponsive, stalled = self.follower.suspect_endpoints()
        services = {e.service for e in self.cluster.endpoints.values()}
        for service in services - self.failing_over:
            cause = self.failure_detector.failover_cause(
                service,
                unresponsive=frozenset(unresponsive),
                stalled=frozenset(stalled),
            )
            if cause is not None:
                self.failing_over.add(service)
                self.kernel.spawn(
                    self._replace_primary(service, cause), name=f"failover-{service}"
                )

    async def _replace_primary(self, service: ServiceId, cause: FailoverCause) -> None:
        is_replaced = False
        try:
            is_replaced = await self.failover.replace_primary(service, cause)
        finally:
            self.failure_detector.record_attempt(service, is_replaced=is_replaced)
            self.failing_over.discard(service)

    async def _evict_vms(self) -> None:
        for vm in self.leader.expired_vms():
            found = self.vm_watcher.objects.get(vm)
            if found is None:
                continue
            try:
                await self.store.delete(VMS, vm, found.revision)
            except StoreError as error:
                logging.info(
                    "[fleet] VM could not be removed. vm=%s error=%s", vm, error
                )
                return
            self.leader.record_removed(vm)
            logging.info("[fleet] VM is removed from the list. vm=%s", vm)
            self.vm_watcher.objects.pop(vm, None)
            self.vm_watcher.apply(self.vm_watcher.objects)

    async def _run_follower(self) -> None:
        """Find the leader and report to it, or take over."""
        while True:
            await self._read_leader_record()
            record = self.leadership.record
            is_other = record is not None and record.holder != self.cluster.vm
            if is_other and await self._report_to_any(record):
                continue
            is_decided = self.watch_manager.is_decided
            interval_s = (
                RECORD_POLL_INTERVAL_S if is_decided else FIRST_RECORD_POLL_INTERVAL_S
            )
            await asyncio.sleep(interval_s * random.uniform(0.6, 1.0))

    async def _report_to_any(self, record: LeaderRecord) -> bool:
        """Report to the leader or a standby; True once the leader has changed."""
        tried: set[VmId] = set()
        while True:
            # The leader may have named other standbys while this VM reported to it.
            targets = order_report_targets(
                self.cluster.vm,
                leader={record.holder: record.address},
                standbys=self.cluster.standbys,
                is_leader_lost=record.token == self.lost_leader_token,
            )
            remaining = [vm for vm in targets if vm not in tried]
            if not remaining:
                return False
            vm = remaining[0]
            tried.add(vm)
            match await self._report_to(vm, targets[vm], record):
                case ReportEnd.LEADER_CHANGED:
                    return True
                case ReportEnd.LEADER_REACHABLE:
                    self.lost_leader_token = 0
                    tried.clear()

    async def _report_to(
        self, vm: VmId, address: Address, record: LeaderRecord
    ) -> ReportEnd:
        """Report until the connection ends or another VM should be reported to.

        ``record`` is the leader record at the start.
        """
        reporting = self.kernel.spawn(
            self.follower.report_to(vm, address), name=f"reports-{vm}"
        )
        # A store that hangs must not delay the change to another VM.
        polling = self.kernel.spawn(
            self._wait_for_other_leader(record), name="leader-record"
        )
        tasks = {reporting, polling}
        if vm != record.holder:
            probing = self.kernel.spawn(
                self._wait_for_reachable_leader(record), name="leader-probe"
            )
            tasks.add(probing)
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if polling in done:
                return ReportEnd.LEADER_CHANGED
            if reporting in done:
                return ReportEnd.CONNECTION_ENDED
            return ReportEnd.LEADER_REACHABLE
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            if vm == record.holder:
                self.lost_leader_token = record.token

    async def _wait_for_reachable_leader(self, record: LeaderRecord) -> None:
        """Return once the leader of ``record`` answers again.

        After a partition heals, only the leader confirms group states and endpoints;
        the standbys would go on granting permits.
        """
        while True:
            interval_s = LEADER_PROBE_INTERVAL_S * random.uniform(0.8, 1.2)
            await asyncio.sleep(interval_s * self.follower.report_interval_factor)
            if await self.follower.does_grant(record.address):
                logging.info("[fleet] Leader is reachable again. vm=%s", record.holder)
                return

    async def _wait_for_other_leader(self, record: LeaderRecord) -> None:
        """Return once the store names another leader than ``record``.

        The store isn't read while the leader that this VM reports to has its lease.
        """
        while True:
            await asyncio.sleep(RECORD_POLL_INTERVAL_S)
            if self.follower.has_valid_leader:
                continue
            await self._read_leader_record()
            found = self.leadership.record
            if found is None or found.token != record.token:
                return

    async def _watch_without_leader(self) -> None:
        """Watch the store if no leader is found soon after the start."""
        await asyncio.sleep(LEADER_DISCOVERY_TIMEOUT_S)
        if not self.watch_manager.is_decided:
            self.watch_manager.start_watching("no leader found")

    async def _read_leader_record(self) -> None:
        """Read the leader record from the store; take over if there is no leader."""
        if self.leader.fencing_token is not None:
            return
        try:
            found = await self.store.get(LEADERS, LEADER_NAME)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "[fleet] Leader record could not be read. error=%s",
                5,
                error,
            )
            return
        if found is None:
            self.leadership.apply_record(None, self.leadership.revision)
        else:
            self._apply_leader_record(found)
        if self.leadership.may_take_over() and not self.kernel.draining:
            # The result of the write is recorded also if the caller is cancelled.
            await asyncio.shield(
                self.kernel.spawn(self._write_leader_record(), name="takeover")
            )

    async def _write_leader_record(self) -> None:
        """Acquire or renew the leader lease by a conditional write."""
        record = self.leadership.next_record(self.kernel.settings.peer)
        sent_at_s = self.kernel.clock.now_s()
        content = msgspec.to_builtins(record)
        try:
            if not self.leadership.is_stored:
                found = await self.store.create(LEADERS, LEADER_NAME, content)
            else:
                found = await self.store.replace(
                    LEADERS, LEADER_NAME, content, self.leadership.revision
                )
        except StoreError as error:
            logging.info("[fleet] Leader record could not be written. error=%s", error)
            if error.code is ErrorCode.STORE_CONFLICT:
                await self._reread_leader_record()
            return
        if not self.leadership.is_holder:
            logging.info("[fleet] Leadership is acquired. token=%d", record.token)
            if not self.leader.is_active_standby:
                self.leader.allocator.reset(is_empty=False)
        self.leadership.record_renewal(record, found.revision, sent_at_s)

    async def _reread_leader_record(self) -> None:
        """Read the holder of the leader lease after a conflict.

        The record may be this process's own write whose answer was lost; that doesn't
        make the leader lease valid, since the time of that write isn't known.
        """
        try:
            found = await self.store.get(LEADERS, LEADER_NAME)
        except StoreError as error:
            logging.info("[fleet] Leader record could not be read. error=%s", error)
            return
        if found is not None:
            self._apply_leader_record(found)

    def _apply_leader_record(self, found: StoreObject) -> None:
        record = convert_content(found, LeaderRecord)
        if record is None:
            self.leadership.apply_unreadable_record(found.revision)
        else:
            self.leadership.apply_record(record, found.revision)

    async def _refresh_groups(self) -> None:
        """Read the group states from the store while no leader answers."""
        while True:
            await asyncio.sleep(GROUP_STATE_REFRESH_S / 4)
            sent_at_s = self.kernel.clock.now_s()
            is_recent = (
                sent_at_s - self.cluster.groups_confirmed_at_s < GROUP_STATE_REFRESH_S
            )
            if is_recent or not self.watch_manager.is_decided:
                continue
            if await self._is_registered() and await self._list_groups():
                self.cluster.record_groups_confirmed(sent_at_s)
            await asyncio.sleep(GROUP_STATE_REFRESH_S / 4)

    async def _is_registered(self) -> bool:
        """Tell whether a failover would wait for this VM.

        Group states are confirmed from the store only at a registered VM, since no
        failover waits for a VM that was removed from the list.
        """
        try:
            found = await self.store.get(VMS, self.cluster.vm)
        except StoreError as error:
            logging.log_every_n_seconds(
                logging.WARNING,
                "[fleet] Entry of this VM could not be read. error=%s",
                5,
                error,
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
                logging.info("[fleet] VM could not be registered. error=%s", error)
            await asyncio.sleep(RECORD_POLL_INTERVAL_S * random.uniform(1.0, 2.0))

    async def _register(self, vm: VmId, content: dict) -> None:
        try:
            await self.store.create(VMS, vm, content)
        except StoreError as error:
            if error.code is not ErrorCode.STORE_CONFLICT:
                raise
            found = await self.store.get(VMS, vm)
            if found is not None and found.content != content:
                await self.store.replace(VMS, vm, content, found.revision)
