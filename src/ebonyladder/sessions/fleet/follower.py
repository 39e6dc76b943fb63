"""Follower's side of the leader connection: sends reports and applies updates."""

import asyncio
import contextlib
from collections.abc import Callable

import msgspec
from absl import logging
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import WebSocketException

from ebonyladder.kernel.clock import Clock
from ebonyladder.sessions.catalog import Catalog
from ebonyladder.sessions.catalog_change import CatalogChange
from ebonyladder.sessions.cluster_view import ClusterView, GroupPhase
from ebonyladder.sessions.fleet.leadership import Leadership
from ebonyladder.sessions.messages import (
    MAX_ENCODED_BYTES,
    ClusterSnapshot,
    LeaderUpdate,
    Report,
    StoreListing,
    decode,
    encode,
)
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.sessions.quota import GrantedQuota
from ebonyladder.sessions.store_era import StoreEraTracker
from ebonyladder.sessions.watch_manager import WatchManager
from ebonyladder.types import (
    Address,
    ConfigurationVersion,
    EndpointId,
    Incarnation,
    OrganisationId,
    VmId,
)

# Path of the connections on which VMs report.
REPORT_PATH = "/report"
# Interval of reports to the leader, in seconds; permits and confirmed group states are
# valid several times longer.
REPORT_INTERVAL_S = 0.4
# VMs of fleets above this size report half as often, since one leader answers all.
LARGE_FLEET = 16
# Minimum interval between two reports, in seconds.
MIN_REPORT_INTERVAL_S = 0.02
# Longest time to connect or to send a report, in seconds: several round trips between
# regions.
CONNECT_TIMEOUT_S = 1.0
# Longest time to send the last report, in seconds: a part of what a stop has left after
# the answers to callers.
END_REPORT_TIMEOUT_S = 0.1
# Longest time to get the answer of a VM that may be unreachable, in seconds: a
# connection and a report between regions.
PROBE_TIMEOUT_S = 0.4
# A connection without updates for this long is closed, in seconds: the report interval
# in large fleets and several round trips. Standbys grant permits meanwhile, so closing
# a connection that was only slow costs little.
UPDATE_TIMEOUT_S = 1.4
# A VM with a newer configuration than the leader sends it without a request after this
# time, in seconds: the leader had time to ask several VMs.
UNREQUESTED_CATALOG_DELAY_S = 2.5
# A standby grants permits after this long without updates, in seconds: before the other
# VMs close their connections to the leader and report to it.
STANDBY_TIMEOUT_S = 1.1


class NotGrantingError(Exception):
    """The peer is not the leader and grants no permits, or not yet."""


