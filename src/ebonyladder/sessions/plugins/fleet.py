"""Plug-in that runs this VM as the leader, a standby or a follower of the fleet."""

import asyncio
import time
from functools import partial

from absl import logging
from websockets.asyncio.server import Server, ServerConnection, serve

from ebonyladder.kernel.kernel import Kernel
from ebonyladder.kernel.plugin import Plugin
from ebonyladder.sessions.cause import FailoverCause
from ebonyladder.sessions.cluster_view import (
    ClusterView,
    EndpointEntry,
    GroupState,
    VmEntry,
)
from ebonyladder.sessions.connection import EndpointConnector, PromotionClient
from ebonyladder.sessions.endpoint_registry import EndpointDirectory
from ebonyladder.sessions.failover import Failover
from ebonyladder.sessions.failover_coordination import FailoverCoordination
from ebonyladder.sessions.fleet.failure_detector import FailureDetector
from ebonyladder.sessions.fleet.follower import Follower
from ebonyladder.sessions.fleet.group_restorer import GroupRestorer
from ebonyladder.sessions.fleet.group_store import GroupStore
from ebonyladder.sessions.fleet.leader import Leader
from ebonyladder.sessions.fleet.leader_record import LeaderRecordStore
from ebonyladder.sessions.fleet.leadership import TAKEOVER_TIMEOUT_S, Leadership
from ebonyladder.sessions.fleet.log_holder_keeper import LogHolderKeeper
from ebonyladder.sessions.fleet.registration import Registration
from ebonyladder.sessions.fleet.reporting import Reporting
from ebonyladder.sessions.fleet.watchers import GroupWatcher, VmWatcher
from ebonyladder.sessions.forwarding_pool import FORWARD_PATH
from ebonyladder.sessions.forwarding_service import ForwardingService
from ebonyladder.sessions.log_holders import LogHolders
from ebonyladder.sessions.messages import MAX_ENCODED_BYTES
from ebonyladder.sessions.objects import ObjectStore
from ebonyladder.sessions.plugins.sessions import SessionFactory
from ebonyladder.sessions.quota import GrantedQuota, PermitAllocator
from ebonyladder.sessions.registry import register
from ebonyladder.sessions.store_era import StoreEraTracker
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.settings import split_address
from ebonyladder.types import (
    EndpointId,
    EndpointProcess,
    Incarnation,
    Position,
    ServiceId,
)

