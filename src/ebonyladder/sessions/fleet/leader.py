"""Leader's side of the leader connection: answers reports and grants permits."""

import asyncio
from collections.abc import Callable
from typing import Any

from absl import logging
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import WebSocketException

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.catalog import Catalog
from ebonyladder.sessions.catalog_change import CatalogHistory
from ebonyladder.sessions.cluster_view import (
    ClusterView,
    GroupState,
    VmEntry,
    zone_sizes,
)
from ebonyladder.sessions.fleet.failure_detector import FailureDetector
from ebonyladder.sessions.fleet.group_barrier import GroupBarrier
from ebonyladder.sessions.fleet.leadership import Leadership, LeadershipState
from ebonyladder.sessions.fleet.shares import RateShares
from ebonyladder.sessions.fleet.standbys import choose_standbys
from ebonyladder.sessions.fleet.store_relays import StoreRelays
from ebonyladder.sessions.fleet.watchers import VM_REPORT_TIMEOUT_S
from ebonyladder.sessions.messages import (
    SMALL_LEVEL,
    ClusterSnapshot,
    LeaderUpdate,
    Report,
    decode,
    encode,
)
from ebonyladder.sessions.ownership import assign_owners
from ebonyladder.sessions.quota import PermitAllocator, PermitGrant
from ebonyladder.sessions.store_era import StoreEraTracker
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.types import (
    ConfigurationVersion,
    EndpointId,
    OrganisationId,
    VmId,
)

# Longest time to send an update, in seconds.
SEND_TIMEOUT_S = 1.0
# A VM that was asked for its catalog is given this time to send it, in seconds.
CATALOG_REQUEST_TIMEOUT_S = 1.0