class Follower:
    """Connection of this VM to the leader or a standby.

    Parameters
    ----------
    cluster : ClusterView
        Receives groups, endpoints and configurations.
    leadership : Leadership
        Records each contact with the leader.
    quota : GrantedQuota
        Requests permits.
    watch_manager : WatchManager
        Started while the leader's updates don't replace this VM's own watches.
    pools : PoolSet
        Health of the endpoints.
    incarnation : Incarnation
        Incarnation of this process.
    eras : StoreEraTracker
        Era of the store as this VM knows it.
    clock : Clock
        Clock of reports.
    on_unregistered : callable
        Called when this VM isn't registered at the leader.

    Attributes
    ----------
    has_valid_leader : bool
        Whether the leader had a valid leader lease at its last answer.
    last_update_at_s : float
        Time at which the last update arrived on the current connection.
    is_draining : bool
        Whether this VM is stopping.
    has_ended : bool
        Whether this VM serves nobody any more.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        leadership: Leadership,
        quota: GrantedQuota,
        watch_manager: WatchManager,
        pools: PoolSet,
        incarnation: Incarnation,
        eras: StoreEraTracker,
        clock: Clock,
        on_unregistered: Callable[[], None],
    ) -> None:
        self.cluster = cluster
        self.leadership = leadership
        self.quota = quota
        self.watch_manager = watch_manager
        self.pools = pools
        self.incarnation = incarnation
        self.eras = eras
        self.clock = clock
        self.on_unregistered = on_unregistered
        self.started_at_s = clock.now_s()
        self.group_changed = asyncio.Event()
        self.is_draining = False
        self.has_ended = False
        self.end_reported = asyncio.Event()
        cluster.listeners.append(self._report_listing)
        self._reset()

    def _reset(self) -> None:
        self.last_update_made_at_s: float | None = None
        self.has_valid_leader = False
        self.last_update_at_s = float("-inf")
        self.leader_version = ConfigurationVersion(0)
        self.endpoints_version = -1
        self.is_relay = False
        self.is_catalog_wanted = False
        self.catalog_sent_at_s = self.clock.now_s()

    def begin_drain(self) -> None:
        """Report at once that this VM is stopping."""
        self.is_draining = True
        self.group_changed.set()

    async def report_end(self) -> None:
        """Report that this VM serves nobody any more, if it reports to a VM.

        Failovers need not wait for it then, and others may use its rate shares.
        """
        if not self.is_connected:
            return
        self.has_ended = True
        self.group_changed.set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_REPORT_TIMEOUT_S):
                await self.end_reported.wait()

    @property
    def is_connected(self) -> bool:
        """Whether the leader or a standby has recently sent an update."""
        return self.clock.now_s() - self.last_update_at_s < STANDBY_TIMEOUT_S

    @property
    def report_interval_factor(self) -> int:
        """Factor by which a large fleet reports less often."""
        return 2 if self.cluster.vm_count > LARGE_FLEET else 1

    async def report_to(self, vm: VmId, address: Address) -> None:
        """Report to a VM until the connection ends or the VM grants no permits."""
        self._reset()
        try:
            async with self._connect(address, CONNECT_TIMEOUT_S) as connection:
                logging.info(
                    "[follower] Connection to a leader or standby is open. vm=%s", vm
                )
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._send_reports(connection))
                    group.create_task(self._receive_updates(connection))
        except* NotGrantingError:
            logging.info("[follower] VM grants no permits. vm=%s", vm)
        except* (WebSocketException, OSError, TimeoutError, ValueError) as errors:
            logging.info(
                "[follower] Connection ended. vm=%s error=%r",
                vm,
                errors.exceptions[0],
            )
            self.watch_manager.start_watching("no leader")
        finally:
            self.last_update_at_s = float("-inf")
            self.quota.mark_leader_lost()

    async def does_grant(self, address: Address) -> bool:
        """Tell whether a VM is reachable and grants permits.

        Its answer to one report is read, since a VM that was restarted or has a new
        leader accepts the connection too. The report requests nothing.
        """
        probe = msgspec.structs.replace(
            self.report(requests={}), shares=self.quota.shares or {}
        )
        try:
            async with (
                asyncio.timeout(PROBE_TIMEOUT_S),
                self._connect(address, PROBE_TIMEOUT_S) as connection,
            ):
                await connection.send(encode(probe))
                update = decode(await connection.recv(), LeaderUpdate)
        except (WebSocketException, OSError, TimeoutError, ValueError):
            return False
        return self.eras.is_current(update.era) and (
            update.is_leader or update.grants_permits
        )

    @staticmethod
    def _connect(address: Address, timeout_s: float) -> connect:
        return connect(
            f"ws://{address}{REPORT_PATH}",
            compression=None,
            max_size=MAX_ENCODED_BYTES,
            open_timeout=timeout_s,
            close_timeout=0.2,
            ping_interval=None,
            proxy=None,
        )

    async def _send_reports(self, connection: ClientConnection) -> None:
        while True:
            self.group_changed.clear()
            report = self.report()
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await connection.send(encode(report))
            if report.has_ended:
                self.end_reported.set()
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)
            interval_s = REPORT_INTERVAL_S * self.report_interval_factor
            changed = asyncio.ensure_future(self.group_changed.wait())
            needed = asyncio.ensure_future(self.quota.permits_needed.wait())
            try:
                await asyncio.wait(
                    {changed, needed},
                    timeout=interval_s - MIN_REPORT_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                changed.cancel()
                needed.cancel()

    async def _receive_updates(self, connection: ClientConnection) -> None:
        while True:
            async with asyncio.timeout(UPDATE_TIMEOUT_S):
                update = decode(await connection.recv(), LeaderUpdate)
            if not self.apply_update(update):
                raise NotGrantingError
            self.last_update_at_s = self.clock.now_s()

    def apply_update(self, update: LeaderUpdate) -> bool:
        """Apply an update; False if its sender neither leads nor grants permits.

        A sender that doesn't know the store's present era may have been replaced in it.
        """
        self.eras.record_told(update.era)
        if not self.eras.is_current(update.era):
            self.has_valid_leader = False
            return False
        if self.leader_version >= self.cluster.version:
            self.catalog_sent_at_s = self.clock.now_s()
        self.leader_version = update.version
        catalog = self._catalog_of(update)
        if catalog is not None and self.cluster.apply_catalog(catalog):
            logging.info(
                "[follower] Configuration is active. version=%d", catalog.version
            )
        if update.requested_at_s is not None:
            # Only the answer to a report says what is wanted of this VM.
            self.has_valid_leader = update.is_leader
            self.is_relay = update.should_watch
            self.is_catalog_wanted = update.wants_catalog
        if update.wants_catalog:
            self.group_changed.set()
        if not update.is_leader:
            self.watch_manager.start_watching_if_decided(
                "the leader has no valid leader lease"
            )
            if update.grants_permits and update.requested_at_s is not None:
                self.quota.apply_grants(update.grants, update.requested_at_s)
            return update.grants_permits
        changed = [g for g in update.groups if self.cluster.apply_group(g)]
        if changed or update.version > self.cluster.version:
            self.group_changed.set()
        if update.snapshot is not None:
            is_up_to_date = update.has_working_watches and not self.is_relay
            self._apply_snapshot(update.snapshot, is_up_to_date)
        self.leadership.record_leader_contact()
        self.last_update_made_at_s = update.made_at_s
        if update.requested_at_s is not None:
            self.cluster.record_groups_confirmed(update.requested_at_s)
            self.quota.apply_grants(update.grants, update.requested_at_s)
            self.quota.apply_shares(update.shares)
        if not update.is_registered:
            self.on_unregistered()
        self._choose_watches(update)
        return True

    def _apply_snapshot(self, snapshot: ClusterSnapshot, is_up_to_date: bool) -> None:
        """Apply the leader's endpoints, fleet and owners.

        A leader that can't read the store may list an endpoint that has left or a zone
        that was closed since; the lists of this VM's own watches are newer then, and
        the leader sends its own again.
        """
        if is_up_to_date or not self.watch_manager.has_working_watches:
            self.endpoints_version = snapshot.version
            self.cluster.apply_endpoints(
                {e.id: e for e in snapshot.endpoints}, frozenset(snapshot.closed_zones)
            )
        self.cluster.apply_fleet(snapshot.fleet, snapshot.owners)
        self.cluster.set_standbys(snapshot.standbys)

    def _choose_watches(self, update: LeaderUpdate) -> None:
        """Watch the store only while the leader's watches don't work."""
        is_up_to_date = self.endpoints_version >= 0 and (
            self.cluster.version >= update.version
        )
        if self.is_relay:
            self.watch_manager.start_watching_if_decided("it relays for the leader")
        elif not update.has_working_watches:
            self.watch_manager.start_watching_if_decided(
                "the leader's watches don't work"
            )
        elif is_up_to_date:
            self.watch_manager.stop_watching()

    def report(self, requests: dict[OrganisationId, int] | None = None) -> Report:
        """Return a report of this VM's state.

        Parameters
        ----------
        requests : dict of OrganisationId to int, optional
            Permits to request; by default those that operations need.
        """
        unresponsive, stalled = self.suspect_endpoints()
        has_working_watches = self.watch_manager.has_working_watches
        return Report(
            vm=self.cluster.vm,
            incarnation=self.incarnation,
            sent_at_s=self.clock.now_s(),
            version=self.cluster.version,
            acknowledged_at_s=self.last_update_made_at_s,
            endpoints_version=self.endpoints_version,
            requests=self.quota.take_requests() if requests is None else requests,
            shares=(self.quota.shares or {})
            if self.last_update_made_at_s is None
            else None,
            unresponsive=tuple(unresponsive),
            stalled=tuple(stalled),
            epochs={g.service: g.epoch for g in self.cluster.groups.values()},
            catalog=self._catalog_to_send(),
            accepts_changes=True,
            has_working_watches=has_working_watches,
            listing=self._listing() if self.is_relay and has_working_watches else None,
            acknowledged={
                service: self.cluster.acknowledged.get(service)
                for service, group in self.cluster.groups.items()
                if group.phase is GroupPhase.MOVING
            },
            is_draining=self.is_draining,
            has_ended=self.has_ended,
            era=self.eras.known,
        )

    def _catalog_of(self, update: LeaderUpdate) -> Catalog | None:
        """Return the catalog in an update, None if it has none for this VM."""
        if update.catalog_data is not None:
            return decode(update.catalog_data, Catalog)
        if update.change_data is not None:
            change = decode(update.change_data, CatalogChange)
            is_next = change.base == self.cluster.version
            return change.apply(self.cluster.catalog) if is_next else None
        return update.catalog

    def _catalog_to_send(self) -> Catalog | None:
        """Return this VM's catalog if the leader lacks it.

        The leader asks one VM for it. If all VMs sent theirs, it would need seconds to
        receive them. A VM that isn't asked for some time sends its own anyway.
        """
        is_newer = 0 < self.leader_version < self.cluster.version
        now_s = self.clock.now_s()
        is_due = now_s - self.catalog_sent_at_s >= UNREQUESTED_CATALOG_DELAY_S
        if not is_newer or not (self.is_catalog_wanted or is_due):
            return None
        self.is_catalog_wanted = False
        self.catalog_sent_at_s = now_s
        return self.cluster.catalog

    def _listing(self) -> StoreListing:
        return StoreListing(
            endpoints=tuple(self.cluster.endpoints.values()),
            closed_zones=tuple(sorted(self.cluster.closed_zones)),
        )

    def _report_listing(self) -> None:
        """Report a change of the store's objects immediately as a relay."""
        if self.is_relay:
            self.group_changed.set()

    def suspect_endpoints(self) -> tuple[list[EndpointId], list[EndpointId]]:
        """Return the unresponsive endpoints, and those at which commits stall."""
        pools = [(e, p) for e, p in self.pools.pools.items() if p.is_local]
        unresponsive = [e for e, pool in pools if pool.health.is_suspect]
        stalled = [e for e, pool in pools if pool.health.is_commit_suspect]
        return unresponsive, stalled