# Interval of the leader's checks, in seconds.
LEADER_CHECK_INTERVAL_S = 0.1
# Positions of primaries are fetched this often by the owners of replicas, in seconds.
SAMPLE_INTERVAL_S = 0.3


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
        EndpointDirectory,
        WatchManager,
        StoreEraTracker,
    )

    def __init__(self, *, kernel: Kernel) -> None:
        super().__init__(kernel=kernel)
        self.incarnation = Incarnation(time.time_ns())
        self.started_at_s = kernel.clock.now_s()
        self.failing_over: set[ServiceId] = set()
        self.updating_log_holders: set[ServiceId] = set()
        self.server: Server | None = None
        # Whether this VM is giving up the leadership, so that it promotes no endpoint.
        self.is_releasing = False

    async def start(self) -> None:
        """Register this VM, listen for other VMs, and find the leader."""
        self.cluster = self.kernel.get(ClusterView)
        self.store = self.kernel.get(ObjectStore)
        self.quota = self.kernel.get(GrantedQuota)
        self.watch_manager = self.kernel.get(WatchManager)
        self.eras = self.kernel.get(StoreEraTracker)
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
        self.registration = Registration(
            store=self.store,
            entry=VmEntry(
                vm=self.cluster.vm,
                address=self.kernel.settings.peer,
                zone=self.cluster.zone,
                incarnation=self.incarnation,
                cores=self.kernel.settings.cores,
            ),
        )
        self.group_store = GroupStore(
            store=self.store,
            cluster=self.cluster,
            watcher=self.group_watcher,
            clock=clock,
        )
        self.log_holder_keeper = LogHolderKeeper(
            cluster=self.cluster,
            store=self.store,
            connector=self.kernel.get(EndpointConnector),
            clock=clock,
        )
        self.group_restorer = GroupRestorer(
            cluster=self.cluster,
            leadership=self.leadership,
            group_store=self.group_store,
            log_holders=self.log_holder_keeper,
            connector=self.kernel.get(EndpointConnector),
        )
        self.leader_record = LeaderRecordStore(
            store=self.store,
            leadership=self.leadership,
            address=self.kernel.settings.peer,
            clock=clock,
            spawn=self.kernel.spawn,
            on_acquired=self._start_leading,
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
            eras=self.eras,
            clock=clock,
        )
        self.follower = Follower(
            cluster=self.cluster,
            leadership=self.leadership,
            quota=self.quota,
            watch_manager=self.watch_manager,
            pools=session_factory.pools,
            incarnation=self.incarnation,
            eras=self.eras,
            clock=clock,
            on_unregistered=self.registration.is_needed.set,
        )
        self.reporting = Reporting(
            cluster=self.cluster,
            leadership=self.leadership,
            follower=self.follower,
            watch_manager=self.watch_manager,
            find_leader=self._find_leader,
            spawn=self.kernel.spawn,
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
            max_size=MAX_ENCODED_BYTES,
            ping_interval=None,
        )
        self.eras.listeners.append(self._record_era)
        self._record_era()
        self.watch_manager.add(self.group_watcher)
        self.watch_manager.add(self.vm_watcher)
        refresh_groups = partial(
            self.group_store.refresh,
            watch_manager=self.watch_manager,
            leadership=self.leadership,
            is_registered=self.registration.check,
        )
        sample_primaries = partial(
            self.forwarding_service.sample_primaries, SAMPLE_INTERVAL_S
        )
        for name, run in (
            ("registration", self.registration.run),
            ("leader-discovery", self.reporting.watch_without_leader),
            ("follower", self.reporting.run),
            ("leader", self._run_leader),
            ("group-refresh", refresh_groups),
            ("position-samples", sample_primaries),
        ):
            self.kernel.supervise(run, name=name)

    def reload(self) -> None:
        """Apply a changed tolerance of the rate limits."""
        self.leader.allocator.tolerance = self.kernel.settings.tolerance

    async def announce_drain(self) -> None:
        """Report the drain, and release the leadership for another VM at once.

        A call that promotes an endpoint ends before that: it could reach the platform
        after the first call of the next leader. A slow platform may still read a call
        without an answer, so the leadership is kept for as long after it as a takeover
        would take. The plug-ins drain meanwhile.
        """
        self.is_releasing = True
        self.leader.is_draining = True
        self.follower.begin_drain()
        if not self.leadership.is_holder:
            return
        await self.failover.has_no_calls.wait()
        unanswered_s = self.kernel.clock.now_s() - self.failover.unanswered_at_s
        if unanswered_s < TAKEOVER_TIMEOUT_S:
            logging.warning(
                "[fleet] Leadership is kept, a promotion wasn't answered. token=%d",
                self.leadership.record.token,
            )
            await asyncio.sleep(TAKEOVER_TIMEOUT_S - unanswered_s)
        await self.leader_record.release()
        # This VM's operations would wait for permits that it no longer grants.
        self.quota.mark_leader_lost()

    async def drain(self) -> None:
        """Finish what other VMs have forwarded to this one."""
        await self.forwarding_service.drain()

    async def stop(self) -> None:
        """Report the end of this VM, and close the connections to other VMs.

        After a drain that has answered all requests nothing is served any more.
        """
        accepted = self.forwarding_service.executor.accepted
        is_finished = not accepted.count and not self.forwarding_service.is_busy
        if self.kernel.draining and is_finished:
            await self.follower.report_end()
        if self.server is not None:
            self.server.close()

    def fencing_token(self) -> int | None:
        """Return the fencing token, None if this VM may not promote now."""
        return None if self.is_releasing else self.leader.fencing_token

    async def write_group(self, group: GroupState) -> None:
        """Store a group state with a higher epoch."""
        await self.group_store.write(group)
        await self.leader.push()

    async def store_successor(self, group: GroupState) -> None:
        """Store a group state that only leaders need."""
        await self.group_store.write(group)

    def lease_remaining_s(self) -> float:
        """Return for how long the leader lease stays valid, in seconds."""
        return self.leadership.lease_remaining_s(self.vm_watcher.entries)

    def log_holders(self, service: ServiceId) -> LogHolders:
        """Return the log holders that are stored or listed."""
        return self.log_holder_keeper.current(service)

    def recorded_log_holders(self, service: ServiceId) -> list[EndpointProcess]:
        """Return the log holders that are stored, for a log line."""
        recorded = self.log_holder_keeper.recorded.get(service)
        return [] if recorded is None else [e.process for e in recorded.endpoints]

    def ended_log_holders(self, service: ServiceId) -> frozenset[EndpointProcess]:
        """Return the unlisted log holders whose processes are known to have ended."""
        return self.log_holder_keeper.ended_processes(service)

    def known_since_s(self, process: EndpointProcess) -> float:
        """Return when this VM first knew of a log holder, now if it doesn't."""
        now_s = self.kernel.clock.now_s()
        return self.log_holder_keeper.known_since_s.get(process, now_s)

    def acknowledged(self, service: ServiceId) -> Position:
        """Return a position at or before the last commit that callers were told of."""
        return self.leader.barrier.acknowledged(service).lower

    async def read_members(self, service: ServiceId) -> list[EndpointEntry]:
        """Read the listed endpoints of a service from the store."""
        entries = await self.kernel.get(EndpointDirectory).read()
        members = [entry for entry in entries if entry.service == service]
        self.log_holder_keeper.record_listed(service, members)
        return members

    async def wait_applied(self, group: GroupState, timeout_s: float) -> None:
        """Return once all VMs have applied the group state, or after ``timeout_s``."""
        await self.leader.barrier.wait(group, timeout_s)

    def record_reachable(self, endpoint: EndpointId) -> None:
        """Make this VM the owner of an endpoint that its owner can't reach."""
        self.leader.claim_ownership(endpoint)

    async def _serve(self, connection: ServerConnection) -> None:
        """Serve a connection of another VM, by its path."""
        if connection.request.path == FORWARD_PATH:
            await self.forwarding_service.serve(connection)
        else:
            await self.leader.serve(connection)

    def _record_era(self) -> None:
        """Apply that the store has come back from an older copy."""
        era_start = self.eras.era_start
        if era_start == self.cluster.era_start:
            return
        # A leader that has just resumed knows the latest groups, though it reads them.
        is_leading = self.leader.fencing_token is not None or (
            self.leadership.is_holder and self.leadership.has_resumed
        )
        self.cluster.record_era(era_start)
        self.leadership.record_era(
            era_start,
            lease_remaining_s=self.lease_remaining_s() if is_leading else 0.0,
        )
        self.group_restorer.record_return()
        self.vm_watcher.record_return()
        self.log_holder_keeper.record_return()
        self.registration.is_needed.set()

    def _resume_leadership(self) -> None:
        """Lead in the store's new era, once no call of the earlier one can come late.

        The platform would see a lower token after a higher one.
        """
        unanswered_s = self.kernel.clock.now_s() - self.failover.unanswered_at_s
        if not self.failover.calls_in_flight and unanswered_s >= TAKEOVER_TIMEOUT_S:
            self.leader_record.resume()

    async def _run_leader(self) -> None:
        """Run the leader's tasks while this VM is the leader."""
        version = self.cluster.version
        while True:
            await self._wait_for_requests()
            if self.leadership.is_resumable:
                self._resume_leadership()
                self._grant_locally(has_valid_lease=False)
                continue
            if not self.leadership.is_holder:
                self.vm_watcher.stop_watching()
                self._run_standby()
                continue
            self.leader.is_active_standby = False
            self.watch_manager.start_watching("this VM is the leader")
            self.vm_watcher.start_watching()
            if self.leader.must_load_groups and self.vm_watcher.is_listed.is_set():
                await self._load_groups()
            if self.leadership.needs_renewal(self.vm_watcher.entries):
                self.leader_record.renew()
            now_s = self.kernel.clock.now_s()
            has_valid_lease = self.leader.fencing_token is not None
            if not has_valid_lease:
                self.leader.refresh_shares()
            self._grant_locally(has_valid_lease=has_valid_lease)
            if not has_valid_lease:
                continue
            self.cluster.record_groups_confirmed(now_s)
            owners = self.cluster.owners
            self.leader.refresh()
            has_new_owners = self.cluster.owners != owners
            if self.cluster.version != version or has_new_owners:
                version = self.cluster.version
                await self.leader.push(has_new_owners=has_new_owners)
            self._start_failovers()
            self._start_log_holder_updates()
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
        is_read = await asyncio.gather(
            self.log_holder_keeper.load(), self.group_store.read_all()
        )
        if not all(is_read):
            return
        has_list = self.leader.has_store
        if not await self.group_restorer.restore(has_current_list=has_list):
            return
        self.leader.record_groups_loaded(token)
        logging.info("[fleet] Groups are read by the new leader. token=%d", token)

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
        if self.is_releasing:
            return
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

    def _start_log_holder_updates(self) -> None:
        for service in self.log_holder_keeper.due():
            if service not in self.updating_log_holders:
                self.updating_log_holders.add(service)
                self.kernel.spawn(
                    self._update_log_holders(service), name=f"log-holders-{service}"
                )

    async def _update_log_holders(self, service: ServiceId) -> None:
        try:
            await self.log_holder_keeper.update(
                service, may_remove=self.leader.has_store
            )
        finally:
            self.updating_log_holders.discard(service)

    async def _replace_primary(self, service: ServiceId, cause: FailoverCause) -> None:
        is_replaced = False
        try:
            is_replaced = await self.failover.replace_primary(service, cause)
        finally:
            self.failure_detector.record_attempt(service, is_replaced=is_replaced)
            self.failing_over.discard(service)

    async def _evict_vms(self) -> None:
        for vm in self.leader.expired_vms():
            entry = self.vm_watcher.entries.get(vm)
            if entry is None:
                continue
            if not await self.vm_watcher.evict(vm):
                return
            self.leader.barrier.record_removed(vm, entry.incarnation)

    async def _find_leader(self) -> None:
        """Read the leader record from the store; take over if there is no leader."""
        if self.leader.fencing_token is not None or self.leadership.is_resumable:
            return
        is_read = await self.leader_record.read()
        may_take_over = is_read and self.leadership.may_take_over()
        if may_take_over and not self.kernel.draining:
            await self.leader_record.take_over()

    def _start_leading(self) -> None:
        """Begin with new buckets, unless this VM has granted permits until now."""
        if not (self.leader.is_active_standby or self.leadership.has_resumed):
            self.leader.allocator.reset(is_empty=False)
