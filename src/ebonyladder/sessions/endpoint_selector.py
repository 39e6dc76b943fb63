"""Selection of the endpoint for a statement."""

from enum import Enum

import msgspec

from ebonyladder.sessions.catalog import Consistency, Organisation, Route
from ebonyladder.sessions.cluster_view import ClusterView, EndpointEntry
from ebonyladder.sessions.connection import MinPosition, ReadBound
from ebonyladder.sessions.pool import PoolSet
from ebonyladder.sessions.primary_positions import PrimaryPositions
from ebonyladder.types import EndpointId, EndpointState, Position, RequestKind

# Confirmed group states may be used for primary reads for this long. A failover waits
# longer than this for VMs that don't respond.
GROUP_STATE_TTL_S = 1.8
# Cost of an endpoint outside of the VM's region or zone, in waiting statements for each
# slot: a nearer endpoint with this much more load costs the same. The cost of another
# region stands for one round trip between regions.
OTHER_REGION_COST = 1.0
OTHER_ZONE_COST = 0.1


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """Endpoint for a statement, and the log position that it must hold."""

    entry: EndpointEntry
    is_primary: bool
    min_position: MinPosition = None


class NoTarget(Enum):
    """Why no endpoint can serve a statement now."""

    NO_PRIMARY = "the service has no primary that may be used"
    LEFT_PRIMARY = "the primary is leaving and takes no more statements"
    STALE_GROUPS = "this VM can't confirm that the primary still leads"
    PRIMARY_SUSPECT = "the primary doesn't answer"
    NO_ENDPOINT = "no endpoint of the service may be used"


class EndpointSelector:
    """Chooses the nearest endpoint that may serve a statement.

    Replicas in the VM's own region serve reads as long as their logs are recent
    enough. Single endpoints that fail are left out.

    Parameters
    ----------
    cluster : ClusterView
        Endpoints and groups.
    positions : PrimaryPositions
        Log positions that reads must see.
    pools : PoolSet
        Health and load of the endpoints.
    leaving_use_s : float
        Time for which a primary is used once it is seen as leaving, in seconds. A
        failover usually replaces it long before.
    """

    def __init__(
        self,
        *,
        cluster: ClusterView,
        positions: PrimaryPositions,
        pools: PoolSet,
        leaving_use_s: float = float("inf"),
    ) -> None:
        self.cluster = cluster
        self.positions = positions
        self.pools = pools
        self.leaving_use_s = leaving_use_s

    def choose(
        self,
        *,
        route: Route,
        organisation: Organisation | None,
        access: RequestKind,
        last_commit: Position | None,
        tried: frozenset[EndpointId] = frozenset(),
        is_transaction: bool = False,
    ) -> Target | NoTarget:
        """Return the endpoint for a statement or transaction.

        Parameters
        ----------
        access : RequestKind
            WRITE for a transaction that may write.
        last_commit : Position or None
            Last commit of the session on the service.
        tried : frozenset of EndpointId
            Endpoints that the statement was tried on; replicas among them are not
            chosen again.
        """
        needs_primary = (
            access is RequestKind.WRITE or route.consistency is Consistency.PRIMARY
        )
        if not needs_primary:
            replica = self._choose_replica(route, organisation, last_commit, tried)
            if replica is not None:
                return replica
        has_reads = is_transaction or access is RequestKind.READ
        return self._choose_primary(route, organisation, has_reads=has_reads)

    def may_read_at(
        self, entry: EndpointEntry, route: Route, organisation: Organisation | None
    ) -> bool:
        """Return whether an endpoint is still listed and takes reads of a route."""
        listed = self.cluster.endpoints.get(entry.id)
        return (
            listed is not None
            and listed.process == entry.process
            and listed.state is EndpointState.ACTIVE
            and self._is_allowed(listed, route, organisation)
        )

    def has_current_groups(self) -> bool:
        """Return whether the group states are recent enough for primary reads."""
        age_s = self.cluster.clock.now_s() - self.cluster.groups_confirmed_at_s
        return age_s < GROUP_STATE_TTL_S

    def _choose_primary(
        self, route: Route, organisation: Organisation | None, *, has_reads: bool
    ) -> Target | NoTarget:
        entry = self.cluster.primary(route.service)
        if entry is None or not self._is_allowed(entry, route, organisation):
            return NoTarget.NO_PRIMARY
        now_s = self.cluster.clock.now_s()
        leaving_since_s = self.cluster.leaving_since_s.get(entry.process, now_s)
        if now_s - leaving_since_s >= self.leaving_use_s:
            return NoTarget.LEFT_PRIMARY
        catalog = self.cluster.catalog
        service = catalog.services.get(route.service) if catalog else None
        # With synchronous replicas a single write may rely on older group states, since
        # this VM can ask the replicas whether one of them has the commit. A transaction
        # may not, since it may also read.
        can_ask_replicas = (
            service is not None
            and service.sync_replicas > 0
            and self.pools.get(entry.id).is_local
        )
        if not self.has_current_groups() and (has_reads or not can_ask_replicas):
            return NoTarget.STALE_GROUPS
        if self.pools.get(entry.id).health.is_suspect:
            return NoTarget.PRIMARY_SUSPECT
        return Target(entry=entry, is_primary=True)

    def _choose_replica(
        self,
        route: Route,
        organisation: Organisation | None,
        last_commit: Position | None,
        tried: frozenset[EndpointId],
    ) -> Target | None:
        min_position = self.positions.required_position(
            route.service, max_age_s=route.max_age_s, last_commit=last_commit
        )
        primary = self.cluster.primary(route.service)
        eligible = [
            entry
            for entry in self.cluster.members(route.service)
            if entry.id not in tried
            and self.may_read_at(entry, route, organisation)
            and not self.pools.get(entry.id).health.is_suspect
            and not self.pools.get(entry.id).health.is_lagging
            # If another VM owns the endpoint, that VM finds the required position.
            and (min_position is not None or not self.pools.get(entry.id).is_local)
        ]
        if not eligible:
            return None
        entry = min(eligible, key=self._cost)
        if not self.pools.get(entry.id).is_local:
            min_position = ReadBound(max_age_s=route.max_age_s, last_commit=last_commit)
        return Target(
            entry=entry,
            is_primary=primary is not None and entry.id == primary.id,
            min_position=min_position,
        )

    def _cost(self, entry: EndpointEntry) -> float:
        cost = self.pools.get(entry.id).load
        if self.cluster.region(entry.zone) != self.cluster.region(self.cluster.zone):
            return cost + OTHER_REGION_COST
        return cost + (0.0 if entry.zone == self.cluster.zone else OTHER_ZONE_COST)

    def _is_allowed(
        self, entry: EndpointEntry, route: Route, organisation: Organisation | None
    ) -> bool:
        region = self.cluster.region(entry.zone)
        region_limits = [
            route.regions,
            organisation.regions if organisation else frozenset(),
        ]
        if any(regions and region not in regions for regions in region_limits):
            return False
        return entry.zone not in self.cluster.closed_zones