class Leader:
    """Serves the other VMs while this VM is the leader or an active standby.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints, groups and the configuration.
    leadership : Leadership
        State of the leader lease.
    failure_detector : FailureDetector
        Records the reports.
    allocator : PermitAllocator
        Grants permits.
    watch_manager : WatchManager
        Tells whether this VM's watches of the store work.
    vms : callable
        Returns the registered VMs.
    eras : StoreEraTracker
        Era of the store as this VM knows it.
    clock : Clock
        Clock of updates.

    Attributes
    ----------
    is_active_standby : bool
        Whether this VM is a standby that has lost the leader.
    is_draining : bool
        Whether this VM is stopping.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        leadership: Leadership,
        failure_detector: FailureDetector,
        allocator: PermitAllocator,
        watch_manager: WatchManager,
        vms: Callable[[], dict[VmId, VmEntry]],
        eras: StoreEraTracker,
        clock: Clock,
    ) -> None:
        self.cluster = cluster
        self.eras = eras
        self.leadership = leadership
        self.failure_detector = failure_detector
        self.allocator = allocator
        self.watch_manager = watch_manager
        self.vms = vms
        self.clock = clock
        self.shares = RateShares(clock=clock)
        self.relays = StoreRelays(clock=clock)
        self.catalogs = CatalogHistory()
        self.catalog_requested_at_s = float("-inf")
        # Fields of updates with the catalog of ``encoded_version``, by the version that
        # a VM has; None for one that isn't known.
        self.encoded_version = ConfigurationVersion(0)
        self.encoded_fields: dict[ConfigurationVersion | None, dict[str, bytes]] = {}
        self.connections: dict[VmId, ServerConnection] = {}
        self.is_active_standby = False
        self.is_draining = False
        self.barrier = GroupBarrier(
            cluster=cluster, failure_detector=failure_detector, vms=vms, clock=clock
        )
        self.snapshot: ClusterSnapshot | None = None
        # Fencing token under which the groups were read from the store; 0 for none.
        self.groups_loaded_token = 0
        # Endpoints that are reachable from this VM but not from their owners.
        self.reachable_here: set[EndpointId] = set()

    @property
    def fencing_token(self) -> int | None:
        """Fencing token, None while this VM has no valid leader lease.

        A new leader first reads the groups: its predecessor may have changed one
        without an update to this VM.
        """
        if self.must_load_groups:
            return None
        if self.leadership.state(self.vms()) is not LeadershipState.LEADER:
            return None
        return self.leadership.record.token

    @property
    def grants_permits(self) -> bool:
        """Whether this VM grants permits, as the leader or an active standby.

        Without a valid leader lease it grants only what the VMs that report to it
        may use without a leader, so another VM may lead at the same time.
        """
        return (
            self.leadership.is_holder
            or self.leadership.is_resumable
            or self.is_active_standby
        )

    @property
    def must_load_groups(self) -> bool:
        """Whether the groups have to be read before this VM acts as the leader."""
        record = self.leadership.record
        return record is None or self.groups_loaded_token != record.token

    def record_groups_loaded(self, token: int) -> None:
        """Record that the groups were read from the store under a fencing token."""
        self.groups_loaded_token = token

    def claim_ownership(self, endpoint: EndpointId) -> None:
        """Own an endpoint that is reachable from this VM but not from its owner.

        Handles a primary that is unreachable from its owner: all statements to it go
        through the owner, so a partition of one VM would stop the service.
        """
        owner = self.cluster.owners.get(endpoint)
        if owner is not None and owner.vm != self.cluster.vm:
            self.reachable_here.add(endpoint)
            logging.info(
                "[leader] Endpoint changes its owner. endpoint=%s from=%s",
                endpoint,
                owner.vm,
            )

    async def serve(self, connection: ServerConnection) -> None:
        """Answer the reports of one VM."""
        vm: VmId | None = None
        try:
            async for data in connection:
                report = decode(data, Report)
                vm = report.vm
                self.connections[vm] = connection
                await connection.send(encode(self.answer(report)))
        except (WebSocketException, OSError, ValueError) as error:
            logging.info("[leader] Connection of a VM ended. vm=%s error=%r", vm, error)
        finally:
            if vm is not None and self.connections.get(vm) is connection:
                del self.connections[vm]

    def answer(self, report: Report) -> LeaderUpdate:
        """Record a report and return the update for its sender."""
        self.eras.record_told(report.era)
        if report.catalog is not None and self.cluster.apply_catalog(report.catalog):
            logging.info(
                "[leader] Newer configuration is received from a VM. version=%d vm=%s",
                report.catalog.version,
                report.vm,
            )
            self.catalog_requested_at_s = float("-inf")
        self.barrier.record_report(report)
        # A VM that doesn't know the present era may still follow an earlier leader, and
        # one that knows a later era no longer follows this one.
        if report.acknowledged_at_s is not None and self.eras.is_current(report.era):
            self.leadership.record_acknowledgement(report.vm, report.acknowledged_at_s)
        self.failure_detector.record_report(report)
        self._apply_listing(report)
        self.shares.record_report(
            report.vm,
            requests=report.requests,
            last_update_made_at_s=report.acknowledged_at_s,
            acknowledged=report.shares,
        )
        if report.has_ended:
            self.shares.release(report.vm)
            return self._update(report, is_leader=self.fencing_token is not None)
        # A check of the lease iterates over all VMs, so an answer makes only one.
        if self.fencing_token is None:
            requests = report.requests if self.grants_permits else {}
            grants = self.grant_permits(requests, has_valid_lease=False)
            return self._update(
                report,
                is_leader=False,
                grants_permits=self.grants_permits,
                grants=grants,
            )
        snapshot = self.snapshot
        if snapshot is not None and snapshot.version == report.endpoints_version:
            snapshot = None
        made_at_s = self.clock.now_s()
        return self._update(
            report,
            is_leader=True,
            made_at_s=made_at_s,
            shares=self.shares.assign(report.vm, made_at_s),
            groups=self._newer_groups(report),
            grants=self.grant_permits(report.requests, has_valid_lease=True),
            snapshot=snapshot,
            wants_catalog=self._wants_catalog(report),
            should_watch=self.relays.should_watch(report.vm),
            **self._catalog_fields(report),
        )

    def _catalog_fields(self, report: Report) -> dict[str, Any]:
        """Return the fields that bring the sender of a report to this version."""
        catalog = self.cluster.catalog
        if catalog is None or report.version >= catalog.version:
            return {}
        if not report.accepts_changes:
            return {"catalog": catalog}
        return self._encoded_fields(catalog, report.version)

    def _encoded_fields(
        self, catalog: Catalog, base: ConfigurationVersion
    ) -> dict[str, bytes]:
        """Return the catalog or its change since ``base``, encoded once for all VMs."""
        self.catalogs.record(catalog)
        if self.encoded_version != catalog.version:
            self.encoded_version = catalog.version
            self.encoded_fields.clear()
        change = self.catalogs.change_since(base)
        key = None if change is None else base
        if key not in self.encoded_fields:
            data = encode(change or catalog, level=SMALL_LEVEL)
            name = "catalog_data" if change is None else "change_data"
            self.encoded_fields[key] = {name: data}
        return self.encoded_fields[key]

    def _wants_catalog(self, report: Report) -> bool:
        """Tell whether the sender of a report should send its newer catalog."""
        now_s = self.clock.now_s()
        is_requested = now_s - self.catalog_requested_at_s < CATALOG_REQUEST_TIMEOUT_S
        if report.version <= self.cluster.version or is_requested:
            return False
        self.catalog_requested_at_s = now_s
        return True

    def _apply_listing(self, report: Report) -> None:
        """Apply what a relay lists in the store, while this VM can't read it."""
        is_accepted = self.relays.accept(
            report.vm, is_watching=report.has_working_watches
        )
        if is_accepted and report.listing is not None:
            self.cluster.apply_endpoints(
                {e.id: e for e in report.listing.endpoints},
                frozenset(report.listing.closed_zones),
            )

    @property
    def has_store(self) -> bool:
        """Whether this VM's own watches work, or those of a relay."""
        return self.watch_manager.has_working_watches or self.relays.is_current

    def grant_permits(
        self, requests: dict[OrganisationId, int], *, has_valid_lease: bool
    ) -> dict[OrganisationId, PermitGrant]:
        """Grant permits for the organisations in ``requests``.

        Parameters
        ----------
        requests : dict of OrganisationId to int
            Permits that a VM requests.
        has_valid_lease : bool
            Whether this VM has a valid leader lease now.
        """
        catalog = self.cluster.catalog
        if catalog is None:
            return {}
        fraction_of = (
            self.shares.grantable_fraction
            if has_valid_lease
            else self.shares.reporting_fraction
        )
        return {
            name: self.allocator.grant(
                catalog.organisations[name],
                requested,
                fraction=fraction_of(name),
            )
            for name, requested in requests.items()
            if name in catalog.organisations
        }

    def refresh_shares(self) -> set[VmId]:
        """Update which VMs report, and return them together with this one."""
        reporting = self.failure_detector.recent_reports().keys() | {self.cluster.vm}
        self.shares.refresh(self.vms(), reporting, vm_count=self.cluster.vm_count)
        return reporting

    def refresh(self) -> None:
        """Update zones, owners and standbys, and the snapshot that VMs are sent."""
        vms = self.vms()
        reporting = self.refresh_shares()
        reporting_vms = {vm: entry for vm, entry in vms.items() if vm in reporting}
        if self.cluster.catalog is not None:
            self.catalogs.record(self.cluster.catalog)
        self.relays.update(
            is_leader_watching=self.watch_manager.has_working_watches,
            candidates=self._relay_candidates(reporting_vms),
            fleet_size=len(vms),
        )
        owners = assign_owners(
            cluster=self.cluster,
            vms=reporting_vms,
            leader=self.cluster.vm,
            reachable_from_leader=frozenset(self.reachable_here),
            draining=self._draining_vms(),
        )
        self.reachable_here.clear()
        self.cluster.apply_fleet(zone_sizes(vms.values()), owners)
        standbys = choose_standbys(
            reporting_vms,
            leader=self.cluster.vm,
            owners=(owner.vm for owner in owners.values()),
            known=self.cluster.standbys,
        )
        self.cluster.set_standbys(standbys)
        content = {
            "endpoints": tuple(self.cluster.endpoints.values()),
            "closed_zones": tuple(sorted(self.cluster.closed_zones)),
            "fleet": self.cluster.fleet,
            "owners": owners,
            "standbys": standbys,
        }
        version = self.snapshot.version if self.snapshot else 0
        if self.snapshot != ClusterSnapshot(version=version, **content):
            self.snapshot = ClusterSnapshot(version=version + 1, **content)

    def _draining_vms(self) -> frozenset[VmId]:
        """Return the VMs that are stopping."""
        reports = self.failure_detector.recent_reports().items()
        own = {self.cluster.vm} if self.is_draining else set()
        return frozenset(own | {vm for vm, report in reports if report.is_draining})

    def _relay_candidates(self, vms: dict[VmId, VmEntry]) -> list[VmId]:
        """Return the standbys, then the other VMs, those with most cores first."""
        others = sorted(vms.values(), key=lambda entry: (-entry.cores, entry.vm))
        standbys = [vm for vm in self.cluster.standbys if vm in vms]
        rest = [
            e.vm for e in others if e.vm not in standbys and e.vm != self.cluster.vm
        ]
        return [*standbys, *rest]

    async def push(self, *, has_new_owners: bool = False) -> None:
        """Push the groups and the version of the configuration to all VMs.

        With new owners also the snapshot, so that no VM forwards to a former owner
        until its next report.
        """
        update = LeaderUpdate(
            is_leader=self.fencing_token is not None,
            has_working_watches=self.has_store,
            made_at_s=self.clock.now_s(),
            version=self.cluster.version,
            era=self.eras.known,
            groups=tuple(self.cluster.groups.values()),
            snapshot=self.snapshot if has_new_owners else None,
        )
        data = encode(update)
        await asyncio.gather(
            *(self._send(vm, c, data) for vm, c in list(self.connections.items()))
        )

    def expired_vms(self) -> list[VmId]:
        """Return the VMs that have reported their end or whose reports timed out."""
        detector, now_s = self.failure_detector, self.clock.now_s()
        leading_since_s = self.leadership.acquired_at_s
        return [
            vm
            for vm, entry in self.vms().items()
            if vm != self.cluster.vm
            and (
                detector.has_ended(vm, entry.incarnation)
                or now_s - max(detector.last_report_at_s(vm), leading_since_s)
                > VM_REPORT_TIMEOUT_S
            )
        ]

    def _newer_groups(self, report: Report) -> tuple[GroupState, ...]:
        return tuple(
            group
            for group in self.cluster.groups.values()
            if report.epochs.get(group.service, 0) < group.epoch
        )

    def _update(
        self,
        report: Report,
        *,
        is_leader: bool,
        made_at_s: float | None = None,
        **fields,
    ) -> LeaderUpdate:
        return LeaderUpdate(
            is_leader=is_leader,
            has_working_watches=self.has_store,
            made_at_s=self.clock.now_s() if made_at_s is None else made_at_s,
            version=self.cluster.version,
            requested_at_s=report.sent_at_s,
            era=self.eras.known,
            is_registered=report.vm in self.vms(),
            **fields,
        )

    async def _send(self, vm: VmId, connection: ServerConnection, data: bytes) -> None:
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await connection.send(data)
        except (WebSocketException, OSError, TimeoutError) as error:
            logging.info("[leader] Update could not be sent. vm=%s error=%r", vm, error)
